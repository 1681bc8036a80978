//! How long requests take, by route and by target.

use indexmap::IndexMap;

use crate::collection::Number;

/// The weight of one request in the moving averages: some 20 requests, a tenth of a second of the pools that this is for.
const WEIGHT: f64 = 0.05;

/// The time that requests are assumed to take before one has ended, in milliseconds.
const INITIAL_MS: f64 = 50.0;

/// The weight of one request in the speed of a target, which sees a third of the requests or less.
const SPEED_WEIGHT: f64 = 0.2;

/// The half-life of what is known of the speed of a target, in milliseconds, so that it fades within a second.
const SPEED_HALF_LIFE_MS: f64 = 250.0;

/// The moving averages of the time that requests take.
#[derive(Clone, Debug, Default)]
pub(super) struct Timing {
    all_ms: Option<f64>,
    routes_ms: IndexMap<u32, f64>,
    /// The mean deviation from the time of the route, in milliseconds.
    deviation_ms: f64,
    /// The time on each target in relation to that of the route, and when it was measured, in milliseconds.
    speeds: IndexMap<Number, (f64, u64)>,
}

impl Timing {
    pub fn note(&mut self, target: Number, route: u32, time_ms: f64, now_ms: u64) {
        let time_ms = time_ms.max(1.0);
        let usual_ms = self.time_ms(Some(route)).max(1.0);
        let known = self.speed(target, now_ms);
        let ratio = (time_ms / usual_ms).clamp(0.1, 10.0);
        let speed = known + SPEED_WEIGHT * (ratio - known);
        self.speeds.insert(target, (speed, now_ms));
        self.deviation_ms += WEIGHT * ((time_ms - usual_ms).abs() - self.deviation_ms);
        let route_ms = self.routes_ms.entry(route).or_insert(time_ms);
        *route_ms += WEIGHT * (time_ms - *route_ms);
        let all_ms = self.all_ms.get_or_insert(time_ms);
        *all_ms += WEIGHT * (time_ms - *all_ms);
    }

    /// Returns the mean time of the requests of a route or, without one, of all.
    pub fn time_ms(&self, route: Option<u32>) -> f64 {
        let known = route.and_then(|route| self.routes_ms.get(&route).copied());
        known.or(self.all_ms).unwrap_or(INITIAL_MS)
    }

    /// Returns the time within which most requests of a route end: `time + 2 * deviation`, some 19 of 20.
    pub fn long_ms(&self, route: u32) -> f64 {
        self.time_ms(Some(route)) + 2.0 * self.deviation_ms
    }

    /// Returns how long requests take on a target in relation to the others: 1 as usual, 2 twice as long.
    pub fn speed(&self, target: Number, now_ms: u64) -> f64 {
        self.speeds.get(&target).map_or(1.0, |(speed, at_ms)| {
            let age_ms = now_ms.saturating_sub(*at_ms) as f64;
            1.0 + (speed - 1.0) * (-age_ms / SPEED_HALF_LIFE_MS).exp2()
        })
    }
}
