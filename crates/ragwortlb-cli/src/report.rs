//! Shapes of the JSON that scripts read.

use ragwortlb::config::{Faults, Position};
use serde::Serialize;

/// One fault.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Fault {
    file: Option<String>,
    line: Option<u32>,
    column: Option<u32>,
    message: String,
}

/// Outcome of a check.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Check {
    /// Whether the folder is in order.
    pub ok: bool,
    /// Services in it.
    pub services: usize,
    /// What is wrong.
    pub faults: Vec<Fault>,
}

impl From<&Faults> for Check {
    fn from(faults: &Faults) -> Check {
        let fault = |fault: &ragwortlb::config::Fault| Fault {
            file: fault.position.as_ref().map(|position| position.file.to_string()),
            line: fault.position.as_ref().map(|position| position.line),
            column: fault.position.as_ref().map(|position| position.column),
            message: fault.message.clone(),
        };
        Check { ok: false, services: 0, faults: faults.0.iter().map(fault).collect() }
    }
}

/// Provenance of a value.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Explanation {
    /// Dotted path.
    pub path: String,
    /// Value.
    pub value: String,
    /// Where it was set.
    pub set: String,
    /// Earlier places that it replaced.
    pub replaced: Vec<String>,
}

/// File and line of a position.
pub fn place(position: &Position) -> String {
    format!("{}:{}", position.file, position.line)
}

/// What a difference is against.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Difference {
    /// Revision that it is against; zero if none is accepted.
    pub revision: u64,
    /// Whether anything differs.
    pub changed: bool,
    /// Lines with a sign in front.
    pub lines: Vec<String>,
}

/// Outcome of an accept.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Accept {
    /// Revision that is accepted now.
    pub revision: u64,
    /// Identity of the change.
    pub change: String,
    /// Whether this accept made it.
    pub made: bool,
}

/// Accepted revision, and what instances have in force.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub struct Status {
    /// Accepted revision; absent if none is, or the store did not answer.
    pub revision: Option<u64>,
    /// Its digest.
    pub digest: Option<String>,
    /// Why the store did not answer.
    pub store_error: Option<String>,
    /// Instances.
    pub instances: Vec<Instance>,
}

/// One instance.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Instance {
    /// Operators' address.
    pub address: String,
    /// Its state, if it answered.
    pub state: Option<serde_json::Value>,
    /// Why it did not answer.
    pub error: Option<String>,
}
