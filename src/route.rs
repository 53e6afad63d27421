/*!
Which target a flow belongs to, computed alike on every instance.

A [`table::Table`] maps the slots of a service to targets and is a pure function
of the accepted configuration and the targets' states. While it stays the same,
any instance computes the target of any flow and nothing has to be told.

When it changes, the flows opened before stay where they are. Instances unite
[`filter::Filter`]s of those flows, and from then on the filters belong to the
computed answer. Until they are complete, slots that change are *unsettled*:
flows opened on them are registered as exceptions with two keepers each (see
[`replica`]), and an instance that lacks a flow asks these.

[`router::Router`] joins the parts for one instance; [`change`] holds the order
of steps by which all instances go from one table to the next.

# Example

```
use ragwortlb::route::table::{Table, WeightedTarget};

let members = ["m1", "m2", "m3"].map(|name| WeightedTarget::new(name, 1));
let table = Table::new(&members);
assert_eq!(table.target(42), Table::new(&members).target(42));
```
*/

pub mod change;
pub mod filter;
pub mod flow;
mod numbered;
pub mod replica;
pub mod router;
pub mod table;
