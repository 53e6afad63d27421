//! Test data in the platform's formats: settings files, targets' entries in the store
//! and configurations.

use std::net::SocketAddrV4;

/// Environment variable with the path of a process's settings file.
pub const SETTINGS_VARIABLE: &str = "RAGWORTLB_CONFIG";

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "op/config";

/// Key of a target's entry in the store.
pub fn target_key(name: &str) -> String {
    format!("servers/{name}")
}

/// Key of an instance's entry in the store.
pub fn instance_key(name: &str) -> String {
    format!("ragwortlb/instances/{name}")
}

/// Settings file of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name.
    pub name: String,
    /// Address that receives packets.
    pub packets: SocketAddrV4,
    /// Address of the readiness check.
    pub ready: SocketAddrV4,
    /// First of two consecutive ports for messages from peers.
    pub internal_port: u16,
    /// Address of the store.
    pub store: SocketAddrV4,
}

impl Settings {
    /// Text of the file. It contains an unknown key, which instances must ignore.
    pub fn to_text(&self) -> String {
        let Settings { name, packets, ready, internal_port, store } = self;
        format!(
            "nodeName={name}\nip={}\nzone=pa\nlisten.datagramAddr={packets}\nlisten.ready={ready}\n\
             internalPorts={internal_port},{}\nplatform.address={store}\nunknown.key=1\n",
            packets.ip(),
            internal_port + 1
        )
    }
}

/// Entry of a target of the service `booking` that is ready. `heartbeat_seq` is the
/// number of its heartbeat.
pub fn target_entry(heartbeat_seq: usize, address: SocketAddrV4) -> String {
    format!(
        r#"{{"service":"booking","address":"{address}","zone":"pa","version":"v1","slots":3,
            "state":"ready","warmupLeftMs":0,"seq":{heartbeat_seq},"born":1700000000000}}"#
    )
}

/// Names and entries of other programs that name no target to use: deeply nested values,
/// numbers and ports out of range, a long name, and a key with the number zero.
pub fn odd_target_entries(address: SocketAddrV4) -> Vec<(&'static str, String)> {
    let nested = "[".repeat(100_000);
    let valid = target_entry(1, address);
    let with_slots = |slots: &str| valid.replace("\"slots\":3", &format!("\"slots\":{slots}"));
    let with_port = |port: u32| valid.replace(&address.to_string(), &format!("{}:{port}", address.ip()));
    vec![
        ("i-a1", nested.clone()),
        ("i-a2", with_slots(&nested)),
        ("i-a3", with_slots("99999999999999999999999")),
        ("i-a4", with_slots("1e400")),
        ("i-a5", with_port(65_536)),
        ("i-a6", with_port(0)),
        ("i-a7", valid.replace("\"booking\"", &format!("\"{}\"", "s".repeat(200_000)))),
        ("monitor-0", valid),
    ]
}

/// Configuration with one route to `booking` for each port of 198.18.0.1.
pub fn config(version: u64, ports: &[u16]) -> String {
    let route = |port: &u16| {
        format!(
            r#"{{"name":"r-{port}","host":"198.18.0.1","prefix":"/{port}/","type":"idempotent",
                "timeoutMs":1500,"targetLatencyMs":250,"priority":1,"service":"booking","maxAttempts":2}}"#
        )
    };
    let routes: Vec<String> = ports.iter().map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"booking","healthPath":"/health",
            "maxConns":2000,"protocol":"h1","tls":false}}],"limits":{{"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}
