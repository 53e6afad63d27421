/*!
How many flows one instance may add to busy targets until it hears from its
peers again.

The load that this answers: a flood at several instances at once. Each of them
sees the same room in front of the same slots, and if each filled it, the queues
would grow by a multiple of it until the next reports show that. So the room is
shared out between the instances that report. What one of them leaves unused
shows as room in the next round, and is shared out again.
*/

use rand::{Rng, RngExt};

use super::place::Candidate;

/// What is left to one class of one service in this round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Budget {
    left: f32,
}

impl Budget {
    /// Budget for a round: this instance's part of the room below `limit` open flows
    /// a slot.
    pub fn new(candidates: &[Candidate], limit: impl Fn(&Candidate) -> f32, instances: usize) -> Budget {
        let room: f32 = candidates
            .iter()
            .filter(|candidate| !candidate.is_ejected)
            .map(|candidate| (limit(candidate) - candidate.open).max(0.0))
            .sum();
        Budget { left: room / instances.max(1) as f32 }
    }

    /// Takes one flow out of the budget, if there is any left. The part below one is
    /// given by chance, so that small budgets add up to the room.
    pub fn take(&mut self, random: &mut impl Rng) -> bool {
        let granted = self.left >= 1.0 || random.random::<f32>() < self.left;
        if granted {
            self.left = (self.left - 1.0).max(0.0);
        }
        granted
    }

    /// Flows that are left.
    pub fn left(&self) -> f32 {
        self.left
    }
}

/// Index of a class in a service's budgets, by its standing.
pub fn index(standing: f32, is_late: bool) -> usize {
    if is_late { 0 } else { 1 + (standing * (CLASSES - 2) as f32).round() as usize }
}

/// Number of classes with budgets of their own: late requests, and three standings.
pub const CLASSES: usize = 4;
