//! Types of the JSON output, which scripts read: field names must stay.

use ragwortlb::config::{self, Position, Review, Severity};
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

impl From<&config::Diagnostic> for Diagnostic {
    fn from(diagnostic: &config::Diagnostic) -> Diagnostic {
        Diagnostic {
            file: diagnostic.position.as_ref().map(|position| position.file.to_string()),
            line: diagnostic.position.as_ref().map(|position| position.line),
            column: diagnostic.position.as_ref().map(|position| position.column),
            message: diagnostic.message.clone(),
        }
    }
}

/// Error or warning, with its kind.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Finding {
    kind: &'static str,
    severity: &'static str,
    #[serde(flatten)]
    diagnostic: Diagnostic,
}

impl From<&config::Diagnostic> for Finding {
    fn from(diagnostic: &config::Diagnostic) -> Finding {
        Finding {
            kind: diagnostic.kind.name(),
            severity: diagnostic.severity().name(),
            diagnostic: Diagnostic::from(diagnostic),
        }
    }
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
    /// Errors and warnings, in order of location.
    pub findings: Vec<Finding>,
    /// Difference from the accepted revision; absent if it was not asked for or the
    /// folder is not valid.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub difference: Option<Difference>,
}

impl Check {
    /// Report of a review.
    pub fn new(review: &Review, difference: Option<Difference>) -> Check {
        let findings = &review.findings.0;
        let errors = findings.iter().filter(|finding| finding.severity() == Severity::Error);
        Check {
            ok: review.config.is_some(),
            services: review.config.as_ref().map_or(0, |config| config.services.len()),
            diagnostics: errors.map(Diagnostic::from).collect(),
            findings: findings.iter().map(Finding::from).collect(),
            difference,
        }
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
    /// Warnings about the folder.
    pub warnings: Vec<Finding>,
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
