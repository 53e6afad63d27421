/*!
How often instances tell each other their state, by the size of the fleet.

The load that this answers: a fleet that grows. If each instance told all others
its open flows at a fixed pace, the messages at each of them would grow with the
fleet, and soon cost more than the packets that they help to place. So the pace
falls as the fleet grows, and what depends on hearing a peer (its reports, its
silence, that of its availability zone) waits accordingly.

Instances of one cell (see [`super::cells`]) report to each other each
[`CELL_REPORT_INTERVAL_MS`], so that sums of open flows are as fresh as a flow is short. To all
others they show that they are there, what they know of the store, and which
targets did not answer; that may be slower.

# Example

```
use ragwortlb::relay::report_interval::Interval;

assert_eq!(Interval::of(0).report_ms(), 20);
assert!(Interval::of(74).report_ms() > 500);
```
*/

/// Time between reports within a cell, in milliseconds: a third of the mean work of
/// the users' requests.
pub const CELL_REPORT_INTERVAL_MS: u64 = 20;

/// Reports that one instance sends in a second to peers of other cells. With 60 bytes
/// each, a fifth of what control may use.
const REPORTS_PER_S: u64 = 90;

/// Reports of a peer that may be missed before its last one no longer counts.
const MISSED_REPORTS: u64 = 3;

/// Pace of reports in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    report_ms: u64,
}

impl Default for Interval {
    fn default() -> Interval {
        Interval { report_ms: CELL_REPORT_INTERVAL_MS }
    }
}

impl Interval {
    /// Pace of an instance that has so many peers in other cells.
    pub fn of(peers: usize) -> Interval {
        Interval { report_ms: CELL_REPORT_INTERVAL_MS.max(peers as u64 * 1_000 / REPORTS_PER_S) }
    }

    /// Time between two reports to one peer of another cell, in milliseconds.
    pub fn report_ms(self) -> u64 {
        self.report_ms
    }

    /// A time that suits a small fleet, made longer if so many reports do not fit into
    /// it, in milliseconds.
    pub fn at_least(self, time_ms: u64) -> u64 {
        time_ms.max(MISSED_REPORTS * self.report_ms)
    }

    /// The same for a word from any one of several peers.
    pub fn at_least_of(self, time_ms: u64, peers: usize) -> u64 {
        time_ms.max(MISSED_REPORTS * self.report_ms / peers.max(1) as u64)
    }
}
