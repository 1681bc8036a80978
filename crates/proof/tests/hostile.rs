//! Clients that respect no limits, against real processes: whatever they send or leave unsent, a process lives, stays within its
//! memory and its descriptors, and answers ordinary callers.
//!
//! The crowds, the bounds and the lowered limits are fixed. No test checks times or shares of served requests.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;
use sardinemux_proof::crowd::{Crowd, Peak, Script, Watch, ID};
use sardinemux_proof::fleet;
use sardinemux_proof::gateways::caller::{Caller, Kind, Outcome, Told};
use sardinemux_proof::gateways::load::EVENTS;
use sardinemux_proof::gateways::operator::{HOST, KEY};
use sardinemux_proof::gateways::{check, Fleet, Settings};
use sardinemux_standin::proxy::Isolation;
use sardinemux_standin::replica::{header, Faults};
use tokio::time;

/// The memory that a gateway may have, in megabytes, and a router or an administration program, which have no such setting.
const MEMORY_MB: u64 = 64;
const ROUTER_MEMORY_MB: u64 = 128;

/// The bytes of a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// The descriptors that a process may have open, and the most that it may use: a tenth stays free for connections to targets, other
/// gateways and the store.
const OPEN_FILES: u64 = 600;
const OPEN_FILES_BOUND: usize = 540;

/// The largest body of a request, in bytes.
const BODY_BYTES: usize = 1 << 20;

/// A length far over the limit, in bytes.
const FAR_OVER_BYTES: u64 = 1 << 32;

/// The clients that send something, and those that send nothing, which are more than the descriptors.
const CLIENTS: usize = 300;
const SILENT: usize = 800;

/// The clients of each kind where all kinds come together.
const CLIENTS_OF_ALL: usize = 25;

/// The size of a piece of an endless body, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Stands for pieces without end.
const ENDLESS: usize = usize::MAX;

/// How long a crowd plays before an ordinary request is sent.
const PLAY: Duration = Duration::from_secs(3);

/// How often an ordinary request is repeated that was refused or found no connection, and the pause before that.
const TRIES: usize = 20;
const TRY_PAUSE: Duration = Duration::from_millis(250);

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hostile {
    /// A body of legal size that stops just short of its end.
    WholeBody,
    /// The same in pieces.
    PiecewiseBody,
    /// A body of legal size in large chunks that stops just short of its end.
    LargeChunks,
    /// The same in chunks of this many bytes.
    SmallChunks(usize),
    /// Trailers without end.
    Trailers,
    /// A chunk extension without end.
    Extension,
    /// Chunk extensions without end, each of a legal size.
    Extensions,
    /// A body far over the limit, announced by its length.
    FarOver,
    /// The same behind `Expect: 100-continue`.
    FarOverExpect,
    /// A body far over the limit in chunks.
    FarOverChunks,
    /// The same behind `Expect: 100-continue`.
    FarOverChunksExpect,
    /// A body far over the limit behind a head that is refused.
    RefusedFarOver,
    /// The same in chunks.
    RefusedChunks,
    /// A body of legal size behind a head that is refused, which stops just short of its end.
    RefusedShort,
    /// A head of many fields that does not end.
    ManyHeaders,
    /// A head with one field that does not end.
    LongHeader,
    /// A head of legal size that stops just short of its end.
    ShortHead,
    /// A head that arrives byte by byte.
    SlowHead,
    /// Requests without end behind one that is being served.
    Pipelined,
    /// Requests without end behind one whose body is refused.
    PipelinedRefused,
    /// Whole requests of the largest legal size.
    Complete,
    /// Nothing.
    Silent,
}

const ALL: [Hostile; 22] = [
    Hostile::WholeBody,
    Hostile::PiecewiseBody,
    Hostile::LargeChunks,
    Hostile::SmallChunks(4),
    Hostile::SmallChunks(1),
    Hostile::Trailers,
    Hostile::Extension,
    Hostile::Extensions,
    Hostile::FarOver,
    Hostile::FarOverExpect,
    Hostile::FarOverChunks,
    Hostile::FarOverChunksExpect,
    Hostile::RefusedFarOver,
    Hostile::RefusedChunks,
    Hostile::RefusedShort,
    Hostile::ManyHeaders,
    Hostile::LongHeader,
    Hostile::ShortHead,
    Hostile::SlowHead,
    Hostile::Pipelined,
    Hostile::PipelinedRefused,
    Hostile::Complete,
];

/// Where clients connect, and the requests that are accepted there and refused there.
#[derive(Clone, Debug)]
struct Door {
    address: SocketAddr,
    /// The request line and the fields of a request that is accepted.
    accepted: String,
    /// Those of one that is refused before its body is read.
    refused: String,
}

impl Door {
    fn callers(address: SocketAddr) -> Self {
        let (id, deadline) = (header::REQUEST_ID, header::DEADLINE_MS);
        let fields = format!("host: {HOST}\r\n{id}: {ID}\r\n{deadline}: 4000\r\n");
        Self {
            address,
            accepted: format!("POST /write/ HTTP/1.1\r\napi-key: {KEY}\r\n{fields}"),
            refused: format!("POST /nowhere/ HTTP/1.1\r\napi-key: {KEY}\r\n{fields}"),
        }
    }

    /// The port of other gateways, with requests that they pass on.
    fn hops(address: SocketAddr) -> Self {
        let door = Self::callers(address);
        let hop = "x-hop: 1\r\nx-hop-pool: services\r\nx-hop-runs: 1\r\n";
        Self {
            accepted: door.accepted + hop,
            refused: door.refused + hop,
            ..door
        }
    }

    /// The port of other gateways, with queries.
    fn queries(address: SocketAddr) -> Self {
        Self {
            address,
            accepted: format!("POST /news HTTP/1.1\r\nhost: {HOST}\r\n"),
            refused: format!("POST /nowhere HTTP/1.1\r\nhost: {HOST}\r\n"),
        }
    }

    /// A port that answers requests without a body.
    fn plain(address: SocketAddr, path: &str) -> Self {
        Self {
            address,
            accepted: format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n"),
            refused: format!("BREW /nowhere HTTP/1.1\r\nhost: {HOST}\r\n"),
        }
    }

    /// A server of the project's own interface.
    fn routed(address: SocketAddr, path: &str, fields: &str) -> Self {
        Self {
            address,
            accepted: format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{fields}"),
            refused: format!("BREW /nowhere HTTP/1.1\r\nhost: {HOST}\r\n{fields}"),
        }
    }

    fn script(&self, hostile: Hostile) -> Script {
        let Self {
            accepted, refused, ..
        } = self;
        let opening = |opening: String| Script::new(self.address, opening);
        let length =
            |head: &str, bytes: u64| opening(format!("{head}content-length: {bytes}\r\n\r\n"));
        let chunked = |head: &str| opening(format!("{head}transfer-encoding: chunked\r\n\r\n"));
        let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "c".repeat(bytes));
        let expect = format!("{accepted}expect: 100-continue\r\n");
        let piece = vec![b'b'; PIECE_BYTES];
        let body_bytes = BODY_BYTES as u64;
        match hostile {
            Hostile::WholeBody => {
                length(accepted, body_bytes).with_pieces(vec![b'b'; BODY_BYTES - 1], 1)
            }
            Hostile::PiecewiseBody => length(accepted, body_bytes)
                .with_pieces(piece, BODY_BYTES / PIECE_BYTES - 1)
                .with_pause(Duration::from_millis(10)),
            Hostile::LargeChunks => {
                chunked(accepted).with_pieces(chunk(PIECE_BYTES), BODY_BYTES / PIECE_BYTES)
            }
            Hostile::SmallChunks(bytes) => {
                // Many chunks are written at once, as a client would that means harm.
                let count = PIECE_BYTES / bytes;
                chunked(accepted)
                    .with_pieces(chunk(bytes).repeat(count), BODY_BYTES / PIECE_BYTES - 1)
            }
            Hostile::Trailers => opening(format!(
                "{accepted}transfer-encoding: chunked\r\n\r\n{}0\r\n",
                chunk(4)
            ))
            .with_pieces(format!("trailer: {}\r\n", "t".repeat(100)), ENDLESS),
            Hostile::Extension => opening(format!(
                "{accepted}transfer-encoding: chunked\r\n\r\n4;name="
            ))
            .with_pieces(piece, ENDLESS),
            Hostile::Extensions => chunked(accepted)
                .with_pieces(format!("1;name={}\r\nc\r\n", "e".repeat(4_000)), ENDLESS),
            Hostile::FarOver => length(accepted, FAR_OVER_BYTES).with_pieces(piece, ENDLESS),
            Hostile::FarOverExpect => length(&expect, FAR_OVER_BYTES).with_pieces(piece, ENDLESS),
            Hostile::FarOverChunks => chunked(accepted).with_pieces(chunk(PIECE_BYTES), ENDLESS),
            Hostile::FarOverChunksExpect => {
                chunked(&expect).with_pieces(chunk(PIECE_BYTES), ENDLESS)
            }
            Hostile::RefusedFarOver => length(refused, FAR_OVER_BYTES).with_pieces(piece, ENDLESS),
            Hostile::RefusedChunks => chunked(refused).with_pieces(chunk(PIECE_BYTES), ENDLESS),
            Hostile::RefusedShort => {
                length(refused, body_bytes).with_pieces(vec![b'b'; BODY_BYTES - 1], 1)
            }
            Hostile::ManyHeaders => {
                opening(accepted.clone()).with_pieces("x-a: b\r\n".repeat(64), ENDLESS)
            }
            Hostile::LongHeader => {
                opening(format!("{accepted}x-long: ")).with_pieces(piece, ENDLESS)
            }
            Hostile::ShortHead => {
                opening(format!("{accepted}x-long: {}\r\n", "h".repeat(15 << 10)))
            }
            Hostile::SlowHead => opening(format!("{accepted}x-slow: "))
                .with_pieces("s", ENDLESS)
                .with_pause(Duration::from_millis(50)),
            Hostile::Pipelined => {
                let next = format!("{refused}content-length: 0\r\n\r\n");
                length(accepted, 0).with_pieces(next.repeat(64), ENDLESS)
            }
            Hostile::PipelinedRefused => {
                let next = format!("{accepted}content-length: 0\r\n\r\n");
                length(refused, 4).with_pieces(format!("body{next}"), ENDLESS)
            }
            Hostile::Complete => {
                length(accepted, body_bytes).with_pieces(vec![b'b'; BODY_BYTES], 1)
            }
            Hostile::Silent => opening(String::new()),
        }
    }

    fn crowd(&self, hostile: Hostile) -> Vec<Script> {
        let clients = match hostile {
            Hostile::Silent => SILENT,
            _ => CLIENTS,
        };
        vec![self.script(hostile); clients]
    }

    fn crowd_of_all(&self) -> Vec<Script> {
        let kinds = ALL.iter();
        kinds
            .flat_map(|kind| vec![self.script(*kind); CLIENTS_OF_ALL])
            .collect()
    }
}

/// A process that must live, and what was read of it.
struct Subject {
    name: String,
    pid: u32,
    memory_mb: u64,
    watch: Watch,
}

impl Subject {
    fn new(name: &str, pid: Option<u32>, memory_mb: u64) -> Self {
        let pid = pid.unwrap();
        Self {
            name: name.to_owned(),
            pid,
            memory_mb,
            watch: Watch::start(pid),
        }
    }

    /// Checks that the same process lives and has kept its bounds.
    fn check(&self, pid: Option<u32>) {
        let Peak {
            memory_bytes,
            descriptors,
        } = self.watch.peak();
        let name = &self.name;
        let memory_mb = memory_bytes.div_ceil(MEGABYTE);
        eprintln!("{name}: {memory_mb} MB, {descriptors} descriptors");
        assert_eq!(pid, Some(self.pid), "{name} has ended");
        let bound_mb = self.memory_mb;
        assert!(
            memory_mb <= bound_mb,
            "{name}: {memory_mb} MB of {bound_mb}"
        );
        assert!(
            descriptors <= OPEN_FILES_BOUND,
            "{name}: {descriptors} descriptors"
        );
    }
}

async fn start(gateways: usize) -> Fleet {
    let settings = Settings {
        gateways,
        zones: 1,
        engines: 1,
        services: 2,
        memory_mb: MEMORY_MB,
        open_files: Some(OPEN_FILES),
        body_max_bytes: BODY_BYTES as u64,
        ..Settings::default()
    };
    Fleet::start(settings).await.unwrap()
}

fn subjects(fleet: &Fleet) -> Vec<Subject> {
    let gateways = fleet.gateways.iter();
    let subjects = gateways.map(|it| {
        Subject::new(
            &it.name,
            fleet.process_id(&it.name),
            fleet.settings.memory_mb,
        )
    });
    subjects.collect()
}

/// Sends an ordinary request until it is answered, and returns what callers were told.
async fn call(fleet: &Fleet, gateway: usize) -> Vec<Outcome> {
    let mut outcomes: Vec<Outcome> = Vec::new();
    let address = fleet.gateways[gateway].callers;
    while outcomes.len() < TRIES {
        let mut caller = Caller::new(gateway, address, KEY, EVENTS);
        let outcome = caller.call(Kind::Write, 0).await;
        let is_whole = outcome.told == Told::Whole;
        outcomes.push(outcome);
        if is_whole {
            break;
        }
        time::sleep(TRY_PAUSE).await;
    }
    outcomes
}

/// Plays a crowd, and checks that an ordinary request is answered while it is there and afterwards, that all gateways live within
/// their bounds, and that no refused request has run.
async fn play(fleet: &Fleet, scripts: Vec<Script>) {
    let subjects = subjects(fleet);
    let crowd = Crowd::start(scripts);
    time::sleep(PLAY).await;
    let mut outcomes = call(fleet, 0).await;
    let not_run = crowd.not_run();
    drop(crowd);
    let during: Vec<Told> = outcomes.iter().map(|outcome| outcome.told).collect();
    let after = call(fleet, 0).await;
    eprintln!("told during the crowd: {during:?}");
    for (subject, place) in subjects.iter().zip(&fleet.gateways) {
        subject.check(fleet.process_id(&place.name));
    }
    assert_eq!(during.last(), Some(&Told::Whole), "{during:?}");
    let told = after.last().map(|outcome| outcome.told);
    assert_eq!(told, Some(Told::Whole), "{after:?}");
    outcomes.extend(after);
    let stats = (0..fleet.replicas.len()).map(|index| fleet.stats(index));
    let stats = join_all(stats).await.into_iter().map(Result::unwrap);
    let runs = check::runs(&stats.collect::<Vec<_>>());
    let refused = outcomes
        .iter()
        .filter(|it| {
            matches!(
                it.told,
                Told::Failed {
                    status: 408 | 413 | 421 | 429 | 431 | 503
                }
            )
        })
        .map(|outcome| outcome.id.clone());
    let refused: Vec<String> = refused.chain(not_run).collect();
    let ran: Vec<&String> = refused.iter().filter(|id| runs.contains_key(*id)).collect();
    assert!(ran.is_empty(), "refused and run: {ran:?}");
}

/// Lets replicas take a while, so that requests stay at the gateway.
async fn slow_down(fleet: &Fleet) {
    let faults = Faults {
        lag_ms: 200,
        ..Faults::default()
    };
    for index in 0..fleet.replicas.len() {
        fleet.set_replica_faults(index, faults).await.unwrap();
    }
}

/// Clients at the port of callers end the process, take all of its memory or descriptors, or keep ordinary callers out.
#[rstest]
#[case::whole_bodies(Hostile::WholeBody)]
#[case::piecewise_bodies(Hostile::PiecewiseBody)]
#[case::large_chunks(Hostile::LargeChunks)]
#[case::chunks_of_4_bytes(Hostile::SmallChunks(4))]
#[case::chunks_of_1_byte(Hostile::SmallChunks(1))]
#[case::trailers(Hostile::Trailers)]
#[case::chunk_extension(Hostile::Extension)]
#[case::chunk_extensions(Hostile::Extensions)]
#[case::far_over(Hostile::FarOver)]
#[case::far_over_expect(Hostile::FarOverExpect)]
#[case::far_over_chunks(Hostile::FarOverChunks)]
#[case::far_over_chunks_expect(Hostile::FarOverChunksExpect)]
#[case::refused_far_over(Hostile::RefusedFarOver)]
#[case::refused_chunks(Hostile::RefusedChunks)]
#[case::refused_short(Hostile::RefusedShort)]
#[case::many_headers(Hostile::ManyHeaders)]
#[case::long_header(Hostile::LongHeader)]
#[case::short_head(Hostile::ShortHead)]
#[case::slow_head(Hostile::SlowHead)]
#[case::pipelined(Hostile::Pipelined)]
#[case::pipelined_refused(Hostile::PipelinedRefused)]
#[case::complete(Hostile::Complete)]
#[case::silent(Hostile::Silent)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_hostile_callers_do_not_end_a_gateway(#[case] hostile: Hostile) {
    let fleet = start(1).await;
    slow_down(&fleet).await;
    let door = Door::callers(fleet.gateways[0].callers);
    play(&fleet, door.crowd(hostile)).await;
}

/// Clients reach the second gateway through the first, whose way to the replicas is cut.
#[rstest]
#[case::whole_bodies(Hostile::WholeBody)]
#[case::chunks_of_1_byte(Hostile::SmallChunks(1))]
#[case::complete(Hostile::Complete)]
#[case::pipelined(Hostile::Pipelined)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_hostile_callers_do_not_end_a_second_gateway(#[case] hostile: Hostile) {
    let fleet = start(2).await;
    slow_down(&fleet).await;
    fleet.isolate(0, Isolation::Reset).await.unwrap();
    let door = Door::callers(fleet.gateways[0].callers);
    play(&fleet, door.crowd(hostile)).await;
}

/// Clients at the ports of other gateways, of the readiness check and of the metrics harm the process.
#[rstest]
#[case::silent(Hostile::Silent)]
#[case::slow_head(Hostile::SlowHead)]
#[case::short_head(Hostile::ShortHead)]
#[case::many_headers(Hostile::ManyHeaders)]
#[case::whole_bodies(Hostile::WholeBody)]
#[case::small_chunks(Hostile::SmallChunks(1))]
#[case::trailers(Hostile::Trailers)]
#[case::far_over_chunks(Hostile::FarOverChunks)]
#[case::refused_far_over(Hostile::RefusedFarOver)]
#[case::pipelined(Hostile::Pipelined)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_hostile_clients_of_other_ports_do_not_end_a_gateway(
    #[case] hostile: Hostile,
    #[values("hops", "queries", "ready", "metrics")] port: &str,
) {
    let fleet = start(1).await;
    let place = &fleet.gateways[0];
    let door = match port {
        "hops" => Door::hops(place.peers),
        "queries" => Door::queries(place.peers),
        "ready" => Door::plain(place.ready, "/v1/ready"),
        _ => Door::plain(place.metrics, "/metrics"),
    };
    play(&fleet, door.crowd(hostile)).await;
}

/// All kinds together take what each alone leaves to others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_all_kinds_together_do_not_end_a_gateway() {
    let fleet = start(1).await;
    slow_down(&fleet).await;
    let place = &fleet.gateways[0];
    let mut scripts = Door::callers(place.callers).crowd_of_all();
    for door in [
        Door::hops(place.peers),
        Door::queries(place.peers),
        Door::plain(place.ready, "/v1/ready"),
        Door::plain(place.metrics, "/metrics"),
    ] {
        scripts.extend(vec![door.script(Hostile::Silent); CLIENTS_OF_ALL]);
        scripts.extend(vec![door.script(Hostile::SlowHead); CLIENTS_OF_ALL]);
    }
    play(&fleet, scripts).await;
}

/// Clients of the project's own interface end a router or an administration program, or keep all others out.
#[rstest]
#[case::silent(Hostile::Silent)]
#[case::slow_head(Hostile::SlowHead)]
#[case::many_headers(Hostile::ManyHeaders)]
#[case::whole_bodies(Hostile::WholeBody)]
#[case::chunks_of_1_byte(Hostile::SmallChunks(1))]
#[case::trailers(Hostile::Trailers)]
#[case::chunk_extension(Hostile::Extension)]
#[case::far_over_chunks(Hostile::FarOverChunks)]
#[case::far_over_expect(Hostile::FarOverExpect)]
#[case::refused_far_over(Hostile::RefusedFarOver)]
#[case::refused_short(Hostile::RefusedShort)]
#[case::pipelined(Hostile::Pipelined)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_hostile_clients_do_not_end_servers_of_the_own_interface(
    #[case] hostile: Hostile,
    #[values("entry", "peer", "admin")] server: &str,
) {
    let settings = fleet::Settings {
        routers: 1,
        zones: 1,
        engines: 1,
        services: 1,
        organisations: 1,
        open_files: Some(OPEN_FILES),
        ..fleet::Settings::default()
    };
    let fleet = fleet::Fleet::start(settings).await.unwrap();
    let key = format!("authorization: Bearer {}\r\n", fleet.key(0));
    let place = &fleet.routers[0];
    let (name, door, path) = match server {
        "entry" => {
            let door = Door::routed(place.entry, "/v1/chat/completions", &key);
            (place.id.clone(), door, "/health/live")
        }
        "peer" => {
            let door = Door::routed(place.peer, "/peer/gossip", "x-peer-token: peer-secret\r\n");
            (place.id.clone(), door, "/metrics")
        }
        _ => {
            let door = Door::routed(fleet.admins[0], "/v1/changes", "");
            ("admin0".to_owned(), door, "/v1/defaults")
        }
    };
    let subject = Subject::new(&name, fleet.process_id(&name), ROUTER_MEMORY_MB);
    let crowd = Crowd::start(door.crowd(hostile));
    time::sleep(PLAY).await;
    let during = get(&fleet, door.address, path).await;
    drop(crowd);
    let after = get(&fleet, door.address, path).await;
    subject.check(fleet.process_id(&name));
    assert!(during && after, "answered: {during}, then {after}");
}

/// Sends an ordinary request until it has an answer, whatever its status: what is asked for may need an operator's token.
async fn get(fleet: &fleet::Fleet, address: SocketAddr, path: &str) -> bool {
    let url = format!("http://{address}{path}");
    for _ in 0..TRIES {
        let request = fleet.client.get(&url).timeout(Duration::from_secs(2));
        if let Ok(answer) = request.send().await {
            if answer.text().await.is_ok() {
                return true;
            }
        }
        time::sleep(TRY_PAUSE).await;
    }
    false
}
