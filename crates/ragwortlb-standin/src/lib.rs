/*!
Small stand-ins for what surrounds the system: the platform's store, targets, and
the fabric with its callers. They serve tests, the demo and measurements, and are
not shipped.
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
