//! A stand-in for a replica on the users' platform: a model engine or a plain service that speaks the platform's
//! protocol.
//!
//! It runs a limited number of requests at once, streams numbered events, caches the parts of prompts up to a number of
//! tokens, fetches cached parts from another replica, reports its load, and marks the requests that it did not run. It
//! counts every run by the caller's request id, so that tests can check runs without any code of the gateway.

pub mod answer;
pub mod cache;
pub mod serving;

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time;

use answer::{Body, Flood, Pause, Work};
use cache::Cache;
use serving::Disconnect;

/// The header names of the platform's protocol.
pub mod header {
    /// The id of the request, given by the caller and echoed in the answer.
    pub const REQUEST_ID: &str = "sardinemux-request-id";
    /// The id of the replica that the request is meant for.
    pub const EXPECTED_INSTANCE: &str = "sardinemux-expect-instance";
    /// The id of the replica that answers a health check or rejects a request.
    pub const INSTANCE_ID: &str = "sardinemux-instance-id";
    /// The time for which the caller waits for the answer, in milliseconds.
    pub const DEADLINE_MS: &str = "sardinemux-deadline-ms";
    /// The parts of the prompt, as `ID:TOKENS` entries that are separated by commas.
    pub const PROMPT_PREFIX: &str = "sardinemux-prompt-prefix";
    /// The address of the replica to fetch cached parts from.
    pub const KV_FETCH: &str = "kv-fetch";
    /// The number of the last event that the caller has received.
    pub const LAST_EVENT_ID: &str = "last-event-id";
    /// The id of the request that brought the first event of the stream which the caller resumes.
    pub const RESUMES: &str = "resumes";
    /// The id of the replica that ran the request; marks an answer that a replica itself has produced.
    pub const RESPONSE_STAMP: &str = "sardinemux-response-stamp";
    /// States that the request was not run.
    pub const NOT_EXECUTED: &str = "sardinemux-not-executed";
    /// The numbers of running requests, waiting requests and slots, separated by commas.
    pub const SERVER_LOAD: &str = "sardinemux-server-load";
    /// The number of requests a second above which the replica falls over if it rejects them.
    pub const BRITTLE: &str = "server-brittle";
    /// The time for which the replica stays cold, in milliseconds.
    pub const COLD_MS: &str = "sardinemux-cold-ms";
    /// States that the replica leaves.
    pub const LEAVING: &str = "server-leaving";
    /// The time for which the caller is to send nothing, in seconds.
    pub const RETRY_AFTER: &str = "retry-after";
}

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its id in the platform's list.
    pub id: String,
    /// The version of its software, which shows in the events of its streams.
    pub build: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The greatest number of requests that run at once.
    pub slots: u32,
    /// The greatest number of requests that wait for a slot.
    pub queue: u32,
    /// The time that an answer other than a stream takes, in milliseconds.
    pub work_ms: u64,
    /// The number of events of a stream.
    pub events: u64,
    /// The time before each event, in milliseconds.
    pub event_ms: u64,
    /// The capacity of the prompt cache, in tokens.
    pub cache_tokens: u64,
    /// The speed of the prefill, in prompt tokens per millisecond.
    pub tokens_per_ms: u64,
    /// The percentage of answers that have neither a length nor chunks and end with their connection.
    pub unframed_percent: u64,
    /// The percentage of streams that break off, besides those of [`Faults::breaks`].
    pub break_percent: u64,
    /// The percentage of answers that fall silent once, before their head or between two events, and then go on.
    pub pause_percent: u64,
    /// The number of requests above which the replica falls over if it rejects them within a second; 0 if it never does. It
    /// states the number in all answers.
    pub brittle: u64,
    /// The body of requests under which the replica crashes before it answers, if any.
    pub fatal_body: Option<String>,
}

/// The faults that a replica injects, as fractions from 0 to 1 unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The fraction of the requests that are run and answered 500; streams excepted.
    pub fails: f64,
    /// The fraction of the requests that are counted as run, but never answered; the connection closes after the
    /// caller's deadline, or after a minute if that is sooner.
    pub hangs: f64,
    /// The fraction of the requests that are run and whose connection closes instead of an answer; streams excepted.
    pub loses: f64,
    /// The fraction of the answers that carry the id of another request.
    pub crosses: f64,
    /// The fraction of the answers that break off midway.
    pub breaks: f64,
    /// The time until which the replica reports that it is cold, in Unix milliseconds.
    pub cold_until_ms: u64,
    /// Whether the replica states in all answers that it leaves.
    pub is_leaving: bool,
    /// If not 0, requests are rejected until this time, in Unix milliseconds, with the time that is left as Retry-After.
    pub pause_until_ms: u64,
    /// How much longer each event of a stream takes, in milliseconds. Another answer takes as much longer as a stream of
    /// [`HALF_EVENTS`](answer::HALF_EVENTS) events.
    pub lag_ms: u64,
    /// The bytes without end that all answers consist of, if they do.
    #[serde(default)]
    pub flood: Flood,
}

/// The requests and tokens that a replica has counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// The number of runs by request id.
    pub runs: IndexMap<String, u32>,
    /// The start of each run, in Unix milliseconds.
    pub begun_ms: Vec<u64>,
    /// The start of the last run of each request, in Unix milliseconds.
    #[serde(default)]
    pub last_begun_ms: IndexMap<String, u64>,
    /// When the replica crashed, in Unix milliseconds.
    pub crashes_ms: Vec<u64>,
    /// When the replica fell over as it had to reject too many requests, in Unix milliseconds.
    #[serde(default)]
    pub falls_ms: Vec<u64>,
    /// When a request was rejected with Retry-After, in Unix milliseconds, and the end of the time that was stated.
    #[serde(default)]
    pub refusals_ms: Vec<(u64, u64)>,
    /// The number of requests that run or wait.
    pub running: u32,
    /// The number of accepted requests that ended before they were complete: the caller left, the deadline passed, or a
    /// fault withheld the answer or broke off the stream.
    pub abandoned: u64,
    /// The prompt tokens that were in the cache already.
    pub kept_tokens: u64,
    /// The prompt tokens that were fetched from other replicas.
    pub fetched_tokens: u64,
    /// The prompt tokens that were neither cached nor fetched.
    pub read_tokens: u64,
}

/// The time after its first statement from which a brittle replica lets no request wait.
const BRITTLE_NOTICE: Duration = Duration::from_secs(3);

/// How long a replica that has fallen over answers nothing, in milliseconds.
const FALL_MS: u64 = 2_000;

/// A replica with its faults, counts and prompt cache.
pub struct Replica {
    settings: Settings,
    slots: Arc<Semaphore>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    cache: Mutex<Cache>,
    /// When it rejected requests within the last second, in Unix milliseconds.
    rejections_ms: Mutex<Vec<u64>>,
    /// When it first stated that it is brittle.
    stated_at: OnceLock<Instant>,
    crashed: Notify,
}

/// Returns the current time, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Counts a request as running or waiting, and holds its slot, until it is dropped.
pub(crate) struct RequestGuard {
    replica: Arc<Replica>,
    is_complete: bool,
    permit: Option<OwnedSemaphorePermit>,
}

impl RequestGuard {
    fn new(replica: &Arc<Replica>) -> Self {
        replica.stats.lock().running += 1;
        Self {
            replica: replica.clone(),
            is_complete: false,
            permit: None,
        }
    }

    pub(crate) fn mark_complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut stats = self.replica.stats.lock();
        stats.running -= 1;
        stats.abandoned += u64::from(!self.is_complete);
        self.permit.take();
    }
}

/// Decides at random, with a probability in percent.
fn draw_percentage(percent: u64) -> bool {
    rand::random_range(0..100) < percent
}

fn get_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    get_header(headers, name)?.trim().parse().ok()
}

/// Returns the id of a replica after a number of crashes.
///
/// # Examples
///
/// ```
/// assert_eq!(sardinemux_standin::replica::id_after("t1", 0), "t1");
/// assert_eq!(sardinemux_standin::replica::id_after("t1", 2), "t1.2");
/// ```
pub fn id_after(id: &str, crashes: usize) -> String {
    match crashes {
        0 => id.to_owned(),
        _ => format!("{id}.{crashes}"),
    }
}

impl Replica {
    /// Returns the id that the replica has since its last crash.
    fn id(&self) -> String {
        id_after(&self.settings.id, self.stats.lock().crashes_ms.len())
    }

    /// Returns the value of [`header::SERVER_LOAD`].
    fn format_load(&self) -> String {
        let running = self.stats.lock().running;
        let slots = self.settings.slots;
        let waiting = running.saturating_sub(slots);
        format!("{},{waiting},{slots}", running.min(slots))
    }

    /// Decides at random whether a fault applies, given its fraction.
    fn draw_fault(&self, part: impl Fn(&Faults) -> f64) -> bool {
        rand::random::<f64>() < part(&self.faults.lock())
    }

    /// Returns the number of requests that may wait now. A brittle replica lets none wait some time after it has stated that.
    fn queue(&self) -> u32 {
        let stated_at = self.stated_at.get();
        match stated_at.is_some_and(|at| at.elapsed() >= BRITTLE_NOTICE) {
            true => 0,
            false => self.settings.queue,
        }
    }

    /// Returns whether the replica has fallen over and answers nothing.
    fn is_down(&self) -> bool {
        let fell_ms = self.stats.lock().falls_ms.last().copied();
        fell_ms.is_some_and(|fell_ms| unix_ms() < fell_ms + FALL_MS)
    }

    /// Rejects a request for want of room. A brittle replica falls over if it has to reject too many.
    fn reject_full(&self) -> std::result::Result<Response<Body>, Disconnect> {
        let now_ms = unix_ms();
        let count = {
            let mut rejections_ms = self.rejections_ms.lock();
            rejections_ms.retain(|at_ms| at_ms + 1_000 > now_ms);
            rejections_ms.push(now_ms);
            rejections_ms.len() as u64
        };
        if self.settings.brittle > 0 && count > self.settings.brittle {
            self.rejections_ms.lock().clear();
            self.stats.lock().falls_ms.push(now_ms);
            return Err(Disconnect);
        }
        Ok(self.reject(StatusCode::SERVICE_UNAVAILABLE))
    }

    /// States in an answer that the replica is brittle, if it is.
    fn state_brittleness(&self, headers: &mut HeaderMap) {
        let brittle = self.settings.brittle;
        if brittle > 0 {
            self.stated_at.get_or_init(Instant::now);
            answer::set_header(headers, header::BRITTLE, &brittle.to_string());
        }
    }

    /// Returns the response to a request that was not run.
    fn reject(&self, status: StatusCode) -> Response<Body> {
        let mut response = answer::empty_response(status);
        let headers = response.headers_mut();
        answer::set_header(headers, header::INSTANCE_ID, &self.id());
        answer::set_header(headers, header::SERVER_LOAD, &self.format_load());
        self.state_brittleness(headers);
        if status != StatusCode::MISDIRECTED_REQUEST {
            answer::set_header(headers, header::NOT_EXECUTED, "1");
        }
        response
    }

    /// Rejects a request if the replica wants none for a time, and states how much of it is left.
    fn reject_paused(&self) -> Option<Response<Body>> {
        let (now_ms, until_ms) = (unix_ms(), self.faults.lock().pause_until_ms);
        if now_ms >= until_ms {
            return None;
        }
        self.stats.lock().refusals_ms.push((now_ms, until_ms));
        let mut response = self.reject(StatusCode::SERVICE_UNAVAILABLE);
        let seconds = format!("{:.3}", (until_ms - now_ms) as f64 / 1_000.0);
        answer::set_header(response.headers_mut(), header::RETRY_AFTER, &seconds);
        Some(response)
    }

    /// Answers one request, and states whether the replica leaves; `Err` closes the connection without an answer.
    async fn answer_request(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> std::result::Result<Response<Body>, Disconnect> {
        let mut response = self.answer_or_reject(request).await?;
        if self.faults.lock().is_leaving {
            answer::set_header(response.headers_mut(), header::LEAVING, "1");
        }
        Ok(response)
    }

    async fn answer_or_reject(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> std::result::Result<Response<Body>, Disconnect> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let Ok(body) = body.collect().await.map(|body| body.to_bytes()) else {
            return Err(Disconnect);
        };
        if let Some(response) = self.answer_control(&head.method, &path, &body) {
            return Ok(response);
        }
        let headers = &head.headers;
        if get_header(headers, header::EXPECTED_INSTANCE).is_some_and(|id| id != self.id()) {
            return Ok(self.reject(StatusCode::MISDIRECTED_REQUEST));
        }
        let Some(id) = get_header(headers, header::REQUEST_ID) else {
            return Ok(self.reject(StatusCode::BAD_REQUEST));
        };
        if self.is_down() {
            return Err(Disconnect);
        }
        if let Some(response) = self.reject_paused() {
            return Ok(response);
        }
        if self.stats.lock().running >= self.settings.slots + self.queue() {
            return self.reject_full();
        }
        let mut running = RequestGuard::new(self);
        let deadline_ms = parse_header(headers, header::DEADLINE_MS).unwrap_or(u64::MAX / 2);
        let timeout = Duration::from_millis(deadline_ms.min(60_000));
        let arrived_at = Instant::now();
        let Ok(Ok(permit)) = time::timeout(timeout, self.slots.clone().acquire_owned()).await
        else {
            return Ok(self.reject(StatusCode::SERVICE_UNAVAILABLE));
        };
        running.permit = Some(permit);
        {
            let mut stats = self.stats.lock();
            *stats.runs.entry(id.to_owned()).or_default() += 1;
            let begun_ms = unix_ms();
            stats.begun_ms.push(begun_ms);
            stats.last_begun_ms.insert(id.to_owned(), begun_ms);
        }
        let fatal_body = self.settings.fatal_body.as_deref();
        if fatal_body.is_some_and(|fatal| fatal.as_bytes() == body) {
            match self.crash().await {}
        }
        self.prefill(headers).await;
        if self.draw_fault(|faults| faults.hangs) {
            time::sleep(timeout).await;
            return Err(Disconnect);
        }
        let work = Work {
            id: id.to_owned(),
            last_event: parse_header(headers, header::LAST_EVENT_ID).unwrap_or(0),
            arrived_at,
            timeout,
            lag: Duration::from_millis(self.faults.lock().lag_ms),
        };
        self.run_work(&path, work, running).await
    }

    /// Runs a request that holds a slot, with the faults that are drawn for it.
    async fn run_work(
        self: &Arc<Self>,
        path: &str,
        work: Work,
        mut running: RequestGuard,
    ) -> std::result::Result<Response<Body>, Disconnect> {
        let settings = &self.settings;
        let echoed = match self.draw_fault(|faults| faults.crosses) {
            true => "0".to_owned(),
            false => work.id.clone(),
        };
        let is_stream = path.starts_with("/stream");
        let is_broken = self.draw_fault(|faults| faults.breaks)
            || is_stream && draw_percentage(settings.break_percent);
        let pause = draw_percentage(settings.pause_percent).then(|| {
            let events = if is_stream { settings.events } else { 0 };
            Pause::draw(work.last_event + 1..events + 1)
        });
        if let Some(Pause { event: None, time }) = pause {
            time::sleep(time).await;
        }
        let flood = self.faults.lock().flood;
        let mut response = match is_stream {
            _ if flood != Flood::None => answer::endless_response(flood, is_stream, work),
            true => answer::stream_response(settings, work, running, is_broken, pause),
            false => {
                time::sleep(Duration::from_millis(settings.work_ms)).await;
                running.mark_complete();
                if self.draw_fault(|faults| faults.loses) {
                    return Err(Disconnect);
                }
                match self.draw_fault(|faults| faults.fails) {
                    true => {
                        answer::whole_response(StatusCode::INTERNAL_SERVER_ERROR, "failed", false)
                    }
                    false if !work.lag.is_zero() => {
                        answer::halved_response(&answer::text(&work.id), work)
                    }
                    false => {
                        answer::whole_response(StatusCode::OK, &answer::text(&work.id), is_broken)
                    }
                }
            }
        };
        let headers = response.headers_mut();
        answer::set_header(headers, header::REQUEST_ID, &echoed);
        answer::set_header(headers, header::RESPONSE_STAMP, &self.id());
        answer::set_header(headers, header::SERVER_LOAD, &self.format_load());
        self.state_brittleness(headers);
        let cold_ms = self.faults.lock().cold_until_ms.saturating_sub(unix_ms());
        if cold_ms > 0 {
            answer::set_header(headers, header::COLD_MS, &cold_ms.to_string());
        }
        // Nothing in a broken answer that is no stream would show that it is broken.
        if draw_percentage(settings.unframed_percent) && (is_stream || !is_broken) {
            answer::remove_framing(&mut response);
        }
        Ok(response)
    }

    /// Waits as long as the prefill of the tokens takes that neither this replica nor the one to fetch from has cached,
    /// and then caches the prompt.
    async fn prefill(&self, headers: &HeaderMap) {
        let Some(prompt) = get_header(headers, header::PROMPT_PREFIX) else {
            return;
        };
        let prompt = cache::parse_prompt(prompt);
        let cached = self.cache.lock().cached_tokens(&prompt);
        let fetched = match get_header(headers, header::KV_FETCH) {
            Some(address) => cache::fetch_cached_tokens(address, &prompt)
                .await
                .max(cached),
            None => cached,
        };
        let all: u64 = prompt.iter().map(|part| part.tokens).sum();
        let read = all - fetched;
        {
            let mut stats = self.stats.lock();
            stats.kept_tokens += cached;
            stats.fetched_tokens += fetched - cached;
            stats.read_tokens += read;
        }
        let read_ms = read / self.settings.tokens_per_ms.max(1);
        time::sleep(Duration::from_millis(read_ms)).await;
        self.cache.lock().insert(&prompt);
    }

    /// Answers the calls that need no slot: health checks, the list of cached parts, and the calls of tests.
    fn answer_control(&self, method: &Method, path: &str, body: &[u8]) -> Option<Response<Body>> {
        match (method, path) {
            (&Method::GET, "/v1/kv-list") => Some(answer::json_response(&self.cache.lock().list())),
            (&Method::GET, "/health") => {
                let mut response = answer::empty_response(StatusCode::OK);
                let headers = response.headers_mut();
                answer::set_header(headers, header::INSTANCE_ID, &self.id());
                answer::set_header(headers, header::SERVER_LOAD, &self.format_load());
                Some(response)
            }
            (&Method::GET, "/standin/stats") => Some(answer::json_response(&*self.stats.lock())),
            (&Method::POST, "/standin/faults") => {
                let faults = serde_json::from_slice(body);
                Some(match faults {
                    Ok(faults) => {
                        *self.faults.lock() = faults;
                        answer::empty_response(StatusCode::OK)
                    }
                    Err(_) => answer::empty_response(StatusCode::BAD_REQUEST),
                })
            }
            _ => None,
        }
    }
}

/// Returns the empty body of an answer.
pub(crate) fn empty_body() -> Full<Bytes> {
    Full::default()
}
