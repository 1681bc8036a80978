//! The comparison of the new build of a rollout with the former one.
//!
//! Both builds are compared by route and over the same time, so that what disturbs both alike is not taken for a fault of the new
//! one. With the share `f` of bad answers of the former build, its standard error `e`, and the excess `x` that is tolerated, the new build is bad if
//!
//! `P(X >= bad) <= CHANCE_MAX`, where `X` has the binomial distribution of its number of answers and the probability `f + e + x`.
//!
//! The distribution is exact, as a route may have fewer than ten answers. The normal approximation took 6 failures of 8 for a bad build while one
//! availability zone was sick, and 5 late answers of 20 while caches were empty.
//! Source: Fleiss, Levin and Paik, "Statistical Methods for Rates and Proportions", third edition, section 2.1.

use serde::{Deserialize, Serialize};

use super::counters::{Count, Histogram, Key, Ledger, Spread, Sums};
use super::Side;

/// The windows in which the builds are compared, in milliseconds. The short one finds a build that has just turned bad, the longer ones
/// a build that is bad on a route with little traffic. The last one is the whole rollout.
const WINDOWS_MS: [u64; 3] = [1_500, 6_000, u64::MAX];

/// The largest probability of a result by chance that counts as evidence. A rollout makes a few hundred comparisons.
const CHANCE_MAX: f64 = 3e-5;

/// The smallest number of answers of the former build in a window. With fewer, those of the whole rollout are compared.
const FORMER_MIN: u32 = 20;

/// The smallest number of failed or slow answers that show a bad build.
const BAD_MIN: u32 = 5;

/// The tolerated difference between the shares of failed answers. A sick zone or machine may have a larger part of the canary targets.
const FAILED_EXCESS: f64 = 0.1;

/// The tolerated difference between the shares of slow answers. The caches of new targets are empty, so that some of their first
/// answers are late.
const SLOW_EXCESS: f64 = 0.15;

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
    let whole = ledger.sums();
    WINDOWS_MS.iter().find_map(|window_ms| {
        let recent = ledger.recent(*window_ms, now_ms);
        judge_window(&recent, &whole, spread, *window_ms)
    })
}

fn judge_window(sums: &Sums, whole: &Sums, spread: Spread, window_ms: u64) -> Option<Evidence> {
    let mut all = (Count::default(), Count::default());
    for (key, new) in sums.iter().filter(|(key, _)| key.side == Side::New) {
        let former = Key {
            side: Side::Former,
            ..*key
        };
        let recent = sums.get(&former).filter(|it| ended(it) >= FORMER_MIN);
        let former = recent.or(whole.get(&former)).copied().unwrap_or_default();
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

/// Returns whether the share of bad answers of the new build exceeds that of the former one by more than `excess`, beyond chance. Each is given
/// as the number of bad answers and of all. A former build without answers has none that is bad.
fn exceeds(new: (u32, u32), former: (u32, u32), excess: f64) -> bool {
    let total = f64::from(former.1.max(1));
    let share = f64::from(former.0) / total;
    let error = (share * (1.0 - share) / total).sqrt();
    let tolerated = (share + error + excess).min(1.0);
    let is_above = f64::from(new.0) > tolerated * f64::from(new.1);
    new.0 >= BAD_MIN && is_above && chance(new, tolerated) <= CHANCE_MAX
}

/// Returns the probability that at least so many of all answers are bad, if each is with this probability.
fn chance((bad, total): (u32, u32), probability: f64) -> f64 {
    let odds = probability / (1.0 - probability);
    let (bad, total) = (f64::from(bad), f64::from(total));
    let count = bad as u32;
    // ln(total! / (bad! (total - bad)!))
    let ways: f64 = (0..count)
        .map(|index| ((total - f64::from(index)) / (bad - f64::from(index))).ln())
        .sum();
    let mut term = (ways + bad * probability.ln() + (total - bad) * (1.0 - probability).ln()).exp();
    let mut sum = 0.0;
    for index in count..=(total as u32) {
        sum += term;
        let index = f64::from(index);
        term *= (total - index) / (index + 1.0) * odds;
    }
    sum
}
