//! Points in time, as the shell reports them.

use std::ops::{Add, Sub};

/// Milliseconds of a clock that never goes back, from any start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Milliseconds since `earlier`, or zero if that is later.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// Adds milliseconds.
    fn add(self, millis: u64) -> Time {
        Time(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Time {
    type Output = Time;

    /// Subtracts milliseconds, stopping at zero.
    fn sub(self, millis: u64) -> Time {
        Time(self.0.saturating_sub(millis))
    }
}
