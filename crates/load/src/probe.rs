//! What is read from the stand-ins and routers while a run goes on.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use indexmap::IndexMap;
use reqwest::Client;
use sardinemux_standin::{engine, service};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The load bound that samples are held against: a multiple of the mean, and one request.
pub const LOAD_MULTIPLE: f64 = 1.25;

/// An engine that has taken nothing for this long is not in service.
const IN_SERVICE: Duration = Duration::from_secs(2);

/// The samples over which a bound is judged: a mean that has just fallen is not held against
/// requests that were admitted under an earlier one.
const RECENT: usize = 40;

/// What the samples of the engines' load show.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The samples.
    pub samples: u64,
    /// The largest load but one request, over the mean of the engines in service.
    pub max_over_mean: f64,
    /// The samples in which the largest load is over the bound at the largest recent mean.
    pub over_bound: u64,
    /// The mean of the largest load over the mean.
    pub mean_skew: f64,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    accepted: u64,
    at: Instant,
}

/// Samples the engines' load.
pub struct Sampler {
    client: Client,
    engines: Vec<String>,
    seen: IndexMap<String, Seen>,
    means: VecDeque<f64>,
    skew_sum: f64,
    /// What was found so far.
    pub load: Load,
}

async fn get<T: DeserializeOwned>(client: &Client, address: &str, path: &str) -> Option<T> {
    let url = format!("http://{address}{path}");
    client.get(url).send().await.ok()?.json().await.ok()
}

impl Sampler {
    /// Creates a sampler of the given engines.
    pub fn new(client: Client, engines: Vec<String>) -> Self {
        Self {
            client,
            engines,
            seen: IndexMap::new(),
            means: VecDeque::new(),
            skew_sum: 0.0,
            load: Load::default(),
        }
    }

    /// Takes one sample of all engines at once.
    pub async fn sample(&mut self) {
        let stats = stats(&self.client, &self.engines).await;
        let now = Instant::now();
        let mut running = Vec::new();
        for (address, stats) in self.engines.iter().zip(stats) {
            let Some(stats) = stats else { continue };
            let seen = self.seen.entry(address.clone()).or_insert(Seen {
                accepted: stats.accepted,
                at: now,
            });
            if stats.accepted != seen.accepted {
                seen.accepted = stats.accepted;
                seen.at = now;
            }
            if stats.running > 0 || now.duration_since(seen.at) < IN_SERVICE {
                running.push(f64::from(stats.running));
            }
        }
        self.note(&running);
    }

    fn note(&mut self, running: &[f64]) {
        if running.is_empty() {
            return;
        }
        let mean = running.iter().sum::<f64>() / running.len() as f64;
        let largest = running.iter().copied().fold(0.0, f64::max);
        self.means.push_back(mean);
        if self.means.len() > RECENT {
            self.means.pop_front();
        }
        if mean < 1.0 {
            return;
        }
        let recent = self.means.iter().copied().fold(0.0, f64::max);
        let bound = (LOAD_MULTIPLE * recent).ceil() + 1.0;
        self.load.samples += 1;
        self.load.over_bound += u64::from(largest > bound);
        let skew = (largest - 1.0) / recent;
        self.load.max_over_mean = self.load.max_over_mean.max(skew);
        self.skew_sum += largest / mean;
        self.load.mean_skew = self.skew_sum / self.load.samples as f64;
    }
}

/// Returns what each engine has counted, if it answers.
pub async fn stats(client: &Client, engines: &[String]) -> Vec<Option<engine::Stats>> {
    let answers = engines
        .iter()
        .map(|engine| get(client, engine, "/standin/stats"));
    join_all(answers).await
}

/// Returns the runs of each operation, over all service instances.
pub async fn runs(client: &Client, services: &[String]) -> IndexMap<String, u32> {
    let answers = services
        .iter()
        .map(|service| get::<service::Stats>(client, service, "/standin/stats"));
    let mut runs = IndexMap::new();
    for stats in join_all(answers).await.into_iter().flatten() {
        for (operation, count) in stats.runs {
            *runs.entry(operation).or_default() += count;
        }
    }
    runs
}

/// What a router has spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spent {
    /// Control bytes, sent and received.
    pub control_bytes: f64,
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss_bytes: f64,
}

/// Reads a router's metrics.
pub async fn spent(client: &Client, router: &str) -> Option<Spent> {
    let url = format!("http://{router}/metrics");
    let text = client.get(url).send().await.ok()?.text().await.ok()?;
    let sum = |name: &str| {
        text.lines()
            .filter(|line| line.starts_with(name))
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
            .sum()
    };
    Some(Spent {
        control_bytes: sum("sardinemux_control_bytes_total"),
        cpu_s: sum("process_cpu_seconds_total"),
        rss_bytes: sum("process_resident_memory_bytes"),
    })
}
