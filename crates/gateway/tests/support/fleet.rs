//! Several gateways in one process that share one in-memory store, which can reject any of them for any topic.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{self, FutureExt};
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use sardinemux_core::catalog::Definition;
use sardinemux_core::origin::{Origin, Proposal};
use sardinemux_core::position::{Era, Position};
use sardinemux_core::rollout::Status;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{
    self, Batch, Entry, Fact, Held, Member, Source, StatusProposal, StoredStatus, Topic,
    UNKNOWN_KEY, WATCH_WAIT,
};
use smol_str::SmolStr;
use tokio::time;

use super::harness::{self, exchange};

/// The time limit for the start of a fleet. It ends a hanging test; no result depends on it.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The time after which a call that the store never answers fails, in addition to that of a watch: the store client's.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time for which a starting gateway waits for reports: more than two rounds of them.
const DISCOVERY_MS: u64 = 600;

#[derive(Debug, Default)]
struct State {
    era: Era,
    version: u64,
    topics: IndexMap<Topic, IndexMap<SmolStr, Entry>>,
    rejected: IndexSet<(SmolStr, Topic)>,
    /// Whether every list and watch is rejected.
    rejects_all: bool,
    /// The gateways whose calls, pending ones included, are never answered.
    silenced: IndexSet<SmolStr>,
    /// The number of successful calls of each gateway for each topic.
    served: IndexMap<(SmolStr, Topic), usize>,
    /// Counts the calls of [`Store::hang_watches`].
    hang_count: u64,
    /// Whether the next write of the origins of streams gets no answer.
    loses_answer: bool,
    /// The statuses of rollouts by pool, each with its version.
    statuses: IndexMap<SmolStr, (Status, u64)>,
    /// All statuses that were written.
    written: Vec<Status>,
    /// The number of calls for statuses.
    status_calls: usize,
    /// Whether watches show orders of rollouts as an earlier build reads them.
    hides_orders: bool,
    /// Whether calls for statuses fail.
    rejects_statuses: bool,
}

impl State {
    fn position(&self) -> Position {
        Position::new(self.era, self.version)
    }
}

/// What a store held at some time.
#[derive(Clone, Debug)]
pub struct Copy {
    version: u64,
    topics: IndexMap<Topic, IndexMap<SmolStr, Entry>>,
}

/// An in-memory store.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<State>>);

impl Store {
    /// Writes an entry, or removes it if `fact` is `None`.
    pub fn put(&self, topic: Topic, key: &str, fact: Option<Fact>) {
        let mut state = self.0.lock();
        state.version += 1;
        let entry = Entry {
            key: key.into(),
            fact,
            position: state.position(),
            may_return: false,
        };
        let topic = state.topics.entry(topic).or_default();
        topic.insert(key.into(), entry);
    }

    /// States an era from now on.
    pub fn begin_era(&self) {
        self.0.lock().era = Some(1);
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Copy {
        let state = self.0.lock();
        Copy {
            version: state.version,
            topics: state.topics.clone(),
        }
    }

    /// Comes back from a copy, in a later era.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.0.lock();
        let era = state.era.map(|era| era + 1);
        state.era = era;
        state.version = copy.version;
        state.topics = copy.topics;
        for entry in state.topics.values_mut().flat_map(IndexMap::values_mut) {
            entry.position = entry.position.in_era(era);
        }
    }

    /// Returns the era, if the store states one.
    pub fn era(&self) -> Era {
        self.0.lock().era
    }

    /// Returns the number of entries of a topic.
    pub fn count(&self, topic: Topic) -> usize {
        let state = self.0.lock();
        let entries = state.topics.get(&topic).into_iter();
        entries
            .flat_map(IndexMap::values)
            .filter(|entry| entry.fact.is_some())
            .count()
    }

    /// Lets open watches hang forever; new calls are answered.
    pub fn hang_watches(&self) {
        self.0.lock().hang_count += 1;
    }

    /// Carries out the next write of the origins of streams, and never answers it.
    pub fn lose_answer_of_record(&self) {
        self.0.lock().loses_answer = true;
    }

    /// Lets calls for the statuses of rollouts fail, or succeed again.
    pub fn reject_statuses(&self, is_rejecting: bool) {
        self.0.lock().rejects_statuses = is_rejecting;
    }

    /// Lets watches show orders of rollouts from now on as an earlier build reads them.
    pub fn hide_orders_from_watches(&self) {
        self.0.lock().hides_orders = true;
    }

    /// Returns all statuses of rollouts that were written.
    pub fn statuses(&self) -> Vec<Status> {
        self.0.lock().written.clone()
    }

    /// Returns the number of calls for the statuses of rollouts.
    pub fn status_calls(&self) -> usize {
        self.0.lock().status_calls
    }

    fn read_status(&self, pool: &SmolStr) -> source::Result<StoredStatus> {
        let mut state = self.0.lock();
        state.status_calls += 1;
        if state.rejects_statuses {
            return Err(source::Error::Refused { status: 429 });
        }
        let found = state.statuses.get(pool);
        let version = found.map_or(0, |(_, version)| *version);
        Ok(StoredStatus {
            status: found.map(|(status, _)| status.clone()),
            position: Position::new(state.era, version),
        })
    }

    fn write_status(&self, proposal: StatusProposal) -> source::Result<bool> {
        let found = self.read_status(&proposal.pool)?;
        if found.position.version != proposal.expected.version {
            return Ok(false);
        }
        let mut state = self.0.lock();
        state.version += 1;
        let version = state.version;
        state.written.push(proposal.status.clone());
        let written = (proposal.status, version);
        state.statuses.insert(proposal.pool, written);
        Ok(true)
    }

    /// Rejects every list and watch from now on.
    pub fn reject_all(&self) {
        self.0.lock().rejects_all = true;
    }

    /// Rejects from now on every gateway that was served a topic so far. Returns their number.
    pub fn reject_readers(&self, topic: Topic) -> usize {
        let mut state = self.0.lock();
        let served = state.served.keys().filter(|(_, its)| *its == topic);
        let readers: Vec<_> = served.cloned().collect();
        state.rejected.extend(readers.clone());
        readers.len()
    }

    /// Leaves every call of the gateways that were served a topic so far unanswered from now on, and every call of
    /// `others` further ones. Returns the number of the former.
    pub fn silence_readers(&self, topic: Topic, others: usize) -> usize {
        let mut state = self.0.lock();
        let served = state.served.keys().filter(|(_, its)| *its == topic);
        let readers: IndexSet<SmolStr> = served.map(|(name, _)| name.clone()).collect();
        let members = state.topics.get(&Topic::Members).into_iter().flatten();
        let idle = members.map(|(name, _)| name.clone());
        let idle: Vec<_> = idle.filter(|name| !readers.contains(name)).collect();
        let silenced = readers.iter().cloned().chain(idle.into_iter().take(others));
        state.silenced = silenced.collect();
        readers.len()
    }

    fn is_silenced(&self, name: &SmolStr) -> bool {
        self.0.lock().silenced.contains(name)
    }

    /// Answers a list of a topic.
    async fn list(&self, name: &SmolStr, topic: Topic) -> source::Result<Batch> {
        if self.is_silenced(name) {
            return time_out(CALL_TIMEOUT).await;
        }
        self.read(name, topic, None)
    }

    /// Returns the number of gateways that were served a topic so far.
    pub fn readers(&self, topic: Topic) -> usize {
        let state = self.0.lock();
        state.served.keys().filter(|(_, its)| *its == topic).count()
    }

    fn read(&self, name: &SmolStr, topic: Topic, since: Option<Position>) -> source::Result<Batch> {
        let mut state = self.0.lock();
        let reader = (name.clone(), topic);
        if state.rejects_all || state.rejected.contains(&reader) {
            return Err(source::Error::Refused { status: 429 });
        }
        *state.served.entry(reader).or_default() += 1;
        let entries = state
            .topics
            .get(&topic)
            .into_iter()
            .flat_map(IndexMap::values);
        let entries = entries.filter(|entry| match since {
            None => entry.fact.is_some(),
            Some(since) => entry.position > since,
        });
        Ok(Batch {
            entries: entries.cloned().collect(),
            position: state.position(),
        })
    }

    async fn watch(&self, name: &SmolStr, topic: Topic, since: Position) -> source::Result<Batch> {
        let until = time::Instant::now() + WATCH_WAIT;
        let silenced = self.0.lock().hang_count;
        loop {
            if self.0.lock().hang_count != silenced {
                std::future::pending::<()>().await;
            }
            if self.is_silenced(name) {
                let left = until.saturating_duration_since(time::Instant::now());
                return time_out(left + CALL_TIMEOUT).await;
            }
            if since.era != self.era() {
                return Err(source::Error::Expired { since });
            }
            let mut batch = self.read(name, topic, Some(since))?;
            if self.0.lock().hides_orders {
                for entry in &mut batch.entries {
                    if matches!(entry.fact, Some(Fact::Rollout(_))) {
                        entry.fact = Some(Fact::Unreadable(UNKNOWN_KEY.into()));
                    }
                }
            }
            if !batch.entries.is_empty() || time::Instant::now() >= until {
                return Ok(batch);
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns a source through which the gateway `name` reads this store.
    pub fn source(&self, name: &SmolStr) -> Source {
        let (lists, watches, enlists) = (self.clone(), self.clone(), self.clone());
        let holds = self.clone();
        let (advances, records, finds) = (self.clone(), self.clone(), self.clone());
        let (eras, reads, writes) = (self.clone(), self.clone(), self.clone());
        let (lister, watcher) = (name.clone(), name.clone());
        Source {
            list: Box::new(move |topic| {
                let (store, name) = (lists.clone(), lister.clone());
                async move { store.list(&name, topic).await }.boxed()
            }),
            watch: Box::new(move |topic, since| {
                let (store, name) = (watches.clone(), watcher.clone());
                async move { store.watch(&name, topic, since).await }.boxed()
            }),
            register: Box::new(move |member: Member, is_member| {
                let fact = is_member.then(|| Fact::Member(member.clone()));
                enlists.put(Topic::Members, &member.name, fact);
                async { Ok(()) }.boxed()
            }),
            hold: Box::new(move |held: Held, is_held| {
                let key = format!("{:016x}", held.part);
                holds.put(Topic::Quarantine, &key, is_held.then_some(Fact::Held(held)));
                async { Ok(()) }.boxed()
            }),
            advance_builds: Box::new(move |proposal| {
                let store = advances.clone();
                async move { Ok(store.advance(proposal)) }.boxed()
            }),
            record_origins: Box::new(move |origins, removals| {
                for origin in origins {
                    let key = format!("{:016x}", origin.stream);
                    records.put(Topic::Origins, &key, Some(Fact::Origin(origin)));
                }
                for stream in removals {
                    records.put(Topic::Origins, &format!("{stream:016x}"), None);
                }
                match std::mem::take(&mut records.0.lock().loses_answer) {
                    true => future::pending().boxed(),
                    false => async { Ok(()) }.boxed(),
                }
            }),
            find_origin: Box::new(move |stream| {
                let found = finds.origin(stream);
                async move { Ok(found) }.boxed()
            }),
            read_status: Box::new(move |pool| {
                let found = reads.read_status(&pool);
                async move { found }.boxed()
            }),
            write_status: Box::new(move |proposal| {
                let written = writes.write_status(proposal);
                async move { written }.boxed()
            }),
            era: Box::new(move || eras.era()),
            received: Box::new(|_| 0),
        }
    }

    /// Writes the builds of a pool if they have the expected version.
    fn advance(&self, proposal: Proposal) -> bool {
        let key = proposal.pool;
        let version = {
            let state = self.0.lock();
            let builds = state.topics.get(&Topic::Builds);
            let entry = builds.and_then(|builds| builds.get(&key));
            entry.map_or(0, |entry| entry.position.version)
        };
        let is_expected = version == proposal.expected.version;
        if is_expected {
            let epoch = proposal.epoch;
            let written = proposal.expected.era;
            self.put(Topic::Builds, &key, Some(Fact::Builds { epoch, written }));
        }
        is_expected
    }

    fn origin(&self, stream: u64) -> Option<Origin> {
        let state = self.0.lock();
        let key = SmolStr::from(format!("{stream:016x}"));
        match &state.topics.get(&Topic::Origins)?.get(&key)?.fact {
            Some(Fact::Origin(origin)) => Some(origin.clone()),
            _ => None,
        }
    }
}

/// Fails like a call that has no answer within its time limit.
async fn time_out(limit: Duration) -> source::Result<Batch> {
    time::sleep(limit).await;
    Err(source::Error::Unanswered {
        reason: "no answer in time".into(),
    })
}

/// Gateways of several availability zones that share one store.
pub struct Fleet {
    /// The shared store.
    pub store: Store,
    /// The address on which each gateway serves its metrics.
    pub metrics: Vec<SocketAddr>,
    /// The address on which each gateway serves callers.
    pub callers: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts gateways, assigned to zones in turn, and waits until all have the first catalogue in force.
    pub async fn start(count: usize, zones: usize) -> Self {
        let store = Store::default();
        store.put(Topic::Operators, "config", Some(catalog(1)));
        let target = harness::announcement("t0", "127.0.0.1:1");
        store.put(Topic::Targets, "t0", Some(Fact::Target(target)));
        Self::start_before(store, count, zones).await
    }

    /// Starts gateways before a store that has the first catalogue and a target.
    pub async fn start_before(store: Store, count: usize, zones: usize) -> Self {
        let (mut metrics, mut callers) = (Vec::new(), Vec::new());
        for index in 0..count {
            let settings = Settings {
                name: format!("g{index}").into(),
                zone: format!("z{}", index % zones).into(),
                discovery_ms: DISCOVERY_MS,
                ..harness::settings()
            };
            metrics.push(settings.metrics_address);
            callers.push(settings.caller_address);
            let source = store.source(&settings.name);
            harness::spawn(settings, source);
        }
        let fleet = Self {
            store,
            metrics,
            callers,
        };
        let started = time::timeout(START_TIMEOUT, fleet.wait_for_version(1));
        started
            .await
            .expect("a gateway did not put the first catalogue in force in time");
        fleet
    }

    /// Waits until every gateway has a given version of the catalogue in force.
    pub async fn wait_for_version(&self, version: u64) {
        let line = format!("gateway_catalog_version {version}\n");
        for address in &self.metrics {
            let request = "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
            while tokio::net::TcpStream::connect(address).await.is_err()
                || !exchange(*address, request).await.contains(&line)
            {
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Returns an entry with an empty catalogue of a version.
pub fn catalog(version: u64) -> Fact {
    catalog_of(Definition {
        version,
        ..Definition::default()
    })
}

/// Returns an entry with a catalogue.
pub fn catalog_of(definition: Definition) -> Fact {
    Fact::Catalog(Arc::new(definition))
}
