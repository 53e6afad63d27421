/*!
Targets that do not answer.

A target answers a client directly, so an instance sees only what the client
does next: it goes on, which shows that the target answered, or it sends another
copy of its opening packet, which shows that it did not. A target that left
[`EJECTION_FAILURES`] opening packets unanswered in a row, here or at peers, gets no new
flows. From time to time one flow of the cell tries it again. Once it answers
anyone, that is told, and the others are left with one strike less than it takes.
*/

use crate::time::Time;

/// Unanswered opening packets in a row after which a target is left alone.
pub const EJECTION_FAILURES: u32 = 2;

/// Time between trials of a target that is left alone, of all instances of a cell
/// together, in milliseconds. A trial that fails makes one request late.
pub const TRIAL_MS: u64 = 500;

#[derive(Clone, Copy, Debug, Default)]
struct Outlier {
    own: u32,
    others: u32,
    others_at: Time,
    /// When a peer last told of strikes.
    accused_at: Option<Time>,
    struck_at: Time,
    good_at: Time,
    tried_at: Time,
}

impl Outlier {
    /// Whether the target answered a short time ago.
    fn is_good(&self, now: Time) -> bool {
        self.good_at > Time(0) && now.since(self.good_at) < WORD_LIFE_MS
    }

    /// Peers' count of unanswered packets, while their word counts.
    fn others_now(&self, now: Time) -> u32 {
        if now.since(self.others_at) < WORD_LIFE_MS { self.others } else { 0 }
    }
}

/// Time for which a peer's word about a target counts, in milliseconds.
const WORD_LIFE_MS: u64 = 1_000;

/// What is doubted, by target.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    table: Vec<Outlier>,
}

impl Outliers {
    fn row(&mut self, target: usize) -> &mut Outlier {
        if self.table.len() <= target {
            self.table.resize(target + 1, Outlier::default());
        }
        &mut self.table[target]
    }

    /// Notes an opening packet that the target did not answer.
    pub fn strike(&mut self, target: usize, now: Time) {
        let row = self.row(target);
        row.own = row.own.saturating_add(1);
        row.struck_at = now;
        row.tried_at = now;
    }

    /// Notes that the target answered.
    pub fn clear(&mut self, target: usize, now: Time) {
        let row = self.row(target);
        row.own = 0;
        row.others = 0;
        row.good_at = now;
    }

    /// Takes a peer's count of unanswered packets.
    pub fn record_peer(&mut self, target: usize, failures: u32, now: Time) {
        let row = self.row(target);
        if failures > 0 {
            row.accused_at = Some(now);
        }
        if failures > 0 && row.is_good(now) {
            return;
        }
        if failures >= row.others || now.since(row.others_at) >= WORD_LIFE_MS {
            row.others = failures;
            row.others_at = now;
        }
    }

    /// Takes a peer's word that the target answered it a short time ago.
    pub fn hear_answer(&mut self, target: usize, now: Time) {
        let row = self.row(target);
        // What failed here since may be what the peer does not see.
        if now.since(row.struck_at) >= WORD_LIFE_MS {
            row.own = row.own.min(EJECTION_FAILURES - 1);
            row.others = 0;
        }
    }

    /// Reports whether the target answered a short time ago, while peers hold strikes
    /// against it.
    pub fn is_refuted(&self, target: usize, now: Time) -> bool {
        let row = self.table.get(target);
        row.is_some_and(|row| {
            let is_accused = row.accused_at.is_some_and(|at| now.since(at) < WORD_LIFE_MS);
            is_accused && row.is_good(now)
        })
    }

    /// Own count of unanswered packets.
    pub fn strikes(&self, target: usize) -> u32 {
        self.table.get(target).map_or(0, |row| row.own)
    }

    /// Reports whether a target is left alone now.
    pub fn ejects(&self, target: usize, now: Time) -> bool {
        let Some(row) = self.table.get(target) else {
            return false;
        };
        row.own + row.others_now(now) >= EJECTION_FAILURES
    }

    /// Reports whether a target that is left alone may be tried with one flow, by one of
    /// so many instances that try it in turn.
    pub fn may_try(&self, target: usize, instances: usize, now: Time) -> bool {
        let gap_ms = TRIAL_MS * instances as u64;
        self.table.get(target).is_none_or(|row| now.since(row.tried_at) >= gap_ms)
    }

    /// Notes that a flow tries the target.
    pub fn note_trial(&mut self, target: usize, now: Time) {
        self.row(target).tried_at = now;
    }

    /// Forgets what was held against a target.
    pub fn reset(&mut self, target: usize) {
        *self.row(target) = Outlier::default();
    }
}
