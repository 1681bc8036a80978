//! The HTTP routes of an engine.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome};
use rocket::{get, post, routes, Data, Request, Route, State};
use sardinemux_host::reply::{encode_event, Reply, DONE};
use sardinemux_wire::caller::ChatRequest;
use sardinemux_wire::header;
use sardinemux_wire::target::{CacheEvents, Choice, Chunk, Delta, Load, Order, Usage};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::time;

use super::slots::Slot;
use super::{Engine, Stats};
use crate::text;

/// The largest body, in bytes.
const BODY_MAX: u64 = 16 * 1024 * 1024;

/// Returns the routes; the server must manage an `Arc<Engine>`.
pub fn routes() -> Vec<Route> {
    routes![complete, load, events, take_order, duty, orders, stats, restart, turn_cold, hang]
}

/// The id that the router gave to a request.
struct Id(SmolStr);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Id {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let id = request.headers().get_one(header::REQUEST_ID);
        Outcome::Success(Self(id.unwrap_or_default().into()))
    }
}

/// Counts a request in progress until it is dropped.
struct InProgress {
    engine: Arc<Engine>,
    slot: Option<Slot>,
    is_completed: bool,
}

impl InProgress {
    fn hold(&mut self, slot: Slot) {
        self.slot = Some(slot);
    }

    fn complete(&mut self) {
        self.is_completed = true;
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut stats = self.engine.stats.lock();
        stats.running -= 1;
        match self.is_completed {
            true => stats.completed += 1,
            false => stats.cancelled += 1,
        }
    }
}

#[post("/v1/chat/completions", data = "<data>")]
async fn complete(id: Id, engine: &State<Arc<Engine>>, data: Data<'_>) -> Reply {
    let engine = engine.inner().clone();
    if engine.refuses() {
        let refusal = Reply::buffered(503, "text/plain", b"restarting".to_vec());
        return refusal.with_header(header::NOT_RUN, "1".to_owned());
    }
    let Ok(body) = data.open(BODY_MAX.bytes()).into_bytes().await else {
        return Reply::buffered(400, "text/plain", b"the body did not arrive".to_vec());
    };
    let Ok(chat) = ChatRequest::parse(&body) else {
        return Reply::buffered(400, "text/plain", b"the body is not a chat".to_vec());
    };
    let progress = take_in(&engine);
    let incarnation = engine.stats.lock().incarnation;
    let generation = *engine.generation.borrow();
    let events = generate(engine, id.0.clone(), chat, progress, generation);
    Reply::events(events)
        .with_header(header::INCARNATION, incarnation.to_string())
        .with_header(header::REQUEST_ID, id.0.to_string())
}

/// Counts the request; a cold engine that has as many as it bears falls over.
fn take_in(engine: &Arc<Engine>) -> InProgress {
    let is_over = {
        let mut stats = engine.stats.lock();
        stats.accepted += 1;
        stats.running += 1;
        let is_over = engine.is_cold() && stats.running > engine.settings.cold_slots;
        stats.cold_exceeded += u64::from(is_over);
        is_over
    };
    let progress = InProgress {
        engine: engine.clone(),
        slot: None,
        is_completed: false,
    };
    if is_over {
        engine.restart();
    }
    progress
}

/// Generates the answer token by token; ends without a mark if the engine restarts.
fn generate(
    engine: Arc<Engine>,
    id: SmolStr,
    chat: ChatRequest,
    mut progress: InProgress,
    generation: u64,
) -> impl futures_util::Stream<Item = Vec<u8>> + Send {
    stream! {
        let number = |name: &str| chat.rest.get(name).and_then(serde_json::Value::as_u64);
        let priority = number("priority").unwrap_or(0) as u8;
        let resume_offset = number("resume_offset").unwrap_or(0);
        let mut restarts = engine.generation.subscribe();
        tokio::select! {
            slot = engine.slots.take(priority) => progress.hold(slot),
            _ = restarts.wait_for(|now| *now != generation) => return,
        }
        while engine.is_hung.load(Ordering::SeqCst) {
            time::sleep(Duration::from_millis(20)).await;
        }
        let prefixes = text::prefixes(&chat.model, &chat.messages);
        let found = engine.cache.lock().find(&prefixes);
        let tokens: Vec<u32> = chat.messages.iter().map(text::tokens).collect();
        let prompt_tokens: u32 = tokens.iter().sum();
        let cached_tokens: u32 = tokens.iter().take(found).sum();
        let prefill_us = engine.settings.prefill_us * u64::from(prompt_tokens - cached_tokens);
        time::sleep(Duration::from_micros(prefill_us)).await;
        let key = chat.prompt_cache_key.clone().unwrap_or_default();
        engine.cache.lock().store(&key, &prefixes, u64::from(prompt_tokens));

        let prompt = prefixes.last().copied().unwrap_or(0);
        let total = u64::from(chat.max_tokens.unwrap_or(text::ANSWER_TOKENS));
        for offset in resume_offset..total {
            let token_us = engine.settings.token_us as f64 * (1.0 + engine.slots.fill());
            time::sleep(Duration::from_micros(token_us as u64)).await;
            if *engine.generation.borrow() != generation {
                return;
            }
            let content = text::token(prompt, offset);
            let delta = Delta { content: Some(content) };
            yield encode_event(&chunk(&id, &chat.model, offset, 1, delta, None));
        }
        let usage = Usage {
            prompt_tokens,
            cached_tokens,
            completion_tokens: total as u32,
        };
        {
            let mut stats = engine.stats.lock();
            stats.prompt_tokens += u64::from(prompt_tokens);
            stats.cached_tokens += u64::from(cached_tokens);
        }
        engine.warmth.fetch_add(1, Ordering::SeqCst);
        // The work has ended; what is left is only to be sent.
        progress.complete();
        drop(progress);
        yield encode_event(&chunk(&id, &chat.model, total, 0, Delta::default(), Some(usage)));
        yield DONE.to_vec();
    }
}

fn chunk(
    id: &SmolStr,
    model: &SmolStr,
    offset: u64,
    length: u64,
    delta: Delta,
    usage: Option<Usage>,
) -> Chunk {
    Chunk {
        id: id.clone(),
        object: "chat.completion.chunk".into(),
        model: model.clone(),
        offset,
        length,
        choices: vec![Choice {
            index: 0,
            delta,
            finish_reason: usage.map(|_| "stop".into()),
        }],
        usage,
    }
}

type Json = (ContentType, String);

fn json<T: Serialize>(value: &T) -> Json {
    let text = serde_json::to_string(value).unwrap_or_default();
    (ContentType::JSON, text)
}

#[get("/load")]
fn load(engine: &State<Arc<Engine>>) -> Json {
    let report: Load = *engine.report.lock();
    json(&report)
}

#[get("/cache/events?<after>")]
fn events(engine: &State<Arc<Engine>>, after: u64) -> Json {
    let incarnation = engine.stats.lock().incarnation;
    let events = engine.cache.lock().events(after);
    json(&CacheEvents {
        incarnation,
        events,
    })
}

#[post("/orders", data = "<data>")]
async fn take_order(engine: &State<Arc<Engine>>, data: Data<'_>) -> Status {
    let Ok(body) = data.open(BODY_MAX.bytes()).into_bytes().await else {
        return Status::BadRequest;
    };
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return Status::BadRequest;
    };
    match engine.take_order(order) {
        true => Status::Ok,
        false => Status::Conflict,
    }
}

#[get("/duty")]
fn duty(engine: &State<Arc<Engine>>) -> Json {
    json(&*engine.duty.lock())
}

#[get("/standin/orders")]
fn orders(engine: &State<Arc<Engine>>) -> Json {
    json(&*engine.orders.lock())
}

#[get("/standin/stats")]
fn stats(engine: &State<Arc<Engine>>) -> Json {
    let stats: Stats = engine.stats();
    json(&stats)
}

#[post("/standin/restart")]
fn restart(engine: &State<Arc<Engine>>) -> Status {
    engine.restart();
    Status::Ok
}

#[post("/standin/cold")]
fn turn_cold(engine: &State<Arc<Engine>>) -> Status {
    engine.turn_cold();
    Status::Ok
}

#[post("/standin/hang?<on>")]
fn hang(engine: &State<Arc<Engine>>, on: bool) -> Status {
    engine.is_hung.store(on, Ordering::SeqCst);
    Status::Ok
}
