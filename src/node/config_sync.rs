//! Judges offered revisions, and relays the one in force.

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

/// Time after which a peer that was asked for a revision is given up, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 500;

/// Content in one answer, in bytes.
const MAX_FILES_BYTES: usize = 1024 * 1024;

/// Revision that is being fetched from a peer.
pub(super) struct RevisionFetch {
    peer: Arc<str>,
    head: Option<(Head, Manifest)>,
    since: Time,
}

impl Node {
    /// Judges a revision, and adopts it if it may be.
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

    /// Asks a peer that has a later revision for it.
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

    pub(super) fn handle_head(&mut self, sender: &Arc<str>, head: Head, manifest: Manifest) {
        let asked = self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *sender);
        if !asked || !self.may_adopt(&head) {
            return;
        }
        if manifest.digest() != head.digest {
            self.notice(Notice::InvalidRevision(format!("{sender} sent a manifest that is not the head's")));
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

    pub(super) fn handle_files(&mut self, sender: &Arc<str>, files: Vec<Vec<u8>>) {
        let asked = self.fetch.as_ref().is_some_and(|fetch| fetch.peer == *sender);
        if !asked || files.is_empty() {
            return;
        }
        self.content.extend(files.into_iter().map(|bytes| (Digest::of(&bytes), bytes)));
        self.complete_fetch();
    }

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
