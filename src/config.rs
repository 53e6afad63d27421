/*!
The operators' configuration: a folder of small documents that is merged,
checked, and accepted as one revision.

A folder holds files named `*.jsonc`. They merge in byte order of their names:
maps merge by key, `null` removes what earlier files said, and every leaf keeps
the file and line that set it. One file is one proposal, so nobody has to
rewrite the file of anybody else.

The steps are kept apart, because the command-line tool needs each of them
alone:

1. [`document`] reads one file into a [`document::Tree`], with positions.
2. [`merge`] folds the trees of a folder into one tree with provenance.
3. [`check`] turns the merged tree into a typed [`Config`], or a list of all
   [`Diagnostic`]s.
4. [`revision`] says which accepted configuration goes before which.

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

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest accepted document, in bytes.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// Most documents in one folder.
pub const MAX_FILES: usize = 4096;

/// Place in a document, counted from one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Name of the document.
    pub file: Arc<str>,
    /// Line, from one.
    pub line: u32,
    /// Column in characters, from one.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing wrong with a folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Where it is wrong; absent if the folder as a whole is at fault.
    pub position: Option<Position>,
    /// What is wrong.
    pub message: String,
}

impl Diagnostic {
    /// Fault at a place.
    pub fn at(position: &Position, message: impl Into<String>) -> Diagnostic {
        Diagnostic { position: Some(position.clone()), message: message.into() }
    }

    /// Fault of the folder as a whole.
    pub fn folder(message: impl Into<String>) -> Diagnostic {
        Diagnostic { position: None, message: message.into() }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.position {
            Some(position) => write!(f, "{position}: {}", self.message),
            None => write!(f, "folder: {}", self.message),
        }
    }
}

/// Every fault of a folder, in order of place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// Sorts the faults and drops repeats.
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

/// One document as read, before anything is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// Name without its folder.
    pub name: Arc<str>,
    /// Content as read.
    pub bytes: Vec<u8>,
}

impl File {
    /// Document with a name and content.
    pub fn new(name: impl Into<Arc<str>>, bytes: Vec<u8>) -> File {
        File { name: name.into(), bytes }
    }

    /// Reports whether the name is that of a document.
    pub fn is_document_name(name: &str) -> bool {
        name.ends_with(".jsonc") && name.len() > ".jsonc".len() && !name.starts_with('.')
    }
}

/// Documents of one folder, in byte order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Folder {
    files: Vec<File>,
}

impl Folder {
    /// Folder of some documents.
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
    /// All faults that single documents have.
    pub fn merge(&self) -> Result<merge::Merged, Diagnostics> {
        merge::merge(&self.files)
    }

    /// Merges and checks the documents.
    ///
    /// # Errors
    ///
    /// All faults, of single documents and of the merged whole.
    pub fn check(&self) -> Result<Config, Diagnostics> {
        check::check(&self.merge()?)
    }
}

/// How urgent the work of a service is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Served first.
    High,
    /// Served after high.
    #[default]
    Normal,
    /// Served last, with a small floor.
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
    /// Canonical JSON: keys in order, defaults filled in.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a configuration has only string keys")
    }
}

/// One service that callers reach by its address.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Service {
    /// Address that callers use.
    pub address: SocketAddr,
    /// Urgency of all its requests.
    pub urgency: Urgency,
    /// Whether the requests of one flow may go to different targets.
    pub movable: bool,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Longest wait for a slot, in milliseconds.
    pub queue_ms: u64,
    /// Idle time after which a flow is forgotten, in seconds.
    pub idle_s: u64,
    /// Longest time a leaving target keeps its opaque flows, in seconds.
    pub drain_limit_s: u64,
    /// Time over which a new target is given its full share, in seconds.
    pub warm_up_s: u64,
    /// Targets by name.
    pub targets: BTreeMap<Arc<str>, Target>,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Target {
    /// Address that instances use.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Share of new flows, relative to the other targets.
    pub weight: u32,
    /// Whether it is being drained: no new flows.
    pub leaving: bool,
}
