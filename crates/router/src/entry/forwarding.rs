//! Forwards an accepted request to targets, step by step, until it is answered or given up.
//!
//! After a refusal the next step is tried, since the request did not run. If an answer breaks off, a repeatable request
//! is sent again, to another target if possible, and a chat resumes at its offset. For any other request the owner is
//! asked for the outcome first. The stream of an owner that is only silent is kept meanwhile, as it may go on.

mod open;
mod plan;
mod resolution;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sardinemux_core::attempts::EARLY_BREAKS_MAX;
use sardinemux_core::class::Class;
use sardinemux_core::config::Organisation;
use sardinemux_core::fence::RequestId;
use sardinemux_core::load::{Sample, Source};
use sardinemux_core::membership::{self, Member};
use sardinemux_core::placement::Step;
use sardinemux_core::stream::{Continuity, Cursor};
use sardinemux_core::target::{Key, Kind, Target};
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{Body, End, Head, Part, Refusal};
use tokio::time;

use self::resolution::Resolution;
use super::errors::Failure;
use crate::gossip;
use crate::peer_client::Frames;
use crate::prelude::*;
use crate::settings::Policy;

/// The number of ranked targets in one pass. A hint may add one, and the least-loaded baseline ranks all targets.
const RANKS_MAX: usize = 8;

/// The largest number of passes over the targets after the first one.
const EXTRA_PASSES_MAX: u32 = 8;

/// The delay before a new attempt that the caller is told if no refusal stated one, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// A request that this entry has accepted, with all that its forwarding needs.
#[derive(Clone, Debug)]
pub struct Job {
    /// The organisation that sent the request.
    pub organisation: Organisation,
    /// The request class.
    pub class: Class,
    /// The kind of target that the request needs.
    pub kind: Kind,
    /// The name of the model or service.
    pub pool: SmolStr,
    /// The hash that identifies the chat; a random number for a service call.
    pub chat: u64,
    /// Whether the chat has earlier turns.
    pub is_returning: bool,
    /// The target that served the chat last, as stated by the caller.
    pub hint: Option<SmolStr>,
    /// The estimated number of tokens.
    pub tokens: u64,
    /// Whether the request may be dispatched to a target more than once.
    pub repeatable: bool,
    /// The call that the target receives.
    pub call: Call,
}

/// One event of an answer: a head, then any number of parts, then the end.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The status and media type of the answer.
    Head(Head),
    /// A part of the content, contiguous with the parts before it.
    Part(Part),
    /// The end of a complete answer.
    End(End),
}

/// An open answer stream, with the owner that sends it, the target and the id of the dispatch.
struct Stream {
    frames: Frames,
    owner: Member,
    target: SmolStr,
    /// The version of the target's software.
    build: SmolStr,
    id: RequestId,
}

/// What arrives first of two streams.
enum Arrival {
    Current(std::result::Result<Body, Reason>),
    Silent(std::result::Result<Body, Reason>),
}

/// The forwarding of one request, over all of its dispatches.
pub struct Forwarding {
    router: Arc<Router>,
    job: Job,
    cursor: Cursor,
    steps: VecDeque<Step>,
    stream: Option<Stream>,
    /// A stream that fell silent, until another dispatch delivers.
    silent: Option<Stream>,
    /// Events that are returned before anything else is read or tried.
    pending: VecDeque<Event>,
    deadline: Instant,
    /// The number of passes after the first one.
    pass: u32,
    /// Whether a step of this pass failed for a reason that may cease soon.
    has_transient_reason: bool,
    /// Whether any dispatch may have run.
    may_have_run: bool,
    last_reason: Reason,
    retry_after_ms: Option<u64>,
    /// The target of a failed dispatch, which comes last in the next passes.
    avoided: Option<Key>,
    /// The status of the answer, once its head has been returned.
    status: Option<u16>,
    last_target: Option<SmolStr>,
    /// Whether the current dispatch has delivered a part.
    has_part: bool,
    /// The build of the target that has delivered the parts so far. What another build writes does not fit them.
    build: Option<SmolStr>,
    /// The dispatches whose target closed the connection before the first part.
    early_breaks: u32,
}

impl Forwarding {
    /// Plans the first pass of a request, and adds its share to the retry budget.
    pub fn new(router: Arc<Router>, job: Job) -> Self {
        let deadline = Instant::now() + Duration::from_millis(router.settings.request_timeout_ms);
        router.retry_budget.lock().deposit();
        let mut forwarding = Self {
            cursor: Cursor::new(RequestId::nil()),
            steps: VecDeque::new(),
            stream: None,
            silent: None,
            pending: VecDeque::new(),
            deadline,
            pass: 0,
            has_transient_reason: false,
            may_have_run: false,
            last_reason: Reason::NoTarget,
            retry_after_ms: None,
            avoided: None,
            status: None,
            last_target: None,
            has_part: false,
            build: None,
            early_breaks: 0,
            router,
            job,
        };
        forwarding.plan_steps();
        forwarding
    }

    /// Returns the target to which the request was last sent. While an answer is delivered, that is the target which
    /// sends it.
    pub fn last_target(&self) -> Option<&SmolStr> {
        self.last_target.as_ref()
    }

    /// Returns the next event of the answer; [`Event::End`] is the last one.
    ///
    /// # Errors
    ///
    /// `Failure::NotCompleted` at the deadline, or when the request failed or was refused and is not tried again.
    pub async fn next(&mut self) -> std::result::Result<Event, Failure> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Ok(event);
            }
            if Instant::now() >= self.deadline {
                return Err(self.give_up(Reason::Waited));
            }
            match self.advance().await {
                Ok(Some(event)) => return Ok(event),
                Ok(None) => {}
                Err(_) if self.may_silent_go_on() => self.return_to_silent(),
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Reads the next frame, or tries the next step if no stream is open.
    async fn advance(&mut self) -> std::result::Result<Option<Event>, Failure> {
        let Some(stream) = &mut self.stream else {
            self.try_next_step().await?;
            return Ok(None);
        };
        let arrival = match &mut self.silent {
            None => Arrival::Current(stream.frames.next().await),
            Some(silent) => tokio::select! {
                body = silent.frames.outwait() => Arrival::Silent(body),
                body = stream.frames.next() => Arrival::Current(body),
            },
        };
        match arrival {
            Arrival::Silent(Ok(Body::Waiting | Body::Admitted(_))) => Ok(None),
            Arrival::Silent(Err(_) | Ok(Body::Refused(_) | Body::Failed { .. })) => {
                self.silent = None;
                Ok(None)
            }
            Arrival::Silent(body) => {
                self.return_to_silent();
                self.handle_frame(body).await
            }
            Arrival::Current(Err(Reason::Silence)) if self.job.repeatable => {
                self.silent = self.stream.take();
                self.record_outcome(Outcome::Unknown);
                self.retry(Reason::Silence).await
            }
            Arrival::Current(Err(Reason::Silence)) => self.outwait_silence().await,
            Arrival::Current(body) => self.handle_frame(body).await,
        }
    }

    /// Reads the silent stream again, if there is one, in place of any other dispatch.
    fn return_to_silent(&mut self) {
        let Some(stream) = self.silent.take() else {
            return;
        };
        self.cursor.set_dispatch(stream.id);
        self.has_part = self.cursor.offset() > 0;
        self.last_target = Some(stream.target.clone());
        self.stream = Some(stream);
    }

    /// Returns whether the stream that fell silent may go on: its owner's process is not known to have ended.
    fn may_silent_go_on(&self) -> bool {
        let Some(owner) = self.silent.as_ref().map(|stream| &stream.owner) else {
            return false;
        };
        let view = self.router.view.lock();
        membership::query::member(&view, &owner.id).is_some_and(|known| {
            let is_same_process = owner.boot == 0 || known.boot == owner.boot;
            is_same_process && known.state != membership::State::Dead
        })
    }

    async fn handle_frame(
        &mut self,
        body: std::result::Result<Body, Reason>,
    ) -> std::result::Result<Option<Event>, Failure> {
        match body {
            Ok(Body::Waiting) => Ok(None),
            Ok(Body::Admitted(sample)) => {
                self.record_sample(sample);
                Ok(None)
            }
            Ok(Body::Refused(refusal)) => {
                self.handle_refusal(refusal);
                Ok(None)
            }
            Ok(Body::Head(head)) => self.handle_head(head).await,
            Ok(Body::Part(part)) => self.handle_part(part).await,
            Ok(Body::End(end)) => self.handle_end(end).await,
            Ok(Body::Failed { outcome, reason }) => {
                self.stream = None;
                self.record_outcome(outcome);
                let is_early =
                    outcome != Outcome::NotRun && reason == Reason::Cut && !self.has_part;
                self.early_breaks += u32::from(is_early);
                if self.early_breaks >= EARLY_BREAKS_MAX {
                    return Err(self.give_up(reason));
                }
                match outcome.allows_dispatch(self.job.repeatable) {
                    true => self.retry(reason).await,
                    false => Err(self.give_up(reason)),
                }
            }
            Err(reason) => self.recover_broken_stream(reason).await,
        }
    }

    /// Handles the head of an answer. The answer of a further target goes on with the one that has begun only if it has the same
    /// status: the body of an error is no part of an answer.
    async fn handle_head(&mut self, head: Head) -> std::result::Result<Option<Event>, Failure> {
        match self.status {
            None => {
                self.status = Some(head.status);
                self.silent = None;
                Ok(Some(Event::Head(head)))
            }
            Some(status) if status == head.status => Ok(None),
            Some(_) => self.recover_broken_stream(Reason::Crossed).await,
        }
    }

    async fn handle_part(&mut self, part: Part) -> std::result::Result<Option<Event>, Failure> {
        let id = self
            .stream
            .as_ref()
            .map_or(RequestId::nil(), |stream| stream.id);
        match self.cursor.accept(id, part.offset, part.length) {
            Ok(Continuity::Next) => {
                let build = self.stream.as_ref().map(|stream| &stream.build);
                self.build = self.build.take().or_else(|| build.cloned());
                self.has_part = true;
                self.silent = None;
                Ok(Some(Event::Part(part)))
            }
            Ok(Continuity::Duplicate) => {
                self.router.metrics.dropped_parts.inc();
                Ok(None)
            }
            Err(_) => self.recover_broken_stream(Reason::Crossed).await,
        }
    }

    async fn handle_end(&mut self, end: End) -> std::result::Result<Option<Event>, Failure> {
        if self.cursor.check_total(end.total).is_err() {
            return self.recover_broken_stream(Reason::Cut).await;
        }
        self.stream = None;
        Ok(Some(Event::End(end)))
    }

    /// Handles a stream that ended without a statement of the outcome: retries the request, or asks the owner for the
    /// outcome if the request must not be repeated.
    async fn recover_broken_stream(
        &mut self,
        reason: Reason,
    ) -> std::result::Result<Option<Event>, Failure> {
        let Some(stream) = self.stream.take() else {
            return self.retry(reason).await;
        };
        let (owner, id) = self.close_broken_stream(stream, reason);
        if self.job.repeatable {
            self.record_outcome(Outcome::Unknown);
            return self.retry(reason).await;
        }
        let resolution = self.resolve_outcome(&owner, id).await;
        self.apply_resolution(resolution, reason).await
    }

    /// Closes a faulty connection, before another one is opened. Returns the owner and the id of the dispatch.
    fn close_broken_stream(&self, stream: Stream, reason: Reason) -> (Member, RequestId) {
        let Stream {
            frames, owner, id, ..
        } = stream;
        drop(frames);
        log::info!(
            request_id:% = id, organisation:% = self.job.organisation.name, owner:% = owner.id;
            "answer stream from the owner broke off: {}", reason.name()
        );
        (owner, id)
    }

    /// Waits for a frame of a silent stream, and meanwhile asks the owner for the outcome. An answer that the owner does
    /// not keep can only arrive on the stream.
    async fn outwait_silence(&mut self) -> std::result::Result<Option<Event>, Failure> {
        let Some(mut stream) = self.stream.take() else {
            return Ok(None);
        };
        let body = tokio::select! {
            body = stream.frames.outwait() => body,
            resolution = self.resolve_outcome(&stream.owner, stream.id) => {
                let last = match resolution {
                    Resolution::Unknown => stream.frames.next().await,
                    _ => Err(Reason::Silence),
                };
                if let Err(reason) = last {
                    self.close_broken_stream(stream, reason);
                    return self.apply_resolution(resolution, reason).await;
                }
                last
            }
        };
        self.stream = Some(stream);
        self.handle_frame(body).await
    }

    async fn apply_resolution(
        &mut self,
        resolution: Resolution,
        reason: Reason,
    ) -> std::result::Result<Option<Event>, Failure> {
        match resolution {
            Resolution::NotRun => self.retry(reason).await,
            Resolution::Completed(kept) => {
                self.queue_kept_answer(kept);
                Ok(None)
            }
            Resolution::Unknown => {
                self.record_outcome(Outcome::Unknown);
                Err(self.give_up(reason))
            }
        }
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        self.may_have_run |= outcome != Outcome::NotRun;
    }

    fn record_sample(&mut self, sample: Sample) {
        let Some(stream) = &self.stream else { return };
        if stream.owner.id == self.router.settings.id {
            return;
        }
        let source = Source {
            router: stream.owner.id.clone(),
            pool: self.job.pool.clone(),
        };
        let now_ms = self.router.now_ms();
        self.router.samples.lock().put(source, sample, 0, now_ms);
    }

    /// Records a refusal, after which the next step is tried. The shortest delay that any refusal stated is kept.
    fn handle_refusal(&mut self, refusal: Refusal) {
        self.stream = None;
        if let Some(owner) = refusal.owner {
            gossip::merge_rumours(&self.router, vec![owner]);
        }
        if refusal.retry_after_ms > 0 {
            let least = self.retry_after_ms.unwrap_or(u64::MAX);
            self.retry_after_ms = Some(least.min(refusal.retry_after_ms));
        }
        // The request has waited in one queue for as long as it may.
        if refusal.reason == Reason::Waited {
            self.steps.clear();
        }
        self.record_unplaced(refusal.reason);
    }

    /// Records why a step did not place the request. The last reason other than `Reason::Unfamiliar` is reported to the
    /// caller if the request is given up after the last step.
    fn record_unplaced(&mut self, reason: Reason) {
        if reason != Reason::Unfamiliar {
            self.last_reason = reason;
        }
        // These reasons are transient: they cease once the routers agree on members, targets and owners again.
        self.has_transient_reason |= matches!(
            reason,
            Reason::NotOwner
                | Reason::OtherBoot
                | Reason::NotReady
                | Reason::NoTarget
                | Reason::Leaving
                | Reason::Refused
        );
    }

    /// Begins another pass in which the target that failed comes last, if the retry budget allows.
    async fn retry(&mut self, reason: Reason) -> std::result::Result<Option<Event>, Failure> {
        self.last_reason = reason;
        self.avoided = self.last_target_key();
        self.begin_next_pass().await?;
        if reason != Reason::Refused {
            self.router.metrics.resumed_answers.inc();
        }
        Ok(None)
    }

    /// Withdraws from the retry budget, waits for the backoff and plans another pass.
    async fn begin_next_pass(&mut self) -> std::result::Result<(), Failure> {
        let may_retry = self.pass < EXTRA_PASSES_MAX
            && self.early_breaks < EARLY_BREAKS_MAX
            && self.router.retry_budget.lock().try_withdraw();
        if !may_retry {
            return Err(self.give_up(self.last_reason));
        }
        let pause_ms = {
            let budget = self.router.retry_budget.lock();
            budget.backoff_ms(self.pass, &mut rand::rng())
        };
        self.pass += 1;
        self.has_transient_reason = false;
        time::sleep(Duration::from_millis(pause_ms)).await;
        self.plan_steps();
        Ok(())
    }

    fn give_up(&self, reason: Reason) -> Failure {
        let outcome = match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        Failure::NotCompleted {
            outcome,
            reason,
            retry_after_ms: self.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS),
        }
    }

    /// Returns whether a target may deliver the rest of the answer. A build that is not stated is that of no other target.
    fn fits_build(&self, target: &Target) -> bool {
        let build = self.build.as_ref();
        build.is_none_or(|build| !build.is_empty() && target.build == *build)
    }

    fn last_target_key(&self) -> Option<Key> {
        self.router.targets().key(self.last_target.as_ref()?)
    }

    /// Tries the next step, and skips it if its target is no longer listed. After the last step, begins another pass if
    /// one of the recorded reasons was transient, or else gives up.
    async fn try_next_step(&mut self) -> std::result::Result<(), Failure> {
        let Some(step) = self.steps.pop_front() else {
            return match self.has_transient_reason {
                true => self.begin_next_pass().await,
                false => Err(self.give_up(self.last_reason)),
            };
        };
        let targets = self.router.targets();
        let target = targets.get(step.key).cloned();
        let Some(target) = target.filter(|target| self.fits_build(target)) else {
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
