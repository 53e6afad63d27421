//! Embeds one node: passes in a configuration, time and the first packet of a flow, and
//! prints the target to which the packet is forwarded.

use ragwortlb::{
    config::{
        File, Folder,
        revision::{Bundle, Head, Manifest},
    },
    node::{Action, Event, Node, Packet, Settings, Ticket},
    route::flow,
    time::Time,
};

/// Time between ticks, in milliseconds.
const TICK_MS: u64 = 10;

fn folder() -> Folder {
    let document = br#"{
        "title": "first", "author": "ada", "reason": "start",
        "services": {"booking": {"address": "10.1.0.1:7000", "targets": {
            "m1": {"address": "10.2.0.1:9000", "zone": "pa", "slots": 3},
            "m2": {"address": "10.2.0.2:9000", "zone": "pa", "slots": 3}}}}
    }"#;
    Folder::new(vec![File::new("10-booking.jsonc", document.to_vec())])
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings { name: "pa-1".into(), zone: "pa".into(), ..Settings::default() };
    let mut node = Node::new(settings);
    let folder = folder();
    let head = Head::after(None, Manifest::of(&folder).digest(), "change-1");
    node.handle(Event::Accepted(Bundle::new(head, folder)?), Time(0));

    let mut now = Time(0);
    while !node.is_serving() {
        now = now + TICK_MS;
        node.handle(Event::Tick, now);
    }
    println!("serving after {} ms", now.0);

    let packet = Packet {
        ticket: Ticket(1),
        address: "10.1.0.1:7000".parse()?,
        flow: flow::key_hash(b"caller 1"),
        first: true,
        last: false,
    };
    for action in node.handle(Event::Packet(packet), now) {
        if let Action::Forward { target, .. } = action {
            println!("the flow goes to {target}");
        }
    }
    Ok(())
}
