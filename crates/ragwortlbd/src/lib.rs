/*!
The daemon around [`ragwortlb::node::Node`].

A [`daemon::Daemon`] joins the parts: the call plane takes callers' requests, the
node decides, the runner calls targets, the links carry messages to peers, the
reader follows the platform's store, and the operators' HTTP shows and steers it
all. The same parts run in the program `ragwortlbd` and, in one process, in the
demo.
*/

pub mod core;
pub mod daemon;
pub mod links;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod plane;
pub mod program;
pub mod reader;
pub mod relay;
pub mod runner;
pub mod settings;
pub mod spans;
