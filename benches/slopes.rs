//! Measures how costs grow with load: control bytes and CPU time with instances, memory
//! with flows, filter size with pinned flows, configuration with services. The results
//! are the input of docs/CAPACITY.md.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

use ragwortlb::{
    config::{
        File, Folder,
        revision::{Bundle, Head, Manifest},
    },
    member::{Heartbeat, Info, State},
    node::{Event, Node, Settings},
    route::{
        change::Progress,
        filter::Filter,
        flow::{self, FlowTable},
    },
    time::Time,
    wire::{Flow, Message, RequestId, ServiceId},
};
use support::Net;

fn main() {
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    control();
    flows();
    filters();
    configuration();
    messages();
}

fn address(index: usize) -> SocketAddr {
    format!("10.9.{}.{}:7400", index / 250, index % 250 + 1).parse().expect("an address")
}

fn info(index: usize, heartbeat_seq: u64) -> Info {
    Info {
        name: format!("instance-{index}").into(),
        address: address(index),
        zone: format!("z{}", index % 5).into(),
        incarnation: 1_790_000_000_000,
        heartbeat_seq,
        state: State::Serving,
        revision: 1,
        progress: Progress::default(),
    }
}

/// Folder with services of 12 or 13 targets.
fn folder(services: usize, targets: usize) -> Folder {
    let per = targets / services.max(1);
    let service = |s: usize| {
        let target = |t: usize| {
            let number = s * per + t;
            format!(
                "\"t{t}\": {{\"address\": \"10.{}.{}.{}:9000\", \"zone\": \"z{}\", \"slots\": 3}}",
                20 + number / 60_000,
                number / 250 % 240,
                number % 250 + 1,
                t % 5
            )
        };
        let targets: Vec<String> = (0..per).map(target).collect();
        let address = format!("10.1.{}.{}:7000", s / 250, s % 250 + 1);
        format!("\"s{s}\": {{\"address\": \"{address}\", \"targets\": {{{}}}}}", targets.join(", "))
    };
    let file = |s: usize| {
        let text = format!(
            "{{\"title\": \"t\", \"author\": \"a\", \"reason\": \"r\", \"services\": {{{}}}}}",
            service(s)
        );
        File::new(format!("{s:04}.jsonc"), text.into_bytes())
    };
    Folder::new((0..services).map(file).collect())
}

fn bundle(folder: &Folder) -> Bundle {
    let head = Head::after(None, Manifest::of(folder).digest(), "c1");
    Bundle::new(head, folder.clone()).expect("the head has the digest of the folder")
}

/// Fleets without flows: idle, and during one change of a target.
fn control() {
    const IDLE_MS: u64 = 20_000;
    const CHANGE_MS: u64 = 10_000;
    println!("instances   idle bytes/s  change bytes   CPU idle, % of a core  CPU of a change, ms");
    for count in [9, 24, 48, 96] {
        let all: BTreeSet<usize> = (0..12).collect();
        let mut net = Net::new(1);
        net.start_all(count.min(3), count / count.min(3), &support::folder(&all, &BTreeSet::new()));
        net.advance(10_000);
        let (idle, idle_cpu) = per_instance(&mut net, IDLE_MS, count);
        net.accept(&support::folder(&all, &BTreeSet::from([1])));
        let (change, change_cpu) = per_instance(&mut net, CHANGE_MS, count);
        let idle_s = IDLE_MS as f64 / 1_000.0;
        println!(
            "{count:9}  {:13.0}  {:12.0}  {:22.3}  {:19.2}",
            idle / idle_s,
            change - idle / idle_s * CHANGE_MS as f64 / 1_000.0,
            idle_cpu / idle_s / 10.0,
            change_cpu - idle_cpu / idle_s * CHANGE_MS as f64 / 1_000.0,
        );
    }
}

/// Bytes sent and milliseconds of CPU time per instance while `millis` of simulated time
/// pass.
fn per_instance(net: &mut Net, millis: u64, count: usize) -> (f64, f64) {
    let sent = |net: &Net| net.instances.iter().map(|instance| instance.sent_bytes).sum::<u64>();
    let before = sent(net);
    let start = Instant::now();
    net.advance(millis);
    let took = start.elapsed().as_secs_f64() * 1_000.0;
    ((sent(net) - before) as f64 / count as f64, took / count as f64)
}

fn resident_bytes() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm is readable on Linux");
    let pages = text.split_whitespace().nth(1).expect("resident pages are the second number");
    pages.parse::<f64>().expect("resident pages are a number") * PAGE
}

fn flows() {
    println!("\n   tracked  resident bytes a flow");
    for count in [100_000u64, 1_000_000, 4_000_000] {
        let before = resident_bytes();
        let mut flows = FlowTable::new(10_000_000, 3_600);
        for number in 0..count {
            flows.insert(flow::key_hash(&number.to_le_bytes()), 1, Time(0));
        }
        println!("{count:10}  {:8.1}", (resident_bytes() - before) / count as f64);
        drop(flows);
    }
}

fn filters() {
    println!("\n   pinned  filter bytes a flow  false positives in 10,000");
    for count in [100u64, 1_300, 21_000, 300_000] {
        let keys: Vec<u64> = (0..count).map(|number| flow::key_hash(&number.to_le_bytes())).collect();
        let filter = Filter::of(&keys);
        let others = (count..count + 100_000).map(|number| flow::key_hash(&number.to_le_bytes()));
        let wrong = others.filter(|key| filter.contains(*key)).count();
        println!("{count:9}  {:12.2}  {:12.1}", filter.bytes() as f64 / count as f64, wrong as f64 / 10.0);
    }
}

fn configuration() {
    println!("\nservices targets  folder bytes  manifest bytes  check+adopt ms");
    for (services, targets) in [(2, 18), (43, 540), (430, 5_400)] {
        let folder = folder(services, targets);
        let bytes: usize = folder.files().iter().map(|file| file.bytes.len()).sum();
        let manifest = Manifest::of(&folder).to_json().len();
        let mut node = Node::new(Settings::default());
        let bundle = bundle(&folder);
        let start = Instant::now();
        node.handle(Event::Accepted(bundle), Time(0));
        let took = start.elapsed().as_secs_f64() * 1_000.0;
        println!("{services:8} {targets:7}  {bytes:12}  {manifest:14}  {took:10.1}");
    }
}

fn messages() {
    println!("\nmessage                bytes");
    let flow = Flow { service: ServiceId::of("booking"), id: u64::MAX };
    let target = ragwortlb::route::router::TargetId::of("m1");
    let id = RequestId { flow, number: 1_000 };
    let heartbeat = Heartbeat { info: info(579, 10_000), gossip: Vec::new() };
    for message in [
        Message::Heartbeat(heartbeat),
        Message::Register(100_000, flow, target),
        Message::RegisterReply(100_000, Some(target)),
        Message::LookupFlow(100_000, flow),
        Message::LookupReply(100_000, Some(target), true),
        Message::Claim(100_000, id, true),
        Message::RequestSlot(100_000, flow.service, Some(target), 100),
    ] {
        println!("{:20}  {:6}", message.kind(), message.bytes());
    }
}
