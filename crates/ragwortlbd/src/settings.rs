/*!
The daemon's settings: one file of JSON with comments.

All errors are reported at once, with line and column. A missing key has its
default, unless it is required; an unknown key is an error.

# Example

```
use ragwortlbd::settings::Settings;

let text = br#"{
    "name": "pa-1", "zone": "pa", // where it runs
    "call_address": "127.0.0.1:7000", "peer_address": "127.0.0.1:7400",
    "operator_address": "127.0.0.1:7600", "store": "http://127.0.0.1:7500"
}"#;
let settings = Settings::parse("pa-1.jsonc", text.to_vec()).unwrap();
assert_eq!(&*settings.name, "pa-1");
```
*/

use std::{
    net::{Ipv4Addr, SocketAddr},
    ops::RangeInclusive,
    sync::Arc,
};

use ragwortlb::config::{
    Diagnostic, Diagnostics, File, Kind,
    document::{self, Entry, Tree, Value},
};

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name, unique among instances.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for gRPC requests of customers.
    pub call_address: SocketAddr,
    /// Address for gRPC frames of peers.
    pub peer_address: SocketAddr,
    /// Address that peers connect to, if it differs from the bound one.
    pub advertised_address: Option<SocketAddr>,
    /// Address for the operators' HTTP.
    pub operator_address: SocketAddr,
    /// URL of the platform's store.
    pub store: Arc<str>,
    /// Addresses of some peers to contact first.
    pub peers: Vec<SocketAddr>,
    /// URL of an OTLP trace collector; if absent, no traces are exported.
    pub traces: Option<Arc<str>>,
    /// Time between ticks of the node, in milliseconds.
    pub tick_ms: u64,
    /// Mean time between polls of the configuration head by instances that are not store
    /// readers, in milliseconds.
    pub poll_ms: u64,
    /// Cap of the traffic to peers, in bytes a second; above it bulk messages wait.
    pub control_bytes_per_s: u64,
    /// Most flows tracked for one service.
    pub max_flows: usize,
    /// Most requests in progress.
    pub max_requests: usize,
    /// Time to wait for a replica's reply, in milliseconds.
    pub ask_ms: u64,
    /// Shortest time from the start of a shutdown to its end, in milliseconds, so that the
    /// fabric stops sending first.
    pub leave_ms: u64,
    /// Longest time for which a shutdown waits for a change of tables to settle and for the
    /// handover of its flows to be acknowledged, in milliseconds.
    pub hand_over_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Settings {
            name: "instance".into(),
            zone: "zone".into(),
            call_address: local(7000),
            peer_address: local(7400),
            advertised_address: None,
            operator_address: local(7600),
            store: "http://127.0.0.1:7500".into(),
            peers: Vec::new(),
            traces: None,
            tick_ms: 5,
            poll_ms: 5_000,
            control_bytes_per_s: 27_000,
            max_flows: 1_000_000,
            max_requests: 4_096,
            ask_ms: 100,
            leave_ms: 2_000,
            hand_over_ms: 40_000,
        }
    }
}

/// Required keys.
const REQUIRED: [&str; 6] = ["name", "zone", "call_address", "peer_address", "operator_address", "store"];

/// Longest name of an instance or availability zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

impl Settings {
    /// Parses and checks the content of a settings file; `file` is its name for messages.
    ///
    /// # Errors
    ///
    /// All errors of the file, with their locations.
    pub fn parse(file: &str, bytes: Vec<u8>) -> Result<Settings, Diagnostics> {
        let tree = document::parse(&File::new(file, bytes)).map_err(Diagnostics::new)?;
        let Value::Map(entries) = &tree.value else {
            return Err(Diagnostics::new(vec![Diagnostic::at(
                Kind::InvalidValue,
                &tree.position,
                "the settings are not a JSON object",
            )]));
        };
        let mut settings = Settings::default();
        let mut diagnostics = Vec::new();
        for name in REQUIRED {
            if !entries.iter().any(|entry| &*entry.key == name) {
                diagnostics.push(Diagnostic::at(
                    Kind::MissingKey,
                    &tree.position,
                    format!("missing key {name:?}"),
                ));
            }
        }
        for entry in entries {
            if let Err(message) = settings.set(entry) {
                diagnostics.push(Diagnostic::at(Kind::InvalidValue, &entry.tree.position, message));
            }
        }
        settings.check_addresses(&tree, &mut diagnostics);
        if diagnostics.is_empty() { Ok(settings) } else { Err(Diagnostics::new(diagnostics)) }
    }

    fn set(&mut self, entry: &Entry) -> Result<(), String> {
        let value = &entry.tree.value;
        match &*entry.key {
            "name" => self.name = name(value)?,
            "zone" => self.zone = name(value)?,
            "call_address" => self.call_address = address(value)?,
            "peer_address" => self.peer_address = address(value)?,
            "advertised_address" => self.advertised_address = Some(address(value)?),
            "operator_address" => self.operator_address = address(value)?,
            "store" => self.store = url(value)?,
            "peers" => self.peers = addresses(value)?,
            "traces" => self.traces = Some(url(value)?),
            "tick_ms" => self.tick_ms = number(value, 1..=100)?,
            "poll_ms" => self.poll_ms = number(value, 100..=600_000)?,
            "control_bytes_per_s" => self.control_bytes_per_s = number(value, 1_000..=1_000_000_000)?,
            "max_flows" => self.max_flows = number(value, 1_000..=100_000_000)? as usize,
            "max_requests" => self.max_requests = number(value, 10..=1_000_000)? as usize,
            "ask_ms" => self.ask_ms = number(value, 1..=10_000)?,
            "leave_ms" => self.leave_ms = number(value, 0..=600_000)?,
            "hand_over_ms" => self.hand_over_ms = number(value, 0..=3_600_000)?,
            other => return Err(format!("unknown key {other:?}")),
        }
        Ok(())
    }

    fn check_addresses(&self, tree: &Tree, diagnostics: &mut Vec<Diagnostic>) {
        let own = [self.call_address, self.peer_address, self.operator_address];
        let has_duplicate = own.iter().enumerate().any(|(i, address)| own[..i].contains(address));
        if has_duplicate {
            diagnostics.push(Diagnostic::at(
                Kind::InvalidValue,
                &tree.position,
                "call_address, peer_address and operator_address must differ",
            ));
        }
    }
}

fn string(value: &Value) -> Result<&Arc<str>, String> {
    match value {
        Value::String(text) => Ok(text),
        other => Err(format!("expected a string, found {}", other.kind())),
    }
}

fn name(value: &Value) -> Result<Arc<str>, String> {
    let text = string(value)?;
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(format!("{text:?} is not 1 to {MAX_NAME_BYTES} letters, digits, hyphens or underscores"));
    }
    Ok(text.clone())
}

fn address(value: &Value) -> Result<SocketAddr, String> {
    let text = string(value)?;
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => Err(format!("{text:?} has port 0")),
        Ok(address) => Ok(address),
        Err(_) => Err(format!("{text:?} is not an IP address with a port")),
    }
}

fn addresses(value: &Value) -> Result<Vec<SocketAddr>, String> {
    match value {
        Value::List(items) => items.iter().map(|item| address(&item.value)).collect(),
        other => Err(format!("expected a list of addresses, found {}", other.kind())),
    }
}

fn url(value: &Value) -> Result<Arc<str>, String> {
    let text = string(value)?;
    let rest = text.strip_prefix("http://").unwrap_or_default();
    if rest.is_empty() || rest.contains(char::is_whitespace) {
        return Err(format!("{text:?} is not a URL that starts with http://"));
    }
    Ok(text.clone())
}

fn number(value: &Value, bounds: RangeInclusive<u64>) -> Result<u64, String> {
    let Value::Number(text) = value else {
        return Err(format!("expected a number, found {}", value.kind()));
    };
    match text.parse::<u64>() {
        Ok(number) if bounds.contains(&number) => Ok(number),
        _ => Err(format!("{text} is not a whole number from {} to {}", bounds.start(), bounds.end())),
    }
}
