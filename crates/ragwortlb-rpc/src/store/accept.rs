/*!
Accepts a folder: one compare-and-swap of the head on its parent.

The documents and the manifest are written first, under keys made of their
digests, so writing them again changes nothing. The head is then swapped. If the
answer to that is lost, the head is read back: it holds the change's identity,
or one of its ancestors does, or the change was not made.
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
    Store, Swap,
    fetch::{self, StoredHead},
};

/// Attempts to reach the store.
const ATTEMPTS: u32 = 5;

/// Pause between attempts.
const PAUSE: Duration = Duration::from_millis(300);

/// What became of an accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// It is the head now.
    New(Head),
    /// The head had the same documents already.
    Unchanged(Head),
    /// Another accept came first.
    Superseded(Head),
}

/// Accepts a checked folder on top of a head.
///
/// # Errors
///
/// The store did not answer; it is then unknown whether the accept was made, and
/// it can be repeated.
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
            Err(error) if attempt >= ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
        attempt += 1;
    }
}

async fn swap_head(store: &dyn Store, version: u64, head: Head) -> Result<Accepted, Error> {
    let json = head.to_json();
    let mut attempt = 1;
    loop {
        match store.compare_and_swap(HEAD_KEY, version, &json).await {
            Ok(Swap::Written(_)) => return Ok(Accepted::New(head)),
            Ok(Swap::Conflict) => return read_back(store, head).await,
            Err(error) if attempt >= ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
        attempt += 1;
    }
}

/// Resolves a conflict, which an earlier attempt of the same accept may have made.
async fn read_back(store: &dyn Store, head: Head) -> Result<Accepted, Error> {
    let mut attempt = 1;
    let stored = loop {
        match fetch::head(store).await {
            Ok(Some(stored)) => break stored.head,
            Ok(None) => return Err(Error::new("accept a folder", "the store lost its head")),
            Err(error) if attempt >= ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(PAUSE).await,
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
