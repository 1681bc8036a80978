//! A simulated fleet whose store comes back from older copies, with the gateways' own logs and choice of readers.

use std::sync::Arc;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardinemux_core::catalog::Definition;
use sardinemux_core::passage::{self, Passage};
use sardinemux_core::position::Position;
use sardinemux_core::reach::{query, Candidate, Reach, Search};
use sardinemux_core::readers::{self, KnownEra, Peer, Progress, ReaderState};
use sardinemux_core::reports;
use sardinemux_gateway::relay::Log;
use sardinemux_gateway::source::{Batch, Entry, Fact};
use smol_str::SmolStr;

/// The time of one step, in milliseconds.
pub const TICK_MS: u64 = 50;

/// The availability zones.
pub const ZONES: [&str; 3] = ["z0", "z1", "z2"];

/// The store: the newest entry of each key, and a copy to come back from.
#[derive(Clone, Debug, Default)]
pub struct Store {
    era: u32,
    /// The version of the last write.
    pub version: u64,
    entries: IndexMap<SmolStr, Entry>,
}

impl Store {
    /// Writes a catalogue of a version.
    pub fn write(&mut self, key: &str, catalog: u64) {
        self.version += 1;
        let definition = Definition {
            version: catalog,
            ..Definition::default()
        };
        let entry = Entry {
            key: key.into(),
            fact: Some(Fact::Catalog(Arc::new(definition))),
            position: Position::new(Some(self.era), self.version),
            may_return: false,
        };
        self.entries.insert(key.into(), entry);
    }

    /// Comes back from a copy, in a later era.
    pub fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = copy.clone();
        self.era = era;
    }

    /// Answers a list, or the changes since a position; `None` stands for 410.
    fn read(&self, since: Option<Position>) -> Option<Batch> {
        let era = Some(self.era);
        if since.is_some_and(|since| since.era != era) {
            return None;
        }
        let entries = self.entries.values();
        let newer = entries
            .filter(|entry| since.is_none_or(|since| entry.position.version > since.version));
        let position = Position::new(era, self.version);
        let entries = newer.cloned().collect();
        Some(Batch { entries, position }.in_era(era))
    }
}

/// What a gateway reports.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    state: ReaderState,
    newest: Position,
    catalog: u64,
    at_ms: u64,
}

/// A gateway as far as it holds the operators' entries.
pub struct Gateway {
    name: SmolStr,
    zone: &'static str,
    log: Log,
    /// Its state as a reader of the store.
    pub state: ReaderState,
    watched: Option<Position>,
    known: KnownEra,
    catalog: u64,
    heard_ms: u64,
    now_ms: u64,
    /// Whether the store cannot be reached.
    pub is_cut: bool,
    /// Until when it stands still, in milliseconds.
    pub frozen_until_ms: u64,
    /// Whether it is of a build that knows no eras.
    is_old: bool,
    /// Whether it compares its catalogue with that of a gateway which passes a request on.
    pub compares: bool,
    reports: IndexMap<usize, Report>,
}

impl Gateway {
    fn apply(&mut self, batch: Batch, is_complete: bool) {
        let batch = match self.is_old {
            true => batch.in_era(None),
            false => batch,
        };
        let era = batch.position.era;
        if era > self.known.era {
            let since_ms = self.now_ms;
            self.known = KnownEra { era, since_ms };
        }
        for change in self.log.apply(&batch, is_complete, false) {
            if let Some(Fact::Catalog(definition)) = change.entry.fact {
                self.catalog = self.catalog.max(definition.version);
            }
        }
    }

    fn peers(&self, names: &[SmolStr], now_ms: u64) -> Vec<(usize, Peer<'static>, u64)> {
        let timeout_ms = reports::silence_timeout_ms(names.len() - 1, false);
        let recent = self.reports.iter().filter(|(_, report)| {
            report.at_ms > 0
                && now_ms - report.at_ms <= timeout_ms
                && self.known.includes(report.newest, report.at_ms)
        });
        let peers = recent.map(|(index, report)| {
            let name: &'static str = Box::leak(names[*index].to_string().into_boxed_str());
            let peer = Peer {
                name,
                zone: ZONES[index % 3],
                link_mbps: 100,
                state: report.state,
                newest: report.newest,
            };
            (*index, peer, report.catalog)
        });
        peers.collect()
    }
}

/// Gateways that share a store.
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    names: Vec<SmolStr>,
    random: StdRng,
    /// The time since the start, in milliseconds.
    pub now_ms: u64,
    /// The requests that were passed on and served.
    pub passed: usize,
    /// Those that were refused, as the other gateway was behind.
    pub refused: usize,
}

impl Fleet {
    /// Creates a fleet before a store with the first catalogue. `is_old` selects the gateways of a build that knows no eras.
    pub fn new(count: usize, seed: u64, is_old: impl Fn(usize) -> bool) -> Self {
        let names: Vec<SmolStr> = (0..count).map(|index| format!("g{index}").into()).collect();
        let gateways = names.iter().enumerate().map(|(index, name)| Gateway {
            name: name.clone(),
            zone: ZONES[index % 3],
            log: Log::default(),
            state: ReaderState::Idle,
            watched: None,
            known: KnownEra::default(),
            now_ms: 0,
            catalog: 0,
            heard_ms: 0,
            is_cut: false,
            frozen_until_ms: 0,
            is_old: is_old(index),
            compares: !is_old(index),
            reports: IndexMap::new(),
        });
        let mut store = Store {
            era: 1,
            ..Store::default()
        };
        store.write("config", 1);
        Self {
            store,
            gateways: gateways.collect(),
            names,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            passed: 0,
            refused: 0,
        }
    }

    /// Lets time pass, in milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            for index in 0..self.gateways.len() {
                let former = self.gateways[index].catalog;
                self.step(index);
                assert!(
                    self.gateways[index].catalog >= former,
                    "a catalogue went back"
                );
            }
            if self.now_ms.is_multiple_of(reports::PERIOD_MS) {
                self.report();
            }
            for _ in 0..self.gateways.len() {
                self.pass_on();
            }
        }
    }

    /// Passes a request of a gateway that compares catalogues on to another one, which must not serve it by an earlier one.
    fn pass_on(&mut self) {
        let index = self.random.random_range(0..self.gateways.len());
        let sender = &self.gateways[index];
        if !sender.compares || self.is_frozen(index) {
            return;
        }
        let peers = sender.peers(&self.names, self.now_ms);
        let candidate = |(index, peer, catalog): &(usize, Peer<'static>, u64)| Candidate {
            name: peer.name,
            zone: peer.zone,
            catalog: *catalog,
            compares_catalogs: self.gateways[*index].compares,
        };
        let candidates: Vec<Candidate<'_>> = peers.iter().map(candidate).collect();
        let search = Search {
            pool: "p",
            zone: sender.zone,
            catalog: sender.catalog,
            tried: &[],
        };
        let (reach, random) = (Reach::default(), &mut self.random);
        let Some(name) = query::choose_gateway(&reach, search, &candidates, self.now_ms, random)
        else {
            return;
        };
        let receiver = self.gateways.iter().find(|it| it.name == name).unwrap();
        if self.now_ms < receiver.frozen_until_ms {
            return;
        }
        let passage = Passage {
            catalog: receiver.compares.then_some(sender.catalog),
            pool: "p",
            has_begun: false,
        };
        if passage::is_behind(passage, receiver.catalog) {
            self.refused += 1;
            return;
        }
        self.passed += 1;
        assert!(
            receiver.catalog >= sender.catalog,
            "{name} serves a request by catalogue {} that was looked up in {}",
            receiver.catalog,
            sender.catalog
        );
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.now_ms < self.gateways[index].frozen_until_ms
    }

    /// Replaces a gateway by one that has just started.
    pub fn start_anew(&mut self, index: usize) {
        let fresh = Self::new(self.gateways.len(), 0, |_| false);
        let fresh = fresh.gateways.into_iter().nth(index);
        self.gateways[index] = fresh.unwrap();
    }

    fn step(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if self.is_frozen(index) {
            return;
        }
        self.gateways[index].now_ms = now_ms;
        let peers = self.gateways[index].peers(&self.names, now_ms);
        let all = || peers.iter().map(|(_, peer, _)| *peer);
        let gateway = &mut self.gateways[index];
        let me = Peer {
            name: &gateway.name.clone(),
            zone: gateway.zone,
            link_mbps: 100,
            state: gateway.state,
            newest: Position::default(),
        };
        let waited_ms = now_ms.saturating_sub(gateway.heard_ms);
        let reads =
            readers::is_reader(me, all()) || readers::is_fallback_reader(me, all(), waited_ms);
        if !reads {
            gateway.state = ReaderState::Idle;
            gateway.watched = None;
        } else if gateway.is_cut {
            gateway.state = ReaderState::Failing;
            gateway.watched = None;
        } else {
            let since = match gateway.is_old {
                // A build without eras goes on from the version that it has read, whatever the era.
                true => gateway.watched.map(|at| at.in_era(Some(self.store.era))),
                false => gateway.watched,
            };
            match self.store.read(since) {
                Some(batch) => {
                    gateway.watched = Some(batch.position);
                    gateway.apply(batch, since.is_none());
                }
                None => gateway.watched = None,
            }
            gateway.state = ReaderState::Following;
            gateway.heard_ms = now_ms;
        }
        self.follow(index, &peers);
    }

    /// Gets entries from another gateway, as `follow_peers` does.
    fn follow(&mut self, index: usize, peers: &[(usize, Peer<'static>, u64)]) {
        let all = || peers.iter().map(|(_, peer, _)| *peer);
        let gateway = &self.gateways[index];
        let progress = Progress {
            newest: gateway.log.newest(),
            complete: gateway.log.position(),
        };
        let chosen = match gateway.log.has_snapshot() {
            false => readers::choose_snapshot_peer(gateway.zone, all(), &mut self.random),
            true => readers::find_newer_peer(progress, gateway.zone, all(), &mut self.random),
        };
        let later = peers
            .iter()
            .filter(|(_, _, catalog)| *catalog > gateway.catalog);
        let later = later.max_by_key(|(_, _, catalog)| *catalog);
        let (peer, is_whole) = match (chosen, later) {
            (Some(peer), _) => (peer, false),
            (None, Some((_, peer, _))) => (*peer, true),
            (None, None) => match readers::choose_reader(gateway.zone, all()) {
                Some(peer) if gateway.state != ReaderState::Following => (peer, false),
                _ => return,
            },
        };
        let other = peers
            .iter()
            .find(|(_, it, _)| it.name == peer.name)
            .unwrap()
            .0;
        let position = gateway.log.has_snapshot().then(|| gateway.log.position());
        if self.is_frozen(other) {
            return;
        }
        let server = &self.gateways[other];
        let since = match gateway.is_old || server.is_old {
            true => position.map(|at| at.in_era(server.log.position().era)),
            false => position.filter(|at| at.era >= peer.newest.era),
        };
        let found = server.log.changes_since(since.filter(|_| !is_whole));
        let is_following = server.state == ReaderState::Following;
        let era = if server.is_old {
            None
        } else {
            server.log.position().era
        };
        if let Some((is_complete, batch)) = found {
            self.gateways[index].apply(batch.in_era(era), is_complete);
        }
        if is_following {
            self.gateways[index].heard_ms = self.now_ms;
        }
    }

    fn report(&mut self) {
        let round = self.now_ms / reports::PERIOD_MS;
        let count = self.gateways.len();
        for sender in 0..count {
            if self.is_frozen(sender) {
                continue;
            }
            let gateway = &self.gateways[sender];
            let newest = match gateway.is_old {
                true => gateway.log.newest().in_era(None),
                false => gateway.log.newest(),
            };
            let report = Report {
                state: gateway.state,
                newest,
                catalog: if gateway.is_old { 0 } else { gateway.catalog },
                at_ms: self.now_ms,
            };
            let is_reader = report.state != ReaderState::Idle;
            for recipient in (0..count).filter(|index| *index != sender) {
                let is_due = reports::is_due(recipient, count - 1, false, round)
                    || is_reader && ZONES[sender % 3] == ZONES[recipient % 3];
                if is_due && self.random.random_bool(0.95) {
                    self.gateways[recipient].reports.insert(sender, report);
                }
            }
        }
    }

    /// Returns the gateways that know eras and do not have a catalogue in force.
    pub fn late(&self, catalog: u64) -> Vec<&str> {
        let known = self.gateways.iter().filter(|gateway| !gateway.is_old);
        let late = known.filter(|gateway| gateway.catalog < catalog);
        late.map(|gateway| &*gateway.name).collect()
    }
}
