//! Table of questions to peers that are not yet answered.

use std::{collections::BTreeSet, sync::Arc};

use super::{Node, event::Ticket};
use crate::{
    time::Time,
    wire::{Flow, RequestId},
};

/// What was asked.
#[derive(Clone, Debug)]
pub(super) enum QueryKind {
    /// Keep an exception: flow, target.
    Register(Flow, u16),
    /// Where is this flow: flow, target if nobody knows.
    LookupFlow(Flow, u16),
    /// May this request run.
    Claim(Ticket),
    /// Hold a copy of a record: id, claimant, number of the claim.
    Replicate(RequestId, Arc<str>, u32),
    /// Lend a slot: index of the service, request.
    Slot(usize, Ticket),
}

/// Question to some peers.
#[derive(Clone, Debug)]
pub(super) struct PeerQuery {
    pub(super) kind: QueryKind,
    /// Peers that have not answered.
    pub(super) open: BTreeSet<Arc<str>>,
    /// Packets and requests that wait.
    pub(super) waiting: Vec<Ticket>,
    pub(super) until: Time,
}

impl Node {
    /// Adds a question and returns its number.
    pub(super) fn start_query(
        &mut self,
        kind: QueryKind,
        peers: impl IntoIterator<Item = Arc<str>>,
        waiting: Vec<Ticket>,
        wait_ms: u64,
    ) -> u32 {
        self.last_query_id = self.last_query_id.wrapping_add(1);
        let number = self.last_query_id;
        let open = peers.into_iter().collect();
        let peer_query = PeerQuery { kind, open, waiting, until: self.now + wait_ms };
        self.queries.insert(number, peer_query);
        number
    }

    /// Ends the questions whose time is over.
    pub(super) fn expire_queries(&mut self) {
        let now = self.now;
        let over: Vec<u32> = self
            .queries
            .iter()
            .filter(|(_, peer_query)| peer_query.until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in over {
            let Some(peer_query) = self.queries.remove(&number) else {
                continue;
            };
            match peer_query.kind {
                QueryKind::Register(flow, target) => self.end_register(flow, target, peer_query.waiting),
                QueryKind::LookupFlow(flow, fallback) => {
                    self.end_query(flow, None, fallback, peer_query.waiting)
                }
                QueryKind::Claim(ticket) => self.end_claim_unanswered(ticket),
                QueryKind::Replicate(id, claimant, claim) => self.end_copy(id, claimant, claim, false),
                QueryKind::Slot(service, _) => self.end_ask(number, service, &peer_query.open),
            }
        }
    }

    /// Takes a peer off a question. Returns whether nobody is left to answer.
    pub(super) fn answered(&mut self, number: u32, peer: &Arc<str>) -> bool {
        let Some(peer_query) = self.queries.get_mut(&number) else {
            return false;
        };
        peer_query.open.remove(peer);
        peer_query.open.is_empty()
    }
}
