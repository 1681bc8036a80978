//! What gateways tell each other: what each has in flight, and what operators and targets said, for those that
//! the store turns away.
//!
//! Reports are datagrams: a lost one is followed by the next. What a report shows to be newer is fetched over TCP.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use sardinemux_core::catalog::{Catalog, Definition};
use sardinemux_core::roster::{command, query};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::time;

use crate::client::Client;
use crate::errors::{BuildSnafu, DecodeSnafu, EncodeSnafu, ListenSnafu};
use crate::knowledge;
use crate::prelude::*;
use crate::source::{Batch, Entry, Fact, Member, Topic};

/// The time between two reports to each other gateway: half of what a streamed answer takes, so that loads of
/// other gateways are about right, for some 200 bytes each.
const PERIOD: Duration = Duration::from_millis(250);

/// The largest datagram that is sent or read, in bytes; loopback and the instances' links carry it unsplit.
const DATAGRAM_MAX: usize = 1_400;

/// The time limit of a fetch.
const FETCH: Duration = Duration::from_millis(600);

/// The shortest time between two fetches, in milliseconds: the reports of all gateways show the same news.
const FETCH_PAUSE_MS: u64 = 300;

/// A gateway that has said nothing for this long is sent only one report in eight, in milliseconds.
const QUIET_MS: u64 = 5_000;

/// The largest question to a gateway, in bytes.
const QUESTION_MAX: usize = 4_096;

#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    heard_ms: u64,
}

/// The other gateways.
#[derive(Clone, Debug, Default)]
pub struct Members {
    contacts: IndexMap<SmolStr, Contact>,
    fetched_ms: Option<u64>,
}

impl Members {
    /// Adds a gateway or replaces its address.
    pub fn put(&mut self, member: Member, now_ms: u64) {
        let contact = Contact {
            address: member.address,
            heard_ms: now_ms,
        };
        self.contacts.insert(member.name, contact);
    }

    /// Forgets a gateway.
    pub fn remove(&mut self, name: &str) {
        self.contacts.shift_remove(name);
    }

    /// Returns whether facts may be fetched now, and notes that they are.
    fn may_fetch(&mut self, now_ms: u64) -> bool {
        let is_due = |at_ms: u64| now_ms.saturating_sub(at_ms) >= FETCH_PAUSE_MS;
        let is_due = self.fetched_ms.is_none_or(is_due);
        if is_due {
            self.fetched_ms = Some(now_ms);
        }
        is_due
    }

    /// Returns the names of the other gateways.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.contacts.keys().map(SmolStr::as_str)
    }
}

/// What a gateway says of itself, several times a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The gateway.
    pub member: Member,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// The version of the catalogue in force.
    pub catalog: u64,
    /// The newest change of operators' entries.
    pub operators: u64,
    /// The newest change of targets' entries.
    pub targets: u64,
    /// For how long it has followed the store's list of targets without a break, in milliseconds.
    pub followed_ms: u64,
    /// Its requests in flight, by target.
    pub running: IndexMap<SmolStr, u32>,
}

/// Everything that a gateway knows of operators and targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Digest {
    /// The catalogue.
    pub catalog: Definition,
    /// Evacuated zones.
    pub operators: Batch,
    /// Targets.
    pub targets: Batch,
}

fn report(gateway: &Gateway) -> Report {
    let running = query::running(&gateway.roster.lock());
    let views = gateway.views.lock();
    let changed = |topic: Topic| views.get(&topic).map_or(0, |view| view.changed);
    Report {
        member: Member {
            name: gateway.settings.name.clone(),
            address: gateway.settings.peer_address,
        },
        is_stopping: gateway.drain.phase() != crate::drain::Phase::Serving,
        catalog: gateway.catalog.read().version(),
        operators: changed(Topic::Operators),
        targets: changed(Topic::Targets),
        followed_ms: views
            .get(&Topic::Targets)
            .map_or(0, |view| knowledge::followed_ms(view, gateway.now_ms())),
        running,
    }
}

/// Sends and receives reports for ever.
///
/// # Errors
///
/// `Error::Listen` if the address cannot be bound.
pub async fn run(gateway: Arc<Gateway>) -> Result<()> {
    let address = gateway.settings.peer_address;
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(ListenSnafu { address })?;
    let mut ticks = time::interval(PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_MAX];
    let mut round: u64 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                send_reports(&gateway, &socket, round).await;
                gateway.tidy();
                round += 1;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => take_report(&gateway, &buffer[..length], sender),
                Err(error) => log::warn!(error:% = error; "a report was not received"),
            },
        }
    }
}

async fn send_reports(gateway: &Gateway, socket: &UdpSocket, round: u64) {
    let bytes = match rmp_serde::to_vec(&report(gateway)) {
        Ok(bytes) if bytes.len() <= DATAGRAM_MAX => bytes,
        Ok(bytes) => {
            log::warn!(bytes = bytes.len(); "a report is too large to send");
            return;
        }
        Err(error) => {
            log::warn!(error:% = error; "a report cannot be encoded");
            return;
        }
    };
    for address in recipients(gateway, round) {
        if let Err(error) = socket.try_send_to(&bytes, address) {
            log::debug!(address:% = address, error:% = error; "a report was not sent");
        }
    }
}

fn recipients(gateway: &Gateway, round: u64) -> Vec<SocketAddr> {
    let now_ms = gateway.now_ms();
    let members = gateway.members.lock();
    let known = members.contacts.values();
    let mut addresses: Vec<SocketAddr> = known
        .filter(|contact| {
            let is_quiet = now_ms.saturating_sub(contact.heard_ms) > QUIET_MS;
            !is_quiet || round % 8 == 0
        })
        .map(|contact| contact.address)
        .collect();
    if members.contacts.is_empty() {
        addresses.extend(seeds(gateway));
    }
    addresses
}

fn seeds(gateway: &Gateway) -> impl Iterator<Item = SocketAddr> + '_ {
    let own = gateway.settings.peer_address;
    let seeds = gateway.settings.seeds.iter();
    seeds
        .map(move |seed| SocketAddr::new(seed.ip(), own.port()))
        .filter(move |address| *address != own)
}

fn take_report(gateway: &Arc<Gateway>, bytes: &[u8], sender: SocketAddr) {
    let report: Report = match rmp_serde::from_slice(bytes) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "a report cannot be read");
            return;
        }
    };
    gateway.metrics.reports.inc();
    let now_ms = gateway.now_ms();
    let is_newer = is_newer(gateway, &report);
    let address = report.member.address;
    if let Some(view) = gateway.views.lock().get_mut(&Topic::Targets) {
        knowledge::note_follower(view, report.followed_ms, now_ms);
    }
    {
        let mut roster = gateway.roster.lock();
        let name = report.member.name.clone();
        command::note_report(&mut roster, name, report.running, now_ms);
        let mut members = gateway.members.lock();
        match report.is_stopping {
            true => members.remove(&report.member.name),
            false => members.put(report.member, now_ms),
        }
    }
    if is_newer && gateway.members.lock().may_fetch(now_ms) {
        tokio::spawn(fetch_logged(gateway.clone(), address));
    }
}

fn is_newer(gateway: &Gateway, report: &Report) -> bool {
    if report.catalog > gateway.catalog.read().version() {
        return true;
    }
    let views = gateway.views.lock();
    let is_behind = |topic: Topic, theirs: u64| {
        let view = views.get(&topic);
        let is_lost = view.is_none_or(|view| view.version.is_none());
        is_lost && theirs > view.map_or(0, |view| view.changed)
    };
    is_behind(Topic::Operators, report.operators) || is_behind(Topic::Targets, report.targets)
}

async fn fetch_logged(gateway: Arc<Gateway>, address: SocketAddr) {
    match fetch(&gateway, address).await {
        Ok(()) => log::info!(peer:% = address; "newer facts taken from a gateway"),
        Err(error) => log::warn!(peer:% = address, error:% = error; "a gateway gave no facts"),
    }
}

async fn fetch(gateway: &Gateway, address: SocketAddr) -> Result<()> {
    let request = Request::get("/facts")
        .header(hyper::header::HOST, address.to_string())
        .body(Full::default())
        .context(BuildSnafu)?;
    let response = Client::new(address).call(request, FETCH).await?;
    let digest: Digest = rmp_serde::from_slice(response.body()).context(DecodeSnafu { address })?;
    apply(gateway, digest);
    Ok(())
}

/// Takes in what another gateway knows, where it is newer than what the store told this one.
pub fn apply(gateway: &Gateway, digest: Digest) {
    if digest.catalog.version > 0 {
        knowledge::set_catalog(gateway, Catalog::new(digest.catalog));
    }
    for (topic, batch) in [
        (Topic::Operators, digest.operators),
        (Topic::Targets, digest.targets),
    ] {
        let (is_following, held) = {
            let views = gateway.views.lock();
            let view = views.get(&topic);
            let is_following = view.is_some_and(|view| view.version.is_some());
            (is_following, view.map_or(0, |view| view.changed))
        };
        if is_following || batch.version <= held {
            continue;
        }
        let changed = batch.version;
        knowledge::apply(gateway, topic, batch, true);
        let mut views = gateway.views.lock();
        let view = views.entry(topic).or_default();
        // The store's own list is still due.
        view.version = None;
        view.changed = changed;
    }
}

fn digest(gateway: &Gateway) -> Digest {
    let now_ms = gateway.now_ms();
    let catalog = gateway.catalog().definition().clone();
    let roster = gateway.roster.lock();
    let views = gateway.views.lock();
    let view = |topic: Topic| views.get(&topic).cloned().unwrap_or_default();
    let operators = view(Topic::Operators);
    let evacuated = operators.evacuated.iter().map(|(key, zone)| Entry {
        key: key.clone(),
        fact: Some(Fact::Evacuated(zone.clone())),
        version: operators.changed,
    });
    let targets = query::announcements(&roster, now_ms).map(|announcement| Entry {
        key: announcement.target.id.clone(),
        fact: Some(Fact::Target(announcement)),
        version: 0,
    });
    Digest {
        catalog,
        operators: Batch {
            entries: evacuated.collect(),
            version: operators.changed,
        },
        targets: Batch {
            entries: targets.collect(),
            version: view(Topic::Targets).changed,
        },
    }
}

/// Answers other gateways.
///
/// # Errors
///
/// Never; every failure is an answer.
pub async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let is_known = request.method() == Method::GET && request.uri().path() == "/facts";
    let question = Limited::new(request.into_body(), QUESTION_MAX);
    if !is_known || question.collect().await.is_err() {
        return Ok(status(StatusCode::NOT_FOUND));
    }
    let bytes = rmp_serde::to_vec(&digest(&gateway)).context(EncodeSnafu);
    Ok(match bytes {
        Ok(bytes) => Response::new(Full::from(bytes)),
        Err(error) => {
            log::error!(error:% = error; "facts cannot be told");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    })
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
