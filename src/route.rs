/*!
Assigns flows to targets, with the same result on every instance.

A [`table::Table`] maps the hash slots of a service to targets. It is a pure
function of the accepted configuration and the targets' states, so any instance
can compute the target of any flow without messages.

When the table changes, flows opened earlier stay on their target: they are
*pinned*. Instances exchange and merge [`filter::Filter`]s of the pinned flows,
and from then on the computed target takes the filters into account. Until the
filters are complete, the hash slots that change are *unsettled*: instances may
still route them by different tables. Flows opened on unsettled slots are
registered as *exceptions*. An exception is a flow whose target may differ from
the computed one; its target is stored on two [`replica`]s. An instance that does
not track a flow on an unsettled slot asks these replicas.

[`router::Router`] combines these parts for one instance. [`change`] defines the
steps by which all instances move from one table to the next.

# Example

```
use ragwortlb::route::table::{Table, WeightedTarget};

let targets = ["m1", "m2", "m3"].map(|name| WeightedTarget::new(name, 1));
let table = Table::new(&targets);
assert_eq!(table.target(42), Table::new(&targets).target(42));
```
*/

pub mod change;
pub mod filter;
pub mod flow;
mod indexed;
pub mod replica;
pub mod router;
pub mod table;
