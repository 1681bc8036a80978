//! Whether requests leave the availability zone of this gateway, where operators have set costs for that.

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;
use sardinemux_core::crossing::{self, Cache, Choice, Estimate, Pressure, Recent, Spill};
use sardinemux_core::roster::query;

use crate::prelude::*;
use crate::request::Inbound;

/// The round trip between zones, in milliseconds: twice the longest time of one way.
const ROUND_TRIP_MS: f64 = 2.8;

/// What this gateway knows of the requests of its zone.
#[derive(Debug, Default)]
pub struct Zones {
    recent: Mutex<Recent>,
    /// The shares of requests that leave, by pool.
    spills: Mutex<IndexMap<SmolStr, Spill>>,
}

/// Returns the zone whose targets a request prefers; `None` if it goes to any, as its cache is elsewhere or operators have set no costs.
pub fn choose(gateway: &Gateway, inbound: &Inbound) -> Option<SmolStr> {
    let costs = gateway.bounds.read().crossing;
    if !costs.is_active() {
        return None;
    }
    let now_ms = gateway.now_ms();
    let drawn = draw_zone(gateway, inbound, now_ms);
    let prompt = inbound.prompt.prefix_id();
    let zone = &gateway.settings.zone;
    let gateways = gateways(gateway, now_ms);
    let requests = prompt.map_or(1.0, |id| gateway.zones.recent.lock().note(id, now_ms));
    let holder = prompt.and_then(|id| gateway.holders.lock().get(id));
    let cache = {
        let roster = gateway.roster.lock();
        let holder = holder.filter(|key| query::is_eligible(&roster, *key, now_ms));
        match holder.and_then(|key| query::target(&roster, key)) {
            Some(target) if target.zone == *zone => Cache::Here,
            Some(_) => Cache::Elsewhere,
            None => Cache::Nowhere,
        }
    };
    let estimate = Estimate {
        bytes: inbound.body.len() as f64,
        tokens: inbound.prompt.tokens(),
        requests: requests * gateways,
        cache,
    };
    let choice = crossing::decide(costs, estimate, drawn.is_some());
    let label = match choice {
        Choice::Stay => "stay",
        Choice::FollowCache => "cache",
        Choice::Spill => "spill",
    };
    let choices = &gateway.metrics.zone_choices;
    choices.with_label_values(&[label]).inc();
    match choice {
        Choice::Stay => Some(zone.clone()),
        Choice::FollowCache => None,
        Choice::Spill => drawn,
    }
}

/// Returns the zone to which a request goes if its own is busy, from the loads of zones as far as they are known.
fn draw_zone(gateway: &Gateway, inbound: &Inbound, now_ms: u64) -> Option<SmolStr> {
    let draw = rand::rng().random_range(0.0..1.0);
    let pool = &inbound.pool;
    let known = gateway.zones.spills.lock().get(pool).cloned();
    let mut spill = known.unwrap_or_default();
    if !spill.is_due(now_ms) {
        return spill.draw(draw);
    }
    let (mut others, running) = {
        let roster = gateway.roster.lock();
        let running: u32 = query::running_in_pool(&roster, pool).map(|it| it.1).sum();
        (query::pressures(&roster, pool, now_ms), running)
    };
    let home = others.shift_remove(&gateway.settings.zone);
    let home = home.unwrap_or_default();
    let others: Vec<(SmolStr, Pressure)> = others.into_iter().collect();
    // Callers are spread evenly over the gateways of a zone.
    let demand = f64::from(running) * gateways(gateway, now_ms);
    let hop = ROUND_TRIP_MS / inbound.route.objective_ms.max(1) as f64;
    let former = spill.share();
    spill.update(demand, home.slots, &others, hop, now_ms);
    let share = spill.share();
    if (former > 0.0) != (share > 0.0) {
        log::info!(
            pool:% = pool, share = share, demand = demand, slots = home.slots;
            "requests begin or cease to leave the availability zone for its load"
        );
    }
    let shares = &gateway.metrics.spill_share;
    shares.with_label_values(&[pool.as_str()]).set(share);
    let drawn = spill.draw(draw);
    gateway.zones.spills.lock().insert(pool.clone(), spill);
    drawn
}

/// Returns the number of gateways of this zone.
fn gateways(gateway: &Gateway, now_ms: u64) -> f64 {
    let zone = &gateway.settings.zone;
    let members = gateway.members.lock();
    let near = members.collecting(now_ms).filter(|it| it.zone == zone);
    (near.count() + 1) as f64
}
