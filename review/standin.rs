//! Stand-ins for the platform, written with the standard library alone: the store, servers,
//! clients, and machines that run the deploy file's command. They follow PROTOCOL.md and
//! DEPLOY.md. Each case includes this file with `#[path]`.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Command of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/ragwortlbd";
const PROGRAM_ARGUMENT: &str = "--platform";

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Time after which a case ends as one that cannot run.
const LIMIT: Duration = Duration::from_secs(115);

/// Running processes that this case has started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Whether the disruption is played. `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set").as_millis() as u64
}

/// Writes `record.txt`, with seconds since the start in front of each line.
pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create() -> Arc<Record> {
        let path = std::env::args().nth(1).expect("the path of the record is the first argument");
        let file = fs::File::create(&path).unwrap_or_else(|error| stop(&format!("{path}: {error}")));
        spawn(|| {
            sleep(LIMIT);
            stop("the time is over");
        });
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    /// Seconds from the start to a moment.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.started.elapsed().as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.started.elapsed().as_secs_f64());
    }
}

/// Sends a signal to a process that this case has started, by the shell's own command.
fn send_signal(signal: &str, id: u32) {
    let _ = Command::new("sh").args(["-c", &format!("kill -s {signal} {id}")]).status();
}

/// Ends a case that cannot run, with all processes that it started.
pub fn stop(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    for id in PROCESSES.lock().unwrap().iter() {
        send_signal("KILL", *id);
    }
    std::process::exit(CANNOT_RUN)
}

/// Loopback network of this run, and ports that are free in it.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub second: u8,
    pub packets: u16,
    pub ready: u16,
    pub inner: u16,
    pub server: u16,
}

impl Net {
    pub fn pick() -> Net {
        let second = 20 + (std::process::id() % 200) as u8;
        let host = Ipv4Addr::new(127, second, 0, 1);
        let free = |count: u16| -> u16 {
            for _ in 0..200 {
                let Ok(first) = TcpListener::bind((host, 0)) else { continue };
                let port = first.local_addr().map_or(0, |address| address.port());
                if port < 20_000 || port > 60_000 {
                    continue;
                }
                let others: Vec<_> = (1..count).map(|next| TcpListener::bind((host, port + next))).collect();
                if others.iter().all(Result::is_ok) && UdpSocket::bind((host, port)).is_ok() {
                    return port;
                }
            }
            stop("no free ports")
        };
        Net { second, packets: free(1), ready: free(1), inner: free(8), server: free(1) }
    }

    pub fn ip(&self, third: u8, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, third, host)
    }
}

// ---------------------------------------------------------------------------------------
// JSON and base64, as far as the store needs them.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.as_bytes();
        Json::value(&mut rest)
    }

    fn space(rest: &mut &[u8]) {
        while rest.first().is_some_and(u8::is_ascii_whitespace) {
            *rest = &rest[1..];
        }
    }

    fn value(rest: &mut &[u8]) -> Option<Json> {
        Json::space(rest);
        match *rest.first()? {
            b'{' => Json::table(rest),
            b'[' => Json::list(rest),
            b'"' => Json::text(rest).map(Json::Text),
            b't' => Json::word(rest, "true", Json::Bool(true)),
            b'f' => Json::word(rest, "false", Json::Bool(false)),
            b'n' => Json::word(rest, "null", Json::Null),
            _ => {
                let is_part = |byte: &u8| b"+-.eE0123456789".contains(byte);
                let length = rest.iter().take_while(|byte| is_part(byte)).count();
                let number = std::str::from_utf8(&rest[..length]).ok()?.parse().ok()?;
                *rest = &rest[length..];
                Some(Json::Number(number))
            }
        }
    }

    fn word(rest: &mut &[u8], word: &str, value: Json) -> Option<Json> {
        *rest = rest.strip_prefix(word.as_bytes())?;
        Some(value)
    }

    fn text(rest: &mut &[u8]) -> Option<String> {
        let mut out = Vec::new();
        *rest = rest.strip_prefix(b"\"")?;
        loop {
            let byte = *rest.first()?;
            *rest = &rest[1..];
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *rest.first()?;
                    *rest = &rest[1..];
                    out.push(if escaped == b'n' { b'\n' } else { escaped });
                }
                byte => out.push(byte),
            }
        }
    }

    fn list(rest: &mut &[u8]) -> Option<Json> {
        *rest = rest.strip_prefix(b"[")?;
        let mut items = Vec::new();
        loop {
            Json::space(rest);
            match rest.first()? {
                b']' => {
                    *rest = &rest[1..];
                    return Some(Json::List(items));
                }
                b',' => *rest = &rest[1..],
                _ => items.push(Json::value(rest)?),
            }
        }
    }

    fn table(rest: &mut &[u8]) -> Option<Json> {
        *rest = rest.strip_prefix(b"{")?;
        let mut items = Vec::new();
        loop {
            Json::space(rest);
            match rest.first()? {
                b'}' => {
                    *rest = &rest[1..];
                    return Some(Json::Table(items));
                }
                b',' => *rest = &rest[1..],
                _ => {
                    let key = Json::text(rest)?;
                    Json::space(rest);
                    *rest = rest.strip_prefix(b":")?;
                    items.push((key, Json::value(rest)?));
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(items) => items.iter().find(|item| item.0 == key).map_or(&Json::Null, |item| &item.1),
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn str(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let is_used = at <= chunk.len();
            let index = (bits >> (18 - 6 * at)) as usize & 63;
            out.push(if is_used { BASE64[index] as char } else { '=' });
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let value = BASE64.iter().position(|known| *known == byte).unwrap_or(0) as u32;
        bits = bits << 6 | value;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------------------------------
// The platform's store.

#[derive(Clone, Debug)]
struct Item {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

impl Item {
    fn to_json(&self) -> String {
        match &self.value {
            Some(value) => format!(
                r#"{{"key":"{}","value":"{}","revision":{},"created":{},"lease":0}}"#,
                self.key,
                base64(value),
                self.revision,
                self.created
            ),
            None => format!(r#"{{"key":"{}","revision":{},"deleted":true}}"#, self.key, self.revision),
        }
    }
}

#[derive(Debug, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
    revision: u64,
    /// Revision up to which the history has been discarded.
    discarded: u64,
}

impl Content {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { key: key.into(), value, revision: self.revision, created };
        match item.value {
            Some(_) => self.items.insert(key.into(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push(item);
    }
}

/// How the store treats the machine at one of its doors.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    #[default]
    Serves,
    /// It answers 503 and does nothing.
    Busy,
    /// It never answers.
    Silent,
}

/// One address of the store for each machine, so that it can turn one away.
#[derive(Debug)]
pub struct Door {
    pub address: SocketAddrV4,
    mood: Mutex<Mood>,
    /// Last call that read or watched the keys.
    read_at: Mutex<Option<Instant>>,
    /// Last answer to a watch that held the configuration.
    config_at: Mutex<Option<Instant>>,
}

impl Door {
    pub fn set_mood(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    /// When the machine at this door last asked for the list of servers.
    pub fn read_at(&self) -> Option<Instant> {
        *self.read_at.lock().unwrap()
    }

    /// When the machine at this door was last told of a configuration.
    pub fn config_at(&self) -> Option<Instant> {
        *self.config_at.lock().unwrap()
    }
}

/// Most items and bytes in a page; a larger item has one of its own.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Time that the store takes for an answer.
const STORE_ANSWER: Duration = Duration::from_millis(4);

#[derive(Debug, Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Store> {
        let store = Store::default();
        store.content.lock().unwrap().revision = 1;
        Arc::new(store)
    }

    /// Opens an address of the store for a machine.
    pub fn door(self: &Arc<Store>, ip: Ipv4Addr) -> Arc<Door> {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|error| stop(&error.to_string()));
        let Ok(SocketAddr::V4(address)) = listener.local_addr() else { stop("no address for the store") };
        let door = Arc::new(Door {
            address,
            mood: Mutex::default(),
            read_at: Mutex::default(),
            config_at: Mutex::default(),
        });
        let (store, answering) = (self.clone(), door.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), answering.clone());
                spawn(move || store.serve(stream, &door));
            }
        });
        door
    }

    /// Writes a key, or removes it without a value. Returns the revision.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let mut content = self.content.lock().unwrap();
        content.write(key, value.map(|text| text.as_bytes().to_vec()));
        self.changed.notify_all();
        content.revision
    }

    /// Writes several keys at one moment, each at its own revision.
    pub fn write_all(&self, writes: &[(String, Option<String>)]) -> u64 {
        let mut content = self.content.lock().unwrap();
        for (key, value) in writes {
            content.write(key, value.as_ref().map(|text| text.as_bytes().to_vec()));
        }
        self.changed.notify_all();
        content.revision
    }

    /// Discards the history.
    pub fn discard_history(&self) {
        let mut content = self.content.lock().unwrap();
        content.discarded = content.revision;
        content.history.clear();
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, door: &Door) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some((method, target, body)) = read_request(&mut reader) {
            let mood = *door.mood.lock().unwrap();
            sleep(STORE_ANSWER);
            let (status, answer) = match mood {
                Mood::Serves => self.answer(&method, &target, &body, door),
                Mood::Busy => (503, "{}".into()),
                Mood::Silent => {
                    while *door.mood.lock().unwrap() == Mood::Silent {
                        sleep(ms(10));
                    }
                    // A connection on which an answer was lost returns nothing further.
                    return;
                }
            };
            if *door.mood.lock().unwrap() == Mood::Silent {
                continue;
            }
            if answer.contains("\"op/config\"") {
                *door.config_at.lock().unwrap() = Some(Instant::now());
            }
            let head = format!(
                "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            if out.write_all(format!("{head}{answer}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str, door: &Door) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name: &str| pairs.get(name).map_or("", String::as_str);
        match (method, path) {
            ("GET", "/kv-key") => self.key(text("key")),
            ("GET", "/kv-range") => {
                *door.read_at.lock().unwrap() = Some(Instant::now());
                self.range(text("prefix"), text("after"))
            }
            ("GET", "/kv-watch") => {
                *door.read_at.lock().unwrap() = Some(Instant::now());
                let wait = ms(text("waitMs").parse().unwrap_or(0));
                self.watch(text("prefix"), text("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/kv-txn") => self.transact(body),
            _ => (404, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let content = self.content.lock().unwrap();
        let revision = content.revision;
        match content.items.get(key) {
            Some(item) => {
                let json = item.to_json();
                (200, format!(r#"{},"storeRevision":{revision}}}"#, json.trim_end_matches('}')))
            }
            None => (404, format!(r#"{{"storeRevision":{revision}}}"#)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let content = self.content.lock().unwrap();
        let found = content.items.values().filter(|item| item.key.starts_with(prefix) && *item.key > *after);
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for item in found {
            let json = item.to_json();
            bytes += json.len();
            has_more = !items.is_empty() && (items.len() == PAGE_ITEMS || bytes > PAGE_BYTES);
            if has_more {
                break;
            }
            items.push(json);
        }
        let (items, revision) = (items.join(","), content.revision);
        (200, format!(r#"{{"items":[{items}],"hasMore":{has_more},"storeRevision":{revision}}}"#))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let started = Instant::now();
        let mut content = self.content.lock().unwrap();
        loop {
            if after < content.discarded {
                return (410, "{}".into());
            }
            let is_new = |item: &&Item| item.revision > after && item.key.starts_with(prefix);
            let events: Vec<String> = content.history.iter().filter(is_new).map(Item::to_json).collect();
            let left = wait.saturating_sub(started.elapsed());
            if !events.is_empty() || left.is_zero() {
                let revision = content.revision;
                return (200, format!(r#"{{"events":[{}],"storeRevision":{revision}}}"#, events.join(",")));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let mut content = self.content.lock().unwrap();
        let holds = |row: &Json| {
            let current = content.items.get(row.get("key").str()).map_or(0, |item| item.revision);
            current == row.get("revision").number()
        };
        if !body.get("expect").items().iter().all(holds) {
            return (412, r#"{"items":[]}"#.into());
        }
        for write in body.get("writes").items() {
            content.write(write.get("key").str(), Some(unbase64(write.get("value").str())));
        }
        for key in body.get("remove").items() {
            content.write(key.str(), None);
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, content.revision))
    }
}

/// Decodes a value of a query.
fn decode(value: &str) -> String {
    let mut out = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((&byte, next)) = rest.split_first() {
        let digits = next.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match (byte, digits.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(decoded)) => {
                out.push(decoded);
                rest = &next[2..];
            }
            _ => {
                out.push(byte);
                rest = next;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|length| *length > 0)?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, target, String::from_utf8(body).ok()?))
}

// ---------------------------------------------------------------------------------------
// Packets, servers and clients.

pub const SYN: u8 = 64;
pub const ACK: u8 = 128;
pub const FIN: u8 = 2;
pub const RST: u8 = 1;
const HEAD_BYTES: usize = 36;

#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = vec![self.flags, 0, 0, 0, 0, 0];
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.src.port().to_be_bytes());
        out.extend(self.dst.ip().octets());
        out.extend(self.src.ip().octets());
        out.extend(self.dst.port().to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.sum().to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD_BYTES {
            return None;
        }
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().unwrap());
        let packet = Packet {
            flags: bytes[0],
            seq: u32_at(6),
            ack: u32_at(10),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(20)), u16_at(14)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)), u16_at(24)),
            echo: u32_at(26),
            data: bytes[HEAD_BYTES..].to_vec(),
        };
        let is_own_reset = packet.flags == RST && u32_at(30) == 0;
        let is_valid = u32_at(30) == packet.sum() || is_own_reset;
        (is_valid && usize::from(u16_at(34)) == packet.data.len()).then_some(packet)
    }

    /// Sum over all fields except `echo`, with a key that only clients and servers have.
    fn sum(&self) -> u32 {
        let mut sum = 0x51ED_270Bu32;
        let mut add = |value: u32| sum = (sum ^ value).wrapping_mul(0x9E37_79B1).rotate_left(11);
        add(u32::from(self.flags));
        add(self.seq);
        add(self.ack);
        for end in [self.src, self.dst] {
            add(u32::from(*end.ip()));
            add(u32::from(end.port()));
        }
        self.data.iter().for_each(|byte| add(u32::from(*byte)));
        sum | 1
    }
}

/// Run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub service: String,
    pub server: String,
    pub at: Instant,
    /// When the server took the flow's opening packet.
    pub opened_at: Instant,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Server that registers in the store and answers clients directly.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub is_draining: Arc<AtomicBool>,
    pub is_ended: Arc<AtomicBool>,
    pub resets: Mutex<Vec<Reset>>,
    store: Arc<Store>,
}

/// Interval at which servers write their entries, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

impl Server {
    pub fn start(
        store: &Arc<Store>,
        (id, service, zone): (&str, &str, &str),
        address: SocketAddrV4,
        client_port: u16,
        runs: &Runs,
    ) -> Arc<Server> {
        let socket = UdpSocket::bind(address).unwrap_or_else(|error| stop(&format!("{address}: {error}")));
        let server = Arc::new(Server {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address,
            is_draining: Arc::default(),
            is_ended: Arc::default(),
            resets: Mutex::default(),
            store: store.clone(),
        });
        let (beating, serving, runs) = (server.clone(), server.clone(), runs.clone());
        spawn(move || beating.beat());
        spawn(move || serving.serve(&socket, client_port, &runs));
        server
    }

    pub fn entry(&self, seq: u64, born: u64) -> String {
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":3,"state":"{state}","warmupLeftMs":0,"seq":{seq},"born":{born}}}"#,
            self.service, self.address, self.zone
        )
    }

    /// Writes the entry. It changes only when more than `seq` changes, so the store sees a
    /// write at the start and when the server begins to drain.
    fn beat(&self) {
        let (key, born) = (format!("servers/{}", self.id), unix_ms());
        self.store.write(&key, Some(&self.entry(1, born)));
        let mut beats = 1;
        let mut was_draining = self.is_draining.load(Ordering::Relaxed);
        while !self.is_ended.load(Ordering::Relaxed) {
            sleep(ms(50));
            beats += 1;
            let is_draining = self.is_draining.load(Ordering::Relaxed);
            if is_draining != was_draining {
                self.store.write(&key, Some(&self.entry(1 + beats * 50 / HEARTBEAT_MS, born)));
                was_draining = is_draining;
            }
        }
    }

    fn serve(&self, socket: &UdpSocket, client_port: u16, runs: &Runs) {
        let digits: String = self.id.chars().filter(char::is_ascii_hexdigit).collect();
        let number = u64::from_str_radix(&digits, 16).expect("the id has hexadecimal digits");
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut buffer = [0; 2048];
        let _ = socket.set_read_timeout(Some(ms(100)));
        while !self.is_ended.load(Ordering::Relaxed) {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
            let Some((head, bytes)) = buffer[..length].split_at_checked(8) else { continue };
            let intended = u64::from_be_bytes(head.try_into().unwrap());
            if intended != 0 && intended != number {
                continue;
            }
            let Some(packet) = Packet::from_bytes(bytes) else { continue };
            let send = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| {
                let answer =
                    Packet { flags, seq, ack, src: packet.dst, dst: packet.src, echo: packet.echo, data };
                let _ = socket.send_to(&answer.to_bytes(), (*packet.src.ip(), client_port));
            };
            let key = (packet.src, packet.dst);
            if packet.flags == SYN {
                let flow = flows.entry(key).or_insert_with(|| Flow::new(packet.seq));
                send(SYN | ACK, flow.seq, packet.seq.wrapping_add(1), Vec::new());
                continue;
            }
            let Some(flow) = flows.get_mut(&key) else {
                if packet.flags & RST == 0 {
                    let reset = Reset { server: self.id.clone(), client: packet.src, at: Instant::now() };
                    self.resets.lock().unwrap().push(reset);
                    send(RST, packet.ack, 0, Vec::new());
                }
                continue;
            };
            if packet.flags & RST != 0 {
                flows.remove(&key);
                continue;
            }
            let received = packet.seq.wrapping_add(packet.data.len() as u32);
            if !packet.data.is_empty() {
                if packet.seq == flow.next {
                    let text = String::from_utf8_lossy(&packet.data);
                    let request = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
                    let request = request.unwrap_or("").trim().to_owned();
                    runs.lock().unwrap().push(Run {
                        request: request.clone(),
                        service: self.service.clone(),
                        server: self.id.clone(),
                        at: Instant::now(),
                        opened_at: flow.opened_at,
                    });
                    flow.next = received;
                    flow.answer_seq = flow.sent;
                    let body = format!("{} ran {request}", self.id);
                    flow.answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Server-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
                        self.id,
                        body.len()
                    );
                    flow.sent = flow.sent.wrapping_add(flow.answer.len() as u32);
                }
                send(ACK, flow.answer_seq, flow.next, flow.answer.clone().into_bytes());
            } else if packet.flags & FIN != 0 {
                send(ACK | FIN, flow.sent, received.wrapping_add(1), Vec::new());
            }
        }
    }
}

/// Flow at a server, with sequence numbers as in TCP.
struct Flow {
    /// The server's first sequence number.
    seq: u32,
    opened_at: Instant,
    /// Next byte that the client sends.
    next: u32,
    /// Next byte that the server sends.
    sent: u32,
    /// Last answer, and its first byte.
    answer: String,
    answer_seq: u32,
}

impl Flow {
    fn new(client_seq: u32) -> Flow {
        let seq = client_seq.wrapping_mul(2_654_435_761) | 0x4000_0000;
        Flow {
            seq,
            opened_at: Instant::now(),
            next: client_seq.wrapping_add(1),
            sent: seq.wrapping_add(1),
            answer: String::new(),
            answer_seq: seq.wrapping_add(1),
        }
    }
}

/// Reset that a server sent, as it did not hold the flow.
#[derive(Clone, Debug)]
pub struct Reset {
    pub server: String,
    pub client: SocketAddrV4,
    pub at: Instant,
}

/// End of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Answered by this server.
    Answer(String),
    /// Reset before the flow opened.
    Refused,
    /// Reset after the flow opened.
    Reset,
    Nothing,
}

/// Flow of several requests, as its client saw it.
#[derive(Clone, Debug)]
pub struct Lasting {
    pub client: SocketAddrV4,
    /// Server that answered; empty if the flow did not open.
    pub server: String,
    pub answered: usize,
    /// When the client got a reset.
    pub reset_at: Option<Instant>,
}

/// Client with an address of its own.
pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    next: AtomicU32,
    flows: Arc<Mutex<HashMap<u16, Sender<Packet>>>>,
}

/// Times at which copies of an opening packet are sent, and its end.
const COPIES: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(1_400)];

impl Client {
    pub fn new(ip: Ipv4Addr, port: u16) -> Arc<Client> {
        let socket = UdpSocket::bind((ip, port)).unwrap_or_else(|error| stop(&format!("{ip}: {error}")));
        let flows: Arc<Mutex<HashMap<u16, Sender<Packet>>>> = Arc::default();
        let (reading, receivers) = (socket.try_clone().expect("a socket can be cloned"), flows.clone());
        spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((length, _)) = reading.recv_from(&mut buffer) {
                let Some(packet) = Packet::from_bytes(&buffer[..length]) else { continue };
                if let Some(sender) = receivers.lock().unwrap().get(&packet.dst.port()) {
                    let _ = sender.send(packet);
                }
            }
        });
        Arc::new(Client { socket, ip, next: AtomicU32::new(0), flows })
    }

    /// Sends one request in a flow of its own. `node` selects the machine for each packet.
    pub fn request(
        &self,
        id: &str,
        route: SocketAddrV4,
        deadline: Duration,
        node: impl Fn() -> Option<SocketAddrV4>,
    ) -> End {
        let count = self.next.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (count % 40_000) as u16;
        let (sender, receiver) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let end = self.run_flow(id, route, port, deadline, &receiver, &node);
        self.flows.lock().unwrap().remove(&port);
        end
    }

    /// Opens a flow and sends a request in it every `pause` until a moment. `stop_at` ends it.
    pub fn lasting_flow(
        &self,
        ids: impl Fn() -> String,
        route: SocketAddrV4,
        pause: Duration,
        stop_at: Instant,
        node: impl Fn(SocketAddrV4) -> Option<SocketAddrV4>,
    ) -> Lasting {
        let count = self.next.fetch_add(1, Ordering::Relaxed);
        let src = SocketAddrV4::new(self.ip, 20_000 + (count % 40_000) as u16);
        let (sender, receiver) = channel();
        self.flows.lock().unwrap().insert(src.port(), sender);
        let mut flow = Lasting { client: src, server: String::new(), answered: 0, reset_at: None };
        let send = |flags: u8, seq: u32, ack: u32, echo: u32, data: &[u8]| {
            let packet = Packet { flags, seq, ack, src, dst: route, echo, data: data.to_vec() };
            if let Some(node) = node(src) {
                let _ = self.socket.send_to(&packet.to_bytes(), node);
            }
        };
        let mut seq = 1_000_000 + u32::from(src.port());
        send(SYN, seq, 0, 0, &[]);
        let opened = receiver.recv_timeout(COPIES[0]).ok().filter(|packet| packet.flags & SYN != 0);
        let Some(opening) = opened else { return flow };
        seq += 1;
        let (mut ack, mut echo) = (opening.seq.wrapping_add(1), opening.echo);
        send(ACK, seq, ack, echo, &[]);
        'requests: while Instant::now() < stop_at {
            let request = format!("GET / HTTP/1.1\r\nX-Request-Id: {}\r\n\r\n", ids());
            let mut wait = ms(200);
            send(ACK, seq, ack, echo, request.as_bytes());
            loop {
                match receiver.recv_timeout(wait) {
                    // A reset that fits to the flow.
                    Ok(packet) if packet.flags & RST != 0 => {
                        if packet.seq.wrapping_sub(ack) <= 76_800 || ack.wrapping_sub(packet.seq) <= 76_800 {
                            flow.reset_at = Some(Instant::now());
                            break 'requests;
                        }
                    }
                    Ok(packet) if !packet.data.is_empty() && packet.seq == ack => {
                        let text = String::from_utf8_lossy(&packet.data).into_owned();
                        let signature =
                            text.lines().find_map(|line| line.strip_prefix("X-Server-Signature: "));
                        flow.server = signature.unwrap_or("").trim().into();
                        flow.answered += 1;
                        echo = packet.echo;
                        ack = ack.wrapping_add(packet.data.len() as u32);
                        seq = seq.wrapping_add(request.len() as u32);
                        send(ACK, seq, ack, echo, &[]);
                        break;
                    }
                    Ok(_) => {}
                    Err(_) if Instant::now() >= stop_at => break 'requests,
                    Err(_) => {
                        send(ACK, seq, ack, echo, request.as_bytes());
                        wait = (2 * wait).min(ms(1_600));
                    }
                }
            }
            sleep(pause);
        }
        self.flows.lock().unwrap().remove(&src.port());
        flow
    }

    fn run_flow(
        &self,
        id: &str,
        route: SocketAddrV4,
        port: u16,
        deadline: Duration,
        receiver: &Receiver<Packet>,
        node: &impl Fn() -> Option<SocketAddrV4>,
    ) -> End {
        let src = SocketAddrV4::new(self.ip, port);
        let first = 1_000_000 + u32::from(port);
        let send = |flags: u8, seq: u32, ack: u32, echo: u32, data: &[u8]| {
            let packet = Packet { flags, seq, ack, src, dst: route, echo, data: data.to_vec() };
            if let Some(node) = node() {
                let _ = self.socket.send_to(&packet.to_bytes(), node);
            }
        };
        let request = format!("GET / HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n");
        let started = Instant::now();
        send(SYN, first, 0, 0, &[]);
        let mut copies = 0;
        // Sequence number and echo of the server once the flow is open.
        let mut open: Option<(u32, u32)> = None;
        let mut retransmit_at = Instant::now();
        let mut pause = ms(200);
        loop {
            let next = match open {
                None => started + COPIES[copies],
                Some(_) => retransmit_at,
            };
            let next = next.min(started + deadline);
            match receiver.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(packet) if packet.flags & RST != 0 => {
                    return if open.is_some() { End::Reset } else { End::Refused };
                }
                Ok(packet) if packet.flags & SYN != 0 => {
                    if open.is_none() {
                        open = Some((packet.seq.wrapping_add(1), packet.echo));
                        send(ACK, first + 1, packet.seq.wrapping_add(1), packet.echo, request.as_bytes());
                        retransmit_at = Instant::now() + pause;
                    }
                }
                Ok(packet) if !packet.data.is_empty() => {
                    let Some((server_seq, echo)) = open else { continue };
                    let ack = server_seq.wrapping_add(packet.data.len() as u32);
                    send(ACK | FIN, first + 1 + request.len() as u32, ack, echo, &[]);
                    let text = String::from_utf8_lossy(&packet.data).into_owned();
                    let signature = text.lines().find_map(|line| line.strip_prefix("X-Server-Signature: "));
                    return End::Answer(signature.unwrap_or("").trim().into());
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return End::Nothing,
                Err(RecvTimeoutError::Timeout) => {
                    if started.elapsed() >= deadline {
                        return End::Nothing;
                    }
                    match open {
                        None if copies + 1 == COPIES.len() => return End::Nothing,
                        None => {
                            copies += 1;
                            send(SYN, first, copies as u32, 0, &[]);
                        }
                        Some((ack, echo)) => {
                            send(ACK, first + 1, ack, echo, request.as_bytes());
                            pause = (2 * pause).min(ms(1_600));
                            retransmit_at = Instant::now() + pause;
                        }
                    }
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------
// Machines that run the system.

/// Machine of class `edge`.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub door: Arc<Door>,
    net: Net,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Machine {
    pub fn new(
        net: Net,
        store: &Arc<Store>,
        folder: &PathBuf,
        (name, zone): (&str, &str),
        ip: Ipv4Addr,
    ) -> Machine {
        Machine {
            name: name.into(),
            zone: zone.into(),
            ip,
            door: store.door(net.ip(200, 1)),
            net,
            folder: folder.clone(),
            child: Mutex::default(),
        }
    }

    pub fn packets(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.net.packets)
    }

    /// Settings as the platform writes them, with the figures of `nidosicuro-lb`.
    fn settings(&self, seeds: &[Ipv4Addr], bootstrap: bool) -> String {
        let Net { packets, ready, inner, .. } = self.net;
        let (name, zone, ip) = (&self.name, &self.zone, self.ip);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:{}", ready + 1)).collect();
        format!(
            "nodeName={name}\nrole=instance\nmachineClass=edge\nserves=edge,control\nip={ip}\nzone={zone}\n\
             region=sicilia\nzones.pa=sicilia\nzones.ct=sicilia\nzones.me=sicilia\n\
             listen.datagramAddr={ip}:{packets}\nlisten.ready={ip}:{ready}\n\
             internalPorts={inner},{}\nseeds={}\nbootstrap={bootstrap}\nlossCounts=false\n\
             limits.cpuShare=0.055\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=announce\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,recover,flows,platform\nfaultTolerance.machines=2\n\
             faultTolerance.zones=1\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n\
             bounds.stableWindowMs=4000\nbounds.ackMs=5000\nbounds.catchUpS=4\nbounds.drainMs=3000\n\
             bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=3000\n\
             bounds.rollbackSlackMs=250\nbounds.maxSkewMs=12000\nbounds.recoveryS=12\n\
             bounds.reorderMs=2000\nbounds.maxFlowS=60\nhash=mod\nencap=echo\nplatform.address={}\n\
             platform.encap=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
             platform.valueBytes=1048576\nplatform.minTtlMs=1000\n",
            inner + 7,
            seeds.join(","),
            self.door.address
        )
    }

    pub fn start(&self, seeds: &[Ipv4Addr], bootstrap: bool) {
        let path = self.folder.join(format!("{}.conf", self.name));
        let log = self.folder.join(format!("{}.log", self.name));
        let open = fs::OpenOptions::new().create(true).append(true).open(&log);
        let log = open.unwrap_or_else(|error| stop(&error.to_string()));
        fs::write(&path, self.settings(seeds, bootstrap)).unwrap_or_else(|error| stop(&error.to_string()));
        let child = Command::new(PROGRAM)
            .arg(PROGRAM_ARGUMENT)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("RAGWORTLB_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file can be cloned"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| stop(&format!("{PROGRAM}: {error}")));
        PROCESSES.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after `graceS`.
    pub fn stop(&self) {
        self.signal("TERM");
        let started = Instant::now();
        while !self.has_ended() && started.elapsed() < ms(6_000) {
            sleep(ms(20));
        }
        self.kill();
    }

    /// Sends another signal, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &*self.child.lock().unwrap() {
            send_signal(signal, child.id());
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// The answer to `GET /ready`.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, self.net.ready));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(300)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(300)));
        let request = "GET /ready HTTP/1.1\r\nhost: machine\r\nconnection: close\r\n\r\n";
        let mut head = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut head).is_ok()
            && head.ends_with(b"200")
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary folder of a run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("ragwortlb-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| stop(&error.to_string()));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Configuration with one route to a service for each pair of a port and a service.
pub fn config(version: u64, routes: &[(u16, &str)]) -> String {
    let route = |(port, service): &(u16, &str)| {
        format!(
            r#"{{"name":"r-{port}","host":"198.18.0.1","prefix":"/{port}/","type":"idempotent","timeoutMs":1500,"targetLatencyMs":250,"priority":2,"service":"{service}","maxAttempts":2}}"#
        )
    };
    let service = |name: &str| {
        format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false}}"#)
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        service("matching"),
        service("documents")
    )
}

/// Address of a route.
pub fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

// ---------------------------------------------------------------------------------------
// A deployment like `nidosicuro-lb`.

/// Zone and number of its machines.
const ZONES: [(&str, usize); 3] = [("pa", 3), ("ct", 2), ("me", 2)];

/// Servers of each service, over the zones in turn.
const SERVERS: [(&str, usize); 2] = [("matching", 14), ("documents", 4)];

/// Id of a server by its number.
pub fn server_id(number: u8) -> String {
    format!("i-{:08x}", 0x7f3a_91c0u32 + u32::from(number) * 0x101)
}

/// Store, servers, machines and a client.
pub struct Site {
    pub net: Net,
    pub store: Arc<Store>,
    pub runs: Runs,
    pub servers: Vec<Arc<Server>>,
    pub machines: Vec<Machine>,
    pub client: Arc<Client>,
    pub record: Arc<Record>,
    folder: Folder,
    requests: AtomicU32,
}

impl Site {
    /// Starts the store with a first configuration, the servers, and then the machines.
    pub fn start(name: &str, record: &Arc<Record>, routes: &[(u16, &str)]) -> Site {
        Site::with_first_server(name, record, routes, &server_id(1))
    }

    /// The same with an id for the first server.
    pub fn with_first_server(
        name: &str,
        record: &Arc<Record>,
        routes: &[(u16, &str)],
        first_id: &str,
    ) -> Site {
        let net = Net::pick();
        let store = Store::new();
        let runs = Runs::default();
        store.write("op/config", Some(&config(1, routes)));
        let mut servers = Vec::new();
        for (service, count) in SERVERS {
            for index in 0..count {
                let host = servers.len() as u8 + 1;
                let id = if host == 1 { first_id.into() } else { server_id(host) };
                let zone = ZONES[index % ZONES.len()].0;
                let address = SocketAddrV4::new(net.ip(50, host), net.server);
                servers.push(Server::start(&store, (&id, service, zone), address, net.packets, &runs));
            }
        }
        let folder = Folder::create(name);
        let mut machines = Vec::new();
        for (zone_index, (zone, count)) in ZONES.iter().enumerate() {
            for index in 1..=*count {
                let ip = net.ip(1 + zone_index as u8, 10 + index as u8);
                machines.push(Machine::new(
                    net,
                    &store,
                    &folder.0,
                    (&format!("edge-{zone}-{index}"), zone),
                    ip,
                ));
            }
        }
        let client = Client::new(net.ip(100, 1), net.packets);
        let site = Site {
            net,
            store,
            runs,
            servers,
            machines,
            client,
            record: record.clone(),
            folder,
            requests: AtomicU32::new(0),
        };
        for machine in &site.machines {
            machine.start(&site.seeds(), true);
        }
        site.await_ready();
        site
    }

    /// Addresses of one machine in each zone.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        ZONES
            .iter()
            .filter_map(|(zone, _)| self.machines.iter().find(|machine| machine.zone == *zone))
            .map(|machine| machine.ip)
            .collect()
    }

    /// Waits until all machines are ready.
    pub fn await_ready(&self) {
        let started = Instant::now();
        while !self.machines.iter().all(Machine::is_ready) {
            if started.elapsed() > Duration::from_secs(20) {
                stop("the machines are not ready after 20 s");
            }
            sleep(ms(100));
        }
    }

    /// Adds a server of a service, as on its own machine.
    pub fn add_server(&mut self, id: &str, service: &str) {
        let host = self.servers.len() as u8 + 1;
        let zone = ZONES[self.servers.len() % ZONES.len()].0;
        let address = SocketAddrV4::new(self.net.ip(50, host), self.net.server);
        let server = Server::start(&self.store, (id, service, zone), address, self.net.packets, &self.runs);
        self.servers.push(server);
    }

    /// Number for the next request.
    pub fn next_request(&self) -> String {
        format!("q-{:05}", self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a request through one machine and records how it ended.
    pub fn probe(&self, machine: &Machine, port: u16, deadline: Duration) -> Probe {
        let id = self.next_request();
        let sent_at = Instant::now();
        self.record.line(&format!("sent {id} to {} for port {port}", machine.name));
        let node = machine.packets();
        let end = self.client.request(&id, route(port), deadline, || Some(node));
        let run = self.runs.lock().unwrap().iter().find(|run| run.request == id).cloned();
        let ran = run.as_ref().map_or("not run".into(), |run| {
            format!("run by {} of {} at {:.3}", run.server, run.service, self.record.at(run.at))
        });
        self.record.line(&format!("ended {id}: {end:?}, {ran}"));
        Probe { id, machine: machine.name.clone(), port, sent_at, end, run }
    }
}

/// Request that was sent through one machine.
#[derive(Clone, Debug)]
pub struct Probe {
    pub id: String,
    pub machine: String,
    pub port: u16,
    pub sent_at: Instant,
    pub end: End,
    pub run: Option<Run>,
}
