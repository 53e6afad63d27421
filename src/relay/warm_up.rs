/*!
Limits the requests that cold targets get, over all instances, without messages.

The load that this answers is a zone of targets that returns at once, or a release: every
instance sees empty targets that seem to be the best choice, while each of them bears a
few requests a second until its caches are filled.

In any span of one second a cold target may get a limited number of requests, summed over all
instances, also over those that are partitioned or have just started. So each instance takes
a fixed share that holds whatever the others do. Half of the limit is divided among the
instances; the other half is for times in which instances disagree on who they are, as when
some are added: two views of the fleet that do not overlap together stay within the limit.

The instances that place flows on a target are those of the cells that use it. A cell consists
of live instances, so an instance that is cut off has a small fleet and uses more targets. The
number of instances to divide by follows from all members that it has known for minutes and
from the part of the targets that it uses: if all others are cut off in the same way, their
shares still add up. Other instances get requests for the target on flows that the fabric moves
to them; a smaller part of the limit is divided among all members for these.

Shares are whole requests a second. Where there are fewer requests than instances, rendezvous
hashing selects the instances that get one: a longer interval at each of them would not keep
them from sending in the same second.

A share is a minimum distance between two requests, which bounds every sliding second, unlike
a token bucket. The first request of each instance comes at a different time.

# Example

```
use ragwortlb::relay::warm_up::{Bound, Group, Settings};

let settings = Settings { overage: 1.5, slack: 5.0 };
// A target that bears 25 requests a second, used by six instances.
let first = Bound::new(25.0, settings, Group::Cell, 6, 0).unwrap();
assert_eq!(first.interval_ms(), Some(334));
let last = Bound::new(25.0, settings, Group::Cell, 6, 5).unwrap();
assert_eq!(last.interval_ms(), Some(501));
assert!(Bound::new(0.0, settings, Group::Cell, 6, 0).is_none(), "no limit is stated");
```
*/

use crate::time::Time;

/// Part of the limit that is divided among the instances that place flows on the target. With
/// [`OTHER_SHARE`] it is half of the limit, so that two views of the fleet stay within it.
const CELL_SHARE: f32 = 0.4;

/// Part of the limit for requests on flows that the fabric moved to instances of other cells.
/// It moves nearly all flows when an instance joins or leaves.
const OTHER_SHARE: f32 = 0.1;

/// Time for which new flows leave a cold target to a request on an open flow that waits for it,
/// in milliseconds: some rounds in which waiting requests are decided again.
const PRECEDENCE_MS: u64 = 50;

/// Time for which a target counts as cold that answers again after an ejection or whose zone is
/// taken back, in milliseconds: until the entry that says whether it has started again arrives.
pub const ENTRY_DELAY_MS: u64 = 1_500;

/// Requests beyond the share that are made up for at most, as those on flows that other
/// instances opened cannot wait.
const MAX_DEBT: u64 = 4;

/// What cold targets may get beyond the requests that they bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Factor on the requests a second that a cold target bears.
    pub overage: f32,
    /// Requests in a second on top.
    pub slack: f32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { overage: 1.0, slack: 0.0 }
    }
}

/// Instances that divide a part of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Those of the cells that use the target.
    Cell,
    /// All others, for requests on flows that moved to them.
    Others,
}

/// One instance's share of the requests to a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// None if the instance may send no requests.
    interval_ms: Option<u64>,
}

impl Bound {
    /// Share of the instance of a rank, from zero, among `instances` of a group in a target that
    /// bears `per_s` requests a second while it is cold; none if no limit is stated.
    pub fn new(per_s: f32, settings: Settings, group: Group, instances: usize, rank: usize) -> Option<Bound> {
        if per_s <= 0.0 {
            return None;
        }
        let limit = per_s * settings.overage.max(1.0) + settings.slack.max(0.0);
        let part = match group {
            Group::Cell => CELL_SHARE,
            Group::Others => OTHER_SHARE,
        };
        let total = part * limit;
        if total < 1.0 {
            let interval_ms = (rank == 0).then_some((1_000.0 / total).ceil() as u64);
            return Some(Bound { interval_ms });
        }
        let (total, instances) = (total as usize, instances.max(1));
        let share = total / instances + usize::from(rank < total % instances);
        // A second that includes both ends of an interval holds one more request.
        let interval_ms = 1_000_u64.checked_div(share as u64).map(|interval_ms| interval_ms + 1);
        Some(Bound { interval_ms })
    }

    /// Least time between two requests of this instance, in milliseconds; none if it may send no
    /// requests.
    pub fn interval_ms(self) -> Option<u64> {
        self.interval_ms
    }
}

/// Number of instances to divide a target's limit by: the members of the cell, or more if the
/// instance is cut off from members that it knows.
pub fn sharing_instances(cell_instances: usize, known_instances: usize, cells: usize) -> usize {
    cell_instances.max(known_instances.div_ceil(cells.max(1)))
}

#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    /// Earliest time of the next request; zero before the first one of a cold period.
    next: Time,
    /// Until when the target counts as cold without an entry that says so.
    suspected_until: Time,
    /// Until when a request on an open flow has precedence over new flows.
    reserved_until: Time,
}

/// Times of the requests to cold targets, by target.
#[derive(Clone, Debug, Default)]
pub struct WarmUp {
    table: Vec<Schedule>,
}

impl WarmUp {
    fn schedule(&mut self, target: usize) -> &mut Schedule {
        if self.table.len() <= target {
            self.table.resize(target + 1, Schedule::default());
        }
        &mut self.table[target]
    }

    /// Whether a target may have started again without an entry that says so.
    pub fn is_suspected(&self, target: usize, now: Time) -> bool {
        self.table.get(target).is_some_and(|schedule| now < schedule.suspected_until)
    }

    /// Records that a target may have started again.
    pub fn suspect(&mut self, target: usize, now: Time) {
        self.schedule(target).suspected_until = now + ENTRY_DELAY_MS;
    }

    /// Starts a new cold period of a target. Instances with different phases, from zero to one,
    /// send their first requests at different times.
    pub fn start(&mut self, target: usize, bound: Bound, phase: f32, now: Time) {
        let Some(interval_ms) = bound.interval_ms else {
            return;
        };
        let schedule = self.schedule(target);
        // A probe may just have been sent, which counts too.
        schedule.next = schedule.next.max(now + (phase * interval_ms as f32) as u64);
    }

    /// Whether a cold target may get a request of this instance.
    pub fn admits(&self, target: usize, bound: Bound, now: Time) -> bool {
        bound.interval_ms.is_some() && self.table.get(target).is_none_or(|schedule| now >= schedule.next)
    }

    /// Whether a cold target may get a new flow of this instance.
    pub fn admits_new(&self, target: usize, bound: Bound, now: Time) -> bool {
        let is_reserved = self.table.get(target).is_some_and(|schedule| now < schedule.reserved_until);
        !is_reserved && self.admits(target, bound, now)
    }

    /// Gives a request on an open flow that waits for a cold target precedence over new flows.
    pub fn reserve(&mut self, target: usize, now: Time) {
        self.schedule(target).reserved_until = now + PRECEDENCE_MS;
    }

    /// Records a request to a cold target.
    pub fn record(&mut self, target: usize, bound: Bound, now: Time) {
        let Some(interval_ms) = bound.interval_ms else {
            return;
        };
        let schedule = self.schedule(target);
        let latest = now + MAX_DEBT * interval_ms;
        schedule.next = (schedule.next.max(now) + interval_ms).min(latest);
    }
}
