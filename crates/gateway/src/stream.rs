//! Forwards streamed answers to callers, event by event, and resumes an interrupted one at another target.

pub mod assembler;
mod live;

use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::Response;
use sardinemux_core::catalog::Kind;
use sardinemux_core::event::Cursor;
use sardinemux_core::quarantine::Suspicion;
use sardinemux_core::roster::Evidence;
use sardinemux_core::target::Key;
use tokio::task;
use tokio::time::{self, Instant};

use self::assembler::Assembler;
use self::live::{Live, Step};
use crate::answer::{Recipient, Serving, DEADLINE_MARGIN};
use crate::attempt::answer::Answer;
use crate::origins;
use crate::prelude::*;
use crate::reply::{Body, BodyError};
use crate::rollouts::{self, Event};
use crate::whole;

/// The interval at which a chunk that waits for memory tries to get it.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The build of the target that sends a streamed answer, as an extension of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Build(pub SmolStr);

/// Returns the response to a caller for a streamed answer. Its body ends with an error if the answer breaks off and
/// cannot be resumed, so that it does not look complete.
///
/// The head states the build to another gateway, so that all events of the answer must come from it.
pub fn respond(mut serving: Serving, answer: Answer) -> Response<Body> {
    serving.record_answer(answer.head.status);
    let head = answer.head.clone();
    let mut response = Response::new(Body::default());
    serving.copy_head(head, &mut response);
    response
        .extensions_mut()
        .insert(Build(answer.build.clone()));
    let is_resumable = serving.inbound().route.kind == Kind::Stream { is_resumable: true };
    if is_resumable && serving.inbound().hop.is_some() {
        serving.restrict_to_build(answer.build.clone());
    }
    // Streaming routes answer with events unless the head states another type.
    let has_events = answer.is_event_stream() || answer.content_type().is_none();
    *response.body_mut() = match is_resumable || has_events {
        true => forward_events(serving, answer, is_resumable),
        false => forward_chunks(serving, answer),
    };
    response
}

/// Reads the next chunk of an answer's body until `deadline`. Returns `None` once the body is complete.
///
/// # Errors
///
/// [`BodyError`] with `Reason::Cut` if the connection failed, with `Reason::Silence` if no chunk arrived in time, or if
/// the body may have ended because the time of the target is over.
async fn read_chunk(
    answer: &mut Answer,
    deadline: Instant,
) -> std::result::Result<Option<Bytes>, BodyError> {
    loop {
        // A target that always has data would never time out.
        if Instant::now() >= deadline {
            return Err(interrupted(Reason::Silence));
        }
        let frame = match time::timeout_at(deadline, answer.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(interrupted(Reason::Cut)),
            Ok(None) if answer.is_end_forced() => return Err(interrupted(Reason::Silence)),
            Ok(None) => return Ok(None),
            Err(_) => return Err(interrupted(Reason::Silence)),
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Lets the connection send the head and the events that it has got. The HTTP library drops what it has not flushed when
/// a body ends with an error, so that a caller might get no answer at all.
async fn let_flush() {
    task::yield_now().await;
}

fn interrupted(reason: Reason) -> BodyError {
    BodyError { reason }
}

/// The target of an answer and the properties of its head, for the logs and metrics of its end.
#[derive(Clone, Debug)]
struct Origin {
    target: Recipient,
    framing: &'static str,
    is_event_stream: bool,
    /// When the head of the answer had arrived.
    began_at: Instant,
}

impl Origin {
    fn new(serving: &Serving, answer: &Answer) -> Self {
        Self {
            target: Recipient {
                build: answer.build.clone(),
                ..serving.target().clone()
            },
            framing: answer.framing().name(),
            is_event_stream: answer.is_event_stream(),
            began_at: Instant::now(),
        }
    }
}

/// How far a stream had come when it ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    /// The id of the last event that was forwarded.
    last_event: Option<u64>,
    /// The number of new events in this answer. It differs from the last id if the answer resumes a stream.
    events: u64,
    /// The number of bytes after the last whole event.
    unfinished_bytes: usize,
    /// The time since the last chunk, or since the head, in milliseconds.
    silent_ms: u64,
}

impl Progress {
    fn new(cursor: &Cursor, assembler: &Assembler, last_data_at: Instant) -> Self {
        Self {
            last_event: cursor.last_id(),
            events: assembler.events(),
            unfinished_bytes: assembler.unfinished_bytes(),
            silent_ms: last_data_at.elapsed().as_millis() as u64,
        }
    }
}

/// Counts and logs the end of a target's stream. `cause` is `None` if the stream ended normally.
fn record_end(serving: &Serving, origin: &Origin, progress: Progress, cause: Option<BodyError>) {
    let Origin {
        target,
        framing,
        is_event_stream,
        began_at,
    } = origin;
    let outcome = cause.map_or("complete", |cause| cause.reason.name());
    serving
        .gateway()
        .metrics
        .stream_ends
        .with_label_values(&[*framing, outcome])
        .inc();
    record_rollout_event(serving, target, progress.events, *began_at, cause);
    let request_id = serving.inbound().id_text();
    let last_event = progress.last_event.unwrap_or_default();
    let unfinished_bytes = progress.unfinished_bytes;
    let events = progress.events;
    let silent_ms = progress.silent_ms;
    let prompt = &serving.inbound().prompt;
    match cause {
        None => log::info!(
            request_id:% = request_id, target_id:% = target.id, build:% = target.build, prompt:% = prompt, framing = *framing,
            is_event_stream = *is_event_stream, events = events, last_event = last_event, unfinished_bytes = unfinished_bytes;
            "stream ended"
        ),
        Some(cause) => log::warn!(
            request_id:% = request_id, target_id:% = target.id, build:% = target.build, prompt:% = prompt, framing = *framing, reason = cause.reason.name(), silent_ms = silent_ms,
            is_event_stream = *is_event_stream, events = events, last_event = last_event, unfinished_bytes = unfinished_bytes;
            "stream broke off"
        ),
    }
}

/// Counts the end of a stream for the rollout of its pool.
fn record_rollout_event(
    serving: &Serving,
    target: &Recipient,
    events: u64,
    began_at: Instant,
    cause: Option<BodyError>,
) {
    let is_direct = target.gateway.is_empty();
    let event = match (cause, u32::try_from(events)) {
        _ if !is_direct => return,
        (Some(_), _) => Event::Failed,
        (None, Ok(events)) if events > 1 => Event::Paced(began_at.elapsed() / events),
        (None, _) => return,
    };
    let (inbound, gateway) = (serving.inbound(), serving.gateway());
    let target = (target.id.as_str(), target.build.as_str());
    rollouts::record(gateway, &inbound.pool, &inbound.route.name, target, event);
}

/// Forwards an answer that is not a stream of events, chunk by chunk.
fn forward_chunks(serving: Serving, mut answer: Answer) -> Body {
    let chunks = stream! {
        let origin = Origin::new(&serving, &answer);
        loop {
            match read_copy(&mut answer, &serving).await {
                Ok(Some(data)) => yield Ok(Frame::data(data)),
                Ok(None) => {
                    record_end(&serving, &origin, Progress::default(), None);
                    answer.complete();
                    serving.clear_request();
                    return;
                }
                Err(cause) => {
                    let key = answer.in_flight.key;
                    abort(&serving, answer, &origin, Progress::default(), cause);
                    if cause.reason == Reason::Cut {
                        serving.investigate(key, Suspicion::Waiting);
                    }
                    let_flush().await;
                    yield Err(cause);
                    return;
                }
            }
        }
    };
    StreamBody::new(chunks).boxed_unsync()
}

/// Reads the next chunk, and waits until there is memory for it, which is accounted for until the caller has read it. A chunk
/// of the HTTP library would keep a whole read buffer.
///
/// # Errors
///
/// Those of [`read_chunk`], and [`BodyError`] with `Reason::Silence` if there is no memory in time.
async fn read_copy(
    answer: &mut Answer,
    serving: &Serving,
) -> std::result::Result<Option<Bytes>, BodyError> {
    let deadline = serving.inbound().deadline;
    let Some(data) = read_chunk(answer, deadline).await? else {
        return Ok(None);
    };
    let memory = &serving.gateway().memory;
    loop {
        if let Ok(copy) = whole::copy(&data, memory.clone()) {
            return Ok(Some(copy));
        }
        if Instant::now() >= deadline {
            return Err(interrupted(Reason::Silence));
        }
        time::sleep(MEMORY_POLL_INTERVAL).await;
    }
}

/// Forwards whole events. A stream that ends inside an event has broken off, whatever its framing: the end of a
/// connection may mark the end of the answer or a crash of the target. A resumable stream that breaks off is resumed at
/// another target after the last event that was forwarded. An event that is out of order belongs to another stream, so
/// this stream breaks off before it.
fn forward_events(mut serving: Serving, answer: Answer, is_resumable: bool) -> Body {
    let chunks = stream! {
        let mut cursor = match (is_resumable, serving.inbound().last_event_id) {
            // A target may heed what the caller states, although its route does not declare that.
            (false, Some(_)) => Cursor::anywhere(),
            (_, last_event) => Cursor::after(last_event),
        };
        let mut live = Live::new(&serving, answer, &cursor, is_resumable);
        let mut is_bound = !is_resumable || serving.inbound().is_resumption();
        loop {
            let next = match live.advance(&mut serving, &mut cursor).await {
                Step::Events(bytes) => {
                    if !is_bound && cursor.last_id().is_some() {
                        serving.bind_to_build(live.build().clone());
                        is_bound = true;
                    }
                    yield Ok(Frame::data(bytes));
                    continue;
                }
                Step::Complete => {
                    record_end(&serving, live.origin(), live.progress(&cursor), None);
                    let rest = live.complete();
                    if !rest.is_empty() {
                        yield Ok(Frame::data(rest));
                    }
                    serving.clear_request();
                    if is_resumable {
                        origins::end(serving.gateway(), serving.inbound());
                    }
                    return;
                }
                Step::TakenOver(next) => {
                    live.abort(&serving, &cursor, interrupted(Reason::Silence));
                    Ok(*next)
                }
                Step::Broken(cause) => {
                    let (key, has_cleared) = (live.key(), live.has_cleared());
                    live.abort(&serving, &cursor, cause);
                    let until = serving.inbound().deadline + DEADLINE_MARGIN;
                    let last_event = cursor.last_id();
                    let replaced = replace(&mut serving, cause, key, has_cleared, last_event);
                    let replaced = time::timeout_at(until, replaced).await;
                    replaced.unwrap_or(Err(interrupted(Reason::Silence)))
                }
            };
            live = match next {
                Ok(answer) => Live::new(&serving, answer, &cursor, is_resumable),
                Err(cause) => {
                    let_flush().await;
                    yield Err(cause);
                    return;
                }
            };
        }
    };
    StreamBody::new(chunks).boxed_unsync()
}

/// Closes the connection of an answer that broke off, and reports the failure to the roster, the log and the metrics.
fn abort(
    serving: &Serving,
    mut answer: Answer,
    origin: &Origin,
    progress: Progress,
    cause: BodyError,
) {
    answer.in_flight.set_evidence(Evidence::TransportError);
    record_end(serving, origin, progress, Some(cause));
}

/// Returns the answer of another target that goes on with a stream which broke off at the target `key`.
///
/// # Errors
///
/// [`BodyError`] if the stream must not be resumed, or once no further attempt is allowed.
async fn replace(
    serving: &mut Serving,
    cause: BodyError,
    key: Key,
    has_cleared: bool,
    last_event: Option<u64>,
) -> std::result::Result<Answer, BodyError> {
    let is_resumable = serving.inbound().route.kind.is_repeatable();
    let is_suspect = cause.reason == Reason::Cut && !has_cleared;
    let may_repeat = match (is_suspect, is_resumable) {
        (true, true) => serving.may_repeat_after(key, Suspicion::Begun).await,
        (true, false) => {
            serving.investigate(key, Suspicion::Begun);
            false
        }
        (false, _) => is_resumable,
    };
    match may_repeat {
        true => resume(serving, cause, last_event).await,
        false => Err(cause),
    }
}

/// Requests the rest of an interrupted stream, after `last_event`, until a target answers with success.
///
/// # Errors
///
/// [`BodyError`] once no further attempt is allowed.
async fn resume(
    serving: &mut Serving,
    cause: BodyError,
    last_event: Option<u64>,
) -> std::result::Result<Answer, BodyError> {
    loop {
        let may_repeat = serving.admit_retry(cause.reason);
        may_repeat.map_err(|failure| interrupted(failure.reason))?;
        let next = serving.dispatch(last_event).await;
        let next = next.map_err(|failure| interrupted(failure.reason))?;
        if next.head.status.is_success() {
            return Ok(*next);
        }
    }
}
