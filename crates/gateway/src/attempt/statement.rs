//! What targets state of themselves in the heads of their answers: load, cold time, limits, brittleness, and that they leave.

use std::time::Duration;

use hyper::header::{HeaderName, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{HeaderMap, StatusCode};
use rand::Rng;
use sardinemux_core::leaving;
use sardinemux_core::roster::{command, query};
use sardinemux_core::speed::Stated;
use sardinemux_core::target::Key;

use super::InFlight;
use crate::prelude::*;
use crate::speeds;

/// The value with which a target states that it leaves.
const LEAVING: &[u8] = b"1";

/// Records that a target leaves, if the head of its answer states that. The caller has checked that the answer is the target's own.
/// A value that is not known is ignored.
pub fn record_leaving(gateway: &Gateway, key: Key, headers: &HeaderMap) {
    let stated = headers.get(&gateway.dialect.leaving);
    if stated.is_none_or(|value| value.as_bytes().trim_ascii() != LEAVING) {
        return;
    }
    let now_ms = gateway.now_ms();
    let mut roster = gateway.roster.lock();
    if !command::note_leaving(&mut roster, key, now_ms) {
        return;
    }
    let target_id = query::target(&roster, key).map(|target| target.id.clone());
    drop(roster);
    gateway.idle_connections.lock().remove(key);
    let target_id = target_id.unwrap_or_default();
    log::info!(target_id:% = target_id; "target states that it leaves; it gets no new request");
    count_leaving(gateway, "answer", 1);
}

/// The longest pause that is heeded, so that a target which states an absurd one by mistake is asked again.
const PAUSE_MAX: Duration = Duration::from_secs(3_600);

/// The share of a pause by which requests may return later than it ends, so that gateways do not return at once.
const PAUSE_SPREAD: f64 = 0.2;

/// Returns the delay of a `Retry-After` header: seconds, which may have a fraction. Source: RFC 9110, section 10.2.3. A date is not
/// read, since clocks of instances are not compared.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use sardinemux_gateway::attempt::statement;
///
/// assert_eq!(statement::parse_retry_after("1.5"), Some(Duration::from_millis(1_500)));
/// assert_eq!(statement::parse_retry_after("86400"), Some(Duration::from_secs(3_600)));
/// assert_eq!(statement::parse_retry_after("-1"), None);
/// assert_eq!(statement::parse_retry_after("Fri, 31 Dec 1999 23:59:59 GMT"), None);
/// ```
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_delay = seconds.is_finite() && seconds >= 0.0;
    is_delay.then(|| Duration::from_secs_f64(seconds.min(PAUSE_MAX.as_secs_f64())))
}

/// Records for how long a target that turns a request away wants none of this gateway, if the head of its answer states that.
pub(super) fn record_pause(gateway: &Gateway, key: Key, head: &Parts) {
    let stated = head.headers.get(RETRY_AFTER);
    let Some(value) = stated.filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE) else {
        return;
    };
    let Some(delay) = value.to_str().ok().and_then(parse_retry_after) else {
        log::info!(value:? = value; "ignoring the Retry-After of a target, which is no number of seconds");
        return;
    };
    let spread = 1.0 + rand::rng().random_range(0.0..PAUSE_SPREAD);
    let pause_ms = delay.mul_f64(spread).as_millis() as u64;
    let now_ms = gateway.now_ms();
    let mut roster = gateway.roster.lock();
    let was_paused = query::is_paused(&roster, key, now_ms);
    command::note_pause(&mut roster, key, pause_ms, now_ms);
    let target_id = query::target(&roster, key).map(|target| target.id.clone());
    drop(roster);
    gateway.metrics.pauses.inc();
    if !was_paused {
        let target_id = target_id.unwrap_or_default();
        log::info!(target_id:% = target_id, pause_ms = pause_ms; "target wants no request for a time");
    }
}

/// Records that targets leave, as they stated to another gateway.
pub fn receive_leaving(gateway: &Gateway, notices: &[leaving::Notice]) {
    let now_ms = gateway.now_ms();
    let news = command::merge_leaving(&mut gateway.roster.lock(), notices, now_ms);
    for target_id in &news {
        log::info!(target_id:% = target_id; "target states to another gateway that it leaves; it gets no new request");
    }
    count_leaving(gateway, "gateway", news.len());
}

fn count_leaving(gateway: &Gateway, source: &str, count: usize) {
    let counter = &gateway.metrics.leaving_targets;
    counter.with_label_values(&[source]).inc_by(count as u64);
}

/// Records the load and the remaining cold time that the target stated in the head of its answer.
pub(super) fn record_state(gateway: &Gateway, key: Key, head: &Parts) {
    let dialect = &gateway.dialect;
    let text = |name: &HeaderName| head.headers.get(name)?.to_str().ok();
    let now_ms = gateway.now_ms();
    let load_text = text(&dialect.load);
    let load = load_text.map(dialect.parse_load);
    let speed = load.map_or(Stated::Absent, |load| load.speed);
    speeds::record(gateway, key, speed, load_text);
    let mut roster = gateway.roster.lock();
    if let Some(running) = load.and_then(|load| load.running) {
        command::note_load(&mut roster, key, running, now_ms);
    }
    let cold_ms = text(&dialect.cold_ms).and_then(|text| text.trim().parse().ok());
    if let Some(cold_ms) = cold_ms.filter(|cold_ms| *cold_ms > 0) {
        command::note_cold(&mut roster, key, cold_ms, now_ms);
    }
}

/// Records the limit that the target stated in the head of its answer, or that it stated none. A value that is no
/// number of requests a second is ignored, and the limit that was stated before stays.
pub(super) fn record_limit(gateway: &Gateway, in_flight: &InFlight, head: &Parts) {
    let stated = head.headers.get(&gateway.dialect.limit);
    let per_s = stated.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let per_s = per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
    let key = in_flight.key;
    if let (Some(value), None) = (stated, per_s) {
        log::warn!(value:? = value; "ignoring the limit of a target, which is no number of requests a second");
        return;
    }
    let now_ms = gateway.now_ms();
    let mut roster = gateway.roster.lock();
    if !command::note_limit(&mut roster, key, per_s, in_flight.begin_ms, now_ms) {
        return;
    }
    let target_id = query::target(&roster, key).map(|target| target.id.clone());
    drop(roster);
    let target_id = target_id.unwrap_or_default();
    match per_s {
        Some(per_s) => log::info!(target_id:% = target_id, per_s = per_s; "target states a limit"),
        None => log::info!(target_id:% = target_id; "target states no limit any more"),
    }
}

/// Records what the head of an answer states of the brittleness of the target. A value that is no number of requests a second
/// counts as the smallest one.
pub(super) fn record_brittleness(gateway: &Gateway, in_flight: &InFlight, head: &Parts) {
    let stated = head.headers.get(&gateway.dialect.brittle);
    let per_s = stated.map(|value| {
        let number = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        number
            .filter(|per_s: &f64| per_s.is_finite())
            .unwrap_or(0.0)
    });
    let now_ms = gateway.now_ms();
    let key = in_flight.key;
    let mut roster = gateway.roster.lock();
    if !command::note_brittle(&mut roster, key, per_s, in_flight.begin_ms, now_ms) {
        return;
    }
    let pool = query::target(&roster, key).map(|target| target.pool.clone());
    drop(roster);
    let pool = pool.unwrap_or_default();
    match per_s {
        Some(per_s) => {
            log::warn!(pool:% = pool, rejections_per_s = per_s; "targets of a pool are brittle")
        }
        None => log::warn!(pool:% = pool; "targets of a pool are no longer brittle"),
    }
}
