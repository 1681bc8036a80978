//! Takes a request through its plan until it is answered or given up.
//!
//! A refused request goes on to the next step, since nothing of it ran. An answer that breaks off
//! is resumed elsewhere if the request may be repeated; else the owner is asked what became of it.

mod fate;
mod open;
mod plan;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sardinemux_core::class::Class;
use sardinemux_core::config::Organisation;
use sardinemux_core::fence::RequestId;
use sardinemux_core::load::{Sample, Source};
use sardinemux_core::membership::Member;
use sardinemux_core::placement::Step;
use sardinemux_core::stream::{Continuity, Cursor};
use sardinemux_core::target::{Key, Kind};
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{Body, End, Head, Part, Refusal};
use tokio::time;

use self::fate::Fate;
use super::errors::Failure;
use crate::gossip;
use crate::peer_client::Frames;
use crate::prelude::*;
use crate::settings::Policy;

/// The targets that a request is offered to in one pass.
const RANKS_MAX: usize = 8;

/// The passes after the first.
const PASSES_MAX: u32 = 8;

/// When to come back if nobody said, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Job {
    /// Whose it is.
    pub organisation: Organisation,
    /// The class.
    pub class: Class,
    /// The kind of target.
    pub kind: Kind,
    /// The model or service.
    pub pool: SmolStr,
    /// The chat key; a random number for a service.
    pub chat: u64,
    /// Whether the chat has had a turn before.
    pub is_returning: bool,
    /// The target that served the chat last, as the caller says.
    pub hint: Option<SmolStr>,
    /// The estimated tokens.
    pub tokens: u64,
    /// Whether it may be dispatched more than once.
    pub repeatable: bool,
    /// What the target is to do.
    pub call: Call,
}

/// What comes of a request, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer begins.
    Head(Head),
    /// A part of the content.
    Part(Part),
    /// The answer is whole.
    End(End),
}

/// An open stream of frames.
struct Open {
    frames: Frames,
    owner: Member,
    id: RequestId,
}

/// A request on its way.
pub struct Drive {
    router: Arc<Router>,
    job: Job,
    order: Cursor,
    steps: VecDeque<Step>,
    open: Option<Open>,
    pending: VecDeque<Event>,
    deadline: Instant,
    pass: u32,
    may_pass: bool,
    may_have_run: bool,
    last_reason: Reason,
    retry_after_ms: Option<u64>,
    avoided: Option<Key>,
    has_head: bool,
    served_by: Option<SmolStr>,
}

impl Drive {
    /// Plans a request.
    pub fn new(router: Arc<Router>, job: Job) -> Self {
        let deadline = Instant::now() + Duration::from_millis(router.settings.request_timeout_ms);
        router.retry_budget.lock().deposit();
        let mut drive = Self {
            order: Cursor::new(RequestId::nil()),
            steps: VecDeque::new(),
            open: None,
            pending: VecDeque::new(),
            deadline,
            pass: 0,
            may_pass: false,
            may_have_run: false,
            last_reason: Reason::NoTarget,
            retry_after_ms: None,
            avoided: None,
            has_head: false,
            served_by: None,
            router,
            job,
        };
        drive.plan();
        drive
    }

    /// Returns the target that serves the request, once it has begun to answer.
    pub fn served_by(&self) -> Option<&SmolStr> {
        self.served_by.as_ref()
    }

    /// Returns the next event of the answer; [`Event::End`] is the last one.
    ///
    /// # Errors
    ///
    /// `Failure::GivenUp` once nothing more is tried.
    pub async fn next(&mut self) -> std::result::Result<Event, Failure> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Ok(event);
            }
            if Instant::now() >= self.deadline {
                return Err(self.give_up(Reason::Waited));
            }
            match &mut self.open {
                None => self.advance().await?,
                Some(open) => {
                    let said = open.frames.next().await;
                    if let Some(event) = self.take(said).await? {
                        return Ok(event);
                    }
                }
            }
        }
    }

    async fn take(
        &mut self,
        said: std::result::Result<Body, Reason>,
    ) -> std::result::Result<Option<Event>, Failure> {
        match said {
            Ok(Body::Waiting) => Ok(None),
            Ok(Body::Admitted(sample)) => {
                self.note_sample(sample);
                Ok(None)
            }
            Ok(Body::Refused(refusal)) => {
                self.note_refusal(refusal);
                Ok(None)
            }
            Ok(Body::Head(head)) => Ok(self.take_head(head)),
            Ok(Body::Part(part)) => self.take_part(part).await,
            Ok(Body::End(end)) => self.take_end(end).await,
            Ok(Body::Failed { outcome, reason }) => {
                self.open = None;
                self.note_outcome(outcome);
                match outcome.allows_dispatch(self.job.repeatable) {
                    true => self.retry(reason).await,
                    false => Err(self.give_up(reason)),
                }
            }
            Err(reason) => self.broke(reason).await,
        }
    }

    fn take_head(&mut self, head: Head) -> Option<Event> {
        if self.has_head {
            return None;
        }
        self.has_head = true;
        Some(Event::Head(head))
    }

    async fn take_part(&mut self, part: Part) -> std::result::Result<Option<Event>, Failure> {
        let id = self.open.as_ref().map_or(RequestId::nil(), |open| open.id);
        match self.order.accept(id, part.offset, part.length) {
            Ok(Continuity::Next) => Ok(Some(Event::Part(part))),
            Ok(Continuity::Duplicate) => {
                self.router.metrics.dropped_parts.inc();
                Ok(None)
            }
            Err(_) => self.broke(Reason::Crossed).await,
        }
    }

    async fn take_end(&mut self, end: End) -> std::result::Result<Option<Event>, Failure> {
        if self.order.check_total(end.total).is_err() {
            return self.broke(Reason::Cut).await;
        }
        self.open = None;
        Ok(Some(Event::End(end)))
    }

    /// The stream broke off without saying what became of the request.
    async fn broke(&mut self, reason: Reason) -> std::result::Result<Option<Event>, Failure> {
        let Some(open) = self.open.take() else {
            return self.retry(reason).await;
        };
        let Open { frames, owner, id } = open;
        // The suspect connection is closed before the next one is made.
        drop(frames);
        log::info!(
            request_id:% = id, organisation:% = self.job.organisation.name, owner:% = owner.id;
            "stream from the owner broke off: {}", reason.name()
        );
        if self.job.repeatable {
            self.note_outcome(Outcome::Unknown);
            return self.retry(reason).await;
        }
        match self.fate(&owner, id).await {
            Fate::NotRun => self.retry(reason).await,
            Fate::Completed(kept) => {
                self.deliver(kept);
                Ok(None)
            }
            Fate::Unknown => {
                self.note_outcome(Outcome::Unknown);
                Err(self.give_up(reason))
            }
        }
    }

    fn note_outcome(&mut self, outcome: Outcome) {
        self.may_have_run |= outcome != Outcome::NotRun;
    }

    fn note_sample(&mut self, sample: Sample) {
        let Some(open) = &self.open else { return };
        if open.owner.id == self.router.settings.id {
            return;
        }
        let source = Source {
            router: open.owner.id.clone(),
            pool: self.job.pool.clone(),
        };
        let now_ms = self.router.now_ms();
        self.router.samples.lock().put(source, sample, now_ms);
    }

    /// Nothing ran; the next step is tried.
    fn note_refusal(&mut self, refusal: Refusal) {
        self.open = None;
        if let Some(owner) = refusal.owner {
            gossip::note_rumours(&self.router, vec![owner]);
        }
        if refusal.retry_after_ms > 0 {
            let least = self.retry_after_ms.unwrap_or(u64::MAX);
            self.retry_after_ms = Some(least.min(refusal.retry_after_ms));
        }
        self.note_unplaced(refusal.reason);
    }

    fn note_unplaced(&mut self, reason: Reason) {
        if reason != Reason::Unfamiliar {
            self.last_reason = reason;
        }
        // These pass once the routers agree again.
        self.may_pass |= matches!(
            reason,
            Reason::NotOwner
                | Reason::OtherBoot
                | Reason::NotReady
                | Reason::NoTarget
                | Reason::Leaving
                | Reason::Refused
        );
    }

    /// Plans another pass, if the retry budget allows.
    async fn retry(&mut self, reason: Reason) -> std::result::Result<Option<Event>, Failure> {
        self.last_reason = reason;
        self.avoided = self.target_key();
        if reason != Reason::Refused {
            self.router.metrics.resumed_answers.inc();
        }
        self.next_pass().await?;
        Ok(None)
    }

    async fn next_pass(&mut self) -> std::result::Result<(), Failure> {
        let has_budget = self.router.retry_budget.lock().try_withdraw();
        if self.pass >= PASSES_MAX || !has_budget {
            return Err(self.give_up(self.last_reason));
        }
        let pause_ms = {
            let budget = self.router.retry_budget.lock();
            budget.backoff_ms(self.pass, &mut rand::rng())
        };
        self.pass += 1;
        self.may_pass = false;
        time::sleep(Duration::from_millis(pause_ms)).await;
        self.plan();
        Ok(())
    }

    fn give_up(&self, reason: Reason) -> Failure {
        let outcome = match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        Failure::GivenUp {
            outcome,
            reason,
            retry_after_ms: self.retry_after_ms.unwrap_or(RETRY_AFTER_MS),
        }
    }

    fn target_key(&self) -> Option<Key> {
        self.router.targets().key(self.served_by.as_ref()?)
    }

    /// Takes the next step of the plan; gives up at once when there is none.
    async fn advance(&mut self) -> std::result::Result<(), Failure> {
        let Some(step) = self.steps.pop_front() else {
            return match self.may_pass {
                true => self.next_pass().await,
                false => Err(self.give_up(self.last_reason)),
            };
        };
        let targets = self.router.targets();
        let Some(target) = targets.get(step.key).cloned() else {
            return Ok(());
        };
        if self.router.settings.policy != Policy::Owner {
            self.open_directly(target);
            return Ok(());
        }
        self.open_through_owner(target, step.offer).await;
        Ok(())
    }
}
