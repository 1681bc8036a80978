//! The datagrams that gateways send beside their reports: evidence against prompt parts, limits that targets state, sums of requests.
//!
//! They are messages of their own, so that a gateway that does not know one of them still reads the reports.

use sardinemux_core::collection::Message;
use sardinemux_core::leaving;
use sardinemux_core::origin::{Origin, Stored};
use sardinemux_core::position::Era;
use sardinemux_core::quarantine::Notice;
use sardinemux_core::roster::{query, BrittleNotice, LimitNotice};
use sardinemux_core::speed;
use serde::{Deserialize, Serialize};

use crate::appendix;
use crate::datagram;
use crate::permits;
use crate::prelude::*;
use crate::rollouts::{News, Observation};

/// The first byte of a supplement. MessagePack, in which reports are encoded, never begins with it.
const MARKER: u8 = 0xc1;

/// A datagram beside the reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Supplement {
    /// Evidence against prompt parts.
    Quarantine(Vec<Notice>),
    /// The limits that targets stated to the sender.
    Limits(Vec<LimitNotice>),
    /// That the sender has started recently, or has news of the builds of pools.
    Builds {
        /// The time since the sender's start, in milliseconds.
        uptime_ms: u64,
        /// The builds of each pool that it knows.
        epochs: Vec<(SmolStr, Stored)>,
    },
    /// What targets stated to the sender of the brittleness of their pools.
    Brittle(Vec<BrittleNotice>),
    /// The pools to which the sender has lost its paths.
    Lost {
        /// The name of the sender.
        gateway: SmolStr,
        /// The names of the pools; empty once the paths are back.
        pools: Vec<SmolStr>,
    },
    /// Where streams began, to be recorded in the store by the recipient, which confirms nothing.
    Origins(Vec<Origin>),
    /// The targets that stated in answers that they leave.
    Leaving(Vec<leaving::Notice>),
    /// The requests in flight that a collector has summed up. Only gateways that report to collectors get it.
    Sum(Message),
    /// Samples of the speeds of targets.
    Speeds {
        /// Whether a collector passes on what other gateways have told it.
        is_sum: bool,
        /// The samples.
        notices: Vec<speed::Notice>,
    },
    /// The latest directives of rollouts.
    Rollouts(Vec<News>),
    /// What the sender has counted of a rollout. Only the gateways that decide it get that.
    Observation(Box<Observation>),
    /// Requests for permits and their ends, for the dispatcher of a pool.
    #[serde(rename = "P")]
    PermitRequests(permits::Requests),
    /// Decisions of a dispatcher about requests of the recipient.
    #[serde(rename = "D")]
    PermitDecisions(permits::Decisions),
    /// Where streams began, to be recorded in the store by the recipient, which confirms it.
    Records(Vec<Origin>),
    /// The streams whose records the sender has got and is to write.
    Held(Vec<u64>),
    /// The streams whose records the sender has written.
    Written(Vec<u64>),
}

/// The appendix of a supplement with positions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Appendix {
    /// The era of the positions.
    era: Era,
    /// The former bases of the epochs in the supplement, by their pools.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    former_bases: Vec<(SmolStr, SmolStr)>,
}

/// Returns whether a datagram is a supplement.
pub fn is_supplement(bytes: &[u8]) -> bool {
    bytes.first() == Some(&MARKER)
}

/// Returns the datagram of a supplement. One that cannot be encoded is logged and left out.
pub fn encode(supplement: &Supplement) -> Option<Vec<u8>> {
    let mut bytes = vec![MARKER];
    match rmp_serde::encode::write(&mut bytes, supplement) {
        Ok(()) => Some(bytes),
        Err(error) => {
            log::warn!(error:% = error; "failed to encode a supplement to a report; not sent");
            None
        }
    }
}

/// Returns the datagrams of supplements with a part of the items each.
pub fn split<T: Clone>(items: &[T], supplement: impl Fn(Vec<T>) -> Supplement) -> Vec<Vec<u8>> {
    datagram::split(items, &|items: &[T]| encode(&supplement(items.to_vec())))
}

/// Returns the datagram of a supplement whose positions are of an era. One that cannot be encoded is logged and left out.
pub fn encode_in_era(supplement: &Supplement, era: Era) -> Option<Vec<u8>> {
    let mut bytes = encode(supplement)?;
    let former_bases = former_bases(supplement);
    match rmp_serde::to_vec_named(&Appendix { era, former_bases }) {
        Ok(appendix) => bytes.extend(appendix),
        Err(error) => {
            log::warn!(error:% = error; "failed to encode the era of a supplement; sent without it")
        }
    }
    Some(bytes)
}

fn former_bases(supplement: &Supplement) -> Vec<(SmolStr, SmolStr)> {
    let Supplement::Builds { epochs, .. } = supplement else {
        return Vec::new();
    };
    let former_bases = epochs.iter().filter_map(|(pool, stored)| {
        let former_base = stored.epoch.former_base.clone()?;
        Some((pool.clone(), former_base))
    });
    former_bases.collect()
}

/// Returns the supplement in a datagram, and the era of its positions.
///
/// # Errors
///
/// The decoder's error, also for a kind of supplement that this version does not know.
pub fn decode(bytes: &[u8]) -> std::result::Result<(Supplement, Era), rmp_serde::decode::Error> {
    let (mut supplement, appendix) = appendix::decode(bytes.get(1..).unwrap_or_default())?;
    let Appendix { era, former_bases } = appendix.unwrap_or_default();
    if let Supplement::Builds { epochs, .. } = &mut supplement {
        for (pool, stored) in epochs {
            let stated = former_bases.iter().find(|(name, _)| name == pool);
            stored.epoch.former_base = stated.map(|(_, build)| build.clone());
        }
    }
    Ok((supplement, era))
}

/// Returns what targets stated recently of their limits, brittleness and leaving.
pub fn statements(gateway: &Gateway) -> Vec<Vec<u8>> {
    let now_ms = gateway.now_ms();
    let (limits, brittle, leaving) = {
        let roster = gateway.roster.lock();
        (
            query::limit_notices(&roster, now_ms),
            query::brittle_notices(&roster, now_ms),
            query::leaving_notices(&roster, now_ms),
        )
    };
    let mut datagrams = split(&limits, Supplement::Limits);
    datagrams.extend(split(&brittle, Supplement::Brittle));
    datagrams.extend(split(&leaving, Supplement::Leaving));
    datagrams
}
