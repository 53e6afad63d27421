/*!
Retries of requests, and at-most-once execution.

A request is retried only if it is idempotent or has provably not run. The retry
goes to another target if the service is movable. It must fit into the deadline
and needs credit in the [`budget::Budget`], to which successful requests add. Before a request that is
not idempotent runs for the first time, its two replicas store an entry in their
[`record::Records`]. Duplicates of the request attach to the entry and get the
same outcome. Where an entry may have been lost, the outcome is unknown; the
request does not run a second time.

# Example

```
use ragwortlb::retry::budget::Budget;

let mut budget = Budget::default();
let retries = (0..100).filter(|_| budget.spend()).count();
assert_eq!(retries, 10);
```
*/

pub mod budget;
pub mod record;
