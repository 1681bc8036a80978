//! A gateway in this process, targets that follow a script, and a caller, all on the loopback interface.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::net::{SocketAddr, TcpListener as Port};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::header::HeaderName;
use parking_lot::Mutex;
use sardinemux_core::catalog::{Definition, Kind, Limits, Organisation, Pool, Route, Share};
use sardinemux_core::prompt::Prompt;
use sardinemux_core::roster::Announcement;
use sardinemux_core::target::{self, Target};
use sardinemux_gateway::dialect::Dialect;
use sardinemux_gateway::prelude::Gateway;
use sardinemux_gateway::run;
use sardinemux_gateway::settings::{Bounds, Settings};
use sardinemux_gateway::source::{Batch, Entry, Fact, Source, Topic};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// The route's time-out in the tests, in milliseconds.
pub const TIMEOUT_MS: u64 = 1_500;

/// Returns the names of headers that the tests use.
pub fn dialect() -> Dialect {
    let name = HeaderName::from_static;
    Dialect {
        request_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        key: name("x-key"),
        organisation: name("x-organisation"),
        expected_target: name("x-expect"),
        signature: name("x-signature"),
        not_run: name("x-not-run"),
        load: name("x-load"),
        priority: name("x-priority"),
        cache_source: name("x-cache-source"),
        last_event: name("last-event-id"),
        cold_ms: name("x-cold"),
        reserved: vec![name("x-organisation"), name("x-expect"), name("x-hold")],
        parse_prompt: |_| Prompt::default(),
        parse_load: |_| None,
        ready_path: "/ready",
    }
}

/// The ports that gateways of tests use: below those that the system gives to outgoing connections, which would take
/// a port between its choice and its use.
const PORTS: std::ops::Range<u16> = 30_500..32_700;

/// Where the search for free ports goes on.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

fn free_ports(count: usize) -> Vec<SocketAddr> {
    let own = (std::process::id() % PORTS.len() as u32) as u16;
    let mut found = Vec::new();
    while found.len() < count {
        let next = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + (own.wrapping_add(next)) % PORTS.len() as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if Port::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
}

/// Returns settings with free ports.
pub fn settings() -> Settings {
    let ports = free_ports(5);
    let address = |index: usize| ports[index];
    Settings {
        name: "g1".into(),
        zone: "z1".into(),
        caller_address: address(0),
        ready_address: address(1),
        metrics_address: address(2),
        peer_address: address(3),
        seeds: Vec::new(),
        link_mbps: 1_000,
        listen_ms: 0,
        store_address: address(4),
        bounds: Bounds {
            grace_ms: 8_000,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            load_multiple: 2.0,
        },
    }
}

/// Starts a gateway in a task.
pub fn spawn(settings: Settings, source: Source) -> Arc<Gateway> {
    let gateway = Arc::new(Gateway::new(settings.clone(), dialect()).unwrap());
    let reload = move || Ok(settings.clone());
    let running = run::run(gateway.clone(), source, Box::new(reload));
    tokio::spawn(async move {
        if let Err(error) = running.await {
            eprintln!("a gateway ended: {error}");
        }
    });
    gateway
}

/// Returns the announcement of a target.
pub fn announcement(id: &str, address: &str) -> Announcement {
    let target = Target {
        id: id.into(),
        kind: target::Kind::Service,
        pool: "p".into(),
        address: address.into(),
        zone: "z1".into(),
        region: "r1".into(),
        slots: 8,
        leaving: false,
    };
    Announcement {
        target,
        lifetime: 1,
        cold_ms: 0,
    }
}

/// Returns an entry of a target.
pub fn entry(announcement: Announcement, version: u64) -> Entry {
    Entry {
        key: announcement.target.id.clone(),
        fact: Some(Fact::Target(announcement)),
        version,
        may_return: false,
    }
}

fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: prefix.into(),
        host: "test.example".into(),
        prefix: prefix.into(),
        kind,
        timeout_ms: TIMEOUT_MS,
        objective_ms: 200,
        priority: 1,
        shares: vec![Share {
            pool: "p".into(),
            weight: 1,
        }],
        attempts_max: 2,
        is_public: false,
    }
}

/// Returns a catalogue with a route of each kind.
pub fn definition() -> Definition {
    let stream = |is_resumable| Kind::Stream { is_resumable };
    Definition {
        version: 1,
        routes: vec![
            route("/safe/", Kind::Safe),
            route("/unsafe/", Kind::Unsafe),
            route("/stream/", stream(false)),
            route("/resumable/", stream(true)),
        ],
        pools: vec![Pool {
            name: "p".into(),
            connections_max: 100,
            cold_ms: 0,
            cold_per_s: 0.0,
            engine: None,
        }],
        organisations: vec![Organisation {
            name: "o1".into(),
            keys: vec!["k1".into()],
            priority: None,
        }],
        limits: Limits {
            body_bytes: 1_000,
            ..Limits::default()
        },
    }
}

/// A source that lists a catalogue and targets once, and has no news after that.
pub fn source(targets: Vec<Announcement>, has_catalog: bool) -> Source {
    let list = move |topic: Topic| {
        let entries = match topic {
            Topic::Operators if has_catalog => vec![Entry {
                key: "config".into(),
                fact: Some(Fact::Catalog(Arc::new(definition()))),
                version: 1,
                may_return: false,
            }],
            Topic::Targets => targets.iter().cloned().map(|it| entry(it, 1)).collect(),
            _ => Vec::new(),
        };
        async move {
            Ok(Batch {
                entries,
                version: 1,
            })
        }
        .boxed()
    };
    Source {
        list: Box::new(list),
        watch: Box::new(|_, since| {
            async move {
                time::sleep(Duration::from_secs(60)).await;
                Ok(Batch {
                    entries: Vec::new(),
                    version: since,
                })
            }
            .boxed()
        }),
        register: Box::new(|_, _| async { Ok(()) }.boxed()),
    }
}

/// What a target does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Answers whole.
    Answer,
    /// Answers with a server error of its own.
    Fail,
    /// Says that it did not run the request.
    TurnAway,
    /// Resets the connection once it has read the request.
    Reset,
    /// Answers another request.
    Cross,
    /// Promises more bytes than it sends.
    Truncate,
    /// Never answers.
    Hang,
    /// Sends events 1 and 2 and half of event 3, and resets.
    BreakStream,
    /// Sends the events after the last one that the caller has, up to 4.
    Stream,
    /// Sends events 1 to 4, whatever the caller has.
    Replay,
    /// Sends events 1 and 3, as if a piece of another stream had come instead of event 2, and ends cleanly.
    SkipEvent,
    /// Sends event 2 twice, and ends cleanly.
    RepeatEvent,
}

/// What a target saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The requests, heads and bodies.
    pub requests: Vec<String>,
    /// The connections that ended while a request was unanswered.
    pub left: usize,
}

/// A target that follows a script.
pub struct Script {
    /// The address.
    pub address: SocketAddr,
    /// What it saw.
    pub seen: Arc<Mutex<Seen>>,
}

impl Script {
    /// Starts a target.
    pub async fn start(act: Act) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = seen.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(follow(stream, act, shared.clone()));
            }
        });
        Self { address, seen }
    }

    /// Returns a target that has crashed: nobody listens at its address.
    pub fn gone() -> Self {
        let port = Port::bind("127.0.0.1:0").unwrap();
        Self {
            address: port.local_addr().unwrap(),
            seen: Arc::default(),
        }
    }

    /// Returns how many requests arrived.
    pub fn arrivals(&self) -> usize {
        self.seen.lock().requests.len()
    }
}

async fn follow(mut stream: TcpStream, act: Act, seen: Arc<Mutex<Seen>>) {
    while let Some(request) = read_request(&mut stream).await {
        seen.lock().requests.push(request.clone());
        let id = header(&request, "x-id").unwrap_or_default();
        let answer = match act {
            Act::Answer => whole(200, &id, "answer"),
            Act::Fail => whole(500, &id, "failed"),
            Act::TurnAway => {
                "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".into()
            }
            Act::Cross => whole(200, "another", "another answer"),
            Act::Truncate => {
                whole(200, &id, "answer").replace("content-length: 6", "content-length: 60")
            }
            Act::BreakStream => events(
                &id,
                &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"],
            ),
            Act::SkipEvent => {
                events(&id, &["id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n"]) + "0\r\n\r\n"
            }
            Act::RepeatEvent => {
                let event = "id: 2\ndata: b\n\n";
                events(&id, &["id: 1\ndata: a\n\n", event, event]) + "0\r\n\r\n"
            }
            Act::Stream | Act::Replay => {
                let last = header(&request, "last-event-id").and_then(|last| last.parse().ok());
                let last = last.filter(|_| act == Act::Stream);
                let all =
                    (last.unwrap_or(0) + 1..=4).map(|id: u32| format!("id: {id}\ndata: x\n\n"));
                let all: Vec<String> = all.collect();
                let all: Vec<&str> = all.iter().map(String::as_str).collect();
                events(&id, &all) + "0\r\n\r\n"
            }
            Act::Reset | Act::Hang => String::new(),
        };
        if act == Act::Hang {
            let mut rest = [0; 16];
            let _ = stream.read(&mut rest).await;
            seen.lock().left += 1;
            return;
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
        if matches!(act, Act::Reset | Act::Truncate | Act::BreakStream) {
            stream.flush().await.unwrap();
            time::sleep(Duration::from_millis(30)).await;
            stream.set_zero_linger().unwrap();
            return;
        }
    }
}

fn whole(status: u16, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn events(id: &str, events: &[&str]) -> String {
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for event in events {
        answer.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    answer
}

/// Reads a request with its body; nothing once the connection ends.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length =
                header(&text, "content-length").map_or(0, |length| length.parse().unwrap());
            if text.len() >= end + 4 + length {
                return Some(text);
            }
        }
        let mut piece = [0; 4_096];
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
        }
    }
}

/// Returns a header's value.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let line = head
        .lines()
        .find(|line| line.to_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// A running gateway.
pub struct Running {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
}

impl Running {
    /// Starts a gateway before targets and waits until it listens.
    pub async fn start(targets: &[&Script], has_catalog: bool) -> Self {
        let targets = targets.iter().enumerate();
        let targets = targets
            .map(|(index, script)| announcement(&format!("t{index}"), &script.address.to_string()));
        let source = source(targets.collect(), has_catalog);
        let settings = settings();
        let (callers, ready) = (settings.caller_address, settings.ready_address);
        spawn(settings, source);
        while TcpStream::connect(callers).await.is_err() {
            time::sleep(Duration::from_millis(10)).await;
        }
        let gateway = Self { callers, ready };
        while has_catalog && !gateway.is_ready().await {
            time::sleep(Duration::from_millis(10)).await;
        }
        gateway
    }

    /// Returns whether the gateway says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let answer = exchange(
            self.ready,
            "GET /ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
        );
        answer.await.starts_with("HTTP/1.1 200")
    }

    /// Sends a request and returns everything that comes until the connection ends.
    pub async fn call(&self, method: &str, path: &str, headers: &str, body: &str) -> String {
        let request = request(method, path, headers, body);
        exchange(self.callers, &request).await
    }
}

/// Puts a request together.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: test.example\r\nx-id: r1\r\nx-key: k1\r\n\
         connection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// Sends bytes and returns everything that comes until the connection ends.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset ends the answer as an end of the stream does.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}
