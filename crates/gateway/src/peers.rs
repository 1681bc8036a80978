//! What gateways tell each other: what each has in flight, and what operators and targets said, for those that
//! the store turns away.
//!
//! Reports are datagrams: a lost one is followed by the next. News of operators and targets is asked for over TCP,
//! at a gateway that reads the store.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use sardinemux_core::readers::{Peer, Standing};
use sardinemux_core::roster::{command, query};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::time;

use crate::client::Client;
use crate::errors::{BuildSnafu, DecodeSnafu, EncodeSnafu, ListenSnafu};
use crate::knowledge;
use crate::prelude::*;
use crate::relay::News;
use crate::source::{Batch, Member, Topic};
use crate::wake;

/// The time between two reports to each other gateway: half of what a streamed answer takes, so that loads of
/// other gateways are about right, for some 200 bytes each.
const PERIOD: Duration = Duration::from_millis(250);

/// The largest datagram that is sent or read, in bytes; loopback and the instances' links carry it unsplit.
const DATAGRAM_MAX: usize = 1_400;

/// The targets of one report. With names of up to 16 bytes they fit into a datagram.
const REPORTED_MAX: usize = 64;

/// How long a question for news waits for some: a reader that stops answering must be noticed well inside the two
/// seconds in which a leaving target must be known.
const NEWS: Duration = Duration::from_millis(600);

/// The time limit of a question beyond its wait.
const NEWS_MARGIN: Duration = Duration::from_millis(400);

/// A gateway whose last report is older than this is not followed, in milliseconds: four reports.
const SILENT_MS: u64 = 1_000;

/// A gateway that has said nothing for this long gets fewer reports, in milliseconds.
const QUIET_MS: u64 = 5_000;

/// The rounds of reports of which one goes to gateways that have said nothing.
const QUIET_ROUNDS: u64 = 8;

/// The largest question to a gateway, in bytes.
const QUESTION_MAX: usize = 4_096;

#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    /// When it last sent a report; none if it is only listed.
    heard_ms: Option<u64>,
    zone: SmolStr,
    link_mbps: u32,
    operators: Position,
    targets: Position,
}

impl Contact {
    fn position(&self, topic: Topic) -> Position {
        match topic {
            Topic::Operators => self.operators,
            Topic::Targets => self.targets,
            Topic::Members => Position::default(),
        }
    }

    fn is_heard(&self, now_ms: u64, within_ms: u64) -> bool {
        self.heard_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= within_ms)
    }
}

/// The other gateways.
#[derive(Debug, Default)]
pub struct Members {
    contacts: IndexMap<SmolStr, Contact>,
    clients: IndexMap<(SocketAddr, Topic), Arc<Client>>,
}

impl Members {
    /// Adds a gateway that is listed.
    pub fn put(&mut self, member: Member) {
        let Member { name, address } = member;
        match self.contacts.get_mut(&name) {
            Some(contact) => contact.address = address,
            None => {
                let contact = Contact {
                    address,
                    heard_ms: None,
                    zone: SmolStr::default(),
                    link_mbps: 0,
                    operators: Position::default(),
                    targets: Position::default(),
                };
                self.contacts.insert(name, contact);
            }
        }
    }

    /// Takes in what a gateway says of itself.
    fn hear(&mut self, report: &Report, now_ms: u64) {
        let contact = Contact {
            address: report.member.address,
            heard_ms: Some(now_ms),
            zone: report.zone.clone(),
            link_mbps: report.link_mbps,
            operators: report.operators,
            targets: report.targets,
        };
        self.contacts.insert(report.member.name.clone(), contact);
    }

    /// Forgets a gateway.
    pub fn remove(&mut self, name: &str) {
        self.contacts.shift_remove(name);
    }

    /// Returns the names of the other gateways.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.contacts.keys().map(SmolStr::as_str)
    }

    /// Returns the gateways that were heard lately, as far as one topic goes.
    pub fn heard(&self, topic: Topic, now_ms: u64) -> impl Iterator<Item = Peer<'_>> {
        let heard = self
            .contacts
            .iter()
            .filter(move |(_, contact)| contact.is_heard(now_ms, SILENT_MS));
        heard.map(move |(name, contact)| {
            let Position { standing, newest } = contact.position(topic);
            Peer {
                name,
                zone: &contact.zone,
                link_mbps: contact.link_mbps,
                standing,
                newest,
            }
        })
    }

    /// Returns the address of a gateway.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.contacts.get(name).map(|contact| contact.address)
    }

    /// Returns the client for one topic at a gateway; one that is followed no longer is dropped.
    fn client(&mut self, address: SocketAddr, topic: Topic) -> Arc<Client> {
        self.clients
            .retain(|(other, its), _| *its != topic || *other == address);
        let client = self.clients.entry((address, topic));
        client
            .or_insert_with(|| Arc::new(Client::new(address)))
            .clone()
    }
}

/// A question for news.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Question {
    topic: Topic,
    /// The version up to which the asker knows the topic.
    since: Option<u64>,
    /// The version of the catalogue that the asker has in force; zero for none.
    catalog: u64,
    /// Whether the asker waits for news where there is none yet.
    waits: bool,
}

/// How far a gateway is with one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// How it stands to the store.
    pub standing: Standing,
    /// The version of the newest entry that it knows.
    pub newest: u64,
}

/// What a gateway says of itself, several times a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The gateway.
    pub member: Member,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Its availability zone.
    pub zone: SmolStr,
    /// For how long it has followed the store's list of targets without a break, in milliseconds.
    pub followed_ms: u64,
    /// The bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// How far it is with the operators' entries.
    pub operators: Position,
    /// How far it is with the targets.
    pub targets: Position,
    /// Its requests in flight, by target.
    pub running: IndexMap<SmolStr, u32>,
}

fn report(gateway: &Gateway) -> Report {
    let running = query::running(&gateway.roster.lock(), REPORTED_MAX);
    let views = gateway.views.lock();
    let position = |topic: Topic| {
        let view = views.get(&topic);
        view.map_or_else(Position::default, |view| Position {
            standing: view.standing(),
            newest: view.log.newest(),
        })
    };
    Report {
        member: Member {
            name: gateway.settings.name.clone(),
            address: gateway.settings.peer_address,
        },
        is_stopping: gateway.drain.phase() != crate::drain::Phase::Serving,
        zone: gateway.settings.zone.clone(),
        followed_ms: views
            .get(&Topic::Targets)
            .map_or(0, |view| knowledge::followed_ms(view, gateway.now_ms())),
        link_mbps: gateway.settings.link_mbps,
        operators: position(Topic::Operators),
        targets: position(Topic::Targets),
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
                wake::beat(&gateway);
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
        .filter(|contact| contact.is_heard(now_ms, QUIET_MS) || round.is_multiple_of(QUIET_ROUNDS))
        .map(|contact| contact.address)
        .collect();
    if members.contacts.is_empty() {
        addresses.extend(seeds(gateway));
    }
    addresses
}

fn seeds(gateway: &Gateway) -> Vec<SocketAddr> {
    let own = gateway.settings.peer_address;
    let seeds = gateway.seeds.read();
    let addresses = seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), own.port()));
    addresses.filter(|address| *address != own).collect()
}

fn take_report(gateway: &Gateway, bytes: &[u8], sender: SocketAddr) {
    let report: Report = match rmp_serde::from_slice(bytes) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "a report cannot be read");
            return;
        }
    };
    gateway.metrics.reports.inc();
    let now_ms = gateway.now_ms();
    {
        let mut views = gateway.views.lock();
        let view = views.entry(Topic::Targets).or_default();
        knowledge::note_follower(view, report.followed_ms, now_ms);
    }
    {
        let mut members = gateway.members.lock();
        match report.is_stopping {
            true => members.remove(&report.member.name),
            false => members.hear(&report, now_ms),
        }
    }
    let name = report.member.name;
    let mut roster = gateway.roster.lock();
    command::note_report(&mut roster, name, report.running, now_ms);
}

/// Asks another gateway for news of a topic, and waits for some if `waits` says so.
///
/// # Errors
///
/// As [`Client::call`], and `Error::Decode` for an answer that cannot be read.
pub async fn news(
    gateway: &Gateway,
    address: SocketAddr,
    topic: Topic,
    waits: bool,
) -> Result<News> {
    let since = {
        let views = gateway.views.lock();
        let log = views.get(&topic).map(|view| &view.log);
        log.filter(|log| log.is_filled()).map(|log| log.version())
    };
    let catalog = gateway.catalog.read().version();
    let question = Question {
        topic,
        since,
        catalog,
        waits,
    };
    let question = rmp_serde::to_vec(&question).context(EncodeSnafu)?;
    let request = Request::post("/news")
        .header(hyper::header::HOST, address.to_string())
        .body(Full::from(question))
        .context(BuildSnafu)?;
    let client = gateway.members.lock().client(address, topic);
    let response = client.call(request, NEWS + NEWS_MARGIN).await?;
    rmp_serde::from_slice(response.body()).context(DecodeSnafu { address })
}

/// Answers at once if there is news, else when there is some, or without any after a while.
async fn tell(gateway: &Gateway, question: Question) -> News {
    let until = time::Instant::now() + NEWS;
    loop {
        let (found, is_following, mut changed) = {
            let mut views = gateway.views.lock();
            let view = views.entry(question.topic).or_default();
            let found = view.log.since(question.since);
            (found, view.is_following(), view.log.subscribe())
        };
        let (is_complete, mut batch) = match found {
            Some(found) => found,
            None if question.waits && is_following && time::Instant::now() < until => {
                // Running out of time is looked at above, with the news.
                let _ = time::timeout_at(until, changed.changed()).await;
                continue;
            }
            None => (false, Batch::default()),
        };
        knowledge::shorten(gateway, &mut batch, question.catalog);
        return News {
            is_following,
            is_complete,
            batch,
        };
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
    let is_known = request.method() == Method::POST && request.uri().path() == "/news";
    let body = Limited::new(request.into_body(), QUESTION_MAX)
        .collect()
        .await;
    let question = match body {
        Ok(body) if is_known => rmp_serde::from_slice::<Question>(&body.to_bytes()),
        _ => return Ok(status(StatusCode::NOT_FOUND)),
    };
    let Ok(question) = question else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let bytes = rmp_serde::to_vec(&tell(&gateway, question).await).context(EncodeSnafu);
    Ok(match bytes {
        Ok(bytes) => Response::new(Full::from(bytes)),
        Err(error) => {
            log::error!(error:% = error; "news cannot be told");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    })
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
