//! Which offered revisions are adopted, from the store or from a peer.

mod support;

use std::collections::BTreeSet;

use ragwortlb::config::{
    Folder,
    revision::{Bundle, Head, HeadOrder, Lineage, Manifest},
};
use support::{Net, folder};

fn head(parent: Option<&Head>, change: &str) -> Head {
    Head::after(parent, Manifest::of(&Folder::default()).digest(), change)
}

#[test]
fn revision_order() {
    let one = head(None, "a");
    let two = head(Some(&one), "b");
    let three = head(Some(&two), "c");
    let fork = head(Some(&one), "x");
    let after_fork = head(Some(&fork), "y");
    let mut lineage = Lineage::default();
    assert_eq!(lineage.adopt(&two), HeadOrder::Adopt);
    assert_eq!(lineage.adopt(&two), HeadOrder::Same);
    assert_eq!(lineage.adopt(&one), HeadOrder::Older);
    assert_eq!(lineage.adopt(&fork), HeadOrder::Fork);
    assert_eq!(lineage.adopt(&after_fork), HeadOrder::Fork);
    assert_eq!(lineage.adopt(&three), HeadOrder::Adopt);
    assert_eq!(lineage.revision(), 3);
}

#[test]
fn digest_mismatch() {
    let targets: BTreeSet<usize> = (0..2).collect();
    let folder = folder(&targets, &BTreeSet::new());
    assert!(Bundle::new(head(None, "a"), folder).is_err());
}

#[test]
fn gossip_without_store() {
    let mut net = Net::new(5);
    let all: BTreeSet<usize> = (0..4).collect();
    net.start_all(3, 3, &folder(&all, &BTreeSet::new()));
    net.accept_in(&folder(&all, &BTreeSet::from([1])), &[0]);
    net.advance(5_000);
    for index in net.live() {
        assert_eq!(net.instances[index].node.status().effective_revision, 2);
    }
}

#[test]
fn older_head_refused() {
    let mut net = Net::new(6);
    let all: BTreeSet<usize> = (0..4).collect();
    net.start_all(3, 1, &folder(&all, &BTreeSet::new()));
    let old = net.bundle();
    net.accept(&folder(&all, &BTreeSet::from([1])));
    net.advance(5_000);
    net.offer(0, old);
    net.advance(1_000);
    let status = net.instances[0].node.status();
    assert_eq!((status.revision, status.counts.refused_revisions), (2, 1));
}
