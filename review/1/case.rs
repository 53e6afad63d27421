//! Case 1: several machines are lost right after a change of the configuration, and the
//! machines that stay never take the change up.

#[path = "../standin.rs"]
mod standin;

use std::{
    thread::{scope, sleep},
    time::{Duration, Instant},
};

use standin::{BROKEN, End, HELD, Machine, Probe, Record, Site, config, has_trouble, ms};

/// `configApplyMs`: later than this after the acknowledgement, requests are judged.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// `stableWindowMs`: machines have to run undisturbed for as long to be judged.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);

/// Time for which requests are sent after `CONFIG_APPLY`.
const JUDGED: Duration = Duration::from_millis(2_000);

/// Delays of the losses after the acknowledgement, in turn. The kinds page gives 5 to 400 ms
/// after the change was sent.
const LOSS_DELAYS: [Duration; 3] = [ms(100), ms(50), ms(150)];

/// Latest start of a further change.
const LAST_CHANGE: Duration = Duration::from_secs(85);

/// Rounds without the disruption.
const CALM_ROUNDS: usize = 6;

/// Route that all versions have.
const KEPT: u16 = 443;

/// Route that only the versions with an odd number of the round have, and route that only
/// the others have.
const ODD: u16 = 1_443;
const EVEN: u16 = 2_443;

fn routes(round: usize) -> [(u16, &'static str); 2] {
    let changing = if round % 2 == 1 { ODD } else { EVEN };
    [(KEPT, "matching"), (changing, "matching")]
}

fn main() {
    let record = Record::create();
    let site = Site::start("case1", &record, &routes(0));
    record.say("all machines are ready");
    sleep(STABLE_WINDOW + ms(500));
    let mut broken = 0;
    let mut rounds = 0;
    for round in 1.. {
        let is_last = if has_trouble() { record.elapsed() > LAST_CHANGE } else { round > CALM_ROUNDS };
        if broken > 0 || is_last {
            break;
        }
        rounds = round;
        broken += play_round(&site, round);
    }
    record.say(&format!("{broken} requests broke CONFIG in {rounds} rounds"));
    drop(site);
    std::process::exit(if broken > 0 { BROKEN } else { HELD });
}

/// Changes the configuration, loses machines, and judges requests through the others.
/// Returns how many broke the rule.
fn play_round(site: &Site, round: usize) -> usize {
    let record = &site.record;
    let version = 1 + 3 * round as u64;
    let (added, dropped) = if round % 2 == 1 { (ODD, EVEN) } else { (EVEN, ODD) };
    site.store.write("op/config", Some(&config(version, &routes(round))));
    let acked_at = Instant::now();
    record.say(&format!("round {round}: version {version} acknowledged; adds port {added}, drops {dropped}"));
    let mut lost: Vec<&Machine> = Vec::new();
    if has_trouble() {
        sleep(LOSS_DELAYS[round % LOSS_DELAYS.len()]);
        lost = last_readers(site);
        std::thread::scope(|threads| {
            for machine in &lost {
                threads.spawn(|| machine.kill());
            }
        });
        let names: Vec<&str> = lost.iter().map(|machine| machine.name.as_str()).collect();
        record.say(&format!("lost {:.0} ms later: {}", acked_at.elapsed().as_millis(), names.join(", ")));
    }
    let stayed: Vec<&Machine> =
        site.machines.iter().filter(|machine| !lost.iter().any(|lost| lost.name == machine.name)).collect();
    sleep((CONFIG_APPLY + ms(50)).saturating_sub(acked_at.elapsed()));
    let probes = send_probes(site, &stayed, [added, dropped, KEPT], acked_at + CONFIG_APPLY + JUDGED);
    let broken: Vec<&Probe> = probes.iter().filter(|probe| breaks(probe, added, dropped)).collect();
    for probe in broken.iter().take(12) {
        let late = probe.sent_at.duration_since(acked_at).as_millis();
        record.say(&format!(
            "BROKEN: {} sent to {} for port {} {late} ms after the acknowledgement: {:?}, {}",
            probe.id,
            probe.machine,
            probe.port,
            probe.end,
            if probe.run.is_some() { "run" } else { "not run" }
        ));
    }
    record.say(&format!(
        "round {round}: {} of {} requests handled by the older version",
        broken.len(),
        probes.len()
    ));
    // Other machines with the same roles are added.
    for machine in &lost {
        machine.start(&site.seeds(), false);
    }
    site.await_ready();
    sleep(STABLE_WINDOW + ms(200));
    broken.len()
}

/// One machine in each zone: the one that read the list of servers last.
fn last_readers(site: &Site) -> Vec<&Machine> {
    let zones = ["pa", "ct", "me"];
    let of_zone = |zone| site.machines.iter().filter(move |machine| machine.zone == zone);
    zones.iter().filter_map(|zone| of_zone(*zone).max_by_key(|machine| machine.door.read_at())).collect()
}

/// Sends requests for each port through each machine until a moment.
fn send_probes(site: &Site, machines: &[&Machine], ports: [u16; 3], until: Instant) -> Vec<Probe> {
    scope(|threads| {
        let mut senders = Vec::new();
        for machine in machines {
            for port in ports {
                senders.push(threads.spawn(move || {
                    let mut probes = Vec::new();
                    while Instant::now() < until {
                        probes.push(site.probe(machine, port, ms(1_500)));
                        sleep(ms(100));
                    }
                    probes
                }));
            }
        }
        senders.into_iter().flat_map(|sender| sender.join().expect("a sender ends")).collect()
    })
}

/// Whether a request was handled as only an older version allows: run with a dropped route,
/// or refused though the route is there.
fn breaks(probe: &Probe, added: u16, dropped: u16) -> bool {
    (probe.port == dropped && probe.run.is_some()) || (probe.port == added && probe.end == End::Refused)
}
