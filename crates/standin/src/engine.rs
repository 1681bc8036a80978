//! A model engine: continuous batching with slots, a prefix cache in limited memory, priorities,
//! cancellation, resumption, a lagging load report, late cache events with gaps, and a cold start
//! during which it falls over above a small concurrency.

pub mod cache;
pub mod routes;
pub mod slots;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use sardinemux_wire::target::{DutyState, Load, Order};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time;

use crate::errors::Result;
use crate::serve;
use cache::Cache;
use slots::Slots;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name.
    pub id: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The address.
    pub address: SocketAddr,
    /// The requests that it batches at once.
    pub slots: u32,
    /// The requests that it bears while cold.
    pub cold_limit: u32,
    /// The completions after which it is warm.
    pub warmup_completions: u64,
    /// The tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// The time to compute one prompt token, in microseconds.
    pub prefill_us: u64,
    /// The time to generate one token, in microseconds, with an empty batch; it doubles with a full one.
    pub token_us: u64,
    /// How far the load report lags, in milliseconds.
    pub report_lag_ms: u64,
    /// How far cache events lag, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in this many is never published.
    pub event_loss_interval: u64,
    /// How long it refuses requests after a restart, in milliseconds.
    pub restart_ms: u64,
    /// Whether it starts warm.
    pub starts_warm: bool,
    /// How long it loads a duty, in milliseconds.
    pub duty_load_ms: u64,
    /// Whether it ignores the fencing numbers of orders.
    pub ignores_fencing: bool,
}

/// What an engine has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// The requests in progress.
    pub running: u32,
    /// The requests that were taken.
    pub accepted: u64,
    /// The requests that were completed.
    pub completed: u64,
    /// The requests whose caller left.
    pub cancelled: u64,
    /// The requests that arrived while the engine was cold and had as many as it bears.
    pub cold_exceeded: u64,
    /// Whether it is cold.
    pub is_cold: bool,
    /// The incarnation.
    pub incarnation: u64,
    /// The tokens of all prompts.
    pub prompt_tokens: u64,
    /// The prompt tokens that were cached.
    pub cached_tokens: u64,
}

/// An engine.
pub struct Engine {
    /// What it is like.
    pub settings: Settings,
    /// The batch.
    pub slots: Slots,
    /// The prefix cache.
    pub cache: Mutex<Cache>,
    /// What it has counted.
    pub stats: Mutex<Stats>,
    /// The lagging report.
    pub load_report: Mutex<Load>,
    /// Raised by each restart; streams of an earlier one end.
    pub generation: watch::Sender<u64>,
    /// Completions since it last became cold.
    pub completions_since_cold: AtomicU64,
    /// Until when it refuses requests.
    pub restarting_until: Mutex<Option<Instant>>,
    /// What it was ordered to do.
    pub duty: Mutex<DutyState>,
    /// The orders that it took.
    pub orders: Mutex<Vec<Order>>,
    /// Whether it keeps accepted requests without answering.
    pub is_hung: AtomicBool,
}

impl Engine {
    /// Creates an engine.
    pub fn new(settings: Settings) -> Self {
        let incarnation = rand::random::<u32>().into();
        let completions_since_cold = match settings.starts_warm {
            true => settings.warmup_completions,
            false => 0,
        };
        Self {
            slots: Slots::new(settings.slots),
            cache: Mutex::new(Cache::new(&settings)),
            stats: Mutex::new(Stats {
                incarnation,
                ..Stats::default()
            }),
            load_report: Mutex::new(Load {
                running: 0,
                incarnation,
            }),
            generation: watch::Sender::new(0),
            completions_since_cold: AtomicU64::new(completions_since_cold),
            restarting_until: Mutex::new(None),
            duty: Mutex::default(),
            orders: Mutex::default(),
            is_hung: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns whether it is cold.
    pub fn is_cold(&self) -> bool {
        self.completions_since_cold.load(Ordering::SeqCst) < self.settings.warmup_completions
    }

    /// Returns whether it refuses requests at the moment.
    pub fn is_restarting(&self) -> bool {
        let until = *self.restarting_until.lock();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Restarts: all streams are cut, the cache is gone, and it is cold.
    pub fn restart(&self) {
        let pause = Duration::from_millis(self.settings.restart_ms);
        *self.restarting_until.lock() = Some(Instant::now() + pause);
        self.reset_to_cold();
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Turns cold without a word: the cache is gone, requests go on.
    pub fn reset_to_cold(&self) {
        self.completions_since_cold.store(0, Ordering::SeqCst);
        self.stats.lock().incarnation += 1;
        self.cache.lock().clear();
    }

    /// Takes an order; returns whether it did. One that is carried out already changes nothing.
    pub fn apply_order(self: &Arc<Self>, order: Order) -> bool {
        {
            let mut state = self.duty.lock();
            if order.number < state.number && !self.settings.ignores_fencing {
                return false;
            }
            if !self.settings.ignores_fencing {
                state.number = order.number;
            }
            self.orders.lock().push(order.clone());
            if state.duty == order.duty {
                return true;
            }
            state.duty = order.duty;
            state.is_loading = true;
        }
        let engine = self.clone();
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(engine.settings.duty_load_ms)).await;
            engine.duty.lock().is_loading = false;
        });
        true
    }

    /// Returns what it has counted.
    pub fn stats(&self) -> Stats {
        let mut stats = self.stats.lock().clone();
        stats.is_cold = self.is_cold();
        stats
    }
}

/// Keeps the report behind by the lag.
async fn update_load_report(engine: Arc<Engine>) {
    loop {
        let stats = engine.stats();
        time::sleep(Duration::from_millis(engine.settings.report_lag_ms)).await;
        *engine.load_report.lock() = Load {
            running: stats.running,
            incarnation: stats.incarnation,
        };
    }
}

/// Serves an engine until the process ends.
///
/// # Errors
///
/// `Error::Host` if the port cannot be listened on.
pub async fn run(settings: Settings) -> Result<()> {
    let address = settings.address;
    let engine = Arc::new(Engine::new(settings));
    tokio::spawn(update_load_report(engine.clone()));
    let server = serve::build(address, routes::routes()).manage(engine);
    serve::launch(server).await
}
