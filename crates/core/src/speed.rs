//! How long work takes on a target at this moment, compared with what is usual: 1 is usual, 2.5 is slow.
//!
//! Targets state the figure in their answers. A machine changes its speed about every 0.6 s, so a statement is one sample that
//! loses its meaning within a second, and gateways pass samples on to each other. The speed of targets that state none can be
//! learnt from the times of their answers, by [`Learner`].

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::collection::Number;

/// The time constant with which a sample loses its weight, in milliseconds. Machines change their speed about every 600 ms, so that
/// a sample of this age says little more than the mean does.
pub const DECAY_MS: f64 = 500.0;

/// The smallest and the largest factor that are used. A larger one would leave a target without requests, and so without samples,
/// for longer than the speed lasts.
pub const FACTOR_RANGE: (f64, f64) = (0.25, 16.0);

/// The largest statement that is not taken for an error, in percent of the usual time.
const PERCENT_MAX: f64 = 10_000.0;

/// The factor from which a target counts as slow. A request at a usual target then saves at least half of its time, which is more
/// than the fetch of a cached prompt takes: a sixth of reading it. A sample of 2.5 keeps a target slow for 0.55 s.
pub const SLOW: f64 = 1.5;

/// The difference from 1 below which a factor counts as usual, and is not passed on.
const USUAL_WIDTH: f64 = 0.05;

/// What an answer states of the speed of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Stated {
    /// Nothing.
    #[default]
    Absent,
    /// A factor within [`FACTOR_RANGE`].
    Factor(f64),
    /// Something that is no usable percentage.
    Invalid,
}

impl Stated {
    /// Reads a percentage of the usual time.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::speed::Stated;
    ///
    /// assert_eq!(Stated::of_percent("250"), Stated::Factor(2.5));
    /// assert_eq!(Stated::of_percent("9000"), Stated::Factor(16.0));
    /// assert_eq!(Stated::of_percent("-5"), Stated::Invalid);
    /// ```
    pub fn of_percent(text: &str) -> Self {
        let percent = text.trim().parse::<f64>().ok();
        match percent.filter(|it| *it > 0.0 && *it <= PERCENT_MAX) {
            Some(percent) => Self::Factor(clamp(percent / 100.0)),
            None => Self::Invalid,
        }
    }
}

fn clamp(factor: f64) -> f64 {
    factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

/// From whom a sample comes. It decides to whom it is passed on, so that no sample comes back to its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// From an answer to this gateway.
    #[default]
    Own,
    /// From a gateway of the same availability zone, of which this one is a collector.
    Zone,
    /// From a collector.
    Collector,
    /// From the times of answers to this gateway. It is not passed on.
    Learnt,
}

/// The latest sample of a target's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    factor: f64,
    /// When the target stated it, in milliseconds; negative if this process began later.
    at_ms: i64,
    source: Source,
    /// When this gateway learnt it, in milliseconds.
    learnt_ms: u64,
    /// When the factor was last not as usual, in milliseconds.
    unusual_ms: Option<i64>,
}

impl Estimate {
    /// Creates an estimate from a sample of this moment.
    pub fn new(factor: f64, source: Source, age_ms: u64, now_ms: u64) -> Self {
        let at_ms = now_ms as i64 - age_ms as i64;
        let factor = clamp(factor);
        Self {
            factor,
            at_ms,
            source,
            learnt_ms: now_ms,
            unusual_ms: ((factor - 1.0).abs() >= USUAL_WIDTH).then_some(at_ms),
        }
    }

    /// Returns the expected factor: `1 + (x - 1) * exp(-t / DECAY_MS)` for a sample `x` of the age `t`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::speed::{Estimate, Source};
    ///
    /// let estimate = Estimate::new(2.5, Source::Own, 0, 1_000);
    /// assert_eq!(estimate.factor(1_000), 2.5);
    /// assert!(estimate.factor(1_600) < 1.5);
    /// assert!(estimate.factor(4_000) < 1.01);
    /// ```
    pub fn factor(&self, now_ms: u64) -> f64 {
        let age_ms = (now_ms as i64 - self.at_ms).max(0) as f64;
        1.0 + (self.factor - 1.0) * (-age_ms / DECAY_MS).exp()
    }

    /// Replaces the sample by a later one. Returns whether it is later.
    pub fn update(&mut self, later: Self) -> bool {
        if later.at_ms <= self.at_ms {
            return false;
        }
        let unusual_ms = later.unusual_ms.or(self.unusual_ms);
        *self = Self {
            unusual_ms,
            ..later
        };
        true
    }

    /// Returns the sample for other gateways, if it was learnt since `since_ms` and others may take the target for slow or fast
    /// without it.
    fn news(&self, since_ms: u64, now_ms: u64) -> Option<(u16, u16)> {
        let unusual_age_ms = now_ms as i64 - self.unusual_ms?;
        let age_ms = (now_ms as i64 - self.at_ms).max(0);
        let is_news = self.learnt_ms >= since_ms && unusual_age_ms < NEWS_MS && age_ms < NEWS_MS;
        is_news.then_some(((self.factor * 100.0).round() as u16, age_ms as u16))
    }
}

/// The age up to which samples are passed on, in milliseconds. The weight of older ones is below 0.1.
const NEWS_MS: i64 = 1_200;

/// The largest number of samples in one datagram. One takes up to 13 bytes.
pub const NOTICES_MAX: usize = 90;

/// A sample, as gateways exchange it, with its age, since clocks of instances are not compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The target.
    pub target: Number,
    /// The factor, in percent.
    pub percent: u16,
    /// The time since the target stated it, in milliseconds.
    pub age_ms: u16,
}

/// Returns the notice of a sample that was learnt since `since_ms` from one of `sources`.
pub fn notice(
    target: Number,
    estimate: &Estimate,
    sources: &[Source],
    since_ms: u64,
    now_ms: u64,
) -> Option<Notice> {
    let (percent, age_ms) = estimate.news(since_ms, now_ms)?;
    sources.contains(&estimate.source).then_some(Notice {
        target,
        percent,
        age_ms,
    })
}

/// The weight of one answer in the mean time of a route. It spans some fifty answers, hence all targets of a pool.
const MEAN_WEIGHT: f64 = 0.02;

/// The weight of one answer in the factor of a target. Times of answers vary several-fold for reasons of the requests.
const SAMPLE_WEIGHT: f64 = 0.3;

/// The number of answers of a route after which its mean is used.
const MEAN_SAMPLES: u32 = 10;

/// The largest number of routes whose means are kept.
const ROUTES_MAX: usize = 1_024;

/// The mean time of the answers of a route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteMean {
    ms: f64,
    samples: u32,
}

/// Learns the speeds of targets that state none, from the times of their answers compared with the mean of their pool by route.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    means: IndexMap<(SmolStr, SmolStr), RouteMean>,
}

impl Learner {
    /// Records the time of an answer, and returns the new factor of its target, whose present one is `factor`; `None` while the
    /// route is not known well enough.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::speed::Learner;
    ///
    /// let mut learner = Learner::default();
    /// for _ in 0..20 {
    ///     learner.note("pool", "route", 30.0, 1.0);
    /// }
    /// assert!(learner.note("pool", "route", 75.0, 1.0).unwrap() > 1.3);
    /// ```
    pub fn note(&mut self, pool: &str, route: &str, time_ms: f64, factor: f64) -> Option<f64> {
        if !time_ms.is_finite() || time_ms < 0.0 {
            return None;
        }
        let key = (SmolStr::new(pool), SmolStr::new(route));
        if self.means.len() >= ROUTES_MAX && !self.means.contains_key(&key) {
            return None;
        }
        let mean = self.means.entry(key).or_default();
        mean.samples = mean.samples.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(mean.samples));
        mean.ms += weight * (time_ms - mean.ms);
        if mean.samples <= MEAN_SAMPLES || mean.ms <= 0.0 {
            return None;
        }
        let sample = clamp(time_ms / mean.ms);
        Some(clamp(factor + SAMPLE_WEIGHT * (sample - factor)))
    }
}
