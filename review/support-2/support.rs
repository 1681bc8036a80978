//! What the scripts of the second review share: a store, replicas and clients that follow the users' pages, the processes of the
//! gateways with the settings of a small deployment, and the record of what was sent, answered and run. It uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

/// What was sent, answered and run, in the order of time.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<String>)>);

impl Default for Record {
    fn default() -> Self {
        Self(Arc::new((Instant::now(), Mutex::default())))
    }
}

impl Record {
    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut lines = self.0 .1.lock().unwrap();
        let _ = writeln!(lines, "{:8.3} s  {}", self.now(), text.as_ref());
    }

    /// Writes `record.txt` beside the case and prints its last lines.
    pub fn save(&self) {
        let lines = self.0 .1.lock().unwrap();
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        fs::write(path, lines.as_bytes()).expect("record.txt");
        let tail: Vec<&str> = lines.lines().rev().take(6).collect();
        tail.iter().rev().for_each(|line| println!("{line}"));
    }
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_value(text, &mut at)
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(text, at)? else {
                            return None;
                        };
                        skip(text, at);
                        *at += 1;
                        table.insert(name, parse_value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut value = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&value).into_owned()));
                    }
                    b'\\' => {
                        *at += 1;
                        match *text.get(*at)? {
                            b'n' => value.push(b'\n'),
                            b't' => value.push(b'\t'),
                            b'u' => {
                                let hex = std::str::from_utf8(text.get(*at + 1..*at + 5)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let letter = char::from_u32(code).unwrap_or('?');
                                value.extend(letter.to_string().bytes());
                                *at += 4;
                            }
                            other => value.push(other),
                        }
                        *at += 1;
                    }
                    other => {
                        value.push(other);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let begin = *at;
            while text.get(*at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                *at += 1;
            }
            std::str::from_utf8(&text[begin..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| (word << 8) | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(BASE64[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(it, _)| *it == name).map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| u8::from_str_radix(text.get(at + 1..at + 3).unwrap_or("0"), 16).unwrap_or(0));
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(message);
        }
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message; `is_whole` tells whether its end arrived.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) {
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let mut part = vec![0; size + 2];
            if reader.read_exact(&mut part).is_err() {
                return;
            }
            if size == 0 {
                message.is_whole = true;
                return;
            }
            message.body.extend_from_slice(&part[..size]);
        }
    }
    let mut part = vec![0; length.unwrap_or(0)];
    message.is_whole = reader.read_exact(&mut part).is_ok();
    message.body = part;
}

/// Sends a request on a new channel and returns the answer; `None` if there is no head in time.
pub fn call(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], limit_s: f64) -> Option<Message> {
    let limit = Duration::from_secs_f64(limit_s);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader).ok()?;
    read_body(&mut reader, &mut answer);
    Some(answer)
}

/// Serves each channel at an address in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Rows {
    version: u64,
    /// By table and key: the version, and the value in base64; `None` once it was removed.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// The store: rows with versions, lists, a feed, and transactions. It loses nothing.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    /// Whether calls over the network are answered 503, and nothing is done.
    is_down: Arc<AtomicBool>,
    /// The value of `Store-Era`; answers have none while it is 0.
    era: Arc<AtomicU64>,
    pub address: SocketAddr,
}

/// A copy of what the store holds.
pub struct Copy(u64, BTreeMap<(String, String), (u64, Option<String>)>);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Self {
            rows: Arc::default(),
            is_down: Arc::default(),
            era: Arc::default(),
            address: listener.local_addr().unwrap(),
        };
        let server = store.clone();
        serve(listener, move |stream| server.serve_channel(stream));
        store
    }

    /// The platform's store is down: each call gets 503 and does nothing.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// The store states its era from now on.
    pub fn state_era(&self) {
        self.era.store(1, Ordering::SeqCst);
    }

    pub fn copy(&self) -> Copy {
        let rows = self.rows.0.lock().unwrap();
        Copy(rows.version, rows.rows.clone())
    }

    /// The store comes back from a copy. Versions go back and are given out again, and the era rises by one.
    pub fn restore(&self, copy: Copy) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version = copy.0;
        rows.rows = copy.1;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.rows.1.notify_all();
    }

    /// The keys and values of a table, for the record.
    pub fn dump(&self, table: &str) -> String {
        let rows = self.rows.0.lock().unwrap();
        let inside = rows.rows.iter().filter(|((it, _), (_, value))| it == table && value.is_some());
        inside.map(|((_, key), (version, value))| format!("{key}@{version}={} ", value.as_deref().unwrap_or_default())).collect()
    }

    /// Writes a row as the operator or a replica does; the return is the confirmation.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(&[(table.into(), key.into(), Some(base64(value.as_bytes())))])
    }

    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.write(&[(table.into(), key.into(), None)])
    }

    fn write(&self, changes: &[(String, String, Option<String>)]) -> u64 {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        for (table, key, value) in changes {
            rows.rows.insert((table.clone(), key.clone()), (version, value.clone()));
        }
        self.rows.1.notify_all();
        version
    }

    fn serve_channel(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(mut request) = read_head(&mut reader) {
            read_body(&mut reader, &mut request);
            // An answer takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match self.is_down.load(Ordering::SeqCst) {
                true => (503, "{}".to_owned()),
                false => self.answer(&request),
            };
            let era = self.era.load(Ordering::SeqCst).to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            let headers = if era == "0" { &headers[..1] } else { &headers[..] };
            if respond(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        match path {
            "/v1/rows-get" => self.list(request),
            "/v1/rows-feed" => self.feed(request),
            "/v1/rows-tx" => self.transact(&Json::parse(&request.body).unwrap_or(Json::Null)),
            _ => (404, "{}".into()),
        }
    }

    fn page(rows: Option<Vec<String>>, has_more: Option<bool>, version: u64) -> String {
        let rows = rows.map_or(String::new(), |rows| format!("\"Rows\":[{}],", rows.join(",")));
        let more = has_more.map_or(String::new(), |more| format!("\"HasMore\":{more},"));
        format!("{{{rows}{more}\"Ver\":{version},\"NowMs\":{}}}", unix_ms())
    }

    fn row(table: &str, key: &str, version: u64, value: &Option<String>) -> String {
        let rest = match value {
            Some(value) => format!("\"Value\":\"{value}\""),
            None => "\"Tombstone\":true".into(),
        };
        format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Ver\":{version},{rest}}}")
    }

    fn list(&self, request: &Message) -> (u16, String) {
        let table = request.query("Table").unwrap_or_default();
        let (from, to) = (request.query("From").unwrap_or_default(), request.query("Target"));
        let limit = request.query("Limit").and_then(|it| it.parse().ok()).unwrap_or(500usize).min(500);
        let rows = self.rows.0.lock().unwrap();
        let inside = rows.rows.iter().filter(|((it, key), (_, value))| {
            *it == table && *key >= from && to.as_ref().is_none_or(|to| key < to) && value.is_some()
        });
        let mut found: Vec<String> = inside.map(|((_, key), (version, value))| Self::row(&table, key, *version, value)).collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        (200, Self::page(Some(found), Some(has_more), rows.version))
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.query("Table").unwrap_or_default();
        let since: u64 = request.query("SinceRev").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait: u64 = request.query("WaitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            if since > rows.version {
                return (410, "{}".into());
            }
            let mut changed: Vec<(u64, String)> = Vec::new();
            for ((it, key), (version, value)) in &rows.rows {
                if *it == table && *version > since {
                    changed.push((*version, Self::row(&table, key, *version, value)));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort();
                let changed = changed.into_iter().map(|(_, row)| row).collect();
                return (200, Self::page(Some(changed), None, rows.version));
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Json) -> (u16, String) {
        {
            let rows = self.rows.0.lock().unwrap();
            let mut conflict = false;
            let mut current = Vec::new();
            for it in call.get("ExpectedRev").list() {
                let id = (it.get("Table").text().to_owned(), it.get("Key").text().to_owned());
                let known = rows.rows.get(&id).filter(|(_, value)| value.is_some());
                let version = known.map_or(0, |(version, _)| *version);
                conflict |= version != it.get("Ver").number() as u64;
                if let Some((version, value)) = known {
                    current.push(Self::row(&id.0, &id.1, *version, value));
                }
            }
            if conflict {
                return (412, Self::page(Some(current), None, rows.version));
            }
        }
        let mut changes = Vec::new();
        for it in call.get("Upserts").list() {
            changes.push((it.get("Table").text().into(), it.get("Key").text().into(), Some(it.get("Value").text().to_owned())));
        }
        for it in call.get("Remove").list() {
            changes.push((it.get("Table").text().into(), it.get("Key").text().into(), None));
        }
        let version = self.write(&changes);
        (200, Self::page(None, None, version))
    }
}

/// The path of one machine to the store. While it is cut, channels are reset and new ones are refused.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Path {
    pub fn to(store: &Store) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a path");
        let path = Self {
            address: listener.local_addr().unwrap(),
            is_cut: Arc::default(),
        };
        let (server, target) = (path.clone(), store.address);
        thread::spawn(move || server.forward(listener, target));
        path
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn forward(&self, listener: TcpListener, target: SocketAddr) {
        let mut listener = Some(listener);
        let mut channels: Vec<TcpStream> = Vec::new();
        loop {
            sleep(0.001);
            if self.is_cut.load(Ordering::SeqCst) {
                listener = None;
                for channel in channels.drain(..) {
                    let _ = channel.shutdown(std::net::Shutdown::Both);
                }
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else { continue };
            open.set_nonblocking(true).expect("a listener that can be closed");
            let Ok((near, _)) = open.accept() else { continue };
            let _ = near.set_nonblocking(false);
            let Ok(far) = TcpStream::connect(target) else { continue };
            for (from, to) in [(&near, &far), (&far, &near)] {
                let _ = from.set_nodelay(true);
                let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                thread::spawn(move || {
                    let _ = io::copy(&mut from, &mut to);
                    let _ = to.shutdown(std::net::Shutdown::Both);
                });
            }
            channels.extend([near, far]);
        }
    }
}

// ---------------------------------------------------------------- replicas

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_s: f64,
    pub replica: String,
    pub version: String,
    pub request: String,
    pub tenant: String,
}

pub struct Process {
    pub id: String,
    pub service: String,
    pub version: String,
    pub born: u64,
    is_dead: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

/// A replica of the platform: a plain service, and a server of resumable streams. Each start is a new lifetime.
#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    pub process: Arc<Mutex<Option<Arc<Process>>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    events: u64,
    event_ms: u64,
}

impl Replica {
    /// Chooses the address; the replica itself is started by [`Replica::start`].
    pub fn new(record: &Record, runs: &Arc<Mutex<Vec<Run>>>, events: u64, event_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a replica");
        Self {
            address: listener.local_addr().unwrap(),
            process: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
            events,
            event_ms,
        }
    }

    /// Starts a process of the replica at its address.
    pub fn start(&self, id: &str, service: &str, version: &str) {
        let process = Arc::new(Process {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            born: unix_ms(),
            is_dead: AtomicBool::new(false),
            channels: Mutex::default(),
        });
        let until = Instant::now() + Duration::from_secs(2);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > until => cannot_run(&format!("no address for a replica: {error}")),
                Err(_) => sleep(0.02),
            }
        };
        listener.set_nonblocking(true).expect("a listener that can be closed");
        *self.process.lock().unwrap() = Some(process.clone());
        self.record.note(format!("replica {id} starts, software version {version}"));
        let server = self.clone();
        thread::spawn(move || {
            // The listener is closed with the process, so that later channels are refused.
            while !process.is_dead.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let (server, process) = (server.clone(), process.clone());
                        thread::spawn(move || server.serve_channel(stream, process));
                    }
                    Err(_) => sleep(0.001),
                }
            }
        });
    }

    /// The replica's row in the store.
    pub fn announce(&self, store: &Store, zone: &str) {
        let process = self.process.lock().unwrap().clone().expect("a running replica");
        let row = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"{}\",\"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,\"CallSeq\":0,\"born\":{}}}",
            process.service, self.address, process.version, process.born
        );
        store.put("servers", &process.id, &row);
    }

    /// The process ends without a word, and its channels with it.
    pub fn crash(&self) {
        let process = self.process.lock().unwrap().take();
        if let Some(process) = process {
            process.is_dead.store(true, Ordering::SeqCst);
            for channel in process.channels.lock().unwrap().iter() {
                let _ = channel.shutdown(std::net::Shutdown::Both);
            }
            self.record.note(format!("replica {} ends", process.id));
        }
    }

    fn serve_channel(&self, stream: TcpStream, process: Arc<Process>) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        if let Ok(channel) = stream.try_clone() {
            process.channels.lock().unwrap().push(channel);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(mut request) = read_head(&mut reader) {
            read_body(&mut reader, &mut request);
            if process.is_dead.load(Ordering::SeqCst) || self.answer(&mut writer, &request, &process).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &Message, process: &Process) -> io::Result<()> {
        let own: (&str, &str) = ("Sardinemux-Instance-Id", &process.id);
        if request.target() == "/health" {
            return respond(writer, 200, &[own], b"");
        }
        if request.header("sardinemux-expect-instance").is_some_and(|id| id != process.id) {
            return respond(writer, 421, &[own], b"");
        }
        if request.target() == "/v1/report" {
            let body = format!("{{\"Stage\":\"both\",\"Models\":[],\"Busy\":false,\"CallSeq\":0,\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":0,\"Handles\":0,\"born\":{}}}", process.born);
            return respond(writer, 200, &[own], body.as_bytes());
        }
        let Some(id) = request.header("sardinemux-request-id") else {
            return respond(writer, 400, &[own, ("Sardinemux-Not-Executed", "1")], b"");
        };
        let tenant = request.header("sardinemux-tenant").unwrap_or_default();
        self.runs.lock().unwrap().push(Run {
            at_s: self.record.now(),
            replica: process.id.clone(),
            version: process.version.clone(),
            request: id.into(),
            tenant: tenant.into(),
        });
        self.record.note(format!("replica {} ({}) runs {id}, tenant {tenant}", process.id, process.version));
        let head = [("Sardinemux-Request-Id", id), ("Sardinemux-Response-Stamp", process.id.as_str())];
        if !request.target().starts_with("/stream") {
            sleep(0.03);
            return respond(writer, 200, &head, format!("run by {} of {}", process.id, process.service).as_bytes());
        }
        let last: u64 = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut text = "HTTP/1.1 200 S\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in head {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text.push_str("\r\n");
        writer.write_all(text.as_bytes())?;
        for number in last + 1..=self.events {
            sleep(self.event_ms as f64 / 1_000.0);
            if process.is_dead.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: event {number} of software version {}\n\n", process.version);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------- the machines of the system

/// The zones and machines of lakeshore-mux.
pub const MACHINES: [(&str, usize); 7] =
    [("duluth", 1), ("duluth", 2), ("milwaukee", 1), ("milwaukee", 2), ("toledo", 1), ("toledo", 2), ("thunder-bay", 1)];

/// A machine of the class `front`, with its process.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    root: PathBuf,
    folder: PathBuf,
    /// The settings file of each start but the first.
    later: String,
}

impl Machine {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The machine loses power for good.
    pub fn lose_power(&mut self, record: &Record) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        record.note(format!("{} is lost", self.name));
    }

    /// The process starts again.
    pub fn start_again(&mut self, record: &Record) {
        let boot = self.folder.join(format!("{}.ini", self.name));
        fs::write(&boot, &self.later).expect("a settings file");
        let log = fs::File::create(self.folder.join(format!("{}-again.log", self.name))).expect("a log file");
        self.child = Command::new(self.root.join("target/release/sardinemux-front"))
            .current_dir(&self.root)
            .env_clear()
            .env("SARDINEMUX_BOOT", &boot)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the gateway");
        let pids = fs::OpenOptions::new().append(true).open(self.folder.join("pids"));
        let _ = writeln!(pids.expect("a file for process ids"), "{}", self.pid());
        record.note(format!("{} starts again", self.name));
    }

    fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// The machine freezes: its process stands still.
    pub fn freeze(&self, record: &Record) {
        record.note(format!("{} freezes", self.name));
        self.signal("STOP");
    }

    pub fn wake(&self, record: &Record) {
        self.signal("CONT");
        record.note(format!("{} wakes", self.name));
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns ports that are free at all addresses, as ports are the same on all machines.
fn common_ports(addresses: &[Ipv4Addr], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    let mut port = 20_000 + (std::process::id() % 20_000) as u16;
    while ports.len() < count {
        port += 1;
        let is_free = addresses.iter().all(|address| {
            let at = SocketAddr::new(IpAddr::V4(*address), port);
            TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
        });
        if is_free {
            ports.push(port);
        }
    }
    ports
}

/// Fills in the template `deploy/front.ini`: values, and sections of one line.
fn render(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let name_end = begin + text[begin..].find("}}").unwrap();
        let name = text[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = begin + text[begin..].find(&close).unwrap();
        let inner = match values.contains_key(&name) {
            true => text[name_end + 2..end].to_owned(),
            false => String::new(),
        };
        text.replace_range(begin..end + close.len(), &inner);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Starts the machines with the program of the deploy file and settings like those of lakeshore-mux, and waits until they are ready.
pub fn start_machines(store: &Store, record: &Record) -> Vec<Machine> {
    start_with(store.address, record)
}

/// Starts the machines, which reach the store at an address.
pub fn start_with(store: SocketAddr, record: &Record) -> Vec<Machine> {
    let machines = &MACHINES;
    let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()));
    let folder = PathBuf::from(std::env::var("WORK").expect("a temporary folder in WORK"));
    let template = fs::read_to_string(root.join("deploy/front.ini")).expect("deploy/front.ini");
    let lane = (std::process::id() % 200) as u8 + 20;
    let addresses: Vec<Ipv4Addr> = (0..machines.len()).map(|index| Ipv4Addr::new(127, lane, index as u8 + 1, 10)).collect();
    let ports = common_ports(&addresses, 4);
    let seeds: Vec<String> = addresses.iter().take(3).map(|it| format!("{it}:{}", ports[2])).collect();
    let mut started = Vec::new();
    let mut pids = fs::File::create(folder.join("pids")).expect("a file for process ids");
    for ((zone, number), address) in machines.iter().zip(&addresses) {
        let name = format!("front-{zone}-{number}");
        let mut values = BTreeMap::new();
        for (key, value) in [
            ("Node", name.clone()),
            ("Zone", (*zone).to_owned()),
            ("Ip", address.to_string()),
            ("Listen.Front", format!("{address}:{}", ports[0])),
            ("Listen.Ready", format!("{address}:{}", ports[1])),
            ("Listen.Control", format!("{address}:{}", ports[2])),
            ("PortRange.0", ports[3].to_string()),
            ("Seeds", seeds.join(",")),
            ("Bootstrap", "true".into()),
            ("Limits.MemoryMb", "260".into()),
            ("Limits.LinkMbps", "1000".into()),
            ("Platform.Address", store.to_string()),
            ("Bounds.GraceS", "8".into()),
            ("Bounds.RetryBudgetRatio", "0.2".into()),
            ("Bounds.BudgetExtra", "54".into()),
            ("Bounds.CapFactor", "2".into()),
            ("Contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform".into()),
        ] {
            values.insert(key.to_owned(), value);
        }
        let boot = folder.join(format!("{name}.ini"));
        fs::write(&boot, render(&template, &values)).expect("a settings file");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(root.join("target/release/sardinemux-front"))
            .current_dir(&root)
            .env_clear()
            .env("SARDINEMUX_BOOT", &boot)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        let Ok(child) = child else { cannot_run("sardinemux-front does not start") };
        // run.sh ends what is left if this process is killed.
        let _ = writeln!(pids, "{}", child.id());
        started.push(Machine {
            name,
            zone: (*zone).to_owned(),
            front: SocketAddr::new(IpAddr::V4(*address), ports[0]),
            ready: SocketAddr::new(IpAddr::V4(*address), ports[1]),
            child,
            root: root.clone(),
            folder: folder.clone(),
            later: {
                values.remove("Bootstrap");
                render(&template, &values)
            },
        });
    }
    let until = Instant::now() + Duration::from_secs(15);
    for machine in &started {
        while call(machine.ready, "GET", "/v1/ready", &[("Host", "ready")], b"", 1.0).is_none_or(|it| it.status() != 200) {
            if Instant::now() > until {
                drop(started);
                cannot_run("the machines are not ready in time");
            }
            sleep(0.05);
        }
    }
    // The machines have run long enough to be in touch.
    sleep(3.5);
    record.note(format!("{} machines are ready", started.len()));
    started
}

/// Ends the script as one that could not run, and all processes with it: run.sh exits with 2.
pub fn cannot_run(reason: &str) -> ! {
    panic!("cannot run: {reason}");
}

/// A desired state like that of lakeshore-mux, with its tenants and their keys.
pub fn desired_state(version: u64, tenants: &[(&str, &[&str])]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!("{{\"Name\":\"{name}\",\"ApiKeys\":[{}]}}", keys.join(","))
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[\
         {{\"Name\":\"payout\",\"Host\":\"mods.example\",\"PathPrefix\":\"/payout/\",\"Kind\":\"unsafe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"modhub-app\",\"MaxAttempts\":1}},\
         {{\"Name\":\"lookup\",\"Host\":\"mods.example\",\"PathPrefix\":\"/lookup/\",\"Kind\":\"safe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"modhub-app\",\"MaxAttempts\":2}},\
         {{\"Name\":\"audit\",\"Host\":\"mods.example\",\"PathPrefix\":\"/stream/\",\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":1000,\"GapTargetMs\":500,\"Priority\":1,\"Service\":\"sardine-pool\",\"MaxAttempts\":2,\"StreamResume\":true,\"SessionAffinity\":true}}],\
         \"Services\":[{{\"Name\":\"modhub-app\",\"MaxConnections\":100}},{{\"Name\":\"sardine-pool\",\"MaxConnections\":360}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{}]}}",
        tenants.join(",")
    )
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn request_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends a request to a machine and records it and its answer.
pub fn send(record: &Record, machine: &Machine, method: &str, path: &str, key: &str, deadline_ms: u64) -> (String, Option<Message>) {
    let id = request_id();
    record.note(format!("request {id}: {method} {path} with key {key} sent to {}", machine.name));
    let deadline = deadline_ms.to_string();
    let headers = [("Host", "mods.example"), ("Sardinemux-Request-Id", &id), ("Sardinemux-Deadline-Ms", &deadline), ("Api-Key", key)];
    let answer = call(machine.front, method, path, &headers, b"", deadline_ms as f64 / 1_000.0);
    let status = answer.as_ref().map_or("no answer".into(), |it| it.status().to_string());
    record.note(format!("request {id}: {} answers {status}", machine.name));
    (id, answer)
}
