//! Builds the answers to callers: their bodies, and those that the gateway gives itself.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use sardinemux_core::attempts;
use snafu::Snafu;
use tokio::sync::oneshot;

use crate::prelude::*;
use crate::request::Rejection;
use crate::whole::{self, Collector, Excess, Unread, Whole};

/// The error that ends the body of an answer early. The caller's connection is closed without the end of the body, so
/// that the answer does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the body of the answer ended early: {}", reason.name()))]
pub struct BodyError {
    /// The reason.
    pub reason: Reason,
}

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// The maximum size of an answer that is buffered before it is forwarded, in bytes. A larger one counts as cut off.
pub const BUFFERED_MAX_BYTES: usize = 8 << 20;

/// Returns a body that consists of these bytes.
pub fn full_body(whole: impl Into<Whole>) -> Body {
    whole.into().map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer of the gateway itself, with the reason as its body.
pub fn text_response(status: StatusCode, reason: &str) -> Response<Body> {
    let body = Bytes::from(format!("{reason}\n"));
    let length = HeaderValue::from(body.len());
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    response
}

/// Returns the answer to a rejected request. It closes the caller's connection.
pub fn reject(rejection: Rejection) -> Response<Body> {
    let status = rejection.status();
    let mut response = text_response(status, &rejection.to_string());
    match rejection {
        Rejection::NotReady | Rejection::NoRoom => set_retry_after(
            &mut response,
            Duration::from_millis(attempts::RETRY_AFTER_MAX_MS),
        ),
        // Other gateways serve the caller at once.
        Rejection::Stopping | Rejection::OtherCatalog => {
            set_retry_after(&mut response, Duration::ZERO)
        }
        _ => {}
    }
    // The rest of the request is not read, so the connection cannot be reused.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Sets `Retry-After` to a random delay, so that callers that were refused together do not return together.
pub fn set_retry_after(response: &mut Response<Body>, left: Duration) {
    let left_ms = left.as_millis() as u64;
    let wait_ms = attempts::retry_after_ms(left_ms, &mut rand::rng());
    state_retry_after(response, Duration::from_millis(wait_ms));
}

/// Sets `Retry-After` to a delay.
pub fn state_retry_after(response: &mut Response<Body>, delay: Duration) {
    let seconds = format!("{:.3}", delay.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Reads an answer of unknown length completely and states its length, for a caller to which no chunks can be sent. Such
/// a caller could not tell an answer that breaks off, also at the end of this process, from a complete one.
///
/// An answer that breaks off is replaced by a failure.
pub async fn buffer(gateway: &Gateway, response: Response<Body>) -> Response<Body> {
    if response.body().size_hint().exact().is_some() {
        return response;
    }
    let (head, body) = response.into_parts();
    let collector = Collector::of_answer(gateway.memory.clone(), BUFFERED_MAX_BYTES);
    let whole = match whole::collect(body, collector).await {
        Ok(whole) => whole,
        Err(unread) => {
            let reason = match unread {
                Unread::Broken(error) => error.reason,
                Unread::Excess(excess) => note_excess(gateway, excess),
            };
            return text_response(failure_status(reason), reason.name());
        }
    };
    let length = HeaderValue::from(whole.len());
    let mut response = Response::from_parts(head, full_body(whole));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    response
}

/// Counts an answer that is not buffered to its end, and returns the reason for which its request fails.
pub fn note_excess(gateway: &Gateway, excess: Excess) -> Reason {
    if excess == Excess::Memory {
        gateway.metrics.count_memory_refusal("answer");
    }
    Reason::Failed
}

/// Returns the status of the answer to a request that may have run and failed for this reason.
pub fn failure_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Silence | Reason::Waited => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the response, and a receiver that ends when the body of the response has been handed to the connection.
pub fn notify_sent(response: Response<Body>) -> (Response<Body>, oneshot::Receiver<()>) {
    let (sender, receiver) = oneshot::channel();
    let response = response.map(|body| keep_until_sent(body, sender));
    (response, receiver)
}

/// Drops `kept` once the body has been handed to the connection, or the connection ends.
pub fn keep_until_sent<T: Send + 'static>(body: Body, kept: T) -> Body {
    let mut kept = Some(kept);
    body.map_frame(move |frame| {
        let _ = &mut kept;
        frame
    })
    .boxed_unsync()
}
