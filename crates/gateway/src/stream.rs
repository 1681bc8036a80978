//! Passing on a stream event by event, and going on at another target when it breaks off.

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

use crate::answer::{Body, Broken, Serving};
use crate::attempt::Answer;
use crate::prelude::*;

/// A resumable stream goes on elsewhere after this long without an event, in milliseconds: callers give up after
/// two seconds.
const EVENT_TIMEOUT_MS: u64 = 1_500;

/// Returns the response to a caller for a streamed answer.
pub fn respond(serving: Serving, answer: Answer) -> Response<Body> {
    serving.note_answer(answer.head.status);
    let head = answer.head.clone();
    let mut response = Response::new(Body::default());
    serving.copy_head(head, &mut response);
    let is_resumable = serving.job().route.kind == Kind::Stream { is_resumable: true };
    *response.body_mut() = match is_resumable || is_event_stream(&answer) {
        true => forward_events(serving, answer, is_resumable),
        false => forward_chunks(serving, answer),
    };
    response
}

/// Waits for the next piece of an answer; nothing at its clean end.
async fn read_chunk(
    answer: &mut Answer,
    until: Instant,
) -> std::result::Result<Option<Bytes>, Broken> {
    loop {
        let frame = match time::timeout_at(until, answer.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(broken(Reason::Cut)),
            Ok(None) => return Ok(None),
            Err(_) => return Err(broken(Reason::Silence)),
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

fn broken(reason: Reason) -> Broken {
    Broken { reason }
}

fn log_interruption(serving: &Serving, broken: Broken, last_event: Option<u64>) {
    log::warn!(
        request_id:% = serving.job().id_text(), reason = broken.reason.name(),
        last_event = last_event.unwrap_or_default();
        "stream broke off"
    );
}

/// Passes on an answer that is no stream of events.
fn forward_chunks(serving: Serving, mut answer: Answer) -> Body {
    let pieces = stream! {
        loop {
            match read_chunk(&mut answer, serving.job().deadline).await {
                Ok(Some(data)) => yield Ok(Frame::data(data)),
                Ok(None) => {
                    answer.complete();
                    return;
                }
                Err(broken) => {
                    abort(&serving, answer, broken, None);
                    yield Err(broken);
                    return;
                }
            }
        }
    };
    StreamBody::new(pieces).boxed_unsync()
}

/// Passes on whole events. When the stream breaks off, one that may be resumed goes on elsewhere after the last event.
/// Events that are out of order belong to another stream, so that it breaks off before them.
fn forward_events(mut serving: Serving, mut answer: Answer, is_resumable: bool) -> Body {
    let pieces = stream! {
        let last_event = serving.job().last_event.filter(|_| is_resumable);
        let mut progress = Cursor::after(last_event);
        loop {
            let mut splitter = Splitter::default();
            let broken = loop {
                match read_chunk(&mut answer, chunk_deadline(&serving, is_resumable)).await {
                    Ok(Some(data)) => {
                        if splitter.push(&data).is_err() {
                            break broken(Reason::Crossed);
                        }
                    }
                    Ok(None) if is_resumable && !splitter.is_empty() => break broken(Reason::Cut),
                    Ok(None) => {
                        let rest = splitter.into_rest();
                        if !rest.is_empty() {
                            yield Ok(Frame::data(rest.into()));
                        }
                        answer.complete();
                        return;
                    }
                    Err(broken) => break broken,
                }
                let (bytes, is_in_order) = collect_events(&mut splitter, &mut progress, is_resumable);
                if !bytes.is_empty() {
                    yield Ok(Frame::data(bytes));
                }
                if !is_in_order {
                    break broken(Reason::Crossed);
                }
            };
            abort(&serving, answer, broken, progress.last_id());
            let next = match is_resumable {
                true => resume(&mut serving, broken, progress.last_id()).await,
                false => Err(broken),
            };
            answer = match next {
                Ok(next) => next,
                Err(broken) => {
                    yield Err(broken);
                    return;
                }
            };
        }
    };
    StreamBody::new(pieces).boxed_unsync()
}

/// Returns until when the next piece must come.
fn chunk_deadline(serving: &Serving, is_resumable: bool) -> Instant {
    let deadline = serving.job().deadline;
    let gap = Instant::now() + Duration::from_millis(EVENT_TIMEOUT_MS);
    match is_resumable {
        true => gap.min(deadline),
        false => deadline,
    }
}

/// Closes the connection of an answer that broke off.
fn abort(serving: &Serving, mut answer: Answer, broken: Broken, last_event: Option<u64>) {
    answer.account.note(Evidence::TransportError);
    drop(answer);
    log_interruption(serving, broken, last_event);
}

fn is_event_stream(answer: &Answer) -> bool {
    let kind = answer.head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Takes the whole events that come next; `false` if the one after them is out of order. A target that goes on with a
/// stream may repeat events, which are then left out, as `may_repeat` says.
fn collect_events(
    splitter: &mut Splitter,
    progress: &mut Cursor,
    may_repeat: bool,
) -> (Bytes, bool) {
    let mut bytes = Vec::new();
    for event in splitter {
        match progress.accept(event.id) {
            Continuity::Next => bytes.extend(event.bytes),
            Continuity::Duplicate if may_repeat => {}
            Continuity::Duplicate | Continuity::Gap => return (bytes.into(), false),
        }
    }
    (bytes.into(), true)
}

async fn resume(
    serving: &mut Serving,
    cause: Broken,
    last_event: Option<u64>,
) -> std::result::Result<Answer, Broken> {
    loop {
        let may_repeat = serving.may_repeat(cause.reason);
        may_repeat.map_err(|failure| broken(failure.reason))?;
        let next = serving.next(last_event).await;
        let next = next.map_err(|failure| broken(failure.reason))?;
        if next.head.status.is_success() {
            return Ok(*next);
        }
    }
}
