//! Chat completions: `POST /v1/chat/completions`, answered as a whole or as server-sent events.

use std::time::Instant;

use async_stream::stream;
use rocket::http::Status;
use rocket::Request;
use sardinemux_core::class::Class;
use sardinemux_core::placement;
use sardinemux_core::target::Kind;
use sardinemux_host::body::Body;
use sardinemux_host::reply::{encode_event, Reply, DONE};
use sardinemux_wire::caller::{AnswerChoice, AnswerMessage, ChatAnswer, ChatRequest};
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{End, Part};
use sardinemux_wire::header;
use sardinemux_wire::target::{Choice, Chunk, Delta, Usage};
use snafu::ResultExt;

use super::concurrency::{self, Guard};
use super::errors::{Failure, MalformedBodySnafu};
use super::forwarding::{Event, Forwarding, Job};
use super::request;

use crate::prelude::*;

/// Records the metrics of one chat request. If it is dropped before an outcome is recorded, the outcome is
/// `caller_left`.
struct Recorder {
    router: Arc<Router>,
    class: Class,
    member: SmolStr,
    start: Instant,
    last_part: Option<Instant>,
    is_recorded: bool,
    _guard: Guard,
}

impl Recorder {
    fn record_part(&mut self) {
        let metrics = &self.router.metrics;
        let member = metrics.member_label(&self.member);
        let labels = [self.class.name(), member.as_str()];
        let now = Instant::now();
        match self.last_part.replace(now) {
            None => metrics
                .first_token
                .with_label_values(&labels)
                .observe(self.start.elapsed().as_secs_f64()),
            Some(last) => metrics
                .between_tokens
                .with_label_values(&labels)
                .observe(now.duration_since(last).as_secs_f64()),
        }
    }

    fn record_end(&mut self, end: &End) {
        let metrics = &self.router.metrics;
        let computed = end.prompt_tokens.saturating_sub(end.cached_tokens);
        for (label, tokens) in [("yes", end.cached_tokens), ("no", computed)] {
            metrics
                .prompt_tokens
                .with_label_values(&[label])
                .inc_by(u64::from(tokens));
        }
        self.record_outcome("completed");
    }

    fn record_failure(&mut self, failure: &Failure) {
        let outcome = match failure.outcome() {
            Outcome::NotRun => "not_run",
            _ => "unknown",
        };
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: &str) {
        self.is_recorded = true;
        let metrics = &self.router.metrics;
        metrics.record_request(self.class, &self.member, outcome);
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.record_outcome("caller_left");
        }
    }
}

/// A chat request that has been checked and planned.
struct Chat {
    drive: Forwarding,
    recorder: Recorder,
    id: String,
    model: SmolStr,
    is_streamed: bool,
}

/// Serves one chat request.
///
/// # Errors
///
/// A [`Failure`] for the caller if the request is rejected, or if it fails before the first byte is sent.
pub async fn serve(
    router: &Arc<Router>,
    request: &Request<'_>,
    body: &mut Body<'_>,
) -> std::result::Result<Reply, Failure> {
    let mut chat = plan_chat(router, request, body).await?;
    let first = chat.drive.next().await;
    let head = match first {
        Ok(Event::Head(head)) => head,
        Ok(_) => {
            return Err(Failure::NotCompleted {
                outcome: Outcome::Unknown,
                reason: Reason::Crossed,
                retry_after_ms: 1_000,
            })
        }
        Err(failure) => {
            chat.recorder.record_failure(&failure);
            return Err(failure);
        }
    };
    let id = chat.id.clone();
    let placement = chat.drive.last_target().cloned().unwrap_or_default();
    let is_error = head.status != Status::Ok.code;
    let reply = match chat.is_streamed && !is_error {
        true => stream_answer(chat),
        false => collect_answer(chat, head.status, &head.content_type).await?,
    };
    Ok(reply
        .with_header(header::REQUEST_ID, id)
        .with_header(header::PLACEMENT_HINT, placement.to_string()))
}

/// Authenticates, limits and parses a chat request, and plans to which targets it is offered.
///
/// # Errors
///
/// A [`Failure`] if the request is rejected; nothing has been dispatched then.
async fn plan_chat(
    router: &Arc<Router>,
    request: &Request<'_>,
    body: &mut Body<'_>,
) -> std::result::Result<Chat, Failure> {
    let start = Instant::now();
    let organisation = request::authenticate(router, request)?;
    let class = request::parse_class(request)?.unwrap_or(Class::Chat);
    if let Some(key) = request.headers().get_one(header::IDEMPOTENCY_KEY) {
        return Err(Failure::InvalidHeader {
            name: header::IDEMPOTENCY_KEY,
            value: key.to_owned(),
            allowed: "chats may repeat and take no such key",
        });
    }
    let guard = concurrency::admit_request(router, &organisation.name)?;
    let body = request::read_body(body).await?;
    let chat = ChatRequest::parse(&body).context(MalformedBodySnafu)?;
    if chat.messages.is_empty() {
        return Err(Failure::NoMessages);
    }
    let is_known = router
        .targets()
        .iter_pool(&chat.model)
        .any(|(_, target)| target.kind == Kind::Engine);
    if !is_known {
        return Err(Failure::UnknownPool {
            kind: "model",
            name: chat.model,
        });
    }
    let caller_key = chat
        .prompt_cache_key
        .as_deref()
        .or_else(|| request.headers().get_one(header::CHAT_ID));
    let key = placement::chat_key(&organisation.name, caller_key, &chat.opening());
    let hint = request.headers().get_one(header::PLACEMENT_HINT);
    let job = Job {
        class,
        kind: Kind::Engine,
        pool: chat.model.clone(),
        chat: key,
        is_returning: chat.is_returning(),
        hint: hint.map(SmolStr::from),
        tokens: chat.estimated_tokens(),
        repeatable: true,
        call: Call::Chat {
            chat: key,
            body,
            resume_offset: 0,
        },
        organisation: organisation.clone(),
    };
    Ok(Chat {
        drive: Forwarding::new(router.clone(), job),
        recorder: Recorder {
            router: router.clone(),
            class,
            member: organisation.member,
            start,
            last_part: None,
            is_recorded: false,
            _guard: guard,
        },
        id: sardinemux_core::fence::RequestId::new_v4().to_string(),
        model: chat.model,
        is_streamed: chat.stream,
    })
}

/// Collects the whole answer; a target's answer with an error status is returned as it is.
///
/// # Errors
///
/// A [`Failure`] if the request fails before the answer is complete.
async fn collect_answer(
    mut chat: Chat,
    status: u16,
    content_type: &str,
) -> std::result::Result<Reply, Failure> {
    let mut content = Vec::new();
    let end = loop {
        match chat.drive.next().await {
            Ok(Event::Head(_)) => {}
            Ok(Event::Part(part)) => {
                chat.recorder.record_part();
                content.extend_from_slice(&part.data);
            }
            Ok(Event::End(end)) => break end,
            Err(failure) => {
                chat.recorder.record_failure(&failure);
                return Err(failure);
            }
        }
    };
    chat.recorder.record_end(&end);
    if status != Status::Ok.code {
        return Ok(Reply::buffered(status, content_type, content));
    }
    let answer = ChatAnswer {
        id: chat.id.as_str().into(),
        object: "chat.completion".into(),
        model: chat.model.clone(),
        choices: vec![AnswerChoice {
            index: 0,
            message: AnswerMessage {
                role: "assistant".into(),
                content: String::from_utf8_lossy(&content).into_owned(),
            },
            finish_reason: end.finish_reason.clone(),
        }],
        usage: build_usage(&end),
    };
    Ok(Reply::json(status, &answer))
}

fn build_usage(end: &End) -> Usage {
    Usage {
        prompt_tokens: end.prompt_tokens,
        cached_tokens: end.cached_tokens,
        completion_tokens: end.total as u32,
    }
}

/// Streams the answer as server-sent events. An answer that cannot be completed ends with an error event and without
/// the `[DONE]` event, so that the caller can tell it from a complete one.
fn stream_answer(mut chat: Chat) -> Reply {
    let events = stream! {
        loop {
            match chat.drive.next().await {
                Ok(Event::Head(_)) => {}
                Ok(Event::Part(part)) => {
                    chat.recorder.record_part();
                    yield encode_event(&build_part_chunk(&chat, part));
                }
                Ok(Event::End(end)) => {
                    chat.recorder.record_end(&end);
                    yield encode_event(&build_end_chunk(&chat, &end));
                    yield DONE.to_vec();
                    break;
                }
                Err(failure) => {
                    chat.recorder.record_failure(&failure);
                    yield encode_event(&failure.body());
                    break;
                }
            }
        }
    };
    Reply::events(events)
}

fn build_chunk(
    chat: &Chat,
    offset: u64,
    length: u64,
    choice: Choice,
    usage: Option<Usage>,
) -> Chunk {
    Chunk {
        id: chat.id.as_str().into(),
        object: "chat.completion.chunk".into(),
        model: chat.model.clone(),
        offset,
        length,
        choices: vec![choice],
        usage,
    }
}

fn build_part_chunk(chat: &Chat, part: Part) -> Chunk {
    let content = String::from_utf8_lossy(&part.data).into_owned();
    let choice = Choice {
        index: 0,
        delta: Delta {
            content: Some(content),
        },
        finish_reason: None,
    };
    build_chunk(chat, part.offset, part.length, choice, None)
}

fn build_end_chunk(chat: &Chat, end: &End) -> Chunk {
    let choice = Choice {
        index: 0,
        delta: Delta::default(),
        finish_reason: Some(end.finish_reason.clone()),
    };
    build_chunk(chat, end.total, 0, choice, Some(build_usage(end)))
}
