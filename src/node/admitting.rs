//! Gives waiting requests slots, lends and borrows them.

use std::{collections::BTreeSet, sync::Arc};

use rand::RngExt;

use super::{
    Node,
    event::Ticket,
    job::{Job, Slot, Stage},
    peer_query::QueryKind,
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
const OWNERS_ASKED: usize = 2;

/// Longest wait of a peer in another home's queue, in milliseconds.
const ASK_SLOT_MS: u64 = 100;

/// Time that a loan outlasts the deadline of its request, in milliseconds.
const LEASE_MARGIN_MS: u64 = 500;

impl Node {
    /// Runs admission of all services.
    pub(super) fn admit_all(&mut self) {
        for index in 0..self.services.len() {
            let service = &self.services[index];
            if service.queue.is_empty() && service.slots.has_no_leases() {
                continue;
            }
            self.expire_queue(index);
            self.expire_leases(index);
            self.admit(index);
        }
    }

    /// Gives the free slots of a service to those who wait, then asks other homes.
    pub(super) fn admit(&mut self, index: usize) {
        while let Some((entry, target)) = self.next_entry(index) {
            match entry.waiter {
                Waiter::Request(ticket) => {
                    self.services[index].slots.acquire(target);
                    self.run(ticket, target, Slot::Own);
                }
                Waiter::Peer(peer, query_id) => {
                    self.grant_lease(index, peer, query_id, target, entry.deadline)
                }
            }
        }
        self.ask_owners(index);
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
                Waiter::Peer(peer, query_id) => self.send(&peer, Message::SlotDenied(query_id)),
            }
        }
    }

    fn expire_leases(&mut self, index: usize) {
        let roster = &self.roster;
        self.services[index].slots.expire(self.now, |peer| roster.is_live(peer));
    }

    fn grant_lease(&mut self, index: usize, peer: Arc<str>, query_id: u32, target: u16, deadline: Time) {
        let service = &mut self.services[index];
        let Some(id) = service.router.id(target) else {
            return;
        };
        let service_id = service.id;
        service.slots.grant_lease(peer.clone(), query_id, target, deadline + LEASE_MARGIN_MS);
        self.send(&peer, Message::SlotLeased(query_id, service_id, id));
    }

    /// Asks other homes on behalf of requests that wait.
    fn ask_owners(&mut self, index: usize) {
        if self.services[index].queue.is_empty() || self.services[index].owners.is_empty() {
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
        let asked = self.queries.values().filter_map(|peer_query| match peer_query.kind {
            QueryKind::Slot(service, ticket) if service == index => Some(ticket),
            _ => None,
        });
        asked.collect()
    }

    fn ask_for(&mut self, index: usize, entry: &Entry) {
        let Waiter::Request(ticket) = entry.waiter else {
            return;
        };
        let service = &self.services[index];
        let owners = match entry.target {
            Some(target) => service.owners_by_target.get(&target),
            None => Some(&service.owners),
        };
        let live = |name: &&Arc<str>| self.roster.is_live(name);
        let mut owners: Vec<Arc<str>> = owners.into_iter().flatten().filter(live).cloned().collect();
        let service_id = service.id;
        let target = entry.target.and_then(|target| service.router.id(target));
        let left_ms = entry.until.since(self.now).min(ASK_SLOT_MS);
        for _ in 0..OWNERS_ASKED.min(owners.len()) {
            let owner = owners.swap_remove(self.rng.random_range(0..owners.len()));
            let number = self.start_query(
                QueryKind::Slot(index, ticket),
                [owner.clone()],
                vec![ticket],
                left_ms + ASK_SLOT_MS,
            );
            self.services[index].asked += 1;
            self.send(&owner, Message::RequestSlot(number, service_id, target, left_ms as u32));
        }
    }

    pub(super) fn take_ask(
        &mut self,
        sender: &Arc<str>,
        query_id: u32,
        service: ServiceId,
        target: Option<TargetId>,
        left_ms: u32,
    ) {
        let index = self.by_id.get(&service).copied();
        let number = match (index, target) {
            (Some(index), Some(target)) => self.services[index].router.target_index(target).map(Some),
            (Some(_), None) => Some(None),
            (None, _) => None,
        };
        let (Some(index), Some(target)) = (index, number) else {
            self.send(sender, Message::SlotDenied(query_id));
            return;
        };
        let until = self.now + u64::from(left_ms);
        let waiter = Waiter::Peer(sender.clone(), query_id);
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
        let peer_query = self.queries.remove(&number);
        let index = self.by_id.get(&service).copied();
        if let (Some(_), Some(index)) = (&peer_query, index) {
            self.note_answered_ask(index);
            let number_of_target = self.services[index].router.target_index(target);
            if let Some(ticket) = number_of_target.and_then(|target| self.first_for(index, target)) {
                self.services[index].queue.remove(&Waiter::Request(ticket));
                self.counts.borrowed += 1;
                self.run(ticket, number_of_target.unwrap_or_default(), Slot::Leased(sender.clone(), number));
                return;
            }
        }
        self.send(sender, Message::ReleaseSlot(number));
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
        if let Some(peer_query) = self.queries.remove(&number)
            && let QueryKind::Slot(index, _) = peer_query.kind
        {
            self.note_answered_ask(index);
        }
    }

    /// Ends a question for a slot that nobody answered; a late grant is given back.
    pub(super) fn end_ask(&mut self, number: u32, index: usize, owners: &BTreeSet<Arc<str>>) {
        self.note_answered_ask(index);
        for owner in owners {
            self.send(owner, Message::ReleaseSlot(number));
        }
    }

    fn note_answered_ask(&mut self, index: usize) {
        let asked = &mut self.services[index].asked;
        *asked = asked.saturating_sub(1);
    }

    /// Ends a loan to a peer, or takes its question out of the queue.
    pub(super) fn end_lease(&mut self, sender: &Arc<str>, query_id: u32) {
        for index in 0..self.services.len() {
            let service = &mut self.services[index];
            let ended = service.slots.end_lease(sender, query_id);
            let waiter = Waiter::Peer(sender.clone(), query_id);
            if ended || service.queue.remove(&waiter).is_some() {
                self.admit(index);
                return;
            }
        }
    }

    /// Gives the slot of a run back.
    pub(super) fn release(&mut self, index: usize, target: u16, slot: Slot) {
        match slot {
            Slot::Own => self.services[index].slots.release(target),
            Slot::Leased(owner, query_id) => self.send(&owner, Message::ReleaseSlot(query_id)),
        }
    }
}

fn avoids(job: Option<&Job>, target: u16) -> bool {
    match job {
        Some(Job::Work(work)) => work.avoid.contains(&target),
        _ => false,
    }
}
