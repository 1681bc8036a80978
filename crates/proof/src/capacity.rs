//! Slopes: what one more router, target, organisation, chat, request or token costs.

mod fleets;
pub mod page;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use sardinemux_core::config::{Change, Parameter};
use sardinemux_standin::platform::Faults;
use sardinemux_wire::admin::Rollout;
use tokio::time;

use self::fleets::control_bytes;
use crate::errors::Result;
use crate::fleet::{Fleet, Settings};
use crate::slope::{self, Line, Point};

/// How long a fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(8);

/// The calls whose time is taken.
const CALLS: usize = 1_500;

/// The changes whose way is timed.
const CHANGES: usize = 25;

/// A measured series.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The measurements.
    pub points: Vec<Point>,
}

impl Series {
    fn new(name: &'static str, size: &'static str, unit: &'static str) -> Self {
        Self {
            name,
            size,
            unit,
            points: Vec::new(),
        }
    }

    fn push(&mut self, size: usize, value: f64) {
        let size = size as f64;
        self.points.push(Point { size, value });
    }

    /// Returns the line through the series.
    pub fn line(&self) -> Line {
        slope::fit(&self.points)
    }
}

/// Three percentiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// The median.
    pub p50: f64,
    /// 95 in 100 are no longer.
    pub p95: f64,
    /// 99 in 100 are no longer.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

impl Times {
    /// Takes percentiles of times in milliseconds.
    fn of(mut times: Vec<f64>) -> Self {
        times.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let index = ((times.len() as f64 * quantile) as usize).min(times.len().max(1) - 1);
            times.get(index).copied().unwrap_or(0.0)
        };
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}

/// The time of calls made directly and through the fleet, in one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hop {
    /// Directly to the service.
    pub direct: Times,
    /// Through an entry router and an owner router.
    pub routed: Times,
}

async fn hop() -> Result<Hop> {
    let settings = Settings {
        routers: 4,
        engines: 2,
        services: 1,
        service_arguments: ["--work-ms", "0"].map(str::to_owned).to_vec(),
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await?;
    time::sleep(SETTLE).await;
    let service = fleet.services[0].address;
    // The entry is in another zone than the service, so that the owner is another router.
    let entry = fleet.routers[1].entry;
    let direct_url = format!("http://{service}/items?operation=x");
    let routed_url = format!("http://{entry}/services/booking/items?operation=x");
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    for _ in 0..CALLS {
        // In turn, so that a slow moment of the machine falls on both.
        for (url, times) in [(&direct_url, &mut direct), (&routed_url, &mut routed)] {
            let begin = Instant::now();
            let request = fleet.client.get(url).bearer_auth(fleet.key(0));
            if let Ok(response) = request.send().await {
                let _ = response.bytes().await;
            }
            times.push(begin.elapsed().as_secs_f64() * 1_000.0);
        }
    }
    Ok(Hop {
        direct: Times::of(direct),
        routed: Times::of(routed),
    })
}

/// The time from acceptance until a change is in force on every router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// With the platform whole.
    pub whole: Times,
    /// With the platform down from right after the acceptance.
    pub outage: Times,
    /// Control bytes of all routers together for one change.
    pub bytes: f64,
}

async fn in_force(fleet: &Fleet, version: u64) -> bool {
    let reads = fleet.routers.iter().map(|router| async {
        let held = fleet.metric(router, "sardinemux_config_version").await;
        held.is_ok_and(|held| held >= version as f64)
    });
    join_all(reads).await.into_iter().all(|held| held)
}

async fn spread() -> Result<Spread> {
    let settings = Settings {
        services: 1,
        engines: 4,
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await?;
    time::sleep(SETTLE).await;
    let idle_before: f64 = control_bytes(&fleet).await.iter().sum();
    time::sleep(SETTLE).await;
    let idle_after: f64 = control_bytes(&fleet).await.iter().sum();
    let idle_a_second = (idle_after - idle_before) / SETTLE.as_secs_f64();
    let begin = Instant::now();
    let mut result = Spread::default();
    for has_outage in [false, true] {
        let mut times = Vec::new();
        for index in 0..CHANGES {
            let change = Change::SetDefault {
                parameter: Parameter::QueueLength,
                value: 60.0 + index as f64,
            };
            fleet.submit(vec![change]).await?;
            let accepted = Instant::now();
            if has_outage {
                let down = Faults {
                    is_down: true,
                    ..Faults::default()
                };
                fleet.platform_faults(down).await?;
            }
            let version = fleet.newest_version();
            while !in_force(&fleet, version).await {
                time::sleep(Duration::from_millis(2)).await;
            }
            times.push(accepted.elapsed().as_secs_f64() * 1_000.0);
            fleet.platform_faults(Faults::default()).await?;
        }
        match has_outage {
            false => result.whole = Times::of(times),
            true => result.outage = Times::of(times),
        }
    }
    let seconds = begin.elapsed().as_secs_f64();
    let after: f64 = control_bytes(&fleet).await.iter().sum();
    let changes = (2 * CHANGES) as f64;
    result.bytes = ((after - idle_after) - idle_a_second * seconds).max(0.0) / changes;
    let force: Rollout = fleet.read("/v1/force").await?;
    assert_eq!(force.version, fleet.newest_version());
    Ok(result)
}

/// Everything that was measured.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The series.
    pub series: Vec<Series>,
    /// The added latency.
    pub hop: Hop,
    /// The way of a change.
    pub spread: Spread,
}

/// Measures everything.
///
/// # Errors
///
/// What went wrong with a fleet.
pub async fn measure() -> Result<Measured> {
    let mut series = fleets::by_chats();
    series.extend(fleets::by_tokens().await?);
    let hop = hop().await?;
    eprintln!("{hop:?}");
    let spread = spread().await?;
    eprintln!("{spread:?}");
    series.extend(fleets::by_organisations().await?);
    series.extend(fleets::by_targets().await?);
    series.extend(fleets::by_routers().await?);
    Ok(Measured {
        series,
        hop,
        spread,
    })
}
