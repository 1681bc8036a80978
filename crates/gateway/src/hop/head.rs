//! The headers that gateways set on requests which they pass on to each other, and on the answers.

use hyper::header::{HeaderName, HeaderValue};
use hyper::HeaderMap;
use sardinemux_core::passage::Passage;
use smol_str::SmolStr;

/// The header of a request that another gateway passes on, with a random number that the answer repeats.
pub const EXCHANGE: HeaderName = HeaderName::from_static("x-hop");

/// The header with the pool in which a request is to be served.
pub const POOL: HeaderName = HeaderName::from_static("x-hop-pool");

/// The header with the number of targets on which a request may still run.
pub const RUNS: HeaderName = HeaderName::from_static("x-hop-runs");

/// The header with the build at which a stream must go on, or which sends one.
pub const BUILD: HeaderName = HeaderName::from_static("x-hop-build");

/// The header with the version of the catalogue in which a request has been looked up, or by which it was served. It is sent only to
/// gateways that read it, as others pass it on to targets or callers.
pub const CATALOG: HeaderName = HeaderName::from_static("x-hop-catalog");

/// The header with the name of the gateway that passes a request on, beside [`CATALOG`].
pub const SENDER: HeaderName = HeaderName::from_static("x-hop-sender");

/// The header of a failure that states whether a target has received the request. Gateways of earlier builds do not set it.
pub const ARRIVED: HeaderName = HeaderName::from_static("x-hop-arrived");

/// The value of [`ARRIVED`] with which a gateway states that no target has received the request.
pub const NOT_ARRIVED: HeaderValue = HeaderValue::from_static("0");

/// The header of an answer whose body ends regularly only if it is complete. Gateways of earlier builds do not set it.
pub const CHECKED: HeaderName = HeaderName::from_static("x-hop-checked");

/// The value of [`CHECKED`].
pub const IS_CHECKED: HeaderValue = HeaderValue::from_static("1");

/// What another gateway states of a request that it passes on.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    /// The number that the answer repeats.
    pub exchange: Option<HeaderValue>,
    /// The pool in which the request is to be served.
    pub pool: Option<SmolStr>,
    /// The build at which its stream must go on.
    pub build: Option<SmolStr>,
    /// The number of targets on which it may still run.
    pub runs: Option<u32>,
    /// The version of the catalogue in which it has been looked up.
    pub catalog: Option<u64>,
    /// The name of the gateway that passes it on.
    pub sender: Option<SmolStr>,
}

impl Passed {
    /// Takes the headers that gateways set from those of a request.
    pub fn take(headers: &mut HeaderMap) -> Self {
        let exchange = headers.remove(&EXCHANGE);
        let mut text = |name: HeaderName| {
            let value = headers.remove(&name)?;
            Some(SmolStr::from(value.to_str().ok()?))
        };
        Self {
            exchange,
            pool: text(POOL),
            build: text(BUILD),
            runs: text(RUNS).and_then(|runs| runs.parse().ok()),
            catalog: text(CATALOG).and_then(|version| version.parse().ok()),
            sender: text(SENDER),
        }
    }

    /// Returns what decides where the request runs.
    pub fn passage(&self) -> Passage<'_> {
        Passage {
            catalog: self.catalog,
            pool: self.pool.as_deref().unwrap_or_default(),
            has_begun: self.build.is_some(),
        }
    }
}
