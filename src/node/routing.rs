/*!
Finds the target of a flow.

The router of the service decides from its flow table, routing table and filters.
Where these do not determine the target, packets and requests of the flow wait
while the replicas of the flow are queried. If no replica knows the flow in time,
it goes to the fallback target that the router computed.

A new flow on an unsettled hash slot is registered with its replicas as an
exception before its first packet is forwarded.
*/

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

/// Maximum number of lagging peers that are queried besides the replicas of a flow.
const MAX_LAGGING_QUERIED: usize = 3;

impl Node {
    /// Forwards a packet, drops it, or lets it wait for the target of its flow.
    pub(super) fn handle_packet(&mut self, packet: Packet) {
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

    /// Index of the service at an address, if this instance routes at all.
    pub(super) fn service_at(&self, address: SocketAddr) -> Option<usize> {
        let index = self.service_by_address.get(&address).copied()?;
        self.is_participant().then_some(index)
    }

    /// Decides on the target of a flow for a packet or a request.
    ///
    /// While this instance may have missed changes, it looks up flows that it does not
    /// track even if it can compute their targets.
    pub(super) fn decide(&mut self, service: usize, flow: u64, first: bool) -> Decision {
        let now = self.now;
        let is_view_stale = self.is_behind || self.roster.awaits_heartbeat();
        let router = &mut self.services[service].router;
        let is_tracked = router.flows().get(flow).is_some();
        let decision = if first { router.decide_first(flow, now) } else { router.decide_later(flow, now) };
        self.counts.opened += u64::from(first && !is_tracked);
        match decision {
            Decision::Target(target) if is_view_stale && !is_tracked => {
                self.services[service].router.forget(flow);
                Decision::Lookup(target)
            }
            decision => decision,
        }
    }

    /// Queries replicas if the decision requires it; the ticket waits for the result.
    /// A query in progress for the same flow is shared.
    pub(super) fn resolve(&mut self, service: usize, flow: u64, decision: Decision, ticket: Ticket) {
        let id = Flow { service: self.services[service].id, id: flow };
        if let Some(peer_query) = self.open_query(id) {
            peer_query.waiting.push(ticket);
            return;
        }
        match decision {
            Decision::Register(target) => self.register(id, service, target, ticket),
            Decision::Lookup(fallback) => self.lookup(id, service, fallback, ticket),
            Decision::Target(target) => self.assign_flow(id, Some(target), vec![ticket]),
            Decision::NoTarget => self.assign_flow(id, None, vec![ticket]),
        }
    }

    /// Query in progress for a flow.
    fn open_query(&mut self, flow: Flow) -> Option<&mut super::peer_query::PeerQuery> {
        let same = |kind: &QueryKind| match kind {
            QueryKind::Register(queried, _) | QueryKind::LookupFlow(queried, _) => *queried == flow,
            _ => false,
        };
        self.queries.values_mut().find(|peer_query| same(&peer_query.kind))
    }

    /// Other live replicas of a flow, and whether this instance is one. Former replicas
    /// are included, because instances do not see a change of replicas at the same time.
    fn replicas(&self, flow: Flow) -> (Vec<Arc<str>>, bool) {
        let older = self.former_candidates.iter().map(|(_, candidates)| candidates);
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

    /// Registers a flow as an exception with its replicas, this instance included if it
    /// is one, and assigns the flow when all have replied.
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
            self.assign_flow(flow, Some(target), vec![ticket]);
            return;
        }
        let wait_ms = self.settings.ask_ms;
        let query_id =
            self.start_query(QueryKind::Register(flow, target), peers.iter().cloned(), vec![ticket], wait_ms);
        for peer in peers {
            self.send(&peer, Message::Register(query_id, flow, id));
        }
    }

    /// Queries the target of a flow at its replicas, at lagging peers, which may have
    /// opened the flow by an older table, and at a peer that has settled the change.
    fn lookup(&mut self, flow: Flow, service: usize, fallback: u16, ticket: Ticket) {
        if let Some(stored_target) = self.services[service].router.stored_target(flow.id) {
            self.assign_flow(flow, Some(stored_target), vec![ticket]);
            return;
        }
        let (mut peers, _) = self.replicas(flow);
        let lagging_peers =
            self.lagging_peers.iter().filter(|peer| !peers.contains(peer)).take(MAX_LAGGING_QUERIED);
        let lagging_peers: Vec<_> = lagging_peers.cloned().collect();
        peers.extend(lagging_peers);
        peers.extend(self.settled_peer().filter(|peer| !peers.contains(peer)));
        if peers.is_empty() {
            self.finish_lookup(flow, None, fallback, vec![ticket]);
            return;
        }
        self.counts.queries += 1;
        let wait_ms = self.settings.ask_ms;
        let query_id = self.start_query(
            QueryKind::LookupFlow(flow, fallback),
            peers.iter().cloned(),
            vec![ticket],
            wait_ms,
        );
        for peer in peers {
            self.send(&peer, Message::LookupFlow(query_id, flow));
        }
    }

    /// A peer that has settled the change that is unfinished here, if there is one.
    fn settled_peer(&self) -> Option<Arc<str>> {
        let progress = self.tracker.progress();
        let ended = |info: &&crate::member::Info| {
            info.progress.settled == self.missed_change.unwrap_or(progress.effective)
        };
        if progress.ready == progress.effective && self.missed_change.is_none() {
            return None;
        }
        self.roster.serving().find(ended).map(|info| info.name.clone())
    }

    /// Stores an exception for a peer and replies with the target that applies.
    pub(super) fn handle_register(&mut self, sender: &Arc<str>, query_id: u32, flow: Flow, target: TargetId) {
        let now = self.now;
        let stored = self.router_of(flow).and_then(|router| {
            let index = router.target_index(target)?;
            let stored = router.store_exception(flow.id, index, now)?;
            router.id(stored)
        });
        self.send(sender, Message::RegisterReply(query_id, stored));
    }

    /// Takes the reply of a replica. The target of an earlier registration takes precedence.
    pub(super) fn handle_register_reply(
        &mut self,
        sender: &Arc<str>,
        query_id: u32,
        stored: Option<TargetId>,
    ) {
        let done = self.answered(query_id, sender);
        let Some(QueryKind::Register(flow, target)) = self.queries.get(&query_id).map(|q| q.kind.clone())
        else {
            return;
        };
        let other = self.known_target(flow, stored).filter(|stored| *stored != target);
        if let Some(other) = other
            && let Some(peer_query) = self.queries.get_mut(&query_id)
        {
            peer_query.kind = QueryKind::Register(flow, other);
        }
        if done {
            self.finish_register_query(query_id);
        }
    }

    fn finish_register_query(&mut self, query_id: u32) {
        let Some(peer_query) = self.queries.remove(&query_id) else {
            return;
        };
        if let QueryKind::Register(flow, target) = peer_query.kind {
            self.finish_registration(flow, target, peer_query.waiting);
        }
    }

    pub(super) fn finish_registration(&mut self, flow: Flow, target: u16, waiting: Vec<Ticket>) {
        self.assign_flow(flow, Some(target), waiting);
    }

    /// Replies with the target of a flow, tracked, stored or computed.
    pub(super) fn handle_lookup(&mut self, sender: &Arc<str>, query_id: u32, flow: Flow) {
        let mut is_known = false;
        let found = self.router_of(flow).and_then(|router| {
            let stored_target = router.stored_target(flow.id);
            is_known = stored_target.is_some();
            let computed_target = || router.computed_target(flow.id);
            router.id(stored_target.or_else(computed_target)?)
        });
        self.send(sender, Message::LookupReply(query_id, found, is_known));
    }

    /// Takes the reply of a peer. A tracked or stored target ends the lookup at once; a
    /// computed one becomes the fallback.
    pub(super) fn handle_lookup_reply(
        &mut self,
        sender: &Arc<str>,
        query_id: u32,
        found: Option<TargetId>,
        is_known: bool,
    ) {
        let done = self.answered(query_id, sender);
        let Some(QueryKind::LookupFlow(flow, fallback)) = self.queries.get(&query_id).map(|q| q.kind.clone())
        else {
            return;
        };
        let target = self.known_target(flow, found);
        let known = target.filter(|_| is_known);
        let fallback = target.unwrap_or(fallback);
        if known.is_some() || done {
            if let Some(peer_query) = self.queries.remove(&query_id) {
                self.finish_lookup(flow, known, fallback, peer_query.waiting);
            }
        } else if let Some(peer_query) = self.queries.get_mut(&query_id) {
            peer_query.kind = QueryKind::LookupFlow(flow, fallback);
        }
    }

    /// Assigns a flow to its known target, or to the fallback.
    pub(super) fn finish_lookup(
        &mut self,
        flow: Flow,
        known: Option<u16>,
        fallback: u16,
        waiting: Vec<Ticket>,
    ) {
        if known.is_none() {
            self.counts.guessed += 1;
        }
        self.assign_flow(flow, Some(known.unwrap_or(fallback)), waiting);
    }

    /// Tracks a flow on a target, and resumes the packets and requests that waited for it.
    ///
    /// A target under which the flow is already tracked takes precedence.
    fn assign_flow(&mut self, flow: Flow, target: Option<u16>, waiting: Vec<Ticket>) {
        let Some(service) = self.service_by_id.get(&flow.service).copied() else {
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
            self.resume(ticket, service, target);
        }
    }

    /// Continues a packet or request whose target is known, or is known to be missing.
    fn resume(&mut self, ticket: Ticket, service: usize, target: Option<u16>) {
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
            (Some(Job::PendingRequest(pending)), target) if pending.stage == Stage::Routing => {
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
        self.actions.push(Action::Forward { ticket: packet.ticket, target: address });
        if packet.last {
            self.services[service].router.forget(packet.flow);
        }
    }

    fn drop_packet(&mut self, ticket: Ticket) {
        self.counts.dropped += 1;
        self.actions.push(Action::Drop { ticket });
    }

    /// Stores exceptions that another replica transferred.
    pub(super) fn accept_exceptions(&mut self, flows: Vec<(Flow, TargetId)>) {
        let now = self.now;
        for (flow, target) in flows {
            if let Some(router) = self.router_of(flow)
                && let Some(index) = router.target_index(target)
            {
                router.store_exception(flow.id, index, now);
            }
        }
    }

    /// Sends the stored exceptions to their new replicas.
    pub(super) fn transfer_exceptions(&mut self, older: &[replica::Candidate]) {
        const EXCEPTIONS_PER_MESSAGE: usize = 512;
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
            for batch in flows.chunks(EXCEPTIONS_PER_MESSAGE) {
                self.send(&peer, Message::TransferExceptions(batch.to_vec()));
            }
        }
    }

    /// Registers the tracked flows that filters of several targets contain: peers cannot
    /// compute the targets of these flows from the filters.
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

    /// Index of a target that a peer named, unless the target has stopped.
    fn known_target(&mut self, flow: Flow, id: Option<TargetId>) -> Option<u16> {
        let router = self.router_of(flow)?;
        let index = router.target_index(id?)?;
        (!router.is_gone(index)).then_some(index)
    }

    fn router_of(&mut self, flow: Flow) -> Option<&mut crate::route::router::Router> {
        let index = self.service_by_id.get(&flow.service).copied()?;
        Some(&mut self.services[index].router)
    }

    /// Drops flows, exceptions and filters that exceed the idle time of the service.
    pub(super) fn sweep_flows(&mut self) {
        let now = self.now;
        for service in &mut self.services {
            service.router.expire(now, service.conf.idle_s);
        }
    }

    /// Drops expired records and answers, and targets past their drain limit.
    pub(super) fn expire_state(&mut self) {
        let now = self.now;
        let mut notices = Vec::new();
        for service in &mut self.services {
            let limit_ms = service.conf.drain_limit_s * 1_000;
            for (target_index, target) in &service.targets {
                let drained = target.leaving_since.is_some_and(|since| now.since(since) >= limit_ms);
                if drained && !service.router.is_gone(*target_index) {
                    let dropped = service.router.drop_target(*target_index);
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
