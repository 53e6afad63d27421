//! Shares the instance's own room between the classes of urgency.

use crate::config::Urgency;

/// Share of the room that each class may fill, in percent, most urgent first.
const CEILING_PERCENT: [usize; 3] = [95, 85, 70];

/// Share of the room that only the least urgent class may fill, in percent.
const FLOOR_PERCENT: usize = 5;

/// Requests inside the instance, by class.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: usize,
    inside: [usize; 3],
}

impl Limiter {
    /// Gate that lets at most `limit` requests in.
    pub fn new(limit: usize) -> Limiter {
        Limiter { limit, inside: [0; 3] }
    }

    /// Lets a request in, if its class has room.
    pub fn try_enter(&mut self, urgency: Urgency) -> bool {
        let total: usize = self.inside.iter().sum();
        let ceiling = (self.limit * CEILING_PERCENT[urgency.index()]).div_ceil(100);
        let floor = (self.limit * FLOOR_PERCENT).div_ceil(100);
        let under_floor = urgency == Urgency::Low && self.inside[urgency.index()] < floor;
        if total >= self.limit || (total >= ceiling && !under_floor) {
            return false;
        }
        self.inside[urgency.index()] += 1;
        true
    }

    /// Lets a request out.
    pub fn leave(&mut self, urgency: Urgency) {
        let inside = &mut self.inside[urgency.index()];
        *inside = inside.saturating_sub(1);
    }

    /// Requests inside, of all classes.
    pub fn len(&self) -> usize {
        self.inside.iter().sum()
    }

    /// Reports whether no request is inside.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
