//! The mean load of a pool, from samples that routers exchange, and the load bound derived from it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The age from which a sample is ignored, in milliseconds.
pub const SAMPLE_MAX_AGE_MS: u64 = 5_000;

/// The load on the targets of one pool that one router owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The number of eligible targets that the router owns.
    pub targets: u32,
    /// The number of requests in flight on these targets.
    pub requests: u32,
    /// The estimated number of tokens in flight on these targets.
    pub tokens: u64,
}

impl Sample {
    /// Returns the sum of two samples.
    pub fn plus(self, other: Self) -> Self {
        Self {
            targets: self.targets + other.targets,
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
        }
    }

    /// Returns the mean load per target. A sample without targets counts as one target.
    pub fn mean(self) -> Mean {
        let targets = f64::from(self.targets.max(1));
        Mean {
            requests: f64::from(self.requests) / targets,
            tokens: self.tokens as f64 / targets,
        }
    }
}

/// The mean load per target of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    /// Requests in flight per target.
    pub requests: f64,
    /// Estimated tokens in flight per target.
    pub tokens: f64,
}

/// The origin of a sample: a router and a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Source {
    /// The router.
    pub router: SmolStr,
    /// The pool.
    pub pool: SmolStr,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    sample: Sample,
    /// When the sample was taken, in milliseconds; negative if this process began later.
    at_ms: i64,
}

impl Entry {
    fn age_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 - self.at_ms).max(0) as u64
    }
}

/// The latest sample received for each router and pool.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    samples: IndexMap<Source, Entry>,
}

impl Samples {
    /// Stores a sample of the given age unless a later one is stored. An empty sample is
    /// stored too, as it shows that the router no longer owns any target of the pool.
    pub fn put(&mut self, source: Source, sample: Sample, age_ms: u32, now_ms: u64) {
        let at_ms = now_ms as i64 - i64::from(age_ms);
        let held = self.samples.get(&source);
        if held.is_some_and(|entry| entry.at_ms > at_ms) {
            return;
        }
        self.samples.insert(source, Entry { sample, at_ms });
    }

    /// Removes samples that have reached [`SAMPLE_MAX_AGE_MS`].
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.samples
            .retain(|_, entry| entry.age_ms(now_ms) < SAMPLE_MAX_AGE_MS);
    }

    /// Returns the sum of the samples of a pool, without expired ones.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::load::{Sample, Samples, Source};
    ///
    /// let mut samples = Samples::default();
    /// let source = |router: &str| Source { router: router.into(), pool: "m".into() };
    /// samples.put(source("r1"), Sample { targets: 1, requests: 4, tokens: 0 }, 0, 0);
    /// samples.put(source("r2"), Sample { targets: 3, requests: 0, tokens: 0 }, 0, 0);
    /// assert_eq!(samples.sum("m", 10).mean().requests, 1.0);
    /// assert_eq!(samples.sum("m", 60_000).mean().requests, 0.0);
    /// ```
    pub fn sum(&self, pool: &str, now_ms: u64) -> Sample {
        self.iter_fresh(now_ms)
            .filter(|(source, _, _)| source.pool == pool)
            .fold(Sample::default(), |sum, (_, sample, _)| sum.plus(sample))
    }

    /// Returns the samples that have not expired, with their ages in milliseconds.
    pub fn iter_fresh(&self, now_ms: u64) -> impl Iterator<Item = (&Source, Sample, u64)> {
        self.samples
            .iter()
            .map(move |(source, entry)| (source, entry.sample, entry.age_ms(now_ms)))
            .filter(|(_, _, age_ms)| *age_ms < SAMPLE_MAX_AGE_MS)
    }

    /// Returns the mean number of requests in flight per target that a router owns in a pool, or
    /// `None` if there is no sample or the router owns no target. A sample counts until
    /// [`Samples::remove_expired`] removes it.
    pub fn router_load(&self, router: &str, pool: &str) -> Option<f64> {
        let source = Source {
            router: router.into(),
            pool: pool.into(),
        };
        let sample = self.samples.get(&source)?.sample;
        (sample.targets > 0).then(|| f64::from(sample.requests) / f64::from(sample.targets))
    }
}

/// The factor by which the mean of the samples is reduced. The samples are taken at different times,
/// and where the bound steps up, a mean that is a few percent too large would let a target exceed it.
pub const MEAN_MARGIN: f64 = 0.95;

/// Returns the largest number of requests that one target may have in flight:
/// `ceil(multiple * mean) + 1`, with the mean reduced by the factor [`MEAN_MARGIN`].
///
/// The additional request lets an idle pool accept work; see Mirrokni, Thorup and Zadimoghaddam,
/// "Consistent hashing with bounded loads", SODA 2018.
///
/// # Examples
///
/// ```
/// use sardinemux_core::load::{self, Mean};
///
/// let mean = Mean { requests: 4.0, tokens: 0.0 };
/// assert_eq!(load::request_bound(1.25, mean), 6);
/// ```
pub fn request_bound(multiple: f64, mean: Mean) -> u32 {
    (multiple * MEAN_MARGIN * mean.requests).ceil() as u32 + 1
}

/// Returns whether a target with this many tokens in flight may accept one more request.
///
/// As in [`request_bound`], the limit is the multiple of the mean plus one mean request, here without
/// [`MEAN_MARGIN`]. A target without tokens in flight always accepts.
///
/// # Examples
///
/// ```
/// use sardinemux_core::load::{self, Mean};
///
/// let mean = Mean { requests: 2.0, tokens: 200.0 };
/// assert!(load::allows_tokens(1.25, mean, 350));
/// assert!(!load::allows_tokens(1.25, mean, 351));
/// ```
pub fn allows_tokens(multiple: f64, mean: Mean, tokens: u64) -> bool {
    let one_request = mean.tokens / mean.requests.max(1.0);
    tokens == 0 || tokens as f64 <= multiple * mean.tokens + one_request
}
