//! A load run: concurrent sessions for a given time, samples of the engines' load meanwhile, and a report.

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

/// The interval between two samples of the engines' load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// The interval between two progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);

/// The begin and end of the largest organisation's surge, as fractions of the run's duration.
const SURGE_SPAN: (f64, f64) = (0.4, 0.7);

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the workload.
    pub workload: String,
    /// The model that chats request.
    pub model: String,
    /// The routing policy of the routers, which is only copied to the report.
    pub policy: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The time for which requests are sent.
    pub duration: Duration,
    /// The number of concurrent sessions, without those of a surge.
    pub sessions: u64,
    /// The number of organisations.
    pub organisations: usize,
    /// The factor by which the sessions of the largest organisation multiply during its surge; 1 means no surge.
    pub surge_factor: u64,
    /// The addresses of the entries, to which requests are sent.
    pub entries: Vec<String>,
    /// The addresses at which the routers' metrics are read.
    pub routers: Vec<String>,
    /// The addresses of the stand-in engines.
    pub engines: Vec<String>,
    /// The addresses of the stand-in service instances.
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

/// The schedule of a run: its start, its duration and its surge.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    start: Instant,
    duration: Duration,
    has_surge: bool,
}

impl Schedule {
    /// Returns the time that is left for sending requests.
    pub fn time_left(&self) -> Duration {
        self.duration.saturating_sub(self.start.elapsed())
    }

    /// Returns whether the time for sending requests is over.
    pub fn is_over(&self) -> bool {
        self.start.elapsed() >= self.duration
    }

    /// Returns whether the surge of the largest organisation is in progress.
    pub fn is_surging(&self) -> bool {
        let elapsed_ratio = self.start.elapsed().as_secs_f64() / self.duration.as_secs_f64();
        self.has_surge && elapsed_ratio >= SURGE_SPAN.0 && elapsed_ratio < SURGE_SPAN.1
    }
}

/// Runs the load that `settings` describe and returns its report.
///
/// # Errors
///
/// `Error::Workload`, `Error::Client` or `Error::Histogram` if the run cannot start.
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
    // The sessions of the surge end with the surge or with the run.
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

/// Starts the additional sessions of the largest organisation when its surge begins, and waits until they end.
async fn run_surge(context: Arc<Context>, settings: Settings) {
    if settings.surge_factor <= 1 {
        return;
    }
    while !context.schedule.is_surging() && !context.schedule.is_over() {
        time::sleep(SAMPLE_PERIOD).await;
    }
    // Organisation sizes follow a harmonic series, so the largest one has a share of one over the sum of the series.
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

/// Compares the outcome that callers observed for each operation with the number of times that services ran it, and
/// counts duplicate runs and false statements in the report.
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
