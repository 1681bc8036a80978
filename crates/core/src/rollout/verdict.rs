//! The comparison of the new build of a rollout with the former one.
//!
//! Both builds are compared by route and over the same time, so that what disturbs both alike is not taken for a fault of the new
//! one. Two proportions differ beyond chance if
//!
//! `z = (p1 - p0) / sqrt(p (1 - p) (1 / n1 + 1 / n0)) >= Z_MIN`, with the pooled proportion `p`.
//!
//! Source: Fleiss, Levin and Paik, "Statistical Methods for Rates and Proportions", third edition, section 3.1.

use serde::{Deserialize, Serialize};

use super::counters::{Count, Histogram, Key, Ledger, Spread, Sums};
use super::Side;

/// The windows in which the builds are compared, in milliseconds. The short one finds a build that has just turned bad, the longer ones
/// a build that is bad on a route with little traffic. The last one is the whole rollout.
const WINDOWS_MS: [u64; 3] = [1_500, 6_000, u64::MAX];

/// The smallest z-score of a difference. By chance alone, one in 30,000 comparisons exceeds it, and a rollout makes a few hundred.
const Z_MIN: f64 = 4.0;

/// The smallest number of failed or slow answers that show a bad build.
const BAD_MIN: u32 = 5;

/// The smallest difference between the shares of failed answers.
const FAILED_EXCESS: f64 = 0.1;

/// The smallest difference between the shares of slow answers. The caches of new targets are empty, so that some of their first
/// answers are late.
const SLOW_EXCESS: f64 = 0.25;

/// The classes of time, of half an octave each, by which a slow answer exceeds the 90th percentile of the former build: a factor of 2.8.
const SLOW_CLASSES: usize = 3;

/// The smallest number of targets at which answers must have failed, unless fewer were tried. A sick machine or a crash of a few targets is
/// no fault of the build.
const FAILING_TARGETS_MIN: u32 = 3;

/// Why a build counts as bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Its answers fail more often.
    Failures,
    /// Its first bytes come later.
    FirstByte,
    /// Its events come more slowly.
    Pace,
}

impl Fault {
    /// Returns the name of the fault in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::FirstByte => "first_byte",
            Self::Pace => "pace",
        }
    }
}

/// The evidence against a build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The kind of fault.
    pub fault: Fault,
    /// The hash of the route's name; `None` for all routes together.
    pub route: Option<u32>,
    /// The window of time, in milliseconds.
    pub window_ms: u64,
    /// The number of bad answers and of all answers of the new build.
    pub new: (u32, u32),
    /// The same of the former build.
    pub former: (u32, u32),
}

/// Returns the evidence that the new build is worse than the former one, if there is any.
pub fn judge(ledger: &Ledger, now_ms: u64) -> Option<Evidence> {
    let spread = ledger.spread(Side::New);
    WINDOWS_MS
        .iter()
        .find_map(|window_ms| judge_window(&ledger.recent(*window_ms, now_ms), spread, *window_ms))
}

fn judge_window(sums: &Sums, spread: Spread, window_ms: u64) -> Option<Evidence> {
    let mut all = (Count::default(), Count::default());
    for (key, new) in sums.iter().filter(|(key, _)| key.side == Side::New) {
        let former = Key {
            side: Side::Former,
            ..*key
        };
        let former = sums.get(&former).copied().unwrap_or_default();
        let found = compare(new, &former, spread);
        if let Some((fault, new, former)) = found {
            return Some(Evidence {
                fault,
                route: Some(key.route),
                window_ms,
                new,
                former,
            });
        }
        all.0.add(new);
        all.1.add(&former);
    }
    let (new, former) = all;
    let new_share = (new.failed, ended(&new));
    let former_share = (former.failed, ended(&former));
    let is_bad = is_spread(spread) && exceeds(new_share, former_share, FAILED_EXCESS);
    is_bad.then_some(Evidence {
        fault: Fault::Failures,
        route: None,
        window_ms,
        new: new_share,
        former: former_share,
    })
}

type Finding = (Fault, (u32, u32), (u32, u32));

fn compare(new: &Count, former: &Count, spread: Spread) -> Option<Finding> {
    let failed = (new.failed, ended(new));
    let former_failed = (former.failed, ended(former));
    if is_spread(spread) && exceeds(failed, former_failed, FAILED_EXCESS) {
        return Some((Fault::Failures, failed, former_failed));
    }
    let times = [
        (Fault::FirstByte, &new.first, &former.first),
        (Fault::Pace, &new.pace, &former.pace),
    ];
    times.into_iter().find_map(|(fault, new, former)| {
        let (slow, former_slow) = slow(new, former)?;
        exceeds(slow, former_slow, SLOW_EXCESS).then_some((fault, slow, former_slow))
    })
}

/// Returns the slow answers of both builds: those that take much longer than nine tenths of the former build's.
fn slow(new: &Histogram, former: &Histogram) -> Option<((u32, u32), (u32, u32))> {
    let threshold = former.quantile(0.9)? + SLOW_CLASSES;
    let slow = |times: &Histogram| (times.at_least(threshold), times.total());
    Some((slow(new), slow(former)))
}

/// Returns the number of requests that have ended or begun to be answered.
fn ended(count: &Count) -> u32 {
    count.first.total().saturating_add(count.failed)
}

fn is_spread(spread: Spread) -> bool {
    let failing = spread.failing.count_ones();
    failing >= FAILING_TARGETS_MIN.min(spread.tried.count_ones())
}

/// Returns whether the share of bad answers of the new build exceeds that of the former one by `excess` and beyond chance. Each is given as
/// the number of bad answers and of all. A former build without answers has none that is bad.
fn exceeds(new: (u32, u32), former: (u32, u32), excess: f64) -> bool {
    let (bad, total) = (f64::from(new.0), f64::from(new.1));
    let (former_bad, former_total) = (f64::from(former.0), f64::from(former.1.max(1)));
    if new.0 < BAD_MIN || bad / total - former_bad / former_total < excess {
        return false;
    }
    let pooled = (bad + former_bad) / (total + former_total);
    let variance = pooled * (1.0 - pooled) * (1.0 / total + 1.0 / former_total);
    variance <= 0.0 || (bad / total - former_bad / former_total) / variance.sqrt() >= Z_MIN
}
