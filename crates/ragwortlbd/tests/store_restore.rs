//! The platform's store returns from a backup while it turns half of the instances away: four
//! instances as processes, with stand-ins of store, targets and client on loopback addresses.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
    process::{Child, Command},
    time::{Duration, Instant},
};

use ragwortlb_standin::{
    packets::{
        client::{Client, Outcome},
        fixtures,
        store::Store,
        target::Target,
    },
    ports,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpSocket, TcpStream},
};

const INSTANCES: u8 = 4;

/// Instances that the store turns away.
const REFUSED: std::ops::Range<usize> = 0..2;

/// Limit for an instance to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Limit for a configuration to take effect on all instances.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

/// Limit for all instances to learn of the new era, also from peers.
const ERA_LIMIT: Duration = Duration::from_secs(5);

/// Limit for an instance to register again: its random delay, and a retry after the store has
/// turned it away.
const REGISTER_LIMIT: Duration = Duration::from_secs(15);

/// Time after the restore in which targets write their entries again.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Time for which lost state is watched after the restore, longer than missing targets are kept.
const WATCHED_TIME: Duration = Duration::from_secs(5);

/// Writes that the backup lacks, besides those that the test is about. Revisions after the
/// restore are then lower than those known.
const LOST_WRITES: usize = 200;

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Route that the configuration has which is lost.
const LOST_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444);
/// Route that only the configuration after the restore has.
const LATER_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 445);

struct Instance {
    child: Child,
    name: String,
    packets: SocketAddrV4,
    ready: SocketAddrV4,
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Err(error) = self.child.kill().and_then(|()| self.child.wait().map(drop)) {
            eprintln!("cannot kill an instance: {error}");
        }
    }
}

fn at(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 81, 0, host), port)
}

fn instance_ip(index: usize) -> Ipv4Addr {
    *at(10 + index as u8, 0).ip()
}

/// Starts an instance with a settings file, and its log beside that.
fn run(settings: &Path) -> Child {
    let log = fs::File::create(settings.with_extension("log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_ragwortlbd"))
        .arg("--platform")
        .env(fixtures::SETTINGS_VARIABLE, settings)
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

/// Passes connections on to the store from a source address of their own. On the loopback
/// interface, all connections have the same source address otherwise.
async fn relay(listen: SocketAddrV4, source: Ipv4Addr, store: SocketAddrV4) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            tokio::spawn(async move {
                let socket = TcpSocket::new_v4()?;
                socket.bind(SocketAddrV4::new(source, 0).into())?;
                let mut connection = socket.connect(store.into()).await?;
                copy_bidirectional(&mut caller, &mut connection).await
            });
        }
    });
    Ok(())
}

struct Site {
    store: Store,
    /// Addresses of the targets.
    targets: Vec<SocketAddrV4>,
    _running: Vec<Target>,
    instances: Vec<Instance>,
    client: Client,
}

impl Site {
    async fn start() -> Site {
        let ports: Vec<u16> = ports::free(7).unwrap().iter().map(|address| address.port()).collect();
        let &[packet_port, ready_port, gossip_port, _, store_port, target_port, relay_port] =
            ports.as_slice()
        else {
            panic!("seven ports");
        };
        let store = Store::start(at(1, store_port)).await.unwrap();
        let mut site = Site {
            store,
            targets: Vec::new(),
            _running: Vec::new(),
            instances: Vec::new(),
            client: Client::new(at(100, packet_port)).await.unwrap(),
        };
        for index in 0..3 {
            let address = at(20 + index, target_port);
            let number = u64::from(index) + 16;
            site._running
                .push(Target::start(address, number, &target_name(index.into()), packet_port).await.unwrap());
            site.targets.push(address);
        }
        for index in 0..usize::from(INSTANCES) {
            let host = 10 + index as u8;
            relay(at(host, relay_port), instance_ip(index), at(1, store_port)).await.unwrap();
            let name = format!("edge-81-{index}");
            let (packets, ready) = (at(host, packet_port), at(host, ready_port));
            let store = at(host, relay_port);
            let settings =
                fixtures::Settings { name: name.clone(), packets, ready, internal_port: gossip_port, store };
            let path = folder().join(format!("{index}.conf"));
            fs::write(&path, settings.to_text()).unwrap();
            site.instances.push(Instance { child: run(&path), name, packets, ready });
        }
        site
    }

    fn heartbeat(&self, target: usize, seq: usize) {
        let entry = fixtures::target_entry(seq, self.targets[target]);
        self.store.write(&fixtures::target_key(&target_name(target)), Some(entry.as_bytes()));
    }

    async fn request(&mut self, instance: usize, route: SocketAddrV4) -> Outcome {
        let packets = self.instances[instance].packets;
        self.client.request(route, &[packets], b"a request").await.unwrap()
    }

    /// Sends requests through each instance until it has the expected outcome.
    async fn wait_outcome(&mut self, route: SocketAddrV4, expected: fn(&Outcome) -> bool) {
        let started = Instant::now();
        for instance in 0..self.instances.len() {
            loop {
                let outcome = self.request(instance, route).await;
                if expected(&outcome) {
                    break;
                }
                let elapsed = started.elapsed();
                assert!(elapsed < CONFIG_LIMIT, "{outcome:?} at instance {instance} after {elapsed:?}");
            }
        }
    }

    /// Checks that each instance forwards requests of these routes.
    async fn check_routes(&mut self, routes: &[SocketAddrV4]) {
        for instance in 0..self.instances.len() {
            for route in routes {
                let outcome = self.request(instance, *route).await;
                assert!(is_answer(&outcome), "{outcome:?} at instance {instance}, route {route}");
            }
        }
    }

    async fn wait_registered(&self, instances: impl IntoIterator<Item = usize>) {
        let started = Instant::now();
        for instance in instances {
            let name = &self.instances[instance].name;
            while !self.store.contains(&fixtures::instance_key(name)) {
                assert!(started.elapsed() < REGISTER_LIMIT, "{name} is not registered");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn wait_era(&self, era: u64) {
        let started = Instant::now();
        for instance in &self.instances {
            let expected = format!("\nragwortlb_era {era}\n");
            while !get(instance.ready, "/metrics").await.contains(&expected) {
                assert!(started.elapsed() < ERA_LIMIT, "{} has not learned of era {era}", instance.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn folder() -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("store-restore");
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn target_name(index: usize) -> String {
    format!("i-{:08x}", index + 16)
}

fn is_answer(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answer(_))
}

/// Response of an instance's HTTP endpoint; empty if it does not accept the connection.
async fn get(address: SocketAddrV4, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

// Guards against instances that lose an accepted configuration or a running target with the
// backup, do not learn of the restore if the store turns them away, or ignore later
// configurations because their revisions are lower than those known.
#[tokio::test]
async fn half_turned_away() {
    let mut site = Site::start().await;
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(1, &[443]).as_bytes()));
    site.heartbeat(0, 1);
    site.heartbeat(1, 1);
    let started = Instant::now();
    for instance in &site.instances {
        while !get(instance.ready, "/ready").await.starts_with("HTTP/1.1 200") {
            assert!(started.elapsed() < READY_LIMIT, "{} is not ready", instance.name);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    site.wait_registered(0..usize::from(INSTANCES)).await;
    // One instance's entry is not in the backup.
    let unsaved = fixtures::instance_key(&site.instances[3].name);
    site.store.write(&unsaved, None);
    let backup = site.store.back_up();
    let entry = format!(r#"{{"zone":"pa","ip":"{}"}}"#, instance_ip(3));
    site.store.write(&unsaved, Some(entry.as_bytes()));

    site.heartbeat(2, 1);
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(5, &[443, 444]).as_bytes()));
    for seq in 2..2 + LOST_WRITES {
        site.heartbeat(0, seq);
    }
    site.wait_outcome(LOST_ROUTE, is_answer).await;

    let refused: Vec<Ipv4Addr> = REFUSED.map(instance_ip).collect();
    site.store.refuse(&refused);
    site.store.restore(&backup);
    let restored = Instant::now();
    site.wait_era(1).await;
    let mut seq = LOST_WRITES + 2;
    while restored.elapsed() < WATCHED_TIME {
        site.check_routes(&[ROUTE, LOST_ROUTE]).await;
        if restored.elapsed() >= REWRITE_TIME / 2 {
            seq += 1;
            (0..site.targets.len()).for_each(|target| site.heartbeat(target, seq));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    site.wait_registered([3]).await;

    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(6, &[443, 445]).as_bytes()));
    site.wait_outcome(LATER_ROUTE, is_answer).await;
    site.wait_outcome(LOST_ROUTE, |outcome| *outcome == Outcome::Refused).await;

    site.store.refuse(&[]);
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(7, &[443, 444]).as_bytes()));
    site.wait_outcome(LOST_ROUTE, is_answer).await;
    site.check_routes(&[ROUTE, LOST_ROUTE]).await;
    for instance in &mut site.instances {
        assert!(instance.child.try_wait().unwrap().is_none(), "an instance has ended");
    }
}
