//! Stand-ins for the cases of the second review: the platform (store, operator and fabric),
//! servers and clients, in one process, on loopback addresses and the real clock. They start
//! `target/release/ragwortlbd --platform` as separate processes and judge one rule.
//!
//! Usage: `standin-2 CASE RECORD`, with CASE `pages`, `moved`, `fetch` or `stays`. `TROUBLE=0` leaves the
//! disruption out. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

// Bounds of a small deployment (DEPLOY.md, sites/nidosicuro-lb.toml), in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;
const STABLE_WINDOW_MS: u64 = 4_000;
const DRAIN_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 3_000;
/// Servers of the service that clients call.
const MATCHING_SERVERS: usize = 5;
/// "After three heartbeat intervals of silence" (PROTOCOL.md).
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;
/// Response time of the store ("4 ms an answer").
const STORE_MS: u64 = 4;

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const DROPPED_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444);

/// Time after which a case that has not ended is given up.
const CASE_LIMIT_MS: u64 = 110_000;

/// Processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

const SYN: u8 = 64;
const ACK: u8 = 128;
const FIN: u8 = 2;
const RST: u8 = 1;

/// Clock and record shared by all stand-ins.
struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    fn note(&self, text: String) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text));
    }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for (at, shift) in [18, 12, 6, 0].into_iter().enumerate() {
            out.push(if at <= part.len() { SET[(word >> shift) as usize & 63] as char } else { '=' });
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    let value = |byte: u8| match byte {
        b'A'..=b'Z' => byte - b'A',
        b'a'..=b'z' => byte - b'a' + 26,
        b'0'..=b'9' => byte - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let bytes: Vec<u8> = text.bytes().filter(|byte| *byte != b'=').map(value).collect();
    let mut out = Vec::new();
    for part in bytes.chunks(4) {
        let word = part.iter().fold(0u32, |word, six| (word << 6) | u32::from(*six)) << (6 * (4 - part.len()));
        out.extend_from_slice(&word.to_be_bytes()[1..part.len()]);
    }
    out
}

// ---- the platform's store ----

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key, new value or none for a removal, and revision.
    history: Vec<(String, Option<Item>, u64)>,
    /// When each server last wrote.
    heard: HashMap<String, u64>,
    /// Callers whose path to the store is cut; their connections are reset.
    cut: Vec<usize>,
    /// Whether the store no longer answers at its first address.
    is_moved: bool,
    /// Whether silent entries are removed now.
    is_sweeping: bool,
    /// Caller whose next page but the first comes after the removal of this silent server.
    sweep_before_page: Option<(usize, String)>,
    /// Servers' entries that were removed, and when.
    gone: Vec<(String, u64)>,
    /// Callers whose watch waits.
    waiting: Vec<usize>,
    /// When the last watch of each caller was answered.
    answered: HashMap<usize, u64>,
    /// Caller, time and kind of each call.
    calls: Vec<(usize, u64, &'static str)>,
}

struct Store {
    record: Arc<Record>,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    fn write(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = Store::put(&mut state, key, value);
        self.changed.notify_all();
        revision
    }

    fn put(state: &mut StoreState, key: &str, value: &[u8]) -> u64 {
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_vec(), revision, created };
        state.items.insert(key.into(), item.clone());
        state.history.push((key.into(), Some(item), revision));
        revision
    }

    fn remove(state: &mut StoreState, key: &str) {
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((key.into(), None, revision));
        }
    }

    /// Write of a server: it changes the entry only if more than `seq` changes.
    fn heartbeat(&self, id: &str, entry: &[u8], is_changed: bool) {
        let mut state = self.state.lock().unwrap();
        let key = format!("servers/{id}");
        state.heard.insert(id.into(), self.record.now());
        if is_changed || !state.items.contains_key(&key) {
            Store::put(&mut state, &key, entry);
            self.changed.notify_all();
        }
    }

    /// Removes entries of servers that have been silent.
    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = self.record.now();
        if !state.is_sweeping {
            return;
        }
        let is_silent = |at: &u64| now - *at >= EXPIRY_MS;
        let silent: Vec<String> =
            state.heard.iter().filter(|(_, at)| is_silent(at)).map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.expire_one(&mut state, id);
        }
        if !silent.is_empty() {
            self.changed.notify_all();
        }
    }

    fn expire_one(&self, state: &mut StoreState, id: &str) {
        let now = self.record.now();
        let silent_ms = now - state.heard.remove(id).unwrap_or(now);
        Store::remove(state, &format!("servers/{id}"));
        state.gone.push((id.into(), now));
        self.record.note(format!("store removed the entry of {id} after {silent_ms} ms of silence"));
    }

    /// Cuts the path between a caller and the store, or heals it.
    fn set_cut(&self, caller: usize, is_cut: bool) {
        let mut state = self.state.lock().unwrap();
        state.cut.retain(|known| *known != caller);
        if is_cut {
            state.cut.push(caller);
        }
        self.changed.notify_all();
    }

    /// Ends the service at the first address.
    fn leave_first_address(&self) {
        self.state.lock().unwrap().is_moved = true;
        self.changed.notify_all();
    }

    fn is_unreachable(state: &StoreState, caller: usize, is_first: bool) -> bool {
        state.cut.contains(&caller) || (state.is_moved && is_first)
    }

    fn last_call(&self, caller: usize) -> Option<(u64, &'static str)> {
        let state = self.state.lock().unwrap();
        state.calls.iter().rev().find(|call| call.0 == caller).map(|call| (call.1, call.2))
    }

    /// Answers a caller at an address of its own; `is_first` until the store moves.
    fn serve(self: &Arc<Store>, address: SocketAddrV4, caller: usize, is_first: bool) {
        let listener = TcpListener::bind(address).expect("bind the store");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.connection(stream, caller, is_first));
            }
        });
    }

    fn connection(&self, stream: TcpStream, caller: usize, is_first: bool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let header = header.trim().to_ascii_lowercase();
                if let Some(text) = header.strip_prefix("content-length:") {
                    length = text.trim().parse().unwrap_or(0);
                }
                if header.is_empty() {
                    break;
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = line.split_whitespace();
            let (_, target) = (words.next(), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let answer = self.answer(caller, is_first, path, query, &body);
            sleep(STORE_MS);
            let Some((status, text)) = answer else { return };
            let response = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Response, or none if the connection is closed instead.
    fn answer(
        &self,
        caller: usize,
        is_first: bool,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Option<(u16, String)> {
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name);
            found.map(|pair| percent_decode(pair.1)).unwrap_or_default()
        };
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        let kind = match path {
            "/kv-watch" => "watch",
            "/kv-range" => "range",
            "/kv-key" => "key",
            _ => "txn",
        };
        let mut state = self.state.lock().unwrap();
        let now = self.record.now();
        if Store::is_unreachable(&state, caller, is_first) {
            state.calls.push((caller, now, "refused"));
            return None;
        }
        state.calls.push((caller, now, kind));
        Some(match path {
            "/kv-key" => match state.items.get(&parameter("key")) {
                Some(item) => {
                    let mut text = item_json(&parameter("key"), item);
                    text.pop();
                    let _ = write!(text, ",\"storeRevision\":{}}}", state.revision);
                    (200, text)
                }
                None => (404, format!("{{\"storeRevision\":{}}}", state.revision)),
            },
            "/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                if !after.is_empty()
                    && let Some((_, id)) = state.sweep_before_page.take_if(|sweep| sweep.0 == caller)
                {
                    self.expire_one(&mut state, &id);
                    self.changed.notify_all();
                }
                let found: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let text = found[..found.len().min(500)].join(",");
                let more = found.len() > 500;
                (200, format!("{{\"items\":[{text}],\"hasMore\":{more},\"storeRevision\":{}}}", state.revision))
            }
            "/kv-watch" => {
                let (after, wait_ms) = (number("after"), number("waitMs"));
                let deadline = now + wait_ms;
                state.waiting.push(caller);
                while state.revision <= after
                    && !Store::is_unreachable(&state, caller, is_first)
                    && self.record.now() < deadline
                {
                    let left = Duration::from_millis(deadline - self.record.now().min(deadline));
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                state.waiting.retain(|known| *known != caller);
                if Store::is_unreachable(&state, caller, is_first) {
                    return None;
                }
                state.answered.insert(caller, self.record.now());
                let events: Vec<String> = state
                    .history
                    .iter()
                    .filter(|(_, _, revision)| *revision > after)
                    .map(|(key, item, revision)| match item {
                        Some(item) => item_json(key, item),
                        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                    })
                    .collect();
                (200, format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), state.revision))
            }
            "/kv-txn" => {
                let text = String::from_utf8_lossy(body).into_owned();
                for write in text.split("\"key\":\"").skip(1) {
                    let key = write.split('"').next().unwrap_or("");
                    let value = write.split("\"value\":\"").nth(1).and_then(|rest| rest.split('"').next());
                    if let Some(value) = value {
                        Store::put(&mut state, key, &unbase64(value));
                    }
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            _ => (404, "{}".into()),
        })
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---- packets ----

#[derive(Clone)]
struct Packet {
    flags: u8,
    seq: u32,
    ack: u32,
    source: SocketAddrV4,
    target: SocketAddrV4,
    echo: u32,
    data: Vec<u8>,
}

impl Packet {
    /// Keyed sum of all fields but `echo` and `pad`.
    fn sum(&self) -> u32 {
        let mut sum = 0x6a09_e667u32;
        let mut add = |value: u32| sum = (sum ^ value).wrapping_mul(0x85eb_ca6b).rotate_left(13);
        add(u32::from(self.flags));
        add(self.seq);
        add(self.ack);
        for end in [self.source, self.target] {
            add(u32::from(*end.ip()));
            add(u32::from(end.port()));
        }
        self.data.iter().for_each(|byte| add(u32::from(*byte)));
        sum
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut out = vec![self.flags, 0, 0, 0, 0, 0];
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.source.port().to_be_bytes());
        out.extend(self.target.ip().octets());
        out.extend(self.source.ip().octets());
        out.extend(self.target.port().to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.sum().to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    fn from_bytes(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < 36 {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let packet = Packet {
            flags: bytes[0],
            seq: word(6),
            ack: word(10),
            source: SocketAddrV4::new(Ipv4Addr::from(word(20)), half(14)),
            target: SocketAddrV4::new(Ipv4Addr::from(word(16)), half(24)),
            echo: word(26),
            data: bytes[36..].to_vec(),
        };
        let is_valid = word(30) == packet.sum() || (packet.flags == RST && word(30) == 0);
        (is_valid && usize::from(half(34)) == packet.data.len()).then_some(packet)
    }
}

// ---- servers ----

/// Opening packet that a server took.
#[derive(Clone)]
struct Taken {
    server: usize,
    client: SocketAddrV4,
    route: SocketAddrV4,
    at: u64,
}

struct Server {
    id: String,
    entry: String,
    /// Whether its writes reach the store.
    reaches_store: AtomicBool,
    seq: AtomicU64,
}

fn start_server(
    index: usize,
    service: &str,
    address: SocketAddrV4,
    client_port: u16,
    store: &Arc<Store>,
    taken: &Arc<Mutex<Vec<Taken>>>,
) -> Arc<Server> {
    let id = format!("i-{:08x}", 0x5000 + index);
    let born = 1_780_000_000_000u64 + index as u64;
    let entry = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"pa\",\"version\":\"v1\",\"slots\":3,\
         \"state\":\"ready\",\"warmupLeftMs\":0,\"born\":{born}"
    );
    let server = Arc::new(Server { id, entry, reaches_store: AtomicBool::new(true), seq: AtomicU64::new(0) });
    let socket = UdpSocket::bind(address).expect("bind a server");
    let (me, store, taken) = (server.clone(), store.clone(), taken.clone());
    let beats = server.clone();
    let beat_store = store.clone();
    let store_is_empty = store.record.now() < 2_000;
    thread::spawn(move || {
        // The first write comes at once at a start during traffic.
        if store_is_empty {
            sleep(index as u64 * 67 % HEARTBEAT_MS);
        }
        loop {
            let seq = beats.seq.fetch_add(1, SeqCst) + 1;
            if beats.reaches_store.load(SeqCst) {
                let value = format!("{},\"seq\":{seq}}}", beats.entry);
                beat_store.heartbeat(&beats.id, value.as_bytes(), false);
            }
            sleep(HEARTBEAT_MS);
        }
    });
    thread::spawn(move || {
        let number = (0x5000 + index as u64).to_be_bytes();
        let mut flows: HashMap<SocketAddrV4, bool> = HashMap::new();
        let mut buffer = [0; 2048];
        while let Ok((length, _)) = socket.recv_from(&mut buffer) {
            if length < 8 || (buffer[..8] != number && buffer[..8] != [0; 8]) {
                continue;
            }
            let Some(packet) = Packet::from_bytes(&buffer[8..length]) else {
                store.record.note(format!("server {} got a packet with a wrong sum", me.id));
                continue;
            };
            let answer = |flags: u8, ack: u32, data: &[u8]| Packet {
                flags,
                seq: if flags & SYN != 0 { 7_000_000 } else { 7_000_001 },
                ack,
                source: packet.target,
                target: packet.source,
                echo: packet.echo,
                data: data.to_vec(),
            };
            let reply = if packet.flags == SYN {
                if flows.insert(packet.source, false).is_none() {
                    let at = store.record.now();
                    taken.lock().unwrap().push(Taken {
                        server: index,
                        client: packet.source,
                        route: packet.target,
                        at,
                    });
                }
                Some(answer(SYN | ACK, packet.seq.wrapping_add(1), &[]))
            } else if let Some(ran) = flows.get_mut(&packet.source) {
                if packet.data.is_empty() {
                    // The client's FIN gets an ACK.
                    (packet.flags & FIN != 0).then(|| answer(ACK, packet.seq.wrapping_add(1), &[]))
                } else {
                    *ran = true;
                    let ack = packet.seq.wrapping_add(packet.data.len() as u32);
                    Some(answer(ACK | FIN, ack, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"))
                }
            } else {
                Some(answer(RST, 0, &[]))
            };
            if let Some(reply) = reply {
                let to = SocketAddrV4::new(*packet.source.ip(), client_port);
                let _ = socket.send_to(&reply.to_bytes(), to);
            }
        }
    });
    server
}

// ---- clients ----

/// Opening packet that a client sent.
#[derive(Clone)]
struct Sent {
    client: SocketAddrV4,
    route: SocketAddrV4,
    instance: usize,
    at: u64,
    is_open: bool,
    answer: String,
}

/// Times of the copies of an opening packet, and the end of the attempt, in milliseconds.
const COPIES_MS: [u64; 2] = [200, 600];
const ATTEMPT_MS: u64 = 1_400;

struct Clients {
    socket: UdpSocket,
    ip: Ipv4Addr,
    record: Arc<Record>,
    next_port: Mutex<u16>,
    sent: Mutex<HashMap<SocketAddrV4, Sent>>,
    /// Flows that are not open yet, and the copies sent for each.
    opening: Mutex<Vec<(SocketAddrV4, u32)>>,
}

impl Clients {
    /// Opens a flow through an instance.
    fn open(&self, route: SocketAddrV4, instance: usize, at: SocketAddrV4) {
        let mut port = self.next_port.lock().unwrap();
        *port = if *port >= 60_000 { 2_000 } else { *port + 1 };
        let client = SocketAddrV4::new(self.ip, *port);
        drop(port);
        let at_ms = self.record.now();
        let sent = Sent { client, route, instance, at: at_ms, is_open: false, answer: String::new() };
        self.sent.lock().unwrap().insert(client, sent);
        self.opening.lock().unwrap().push((client, 0));
        self.send_opening(client, route, 0, at);
    }

    fn send_opening(&self, client: SocketAddrV4, route: SocketAddrV4, copy: u32, at: SocketAddrV4) {
        let packet =
            Packet { flags: SYN, seq: 100, ack: copy, source: client, target: route, echo: 0, data: Vec::new() };
        let _ = self.socket.send_to(&packet.to_bytes(), at);
    }

    /// Sends the copies of opening packets that were not answered.
    fn send_copies(&self, instances: &[SocketAddrV4]) {
        let now = self.record.now();
        let flows = self.sent.lock().unwrap();
        self.opening.lock().unwrap().retain_mut(|(client, copies)| {
            let Some(flow) = flows.get(client).filter(|flow| !flow.is_open && flow.answer.is_empty()) else {
                return false;
            };
            if COPIES_MS.get(*copies as usize).is_some_and(|at| now >= flow.at + at) {
                *copies += 1;
                self.send_opening(*client, flow.route, *copies, instances[flow.instance]);
            }
            now < flow.at + ATTEMPT_MS
        });
    }

    /// Receives answers and goes on with the flows, through the instance that they began at.
    fn run(self: &Arc<Clients>, instances: Vec<SocketAddrV4>) {
        let (me, copying, addresses) = (self.clone(), self.clone(), instances.clone());
        thread::spawn(move || loop {
            copying.send_copies(&addresses);
            sleep(10);
        });
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((length, _)) = me.socket.recv_from(&mut buffer) {
                let Some(packet) = Packet::from_bytes(&buffer[..length]) else { continue };
                let mut flows = me.sent.lock().unwrap();
                let Some(flow) = flows.get_mut(&packet.target) else { continue };
                let next = |flags: u8, seq: u32, data: &[u8]| Packet {
                    flags,
                    seq,
                    ack: packet.seq.wrapping_add(1 + packet.data.len() as u32),
                    source: flow.client,
                    target: flow.route,
                    echo: packet.echo,
                    data: data.to_vec(),
                };
                let reply = if packet.flags & RST != 0 {
                    // On an open flow, resets are valid only near the client's last `ack`.
                    if !flow.is_open || packet.seq.wrapping_sub(7_000_001).wrapping_add(76_800) <= 153_600 {
                        flow.answer = "reset".into();
                    }
                    continue;
                } else if packet.flags & SYN != 0 {
                    flow.is_open = true;
                    next(ACK, 101, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                } else if packet.data.is_empty() {
                    continue;
                } else {
                    flow.answer = "200".into();
                    next(ACK | FIN, 128, &[])
                };
                let _ = me.socket.send_to(&reply.to_bytes(), instances[flow.instance]);
            }
        });
    }
}

// ---- instances and the site ----

struct Instance {
    name: String,
    zone: &'static str,
    settings: PathBuf,
    packets: SocketAddrV4,
    ready: SocketAddrV4,
    store_address: SocketAddrV4,
    /// Address of the store after it has moved.
    moved_address: SocketAddrV4,
    child: Option<Child>,
}

impl Instance {
    fn start(&mut self, log: &Path) {
        let log = fs::OpenOptions::new().append(true).create(true).open(log).expect("open a log");
        let child = Command::new("target/release/ragwortlbd")
            .arg("--platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("RAGWORTLB_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share a log"))
            .stderr(log)
            .spawn()
            .expect("start an instance");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh").args(["-c", &format!("kill -{name} {}", child.id())]).status();
        }
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(300);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready.into(), limit) else { return false };
        let _ = stream.set_read_timeout(Some(limit));
        let request = format!("GET /ready HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", self.ready);
        let mut head = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut head).is_ok()
            && &head[9..12] == b"200"
    }
}

struct Site {
    net: u8,
    server_port: u16,
    record: Arc<Record>,
    store: Arc<Store>,
    servers: Vec<Arc<Server>>,
    server_count: usize,
    taken: Arc<Mutex<Vec<Taken>>>,
    clients: Arc<Clients>,
    instances: Vec<Instance>,
    folder: PathBuf,
    has_trouble: bool,
}

fn server_address(net: u8, index: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, net, 4 + (index / 200) as u8, 10 + (index % 200) as u8), port)
}

impl Drop for Site {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.end();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_ports(ip: Ipv4Addr) -> [u16; 6] {
    loop {
        let holders: Vec<TcpListener> = (0..6).filter_map(|_| TcpListener::bind((ip, 0)).ok()).collect();
        let ports: Vec<u16> = holders.iter().filter_map(|held| held.local_addr().ok()).map(|at| at.port()).collect();
        // The snapshot port of an instance is the one after its first internal port.
        if ports.len() == 6 && !ports.contains(&(ports[2] + 1)) && ports[2] < 65_000 {
            return [ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]];
        }
    }
}

fn config(version: u64, has_second_route: bool) -> String {
    let route = |name: &str, port: u16| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"198.18.0.1\",\"prefix\":\"/{port}/\",\"type\":\"idempotent\",\
             \"timeoutMs\":1500,\"targetLatencyMs\":250,\"priority\":2,\"service\":\"matching\",\"maxAttempts\":2}}"
        )
    };
    let mut routes = vec![route("r-one", ROUTE.port())];
    if has_second_route {
        routes.push(route("r-two", DROPPED_ROUTE.port()));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"matching\",\"healthPath\":\"/health\",\
         \"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"documents\",\"healthPath\":\"/health\",\
         \"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

impl Site {
    /// Starts the platform, the servers and the instances, one for each name of a zone.
    fn start(record: Arc<Record>, zones: &[&'static str], documents: usize, has_seeds: bool) -> Site {
        let server_count = documents + MATCHING_SERVERS;
        let net = 16 + (std::process::id() % 200) as u8;
        let at = |third: u8, host: u8, port: u16| SocketAddrV4::new(Ipv4Addr::new(127, net, third, host), port);
        let [packet_port, ready_port, gossip_port, store_port, server_port, second_store_port] =
            free_ports(Ipv4Addr::new(127, net, 0, 1));
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("create a temporary folder");
        let store = Arc::new(Store {
            record: record.clone(),
            state: Mutex::new(StoreState { revision: 1, is_sweeping: true, ..StoreState::default() }),
            changed: Condvar::new(),
        });
        store.write("op/config", config(1, true).as_bytes());
        let taken = Arc::new(Mutex::new(Vec::new()));
        let servers: Vec<Arc<Server>> = (0..server_count)
            .map(|index| {
                // Keys are in the order of numbers: the servers of `matching` come last.
                let service = if index < documents { "documents" } else { "matching" };
                let address = server_address(net, index, server_port);
                start_server(index, service, address, packet_port, &store, &taken)
            })
            .collect();
        // Without seeds, those of the settings are of machines that have been replaced.
        let first_seed = if has_seeds { 10 } else { 200 };
        let seeds: Vec<String> = (0..3).map(|index| at(0, first_seed + index, ready_port - 1).to_string()).collect();
        let instances: Vec<Instance> = zones
            .iter()
            .enumerate()
            .map(|(index, zone)| {
                let host = 10 + index as u8;
                let name = format!("edge-{zone}-{}", index + 1);
                // Each machine has its own path to the store.
                let store_address = at(1, host, store_port);
                let moved_address = at(1, host, second_store_port);
                store.serve(store_address, index, true);
                store.serve(moved_address, index, false);
                let (packets, ready) = (at(0, host, packet_port), at(0, host, ready_port));
                let text = format!(
                    "nodeName={name}\nrole=instance\nmachineClass=edge\nserves=edge,control\nip={ip}\nzone={zone}\n\
                     region=sicilia\nzones.pa=sicilia\nzones.ct=sicilia\nzones.me=sicilia\nlisten.datagramAddr={packets}\nlisten.ready={ready}\n\
                     listen.control={control}\ninternalPorts={gossip_port},{last}\nseeds={seeds}\nbootstrap=true\n\
                     limits.cpuShare=0.055\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
                     limits.linkMbps=1000.0\ndiscovery=platform\nentry=announce\nheartbeatMs={HEARTBEAT_MS}\n\
                     contracts=base,drain,config,cost,recover,flows,platform\nbounds.seedLagS=3\n\
                     bounds.reuseAfterS=2\nbounds.stableWindowMs={STABLE_WINDOW_MS}\nbounds.ackMs=5000\n\
                     bounds.catchUpS=4\nbounds.drainMs={DRAIN_MS}\nbounds.graceS=6\nbounds.lossSlackMs=200\n\
                     bounds.configApplyMs={CONFIG_APPLY_MS}\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=12000\n\
                     bounds.recoveryS=12\nbounds.reorderMs=2000\nbounds.maxFlowS=60\nhash=mod\nencap=echo\n\
                     platform.address={store_address}\nplatform.encap=kv\nplatform.writesPerS=400\n\
                     platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n\
                     platform.minTtlMs=1000\n",
                    ip = packets.ip(),
                    control = at(0, host, ready_port - 1),
                    last = gossip_port + 15,
                    seeds = seeds.join(","),
                );
                let settings = folder.join(format!("{name}.conf"));
                fs::write(&settings, text).expect("write settings");
                Instance { name, zone, settings, packets, ready, store_address, moved_address, child: None }
            })
            .collect();
        let clients = Arc::new(Clients {
            socket: UdpSocket::bind(at(3, 1, packet_port)).expect("bind the clients"),
            ip: *at(3, 1, 0).ip(),
            record: record.clone(),
            next_port: Mutex::new(2_000),
            sent: Mutex::new(HashMap::new()),
            opening: Mutex::default(),
        });
        clients.run(instances.iter().map(|instance| instance.packets).collect());
        let expiring = store.clone();
        thread::spawn(move || loop {
            expiring.expire();
            sleep(2);
        });
        let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        let mut site = Site { net, server_port, record, store, servers, server_count, taken, clients, instances, folder, has_trouble };
        for index in 0..site.instances.len() {
            site.restart(index);
        }
        site
    }

    fn now(&self) -> u64 {
        self.record.now()
    }

    fn note(&self, text: impl Into<String>) {
        self.record.note(text.into());
    }

    fn restart(&mut self, index: usize) {
        let log = self.folder.join(format!("{}.log", self.instances[index].name));
        self.instances[index].start(&log);
        self.note(format!("started {}", self.instances[index].name));
    }

    fn wait_until(&self, limit_ms: u64, what: &str, mut is_met: impl FnMut() -> bool) {
        let started = self.now();
        while !is_met() {
            if self.now() - started > limit_ms {
                self.note(format!("gave up waiting: {what}"));
                self.finish(2);
            }
            sleep(1);
        }
    }

    fn wait_ready(&self) {
        let is_ready = || self.instances.iter().all(Instance::is_ready);
        self.wait_until(10_000, "instances are ready", is_ready);
        self.note("all instances are ready");
    }

    /// Starts a further server, which registers.
    fn add_server(&mut self) {
        let index = self.servers.len();
        let address = server_address(self.net, index, self.server_port);
        let packet_port = self.instances[0].packets.port();
        let server = start_server(index, "matching", address, packet_port, &self.store, &self.taken);
        self.note(format!("server {} starts", server.id));
        self.servers.push(server);
    }

    /// Waits until one instance of zone `pa` alone calls the store, and returns it.
    fn reader(&self) -> usize {
        sleep(3_000);
        let since = self.now();
        sleep(2_500);
        let state = self.store.state.lock().unwrap();
        let mut counts = vec![0; self.instances.len()];
        for call in state.calls.iter().filter(|call| call.1 > since) {
            counts[call.0] += 1;
        }
        drop(state);
        let in_zone = (0..counts.len()).filter(|index| self.instances[*index].zone == "pa");
        let reader = in_zone.max_by_key(|index| counts[*index]).unwrap();
        self.note(format!("store reader is {} (calls {counts:?})", self.instances[reader].name));
        reader
    }

    /// Instances of zone `pa` but one.
    fn others_of_zone(&self, reader: usize) -> Vec<usize> {
        let in_zone = |index: &usize| self.instances[*index].zone == "pa" && *index != reader;
        (0..self.instances.len()).filter(in_zone).collect()
    }

    /// Clients open a flow at each of these instances in turn, each 5 ms, until a time.
    fn clients_until(&self, until: u64, routes: &[SocketAddrV4], through: &[usize]) {
        let mut turn = 0;
        while self.now() < until {
            let instance = through[turn % through.len()];
            let route = routes[turn / through.len() % routes.len()];
            self.clients.open(route, instance, self.instances[instance].packets);
            turn += 1;
            sleep(5);
        }
    }

    /// Writes the record and ends the program.
    fn finish(&self, status: i32) -> ! {
        let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".into());
        let mut lines: Vec<(u64, String)> = std::mem::take(&mut *self.record.lines.lock().unwrap());
        let sent = self.clients.sent.lock().unwrap();
        for flow in sent.values() {
            let Sent { client, route, instance, at, answer, .. } = flow;
            let answer = if answer.is_empty() { "none" } else { answer };
            let name = &self.instances[*instance].name;
            lines.push((*at, format!("client {client} sent SYN for {route} through {name}; answer {answer}")));
        }
        for Taken { server, client, route, at } in self.taken.lock().unwrap().iter() {
            lines.push((*at, format!("server {} took SYN of {client} for {route}", self.servers[*server].id)));
        }
        lines.sort();
        let mut text: String = lines.iter().map(|(at, line)| format!("{at:>7} ms  {line}\n")).collect();
        if std::env::var("LOGS").is_ok() {
            for instance in &self.instances {
                let log = fs::read_to_string(self.folder.join(format!("{}.log", instance.name)));
                let _ = write!(text, "== {}\n{}", instance.name, log.unwrap_or_default());
            }
        }
        if fs::write(&path, text).is_err() {
            eprintln!("cannot write {path}");
        }
        for instance in &self.instances {
            instance.signal("KILL");
        }
        let _ = fs::remove_dir_all(&self.folder);
        println!("exit {status}");
        std::process::exit(status);
    }
}

/// DRAIN: the entry of a server is gone, and instances in touch keep sending it new flows.
fn stays(mut site: Site) -> ! {
    site.wait_ready();
    let reader = site.reader();
    let others = site.others_of_zone(reader);
    let server = site.server_count - 1;
    let id = site.servers[server].id.clone();
    if site.has_trouble {
        site.note(format!("{id} loses its path to the store; clients and instances still reach it"));
        site.servers[server].reaches_store.store(false, SeqCst);
        // The store sweeps silent entries at times of its own, never before three heartbeats.
        site.store.state.lock().unwrap().is_sweeping = false;
        let due = site.store.state.lock().unwrap().heard[&id] + EXPIRY_MS;
        site.store.set_cut(reader, true);
        let cut_at = site.now();
        site.note(format!("{} loses its path to the store (connections are reset)", site.instances[reader].name));
        site.clients_until(due.max(cut_at + 4_000), &[ROUTE], &others);
        site.store.set_cut(reader, false);
        let healed_at = site.now();
        let cut_ms = healed_at - cut_at;
        site.note(format!("{} reaches the store again, after {cut_ms} ms", site.instances[reader].name));
        let has_read = || {
            let state = site.store.state.lock().unwrap();
            state.answered.get(&reader).is_some_and(|at| *at > healed_at) && state.waiting.contains(&reader)
        };
        site.wait_until(3_000, "the store reader has read and watches again", has_read);
        sleep(50);
        site.store.state.lock().unwrap().is_sweeping = true;
        sleep(150);
        site.instances[reader].end();
        site.note(format!("killed {}", site.instances[reader].name));
        let until = site.now() + 850;
        site.clients_until(until, &[ROUTE], &others);
    }
    site.add_server();
    let until = site.now() + 2_600;
    site.clients_until(until, &[ROUTE], &others);
    if site.has_trouble {
        site.restart(reader);
    }
    let until = site.now() + 6_000;
    site.clients_until(until, &[ROUTE], &others);
    sleep(500);
    late_at_gone(&site, &others)
}

/// Checks DRAIN as it is written: sent and taken later than drainMs after the removal, through
/// instances that nothing happened to, while the store was stable.
fn late_at_gone(site: &Site, through: &[usize]) -> ! {
    let gone = site.store.state.lock().unwrap().gone.clone();
    let mut late = Vec::new();
    let sent = site.clients.sent.lock().unwrap().clone();
    for taken in site.taken.lock().unwrap().iter() {
        let id = &site.servers[taken.server].id;
        let removed = gone.iter().find(|(gone_id, _)| gone_id == id).map(|found| found.1);
        let Some(flow) = sent.get(&taken.client) else { continue };
        if removed.is_some_and(|removed| flow.at > removed + DRAIN_MS && taken.at > removed + DRAIN_MS)
            && through.contains(&flow.instance)
        {
            late.push(taken.at - removed.unwrap_or(0));
        }
    }
    drop(sent);
    let last = late.iter().max().copied().unwrap_or(0);
    site.note(format!(
        "DRAIN: {} opening packets taken by a server more than {DRAIN_MS} ms after its entry was removed, the \
         last one after {last} ms",
        late.len()
    ));
    println!("late opening packets: {}, last {last} ms after the removal", late.len());
    site.finish(i32::from(!late.is_empty()))
}

/// DRAIN: a removal that comes between two pages of a store reader's first read is never passed on.
fn pages(mut site: Site) -> ! {
    site.wait_ready();
    let reader = site.reader();
    let others = site.others_of_zone(reader);
    let server = site.server_count - 1;
    let id = site.servers[server].id.clone();
    if site.has_trouble {
        site.note(format!("{id} loses its path to the store; clients and instances still reach it"));
        site.servers[server].reaches_store.store(false, SeqCst);
        site.store.state.lock().unwrap().is_sweeping = false;
        let due = site.store.state.lock().unwrap().heard[&id] + EXPIRY_MS;
        site.clients_until(due - 2_000, &[ROUTE], &others);
        site.instances[reader].end();
        site.note(format!("killed {}", site.instances[reader].name));
        site.clients_until(due + 500, &[ROUTE], &others);
        // Another instance reads in its place; a change ends its watch, and it pauses.
        let is_waiting = || {
            let state = site.store.state.lock().unwrap();
            others.iter().any(|index| state.waiting.contains(index))
        };
        site.wait_until(4_000, "no instance of the zone watches the store", || !is_waiting());
        site.wait_until(4_000, "an instance of the zone watches the store", is_waiting);
    }
    site.store.write("op/config", config(2, true).as_bytes());
    site.note("configuration 2 acknowledged: the same routes");
    if site.has_trouble {
        site.store.state.lock().unwrap().sweep_before_page = Some((reader, id));
        site.restart(reader);
        sleep(500);
        site.store.state.lock().unwrap().is_sweeping = true;
    }
    let until = site.now() + 25_000;
    site.clients_until(until, &[ROUTE], &others);
    sleep(500);
    late_at_gone(&site, &others)
}

/// Counts flows on the dropped route that servers took too late, through some instances.
fn late_on_dropped(site: &Site, acked: u64, through: &[usize]) -> ! {
    let sent = site.clients.sent.lock().unwrap().clone();
    let mut late = Vec::new();
    for taken in site.taken.lock().unwrap().iter().filter(|taken| taken.route == DROPPED_ROUTE) {
        let Some(flow) = sent.get(&taken.client) else { continue };
        if flow.at > acked + CONFIG_APPLY_MS && through.contains(&flow.instance) {
            late.push(flow.at - acked);
        }
    }
    let last = late.iter().max().copied().unwrap_or(0);
    site.note(format!(
        "CONFIG: {} flows were opened at servers on the dropped route more than {CONFIG_APPLY_MS} ms after the \
         acknowledgement, the last one {last} ms after it",
        late.len()
    ));
    println!("late flows on the dropped route: {}, last {last} ms after the acknowledgement", late.len());
    drop(sent);
    site.finish(i32::from(!late.is_empty()))
}

/// CONFIG: the settings files name another address of the store, and no instance uses it.
fn moved(site: Site) -> ! {
    site.wait_ready();
    let all: Vec<usize> = (0..site.instances.len()).collect();
    let until = site.now() + 3_000;
    site.clients_until(until, &[ROUTE, DROPPED_ROUTE], &all);
    if site.has_trouble {
        site.note("the store answers at a second address too, and the settings files name that one");
        for instance in &site.instances {
            let text = fs::read_to_string(&instance.settings).expect("read settings");
            let (old, new) = (instance.store_address.to_string(), instance.moved_address.to_string());
            let part = instance.settings.with_extension("new");
            fs::write(&part, text.replace(&old, &new)).expect("write settings");
            fs::rename(&part, &instance.settings).expect("replace settings");
            instance.signal("HUP");
            site.note(format!("settings of {} changed, SIGHUP sent", instance.name));
            sleep(100);
        }
        // Both addresses work for a while, so that no machine loses the store.
        let until = site.now() + 10_000;
        site.clients_until(until, &[ROUTE, DROPPED_ROUTE], &all);
        site.store.leave_first_address();
        site.note("the store has left its first address");
    }
    let until = site.now() + STABLE_WINDOW_MS + 2_000;
    site.clients_until(until, &[ROUTE, DROPPED_ROUTE], &all);
    site.store.write("op/config", config(2, false).as_bytes());
    let acked = site.now();
    site.note("configuration 2 acknowledged: one route is dropped");
    site.clients_until(acked + 10_000, &[ROUTE, DROPPED_ROUTE], &all);
    sleep(500);
    late_on_dropped(&site, acked, &all)
}

/// CONFIG: a route is dropped, and instances in touch keep opening flows on it.
fn fetch(site: Site) -> ! {
    site.wait_ready();
    let reader = site.reader();
    let others = site.others_of_zone(reader);
    let until = site.now() + 1_000;
    site.clients_until(until, &[ROUTE, DROPPED_ROUTE], &others);
    // A change that ends the watch of the store reader, and the one that matters just after it.
    let (called_at, _) = site.store.last_call(reader).unwrap_or_default();
    site.wait_until(3_000, "the store reader calls", || {
        site.store.last_call(reader).is_some_and(|call| call.0 > called_at)
    });
    let watch_at = site.store.last_call(reader).unwrap_or_default().0;
    sleep(10);
    site.store.write("op/config", config(2, true).as_bytes());
    site.note("configuration 2 acknowledged: a changed version, the same routes");
    sleep(30);
    site.store.write("op/config", config(3, false).as_bytes());
    let acked = site.now();
    site.note("configuration 3 acknowledged: one route is dropped");
    if site.has_trouble {
        site.wait_until(2_000, "the store reader reads configuration 3", || {
            site.store.last_call(reader).is_some_and(|call| call.0 > watch_at)
        });
        sleep(100);
        site.instances[reader].signal("STOP");
        site.note(format!("froze {}", site.instances[reader].name));
    }
    let frozen_at = site.now();
    site.clients_until(frozen_at + 3_500, &[ROUTE, DROPPED_ROUTE], &others);
    if site.has_trouble {
        site.instances[reader].signal("CONT");
        site.note(format!("{} goes on", site.instances[reader].name));
    }
    site.clients_until(acked + 6_000, &[ROUTE, DROPPED_ROUTE], &others);
    sleep(500);
    late_on_dropped(&site, acked, &others)
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    if !Path::new("target/release/ragwortlbd").exists() {
        eprintln!("target/release/ragwortlbd is missing: run the build of the deploy file first");
        std::process::exit(2);
    }
    let record = Arc::new(Record { start: Instant::now(), lines: Mutex::default() });
    thread::spawn(|| {
        sleep(CASE_LIMIT_MS);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
        }
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
    // A panic of the main thread is a case that could not run; the site ends its processes.
    let result = std::panic::catch_unwind(move || match case.as_str() {
        // Nine instances, and more servers than a page of the store holds.
        "pages" => pages(Site::start(record, &["pa", "pa", "pa", "pa", "pa", "ct", "ct", "me", "me"], 505, false)),
        // The zones of sites/nidosicuro-lb.toml.
        "moved" => moved(Site::start(record, &["pa", "pa", "pa", "ct", "ct", "me", "me"], 0, true)),
        "fetch" => fetch(Site::start(record, &["pa", "pa", "pa", "ct", "ct", "me", "me"], 0, true)),
        "stays" => stays(Site::start(record, &["pa", "pa", "pa", "pa", "pa", "ct", "ct", "me", "me"], 0, true)),
        _ => eprintln!("unknown case {case:?}"),
    });
    drop(result);
    std::process::exit(2);
}
