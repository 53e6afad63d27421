//! Turns requests into runs, and answers into outcomes.

use std::sync::Arc;

use rand::RngExt;

use super::{
    Node,
    action::Action,
    event::{Answer, Request, Ticket},
    job::{Job, Run, Slot, Stage, Work},
};
use crate::{
    admit::{outlier::RunResult, queue::Waiter},
    route::router::Decision,
    wire::Outcome,
};

/// Runs of one request at most.
const MAX_RUNS: u32 = 4;

/// Shortest pause before a request runs again, in milliseconds.
const PAUSE_MS: u64 = 5;

/// Longest deadline that is honoured, in milliseconds.
const MAX_LEFT_MS: u64 = 600_000;

impl Node {
    pub(super) fn take_request(&mut self, request: Request) {
        self.counts.requests += 1;
        let Some(service) = self.service_at(request.address) else {
            let why = if self.takes_part() { "no service has this address" } else { "not ready" };
            self.refuse(request.ticket, why);
            return;
        };
        let conf = &self.services[service].conf;
        if !self.limiter.try_enter(conf.urgency) {
            self.refuse(request.ticket, "too many requests of its urgency");
            return;
        }
        let left_ms = request.left_ms.unwrap_or(conf.deadline_ms).min(MAX_LEFT_MS);
        let work = Work {
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
        self.jobs.insert(request.ticket, Job::Work(Box::new(work)));
        if request.idempotent {
            self.route_request(request.ticket);
        } else {
            self.claim(request.ticket);
        }
    }

    fn refuse(&mut self, ticket: Ticket, why: &str) {
        self.counts.not_run += 1;
        self.out.push(Action::Reply { ticket, outcome: Outcome::NotRun(why.into()) });
    }

    /// Finds the target of a request's flow; a movable one needs none.
    pub(super) fn route_request(&mut self, ticket: Ticket) {
        let Some(work) = self.work(ticket) else {
            return;
        };
        work.stage = Stage::Routing;
        let (index, request) = (work.service, work.request);
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

    /// Binds a request to the target of its flow.
    pub(super) fn bind(&mut self, ticket: Ticket, target: Option<u16>) {
        let Some(work) = self.work(ticket) else {
            return;
        };
        work.target = target;
        if target.is_none() {
            self.end_not_run(ticket, "the service has no target");
            return;
        }
        self.enqueue(ticket);
    }

    /// Runs a request on a slot.
    pub(super) fn run(&mut self, ticket: Ticket, target: u16, slot: Slot) {
        let now = self.now;
        let Some(Job::Work(work)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let index = work.service;
        let service = &self.services[index];
        let (Some(address), Some(name)) = (service.address(target), service.router.name(target)) else {
            self.release(index, target, slot);
            self.end_not_run(ticket, "its target is gone");
            return;
        };
        work.runs += 1;
        self.counts.runs += 1;
        self.counts.retries += u64::from(work.runs > 1);
        work.stage = Stage::Running(Run { target, slot, started: now });
        let left_ms = work.deadline.since(now);
        let run = work.runs;
        self.out.push(Action::Run { ticket, run, name: name.clone(), target: address, left_ms });
    }

    pub(super) fn take_answer(&mut self, ticket: Ticket, run: u32, answer: Answer) {
        let Some(work) = self.work(ticket) else {
            return;
        };
        if work.runs != run || !matches!(work.stage, Stage::Running(_)) {
            return;
        }
        let index = work.service;
        let Stage::Running(ended) = std::mem::replace(&mut work.stage, Stage::Routing) else {
            return;
        };
        self.note_answer(index, &ended, &answer);
        self.release(index, ended.target, ended.slot);
        match answer {
            Answer::Done(bytes) => self.end(ticket, Outcome::Done(bytes)),
            Answer::Failed(what) => self.end(ticket, Outcome::Failed(what)),
            Answer::Shed => self.try_again(ticket, ended.target, "targets shed it"),
            Answer::Unreachable => self.try_again(ticket, ended.target, "its target cannot be reached"),
            Answer::Lost(what) => self.recover(ticket, ended.target, what),
        }
        self.admit(index);
    }

    fn note_answer(&mut self, index: usize, run: &Run, answer: &Answer) {
        let now = self.now;
        let service = &mut self.services[index];
        let result = match answer {
            Answer::Done(_) | Answer::Failed(_) => RunResult::Answered,
            Answer::Shed => RunResult::Shed,
            Answer::Unreachable | Answer::Lost(_) => RunResult::NoResponse,
        };
        service.outliers.record_result(run.target, result, now);
        if result == RunResult::Answered {
            service.note_run(now.since(run.started));
            self.budget.earn();
        }
        self.counts.shed += u64::from(result == RunResult::Shed);
    }

    /// Tries a request again that did not run, if budget and deadline allow.
    fn try_again(&mut self, ticket: Ticket, target: u16, why: &str) {
        let pause = PAUSE_MS + self.rng.random_range(0..PAUSE_MS);
        let now = self.now;
        let Some(work) = self.work(ticket) else {
            return;
        };
        work.avoid.push(target);
        let in_time = now + pause < work.deadline;
        let may = work.runs < MAX_RUNS && work.request.attempt <= 1 && in_time;
        if !may || !self.budget.spend() {
            self.end_not_run(ticket, why);
            return;
        }
        if let Some(work) = self.work(ticket) {
            work.stage = Stage::Pausing(now + pause);
        }
    }

    /// Ends a request whose run may have taken effect, or repeats it if it may be.
    fn recover(&mut self, ticket: Ticket, target: u16, what: Arc<str>) {
        let Some(work) = self.work(ticket) else {
            return;
        };
        work.may_have_run = true;
        if work.request.idempotent {
            self.try_again(ticket, target, "its answer was lost");
        } else {
            self.end(ticket, Outcome::Unknown(what));
        }
    }

    /// Ends a request that did not run; if an earlier run may have, it says so.
    pub(super) fn end_not_run(&mut self, ticket: Ticket, why: &str) {
        let may_have_run = self.work(ticket).is_some_and(|work| work.may_have_run);
        let outcome = if may_have_run { Outcome::Unknown(why.into()) } else { Outcome::NotRun(why.into()) };
        self.end(ticket, outcome);
    }

    /// Ends a request.
    pub(super) fn end(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(Job::Work(work)) = self.jobs.remove(&ticket) else {
            return;
        };
        let service = &mut self.services[work.service];
        self.limiter.leave(service.conf.urgency);
        if work.request.last {
            service.router.forget(work.request.flow);
        }
        match &outcome {
            Outcome::NotRun(_) => self.counts.not_run += 1,
            Outcome::Unknown(_) => self.counts.unknown += 1,
            Outcome::Done(_) | Outcome::Failed(_) => {}
        }
        if let Some(record) = work.record.filter(|_| work.stage != Stage::Joined) {
            self.finish_record(record, work.claim, &outcome);
        }
        self.out.push(Action::Reply { ticket, outcome });
    }

    /// Ends a request that its caller gave up.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        self.give_up(ticket, "its caller gave it up");
    }

    /// Takes a request out of the queue or off its target, and ends it.
    fn give_up(&mut self, ticket: Ticket, why: &str) {
        let Some(work) = self.work(ticket) else {
            return;
        };
        let (index, runs) = (work.service, work.runs);
        match work.stage.clone() {
            Stage::Running(run) => {
                work.may_have_run = true;
                self.out.push(Action::Abort { ticket, run: runs });
                self.release(index, run.target, run.slot);
            }
            Stage::Waiting => {
                self.services[index].queue.remove(&Waiter::Request(ticket));
            }
            Stage::Claiming | Stage::Joined | Stage::Routing | Stage::Pausing(_) => {}
        }
        self.end_not_run(ticket, why);
        self.admit(index);
    }

    /// Ends requests past their deadline, and resumes those whose pause is over.
    pub(super) fn expire_jobs(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        let mut resumed = Vec::new();
        for (ticket, job) in &self.jobs {
            let Job::Work(work) = job else {
                continue;
            };
            if work.deadline <= now {
                late.push(*ticket);
            } else if matches!(work.stage, Stage::Pausing(until) if until <= now) {
                resumed.push(*ticket);
            }
        }
        late.sort();
        resumed.sort();
        for ticket in late {
            self.miss_deadline(ticket);
        }
        for ticket in resumed {
            self.route_request(ticket);
        }
    }

    fn miss_deadline(&mut self, ticket: Ticket) {
        let Some(work) = self.work(ticket) else {
            return;
        };
        if let Stage::Running(run) = &work.stage {
            let (index, target) = (work.service, run.target);
            let now = self.now;
            self.services[index].outliers.record_result(target, RunResult::NoResponse, now);
        }
        self.give_up(ticket, "its deadline passed");
    }

    /// Request of a ticket.
    pub(super) fn work(&mut self, ticket: Ticket) -> Option<&mut Work> {
        match self.jobs.get_mut(&ticket) {
            Some(Job::Work(work)) => Some(work),
            _ => None,
        }
    }
}
