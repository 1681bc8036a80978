//! What is read from the stand-ins and routers while a run goes on.

use std::collections::VecDeque;

use futures_util::future::join_all;
use indexmap::IndexMap;
use reqwest::Client;
use sardinemux_standin::{engine, service};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The load bound that samples are held against: a multiple of the mean, and one request.
pub const LOAD_MULTIPLE: f64 = 1.25;

/// The samples in which a mean is remembered, and in which an engine must take something to count as in
/// service: two seconds. A mean that has just fallen is not held against requests that were admitted
/// under an earlier one.
const WINDOW_SAMPLES: usize = 40;

/// What the samples of the engines' load show.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Imbalance {
    /// The samples.
    pub samples: u64,
    /// The largest load but one request, over the mean of the engines in service.
    pub max_over_mean: f64,
    /// The samples in which the largest load is over the bound at the largest recent mean.
    pub over_bound: u64,
    /// The mean of the largest load over the mean.
    pub mean_skew: f64,
}

/// One engine at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    running: u32,
    accepted: u64,
}

/// Samples the engines' load.
pub struct Sampler {
    client: Client,
    engines: Vec<String>,
    samples: Vec<Vec<Reading>>,
}

async fn get_json<T: DeserializeOwned>(client: &Client, address: &str, path: &str) -> Option<T> {
    let url = format!("http://{address}{path}");
    client.get(url).send().await.ok()?.json().await.ok()
}

impl Sampler {
    /// Creates a sampler of the given engines.
    pub fn new(client: Client, engines: Vec<String>) -> Self {
        Self {
            client,
            engines,
            samples: Vec::new(),
        }
    }

    /// Takes one sample of all engines at once.
    pub async fn sample(&mut self) {
        let stats = read_engine_stats(&self.client, &self.engines).await;
        let readings = stats.into_iter().map(|stats| {
            let stats = stats.unwrap_or_default();
            Reading {
                running: stats.running,
                accepted: stats.accepted,
            }
        });
        self.samples.push(readings.collect());
    }

    /// Judges the samples. An engine counts in those after which it takes something within the
    /// window: one that has been taken out and ends its work does not.
    pub fn compute_imbalance(&self) -> Imbalance {
        let mut imbalance = Imbalance::default();
        let mut means: VecDeque<f64> = VecDeque::new();
        let mut skews = 0.0;
        for (now, later) in self
            .samples
            .iter()
            .zip(self.samples.iter().skip(WINDOW_SAMPLES))
        {
            let in_service = now.iter().zip(later);
            let running: Vec<f64> = in_service
                .filter(|(now, later)| later.accepted > now.accepted)
                .map(|(now, _)| f64::from(now.running))
                .collect();
            if running.is_empty() {
                continue;
            }
            let mean = running.iter().sum::<f64>() / running.len() as f64;
            let largest = running.iter().copied().fold(0.0, f64::max);
            means.push_back(mean);
            if means.len() > WINDOW_SAMPLES {
                means.pop_front();
            }
            if mean < 1.0 {
                continue;
            }
            let mean_max = means.iter().copied().fold(0.0, f64::max);
            let bound = (LOAD_MULTIPLE * mean_max).ceil() + 1.0;
            imbalance.samples += 1;
            imbalance.over_bound += u64::from(largest > bound);
            imbalance.max_over_mean = imbalance.max_over_mean.max((largest - 1.0) / mean_max);
            skews += largest / mean;
        }
        imbalance.mean_skew = skews / imbalance.samples.max(1) as f64;
        imbalance
    }
}

/// Returns what each engine has counted, if it answers.
pub async fn read_engine_stats(client: &Client, engines: &[String]) -> Vec<Option<engine::Stats>> {
    let answers = engines
        .iter()
        .map(|engine| get_json(client, engine, "/standin/stats"));
    join_all(answers).await
}

/// Returns the runs of each operation, over all service instances.
pub async fn read_run_counts(client: &Client, services: &[String]) -> IndexMap<String, u32> {
    let answers = services
        .iter()
        .map(|service| get_json::<service::Stats>(client, service, "/standin/stats"));
    let mut counts = IndexMap::new();
    for stats in join_all(answers).await.into_iter().flatten() {
        for (operation, count) in stats.runs {
            *counts.entry(operation).or_default() += count;
        }
    }
    counts
}

/// What a router has spent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Control bytes, sent and received.
    pub control_bytes: f64,
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub rss_bytes: f64,
}

/// Reads a router's metrics.
pub async fn read_usage(client: &Client, router: &str) -> Option<Usage> {
    let url = format!("http://{router}/metrics");
    let text = client.get(url).send().await.ok()?.text().await.ok()?;
    let sum = |name: &str| {
        text.lines()
            .filter(|line| line.starts_with(name))
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
            .sum()
    };
    Some(Usage {
        control_bytes: sum("sardinemux_control_bytes_total"),
        cpu_s: sum("process_cpu_seconds_total"),
        rss_bytes: sum("process_resident_memory_bytes"),
    })
}
