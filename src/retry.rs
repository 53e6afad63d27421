/*!
Whether a request may run again.

A request runs again only after proof that it did not run, or if it is
idempotent; then on another target, within its deadline, and from a
[`budget::Budget`] that successes fill. A request that is not idempotent has a
[`record::Records`] entry with two keepers before it runs the first time. Its
duplicates join the entry and get the same outcome. Where an entry may have been
lost the outcome is unknown, and never a second run.

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
