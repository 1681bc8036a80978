//! Dispatches a chat completion to a model engine.
//!
//! The engine streams server-sent events. Each event holds a chunk with the request id, the offset and the length in
//! tokens; the last chunk carries the usage, and `[DONE]` ends a complete answer. An answer that ends otherwise counts
//! as cut.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use sardinemux_core::config::Parameter;
use sardinemux_core::event::EVENT_MAX_BYTES;
use sardinemux_core::stream::{Continuity, Cursor};
use sardinemux_core::warmup::Observation;
use sardinemux_host::client;
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{Body, End, Head, Part};
use sardinemux_wire::header;
use sardinemux_wire::target::{ChatExtensions, Chunk, Usage};

use super::{send_request, wait_for, Dispatch, Failure, Reply, Wait};
use crate::owner::admission;
use crate::prelude::*;

/// The largest body of a rejection that is forwarded, in bytes.
const REJECTION_MAX_BYTES: usize = 1 << 20;

/// The data of the event that ends a complete answer.
const DONE: &str = "[DONE]";

/// Returns the body for the engine, the chat key and the resume offset. The body is the caller's with the fields that
/// the router adds, and always asks for a stream.
///
/// Returns nothing if the call is not a chat or its body is not a JSON object.
fn build_body(dispatch: &Dispatch) -> Option<(Vec<u8>, u64, u64)> {
    let Call::Chat {
        chat,
        body,
        resume_offset,
    } = &dispatch.request.call
    else {
        return None;
    };
    let extras = ChatExtensions {
        prompt_cache_key: format!("{chat:016x}").into(),
        priority: dispatch.request.class.priority(),
        resume_offset: *resume_offset,
    };
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).ok()?;
    if let Ok(serde_json::Value::Object(extras)) = serde_json::to_value(&extras) {
        fields.extend(extras);
    }
    fields.insert("stream".to_owned(), true.into());
    let body = serde_json::to_vec(&fields).ok()?;
    Some((body, *chat, *resume_offset))
}

/// Dispatches a chat and sends the frames of its answer.
///
/// # Errors
///
/// [`Failure`] if the answer is not complete, or is a server error.
pub async fn run(
    dispatch: &Dispatch,
    reply: &mut Reply,
) -> std::result::Result<Observation, Failure> {
    let Some((body, chat, resume_offset)) = build_body(dispatch) else {
        return Err(Failure::not_run());
    };
    let begin = Instant::now();
    let url = format!("http://{}/v1/chat/completions", dispatch.target.address);
    let builder = dispatch
        .router
        .clients
        .target
        .post(url)
        .header("Content-Type", "application/json")
        .header(header::REQUEST_ID, dispatch.request.id.to_string())
        .body(body);
    admission::add_chat(&dispatch.router, &dispatch.target.id, chat);
    let response = send_request(dispatch, reply, builder, true).await?;
    let status = response.status();
    if status.is_server_error() {
        return Err(Failure::unknown(
            Reason::Failed,
            Observation::ConnectionLost,
        ));
    }
    if !status.is_success() {
        return forward_rejection(response, reply).await;
    }
    let head = Head {
        status: status.as_u16(),
        content_type: "text/event-stream".into(),
    };
    send_frame(reply, Body::Head(head)).await?;
    forward_stream(dispatch, reply, response, resume_offset, begin).await
}

/// Sends one frame, and fails the dispatch if the entry has disconnected.
async fn send_frame(reply: &mut Reply, body: Body) -> std::result::Result<(), Failure> {
    let sent = reply.send(body).await;
    sent.map_err(|_| Failure::unknown(Reason::Cut, Observation::None))
}

/// Forwards the response of an engine that rejected the caller's request, for example for an unknown parameter.
async fn forward_rejection(
    response: reqwest::Response,
    reply: &mut Reply,
) -> std::result::Result<Observation, Failure> {
    let status = response.status().as_u16();
    let to_failure = |_| Failure::unknown(Reason::Cut, Observation::None);
    let data = client::read_body(response, REJECTION_MAX_BYTES).await;
    let data = data.map_err(to_failure)?;
    let total = data.len() as u64;
    let head = Head {
        status,
        content_type: "application/json".into(),
    };
    let part = Part {
        offset: 0,
        length: total,
        data,
    };
    let end = End {
        total,
        prompt_tokens: 0,
        cached_tokens: 0,
        finish_reason: "".into(),
    };
    for body in [Body::Head(head), Body::Part(part), Body::End(end)] {
        send_frame(reply, body).await?;
    }
    Ok(Observation::None)
}

/// Reads the engine's events and forwards their content until the answer is complete.
async fn forward_stream(
    dispatch: &Dispatch,
    reply: &mut Reply,
    response: reqwest::Response,
    resume_offset: u64,
    begin: Instant,
) -> std::result::Result<Observation, Failure> {
    let router = &dispatch.router;
    let timeout_ms = router.parameter(Parameter::BetweenPartsMs, &dispatch.target) as u64;
    let id = dispatch.request.id.to_string();
    let mut cursor = Cursor::from_offset(dispatch.request.id, resume_offset);
    let unfinished_bytes = AtomicUsize::new(0);
    let limited = response.bytes_stream().map(|chunk| {
        let chunk = chunk.map_err(std::io::Error::other)?;
        let before = unfinished_bytes.fetch_add(chunk.len(), Ordering::Relaxed);
        match before + chunk.len() > EVENT_MAX_BYTES {
            true => Err(std::io::Error::other("an event does not end")),
            false => Ok(chunk),
        }
    });
    let mut events = limited.eventsource();
    let mut ending: Option<(Usage, SmolStr)> = None;
    let mut first_token_ms = None;
    loop {
        let event = match wait_for(events.next(), reply, timeout_ms, true).await {
            Wait::EntryLeft => return Err(Failure::unknown(Reason::Cut, Observation::None)),
            Wait::TimedOut => return Err(Failure::unknown(Reason::Silence, Observation::None)),
            Wait::Ready(Some(Ok(event))) => {
                unfinished_bytes.store(0, Ordering::Relaxed);
                event
            }
            Wait::Ready(_) => {
                return Err(Failure::unknown(Reason::Cut, Observation::ConnectionLost))
            }
        };
        if event.data == DONE {
            break;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Err(Failure::unknown(Reason::Cut, Observation::None));
        };
        if chunk.id != id && router.settings.is_enabled("order") {
            router.metrics.dropped_parts.inc();
            return Err(Failure::unknown(Reason::Crossed, Observation::None));
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            continue;
        };
        if let Some(content) = choice.delta.content.filter(|_| chunk.length > 0) {
            first_token_ms.get_or_insert_with(|| begin.elapsed().as_secs_f64() * 1_000.0);
            let accepted = cursor.accept(dispatch.request.id, chunk.offset, chunk.length);
            match accepted {
                Ok(Continuity::Duplicate) => continue,
                Err(_) if router.settings.is_enabled("order") => {
                    router.metrics.dropped_parts.inc();
                    return Err(Failure::unknown(Reason::Crossed, Observation::None));
                }
                _ => {}
            }
            let part = Part {
                offset: chunk.offset,
                length: chunk.length,
                data: content.into_bytes(),
            };
            send_frame(reply, Body::Part(part)).await?;
        }
        if let (Some(usage), Some(reason)) = (chunk.usage, choice.finish_reason) {
            ending = Some((usage, reason));
        }
    }
    let Some((usage, finish_reason)) = ending else {
        return Err(Failure::unknown(Reason::Cut, Observation::None));
    };
    let total = u64::from(usage.completion_tokens);
    if cursor.check_total(total).is_err() && router.settings.is_enabled("order") {
        return Err(Failure::unknown(Reason::Cut, Observation::None));
    }
    let end = End {
        total,
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.cached_tokens,
        finish_reason,
    };
    send_frame(reply, Body::End(end)).await?;
    Ok(Observation::Completed {
        first_token_ms: first_token_ms.unwrap_or(0.0),
        computed_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
    })
}
