//! Reads a configuration revision with its documents.

use ragwortlb::{
    Error,
    config::revision::{Bundle, Digest, HEAD_KEY, Head, Manifest},
    wire,
};

use super::Store;

/// Configuration head with the version of its key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Head.
    pub head: Head,
    /// Version of the key.
    pub version: u64,
}

/// Reads the configuration head; `None` if no revision was accepted.
///
/// # Errors
///
/// The store did not answer, or the key's value is not a valid head.
pub async fn head(store: &dyn Store) -> Result<Option<StoredHead>, Error> {
    let Some(entry) = store.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    Ok(Some(StoredHead { head: Head::from_json(&entry.value)?, version: entry.version }))
}

/// Reads the documents of a head. `known` returns content that is available locally.
///
/// # Errors
///
/// The store did not answer, or a document is missing or does not match its digest.
pub async fn bundle(
    store: &dyn Store,
    head: Head,
    known: impl Fn(&Digest) -> Option<Vec<u8>>,
) -> Result<Bundle, Error> {
    let text = content(store, &head.digest).await?;
    let manifest: Manifest =
        serde_json::from_slice(&text).map_err(|error| Error::new("read a manifest", error.to_string()))?;
    let mut files = Vec::new();
    for document in &manifest.files {
        let bytes = match known(&document.digest) {
            Some(bytes) => bytes,
            None => content(store, &document.digest).await?,
        };
        files.push((document.digest.clone(), bytes));
    }
    wire::assemble(head, &manifest, &files)
}

async fn content(store: &dyn Store, digest: &Digest) -> Result<Vec<u8>, Error> {
    const STEP: &str = "read a document";
    let entry = store.get(&digest.key()).await?;
    let value = entry.ok_or_else(|| Error::new(STEP, format!("the store has no {digest}")))?.value;
    let bytes = value.into_bytes();
    if Digest::of(&bytes) != *digest {
        return Err(Error::new(STEP, format!("the content in the store does not match its digest {digest}")));
    }
    Ok(bytes)
}
