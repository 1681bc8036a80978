//! Requests that go to a target through another gateway, as this one has lost its paths to the targets of the pool.
//!
//! Decisions are made in [`sardinemux_core::reach`]. A request is passed on once at most. The gateway that gets it checks it like
//! one of a caller, and counts it on the target that it chooses. It states a failure of its own by an answer without the
//! signature of a target, whose status tells whether the request has run.

pub mod head;

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use rand::seq::IndexedRandom;
use sardinemux_core::reach::{command, query, Candidate, Failure, Finding, Search};
use sardinemux_core::target::{Key, Target};
use sardinemux_core::{outcome, passage};
use sardinemux_core::{roster, slot_share};
use tokio::time::{self, Instant};

use self::head::{
    Passed, ARRIVED, BUILD, CATALOG, CHECKED, EXCHANGE, IS_CHECKED, NOT_ARRIVED, POOL, RUNS, SENDER,
};
use crate::answer::{self, Arrived};
use crate::attempt::answer::{is_encoded, Answer};
use crate::attempt::grant::Grant;
use crate::attempt::{self, statement, AttemptOutcome, InFlight, Peer, Ready, Terms};
use crate::catching_up;
use crate::connections::{self, Connection, IDLE_CONNECTIONS_MAX};
use crate::datagram;
use crate::prelude::*;
use crate::reply::{self, Body};
use crate::request::{self, Hop, Inbound, Rejection};
use crate::stream::Build;
use crate::supplement::{self, Supplement};
use crate::unanswered::Unanswered;
use crate::whole::Whole;

/// The interval at which a gateway tries whether lost paths are back.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// The number of targets of a pool that are tried each time.
const PROBES: usize = 3;

/// How long a target has for the answer to a status request, once it is connected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The id in a status request, which is that of no target.
const NO_TARGET: &str = "none";

/// Returns whether this gateway has lost its paths to the targets of a pool.
pub fn is_lost(gateway: &Gateway, pool: &str) -> bool {
    query::is_lost(&gateway.reach.lock(), pool)
}

/// Returns the names of the gateways that have a share of the slots of a brittle pool; `None` if the pool is not brittle.
fn holders(gateway: &Gateway, pool: &str) -> Option<Vec<SmolStr>> {
    let now_ms = gateway.now_ms();
    let slots = {
        let roster = gateway.roster.lock();
        if !roster::query::is_brittle(&roster, pool, now_ms) {
            return None;
        }
        roster::query::slots(&roster, pool, now_ms)
    };
    let members = gateway.members.lock();
    let names: Vec<&str> = members.names().chain([&*gateway.settings.name]).collect();
    let all = || names.iter().copied();
    let holders = all().filter(|name| slot_share::has_share(pool, name, all(), &slots));
    Some(holders.map(SmolStr::from).collect())
}

/// Returns whether requests for a pool go through another gateway: this one has lost its paths to the targets, or has no
/// share of their slots while they are brittle.
pub fn is_needed(gateway: &Gateway, pool: &str) -> bool {
    let has_no_share = || {
        let holders = holders(gateway, pool);
        holders.is_some_and(|names| !names.is_empty() && !names.contains(&gateway.settings.name))
    };
    is_lost(gateway, pool) || has_no_share()
}

/// Records that a connection to a target of a pool was made.
pub fn note_connected(gateway: &Gateway, pool: &str) {
    command::note_connected(&mut gateway.reach.lock(), pool);
}

/// Records that a target of a pool answered over a connection that was made before.
pub fn note_head(gateway: &Gateway, pool: &str) {
    command::note_head(&mut gateway.reach.lock(), pool, gateway.now_ms());
}

/// Records that a target of a pool answered over a new connection.
pub fn note_answered(gateway: &Gateway, pool: &str) {
    let now_ms = gateway.now_ms();
    if command::note_answered(&mut gateway.reach.lock(), pool, now_ms) {
        log::warn!(pool:% = pool; "paths to the targets of a pool are back");
    }
}

/// Records that a target of a pool could not be reached.
pub fn note_failed(gateway: &Arc<Gateway>, pool: &SmolStr, target: Key, failure: Failure) {
    let now_ms = gateway.now_ms();
    let targets = roster::query::eligible(&gateway.roster.lock(), pool, now_ms).len();
    let finding = {
        let mut reach = gateway.reach.lock();
        command::note_failed(&mut reach, pool, target, failure, targets, now_ms)
    };
    match finding {
        Finding::None => {}
        Finding::Lost => record_loss(pool),
        Finding::Suspected => {
            tokio::spawn(verify_suspicion(gateway.clone(), pool.clone()));
        }
    }
}

fn record_loss(pool: &str) {
    log::warn!(
        pool:% = pool;
        "paths to the targets of a pool are lost; requests go through other gateways"
    );
}

/// Takes the paths to a pool for lost unless one of its targets answers a status request.
async fn verify_suspicion(gateway: Arc<Gateway>, pool: SmolStr) {
    if !probe_pool(&gateway, &pool).await && command::confirm_loss(&mut gateway.reach.lock(), &pool)
    {
        record_loss(&pool);
    }
}

/// Tries at intervals whether lost paths are back. Never returns.
pub async fn probe(gateway: Arc<Gateway>) {
    loop {
        time::sleep(PROBE_INTERVAL).await;
        for pool in query::lost_pools(&gateway.reach.lock()) {
            let gateway = gateway.clone();
            tokio::spawn(async move { probe_pool(&gateway, &pool).await });
        }
    }
}

/// Sends status requests to some targets of a pool. Returns whether any answered.
async fn probe_pool(gateway: &Gateway, pool: &str) -> bool {
    let targets: Vec<(Key, Target)> = {
        let roster = gateway.roster.lock();
        let eligible = roster::query::eligible(&roster, pool, gateway.now_ms());
        let keys = eligible.choose_multiple(&mut rand::rng(), PROBES);
        let targets = keys.filter_map(|key| Some((*key, roster::query::target(&roster, *key)?)));
        targets.map(|(key, target)| (key, target.clone())).collect()
    };
    let probes = targets.into_iter().map(|(key, target)| async move {
        let is_answered = send_probe(gateway, key, &target).await;
        if is_answered {
            note_answered(gateway, pool);
        }
        is_answered
    });
    join_all(probes).await.contains(&true)
}

/// Sends a status request to a target. It names a target that does not exist, so that none queues or runs it. Returns
/// whether any answer came.
async fn send_probe(gateway: &Gateway, key: Key, target: &Target) -> bool {
    let Ok(address) = target.address.parse() else {
        return false;
    };
    let Ok(mut link) = connections::open(address, gateway.settings.source_address).await else {
        return false;
    };
    let Ok(host) = HeaderValue::from_str(&target.address) else {
        return false;
    };
    let mut request = Request::new(Whole::default());
    *request.uri_mut() = Uri::from_static(gateway.dialect.status_path);
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(
        gateway.dialect.expected_target.clone(),
        HeaderValue::from_static(NO_TARGET),
    );
    let Ok(Ok(response)) = time::timeout(PROBE_TIMEOUT, link.send(request)).await else {
        return false;
    };
    if attempt::is_rejection_by(gateway, response.headers(), &target.id) {
        statement::record_leaving(gateway, key, response.headers());
    }
    true
}

/// Returns the datagrams that tell others of the pools to which this gateway has lost its paths.
pub fn news(gateway: &Gateway) -> Vec<Vec<u8>> {
    let pools = query::lost_pools(&gateway.reach.lock());
    if pools.is_empty() {
        return Vec::new();
    }
    let encode = |pools: &[SmolStr]| {
        supplement::encode(&Supplement::Lost {
            gateway: gateway.settings.name.clone(),
            pools: pools.to_vec(),
        })
    };
    let fitting = datagram::fit(&pools, &encode);
    fitting.into_iter().map(|(_, bytes)| bytes).collect()
}

/// Records the pools to which another gateway has lost its paths.
pub fn receive_news(gateway: &Gateway, name: SmolStr, pools: Vec<SmolStr>) {
    let now_ms = gateway.now_ms();
    command::note_notice(&mut gateway.reach.lock(), name, pools, now_ms);
}

/// Chooses the gateway through which a request is sent; `None` if there is none besides those in `tried`.
pub fn choose(gateway: &Gateway, inbound: &Inbound, tried: &[SmolStr]) -> Option<Peer> {
    let now_ms = gateway.now_ms();
    let pool = inbound.pool.as_str();
    let holders = holders(gateway, pool);
    let is_holder = |name: &str| {
        let holders = holders.as_ref();
        holders.is_none_or(|holders| holders.iter().any(|holder| holder == name))
    };
    let members = gateway.members.lock();
    let candidates = members.candidates(now_ms);
    let candidates: Vec<Candidate<'_>> = candidates.filter(|it| is_holder(it.name)).collect();
    let search = Search {
        pool,
        zone: &gateway.settings.zone,
        catalog: inbound.catalog,
        tried,
    };
    let random = &mut rand::rng();
    let reach = gateway.reach.lock();
    let name = query::choose_gateway(&reach, search, &candidates, now_ms, random)?;
    let chosen = candidates.iter().find(|candidate| candidate.name == name)?;
    Some(Peer {
        name: name.into(),
        address: members.address(name)?,
        compares_catalogs: chosen.compares_catalogs,
    })
}

/// Connects to another gateway. A request that must not repeat gets a new connection, since the other side may close an idle
/// one while the request is being written.
pub async fn connect(gateway: &Arc<Gateway>, inbound: &Inbound, peer: Peer) -> Option<Ready> {
    let kept = match inbound.route.kind.is_repeatable() {
        true => gateway.idle_hops.lock().take(peer.address),
        false => None,
    };
    let link = match connections::reuse(kept).await {
        Some(link) => link,
        None => match connections::open(peer.address, None).await {
            Ok(link) => link,
            Err(error) => {
                log::info!(request_id:% = inbound.id_text(), peer:% = peer.name, error:% = error; "no connection to the gateway");
                return None;
            }
        },
    };
    let pool = inbound.pool.clone();
    Some(Ready::through(gateway.clone(), peer, pool, link))
}

/// Keeps a connection to another gateway for reuse.
pub fn keep(gateway: &Gateway, peer: SocketAddr, link: Connection) {
    let mut idle = gateway.idle_hops.lock();
    idle.put(peer, link, None, IDLE_CONNECTIONS_MAX);
}

/// Returns the request to another gateway, as the caller has sent it, with the time that is left.
fn build_request(
    gateway: &Gateway,
    inbound: &Inbound,
    exchange: &HeaderValue,
    peer: &Peer,
    grant: Grant,
    terms: &Terms,
) -> Option<Request<Whole>> {
    let dialect = &gateway.dialect;
    let mut request = Request::new(inbound.body.clone());
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = inbound.uri.clone();
    let headers = request.headers_mut();
    *headers = inbound.headers.clone();
    headers.insert(EXCHANGE, exchange.clone());
    headers.insert(
        dialect.deadline_ms.clone(),
        HeaderValue::from(grant.as_millis()),
    );
    headers.insert(POOL, HeaderValue::from_str(&inbound.pool).ok()?);
    if let Some(key) = &inbound.key {
        headers.insert(dialect.api_key.clone(), key.clone());
    }
    headers.insert(RUNS, HeaderValue::from(terms.runs_left));
    if peer.compares_catalogs {
        headers.insert(CATALOG, HeaderValue::from(inbound.catalog));
        headers.insert(SENDER, HeaderValue::from_str(&gateway.settings.name).ok()?);
    }
    let last_event_id = terms.last_event_id;
    let has_begun = last_event_id.is_some() || inbound.is_resumption();
    if let (true, Some([build])) = (has_begun, terms.builds.as_deref()) {
        headers.insert(BUILD, HeaderValue::from_str(build).ok()?);
    }
    if let Some(last_event_id) = last_event_id {
        let began = inbound.resumes.as_ref().unwrap_or(&inbound.id);
        headers.insert(dialect.resumes.clone(), began.clone());
        headers.insert(dialect.last_event_id.clone(), last_event_id.into());
    }
    Some(request)
}

/// Sends a request to another gateway and waits for the head of the answer.
pub async fn exchange(
    in_flight: InFlight,
    mut link: Connection,
    peer: Peer,
    inbound: &Inbound,
    terms: &Terms,
    deadline: Instant,
) -> AttemptOutcome {
    let gateway = in_flight.gateway().clone();
    let number = HeaderValue::from(rand::random::<u64>());
    let Some(grant) = Grant::until(inbound.deadline) else {
        return attempt::not_run(Reason::Waited, false);
    };
    let request = build_request(&gateway, inbound, &number, &peer, grant, terms);
    let Some(request) = request else {
        return attempt::not_run(Reason::Waited, false);
    };
    let response = match time::timeout_at(deadline, link.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            return match error.take_message() {
                Some(_) => attempt::not_run(Reason::Refused, false),
                None => attempt::unknown(Reason::Cut),
            };
        }
        Err(_) => return attempt::unknown(Reason::Silence),
    };
    let (mut head, body) = response.into_parts();
    if head.headers.remove(&EXCHANGE).as_ref() != Some(&number) {
        return attempt::unknown(Reason::Crossed);
    }
    let build = head.headers.remove(&BUILD);
    if let Some(version) = head.headers.remove(&CATALOG) {
        note_catalog(&gateway, &peer.name, &version);
    }
    let is_checked = head.headers.remove(&CHECKED).is_some();
    let dialect = &gateway.dialect;
    if !head.headers.contains_key(&dialect.signature) {
        return match head.status {
            // The request has not run: the other gateway has refused it, or knows another catalogue. Unless that gateway states that
            // no target has received it, the next attempt may be a repeat.
            status if states_not_run(status) => {
                let has_arrived = head.headers.get(&ARRIVED) != Some(&NOT_ARRIVED);
                attempt::not_run(Reason::Refused, has_arrived)
            }
            StatusCode::GATEWAY_TIMEOUT => attempt::unknown(Reason::Silence),
            _ => attempt::unknown(Reason::Cut),
        };
    }
    let is_own = head.headers.get(&dialect.request_id) == Some(&inbound.id);
    if !is_own || is_encoded(&head.headers) || !outcome::is_final_status(head.status.as_u16()) {
        return attempt::unknown(Reason::Crossed);
    }
    let build = build.as_ref().and_then(|build| build.to_str().ok());
    AttemptOutcome::Answer(Box::new(Answer {
        head,
        body,
        in_flight,
        build: build.unwrap_or_default().into(),
        grant,
        link,
        peer: Some(peer.address),
        is_checked,
    }))
}

/// Records by which version of the catalogue another gateway has served a request.
fn note_catalog(gateway: &Gateway, name: &str, version: &HeaderValue) {
    let stated = version.to_str().ok().and_then(|text| text.parse().ok());
    match stated {
        Some(version) => gateway.note_seen_catalog(name, version),
        None => {
            log::warn!(peer:% = name, value:% = request::header_text(Some(version)); "another gateway states no valid version of its catalogue; ignoring it");
        }
    }
}

/// Returns whether a gateway that answers with this status states that the request has not run.
fn states_not_run(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Returns whether a request comes from another gateway that has lost its paths.
pub fn is_relayed(headers: &HeaderMap) -> bool {
    headers.contains_key(&EXCHANGE)
}

/// Serves a request of another gateway.
pub async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let running = gateway.drain.guard();
    let (mut parts, mut body) = request.into_parts();
    let passed = Passed::take(&mut parts.headers);
    let id = request::header_text(parts.headers.get(&gateway.dialect.request_id));
    let unanswered = Unanswered::new(id.into(), passed.sender.clone());
    let accepted = match catch_up(&gateway, &passed).await {
        Ok(()) => accept(&gateway, parts, &mut body, &passed).await,
        Err(rejection) => Err(rejection),
    };
    let version = accepted.as_ref().ok().map(|inbound| inbound.catalog);
    let mut response = match accepted {
        Ok(inbound) => answer::serve(gateway.clone(), inbound).await,
        Err(rejection) => reject(&gateway, rejection, &passed),
    };
    unanswered.settle();
    let is_answer = response.headers().contains_key(&gateway.dialect.signature);
    let outcome = if is_answer { "answered" } else { "failed" };
    gateway.metrics.hops.with_label_values(&[outcome]).inc();
    let sender = response.extensions().get::<Build>().cloned();
    let has_arrived = response.extensions().get::<Arrived>().is_some();
    let headers = response.headers_mut();
    headers.remove(RETRY_AFTER);
    if is_answer {
        headers.insert(CHECKED, IS_CHECKED);
    } else if !has_arrived {
        headers.insert(ARRIVED, NOT_ARRIVED);
    }
    if let Some(version) = version.filter(|_| is_learning(&gateway, passed.sender.as_deref())) {
        headers.insert(CATALOG, HeaderValue::from(version));
    }
    if let Some(exchange) = passed.exchange {
        headers.insert(EXCHANGE, exchange);
    }
    if let Some(Ok(build)) = sender.map(|Build(build)| HeaderValue::from_str(&build)) {
        headers.insert(BUILD, build);
    }
    response.map(|body| reply::keep_until_sent(body, running))
}

/// Returns whether a gateway reads the version of the catalogue in answers. One of an earlier build would pass it on to its callers.
fn is_learning(gateway: &Gateway, sender: Option<&str>) -> bool {
    sender.is_some_and(|sender| gateway.members.lock().learns_catalogs(sender))
}

/// Waits until the catalogue in force is not earlier than that of the gateway which passes a request on.
///
/// # Errors
///
/// `Rejection::OtherCatalog` if it is still earlier after a while.
async fn catch_up(gateway: &Gateway, passed: &Passed) -> std::result::Result<(), Rejection> {
    let passage = passed.passage();
    let is_behind = || passage::is_behind(passage, gateway.catalog.read().version());
    if !is_behind() {
        return Ok(());
    }
    gateway.metrics.hops.with_label_values(&["behind"]).inc();
    if let (Some(sender), Some(version)) = (&passed.sender, passed.catalog) {
        gateway.note_catalog_holder(sender, version);
    }
    match catching_up::wait_while(is_behind).await {
        true => Ok(()),
        false => Err(Rejection::OtherCatalog),
    }
}

/// Checks a request of another gateway like one of a caller, and selects its pool.
///
/// # Errors
///
/// A [`Rejection`] if this gateway cannot serve the request.
async fn accept(
    gateway: &Gateway,
    parts: Parts,
    body: &mut Incoming,
    passed: &Passed,
) -> std::result::Result<Inbound, Rejection> {
    let mut inbound = request::read(gateway, parts, body).await?;
    if passed.pool.is_some() {
        let shares = &inbound.route.shares;
        let pool = passage::select_pool(passed.passage(), shares, &inbound.pool);
        inbound.pool = pool.ok_or(Rejection::OtherCatalog)?;
    }
    let attempts_max = inbound.route.attempts_max;
    inbound.route.attempts_max = attempts_max.min(passed.runs.unwrap_or(attempts_max));
    let build = passed.build.clone();
    inbound.hop = Some(Hop { build });
    Ok(inbound)
}

/// Returns the answer to a request that this gateway cannot accept, such as one on a route that it does not know yet.
fn reject(gateway: &Gateway, rejection: Rejection, passed: &Passed) -> Response<Body> {
    log::info!(
        reason:% = rejection, sender:% = passed.sender.as_deref().unwrap_or_default(), pool:% = passed.pool.as_deref().unwrap_or_default(),
        stated = passed.catalog.unwrap_or_default(), version = gateway.catalog.read().version();
        "rejected a request of another gateway"
    );
    reply::reject(rejection)
}
