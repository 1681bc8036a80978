//! A run: sessions for a stated time, samples meanwhile, and a report.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use reqwest::Client;
use snafu::ResultExt;
use tokio::time;

use crate::caller::Caller;
use crate::errors::{ClientSnafu, Result};
use crate::probe::{self, Sampler, Usage};
use crate::profile;
use crate::recorder::{Recorder, Status};
use crate::report::{Percentiles, Report, RouterCost};
use crate::session::{Context, Session};

/// The time between two samples of the engines' load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// The time between two progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);

/// The parts of the run between which the largest organisation surges.
const SURGE_SPAN: (f64, f64) = (0.4, 0.7);

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
    pub duration: Duration,
    /// The sessions at once.
    pub sessions: u64,
    /// The organisations.
    pub organisations: usize,
    /// How many times as many sessions the largest organisation has while it surges.
    pub surge_factor: u64,
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
            duration: Duration::from_secs(30),
            sessions: 40,
            organisations: 10,
            surge_factor: 1,
            entries: Vec::new(),
            routers: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
        }
    }
}

/// The phase of a run.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    start: Instant,
    duration: Duration,
    has_surge: bool,
}

impl Schedule {
    /// Returns how long requests are still to be sent.
    pub fn time_left(&self) -> Duration {
        self.duration.saturating_sub(self.start.elapsed())
    }

    /// Returns whether no more requests are to be sent.
    pub fn is_over(&self) -> bool {
        self.start.elapsed() >= self.duration
    }

    /// Returns whether the largest organisation surges.
    pub fn is_surging(&self) -> bool {
        let elapsed_ratio = self.start.elapsed().as_secs_f64() / self.duration.as_secs_f64();
        self.has_surge && elapsed_ratio >= SURGE_SPAN.0 && elapsed_ratio < SURGE_SPAN.1
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
    let before = read_router_usage(&client, &settings).await;
    let cold_before = read_cold_exceeded(&client, &settings).await;
    let context = Arc::new(Context {
        profile: profile::find(&settings.workload)?,
        model: settings.model.clone(),
        organisations: settings.organisations,
        seed: settings.seed,
        caller: Caller::new(settings.entries.clone())?,
        recorder: Recorder::new()?,
        schedule: Schedule {
            start: Instant::now(),
            duration: settings.duration,
            has_surge: settings.surge_factor > 1,
        },
    });
    let sampling = tokio::spawn(sample_load(
        Sampler::new(client.clone(), settings.engines.clone()),
        context.schedule,
    ));
    let progress = tokio::spawn(print_progress(context.clone()));
    let surging = tokio::spawn(run_surge(context.clone(), settings.clone()));
    let sessions = (0..settings.sessions).map(|number| {
        let session = Session::new(context.clone(), number, false);
        tokio::spawn(session.run())
    });
    join_all(sessions).await;
    // The surge's sessions have ended with the run.
    let _ = surging.await;
    progress.abort();
    let seconds = context.schedule.start.elapsed().as_secs_f64();
    let imbalance = sampling.await.unwrap_or_default();
    let after = read_router_usage(&client, &settings).await;
    let runs = probe::read_run_counts(&client, &settings.services).await;
    let cold_after = read_cold_exceeded(&client, &settings).await;

    let mut report = build_report(&settings, &context.recorder);
    report.seconds = seconds;
    report.load_max_over_mean = imbalance.max_over_mean;
    report.load = imbalance;
    report.cold_limit_exceeded = cold_after.saturating_sub(cold_before);
    check_operations(&mut report, &context.recorder, &runs);
    report.routers = settings
        .routers
        .iter()
        .zip(before.into_iter().zip(after))
        .filter_map(|(router, (before, after))| {
            let before = before.unwrap_or_default();
            Some(RouterCost::from_usage(router, before, after?, seconds))
        })
        .collect();
    report.control_bytes_per_s_max = report
        .routers
        .iter()
        .map(|router| router.control_bytes_per_s)
        .fold(0.0, f64::max);
    Ok(report)
}

async fn read_router_usage(client: &Client, settings: &Settings) -> Vec<Option<Usage>> {
    let reads = settings
        .routers
        .iter()
        .map(|router| probe::read_usage(client, router));
    join_all(reads).await
}

async fn read_cold_exceeded(client: &Client, settings: &Settings) -> u64 {
    let stats = probe::read_engine_stats(client, &settings.engines).await;
    stats
        .into_iter()
        .flatten()
        .map(|stats| stats.cold_exceeded)
        .sum()
}

async fn sample_load(mut sampler: Sampler, schedule: Schedule) -> probe::Imbalance {
    let mut ticks = time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    while !schedule.is_over() {
        ticks.tick().await;
        sampler.sample().await;
    }
    sampler.compute_imbalance()
}

async fn print_progress(context: Arc<Context>) {
    let mut ticks = time::interval(PROGRESS_PERIOD);
    loop {
        ticks.tick().await;
        let counts = context.recorder.counts.lock().clone();
        eprintln!(
            "{:>4} s  sent {}  completed {}  refused {}  unknown {}  cut or wrong {}",
            context.schedule.start.elapsed().as_secs(),
            counts.sent,
            counts.completed,
            counts.refused_not_run,
            counts.refused_unknown,
            counts.cut_or_wrong
        );
    }
}

/// Adds sessions of the largest organisation while it surges.
async fn run_surge(context: Arc<Context>, settings: Settings) {
    if settings.surge_factor <= 1 {
        return;
    }
    while !context.schedule.is_surging() && !context.schedule.is_over() {
        time::sleep(SAMPLE_PERIOD).await;
    }
    // The largest organisation has the first share of a harmonic series.
    let shares: f64 = (1..=settings.organisations)
        .map(|rank| 1.0 / rank as f64)
        .sum();
    let base_sessions = (settings.sessions as f64 / shares).ceil() as u64;
    let sessions = (0..base_sessions * (settings.surge_factor - 1)).map(|number| {
        let session = Session::new(context.clone(), settings.sessions + number, true);
        tokio::spawn(session.run())
    });
    join_all(sessions).await;
}

fn build_report(settings: &Settings, recorder: &Recorder) -> Report {
    let counts = recorder.counts.lock().clone();
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
        ttft_ms: Percentiles::from_histogram(&recorder.ttft_us),
        itl_ms: Percentiles::from_histogram(&recorder.itl_us),
        others_ttft_in_surge_ms: Percentiles::from_histogram(&recorder.others_ttft_in_surge_us),
        others_ttft_before_ms: Percentiles::from_histogram(&recorder.others_ttft_outside_surge_us),
        refusals: counts.refusals,
        completed_by_kind: counts
            .completed_by_kind
            .into_iter()
            .map(|(kind, count)| (kind.to_owned(), count))
            .collect(),
        ..Report::default()
    }
}

/// Holds what callers were told against what the services have counted.
fn check_operations(
    report: &mut Report,
    recorder: &Recorder,
    runs: &indexmap::IndexMap<String, u32>,
) {
    for (operation, observation) in &recorder.counts.lock().operations {
        let runs = runs.get(operation).copied().unwrap_or(0);
        report.duplicate_runs += u64::from(runs > 1);
        let is_not_run = observation.status == Status::NotRun && !observation.may_have_run;
        report.false_not_run += u64::from(is_not_run && runs > 0);
        report.false_completed += u64::from(observation.status == Status::Completed && runs == 0);
    }
}
