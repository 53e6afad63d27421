/*!
Where a new flow goes, or why it is refused at once.

The load that this answers: more requests than the targets' slots can work off,
for seconds, with urgent and other requests for the same targets; and, below
that, arrivals at several instances that each see a part of them.

A flow goes to the target where it is likely to end first: work takes longer at
a target that is slow or has just started, and waits for a slot if all are
taken. Among targets that are equally good one is drawn by its free slots, so
that instances which decide at the same moment do not all choose the same one.

If it would wait longer than its class may, it is refused. Other classes may
wait less than the most urgent one, so that under a flood the queues in front
of slots stay short and urgent requests still meet their objective. A client's
copy of an opening packet may belong to a request that is late already; such
requests fill only slots that would stay free.
*/

use rand::{Rng, RngExt};

/// Limits of placing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Wait for a slot that the most urgent class may expect, as a share of its
    /// latency objective.
    pub urgent_wait: f32,
    /// The same for the least urgent class; others lie in between.
    pub other_wait: f32,
    /// Share of the slots that requests may fill whose objective has passed.
    pub late_fill: f32,
    /// Expected times that differ by less count as equal, in milliseconds.
    pub tie_ms: f32,
    /// Work at a target that has just started takes so many times as long.
    pub cold_factor: f32,
    /// Time by which a target in another availability zone must be better, in
    /// milliseconds.
    pub far_ms: f32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            urgent_wait: 0.5,
            other_wait: 0.3,
            late_fill: 0.8,
            tie_ms: 5.0,
            cold_factor: 1.6,
            far_ms: 1.0,
        }
    }
}

/// What a new flow asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Latency objective, in milliseconds.
    pub objective_ms: f32,
    /// Standing of its class: one for the most urgent, zero for the least urgent.
    pub standing: f32,
    /// Whether its objective has passed already.
    pub is_late: bool,
    /// Mean time of a request, in milliseconds.
    pub mean_ms: f32,
}

/// Target that may take the flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Index.
    pub target: usize,
    /// Requests that it runs at once.
    pub slots: f32,
    /// Flows that are likely open there, of all instances.
    pub open: f32,
    /// Time of its work against that of its service.
    pub slowness: f32,
    /// Whether it has just started.
    pub is_cold: bool,
    /// Whether it is in this instance's availability zone.
    pub is_near: bool,
    /// Whether it is doubted; such a target is taken only if there is no other.
    pub is_ejected: bool,
}

/// Decision on a new flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// It goes to a target.
    Target(usize),
    /// It goes to a target if the budget allows it, as it would wait there or others
    /// would wait for it.
    Busy(usize),
    /// Its wait would be too long.
    WaitTooLong {
        /// Shortest wait, in milliseconds.
        wait_ms: f32,
        /// Longest wait that its class may have, in milliseconds.
        limit_ms: f32,
    },
    /// There is no target.
    Empty,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    target: usize,
    wait_ms: f32,
    total_ms: f32,
    free: f32,
}

impl Settings {
    /// Longest wait for a slot, in milliseconds.
    pub fn limit_ms(&self, demand: &Demand) -> f32 {
        if demand.is_late {
            return 0.0;
        }
        let share = self.other_wait + demand.standing * (self.urgent_wait - self.other_wait);
        share * demand.objective_ms
    }

    /// Open flows at which a target makes a flow wait as long as its class may.
    pub fn most_open(&self, demand: &Demand, candidate: &Candidate) -> f32 {
        if demand.is_late {
            return candidate.slots * self.late_fill;
        }
        let factor = self.factor(candidate);
        candidate.slots * (1.0 + self.limit_ms(demand) / (demand.mean_ms * factor))
    }

    /// Time of work at a target as a multiple of its service's mean.
    fn factor(&self, candidate: &Candidate) -> f32 {
        let cold = if candidate.is_cold { self.cold_factor } else { 1.0 };
        cold * candidate.slowness.max(0.5)
    }

    fn estimate(&self, demand: &Demand, candidate: &Candidate) -> Estimate {
        let work_ms = demand.mean_ms * self.factor(candidate);
        let free = candidate.slots - candidate.open;
        let ahead = (1.0 - free).max(0.0);
        let wait_ms = ahead * work_ms / candidate.slots;
        let far_ms = if candidate.is_near { 0.0 } else { self.far_ms };
        Estimate { target: candidate.target, wait_ms, total_ms: wait_ms + work_ms + far_ms, free }
    }

    /// Decides where a flow goes.
    pub fn choose(&self, demand: &Demand, candidates: &[Candidate], random: &mut impl Rng) -> Choice {
        let trusted = candidates.iter().any(|candidate| !candidate.is_ejected);
        let estimates = candidates
            .iter()
            .filter(|candidate| candidate.is_ejected != trusted)
            .map(|candidate| self.estimate(demand, candidate));
        let Some(best) = estimates.clone().min_by(|a, b| a.total_ms.total_cmp(&b.total_ms)) else {
            return Choice::Empty;
        };
        let limit_ms = self.limit_ms(demand);
        if best.wait_ms > limit_ms {
            return Choice::WaitTooLong { wait_ms: best.wait_ms, limit_ms };
        }
        let equals = estimates.filter(|estimate| estimate.total_ms <= best.total_ms + self.tie_ms);
        let target = draw(equals, random).unwrap_or(best.target);
        let waits = best.free < 1.0;
        if waits || demand.is_late { Choice::Busy(target) } else { Choice::Target(target) }
    }
}

/// Draws a target by its free slots.
fn draw(estimates: impl Iterator<Item = Estimate> + Clone, random: &mut impl Rng) -> Option<usize> {
    let weight = |estimate: &Estimate| estimate.free.max(0.25);
    let total: f32 = estimates.clone().map(|estimate| weight(&estimate)).sum();
    let mut left = random.random::<f32>() * total;
    let mut last = None;
    for estimate in estimates {
        left -= weight(&estimate);
        last = Some(estimate.target);
        if left <= 0.0 {
            break;
        }
    }
    last
}
