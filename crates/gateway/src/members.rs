//! The other gateways, as far as they are listed and as they say of themselves.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sardinemux_core::readers::{Peer, ReaderState};
use sardinemux_core::reports;
use serde::{Deserialize, Serialize};

use crate::client::Client;
use crate::prelude::*;
use crate::reports::Report;
use crate::source::{Member, Topic};

/// How far a gateway is with one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// How it stands to the store.
    pub standing: ReaderState,
    /// The version of the newest entry that it knows.
    pub newest: u64,
}

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

    /// Returns whether it reads the store, or tries to.
    fn is_reading(&self) -> bool {
        [self.operators, self.targets]
            .iter()
            .any(|position| position.standing != ReaderState::Idle)
    }
}

/// Whom a gateway tells of itself in every round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Nobody.
    Nobody,
    /// Its availability zone, as that follows it.
    Zone,
    /// Everyone, as it begins or stops.
    Everyone,
}

/// The other gateways.
#[derive(Debug, Default)]
pub struct Members {
    /// The availability zone of this gateway.
    zone: SmolStr,
    contacts: IndexMap<SmolStr, Contact>,
    clients: IndexMap<(SocketAddr, Topic), Arc<Client>>,
}

impl Members {
    /// Creates an empty list for a gateway of a zone.
    pub fn new(zone: SmolStr) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    fn is_heard(&self, contact: &Contact, now_ms: u64) -> bool {
        let is_constant = contact.zone == self.zone && contact.is_reading();
        let silent_ms = reports::silence_timeout_ms(self.contacts.len(), is_constant);
        let heard_ms = contact.heard_ms;
        heard_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= silent_ms)
    }

    /// Returns whether no other gateway is known.
    pub fn is_empty(&self) -> bool {
        self.contacts.is_empty()
    }

    /// Returns the addresses of the others that get a report in a round: those whose turn it is, and those whom this
    /// gateway tells in every round.
    pub fn due(&self, round: u64, audience: Audience, now_ms: u64) -> Vec<SocketAddr> {
        let others = self.contacts.len();
        let quiet_ms = reports::long_silence_ms(others);
        let contacts = self.contacts.values().enumerate();
        let due = contacts.filter(|(index, contact)| {
            let is_quiet = contact
                .heard_ms
                .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > quiet_ms);
            let is_constant = match audience {
                Audience::Nobody => false,
                Audience::Zone => contact.zone == self.zone && !is_quiet,
                Audience::Everyone => true,
            };
            is_constant || reports::is_due(*index, others, is_quiet, round)
        });
        due.map(|(_, contact)| contact.address).collect()
    }

    /// Counts a gateway that did not answer as silent until it reports again.
    pub fn doubt(&mut self, address: SocketAddr) {
        let contacts = self.contacts.values_mut();
        for contact in contacts.filter(|contact| contact.address == address) {
            contact.heard_ms = None;
        }
    }

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

    /// Takes in what a gateway says of itself. Returns whether it is news that it lives.
    pub fn hear(&mut self, report: &Report, now_ms: u64) -> bool {
        let contact = Contact {
            address: report.member.address,
            heard_ms: Some(now_ms),
            zone: report.zone.clone(),
            link_mbps: report.link_mbps,
            operators: report.operators,
            targets: report.targets,
        };
        let former = self.contacts.insert(report.member.name.clone(), contact);
        former.is_none_or(|former| former.heard_ms.is_none())
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
            .filter(move |(_, contact)| self.is_heard(contact, now_ms));
        heard.map(move |(name, contact)| {
            let Position { standing, newest } = contact.position(topic);
            Peer {
                name,
                zone: &contact.zone,
                link_mbps: contact.link_mbps,
                state: standing,
                newest_version: newest,
            }
        })
    }

    /// Returns the address of a gateway.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.contacts.get(name).map(|contact| contact.address)
    }

    /// Returns the client for one topic at a gateway; one that is followed no longer is dropped.
    pub fn client(&mut self, address: SocketAddr, topic: Topic) -> Arc<Client> {
        self.clients
            .retain(|(other, its), _| *its != topic || *other == address);
        let client = self.clients.entry((address, topic));
        client
            .or_insert_with(|| Arc::new(Client::new(address)))
            .clone()
    }
}
