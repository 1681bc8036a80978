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
use crate::request::Inbound;

/// What became of a request at one target.
#[derive(Debug)]
pub enum AttemptOutcome {
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
    /// Counts the request on its target.
    pub in_flight: InFlight,
    link: Link,
}

/// Counts a request on its target until it ends.
#[derive(Debug)]
pub struct InFlight {
    gateway: Arc<Gateway>,
    /// The target.
    pub key: Key,
    evidence: Evidence,
}

impl InFlight {
    /// Notes what the end of the request tells of the target.
    pub fn set_evidence(&mut self, evidence: Evidence) {
        self.evidence = evidence;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        let mut roster = self.gateway.roster.lock();
        command::finish_request(&mut roster, self.key, self.evidence, now_ms);
    }
}

impl Answer {
    /// Notes that the whole answer came, and keeps the connection if the target does.
    pub fn complete(mut self) {
        self.in_flight
            .set_evidence(match self.head.status.is_server_error() {
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
        let idle_timeout = parse_keep_alive(&self.head);
        let gateway = &self.in_flight.gateway;
        let idle_max = gateway.idle_max(self.in_flight.key);
        let mut shelf = gateway.shelf.lock();
        shelf.put(self.in_flight.key, self.link, idle_timeout, idle_max);
    }
}

/// Reads `Keep-Alive: timeout=N`, in whole seconds.
fn parse_keep_alive(head: &Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Counts a request on a target, if the target may get one now.
pub fn start(gateway: &Arc<Gateway>, key: Key) -> Option<(InFlight, Target)> {
    let now_ms = gateway.now_ms();
    let target = query::target(&gateway.roster.lock(), key)?.clone();
    let cold_per_s = gateway.cold_per_s(&target.pool, &target.id);
    let mut roster = gateway.roster.lock();
    if !command::start_request(&mut roster, key, cold_per_s, now_ms) {
        return None;
    }
    let in_flight = InFlight {
        gateway: gateway.clone(),
        key,
        evidence: Evidence::Inconclusive,
    };
    Some((in_flight, target))
}

/// Sends a request and waits for the head of the answer until `first_byte_deadline`.
pub async fn send(
    inbound: &Inbound,
    in_flight: InFlight,
    target: &Target,
    last_event_id: Option<u64>,
    first_byte_deadline: Instant,
) -> AttemptOutcome {
    let gateway = in_flight.gateway.clone();
    let outcome = exchange(
        &gateway,
        inbound,
        in_flight,
        target,
        last_event_id,
        first_byte_deadline,
    )
    .await;
    let label = match &outcome {
        AttemptOutcome::Answer(_) => "answered",
        AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason } => reason.name(),
    };
    let attempts = &gateway.metrics.attempts;
    attempts
        .with_label_values(&[target.pool.as_str(), label])
        .inc();
    if let AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason } = &outcome {
        log::info!(
            request_id:% = inbound.id_text(), target_id:% = target.id, reason = reason.name(),
            is_not_run = matches!(outcome, AttemptOutcome::NotRun { .. });
            "attempt failed"
        );
    }
    outcome
}

async fn exchange(
    gateway: &Arc<Gateway>,
    inbound: &Inbound,
    mut in_flight: InFlight,
    target: &Target,
    last_event_id: Option<u64>,
    first_byte_deadline: Instant,
) -> AttemptOutcome {
    let Ok(address) = target.address.parse::<SocketAddr>() else {
        in_flight.set_evidence(Evidence::AddressTaken);
        return not_run(Reason::NoTarget, false);
    };
    let Some(request) = build_request(gateway, inbound, in_flight.key, target, last_event_id)
    else {
        return not_run(Reason::Waited, false);
    };
    let Some(mut link) = connect(gateway, inbound, in_flight.key, address).await else {
        in_flight.set_evidence(Evidence::TransportError);
        return not_run(Reason::Refused, false);
    };
    let sent = time::timeout_at(first_byte_deadline, link.sender.try_send_request(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            in_flight.set_evidence(Evidence::TransportError);
            return match error.take_message() {
                Some(_) => not_run(Reason::Cut, false),
                None => unknown(Reason::Cut),
            };
        }
        Err(_) => {
            in_flight.set_evidence(Evidence::TransportError);
            return unknown(Reason::Silence);
        }
    };
    interpret_head(gateway, inbound, in_flight, link, response)
}

fn not_run(reason: Reason, has_arrived: bool) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        reason,
        has_arrived,
    }
}

fn unknown(reason: Reason) -> AttemptOutcome {
    AttemptOutcome::Unknown { reason }
}

/// A request that must not repeat goes out on a fresh connection: a kept one may be closed while it is written.
async fn connect(
    gateway: &Gateway,
    inbound: &Inbound,
    key: Key,
    address: SocketAddr,
) -> Option<Link> {
    if inbound.route.kind.is_repeatable() {
        let kept = gateway.shelf.lock().take(key);
        if let Some(link) = connections::reuse(kept).await {
            return Some(link);
        }
    }
    match connections::open(address).await {
        Ok(link) => Some(link),
        Err(error) => {
            log::info!(request_id:% = inbound.id_text(), error:% = error; "no connection to the target");
            None
        }
    }
}

/// Puts the request together; nothing if its deadline has passed.
fn build_request(
    gateway: &Gateway,
    inbound: &Inbound,
    key: Key,
    target: &Target,
    last_event_id: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let left_ms = inbound.remaining().as_millis() as u64;
    if left_ms == 0 {
        return None;
    }
    let dialect = &gateway.dialect;
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.uri.clone();
    *request.headers_mut() = inbound.headers.clone();
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
    if let Some(organisation) = &inbound.organisation {
        set(&dialect.organisation, organisation);
    }
    if inbound.prompt.prefix_id().is_some() {
        set(&dialect.priority, &inbound.priority.min(9).to_string());
    }
    if let Some(source) = cache_source(gateway, inbound, key) {
        set(&dialect.cache_source, &source);
    }
    if let Some(last_event_id) = last_event_id {
        set(&dialect.last_event, &last_event_id.to_string());
    }
    Some(request)
}

/// Returns the address of the engine that most likely caches the prompt's shared parts, if it is another one.
///
/// Moving a cached part costs a sixth of reading it anew, and some 3 ms instead of 200.
fn cache_source(gateway: &Gateway, inbound: &Inbound, key: Key) -> Option<SmolStr> {
    let prefix_id = inbound.prompt.prefix_id()?;
    let now_ms = gateway.now_ms();
    let known = gateway.holders.lock().get(prefix_id);
    let roster = gateway.roster.lock();
    let is_usable = |holder: &Key| query::target(&roster, *holder).is_some();
    let holder = known
        .filter(is_usable)
        .or_else(|| query::home_target(&roster, &inbound.pool, prefix_id, key, now_ms))?;
    if holder == key {
        return None;
    }
    query::target(&roster, holder).map(|target| target.address.clone())
}

/// Judges the head of an answer: whether it is this request's, and what it says.
fn interpret_head(
    gateway: &Arc<Gateway>,
    inbound: &Inbound,
    mut in_flight: InFlight,
    link: Link,
    response: Response<Incoming>,
) -> AttemptOutcome {
    let dialect = &gateway.dialect;
    let (head, body) = response.into_parts();
    let headers = &head.headers;
    let echoed_id = headers.get(&dialect.request_id);
    if echoed_id.is_some_and(|echoed_id| echoed_id != inbound.id) {
        in_flight.set_evidence(Evidence::TransportError);
        return unknown(Reason::Crossed);
    }
    record_state(gateway, in_flight.key, &head);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.set_evidence(Evidence::AddressTaken);
        return not_run(Reason::NoTarget, true);
    }
    if headers.contains_key(&dialect.not_run) {
        return not_run(Reason::Full, true);
    }
    let is_signed = headers.contains_key(&dialect.signature);
    let is_encoded = headers.contains_key(header::CONTENT_ENCODING);
    if echoed_id.is_none() || !is_signed || is_encoded {
        in_flight.set_evidence(Evidence::TransportError);
        return unknown(Reason::Crossed);
    }
    if let (true, Some(prefix_id)) = (head.status.is_success(), inbound.prompt.prefix_id()) {
        gateway.holders.lock().put(prefix_id, in_flight.key);
    }
    AttemptOutcome::Answer(Box::new(Answer {
        head,
        body,
        in_flight,
        link,
    }))
}

fn record_state(gateway: &Gateway, key: Key, head: &Parts) {
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
