/*!
How often instances report their state to each other, by the size of the fleet.

With a fixed interval the messages at each instance would grow with the fleet
and soon cost more than the packets that they help to place. So the interval
grows with the fleet, and so do the time-outs that depend on it: those of
reports, of peers and of availability zones.

Instances of one cell (see [`super::cells`]) report to each other every
[`CELL_REPORT_INTERVAL_MS`] while their flows change, because these change within
the length of a flow. An unchanged report is only sent every [`KEEPALIVE_MS`]: in a
large fleet an instance gets a new flow each 100 ms, and most of its reports would
repeat the one before. Peers of other cells need liveness, the store revision and targets that do
not answer, which may arrive later.

# Example

```
use ragwortlb::relay::report_interval::Interval;

assert_eq!(Interval::of(0).interval_ms(), 20);
assert!(Interval::of(74).interval_ms() > 500);
```
*/

/// Interval of reports within a cell, in milliseconds: a third of the mean service time
/// of the users' requests.
pub const CELL_REPORT_INTERVAL_MS: u64 = 20;

/// Interval of unchanged reports within a cell, in milliseconds. The validity of a report
/// and the time-out of a peer are at least three times as long.
pub const KEEPALIVE_MS: u64 = 80;

/// Reports that one instance sends to peers of other cells, per second. At 60 bytes each
/// they use a fifth of the bandwidth for control messages.
const REPORTS_PER_S: u64 = 90;

/// Consecutive reports of a peer that may be lost before its last one expires.
const MISSED_REPORTS: u64 = 3;

/// Interval of reports to peers of other cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    interval_ms: u64,
}

impl Default for Interval {
    fn default() -> Interval {
        Interval { interval_ms: CELL_REPORT_INTERVAL_MS }
    }
}

impl Interval {
    /// Interval for an instance with this many peers in other cells.
    pub fn of(peers: usize) -> Interval {
        Interval { interval_ms: CELL_REPORT_INTERVAL_MS.max(peers as u64 * 1_000 / REPORTS_PER_S) }
    }

    /// Time between two reports to the same peer of another cell, in milliseconds.
    pub fn interval_ms(self) -> u64 {
        self.interval_ms
    }

    /// Extends a time-out for a small fleet so that three report intervals fit into
    /// it, in milliseconds.
    pub fn scaled_ms(self, time_ms: u64) -> u64 {
        time_ms.max(MISSED_REPORTS * self.interval_ms)
    }

    /// Like [`scaled_ms`](Self::scaled_ms), for a report from any one of several peers.
    pub fn scaled_ms_of_any(self, time_ms: u64, peers: usize) -> u64 {
        time_ms.max(MISSED_REPORTS * self.interval_ms / peers.max(1) as u64)
    }
}
