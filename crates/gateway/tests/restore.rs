//! Simulations of fleets whose store comes back from an older copy, with the gateways' own logs and choice of readers.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_core::passage::{self, Passage};
use sardinemux_core::position::Position;
use sardinemux_core::reach::{query, Candidate, Reach, Search};
use sardinemux_core::readers::{self, KnownEra, Peer, Progress, ReaderState};
use sardinemux_core::reports;
use sardinemux_gateway::relay::Log;
use sardinemux_gateway::source::{Batch, Entry, Fact};
use smol_str::SmolStr;

/// The users' bound on the time until a change is in force at all gateways, in milliseconds.
const PROPAGATION_MAX_MS: u64 = 2_000;

const TICK_MS: u64 = 50;

const ZONES: [&str; 3] = ["z0", "z1", "z2"];

/// The store: the newest entry of each key, and a copy to come back from.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u32,
    version: u64,
    entries: IndexMap<SmolStr, Entry>,
}

impl Store {
    fn write(&mut self, key: &str, catalog: u64) {
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

    fn restore(&mut self, copy: &Self) {
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

struct Gateway {
    name: SmolStr,
    zone: &'static str,
    log: Log,
    state: ReaderState,
    watched: Option<Position>,
    known: KnownEra,
    catalog: u64,
    heard_ms: u64,
    now_ms: u64,
    is_cut: bool,
    /// Whether it is of a build that knows no eras.
    is_old: bool,
    /// Whether it compares its catalogue with that of a gateway which passes a request on.
    compares: bool,
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

struct Fleet {
    store: Store,
    gateways: Vec<Gateway>,
    names: Vec<SmolStr>,
    random: StdRng,
    now_ms: u64,
    /// The requests that were passed on and served, and those that were refused as the other gateway was behind.
    passed: usize,
    refused: usize,
}

impl Fleet {
    fn new(count: usize, seed: u64, is_old: impl Fn(usize) -> bool) -> Self {
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

    fn run(&mut self, ms: u64) {
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
        if !sender.compares {
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

    fn step(&mut self, index: usize) {
        let now_ms = self.now_ms;
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
            true => readers::find_newer_peer(progress, all()),
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
    fn late(&self, catalog: u64) -> Vec<&str> {
        let known = self.gateways.iter().filter(|gateway| !gateway.is_old);
        let late = known.filter(|gateway| gateway.catalog < catalog);
        late.map(|gateway| &*gateway.name).collect()
    }
}

/// What happens around a restore.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// Half of the gateways are cut off from the store all the while.
    HalfCut,
    /// Every second gateway is of a build without eras.
    Mixed,
    /// Every second gateway is of a build that states its catalogue and does not compare it.
    Former,
    /// A third of the gateways start between the restore and the operators' next write.
    Starts,
}

/// Gateways that compare versions of two eras skip what is written after a restore, once or twice in a row, whether or not the
/// versions have passed the former ones before gateways read again.
#[rstest]
fn verify_changes_after_restores_reach_all(
    #[values(9, 100)] gateways: usize,
    #[values(
        Trouble::None,
        Trouble::HalfCut,
        Trouble::Mixed,
        Trouble::Former,
        Trouble::Starts
    )]
    trouble: Trouble,
    #[values(false, true)] passes: bool,
) {
    let seeds = if gateways > 9 { 3 } else { 20 };
    for seed in 0..seeds {
        let is_mixed = matches!(trouble, Trouble::Mixed);
        let mut fleet = Fleet::new(gateways, seed, |index| is_mixed && index % 2 == 0);
        if matches!(trouble, Trouble::Former) {
            for gateway in fleet.gateways.iter_mut().step_by(2) {
                gateway.compares = false;
            }
        }
        fleet.run(4_000);
        let mut catalog = 1;
        for _ in 0..2 {
            let copy = fleet.store.clone();
            for _ in 0..20 {
                catalog += 1;
                fleet.store.write("config", catalog);
                fleet.run(100);
            }
            fleet.run(PROPAGATION_MAX_MS);
            assert_eq!(
                fleet.late(catalog),
                Vec::<&str>::new(),
                "before, seed {seed}"
            );
            if matches!(trouble, Trouble::HalfCut) {
                for gateway in fleet.gateways.iter_mut().skip(1).step_by(2) {
                    gateway.is_cut = true;
                }
            }
            let former = fleet.store.version;
            fleet.store.restore(&copy);
            if !passes {
                fleet.run(600);
            }
            if matches!(trouble, Trouble::Starts) {
                for index in (0..gateways).step_by(3) {
                    let fresh = Fleet::new(gateways, seed, |_| false);
                    let fresh = fresh.gateways.into_iter().nth(index).unwrap();
                    fleet.gateways[index] = fresh;
                }
                fleet.run(PROPAGATION_MAX_MS);
                assert_eq!(
                    fleet.late(catalog),
                    Vec::<&str>::new(),
                    "started, seed {seed}"
                );
            }
            // Operators write their state again, and then the next one.
            fleet.store.write("config", catalog);
            catalog += 1;
            fleet.store.write("config", catalog);
            while passes && fleet.store.version <= former {
                fleet.store.version += 1;
            }
            fleet.run(PROPAGATION_MAX_MS);
            assert_eq!(
                fleet.late(catalog),
                Vec::<&str>::new(),
                "after, seed {seed}"
            );
            for gateway in &mut fleet.gateways {
                gateway.is_cut = false;
            }
            fleet.run(2_000);
        }
        assert!(
            fleet.passed > fleet.refused,
            "{} requests that were passed on were served, {} refused",
            fleet.passed,
            fleet.refused
        );
    }
}

/// Two gateways of a zone that read at once for long would double the calls to the store.
#[test]
fn verify_restore_does_not_make_all_gateways_read() {
    let mut fleet = Fleet::new(100, 1, |_| false);
    fleet.run(4_000);
    let copy = fleet.store.clone();
    fleet.run(1_000);
    fleet.store.restore(&copy);
    let mut most = 0;
    for _ in 0..40 {
        fleet.run(TICK_MS);
        let reading = fleet
            .gateways
            .iter()
            .filter(|it| it.state != ReaderState::Idle);
        most = most.max(reading.count());
    }
    assert!(most <= 2 * ZONES.len(), "{most} gateways read at once");
}
