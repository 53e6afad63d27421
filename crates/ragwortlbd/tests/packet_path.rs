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

struct Instance {
    child: Child,
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
                let log = fs::File::create(path.with_extension("log")).unwrap();
                let child = Command::new(env!("CARGO_BIN_EXE_ragwortlbd"))
                    .arg("--platform")
                    .env(fixtures::SETTINGS_VARIABLE, &path)
                    .stdout(log.try_clone().unwrap())
                    .stderr(log)
                    .spawn()
                    .unwrap();
                Instance { child, packets, ready }
            })
            .collect();
        let client = Client::new(at(100, packet_port)).await.unwrap();
        let site = Site { store, targets, instances, client };
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
