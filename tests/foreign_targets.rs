//! Filters from peers never send a packet to the target of another service.

use ragwortlb::{
    config::{
        File, Folder,
        revision::{Bundle, Head, Manifest},
    },
    node::{Action, Event, Node, Packet, Settings, Ticket},
    route::{
        filter::{Filter, SlotSet},
        flow,
    },
    time::Time,
    wire::{Frame, Message, PinnedFilter, ServiceId, Snapshot},
};

const DOCUMENT: &str = r#"{"title": "t", "author": "a", "reason": "r", "services": {
    "booking": {"address": "10.1.0.1:7000", "targets": {
        "m1": {"address": "10.2.0.1:9000", "zone": "pa", "slots": 3}}},
    "documents": {"address": "10.1.0.2:7000", "targets": {
        "d1": {"address": "10.2.1.1:9000", "zone": "pa", "slots": 3}}}}}"#;

/// Starts a joining node with a peer's filter that pins a booking flow to a
/// target, and returns its actions for a packet of that flow.
fn joined(target: &str) -> Vec<Action> {
    let folder = Folder::new(vec![File::new("a.jsonc", DOCUMENT.as_bytes().to_vec())]);
    let head = Head::after(None, Manifest::of(&folder).digest(), "c1");
    let mut node = Node::new(Settings::default());
    node.handle(Event::Accepted(Bundle::new(head, folder).unwrap()), Time(0));
    let flows = [flow::key_hash(b"caller")];
    let pinned = PinnedFilter {
        service: ServiceId::of("booking"),
        target: target.into(),
        slots: SlotSet::of(&flows),
        filter: Filter::of(&flows),
    };
    let version = node.version();
    let snapshot = Snapshot {
        version,
        settled: true,
        ended: version,
        bases: Vec::new(),
        pinned: vec![pinned],
        roster: Vec::new(),
    };
    let frame = Frame { sender: "peer".into(), messages: vec![Message::Snapshot(snapshot)] };
    node.handle(Event::Frame(frame), Time(10));
    assert!(node.is_serving());
    let address = "10.1.0.1:7000".parse().unwrap();
    let packet = Packet { ticket: Ticket(1), address, flow: flows[0], first: false, last: false };
    node.handle(Event::Packet(packet), Time(20))
}

fn forwarded(actions: &[Action]) -> Vec<String> {
    let target = |action: &Action| match action {
        Action::Forward { target, .. } => Some(target.to_string()),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

#[test]
fn former_target() {
    assert_eq!(forwarded(&joined("m0@10.2.0.9:9000")), ["10.2.0.9:9000"]);
}

#[test]
fn foreign_target() {
    assert_eq!(forwarded(&joined("m0@10.2.1.1:9000")), ["10.2.0.1:9000"]);
}

#[test]
fn target_without_address() {
    assert_eq!(forwarded(&joined("m0")), ["10.2.0.1:9000"]);
}
