//! Callers that leave: each sends a request, often with further bytes behind it, and closes its connection a moment later.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use sardinemux_standin::replica::{header, unix_ms};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use super::caller::{Kind, Outcome, Told, DEADLINE_MS, KINDS};
use super::operator::{HOST, KEY};
use super::Fleet;

/// How long a caller stays, in milliseconds.
const STAY_MS: std::ops::Range<u64> = 5..1_200;

/// The pause between two callers, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..100;

/// What is behind a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behind {
    Nothing,
    EmptyLine,
    Request,
    /// The next request, whose body is more than the buffers of sockets hold.
    LargeRequest,
}

const BEHIND: [Behind; 4] = [
    Behind::Nothing,
    Behind::EmptyLine,
    Behind::Request,
    Behind::LargeRequest,
];

/// The size of the body of a large request, in bytes.
const LARGE_BYTES: usize = 300_000;

/// A request whose caller has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The gateway's index.
    pub gateway: usize,
    /// When the caller closed its connection, in Unix milliseconds.
    pub left_ms: u64,
}

impl Departure {
    /// Returns what became of the request for a caller that did not look at its answer.
    pub fn outcome(&self) -> Outcome {
        Outcome {
            id: self.id.clone(),
            kind: self.kind,
            gateway: self.gateway,
            sent_ms: self.left_ms,
            took_ms: 0,
            told: Told::Unreached,
            replica: String::new(),
            is_resumption: false,
        }
    }
}

/// Such callers, one at each gateway.
#[derive(Debug)]
pub struct Load {
    ends: watch::Sender<bool>,
    callers: Vec<JoinHandle<Vec<Departure>>>,
}

impl Load {
    /// Starts the callers.
    pub fn start(fleet: &Arc<Fleet>, seed: u64) -> Self {
        let ends = watch::Sender::new(false);
        let callers = (0..fleet.gateways.len()).map(|gateway| {
            let seed = seed ^ (gateway as u64) << 40;
            tokio::spawn(depart(fleet.clone(), gateway, seed, ends.subscribe()))
        });
        Self {
            callers: callers.collect(),
            ends,
        }
    }

    /// Lets each caller leave its last request, and returns all requests.
    pub async fn end(self) -> Vec<Departure> {
        self.ends.send_replace(true);
        let mut departures = Vec::new();
        for caller in self.callers {
            // A caller that panicked shows in the test's output.
            departures.extend(caller.await.unwrap_or_default());
        }
        departures
    }
}

fn text(kind: Kind, id: &str, body: &str) -> String {
    let path = kind.route();
    let (request_id, deadline) = (header::REQUEST_ID, header::DEADLINE_MS);
    let length = body.len();
    format!(
        "POST /{path}/ HTTP/1.1\r\nhost: {HOST}\r\napi-key: {KEY}\r\n{request_id}: {id}\r\n\
         {deadline}: {DEADLINE_MS}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends requests to one gateway and leaves each of them, until `ends` is set.
async fn depart(
    fleet: Arc<Fleet>,
    gateway: usize,
    seed: u64,
    ends: watch::Receiver<bool>,
) -> Vec<Departure> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut departures = Vec::new();
    let mut number = 0_u64;
    while !*ends.borrow() {
        let pause_ms = random.random_range(PAUSE_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
        let kind = KINDS.choose(&mut random).copied().unwrap_or(Kind::Read);
        let behind = BEHIND
            .choose(&mut random)
            .copied()
            .unwrap_or(Behind::Nothing);
        let stay = Duration::from_millis(random.random_range(STAY_MS));
        number += 2;
        let ids = [number, number + 1].map(|number| format!("left-{gateway}-{number}"));
        let first = text(kind, &ids[0], "body");
        let sent = match behind {
            Behind::Nothing => first,
            Behind::EmptyLine => first + "\r\n",
            Behind::Request => first + &text(kind, &ids[1], "body"),
            Behind::LargeRequest => first + &text(kind, &ids[1], &"x".repeat(LARGE_BYTES)),
        };
        let connecting = TcpStream::connect(fleet.gateways[gateway].callers);
        let connected = time::timeout(stay, connecting).await;
        let Ok(Ok(mut stream)) = connected else {
            continue;
        };
        // What the gateway takes of it before the caller leaves does not matter.
        let until = Instant::now() + stay;
        let _ = time::timeout_at(until, stream.write_all(sent.as_bytes())).await;
        time::sleep_until(until).await;
        drop(stream);
        let left_ms = unix_ms();
        departures.extend(ids.map(|id| Departure {
            id,
            kind,
            gateway,
            left_ms,
        }));
    }
    departures
}
