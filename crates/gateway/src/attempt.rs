//! Sends a request to one target, and determines from the result whether the request may have run.

pub mod answer;
pub mod grant;
pub mod statement;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use sardinemux_core::outcome;
use sardinemux_core::reach::Failure;
use sardinemux_core::roster::{command, query, room, Evidence};
use sardinemux_core::target::{self, Key, Target};
use tokio::time::{self, Instant};

use self::answer::Answer;
use self::grant::Grant;
use crate::answer::Recipient;
use crate::connections::{self, Connection};
use crate::hop;
use crate::permits::Permit;
use crate::prelude::*;
use crate::quarantine::Hex;
use crate::request::Inbound;
use crate::rollouts::{self, Event};
use crate::speeds;
use crate::whole::Whole;

/// The time without an answer over a new connection after which the path to the target may be lost. As a sound target may be
/// silent for as long, this alone proves nothing.
const SILENCE: Duration = Duration::from_millis(1_000);

/// The outcome of an attempt at one target.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The head of an answer to this request arrived.
    Answer(Box<Answer>),
    /// The request provably did not run.
    NotRun {
        /// The reason.
        reason: Reason,
        /// Whether the target received the request.
        has_arrived: bool,
    },
    /// The request may or may not have run.
    Unknown {
        /// The reason.
        reason: Reason,
    },
}

/// A target that is connected and has not received the request yet.
#[derive(Debug)]
pub struct Ready {
    in_flight: InFlight,
    target: Target,
    link: Connection,
    /// Whether the connection was opened for this request.
    is_new: bool,
    /// The other gateway that is to choose the target, if it is not this one.
    gateway: Option<Peer>,
}

/// What an attempt at a request depends on besides the request itself.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The builds at which the request may run, if it is bound to some.
    pub builds: Option<Vec<SmolStr>>,
    /// The id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// The number of targets on which the request may still run.
    pub runs_left: u32,
}

/// Another gateway that sends a request to a target.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: SmolStr,
    /// The address on which it serves other gateways.
    pub address: SocketAddr,
    /// Whether it compares the versions of catalogues.
    pub compares_catalogs: bool,
}

impl Ready {
    /// Returns the key of the target.
    pub fn key(&self) -> Key {
        self.in_flight.key
    }

    /// Returns whether the connection to the target was opened for this request.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the id and build of the target or, if another gateway chooses it, the name of that gateway.
    pub fn recipient(&self) -> Recipient {
        Recipient {
            id: self.target.id.clone(),
            build: self.target.build.clone(),
            gateway: match &self.gateway {
                Some(peer) => peer.name.clone(),
                None => SmolStr::default(),
            },
        }
    }

    /// Returns a connection to another gateway, over which a request goes to a target that this one chooses.
    pub fn through(gateway: Arc<Gateway>, peer: Peer, pool: SmolStr, link: Connection) -> Self {
        let target = Target {
            id: SmolStr::default(),
            kind: target::Kind::Service,
            pool,
            address: SmolStr::default(),
            zone: SmolStr::default(),
            region: SmolStr::default(),
            slots: 0,
            leaving: false,
            build: SmolStr::default(),
        };
        Self {
            in_flight: InFlight {
                begin_ms: gateway.now_ms(),
                gateway,
                key: UNKNOWN_TARGET,
                evidence: Evidence::Inconclusive,
                tokens: 0,
                permit: None,
            },
            target,
            link,
            is_new: false,
            gateway: Some(peer),
        }
    }
}

/// The key of a target that another gateway chooses. No target of the roster has it.
pub const UNKNOWN_TARGET: Key = Key(u32::MAX);

/// A guard that counts a request as in flight on its target until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    gateway: Arc<Gateway>,
    /// The key of the target.
    pub key: Key,
    begin_ms: u64,
    evidence: Evidence,
    /// The tokens that are counted on the target.
    tokens: u64,
    /// The permit of the request, which is returned with it.
    permit: Option<Permit>,
}

impl InFlight {
    /// Sets the permit of the request.
    pub fn set_permit(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    fn note_rejected(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.set_rejected();
        }
    }

    /// Returns the gateway that counts the request.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Counts the tokens of the request on the target.
    pub fn hold_tokens(&mut self, tokens: u64) {
        room::hold(&mut self.gateway.roster.lock(), self.key, tokens);
        self.tokens += tokens;
    }

    /// Sets what the result of the request shows about the health of the target. The roster is updated on drop.
    pub fn set_evidence(&mut self, evidence: Evidence) {
        self.evidence = evidence;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        {
            let mut roster = self.gateway.roster.lock();
            room::release(&mut roster, self.key, self.tokens);
            command::finish_request(&mut roster, self.key, self.evidence, now_ms);
        }
        if let (Evidence::Healthy, Some(permit)) = (self.evidence, &mut self.permit) {
            permit.set_completed(now_ms.saturating_sub(self.begin_ms));
        }
    }
}

/// Counts a request as started on a target. Returns `None` if the target is unknown or at its rate limit.
pub fn start(gateway: &Arc<Gateway>, key: Key) -> Option<(InFlight, Target)> {
    let now_ms = gateway.now_ms();
    let (target, stated_limit) = {
        let roster = gateway.roster.lock();
        let target = query::target(&roster, key)?.clone();
        (target, query::stated_limit(&roster, key, now_ms))
    };
    let shares = gateway.rate_shares(&target.pool, &target.id, stated_limit);
    let mut roster = gateway.roster.lock();
    if !command::start_request(&mut roster, key, shares, now_ms) {
        return None;
    }
    gateway.load_change.notify_one();
    let in_flight = InFlight {
        gateway: gateway.clone(),
        key,
        begin_ms: now_ms,
        evidence: Evidence::Inconclusive,
        tokens: 0,
        permit: None,
    };
    Some((in_flight, target))
}

/// The connection on which a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// An idle one if there is one and the request is repeatable.
    Any,
    /// A new one, which shows that the target accepts connections.
    New,
}

/// Connects to a target that a request is to be sent to.
///
/// # Errors
///
/// The reason why the target cannot be used; it has received nothing.
pub async fn connect(
    inbound: &Inbound,
    mut in_flight: InFlight,
    target: Target,
    choice: Link,
) -> std::result::Result<Ready, Reason> {
    let gateway = in_flight.gateway.clone();
    let reason = match target.address.parse::<SocketAddr>() {
        Ok(address) => match open_or_reuse(&gateway, inbound, in_flight.key, address, choice).await
        {
            Some((link, is_new)) => {
                return Ok(Ready {
                    in_flight,
                    target,
                    link,
                    is_new,
                    gateway: None,
                })
            }
            None => {
                in_flight.set_evidence(Evidence::TransportError);
                Reason::Refused
            }
        },
        Err(_) => {
            in_flight.set_evidence(Evidence::AddressTaken);
            Reason::NoTarget
        }
    };
    record_outcome(&gateway, inbound, &target.id, &not_run(reason, false));
    Err(reason)
}

/// Sends a request to a connected target, waits for the head of the answer until `first_byte_deadline`, and counts and
/// logs the outcome. Sends nothing, and never ends, if the caller is gone.
pub async fn send(
    inbound: &Inbound,
    ready: Ready,
    terms: &Terms,
    first_byte_deadline: Instant,
) -> AttemptOutcome {
    inbound.presence.confirm().await;
    inbound.is_sent.store(true, Ordering::Relaxed);
    let gateway = ready.in_flight.gateway.clone();
    let target_id = ready.target.id.clone();
    let build = ready.target.build.clone();
    let key = ready.key();
    let is_direct = ready.gateway.is_none();
    let record = |event: Event| {
        if is_direct {
            let (pool, route) = (&inbound.pool, &inbound.route.name);
            rollouts::record(&gateway, pool, route, (&target_id, &build), event);
        }
    };
    record(Event::Sent);
    let sent_at = Instant::now();
    let outcome = exchange(&gateway, inbound, ready, terms, first_byte_deadline).await;
    match &outcome {
        AttemptOutcome::Answer(answer) if !answer.head.status.is_server_error() => {
            record(Event::Answered(sent_at.elapsed()));
            if is_direct {
                let (pool, route) = (&inbound.pool, &inbound.route.name);
                speeds::learn(&gateway, key, pool, route, sent_at.elapsed());
            }
        }
        AttemptOutcome::Answer(_) | AttemptOutcome::Unknown { .. } => record(Event::Failed),
        AttemptOutcome::NotRun { .. } => {}
    }
    record_outcome(&gateway, inbound, &target_id, &outcome);
    outcome
}

/// Counts and logs an attempt that was given up for another one, as its target was silent.
pub fn record_silence(gateway: &Gateway, inbound: &Inbound, target_id: &SmolStr) {
    record_outcome(gateway, inbound, target_id, &unknown(Reason::Silence));
}

/// Counts the outcome of an attempt, and logs it if the attempt failed.
fn record_outcome(
    gateway: &Gateway,
    inbound: &Inbound,
    target_id: &SmolStr,
    outcome: &AttemptOutcome,
) {
    let label = match outcome {
        AttemptOutcome::Answer(_) => "answered",
        AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason } => reason.name(),
    };
    let attempts = &gateway.metrics.attempts;
    attempts
        .with_label_values(&[inbound.pool.as_str(), label])
        .inc();
    if let AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown { reason } = outcome {
        log::info!(
            request_id:% = inbound.id_text(), target_id:% = target_id, prompt:% = inbound.prompt, content:% = Hex(inbound.content), reason = reason.name(),
            is_not_run = matches!(outcome, AttemptOutcome::NotRun { .. });
            "attempt failed"
        );
    }
}

/// Sends the request and waits for the head of the answer.
async fn exchange(
    gateway: &Arc<Gateway>,
    inbound: &Inbound,
    ready: Ready,
    terms: &Terms,
    first_byte_deadline: Instant,
) -> AttemptOutcome {
    let Ready {
        mut in_flight,
        target,
        mut link,
        is_new,
        gateway: peer,
    } = ready;
    if let Some(peer) = peer {
        return hop::exchange(in_flight, link, peer, inbound, terms, first_byte_deadline).await;
    }
    let Some(grant) = Grant::until(inbound.deadline) else {
        return not_run(Reason::Waited, false);
    };
    let key = in_flight.key;
    let request = build_request(gateway, inbound, key, &target, grant, terms.last_event_id);
    let sending = async {
        let mut sending = pin!(link.send(request));
        if !is_new {
            let sent = sending.await;
            if sent.is_ok() {
                hop::note_head(gateway, &inbound.pool);
            }
            return sent;
        }
        let sent = match time::timeout(SILENCE, &mut sending).await {
            Ok(sent) => sent,
            Err(_) => {
                hop::note_failed(gateway, &inbound.pool, key, Failure::Exchange);
                sending.await
            }
        };
        match sent {
            Ok(_) => hop::note_answered(gateway, &inbound.pool),
            Err(_) => hop::note_failed(gateway, &inbound.pool, key, Failure::Exchange),
        }
        sent
    };
    let sent = time::timeout_at(first_byte_deadline, sending).await;
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
    interpret_head(gateway, inbound, in_flight, link, target, grant, response)
}

pub(crate) fn not_run(reason: Reason, has_arrived: bool) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        reason,
        has_arrived,
    }
}

pub(crate) fn unknown(reason: Reason) -> AttemptOutcome {
    AttemptOutcome::Unknown { reason }
}

/// Returns an idle connection or opens a new one, and whether it is new. A request that is not repeatable always gets a
/// new connection, since the target may close an idle one while the request is being written.
async fn open_or_reuse(
    gateway: &Arc<Gateway>,
    inbound: &Inbound,
    key: Key,
    address: SocketAddr,
    choice: Link,
) -> Option<(Connection, bool)> {
    if choice == Link::Any && inbound.route.kind.is_repeatable() {
        let kept = gateway.idle_connections.lock().take(key);
        if let Some(link) = connections::reuse(kept).await {
            return Some((link, false));
        }
    }
    match connections::open(address, gateway.settings.source_address).await {
        Ok(link) => {
            hop::note_connected(gateway, &inbound.pool);
            Some((link, true))
        }
        Err(error) => {
            hop::note_failed(gateway, &inbound.pool, key, Failure::Connection);
            log::info!(request_id:% = inbound.id_text(), error:% = error; "no connection to the target");
            None
        }
    }
}

/// Builds the request to the target.
fn build_request(
    gateway: &Gateway,
    inbound: &Inbound,
    key: Key,
    target: &Target,
    grant: Grant,
    last_event_id: Option<u64>,
) -> Request<Whole> {
    let dialect = &gateway.dialect;
    let mut request = Request::new(inbound.body.clone());
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.uri.clone();
    *request.headers_mut() = inbound.headers.clone();
    let mut set = |name: &HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            request.headers_mut().insert(name.clone(), value);
        }
        Err(error) => {
            log::warn!(header:% = name, error:% = error; "omitting a request header with an invalid value");
        }
    };
    set(&dialect.deadline_ms, &grant.as_millis().to_string());
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
        set(&dialect.last_event_id, &last_event_id.to_string());
    }
    request
}

/// Returns the address of the engine that most likely caches the shared prefix of the prompt, unless that is the target
/// itself: the engine that processed the prefix last or, if none is last_holder, the home target of the prefix.
///
/// Transferring a cached part costs a sixth of processing it again, and takes about 3 ms instead of 200 ms.
fn cache_source(gateway: &Gateway, inbound: &Inbound, key: Key) -> Option<SmolStr> {
    let prefix_id = inbound.prompt.prefix_id()?;
    let now_ms = gateway.now_ms();
    let last_holder = gateway.holders.lock().get(prefix_id);
    let roster = gateway.roster.lock();
    let is_usable = |holder: &Key| {
        query::target(&roster, *holder).is_some() && !query::is_in_backoff(&roster, *holder, now_ms)
    };
    let holder = last_holder
        .filter(is_usable)
        .or_else(|| query::home_target(&roster, &inbound.pool, prefix_id, key, now_ms))?;
    if holder == key {
        return None;
    }
    query::target(&roster, holder).map(|target| target.address.clone())
}

/// Checks whether an answer belongs to this request, records what its head states about the target, and returns the
/// outcome.
///
/// An answer is accepted only if it repeats the request id, carries the target's signature and its body is not encoded.
fn interpret_head(
    gateway: &Arc<Gateway>,
    inbound: &Inbound,
    mut in_flight: InFlight,
    link: Connection,
    target: Target,
    grant: Grant,
    response: Response<Incoming>,
) -> AttemptOutcome {
    let dialect = &gateway.dialect;
    let (head, body) = response.into_parts();
    let headers = &head.headers;
    let echoed_id = headers.get(&dialect.request_id);
    if echoed_id.is_some_and(|id| id != inbound.id)
        || !outcome::is_final_status(head.status.as_u16())
    {
        in_flight.set_evidence(Evidence::TransportError);
        return unknown(Reason::Crossed);
    }
    let key = in_flight.key;
    statement::record_state(gateway, key, &head);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // The target rejects only requests that are meant for others, so that this is the answer to one of those.
        if is_rejection_by(gateway, headers, &target.id) {
            statement::record_leaving(gateway, key, headers);
            in_flight.set_evidence(Evidence::TransportError);
            return unknown(Reason::Crossed);
        }
        in_flight.set_evidence(Evidence::AddressTaken);
        return not_run(Reason::NoTarget, true);
    }
    statement::record_leaving(gateway, key, headers);
    statement::record_pause(gateway, key, &head);
    if headers.contains_key(&dialect.not_run) {
        statement::record_limit(gateway, &in_flight, &head);
        statement::record_brittleness(gateway, &in_flight, &head);
        let now_ms = gateway.now_ms();
        command::note_rejection(&mut gateway.roster.lock(), in_flight.key, now_ms);
        in_flight.note_rejected();
        return not_run(Reason::Full, true);
    }
    let is_signed = headers.contains_key(&dialect.signature);
    if echoed_id.is_none() || !is_signed || answer::is_encoded(headers) {
        in_flight.set_evidence(Evidence::TransportError);
        return unknown(Reason::Crossed);
    }
    statement::record_limit(gateway, &in_flight, &head);
    statement::record_brittleness(gateway, &in_flight, &head);
    let now_ms = gateway.now_ms();
    command::note_accepted(&mut gateway.roster.lock(), key, now_ms);
    if let (true, Some(prefix_id)) = (head.status.is_success(), inbound.prompt.prefix_id()) {
        gateway.holders.lock().put(prefix_id, in_flight.key);
    }
    AttemptOutcome::Answer(Box::new(Answer {
        head,
        body,
        in_flight,
        build: target.build,
        grant,
        link,
        peer: None,
        is_checked: true,
    }))
}

/// Returns whether the head of a rejection names this target as the one that sends it.
pub(crate) fn is_rejection_by(gateway: &Gateway, headers: &HeaderMap, target_id: &str) -> bool {
    let rejecting = headers.get(&gateway.dialect.rejecting_target);
    rejecting.is_some_and(|id| id.as_bytes() == target_id.as_bytes())
}
