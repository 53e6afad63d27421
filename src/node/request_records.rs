/*!
Runs requests that are not idempotent at most once.

An instance claims such a request at its primary replica before it runs it. The
primary grants one claim, after the other replicas have stored a copy of the
record. Later attempts of the customer, on any instance, then get the outcome of
the first one instead of a second run. The outcome is unknown if the record is
lost.

The body of an answer stays on the instance that ran the request; replicas store
only the completion.
*/

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

/// Time in which all other replicas must confirm a copy of a record, in
/// milliseconds.
const REPLICATION_TIMEOUT_MS: u64 = 100;

/// Time for which the former replicas still get copies after another instance has become
/// established, in milliseconds.
const ESTABLISHED_OVERLAP_MS: u64 = 1_000;

/// Time in which the primary replica must reply to a claim, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 250;

impl Node {
    /// Claims a request at its primary replica.
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

    /// Replicas of a record, primary first. Only established instances count, as others
    /// may lack records.
    fn record_replicas(&self, id: RequestId) -> Vec<Arc<str>> {
        replica::replicas(&self.roster.established(self.now), record_key(id))
    }

    /// Other live instances that any instance may consider a replica of a record:
    /// present, former, and those that are not established yet.
    fn possible_replicas(&self, id: RequestId) -> Vec<Arc<str>> {
        let key = record_key(id);
        let mut possible = self.record_replicas(id);
        possible.extend(replica::replicas(&self.candidates, key));
        for (_, older) in &self.former_candidates {
            possible.extend(replica::replicas(older, key));
        }
        possible.extend(replica::replicas(&self.roster.established(self.now - ESTABLISHED_OVERLAP_MS), key));
        possible.sort();
        possible.dedup();
        possible.retain(|name| *name != self.settings.name && self.roster.is_live(name));
        possible
    }

    /// Decides on a claim as the primary replica.
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
        let reply = self.records.claim(id, &holder, is_first, is_live, self.now);
        let others = self.possible_replicas(id);
        if reply != ClaimReply::Granted || others.is_empty() {
            self.answer_claim(claimant, claim_number, reply);
            return;
        }
        let kind = QueryKind::Replicate(id, claimant.clone(), claim_number);
        let query_id = self.start_query(kind, others.iter().cloned(), Vec::new(), REPLICATION_TIMEOUT_MS);
        for other in others {
            self.send(&other, Message::Replicate(query_id, id, holder.clone()));
        }
    }

    /// Replies to a claim, which may be one of this instance.
    fn answer_claim(&mut self, claimant: &Arc<str>, claim_number: u32, reply: ClaimReply) {
        let own = self.settings.name.clone();
        if *claimant == own {
            self.handle_claim_reply(&own, claim_number, reply);
        } else {
            self.send(claimant, Message::ClaimReply(claim_number, reply));
        }
    }

    /// Stores a copy of a record.
    pub(super) fn handle_replicate(
        &mut self,
        sender: &Arc<str>,
        replicate: u32,
        id: RequestId,
        holder: Holder,
    ) {
        let is_stored = self.records.replicate(id, &holder, self.now);
        self.send(sender, Message::Replicated(replicate, is_stored));
    }

    /// Takes the reply of a replica; the first refusal ends the replication.
    pub(super) fn handle_replicated(&mut self, sender: &Arc<str>, query_id: u32, is_stored: bool) {
        let is_complete = self.answered(query_id, sender);
        if is_stored && !is_complete {
            return;
        }
        let Some(peer_query) = self.queries.remove(&query_id) else {
            return;
        };
        if let QueryKind::Replicate(id, claimant, claim) = peer_query.kind {
            self.finish_replication(id, claimant, claim, is_stored);
        }
    }

    /// Grants a claim if all replicas hold a copy of the record; otherwise completes the
    /// record as not run and refuses the claim.
    pub(super) fn finish_replication(
        &mut self,
        id: RequestId,
        claimant: Arc<str>,
        claim: u32,
        is_stored: bool,
    ) {
        if is_stored {
            self.answer_claim(&claimant, claim, ClaimReply::Granted);
            return;
        }
        let why: Arc<str> = "a replica did not store a copy of the record".into();
        let holder = Holder { instance: claimant.clone(), claim };
        self.complete_record(id, &holder, Completion::NotRun(why));
        self.answer_claim(&claimant, claim, ClaimReply::NotReplicated);
    }

    /// Runs a request whose claim was granted, or ends it with the outcome of the other attempt.
    pub(super) fn handle_claim_reply(&mut self, _sender: &Arc<str>, query_id: u32, reply: ClaimReply) {
        let Some(peer_query) = self.queries.remove(&query_id) else {
            return;
        };
        let QueryKind::Claim(ticket) = peer_query.kind else {
            return;
        };
        match reply {
            ClaimReply::Granted => self.route_request(ticket),
            ClaimReply::InProgress(_) => self.mark_joined(ticket),
            ClaimReply::Ended(holder, completion) => {
                self.mark_joined(ticket);
                self.resolve_completion(ticket, &holder, completion);
            }
            ClaimReply::RecordLost => {
                let why = "an earlier attempt may have run, but its record is lost";
                self.end_without_record(ticket, Outcome::Unknown(why.into()));
            }
            ClaimReply::NotReplicated => {
                let why = "the replicas could not store a record";
                self.end_without_record(ticket, Outcome::NotRun(why.into()));
            }
            ClaimReply::Refused => self.claim_refused(ticket),
        }
    }

    /// Lets a request wait for the outcome of another attempt.
    fn mark_joined(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending(ticket) {
            pending.stage = Stage::Joined;
            pending.may_have_run = true;
        }
    }

    /// Ends a request whose claim got no reply. The primary replica may still grant the
    /// claim, so the first attempt completes the record as not run.
    pub(super) fn claim_timed_out(&mut self, ticket: Ticket) {
        let first = self.pending(ticket).is_some_and(|pending| pending.request.attempt <= 1);
        if !first {
            let why = "no replica replied about the earlier attempt";
            self.end_without_record(ticket, Outcome::Unknown(why.into()));
            return;
        }
        self.end_not_run(ticket, "no replica replied to the claim");
    }

    /// Ends a request whose claim was refused. An earlier attempt may have run.
    fn claim_refused(&mut self, ticket: Ticket) {
        let first = self.pending(ticket).is_some_and(|pending| pending.request.attempt <= 1);
        let why = "the primary replica refused the claim";
        if first {
            self.end_without_record(ticket, Outcome::NotRun(why.into()));
        } else {
            self.end_without_record(ticket, Outcome::Unknown(why.into()));
        }
    }

    /// Ends a request without completing its record, which belongs to another attempt.
    fn end_without_record(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(pending) = self.pending(ticket) {
            pending.record = None;
        }
        self.end(ticket, outcome);
    }

    /// Stores the answer of a request and reports its completion to all replicas.
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

    /// Completes a record as reported by the instance that ran the request.
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

    /// Stores a completed record that another replica transferred.
    pub(super) fn handle_transfer_record(&mut self, id: RequestId, holder: &Holder, completion: Completion) {
        self.records.replicate(id, holder, self.now);
        self.complete_record(id, holder, completion);
    }

    /// Completes a record and reports the outcome to the attempts that wait for it.
    fn complete_record(&mut self, id: RequestId, holder: &Holder, completion: Completion) {
        let joined = self.records.finish(id, holder, completion.clone(), self.now);
        self.notify_joined(id, joined, &holder.instance, &completion);
    }

    /// Reports an outcome to the instances whose attempts wait for it. The body of an
    /// answer comes from the instance that ran the request, the holder.
    fn notify_joined(
        &mut self,
        id: RequestId,
        joined: Vec<Arc<str>>,
        holder: &Arc<str>,
        completion: &Completion,
    ) {
        for peer in joined {
            match without_answer(completion) {
                Some(outcome) if peer == self.settings.name => self.finish_joined(id, &outcome),
                Some(outcome) => self.send(&peer, Message::Outcome(id, outcome)),
                None => self.send_answer_to(id, &peer, holder),
            }
        }
    }

    /// Sends an answer to a peer if this instance ran the request. Otherwise requests it from
    /// the holder, or asks the customer behind the peer to retry.
    fn send_answer_to(&mut self, id: RequestId, peer: &Arc<str>, holder: &Arc<str>) {
        let own = self.settings.name.clone();
        if *holder == own {
            let outcome = self.stored_outcome(id);
            self.deliver_outcome(id, peer, outcome);
        } else if *peer == own {
            self.send(holder, Message::GetOutcome(id));
        } else {
            let outcome = Outcome::Unknown("the request ran; retry it to get the answer".into());
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
            None => Outcome::Unknown("the request ran, but its answer is no longer stored".into()),
        }
    }

    /// Sends the outcome of a request that this instance ran.
    pub(super) fn send_outcome(&mut self, peer: &Arc<str>, id: RequestId) {
        let outcome = self.stored_outcome(id);
        self.send(peer, Message::Outcome(id, outcome));
    }

    /// Ends a request with the outcome of an attempt that was completed before.
    fn resolve_completion(&mut self, ticket: Ticket, holder: &Arc<str>, completion: Completion) {
        if let Some(outcome) = without_answer(&completion) {
            self.end_without_record(ticket, outcome);
            return;
        }
        let Some(id) = self.pending(ticket).and_then(|pending| pending.record) else {
            return;
        };
        if *holder == self.settings.name {
            let outcome = self.stored_outcome(id);
            self.end_without_record(ticket, outcome);
        } else if self.roster.is_live(holder) {
            self.send(holder, Message::GetOutcome(id));
        } else {
            let why = "the request ran, but the instance that stored its answer failed or stopped";
            self.end_without_record(ticket, Outcome::Unknown(why.into()));
        }
    }

    /// Ends the requests that wait here for the outcome of another attempt.
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

    /// Completes the running records of an instance that failed or stopped as unknown.
    pub(super) fn fail_records_of(&mut self, holder: &str) {
        for (id, joined) in self.records.fail_holder(holder) {
            let completion =
                Completion::Unknown("the instance that ran the request failed or stopped".into());
            self.notify_joined(id, joined, &holder.into(), &completion);
        }
    }

    /// Sends stored records to their new replicas.
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

/// Outcome for a completion without an answer body; none for [`Completion::Done`].
fn without_answer(completion: &Completion) -> Option<Outcome> {
    match completion {
        Completion::Done => None,
        Completion::Failed(what) => Some(Outcome::Failed(what.clone())),
        Completion::NotRun(why) => Some(Outcome::NotRun(why.clone())),
        Completion::Unknown(why) => Some(Outcome::Unknown(why.clone())),
    }
}

/// Key from which the replicas of a record are chosen.
fn record_key(id: RequestId) -> u64 {
    hash::pair(id.flow.id, id.number)
}
