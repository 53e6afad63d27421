/*!
Compares routing methods on the same seeds over ten joint changes of targets and
instances: broken flows, control bytes and lookups at replicas.

The baselines compute the target by modulo or consistent hashing, with local flow
entries or with entries replicated to all instances.
*/

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ragwortlb::route::{
    flow,
    table::{Table, WeightedTarget},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Net, folder};

const FLOWS: usize = 2_000;
const CHANGES: usize = 10;
const STEP_MS: u64 = 50;
const CHANGE_MS: u64 = 6_000;
const INSTANCES: usize = 9;

fn main() {
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    println!("method                       seed   flows  broken  control bytes/s an instance    lookups/s");
    for seed in 1..=3 {
        for method in [Method::Modulo, Method::Consistent, Method::Replication] {
            baseline(method, seed);
        }
        ragwortlb_method(seed);
    }
}

/// Marks a random target as leaving, or as serving again.
fn change(rng: &mut Pcg64Mcg, targets: &BTreeSet<usize>, leaving: &mut BTreeSet<usize>) {
    let number = rng.random_range(0..targets.len());
    if !leaving.remove(&number) && leaving.len() < 5 {
        leaving.insert(number);
    }
}

fn ragwortlb_method(seed: u64) {
    let mut net = Net::new(seed);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets: BTreeSet<usize> = (0..14).collect();
    let mut leaving = BTreeSet::new();
    net.start_all(3, 3, &folder(&targets, &leaving));
    for _ in 0..FLOWS {
        net.open_flow(None);
    }
    let start: u64 = net.instances.iter().map(|instance| instance.sent_bytes).sum();
    let from = net.now;
    for _ in 0..CHANGES {
        change(&mut rng, &targets, &mut leaving);
        net.accept(&folder(&targets, &leaving));
        let gone = net.fabric(None)[0];
        net.start(net.instances[gone].zone);
        net.drain(gone);
        for _ in 0..CHANGE_MS / STEP_MS {
            let keys: Vec<u64> = net.flows.keys().copied().collect();
            for _ in 0..FLOWS / 40 {
                let flow = keys[net.rng.random_range(0..keys.len())];
                net.send_later(flow, None);
            }
            for _ in 0..FLOWS / 400 {
                net.open_flow(None);
            }
            net.advance(STEP_MS);
        }
    }
    let seconds = (net.now - from) as f64 / 1_000.0;
    let sent: u64 = net.instances.iter().map(|instance| instance.sent_bytes).sum::<u64>() - start;
    let queries: u64 = net.instances.iter().map(|instance| instance.node.status().counts.queries).sum();
    print(
        "announced first, filters",
        seed,
        net.tally.opened,
        net.tally.broken,
        sent as f64 / seconds / INSTANCES as f64,
        queries as f64 / seconds,
    );
}

#[derive(Clone, Copy, PartialEq)]
enum Method {
    Modulo,
    Consistent,
    Replication,
}

fn print(method: &str, seed: u64, flows: u64, broken: u64, bytes: f64, queries: f64) {
    println!("{method:27} {seed:5} {flows:7} {broken:7} {bytes:28.0} {queries:12.1}");
}

/// Runs a baseline method. Instances learn of a change at different times.
fn baseline(method: Method, seed: u64) {
    const LAG_STEPS: u64 = 40;
    const ENTRY_BYTES: u64 = 16;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets: BTreeSet<usize> = (0..14).collect();
    let mut leaving = BTreeSet::new();
    let mut tables = vec![table(&targets, &leaving); INSTANCES];
    let mut entries: Vec<HashMap<u64, String>> = vec![HashMap::new(); INSTANCES];
    let mut flows: BTreeMap<u64, String> = BTreeMap::new();
    let (mut opened, mut broken, mut bytes) = (0u64, 0u64, 0u64);
    for change_number in 0..=CHANGES {
        let mut due = vec![0; INSTANCES];
        if change_number > 0 {
            change(&mut rng, &targets, &mut leaving);
            due = (0..INSTANCES).map(|_| rng.random_range(0..LAG_STEPS)).collect();
            entries[change_number % INSTANCES].clear();
        }
        let next = table(&targets, &leaving);
        for step in 0..CHANGE_MS / STEP_MS {
            for instance in 0..INSTANCES {
                if due[instance] == step {
                    tables[instance] = next.clone();
                }
            }
            let mut packets: Vec<u64> = Vec::new();
            let keys: Vec<u64> = flows.keys().copied().collect();
            if !keys.is_empty() {
                packets.extend((0..FLOWS / 40).map(|_| keys[rng.random_range(0..keys.len())]));
            }
            let new_flows = if change_number == 0 && step == 0 { FLOWS } else { FLOWS / 400 };
            for _ in 0..new_flows {
                opened += 1;
                packets.push(flow::key_hash(&opened.to_le_bytes()));
            }
            for key in packets {
                let instance = rng.random_range(0..INSTANCES);
                let computed = match method {
                    Method::Modulo => {
                        let names = tables[instance].names();
                        names[(key % names.len() as u64) as usize].to_string()
                    }
                    _ => tables[instance].target(key).expect("a table has targets").to_string(),
                };
                let tracked =
                    if method == Method::Modulo { None } else { entries[instance].get(&key).cloned() };
                let target = tracked.unwrap_or(computed);
                if method != Method::Modulo {
                    entries[instance].insert(key, target.clone());
                }
                match flows.get(&key) {
                    None => {
                        flows.insert(key, target.clone());
                        if method == Method::Replication {
                            for tracked in &mut entries {
                                tracked.insert(key, target.clone());
                            }
                            bytes += ENTRY_BYTES * (INSTANCES as u64 - 1);
                        }
                    }
                    Some(first) if *first != target => {
                        broken += 1;
                        flows.remove(&key);
                    }
                    Some(_) => {}
                }
            }
        }
    }
    let seconds = (CHANGES as u64 * CHANGE_MS) as f64 / 1_000.0;
    let name = match method {
        Method::Modulo => "modulo",
        Method::Consistent => "consistent, local entries",
        Method::Replication => "full replication, at once",
    };
    print(name, seed, opened, broken, bytes as f64 / seconds / INSTANCES as f64, 0.0);
}

fn table(targets: &BTreeSet<usize>, leaving: &BTreeSet<usize>) -> Table {
    let serving = targets.difference(leaving);
    let members: Vec<WeightedTarget> =
        serving.map(|number| WeightedTarget::new(format!("m{number}"), 1)).collect();
    Table::new(&members)
}
