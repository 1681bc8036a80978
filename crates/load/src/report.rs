//! The report of a run, printed as a table and written as a JSON object.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::probe::{Imbalance, Usage};

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Returns the percentiles of a histogram that records microseconds.
    pub fn from_histogram(histogram: &Mutex<Histogram<u64>>) -> Self {
        let histogram = histogram.lock();
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// The resources that a router used during a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouterCost {
    /// The address at which the router's metrics were read.
    pub router: String,
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes at the end of the run.
    pub rss_bytes: f64,
    /// The mean control traffic of the run, sent and received, in bytes per second.
    pub control_bytes_per_s: f64,
}

impl RouterCost {
    /// Returns the cost of a run of `seconds` from the router's usage before and after it.
    pub fn from_usage(router: &str, before: Usage, after: Usage, seconds: f64) -> Self {
        Self {
            router: router.to_owned(),
            cpu_s: after.cpu_s - before.cpu_s,
            rss_bytes: after.rss_bytes,
            control_bytes_per_s: (after.control_bytes - before.control_bytes) / seconds,
        }
    }
}

/// The report of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The routing policy of the routers.
    pub policy: String,
    /// The name of the workload.
    pub workload: String,
    /// The seed of the run.
    pub seed: u64,
    /// The duration of the run in seconds.
    pub seconds: f64,
    /// Requests that were sent.
    pub sent: u64,
    /// Requests with a complete and correct answer.
    pub completed: u64,
    /// The sum of the weights of these requests, by their kinds.
    pub completed_weighted: u64,
    /// Requests that were refused with the outcome "not run".
    pub refused_not_run: u64,
    /// Requests that failed or timed out and may have run.
    pub refused_unknown: u64,
    /// Answers that ended early without reporting an error, or whose content was wrong.
    pub cut_or_wrong_answers: u64,
    /// Requests whose connection to the entry failed.
    pub transport_errors: u64,
    /// Operations that ran more than once.
    pub duplicate_runs: u64,
    /// Operations that ran although each of their requests was refused with the outcome "not run".
    pub false_not_run: u64,
    /// Operations that were reported to be completed but did not run.
    pub false_completed: u64,
    /// The ratio of cached prompt tokens to all prompt tokens.
    pub cache_hit_ratio: f64,
    /// The maximum over the samples of the largest load of an engine, less one request, divided by the largest mean
    /// load of the last two seconds.
    pub load_max_over_mean: f64,
    /// How evenly the load was spread over the engines.
    pub load: Imbalance,
    /// Requests that arrived at a cold engine already at its limit of concurrent requests.
    pub cold_limit_exceeded: u64,
    /// The largest mean control traffic of a router, in bytes per second.
    pub control_bytes_per_s_max: f64,
    /// The time to first token, in milliseconds.
    pub ttft_ms: Percentiles,
    /// The inter-token latency, in milliseconds.
    pub itl_ms: Percentiles,
    /// The time to first token of the other organisations for turns sent during the surge, in milliseconds.
    pub others_ttft_in_surge_ms: Percentiles,
    /// The time to first token of the other organisations for turns sent before or after the surge, in milliseconds.
    pub others_ttft_before_ms: Percentiles,
    /// Requests that were answered with an error, by its reason, or by its message where it states none.
    pub refusals: IndexMap<String, u64>,
    /// Completed requests, by the name of their kind.
    pub completed_by_kind: IndexMap<String, u64>,
    /// The resources that each router used.
    pub routers: Vec<RouterCost>,
}

impl Report {
    /// Returns whether every request was completed and no guarantee was violated, as a run without faults requires.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_load::report::Report;
    ///
    /// let report = Report { sent: 2, completed: 2, ..Report::default() };
    /// assert!(report.is_success());
    /// assert!(!Report { duplicate_runs: 1, ..report }.is_success());
    /// ```
    pub fn is_success(&self) -> bool {
        self.sent > 0 && self.sent == self.completed && self.has_no_violation()
    }

    /// Returns whether no guarantee was violated that holds under every fault.
    pub fn has_no_violation(&self) -> bool {
        self.cut_or_wrong_answers == 0
            && self.duplicate_runs == 0
            && self.false_not_run == 0
            && self.false_completed == 0
            && self.cold_limit_exceeded == 0
    }

    /// Formats the report as a table with one line per value.
    pub fn format_table(&self) -> String {
        let mut table = String::new();
        let mut row = |name: &str, value: String| {
            table.push_str(&format!("{name:<28}{value}\n"));
        };
        let times = |times: &Percentiles| {
            format!(
                "p50 {:.1}  p95 {:.1}  p99 {:.1}",
                times.p50, times.p95, times.p99
            )
        };
        row("policy", self.policy.clone());
        row(
            "workload, seed",
            format!("{}, {}", self.workload, self.seed),
        );
        row("sent", self.sent.to_string());
        row("completed", self.completed.to_string());
        row("completed, weighted", self.completed_weighted.to_string());
        row("refused, not run", self.refused_not_run.to_string());
        row("given up, may have run", self.refused_unknown.to_string());
        for (reason, count) in &self.refusals {
            row(&format!("  {reason}"), count.to_string());
        }
        row("transport errors", self.transport_errors.to_string());
        row(
            "cut or wrong answers",
            self.cut_or_wrong_answers.to_string(),
        );
        row("duplicate runs", self.duplicate_runs.to_string());
        row("false \"not run\"", self.false_not_run.to_string());
        row("cache hit ratio", format!("{:.3}", self.cache_hit_ratio));
        row(
            "load max over mean",
            format!("{:.2}", self.load_max_over_mean),
        );
        row(
            "samples over the bound",
            format!("{} of {}", self.load.over_bound, self.load.samples),
        );
        row("cold limit exceeded", self.cold_limit_exceeded.to_string());
        row(
            "control bytes/s, largest",
            format!("{:.0}", self.control_bytes_per_s_max),
        );
        row("first token, ms", times(&self.ttft_ms));
        row("between tokens, ms", times(&self.itl_ms));
        for router in &self.routers {
            row(
                &format!("router {}", router.router),
                format!(
                    "{:.2} s of processor, {:.1} MiB, {:.0} control bytes/s",
                    router.cpu_s,
                    router.rss_bytes / f64::from(1 << 20),
                    router.control_bytes_per_s
                ),
            );
        }
        table
    }
}
