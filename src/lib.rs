/*!
Decision logic of a layer-4 load balancer.

The crate decides which target a flow belongs to, whether a request may run now,
which configuration revision to adopt and which instances are live. It opens no
socket, reads no clock and keeps no global state. A host program passes in time
and events and carries out the resulting actions, so a run is reproducible from
its events and seeds. The daemon `ragwortlbd` is such a host program; others can
embed the crate in the same way.

| module | contents |
|---|---|
| [`config`] | configuration documents and the order of their revisions |
| [`route`] | routing tables, and the change from one to the next |
| [`member`] | membership and failure detection by gossip |
| [`admit`] | admission of requests by concurrency slots |
| [`relay`] | packet path for services whose packets carry a token of the target |
| [`retry`] | retry budget, and records that prevent a second run |
| [`node`] | state machine of one instance: events in, actions out |
| [`wire`] | messages between instances and their encoding |
| [`time`] | points in time of the host program's clock |
*/

pub mod admit;
pub mod config;
mod error;
mod hash;
pub mod member;
pub mod node;
pub mod relay;
pub mod retry;
pub mod route;
mod ticket;
pub mod time;
pub mod wire;

pub use error::Error;
