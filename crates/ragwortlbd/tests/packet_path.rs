//! The program `ragwortlbd --platform` with stand-ins of the platform: two instances as
//! processes; store, targets and client on loopback addresses.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::atomic::Ordering,
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
use tokio::net::TcpStream;

/// Limit for an instance to become ready, and to exit.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Limit for a configuration to take effect on all instances.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Route that only later configurations have.
const ADDED_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444);

/// Starts an instance with a settings file. Its log is added to a file beside that.
fn run(settings: &Path) -> Child {
    let log = fs::OpenOptions::new().append(true).open(settings.with_extension("log")).unwrap();
    Command::new(env!("CARGO_BIN_EXE_ragwortlbd"))
        .arg("--platform")
        .env(fixtures::SETTINGS_VARIABLE, settings)
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

struct Instance {
    child: Child,
    settings: PathBuf,
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

struct Site {
    store: Store,
    targets: Vec<Target>,
    /// Address of the first target.
    target_address: SocketAddrV4,
    instances: Vec<Instance>,
    client: Client,
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).unwrap();
    folder
}

impl Site {
    /// Starts two instances and two targets; `net` separates the addresses of the tests.
    async fn start(net: u8) -> Site {
        let ports: Vec<u16> = ports::free(6).unwrap().iter().map(|address| address.port()).collect();
        let &[packet_port, ready_port, gossip_port, _, store_port, target_port] = ports.as_slice() else {
            panic!("six ports");
        };
        let at = |host, port| SocketAddrV4::new(Ipv4Addr::new(127, net, 0, host), port);
        let store = Store::start(at(1, store_port)).await.unwrap();
        store.write(fixtures::CONFIG_KEY, Some(fixtures::config(1, &[443]).as_bytes()));
        let mut targets = Vec::new();
        for index in 0..2 {
            let address = at(20 + index as u8, target_port);
            let (name, number) = (format!("i-{:08x}", index + 16), index as u64 + 16);
            targets.push(Target::start(address, number, &name, packet_port).await.unwrap());
            store
                .write(&fixtures::target_key(&name), Some(fixtures::target_entry(index, address).as_bytes()));
        }
        store.write(&fixtures::target_key("i-99"), Some(b"not an entry"));
        let instances = (0..2)
            .map(|index| {
                let ip = 10 + index;
                let (packets, ready) = (at(ip, packet_port), at(ip, ready_port));
                let settings = fixtures::Settings {
                    name: format!("edge-{net}-{index}"),
                    packets,
                    ready,
                    internal_port: gossip_port,
                    store: at(1, store_port),
                };
                let path = folder("packet-path").join(format!("{net}-{index}.conf"));
                fs::write(&path, settings.to_text()).unwrap();
                fs::File::create(path.with_extension("log")).unwrap();
                Instance { child: run(&path), packets, ready, settings: path }
            })
            .collect();
        let client = Client::new(at(100, packet_port)).await.unwrap();
        let site = Site { store, targets, target_address: at(20, target_port), instances, client };
        for instance in &site.instances {
            wait_ready(instance.ready).await;
        }
        site
    }

    async fn request(&mut self, route: SocketAddrV4) -> Outcome {
        let instances: Vec<_> = self.instances.iter().map(|instance| instance.packets).collect();
        self.client.request(route, &instances, b"a request").await.unwrap()
    }

    /// Sends requests until one has the expected outcome.
    async fn wait_outcome(&mut self, route: SocketAddrV4, limit: Duration, expected: fn(&Outcome) -> bool) {
        let started = Instant::now();
        loop {
            let outcome = self.request(route).await;
            if expected(&outcome) {
                return;
            }
            assert!(started.elapsed() < limit, "{outcome:?} after {limit:?}");
        }
    }

    /// Kills an instance and starts it again.
    fn restart(&mut self, instance: usize) {
        let instance = &mut self.instances[instance];
        instance.child.kill().unwrap();
        instance.child.wait().unwrap();
        instance.child = run(&instance.settings);
    }

    fn signal(&self, instance: usize, signal: &str) {
        let id = self.instances[instance].child.id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &id]).status().unwrap().success());
    }
}

/// Waits until an instance passes its readiness check.
async fn wait_ready(address: SocketAddrV4) {
    let started = Instant::now();
    while !is_ready(address).await {
        assert!(started.elapsed() < READY_LIMIT, "{address} is not ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn is_ready(address: SocketAddrV4) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.starts_with("HTTP/1.1 200")
}

#[tokio::test]
async fn even_load() {
    let mut site = Site::start(61).await;
    for _ in 0..200 {
        let outcome = site.request(ROUTE).await;
        assert!(matches!(&outcome, Outcome::Answer(name) if name.starts_with(b"i-000000")), "{outcome:?}");
    }
    println!("{:?}", site.targets.iter().map(|target| &target.counts).collect::<Vec<_>>());
    for target in &site.targets {
        assert!(target.counts.ran.load(Ordering::Relaxed) >= 50, "{:?}", target.counts);
        for count in [&target.counts.misaddressed, &target.counts.corrupt, &target.counts.unknown_flow] {
            assert_eq!(count.load(Ordering::Relaxed), 0, "{:?}", target.counts);
        }
    }
}

#[tokio::test]
async fn changed_routes() {
    let mut site = Site::start(62).await;
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(5, &[443, 444]).as_bytes()));
    site.wait_outcome(ADDED_ROUTE, CONFIG_LIMIT, |outcome| matches!(outcome, Outcome::Answer(_))).await;
    site.store.write(fixtures::CONFIG_KEY, Some(b"not a configuration"));
    assert!(matches!(site.request(ADDED_ROUTE).await, Outcome::Answer(_)));
    site.store.compact();
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(9, &[443]).as_bytes()));
    site.wait_outcome(ADDED_ROUTE, CONFIG_LIMIT, |outcome| *outcome == Outcome::Refused).await;
    assert!(matches!(site.request(ROUTE).await, Outcome::Answer(_)));
}

#[tokio::test]
async fn store_outage() {
    let mut site = Site::start(63).await;
    site.store.set_down(true);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        assert!(matches!(site.request(ROUTE).await, Outcome::Answer(_)));
    }
    site.store.set_down(false);
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(2, &[443, 444]).as_bytes()));
    site.wait_outcome(ADDED_ROUTE, CONFIG_LIMIT, |outcome| matches!(outcome, Outcome::Answer(_))).await;
}

/// Guards against instances that stop following the store, or do not start, because of odd
/// entries that another program leaves among those of the targets.
#[tokio::test]
async fn odd_entries() {
    let mut site = Site::start(65).await;
    let odd = fixtures::odd_target_entries(site.target_address);
    // With a watch.
    for (name, value) in &odd {
        assert!(odd.iter().filter(|(_, other)| other == value).count() == 1, "{name} is not changed");
        site.store.write(&fixtures::target_key(name), Some(value.as_bytes()));
    }
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(5, &[443, 444]).as_bytes()));
    site.wait_outcome(ADDED_ROUTE, CONFIG_LIMIT, |outcome| matches!(outcome, Outcome::Answer(_))).await;

    // With a read of all keys, in several pages whose last keys have to be escaped.
    for number in 0..1_100 {
        let key = fixtures::target_key(&format!("odd & key #{number:04}%41"));
        site.store.write(&key, Some(b"odd"));
    }
    site.store.compact();
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(9, &[443]).as_bytes()));
    site.wait_outcome(ADDED_ROUTE, CONFIG_LIMIT, |outcome| *outcome == Outcome::Refused).await;

    // At the start, of one instance beside its peer and of both.
    for instances in [0..1, 0..2] {
        for index in instances.clone() {
            site.restart(index);
        }
        for index in instances {
            wait_ready(site.instances[index].ready).await;
        }
        assert!(matches!(site.request(ROUTE).await, Outcome::Answer(_)));
    }
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(12, &[443, 444]).as_bytes()));
    site.wait_outcome(ADDED_ROUTE, CONFIG_LIMIT, |outcome| matches!(outcome, Outcome::Answer(_))).await;

    // More at once than a response may hold.
    let long = "x".repeat(1_048_576);
    for number in 0..8 {
        site.store.write(&fixtures::target_key(&format!("i-b{number}")), Some(long.as_bytes()));
    }
    site.store.write(fixtures::CONFIG_KEY, Some(fixtures::config(15, &[443]).as_bytes()));
    site.wait_outcome(ADDED_ROUTE, CONFIG_LIMIT, |outcome| *outcome == Outcome::Refused).await;
    assert!(matches!(site.request(ROUTE).await, Outcome::Answer(_)));
    for instance in &mut site.instances {
        assert!(instance.child.try_wait().unwrap().is_none(), "an instance has ended");
    }
}

#[tokio::test]
async fn graceful_stop() {
    let mut site = Site::start(64).await;
    site.signal(0, "HUP");
    assert!(matches!(site.request(ROUTE).await, Outcome::Answer(_)));
    site.signal(0, "TERM");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!is_ready(site.instances[0].ready).await, "not ready after SIGTERM");
    for _ in 0..20 {
        assert!(matches!(site.request(ROUTE).await, Outcome::Answer(_)), "packets are still forwarded");
    }
    let started = Instant::now();
    loop {
        if let Some(status) = site.instances[0].child.try_wait().unwrap() {
            assert!(status.success());
            break;
        }
        assert!(started.elapsed() < READY_LIMIT);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
