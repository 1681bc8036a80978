//! Several gateways in this process before one store, which may turn away any of them for any topic.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use sardinemux_core::catalog::Definition;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{self, Batch, Entry, Fact, Member, Source, Topic};
use smol_str::SmolStr;
use tokio::time;

use super::harness::{self, exchange};

/// How long a fleet may take to begin. It bounds a hanging test; no verdict depends on it.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long a watch of the store lasts without news.
const WATCH: Duration = Duration::from_millis(500);

/// How long a starting gateway listens: two rounds of reports.
const LISTEN_MS: u64 = 600;

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    topics: IndexMap<Topic, IndexMap<SmolStr, Entry>>,
    turned_away: IndexSet<(SmolStr, Topic)>,
    /// The gateways that were served, by topic, with the number of their calls.
    served: IndexMap<(SmolStr, Topic), usize>,
    /// Raised when open watches fall silent.
    silenced: u64,
}

/// A store in this process.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<Rows>>);

impl Store {
    /// Writes an entry, or removes it.
    pub fn put(&self, topic: Topic, key: &str, fact: Option<Fact>) {
        let mut rows = self.0.lock();
        rows.version += 1;
        let entry = Entry {
            key: key.into(),
            fact,
            version: rows.version,
            may_return: false,
        };
        let topic = rows.topics.entry(topic).or_default();
        topic.insert(key.into(), entry);
    }

    /// Lets open watches fall silent for good; new calls are answered.
    pub fn silence(&self) {
        self.0.lock().silenced += 1;
    }

    /// Turns away every gateway that was served a topic so far.
    pub fn turn_away_readers(&self, topic: Topic) -> usize {
        let mut rows = self.0.lock();
        let served = rows.served.keys().filter(|(_, its)| *its == topic);
        let readers: Vec<_> = served.cloned().collect();
        rows.turned_away.extend(readers.clone());
        readers.len()
    }

    /// Returns how many gateways were served a topic so far.
    pub fn readers(&self, topic: Topic) -> usize {
        let rows = self.0.lock();
        rows.served.keys().filter(|(_, its)| *its == topic).count()
    }

    fn read(&self, name: &SmolStr, topic: Topic, since: u64) -> source::Result<Batch> {
        let mut rows = self.0.lock();
        let reader = (name.clone(), topic);
        if rows.turned_away.contains(&reader) {
            return Err(source::Error::Refused { status: 429 });
        }
        *rows.served.entry(reader).or_default() += 1;
        let entries = rows
            .topics
            .get(&topic)
            .into_iter()
            .flat_map(IndexMap::values);
        let entries = entries.filter(|entry| match since {
            0 => entry.fact.is_some(),
            _ => entry.version > since,
        });
        Ok(Batch {
            entries: entries.cloned().collect(),
            version: rows.version,
        })
    }

    async fn watch(&self, name: &SmolStr, topic: Topic, since: u64) -> source::Result<Batch> {
        let until = time::Instant::now() + WATCH;
        let silenced = self.0.lock().silenced;
        loop {
            if self.0.lock().silenced != silenced {
                std::future::pending::<()>().await;
            }
            let batch = self.read(name, topic, since)?;
            if !batch.entries.is_empty() || time::Instant::now() >= until {
                return Ok(batch);
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the store as one gateway reads it.
    pub fn source(&self, name: &SmolStr) -> Source {
        let (lists, watches, enlists) = (self.clone(), self.clone(), self.clone());
        let (lister, watcher) = (name.clone(), name.clone());
        Source {
            list: Box::new(move |topic| {
                let batch = lists.read(&lister, topic, 0);
                async move { batch }.boxed()
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
        }
    }
}

/// Some gateways of several zones before one store.
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// Where each gateway shows its metrics.
    pub metrics: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts gateways, dealt over zones in turn, and waits until all know the first catalogue.
    pub async fn start(count: usize, zones: usize) -> Self {
        let store = Store::default();
        store.put(Topic::Operators, "config", Some(catalog(1)));
        let target = harness::announcement("t0", "127.0.0.1:1");
        store.put(Topic::Targets, "t0", Some(Fact::Target(target)));
        let mut metrics = Vec::new();
        for index in 0..count {
            let settings = Settings {
                name: format!("g{index}").into(),
                zone: format!("z{}", index % zones).into(),
                listen_ms: LISTEN_MS,
                ..harness::settings()
            };
            metrics.push(settings.metrics_address);
            let source = store.source(&settings.name);
            harness::spawn(settings, source);
        }
        let fleet = Self { store, metrics };
        let begun = time::timeout(PATIENCE, fleet.wait_for_version(1));
        begun.await.expect("a gateway does not begin");
        fleet
    }

    /// Waits until every gateway has a version of the catalogue in force.
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

/// Returns an empty catalogue of a version.
pub fn catalog(version: u64) -> Fact {
    catalog_of(Definition {
        version,
        ..Definition::default()
    })
}

/// Returns a catalogue.
pub fn catalog_of(definition: Definition) -> Fact {
    Fact::Catalog(Arc::new(definition))
}
