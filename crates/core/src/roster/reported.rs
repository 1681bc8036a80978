//! The requests that other routers report to have in flight, one by one and as sums of whole availability zones.
//!
//! A choice of a target needs the sum for each target of a pool, and is made far more often than a report arrives. So the sums are
//! updated with each report, and a choice does not take longer the more routers there are.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::collection::{Number, Part, Sum};

/// The report of one router.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Its availability zone.
    pub zone: SmolStr,
    /// The requests that it has in flight, by target.
    pub running: IndexMap<SmolStr, u32>,
}

/// The sum that a collector sent of its zone.
#[derive(Clone, Debug, Default)]
struct ZoneSum {
    zone: SmolStr,
    sum: Sum,
}

/// What the other routers last reported.
#[derive(Clone, Debug, Default)]
pub struct Reported {
    /// The reports, by router, and when they were received.
    reports: IndexMap<SmolStr, (Report, u64)>,
    /// The sums of the reports, by zone and target.
    direct: IndexMap<SmolStr, IndexMap<Number, u64>>,
    /// The sums of zones, by the collector that sent them.
    zones: IndexMap<SmolStr, ZoneSum>,
    /// The sums over all zones, by the collector that sent them.
    fleet: IndexMap<SmolStr, Sum>,
    /// What this router itself reported last, which the sums over all zones contain.
    own: IndexMap<Number, u32>,
}

impl Reported {
    /// Returns the requests that other routers have on a target: those of a sum over all zones without its own part or, if there
    /// is none, those of the sums and reports by zone.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::collection::{self, Number};
    /// use sardinemux_core::roster::{Report, Reported};
    ///
    /// let mut reported = Reported::default();
    /// let report = |count| Report { zone: "z".into(), running: [("t".into(), count)].into_iter().collect() };
    /// let number = Number::of("t");
    /// reported.put("r1".into(), report(2), 0);
    /// reported.put("r2".into(), report(3), 400);
    /// assert_eq!(reported.running(number, 400), 5);
    /// reported.remove_older_than(400);
    /// assert_eq!(reported.running(number, 400), 3);
    /// for part in collection::split(vec![(number, 9)], 1) {
    ///     reported.add_fleet_part("r2".into(), part, 500);
    /// }
    /// assert_eq!(reported.running(number, 500), 9);
    /// assert_eq!(reported.running(number, 9_000), 3);
    /// ```
    pub fn running(&self, target: Number, now_ms: u64) -> u32 {
        let sums = self.fleet.values();
        let latest = sums
            .filter_map(|sum| Some((sum.valid_since_ms(now_ms)?, sum)))
            .max_by_key(|(at_ms, _)| *at_ms);
        match latest {
            Some((_, sum)) => {
                let own = self.own.get(&target).copied().unwrap_or_default();
                sum.running(target).saturating_sub(own)
            }
            None => self.running_by_zone(target, now_ms),
        }
    }

    /// Returns the requests that other routers have on a target, from the sums and reports by zone.
    pub fn running_by_zone(&self, target: Number, now_ms: u64) -> u32 {
        let summed = self.valid_zones(now_ms);
        let zones: u64 = summed
            .values()
            .map(|sum| u64::from(sum.running(target)))
            .sum();
        let direct = self
            .direct
            .iter()
            .filter(|(zone, _)| !summed.contains_key(*zone));
        let direct: u64 = direct.filter_map(|(_, sums)| sums.get(&target)).sum();
        u32::try_from(zones + direct).unwrap_or(u32::MAX)
    }

    /// Returns the requests on a target in the reports of the routers of one zone.
    pub fn running_in_zone(&self, zone: &str, target: Number) -> u32 {
        let sums = self.direct.get(zone);
        let sum = sums.and_then(|sums| sums.get(&target)).copied();
        u32::try_from(sum.unwrap_or_default()).unwrap_or(u32::MAX)
    }

    /// Returns the latest valid sum of each zone.
    fn valid_zones(&self, now_ms: u64) -> IndexMap<&SmolStr, &Sum> {
        let mut latest: IndexMap<&SmolStr, &Sum> = IndexMap::new();
        for ZoneSum { zone, sum } in self.zones.values() {
            let Some(since_ms) = sum.valid_since_ms(now_ms) else {
                continue;
            };
            let known = latest
                .get(zone)
                .and_then(|known| known.valid_since_ms(now_ms));
            if known.is_none_or(|known_ms| known_ms < since_ms) {
                latest.insert(zone, sum);
            }
        }
        latest
    }

    /// Stores a report, in place of the former one of the same router.
    pub fn put(&mut self, router: SmolStr, report: Report, now_ms: u64) {
        let sums = self.direct.entry(report.zone.clone()).or_default();
        for (target, count) in &report.running {
            *sums.entry(Number::of(target)).or_default() += u64::from(*count);
        }
        if let Some((former, _)) = self.reports.insert(router, (report, now_ms)) {
            subtract(&mut self.direct, &former);
        }
    }

    /// Adds a part of the sum that a collector sent of its zone.
    pub fn add_zone_part(&mut self, sender: SmolStr, zone: SmolStr, part: Part, now_ms: u64) {
        let known = self.zones.entry(sender).or_default();
        known.zone = zone;
        known.sum.add(part, now_ms);
    }

    /// Adds a part of the sum over all zones that a collector of the own zone sent.
    pub fn add_fleet_part(&mut self, sender: SmolStr, part: Part, now_ms: u64) {
        self.fleet.entry(sender).or_default().add(part, now_ms);
    }

    /// Records what this router reported of itself.
    pub fn set_own(&mut self, running: &IndexMap<SmolStr, u32>) {
        let numbers = running
            .iter()
            .map(|(target, count)| (Number::of(target), *count));
        self.own = numbers.collect();
    }

    /// Removes the reports that were received before `at_ms`, and the sums that ended before.
    pub fn remove_older_than(&mut self, at_ms: u64) {
        let Self {
            reports, direct, ..
        } = self;
        reports.retain(|_, (report, received_ms)| {
            let is_kept = *received_ms >= at_ms;
            if !is_kept {
                subtract(direct, report);
            }
            is_kept
        });
        self.zones.retain(|_, known| known.sum.is_valid(at_ms));
        self.fleet.retain(|_, sum| sum.is_valid(at_ms));
    }

    /// Removes all reports and sums.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Subtracts a report from the sums, of which one that becomes zero is removed.
fn subtract(direct: &mut IndexMap<SmolStr, IndexMap<Number, u64>>, report: &Report) {
    let Some(sums) = direct.get_mut(&report.zone) else {
        return;
    };
    for (target, count) in &report.running {
        let number = Number::of(target);
        if let Some(sum) = sums.get_mut(&number) {
            *sum = sum.saturating_sub(u64::from(*count));
            if *sum == 0 {
                sums.swap_remove(&number);
            }
        }
    }
    if sums.is_empty() {
        direct.swap_remove(&report.zone);
    }
}
