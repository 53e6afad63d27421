//! Table of questions to peers that are not yet answered.

use std::{collections::BTreeSet, sync::Arc};

use super::{Node, event::Ticket};
use crate::{
    time::Time,
    wire::{Flow, RequestId},
};

/// What was asked.
#[derive(Clone, Debug)]
pub(super) enum Topic {
    /// Keep an exception: flow, target.
    Register(Flow, u16),
    /// Where is this flow: flow, target if nobody knows.
    Query(Flow, u16),
    /// May this request run.
    Claim(Ticket),
    /// Hold a copy of a record: id, claimant, number of the claim.
    Copy(RequestId, Arc<str>, u32),
    /// Lend a slot: index of the service, request.
    Slot(usize, Ticket),
}

/// Question to some peers.
#[derive(Clone, Debug)]
pub(super) struct Question {
    pub(super) topic: Topic,
    /// Peers that have not answered.
    pub(super) open: BTreeSet<Arc<str>>,
    /// Packets and requests that wait.
    pub(super) waiting: Vec<Ticket>,
    pub(super) until: Time,
}

impl Node {
    /// Adds a question and returns its number.
    pub(super) fn ask(
        &mut self,
        topic: Topic,
        peers: impl IntoIterator<Item = Arc<str>>,
        waiting: Vec<Ticket>,
        wait_ms: u64,
    ) -> u32 {
        self.last_question = self.last_question.wrapping_add(1);
        let number = self.last_question;
        let open = peers.into_iter().collect();
        let question = Question { topic, open, waiting, until: self.now + wait_ms };
        self.questions.insert(number, question);
        number
    }

    /// Ends the questions whose time is over.
    pub(super) fn expire_questions(&mut self) {
        let now = self.now;
        let over: Vec<u32> = self
            .questions
            .iter()
            .filter(|(_, question)| question.until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in over {
            let Some(question) = self.questions.remove(&number) else {
                continue;
            };
            match question.topic {
                Topic::Register(flow, target) => self.end_register(flow, target, question.waiting),
                Topic::Query(flow, fallback) => self.end_query(flow, None, fallback, question.waiting),
                Topic::Claim(ticket) => self.end_claim_unanswered(ticket),
                Topic::Copy(id, claimant, claim) => self.end_copy(id, claimant, claim, false),
                Topic::Slot(service, _) => self.end_ask(number, service, &question.open),
            }
        }
    }

    /// Takes a peer off a question. Returns whether nobody is left to answer.
    pub(super) fn answered(&mut self, number: u32, peer: &Arc<str>) -> bool {
        let Some(question) = self.questions.get_mut(&number) else {
            return false;
        };
        question.open.remove(peer);
        question.open.is_empty()
    }
}
