/*!
Adopts configuration revisions and copies them between instances.

A revision comes from the store or from a peer. It is adopted if it descends from
the adopted one and its documents are valid. An instance that sees a later revision
in a heartbeat fetches the head and the documents it lacks from that peer.
*/

use std::{collections::HashMap, sync::Arc};

use super::{Node, action::Notice};
use crate::{
    config::{
        Config,
        revision::{Bundle, Digest, Head, HeadOrder, Manifest},
    },
    time::Time,
    wire::{self, Message},
};

/// Time without progress after which the fetch of a revision may start again, from any
/// peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 500;

/// Maximum content of one [`Message::Files`], in bytes; a longer document is sent alone.
const MAX_FILES_BYTES: usize = 1024 * 1024;

/// Revision that is being fetched from a peer.
pub(super) struct RevisionFetch {
    peer: Arc<str>,
    /// Head and manifest, once the peer has sent them.
    head: Option<(Head, Manifest)>,
    /// Time of the last request to the peer.
    since: Time,
}

impl Node {
    /// Adopts an offered revision, or refuses it if its order or its content is invalid.
    pub(super) fn offer_revision(&mut self, bundle: Bundle) {
        if !self.may_adopt(&bundle.head) {
            return;
        }
        let config = match bundle.folder.check() {
            Ok(config) => config,
            Err(diagnostics) => {
                self.notice(Notice::InvalidRevision(diagnostics.to_string()));
                return;
            }
        };
        self.adopt(bundle, config);
    }

    /// Reports whether a head follows the adopted one; a refused head is logged and counted.
    fn may_adopt(&mut self, head: &Head) -> bool {
        match self.lineage.compare(head) {
            HeadOrder::Adopt => true,
            HeadOrder::Same => false,
            HeadOrder::Older => {
                self.counts.refused_revisions += 1;
                self.notice(Notice::OlderRevision(head.revision, self.lineage.revision()));
                false
            }
            HeadOrder::Fork => {
                self.counts.refused_revisions += 1;
                self.notice(Notice::ForkedRevision(head.revision));
                false
            }
        }
    }

    /// Adopts a valid revision and announces the inputs that follow from it.
    fn adopt(&mut self, bundle: Bundle, config: Config) {
        self.lineage.adopt(&bundle.head);
        self.fetch = None;
        self.content =
            bundle.folder.files().iter().map(|f| (Digest::of(&f.bytes), f.bytes.clone())).collect();
        let head = bundle.head.clone();
        self.bundle = Some(bundle);
        self.notice(Notice::RevisionAdopted(head.revision));
        let mut inputs = self.announced.clone();
        inputs.set_config(head.revision, head.change, Arc::new(config));
        self.announce_inputs(inputs);
    }

    /// Starts to fetch a revision from a peer if it is later than the adopted one.
    pub(super) fn fetch_from(&mut self, peer: &Arc<str>, revision: u64) {
        if revision <= self.lineage.revision() {
            return;
        }
        let now = self.now;
        if self.fetch.as_ref().is_some_and(|fetch| now.since(fetch.since) < FETCH_TIMEOUT_MS) {
            return;
        }
        self.fetch = Some(RevisionFetch { peer: peer.clone(), head: None, since: now });
        self.send(peer, Message::GetHead);
    }

    pub(super) fn send_head(&mut self, peer: &Arc<str>) {
        if let Some(bundle) = &self.bundle {
            let message = Message::from(bundle);
            self.send(peer, message);
        }
    }

    /// Takes the head from the peer that was asked, and requests the missing documents.
    pub(super) fn handle_head(&mut self, sender: &Arc<str>, head: Head, manifest: Manifest) {
        let is_expected = self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *sender);
        if !is_expected || !self.may_adopt(&head) {
            return;
        }
        if manifest.digest() != head.digest {
            self.notice(Notice::InvalidRevision(format!(
                "the manifest from {sender} does not match the digest in the head"
            )));
            return;
        }
        let needed = manifest.files.iter().map(|document| &document.digest);
        let missing: Vec<Digest> =
            needed.filter(|digest| !self.content.contains_key(digest)).cloned().collect();
        let now = self.now;
        self.fetch = Some(RevisionFetch { peer: sender.clone(), head: Some((head, manifest)), since: now });
        if missing.is_empty() {
            self.complete_fetch();
        } else {
            self.send(sender, Message::GetFiles(missing));
        }
    }

    /// Sends documents up to the size limit; the peer requests the rest again.
    pub(super) fn send_files(&mut self, peer: &Arc<str>, digests: &[Digest]) {
        let mut files = Vec::new();
        let mut total = 0;
        for content in digests.iter().filter_map(|digest| self.content.get(digest)) {
            total += content.len();
            if total > MAX_FILES_BYTES && !files.is_empty() {
                break;
            }
            files.push(content.clone());
        }
        self.send(peer, Message::Files(files));
    }

    /// Adds documents from the peer that was asked.
    pub(super) fn handle_files(&mut self, sender: &Arc<str>, files: Vec<Vec<u8>>) {
        let is_expected = self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *sender);
        if !is_expected || files.is_empty() {
            return;
        }
        self.content.extend(files.into_iter().map(|bytes| (Digest::of(&bytes), bytes)));
        self.complete_fetch();
    }

    /// Offers the fetched revision if all documents are here; otherwise requests the rest.
    fn complete_fetch(&mut self) {
        let Some((head, manifest)) = self.fetch.as_ref().and_then(|fetch| fetch.head.clone()) else {
            return;
        };
        let needed = manifest.files.iter().map(|document| document.digest.clone());
        let missing: Vec<Digest> = needed.filter(|digest| !self.content.contains_key(digest)).collect();
        if !missing.is_empty() {
            self.request_remaining(missing);
            return;
        }
        let content: HashMap<Digest, Vec<u8>> = std::mem::take(&mut self.content);
        let content: Vec<_> = content.into_iter().collect();
        let bundle = wire::assemble(head, &manifest, &content);
        self.content = content.into_iter().collect();
        match bundle {
            Ok(bundle) => self.offer_revision(bundle),
            Err(error) => self.notice(Notice::InvalidRevision(error.to_string())),
        }
    }

    fn request_remaining(&mut self, missing: Vec<Digest>) {
        let now = self.now;
        if let Some(fetch) = &mut self.fetch {
            fetch.since = now;
            let peer = fetch.peer.clone();
            self.send(&peer, Message::GetFiles(missing));
        }
    }
}
