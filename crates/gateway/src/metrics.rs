//! The Prometheus metrics of a gateway: counters, gauges and latency histograms.

use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry,
};
use sardinemux_core::catalog::Catalog;
use snafu::ResultExt;

use crate::errors::MetricSnafu;
use crate::prelude::*;

/// The upper bounds of the latency buckets, in seconds. They surround the latency objectives, which are 0.1 to 1 s.
const LATENCY_BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 12.0];

/// The number of organisations that have a label value of their own. The rest is counted together, to limit the number
/// of time series and thereby their memory.
pub const ORGANISATIONS_MAX: usize = 32;

/// The label value of all further organisations.
pub const OTHER_ORGANISATIONS: &str = "others";

/// Returns the label value of an organisation: its name if it is among the first [`ORGANISATIONS_MAX`] of the
/// catalogue, [`OTHER_ORGANISATIONS`] if it is not, and `none` for a request without an organisation.
///
/// # Examples
///
/// ```
/// use sardinemux_core::catalog::Catalog;
/// use sardinemux_gateway::metrics;
///
/// assert_eq!(metrics::organisation_label(&Catalog::default(), None), "none");
/// assert_eq!(metrics::organisation_label(&Catalog::default(), Some("unlisted")), metrics::OTHER_ORGANISATIONS);
/// ```
pub fn organisation_label<'a>(catalog: &Catalog, name: Option<&'a str>) -> &'a str {
    let Some(name) = name else { return "none" };
    let mut counted = catalog
        .definition()
        .organisations
        .iter()
        .take(ORGANISATIONS_MAX);
    match counted.any(|organisation| organisation.name == name) {
        true => name,
        false => OTHER_ORGANISATIONS,
    }
}

/// The metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    /// The registry of all metrics below.
    pub registry: Registry,
    /// Answers to callers, by class of route, organisation and status code.
    pub answers: IntCounterVec,
    /// The time to the first byte of an answer, in seconds, by class of route.
    pub first_byte_s: HistogramVec,
    /// Requests sent to targets, by pool and outcome.
    pub attempts: IntCounterVec,
    /// Ends of targets' streams, by framing and outcome.
    pub stream_ends: IntCounterVec,
    /// The share of the new build in the rollout of a pool, from 0 to 1.
    pub rollout_share: GaugeVec,
    /// Calls to the store for the statuses of rollouts, by call and outcome.
    pub rollout_calls: IntCounterVec,
    /// Requests for permits, by pool and outcome: `granted`, `refused`, or `alone` if no dispatcher has decided.
    pub permits: IntCounterVec,
    /// The requests that wait at this gateway as the dispatcher of their pool.
    pub permit_queue: IntGauge,
    /// Calls to the store, by topic and outcome.
    pub store_calls: IntCounterVec,
    /// Requests that other gateways have passed on to this one, by outcome: `answered` or `failed`.
    pub hops: IntCounterVec,
    /// Streams that callers take up, by how their build was found (`known`, `base`, `record`) or why it was not (`unknown`,
    /// `store`, `timeout`).
    pub resumptions: IntCounterVec,
    /// Records of streams, by what was done with them: `sent` to a writer, `written` to the store, dropped as `lost` (too many) or as
    /// `expired` (their streams cannot be taken up any more).
    pub stream_records: IntCounterVec,
    /// Requests with a held prompt part, by outcome: `refused` or `trial`.
    pub quarantined: IntCounterVec,
    /// The number of prompt parts that are held.
    pub held_parts: IntGauge,
    /// Changes of held prompt parts that were dropped before they were recorded in the store.
    pub lost_holds: IntCounter,
    /// Requests with shared prompt parts whose target crashed.
    pub suspected_crashes: IntCounter,
    /// Targets that stated that they leave, by source: an `answer`, or another `gateway`.
    pub leaving_targets: IntCounterVec,
    /// Rejections with which targets stated for how long they want no requests.
    pub pauses: IntCounter,
    /// The version of the catalogue in force.
    pub catalog_version: IntGauge,
    /// The latest era of the store that is known; zero if the store states none.
    pub store_era: IntGauge,
    /// One while this gateway collects the requests in flight of its availability zone, otherwise zero.
    pub is_collector: IntGauge,
    /// The parts of sums of requests in flight that were received from collectors and applied.
    pub sums: IntCounter,
    /// Samples of the speeds of targets, by source: an `answer`, another `gateway`, or an `invalid` statement.
    pub speed_samples: IntCounterVec,
    /// Choices of zones for requests: `stay`, `cache` or `spill`.
    pub zone_choices: IntCounterVec,
    /// The share of requests that leave the zone for its load, by pool.
    pub spill_share: GaugeVec,
    /// The bytes of requests that were sent to targets of other zones.
    pub crossing_bytes: IntCounter,
    /// Targets that were passed over, as they had no room for the tokens of a request.
    pub without_room: IntCounter,
    /// The number of eligible targets that are slow now.
    pub slow_targets: IntGauge,
    /// Entries from the first list of a new era of the store, by topic.
    pub restored_entries: IntCounterVec,
    /// How often a list differed from that of the gateway that sent its changes.
    pub differing_lists: IntCounter,
    /// The number of reports received from other gateways and applied.
    pub peer_reports: IntCounter,
    /// The number of log lines dropped because the writer could not keep up.
    pub dropped_log_lines: IntGauge,
    /// The longest time for which the process has worked without a pause, in seconds.
    pub longest_busy_s: Gauge,
    /// The longest delay of a task that runs at intervals, in seconds.
    pub longest_delay_s: Gauge,
    /// The bytes of entries that were sent to other gateways, by topic.
    pub relayed_bytes: IntCounterVec,
    /// Large updates for other gateways that others held up for too long, by topic.
    pub updates_put_off: IntCounterVec,
    /// The number of bytes that are held for callers, targets and other gateways.
    pub held_bytes: IntGauge,
    /// What was refused or broken off for want of memory: a `connection`, a `head`, a `request`, an `answer` or an `event`.
    pub memory_refusals: IntCounterVec,
    /// Connections and bodies of clients that gave way or were refused, by action: `gives way`, `refused` or `body`.
    pub clients_closed: IntCounterVec,
    /// The open connections of clients, by port.
    pub connections: IntGaugeVec,
    /// The number of bytes that all connections of callers together have read ahead beyond what each may have.
    pub read_ahead_bytes: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// `Error::Metric` if a metric is invalid, or two have the same name.
    pub fn new() -> Result<Self> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let build = || -> prometheus::Result<Self> {
            let first_byte = HistogramOpts::new(
                "gateway_first_byte_seconds",
                "Seconds to the first byte of an answer",
            );
            Ok(Self {
                registry: Registry::new(),
                answers: counters(
                    "gateway_answers_total",
                    "Answers to callers",
                    &["class", "organisation", "outcome"],
                )?,
                first_byte_s: HistogramVec::new(
                    first_byte.buckets(LATENCY_BUCKETS_S.to_vec()),
                    &["class"],
                )?,
                attempts: counters(
                    "gateway_attempts_total",
                    "Requests sent to targets",
                    &["pool", "outcome"],
                )?,
                stream_ends: counters(
                    "gateway_stream_ends_total",
                    "Ends of the streams of targets",
                    &["framing", "outcome"],
                )?,
                rollout_share: GaugeVec::new(
                    Opts::new(
                        "gateway_rollout_share",
                        "The share of the new build in the rollout of a pool",
                    ),
                    &["pool"],
                )?,
                rollout_calls: counters(
                    "gateway_rollout_calls_total",
                    "Calls to the store for the statuses of rollouts",
                    &["call", "outcome"],
                )?,
                permits: counters(
                    "gateway_permits_total",
                    "Requests for permits",
                    &["pool", "outcome"],
                )?,
                permit_queue: IntGauge::new(
                    "gateway_permit_queue",
                    "Requests that wait for a permit of this gateway",
                )?,
                store_calls: counters(
                    "gateway_store_calls_total",
                    "Calls to the store",
                    &["topic", "outcome"],
                )?,
                hops: counters(
                    "gateway_hops_total",
                    "Requests of other gateways without paths to targets",
                    &["outcome"],
                )?,
                resumptions: counters(
                    "gateway_resumptions_total",
                    "Streams that callers take up",
                    &["outcome"],
                )?,
                stream_records: counters(
                    "gateway_stream_records_total",
                    "Records of where streams began",
                    &["outcome"],
                )?,
                quarantined: counters(
                    "gateway_quarantined_total",
                    "Requests with a held prompt part",
                    &["outcome"],
                )?,
                held_parts: IntGauge::new("gateway_held_parts", "Prompt parts that are held")?,
                lost_holds: IntCounter::new(
                    "gateway_lost_holds_total",
                    "Changes of held prompt parts that were dropped before they were recorded",
                )?,
                suspected_crashes: IntCounter::new(
                    "gateway_suspected_crashes_total",
                    "Requests whose target crashed and whose prompt has shared parts",
                )?,
                leaving_targets: counters(
                    "gateway_leaving_targets_total",
                    "Targets that stated in answers that they leave",
                    &["source"],
                )?,
                pauses: IntCounter::new(
                    "gateway_target_pauses_total",
                    "Rejections of targets with Retry-After",
                )?,
                catalog_version: IntGauge::new(
                    "gateway_catalog_version",
                    "The version of the catalogue in force",
                )?,
                store_era: IntGauge::new("gateway_store_era", "The era of the store")?,
                is_collector: IntGauge::new(
                    "gateway_is_collector",
                    "Whether the requests in flight of the availability zone are collected here",
                )?,
                sums: IntCounter::new(
                    "gateway_sums_total",
                    "Parts of sums of requests in flight that collectors sent",
                )?,
                speed_samples: counters(
                    "gateway_speed_samples_total",
                    "Samples of the speeds of targets",
                    &["source"],
                )?,
                zone_choices: counters(
                    "gateway_zone_choices_total",
                    "Choices of zones for requests",
                    &["choice"],
                )?,
                spill_share: GaugeVec::new(
                    Opts::new(
                        "gateway_spill_share",
                        "The share of requests that leave the zone for its load",
                    ),
                    &["pool"],
                )?,
                crossing_bytes: IntCounter::new(
                    "gateway_crossing_request_bytes_total",
                    "Bytes of requests to targets of other zones",
                )?,
                without_room: IntCounter::new(
                    "gateway_targets_without_room_total",
                    "Targets that were passed over for want of memory",
                )?,
                slow_targets: IntGauge::new(
                    "gateway_slow_targets",
                    "Eligible targets that are slow now",
                )?,
                restored_entries: counters(
                    "gateway_restored_entries_total",
                    "Entries from the first list of a new era of the store",
                    &["topic"],
                )?,
                differing_lists: IntCounter::new(
                    "gateway_differing_lists_total",
                    "Lists that differed from that of the gateway that sent their changes",
                )?,
                peer_reports: IntCounter::new(
                    "gateway_peer_reports_total",
                    "Reports of other gateways taken in",
                )?,
                dropped_log_lines: IntGauge::new(
                    "gateway_log_lines_dropped",
                    "Log lines dropped as the writer could not keep up",
                )?,
                longest_busy_s: Gauge::new(
                    "gateway_longest_busy_seconds",
                    "The longest time for which the process has worked without a pause",
                )?,
                longest_delay_s: Gauge::new(
                    "gateway_longest_delay_seconds",
                    "The longest delay of a task that runs at intervals",
                )?,
                relayed_bytes: counters(
                    "gateway_relayed_bytes_total",
                    "Bytes of entries that were sent to other gateways",
                    &["topic"],
                )?,
                updates_put_off: counters(
                    "gateway_updates_put_off_total",
                    "Large updates for other gateways that others held up for too long",
                    &["topic"],
                )?,
                held_bytes: IntGauge::new(
                    "gateway_held_bytes",
                    "Bytes that are held for callers, targets and other gateways",
                )?,
                memory_refusals: counters(
                    "gateway_memory_refusals_total",
                    "What was refused or broken off for want of memory",
                    &["subject"],
                )?,
                clients_closed: counters(
                    "gateway_clients_closed_total",
                    "Connections and bodies of clients that gave way or were refused",
                    &["action"],
                )?,
                connections: IntGaugeVec::new(
                    Opts::new("gateway_connections", "Open connections of clients"),
                    &["port"],
                )?,
                read_ahead_bytes: IntGauge::new(
                    "gateway_read_ahead_shared_bytes",
                    "Bytes read ahead of callers' connections from the budget that these share",
                )?,
            })
        };
        let metrics = build().context(MetricSnafu)?;
        let collectors: Vec<Box<dyn prometheus::core::Collector>> = vec![
            Box::new(metrics.answers.clone()),
            Box::new(metrics.first_byte_s.clone()),
            Box::new(metrics.attempts.clone()),
            Box::new(metrics.stream_ends.clone()),
            Box::new(metrics.rollout_share.clone()),
            Box::new(metrics.rollout_calls.clone()),
            Box::new(metrics.permits.clone()),
            Box::new(metrics.permit_queue.clone()),
            Box::new(metrics.store_calls.clone()),
            Box::new(metrics.hops.clone()),
            Box::new(metrics.resumptions.clone()),
            Box::new(metrics.stream_records.clone()),
            Box::new(metrics.quarantined.clone()),
            Box::new(metrics.held_parts.clone()),
            Box::new(metrics.lost_holds.clone()),
            Box::new(metrics.suspected_crashes.clone()),
            Box::new(metrics.leaving_targets.clone()),
            Box::new(metrics.pauses.clone()),
            Box::new(metrics.catalog_version.clone()),
            Box::new(metrics.store_era.clone()),
            Box::new(metrics.is_collector.clone()),
            Box::new(metrics.sums.clone()),
            Box::new(metrics.speed_samples.clone()),
            Box::new(metrics.zone_choices.clone()),
            Box::new(metrics.spill_share.clone()),
            Box::new(metrics.crossing_bytes.clone()),
            Box::new(metrics.without_room.clone()),
            Box::new(metrics.slow_targets.clone()),
            Box::new(metrics.restored_entries.clone()),
            Box::new(metrics.differing_lists.clone()),
            Box::new(metrics.peer_reports.clone()),
            Box::new(metrics.dropped_log_lines.clone()),
            Box::new(metrics.longest_busy_s.clone()),
            Box::new(metrics.longest_delay_s.clone()),
            Box::new(metrics.relayed_bytes.clone()),
            Box::new(metrics.updates_put_off.clone()),
            Box::new(metrics.held_bytes.clone()),
            Box::new(metrics.memory_refusals.clone()),
            Box::new(metrics.read_ahead_bytes.clone()),
            Box::new(metrics.clients_closed.clone()),
            Box::new(metrics.connections.clone()),
        ];
        for collector in collectors {
            metrics.registry.register(collector).context(MetricSnafu)?;
        }
        Ok(metrics)
    }

    /// Counts a connection or a body that gives way or is refused.
    pub fn count_client_closed(&self, action: &str) {
        self.clients_closed.with_label_values(&[action]).inc();
    }

    /// Counts something that is refused or broken off for want of memory.
    pub fn count_memory_refusal(&self, subject: &str) {
        self.memory_refusals.with_label_values(&[subject]).inc();
    }
}
