/*!
Accepted revisions: their form in the store and on the wire, and their order.

The platform's store holds one [`Head`] under [`HEAD_KEY`], and its [`Manifest`]
and documents under keys made of their digests. Accepting a configuration is one
compare-and-swap of the head on its parent. An instance adopts a head only if
[`Lineage::compare`] finds that it has a greater revision and descends from the
adopted one. If the store is restored from an old copy and then written again,
its head does not descend from the adopted one: it is a fork and is refused.
*/

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::{File, Folder};

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config-head";

/// Most ancestors that a head lists, newest first.
pub const MAX_ANCESTORS: usize = 64;

/// SHA-256 hash of some content, as hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String")]
pub struct Digest(Arc<str>);

impl Digest {
    /// Digest of the given bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let hash = Sha256::digest(bytes);
        let digits: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        Digest(digits.into())
    }

    /// Hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Key of the content in the store.
    pub fn key(&self) -> String {
        format!("config-{}", self.0)
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Digest, String> {
        let digits = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if text.len() != 64 || !text.chars().all(digits) {
            return Err(format!("{text:?} is not a SHA-256 digest in lowercase hexadecimal"));
        }
        Ok(Digest(text.into()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// List of the documents of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Manifest {
    /// Documents in merge order.
    pub files: Vec<Document>,
}

/// Entry for one document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Document {
    /// Name of the document.
    pub name: Arc<str>,
    /// Digest of its content.
    pub digest: Digest,
}

impl Manifest {
    /// Manifest of a folder.
    pub fn of(folder: &Folder) -> Manifest {
        let document = |file: &File| Document { name: file.name.clone(), digest: Digest::of(&file.bytes) };
        Manifest { files: folder.files().iter().map(document).collect() }
    }

    /// Canonical JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a manifest has only string keys")
    }

    /// Digest of the canonical JSON.
    pub fn digest(&self) -> Digest {
        Digest::of(self.to_json().as_bytes())
    }
}

/// Accepted revision, with its ancestors.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Head {
    /// Number of the revision, counted from one.
    pub revision: u64,
    /// Digest of its manifest.
    pub digest: Digest,
    /// Identity of the change that wrote this revision.
    pub change: Arc<str>,
    /// Identities of the preceding changes, newest first.
    pub ancestors: Vec<Arc<str>>,
}

impl Head {
    /// Head that follows `parent`, or the first one without a parent.
    pub fn after(parent: Option<&Head>, digest: Digest, change: impl Into<Arc<str>>) -> Head {
        let mut ancestors = Vec::new();
        if let Some(parent) = parent {
            ancestors.push(parent.change.clone());
            ancestors.extend(parent.ancestors.iter().take(MAX_ANCESTORS - 1).cloned());
        }
        let revision = parent.map_or(1, |parent| parent.revision + 1);
        Head { revision, digest, change: change.into(), ancestors }
    }

    /// Parses a head.
    ///
    /// # Errors
    ///
    /// Text that is not a valid head, or revision 0.
    pub fn from_json(text: &str) -> Result<Head, crate::Error> {
        let head: Head = serde_json::from_str(text)
            .map_err(|error| crate::Error::new("read the configuration head", error.to_string()))?;
        if head.revision == 0 {
            return Err(crate::Error::new(
                "read the configuration head",
                "its revision is 0, but revisions start at 1",
            ));
        }
        Ok(head)
    }

    /// JSON for the store.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a head has only string keys")
    }
}

/// How an offered head relates to the adopted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadOrder {
    /// It descends from the adopted head.
    Adopt,
    /// It is the adopted head.
    Same,
    /// It is older than the adopted head.
    Older,
    /// It does not descend from the adopted head.
    Fork,
}

/// Adopted head, against which offered heads are compared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lineage {
    head: Option<Head>,
}

impl Lineage {
    /// Adopted head.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Adopted revision, or zero.
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }

    /// Compares an offered head with the adopted one. If more revisions were skipped
    /// than a head lists ancestors, descent cannot be checked and is assumed.
    pub fn compare(&self, offered: &Head) -> HeadOrder {
        let Some(head) = &self.head else {
            return HeadOrder::Adopt;
        };
        if offered.change == head.change && offered.revision == head.revision {
            return HeadOrder::Same;
        }
        if offered.revision < head.revision {
            return HeadOrder::Older;
        }
        let distance = offered.revision - head.revision;
        if distance == 0 {
            return HeadOrder::Fork;
        }
        let at = usize::try_from(distance - 1).unwrap_or(usize::MAX);
        match offered.ancestors.get(at) {
            Some(change) if *change == head.change => HeadOrder::Adopt,
            Some(_) => HeadOrder::Fork,
            None if offered.ancestors.len() >= MAX_ANCESTORS => HeadOrder::Adopt,
            None => HeadOrder::Fork,
        }
    }

    /// Adopts a head if it descends from the adopted one. Returns how it relates.
    pub fn adopt(&mut self, offered: &Head) -> HeadOrder {
        let order = self.compare(offered);
        if order == HeadOrder::Adopt {
            self.head = Some(offered.clone());
        }
        order
    }
}

/// Revision with all its documents, as instances send it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// Head of the revision.
    pub head: Head,
    /// All documents of the revision.
    pub folder: Folder,
}

impl Bundle {
    /// Combines a head with its documents.
    ///
    /// # Errors
    ///
    /// Documents whose manifest does not have the digest in the head.
    pub fn new(head: Head, folder: Folder) -> Result<Bundle, crate::Error> {
        let digest = Manifest::of(&folder).digest();
        if digest != head.digest {
            let what = format!("the documents have digest {digest}, but the head names {}", head.digest);
            return Err(crate::Error::new("assemble a revision", what));
        }
        Ok(Bundle { head, folder })
    }
}
