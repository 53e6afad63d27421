//! Finds the target of packets and of flows' requests, and asks keepers.

use std::{net::SocketAddr, sync::Arc};

use super::{
    Node,
    action::{Action, Notice},
    event::{Packet, Ticket},
    job::{Job, Stage},
    peer_query::QueryKind,
};
use crate::{
    route::{
        replica,
        router::{Decision, TargetId},
    },
    wire::{Flow, Message},
};

/// Lagging peers that are asked besides the keepers.
const LAGGING_ASKED: usize = 3;

impl Node {
    pub(super) fn take_packet(&mut self, packet: Packet) {
        let Some(service) = self.service_at(packet.address) else {
            self.drop_packet(packet.ticket);
            return;
        };
        let decision = self.decide(service, packet.flow, packet.first);
        match decision {
            Decision::Target(target) => self.forward(packet, service, target),
            Decision::NoTarget => self.drop_packet(packet.ticket),
            Decision::Register(_) | Decision::Lookup(_) if self.jobs.len() >= self.settings.max_waiting => {
                self.drop_packet(packet.ticket);
            }
            decision => {
                self.jobs.insert(packet.ticket, Job::Packet(packet, service));
                self.resolve(service, packet.flow, decision, packet.ticket);
            }
        }
    }

    /// Index of the service at an address, if this instance serves it.
    pub(super) fn service_at(&self, address: SocketAddr) -> Option<usize> {
        let index = self.by_address.get(&address).copied()?;
        self.takes_part().then_some(index)
    }

    /// Decides for a packet or a request's flow.
    pub(super) fn decide(&mut self, service: usize, flow: u64, first: bool) -> Decision {
        let now = self.now;
        let doubts = self.is_behind || self.roster.awaits_heartbeat();
        let router = &mut self.services[service].router;
        let is_held = router.flows().get(flow).is_some();
        let decision = if first { router.decide_first(flow, now) } else { router.decide_later(flow, now) };
        self.counts.opened += u64::from(first && !is_held);
        match decision {
            Decision::Target(target) if doubts && !is_held => {
                self.services[service].router.forget(flow);
                Decision::Lookup(target)
            }
            decision => decision,
        }
    }

    /// Asks keepers where a decision needs it. The ticket waits meanwhile.
    pub(super) fn resolve(&mut self, service: usize, flow: u64, decision: Decision, ticket: Ticket) {
        let id = Flow { service: self.services[service].id, id: flow };
        if let Some(peer_query) = self.open_query(id) {
            peer_query.waiting.push(ticket);
            return;
        }
        match decision {
            Decision::Register(target) => self.register(id, service, target, ticket),
            Decision::Lookup(fallback) => self.query(id, service, fallback, ticket),
            Decision::Target(target) => self.settle_flow(id, Some(target), vec![ticket]),
            Decision::NoTarget => self.settle_flow(id, None, vec![ticket]),
        }
    }

    fn open_query(&mut self, flow: Flow) -> Option<&mut super::peer_query::PeerQuery> {
        let same = |kind: &QueryKind| match kind {
            QueryKind::Register(asked, _) | QueryKind::LookupFlow(asked, _) => *asked == flow,
            _ => false,
        };
        self.queries.values_mut().find(|peer_query| same(&peer_query.kind))
    }

    /// Other instances that keep a flow, and whether this one does. Those of a
    /// moment ago count too, as not all instances see a change of keepers at once.
    fn replicas(&self, flow: Flow) -> (Vec<Arc<str>>, bool) {
        let older = self.older_candidates.iter().map(|(_, candidates)| candidates);
        let mut names = Vec::new();
        for candidates in older.chain([&self.candidates]) {
            names.extend(replica::replicas(candidates, flow.id));
        }
        names.sort();
        names.dedup();
        let own = names.contains(&self.settings.name);
        names.retain(|name| *name != self.settings.name && self.roster.is_live(name));
        (names, own)
    }

    fn register(&mut self, flow: Flow, service: usize, target: u16, ticket: Ticket) {
        let (peers, own) = self.replicas(flow);
        let now = self.now;
        let router = &mut self.services[service].router;
        let stored = if own { router.store_exception(flow.id, target, now) } else { None };
        let target = stored.unwrap_or(target);
        let Some(id) = self.services[service].router.id(target) else {
            return;
        };
        self.counts.registered += 1;
        if peers.is_empty() {
            self.settle_flow(flow, Some(target), vec![ticket]);
            return;
        }
        let wait_ms = self.settings.ask_ms;
        let number =
            self.start_query(QueryKind::Register(flow, target), peers.iter().cloned(), vec![ticket], wait_ms);
        for peer in peers {
            self.send(&peer, Message::Register(number, flow, id));
        }
    }

    fn query(&mut self, flow: Flow, service: usize, fallback: u16, ticket: Ticket) {
        if let Some(stored_target) = self.services[service].router.stored_target(flow.id) {
            self.settle_flow(flow, Some(stored_target), vec![ticket]);
            return;
        }
        let (mut peers, _) = self.replicas(flow);
        let lagging = self.lagging.iter().filter(|peer| !peers.contains(peer)).take(LAGGING_ASKED);
        let lagging: Vec<_> = lagging.cloned().collect();
        peers.extend(lagging);
        peers.extend(self.peer_that_ended().filter(|peer| !peers.contains(peer)));
        if peers.is_empty() {
            self.end_query(flow, None, fallback, vec![ticket]);
            return;
        }
        self.counts.queries += 1;
        let wait_ms = self.settings.ask_ms;
        let number = self.start_query(
            QueryKind::LookupFlow(flow, fallback),
            peers.iter().cloned(),
            vec![ticket],
            wait_ms,
        );
        for peer in peers {
            self.send(&peer, Message::LookupFlow(number, flow));
        }
    }

    /// Any peer that has ended the change which this instance has not.
    fn peer_that_ended(&self) -> Option<Arc<str>> {
        let progress = self.tracker.progress();
        let ended =
            |info: &&crate::member::Info| info.progress.settled == self.missed.unwrap_or(progress.effective);
        if progress.ready == progress.effective && self.missed.is_none() {
            return None;
        }
        self.roster.serving().find(ended).map(|info| info.name.clone())
    }

    pub(super) fn keep_for(&mut self, sender: &Arc<str>, query_id: u32, flow: Flow, target: TargetId) {
        let now = self.now;
        let stored = self.router_of(flow).and_then(|router| {
            let number = router.target_index(target)?;
            let stored = router.store_exception(flow.id, number, now)?;
            router.id(stored)
        });
        self.send(sender, Message::RegisterReply(query_id, stored));
    }

    pub(super) fn take_registered(&mut self, sender: &Arc<str>, number: u32, stored: Option<TargetId>) {
        let done = self.answered(number, sender);
        let Some(QueryKind::Register(flow, target)) = self.queries.get(&number).map(|q| q.kind.clone())
        else {
            return;
        };
        let other = self.known_target(flow, stored).filter(|stored| *stored != target);
        if let Some(other) = other
            && let Some(peer_query) = self.queries.get_mut(&number)
        {
            peer_query.kind = QueryKind::Register(flow, other);
        }
        if done {
            self.finish_register(number);
        }
    }

    fn finish_register(&mut self, number: u32) {
        let Some(peer_query) = self.queries.remove(&number) else {
            return;
        };
        if let QueryKind::Register(flow, target) = peer_query.kind {
            self.end_register(flow, target, peer_query.waiting);
        }
    }

    pub(super) fn end_register(&mut self, flow: Flow, target: u16, waiting: Vec<Ticket>) {
        self.settle_flow(flow, Some(target), waiting);
    }

    pub(super) fn look_up_for(&mut self, sender: &Arc<str>, query_id: u32, flow: Flow) {
        let mut is_held = false;
        let found = self.router_of(flow).and_then(|router| {
            let stored_target = router.stored_target(flow.id);
            is_held = stored_target.is_some();
            let computed_target = || router.computed_target(flow.id);
            router.id(stored_target.or_else(computed_target)?)
        });
        self.send(sender, Message::LookupReply(query_id, found, is_held));
    }

    pub(super) fn take_found(
        &mut self,
        sender: &Arc<str>,
        number: u32,
        found: Option<TargetId>,
        is_held: bool,
    ) {
        let done = self.answered(number, sender);
        let Some(QueryKind::LookupFlow(flow, fallback)) = self.queries.get(&number).map(|q| q.kind.clone())
        else {
            return;
        };
        let target = self.known_target(flow, found);
        let known = target.filter(|_| is_held);
        let fallback = target.unwrap_or(fallback);
        if known.is_some() || done {
            if let Some(peer_query) = self.queries.remove(&number) {
                self.end_query(flow, known, fallback, peer_query.waiting);
            }
        } else if let Some(peer_query) = self.queries.get_mut(&number) {
            peer_query.kind = QueryKind::LookupFlow(flow, fallback);
        }
    }

    pub(super) fn end_query(&mut self, flow: Flow, known: Option<u16>, fallback: u16, waiting: Vec<Ticket>) {
        if known.is_none() {
            self.counts.guessed += 1;
        }
        self.settle_flow(flow, Some(known.unwrap_or(fallback)), waiting);
    }

    /// Holds a flow on a target and lets go what waited for it.
    fn settle_flow(&mut self, flow: Flow, target: Option<u16>, waiting: Vec<Ticket>) {
        let Some(service) = self.by_id.get(&flow.service).copied() else {
            for ticket in waiting {
                self.drop_packet(ticket);
            }
            return;
        };
        let now = self.now;
        let router = &mut self.services[service].router;
        let target = router.flows().get(flow.id).or(target);
        if let Some(target) = target {
            router.track(flow.id, target, now);
        }
        for ticket in waiting {
            self.release_ticket(ticket, service, target);
        }
    }

    fn release_ticket(&mut self, ticket: Ticket, service: usize, target: Option<u16>) {
        match (self.jobs.get(&ticket), target) {
            (Some(Job::Packet(packet, _)), Some(target)) => {
                let packet = *packet;
                self.jobs.remove(&ticket);
                self.forward(packet, service, target);
            }
            (Some(Job::Packet(..)), None) => {
                self.jobs.remove(&ticket);
                self.drop_packet(ticket);
            }
            (Some(Job::Work(work)), target) if work.stage == Stage::Routing => {
                self.bind(ticket, target);
            }
            _ => {}
        }
    }

    fn forward(&mut self, packet: Packet, service: usize, target: u16) {
        let Some(address) = self.services[service].address(target) else {
            self.drop_packet(packet.ticket);
            return;
        };
        self.counts.forwarded += 1;
        self.out.push(Action::Forward { ticket: packet.ticket, target: address });
        if packet.last {
            self.services[service].router.forget(packet.flow);
        }
    }

    fn drop_packet(&mut self, ticket: Ticket) {
        self.counts.dropped += 1;
        self.out.push(Action::Drop { ticket });
    }

    /// Takes exceptions over from a keeper.
    pub(super) fn take_over(&mut self, flows: Vec<(Flow, TargetId)>) {
        let now = self.now;
        for (flow, target) in flows {
            if let Some(router) = self.router_of(flow)
                && let Some(number) = router.target_index(target)
            {
                router.store_exception(flow.id, number, now);
            }
        }
    }

    /// Hands kept exceptions to keepers that are new.
    pub(super) fn hand_exceptions(&mut self, older: &[replica::Candidate]) {
        const BATCH: usize = 512;
        let mut batches: std::collections::BTreeMap<Arc<str>, Vec<(Flow, TargetId)>> = Default::default();
        for service in &self.services {
            for (id, target) in service.router.stored() {
                let Some(target) = service.router.id(target) else {
                    continue;
                };
                let before = replica::replicas(older, id);
                for peer in replica::replicas(&self.candidates, id) {
                    if peer != self.settings.name && !before.contains(&peer) {
                        let flow = Flow { service: service.id, id };
                        batches.entry(peer).or_default().push((flow, target));
                    }
                }
            }
        }
        for (peer, flows) in batches {
            for batch in flows.chunks(BATCH) {
                self.send(&peer, Message::TransferExceptions(batch.to_vec()));
            }
        }
    }

    /// Registers the flows that more than one filter claims.
    pub(super) fn register_ambiguous(&mut self) {
        let mut batches: std::collections::BTreeMap<Arc<str>, Vec<(Flow, TargetId)>> = Default::default();
        let now = self.now;
        for index in 0..self.services.len() {
            for (id, target) in self.services[index].router.ambiguous_flows() {
                let flow = Flow { service: self.services[index].id, id };
                let (peers, own) = self.replicas(flow);
                let router = &mut self.services[index].router;
                if own {
                    router.store_exception(id, target, now);
                }
                let Some(target) = router.id(target) else {
                    continue;
                };
                for peer in peers {
                    batches.entry(peer).or_default().push((flow, target));
                }
            }
        }
        for (peer, flows) in batches {
            self.send(&peer, Message::TransferExceptions(flows));
        }
    }

    fn known_target(&mut self, flow: Flow, id: Option<TargetId>) -> Option<u16> {
        let router = self.router_of(flow)?;
        let number = router.target_index(id?)?;
        (!router.is_gone(number)).then_some(number)
    }

    fn router_of(&mut self, flow: Flow) -> Option<&mut crate::route::router::Router> {
        let index = self.by_id.get(&flow.service).copied()?;
        Some(&mut self.services[index].router)
    }

    /// Drops flows, exceptions and filters that have been idle too long.
    pub(super) fn sweep_flows(&mut self) {
        let now = self.now;
        for service in &mut self.services {
            service.router.expire(now, service.conf.idle_s);
        }
    }

    /// Drops records that are old, and targets past their drain limit.
    pub(super) fn expire_state(&mut self) {
        let now = self.now;
        let mut notices = Vec::new();
        for service in &mut self.services {
            let limit_ms = service.conf.drain_limit_s * 1_000;
            for (number, target) in &service.targets {
                let drained = target.leaving_since.is_some_and(|since| now.since(since) >= limit_ms);
                if drained && !service.router.is_gone(*number) {
                    let dropped = service.router.drop_target(*number);
                    notices.push(Notice::FlowsDropped(target.key.clone(), dropped));
                }
            }
        }
        self.records.expire(now);
        self.answers.expire(now);
        for notice in notices {
            self.notice(notice);
        }
    }
}
