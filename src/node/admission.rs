/*!
Assigns concurrency slots to queued requests.

Each concurrency slot of a target has one owner among the instances. A request
runs on a slot that this instance owns or leases from another owner. Both kinds
of waiters, own requests and lease requests of peers, share one queue per service
in order of deadline.
*/

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

/// Maximum number of requests per service for which slots are requested from peers
/// at the same time.
const MAX_SLOT_QUERIES: usize = 4;

/// Owners that are asked for a slot in parallel for one request.
const OWNERS_PER_REQUEST: usize = 2;

/// Maximum time that a lease request waits in the queue of an owner, in milliseconds.
const SLOT_QUERY_WAIT_MS: u64 = 100;

/// Time by which a lease outlasts the deadline of its request, in milliseconds.
const LEASE_MARGIN_MS: u64 = 500;

impl Node {
    /// Expires queue entries and leases of all services and admits what fits.
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

    /// Assigns the free slots of a service, then requests slots from other owners for
    /// the requests that still wait.
    pub(super) fn admit(&mut self, index: usize) {
        while let Some((entry, target)) = self.next_admissible(index) {
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
        self.query_owners(index);
    }

    /// Takes the first queue entry for which a slot is free, with the target of the slot.
    fn next_admissible(&mut self, index: usize) -> Option<(Entry, u16)> {
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

    /// Queues a request, or ends it as not run if it cannot be completed before its deadline.
    pub(super) fn enqueue(&mut self, ticket: Ticket) {
        let Some(Job::PendingRequest(pending)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let index = pending.service;
        let service = &mut self.services[index];
        let latest_start = pending.deadline - service.mean_run_ms as u64;
        let until = (self.now + service.conf.queue_ms).min(latest_start);
        if until <= self.now {
            self.end_not_run(ticket, "the deadline is too close for an average run");
            return;
        }
        pending.stage = Stage::Waiting;
        let entry = Entry {
            waiter: Waiter::Request(ticket),
            target: pending.target,
            deadline: pending.deadline,
            until,
        };
        service.queue.push(entry);
        self.admit(index);
    }

    fn expire_queue(&mut self, index: usize) {
        for entry in self.services[index].queue.expire(self.now) {
            match entry.waiter {
                Waiter::Request(ticket) => {
                    self.end_not_run(ticket, "no concurrency slot became free in time")
                }
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

    /// Requests slots from other owners for requests in the queue.
    fn query_owners(&mut self, index: usize) {
        if self.services[index].queue.is_empty() || self.services[index].owners.is_empty() {
            return;
        }
        let queried: BTreeSet<Ticket> = self.queried_tickets(index);
        let available = MAX_SLOT_QUERIES.saturating_sub(queried.len());
        let waits =
            |entry: &&Entry| matches!(entry.waiter, Waiter::Request(ticket) if !queried.contains(&ticket));
        let entries: Vec<Entry> =
            self.services[index].queue.iter().filter(waits).take(available).cloned().collect();
        for entry in entries {
            self.query_owners_for(index, &entry);
        }
    }

    fn queried_tickets(&self, index: usize) -> BTreeSet<Ticket> {
        if self.services[index].queried == 0 {
            return BTreeSet::new();
        }
        let queried = self.queries.values().filter_map(|peer_query| match peer_query.kind {
            QueryKind::Slot(service, ticket) if service == index => Some(ticket),
            _ => None,
        });
        queried.collect()
    }

    fn query_owners_for(&mut self, index: usize, entry: &Entry) {
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
        let left_ms = entry.until.since(self.now).min(SLOT_QUERY_WAIT_MS);
        for _ in 0..OWNERS_PER_REQUEST.min(owners.len()) {
            let owner = owners.swap_remove(self.rng.random_range(0..owners.len()));
            let query_id = self.start_query(
                QueryKind::Slot(index, ticket),
                [owner.clone()],
                vec![ticket],
                left_ms + SLOT_QUERY_WAIT_MS,
            );
            self.services[index].queried += 1;
            self.send(&owner, Message::RequestSlot(query_id, service_id, target, left_ms as u32));
        }
    }

    /// Queues the lease request of a peer; a request for an unknown service or target is denied.
    pub(super) fn handle_slot_request(
        &mut self,
        sender: &Arc<str>,
        query_id: u32,
        service: ServiceId,
        target: Option<TargetId>,
        left_ms: u32,
    ) {
        let index = self.service_by_id.get(&service).copied();
        let local_target = match (index, target) {
            (Some(index), Some(target)) => self.services[index].router.target_index(target).map(Some),
            (Some(_), None) => Some(None),
            (None, _) => None,
        };
        let (Some(index), Some(target)) = (index, local_target) else {
            self.send(sender, Message::SlotDenied(query_id));
            return;
        };
        let until = self.now + u64::from(left_ms);
        let waiter = Waiter::Peer(sender.clone(), query_id);
        let deadline = until + self.services[index].mean_run_ms as u64;
        self.services[index].queue.push(Entry { waiter, target, deadline, until });
        self.admit(index);
    }

    /// Runs the first suitable request on a leased slot, or returns the slot.
    pub(super) fn handle_slot_lease(
        &mut self,
        sender: &Arc<str>,
        query_id: u32,
        service: ServiceId,
        target: TargetId,
    ) {
        let peer_query = self.queries.remove(&query_id);
        let index = self.service_by_id.get(&service).copied();
        if let (Some(_), Some(index)) = (&peer_query, index) {
            self.slot_query_answered(index);
            let local_target = self.services[index].router.target_index(target);
            if let Some(ticket) = local_target.and_then(|target| self.first_runnable(index, target)) {
                self.services[index].queue.remove(&Waiter::Request(ticket));
                self.counts.borrowed += 1;
                self.run(ticket, local_target.unwrap_or_default(), Slot::Leased(sender.clone(), query_id));
                return;
            }
        }
        self.send(sender, Message::ReleaseSlot(query_id));
    }

    /// First queued request that may run on a target.
    fn first_runnable(&self, index: usize, target: u16) -> Option<Ticket> {
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

    pub(super) fn handle_slot_denial(&mut self, query_id: u32) {
        if let Some(peer_query) = self.queries.remove(&query_id)
            && let QueryKind::Slot(index, _) = peer_query.kind
        {
            self.slot_query_answered(index);
        }
    }

    /// Ends an unanswered slot query. The release lets each owner withdraw the query
    /// or a lease that is still in transit.
    pub(super) fn expire_slot_query(&mut self, query_id: u32, index: usize, owners: &BTreeSet<Arc<str>>) {
        self.slot_query_answered(index);
        for owner in owners {
            self.send(owner, Message::ReleaseSlot(query_id));
        }
    }

    fn slot_query_answered(&mut self, index: usize) {
        let queried = &mut self.services[index].queried;
        *queried = queried.saturating_sub(1);
    }

    /// Ends a lease of a peer, or removes the peer's lease request from the queue.
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

    /// Releases the slot of a run.
    pub(super) fn release(&mut self, index: usize, target: u16, slot: Slot) {
        match slot {
            Slot::Own => self.services[index].slots.release(target),
            Slot::Leased(owner, query_id) => self.send(&owner, Message::ReleaseSlot(query_id)),
        }
    }
}

/// Reports whether an earlier run of a request was unsuccessful on a target.
fn avoids(job: Option<&Job>, target: u16) -> bool {
    match job {
        Some(Job::PendingRequest(pending)) => pending.avoid.contains(&target),
        _ => false,
    }
}
