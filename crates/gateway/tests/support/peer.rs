//! A peer of a gateway under test, which sends and receives datagrams.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use sardinemux_core::collection::Role;
use sardinemux_core::permits::Decision;
use sardinemux_core::quarantine::Notice;
use sardinemux_gateway::members::Standing;
use sardinemux_gateway::permits::Requests;
use sardinemux_gateway::reports::{self, Report};
use sardinemux_gateway::source::Member;
use sardinemux_gateway::supplement::{self, Supplement};
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::time;

/// The largest datagram, in bytes.
const DATAGRAM_MAX_BYTES: usize = 1_400;

/// A peer that the gateway knows.
pub struct Peer {
    name: &'static str,
    role: Option<Role>,
    socket: UdpSocket,
    gateway: SocketAddr,
}

impl Peer {
    /// Makes a peer of an earlier build known to a gateway that has started, and waits for the gateway's first report.
    pub async fn join(gateway: SocketAddr) -> Self {
        Self::join_as("peer", None, gateway).await
    }

    /// Makes a peer known to a gateway that has started, and waits for the gateway's first report. One without a role is of an
    /// earlier build.
    pub async fn join_as(name: &'static str, role: Option<Role>, gateway: SocketAddr) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let peer = Self {
            name,
            role,
            socket,
            gateway,
        };
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        loop {
            peer.report().await;
            let received = peer.socket.recv_from(&mut buffer);
            let received = time::timeout(Duration::from_millis(50), received).await;
            if matches!(received, Ok(Ok(_))) {
                return peer;
            }
        }
    }

    /// Sends a report to the gateway.
    pub async fn report(&self) {
        self.report_running(Default::default()).await;
    }

    /// Sends a report of these requests in flight to the gateway.
    pub async fn report_running(&self, running: IndexMap<SmolStr, u32>) {
        let address = self.socket.local_addr().unwrap();
        self.report_at(address, running).await;
    }

    /// Sends a report that states another address.
    pub async fn report_at(&self, address: SocketAddr, running: IndexMap<SmolStr, u32>) {
        let report = Report {
            member: Member {
                name: self.name.into(),
                address,
            },
            is_stopping: false,
            zone: "z1".into(),
            followed_ms: 0,
            link_mbps: 1,
            operators: Standing::default(),
            targets: Standing::default(),
            running,
            catalog: 0,
            compares_catalogs: self.role.is_some(),
            learns_catalogs: self.role.is_some(),
            checks_patches: self.role.is_some(),
            role: self.role.unwrap_or_default(),
            takes_permits: self.role.is_some(),
            keeps_former_base: true,
            confirms_records: true,
        };
        let bytes = match self.role {
            Some(_) => reports::encode(&report).unwrap(),
            None => rmp_serde::to_vec(&report).unwrap(),
        };
        self.socket.send_to(&bytes, self.gateway).await.unwrap();
    }

    /// Sends a supplement to the gateway.
    pub async fn send(&self, supplement: &Supplement) {
        let bytes = supplement::encode(supplement).unwrap();
        self.socket.send_to(&bytes, self.gateway).await.unwrap();
    }

    /// Answers requests for permits that they wait.
    pub async fn acknowledge(&self, received: &Requests) {
        let numbers = received.requests.iter().map(|it| it.ticket.number);
        let decisions = numbers.map(|number| (number, Decision::Queued));
        let supplement = Supplement::PermitDecisions(decisions.collect());
        self.send(&supplement).await;
    }

    /// Returns the next datagram of the gateway that is a supplement, or a report (`None`).
    pub async fn next(&self) -> Option<Supplement> {
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        let length = self.socket.recv(&mut buffer).await.unwrap();
        let bytes = &buffer[..length];
        let is_supplement = supplement::is_supplement(bytes);
        is_supplement.then(|| supplement::decode(bytes).unwrap().0)
    }

    /// Returns the next notice that the gateway sends of each of these parts.
    pub async fn next_notices(&self, parts: &[u64]) -> Vec<Notice> {
        let mut found: Vec<Notice> = Vec::new();
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        while found.len() < parts.len() {
            let length = self.socket.recv(&mut buffer).await.unwrap();
            let bytes = &buffer[..length];
            if !supplement::is_supplement(bytes) {
                continue;
            }
            let Ok((Supplement::Quarantine(notices), _)) = supplement::decode(bytes) else {
                continue;
            };
            for notice in notices {
                let is_known = found.iter().any(|it| it.part == notice.part);
                if !is_known && parts.contains(&notice.part) {
                    found.push(notice);
                }
            }
        }
        found.sort_by_key(|notice| notice.part);
        found
    }
}
