//! The report of a run: a table for people and one JSON object.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::probe::{Imbalance, Usage};

/// Three percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// 95 in 100 are no longer.
    pub p95: f64,
    /// 99 in 100 are no longer.
    pub p99: f64,
}

impl Percentiles {
    /// Takes the percentiles of a histogram of microseconds.
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

/// What a router cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouterCost {
    /// The router's address.
    pub router: String,
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes at the end.
    pub rss_bytes: f64,
    /// Control bytes a second, sent and received, over the run.
    pub control_bytes_per_s: f64,
}

impl RouterCost {
    /// Subtracts what was spent before the run.
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
    /// The policy of the routers.
    pub policy: String,
    /// The workload.
    pub workload: String,
    /// The seed.
    pub seed: u64,
    /// How long the run took, in seconds.
    pub seconds: f64,
    /// Requests that were sent.
    pub sent: u64,
    /// Requests with a whole and right answer.
    pub completed: u64,
    /// The same, weighted by kind.
    pub completed_weighted: u64,
    /// Requests that were refused and said not to have run.
    pub refused_not_run: u64,
    /// Requests that were given up and may have run.
    pub refused_unknown: u64,
    /// Answers that were cut without a word, or wrong.
    pub cut_or_wrong_answers: u64,
    /// Requests whose connection to the entry failed.
    pub transport_errors: u64,
    /// Operations that ran more than once.
    pub duplicate_runs: u64,
    /// Operations that ran although every request of theirs was said not to have run.
    pub false_not_run: u64,
    /// Operations that were said to be completed and did not run.
    pub false_completed: u64,
    /// Prompt tokens that were cached, over all.
    pub cache_hit_ratio: f64,
    /// The largest load but one request, over the largest mean of the last two seconds.
    pub load_max_over_mean: f64,
    /// What the samples of the engines' load show.
    pub load: Imbalance,
    /// Requests that arrived at a cold engine which had as many as it bears.
    pub cold_limit_exceeded: u64,
    /// The largest control traffic of a router, in bytes a second over the run.
    pub control_bytes_per_s_max: f64,
    /// The time to the first token, in milliseconds.
    pub ttft_ms: Percentiles,
    /// The time between tokens, in milliseconds.
    pub itl_ms: Percentiles,
    /// The time to the first token of the other organisations while the largest surges.
    pub others_ttft_in_surge_ms: Percentiles,
    /// The same, while it does not.
    pub others_ttft_before_ms: Percentiles,
    /// Requests that were refused or given up, by reason.
    pub refusals: IndexMap<String, u64>,
    /// Completed requests by kind.
    pub completed_by_kind: IndexMap<String, u64>,
    /// What each router cost.
    pub routers: Vec<RouterCost>,
}

impl Report {
    /// Returns whether every promise held that a run without faults must hold.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_load::report::Report;
    ///
    /// let report = Report { sent: 2, completed: 2, ..Report::default() };
    /// assert!(report.holds());
    /// assert!(!Report { duplicate_runs: 1, ..report }.holds());
    /// ```
    pub fn is_success(&self) -> bool {
        self.sent > 0 && self.sent == self.completed && self.has_no_violation()
    }

    /// Returns whether every promise held that must hold under any fault.
    pub fn has_no_violation(&self) -> bool {
        self.cut_or_wrong_answers == 0
            && self.duplicate_runs == 0
            && self.false_not_run == 0
            && self.false_completed == 0
            && self.cold_limit_exceeded == 0
    }

    /// Writes the table that a person reads.
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
