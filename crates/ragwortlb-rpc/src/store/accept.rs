/*!
Accepts a configuration folder with one compare-and-swap of the head.

The documents and the manifest are written first. Their keys derive from their
digests, so writing them again is idempotent. The head is then swapped against its
parent's version. If the answer is lost, a retry reports a conflict; the head is
then read back. The accept succeeded if the head or one of its ancestors has the
identity of the change; otherwise another accept came first.
*/

use std::time::Duration;

use ragwortlb::{
    Error,
    config::{
        Folder,
        revision::{Digest, HEAD_KEY, Head, Manifest},
    },
};

use super::{
    Store, SwapOutcome,
    fetch::{self, StoredHead},
};

/// Maximum number of attempts for each store call.
const MAX_ATTEMPTS: u32 = 5;

/// Pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Outcome of an accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The folder was written as this head.
    New(Head),
    /// The current head already has the same documents.
    Unchanged(Head),
    /// A concurrent accept changed the head first; this folder was not accepted.
    Superseded(Head),
}

/// Accepts a validated folder as the successor of `parent`.
///
/// # Errors
///
/// The store did not answer, or a document is not UTF-8. If the store did not answer,
/// the accept may have succeeded; repeat it with the same `change`.
pub async fn accept(
    store: &dyn Store,
    folder: &Folder,
    parent: Option<&StoredHead>,
    change: &str,
) -> Result<Accepted, Error> {
    let manifest = Manifest::of(folder);
    let digest = manifest.digest();
    if let Some(stored) = parent.filter(|stored| stored.head.digest == digest) {
        return Ok(Accepted::Unchanged(stored.head.clone()));
    }
    for file in folder.files() {
        let text = std::str::from_utf8(&file.bytes)
            .map_err(|error| Error::new("accept a folder", format!("{}: {error}", file.name)))?;
        write_content(store, &Digest::of(&file.bytes), text).await?;
    }
    write_content(store, &digest, &manifest.to_json()).await?;
    let head = Head::after(parent.map(|stored| &stored.head), digest, change);
    swap_head(store, parent.map_or(0, |stored| stored.version), head).await
}

async fn write_content(store: &dyn Store, digest: &Digest, text: &str) -> Result<(), Error> {
    let mut attempt = 1;
    loop {
        match store.compare_and_swap(&digest.key(), 0, text).await {
            Ok(_) => return Ok(()),
            Err(error) if attempt >= MAX_ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
        attempt += 1;
    }
}

async fn swap_head(store: &dyn Store, version: u64, head: Head) -> Result<Accepted, Error> {
    let json = head.to_json();
    let mut attempt = 1;
    loop {
        match store.compare_and_swap(HEAD_KEY, version, &json).await {
            Ok(SwapOutcome::Written(_)) => return Ok(Accepted::New(head)),
            Ok(SwapOutcome::Conflict) => return read_back(store, head).await,
            Err(error) if attempt >= MAX_ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
        attempt += 1;
    }
}

/// Resolves a conflict, which an earlier attempt of the same accept may have caused.
async fn read_back(store: &dyn Store, head: Head) -> Result<Accepted, Error> {
    let mut attempt = 1;
    let stored = loop {
        match fetch::head(store).await {
            Ok(Some(stored)) => break stored.head,
            Ok(None) => return Err(Error::new("accept a folder", "conflict although the store has no head")),
            Err(error) if attempt >= MAX_ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
        attempt += 1;
    };
    let made = stored.change == head.change || stored.ancestors.contains(&head.change);
    if made {
        return Ok(Accepted::New(head));
    }
    if stored.digest == head.digest {
        return Ok(Accepted::Unchanged(stored));
    }
    Ok(Accepted::Superseded(stored))
}
