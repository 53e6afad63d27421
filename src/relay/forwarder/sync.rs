//! State that the forwarder gets from the store and from peers, and sends to peers.

use std::{net::SocketAddrV4, sync::Arc};

use super::{Context, Forwarder, Notice, Placement};
use crate::{
    relay::{
        Plan,
        catalog::{Change, Mark, Record},
        evacuation::{self, Evacuation},
        gossip::{self, KnownState, Load, Report, Snapshot, Update},
        load,
        peers::Peers,
        ramp::Start,
        revision::Revision,
    },
    time::Time,
};

/// What was read from the store up to a revision: the changes since an earlier one, or all
/// keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reading {
    /// Plan, if it was read.
    pub plan: Option<Plan>,
    /// Targets, in the order in which the store returned them.
    pub observations: Vec<Observation>,
    /// Evacuations that started or ended.
    pub evacuations: Vec<EvacuationChange>,
    /// Whether it is a list of all keys.
    pub is_list: bool,
    /// Store revision.
    pub revision: Revision,
}

/// What a reading says of the evacuation of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether its key exists.
    pub is_active: bool,
    /// Store revision.
    pub revision: Revision,
}

impl From<Evacuation> for EvacuationChange {
    fn from(evacuation: Evacuation) -> EvacuationChange {
        let Evacuation { zone, is_active, revision, .. } = evacuation;
        EvacuationChange { zone, is_active, revision }
    }
}

/// What a reading says of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Its entry was written, or its state follows from a list of all entries.
    Record(Record),
    /// Its entry was deleted, has expired or is no longer valid.
    Ended {
        /// Name of the target.
        name: Arc<str>,
        /// Store revision.
        revision: Revision,
        /// Whether the entry may have expired because the store was unavailable.
        store_unstable: bool,
    },
}

/// Time without a confirmation after which it is not clear that all changes are known, in
/// milliseconds: two calls of the store reader.
const MAX_SYNC_GAP_MS: u64 = 1_800;

impl Forwarder {
    /// Adopts a plan if it replaces the one in effect; returns whether it did.
    pub fn adopt(&mut self, plan: Plan) -> bool {
        self.catalog.adopt(plan)
    }

    /// Applies what was read from the store; returns the update for peers. It includes records
    /// already known here: those may have arrived in an update that not all peers got.
    ///
    /// The reading holds all that was written after the catalog's
    /// [`revision`](crate::relay::catalog::Catalog::revision), or all keys. A reading of an
    /// earlier era was answered too late and changes nothing. It confirms nothing either, so its
    /// update is empty, after [`Revision::NONE`], and must not be sent.
    pub fn apply_reading(&mut self, reading: Reading, now: Time) -> Update {
        let Reading { plan, observations, evacuations, is_list, revision } = reading;
        let after = self.catalog.target_revision();
        if revision.era < after.era {
            return Update { evacuations: Vec::new(), ..self.update(Revision::NONE, Vec::new()) };
        }
        if let Some(plan) = plan {
            self.adopt(plan);
        }
        let mut records = Vec::with_capacity(observations.len());
        for observation in observations {
            // Resolved in order, as a target may end that is added in the same reading.
            let record = match observation {
                Observation::Record(record) => Some(record),
                Observation::Ended { name, revision, store_unstable } => {
                    self.catalog.removal(&name, revision, store_unstable)
                }
            };
            // Peers would ignore an invalid record, and it may not fit into a datagram.
            if let Some(record) = record.filter(|record| record.entry.check().is_ok()) {
                self.apply(record.clone(), now);
                // Peers may lack what a restored record has lost.
                records.push(self.catalog.reconciled(record));
            }
        }
        for change in evacuations {
            self.apply_evacuation_change(change, revision.era > after.era, now);
        }
        self.advance(revision, now);
        self.confirm_after_pause();
        Update { is_list, ..self.update(after, records) }
    }

    /// Update for peers that know what was read up to the revision `after`.
    pub fn update(&self, after: Revision, records: Vec<Record>) -> Update {
        Update {
            after,
            revision: self.catalog.target_revision(),
            is_list: false,
            plan_mark: self.catalog.plan_mark(),
            evacuations: self.catalog.evacuations().iter().cloned().collect(),
            records,
        }
    }

    fn apply_evacuation_change(&mut self, change: EvacuationChange, is_restored: bool, now: Time) {
        let EvacuationChange { zone, is_active, revision } = change;
        let evacuations = self.catalog.evacuations();
        let evacuation = match is_active {
            true if is_restored => Some(evacuations.listed(Evacuation::started(zone, revision))),
            true => Some(Evacuation::started(zone, revision)),
            false => evacuations.ended(&zone, revision),
        };
        if let Some(evacuation) = evacuation {
            self.apply_evacuation(evacuation, now);
        }
    }

    /// Applies the state of a zone's evacuation if it is later than the known one.
    fn apply_evacuation(&mut self, evacuation: Evacuation, now: Time) {
        let Evacuation { zone, is_active, revision, .. } = evacuation.clone();
        if self.catalog.apply_evacuation(evacuation) {
            if !is_active {
                self.return_zone(&zone, now);
            }
            self.notices.push(Notice::EvacuationChanged { zone, is_active, revision });
        }
    }

    /// Applies the state of a zone's evacuation at a peer. The peer may have read a restored
    /// key without knowing its removal.
    fn apply_peer_evacuation(&mut self, evacuation: Evacuation, now: Time) {
        let (revision, complete) = (evacuation.revision, self.catalog.target_revision());
        let is_covered = revision.era == complete.era && revision <= complete;
        // It has ended since, or it would be known.
        if evacuation.is_active && is_covered && !self.catalog.evacuations().contains(&evacuation.zone) {
            return;
        }
        self.apply_evacuation(self.catalog.evacuations().listed(evacuation), now);
    }

    /// Ends evacuations whose keys were lost with a backup and not written again, and starts
    /// those whose removal was lost and not repeated. An instance that is not told of changes
    /// cannot know whether they were.
    pub(super) fn settle_evacuations(&mut self, now: Time) {
        let is_synced = now.since(self.synced_at) < MAX_SYNC_GAP_MS;
        if !is_synced || now.since(self.era_began.max(self.synced_since)) < evacuation::REWRITE_MS {
            return;
        }
        for Evacuation { zone, is_active, revision, .. } in self.catalog.settle_evacuations() {
            if !is_active {
                self.return_zone(&zone, now);
            }
            self.notices.push(Notice::EvacuationChanged { zone, is_active, revision });
        }
    }

    /// Ends targets that have not registered again. The store reader tells its peers of them
    /// once; an instance that misses that must not keep them for good.
    pub(super) fn end_overdue(&mut self, now: Time) {
        if now.since(self.synced_at) >= MAX_SYNC_GAP_MS {
            return;
        }
        for record in self.catalog.overdue(self.synced_since, self.era_began, now) {
            self.apply(record, now);
        }
    }

    /// Applies a record if it is later than the known one.
    pub fn apply(&mut self, record: Record, now: Time) {
        let (name, state, revision) = (record.entry.name.clone(), record.state, record.revision);
        match self.catalog.apply(record, now) {
            Change::None | Change::Heartbeat(_) => return,
            Change::Updated(_) => {}
            Change::Restarted(index) => {
                self.loads.reset(index);
                self.outliers.reset(index);
                self.stalls.reset(index);
                self.start_cold(now, index);
                self.update_ejected(index, now);
                self.start_ramp(index, Start::Fresh, now);
            }
        }
        // The first reading has its own log line instead of one for each target.
        if self.catalog.revision().is_some() {
            self.notices.push(Notice::TargetChanged { target: name, state, revision });
        }
    }

    /// Applies an update from a store reader; returns whether this instance should pass it
    /// on in its own zone.
    ///
    /// A reader that reaches the store ignores updates of other zones: its catalog would
    /// advance past records that its own zone has not got. A reader that cannot reach the
    /// store applies them and passes them on.
    pub fn apply_update(&mut self, update: Update, zone: &str, now: Time) -> bool {
        for evacuation in update.evacuations {
            self.apply_peer_evacuation(evacuation, now);
        }
        // The sender does not know yet that the store has returned from a backup.
        if update.revision.era < self.catalog.target_revision().era {
            return false;
        }
        let is_same_zone = zone == &*self.settings.zone;
        let is_reader = self.is_reader(now);
        if is_reader && !is_same_zone && !self.is_store_unreachable {
            return false;
        }
        let before = self.catalog.target_revision();
        // A late update confirms nothing: later ones may have been lost since.
        let is_next = match update.is_list {
            false => update.after <= before,
            // It lacks the end of a target that is known here and not to its sender.
            true => update.after == before && self.catalog.seen_revision() <= update.after,
        };
        let is_known = update.revision <= before;
        for record in update.records {
            self.apply(record, now);
        }
        self.catalog.confirm_plan(update.plan_mark);
        if is_next && update.revision >= before {
            self.advance_targets(update.revision, now);
        } else if !is_next && !is_known && is_same_zone {
            self.is_behind = true;
        }
        is_reader && !is_same_zone && self.catalog.target_revision() > before
    }

    /// Sets whether this instance cannot read the store.
    pub fn set_store_unreachable(&mut self, is_store_unreachable: bool) {
        self.is_store_unreachable = is_store_unreachable;
    }

    /// Whether updates were missed and not yet recovered.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// What this instance asks a peer's state for.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            revision: self.catalog.target_revision(),
            seen_revision: self.catalog.seen_revision(),
            plan: self.catalog.plan().id(),
        }
    }

    /// State of this instance without what a peer has already: complete for a peer that has
    /// just started, otherwise the later plan and the records that have changed.
    pub fn snapshot(&self, known: &KnownState) -> Snapshot {
        let plan = self.catalog.plan();
        let revision = self.catalog.target_revision();
        let is_complete = !self.catalog.is_complete_after(known.revision, known.seen_revision);
        let (records, members) = match is_complete {
            false => (self.catalog.records_after(known.revision).cloned().collect(), Vec::new()),
            true => (
                self.catalog.records().cloned().collect(),
                self.peers.members().take(gossip::MAX_SNAPSHOT_MEMBERS).collect(),
            ),
        };
        let is_later = plan.id().replaces(known.plan);
        let plan = if is_later { plan.clone() } else { Plan::default() };
        let evacuations = self.catalog.evacuations().iter().cloned().collect();
        let plan_mark = self.catalog.plan_mark();
        Snapshot { revision, plan_mark, plan, is_complete, records, evacuations, members }
    }

    /// Applies the state of a peer. Targets that a complete snapshot does not list are gone, or
    /// missing if it is of a later era: they may not have registered again yet.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Time) {
        self.adopt(snapshot.plan);
        for evacuation in &snapshot.evacuations {
            self.apply_peer_evacuation(evacuation.clone(), now);
        }
        for member in snapshot.members.iter().filter(|member| member.name != self.settings.name) {
            self.peers.discover(&member.name, &member.zone, member.address, now);
        }
        let before = self.catalog.target_revision();
        if snapshot.revision.era < before.era {
            return;
        }
        if snapshot.revision >= before {
            let ended = self.catalog.evacuations().absent(&snapshot.evacuations, snapshot.revision);
            for evacuation in ended {
                self.apply_evacuation(evacuation, now);
            }
        }
        let is_later_era = snapshot.revision.era > before.era && before.is_some();
        self.catalog.confirm_plan(snapshot.plan_mark);
        let mut records = snapshot.records;
        if snapshot.is_complete {
            let listed: Vec<_> = records.iter().map(|record| record.entry.name.clone()).collect();
            records.extend(self.catalog.unlisted(&listed, snapshot.revision, is_later_era));
        }
        for record in records {
            self.apply(record, now);
        }
        self.advance_catalog(snapshot.revision, now);
        if snapshot.is_complete {
            self.catalog.record_skipped(before);
        }
        self.is_behind = false;
    }

    /// Records that a reading listed all targets, when the targets were complete up to the
    /// revision `before`.
    pub fn record_skipped(&mut self, before: Revision) {
        self.catalog.record_skipped(before);
    }

    /// Marks targets and plan complete up to a revision, as the store has just confirmed.
    pub fn advance(&mut self, revision: Revision, now: Time) {
        self.catalog.confirm_plan(Mark { revision, ..self.catalog.plan_mark() });
        self.advance_targets(revision, now);
    }

    /// Marks the targets complete up to a revision, as the store or its reader has just
    /// confirmed.
    fn advance_targets(&mut self, revision: Revision, now: Time) {
        self.advance_catalog(revision, now);
        self.is_behind = false;
        if now.since(self.synced_at) >= MAX_SYNC_GAP_MS {
            self.synced_since = now;
        }
        self.synced_at = now;
    }

    /// Marks the targets complete up to a revision, and records the start of an era.
    fn advance_catalog(&mut self, revision: Revision, now: Time) {
        let before = self.catalog.target_revision();
        self.catalog.advance_targets(revision);
        if revision.era > before.era {
            self.era_began = now;
            if before.is_some() {
                self.notices.push(Notice::EraBegan { era: revision.era, revision });
            }
        }
    }

    /// When this instance learned of the store's current era, from the store or from a peer; zero
    /// in era zero. An instance that has just started cannot know whether the era is older.
    pub fn era_began(&self) -> Time {
        self.era_began
    }

    /// Time since the store or its reader last confirmed that the targets are complete, in
    /// milliseconds. They confirm it also when nothing has changed.
    pub fn sync_age_ms(&self, now: Time) -> u64 {
        now.since(self.synced_at)
    }

    /// State that decisions on opening packets depend on.
    pub fn context(&self, now: Time) -> Context {
        let cell = self.peers.cell();
        Context {
            revision: self.catalog.revision(),
            plan: self.catalog.plan().version,
            sync_age_ms: self.sync_age_ms(now),
            cell_peers: self.peers.cell_peers() - self.peers.unreported_cell_peers(),
            cell: (cell.index, cell.count),
        }
    }

    /// Load of the target of a placed flow.
    pub fn placement(&self, target: usize) -> Option<Placement> {
        let entry = &self.catalog.target(target)?.record.entry;
        Some(Placement {
            target: entry.name.clone(),
            own: self.loads.own_running(target),
            running: self.loads.running(target),
            flows: self.loads.flows(target),
            slots: entry.slots,
            strikes: self.outliers.strikes(target),
        })
    }

    /// Records the report of a peer.
    pub fn record_peer(&mut self, sender: &str, report: &Report, now: Time) {
        let mut loads = Vec::with_capacity(report.loads.len());
        for load in &report.loads {
            let Some(target) = self.catalog.find(load.token) else {
                continue;
            };
            let [running, idle] = [load.running, load.idle].map(|flows| flows.min(load::MAX_REPORTED_FLOWS));
            loads.push(load::Report { target, running, idle });
            let was_ejected = self.outliers.ejects(target, now);
            self.outliers.record_peer(target, load.failures, now);
            if load.is_responsive {
                self.outliers.record_peer_answer(target, now);
            }
            if was_ejected && !self.outliers.ejects(target, now) {
                self.suspect_restart(target, now);
            }
            self.ramp.record_peer(target, Peers::key(sender), load.failures, now);
            self.update_ejected(target, now);
        }
        for key in &report.moved {
            self.remove_moved(*key, now);
        }
        for key in &report.ended {
            self.remove_record(*key);
        }
        let valid_ms = match self.peers.is_cell_peer(sender) {
            true => load::REPORT_VALID_MS,
            false => self.peers.report_interval().scaled_ms(load::REPORT_VALID_MS),
        };
        self.loads.report(Peers::key(sender), loads, now + valid_ms);
        if let Some(state) = self.peers.get_mut(sender) {
            state.revision = report.revision;
            state.plan = report.plan;
            state.is_leaving = report.is_leaving;
        }
    }

    /// Report of this instance. It names flows that moved here since the last one.
    pub fn report(&mut self, now: Time) -> Report {
        let loads = (0..self.catalog.size())
            .filter_map(|index| {
                let target = self.catalog.target(index)?;
                let (running, idle) = (self.loads.own_running(index), self.loads.own_idle(index));
                let failures = self.outliers.strikes(index);
                let is_responsive = self.outliers.contradicts_peers(index, now);
                let load = Load { token: target.token, running, idle, failures, is_responsive };
                (running + idle + failures > 0 || is_responsive).then_some(load)
            })
            .collect();
        let has_peers = self.peers.live(now).next().is_some();
        let (moved, ended) = match has_peers {
            true => (std::mem::take(&mut self.moved), std::mem::take(&mut self.ended)),
            false => Default::default(),
        };
        Report {
            revision: self.catalog.target_revision(),
            plan: self.catalog.plan().id(),
            is_leaving: self.is_leaving,
            loads,
            moved,
            ended,
        }
    }

    /// Addresses of the peers that get a report in this round (see
    /// [`Peers::report_recipients`]).
    pub fn report_recipients(&mut self, report: &Report, round: u64, now: Time) -> Vec<SocketAddrV4> {
        // The next unchanged report is early enough for the revision.
        let content = Report { revision: Revision::NONE, ..report.clone() };
        let is_changed = content != self.last_report;
        self.last_report = content;
        self.peers.report_recipients(round, is_changed, now).map(|peer| peer.address).collect()
    }
}
