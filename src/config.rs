/*!
Configuration by operators: a folder of small documents that are merged, checked
and accepted as one revision.

A folder holds files named `*.jsonc`. They merge in byte order of their names:
maps merge by key, `null` removes a key that earlier files set, and each leaf
records the file and line that set it. Each proposal is a file of its own, so
operators need not edit each other's files.

The command-line tool needs each step alone, so the steps are separate:

1. [`document`] parses one file into a [`document::Tree`] with locations.
2. [`merge`] merges the trees of a folder into one tree that records the origin of
   each value.
3. [`check`] turns the merged tree into a typed [`Config`], or returns all
   [`Diagnostic`]s. Warnings, which do not make a folder invalid, are part of
   [`Folder::review`] only.
4. [`revision`] orders the accepted configurations.

# Example

```
use ragwortlb::config::{Folder, File};

let file = File::new("10-booking.jsonc", br#"{
    "title": "first", "author": "ada", "reason": "start",
    "services": {"booking": {
        "address": "10.1.0.1:7000",
        "targets": {"m1": {"address": "10.2.0.1:9000", "zone": "pa", "slots": 3}}
    }}
}"#.to_vec());
let config = Folder::new(vec![file]).check().unwrap();
assert_eq!(config.services.len(), 1);
```
*/

pub mod check;
pub mod document;
pub mod merge;
pub mod revision;
mod schema;
mod warnings;

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Size limit of a document, in bytes.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// Most documents in one folder.
pub const MAX_FILES: usize = 4096;

/// Location in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Name of the document.
    pub file: Arc<str>,
    /// Line, counted from one.
    pub line: u32,
    /// Column in characters, counted from one.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The folder is invalid and is not accepted.
    Error,
    /// The folder is valid, but a part of it probably does not do what was intended.
    Warning,
}

impl Severity {
    /// Name in the output for programs.
    pub fn name(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        }
    }
}

/// Kind of a finding. Each kind is either an error or a warning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Error: the folder or a document cannot be read as such.
    InvalidDocument,
    /// Error: a key is given twice in one map.
    DuplicateKey,
    /// Error: the schema does not have this key.
    UnknownKey,
    /// Error: a required key is missing.
    MissingKey,
    /// Error: a value or name has the wrong type, form or size.
    InvalidValue,
    /// Error: two entries use the same address or id.
    Conflict,
    /// Error: no service, or a service without targets.
    NothingToServe,
    /// Warning: a document sets a value that an earlier one has set already.
    RepeatedValue,
    /// Warning: an entry that changes nothing.
    NoEffect,
    /// Warning: later documents override everything that a document sets.
    OverriddenDocument,
    /// Warning: no target of a service gets new flows.
    NoServingTarget,
    /// Warning: an address that cannot be that of a single service or target.
    UnusableAddress,
    /// Warning: two limits of which one cannot take effect or interrupts what the other allows.
    ContradictoryLimits,
}

impl Kind {
    /// Severity of all findings of this kind.
    pub fn severity(self) -> Severity {
        match self {
            Kind::InvalidDocument
            | Kind::DuplicateKey
            | Kind::UnknownKey
            | Kind::MissingKey
            | Kind::InvalidValue
            | Kind::Conflict
            | Kind::NothingToServe => Severity::Error,
            Kind::RepeatedValue
            | Kind::NoEffect
            | Kind::OverriddenDocument
            | Kind::NoServingTarget
            | Kind::UnusableAddress
            | Kind::ContradictoryLimits => Severity::Warning,
        }
    }

    /// Name in the output for programs, which must stay.
    pub fn name(self) -> &'static str {
        match self {
            Kind::InvalidDocument => "invalid_document",
            Kind::DuplicateKey => "duplicate_key",
            Kind::UnknownKey => "unknown_key",
            Kind::MissingKey => "missing_key",
            Kind::InvalidValue => "invalid_value",
            Kind::Conflict => "conflict",
            Kind::NothingToServe => "nothing_to_serve",
            Kind::RepeatedValue => "repeated_value",
            Kind::NoEffect => "no_effect",
            Kind::OverriddenDocument => "overridden_document",
            Kind::NoServingTarget => "no_serving_target",
            Kind::UnusableAddress => "unusable_address",
            Kind::ContradictoryLimits => "contradictory_limits",
        }
    }
}

/// Error or warning about a folder of documents.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Location of the finding; `None` if it concerns the folder as a whole.
    pub position: Option<Position>,
    /// Description of the finding.
    pub message: String,
    /// Kind, which implies the severity.
    pub kind: Kind,
}

impl Diagnostic {
    /// Finding at a location.
    pub fn at(kind: Kind, position: &Position, message: impl Into<String>) -> Diagnostic {
        Diagnostic { position: Some(position.clone()), message: message.into(), kind }
    }

    /// Finding about the folder as a whole.
    pub fn folder(kind: Kind, message: impl Into<String>) -> Diagnostic {
        Diagnostic { position: None, message: message.into(), kind }
    }

    /// Severity of the finding.
    pub fn severity(&self) -> Severity {
        self.kind.severity()
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.position {
            Some(position) => write!(f, "{position}: ")?,
            None => write!(f, "folder: ")?,
        }
        if self.severity() == Severity::Warning {
            write!(f, "warning: ")?;
        }
        f.write_str(&self.message)
    }
}

/// All findings about a folder, in order of location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// Sorts the findings and removes duplicates.
    pub fn new(mut diagnostics: Vec<Diagnostic>) -> Diagnostics {
        diagnostics.sort();
        diagnostics.dedup();
        Diagnostics(diagnostics)
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, diagnostic) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// Document before it is parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// File name without the folder.
    pub name: Arc<str>,
    /// Content of the file.
    pub bytes: Vec<u8>,
}

impl File {
    /// Document with the given name and content.
    pub fn new(name: impl Into<Arc<str>>, bytes: Vec<u8>) -> File {
        File { name: name.into(), bytes }
    }

    /// Reports whether a file name is that of a document.
    pub fn is_document_name(name: &str) -> bool {
        name.ends_with(".jsonc") && name.len() > ".jsonc".len() && !name.starts_with('.')
    }
}

/// Result of a review: the configuration and all findings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Review {
    /// Checked configuration; `None` if there are errors.
    pub config: Option<Config>,
    /// Errors and warnings, in order of location.
    pub findings: Diagnostics,
}

/// Documents of one folder, in byte order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Folder {
    files: Vec<File>,
}

impl Folder {
    /// Folder of the given documents.
    pub fn new(mut files: Vec<File>) -> Folder {
        files.sort_by(|a, b| a.name.as_bytes().cmp(b.name.as_bytes()));
        Folder { files }
    }

    /// Documents in merge order.
    pub fn files(&self) -> &[File] {
        &self.files
    }

    /// Merges the documents.
    ///
    /// # Errors
    ///
    /// All errors in single documents.
    pub fn merge(&self) -> Result<merge::Merged, Diagnostics> {
        merge::merge(&self.files)
    }

    /// Merges and checks the documents.
    ///
    /// # Errors
    ///
    /// All errors in single documents, or else in the merged configuration.
    pub fn check(&self) -> Result<Config, Diagnostics> {
        check::check(&self.merge()?)
    }

    /// Checks the documents like [`Folder::check`], and also finds entries that have no
    /// effect and limits that contradict each other.
    ///
    /// There are no warnings while a document cannot be parsed, as its effect on the
    /// other documents is not known.
    pub fn review(&self) -> Review {
        let (merged, mut findings) = merge::merge_all(&self.files);
        let mut config = None;
        if let Some(merged) = &merged {
            if findings.is_empty() {
                match check::check(merged) {
                    Ok(checked) => config = Some(checked),
                    Err(Diagnostics(errors)) => findings.extend(errors),
                }
            }
            findings.extend(merged.warnings.iter().cloned());
            findings.extend(warnings::warnings(merged));
        }
        Review { config, findings: Diagnostics::new(findings) }
    }
}

/// Priority class of the requests of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Admitted up to the highest load.
    High,
    /// Default class.
    #[default]
    Normal,
    /// Rejected first under load, except for a small guaranteed part.
    Low,
}

impl Urgency {
    /// All classes, most urgent first.
    pub const ALL: [Urgency; 3] = [Urgency::High, Urgency::Normal, Urgency::Low];

    /// Index of the class, most urgent first.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Checked configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Config {
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
}

impl Config {
    /// Canonical JSON: sorted keys, defaults included.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a configuration has only string keys")
    }
}

/// Service that customers reach by its address.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Service {
    /// Address to which customers send.
    pub address: SocketAddr,
    /// Priority class of all its requests.
    pub urgency: Urgency,
    /// Whether the requests of one flow may go to different targets.
    pub movable: bool,
    /// Deadline of requests without one, in milliseconds.
    pub deadline_ms: u64,
    /// Longest wait for a concurrency slot, in milliseconds.
    pub queue_ms: u64,
    /// Idle timeout of flows, in seconds.
    pub idle_s: u64,
    /// Longest time for which a draining target keeps its flows, in seconds.
    pub drain_limit_s: u64,
    /// Time in which a new target ramps up to its full share, in seconds.
    pub warm_up_s: u64,
    /// Targets by name.
    pub targets: BTreeMap<Arc<str>, Target>,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Target {
    /// Address to which instances send.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Concurrency slots: requests that it runs at the same time.
    pub slots: u32,
    /// Share of new flows relative to the other targets.
    pub weight: u32,
    /// Whether the target drains: it gets no new flows.
    pub leaving: bool,
}
