//! The speeds of targets: what targets state in answers, what gateways tell each other of it, and what the times of answers show of
//! targets that state nothing.
//!
//! A gateway tells the collectors of its zone of its samples; a collector tells those of other zones of the samples of its zone, and
//! the gateways of its zone of all. Samples are sent once, at most each 100 ms, and only of targets that are not as usual or were
//! not a moment ago.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use sardinemux_core::roster::{command, query};
use sardinemux_core::speed::{self, Learner, Notice, Source, Stated};
use sardinemux_core::target::Key;

use crate::prelude::*;
use crate::supplement::{self, Supplement};

/// What this gateway knows of speeds besides the roster.
#[derive(Debug, Default)]
pub struct Speeds {
    learner: Mutex<Learner>,
    /// When the samples were last sent, in milliseconds.
    sent_ms: Mutex<u64>,
}

/// The gateways that a gateway tells of samples.
#[derive(Clone, Debug, Default)]
pub struct Audience {
    /// The other collectors of its zone.
    pub collectors: Vec<SocketAddr>,
    /// If it collects, the collectors of other zones.
    pub elsewhere: Vec<SocketAddr>,
    /// If it collects, the other gateways of its zone.
    pub near: Vec<SocketAddr>,
}

/// Records what the head of an answer states of the speed of its target.
pub fn record(gateway: &Gateway, key: Key, stated: Stated, text: Option<&str>) {
    let now_ms = gateway.now_ms();
    let mut roster = gateway.roster.lock();
    let was_active = query::states_speed(&roster, now_ms);
    let is_fault = command::note_speed(&mut roster, key, stated, now_ms);
    let is_active = query::states_speed(&roster, now_ms);
    let target_id = is_fault.then(|| query::target(&roster, key).map(|target| target.id.clone()));
    drop(roster);
    if is_active && !was_active {
        log::info!("targets state their speeds; requests are placed by expected completion");
    }
    if is_fault {
        let target_id = target_id.flatten().unwrap_or_default();
        log::warn!(
            target_id:% = target_id, value = text.unwrap_or_default();
            "target states no usable speed; it counts as usual"
        );
    }
    let source = match stated {
        Stated::Absent => return,
        Stated::Factor(_) => "answer",
        Stated::Invalid => "invalid",
    };
    let samples = &gateway.metrics.speed_samples;
    samples.with_label_values(&[source]).inc();
}

/// Learns the speed of a target that states none from the time to the head of its answer, in a deployment whose other targets do.
pub fn learn(gateway: &Gateway, key: Key, pool: &str, route: &str, time: Duration) {
    let now_ms = gateway.now_ms();
    let factor = {
        let roster = gateway.roster.lock();
        if !query::states_speed(&roster, now_ms) || query::target_states_speed(&roster, key) {
            return;
        }
        query::speed(&roster, key, now_ms)
    };
    let time_ms = time.as_secs_f64() * 1e3;
    let learnt = gateway
        .speeds
        .learner
        .lock()
        .note(pool, route, time_ms, factor);
    if let Some(factor) = learnt {
        command::note_learnt_speed(&mut gateway.roster.lock(), key, factor, now_ms);
    }
}

/// Returns the samples that are news, as datagrams with their recipients.
pub fn datagrams(gateway: &Gateway, audience: &Audience) -> Vec<(Vec<u8>, Vec<SocketAddr>)> {
    let now_ms = gateway.now_ms();
    let since_ms = std::mem::replace(&mut *gateway.speeds.sent_ms.lock(), now_ms);
    let roster = gateway.roster.lock();
    let select = |sources: &[Source]| query::speed_notices(&roster, sources, since_ms, now_ms);
    let own = select(&[Source::Own]);
    let zone = select(&[Source::Own, Source::Zone]);
    let all = select(&[Source::Own, Source::Zone, Source::Collector]);
    let slow = query::slow_targets(&roster, now_ms);
    drop(roster);
    gateway.metrics.slow_targets.set(slow as i64);
    let parts = [
        (own, false, &audience.collectors),
        (zone, true, &audience.elsewhere),
        (all, true, &audience.near),
    ];
    let parts = parts.into_iter().filter(|(.., to)| !to.is_empty());
    let datagrams = parts.flat_map(|(notices, is_sum, to)| {
        let chunks = notices.chunks(speed::NOTICES_MAX);
        let encoded = chunks.filter_map(|notices| {
            supplement::encode(&Supplement::Speeds {
                is_sum,
                notices: notices.to_vec(),
            })
        });
        let encoded: Vec<Vec<u8>> = encoded.collect();
        encoded.into_iter().map(|bytes| (bytes, to.clone()))
    });
    datagrams.collect()
}

/// Returns whether targets have stated their speeds recently, so that gateways tell each other of them.
pub fn is_active(gateway: &Gateway) -> bool {
    query::states_speed(&gateway.roster.lock(), gateway.now_ms())
}

/// Takes over the samples that another gateway sent; `is_sum` if that is a collector which passes them on.
pub fn receive(gateway: &Gateway, is_sum: bool, notices: &[Notice]) {
    let source = match is_sum {
        true => Source::Collector,
        false => Source::Zone,
    };
    let now_ms = gateway.now_ms();
    let news = command::merge_speeds(&mut gateway.roster.lock(), notices, source, now_ms);
    let samples = &gateway.metrics.speed_samples;
    samples.with_label_values(&["gateway"]).inc_by(news as u64);
}
