//! Queries to peers that await replies.

use std::{collections::BTreeSet, sync::Arc};

use super::{Node, event::Ticket};
use crate::{
    time::Time,
    wire::{Flow, RequestId},
};

/// Subject of a query.
#[derive(Clone, Debug)]
pub(super) enum QueryKind {
    /// Store an exception: flow, target.
    Register(Flow, u16),
    /// Find the target of a flow: flow, fallback target.
    LookupFlow(Flow, u16),
    /// Permit a request to run.
    Claim(Ticket),
    /// Store a copy of a record: request, claimant, query id of the claim.
    Replicate(RequestId, Arc<str>, u32),
    /// Lease a concurrency slot: index of the service, request.
    Slot(usize, Ticket),
}

/// Query to one or more peers.
#[derive(Clone, Debug)]
pub(super) struct PeerQuery {
    pub(super) kind: QueryKind,
    /// Peers whose reply is outstanding.
    pub(super) open: BTreeSet<Arc<str>>,
    /// Packets and requests that wait for the result.
    pub(super) waiting: Vec<Ticket>,
    /// Time of expiry.
    pub(super) until: Time,
}

impl Node {
    /// Adds a query and returns its id. The caller sends the messages.
    pub(super) fn start_query(
        &mut self,
        kind: QueryKind,
        peers: impl IntoIterator<Item = Arc<str>>,
        waiting: Vec<Ticket>,
        wait_ms: u64,
    ) -> u32 {
        self.last_query_id = self.last_query_id.wrapping_add(1);
        let query_id = self.last_query_id;
        let open = peers.into_iter().collect();
        let peer_query = PeerQuery { kind, open, waiting, until: self.now + wait_ms };
        self.queries.insert(query_id, peer_query);
        query_id
    }

    /// Ends the queries that have expired.
    pub(super) fn expire_queries(&mut self) {
        let now = self.now;
        let over: Vec<u32> = self
            .queries
            .iter()
            .filter(|(_, peer_query)| peer_query.until <= now)
            .map(|(query_id, _)| *query_id)
            .collect();
        for query_id in over {
            let Some(peer_query) = self.queries.remove(&query_id) else {
                continue;
            };
            match peer_query.kind {
                QueryKind::Register(flow, target) => {
                    self.finish_registration(flow, target, peer_query.waiting)
                }
                QueryKind::LookupFlow(flow, fallback) => {
                    self.finish_lookup(flow, None, fallback, peer_query.waiting)
                }
                QueryKind::Claim(ticket) => self.claim_timed_out(ticket),
                QueryKind::Replicate(id, claimant, claim) => {
                    self.finish_replication(id, claimant, claim, false)
                }
                QueryKind::Slot(service, _) => self.expire_slot_query(query_id, service, &peer_query.open),
            }
        }
    }

    /// Notes the reply of a peer. Returns whether no reply is outstanding any more.
    pub(super) fn answered(&mut self, query_id: u32, peer: &Arc<str>) -> bool {
        let Some(peer_query) = self.queries.get_mut(&query_id) else {
            return false;
        };
        peer_query.open.remove(peer);
        peer_query.open.is_empty()
    }
}
