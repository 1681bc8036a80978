//! A call of a plain service.
//!
//! The whole answer is read before any of it is handed on, so that a short one never looks whole. A
//! call that must not repeat goes out on a connection of its own, and runs to its end even if the
//! entry's connection is cut: the answer is kept for the entry's question.

use sardinemux_core::config::Parameter;
use sardinemux_core::warmup::Observation;
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{Body, End, Head, Part};
use sardinemux_wire::header;
use sardinemux_wire::peer::ServiceAnswer;

use super::{send, wait_for, Broken, Errand, Reply, Waited};
use crate::prelude::*;
use crate::tables::KeptAnswer;

/// The largest answer of a service, in bytes.
const ANSWER_MAX: usize = 8 * 1024 * 1024;

/// The size of the parts in which it is handed on, in bytes.
const PART_BYTES: usize = 64 * 1024;

/// How long an answer is kept for the entry's question, in milliseconds.
const KEEP_MS: u64 = 30_000;

/// The most answers that are kept.
const KEPT_MAX: usize = 256;

/// The largest answer that is kept, in bytes; the outcome of a larger one whose delivery is cut is
/// unknown to its caller.
const KEPT_BYTES: usize = 32 * 1024;

fn builder(errand: &Errand) -> Option<reqwest::RequestBuilder> {
    let Call::Service {
        method,
        path,
        content_type,
        idempotency_key,
        body,
    } = &errand.request.call
    else {
        return None;
    };
    let clients = &errand.router.clients;
    let client = match errand.request.repeatable {
        true => &clients.target,
        false => &clients.target_unpooled,
    };
    let method = reqwest::Method::from_bytes(method.as_bytes()).ok()?;
    let url = format!("http://{}/{path}", errand.target.address);
    let mut builder = client
        .request(method, url)
        .header(header::REQUEST_ID, errand.request.id.to_string())
        .body(body.clone());
    if !content_type.is_empty() {
        builder = builder.header("Content-Type", content_type.as_str());
    }
    if let Some(key) = idempotency_key {
        builder = builder.header(header::IDEMPOTENCY_KEY, key.as_str());
    }
    Some(builder)
}

/// Dispatches a call and sends its frames.
///
/// # Errors
///
/// [`Broken`] if the answer is not whole.
pub async fn run(errand: &Errand, reply: &mut Reply) -> std::result::Result<Observation, Broken> {
    let builder = builder(errand).ok_or_else(Broken::not_run)?;
    let repeatable = errand.request.repeatable;
    let begin_ms = errand.router.now_ms();
    let response = send(errand, reply, builder, repeatable).await?;
    let status = response.status();
    if status.is_server_error() && repeatable {
        return Err(Broken::unknown(Reason::Failed, Observation::None));
    }
    let content_type = response
        .headers()
        .get("Content-Type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let first_token_ms = errand.router.now_ms().saturating_sub(begin_ms) as f64;
    let answer = ServiceAnswer {
        status: status.as_u16(),
        content_type: content_type.into(),
        body: read(errand, reply, response).await?,
    };
    if !repeatable && answer.body.len() <= KEPT_BYTES {
        keep(errand, &answer);
    }
    // The call has completed, whether or not the entry is still there.
    let _ = hand_out(reply, answer).await;
    Ok(Observation::Completed {
        first_token_ms,
        computed_tokens: 0,
    })
}

async fn read(
    errand: &Errand,
    reply: &mut Reply,
    mut response: reqwest::Response,
) -> std::result::Result<Vec<u8>, Broken> {
    let longest_ms = errand
        .router
        .parameter(Parameter::BetweenPartsMs, &errand.target) as u64;
    let cancels = errand.request.repeatable;
    let mut body = Vec::new();
    loop {
        match wait_for(response.chunk(), reply, longest_ms, cancels).await {
            Waited::Left => return Err(Broken::unknown(Reason::Cut, Observation::None)),
            Waited::Silent => return Err(Broken::unknown(Reason::Silence, Observation::None)),
            Waited::Ready(Err(_)) => {
                return Err(Broken::unknown(Reason::Cut, Observation::ConnectionLost))
            }
            Waited::Ready(Ok(None)) => return Ok(body),
            Waited::Ready(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
        }
        if body.len() > ANSWER_MAX {
            return Err(Broken::unknown(Reason::Failed, Observation::None));
        }
    }
}

fn keep(errand: &Errand, answer: &ServiceAnswer) {
    let now_ms = errand.router.now_ms();
    let mut kept = errand.router.kept_answers.lock();
    kept.retain(|_, kept| kept.expires_at_ms > now_ms);
    if kept.len() >= KEPT_MAX {
        kept.shift_remove_index(0);
    }
    let answer = KeptAnswer {
        answer: answer.clone(),
        expires_at_ms: now_ms + KEEP_MS,
    };
    kept.insert(errand.request.id, answer);
}

async fn hand_out(
    reply: &mut Reply,
    answer: ServiceAnswer,
) -> std::result::Result<(), super::Gone> {
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
