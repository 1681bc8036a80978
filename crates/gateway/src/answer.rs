//! From a caller's request to its final answer: which targets are tried, and what the caller is told.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use sardinemux_core::attempts::{self, Attempts};
use sardinemux_core::roster::query::{self, Criteria};
use sardinemux_core::roster::Evidence;
use sardinemux_core::target::{Key, Target};
use snafu::Snafu;
use tokio::time::{self, Instant};

use crate::attempt::{self, Account, Answer, Reached};
use crate::metrics;
use crate::prelude::*;
use crate::request::{self, Job, Rejection};
use crate::stream;

/// Why an answer's body ends early. The caller's connection is closed, so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off: {}", reason.name()))]
pub struct Broken {
    /// Why.
    pub reason: Reason,
}

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// The largest answer that is read whole before it is passed on, in bytes; a larger one cannot be tried again.
const WHOLE_MAX: usize = 8 << 20;

/// A request that is being served.
#[derive(Debug)]
pub struct Serving {
    gateway: Arc<Gateway>,
    job: Job,
    tried: Vec<Key>,
    choice: Choice,
    last_target: SmolStr,
    attempts: Attempts,
    reason: Reason,
    fallback: Option<Response<Bytes>>,
}

/// What the last choice of a target was made from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Choice {
    /// The targets that could have got the request.
    candidates: usize,
    /// Those before the chosen one that are cold and bear nothing more just now.
    held_back: usize,
    /// The requests on the chosen one, as far as this gateway knew.
    load: u32,
}

/// Why no further target is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
}

/// Serves a request to its end, or to the head of a streamed answer.
pub async fn serve(gateway: Arc<Gateway>, job: Job) -> Response<Body> {
    gateway.deposit_retry(&job.pool);
    let mut serving = Serving::new(gateway, job);
    loop {
        let answer = match serving.next(None).await {
            Ok(answer) => answer,
            Err(failure) => return serving.fail(failure),
        };
        let is_stream = serving.job.route.kind.is_stream();
        if is_stream && answer.head.status.is_success() {
            return stream::respond(serving, *answer);
        }
        match serving.read_whole(*answer).await {
            Ok(Some(response)) => return serving.deliver(response),
            Ok(None) => {}
            Err(failure) => return serving.fail(failure),
        }
    }
}

impl Serving {
    fn new(gateway: Arc<Gateway>, job: Job) -> Self {
        Self {
            gateway,
            job,
            tried: Vec::new(),
            choice: Choice::default(),
            last_target: SmolStr::default(),
            attempts: Attempts::default(),
            reason: Reason::NoTarget,
            fallback: None,
        }
    }

    /// Returns the request.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Returns the gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Sends the request to the best target, and to others as long as that is allowed. `last_event` is the number
    /// of the last event that the caller has.
    ///
    /// # Errors
    ///
    /// A [`Failure`] once nothing more may be tried.
    pub async fn next(
        &mut self,
        last_event: Option<u64>,
    ) -> std::result::Result<Box<Answer>, Failure> {
        loop {
            if self.job.left().is_zero() {
                return Err(self.failure(Reason::Waited));
            }
            let Some((account, target)) = self.choose() else {
                return Err(self.failure(self.reason));
            };
            let key = account.key;
            self.tried.push(key);
            self.last_target = target.id.clone();
            let first_byte = self.first_byte();
            let sent = attempt::send(&self.job, account, &target, last_event, first_byte);
            match sent.await {
                Reached::Answer(answer) => {
                    self.attempts.possible_runs += 1;
                    return Ok(answer);
                }
                Reached::NotRun {
                    reason,
                    has_arrived,
                } => self.note_not_run(reason, has_arrived)?,
                Reached::Unknown { reason } => {
                    self.attempts.possible_runs += 1;
                    self.may_repeat(reason)?;
                }
            }
        }
    }

    fn choose(&mut self) -> Option<(Account, Target)> {
        let job = &self.job;
        let now_ms = self.gateway.now_ms();
        let ranks = {
            let wish = Criteria {
                pool: &job.pool,
                subject: job.prompt.prefix_id(),
                zone: &self.gateway.settings.zone,
                tried: &self.tried,
            };
            query::rank_targets(&self.gateway.roster.lock(), wish, now_ms)
        };
        let mut held_back = 0;
        let started = ranks.iter().find_map(|key| {
            let started = attempt::start(&self.gateway, *key);
            held_back += usize::from(started.is_none());
            started
        });
        let key = started.as_ref().map(|(account, _)| account.key);
        let load = key.map(|key| query::load(&self.gateway.roster.lock(), key, now_ms));
        self.choice = Choice {
            candidates: ranks.len(),
            held_back,
            load: load.unwrap_or_default(),
        };
        started
    }

    /// Returns until when the head of the answer must come.
    fn first_byte(&self) -> Instant {
        match self.attempts.first_byte_timeout_ms(&self.job.route) {
            Some(patience_ms) => {
                let patience = Duration::from_millis(patience_ms);
                self.job.deadline.min(Instant::now() + patience)
            }
            None => self.job.deadline,
        }
    }

    fn note_not_run(
        &mut self,
        reason: Reason,
        has_arrived: bool,
    ) -> std::result::Result<(), Failure> {
        self.reason = reason;
        match has_arrived {
            true => self.attempts.rejections += 1,
            false => self.attempts.send_failures += 1,
        }
        let may_go_on = self.attempts.may_try_next_target()
            && (!has_arrived || self.gateway.try_withdraw_retry(&self.job.pool));
        match may_go_on {
            true => Ok(()),
            false => Err(self.failure(reason)),
        }
    }

    /// Checks whether a request that may have run may be sent again.
    ///
    /// # Errors
    ///
    /// A [`Failure`] if not.
    pub fn may_repeat(&mut self, reason: Reason) -> std::result::Result<(), Failure> {
        self.reason = reason;
        let may_repeat = self.attempts.may_run_again(&self.job.route)
            && !self.job.left().is_zero()
            && self.gateway.try_withdraw_retry(&self.job.pool);
        match may_repeat {
            true => Ok(()),
            false => Err(self.failure(reason)),
        }
    }

    fn failure(&self, reason: Reason) -> Failure {
        let outcome = self.attempts.outcome();
        Failure { outcome, reason }
    }

    /// Reads a whole answer. Returns nothing if the request is to be tried again.
    async fn read_whole(
        &mut self,
        mut answer: Answer,
    ) -> std::result::Result<Option<Response<Bytes>>, Failure> {
        let whole = Limited::new(&mut answer.body, WHOLE_MAX).collect();
        let reason = match time::timeout_at(self.job.deadline, whole).await {
            Ok(Ok(whole)) => {
                let response = Response::from_parts(answer.head.clone(), whole.to_bytes());
                answer.complete();
                return Ok(self.keep_or_repeat(response));
            }
            Ok(Err(_)) => Reason::Cut,
            Err(_) => Reason::Silence,
        };
        answer.account.note(Evidence::TransportError);
        drop(answer);
        self.may_repeat(reason)?;
        Ok(None)
    }

    /// A target's own server error is kept while another target is tried.
    fn keep_or_repeat(&mut self, response: Response<Bytes>) -> Option<Response<Bytes>> {
        if !response.status().is_server_error() || self.may_repeat(Reason::Failed).is_err() {
            return Some(response);
        }
        self.fallback = Some(response);
        None
    }

    fn deliver(&self, response: Response<Bytes>) -> Response<Body> {
        let (head, body) = response.into_parts();
        self.note_answer(head.status);
        let stated = head.headers.get(header::CONTENT_LENGTH).cloned();
        let length = HeaderValue::from(body.len());
        let mut response = Response::new(whole(body));
        self.copy_head(head, &mut response);
        // The answer to HEAD states the length of a body that is not sent.
        let length = match self.job.method == Method::HEAD {
            true => stated,
            false => Some(length),
        };
        if let Some(length) = length {
            response
                .headers_mut()
                .insert(header::CONTENT_LENGTH, length);
        }
        response
    }

    /// Copies the head of a target's answer, without what concerns only that connection.
    pub fn copy_head(&self, mut head: Parts, response: &mut Response<Body>) {
        let dialect = &self.gateway.dialect;
        request::strip_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        head.headers.remove(&dialect.load);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
    }

    /// Counts and logs the outcome of the request.
    pub fn note_answer(&self, status: StatusCode) {
        let job = &self.job;
        let elapsed = job.begun.elapsed();
        let class = class(job);
        let catalog = self.gateway.catalog();
        let organisation = job.organisation.as_deref();
        let counted = metrics::organisation(&catalog, organisation);
        self.gateway
            .metrics
            .answers
            .with_label_values(&[class, counted, status.as_str()])
            .inc();
        self.gateway
            .metrics
            .first_byte_s
            .with_label_values(&[class])
            .observe(elapsed.as_secs_f64());
        let level = match status.is_success() {
            true => log::Level::Info,
            false => log::Level::Warn,
        };
        let Choice {
            candidates,
            held_back,
            load,
        } = self.choice;
        log::log!(
            level,
            request_id:% = job.id_text(), route:% = job.route.name, organisation = organisation.unwrap_or("none"),
            pool:% = job.pool, target_id:% = self.last_target, status = status.as_u16(), tried = self.tried.len(), ran = self.attempts.possible_runs,
            candidates = candidates, held_back = held_back, load = load,
            elapsed_ms = elapsed.as_millis() as u64, left_ms = job.left().as_millis() as u64, version = catalog.version();
            "answered"
        );
    }

    fn fail(mut self, failure: Failure) -> Response<Body> {
        if let Some(fallback) = self.fallback.take() {
            return self.deliver(fallback);
        }
        let status = match (failure.outcome, failure.reason) {
            (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
            (_, Reason::Silence | Reason::Waited) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        self.note_answer(status);
        let mut response = plain(status, failure.reason.name());
        if failure.outcome == Outcome::NotRun {
            set_retry_after(&mut response, self.job.left());
        }
        response
    }
}

fn class(job: &Job) -> &'static str {
    use sardinemux_core::catalog::Kind;
    match job.route.kind {
        Kind::Safe => "safe",
        Kind::Unsafe => "unsafe",
        Kind::Stream { is_resumable: true } => "resumable",
        Kind::Stream { .. } => "stream",
    }
}

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an answer of the gateway's own.
pub fn plain(status: StatusCode, reason: &str) -> Response<Body> {
    let body = Bytes::from(format!("{reason}\n"));
    let length = HeaderValue::from(body.len());
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    response
}

/// Returns the answer to a request that is not passed on.
pub fn reject(rejection: Rejection) -> Response<Body> {
    let status = rejection.status();
    let mut response = plain(status, &rejection.to_string());
    if rejection == Rejection::NotReady {
        set_retry_after(
            &mut response,
            Duration::from_millis(attempts::RETRY_AFTER_MAX_MS),
        );
    }
    // What is left of the request on the connection is not read.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Tells a caller when to come back, spread so that those who were refused together do not return together.
fn set_retry_after(response: &mut Response<Body>, left: Duration) {
    let left_ms = left.as_millis() as u64;
    let wait_ms = attempts::retry_after_ms(left_ms, &mut rand::rng());
    let seconds = format!("{:.3}", wait_ms as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Counts a request as running until its body has been sent or dropped.
pub fn counted(body: Body, running: crate::drain::Running) -> Body {
    let mut running = Some(running);
    body.map_frame(move |frame| {
        let _ = &mut running;
        frame
    })
    .boxed_unsync()
}
