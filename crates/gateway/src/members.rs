//! The other gateways, from the store's list and from the reports that they send.

use std::net::SocketAddr;

use indexmap::IndexMap;
use sardinemux_core::collection::{self, Role};
use sardinemux_core::origin::Witness;
use sardinemux_core::position::{Era, Position};
use sardinemux_core::reach::Candidate;
use sardinemux_core::readers::{KnownEra, Peer, ReaderState};
use sardinemux_core::reports;
use serde::{Deserialize, Serialize};

use crate::client::Client;
use crate::prelude::*;
use crate::reports::Report;
use crate::source::{Member, Topic};

/// The state of a gateway for one topic, as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Its state as a reader of the store.
    #[serde(rename = "standing")]
    pub state: ReaderState,
    /// The position of the newest entry that it has; its version is zero if it has none.
    pub newest: Position,
}

/// Another gateway.
#[derive(Clone, Debug)]
struct Contact {
    address: SocketAddr,
    /// When its last report was received, in milliseconds; `None` if it has sent none or has failed to answer since.
    last_report_ms: Option<u64>,
    zone: SmolStr,
    link_mbps: u32,
    operators: Standing,
    targets: Standing,
    /// The version of the catalogue that it has in force.
    catalog: u64,
    compares_catalogs: bool,
    learns_catalogs: bool,
    checks_patches: bool,
    role: Role,
    /// Whether it takes part in permits.
    takes_permits: bool,
    /// Whether it begins streams at the former base of an epoch; `None` if it has never sent a report.
    keeps_former_base: Option<bool>,
    confirms_records: bool,
}

impl Contact {
    fn standing(&self, topic: Topic) -> Standing {
        match topic {
            Topic::Operators => self.operators,
            Topic::Targets => self.targets,
            _ => Standing::default(),
        }
    }

    /// Returns whether it reads any topic from the store, or tries to.
    fn is_store_reader(&self) -> bool {
        [self.operators, self.targets]
            .iter()
            .any(|standing| standing.state != ReaderState::Idle)
    }
}

/// The gateways that get a report in every round, besides those whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broadcast {
    /// No gateway.
    None,
    /// The gateways of the sender's availability zone that are not silent for long: the zone gets the store's changes
    /// from the sender.
    Zone,
    /// All gateways: the sender is starting or stopping.
    All,
}

/// The other gateways of the deployment, and the clients that call them.
#[derive(Debug, Default)]
pub struct Members {
    /// The availability zone of this gateway.
    zone: SmolStr,
    contacts: IndexMap<SmolStr, Contact>,
    /// When the process last stood still, in milliseconds. Reports from before may be older than they seem.
    suspended_ms: Option<u64>,
    clients: IndexMap<(SocketAddr, Topic), Arc<Client>>,
}

impl Members {
    /// Creates an empty list for a gateway of availability zone `zone`.
    pub fn new(zone: SmolStr) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// Returns whether a gateway has sent a report within the silence timeout.
    fn has_recent_report(&self, contact: &Contact, now_ms: u64) -> bool {
        let is_awaited = contact.is_store_reader() || contact.role == Role::Collector;
        let is_every_round = contact.zone == self.zone && is_awaited;
        let timeout_ms = reports::silence_timeout_ms(self.contacts.len(), is_every_round);
        let heard_ms = contact.last_report_ms;
        heard_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= timeout_ms)
    }

    /// Returns whether no other gateway is known.
    pub fn is_empty(&self) -> bool {
        self.contacts.is_empty()
    }

    /// Returns the addresses of the gateways that get a report in a round: those whose turn it is, and those that
    /// `broadcast` selects.
    pub fn due_addresses(&self, round: u64, broadcast: Broadcast, now_ms: u64) -> Vec<SocketAddr> {
        let peer_count = self.contacts.len();
        let long_silence_ms = reports::long_silence_ms(peer_count);
        let contacts = self.contacts.values().enumerate();
        let due = contacts.filter(|(index, contact)| {
            let is_long_silent = contact
                .last_report_ms
                .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > long_silence_ms);
            let is_every_round = match broadcast {
                Broadcast::None => false,
                Broadcast::Zone => contact.zone == self.zone && !is_long_silent,
                Broadcast::All => true,
            };
            is_every_round || reports::is_due(*index, peer_count, is_long_silent, round)
        });
        due.map(|(_, contact)| contact.address).collect()
    }

    /// Marks a gateway that failed to answer as silent until its next report.
    pub fn mark_silent(&mut self, address: SocketAddr) {
        let contacts = self.contacts.values_mut();
        for contact in contacts.filter(|contact| contact.address == address) {
            contact.last_report_ms = None;
        }
    }

    /// Adds a gateway from the store's list, or updates its address.
    pub fn upsert(&mut self, member: Member) {
        let Member { name, address } = member;
        match self.contacts.get_mut(&name) {
            Some(contact) => contact.address = address,
            None => {
                let contact = Contact {
                    address,
                    last_report_ms: None,
                    zone: SmolStr::default(),
                    link_mbps: 0,
                    operators: Standing::default(),
                    targets: Standing::default(),
                    catalog: 0,
                    compares_catalogs: false,
                    learns_catalogs: false,
                    checks_patches: false,
                    role: Role::None,
                    takes_permits: false,
                    keeps_former_base: None,
                    confirms_records: false,
                };
                self.contacts.insert(name, contact);
            }
        }
    }

    /// Applies a report. Returns whether its sender was unknown, or had sent no report or been marked silent before.
    pub fn apply_report(&mut self, report: &Report, now_ms: u64) -> bool {
        let contact = Contact {
            address: report.member.address,
            last_report_ms: Some(now_ms),
            zone: report.zone.clone(),
            link_mbps: report.link_mbps,
            operators: report.operators,
            targets: report.targets,
            catalog: report.catalog,
            compares_catalogs: report.compares_catalogs,
            learns_catalogs: report.learns_catalogs,
            checks_patches: report.checks_patches,
            role: report.role,
            takes_permits: report.takes_permits,
            keeps_former_base: Some(report.keeps_former_base),
            confirms_records: report.confirms_records,
        };
        let former = self.contacts.insert(report.member.name.clone(), contact);
        former.is_none_or(|former| former.last_report_ms.is_none())
    }

    /// Records that a gateway has a version of the catalogue in force. Returns whether it had reported an earlier one.
    pub fn note_catalog(&mut self, name: &str, version: u64) -> bool {
        let contact = self.contacts.get_mut(name);
        let earlier = contact.filter(|contact| contact.catalog < version);
        match earlier {
            Some(contact) => {
                contact.catalog = version;
                true
            }
            None => false,
        }
    }

    /// Returns whether a gateway reads the version of the catalogue in the answers to requests that it passes on.
    pub fn learns_catalogs(&self, name: &str) -> bool {
        self.contacts.get(name).is_some_and(|it| it.learns_catalogs)
    }

    /// Returns whether a gateway confirms the records of streams that it gets.
    pub fn confirms_records(&self, name: &str) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|contact| contact.confirms_records)
    }

    /// Returns the gateways that have sent a report within the silence timeout, as those through which requests may be sent.
    pub fn candidates(&self, now_ms: u64) -> impl Iterator<Item = Candidate<'_>> {
        let recent = self
            .contacts
            .iter()
            .filter(move |(_, contact)| self.has_recent_report(contact, now_ms));
        recent.map(|(name, contact)| Candidate {
            name,
            zone: &contact.zone,
            catalog: contact.catalog,
            compares_catalogs: contact.compares_catalogs,
        })
    }

    /// Returns the gateways of the own zone that have sent a report within the silence timeout and report to collectors.
    pub fn collecting(&self, now_ms: u64) -> impl Iterator<Item = collection::Candidate<'_>> {
        let contacts = self.contacts.iter().filter(move |(_, contact)| {
            let collects = contact.role != Role::None && contact.zone == self.zone;
            collects && self.has_recent_report(contact, now_ms)
        });
        contacts.map(|(name, contact)| collection::Candidate {
            name,
            zone: &contact.zone,
            link_mbps: contact.link_mbps,
        })
    }

    /// Returns the gateways that have sent a report within the silence timeout and take part in permits.
    pub fn dispatchers(&self, now_ms: u64) -> impl Iterator<Item = collection::Candidate<'_>> {
        let contacts = self.contacts.iter().filter(move |(_, contact)| {
            contact.takes_permits && self.has_recent_report(contact, now_ms)
        });
        contacts.map(|(name, contact)| collection::Candidate {
            name,
            zone: &contact.zone,
            link_mbps: contact.link_mbps,
        })
    }

    /// Returns the addresses of the collectors of other zones that have sent a report within the silence timeout.
    pub fn collectors_elsewhere(&self, now_ms: u64) -> Vec<SocketAddr> {
        let contacts = self.contacts.values().filter(|contact| {
            let collects = contact.role == Role::Collector && contact.zone != self.zone;
            collects && self.has_recent_report(contact, now_ms)
        });
        contacts.map(|contact| contact.address).collect()
    }

    /// Records that a gateway has sent the sum of a zone, so that it collects.
    pub fn note_collector(&mut self, name: &str) {
        if let Some(contact) = self.contacts.get_mut(name) {
            contact.role = Role::Collector;
        }
    }

    /// Removes a gateway.
    pub fn remove(&mut self, name: &str) {
        self.contacts.shift_remove(name);
    }

    /// Returns the names of the other gateways.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.contacts.keys().map(SmolStr::as_str)
    }

    /// Returns the gateways that have sent a report within the silence timeout, with their state for one topic.
    pub fn iter_recent(&self, topic: Topic, now_ms: u64) -> impl Iterator<Item = Peer<'_>> {
        self.iter_in_era(topic, KnownEra::default(), now_ms)
    }

    /// Returns those of the same gateways that may have reached an era of the store.
    pub fn iter_in_era(
        &self,
        topic: Topic,
        known: KnownEra,
        now_ms: u64,
    ) -> impl Iterator<Item = Peer<'_>> {
        let recent = self.contacts.iter().filter(move |(_, contact)| {
            let newest = contact.standing(topic).newest;
            let reported_ms = contact.last_report_ms.unwrap_or_default();
            self.has_recent_report(contact, now_ms) && known.includes(newest, reported_ms)
        });
        recent.map(move |(name, contact)| {
            let Standing { state, newest } = contact.standing(topic);
            Peer {
                name,
                zone: &contact.zone,
                link_mbps: contact.link_mbps,
                state,
                newest,
            }
        })
    }

    /// Records that the process stood still until now.
    pub fn note_suspension(&mut self, now_ms: u64) {
        self.suspended_ms = Some(now_ms);
    }

    /// Returns what each of the other gateways has last reported of the store.
    pub fn witnesses(&self, topic: Topic, now_ms: u64) -> Vec<Witness> {
        let witness = |contact: &Contact| {
            let heard_ms = contact.last_report_ms;
            let heard_ms = heard_ms.filter(|at_ms| self.suspended_ms.is_none_or(|it| *at_ms > it));
            let heard_ms = heard_ms.filter(|_| self.has_recent_report(contact, now_ms));
            Witness {
                report_age_ms: heard_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
                is_following: contact.standing(topic).state == ReaderState::Following,
            }
        };
        self.contacts.values().map(witness).collect()
    }

    /// Returns the addresses of the gateways that have sent a report within the silence timeout.
    pub fn recent_addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let contacts = self.contacts.values();
        let recent = contacts.filter(|contact| self.has_recent_report(contact, now_ms));
        recent.map(|contact| contact.address).collect()
    }

    /// Returns the address of a gateway, or `None` if it is unknown.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.contacts.get(name).map(|contact| contact.address)
    }

    /// Returns the address of a gateway that has recently reported to have a catalogue in force of a later version than this.
    pub fn holder_of_later_catalog(&self, version: u64, now_ms: u64) -> Option<SocketAddr> {
        let contacts = self.contacts.values();
        let recent = contacts.filter(|contact| self.has_recent_report(contact, now_ms));
        let later = recent.filter(|contact| contact.catalog > version);
        let latest = later.max_by_key(|contact| contact.catalog)?;
        Some(latest.address)
    }

    /// Returns the era of the entries that a gateway last reported to have of a topic.
    pub fn era(&self, address: SocketAddr, topic: Topic) -> Era {
        let mut contacts = self.contacts.values();
        let contact = contacts.find(|contact| contact.address == address)?;
        contact.standing(topic).newest.era
    }

    /// Returns whether the gateway at an address gives patches only for catalogues that it has held.
    pub fn checks_patches(&self, address: SocketAddr) -> bool {
        let mut contacts = self.contacts.values();
        contacts.any(|contact| contact.address == address && contact.checks_patches)
    }

    /// Returns whether all other gateways that have sent a report begin streams at the former base of an epoch.
    pub fn keep_former_bases(&self) -> bool {
        let mut contacts = self.contacts.values();
        contacts.all(|contact| contact.keeps_former_base != Some(false))
    }

    /// Returns the client that calls a gateway for one topic. The topic's clients for other gateways are dropped.
    pub fn client(&mut self, address: SocketAddr, topic: Topic) -> Arc<Client> {
        self.clients.retain(|(other_address, other_topic), _| {
            *other_topic != topic || *other_address == address
        });
        let client = self.clients.entry((address, topic));
        client
            .or_insert_with(|| Arc::new(Client::new(address)))
            .clone()
    }
}
