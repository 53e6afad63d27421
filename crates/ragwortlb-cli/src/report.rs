//! Types of the JSON output, which scripts read: field names must stay.

use ragwortlb::config::{Diagnostics, Position};
use serde::Serialize;

/// Error in a document, with its location if it has one.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Diagnostic {
    file: Option<String>,
    line: Option<u32>,
    column: Option<u32>,
    message: String,
}

/// Result of validating a folder.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Check {
    /// Whether the folder is valid.
    pub ok: bool,
    /// Number of its services; zero if it is not valid.
    pub services: usize,
    /// Errors found.
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

/// Origin of a value.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Explanation {
    /// Dotted path.
    pub path: String,
    /// Value.
    pub value: String,
    /// Location that sets it, as file and line.
    pub set: String,
    /// Locations of earlier values that it overrides.
    pub replaced: Vec<String>,
}

/// Formats a position as file and line.
pub fn location(position: &Position) -> String {
    format!("{}:{}", position.file, position.line)
}

/// Difference between a folder and the accepted revision.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Difference {
    /// Accepted revision; zero if there is none.
    pub revision: u64,
    /// Whether anything differs.
    pub changed: bool,
    /// Lines of the difference, each after its sign: `-`, `+` or a space.
    pub lines: Vec<String>,
}

/// Result of an accept.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Accept {
    /// Accepted revision.
    pub revision: u64,
    /// Identity of the change.
    pub change: String,
    /// Whether this accept created the revision; false if it had the same documents.
    pub made: bool,
}

/// Accepted revision and the state of instances.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub struct Status {
    /// Accepted revision; absent if none is, or the store did not answer.
    pub revision: Option<u64>,
    /// Digest of the accepted revision.
    pub digest: Option<String>,
    /// Error of reading the store.
    pub store_error: Option<String>,
    /// Instances.
    pub instances: Vec<Instance>,
}

/// State of one instance.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Instance {
    /// Address for operators.
    pub address: String,
    /// Answer of its status endpoint.
    pub state: Option<serde_json::Value>,
    /// Error of reading its status.
    pub error: Option<String>,
}
