//! A stand-in for a model engine.
//!
//! It batches requests continuously in a fixed number of slots, by priority, and stops generating when a caller
//! disconnects. It caches prompt prefixes up to a number of tokens and resumes answers at an offset. Its load report
//! lags, its cache events are late and partly lost, and while it is cold, more than a few concurrent requests make it
//! restart.

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

/// The parameters of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the engine. It is informative only.
    pub id: SmolStr,
    /// The name of the model. It is informative only: requests for any model are answered.
    pub model: SmolStr,
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// The number of requests that are batched at once.
    pub slots: u32,
    /// The greatest number of concurrent requests that the engine handles while it is cold; one more makes it restart.
    pub cold_limit: u32,
    /// The number of completions after which the engine is warm.
    pub warmup_completions: u64,
    /// The capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// The time to compute one prompt token, in microseconds.
    pub prefill_us: u64,
    /// The time to generate one token with an empty batch, in microseconds; with a full batch it is twice as long.
    pub token_us: u64,
    /// The delay of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// The delay of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in this many is never published; values below 2 count as 2.
    pub event_loss_interval: u64,
    /// The time for which the engine refuses requests after a restart, in milliseconds.
    pub restart_ms: u64,
    /// Whether the engine is warm when it starts.
    pub starts_warm: bool,
    /// The time to load a duty, in milliseconds.
    pub duty_load_ms: u64,
    /// Whether the engine ignores the fencing numbers of orders and so also carries out outdated ones.
    pub ignores_fencing: bool,
}

/// The counters and the state of an engine: the answer to `GET /standin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// The number of requests in progress, including those that wait for a slot.
    pub running: u32,
    /// The number of accepted requests.
    pub accepted: u64,
    /// The number of completed requests.
    pub completed: u64,
    /// The number of requests that ended early: the caller disconnected or the engine restarted.
    pub cancelled: u64,
    /// The number of requests that exceeded the limit of the cold engine.
    pub cold_exceeded: u64,
    /// Whether the engine is cold.
    pub is_cold: bool,
    /// The incarnation, which increases whenever the engine loses its cache.
    pub incarnation: u64,
    /// The number of prompt tokens of completed requests.
    pub prompt_tokens: u64,
    /// The number of these prompt tokens that were cached.
    pub cached_tokens: u64,
}

/// A stand-in engine, which its routes share.
pub struct Engine {
    /// The parameters.
    pub settings: Settings,
    /// The slots of the batch.
    pub slots: Slots,
    /// The prefix cache.
    pub cache: Mutex<Cache>,
    /// The counters.
    pub stats: Mutex<Stats>,
    /// The load report, delayed by `Settings::report_lag_ms`.
    pub load_report: Mutex<Load>,
    /// The number of restarts; streams that began under a smaller number are cut.
    pub generation: watch::Sender<u64>,
    /// The number of completions since the engine last became cold; it starts at `Settings::warmup_completions` if the
    /// engine starts warm.
    pub completions_since_cold: AtomicU64,
    /// The time until which the engine refuses requests because of a restart.
    pub restarting_until: Mutex<Option<Instant>>,
    /// The duty that was last ordered.
    pub duty: Mutex<DutyState>,
    /// The accepted orders, oldest first.
    pub orders: Mutex<Vec<Order>>,
    /// Whether the engine holds requests that have a slot without answering them.
    pub is_hung: AtomicBool,
}

impl Engine {
    /// Creates an engine with an empty cache and a random incarnation.
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

    /// Returns whether the engine is cold: fewer requests than `Settings::warmup_completions` have completed.
    pub fn is_cold(&self) -> bool {
        self.completions_since_cold.load(Ordering::SeqCst) < self.settings.warmup_completions
    }

    /// Returns whether the engine refuses requests because it is restarting.
    pub fn is_restarting(&self) -> bool {
        let until = *self.restarting_until.lock();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Restarts the engine: all running streams are cut, the cache is empty, and the engine is cold. New requests are
    /// refused for `Settings::restart_ms`.
    pub fn restart(&self) {
        let pause = Duration::from_millis(self.settings.restart_ms);
        *self.restarting_until.lock() = Some(Instant::now() + pause);
        self.reset_to_cold();
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Makes the engine cold without a restart: the cache is empty and the incarnation increases, but no cache event is
    /// published and running requests continue.
    pub fn reset_to_cold(&self) {
        self.completions_since_cold.store(0, Ordering::SeqCst);
        self.stats.lock().incarnation += 1;
        self.cache.lock().clear();
    }

    /// Carries out an order and returns whether it was accepted. An order with a smaller fencing number than an earlier
    /// one is rejected unless `Settings::ignores_fencing` is set. Loading the duty takes `Settings::duty_load_ms`; an
    /// order for the present duty is accepted without loading it again.
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

    /// Returns the counters, with the present value of `is_cold`.
    pub fn stats(&self) -> Stats {
        let mut stats = self.stats.lock().clone();
        stats.is_cold = self.is_cold();
        stats
    }
}

/// Updates the load report forever, each time with the counters of `Settings::report_lag_ms` earlier.
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

/// Serves an engine until the server is told to stop.
///
/// # Errors
///
/// `Error::Host` if the server cannot listen on its address.
pub async fn run(settings: Settings) -> Result<()> {
    let address = settings.address;
    let engine = Arc::new(Engine::new(settings));
    tokio::spawn(update_load_report(engine.clone()));
    let server = serve::build(address, routes::routes()).manage(engine);
    serve::launch(server).await
}
