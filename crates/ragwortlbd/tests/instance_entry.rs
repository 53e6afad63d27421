//! The entry of an instance in the platform's store, by which new instances find it.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::{Path, PathBuf},
    process::{Child, Command},
    time::{Duration, Instant},
};

use ragwortlb_standin::{
    packets::{fixtures, store::Store},
    ports,
};

const NAME: &str = "edge-71-0";

/// Limit for an instance to register.
const REGISTER_LIMIT: Duration = Duration::from_secs(5);

/// Time in which an instance that starts again would have registered again.
const RESTART_WAIT: Duration = Duration::from_secs(1);

struct Instance(Child);

impl Drop for Instance {
    fn drop(&mut self) {
        if let Err(error) = self.0.kill().and_then(|()| self.0.wait().map(drop)) {
            eprintln!("cannot kill an instance: {error}");
        }
    }
}

fn at(host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 71, 0, host), port)
}

fn settings(ports: &[SocketAddr], store: SocketAddrV4) -> PathBuf {
    let settings = fixtures::Settings {
        name: NAME.into(),
        packets: at(10, ports[0].port()),
        ready: at(10, ports[1].port()),
        internal_port: ports[2].port(),
        store,
    };
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("instance-entry.conf");
    fs::write(&path, settings.to_text()).unwrap();
    path
}

fn start(settings: &Path) -> Instance {
    let log = fs::File::create(settings.with_extension("log")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortlbd"));
    command.arg("--platform").env(fixtures::SETTINGS_VARIABLE, settings).stdout(log);
    Instance(command.spawn().unwrap())
}

async fn wait_registered(store: &Store) {
    let started = Instant::now();
    while !store.contains(&fixtures::instance_key(NAME)) {
        assert!(started.elapsed() < REGISTER_LIMIT, "not registered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn written_once() {
    let ports = ports::free(4).unwrap();
    let store = Store::start(at(1, ports[3].port())).await.unwrap();
    store.write(fixtures::CONFIG_KEY, Some(fixtures::config(1, &[443]).as_bytes()));
    let settings = settings(&ports, at(1, ports[3].port()));
    let instance = start(&settings);
    wait_registered(&store).await;
    assert_eq!(store.transactions(), 1);
    drop(instance);
    let calls = store.calls();
    let instance = start(&settings);
    tokio::time::sleep(RESTART_WAIT).await;
    assert!(store.calls() > calls, "the instance has started again");
    assert_eq!(store.transactions(), 1, "the entry has not changed");
    store.write(&fixtures::instance_key(NAME), None);
    drop(instance);
    let _instance = start(&settings);
    wait_registered(&store).await;
    assert_eq!(store.transactions(), 2);
}
