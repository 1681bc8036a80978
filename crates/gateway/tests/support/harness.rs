//! A gateway in the test process and a simple HTTP client, both on the loopback interface.

#![allow(dead_code, reason = "each test file uses a part of this")]

#[path = "mock.rs"]
pub mod mock;

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::header::HeaderName;
use hyper::HeaderMap;
use indexmap::IndexMap;
use parking_lot::Mutex;
use sardinemux_core::catalog::{Definition, Kind, Limits, Organisation, Pool, Route, Share};
use sardinemux_core::hash;
use sardinemux_core::origin::{Epoch, Origin, Proposal};
use sardinemux_core::position::Position;
use sardinemux_core::prompt::{Part, Prompt};
use sardinemux_core::roster::Announcement;
use sardinemux_core::speed::Stated;
use sardinemux_core::target::{self, Target};
use sardinemux_gateway::dialect::{Dialect, Load};
use sardinemux_gateway::prelude::Gateway;
use sardinemux_gateway::run;
use sardinemux_gateway::settings::{Bounds, Clients, Settings};
use sardinemux_gateway::source::{Batch, Entry, Fact, Source, StoredStatus, Topic};
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use mock::MockTarget;

/// The timeout of every route in the tests, in milliseconds.
pub const TIMEOUT_MS: u64 = 1_500;

/// Returns the dialect that the tests use.
pub fn dialect() -> Dialect {
    let name = HeaderName::from_static;
    Dialect {
        request_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        api_key: name("x-key"),
        organisation: name("x-organisation"),
        expected_target: name("x-expect"),
        rejecting_target: name("x-instance"),
        signature: name("x-signature"),
        not_run: name("x-not-run"),
        load: name("x-load"),
        limit: name("x-limit"),
        brittle: name("x-brittle"),
        leaving: name("x-leaving"),
        priority: name("x-priority"),
        cache_source: name("x-cache-source"),
        last_event_id: name("last-event-id"),
        resumes: name("x-resumes"),
        cold_ms: name("x-cold"),
        reserved: vec![name("x-organisation"), name("x-expect"), name("x-hold")],
        parse_prompt,
        parse_load: |text| Load {
            running: None,
            speed: Stated::of_percent(text),
        },
        ready_path: "/ready",
        status_path: "/status",
    }
}

/// Parses the parts of a prompt in the form `NAME:TOKENS`, separated by commas.
fn parse_prompt(headers: &HeaderMap) -> Prompt {
    let value = headers
        .get("x-prompt")
        .and_then(|value| value.to_str().ok());
    let parts = value.into_iter().flat_map(|value| value.split(','));
    let parts = parts.filter_map(|part| part.split_once(':'));
    let parts = parts.map(|(name, tokens)| Part {
        id: hash::digest(&[name.as_bytes()]),
        tokens: tokens.parse().unwrap(),
    });
    Prompt {
        parts: parts.collect(),
    }
}

/// The ports on which gateways listen in tests. They lie below the ephemeral ports: an outgoing connection of another
/// process could take one of those between its selection here and its use.
const PORT_RANGE: std::ops::Range<u16> = 30_500..32_700;

/// The offset at which the search for free ports continues.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Moves the search for free ports on, in a process whose id is next to that of another one.
pub fn skip_ports(count: u16) {
    NEXT_PORT.fetch_add(count, Ordering::SeqCst);
}

/// Returns addresses that were free a moment ago. Each process begins its search at an offset of its own, so that tests
/// in different processes rarely try the same ports.
pub fn find_free_addresses(count: usize) -> Vec<SocketAddr> {
    let process_offset = (std::process::id() % PORT_RANGE.len() as u32) as u16;
    let mut found = Vec::new();
    while found.len() < count {
        let next = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = PORT_RANGE.start + (process_offset.wrapping_add(next)) % PORT_RANGE.len() as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if StdListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
}

/// Returns the settings of a gateway that listens on free ports.
pub fn settings() -> Settings {
    let ports = find_free_addresses(5);
    let address = |index: usize| ports[index];
    Settings {
        name: "g1".into(),
        zone: "z1".into(),
        caller_address: address(0),
        ready_address: address(1),
        metrics_address: address(2),
        peer_address: address(3),
        seeds: Vec::new(),
        source_address: None,
        link_mbps: 1_000,
        memory_bytes: 256_000_000,
        clients: Clients::default(),
        discovery_ms: 0,
        is_first_start: false,
        store_address: address(4),
        permits: sardinemux_gateway::settings::Permits::Off,
        bounds: Bounds {
            grace_ms: 8_000,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            load_multiple: 2.0,
            rollout: sardinemux_core::rollout::Settings::default(),
            crossing: sardinemux_core::crossing::Costs::default(),
        },
    }
}

/// Starts a gateway in a task of its own.
pub fn spawn(settings: Settings, source: Source) -> Arc<Gateway> {
    let gateway = Arc::new(Gateway::new(settings.clone(), dialect()).unwrap());
    let reload = move || Ok(settings.clone());
    let running = run::run(gateway.clone(), source, Box::new(reload));
    tokio::spawn(async move {
        if let Err(error) = running.await {
            eprintln!("the gateway under test ended with an error: {error}");
        }
    });
    gateway
}

/// Returns the announcement of a target in pool `p`.
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
        build: "v1".into(),
    };
    Announcement {
        target,
        lifetime: 1,
        cold_ms: 0,
    }
}

/// Returns the entry of a target, as the store would list it.
pub fn entry(announcement: Announcement, version: u64) -> Entry {
    Entry {
        key: announcement.target.id.clone(),
        fact: Some(Fact::Target(announcement)),
        position: version.into(),
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

/// Returns the definition of a catalogue that has a route of each kind.
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

/// Returns a source that lists the targets, and a catalogue if `has_catalog`, and never reports a change.
pub fn source(targets: Vec<Announcement>, has_catalog: bool) -> Source {
    source_of(targets, has_catalog.then(definition))
}

/// Returns a source that lists the targets and the catalogue, and never reports a change.
pub fn source_of(targets: Vec<Announcement>, definition: Option<Definition>) -> Source {
    let catalog = definition.map(Arc::new);
    let builds: Arc<Mutex<IndexMap<SmolStr, (Epoch, u64)>>> = Arc::default();
    let written = builds.clone();
    let streams: Arc<Mutex<IndexMap<u64, Origin>>> = Arc::default();
    let recorded = streams.clone();
    let list = move |topic: Topic| {
        let entries = match topic {
            Topic::Operators => {
                let entry = |catalog: Arc<Definition>| Entry {
                    key: "config".into(),
                    fact: Some(Fact::Catalog(catalog)),
                    position: 1.into(),
                    may_return: false,
                };
                catalog.clone().map(entry).into_iter().collect()
            }
            Topic::Builds => {
                let builds = builds.lock();
                let entry = |(key, (epoch, version)): (&SmolStr, &(Epoch, u64))| Entry {
                    key: key.clone(),
                    fact: Some(Fact::Builds {
                        epoch: epoch.clone(),
                        written: None,
                    }),
                    position: (*version).into(),
                    may_return: false,
                };
                builds.iter().map(entry).collect()
            }
            Topic::Targets => targets.iter().cloned().map(|it| entry(it, 1)).collect(),
            _ => Vec::new(),
        };
        async move {
            Ok(Batch {
                entries,
                position: 1.into(),
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
                    position: since,
                })
            }
            .boxed()
        }),
        register: Box::new(|_, _| async { Ok(()) }.boxed()),
        hold: Box::new(|_, _| async { Ok(()) }.boxed()),
        advance_builds: Box::new(move |proposal: Proposal| {
            let mut builds = written.lock();
            let version = builds
                .get(&proposal.pool)
                .map_or(0, |(_, version)| *version);
            let is_expected = version == proposal.expected.version;
            if is_expected {
                builds.insert(proposal.pool, (proposal.epoch, version + 1));
            }
            async move { Ok(is_expected) }.boxed()
        }),
        record_origins: Box::new(move |origins, _| {
            let origins = origins.into_iter().map(|origin| (origin.stream, origin));
            recorded.lock().extend(origins);
            async { Ok(()) }.boxed()
        }),
        find_origin: Box::new(move |stream| {
            let found = streams.lock().get(&stream).cloned();
            async move { Ok(found) }.boxed()
        }),
        read_status: Box::new(|_| {
            let none = StoredStatus {
                status: None,
                position: Position::default(),
            };
            async { Ok(none) }.boxed()
        }),
        write_status: Box::new(|_| async { Ok(true) }.boxed()),
        era: Box::new(|| None),
        received: Box::new(|_| 0),
    }
}

/// Returns the value of a header of a request or response, if it is present.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let line = head
        .lines()
        .find(|line| line.to_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

/// The addresses of a gateway under test.
pub struct TestGateway {
    /// The address of the server for callers.
    pub caller_address: SocketAddr,
    /// The address of the readiness check.
    pub ready_address: SocketAddr,
}

impl TestGateway {
    /// Starts a gateway with these targets, and waits until it listens and, if it has a catalogue, until it is ready.
    pub async fn start(targets: &[&MockTarget], has_catalog: bool) -> Self {
        Self::start_with(targets, has_catalog.then(definition), settings()).await
    }

    /// Starts a gateway like `start`, with this catalogue and these settings.
    pub async fn start_with(
        targets: &[&MockTarget],
        definition: Option<Definition>,
        settings: Settings,
    ) -> Self {
        let has_catalog = definition.is_some();
        let targets = targets.iter().enumerate();
        let targets = targets
            .map(|(index, target)| announcement(&format!("t{index}"), &target.address.to_string()));
        let source = source_of(targets.collect(), definition);
        let (caller_address, ready_address) = (settings.caller_address, settings.ready_address);
        spawn(settings, source);
        while TcpStream::connect(caller_address).await.is_err() {
            time::sleep(Duration::from_millis(10)).await;
        }
        let gateway = Self {
            caller_address,
            ready_address,
        };
        while has_catalog && !gateway.is_ready().await {
            time::sleep(Duration::from_millis(10)).await;
        }
        gateway
    }

    /// Returns whether the readiness check reports that the gateway is ready.
    pub async fn is_ready(&self) -> bool {
        let answer = exchange(
            self.ready_address,
            "GET /ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
        );
        answer.await.starts_with("HTTP/1.1 200")
    }

    /// Sends a request and returns everything that is received until the connection ends.
    pub async fn call(&self, method: &str, path: &str, headers: &str, body: &str) -> String {
        let request = request(method, path, headers, body);
        exchange(self.caller_address, &request).await
    }
}

/// Returns the text of a request with an id and an API key.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: test.example\r\nx-id: r1\r\nx-key: k1\r\n\
         connection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns whether an answer is a success whose framing marks its body as complete.
pub fn looks_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let is_success = head
        .split(' ')
        .nth(1)
        .is_some_and(|status| status.starts_with('2'));
    let is_chunked = header(answer, "transfer-encoding").is_some();
    let length = header(answer, "content-length").map(|length| length.parse::<usize>().unwrap());
    is_success
        && match (is_chunked, length) {
            (true, _) => body.ends_with("0\r\n\r\n"),
            (false, Some(length)) => body.len() >= length,
            (false, None) => true,
        }
}

/// Sends `request` and returns everything that is received until the connection ends.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset connection ends the answer, as a closed one does.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}

/// Waits until a gateway accepts requests of callers and is ready.
pub async fn wait_until_serving(caller_address: SocketAddr, ready_address: SocketAddr) {
    let request = "GET /ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    while TcpStream::connect(caller_address).await.is_err()
        || TcpStream::connect(ready_address).await.is_err()
        || !exchange(ready_address, request)
            .await
            .starts_with("HTTP/1.1 200")
    {
        time::sleep(Duration::from_millis(10)).await;
    }
}
