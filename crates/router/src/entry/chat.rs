//! `POST /v1/chat/completions`.

use std::time::Instant;

use async_stream::stream;
use rocket::http::Status;
use rocket::{Data, Request};
use sardinemux_core::class::Class;
use sardinemux_core::placement;
use sardinemux_core::target::Kind;
use sardinemux_host::reply::{event, Reply, DONE};
use sardinemux_wire::caller::{AnswerChoice, AnswerMessage, ChatAnswer, ChatRequest};
use sardinemux_wire::forward::Call;
use sardinemux_wire::frame::{End, Part};
use sardinemux_wire::header;
use sardinemux_wire::target::{Choice, Chunk, Delta, Usage};
use snafu::ResultExt;

use super::bound::{self, Guard};
use super::drive::{Drive, Event, Job};
use super::errors::{BodySnafu, Failure};
use super::identity;

use crate::prelude::*;

/// What is noted of a chat while it is answered.
struct Progress {
    router: Arc<Router>,
    class: Class,
    member: SmolStr,
    begin: Instant,
    last_part: Option<Instant>,
    is_ended: bool,
    _guard: Guard,
}

impl Progress {
    fn note_part(&mut self) {
        let metrics = &self.router.metrics;
        let member = metrics.member_label(&self.member);
        let labels = [self.class.name(), member.as_str()];
        let now = Instant::now();
        match self.last_part.replace(now) {
            None => metrics
                .first_token
                .with_label_values(&labels)
                .observe(self.begin.elapsed().as_secs_f64()),
            Some(last) => metrics
                .between_tokens
                .with_label_values(&labels)
                .observe(now.duration_since(last).as_secs_f64()),
        }
    }

    fn note_end(&mut self, end: &End) {
        let metrics = &self.router.metrics;
        let computed = end.prompt_tokens.saturating_sub(end.cached_tokens);
        for (label, tokens) in [("yes", end.cached_tokens), ("no", computed)] {
            metrics
                .prompt_tokens
                .with_label_values(&[label])
                .inc_by(u64::from(tokens));
        }
        self.note_outcome("completed");
    }

    fn note_failure(&mut self, failure: &Failure) {
        let outcome = match failure.outcome() {
            Outcome::NotRun => "not_run",
            _ => "unknown",
        };
        self.note_outcome(outcome);
    }

    fn note_outcome(&mut self, outcome: &str) {
        self.is_ended = true;
        let metrics = &self.router.metrics;
        metrics.record_request(self.class, &self.member, outcome);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if !self.is_ended {
            self.note_outcome("caller_left");
        }
    }
}

/// A chat that is ready to be answered.
struct Chat {
    drive: Drive,
    progress: Progress,
    id: String,
    model: SmolStr,
    is_streamed: bool,
}

/// Serves one chat.
///
/// # Errors
///
/// What the caller is told instead of an answer.
pub async fn serve(
    router: &Arc<Router>,
    request: &Request<'_>,
    data: Data<'_>,
) -> std::result::Result<Reply, Failure> {
    let mut chat = accept(router, request, data).await?;
    let first = chat.drive.next().await;
    let head = match first {
        Ok(Event::Head(head)) => head,
        Ok(_) => {
            return Err(Failure::GivenUp {
                outcome: Outcome::Unknown,
                reason: Reason::Crossed,
                retry_after_ms: 1_000,
            })
        }
        Err(failure) => {
            chat.progress.note_failure(&failure);
            return Err(failure);
        }
    };
    let id = chat.id.clone();
    let placement = chat.drive.served_by().cloned().unwrap_or_default();
    let is_error = head.status != Status::Ok.code;
    let reply = match chat.is_streamed && !is_error {
        true => streamed(chat),
        false => whole(chat, head.status, &head.content_type).await?,
    };
    Ok(reply
        .with(header::REQUEST_ID, id)
        .with(header::PLACEMENT_HINT, placement.to_string()))
}

/// Checks a request and plans it.
async fn accept(
    router: &Arc<Router>,
    request: &Request<'_>,
    data: Data<'_>,
) -> std::result::Result<Chat, Failure> {
    let begin = Instant::now();
    let organisation = identity::organisation(router, request)?;
    let class = identity::class(request)?.unwrap_or(Class::Chat);
    if let Some(key) = request.headers().get_one(header::IDEMPOTENCY_KEY) {
        return Err(Failure::Header {
            name: header::IDEMPOTENCY_KEY,
            value: key.to_owned(),
            allowed: "chats may repeat and take no such key",
        });
    }
    let guard = bound::enter(router, &organisation.name)?;
    let body = identity::body(router, data).await?;
    let chat = ChatRequest::parse(&body).context(BodySnafu)?;
    if chat.messages.is_empty() {
        return Err(Failure::NoMessages);
    }
    let is_known = router
        .targets()
        .iter_pool(&chat.model)
        .any(|(_, target)| target.kind == Kind::Engine);
    if !is_known {
        return Err(Failure::NoPool {
            kind: "model",
            name: chat.model,
        });
    }
    let stated = chat
        .prompt_cache_key
        .as_deref()
        .or_else(|| request.headers().get_one(header::CHAT_ID));
    let key = placement::chat_key(&organisation.name, stated, &chat.opening());
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
        drive: Drive::new(router.clone(), job),
        progress: Progress {
            router: router.clone(),
            class,
            member: organisation.member,
            begin,
            last_part: None,
            is_ended: false,
            _guard: guard,
        },
        id: sardinemux_core::fence::RequestId::new_v4().to_string(),
        model: chat.model,
        is_streamed: chat.stream,
    })
}

/// Collects the whole answer.
async fn whole(
    mut chat: Chat,
    status: u16,
    content_type: &str,
) -> std::result::Result<Reply, Failure> {
    let mut content = Vec::new();
    let end = loop {
        match chat.drive.next().await {
            Ok(Event::Head(_)) => {}
            Ok(Event::Part(part)) => {
                chat.progress.note_part();
                content.extend_from_slice(&part.data);
            }
            Ok(Event::End(end)) => break end,
            Err(failure) => {
                chat.progress.note_failure(&failure);
                return Err(failure);
            }
        }
    };
    chat.progress.note_end(&end);
    if status != Status::Ok.code {
        return Ok(Reply::whole(status, content_type, content));
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
        usage: usage(&end),
    };
    Ok(Reply::json(status, &answer))
}

fn usage(end: &End) -> Usage {
    Usage {
        prompt_tokens: end.prompt_tokens,
        cached_tokens: end.cached_tokens,
        completion_tokens: end.total as u32,
    }
}

/// Sends the answer as it comes. One that cannot be completed ends in an error event and without
/// the mark of a whole answer.
fn streamed(mut chat: Chat) -> Reply {
    let events = stream! {
        loop {
            match chat.drive.next().await {
                Ok(Event::Head(_)) => {}
                Ok(Event::Part(part)) => {
                    chat.progress.note_part();
                    yield event(&part_chunk(&chat, part));
                }
                Ok(Event::End(end)) => {
                    chat.progress.note_end(&end);
                    yield event(&end_chunk(&chat, &end));
                    yield DONE.to_vec();
                    break;
                }
                Err(failure) => {
                    chat.progress.note_failure(&failure);
                    yield event(&failure.body());
                    break;
                }
            }
        }
    };
    Reply::events(events)
}

fn chunk(chat: &Chat, offset: u64, length: u64, choice: Choice, usage: Option<Usage>) -> Chunk {
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

fn part_chunk(chat: &Chat, part: Part) -> Chunk {
    let content = String::from_utf8_lossy(&part.data).into_owned();
    let choice = Choice {
        index: 0,
        delta: Delta {
            content: Some(content),
        },
        finish_reason: None,
    };
    chunk(chat, part.offset, part.length, choice, None)
}

fn end_chunk(chat: &Chat, end: &End) -> Chunk {
    let choice = Choice {
        index: 0,
        delta: Delta::default(),
        finish_reason: Some(end.finish_reason.clone()),
    };
    chunk(chat, end.total, 0, choice, Some(usage(end)))
}
