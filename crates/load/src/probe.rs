//! Readings of the stand-ins' statistics and the routers' metrics, before, during and after a run.

use std::collections::VecDeque;

use futures_util::future::join_all;
use indexmap::IndexMap;
use reqwest::Client;
use sardinemux_standin::{engine, service};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The load bound of an engine is this multiple of the mean load, rounded up, plus one request.
pub const LOAD_MULTIPLE: f64 = 1.25;

/// The number of samples, two seconds' worth, over which the largest mean sets the load bound, and within which an
/// engine must accept a request to count as in service. Since requests may have been admitted under an earlier, higher
/// mean, a mean that has just fallen does not lower the bound at once.
const WINDOW_SAMPLES: usize = 40;

/// How unevenly the load was spread over the engines in service. A sample counts if the engines' mean load is at least
/// one request and a later sample, one window on, exists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Imbalance {
    /// The number of samples that count.
    pub samples: u64,
    /// The maximum over the samples of the largest load, less one request, divided by the largest mean of the window.
    pub max_over_mean: f64,
    /// The number of samples in which the largest load exceeds the bound that the largest mean of the window sets.
    pub over_bound: u64,
    /// The mean over the samples of the largest load divided by the mean load.
    pub mean_skew: f64,
}

/// The counters of one engine in one sample. An engine that does not answer reads as zero.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    running: u32,
    accepted: u64,
}

/// Samples the load of the engines.
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

    /// Reads all engines concurrently and stores the result as one sample.
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

    /// Returns the imbalance over all samples. An engine counts in a sample if it accepts a request within the window
    /// that follows: one that is being drained does not.
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

/// Reads the statistics of each engine, in the order of `engines`; `None` stands for one that does not answer.
pub async fn read_engine_stats(client: &Client, engines: &[String]) -> Vec<Option<engine::Stats>> {
    let answers = engines
        .iter()
        .map(|engine| get_json(client, engine, "/standin/stats"));
    join_all(answers).await
}

/// Reads how many times each operation has run, summed over all service instances. One that does not answer is left
/// out.
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

/// The resources that a router has used since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Bytes of control traffic, sent and received.
    pub control_bytes: f64,
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Current resident memory in bytes.
    pub rss_bytes: f64,
}

/// Reads the resource usage of a router from its metrics; `None` if it does not answer.
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
