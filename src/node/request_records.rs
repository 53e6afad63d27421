//! Claims and keeps records of requests that are not idempotent.

use std::sync::Arc;

use super::{
    Node,
    event::Ticket,
    job::{Job, Stage},
    peer_query::QueryKind,
};
use crate::{
    hash,
    retry::record::Holder,
    route::replica::{self, Candidate},
    wire::{ClaimReply, Completion, Flow, Message, Outcome, RequestId},
};

/// Wait for the second keeper's answer, in milliseconds.
const REPLICATION_TIMEOUT_MS: u64 = 100;

/// Time for which former keepers count too, in milliseconds.
const OVERLAP_MS: u64 = 1_000;

/// Wait for the first keeper's answer, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 250;

impl Node {
    /// Asks the first keeper of a request for leave to run it.
    pub(super) fn claim(&mut self, ticket: Ticket) {
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        pending.stage = Stage::Claiming;
        let (request, index) = (pending.request, pending.service);
        let flow = Flow { service: self.services[index].id, id: request.flow };
        let id = RequestId { flow, number: request.number };
        if let Some(pending) = self.pending(ticket) {
            pending.record = Some(id);
        }
        let is_first = request.attempt <= 1;
        let own = self.settings.name.clone();
        let Some(first) = self.record_replicas(id).into_iter().next() else {
            self.claim_timed_out(ticket);
            return;
        };
        let number =
            self.start_query(QueryKind::Claim(ticket), [first.clone()], vec![ticket], CLAIM_TIMEOUT_MS);
        if let Some(pending) = self.pending(ticket) {
            pending.claim = number;
        }
        if first == own {
            self.decide_claim(&own, number, id, is_first);
        } else {
            self.send(&first, Message::Claim(number, id, is_first));
        }
    }

    fn record_replicas(&self, id: RequestId) -> Vec<Arc<str>> {
        replica::replicas(&self.roster.established(self.now), record_key(id))
    }

    /// Other live instances that some instance may take for a keeper: present,
    /// coming and former ones.
    fn possible_replicas(&self, id: RequestId) -> Vec<Arc<str>> {
        let key = record_key(id);
        let mut possible = self.record_replicas(id);
        possible.extend(replica::replicas(&self.candidates, key));
        for (_, older) in &self.former_candidates {
            possible.extend(replica::replicas(older, key));
        }
        possible.extend(replica::replicas(&self.roster.established(self.now - OVERLAP_MS), key));
        possible.sort();
        possible.dedup();
        possible.retain(|name| *name != self.settings.name && self.roster.is_live(name));
        possible
    }

    /// Judges a claim as the first keeper.
    pub(super) fn decide_claim(
        &mut self,
        claimant: &Arc<str>,
        claim_number: u32,
        id: RequestId,
        is_first: bool,
    ) {
        let replicas = self.record_replicas(id);
        if replicas.first() != Some(&self.settings.name) {
            self.answer_claim(claimant, claim_number, ClaimReply::Refused);
            return;
        }
        let roster = &self.roster;
        let own = &self.settings.name;
        let is_live = |peer: &str| peer == &**own || roster.is_live(peer);
        let holder = Holder { instance: claimant.clone(), claim: claim_number };
        let claimed = self.records.claim(id, &holder, is_first, is_live, self.now);
        let others = self.possible_replicas(id);
        if claimed != ClaimReply::Granted || others.is_empty() {
            self.answer_claim(claimant, claim_number, claimed);
            return;
        }
        let kind = QueryKind::Replicate(id, claimant.clone(), claim_number);
        let query_id = self.start_query(kind, others.iter().cloned(), Vec::new(), REPLICATION_TIMEOUT_MS);
        for other in others {
            self.send(&other, Message::Replicate(query_id, id, holder.clone()));
        }
    }

    fn answer_claim(&mut self, claimant: &Arc<str>, claim_number: u32, claimed: ClaimReply) {
        let own = self.settings.name.clone();
        if *claimant == own {
            self.handle_claim_reply(&own, claim_number, claimed);
        } else {
            self.send(claimant, Message::ClaimReply(claim_number, claimed));
        }
    }

    pub(super) fn handle_replicate(
        &mut self,
        sender: &Arc<str>,
        replicate: u32,
        id: RequestId,
        holder: Holder,
    ) {
        let held = self.records.replicate(id, &holder, self.now);
        self.send(sender, Message::Replicated(replicate, held));
    }

    pub(super) fn handle_replicated(&mut self, sender: &Arc<str>, query_id: u32, held: bool) {
        let all_hold = self.answered(query_id, sender);
        if held && !all_hold {
            return;
        }
        let Some(peer_query) = self.queries.remove(&query_id) else {
            return;
        };
        if let QueryKind::Replicate(id, claimant, claim) = peer_query.kind {
            self.finish_replication(id, claimant, claim, held);
        }
    }

    /// Grants a claim, or refuses it as the second keeper holds no copy.
    pub(super) fn finish_replication(&mut self, id: RequestId, claimant: Arc<str>, claim: u32, held: bool) {
        if held {
            self.answer_claim(&claimant, claim, ClaimReply::Granted);
            return;
        }
        let why: Arc<str> = "its second keeper did not answer".into();
        let holder = Holder { instance: claimant.clone(), claim };
        self.complete_record(id, &holder, Completion::NotRun(why));
        self.answer_claim(&claimant, claim, ClaimReply::NotReplicated);
    }

    pub(super) fn handle_claim_reply(&mut self, _sender: &Arc<str>, query_id: u32, claimed: ClaimReply) {
        let Some(peer_query) = self.queries.remove(&query_id) else {
            return;
        };
        let QueryKind::Claim(ticket) = peer_query.kind else {
            return;
        };
        match claimed {
            ClaimReply::Granted => self.route_request(ticket),
            ClaimReply::InProgress(_) => self.mark_joined(ticket),
            ClaimReply::Ended(owner, completion) => {
                self.mark_joined(ticket);
                self.resolve_completion(ticket, &owner, completion);
            }
            ClaimReply::RecordLost => {
                let why = "an earlier attempt may have run, and its record is lost";
                self.end_without_record(ticket, Outcome::Unknown(why.into()));
            }
            ClaimReply::NotReplicated => {
                let why = "its keepers could not hold a record";
                self.end_without_record(ticket, Outcome::NotRun(why.into()));
            }
            ClaimReply::Refused => self.claim_refused(ticket),
        }
    }

    fn mark_joined(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending(ticket) {
            pending.stage = Stage::Joined;
            pending.may_have_run = true;
        }
    }

    /// Ends a claim that the first keeper did not answer. It may still grant it,
    /// so the record is ended as not run.
    pub(super) fn claim_timed_out(&mut self, ticket: Ticket) {
        let first = self.pending(ticket).is_some_and(|pending| pending.request.attempt <= 1);
        if !first {
            let why = "no keeper knows what became of an earlier attempt";
            self.end_without_record(ticket, Outcome::Unknown(why.into()));
            return;
        }
        self.end_not_run(ticket, "no keeper answered");
    }

    fn claim_refused(&mut self, ticket: Ticket) {
        let first = self.pending(ticket).is_some_and(|pending| pending.request.attempt <= 1);
        let why = "its first keeper refused it";
        if first {
            self.end_without_record(ticket, Outcome::NotRun(why.into()));
        } else {
            self.end_without_record(ticket, Outcome::Unknown(why.into()));
        }
    }

    /// Ends a request whose record belongs to another attempt.
    fn end_without_record(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(pending) = self.pending(ticket) {
            pending.record = None;
        }
        self.end(ticket, outcome);
    }

    /// Tells the keepers of a request what became of it.
    pub(super) fn report_completion(&mut self, id: RequestId, claim: u32, outcome: &Outcome) {
        if let Outcome::Done(answer) = outcome {
            self.answers.keep(id, answer.clone(), self.now);
        }
        let holder = Holder { instance: self.settings.name.clone(), claim };
        for replica in self.possible_replicas(id) {
            self.send(&replica, Message::Finish(id, claim, Completion::from(outcome)));
        }
        self.complete_record(id, &holder, Completion::from(outcome));
    }

    /// Takes the ending of a request, as its keeper.
    pub(super) fn handle_finish(
        &mut self,
        sender: &Arc<str>,
        id: RequestId,
        claim: u32,
        completion: Completion,
    ) {
        let holder = Holder { instance: sender.clone(), claim };
        self.complete_record(id, &holder, completion);
    }

    /// Takes a record that has ended over from another keeper.
    pub(super) fn handle_transfer_record(&mut self, id: RequestId, holder: &Holder, completion: Completion) {
        self.records.replicate(id, holder, self.now);
        self.complete_record(id, holder, completion);
    }

    fn complete_record(&mut self, id: RequestId, holder: &Holder, completion: Completion) {
        let joined = self.records.finish(id, holder, completion.clone(), self.now);
        self.notify_joined(id, joined, &holder.instance, &completion);
    }

    /// Lets those who joined a request know its outcome. An answer comes from the
    /// instance that ran it.
    fn notify_joined(
        &mut self,
        id: RequestId,
        joined: Vec<Arc<str>>,
        owner: &Arc<str>,
        completion: &Completion,
    ) {
        for peer in joined {
            match without_answer(completion) {
                Some(outcome) if peer == self.settings.name => self.finish_joined(id, &outcome),
                Some(outcome) => self.send(&peer, Message::Outcome(id, outcome)),
                None => self.send_answer_to(id, &peer, owner),
            }
        }
    }

    /// Has the owner of an answer send it to a peer, or sends it.
    fn send_answer_to(&mut self, id: RequestId, peer: &Arc<str>, owner: &Arc<str>) {
        let own = self.settings.name.clone();
        if *owner == own {
            let outcome = self.stored_outcome(id);
            self.deliver_outcome(id, peer, outcome);
        } else if *peer == own {
            self.send(owner, Message::GetOutcome(id));
        } else {
            let outcome = Outcome::Unknown("it ran; ask again for its answer".into());
            self.send(peer, Message::Outcome(id, outcome));
        }
    }

    fn deliver_outcome(&mut self, id: RequestId, peer: &Arc<str>, outcome: Outcome) {
        if *peer == self.settings.name {
            self.finish_joined(id, &outcome);
        } else {
            self.send(peer, Message::Outcome(id, outcome));
        }
    }

    fn stored_outcome(&self, id: RequestId) -> Outcome {
        match self.answers.get(id) {
            Some(answer) => Outcome::Done(answer.clone()),
            None => Outcome::Unknown("it ran; its answer is no longer kept".into()),
        }
    }

    /// Gives the outcome of a request that this instance ran.
    pub(super) fn send_outcome(&mut self, peer: &Arc<str>, id: RequestId) {
        let outcome = self.stored_outcome(id);
        self.send(peer, Message::Outcome(id, outcome));
    }

    /// Finds the outcome of a request that has ended before.
    fn resolve_completion(&mut self, ticket: Ticket, owner: &Arc<str>, completion: Completion) {
        if let Some(outcome) = without_answer(&completion) {
            self.end_without_record(ticket, outcome);
            return;
        }
        let Some(id) = self.pending(ticket).and_then(|pending| pending.record) else {
            return;
        };
        if *owner == self.settings.name {
            let outcome = self.stored_outcome(id);
            self.end_without_record(ticket, outcome);
        } else if self.roster.is_live(owner) {
            self.send(owner, Message::GetOutcome(id));
        } else {
            let why = "it ran; the instance that held its answer is gone";
            self.end_without_record(ticket, Outcome::Unknown(why.into()));
        }
    }

    /// Ends the requests of this instance that joined another attempt.
    pub(super) fn finish_joined(&mut self, id: RequestId, outcome: &Outcome) {
        let joined = |job: &Job| match job {
            Job::PendingRequest(pending) => pending.stage == Stage::Joined && pending.record == Some(id),
            Job::Packet(..) => false,
        };
        let mut tickets: Vec<Ticket> =
            self.jobs.iter().filter(|(_, job)| joined(job)).map(|(ticket, _)| *ticket).collect();
        tickets.sort();
        for ticket in tickets {
            self.end_without_record(ticket, outcome.clone());
        }
    }

    /// Ends the records of a lost instance.
    pub(super) fn fail_records_of(&mut self, owner: &str) {
        for (id, joined) in self.records.fail_owner(owner) {
            let completion = Completion::Unknown("the instance that ran it was lost".into());
            self.notify_joined(id, joined, &owner.into(), &completion);
        }
    }

    /// Copies records to keepers that are new.
    pub(super) fn transfer_records(&mut self, older: &[Candidate]) {
        let mut messages = Vec::new();
        for (id, holder, completion) in self.records.iter() {
            let before = replica::replicas(older, record_key(id));
            for peer in replica::replicas(&self.candidates, record_key(id)) {
                if peer == self.settings.name || before.contains(&peer) {
                    continue;
                }
                let message = match completion {
                    None => Message::Replicate(0, id, holder.clone()),
                    Some(completion) => Message::TransferRecord(id, holder.clone(), completion.clone()),
                };
                messages.push((peer, message));
            }
        }
        for (peer, message) in messages {
            self.send(&peer, message);
        }
    }
}

/// Outcome of an ending that has no answer.
fn without_answer(completion: &Completion) -> Option<Outcome> {
    match completion {
        Completion::Done => None,
        Completion::Failed(what) => Some(Outcome::Failed(what.clone())),
        Completion::NotRun(why) => Some(Outcome::NotRun(why.clone())),
        Completion::Unknown(why) => Some(Outcome::Unknown(why.clone())),
    }
}

fn record_key(id: RequestId) -> u64 {
    hash::pair(id.flow.id, id.number)
}
