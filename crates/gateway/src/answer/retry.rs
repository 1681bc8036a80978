//! Retries: whether a request may be sent to another target, and the failure of one that may not.

use super::{Failure, Selection, Serving};
use crate::prelude::*;

impl Serving {
    /// Counts an attempt that provably did not run the request, and checks whether another target may be tried.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if no other target may be tried.
    pub(super) fn handle_not_run(
        &mut self,
        reason: Reason,
        has_arrived: bool,
    ) -> std::result::Result<(), Failure> {
        match self.count_not_run(reason, has_arrived) {
            true => Ok(()),
            false => Err(self.failure(reason)),
        }
    }

    /// Counts an attempt that provably did not run the request. If the target received it, this takes a retry from the
    /// budget of the pool. Returns whether another target may be tried.
    pub(super) fn count_not_run(&mut self, reason: Reason, has_arrived: bool) -> bool {
        self.reason = reason;
        match has_arrived {
            true => self.attempts.rejections += 1,
            false => self.attempts.send_failures += 1,
        }
        self.attempts.may_try_next_target()
            && (!has_arrived || self.gateway.try_withdraw_retry(&self.inbound.pool))
    }

    /// Checks whether a request that may have run may be sent again, and takes a retry from the budget of the pool.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if the request is not repeatable, has used up its attempts or its time, or the budget is empty.
    pub fn admit_retry(&mut self, reason: Reason) -> std::result::Result<(), Failure> {
        self.reason = reason;
        let denial = self.deny_retry().or_else(|| {
            let is_paid = self.gateway.try_withdraw_retry(&self.inbound.pool);
            (!is_paid).then_some("budget")
        });
        match denial {
            None => Ok(()),
            Some(denial) => {
                self.record_denial(denial);
                Err(self.failure(reason))
            }
        }
    }

    /// Returns what prevents that the request is sent again, apart from the budget.
    pub(super) fn deny_retry(&self) -> Option<&'static str> {
        if !self.attempts.may_run_again(&self.inbound.route) {
            Some("attempts")
        } else if !self.attempts.may_try_next_target() {
            Some("rejections")
        } else if self.inbound.remaining().is_zero() {
            Some("deadline")
        } else {
            None
        }
    }

    /// Logs that the request is not sent to another target, and what prevents it.
    pub(super) fn record_denial(&self, denial: &str) {
        let Selection {
            candidates,
            skipped,
            ..
        } = self.selection;
        log::info!(
            request_id:% = self.inbound.id_text(), denial = denial, reason = self.reason.name(),
            tried = self.tried.len(), candidates = candidates, held_back = skipped;
            "not sent to another target"
        );
    }

    /// Returns the failure for this reason, with the outcome of the attempts so far.
    pub(super) fn failure(&self, reason: Reason) -> Failure {
        let outcome = self.attempts.outcome();
        Failure { outcome, reason }
    }
}
