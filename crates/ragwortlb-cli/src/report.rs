//! Shapes of the JSON that scripts read.

use ragwortlb::config::{Diagnostics, Position};
use serde::Serialize;

/// One fault.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Diagnostic {
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
    #[serde(rename = "faults")]
    pub diagnostics: Vec<Diagnostic>,
}

impl From<&Diagnostics> for Check {
    fn from(diagnostics: &Diagnostics) -> Check {
        let diagnostic = |diagnostic: &ragwortlb::config::Diagnostic| Diagnostic {
            file: diagnostic.position.as_ref().map(|position| position.file.to_string()),
            line: diagnostic.position.as_ref().map(|position| position.line),
            column: diagnostic.position.as_ref().map(|position| position.column),
            message: diagnostic.message.clone(),
        };
        Check { ok: false, services: 0, diagnostics: diagnostics.0.iter().map(diagnostic).collect() }
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
