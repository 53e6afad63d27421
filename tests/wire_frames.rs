//! Frames from peers either decode or give an error, and never cause a panic, neither
//! in the decoder nor in the node that handles the decoded messages.

use proptest::prelude::*;
use ragwortlb::{
    node::{Event, Node, Settings},
    route::filter::{Filter, SlotSet},
    time::Time,
    wire::{Frame, Message, PinnedFilter, ServiceId},
};

fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(1);
    ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes(mut bytes in prop::collection::vec(any::<u8>(), 0..200), tag in any::<bool>()) {
        if tag && !bytes.is_empty() {
            bytes[0] = 1;
        }
        if let Ok(frame) = Frame::from_bytes(&bytes) {
            let mut node = Node::new(Settings::default());
            node.handle(Event::Frame(frame), Time(1));
        }
    }

    #[test]
    fn flipped_bytes(flows in prop::collection::vec(any::<u64>(), 1..50), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let pinned = PinnedFilter {
            service: ServiceId::of("booking"),
            target: "m1@10.2.0.1:9000".into(),
            slots: SlotSet::of(&flows),
            filter: Filter::of(&flows),
        };
        let frame = Frame { sender: "i1".into(), messages: vec![Message::Handover(vec![pinned])] };
        let mut bytes = frame.to_bytes();
        prop_assert_eq!(Frame::from_bytes(&bytes).unwrap(), frame);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        if let Ok(frame) = Frame::from_bytes(&bytes) {
            let mut node = Node::new(Settings::default());
            node.handle(Event::Frame(frame), Time(1));
        }
    }

    #[test]
    fn merged_filters(a in prop::collection::vec(any::<u64>(), 0..300), b in prop::collection::vec(any::<u64>(), 0..3)) {
        let mut merged = Filter::of(&b);
        merged.merge(&Filter::of(&a));
        for flow in a.iter().chain(&b) {
            prop_assert!(merged.contains(*flow));
        }
    }
}
