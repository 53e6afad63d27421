/*!
Stand-ins for the environment of the load balancer: the platform's store, targets,
the fabric, and customers who send requests through it. Tests, the demo and the
measurements use them; they are not shipped.

[`fleet`] runs a whole system as separate processes and [`embedded`] in one process.
[`measure`] drives a fleet with load and injects failures.
*/

pub mod control;
pub mod customers;
pub mod embedded;
pub mod fabric;
pub mod fleet;
pub mod measure;
pub mod packets;
pub mod ports;
pub mod site;
pub mod store;
pub mod switch;
pub mod target;
pub mod traces;
