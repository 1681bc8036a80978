//! Takeovers: what happens while a target that has a request is silent. Another target is asked beside it, and the silent one
//! is given up only once the other one answers, or after a short overlap.

use std::time::Duration;

use futures_util::future::{self, FutureExt};
use sardinemux_core::catalog::Kind;
use sardinemux_core::reach;
use sardinemux_core::roster::{command, Evidence};
use sardinemux_core::target::Key;
use tokio::time;

use super::{Awaited, Failure, Sent, Serving, Verdict, OVERLAP_MS};
use crate::attempt::{self, AttemptOutcome, Link, Ready, UNKNOWN_TARGET};
use crate::hop;
use crate::prelude::*;
use crate::quarantine;

impl Serving {
    /// Waits for the outcome of an attempt. If the target is silent for the first-byte timeout, connects to another one
    /// meanwhile. A sound target may be silent for a moment, so that it is not given up before another one is there.
    pub(super) async fn await_outcome(&mut self, sent: &mut Sent) -> Awaited {
        let timeout_ms = self.attempts.first_byte_timeout_ms(&self.inbound.route);
        // Another gateway that has the request asks another target itself after that time.
        let factor = if sent.key == UNKNOWN_TARGET { 2 } else { 1 };
        let timeout_ms = timeout_ms.map(|timeout_ms| timeout_ms * factor);
        let Some(timeout) = timeout_ms.map(Duration::from_millis) else {
            return Awaited::Outcome((&mut sent.outcome).await);
        };
        loop {
            if let Ok(outcome) = time::timeout(timeout, &mut sent.outcome).await {
                return Awaited::Outcome(outcome);
            }
            self.note_silence(sent.key);
            if sent.is_new {
                let pool = &self.inbound.pool;
                hop::note_failed(&self.gateway, pool, sent.key, reach::Failure::Exchange);
            }
            tokio::select! {
                biased;
                outcome = &mut sent.outcome => return Awaited::Outcome(outcome),
                ready = self.connect_for_retry() => {
                    if let Ok(ready) = ready {
                        return Awaited::Ready(Box::new(ready));
                    }
                }
            }
        }
    }

    /// Waits for a silent target and for another one that has just got the request, and returns the attempt that goes on.
    /// The silent one is given up for an answer of the other one. After [`OVERLAP_MS`] it is given up all the same, unless
    /// several targets may be at work on the request.
    pub(super) async fn hand_over(&mut self, mut silent: Sent, mut next: Sent) -> Sent {
        let is_safe = self.inbound.route.kind == Kind::Safe;
        let overlap = async {
            match is_safe {
                true => future::pending().await,
                false => time::sleep(Duration::from_millis(OVERLAP_MS)).await,
            }
        };
        tokio::select! {
            biased;
            outcome = &mut silent.outcome => {
                self.count_run(next.key);
                self.return_to(&silent);
                silent.outcome = future::ready(outcome).boxed();
                return silent;
            }
            outcome = &mut next.outcome => match self.judge(next.key, outcome) {
                Verdict::Answer(answer) if !answer.head.status.is_server_error() => {
                    // Counted again when the answer is returned.
                    if next.key != UNKNOWN_TARGET {
                        self.attempts.possible_runs -= 1;
                    }
                    next.outcome = future::ready(AttemptOutcome::Answer(answer)).boxed();
                }
                verdict => {
                    if let Verdict::Answer(answer) = verdict {
                        self.reserve = Some(answer);
                    }
                    self.return_to(&silent);
                    return silent;
                }
            },
            () = overlap => {}
        }
        self.count_run(silent.key);
        self.note_evidence(silent.key, Evidence::TransportError);
        attempt::record_silence(&self.gateway, &self.inbound, &silent.target.id);
        next
    }

    /// Goes back to a target after another one was asked in vain.
    fn return_to(&mut self, sent: &Sent) {
        self.last_target = sent.target.clone();
    }

    /// Counts the outcome of an attempt beside which another target still has the request.
    pub fn judge(&mut self, key: Key, outcome: AttemptOutcome) -> Verdict {
        match outcome {
            AttemptOutcome::Answer(answer) => {
                self.count_run(key);
                Verdict::Answer(answer)
            }
            AttemptOutcome::NotRun {
                reason,
                has_arrived,
            } => {
                self.count_not_run(reason, has_arrived);
                Verdict::Failed
            }
            AttemptOutcome::Unknown { reason } => {
                self.note_unknown(key, reason);
                Verdict::Failed
            }
        }
    }

    /// Connects to a target that may run the request once more, while another one that has it is silent.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if no further attempt is allowed or possible. The silent target may still answer.
    pub async fn connect_for_retry(&mut self) -> std::result::Result<Ready, Failure> {
        self.reason = Reason::Silence;
        if let Some(denial) = self.deny_retry() {
            self.record_denial(denial);
            return Err(self.failure(Reason::Silence));
        }
        let mut is_paid = false;
        loop {
            if !self.is_trial && quarantine::is_held(&self.gateway, &self.inbound) {
                return Err(self.failure(Reason::Quarantined));
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
                self.record_denial("no_target");
                return Err(self.failure(Reason::Silence));
            };
            is_paid = is_paid || self.gateway.try_withdraw_retry(&self.inbound.pool);
            if !is_paid {
                self.record_denial("budget");
                return Err(self.failure(Reason::Silence));
            }
            let key = in_flight.key;
            match attempt::connect(&self.inbound, in_flight, target, Link::New).await {
                Ok(ready) if self.is_eligible(key) => return Ok(ready),
                Ok(_) => self.tried.push(key),
                Err(reason) => {
                    self.tried.push(key);
                    self.handle_not_run(reason, false)?;
                }
            }
        }
    }

    /// Records that a target is silent in the middle of its answer, so that others are preferred for a moment.
    pub fn note_silence(&self, key: Key) {
        let now_ms = self.gateway.now_ms();
        command::note_silence(&mut self.gateway.roster.lock(), key, now_ms);
    }

    /// Records what an attempt that was given up shows about the health of its target.
    fn note_evidence(&self, key: Key, evidence: Evidence) {
        let now_ms = self.gateway.now_ms();
        command::note_evidence(&mut self.gateway.roster.lock(), key, evidence, now_ms);
    }
}
