//! Stand-ins for the cases of this review: the platform's store, replicas and requesters, and the start of gateways.
//! It needs the standard library alone. Each case is a small program that includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes lines with the time since the start to `record.txt` of the case and to standard output.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &str) -> Arc<Record> {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Record { began: Instant::now(), file: Mutex::new(file) })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:7} {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line that is shown to the person who runs the case, too.
    pub fn show(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the case: it could not run.
pub fn cannot_run(why: &str) -> ! {
    println!("the case could not run: {why}");
    std::process::exit(2)
}

/// Whether the disruption of the case is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Gives the channels that a listener accepts small receive windows, as the links of the platform have.
pub fn set_small_windows(listener: &TcpListener) {
    use std::os::fd::AsRawFd;
    let bytes: i32 = 32 << 10;
    // SOL_SOCKET and SO_RCVBUF on Linux.
    if unsafe { setsockopt(listener.as_raw_fd(), 1, 8, &bytes, 4) } != 0 {
        cannot_run("cannot set the receive window");
    }
}

/// Returns a port that is free on an address now.
pub fn free_port(ip: &str) -> u16 {
    match TcpListener::bind((ip, 0)).and_then(|it| it.local_addr()) {
        Ok(address) => address.port(),
        Err(error) => cannot_run(&format!("no free port on {ip}: {error}")),
    }
}

// ---------------------------------------------------------------- HTTP

/// The head of a message: its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|it| it.contains("chunked"))
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
    }
}

pub fn read_exact(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the body of an answer, whose end a length, the last chunk or the end of the connection marks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if !head.is_chunked() {
        if head.get("content-length").is_some() {
            return read_exact(reader, head.length());
        }
        let mut body = Vec::new();
        reader.read_to_end(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        body.extend(read_exact(reader, size)?);
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

// ---------------------------------------------------------------- base64 and JSON

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, at| word << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(ALPHABET[(word >> (18 - 6 * at)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A JSON value, as far as the calls of the store need it.
#[derive(Clone, Debug)]
pub enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        parse_json(&chars, &mut 0)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(it, _)| it == name).map_or(&Json::Other, |(_, value)| value)
            }
            _ => &Json::Other,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn parse_json(chars: &[char], at: &mut usize) -> Json {
    skip_blanks(chars, at);
    match chars.get(*at) {
        Some('"') => Json::Text(parse_text(chars, at)),
        Some('[') => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(chars, at);
                match chars.get(*at) {
                    Some(']') | None => break,
                    Some(',') => *at += 1,
                    _ => items.push(parse_json(chars, at)),
                }
            }
            *at += 1;
            Json::List(items)
        }
        Some('{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(chars, at);
                match chars.get(*at) {
                    Some('}') | None => break,
                    Some(',') => *at += 1,
                    _ => {
                        let name = parse_text(chars, at);
                        skip_blanks(chars, at);
                        *at += 1;
                        fields.push((name, parse_json(chars, at)));
                    }
                }
            }
            *at += 1;
            Json::Object(fields)
        }
        _ => {
            let begin = *at;
            while chars.get(*at).is_some_and(|it| !matches!(it, ',' | ']' | '}') && !it.is_whitespace()) {
                *at += 1;
            }
            let word: String = chars[begin..*at].iter().collect();
            *at += usize::from(begin == *at);
            word.parse().map_or(Json::Other, Json::Number)
        }
    }
}

fn skip_blanks(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|it| it.is_whitespace()) {
        *at += 1;
    }
}

fn parse_text(chars: &[char], at: &mut usize) -> String {
    let mut text = String::new();
    *at += 1;
    while let Some(next) = chars.get(*at) {
        *at += 1;
        match next {
            '"' => break,
            '\\' => {
                let escaped = chars.get(*at).copied().unwrap_or('"');
                *at += 1;
                text.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    other => other,
                });
            }
            other => text.push(*other),
        }
    }
    text
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Rows {
    version: u64,
    /// The version and value of each row, in base64, by table and key; a removed row has no value.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// The platform's store: rows, their feed and transactions.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let store = Arc::new(Store {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    /// Writes a row, as operators and replicas do; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = (rows.version, value.map(|value| base64(value.as_bytes())));
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_exact(&mut reader, head.length())?;
            let body = String::from_utf8_lossy(&body).into_owned();
            sleep_ms(4);
            let (status, answer) = self.answer(head.path(), &body);
            let length = answer.len();
            write!(writer, "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {length}\r\n\r\n{answer}")?;
        }
        Ok(())
    }

    fn answer(&self, path: &str, body: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(it, _)| *it == name).map(|(_, value)| decode_percent(value)).next();
            found.unwrap_or_default()
        };
        let now_ms = self.began.elapsed().as_millis();
        match path {
            "/v1/rows-get" => {
                let (table, from, to) = (value("Table"), value("From"), value("Target"));
                let limit: usize = value("Limit").parse().unwrap_or(500).min(500);
                let rows = self.rows.lock().unwrap();
                let found = rows.rows.iter().filter(|((it, key), (_, value))| {
                    *it == table && value.is_some() && *key >= from && (to.is_empty() || *key < to)
                });
                let found: Vec<String> = found.map(|(id, row)| show_row(id, row)).collect();
                let has_more = found.len() > limit;
                let list = found.into_iter().take(limit).collect::<Vec<_>>().join(",");
                (200, format!("{{\"Rows\":[{list}],\"HasMore\":{has_more},\"Ver\":{},\"NowMs\":{now_ms}}}", rows.version))
            }
            "/v1/rows-feed" => {
                let (table, since) = (value("Table"), value("SinceRev").parse().unwrap_or(0u64));
                let until = Instant::now() + Duration::from_millis(value("WaitMs").parse().unwrap_or(0));
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let found = rows.rows.iter().filter(|((it, _), (ver, _))| *it == table && *ver > since);
                    let mut found: Vec<_> = found.collect();
                    found.sort_by_key(|(_, (ver, _))| *ver);
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let list: Vec<String> = found.into_iter().map(|(id, row)| show_row(id, row)).collect();
                        return (200, format!("{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{now_ms}}}", list.join(","), rows.version));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/v1/rows-tx" => self.transact(&Json::parse(body), now_ms),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &Json, now_ms: u128) -> (u16, String) {
        let mut rows = self.rows.lock().unwrap();
        let id = |it: &Json| (it.get("Table").text(), it.get("Key").text());
        if body.get("Upserts").list().iter().chain(body.get("Remove").list()).any(|it| matches!(id(it).0.as_str(), "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        let expected = body.get("ExpectedRev").list();
        let current = |it: &Json| rows.rows.get(&id(it)).filter(|(_, value)| value.is_some());
        if expected.iter().any(|it| current(it).map_or(0, |row| row.0) != it.get("Ver").number()) {
            let found = expected.iter().filter_map(|it| Some(show_row(&id(it), current(it)?)));
            let list = found.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"Rows\":[{list}],\"Ver\":{},\"NowMs\":{now_ms}}}", rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for it in body.get("Upserts").list() {
            rows.rows.insert(id(it), (version, Some(it.get("Value").text())));
        }
        for it in body.get("Remove").list() {
            rows.rows.insert(id(it), (version, None));
        }
        self.changed.notify_all();
        (200, format!("{{\"Ver\":{version},\"NowMs\":{now_ms}}}"))
    }
}

fn show_row((table, key): &(String, String), (ver, value): &(u64, Option<String>)) -> String {
    let rest = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Tombstone\":true".to_owned(),
    };
    format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{rest},\"Ver\":{ver}}}")
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------- gateways

/// A machine of the system with its process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    boot: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// The values of one machine's settings for the template.
fn setting(name: &str, values: &[(&str, String)]) -> String {
    values.iter().find(|(it, _)| *it == name).map(|(_, value)| value.clone()).unwrap_or_default()
}

/// Renders the template of the deploy file with values: sections are kept where their value is present.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(begin) = rest.find("{{") {
        text.push_str(&rest[..begin]);
        let end = rest.find("}}").unwrap_or_else(|| cannot_run("the template is malformed"));
        let name = &rest[begin + 2..end];
        rest = &rest[end + 2..];
        match name.strip_prefix('#') {
            Some(name) => {
                let close = format!("{{{{/{name}}}}}");
                let at = rest.find(&close).unwrap_or_else(|| cannot_run("the template is malformed"));
                if !setting(name, values).is_empty() {
                    text.push_str(&render(&rest[..at], values));
                }
                rest = &rest[at + close.len()..];
            }
            None => text.push_str(&setting(name, values)),
        }
    }
    text + rest
}

impl Gateway {
    /// Prepares the settings of a machine. All machines of a case have the same ports, on addresses of their own.
    pub fn new(folder: &PathBuf, number: u8, zone: &str, ports: &[u16; 4], machines: u8, store: &Store) -> Gateway {
        let ip = machine_ip(number);
        let seeds: Vec<String> = (0..machines.min(3)).map(|it| format!("{}:{}", machine_ip(it), ports[2])).collect();
        let name = format!("front-{zone}-{}", number + 1);
        let values = [
            ("Node", name.clone()),
            ("Zone", zone.to_owned()),
            ("Ip", ip.clone()),
            ("Listen.Front", format!("{ip}:{}", ports[0])),
            ("Listen.Ready", format!("{ip}:{}", ports[1])),
            ("Listen.Control", format!("{ip}:{}", ports[2])),
            ("PortRange.0", ports[3].to_string()),
            ("Seeds", seeds.join(",")),
            ("Limits.LinkMbps", "1000.0".to_owned()),
            ("Platform.Address", store.address.to_string()),
            ("Bootstrap", "true".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ("Bounds.BudgetExtra", "58".to_owned()),
            ("Bounds.CapFactor", "2".to_owned()),
        ];
        let template = fs::read_to_string("deploy/front.ini").unwrap_or_else(|error| cannot_run(&format!("deploy/front.ini: {error}")));
        let boot = folder.join(format!("{name}.ini"));
        fs::write(&boot, render(&template, &values)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Gateway {
            callers: format!("{ip}:{}", ports[0]).parse().unwrap(),
            ready: format!("{ip}:{}", ports[1]).parse().unwrap(),
            folder: folder.clone(),
            name,
            boot,
            child: None,
            starts: 0,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_default();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.unwrap_or_else(|| cannot_run("no command in deploy/system.toml")).trim_matches('"').to_owned();
        let mut words = run.split(' ');
        self.starts += 1;
        let log = File::create(self.folder.join(format!("{}.{}.log", self.name, self.starts))).unwrap();
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("SARDINEMUX_BOOT", &self.boot)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| cannot_run(&format!("{run}: {error}"))));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.pid().to_string()]).status();
    }

    /// Returns whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let probe = || -> io::Result<u16> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            (&stream).write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        probe().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run(&format!("{} is not ready after 15 s", self.name));
            }
            sleep_ms(50);
        }
    }

    /// Returns the memory that the process holds, in MB.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb: f64 = line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0.0);
        kb / 1024.0
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn machine_ip(number: u8) -> String {
    format!("127.0.7.{}", number + 1)
}

/// Returns four ports that are free on the addresses of the first machine: callers, ready, control, peers.
pub fn ports() -> [u16; 4] {
    [0; 4].map(|_| free_port(&machine_ip(0)))
}

/// Creates a temporary folder of this run.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&folder) {
        cannot_run(&format!("{}: {error}", folder.display()));
    }
    folder
}

// ---------------------------------------------------------------- requesters

/// What a requester saw of one request.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A complete answer.
    Answer { head: Head, body: Vec<u8> },
    /// The channel ended, or broke, before an answer was complete; with the status if its head had arrived.
    Cut { status: Option<u16>, why: String },
    /// No complete answer in the time that the requester waited.
    Nothing,
}

impl Seen {
    pub fn show(&self) -> String {
        match self {
            Seen::Answer { head, body } => format!("{} with {} bytes", head.status(), body.len()),
            Seen::Cut { status, why } => format!("cut ({why}), status {status:?}"),
            Seen::Nothing => "nothing".to_owned(),
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            Seen::Answer { head, .. } => head.status(),
            _ => 0,
        }
    }
}

/// A requester's channel.
pub struct Channel {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader })
    }

    /// Sends a request and waits for its whole answer.
    pub fn exchange(&mut self, request: &[u8], wait: Duration) -> Seen {
        if let Err(error) = self.stream.write_all(request) {
            return Seen::Cut { status: None, why: error.to_string() };
        }
        self.await_answer(wait)
    }

    /// Sends a request and reads the stream that answers it, until it ends or has no event for `patience`. Returns the events
    /// and bytes that came.
    pub fn read_events(&mut self, request: &[u8], patience: Duration) -> (usize, usize) {
        let (mut events, mut bytes) = (0, 0);
        if self.stream.write_all(request).is_err() {
            return (events, bytes);
        }
        let _ = self.stream.set_read_timeout(Some(patience));
        let mut last_event = Instant::now();
        let mut line = Vec::new();
        while last_event.elapsed() < patience {
            line.clear();
            match self.reader.read_until(b'\n', &mut line) {
                Ok(0) | Err(_) => break,
                Ok(count) => bytes += count,
            }
            if line.starts_with(b"id:") {
                events += 1;
                last_event = Instant::now();
            }
            if line == b"0\r\n" {
                break;
            }
        }
        (events, bytes)
    }

    pub fn await_answer(&mut self, wait: Duration) -> Seen {
        let _ = self.stream.set_read_timeout(Some(wait));
        let mut status = None;
        let mut read = || -> io::Result<Option<(Head, Vec<u8>)>> {
            let Some(head) = read_head(&mut self.reader)? else {
                return Ok(None);
            };
            status = Some(head.status());
            let body = read_body(&mut self.reader, &head)?;
            Ok(Some((head, body)))
        };
        match read() {
            Ok(Some((head, body))) => Seen::Answer { head, body },
            Ok(None) => Seen::Cut { status: None, why: "closed".to_owned() },
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Seen::Nothing,
            Err(error) => Seen::Cut { status, why: error.to_string() },
        }
    }
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str, body: &[u8]) -> Vec<u8> {
    let length = match (method, body.len()) {
        ("GET", 0) => String::new(),
        (_, length) => format!("Content-Length: {length}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nSardinemux-Request-Id: {id}\r\nSardinemux-Deadline-Ms: {deadline_ms}\r\nApi-Key: key-one\r\n{more}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Returns the text of an entry `servers/ID`.
pub fn server_entry(service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str, born: u64, more: &str) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\"CallSeq\":0,\"born\":{born}{more}}}"
    )
}

/// Returns the text of a desired state.
pub fn desired_state(version: u64, routes: &str, services: &str) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{services}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"tenant-one\",\"ApiKeys\":[\"key-one\"],\"Priority\":1}}]}}"
    )
}

pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u64, target_ms: u64, service: &str, attempts: u32, more: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"site.example\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{target_ms},\"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\"Public\":false{more}}}"
    )
}

pub fn service(name: &str, channels: u32) -> String {
    format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":{channels},\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}}")
}
