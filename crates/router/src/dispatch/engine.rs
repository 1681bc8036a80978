//! A chat completion at a model engine.
//!
//! The engine streams server-sent events, each a chunk with the request id, the offset and the
//! length in tokens; the last chunk carries the usage, and `[DONE]` ends a whole answer. Anything
//! that ends otherwise is a cut.

use std::time::Instant;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use sardinemux_core::config::Parameter;
use sardinemux_core::stream::{Continuity, Cursor};
use sardinemux_core::warmup::Observation;
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{Body, End, Head, Part};
use sardinemux_wire::header;
use sardinemux_wire::target::{ChatExtensions, Chunk, Usage};

use super::{send, wait_for, Broken, Errand, Reply, Waited};
use crate::owner::desk;
use crate::prelude::*;

/// The event that ends a whole answer.
const DONE: &str = "[DONE]";

/// The shape of the body that is sent: the caller's, streamed, with the router's extras.
fn body(errand: &Errand) -> Option<(Vec<u8>, u64, u64)> {
    let Call::Chat {
        chat,
        body,
        resume_offset,
    } = &errand.request.call
    else {
        return None;
    };
    let extras = ChatExtensions {
        prompt_cache_key: format!("{chat:016x}").into(),
        priority: errand.request.class.priority(),
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

/// Dispatches a chat and sends its frames.
///
/// # Errors
///
/// [`Broken`] if the answer is not whole.
pub async fn run(errand: &Errand, reply: &mut Reply) -> std::result::Result<Observation, Broken> {
    let Some((body, chat, resume_offset)) = body(errand) else {
        return Err(Broken::not_run());
    };
    let begin = Instant::now();
    let url = format!("http://{}/v1/chat/completions", errand.target.address);
    let builder = errand
        .router
        .clients
        .target
        .post(url)
        .header("Content-Type", "application/json")
        .header(header::REQUEST_ID, errand.request.id.to_string())
        .body(body);
    desk::note_chat(&errand.router, &errand.target.id, chat);
    let response = send(errand, reply, builder, true).await?;
    let status = response.status();
    if status.is_server_error() {
        return Err(Broken::unknown(Reason::Failed, Observation::ConnectionLost));
    }
    if !status.is_success() {
        return pass_on(response, reply).await;
    }
    let head = Head {
        status: status.as_u16(),
        content_type: "text/event-stream".into(),
    };
    send_or_leave(reply, Body::Head(head)).await?;
    stream(errand, reply, response, resume_offset, begin).await
}

async fn send_or_leave(reply: &mut Reply, body: Body) -> std::result::Result<(), Broken> {
    let sent = reply.send(body).await;
    sent.map_err(|_| Broken::unknown(Reason::Cut, Observation::None))
}

/// Hands on an engine's refusal of a caller's request, such as an unknown parameter.
async fn pass_on(
    response: reqwest::Response,
    reply: &mut Reply,
) -> std::result::Result<Observation, Broken> {
    let status = response.status().as_u16();
    let broken = |_| Broken::unknown(Reason::Cut, Observation::None);
    let data = response.bytes().await.map_err(broken)?.to_vec();
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
        send_or_leave(reply, body).await?;
    }
    Ok(Observation::None)
}

/// Reads the engine's events until the answer is whole.
async fn stream(
    errand: &Errand,
    reply: &mut Reply,
    response: reqwest::Response,
    resume_offset: u64,
    begin: Instant,
) -> std::result::Result<Observation, Broken> {
    let router = &errand.router;
    let longest_ms = router.parameter(Parameter::BetweenPartsMs, &errand.target) as u64;
    let id = errand.request.id.to_string();
    let mut order = Cursor::from_offset(errand.request.id, resume_offset);
    let mut events = response.bytes_stream().eventsource();
    let mut ending: Option<(Usage, SmolStr)> = None;
    let mut first_token_ms = None;
    loop {
        let event = match wait_for(events.next(), reply, longest_ms, true).await {
            Waited::Left => return Err(Broken::unknown(Reason::Cut, Observation::None)),
            Waited::Silent => return Err(Broken::unknown(Reason::Silence, Observation::None)),
            Waited::Ready(Some(Ok(event))) => event,
            Waited::Ready(_) => {
                return Err(Broken::unknown(Reason::Cut, Observation::ConnectionLost))
            }
        };
        if event.data == DONE {
            break;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Err(Broken::unknown(Reason::Cut, Observation::None));
        };
        if chunk.id != id && router.settings.is_enabled("order") {
            router.metrics.dropped_parts.inc();
            return Err(Broken::unknown(Reason::Crossed, Observation::None));
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            continue;
        };
        if let Some(content) = choice.delta.content.filter(|_| chunk.length > 0) {
            first_token_ms.get_or_insert_with(|| begin.elapsed().as_secs_f64() * 1_000.0);
            let accepted = order.accept(errand.request.id, chunk.offset, chunk.length);
            match accepted {
                Ok(Continuity::Duplicate) => continue,
                Err(_) if router.settings.is_enabled("order") => {
                    router.metrics.dropped_parts.inc();
                    return Err(Broken::unknown(Reason::Crossed, Observation::None));
                }
                _ => {}
            }
            let part = Part {
                offset: chunk.offset,
                length: chunk.length,
                data: content.into_bytes(),
            };
            send_or_leave(reply, Body::Part(part)).await?;
        }
        if let (Some(usage), Some(reason)) = (chunk.usage, choice.finish_reason) {
            ending = Some((usage, reason));
        }
    }
    let Some((usage, finish_reason)) = ending else {
        return Err(Broken::unknown(Reason::Cut, Observation::None));
    };
    let total = u64::from(usage.completion_tokens);
    if order.check_total(total).is_err() && router.settings.is_enabled("order") {
        return Err(Broken::unknown(Reason::Cut, Observation::None));
    }
    let end = End {
        total,
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.cached_tokens,
        finish_reason,
    };
    send_or_leave(reply, Body::End(end)).await?;
    Ok(Observation::Completed {
        first_token_ms: first_token_ms.unwrap_or(0.0),
        computed_tokens: usage.prompt_tokens.saturating_sub(usage.cached_tokens),
    })
}
