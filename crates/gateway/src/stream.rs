//! Forwards streamed answers to callers, event by event, and resumes an interrupted one at another target.

use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{header, Response};
use sardinemux_core::catalog::Kind;
use sardinemux_core::event::{Continuity, Cursor, Splitter};
use sardinemux_core::roster::Evidence;
use tokio::time::{self, Instant};

use crate::answer::{Body, BodyError, Serving};
use crate::attempt::Answer;
use crate::prelude::*;

/// The longest time without data after which a resumable stream is resumed at another target, in milliseconds. Callers
/// give up after two seconds.
const CHUNK_TIMEOUT_MS: u64 = 1_500;

/// Returns the response to a caller for a streamed answer. Its body ends with an error if the answer breaks off and
/// cannot be resumed, so that it does not look complete.
pub fn respond(serving: Serving, answer: Answer) -> Response<Body> {
    serving.record_answer(answer.head.status);
    let head = answer.head.clone();
    let mut response = Response::new(Body::default());
    serving.copy_head(head, &mut response);
    let is_resumable = serving.inbound().route.kind == Kind::Stream { is_resumable: true };
    *response.body_mut() = match is_resumable || is_event_stream(&answer) {
        true => forward_events(serving, answer, is_resumable),
        false => forward_chunks(serving, answer),
    };
    response
}

/// Reads the next chunk of an answer's body until `deadline`. Returns `None` once the body is complete.
///
/// # Errors
///
/// [`Broken`] with `Reason::Cut` if the connection failed, with `Reason::Silence` if no chunk arrived in time.
async fn read_chunk(
    answer: &mut Answer,
    deadline: Instant,
) -> std::result::Result<Option<Bytes>, BodyError> {
    loop {
        let frame = match time::timeout_at(deadline, answer.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(interrupted(Reason::Cut)),
            Ok(None) => return Ok(None),
            Err(_) => return Err(interrupted(Reason::Silence)),
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

fn interrupted(reason: Reason) -> BodyError {
    BodyError { reason }
}

fn log_interruption(serving: &Serving, cause: BodyError, last_event: Option<u64>) {
    log::warn!(
        request_id:% = serving.inbound().id_text(), reason = cause.reason.name(),
        last_event = last_event.unwrap_or_default();
        "stream broke off"
    );
}

/// Forwards an answer that is not a stream of events, chunk by chunk.
fn forward_chunks(serving: Serving, mut answer: Answer) -> Body {
    let chunks = stream! {
        loop {
            match read_chunk(&mut answer, serving.inbound().deadline).await {
                Ok(Some(data)) => yield Ok(Frame::data(data)),
                Ok(None) => {
                    answer.complete();
                    return;
                }
                Err(cause) => {
                    abort(&serving, answer, cause, None);
                    yield Err(cause);
                    return;
                }
            }
        }
    };
    StreamBody::new(chunks).boxed_unsync()
}

/// Forwards whole events; a stream that is not resumable may end with bytes that are not a whole event, and these are
/// forwarded as well. A resumable stream that breaks off is resumed at another target after the last event that was
/// forwarded. An event that is out of order belongs to another stream, so this stream breaks off before it.
fn forward_events(mut serving: Serving, mut answer: Answer, is_resumable: bool) -> Body {
    let chunks = stream! {
        let last_event = serving.inbound().last_event_id.filter(|_| is_resumable);
        let mut cursor = Cursor::after(last_event);
        loop {
            let mut splitter = Splitter::default();
            let cause = loop {
                match read_chunk(&mut answer, chunk_deadline(&serving, is_resumable)).await {
                    Ok(Some(data)) => {
                        if splitter.push(&data).is_err() {
                            break interrupted(Reason::Crossed);
                        }
                    }
                    Ok(None) if is_resumable && !splitter.is_empty() => break interrupted(Reason::Cut),
                    Ok(None) => {
                        let rest = splitter.into_rest();
                        if !rest.is_empty() {
                            yield Ok(Frame::data(rest.into()));
                        }
                        answer.complete();
                        return;
                    }
                    Err(cause) => break cause,
                }
                let (bytes, is_in_order) = collect_events(&mut splitter, &mut cursor, is_resumable);
                if !bytes.is_empty() {
                    yield Ok(Frame::data(bytes));
                }
                if !is_in_order {
                    break interrupted(Reason::Crossed);
                }
            };
            abort(&serving, answer, cause, cursor.last_id());
            let next = match is_resumable {
                true => resume(&mut serving, cause, cursor.last_id()).await,
                false => Err(cause),
            };
            answer = match next {
                Ok(next) => next,
                Err(cause) => {
                    yield Err(cause);
                    return;
                }
            };
        }
    };
    StreamBody::new(chunks).boxed_unsync()
}

/// Returns the time by which the next chunk must arrive.
fn chunk_deadline(serving: &Serving, is_resumable: bool) -> Instant {
    let deadline = serving.inbound().deadline;
    let timeout = Instant::now() + Duration::from_millis(CHUNK_TIMEOUT_MS);
    match is_resumable {
        true => timeout.min(deadline),
        false => deadline,
    }
}

/// Closes the connection of an answer that broke off, and reports the failure to the roster and the log.
fn abort(serving: &Serving, mut answer: Answer, cause: BodyError, last_event: Option<u64>) {
    answer.in_flight.set_evidence(Evidence::TransportError);
    drop(answer);
    log_interruption(serving, cause, last_event);
}

fn is_event_stream(answer: &Answer) -> bool {
    let media_type = answer.head.headers.get(header::CONTENT_TYPE);
    let media_type = media_type.and_then(|value| value.to_str().ok());
    media_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Returns the bytes of the whole events that are buffered, and whether all of them were in order; the events from the
/// first one that is out of order are left out. A target that resumes a stream may repeat events: duplicates are
/// dropped with `allows_duplicates`, and are out of order without it.
fn collect_events(
    splitter: &mut Splitter,
    cursor: &mut Cursor,
    allows_duplicates: bool,
) -> (Bytes, bool) {
    let mut bytes = Vec::new();
    for event in splitter {
        match cursor.accept(event.id) {
            Continuity::Next => bytes.extend(event.bytes),
            Continuity::Duplicate if allows_duplicates => {}
            Continuity::Duplicate | Continuity::Gap => return (bytes.into(), false),
        }
    }
    (bytes.into(), true)
}

/// Requests the rest of an interrupted stream, after `last_event`, until a target answers with success.
///
/// # Errors
///
/// [`Broken`] once no further attempt is allowed.
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
