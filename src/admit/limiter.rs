//! Concurrency limit of the instance, divided between the priority classes (urgency).

use crate::config::Urgency;

/// Total load up to which each class is admitted, in percent of the limit, most urgent first.
const CEILING_PERCENT: [usize; 3] = [95, 85, 70];

/// Share of the limit, in percent, that the least urgent class may fill even if the total
/// load is above its ceiling.
const FLOOR_PERCENT: usize = 5;

/// Counts the admitted requests by class.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: usize,
    admitted: [usize; 3],
}

impl Limiter {
    /// Limiter for at most `limit` concurrent requests.
    pub fn new(limit: usize) -> Limiter {
        Limiter { limit, admitted: [0; 3] }
    }

    /// Admits a request unless its class is over its ceiling. Returns whether it is admitted.
    pub fn try_enter(&mut self, urgency: Urgency) -> bool {
        let total: usize = self.admitted.iter().sum();
        let ceiling = (self.limit * CEILING_PERCENT[urgency.index()]).div_ceil(100);
        let floor = (self.limit * FLOOR_PERCENT).div_ceil(100);
        let under_floor = urgency == Urgency::Low && self.admitted[urgency.index()] < floor;
        if total >= self.limit || (total >= ceiling && !under_floor) {
            return false;
        }
        self.admitted[urgency.index()] += 1;
        true
    }

    /// Removes a request that has ended.
    pub fn leave(&mut self, urgency: Urgency) {
        let admitted = &mut self.admitted[urgency.index()];
        *admitted = admitted.saturating_sub(1);
    }

    /// Number of admitted requests of all classes.
    pub fn len(&self) -> usize {
        self.admitted.iter().sum()
    }

    /// Reports whether no request is admitted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
