//! What the path learns from the store and from peers, and what it tells them.

use super::{Chosen, Inputs, Note, Path};
use crate::{
    relay::{
        Plan,
        catalog::{Change, Row},
        load,
        news::{self, Load, Report, Rows, Snapshot},
        peers::Peers,
    },
    time::Time,
};

impl Path {
    /// Takes a plan if it is later than the one in force.
    pub fn adopt(&mut self, plan: Plan) -> bool {
        self.catalog.adopt(plan)
    }

    /// Takes rows that were read from the store up to a revision; returns what peers are
    /// to hear. That includes rows which this instance already knew, as they may have
    /// come by a way that not all peers hear.
    pub fn take_reading(&mut self, rows: Vec<Row>, revision: u64, now: Time) -> Rows {
        let after = self.catalog.revision();
        for row in &rows {
            self.apply(row.clone(), now);
        }
        self.advance(revision, now);
        self.confirm();
        Rows { after, revision, rows }
    }

    /// Takes a row, if it is later than what is known.
    pub fn apply(&mut self, row: Row, now: Time) {
        let (name, state, revision) = (row.entry.name.clone(), row.state, row.revision);
        match self.catalog.apply(row, now) {
            Change::None | Change::Beat(_) => return,
            Change::State(_) => {}
            Change::Life(index) => {
                self.loads.reset(index);
                self.doubts.reset(index);
            }
        }
        // The first reading is told as a whole.
        if self.catalog.revision() > 0 {
            self.notes.push(Note::Target { target: name, state, revision });
        }
    }

    /// Takes rows that a reader of an availability zone passed on; returns whether peers
    /// of this one should hear them from here.
    ///
    /// A reader that reads goes by the store alone, as its own zone would miss what it
    /// skips. One that cannot read passes on what those of other zones tell it.
    pub fn take_rows(&mut self, rows: Rows, zone: &str, now: Time) -> bool {
        let is_near = zone == &*self.settings.zone;
        let is_reader = self.is_reader(now);
        if is_reader && !is_near && !self.is_cut_off {
            return false;
        }
        let before = self.catalog.revision();
        let is_next = rows.after <= before;
        for row in rows.rows {
            self.apply(row, now);
        }
        if is_next {
            self.advance(rows.revision, now);
        } else if is_near {
            self.is_behind = true;
        }
        is_reader && !is_near && self.catalog.revision() > before
    }

    /// Notes whether this instance can read the store.
    pub fn note_store(&mut self, is_cut_off: bool) {
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
            rows: self.catalog.rows().cloned().collect(),
            members: self.peers.members().take(news::MAX_SNAPSHOT_MEMBERS).collect(),
        }
    }

    /// Takes all that a peer knows.
    pub fn take_snapshot(&mut self, snapshot: Snapshot, now: Time) {
        self.adopt(snapshot.plan);
        for member in snapshot.members.iter().filter(|member| member.name != self.settings.name) {
            self.peers.meet(&member.name, &member.zone, member.address, now);
        }
        for row in snapshot.rows {
            self.apply(row, now);
        }
        self.catalog.advance(snapshot.revision);
        self.is_behind = false;
    }

    /// Notes that the catalog is complete up to a revision, as the store or its reader
    /// has just told.
    pub fn advance(&mut self, revision: u64, now: Time) {
        self.catalog.advance(revision);
        self.is_behind = false;
        self.told = now;
    }

    /// Time since the store or its reader told that all is known, in milliseconds. Where
    /// nothing changes they tell just that.
    pub fn news_age_ms(&self, now: Time) -> u64 {
        now.since(self.told)
    }

    /// What opening packets are judged by now.
    pub fn inputs(&self, now: Time) -> Inputs {
        let cell = self.peers.cell();
        Inputs {
            revision: self.catalog.revision(),
            plan: self.catalog.plan().version,
            news_age_ms: self.news_age_ms(now),
            mates: self.peers.mates() - self.peers.unheard_mates(),
            cell: (cell.index, cell.count),
        }
    }

    /// What is known of a target that was chosen.
    pub fn chosen(&self, target: usize) -> Option<Chosen> {
        let entry = &self.catalog.target(target)?.row.entry;
        Some(Chosen {
            target: entry.name.clone(),
            own: self.loads.own(target),
            open: self.loads.all(target),
            slots: entry.slots,
            strikes: self.doubts.strikes(target),
        })
    }

    /// Takes a peer's report.
    pub fn hear(&mut self, sender: &str, report: &Report, now: Time) {
        let mut loads = Vec::with_capacity(report.loads.len());
        for load in &report.loads {
            let Some(target) = self.catalog.find(load.token) else {
                continue;
            };
            loads.push(load::Report { target, open: load.open });
            self.doubts.hear(target, load.strikes, now);
            if load.answers {
                self.doubts.hear_answer(target, now);
            }
        }
        let life_ms = match self.peers.is_mate(sender) {
            true => load::REPORT_LIFE_MS,
            false => self.peers.cadence().at_least(load::REPORT_LIFE_MS),
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
                let (open, strikes) = (self.loads.own(index), self.doubts.strikes(index));
                let answers = self.doubts.is_refuted(index, now);
                let load = Load { token: target.token, open, strikes, answers };
                (open + strikes > 0 || answers).then_some(load)
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
