//! A run: sessions for a stated time, samples meanwhile, and a report.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use reqwest::Client;
use snafu::ResultExt;
use tokio::time;

use crate::caller::Callers;
use crate::errors::{ClientSnafu, Result};
use crate::probe::{self, Sampler, Spent};
use crate::profile;
use crate::report::{Percentiles, Report, RouterCost};
use crate::session::{Session, Shared};
use crate::tally::{End, Tally};

/// The time between two samples of the engines' load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// The time between two progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);

/// The parts of the run between which the largest organisation surges.
const SURGE: (f64, f64) = (0.4, 0.7);

/// What a run does.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The workload.
    pub workload: String,
    /// The model.
    pub model: String,
    /// The policy of the routers, for the report.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// How long requests are sent.
    pub time: Duration,
    /// The sessions at once.
    pub sessions: u64,
    /// The organisations.
    pub organisations: usize,
    /// How many times as many sessions the largest organisation has while it surges.
    pub surge: u64,
    /// The entries' addresses.
    pub entries: Vec<String>,
    /// The routers' addresses for metrics.
    pub routers: Vec<String>,
    /// The engines' addresses.
    pub engines: Vec<String>,
    /// The services' addresses.
    pub services: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            workload: "couloir".to_owned(),
            model: "sardine-7b".to_owned(),
            policy: "owner".to_owned(),
            seed: 1,
            time: Duration::from_secs(30),
            sessions: 40,
            organisations: 10,
            surge: 1,
            entries: Vec::new(),
            routers: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        }
    }
}

/// The phase of a run.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    begin: Instant,
    time: Duration,
    has_surge: bool,
}

impl Phase {
    /// Returns how long requests are still to be sent.
    pub fn left(&self) -> Duration {
        self.time.saturating_sub(self.begin.elapsed())
    }

    /// Returns whether no more requests are to be sent.
    pub fn is_over(&self) -> bool {
        self.begin.elapsed() >= self.time
    }

    /// Returns whether the largest organisation surges.
    pub fn is_surge(&self) -> bool {
        let part = self.begin.elapsed().as_secs_f64() / self.time.as_secs_f64();
        self.has_surge && part >= SURGE.0 && part < SURGE.1
    }
}

/// Runs a load and returns its report.
///
/// # Errors
///
/// `Error::Workload`, `Error::Client` or `Error::Histogram` if it cannot start.
pub async fn run(settings: Settings) -> Result<Report> {
    let client = Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(2))
        .build()
        .context(ClientSnafu)?;
    let before = spent(&client, &settings).await;
    let cold_before = cold_exceeded(&client, &settings).await;
    let shared = Arc::new(Shared {
        profile: profile::find(&settings.workload)?,
        model: settings.model.clone(),
        organisations: settings.organisations,
        seed: settings.seed,
        callers: Callers::new(settings.entries.clone())?,
        tally: Tally::new()?,
        phase: Phase {
            begin: Instant::now(),
            time: settings.time,
            has_surge: settings.surge > 1,
        },
    });
    let sampling = tokio::spawn(sample(
        Sampler::new(client.clone(), settings.engines.clone()),
        shared.phase,
    ));
    let progress = tokio::spawn(show_progress(shared.clone()));
    let surging = tokio::spawn(surge(shared.clone(), settings.clone()));
    let sessions = (0..settings.sessions).map(|number| {
        let session = Session::new(shared.clone(), number, false);
        tokio::spawn(session.run())
    });
    join_all(sessions).await;
    // The surge's sessions have ended with the run.
    let _ = surging.await;
    progress.abort();
    let seconds = shared.phase.begin.elapsed().as_secs_f64();
    let load = sampling.await.unwrap_or_default();
    let after = spent(&client, &settings).await;
    let runs = probe::runs(&client, &settings.services).await;
    let cold_after = cold_exceeded(&client, &settings).await;

    let mut report = report(&settings, &shared.tally);
    report.seconds = seconds;
    report.load_max_over_mean = load.max_over_mean;
    report.load = load;
    report.cold_limit_exceeded = cold_after.saturating_sub(cold_before);
    judge(&mut report, &shared.tally, &runs);
    report.routers = settings
        .routers
        .iter()
        .zip(before.into_iter().zip(after))
        .filter_map(|(router, (before, after))| {
            let before = before.unwrap_or_default();
            Some(RouterCost::between(router, before, after?, seconds))
        })
        .collect();
    report.control_bytes_per_s_max = report
        .routers
        .iter()
        .map(|router| router.control_bytes_per_s)
        .fold(0.0, f64::max);
    Ok(report)
}

async fn spent(client: &Client, settings: &Settings) -> Vec<Option<Spent>> {
    let reads = settings
        .routers
        .iter()
        .map(|router| probe::spent(client, router));
    join_all(reads).await
}

async fn cold_exceeded(client: &Client, settings: &Settings) -> u64 {
    let stats = probe::stats(client, &settings.engines).await;
    stats
        .into_iter()
        .flatten()
        .map(|stats| stats.cold_exceeded)
        .sum()
}

async fn sample(mut sampler: Sampler, phase: Phase) -> probe::Load {
    let mut ticks = time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    while !phase.is_over() {
        ticks.tick().await;
        sampler.sample().await;
    }
    sampler.judge()
}

async fn show_progress(shared: Arc<Shared>) {
    let mut ticks = time::interval(PROGRESS_PERIOD);
    loop {
        ticks.tick().await;
        let counts = shared.tally.counts.lock().clone();
        eprintln!(
            "{:>4} s  sent {}  completed {}  refused {}  unknown {}  cut or wrong {}",
            shared.phase.begin.elapsed().as_secs(),
            counts.sent,
            counts.completed,
            counts.refused_not_run,
            counts.refused_unknown,
            counts.cut_or_wrong
        );
    }
}

/// Adds sessions of the largest organisation while it surges.
async fn surge(shared: Arc<Shared>, settings: Settings) {
    if settings.surge <= 1 {
        return;
    }
    while !shared.phase.is_surge() && !shared.phase.is_over() {
        time::sleep(SAMPLE_PERIOD).await;
    }
    // The largest organisation has the first share of a harmonic series.
    let shares: f64 = (1..=settings.organisations)
        .map(|rank| 1.0 / rank as f64)
        .sum();
    let own = (settings.sessions as f64 / shares).ceil() as u64;
    let sessions = (0..own * (settings.surge - 1)).map(|number| {
        let session = Session::new(shared.clone(), settings.sessions + number, true);
        tokio::spawn(session.run())
    });
    join_all(sessions).await;
}

fn report(settings: &Settings, tally: &Tally) -> Report {
    let counts = tally.counts.lock().clone();
    Report {
        policy: settings.policy.clone(),
        workload: settings.workload.clone(),
        seed: settings.seed,
        sent: counts.sent,
        completed: counts.completed,
        completed_weighted: counts.completed_weighted,
        refused_not_run: counts.refused_not_run,
        refused_unknown: counts.refused_unknown,
        cut_or_wrong_answers: counts.cut_or_wrong,
        transport_errors: counts.transport_errors,
        cache_hit_ratio: counts.cached_tokens as f64 / counts.prompt_tokens.max(1) as f64,
        ttft_ms: Percentiles::of(&tally.first_token),
        itl_ms: Percentiles::of(&tally.between_tokens),
        others_ttft_in_surge_ms: Percentiles::of(&tally.others_in_surge),
        others_ttft_before_ms: Percentiles::of(&tally.others_before),
        refusals: counts.refusals,
        completed_by_kind: counts
            .by_kind
            .into_iter()
            .map(|(kind, count)| (kind.to_owned(), count))
            .collect(),
        ..Report::default()
    }
}

/// Holds what callers were told against what the services have counted.
fn judge(report: &mut Report, tally: &Tally, runs: &indexmap::IndexMap<String, u32>) {
    for (operation, verdict) in &tally.counts.lock().operations {
        let runs = runs.get(operation).copied().unwrap_or(0);
        report.duplicate_runs += u64::from(runs > 1);
        let is_not_run = verdict.end == End::NotRun && !verdict.may_have_run;
        report.false_not_run += u64::from(is_not_run && runs > 0);
        report.false_completed += u64::from(verdict.end == End::Completed && runs == 0);
    }
}
