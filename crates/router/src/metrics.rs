//! The metrics of a router.
//!
//! The number of time series is bounded: the label `member` has at most [`MEMBER_LABELS_MAX`] values and one more for
//! all other members, and there is no label for organisations, of which there may be thousands.

use std::collections::HashSet;

use parking_lot::Mutex;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use sardinemux_core::class::Class;
use smol_str::SmolStr;

use crate::errors::Result;

/// The maximum number of members with time series of their own.
pub const MEMBER_LABELS_MAX: usize = 16;

/// The label value of all members beyond the first [`MEMBER_LABELS_MAX`].
const OTHER_MEMBERS: &str = "other";

/// The upper bounds of the buckets of the time to the first token, in seconds. The latency objective is 0.98 s.
const FIRST_TOKEN_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 0.98, 2.0, 10.0];

/// The upper bounds of the buckets of the time between tokens, in seconds. The latency objective is 58 ms.
const BETWEEN_TOKENS_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.02, 0.04, 0.058, 0.1, 0.5, 2.0];

/// The metrics of a router.
pub struct Metrics {
    /// The registry that holds all of them.
    pub registry: Registry,
    /// Finished requests at this entry, by class, member and outcome.
    pub requests: IntCounterVec,
    /// Seconds to the first token, or to the response of a service, by class and member.
    pub first_token: HistogramVec,
    /// Seconds between tokens, by class and member.
    pub between_tokens: HistogramVec,
    /// Requests that this router refused as an owner, by reason.
    pub refusals: IntCounterVec,
    /// Prompt tokens of completed chats, by whether the target had them in its cache.
    pub prompt_tokens: IntCounterVec,
    /// Bytes of control traffic, including the HTTP overhead, by direction and purpose.
    pub control_bytes: IntCounterVec,
    /// Control messages that were skipped to keep to the budget.
    pub control_skipped: IntCounter,
    /// Response parts that were dropped because they were late or belonged to another request.
    pub dropped_parts: IntCounter,
    /// Responses that were resumed after their connection broke.
    pub resumed_answers: IntCounter,
    /// The number of targets that this router owns.
    pub owned_targets: IntGauge,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    members: Mutex<HashSet<SmolStr>>,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// `Error::Metric` if a metric is malformed or two have the same name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec> {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let metric = IntCounter::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| -> Result<HistogramVec> {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let metric = HistogramVec::new(options, &["class", "member"])?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let process = prometheus::process_collector::ProcessCollector::for_self();
        registry.register(Box::new(process))?;
        Ok(Self {
            requests: counters(
                "sardinemux_requests_total",
                "Requests at this entry.",
                &["class", "member", "outcome"],
            )?,
            first_token: histogram(
                "sardinemux_first_token_seconds",
                "Time to the first token, or to the answer of a service.",
                &FIRST_TOKEN_BUCKETS_S,
            )?,
            between_tokens: histogram(
                "sardinemux_between_tokens_seconds",
                "Time between tokens.",
                &BETWEEN_TOKENS_BUCKETS_S,
            )?,
            refusals: counters(
                "sardinemux_refusals_total",
                "Refusals by this owner.",
                &["reason"],
            )?,
            prompt_tokens: counters(
                "sardinemux_prompt_tokens_total",
                "Prompt tokens of completed chats.",
                &["cached"],
            )?,
            control_bytes: counters(
                "sardinemux_control_bytes_total",
                "Bytes of control traffic, with the protocol's overhead.",
                &["direction", "purpose"],
            )?,
            control_skipped: counter(
                "sardinemux_control_skipped_total",
                "Control messages that were skipped to keep to the budget.",
            )?,
            dropped_parts: counter(
                "sardinemux_dropped_parts_total",
                "Parts of answers that were dropped as late or crossed.",
            )?,
            resumed_answers: counter(
                "sardinemux_resumed_total",
                "Answers that were resumed after a cut.",
            )?,
            owned_targets: gauge("sardinemux_owned_targets", "Targets that this router owns.")?,
            config_version: gauge(
                "sardinemux_config_version",
                "The version of the configuration in force.",
            )?,
            registry,
            members: Mutex::new(HashSet::new()),
        })
    }

    /// Returns the value of the label `member` for a member. The first [`MEMBER_LABELS_MAX`] members get their own.
    pub fn member_label(&self, member: &SmolStr) -> SmolStr {
        let mut members = self.members.lock();
        if members.contains(member) {
            return member.clone();
        }
        if members.len() >= MEMBER_LABELS_MAX {
            return OTHER_MEMBERS.into();
        }
        members.insert(member.clone());
        member.clone()
    }

    /// Counts a finished request at this entry.
    pub fn record_request(&self, class: Class, member: &SmolStr, outcome: &str) {
        let member = self.member_label(member);
        self.requests
            .with_label_values(&[class.name(), member.as_str(), outcome])
            .inc();
    }

    /// Adds bytes of control traffic that were sent and received for a purpose.
    pub fn record_control_bytes(&self, purpose: &str, sent: usize, received: usize) {
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            self.control_bytes
                .with_label_values(&[direction, purpose])
                .inc_by(bytes as u64);
        }
    }
}
