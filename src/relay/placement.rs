/*!
Placement of new flows: chooses a target, or refuses the flow at once.

Two loads make this hard: floods of urgent and other requests that exceed the
slots of shared targets for seconds, and normal traffic that arrives at several
instances, each of which sees a part of it.

A flow goes to the target with the shortest expected completion time. Service
takes longer at targets that are slow or warming up, and a flow waits if no slot
is free. Among nearly equal targets one is drawn with a probability in proportion
to its free slots, so that instances which decide at the same time do not all
choose the same one.

A flow that lasts for many requests adds to the load of its target for its lifetime,
whatever runs there when it opens. So the flows that a target already has count as
additional time for it, and targets get even numbers of such flows.

A flow is refused if its expected wait exceeds the limit of its class. The limit
is lower for less urgent classes, so in a flood the queues stay short enough for
urgent requests to meet their objective. A retransmitted opening packet may belong
to a request that can no longer meet its objective; such late requests only get
slots that would stay free.
*/

use rand::{Rng, RngExt};

/// Parameters of placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest expected wait for a slot of the most urgent class, as a share of its
    /// latency objective.
    pub urgent_wait: f32,
    /// The same for the least urgent class; classes in between are interpolated.
    pub other_wait: f32,
    /// Share of the slots that late requests may fill.
    pub late_fill: f32,
    /// Expected completion times that differ by at most this count as equal, in
    /// milliseconds.
    pub tie_ms: f32,
    /// Factor on the service time at a target that is warming up.
    pub warm_up_factor: f32,
    /// Cost of a target in another availability zone, in milliseconds.
    pub cross_zone_ms: f32,
    /// Cost to a lasting flow of each flow per slot that a target has, in milliseconds.
    pub lasting_flow_ms: f32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            urgent_wait: 0.5,
            other_wait: 0.3,
            late_fill: 0.8,
            tie_ms: 5.0,
            warm_up_factor: 1.6,
            cross_zone_ms: 1.0,
            lasting_flow_ms: 10.0,
        }
    }
}

/// Requirements of a new flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Latency objective, in milliseconds.
    pub objective_ms: f32,
    /// Urgency of its class, from zero to one (see [`super::mix`]).
    pub priority_rank: f32,
    /// Whether it can no longer meet its objective.
    pub is_late: bool,
    /// Whether it probably lasts for several requests.
    pub is_lasting: bool,
    /// Mean service time of a request, in milliseconds.
    pub mean_ms: f32,
}

/// Target that may get the flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Index in the catalog.
    pub target: usize,
    /// Requests that it serves concurrently.
    pub slots: f32,
    /// Estimate of the flows of all instances that have a request there.
    pub running: f32,
    /// Estimate of all flows there, running or idle.
    pub flows: f32,
    /// Ratio of its service time to the mean of its service.
    pub slowness: f32,
    /// Whether it is warming up.
    pub is_warming_up: bool,
    /// Whether it is in this instance's availability zone.
    pub is_same_zone: bool,
    /// Whether it is ejected or in an unreachable zone; such a target gets the flow only if
    /// there is no other.
    pub is_ejected: bool,
}

/// Choice of a target for a new flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// A target with a free slot.
    Target(usize),
    /// A target that the flow may use if the budget allows it, because the flow is late or
    /// has to wait for a slot.
    WithinBudget(usize),
    /// None, as the shortest expected wait exceeds the limit of the class.
    WaitTooLong {
        /// Shortest expected wait, in milliseconds.
        wait_ms: f32,
        /// Limit of the class, in milliseconds.
        limit_ms: f32,
    },
    /// None, as there are no candidates.
    NoTarget,
}

/// Expected times of a flow at a target, and the free slots there.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    target: usize,
    wait_ms: f32,
    /// Time to the answer of a request that starts now.
    request_ms: f32,
    /// The same with the cost of the flows that the target already has.
    total_ms: f32,
    free: f32,
}

impl Settings {
    /// Longest expected wait for a slot that a flow may have, in milliseconds.
    pub fn limit_ms(&self, demand: &Demand) -> f32 {
        if demand.is_late {
            return 0.0;
        }
        let share = self.other_wait + demand.priority_rank * (self.urgent_wait - self.other_wait);
        share * demand.objective_ms
    }

    /// Running flows up to which a flow may be added to a target: there the expected wait
    /// reaches the limit of its class, or late requests have filled their share of the
    /// slots.
    pub fn max_running(&self, demand: &Demand, candidate: &Candidate) -> f32 {
        if demand.is_late {
            return candidate.slots * self.late_fill;
        }
        let factor = self.factor(candidate);
        candidate.slots * (1.0 + self.limit_ms(demand) / (demand.mean_ms * factor))
    }

    /// Expected service time at a target as a multiple of the service's mean.
    fn factor(&self, candidate: &Candidate) -> f32 {
        let warm_up = if candidate.is_warming_up { self.warm_up_factor } else { 1.0 };
        warm_up * candidate.slowness.max(0.5)
    }

    fn estimate(&self, demand: &Demand, candidate: &Candidate) -> Estimate {
        let work_ms = demand.mean_ms * self.factor(candidate);
        let free = candidate.slots - candidate.running;
        let queued = (1.0 - free).max(0.0);
        let wait_ms = queued * work_ms / candidate.slots;
        let cross_zone_ms = if candidate.is_same_zone { 0.0 } else { self.cross_zone_ms };
        let lasting_ms =
            if demand.is_lasting { self.lasting_flow_ms * candidate.flows / candidate.slots } else { 0.0 };
        let request_ms = wait_ms + work_ms + cross_zone_ms;
        let total_ms = request_ms + lasting_ms;
        Estimate { target: candidate.target, wait_ms, request_ms, total_ms, free }
    }

    /// Chooses a target for a flow.
    pub fn choose(&self, demand: &Demand, candidates: &[Candidate], random: &mut impl Rng) -> Choice {
        let any_healthy = candidates.iter().any(|candidate| !candidate.is_ejected);
        let estimates = candidates
            .iter()
            .filter(|candidate| candidate.is_ejected != any_healthy)
            .map(|candidate| self.estimate(demand, candidate));
        let Some(quickest) = estimates.clone().min_by(|a, b| a.request_ms.total_cmp(&b.request_ms)) else {
            return Choice::NoTarget;
        };
        let limit_ms = self.limit_ms(demand);
        if quickest.wait_ms > limit_ms {
            return Choice::WaitTooLong { wait_ms: quickest.wait_ms, limit_ms };
        }
        let allowed = estimates.filter(|estimate| estimate.wait_ms <= limit_ms);
        let best = allowed.clone().min_by(|a, b| a.total_ms.total_cmp(&b.total_ms)).unwrap_or(quickest);
        let equals = allowed.filter(|estimate| estimate.total_ms <= best.total_ms + self.tie_ms);
        let target = draw(equals, random).unwrap_or(best.target);
        let waits = best.free < 1.0;
        if waits || demand.is_late { Choice::WithinBudget(target) } else { Choice::Target(target) }
    }
}

/// Draws a target with a probability in proportion to its free slots.
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
