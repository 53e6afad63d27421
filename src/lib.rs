/*!
Coordination parts of a layer-4 load balancer.

This crate holds the decisions: which target a flow belongs to, whether a
request may run now, which configuration is in force, who is alive. It opens no
socket, reads no clock and keeps no global state. Time and randomness come in
from outside, so a run is a function of its events. The daemon `ragwortlbd` is
a thin shell around it, and other programs can embed it in the same way.

| module | decides |
|---|---|
| [`config`] | what operators accepted, and which revision goes before which |
| [`route`] | which target a flow belongs to, and how tables change |
| [`member`] | who is alive, and who observes whom |
| [`admit`] | which request may run now, and where |
| [`relay`] | the packet path where targets echo a token |
| [`retry`] | whether a request may run again |
| [`node`] | all of it for one instance: events in, actions out |
| [`wire`] | what instances tell each other, and its bytes |
| [`time`] | points in time, as the shell reports them |
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
