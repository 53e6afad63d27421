//! What the platform writes for instances: settings files, targets' entries and
//! configurations.

use std::net::SocketAddrV4;

/// Variable that names the settings file of a process.
pub const SETTINGS_VARIABLE: &str = "RAGWORTLB_CONFIG";

/// Key of the configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Key of a target's entry.
pub fn target_key(name: &str) -> String {
    format!("servers/{name}")
}

/// Settings file of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name.
    pub name: String,
    /// Address for packets.
    pub packets: SocketAddrV4,
    /// Address for readiness.
    pub ready: SocketAddrV4,
    /// First of two ports for other instances.
    pub internal_port: u16,
    /// Address of the store.
    pub store: SocketAddrV4,
}

impl Settings {
    /// Text of the file, with a key that nobody knows.
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

/// Entry of a ready target of the service `booking`.
pub fn target_entry(beat: usize, address: SocketAddrV4) -> String {
    format!(
        r#"{{"service":"booking","address":"{address}","zone":"pa","version":"v1","slots":3,
            "state":"ready","warmupLeftMs":0,"seq":{beat},"born":1700000000000}}"#
    )
}

/// Configuration with a route to `booking` at each port of 198.18.0.1.
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
