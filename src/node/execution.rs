/*!
Executes requests: from arrival over the runs on targets to the outcome.

A request that did not run is retried while the retry budget and its deadline permit;
if its service is movable, on another target. Once a run may have had an effect, only
an idempotent request is retried; the outcome is then unknown unless a later run
succeeds.
*/

use std::sync::Arc;

use rand::RngExt;

use super::{
    Node,
    action::Action,
    event::{Answer, Request, Ticket},
    job::{Job, PendingRequest, Run, Slot, Stage},
};
use crate::{
    admit::{outlier::RunResult, queue::Waiter},
    route::router::Decision,
    wire::Outcome,
};

/// Maximum number of runs of one request.
const MAX_RUNS_PER_REQUEST: u32 = 4;

/// Minimum delay before a retry, in milliseconds; random jitter of up to the same length is added.
const MIN_RETRY_DELAY_MS: u64 = 5;

/// Maximum time until a deadline, in milliseconds; longer ones are shortened to it.
const MAX_DEADLINE_MS: u64 = 600_000;

impl Node {
    /// Admits a request to the instance, or refuses it.
    pub(super) fn handle_request(&mut self, request: Request) {
        self.counts.requests += 1;
        let Some(service) = self.service_at(request.address) else {
            let why = if self.is_participant() {
                "no service has this address"
            } else {
                "the instance is not serving"
            };
            self.refuse(request.ticket, why);
            return;
        };
        let conf = &self.services[service].conf;
        if !self.limiter.try_enter(conf.urgency) {
            self.refuse(request.ticket, "too many requests of this urgency are in progress");
            return;
        }
        let left_ms = request.left_ms.unwrap_or(conf.deadline_ms).min(MAX_DEADLINE_MS);
        let pending = PendingRequest {
            request,
            service,
            deadline: self.now + left_ms,
            stage: Stage::Routing,
            target: None,
            avoid: Vec::new(),
            runs: 0,
            record: None,
            claim: 0,
            may_have_run: false,
        };
        self.jobs.insert(request.ticket, Job::PendingRequest(Box::new(pending)));
        if request.idempotent {
            self.route_request(request.ticket);
        } else {
            self.claim(request.ticket);
        }
    }

    fn refuse(&mut self, ticket: Ticket, why: &str) {
        self.counts.not_run += 1;
        self.actions.push(Action::Reply { ticket, outcome: Outcome::NotRun(why.into()) });
    }

    /// Finds the target of a request's flow, or queues the request if its service is
    /// movable, that is, if any target may run it.
    pub(super) fn route_request(&mut self, ticket: Ticket) {
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        pending.stage = Stage::Routing;
        let (index, request) = (pending.service, pending.request);
        if self.services[index].conf.movable {
            self.enqueue(ticket);
            return;
        }
        match self.decide(index, request.flow, request.first) {
            Decision::Target(target) => self.bind(ticket, Some(target)),
            Decision::NoTarget => self.bind(ticket, None),
            decision => self.resolve(index, request.flow, decision, ticket),
        }
    }

    /// Binds a request to the target of its flow and queues it.
    pub(super) fn bind(&mut self, ticket: Ticket, target: Option<u16>) {
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        pending.target = target;
        if target.is_none() {
            self.end_not_run(ticket, "the service has no target");
            return;
        }
        self.enqueue(ticket);
    }

    /// Runs a request on a target, using a concurrency slot.
    pub(super) fn run(&mut self, ticket: Ticket, target: u16, slot: Slot) {
        let now = self.now;
        let Some(Job::PendingRequest(pending)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let index = pending.service;
        let service = &self.services[index];
        let (Some(address), Some(name)) = (service.address(target), service.router.name(target)) else {
            self.release(index, target, slot);
            self.end_not_run(ticket, "the target was removed");
            return;
        };
        pending.runs += 1;
        self.counts.runs += 1;
        self.counts.retries += u64::from(pending.runs > 1);
        pending.stage = Stage::Running(Run { target, slot, started: now });
        let left_ms = pending.deadline.since(now);
        let run = pending.runs;
        self.actions.push(Action::Run { ticket, run, name: name.clone(), target: address, left_ms });
    }

    /// Takes the result of a run; results of earlier runs are ignored.
    pub(super) fn handle_answer(&mut self, ticket: Ticket, run: u32, answer: Answer) {
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        if pending.runs != run || !matches!(pending.stage, Stage::Running(_)) {
            return;
        }
        let index = pending.service;
        let Stage::Running(ended) = std::mem::replace(&mut pending.stage, Stage::Routing) else {
            return;
        };
        self.record_answer(index, &ended, &answer);
        self.release(index, ended.target, ended.slot);
        match answer {
            Answer::Done(bytes) => self.end(ticket, Outcome::Done(bytes)),
            Answer::Failed(what) => self.end(ticket, Outcome::Failed(what)),
            Answer::Shed => self.retry_later(ticket, ended.target, "the target shed the request"),
            Answer::Unreachable => self.retry_later(ticket, ended.target, "the target is unreachable"),
            Answer::Lost(what) => self.handle_lost_answer(ticket, ended.target, what),
        }
        self.admit(index);
    }

    /// Feeds the result of a run into outlier ejection, average run time and retry budget.
    fn record_answer(&mut self, index: usize, run: &Run, answer: &Answer) {
        let now = self.now;
        let service = &mut self.services[index];
        let result = match answer {
            Answer::Done(_) | Answer::Failed(_) => RunResult::Answered,
            Answer::Shed => RunResult::Shed,
            Answer::Unreachable | Answer::Lost(_) => RunResult::NoResponse,
        };
        service.outliers.record_result(run.target, result, now);
        if result == RunResult::Answered {
            service.record_run_time(now.since(run.started));
            self.budget.earn();
        }
        self.counts.shed += u64::from(result == RunResult::Shed);
    }

    /// Schedules a retry if budget and deadline permit; otherwise ends the request as
    /// not run.
    ///
    /// A customer's repeated attempt is not retried here.
    fn retry_later(&mut self, ticket: Ticket, target: u16, why: &str) {
        let retry_delay = MIN_RETRY_DELAY_MS + self.rng.random_range(0..MIN_RETRY_DELAY_MS);
        let now = self.now;
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        pending.avoid.push(target);
        let in_time = now + retry_delay < pending.deadline;
        let is_allowed = pending.runs < MAX_RUNS_PER_REQUEST && pending.request.attempt <= 1 && in_time;
        if !is_allowed || !self.budget.spend() {
            self.end_not_run(ticket, why);
            return;
        }
        if let Some(pending) = self.pending(ticket) {
            pending.stage = Stage::Backoff(now + retry_delay);
        }
    }

    /// Handles a run without a complete answer: retries an idempotent request, and ends
    /// any other with an unknown outcome.
    fn handle_lost_answer(&mut self, ticket: Ticket, target: u16, what: Arc<str>) {
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        pending.may_have_run = true;
        if pending.request.idempotent {
            self.retry_later(ticket, target, "the target's answer was lost");
        } else {
            self.end(ticket, Outcome::Unknown(what));
        }
    }

    /// Ends a request as not run, or as unknown if an earlier run may have had an effect.
    pub(super) fn end_not_run(&mut self, ticket: Ticket, why: &str) {
        let may_have_run = self.pending(ticket).is_some_and(|pending| pending.may_have_run);
        let outcome = if may_have_run { Outcome::Unknown(why.into()) } else { Outcome::NotRun(why.into()) };
        self.end(ticket, outcome);
    }

    /// Ends a request: leaves the limiter, completes the record and replies.
    pub(super) fn end(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(Job::PendingRequest(pending)) = self.jobs.remove(&ticket) else {
            return;
        };
        let service = &mut self.services[pending.service];
        self.limiter.leave(service.conf.urgency);
        if pending.request.last {
            service.router.forget(pending.request.flow);
        }
        match &outcome {
            Outcome::NotRun(_) => self.counts.not_run += 1,
            Outcome::Unknown(_) => self.counts.unknown += 1,
            Outcome::Done(_) | Outcome::Failed(_) => {}
        }
        if let Some(record) = pending.record.filter(|_| pending.stage != Stage::Joined) {
            self.report_completion(record, pending.claim, &outcome);
        }
        self.actions.push(Action::Reply { ticket, outcome });
    }

    /// Ends a request that the customer cancelled.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        self.abort_request(ticket, "the customer cancelled the request");
    }

    /// Ends a request in any stage: removes it from the queue or aborts its run.
    fn abort_request(&mut self, ticket: Ticket, why: &str) {
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        let (index, runs) = (pending.service, pending.runs);
        match pending.stage.clone() {
            Stage::Running(run) => {
                pending.may_have_run = true;
                self.actions.push(Action::Abort { ticket, run: runs });
                self.release(index, run.target, run.slot);
            }
            Stage::Waiting => {
                self.services[index].queue.remove(&Waiter::Request(ticket));
            }
            Stage::Claiming | Stage::Joined | Stage::Routing | Stage::Backoff(_) => {}
        }
        self.end_not_run(ticket, why);
        self.admit(index);
    }

    /// Ends requests past their deadline, and retries those whose delay has passed.
    pub(super) fn expire_jobs(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        let mut resumed = Vec::new();
        for (ticket, job) in &self.jobs {
            let Job::PendingRequest(pending) = job else {
                continue;
            };
            if pending.deadline <= now {
                late.push(*ticket);
            } else if matches!(pending.stage, Stage::Backoff(until) if until <= now) {
                resumed.push(*ticket);
            }
        }
        late.sort();
        resumed.sort();
        for ticket in late {
            self.deadline_missed(ticket);
        }
        for ticket in resumed {
            self.route_request(ticket);
        }
    }

    /// Ends a request past its deadline; if it runs, the target counts as not responding.
    fn deadline_missed(&mut self, ticket: Ticket) {
        let Some(pending) = self.pending(ticket) else {
            return;
        };
        if let Stage::Running(run) = &pending.stage {
            let (index, target) = (pending.service, run.target);
            let now = self.now;
            self.services[index].outliers.record_result(target, RunResult::NoResponse, now);
        }
        self.abort_request(ticket, "the deadline passed");
    }

    /// Request in progress with a ticket.
    pub(super) fn pending(&mut self, ticket: Ticket) -> Option<&mut PendingRequest> {
        match self.jobs.get_mut(&ticket) {
            Some(Job::PendingRequest(pending)) => Some(pending),
            _ => None,
        }
    }
}
