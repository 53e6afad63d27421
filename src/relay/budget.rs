/*!
Limits how many flows one instance adds to targets without free slots between
two reports.

In a flood every instance sees the same spare capacity. If each used all of it,
the queues would grow to a multiple of what is intended before the next reports
show it. So each instance gets an equal share. Capacity that an instance leaves
unused is shared out again in the next round.
*/

use rand::{Rng, RngExt};

use super::placement::Candidate;

/// Flows that one class of one service may still add in this round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    remaining: f32,
}

impl Budget {
    /// Returns this instance's share of the spare capacity below `limit` running flows of
    /// each healthy candidate.
    pub fn new(candidates: &[Candidate], limit: impl Fn(&Candidate) -> f32, instances: usize) -> Budget {
        let spare: f32 = candidates
            .iter()
            .filter(|candidate| !candidate.is_ejected)
            .map(|candidate| (limit(candidate) - candidate.running).max(0.0))
            .sum();
        Budget::share(spare, instances)
    }

    /// Returns this instance's share of some spare capacity.
    pub fn share(spare: f32, instances: usize) -> Budget {
        Budget { remaining: spare.max(0.0) / instances.max(1) as f32 }
    }

    /// Takes one flow out of the budget; returns whether it was granted. A remainder below
    /// one is granted with that probability, so that small shares add up to the spare
    /// capacity.
    pub fn take(&mut self, random: &mut impl Rng) -> bool {
        let granted = self.remaining >= 1.0 || random.random::<f32>() < self.remaining;
        if granted {
            self.remaining = (self.remaining - 1.0).max(0.0);
        }
        granted
    }

    /// Like [`take`](Self::take), but draws the remainder only once, for requests that ask
    /// again in each round.
    pub fn take_or_close(&mut self, random: &mut impl Rng) -> bool {
        let granted = self.take(random);
        if !granted {
            self.remaining = 0.0;
        }
        granted
    }

    /// Remaining flows.
    pub fn remaining(&self) -> f32 {
        self.remaining
    }
}

/// Index of a class in a service's budgets, by its priority rank from zero to one.
pub fn class_index(priority_rank: f32, is_late: bool) -> usize {
    if is_late { 0 } else { 1 + (priority_rank * (CLASS_COUNT - 2) as f32).round() as usize }
}

/// Budgets of a service: one for late requests and three levels of priority rank.
pub const CLASS_COUNT: usize = 4;
