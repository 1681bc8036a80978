//! Dispatches a call to a plain service.
//!
//! The whole answer is read before any of it is forwarded, so that a truncated answer is never taken for a complete
//! one. A call that must not be repeated is sent on a new connection, and runs to its end even if the entry
//! disconnects; its answer is kept, so that the entry can query it.

use sardinemux_core::config::Parameter;
use sardinemux_core::event;
use sardinemux_core::warmup::Observation;
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{Body, End, Head, Part};
use sardinemux_wire::header;
use sardinemux_wire::peer::ServiceAnswer;

use super::{send_request, wait_for, Dispatch, Failure, Reply, Wait};
use crate::prelude::*;
use crate::tables::KeptAnswer;

/// The size limit of a service's answer. The dispatch fails for a larger one.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The largest size of the parts in which an answer is forwarded.
const PART_BYTES: usize = 64 * 1024;

/// How long an answer is kept for a query by the entry.
const KEPT_ANSWER_MS: u64 = 30_000;

/// The largest number of kept answers; the oldest one is removed for a new one.
const KEPT_ANSWERS_MAX: usize = 256;

/// The size limit of a kept answer. If the delivery of a larger answer is cut, its caller is told that the outcome is
/// unknown.
const KEPT_ANSWER_MAX_BYTES: usize = 32 * 1024;

/// Builds the HTTP request, or returns nothing if the call is not of a service or its method is invalid.
fn build_call(dispatch: &Dispatch) -> Option<reqwest::RequestBuilder> {
    let Call::Service {
        method,
        path,
        content_type,
        idempotency_key,
        body,
    } = &dispatch.request.call
    else {
        return None;
    };
    let clients = &dispatch.router.clients;
    let client = match dispatch.request.repeatable {
        true => &clients.target,
        false => &clients.target_unpooled,
    };
    let method = reqwest::Method::from_bytes(method.as_bytes()).ok()?;
    let url = format!("http://{}/{path}", dispatch.target.address);
    let mut builder = client
        .request(method, url)
        .header(header::REQUEST_ID, dispatch.request.id.to_string())
        .body(body.clone());
    if !content_type.is_empty() {
        builder = builder.header("Content-Type", content_type.as_str());
    }
    if let Some(key) = idempotency_key {
        builder = builder.header(header::IDEMPOTENCY_KEY, key.as_str());
    }
    Some(builder)
}

/// Dispatches a call and sends the frames of its answer.
///
/// # Errors
///
/// [`Failure`] if the answer is not complete, or is a server error of a repeatable call.
pub async fn run(
    dispatch: &Dispatch,
    reply: &mut Reply,
) -> std::result::Result<Observation, Failure> {
    let builder = build_call(dispatch).ok_or_else(Failure::not_run)?;
    let repeatable = dispatch.request.repeatable;
    let begin_ms = dispatch.router.now_ms();
    let response = send_request(dispatch, reply, builder, repeatable).await?;
    let status = response.status();
    if status.is_server_error() && repeatable {
        return Err(Failure::unknown(Reason::Failed, Observation::None));
    }
    let content_type = response
        .headers()
        .get("Content-Type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let first_token_ms = dispatch.router.now_ms().saturating_sub(begin_ms) as f64;
    let body = read_body(dispatch, reply, response).await?;
    // The framing alone does not show that a stream of events is complete: without a length or chunks, the service may
    // have crashed.
    if event::is_event_stream(&content_type) && event::ends_inside_event(&body) {
        return Err(Failure::unknown(Reason::Cut, Observation::ConnectionLost));
    }
    let answer = ServiceAnswer {
        status: status.as_u16(),
        content_type: content_type.into(),
        body,
    };
    if !repeatable && answer.body.len() <= KEPT_ANSWER_MAX_BYTES {
        keep_answer(dispatch, &answer);
    }
    // The call has completed, even if the entry has disconnected.
    let _ = send_answer(reply, answer).await;
    Ok(Observation::Completed {
        first_token_ms,
        computed_tokens: 0,
    })
}

/// Reads the whole body of the answer. The timeout applies to each chunk.
async fn read_body(
    dispatch: &Dispatch,
    reply: &mut Reply,
    mut response: reqwest::Response,
) -> std::result::Result<Vec<u8>, Failure> {
    let timeout_ms = dispatch
        .router
        .parameter(Parameter::BetweenPartsMs, &dispatch.target) as u64;
    let is_cancellable = dispatch.request.repeatable;
    let mut body = Vec::new();
    loop {
        match wait_for(response.chunk(), reply, timeout_ms, is_cancellable).await {
            Wait::EntryLeft => return Err(Failure::unknown(Reason::Cut, Observation::None)),
            Wait::TimedOut => return Err(Failure::unknown(Reason::Silence, Observation::None)),
            Wait::Ready(Err(_)) => {
                return Err(Failure::unknown(Reason::Cut, Observation::ConnectionLost))
            }
            Wait::Ready(Ok(None)) => return Ok(body),
            Wait::Ready(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
        }
        if body.len() > ANSWER_MAX_BYTES {
            return Err(Failure::unknown(Reason::Failed, Observation::None));
        }
    }
}

/// Keeps an answer for a query by the entry, and removes expired ones.
fn keep_answer(dispatch: &Dispatch, answer: &ServiceAnswer) {
    let now_ms = dispatch.router.now_ms();
    let mut kept = dispatch.router.kept_answers.lock();
    kept.retain(|_, kept| kept.expires_at_ms > now_ms);
    if kept.len() >= KEPT_ANSWERS_MAX {
        kept.shift_remove_index(0);
    }
    let answer = KeptAnswer {
        answer: answer.clone(),
        expires_at_ms: now_ms + KEPT_ANSWER_MS,
    };
    kept.insert(dispatch.request.id, answer);
}

/// Sends a complete answer in parts.
async fn send_answer(
    reply: &mut Reply,
    answer: ServiceAnswer,
) -> std::result::Result<(), super::Disconnected> {
    let total = answer.body.len() as u64;
    let head = Head {
        status: answer.status,
        content_type: answer.content_type,
    };
    reply.send(Body::Head(head)).await?;
    let mut offset = 0;
    for data in answer.body.chunks(PART_BYTES) {
        let part = Part {
            offset,
            length: data.len() as u64,
            data: data.to_vec(),
        };
        offset += part.length;
        reply.send(Body::Part(part)).await?;
    }
    let end = End {
        total,
        prompt_tokens: 0,
        cached_tokens: 0,
        finish_reason: "".into(),
    };
    reply.send(Body::End(end)).await
}
