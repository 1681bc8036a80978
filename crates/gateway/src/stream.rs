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

use crate::answer::{Body, BodyError, Serving};
use crate::attempt::Answer;
use crate::prelude::*;

/// A resumable stream goes on elsewhere after this long without an event, in milliseconds: callers give up after
/// two seconds.
const GAP_MS: u64 = 1_500;

/// Returns the response to a caller for a streamed answer.
pub fn respond(serving: Serving, answer: Answer) -> Response<Body> {
    serving.record_answer(answer.head.status);
    let head = answer.head.clone();
    let mut response = Response::new(Body::default());
    serving.copy_head(head, &mut response);
    let is_resumable = serving.inbound().route.kind == Kind::Stream { is_resumable: true };
    *response.body_mut() = match is_resumable || has_events(&answer) {
        true => events(serving, answer, is_resumable),
        false => raw(serving, answer),
    };
    response
}

/// Waits for the next piece of an answer; nothing at its clean end.
async fn piece(
    answer: &mut Answer,
    until: Instant,
) -> std::result::Result<Option<Bytes>, BodyError> {
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

fn broken(reason: Reason) -> BodyError {
    BodyError { reason }
}

fn log_broken(serving: &Serving, broken: BodyError, last_event: Option<u64>) {
    log::warn!(
        request_id:% = serving.inbound().id_text(), reason = broken.reason.name(),
        last_event = last_event.unwrap_or_default();
        "stream broke off"
    );
}

/// Passes on an answer that is no stream of events.
fn raw(serving: Serving, mut answer: Answer) -> Body {
    let pieces = stream! {
        loop {
            match piece(&mut answer, serving.inbound().deadline).await {
                Ok(Some(data)) => yield Ok(Frame::data(data)),
                Ok(None) => {
                    answer.complete();
                    return;
                }
                Err(broken) => {
                    abandon(&serving, answer, broken, None);
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
fn events(mut serving: Serving, mut answer: Answer, is_resumable: bool) -> Body {
    let pieces = stream! {
        let last_event = serving.inbound().last_event_id.filter(|_| is_resumable);
        let mut progress = Cursor::after(last_event);
        loop {
            let mut splitter = Splitter::default();
            let broken = loop {
                match piece(&mut answer, patience(&serving, is_resumable)).await {
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
                let (bytes, is_in_order) = take_events(&mut splitter, &mut progress, is_resumable);
                if !bytes.is_empty() {
                    yield Ok(Frame::data(bytes));
                }
                if !is_in_order {
                    break broken(Reason::Crossed);
                }
            };
            abandon(&serving, answer, broken, progress.last_id());
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
fn patience(serving: &Serving, is_resumable: bool) -> Instant {
    let deadline = serving.inbound().deadline;
    let gap = Instant::now() + Duration::from_millis(GAP_MS);
    match is_resumable {
        true => gap.min(deadline),
        false => deadline,
    }
}

/// Closes the connection of an answer that broke off.
fn abandon(serving: &Serving, mut answer: Answer, broken: BodyError, last_event: Option<u64>) {
    answer.in_flight.set_evidence(Evidence::TransportError);
    drop(answer);
    log_broken(serving, broken, last_event);
}

fn has_events(answer: &Answer) -> bool {
    let kind = answer.head.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Takes the whole events that come next; `false` if the one after them is out of order. A target that goes on with a
/// stream may repeat events, which are then left out, as `may_repeat` says.
fn take_events(splitter: &mut Splitter, progress: &mut Cursor, may_repeat: bool) -> (Bytes, bool) {
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
    cause: BodyError,
    last_event: Option<u64>,
) -> std::result::Result<Answer, BodyError> {
    loop {
        let may_repeat = serving.admit_retry(cause.reason);
        may_repeat.map_err(|failure| broken(failure.reason))?;
        let next = serving.dispatch(last_event).await;
        let next = next.map_err(|failure| broken(failure.reason))?;
        if next.head.status.is_success() {
            return Ok(*next);
        }
    }
}
