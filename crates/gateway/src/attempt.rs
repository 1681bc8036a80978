//! Sending a request to one target, and saying truthfully what became of it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use sardinemux_core::roster::{command, query, Evidence};
use sardinemux_core::target::{Key, Target};
use tokio::time::{self, Instant};

use crate::connections::{self, Link};
use crate::prelude::*;
use crate::request::Job;

/// What became of a request at one target.
#[derive(Debug)]
pub enum Reached {
    /// The target answers.
    Answer(Box<Answer>),
    /// Provably nothing ran.
    NotRun {
        /// Why.
        reason: Reason,
        /// Whether the target received it.
        has_arrived: bool,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: Reason,
    },
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: Parts,
    /// The body.
    pub body: Incoming,
    /// The account of the request at its target.
    pub account: Account,
    link: Link,
}

/// Counts a request on its target until it ends.
#[derive(Debug)]
pub struct Account {
    gateway: Arc<Gateway>,
    /// The target.
    pub key: Key,
    evidence: Evidence,
}

impl Account {
    /// Notes what the end of the request tells of the target.
    pub fn note(&mut self, evidence: Evidence) {
        self.evidence = evidence;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        let mut roster = self.gateway.roster.lock();
        command::finish_request(&mut roster, self.key, self.evidence, now_ms);
    }
}

impl Answer {
    /// Notes that the whole answer came, and keeps the connection if the target does.
    pub fn complete(mut self) {
        self.account.note(match self.head.status.is_server_error() {
            true => Evidence::ServerError,
            false => Evidence::Healthy,
        });
        let closes = self
            .head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            return;
        }
        let keep = keep_alive(&self.head);
        let gateway = &self.account.gateway;
        let most = gateway.idle_connections_max(self.account.key);
        let mut shelf = gateway.idle_connections.lock();
        shelf.put(self.account.key, self.link, keep, most);
    }
}

/// Reads `Keep-Alive: timeout=N`, in whole seconds.
fn keep_alive(head: &Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Counts a request on a target, if the target may get one now.
pub fn start(gateway: &Arc<Gateway>, key: Key) -> Option<(Account, Target)> {
    let now_ms = gateway.now_ms();
    let target = query::target(&gateway.roster.lock(), key)?.clone();
    let cold_per_s = gateway.cold_per_s(&target.pool, &target.id);
    let mut roster = gateway.roster.lock();
    if !command::start_request(&mut roster, key, cold_per_s, now_ms) {
        return None;
    }
    let account = Account {
        gateway: gateway.clone(),
        key,
        evidence: Evidence::Inconclusive,
    };
    Some((account, target))
}

/// Sends a request and waits for the head of the answer until `first_byte`.
pub async fn send(
    job: &Job,
    account: Account,
    target: &Target,
    last_event: Option<u64>,
    first_byte: Instant,
) -> Reached {
    let gateway = account.gateway.clone();
    let reached = exchange(&gateway, job, account, target, last_event, first_byte).await;
    let outcome = match &reached {
        Reached::Answer(_) => "answered",
        Reached::NotRun { reason, .. } | Reached::Unknown { reason } => reason.name(),
    };
    let attempts = &gateway.metrics.attempts;
    attempts
        .with_label_values(&[target.pool.as_str(), outcome])
        .inc();
    if let Reached::NotRun { reason, .. } | Reached::Unknown { reason } = &reached {
        log::info!(
            request_id:% = job.id_text(), target_id:% = target.id, reason = reason.name(),
            is_not_run = matches!(reached, Reached::NotRun { .. });
            "attempt failed"
        );
    }
    reached
}

async fn exchange(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut account: Account,
    target: &Target,
    last_event: Option<u64>,
    first_byte: Instant,
) -> Reached {
    let Ok(address) = target.address.parse::<SocketAddr>() else {
        account.note(Evidence::AddressTaken);
        return not_run(Reason::NoTarget, false);
    };
    let Some(request) = build(gateway, job, account.key, target, last_event) else {
        return not_run(Reason::Waited, false);
    };
    let Some(mut link) = connect(gateway, job, account.key, address).await else {
        account.note(Evidence::TransportError);
        return not_run(Reason::Refused, false);
    };
    let sent = time::timeout_at(first_byte, link.sender.try_send_request(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            account.note(Evidence::TransportError);
            return match error.take_message() {
                Some(_) => not_run(Reason::Cut, false),
                None => unknown(Reason::Cut),
            };
        }
        Err(_) => {
            account.note(Evidence::TransportError);
            return unknown(Reason::Silence);
        }
    };
    judge(gateway, job, account, link, response)
}

fn not_run(reason: Reason, has_arrived: bool) -> Reached {
    Reached::NotRun {
        reason,
        has_arrived,
    }
}

fn unknown(reason: Reason) -> Reached {
    Reached::Unknown { reason }
}

/// A request that must not repeat goes out on a fresh connection: a kept one may be closed while it is written.
async fn connect(gateway: &Gateway, job: &Job, key: Key, address: SocketAddr) -> Option<Link> {
    if job.route.kind.is_repeatable() {
        let kept = gateway.idle_connections.lock().take(key);
        if let Some(link) = connections::reuse(kept).await {
            return Some(link);
        }
    }
    match connections::open(address).await {
        Ok(link) => Some(link),
        Err(error) => {
            log::info!(request_id:% = job.id_text(), error:% = error; "no connection to the target");
            None
        }
    }
}

/// Puts the request together; nothing if its deadline has passed.
fn build(
    gateway: &Gateway,
    job: &Job,
    key: Key,
    target: &Target,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let left_ms = job.left().as_millis() as u64;
    if left_ms == 0 {
        return None;
    }
    let dialect = &gateway.dialect;
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let mut set = |name: &HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            request.headers_mut().insert(name.clone(), value);
        }
        Err(error) => {
            log::warn!(header:% = name, error:% = error; "a header cannot be set");
        }
    };
    set(&dialect.deadline_ms, &left_ms.to_string());
    set(&dialect.expected_target, &target.id);
    if let Some(organisation) = &job.organisation {
        set(&dialect.organisation, organisation);
    }
    if job.prompt.prefix_id().is_some() {
        set(&dialect.priority, &job.priority.min(9).to_string());
    }
    if let Some(source) = cache_source(gateway, job, key) {
        set(&dialect.cache_source, &source);
    }
    if let Some(last_event) = last_event {
        set(&dialect.last_event, &last_event.to_string());
    }
    Some(request)
}

/// Returns the address of the engine that most likely caches the prompt's shared parts, if it is another one.
///
/// Moving a cached part costs a sixth of reading it anew, and some 3 ms instead of 200.
fn cache_source(gateway: &Gateway, job: &Job, key: Key) -> Option<SmolStr> {
    let subject = job.prompt.prefix_id()?;
    let now_ms = gateway.now_ms();
    let known = gateway.holders.lock().get(subject);
    let roster = gateway.roster.lock();
    let is_usable = |holder: &Key| query::target(&roster, *holder).is_some();
    let holder = known
        .filter(is_usable)
        .or_else(|| query::home_target(&roster, &job.pool, subject, key, now_ms))?;
    if holder == key {
        return None;
    }
    query::target(&roster, holder).map(|target| target.address.clone())
}

/// Judges the head of an answer: whether it is this request's, and what it says.
fn judge(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut account: Account,
    link: Link,
    response: Response<Incoming>,
) -> Reached {
    let dialect = &gateway.dialect;
    let (head, body) = response.into_parts();
    let headers = &head.headers;
    let echoed = headers.get(&dialect.request_id);
    if echoed.is_some_and(|echoed| echoed != job.id) {
        account.note(Evidence::TransportError);
        return unknown(Reason::Crossed);
    }
    note_load(gateway, account.key, &head);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        account.note(Evidence::AddressTaken);
        return not_run(Reason::NoTarget, true);
    }
    if headers.contains_key(&dialect.not_run) {
        return not_run(Reason::Full, true);
    }
    let is_signed = headers.contains_key(&dialect.signature);
    let is_coded = headers.contains_key(header::CONTENT_ENCODING);
    if echoed.is_none() || !is_signed || is_coded {
        account.note(Evidence::TransportError);
        return unknown(Reason::Crossed);
    }
    if let (true, Some(subject)) = (head.status.is_success(), job.prompt.prefix_id()) {
        gateway.holders.lock().put(subject, account.key);
    }
    Reached::Answer(Box::new(Answer {
        head,
        body,
        account,
        link,
    }))
}

fn note_load(gateway: &Gateway, key: Key, head: &Parts) {
    let dialect = &gateway.dialect;
    let text = |name: &HeaderName| head.headers.get(name)?.to_str().ok();
    let now_ms = gateway.now_ms();
    let mut roster = gateway.roster.lock();
    if let Some(load) = text(&dialect.load).and_then(dialect.parse_load) {
        command::note_load(&mut roster, key, load, now_ms);
    }
    let cold_ms = text(&dialect.cold_ms).and_then(|text| text.trim().parse().ok());
    if let Some(cold_ms) = cold_ms.filter(|cold_ms| *cold_ms > 0) {
        command::note_cold(&mut roster, key, cold_ms, now_ms);
    }
}
