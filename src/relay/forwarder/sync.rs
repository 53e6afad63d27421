//! State that the forwarder gets from the store and from peers, and sends to peers.

use std::{net::SocketAddrV4, sync::Arc};

use super::{Context, Forwarder, Notice, Placement};
use crate::{
    relay::{
        Plan,
        catalog::{Change, Mark, Record},
        gossip::{self, KnownState, Load, Report, Snapshot, Update},
        load,
        peers::Peers,
    },
    time::Time,
};

/// What was read from the store up to a revision: the changes since an earlier one, or all
/// keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Plan, if it was read.
    pub plan: Option<Plan>,
    /// Targets, in the order in which the store returned them.
    pub observations: Vec<Observation>,
    /// Store revision.
    pub revision: u64,
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
        revision: u64,
        /// Whether the entry may have expired because the store was unavailable.
        store_unstable: bool,
    },
}

impl Forwarder {
    /// Adopts a plan if it is later than the one in effect; returns whether it was.
    pub fn adopt(&mut self, plan: Plan) -> bool {
        self.catalog.adopt(plan)
    }

    /// Applies what was read from the store; returns the update for peers. It includes records
    /// already known here: those may have arrived in an update that not all peers got.
    ///
    /// The reading holds all that was written after the catalog's
    /// [`revision`](crate::relay::catalog::Catalog::revision), or all keys.
    pub fn apply_reading(&mut self, reading: Reading, now: Time) -> Update {
        let Reading { plan, observations, revision } = reading;
        let after = self.catalog.target_revision();
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
                records.push(record);
            }
        }
        self.advance(revision, now);
        self.confirm_after_pause();
        Update { after, revision, plan_mark: self.catalog.plan_mark(), records }
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
            }
        }
        // The first reading has its own log line instead of one for each target.
        if self.catalog.revision() > 0 {
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
        let is_same_zone = zone == &*self.settings.zone;
        let is_reader = self.is_reader(now);
        if is_reader && !is_same_zone && !self.is_store_unreachable {
            return false;
        }
        let before = self.catalog.target_revision();
        let is_next = update.after <= before;
        for record in update.records {
            self.apply(record, now);
        }
        self.catalog.confirm_plan(update.plan_mark);
        if is_next {
            self.advance_targets(update.revision, now);
        } else if is_same_zone {
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
            plan_version: self.catalog.plan().version,
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
        let is_later = plan.version > known.plan_version;
        let plan = if is_later { plan.clone() } else { Plan::default() };
        Snapshot { revision, plan_mark: self.catalog.plan_mark(), plan, is_complete, records, members }
    }

    /// Applies the state of a peer. Targets that a complete snapshot does not list are gone.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Time) {
        self.adopt(snapshot.plan);
        for member in snapshot.members.iter().filter(|member| member.name != self.settings.name) {
            self.peers.discover(&member.name, &member.zone, member.address, now);
        }
        self.catalog.confirm_plan(snapshot.plan_mark);
        let before = self.catalog.target_revision();
        let mut records = snapshot.records;
        if snapshot.is_complete {
            let listed: Vec<_> = records.iter().map(|record| record.entry.name.clone()).collect();
            records.extend(self.catalog.unlisted(&listed, snapshot.revision, false));
        }
        for record in records {
            self.apply(record, now);
        }
        self.catalog.advance_targets(snapshot.revision);
        if snapshot.is_complete {
            self.catalog.record_skipped(before);
        }
        self.is_behind = false;
    }

    /// Records that a reading listed all targets, when the targets were complete up to the
    /// revision `before`.
    pub fn record_skipped(&mut self, before: u64) {
        self.catalog.record_skipped(before);
    }

    /// Marks targets and plan complete up to a revision, as the store has just confirmed.
    pub fn advance(&mut self, revision: u64, now: Time) {
        self.catalog.confirm_plan(Mark { revision, ..self.catalog.plan_mark() });
        self.advance_targets(revision, now);
    }

    /// Marks the targets complete up to a revision, as the store or its reader has just
    /// confirmed.
    fn advance_targets(&mut self, revision: u64, now: Time) {
        self.catalog.advance_targets(revision);
        self.is_behind = false;
        self.synced_at = now;
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
            self.outliers.record_peer(target, load.failures, now);
            if load.is_responsive {
                self.outliers.record_peer_answer(target, now);
            }
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
            state.plan_version = report.plan_version;
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
            plan_version: self.catalog.plan().version,
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
        let content = Report { revision: 0, ..report.clone() };
        let is_changed = content != self.last_report;
        self.last_report = content;
        self.peers.report_recipients(round, is_changed, now).map(|peer| peer.address).collect()
    }
}
