//! What the path learns from the store and from peers, and what it tells them.

use super::{Context, Forwarder, Notice, Placement};
use crate::{
    relay::{
        Plan,
        catalog::{Change, Record},
        gossip::{self, Load, Report, Snapshot, Update},
        load,
        peers::Peers,
    },
    time::Time,
};

impl Forwarder {
    /// Takes a plan if it is later than the one in force.
    pub fn adopt(&mut self, plan: Plan) -> bool {
        self.catalog.adopt(plan)
    }

    /// Takes rows that were read from the store up to a revision; returns what peers are
    /// to hear. That includes rows which this instance already knew, as they may have
    /// come by a way that not all peers hear.
    pub fn apply_reading(&mut self, records: Vec<Record>, revision: u64, now: Time) -> Update {
        let after = self.catalog.revision();
        for record in &records {
            self.apply(record.clone(), now);
        }
        self.advance(revision, now);
        self.confirm_after_pause();
        Update { after, revision, records }
    }

    /// Takes a row, if it is later than what is known.
    pub fn apply(&mut self, record: Record, now: Time) {
        let (name, state, revision) = (record.entry.name.clone(), record.state, record.revision);
        match self.catalog.apply(record, now) {
            Change::None | Change::Heartbeat(_) => return,
            Change::State(_) => {}
            Change::Restarted(index) => {
                self.loads.reset(index);
                self.outliers.reset(index);
            }
        }
        // The first reading is told as a whole.
        if self.catalog.revision() > 0 {
            self.notices.push(Notice::TargetChanged { target: name, state, revision });
        }
    }

    /// Takes rows that a reader of an availability zone passed on; returns whether peers
    /// of this one should hear them from here.
    ///
    /// A reader that reads goes by the store alone, as its own zone would miss what it
    /// skips. One that cannot read passes on what those of other zones tell it.
    pub fn apply_update(&mut self, records: Update, zone: &str, now: Time) -> bool {
        let is_near = zone == &*self.settings.zone;
        let is_reader = self.is_reader(now);
        if is_reader && !is_near && !self.is_cut_off {
            return false;
        }
        let before = self.catalog.revision();
        let is_next = records.after <= before;
        for record in records.records {
            self.apply(record, now);
        }
        if is_next {
            self.advance(records.revision, now);
        } else if is_near {
            self.is_behind = true;
        }
        is_reader && !is_near && self.catalog.revision() > before
    }

    /// Notes whether this instance can read the store.
    pub fn set_store_unreachable(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Reports whether rows were missed that have not been made up for.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// All that is known here.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.catalog.revision(),
            plan: self.catalog.plan().clone(),
            records: self.catalog.records().cloned().collect(),
            members: self.peers.members().take(gossip::MAX_SNAPSHOT_MEMBERS).collect(),
        }
    }

    /// Takes all that a peer knows.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, now: Time) {
        self.adopt(snapshot.plan);
        for member in snapshot.members.iter().filter(|member| member.name != self.settings.name) {
            self.peers.discover(&member.name, &member.zone, member.address, now);
        }
        for record in snapshot.records {
            self.apply(record, now);
        }
        self.catalog.advance(snapshot.revision);
        self.is_behind = false;
    }

    /// Notes that the catalog is complete up to a revision, as the store or its reader
    /// has just told.
    pub fn advance(&mut self, revision: u64, now: Time) {
        self.catalog.advance(revision);
        self.is_behind = false;
        self.synced_at = now;
    }

    /// Time since the store or its reader told that all is known, in milliseconds. Where
    /// nothing changes they tell just that.
    pub fn sync_age_ms(&self, now: Time) -> u64 {
        now.since(self.synced_at)
    }

    /// What opening packets are judged by now.
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

    /// What is known of a target that was chosen.
    pub fn placement(&self, target: usize) -> Option<Placement> {
        let entry = &self.catalog.target(target)?.record.entry;
        Some(Placement {
            target: entry.name.clone(),
            own: self.loads.own(target),
            open: self.loads.all(target),
            slots: entry.slots,
            strikes: self.outliers.strikes(target),
        })
    }

    /// Takes a peer's report.
    pub fn record_peer(&mut self, sender: &str, report: &Report, now: Time) {
        let mut loads = Vec::with_capacity(report.loads.len());
        for load in &report.loads {
            let Some(target) = self.catalog.find(load.token) else {
                continue;
            };
            loads.push(load::Report { target, open: load.open });
            self.outliers.record_peer(target, load.failures, now);
            if load.is_responsive {
                self.outliers.hear_answer(target, now);
            }
        }
        let life_ms = match self.peers.is_cell_peer(sender) {
            true => load::REPORT_LIFE_MS,
            false => self.peers.report_interval().at_least(load::REPORT_LIFE_MS),
        };
        self.loads.report(Peers::key(sender), loads, now + life_ms);
        if let Some(row) = self.peers.get_mut(sender) {
            row.revision = report.revision;
            row.plan_version = report.plan_version;
            row.is_leaving = report.is_leaving;
        }
    }

    /// Own state, for peers.
    pub fn report(&self, now: Time) -> Report {
        let loads = (0..self.catalog.size())
            .filter_map(|index| {
                let target = self.catalog.target(index)?;
                let (open, strikes) = (self.loads.own(index), self.outliers.strikes(index));
                let is_responsive = self.outliers.is_refuted(index, now);
                let load = Load { token: target.token, open, failures: strikes, is_responsive };
                (open + strikes > 0 || is_responsive).then_some(load)
            })
            .collect();
        Report {
            revision: self.catalog.revision(),
            plan_version: self.catalog.plan().version,
            is_leaving: self.is_leaving,
            loads,
        }
    }
}
