//! The steps of one pass: the targets to which a request is offered, in order.

use std::collections::VecDeque;

use sardinemux_core::config::query;
use sardinemux_core::placement::{self, Offer, Rank, Step};
use sardinemux_core::target::{Kind, Table};

use super::{Forwarding, RANKS_MAX};
use crate::owner::admission;
use crate::settings::Policy;

impl Forwarding {
    /// Ranks the eligible targets and plans the steps of the next pass.
    pub(super) fn plan_steps(&mut self) {
        let targets = self.router.targets();
        let config = self.router.config();
        let eligible = targets.iter_pool(&self.job.pool).filter(|(_, target)| {
            target.kind == self.job.kind
                && query::is_eligible(&config, target)
                && self.fits_build(target)
        });
        let mut ranks = match self.router.settings.policy {
            Policy::LeastLoaded => placement::rank(self.job.chat, eligible, usize::MAX),
            _ => placement::rank(self.job.chat, eligible, RANKS_MAX),
        };
        self.steps = match self.router.settings.policy {
            Policy::Owner => self.plan_owner_steps(&mut ranks, &targets),
            Policy::Hash => plan_direct_steps(&ranks),
            Policy::LeastLoaded => {
                let reports = self.router.reports.lock();
                ranks.sort_by_key(|rank| {
                    let target = targets.get(rank.key);
                    let report = target.and_then(|target| reports.get(&target.id));
                    report.map_or(0, |report| report.running)
                });
                plan_direct_steps(&ranks)
            }
        };
        // The target of the dispatch that failed last comes last.
        if let Some(avoided) = self.avoided {
            let (last, first) = self.steps.iter().partition(|step| step.key == avoided);
            self.steps = first;
            self.steps.extend::<VecDeque<Step>>(last);
        }
    }

    /// Plans the steps through owners. A returning chat prefers the eligible target that its hint names; any other
    /// request prefers the least loaded of the best ranks.
    pub(super) fn plan_owner_steps(
        &self,
        ranks: &mut Vec<Rank>,
        targets: &Table,
    ) -> VecDeque<Step> {
        let is_returning = self.job.is_returning && self.job.kind == Kind::Engine;
        if is_returning {
            let hint = self.job.hint.as_ref().and_then(|id| targets.key(id));
            let config = self.router.config();
            let hint = hint.filter(|key| {
                targets.get(*key).is_some_and(|target| {
                    target.pool == self.job.pool
                        && target.kind == self.job.kind
                        && query::is_eligible(&config, target)
                        && self.fits_build(target)
                })
            });
            placement::prefer_hint(ranks, hint);
        } else {
            let owners = self.router.owners();
            placement::prefer_least_loaded(ranks, |key| {
                let Some(target) = targets.get(key) else {
                    return f64::INFINITY;
                };
                let owner = owners.get(&target.id).map_or("", |owner| owner.id.as_str());
                admission::relative_load(&self.router, target, owner)
            });
        }
        placement::plan(ranks, is_returning).into()
    }
}

/// Plans one step for each ranked target, in the order of the ranks.
fn plan_direct_steps(ranks: &[Rank]) -> VecDeque<Step> {
    let steps = ranks.iter().map(|rank| Step {
        key: rank.key,
        offer: Offer::OrQueue,
    });
    steps.collect()
}
