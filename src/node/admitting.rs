//! Gives waiting requests slots, lends and borrows them.

use std::{collections::BTreeSet, sync::Arc};

use rand::RngExt;

use super::{
    Node,
    event::Ticket,
    job::{Job, Slot, Stage},
    question::Topic,
};
use crate::{
    admit::queue::{Entry, Waiter},
    route::router::TargetId,
    time::Time,
    wire::{Message, ServiceId},
};

/// Most open questions for slots of one service.
const MAX_ASKED: usize = 4;

/// Homes that are asked at once for one request.
const HOMES_ASKED: usize = 2;

/// Longest wait of a peer in another home's queue, in milliseconds.
const ASK_SLOT_MS: u64 = 100;

/// Time that a loan outlasts the deadline of its request, in milliseconds.
const LOAN_MARGIN_MS: u64 = 500;

impl Node {
    /// Runs admission of all services.
    pub(super) fn admit_all(&mut self) {
        for index in 0..self.services.len() {
            let service = &self.services[index];
            if service.queue.is_empty() && service.slots.is_idle() {
                continue;
            }
            self.expire_queue(index);
            self.expire_loans(index);
            self.admit(index);
        }
    }

    /// Gives the free slots of a service to those who wait, then asks other homes.
    pub(super) fn admit(&mut self, index: usize) {
        while let Some((entry, target)) = self.next_entry(index) {
            match entry.waiter {
                Waiter::Request(ticket) => {
                    self.services[index].slots.take(target);
                    self.run(ticket, target, Slot::Home);
                }
                Waiter::Peer(peer, question) => self.lend(index, peer, question, target, entry.deadline),
            }
        }
        self.ask_homes(index);
    }

    fn next_entry(&mut self, index: usize) -> Option<(Entry, u16)> {
        let now = self.now;
        let jobs = &self.jobs;
        let service = &mut self.services[index];
        let mut slots = std::mem::take(&mut service.slots);
        let mut queue = std::mem::take(&mut service.queue);
        let taken = queue.take(|entry| {
            let avoided = |target: u16| match entry.waiter {
                Waiter::Request(ticket) => avoids(jobs.get(&ticket), target),
                Waiter::Peer(..) => false,
            };
            match entry.target {
                Some(target) => (slots.free(target, service.allowed(target, now)) > 0).then_some(target),
                None => slots.pick(|target| {
                    let usable = service.takes_new_work(target, now) && !avoided(target);
                    if usable { service.allowed(target, now) } else { 0 }
                }),
            }
        });
        service.slots = slots;
        service.queue = queue;
        taken
    }

    /// Puts a request into the queue, or refuses it if it cannot end in time.
    pub(super) fn enqueue(&mut self, ticket: Ticket) {
        let Some(Job::Work(work)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let index = work.service;
        let service = &mut self.services[index];
        let latest_start = work.deadline - service.run_ms as u64;
        let until = (self.now + service.conf.queue_ms).min(latest_start);
        if until <= self.now {
            self.end_not_run(ticket, "its deadline cannot be met");
            return;
        }
        work.stage = Stage::Waiting;
        let entry =
            Entry { waiter: Waiter::Request(ticket), target: work.target, deadline: work.deadline, until };
        service.queue.push(entry);
        self.admit(index);
    }

    fn expire_queue(&mut self, index: usize) {
        for entry in self.services[index].queue.expire(self.now) {
            match entry.waiter {
                Waiter::Request(ticket) => self.end_not_run(ticket, "no slot came free in time"),
                Waiter::Peer(peer, question) => self.send(&peer, Message::Deny(question)),
            }
        }
    }

    fn expire_loans(&mut self, index: usize) {
        let roster = &self.roster;
        self.services[index].slots.expire(self.now, |peer| roster.is_live(peer));
    }

    fn lend(&mut self, index: usize, peer: Arc<str>, question: u32, target: u16, deadline: Time) {
        let service = &mut self.services[index];
        let Some(id) = service.router.id(target) else {
            return;
        };
        let service_id = service.id;
        service.slots.lend(peer.clone(), question, target, deadline + LOAN_MARGIN_MS);
        self.send(&peer, Message::Grant(question, service_id, id));
    }

    /// Asks other homes on behalf of requests that wait.
    fn ask_homes(&mut self, index: usize) {
        if self.services[index].queue.is_empty() || self.services[index].homes.is_empty() {
            return;
        }
        let asked: BTreeSet<Ticket> = self.asked_tickets(index);
        let room = MAX_ASKED.saturating_sub(asked.len());
        let waits =
            |entry: &&Entry| matches!(entry.waiter, Waiter::Request(ticket) if !asked.contains(&ticket));
        let entries: Vec<Entry> =
            self.services[index].queue.iter().filter(waits).take(room).cloned().collect();
        for entry in entries {
            self.ask_for(index, &entry);
        }
    }

    fn asked_tickets(&self, index: usize) -> BTreeSet<Ticket> {
        if self.services[index].asked == 0 {
            return BTreeSet::new();
        }
        let asked = self.questions.values().filter_map(|question| match question.topic {
            Topic::Slot(service, ticket) if service == index => Some(ticket),
            _ => None,
        });
        asked.collect()
    }

    fn ask_for(&mut self, index: usize, entry: &Entry) {
        let Waiter::Request(ticket) = entry.waiter else {
            return;
        };
        let service = &self.services[index];
        let homes = match entry.target {
            Some(target) => service.homes_by_target.get(&target),
            None => Some(&service.homes),
        };
        let live = |name: &&Arc<str>| self.roster.is_live(name);
        let mut homes: Vec<Arc<str>> = homes.into_iter().flatten().filter(live).cloned().collect();
        let service_id = service.id;
        let target = entry.target.and_then(|target| service.router.id(target));
        let left_ms = entry.until.since(self.now).min(ASK_SLOT_MS);
        for _ in 0..HOMES_ASKED.min(homes.len()) {
            let home = homes.swap_remove(self.rng.random_range(0..homes.len()));
            let number =
                self.ask(Topic::Slot(index, ticket), [home.clone()], vec![ticket], left_ms + ASK_SLOT_MS);
            self.services[index].asked += 1;
            self.send(&home, Message::AskSlot(number, service_id, target, left_ms as u32));
        }
    }

    pub(super) fn take_ask(
        &mut self,
        sender: &Arc<str>,
        question: u32,
        service: ServiceId,
        target: Option<TargetId>,
        left_ms: u32,
    ) {
        let index = self.by_id.get(&service).copied();
        let number = match (index, target) {
            (Some(index), Some(target)) => self.services[index].router.find(target).map(Some),
            (Some(_), None) => Some(None),
            (None, _) => None,
        };
        let (Some(index), Some(target)) = (index, number) else {
            self.send(sender, Message::Deny(question));
            return;
        };
        let until = self.now + u64::from(left_ms);
        let waiter = Waiter::Peer(sender.clone(), question);
        let deadline = until + self.services[index].run_ms as u64;
        self.services[index].queue.push(Entry { waiter, target, deadline, until });
        self.admit(index);
    }

    /// Uses a lent slot for the first request that can, or gives it back.
    pub(super) fn take_grant(
        &mut self,
        sender: &Arc<str>,
        number: u32,
        service: ServiceId,
        target: TargetId,
    ) {
        let question = self.questions.remove(&number);
        let index = self.by_id.get(&service).copied();
        if let (Some(_), Some(index)) = (&question, index) {
            self.note_answered_ask(index);
            let number_of_target = self.services[index].router.find(target);
            if let Some(ticket) = number_of_target.and_then(|target| self.first_for(index, target)) {
                self.services[index].queue.remove(&Waiter::Request(ticket));
                self.counts.borrowed += 1;
                self.run(ticket, number_of_target.unwrap_or_default(), Slot::Lent(sender.clone(), number));
                return;
            }
        }
        self.send(sender, Message::Release(number));
    }

    fn first_for(&self, index: usize, target: u16) -> Option<Ticket> {
        let service = &self.services[index];
        let usable = service.takes_new_work(target, self.now);
        service.queue.iter().find_map(|entry| match entry.waiter {
            Waiter::Request(ticket) => {
                let any = entry.target.is_none() && usable && !avoids(self.jobs.get(&ticket), target);
                (any || entry.target == Some(target)).then_some(ticket)
            }
            Waiter::Peer(..) => None,
        })
    }

    pub(super) fn take_denial(&mut self, number: u32) {
        if let Some(question) = self.questions.remove(&number)
            && let Topic::Slot(index, _) = question.topic
        {
            self.note_answered_ask(index);
        }
    }

    /// Ends a question for a slot that nobody answered; a late grant is given back.
    pub(super) fn end_ask(&mut self, number: u32, index: usize, homes: &BTreeSet<Arc<str>>) {
        self.note_answered_ask(index);
        for home in homes {
            self.send(home, Message::Release(number));
        }
    }

    fn note_answered_ask(&mut self, index: usize) {
        let asked = &mut self.services[index].asked;
        *asked = asked.saturating_sub(1);
    }

    /// Ends a loan to a peer, or takes its question out of the queue.
    pub(super) fn end_loan(&mut self, sender: &Arc<str>, question: u32) {
        for index in 0..self.services.len() {
            let service = &mut self.services[index];
            let ended = service.slots.end_loan(sender, question);
            let waiter = Waiter::Peer(sender.clone(), question);
            if ended || service.queue.remove(&waiter).is_some() {
                self.admit(index);
                return;
            }
        }
    }

    /// Gives the slot of a run back.
    pub(super) fn give_back(&mut self, index: usize, target: u16, slot: Slot) {
        match slot {
            Slot::Home => self.services[index].slots.give_back(target),
            Slot::Lent(home, question) => self.send(&home, Message::Release(question)),
        }
    }
}

fn avoids(job: Option<&Job>, target: u16) -> bool {
    match job {
        Some(Job::Work(work)) => work.avoid.contains(&target),
        _ => false,
    }
}
