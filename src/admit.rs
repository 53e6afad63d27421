/*!
Admission of requests by the concurrency slots of targets.

A target has few concurrency slots, and every instance may send requests to it.
So each slot has one *owner*, the instance that all instances compute for it
([`owners`]). An instance runs a request on a free slot that it owns, or asks
another owner for one. The owner leases the slot; the lease ends when the slot is
released or the lease expires. While instances disagree about membership, a slot
may have two owners. The target then sheds the excess request, and nothing worse
happens.

[`slots::Slots`] tracks the owned slots of one service, [`queue::Queue`] orders
the requests that wait for a slot, [`limiter::Limiter`] divides the capacity of
the instance between priority classes (urgency), and [`outlier::Outliers`] ejects
targets that fail or shed.

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
