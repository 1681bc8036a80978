//! Stand-ins and helpers that the cases 11 to 15 share: the platform's store, replicas, requesters, and the start of gateways with
//! the template of the deploy file. Standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

/// The processes that the case has started and not ended yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

const SIGKILL: i32 = 9;
const SIGSTOP: i32 = 19;

/// After this time a case gives up; it has 120 s.
const TIME_MAX: Duration = Duration::from_secs(105);

/// Ends the case and all processes that it started.
pub fn exit(code: i32) -> ! {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        // SAFETY: plain calls of the C library; the process is a child that has not been waited for.
        unsafe {
            kill(pid as i32, SIGKILL);
            waitpid(pid as i32, std::ptr::null_mut(), 0);
        }
    }
    std::process::exit(code)
}

fn note_child(child: &Child) {
    CHILDREN.lock().unwrap().push(child.id());
}

/// Kills a child and waits for its end.
fn end_child(child: &mut Child) {
    CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case as one that could not run.
pub fn give_up(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    exit(2)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create() -> Self {
        let folder = std::env::var("CASE").unwrap_or_else(|_| give_up("CASE is not set"));
        let path = PathBuf::from(folder).join("record.txt");
        thread::spawn(|| {
            thread::sleep(TIME_MAX);
            give_up("it takes too long");
        });
        match File::create(&path) {
            Ok(file) => Self(Arc::new(Mutex::new(file)), Instant::now()),
            Err(error) => give_up(&format!("{}: {error}", path.display())),
        }
    }

    pub fn note(&self, text: &str) {
        let seconds = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().unwrap(), "{seconds:8.3} s  {text}");
    }
}

// ---- JSON, as far as the store's calls need it ----

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(it, _)| it == name).map(|(_, it)| it),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(bytes, at)? else {
                            return None;
                        };
                        skip_space(bytes, at);
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Table(fields))
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => break,
                    b'\\' => {
                        *at += 1;
                        match *bytes.get(*at)? {
                            b'n' => text.push(b'\n'),
                            b'u' => {
                                let code =
                                    std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                                let code = u32::from_str_radix(code, 16).ok()?;
                                let mut buffer = [0; 4];
                                text.extend(
                                    char::from_u32(code)?.encode_utf8(&mut buffer).as_bytes(),
                                );
                                *at += 4;
                            }
                            other => text.push(other),
                        }
                    }
                    other => text.push(other),
                }
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(String::from_utf8_lossy(&text).into_owned()))
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
            while bytes
                .get(*at)
                .is_some_and(|it| b"+-.eE0123456789".contains(it))
            {
                *at += 1;
            }
            std::str::from_utf8(&bytes[begin..*at])
                .ok()?
                .parse()
                .ok()
                .map(Json::Number)
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---- HTTP ----

/// A request or an answer: the first line, the fields with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body has come to its stated end.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads the head of a message. `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match (message.first.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => message.first = line.to_owned(),
            (false, true) => return Ok(Some(message)),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                message
                    .fields
                    .insert(name.to_lowercase(), value.trim().to_owned());
            }
        }
    }
}

/// Reads the body of a message as far as it comes. `pause` is called once, after the given number of bytes.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    mut pause: Option<(usize, Duration)>,
) -> io::Result<()> {
    let mut stop = |length: usize| {
        if let Some((_, time)) = pause.filter(|(after, _)| length >= *after) {
            pause = None;
            thread::sleep(time);
        }
    };
    if message.field("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(());
            };
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                message.is_whole = true;
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
            stop(message.body.len());
        }
    }
    let length: usize = message.field("content-length").parse().unwrap_or(0);
    while message.body.len() < length {
        let mut part = vec![0; (length - message.body.len()).min(1_024)];
        let count = reader.read(&mut part)?;
        if count == 0 {
            return Ok(());
        }
        message.body.extend_from_slice(&part[..count]);
        stop(message.body.len());
    }
    message.is_whole = true;
    Ok(())
}

/// Connects with a receive buffer of a given size, as a small client has it.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(ErrorKind::Unsupported.into());
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&2_u16.to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: plain calls of the C library with valid pointers; the descriptor is owned by the returned stream.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        // SOL_SOCKET and SO_RCVBUF of Linux on x86-64 and arm64.
        setsockopt(fd, 1, 8, &bytes, 4);
        match connect(fd, raw.as_ptr(), 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// Returns a port that is free on all given addresses.
pub fn free_port(hosts: &[&str]) -> u16 {
    for _ in 0..200 {
        let Ok(first) = TcpListener::bind((hosts[0], 0)) else {
            continue;
        };
        let port = first.local_addr().map_or(0, |it| it.port());
        let is_free = |host: &&str| TcpListener::bind((*host, port)).is_ok();
        if port > 0 && hosts[1..].iter().all(|host| is_free(&host)) {
            return port;
        }
    }
    give_up("no free port")
}

// ---- the platform's store ----

#[derive(Default)]
struct Database {
    version: u64,
    rows: BTreeMap<(String, String), (u64, String)>,
    /// Version, table, key and value of each change; no value for a removal.
    history: Vec<(u64, String, String, Option<String>)>,
}

impl Database {
    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        let id = (table.to_owned(), key.to_owned());
        self.history
            .push((self.version, id.0.clone(), id.1.clone(), value.clone()));
        match value {
            Some(value) => self.rows.insert(id, (self.version, value)),
            None => self.rows.remove(&id),
        };
    }
}

/// The platform's store, as its page describes it: rows, conditional transactions and the feed of changes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Database>, Condvar)>,
    /// While it is set, calls get 503 and have no effect.
    pub is_down: Arc<AtomicBool>,
}

fn row_text(table: &str, key: &str, version: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"Table":"{table}","part":"","Key":"{key}","Value":"{value}","Ver":{version}}}"#
        ),
        None => format!(
            r#"{{"Table":"{table}","part":"","Key":"{key}","Value":"","Ver":{version},"Tombstone":true}}"#
        ),
    }
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

impl Store {
    pub fn start() -> Self {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            give_up("the store has no port")
        };
        let Ok(address) = listener.local_addr() else {
            give_up("the store has no address")
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::default(), Condvar::new())),
            is_down: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row on behalf of the operator or a replica. Fails while the store is down.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        if self.is_down.load(Ordering::SeqCst) {
            return false;
        }
        let mut database = self.shared.0.lock().unwrap();
        database.version += 1;
        database.write(table, key, Some(base64(value.as_bytes())));
        self.shared.1.notify_all();
        true
    }

    /// Writes a row as soon as the store takes it, like a replica that repeats its liveness report.
    pub fn put_until_taken(&self, table: &str, key: &str, value: &str) {
        while !self.put(table, key, value) {
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, None).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match self.is_down.load(Ordering::SeqCst) {
                true => (503, "{}".to_owned()),
                false => self.answer(&request),
            };
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer
                .write_all(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_query(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/rows-get" => self.read(
                &text("Table"),
                &text("From"),
                &text("Target"),
                text("Limit").parse().unwrap_or(500),
            ),
            "/v1/rows-feed" => self.watch(
                &text("Table"),
                text("SinceRev").parse().unwrap_or(0),
                text("WaitMs").parse().unwrap_or(0),
            ),
            "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(&self, table: &str, from: &str, to: &str, limit: usize) -> (u16, String) {
        let database = self.shared.0.lock().unwrap();
        let rows: Vec<String> = database
            .rows
            .range((table.to_owned(), from.to_owned())..)
            .take_while(|((it, key), _)| it == table && (to.is_empty() || key.as_str() < to))
            .map(|((_, key), (version, value))| row_text(table, key, *version, Some(value)))
            .collect();
        let has_more = rows.len() > limit;
        let rows = rows[..rows.len().min(limit)].join(",");
        (
            200,
            format!(
                r#"{{"Rows":[{rows}],"HasMore":{has_more},"Ver":{},"NowMs":1}}"#,
                database.version
            ),
        )
    }

    fn watch(&self, table: &str, since: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut database = self.shared.0.lock().unwrap();
        loop {
            let changes = database
                .history
                .iter()
                .filter(|(version, it, _, _)| *version > since && it == table);
            let rows: Vec<String> = changes
                .map(|(version, _, key, value)| row_text(table, key, *version, value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (
                    200,
                    format!(
                        r#"{{"Rows":[{}],"Ver":{},"NowMs":1}}"#,
                        rows.join(","),
                        database.version
                    ),
                );
            }
            database = self.shared.1.wait_timeout(database, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut database = self.shared.0.lock().unwrap();
        let expected = call.list("ExpectedRev");
        let current = |row: &Json| {
            let id = (row.text("Table"), row.text("Key"));
            database.rows.get(&id).cloned().unwrap_or_default()
        };
        if expected
            .iter()
            .any(|row| current(row).0 != row.number("Ver"))
        {
            let rows: Vec<String> = expected
                .iter()
                .map(|row| (row, current(row)))
                .filter(|(_, (version, _))| *version > 0)
                .map(|(row, (version, value))| {
                    row_text(&row.text("Table"), &row.text("Key"), version, Some(&value))
                })
                .collect();
            return (
                412,
                format!(
                    r#"{{"Rows":[{}],"Ver":{},"NowMs":1}}"#,
                    rows.join(","),
                    database.version
                ),
            );
        }
        database.version += 1;
        for row in call.list("Upserts") {
            database.write(
                &row.text("Table"),
                &row.text("Key"),
                Some(row.text("Value")),
            );
        }
        for row in call.list("Remove") {
            database.write(&row.text("Table"), &row.text("Key"), None);
        }
        let version = database.version;
        self.shared.1.notify_all();
        (200, format!(r#"{{"Ver":{version},"NowMs":1}}"#))
    }

    /// Writes the desired state: one resumable and one plain streaming route, a read and a write, and one tenant.
    pub fn configure(&self, version: u64) {
        let route = |name: &str,
                     kind: &str,
                     service: &str,
                     objective: u32,
                     timeout: u32,
                     resumes: bool| {
            format!(
                r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"/{name}/","Kind":"{kind}","TimeoutMs":{timeout},"TargetLatencyMs":{objective},"Priority":1,"Service":"{service}","MaxAttempts":2,"Public":false,"SessionAffinity":false,"StreamResume":{resumes},"GapTargetMs":600}}"#
            )
        };
        let routes = [
            route("plan", "streaming", "model", 1_000, 12_000, true),
            route("draft", "streaming", "model", 1_000, 12_000, false),
            route("lookup", "safe", "booking", 100, 1_000, false),
            route("reserve", "unsafe", "booking", 100, 1_000, false),
        ];
        let service = |name: &str, channels: u32| {
            format!(
                r#"{{"Name":"{name}","HealthPath":"/health","MaxConnections":{channels},"ColdStartS":0,"ColdPerS":0}}"#
            )
        };
        let state = format!(
            r#"{{"Version":{version},"Routes":[{}],"Services":[{},{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":2000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"club","ApiKeys":["{KEY}"]}}]}}"#,
            routes.join(","),
            service("model", 370),
            service("booking", 110),
        );
        self.put("op", "config", &state);
    }
}

pub const HOST: &str = "lanes.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

// ---- replicas ----

/// What a replica is, and what its answers are like.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub version: String,
    pub port: u16,
    pub slots: u32,
    pub events: u32,
    pub event_ms: u64,
    /// The bytes of filling in each event.
    pub event_bytes: usize,
    /// Whether answers have neither a length nor chunks and end with their channel.
    pub is_unframed: bool,
}

impl Kind {
    fn row(&self, born: u64) -> String {
        let stage = if self.service == "model" {
            r#","Stage":"both""#
        } else {
            ""
        };
        format!(
            r#"{{"Service":"{}","Address":"127.0.0.1:{}","Zone":"{}","Version":"{}","Slots":{},"State":"ready","ColdLeftMs":0,"CallSeq":0,"born":{born}{stage}}}"#,
            self.service, self.port, self.zone, self.version, self.slots
        )
    }
}

/// A replica that runs as a process of its own.
pub struct Replica {
    pub kind: Kind,
    child: Child,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Replica {
    /// Starts a replica and waits until it listens. It registers itself as soon as the store takes that.
    pub fn start(
        kind: Kind,
        store: &Store,
        runs: Arc<Mutex<Vec<String>>>,
        record: &Record,
    ) -> Self {
        let Ok(program) = std::env::current_exe() else {
            give_up("no program")
        };
        let Kind {
            id,
            version,
            port,
            events,
            event_ms,
            event_bytes,
            is_unframed,
            ..
        } = &kind;
        let child = Command::new(program)
            .args([
                "replica",
                id,
                version,
                &port.to_string(),
                &events.to_string(),
                &event_ms.to_string(),
                &event_bytes.to_string(),
                if *is_unframed { "unframed" } else { "chunks" },
            ])
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else {
            give_up("a replica does not start")
        };
        note_child(&child);
        let Some(stdout) = child.stdout.take() else {
            give_up("a replica has no output")
        };
        let mut lines = BufReader::new(stdout).lines();
        if lines.next().is_none() {
            give_up("a replica does not listen");
        }
        let (sink, noted) = (runs.clone(), record.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                noted.note(&format!("replica: {line}"));
                sink.lock().unwrap().push(line);
            }
        });
        record.note(&format!(
            "replica {} of version {} listens",
            kind.id, kind.version
        ));
        let (store, row, name) = (store.clone(), kind.row(unix_ms()), kind.id.clone());
        let noted = record.clone();
        thread::spawn(move || {
            store.put_until_taken("servers", &name, &row);
            noted.note(&format!("replica {name} has registered itself"));
        });
        Self { kind, child, runs }
    }

    /// Kills the process, and starts it again under its id at its address with another version of its software.
    pub fn restart_as(&mut self, version: &str, down: Duration, store: &Store, record: &Record) {
        record.note(&format!("SIGKILL of replica {}", self.kind.id));
        end_child(&mut self.child);
        thread::sleep(down);
        let kind = Kind {
            version: version.to_owned(),
            ..self.kind.clone()
        };
        let again = Self::start(kind, store, self.runs.clone(), record);
        *self = again;
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        end_child(&mut self.child);
    }
}

/// Serves as a replica if the program was started as one.
pub fn become_replica() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).map(String::as_str) != Some("replica") {
        return;
    }
    let number = |index: usize| arguments[index].parse::<u64>().unwrap_or(0);
    let (id, version) = (arguments[2].clone(), arguments[3].clone());
    let (events, event_ms, event_bytes) = (number(5), number(6), number(7) as usize);
    let is_unframed = arguments[8] == "unframed";
    let listener = TcpListener::bind(("127.0.0.1", number(4) as u16));
    let Ok(listener) = listener else {
        std::process::exit(1)
    };
    println!("listens");
    for stream in listener.incoming().flatten() {
        let (id, version) = (id.clone(), version.clone());
        thread::spawn(move || {
            let _ = serve_replica(
                stream,
                &id,
                &version,
                events,
                event_ms,
                event_bytes,
                is_unframed,
            );
        });
    }
    std::process::exit(0)
}

fn serve_replica(
    stream: TcpStream,
    id: &str,
    version: &str,
    events: u64,
    event_ms: u64,
    event_bytes: usize,
    is_unframed: bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = read_head(&mut reader)? {
        read_body(&mut reader, &mut request, None)?;
        let request_id = request.field("sardinemux-request-id").to_owned();
        let expected = request.field("sardinemux-expect-instance");
        if request_id.is_empty() || !expected.is_empty() && expected != id {
            let status = if expected != id { 421 } else { 400 };
            let head = format!("HTTP/1.1 {status} -\r\nSardinemux-Instance-Id: {id}\r\nSardinemux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            writer.write_all(head.as_bytes())?;
            continue;
        }
        let last: u64 = request.field("last-event-id").parse().unwrap_or(0);
        println!("{id} {version} runs {request_id} after event {last}");
        let head = format!("HTTP/1.1 200 OK\r\nSardinemux-Request-Id: {request_id}\r\nSardinemux-Response-Stamp: {id}.{version}\r\n");
        if request.path().starts_with("/plan") || request.path().starts_with("/draft") {
            let framing = match is_unframed {
                true => "Connection: close",
                false => "Transfer-Encoding: chunked",
            };
            writer.write_all(
                format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n").as_bytes(),
            )?;
            for number in last + 1..=events {
                thread::sleep(Duration::from_millis(event_ms));
                let event = format!(
                    "id: {number}\ndata: {version} {}\n\n",
                    "t".repeat(event_bytes)
                );
                let piece = match is_unframed {
                    true => event,
                    false => format!("{:x}\r\n{event}\r\n", event.len()),
                };
                writer.write_all(piece.as_bytes())?;
            }
            if !is_unframed {
                writer.write_all(b"0\r\n\r\n")?;
            }
            println!("{id} {version} has completed {request_id}");
            if is_unframed {
                return Ok(());
            }
        } else {
            thread::sleep(Duration::from_millis(15));
            let body = "b".repeat(800);
            writer.write_all(
                format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes(),
            )?;
        }
    }
    Ok(())
}

// ---- gateways ----

/// A gateway: the program of the deploy file, with settings that its template renders.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

static FOLDERS: AtomicU64 = AtomicU64::new(0);

/// Renders the template: values, and sections that depend on whether there is a value.
fn render(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let Some(length) = text[begin..].find("}}") else {
            give_up("the template is malformed")
        };
        let name = text[begin + 3..begin + length].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let Some(end) = text.find(&close) else {
            give_up("the template is malformed")
        };
        let inner = text[begin + length + 2..end].to_owned();
        let is_set = values
            .get(name.as_str())
            .is_some_and(|value| value != "false");
        text.replace_range(begin..end + close.len(), if is_set { &inner } else { "" });
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Gateway {
    /// Starts `count` gateways, each at an IP number of its own, and waits until they are ready.
    pub fn start_all(count: usize, store: &Store, record: &Record) -> Vec<Gateway> {
        let hosts: Vec<String> = (0..count)
            .map(|index| format!("127.0.13.{}", index + 1))
            .collect();
        let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
        let ports: Vec<u16> = (0..4).map(|_| free_port(&hosts)).collect();
        let Ok(template) = fs::read_to_string("deploy/front.ini") else {
            give_up("no template in deploy/front.ini")
        };
        let Ok(deploy) = fs::read_to_string("deploy/system.toml") else {
            give_up("no deploy file")
        };
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let Some(run) = run.map(|it| it.trim().trim_matches('"').to_owned()) else {
            give_up("the deploy file runs nothing")
        };
        let seeds: Vec<String> = hosts
            .iter()
            .take(3)
            .map(|host| format!("{host}:{}", ports[2]))
            .collect();
        let gateways: Vec<Gateway> = hosts
            .iter()
            .enumerate()
            .map(|(index, host)| {
                let name = format!("front-{}", index + 1);
                let values: BTreeMap<&str, String> = [
                    ("Node", name.clone()),
                    ("Zone", format!("zone-{}", index % 3 + 1)),
                    ("Listen.Front", format!("{host}:{}", ports[0])),
                    ("Listen.Ready", format!("{host}:{}", ports[1])),
                    ("Listen.Control", format!("{host}:{}", ports[2])),
                    ("Ip", (*host).to_owned()),
                    ("PortRange.0", ports[3].to_string()),
                    ("Seeds", seeds.join(",")),
                    ("Limits.MemoryMb", "260".to_owned()),
                    ("Limits.LinkMbps", "1000".to_owned()),
                    ("Platform.Address", store.address.to_string()),
                    ("Bootstrap", "true".to_owned()),
                    ("Bounds.GraceS", "8".to_owned()),
                    ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
                    ("Bounds.BudgetExtra", "58".to_owned()),
                    ("Bounds.CapFactor", "2".to_owned()),
                    ("Contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform".to_owned()),
                ]
                .into();
                let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
                let folder = std::env::temp_dir().join(format!("sardinemux-case-{}-{number}", std::process::id()));
                let settings = folder.join("boot");
                let made = fs::create_dir_all(&folder).and_then(|()| fs::write(&settings, render(&template, &values)));
                if made.is_err() {
                    give_up("no folder for settings");
                }
                let output = OpenOptions::new().create(true).append(true).open(folder.join("log"));
                let Ok(output) = output else { give_up("no log") };
                let mut words = run.split(' ');
                let child = Command::new(words.next().unwrap_or_default())
                    .args(words)
                    .env("SARDINEMUX_BOOT", &settings)
                    .stdin(Stdio::null())
                    .stdout(output)
                    .stderr(Stdio::inherit())
                    .spawn();
                let Ok(child) = child else { give_up("the program of the deploy file does not start") };
                note_child(&child);
                let address = |port: u16| format!("{host}:{port}").parse().unwrap();
                Gateway { name, callers: address(ports[0]), ready: address(ports[1]), child, folder }
            })
            .collect();
        let until = Instant::now() + Duration::from_secs(15);
        for gateway in &gateways {
            while !gateway.is_ready() {
                if Instant::now() > until {
                    give_up(&format!("{} does not get ready", gateway.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
            record.note(&format!("{} is ready", gateway.name));
        }
        gateways
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        matches!(read_head(&mut BufReader::new(stream)), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Stops the process for good, without a word to anyone, like a machine that loses its power.
    pub fn stop(&self) {
        // SAFETY: a plain call of the C library; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, SIGSTOP) };
    }

    /// Returns whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        end_child(&mut self.child);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

// ---- requesters ----

/// Returns a request of a requester.
pub fn request(method: &str, path: &str, id: &str, time_budget_ms: u64) -> String {
    let length = if method == "POST" {
        "Content-Length: 2\r\n"
    } else {
        ""
    };
    let body = if method == "POST" { "{}" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nSardinemux-Request-Id: {id}\r\nSardinemux-Deadline-Ms: {time_budget_ms}\r\nApi-Key: {KEY}\r\n{length}\r\n{body}"
    )
}

/// Returns the numbers and versions of the events in the body of an answer.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let events = whole.split("\n\n").filter_map(|event| {
        let number = event.lines().find_map(|line| line.strip_prefix("id: "))?;
        let version = event.lines().find_map(|line| line.strip_prefix("data: "))?;
        let version = version.split(' ').next()?;
        Some((number.parse().ok()?, version.to_owned()))
    });
    events.collect()
}
