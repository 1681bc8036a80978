//! The reports that gateways send each other several times a second as datagrams: the requests that each has in flight,
//! and its state and position as a reader of operators' entries and targets. A lost report is not repeated; the next one
//! replaces it.

use std::future::{self, Future};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use sardinemux_core::collection::{self, Candidate, Message, Number, Role};
use sardinemux_core::origin::outbox::Sender;
use sardinemux_core::position::Era;
use sardinemux_core::reports;
use sardinemux_core::roster::{self, command, query};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::time::{self, Instant};

use crate::appendix;
use crate::attempt::statement;
use crate::datagram;
use crate::drain::Phase;
use crate::errors::ListenSnafu;
use crate::hop;
use crate::members::{Broadcast, Standing};
use crate::origins;
use crate::permits;
use crate::prelude::*;
use crate::quarantine;
use crate::replication;
use crate::rollouts;
use crate::source::{Member, Topic};
use crate::speeds::{self, Audience};
use crate::supplement::{self, Supplement};
use crate::suspension;

/// The largest number of targets in a report.
const TARGETS_MAX: usize = 64;

/// The number of first rounds that go to every gateway, so that the others know a new one before it acts.
const STARTUP_ROUNDS: u64 = 3;

/// The state of a gateway, as it reports it to the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The gateway that sends the report.
    pub member: Member,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Its availability zone.
    pub zone: SmolStr,
    /// The time for which it has followed the store's list of targets without interruption, in milliseconds.
    pub followed_ms: u64,
    /// The bandwidth of its network link, in Mbit/s.
    pub link_mbps: u32,
    /// Its reader state and newest position for the operators' entries.
    pub operators: Standing,
    /// Its reader state and newest position for the targets.
    pub targets: Standing,
    /// The number of its requests in flight to each target.
    pub running: IndexMap<SmolStr, u32>,
    /// The version of the catalogue that it has in force; zero if that is not known. It is in the appendix.
    #[serde(skip)]
    pub catalog: u64,
    /// Whether its build compares catalogues, and serves no request by an earlier one than that of the gateway which passes it on. It
    /// is in the appendix.
    #[serde(skip)]
    pub compares_catalogs: bool,
    /// Whether it reads the version of the catalogue in the answers to requests that it passes on. It is in the appendix.
    #[serde(skip)]
    pub learns_catalogs: bool,
    /// Whether it gives patches only for catalogues that it has held, and states to which catalogue they lead. It is in the appendix.
    #[serde(skip)]
    pub checks_patches: bool,
    /// What it does for the collection of requests in flight. It is in the appendix.
    #[serde(skip)]
    pub role: Role,
    /// Whether it takes part in permits. It is in the appendix.
    #[serde(skip)]
    pub takes_permits: bool,
    /// Whether it begins streams at the former base of an epoch. It is in the appendix.
    #[serde(skip)]
    pub keeps_former_base: bool,
    /// Whether it confirms the records of streams that it gets. It is in the appendix.
    #[serde(skip)]
    pub confirms_records: bool,
}

/// The appendix of a report.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Appendix {
    /// The era of the position for the operators' entries.
    operators: Era,
    /// The era of the position for the targets.
    targets: Era,
    catalog: u64,
    compares_catalogs: bool,
    learns_catalogs: bool,
    checks_patches: bool,
    role: Role,
    takes_permits: bool,
    keeps_former_base: bool,
    confirms_records: bool,
}

/// Returns the datagram of a report.
///
/// # Errors
///
/// The encoder's error.
pub fn encode(report: &Report) -> std::result::Result<Vec<u8>, rmp_serde::encode::Error> {
    let appendix = Appendix {
        operators: report.operators.newest.era,
        targets: report.targets.newest.era,
        catalog: report.catalog,
        compares_catalogs: report.compares_catalogs,
        learns_catalogs: report.learns_catalogs,
        checks_patches: report.checks_patches,
        role: report.role,
        takes_permits: report.takes_permits,
        keeps_former_base: report.keeps_former_base,
        confirms_records: report.confirms_records,
    };
    appendix::encode(report, &appendix)
}

/// Returns the report in a datagram. The positions in one of an earlier build have no era, and its catalogue is not known.
///
/// # Errors
///
/// The decoder's error.
pub fn decode(bytes: &[u8]) -> std::result::Result<Report, rmp_serde::decode::Error> {
    let (mut report, appendix): (Report, Option<Appendix>) = appendix::decode(bytes)?;
    let appendix = appendix.unwrap_or_default();
    report.catalog = appendix.catalog;
    report.compares_catalogs = appendix.compares_catalogs;
    report.learns_catalogs = appendix.learns_catalogs;
    report.checks_patches = appendix.checks_patches;
    report.role = appendix.role;
    report.takes_permits = appendix.takes_permits;
    report.keeps_former_base = appendix.keeps_former_base;
    report.confirms_records = appendix.confirms_records;
    for (standing, era) in [
        (&mut report.operators, appendix.operators),
        (&mut report.targets, appendix.targets),
    ] {
        standing.newest = standing.newest.in_era(era);
    }
    Ok(report)
}

fn build_report(gateway: &Gateway) -> Report {
    let running = query::running(&gateway.roster.lock(), TARGETS_MAX);
    let catalog = gateway.catalog.read().version();
    let role = role(gateway);
    let takes_permits = permits::is_on(gateway);
    let views = gateway.views.lock();
    let standing = |topic: Topic| {
        let view = views.get(&topic);
        view.map_or_else(Standing::default, |view| Standing {
            state: view.reader_state(),
            newest: view.log.newest(),
        })
    };
    Report {
        member: Member {
            name: gateway.settings.name.clone(),
            address: gateway.settings.peer_address,
        },
        is_stopping: gateway.drain.phase() != Phase::Serving,
        zone: gateway.settings.zone.clone(),
        followed_ms: views
            .get(&Topic::Targets)
            .map_or(0, |view| replication::following_ms(view, gateway.now_ms())),
        link_mbps: gateway.settings.link_mbps,
        operators: standing(Topic::Operators),
        targets: standing(Topic::Targets),
        running,
        catalog,
        compares_catalogs: true,
        learns_catalogs: true,
        checks_patches: true,
        role,
        takes_permits,
        keeps_former_base: true,
        confirms_records: true,
    }
}

/// Sends and receives reports until the process exits.
///
/// # Errors
///
/// `Error::Listen` if the address cannot be bound.
pub async fn run(gateway: Arc<Gateway>) -> Result<()> {
    let address = gateway.settings.peer_address;
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(ListenSnafu { address })?;
    let mut ticks = time::interval(Duration::from_millis(reports::PERIOD_MS));
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut speed_ticks = time::interval(Duration::from_millis(collection::PERIOD_MS));
    speed_ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; datagram::RECEIVED_MAX_BYTES];
    let mut round: u64 = 0;
    let mut suspensions = *gateway.suspensions.borrow();
    let mut schedule = Schedule::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let interval = Duration::from_millis(reports::PERIOD_MS);
                gateway.busy.lock().note_tick(&gateway.clock, interval);
                suspension::note_heartbeat(&gateway);
                let recipients = choose_recipients(&gateway, round);
                send_reports(&gateway, &socket, &recipients);
                send_supplements(&socket, &quarantine::next_round(&gateway, round), &recipients);
                send_supplements(&socket, &supplement::statements(&gateway), &recipients);
                send_supplements(&socket, &origins::news(&gateway), &recipients);
                send_supplements(&socket, &hop::news(&gateway), &recipients);
                send_supplements(&socket, &rollouts::take_news(&gateway), &recipients);
                for (address, counts) in rollouts::decider::datagrams(&gateway) {
                    send_datagram(&socket, &counts, &[address]);
                }
                gateway.remove_expired();
                round += 1;
                schedule.set_role(&gateway);
            }
            () = gateway.load_change.notified(), if schedule.notice_at.is_none() => {
                schedule.notice_at = Some(Instant::now() + Duration::from_millis(collection::NOTICE_MS));
            }
            () = schedule.wait_for_notice() => {
                schedule.notice_at = None;
                send_reports(&gateway, &socket, &collector_addresses(&gateway));
            }
            () = schedule.wait_for_sum() => {
                schedule.sum_at = Instant::now() + Duration::from_millis(collection::PERIOD_MS);
                schedule.sums += 1;
                for (sums, recipients) in sums(&gateway, schedule.sums) {
                    send_supplements(&socket, &sums, &recipients);
                }
            }
            _ = speed_ticks.tick(), if speeds::is_active(&gateway) => {
                for (samples, recipients) in speeds::datagrams(&gateway, &audience(&gateway)) {
                    send_datagram(&socket, &samples, &recipients);
                }
            }
            // The zone learns at once from whom else it can get the update.
            () = gateway.uplink.wait_for_update() => {
                let now_ms = gateway.now_ms();
                let zone = gateway.members.lock().due_addresses(round, Broadcast::Zone, now_ms);
                send_reports(&gateway, &socket, &zone);
            }
            () = gateway.quarantine_alarm.wait() => {
                for (notices, recipients) in quarantine::take_urgent(&gateway) {
                    send_supplements(&socket, &notices, &recipients);
                }
            }
            () = gateway.rollouts.wait_for_urgent() => {
                let everyone = gateway.members.lock().recent_addresses(gateway.now_ms());
                send_supplements(&socket, &rollouts::news(&gateway), &everyone);
            }
            () = gateway.origins.wait_for_datagrams() => {
                for (address, records) in origins::take_datagrams(&gateway) {
                    send_datagram(&socket, &records, &[address]);
                }
            }
            () = gateway.permits.wait_for_datagrams() => {
                for (address, bytes) in permits::take_datagrams(&gateway) {
                    send_datagram(&socket, &bytes, &[address]);
                }
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok(_) if has_stood_still(&gateway, &mut suspensions) => {
                    drop_waiting(&socket, &mut buffer);
                    permits::forget_all(&gateway);
                }
                Ok((length, sender)) if supplement::is_supplement(&buffer[..length]) => {
                    receive_supplement(&gateway, &buffer[..length], sender);
                }
                Ok((length, sender)) => {
                    // A new gateway gets a report at once, so that it knows which gateway to follow.
                    let new = receive_report(&gateway, &buffer[..length], sender);
                    send_reports(&gateway, &socket, new.as_slice());
                }
                Err(error) => log::warn!(error:% = error; "failed to receive a report; waiting for the next"),
            },
        }
    }
}

/// When reports and sums are sent besides the rounds.
struct Schedule {
    /// When the collectors are told of requests that have begun; `None` if there are none.
    notice_at: Option<Instant>,
    /// Whether this gateway is a collector.
    collects: bool,
    /// When a collector sends its next sums.
    sum_at: Instant,
    /// The number of sums that were sent.
    sums: u64,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            notice_at: None,
            collects: false,
            sum_at: Instant::now(),
            sums: 0,
        }
    }
}

impl Schedule {
    /// Lets this gateway collect, or stops it.
    fn set_role(&mut self, gateway: &Gateway) {
        let collects = role(gateway) == Role::Collector;
        if collects == self.collects {
            return;
        }
        self.collects = collects;
        gateway.metrics.is_collector.set(i64::from(collects));
        match collects {
            true => log::info!("collecting the requests in flight of the availability zone"),
            false => {
                log::info!("no longer collecting the requests in flight of the availability zone")
            }
        }
    }

    fn wait_for_notice(&self) -> impl Future<Output = ()> {
        wait_until(self.notice_at)
    }

    fn wait_for_sum(&self) -> impl Future<Output = ()> {
        wait_until(self.collects.then_some(self.sum_at))
    }
}

/// Waits until a moment; without one, forever.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => time::sleep_until(at).await,
        None => future::pending().await,
    }
}

/// Returns whether the process was suspended since the last call.
fn has_stood_still(gateway: &Gateway, suspensions: &mut u64) -> bool {
    suspension::note_heartbeat(gateway);
    let known = std::mem::replace(suspensions, *gateway.suspensions.borrow());
    known != *suspensions
}

/// Drops the datagrams that waited while the process was suspended. The ages in them do not count that time, and the
/// senders repeat what lasts.
fn drop_waiting(socket: &UdpSocket, buffer: &mut [u8]) {
    let mut dropped: u32 = 1;
    while socket.try_recv_from(buffer).is_ok() {
        dropped += 1;
    }
    log::info!(dropped = dropped; "dropped the datagrams that waited while the process stood still");
}

/// Returns a report with as many of its busiest targets as fit into a datagram, and the datagram.
pub fn encode_fitting(mut report: Report) -> Option<(Report, Vec<u8>)> {
    let targets: Vec<(SmolStr, u32)> = std::mem::take(&mut report.running).into_iter().collect();
    let with = |targets: &[(SmolStr, u32)]| Report {
        running: targets.iter().cloned().collect(),
        ..report.clone()
    };
    let encode = |targets: &[(SmolStr, u32)]| match encode(&with(targets)) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::warn!(error:% = error; "failed to encode the report; not sent in this round");
            None
        }
    };
    let (count, bytes) = datagram::fit(&targets, &encode)?;
    Some((with(&targets[..count]), bytes))
}

fn send_reports(gateway: &Gateway, socket: &UdpSocket, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    let Some((report, bytes)) = encode_fitting(build_report(gateway)) else {
        return;
    };
    command::note_own_report(&mut gateway.roster.lock(), &report.running);
    send_datagram(socket, &bytes, addresses);
}

fn send_supplements(socket: &UdpSocket, supplements: &[Vec<u8>], addresses: &[SocketAddr]) {
    for bytes in supplements {
        send_datagram(socket, bytes, addresses);
    }
}

fn send_datagram(socket: &UdpSocket, bytes: &[u8], addresses: &[SocketAddr]) {
    if bytes.len() > datagram::SENT_MAX_BYTES {
        log::error!(bytes = bytes.len(), max = datagram::SENT_MAX_BYTES; "a datagram is too large; not sent");
        return;
    }
    for address in addresses {
        if let Err(error) = socket.try_send_to(bytes, *address) {
            log::debug!(address:% = address, error:% = error; "failed to send a datagram; it is not repeated");
        }
    }
}

/// Returns the names of the collectors of this gateway's zone. It is none itself while it stops.
fn collectors(gateway: &Gateway) -> Vec<SmolStr> {
    let settings = &gateway.settings;
    let is_serving = gateway.drain.phase() == Phase::Serving;
    let me = is_serving.then_some(Candidate {
        name: &settings.name,
        zone: &settings.zone,
        link_mbps: settings.link_mbps,
    });
    let members = gateway.members.lock();
    let others = members.collecting(gateway.now_ms());
    let found = collection::collectors(&settings.zone, others.chain(me));
    found.into_iter().map(SmolStr::from).collect()
}

fn role(gateway: &Gateway) -> Role {
    match collectors(gateway).contains(&gateway.settings.name) {
        true => Role::Collector,
        false => Role::Member,
    }
}

/// Returns the addresses of the other collectors of this gateway's zone.
fn collector_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let collectors = collectors(gateway);
    let members = gateway.members.lock();
    let addresses = collectors.iter().filter_map(|name| members.address(name));
    addresses.collect()
}

/// Returns the gateways to which a collector sends what it has collected.
fn collected_audience(gateway: &Gateway) -> Audience {
    let now_ms = gateway.now_ms();
    let collectors = collectors(gateway);
    let members = gateway.members.lock();
    let near = members.collecting(now_ms).map(|member| member.name);
    let near = near.filter(|name| !collectors.iter().any(|it| it == name));
    Audience {
        collectors: Vec::new(),
        elsewhere: members.collectors_elsewhere(now_ms),
        near: near.filter_map(|name| members.address(name)).collect(),
    }
}

/// Returns the gateways that are told of the speeds of targets.
fn audience(gateway: &Gateway) -> Audience {
    let collected = match role(gateway) {
        Role::Collector => collected_audience(gateway),
        _ => Audience::default(),
    };
    Audience {
        collectors: collector_addresses(gateway),
        ..collected
    }
}

/// Returns the sums of a collector as datagrams, with their recipients: the sum of its zone for the collectors of other zones, and
/// the sum over all zones for the other gateways of its own. `round` counts the sums.
fn sums(gateway: &Gateway, round: u64) -> [(Vec<Vec<u8>>, Vec<SocketAddr>); 2] {
    let zone = &gateway.settings.zone;
    let now_ms = gateway.now_ms();
    let (zone_sum, fleet_sum) = {
        let roster = gateway.roster.lock();
        let zone_sum = query::zone_sum(&roster, zone);
        (zone_sum, query::fleet_sum(&roster, now_ms))
    };
    let Audience {
        elsewhere, near, ..
    } = collected_audience(gateway);
    let encode = |zone: Option<&SmolStr>, sum: Vec<(Number, u32)>| {
        let parts = collection::split(sum, round).into_iter();
        let messages = parts.map(|part| Message {
            gateway: gateway.settings.name.clone(),
            zone: zone.cloned(),
            part,
        });
        messages
            .filter_map(|message| supplement::encode(&Supplement::Sum(message)))
            .collect()
    };
    [
        (encode(Some(zone), zone_sum), elsewhere),
        (encode(None, fleet_sum), near),
    ]
}

/// Applies a part of a sum that a collector sent. Those of unknown gateways are ignored, and so are sums of the own zone, whose
/// gateways report to this one as well.
fn receive_sum(gateway: &Gateway, message: Message) {
    let now_ms = gateway.now_ms();
    let Message {
        gateway: sender,
        zone,
        part,
    } = message;
    {
        let mut members = gateway.members.lock();
        if members.address(&sender).is_none() || zone.as_ref() == Some(&gateway.settings.zone) {
            return;
        }
        if zone.is_some() {
            members.note_collector(&sender);
        }
    }
    gateway.metrics.sums.inc();
    let mut roster = gateway.roster.lock();
    match zone {
        Some(zone) => command::note_zone_part(&mut roster, sender, zone, part, now_ms),
        None => command::note_fleet_part(&mut roster, sender, part, now_ms),
    }
}

/// Returns the addresses that get a report in a round: the seeds while no other gateway is known.
fn choose_recipients(gateway: &Gateway, round: u64) -> Vec<SocketAddr> {
    let is_stopping = gateway.drain.phase() != Phase::Serving;
    let is_awaited = replication::is_store_reader(gateway) || role(gateway) == Role::Collector;
    let audience = match is_awaited {
        _ if is_stopping || round < STARTUP_ROUNDS => Broadcast::All,
        true => Broadcast::Zone,
        false => Broadcast::None,
    };
    let collectors = collector_addresses(gateway);
    let members = gateway.members.lock();
    if members.is_empty() {
        return seed_addresses(gateway);
    }
    let mut recipients = members.due_addresses(round, audience, gateway.now_ms());
    let missing = collectors.into_iter().filter(|it| !recipients.contains(it));
    let missing: Vec<SocketAddr> = missing.collect();
    recipients.extend(missing);
    recipients
}

/// Returns the seeds without this gateway itself. The IP addresses are those of the settings; the port is that of this
/// gateway, which all gateways share.
fn seed_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let own = gateway.settings.peer_address;
    let seeds = gateway.seeds.read();
    let addresses = seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), own.port()));
    addresses.filter(|address| *address != own).collect()
}

fn receive_supplement(gateway: &Gateway, bytes: &[u8], sender: SocketAddr) {
    match supplement::decode(bytes) {
        Ok((Supplement::Quarantine(notices), _)) => quarantine::receive(gateway, &notices),
        Ok((Supplement::Limits(limits), _)) => {
            let now_ms = gateway.now_ms();
            command::merge_limits(&mut gateway.roster.lock(), &limits, now_ms);
        }
        Ok((Supplement::Builds { uptime_ms, epochs }, era)) => {
            origins::receive_news(gateway, uptime_ms, epochs, era);
        }
        Ok((Supplement::Brittle(notices), _)) => {
            let now_ms = gateway.now_ms();
            command::merge_brittle(&mut gateway.roster.lock(), &notices, now_ms);
        }
        Ok((Supplement::Leaving(notices), _)) => statement::receive_leaving(gateway, &notices),
        Ok((
            Supplement::Lost {
                gateway: name,
                pools,
            },
            _,
        )) => hop::receive_news(gateway, name, pools),
        Ok((Supplement::Origins(records), _)) => {
            origins::receive_records(gateway, records, Sender::Unconfirmed);
        }
        Ok((Supplement::Records(records), _)) => {
            origins::receive_records(gateway, records, Sender::Confirmed(sender));
        }
        Ok((Supplement::Held(streams), _)) => {
            origins::receive_confirmation(gateway, &streams, false);
        }
        Ok((Supplement::Written(streams), _)) => {
            origins::receive_confirmation(gateway, &streams, true);
        }
        Ok((Supplement::Sum(sum), _)) => receive_sum(gateway, sum),
        Ok((Supplement::Speeds { is_sum, notices }, _)) => {
            speeds::receive(gateway, is_sum, &notices);
        }
        Ok((Supplement::Rollouts(news), _)) => rollouts::receive_news(gateway, news),
        Ok((Supplement::PermitRequests(requests), _)) => {
            permits::receive_requests(gateway, requests);
        }
        Ok((Supplement::PermitDecisions(decisions), _)) => {
            permits::receive_decisions(gateway, &decisions);
        }
        Ok((Supplement::Observation(counted), _)) => {
            rollouts::receive_observation(gateway, *counted);
        }
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "failed to decode a supplement to a report; ignored");
        }
    }
}

/// Applies a received report and returns the address of its sender if that gateway is new.
fn receive_report(gateway: &Gateway, bytes: &[u8], sender: SocketAddr) -> Option<SocketAddr> {
    let report = match decode(bytes) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "failed to decode a received report; ignored");
            return None;
        }
    };
    gateway.metrics.peer_reports.inc();
    let now_ms = gateway.now_ms();
    replication::apply_followed_time(gateway, report.followed_ms);
    let is_new = {
        let mut members = gateway.members.lock();
        match report.is_stopping {
            true => {
                members.remove(&report.member.name);
                false
            }
            false => members.apply_report(&report, now_ms),
        }
    };
    let Member { name, address } = report.member;
    let reported = roster::Report {
        zone: report.zone,
        running: report.running,
    };
    let mut roster = gateway.roster.lock();
    command::note_report(&mut roster, name, reported, now_ms);
    is_new.then_some(address)
}
