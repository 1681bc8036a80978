//! Serves a caller's request: dispatches it to targets, retries where that is allowed, and builds the final answer.

mod response;
mod retry;
mod selection;
mod takeover;

use std::sync::atomic::Ordering;
use std::sync::OnceLock;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use hyper::{Response, StatusCode};
use sardinemux_core::attempts::Attempts;
use sardinemux_core::catalog::{Kind, Share};
use sardinemux_core::event;
use sardinemux_core::quarantine::{Admission, Suspicion};
use sardinemux_core::roster::Evidence;
use sardinemux_core::target::Key;
use tokio::task::JoinHandle;
use tokio::time;

use crate::attempt::answer::Answer;
use crate::attempt::{self, AttemptOutcome, Ready, Terms, UNKNOWN_TARGET};
use crate::origins::{self, Continuation};
use crate::prelude::*;
use crate::quarantine;
use crate::reply::{self, Body, BUFFERED_MAX_BYTES};
use crate::request::{self, Inbound, Rejection};
use crate::rollouts::{self, Choice};
use crate::stream;
use crate::whole::{self, Collector, Excess, Unread, Whole};

/// How long a silent target is kept as a fallback once another one has got the request, in milliseconds. The other one
/// may decline it. If it runs it, both are at work on the request for no longer than this.
pub const OVERLAP_MS: u64 = 300;

/// The state of a request that is being served.
#[derive(Debug)]
pub struct Serving {
    gateway: Arc<Gateway>,
    inbound: Arc<Inbound>,
    tried: Vec<Key>,
    selection: Selection,
    last_target: Recipient,
    attempts: Attempts,
    reason: Reason,
    fallback: Option<Response<Whole>>,
    /// A server error of another target that came while a silent one had the request.
    reserve: Option<Box<Answer>>,
    /// The number of suspensions of the process before the request was first sent.
    suspensions: u64,
    /// Whether the request is the trial of a held prompt part.
    is_trial: bool,
    /// The time after which a request that was refused for a held prompt part may be served.
    retry_after: Option<Duration>,
    /// The builds at which the request may run, if it is for a resumable stream: those at which one may begin or, once its
    /// first event has been forwarded, the one that sent it.
    builds: Option<Vec<SmolStr>>,
    /// The side of a rollout that the request goes to.
    rollout: Choice,
    /// The availability zone whose targets the request prefers, if there is one, once that is decided.
    preferred_zone: OnceLock<Option<SmolStr>>,
    /// The other gateways through which the request was sent.
    through: Vec<SmolStr>,
    /// Whether no target can serve the request later either, so that the caller is given no delay after which to return.
    is_final: bool,
}

/// What the last selection of a target was based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Selection {
    /// The number of eligible targets that had not been tried.
    candidates: usize,
    /// The number of these that were skipped, mostly because they are cold and at their rate limit.
    skipped: usize,
    /// The number of requests on the selected target that this gateway knows of, including this one.
    load: u32,
}

/// The target to which a request was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipient {
    /// The id of the target; empty if there is none.
    pub id: SmolStr,
    /// The version of its software; empty if it is not known.
    pub build: SmolStr,
    /// The name of the gateway that sent the request to the target; empty if it is this one.
    pub gateway: SmolStr,
}

/// A request that was sent to a target.
pub struct Sent {
    /// The key of the target.
    pub key: Key,
    target: Recipient,
    /// Whether it was sent over a new connection to the target.
    is_new: bool,
    /// The outcome, once it is known. Dropping it cancels the request.
    pub outcome: BoxFuture<'static, AttemptOutcome>,
}

/// What an attempt means while another target still has the request.
#[derive(Debug)]
pub enum Verdict {
    /// The target answered.
    Answer(Box<Answer>),
    /// It did not run the request, or ended without an answer.
    Failed,
}

/// What happened first while a target had not answered.
enum Awaited {
    /// The attempt ended.
    Outcome(AttemptOutcome),
    /// The target was silent, and another one is connected.
    Ready(Box<Ready>),
}

/// The failure of a request for which no further target is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request provably did not run or may have run.
    pub outcome: Outcome,
    /// The reason.
    pub reason: Reason,
}

/// Marks the response to a failed request that a target has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrived;

/// How long after its deadline a request is given up at whatever step it is: the steps that know of the deadline have ended by then,
/// with an answer that states more.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Serves a request and returns its final answer. A successful answer of a streaming route is returned as soon as its
/// head has arrived. If the deadline passes or the process ends before, the answer states whether the request may have run.
pub async fn serve(gateway: Arc<Gateway>, inbound: Inbound) -> Response<Body> {
    let drain = gateway.drain.clone();
    let is_sent = inbound.is_sent.clone();
    let id = inbound.id.clone();
    let until = inbound.deadline + DEADLINE_MARGIN;
    tokio::select! {
        biased;
        response = serve_to_end(gateway, inbound) => response,
        () = drain.wait_for_answer_limit() => {
            let is_sent = is_sent.load(Ordering::Relaxed);
            log::warn!(request_id:% = request::header_text(Some(&id)), is_sent = is_sent; "not answered before the end of the grace period");
            match is_sent {
                true => reply::text_response(StatusCode::GATEWAY_TIMEOUT, Reason::NotReady.name()),
                false => reply::reject(Rejection::Stopping),
            }
        }
        () = time::sleep_until(until) => {
            let is_sent = is_sent.load(Ordering::Relaxed);
            log::warn!(request_id:% = request::header_text(Some(&id)), is_sent = is_sent; "not answered before the deadline; giving the request up");
            give_up(is_sent)
        }
    }
}

/// Returns the answer to a request that is given up at its deadline.
fn give_up(is_sent: bool) -> Response<Body> {
    let reason = Reason::Waited.name();
    if is_sent {
        let mut response = reply::text_response(StatusCode::GATEWAY_TIMEOUT, reason);
        response.extensions_mut().insert(Arrived);
        return response;
    }
    let mut response = reply::text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    reply::set_retry_after(&mut response, Duration::ZERO);
    response
}

async fn serve_to_end(gateway: Arc<Gateway>, inbound: Inbound) -> Response<Body> {
    // The gateway that the caller is connected to has counted a request that comes through it.
    if inbound.hop.is_none() {
        gateway.deposit_retry(&inbound.pool);
    }
    let mut serving = Serving::new(gateway, inbound);
    if let Err(failure) = serving.check_quarantine() {
        return serving.fail(failure);
    }
    if let Err(failure) = serving.bind_builds().await {
        return serving.fail(failure);
    }
    serving.choose_build();
    loop {
        let answer = match serving.dispatch(None).await {
            Ok(answer) => answer,
            Err(failure) => return serving.fail(failure),
        };
        let is_stream = serving.inbound.route.kind.is_stream();
        if is_stream && answer.head.status.is_success() {
            return stream::respond(serving, *answer);
        }
        match serving.buffer_answer(*answer).await {
            Ok(Some(response)) => return serving.deliver(response),
            Ok(None) => {}
            Err(failure) => return serving.fail(failure),
        }
    }
}

impl Serving {
    fn new(gateway: Arc<Gateway>, inbound: Inbound) -> Self {
        let suspensions = *gateway.suspensions.borrow();
        Self {
            gateway,
            inbound: Arc::new(inbound),
            tried: Vec::new(),
            selection: Selection::default(),
            last_target: Recipient::default(),
            attempts: Attempts::default(),
            reason: Reason::NoTarget,
            fallback: None,
            reserve: None,
            suspensions,
            is_trial: false,
            retry_after: None,
            builds: None,
            rollout: Choice::None,
            through: Vec::new(),
            is_final: false,
            preferred_zone: OnceLock::new(),
        }
    }

    /// Binds a request for a resumable stream to the builds at which it may run.
    ///
    /// # Errors
    ///
    /// A [`Failure`] with `Reason::Origin` if the caller takes up a stream of which the build is not known, or none of its
    /// targets is listed.
    async fn bind_builds(&mut self) -> std::result::Result<(), Failure> {
        let route = &self.inbound.route;
        if route.kind != (Kind::Stream { is_resumable: true }) {
            return Ok(());
        }
        if !self.inbound.is_resumption() {
            self.builds = Some(origins::open_builds(&self.gateway, &self.inbound).await);
            return Ok(());
        }
        if let Some(build) = self.inbound.hop.as_ref().and_then(|hop| hop.build.clone()) {
            self.builds = Some(vec![build]);
            return Ok(());
        }
        let found = origins::find(&self.gateway, &self.inbound).await;
        let Some(Continuation { pool, build }) = found else {
            return Err(self.failure(Reason::Origin));
        };
        let is_routed = |share: &Share| share.pool == pool && share.weight > 0;
        let is_served = pool == self.inbound.pool || route.shares.iter().any(is_routed);
        let may_go_on = origins::is_listed(&self.gateway, &pool, &build)
            && rollouts::is_allowed(&self.gateway, &pool, &build);
        if !is_served || !may_go_on {
            self.is_final = true;
            return Err(self.failure(Reason::Origin));
        }
        if pool != self.inbound.pool {
            Arc::make_mut(&mut self.inbound).pool = pool;
        }
        self.builds = Some(vec![build]);
        Ok(())
    }

    /// Chooses the side of a rollout for a request that does not go on with a stream.
    fn choose_build(&mut self) {
        if !self.inbound.is_resumption() {
            let id = self.inbound.id.as_bytes();
            self.rollout = rollouts::choose(&self.gateway, &self.inbound.pool, id);
        }
    }

    /// Binds the stream to the build that has sent its first event, and records that unless the caller takes the stream up.
    pub fn bind_to_build(&mut self, build: SmolStr) {
        if !self.inbound.is_resumption() {
            origins::begin(&self.gateway, &self.inbound, &build);
        }
        self.restrict_to_build(build);
    }

    /// Lets only targets of a build go on with the stream.
    pub fn restrict_to_build(&mut self, build: SmolStr) {
        self.rollout = Choice::None;
        // A target of which the build is not known shares it with no other one.
        self.builds = Some(match build.is_empty() {
            true => Vec::new(),
            false => vec![build],
        });
    }

    /// Refuses a request that is held, as a whole or for a part of its prompt, unless it becomes the trial.
    ///
    /// # Errors
    ///
    /// A [`Failure`] with `Reason::Quarantined` if the request is refused.
    fn check_quarantine(&mut self) -> std::result::Result<(), Failure> {
        match quarantine::admit(&self.gateway, &self.inbound) {
            Admission::Free => Ok(()),
            Admission::Trial { .. } => {
                self.is_trial = true;
                Ok(())
            }
            Admission::Refused { next_trial_ms, .. } => {
                self.retry_after = Some(quarantine::retry_after(next_trial_ms));
                Err(self.failure(Reason::Quarantined))
            }
        }
    }

    /// Finds out, in a task of its own, whether the target of an attempt crashed, and accuses the request of it. The task
    /// returns whether the request may be sent to another target.
    pub fn investigate(&self, key: Key, suspicion: Suspicion) -> JoinHandle<bool> {
        tokio::spawn(quarantine::investigate(
            self.gateway.clone(),
            self.inbound.clone(),
            key,
            suspicion,
            self.suspensions,
        ))
    }

    /// Clears the request, as its answer has gone on past its beginning.
    pub fn clear_request(&self) {
        quarantine::clear(&self.gateway, &self.inbound);
    }

    /// Returns the request of the caller.
    pub fn inbound(&self) -> &Inbound {
        &self.inbound
    }

    /// Returns the gateway that serves the request.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Returns the target to which the request was sent last.
    pub fn target(&self) -> &Recipient {
        &self.last_target
    }

    /// Sends the request to the best target, and to further ones as long as that is allowed, until one answers.
    /// `last_event_id` is the id of the last event that the caller has received.
    ///
    /// # Errors
    ///
    /// A [`Failure`] once no further attempt is allowed or possible.
    pub async fn dispatch(
        &mut self,
        last_event_id: Option<u64>,
    ) -> std::result::Result<Box<Answer>, Failure> {
        let ready = self.connect().await?;
        match self.try_targets(ready, last_event_id).await {
            Ok(answer) => Ok(answer),
            Err(failure) => self.reserve.take().ok_or(failure),
        }
    }

    /// Sends the request to a connected target, and to further ones as long as that is allowed, until one answers.
    async fn try_targets(
        &mut self,
        ready: Ready,
        last_event_id: Option<u64>,
    ) -> std::result::Result<Box<Answer>, Failure> {
        let mut sent = self.send(ready, last_event_id);
        loop {
            let outcome = match self.await_outcome(&mut sent).await {
                Awaited::Outcome(outcome) => outcome,
                Awaited::Ready(next) => {
                    let next = self.send(*next, last_event_id);
                    sent = self.hand_over(sent, next).await;
                    continue;
                }
            };
            match outcome {
                AttemptOutcome::Answer(answer) => {
                    self.count_run(sent.key);
                    return Ok(answer);
                }
                AttemptOutcome::NotRun {
                    reason,
                    has_arrived,
                } => self.handle_not_run(reason, has_arrived)?,
                AttemptOutcome::Unknown { reason } => {
                    self.count_run(sent.key);
                    if reason == Reason::Cut {
                        self.accuse(sent.key).await;
                    }
                    self.admit_retry(reason)?;
                }
            }
            let ready = self.connect().await?;
            sent = self.send(ready, last_event_id);
        }
    }

    /// Sends the request to a connected target.
    pub fn send(&mut self, ready: Ready, last_event_id: Option<u64>) -> Sent {
        let inbound = self.inbound.clone();
        let key = ready.key();
        let target = ready.recipient();
        let is_new = ready.is_new();
        self.tried.push(key);
        self.last_target = target.clone();
        let terms = Terms {
            builds: self.builds.clone(),
            last_event_id,
            runs_left: inbound
                .route
                .attempts_max
                .saturating_sub(self.attempts.possible_runs),
        };
        let outcome = async move {
            let deadline = inbound.deadline;
            attempt::send(&inbound, ready, &terms, deadline).await
        };
        Sent {
            key,
            target,
            is_new,
            outcome: outcome.boxed(),
        }
    }

    /// Finds out whether the target of an attempt crashed before it answered. A request that may be sent again waits for
    /// that, as it may be held then.
    async fn accuse(&self, key: Key) {
        match self.inbound.route.kind.is_repeatable() {
            true => {
                self.may_repeat_after(key, Suspicion::Waiting).await;
            }
            false => {
                self.investigate(key, Suspicion::Waiting);
            }
        }
    }

    /// Counts an attempt that may have run. Another gateway uses up the runs that the request has left.
    fn count_run(&mut self, key: Key) {
        let runs = &mut self.attempts.possible_runs;
        *runs = match key {
            UNKNOWN_TARGET => self.inbound.route.attempts_max.max(*runs),
            _ => *runs + 1,
        };
    }

    /// Counts an attempt that may have run, and whose target gave no answer.
    fn note_unknown(&mut self, key: Key, reason: Reason) {
        self.count_run(key);
        if reason == Reason::Cut {
            self.investigate(key, Suspicion::Waiting);
        }
    }

    /// Counts an attempt that was cancelled before its target answered.
    pub fn note_cancelled(&mut self, key: Key) {
        self.count_run(key);
    }

    /// Reads an answer completely. Returns `None` if the request is to be sent to another target.
    async fn buffer_answer(
        &mut self,
        mut answer: Answer,
    ) -> std::result::Result<Option<Response<Whole>>, Failure> {
        let may_be_empty = answer.may_be_empty();
        let collector = Collector::of_answer(self.gateway.memory.clone(), BUFFERED_MAX_BYTES);
        let collected = whole::collect(&mut answer.body, collector);
        let mut evidence = Evidence::TransportError;
        let reason = match time::timeout_at(self.inbound.deadline, collected).await {
            Ok(Ok(_)) if answer.is_end_forced() => Reason::Silence,
            Ok(Ok(whole)) => {
                let is_empty = whole.is_empty() && !may_be_empty;
                let is_cut = answer.is_event_stream()
                    && (is_empty || event::segments_end_inside_event(whole.segments()));
                if !is_cut {
                    let response = Response::from_parts(answer.head.clone(), whole);
                    answer.complete();
                    self.clear_request();
                    return Ok(self.retry_server_error(response));
                }
                Reason::Cut
            }
            Ok(Err(Unread::Broken(_))) => Reason::Cut,
            Ok(Err(Unread::Excess(excess))) => {
                // For want of memory, a sound answer may be given up as well.
                if excess == Excess::Memory {
                    evidence = Evidence::Inconclusive;
                }
                reply::note_excess(&self.gateway, excess)
            }
            Err(_) => Reason::Silence,
        };
        log::info!(
            request_id:% = self.inbound.id_text(), target_id:% = self.last_target.id,
            framing = answer.framing().name(), reason = reason.name();
            "answer broke off"
        );
        if evidence == Evidence::TransportError {
            let target = (self.last_target.id.as_str(), answer.build.as_str());
            let (pool, route) = (&self.inbound.pool, &self.inbound.route.name);
            rollouts::record(&self.gateway, pool, route, target, rollouts::Event::Failed);
        }
        answer.in_flight.set_evidence(evidence);
        let key = answer.in_flight.key;
        drop(answer);
        if reason == Reason::Cut && !self.may_repeat_after(key, Suspicion::Begun).await {
            return Err(self.failure(reason));
        }
        self.admit_retry(reason)?;
        Ok(None)
    }

    /// Returns whether the request may be sent to another target after its connection to this one closed. An answer on a
    /// prompt that is not known to be sound may have crashed the target.
    pub async fn may_repeat_after(&self, key: Key, suspicion: Suspicion) -> bool {
        match self.investigate(key, suspicion).await {
            Ok(may_repeat) => may_repeat,
            Err(error) => {
                log::error!(error:% = error; "failed to find out whether a target crashed; the request is not repeated");
                false
            }
        }
    }

    /// Returns the answer, or `None` if it is a server error and the request may be sent to another target. The error
    /// is then kept, and delivered if no other target answers.
    fn retry_server_error(&mut self, response: Response<Whole>) -> Option<Response<Whole>> {
        if !response.status().is_server_error() || self.admit_retry(Reason::Failed).is_err() {
            return Some(response);
        }
        self.fallback = Some(response);
        None
    }
}
