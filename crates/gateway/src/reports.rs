//! What gateways say of themselves several times a second, as datagrams: what each has in flight, and how far it is with
//! what operators and targets said. A lost one is followed by the next.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use sardinemux_core::reports;
use sardinemux_core::roster::{command, query};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::UdpSocket;
use tokio::time;

use crate::drain::Phase;
use crate::errors::ListenSnafu;
use crate::members::{Broadcast, Position};
use crate::prelude::*;
use crate::replication;
use crate::source::{Member, Topic};
use crate::suspension;

/// The largest datagram that is sent or read, in bytes; loopback and the instances' links carry it unsplit.
const DATAGRAM_MAX: usize = 1_400;

/// The targets of one report. With names of up to 16 bytes they fit into a datagram.
const REPORTED_MAX: usize = 64;

/// The first rounds go to every gateway, so that a new one is known before it acts.
const FIRST_ROUNDS: u64 = 3;

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
            state: view.reader_state(),
            newest_version: view.log.newest(),
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
    let mut ticks = time::interval(Duration::from_millis(reports::PERIOD_MS));
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_MAX];
    let mut round: u64 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                suspension::note_heartbeat(&gateway);
                send_reports(&gateway, &socket, &recipients(&gateway, round));
                gateway.tidy();
                round += 1;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => {
                    // A gateway that is new gets an answer at once, so that it knows whom to follow.
                    let new = take_report(&gateway, &buffer[..length], sender);
                    send_reports(&gateway, &socket, new.as_slice());
                }
                Err(error) => log::warn!(error:% = error; "a report was not received"),
            },
        }
    }
}

fn send_reports(gateway: &Gateway, socket: &UdpSocket, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
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
    for address in addresses {
        if let Err(error) = socket.try_send_to(&bytes, *address) {
            log::debug!(address:% = address, error:% = error; "a report was not sent");
        }
    }
}

fn recipients(gateway: &Gateway, round: u64) -> Vec<SocketAddr> {
    let is_stopping = gateway.drain.phase() != Phase::Serving;
    let audience = match replication::is_store_reader(gateway) {
        _ if is_stopping || round < FIRST_ROUNDS => Broadcast::All,
        true => Broadcast::Zone,
        false => Broadcast::None,
    };
    let members = gateway.members.lock();
    match members.is_empty() {
        true => seeds(gateway),
        false => members.due_addresses(round, audience, gateway.now_ms()),
    }
}

fn seeds(gateway: &Gateway) -> Vec<SocketAddr> {
    let own = gateway.settings.peer_address;
    let seeds = gateway.seeds.read();
    let addresses = seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), own.port()));
    addresses.filter(|address| *address != own).collect()
}

/// Takes in a report, and returns the address of a gateway that is new.
fn take_report(gateway: &Gateway, bytes: &[u8], sender: SocketAddr) -> Option<SocketAddr> {
    let report: Report = match rmp_serde::from_slice(bytes) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(sender:% = sender, error:% = error; "a report cannot be read");
            return None;
        }
    };
    gateway.metrics.reports.inc();
    let now_ms = gateway.now_ms();
    {
        let mut views = gateway.views.lock();
        let view = views.entry(Topic::Targets).or_default();
        replication::note_peer_following(view, report.followed_ms, now_ms);
    }
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
    let mut roster = gateway.roster.lock();
    command::note_report(&mut roster, name, report.running, now_ms);
    is_new.then_some(address)
}
