//! The selection of the target of a request, and the connection to it.

use std::time::Duration;

use rand::Rng;
use sardinemux_core::roster::query::{self, Criteria};
use sardinemux_core::roster::room;
use sardinemux_core::target::{Key, Target};
use sardinemux_core::tokens::Need;

use tokio::time;

use super::{Failure, Selection, Serving};
use crate::attempt::{self, InFlight, Link, Ready};
use crate::hop;
use crate::permits;
use crate::prelude::*;
use crate::quarantine;
use crate::rollouts::{self, Choice};
use crate::speeds;
use crate::zones;

/// The largest number of other gateways through which one request is sent.
const THROUGH_MAX: usize = 3;

/// The share of a pause by which callers return later than it ends.
const PAUSE_SPREAD: f64 = 0.2;

/// The interval at which a waiting request looks for a free slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Serving {
    /// Connects to the best target that has not been tried, passing over those that cannot be reached. The target has
    /// received nothing yet.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if no further attempt is allowed or possible.
    pub(super) async fn connect(&mut self) -> std::result::Result<Ready, Failure> {
        // A repeated request tells little about the new build, and its caller has waited once.
        if self.attempts.has_arrived() && self.rollout == Choice::New {
            self.change_side();
        }
        loop {
            if self.inbound.remaining().is_zero() {
                return Err(self.failure(Reason::Waited));
            }
            if !self.gateway.drain.may_send() {
                return Err(self.failure(Reason::NotReady));
            }
            // Other requests may have shown meanwhile that targets crash under this one.
            if !self.is_trial && quarantine::is_held(&self.gateway, &self.inbound) {
                return Err(self.failure(Reason::Quarantined));
            }
            if self.need().is_some_and(|need| !need.is_possible()) {
                self.record_denial("too_large");
                self.is_final = true;
                return Err(self.failure(Reason::Full));
            }
            if hop::is_needed(&self.gateway, &self.inbound.pool) {
                if let Some(ready) = self.connect_through().await? {
                    return Ok(ready);
                }
            }
            let selected = match self.obtain_permit().await? {
                Some(selected) => Some(selected),
                None => self.select_target(),
            };
            let Some((in_flight, target)) = selected else {
                if self.change_side() {
                    continue;
                }
                if self.may_wait_for_slot() {
                    time::sleep(SLOT_POLL_INTERVAL).await;
                    continue;
                }
                self.record_denial("no_target");
                self.retry_after = self.pause();
                return Err(self.failure(self.reason));
            };
            let key = in_flight.key;
            match attempt::connect(&self.inbound, in_flight, target, Link::Any).await {
                Ok(ready) if self.is_eligible(key) => return Ok(ready),
                // The target has become unavailable while it was connected.
                Ok(_) => self.tried.push(key),
                Err(reason) => {
                    self.tried.push(key);
                    self.handle_not_run(reason, false)?;
                }
            }
        }
    }

    /// Lets a request whose side of a rollout has no target for it go to the other side. Returns whether it does.
    fn change_side(&mut self) -> bool {
        let other = rollouts::other_choice(&self.gateway, &self.inbound.pool, self.rollout);
        self.rollout = other.unwrap_or(self.rollout);
        other.is_some()
    }

    /// Returns whether the request may wait for one of this gateway's slots on brittle targets: until half of its latency
    /// objective has passed, so that it can still be met, or refused early.
    fn may_wait_for_slot(&self) -> bool {
        let inbound = &self.inbound;
        let objective = Duration::from_millis(inbound.route.objective_ms / 2);
        let is_early = inbound.received_at.elapsed() < objective && !inbound.remaining().is_zero();
        let now_ms = self.gateway.now_ms();
        let roster = self.gateway.roster.lock();
        is_early && self.selection.skipped > 0 && query::is_brittle(&roster, &inbound.pool, now_ms)
    }

    /// Connects to another gateway, which chooses the target, as this one has lost its paths to the pool. Returns `None` if there
    /// is none, so that a target is tried all the same.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the request has been passed on already, or no other gateway could serve it.
    pub(super) async fn connect_through(&mut self) -> std::result::Result<Option<Ready>, Failure> {
        if self.inbound.hop.is_some() {
            return Err(self.failure(Reason::NoTarget));
        }
        while self.through.len() < THROUGH_MAX {
            let Some(peer) = hop::choose(&self.gateway, &self.inbound, &self.through) else {
                break;
            };
            self.through.push(peer.name.clone());
            if let Some(ready) = hop::connect(&self.gateway, &self.inbound, peer).await {
                return Ok(Some(ready));
            }
        }
        match self.through.is_empty() {
            true => Ok(None),
            false => Err(self.failure(self.reason)),
        }
    }

    /// Returns whether a target may get new requests.
    pub(super) fn is_eligible(&self, key: Key) -> bool {
        let now_ms = self.gateway.now_ms();
        let target = {
            let roster = self.gateway.roster.lock();
            let is_usable =
                query::is_eligible(&roster, key, now_ms) && !query::is_paused(&roster, key, now_ms);
            query::target(&roster, key)
                .filter(|_| is_usable)
                .map(|target| (target.pool.clone(), target.build.clone()))
        };
        target.is_some_and(|(pool, build)| rollouts::is_allowed(&self.gateway, &pool, &build))
    }

    /// Returns the time after which the caller may return, if all targets of the pool want no requests now. It is spread, so that
    /// callers that were refused together do not return together.
    fn pause(&self) -> Option<Duration> {
        let now_ms = self.gateway.now_ms();
        let roster = self.gateway.roster.lock();
        let pause_ms = query::shortest_pause_ms(&roster, &self.inbound.pool, now_ms)?;
        let spread = 1.0 + rand::rng().random_range(0.0..PAUSE_SPREAD);
        Some(Duration::from_millis(pause_ms).mul_f64(spread))
    }

    /// Returns the eligible targets that have not been tried, the best one first.
    fn rank_targets(&self) -> Vec<Key> {
        let inbound = &self.inbound;
        let bound = self.builds.as_deref();
        let restriction = rollouts::restrict(&self.gateway, &inbound.pool, self.rollout, bound);
        let criteria = Criteria {
            pool: &inbound.pool,
            subject: inbound.prompt.prefix_id(),
            zone: &self.gateway.settings.zone,
            tried: &self.tried,
            builds: restriction.builds.as_deref(),
            only: restriction.targets.as_deref(),
        };
        let now_ms = self.gateway.now_ms();
        let need = self.need();
        // The choice is made once, so that retries count as no further requests with the prompt.
        let zone = self
            .preferred_zone
            .get_or_init(|| zones::choose(&self.gateway, inbound));
        let zone = zone.as_deref();
        let roster = self.gateway.roster.lock();
        let mut ranked = match zone {
            None => query::rank_targets(&roster, criteria, now_ms),
            Some(zone) => query::rank_by_zone(&roster, criteria, zone, now_ms),
        };
        let passed_over = need.map_or(0, |need| room::prefer(&roster, &mut ranked, need, now_ms));
        drop(roster);
        self.gateway.metrics.without_room.inc_by(passed_over as u64);
        ranked
    }

    /// Returns the tokens that the request needs, if its prompt is known, the pool's targets have a known memory, and targets of the
    /// deployment state their speeds: only such targets are known to hold the tokens of their requests in a limited memory.
    fn need(&self) -> Option<Need> {
        if !speeds::is_active(&self.gateway) {
            return None;
        }
        let capacity = self
            .gateway
            .catalog()
            .pool(&self.inbound.pool)?
            .engine?
            .cache_tokens;
        let tokens = self.inbound.prompt.tokens();
        (tokens > 0 && capacity > 0).then_some(Need { tokens, capacity })
    }

    /// Obtains a permit, and counts the request on its target. Returns `None` if this gateway is to select a target itself.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the request cannot be served in time.
    pub(super) async fn obtain_permit(
        &mut self,
    ) -> std::result::Result<Option<(InFlight, Target)>, Failure> {
        if !permits::applies(&self.gateway, &self.inbound.pool) {
            return Ok(None);
        }
        let ranked = self.rank_targets();
        let outcome = permits::obtain(&self.gateway, &self.inbound, &ranked).await;
        // The request may have waited into the last part of the grace period.
        if !self.gateway.drain.may_send() {
            return Err(self.failure(Reason::NotReady));
        }
        match outcome {
            permits::Outcome::Granted(key, permit) => {
                let started = attempt::start(&self.gateway, key);
                let load = query::load(&self.gateway.roster.lock(), key, self.gateway.now_ms());
                self.selection = Selection {
                    candidates: ranked.len(),
                    skipped: usize::from(started.is_none()),
                    load,
                };
                Ok(started.map(|(mut in_flight, target)| {
                    in_flight.set_permit(permit);
                    (in_flight, target)
                }))
            }
            permits::Outcome::Refused(delay) => {
                self.record_denial("permit");
                self.retry_after = Some(delay);
                if !self.attempts.has_arrived() {
                    self.reason = Reason::Full;
                }
                Err(self.failure(self.reason))
            }
            permits::Outcome::Alone => Ok(None),
        }
    }

    /// Selects the best target that accepts the request now, and counts the request on it.
    pub(super) fn select_target(&mut self) -> Option<(InFlight, Target)> {
        let ranked = self.rank_targets();
        let now_ms = self.gateway.now_ms();
        let mut skipped = 0;
        let started = ranked.iter().find_map(|key| {
            let started = attempt::start(&self.gateway, *key);
            skipped += usize::from(started.is_none());
            started
        });
        let mut started = started;
        if let Some((in_flight, _)) = &mut started {
            in_flight.hold_tokens(self.inbound.prompt.tokens());
        }
        if let Some((_, target)) = &started {
            if target.zone != self.gateway.settings.zone {
                let bytes = self.inbound.body.len() as u64;
                self.gateway.metrics.crossing_bytes.inc_by(bytes);
            }
        }
        let key = started.as_ref().map(|(in_flight, _)| in_flight.key);
        let load = key.map(|key| query::load(&self.gateway.roster.lock(), key, now_ms));
        self.selection = Selection {
            candidates: ranked.len(),
            skipped,
            load: load.unwrap_or_default(),
        };
        started
    }
}
