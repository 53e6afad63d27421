//! Points in time of the host program's clock.

use std::ops::{Add, Sub};

/// Milliseconds of a monotonic clock since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Milliseconds since `earlier`; 0 if `earlier` is the later one.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// Adds milliseconds; saturates.
    fn add(self, millis: u64) -> Time {
        Time(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Time {
    type Output = Time;

    /// Subtracts milliseconds; saturates at 0.
    fn sub(self, millis: u64) -> Time {
        Time(self.0.saturating_sub(millis))
    }
}
