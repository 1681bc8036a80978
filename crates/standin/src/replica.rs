//! A replica of the users' platform: a model engine or a plain service that speaks the platform's protocol.
//!
//! It runs a bounded number of requests at once, streams numbered events, keeps the shared parts of prompts within a
//! bound of tokens, fetches parts that another replica keeps, states its load, and says truthfully what it did
//! not run. It counts every run by the id that the caller gave, for checks that share nothing with the gateway.

pub mod answer;
pub mod parts;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time;

use crate::errors::{ListenSnafu, Result};
use answer::{Body, Work};
use parts::Parts;

/// The header names of the platform's protocol.
pub mod name {
    /// Names the caller's attempt.
    pub const REQUEST: &str = "sardinemux-request-id";
    /// The replica that is meant.
    pub const EXPECTED: &str = "sardinemux-expect-instance";
    /// The replica that answers.
    pub const REPLICA: &str = "sardinemux-instance-id";
    /// How long the caller waits, in milliseconds.
    pub const DEADLINE: &str = "sardinemux-deadline-ms";
    /// The parts of a prompt.
    pub const PROMPT: &str = "sardinemux-prompt-prefix";
    /// The replica to fetch cached parts from.
    pub const FETCH: &str = "kv-fetch";
    /// The last event that the caller has.
    pub const LAST_EVENT: &str = "last-event-id";
    /// Shows that the answer is a replica's own.
    pub const STAMP: &str = "sardinemux-response-stamp";
    /// Says that nothing ran.
    pub const NOT_RUN: &str = "sardinemux-not-executed";
    /// Running and waiting requests, and the slots.
    pub const LOAD: &str = "sardinemux-server-load";
    /// How long the replica stays cold.
    pub const COLD: &str = "sardinemux-cold-ms";
}

/// What a replica is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its id in the platform's list.
    pub id: String,
    /// The address.
    pub address: SocketAddr,
    /// The requests that run at once.
    pub slots: u32,
    /// The requests that may wait.
    pub queue: u32,
    /// The time that a whole answer takes, in milliseconds.
    pub work_ms: u64,
    /// The events of a stream.
    pub events: u64,
    /// The time between two events, in milliseconds.
    pub event_ms: u64,
    /// The tokens of prompts that are kept.
    pub cache_tokens: u64,
    /// The prompt tokens that are read in a millisecond.
    pub tokens_per_ms: u64,
}

/// What is wrong with a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The part of the requests that fail with an error of its own.
    pub fails: f64,
    /// The part of the requests that are run and never answered.
    pub hangs: f64,
    /// The part of the requests that are run and whose answer is lost with the connection.
    pub loses: f64,
    /// The part of the answers that name another request.
    pub crosses: f64,
    /// The part of the answers that break off midway.
    pub breaks: f64,
    /// Until when it is cold, in Unix milliseconds.
    pub cold_until_ms: u64,
}

/// What a replica has counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// The runs by the caller's id.
    pub runs: IndexMap<String, u32>,
    /// When each run began, in Unix milliseconds.
    pub begun_ms: Vec<u64>,
    /// The requests that run or wait.
    pub running: u32,
    /// The requests whose caller left before the end.
    pub abandoned: u64,
    /// The prompt tokens that were kept already.
    pub kept_tokens: u64,
    /// The prompt tokens that were fetched from other replicas.
    pub fetched_tokens: u64,
    /// The prompt tokens that were read.
    pub read_tokens: u64,
}

/// A replica.
pub struct Replica {
    settings: Settings,
    slots: Arc<Semaphore>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    parts: Mutex<Parts>,
}

/// Returns the time of day, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Counts a request that runs or waits until it is dropped.
pub(crate) struct Running {
    replica: Arc<Replica>,
    is_complete: bool,
    permit: Option<OwnedSemaphorePermit>,
}

impl Running {
    fn new(replica: &Arc<Replica>) -> Self {
        replica.stats.lock().running += 1;
        Self {
            replica: replica.clone(),
            is_complete: false,
            permit: None,
        }
    }

    pub(crate) fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut stats = self.replica.stats.lock();
        stats.running -= 1;
        stats.abandoned += u64::from(!self.is_complete);
        self.permit.take();
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header(headers, name)?.trim().parse().ok()
}

impl Replica {
    fn load(&self) -> String {
        let running = self.stats.lock().running;
        let slots = self.settings.slots;
        let waiting = running.saturating_sub(slots);
        format!("{},{waiting},{slots}", running.min(slots))
    }

    fn draw(&self, part: impl Fn(&Faults) -> f64) -> bool {
        rand::random::<f64>() < part(&self.faults.lock())
    }

    fn not_run(&self, status: StatusCode) -> Response<Body> {
        let mut response = answer::empty(status);
        let headers = response.headers_mut();
        answer::set(headers, name::REPLICA, &self.settings.id);
        answer::set(headers, name::LOAD, &self.load());
        if status != StatusCode::MISDIRECTED_REQUEST {
            answer::set(headers, name::NOT_RUN, "1");
        }
        response
    }

    /// Answers one request; `Err` drops the connection.
    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> std::result::Result<Response<Body>, Lost> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        if let Some(response) = self.answer_control(&head.method, &path, body).await {
            return Ok(response);
        }
        let headers = &head.headers;
        if header(headers, name::EXPECTED).is_some_and(|id| id != self.settings.id) {
            return Ok(self.not_run(StatusCode::MISDIRECTED_REQUEST));
        }
        let Some(id) = header(headers, name::REQUEST) else {
            return Ok(self.not_run(StatusCode::BAD_REQUEST));
        };
        if self.stats.lock().running >= self.settings.slots + self.settings.queue {
            return Ok(self.not_run(StatusCode::SERVICE_UNAVAILABLE));
        }
        let mut running = Running::new(self);
        let deadline_ms = number(headers, name::DEADLINE).unwrap_or(u64::MAX / 2);
        let limit = Duration::from_millis(deadline_ms.min(60_000));
        let begun = Instant::now();
        let Ok(Ok(permit)) = time::timeout(limit, self.slots.clone().acquire_owned()).await else {
            return Ok(self.not_run(StatusCode::SERVICE_UNAVAILABLE));
        };
        running.permit = Some(permit);
        {
            let mut stats = self.stats.lock();
            *stats.runs.entry(id.to_owned()).or_default() += 1;
            stats.begun_ms.push(unix_ms());
        }
        self.read_prompt(headers).await;
        if self.draw(|faults| faults.hangs) {
            time::sleep(limit).await;
            return Err(Lost);
        }
        let work = Work {
            id: id.to_owned(),
            last_event: number(headers, name::LAST_EVENT).unwrap_or(0),
            begun,
            limit,
        };
        self.work(&path, work, running).await
    }

    async fn work(
        self: &Arc<Self>,
        path: &str,
        work: Work,
        mut running: Running,
    ) -> std::result::Result<Response<Body>, Lost> {
        let settings = &self.settings;
        let echoed = match self.draw(|faults| faults.crosses) {
            true => "0".to_owned(),
            false => work.id.clone(),
        };
        let breaks = self.draw(|faults| faults.breaks);
        let mut response = match path.starts_with("/stream") {
            true => answer::stream(settings, work, running, breaks),
            false => {
                time::sleep(Duration::from_millis(settings.work_ms)).await;
                running.complete();
                if self.draw(|faults| faults.loses) {
                    return Err(Lost);
                }
                match self.draw(|faults| faults.fails) {
                    true => answer::whole(StatusCode::INTERNAL_SERVER_ERROR, "failed", false),
                    false => answer::whole(StatusCode::OK, &answer::text(&work.id), breaks),
                }
            }
        };
        let headers = response.headers_mut();
        answer::set(headers, name::REQUEST, &echoed);
        answer::set(headers, name::STAMP, &settings.id);
        answer::set(headers, name::LOAD, &self.load());
        let cold_ms = self.faults.lock().cold_until_ms.saturating_sub(unix_ms());
        if cold_ms > 0 {
            answer::set(headers, name::COLD, &cold_ms.to_string());
        }
        Ok(response)
    }

    /// Reads what is not kept of a prompt, after fetching what another replica keeps.
    async fn read_prompt(&self, headers: &HeaderMap) {
        let Some(prompt) = header(headers, name::PROMPT) else {
            return;
        };
        let prompt = parts::parse(prompt);
        let kept = self.parts.lock().kept(&prompt);
        let fetched = match header(headers, name::FETCH) {
            Some(address) => parts::fetch(address, &prompt).await.max(kept),
            None => kept,
        };
        let all: u64 = prompt.iter().map(|part| part.tokens).sum();
        let read = all - fetched;
        {
            let mut stats = self.stats.lock();
            stats.kept_tokens += kept;
            stats.fetched_tokens += fetched - kept;
            stats.read_tokens += read;
        }
        let read_ms = read / self.settings.tokens_per_ms.max(1);
        time::sleep(Duration::from_millis(read_ms)).await;
        self.parts.lock().store(&prompt);
    }

    /// Answers the calls that are no work: health, the list of kept parts, and those of tests.
    async fn answer_control(
        &self,
        method: &Method,
        path: &str,
        body: Incoming,
    ) -> Option<Response<Body>> {
        match (method, path) {
            (&Method::GET, "/v1/kv-list") => Some(answer::json(&self.parts.lock().list())),
            (&Method::GET, "/health") => {
                let mut response = answer::empty(StatusCode::OK);
                let headers = response.headers_mut();
                answer::set(headers, name::REPLICA, &self.settings.id);
                answer::set(headers, name::LOAD, &self.load());
                Some(response)
            }
            (&Method::GET, "/standin/stats") => Some(answer::json(&*self.stats.lock())),
            (&Method::POST, "/standin/faults") => {
                let bytes = body.collect().await.ok()?.to_bytes();
                let faults = serde_json::from_slice(&bytes);
                Some(match faults {
                    Ok(faults) => {
                        *self.faults.lock() = faults;
                        answer::empty(StatusCode::OK)
                    }
                    Err(_) => answer::empty(StatusCode::BAD_REQUEST),
                })
            }
            _ => None,
        }
    }
}

/// The answer is lost with its connection.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the answer is lost"))]
pub struct Lost;

async fn serve(replica: Arc<Replica>, stream: TcpStream) {
    let service = service_fn(|request| {
        let replica = replica.clone();
        async move { replica.answer(request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A connection that breaks off is what the replica is there for.
    let _ = connection.await;
}

/// Serves until the process ends.
///
/// # Errors
///
/// `Error::Listen` if the port cannot be listened on.
pub async fn run(settings: Settings) -> Result<Infallible> {
    let address = settings.address;
    let listener = TcpListener::bind(address).await.context(ListenSnafu {
        address: address.to_string(),
    })?;
    let replica = Arc::new(Replica {
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        faults: Mutex::default(),
        stats: Mutex::default(),
        parts: Mutex::new(Parts::new(settings.cache_tokens)),
        settings,
    });
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(replica.clone(), stream));
        }
    }
}

/// The empty body of an answer.
pub(crate) fn no_bytes() -> Full<Bytes> {
    Full::default()
}
