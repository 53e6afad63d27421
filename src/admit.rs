/*!
Which request may run now, and where.

Targets have few slots and every instance may send to each of them, so the slots
are shared out: each slot of each target has one *home* instance, computed alike
everywhere ([`owners`]). An instance runs a request on a free slot of its own, or
asks another home for one. A home lends a slot by one message and gets it back
by another, or when the loan's time is over. Two homes for one slot, as views
differ for a moment, cost a shed by the target and nothing more.

[`slots::Slots`] counts the slots of one service, [`queue::Queue`] orders who
waits for them, [`limiter::Limiter`] shares the instance itself between the classes of
urgency, and [`outlier::Outliers`] says which targets to leave alone for a while.

# Example

```
use ragwortlb::admit::limiter::Limiter;
use ragwortlb::config::Urgency;

let mut limiter = Limiter::new(10);
let low = (0..10).filter(|_| limiter.try_enter(Urgency::Low)).count();
assert!(low < 10);
assert!(limiter.try_enter(Urgency::High));
```
*/

pub mod limiter;
pub mod outlier;
pub mod owners;
pub mod queue;
pub mod slots;
