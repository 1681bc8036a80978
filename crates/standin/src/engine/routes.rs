//! The HTTP routes of a stand-in engine: chat completions, its load, cache events and orders, and the faults under
//! `/standin` that tests cause.

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

/// A field of a chat under which the engine restarts as soon as the chat holds a slot.
pub const FATAL_FIELD: &str = "crash_engine";

/// A field of a chat with the id of an engine, which rejects the chat. All other engines restart after the head of their answer.
pub const REJECTING_FIELD: &str = "rejecting_engine";

/// The time in which the head of an answer arrives.
const HEAD_TIME: Duration = Duration::from_millis(50);

/// What a rejecting engine answers.
pub const REJECTION: &str = "rejected by the engine";

/// A field of a chat under which the engine sends one event that never ends.
pub const ENDLESS_FIELD: &str = "endless_event";

/// The number of bytes of an endless event that are sent at once.
const ENDLESS_PIECE_BYTES: usize = 64 << 10;

/// The greatest length of a request body, in bytes.
const BODY_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Returns the routes; the server must manage an `Arc<Engine>`.
pub fn routes() -> Vec<Route> {
    routes![
        complete,
        load,
        events,
        apply_order,
        duty,
        orders,
        stats,
        restart,
        reset_to_cold,
        hang
    ]
}

/// The id that the router assigned to a request; empty if the header is missing.
struct RequestId(SmolStr);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestId {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let id = request.headers().get_one(header::REQUEST_ID);
        Outcome::Success(Self(id.unwrap_or_default().into()))
    }
}

/// Counts a request as in progress until it is dropped, then as completed or cancelled.
struct InProgress {
    engine: Arc<Engine>,
    slot: Option<Slot>,
    is_completed: bool,
}

impl InProgress {
    fn assign_slot(&mut self, slot: Slot) {
        self.slot = Some(slot);
    }

    fn mark_completed(&mut self) {
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
async fn complete(id: RequestId, engine: &State<Arc<Engine>>, data: Data<'_>) -> Reply {
    let engine = engine.inner().clone();
    if engine.is_restarting() {
        let refusal = Reply::buffered(503, "text/plain", b"restarting".to_vec());
        return refusal.with_header(header::NOT_RUN, "1".to_owned());
    }
    let Ok(body) = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await else {
        return Reply::buffered(400, "text/plain", b"the body did not arrive".to_vec());
    };
    let Ok(chat) = ChatRequest::parse(&body) else {
        return Reply::buffered(400, "text/plain", b"the body is not a chat".to_vec());
    };
    let rejecting = chat.rest.get(REJECTING_FIELD);
    if rejecting.is_some_and(|id| *id == *engine.settings.id) {
        return Reply::buffered(400, "text/plain", REJECTION.into());
    }
    let progress = begin_request(&engine);
    let incarnation = engine.stats.lock().incarnation;
    let generation = *engine.generation.borrow();
    let events = generate(engine, id.0.clone(), chat, progress, generation);
    Reply::events(events)
        .with_header(header::INCARNATION, incarnation.to_string())
        .with_header(header::REQUEST_ID, id.0.to_string())
}

/// Counts a request as accepted and in progress. A request that exceeds the limit of a cold engine makes the engine
/// restart, which cuts the streams of earlier requests but not the one of this request.
fn begin_request(engine: &Arc<Engine>) -> InProgress {
    let is_overloaded = {
        let mut stats = engine.stats.lock();
        stats.accepted += 1;
        stats.running += 1;
        let is_overloaded = engine.is_cold() && stats.running > engine.settings.cold_limit;
        stats.cold_exceeded += u64::from(is_overloaded);
        is_overloaded
    };
    let progress = InProgress {
        engine: engine.clone(),
        slot: None,
        is_completed: false,
    };
    if is_overloaded {
        engine.restart();
    }
    progress
}

/// Generates the answer as a stream of events, token by token from the resume offset. If the engine restarts, the
/// stream ends without the last chunk and the end marker.
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
            slot = engine.slots.acquire(priority) => progress.assign_slot(slot),
            _ = restarts.wait_for(|current| *current != generation) => return,
        }
        if chat.rest.contains_key(REJECTING_FIELD) {
            // The comment lets the head of the answer arrive before the connection ends.
            yield b": begun\n\n".to_vec();
            time::sleep(HEAD_TIME).await;
            engine.restart();
            return;
        }
        if chat.rest.contains_key(FATAL_FIELD) {
            engine.restart();
            return;
        }
        if chat.rest.contains_key(ENDLESS_FIELD) {
            yield b"data: ".to_vec();
            loop {
                yield vec![b'a'; ENDLESS_PIECE_BYTES];
            }
        }
        while engine.is_hung.load(Ordering::SeqCst) {
            time::sleep(Duration::from_millis(20)).await;
        }
        let prefixes = text::prefix_hashes(&chat.model, &chat.messages);
        let cached_messages = engine.cache.lock().count_cached(&prefixes);
        let tokens: Vec<u32> = chat.messages.iter().map(text::count_tokens).collect();
        let prompt_tokens: u32 = tokens.iter().sum();
        let cached_tokens: u32 = tokens.iter().take(cached_messages).sum();
        let prefill_us = engine.settings.prefill_us * u64::from(prompt_tokens - cached_tokens);
        time::sleep(Duration::from_micros(prefill_us)).await;
        let key = chat.prompt_cache_key.clone().unwrap_or_default();
        engine.cache.lock().store(&key, &prefixes, u64::from(prompt_tokens));

        let prompt = prefixes.last().copied().unwrap_or(0);
        let total = u64::from(chat.max_tokens.unwrap_or(text::DEFAULT_ANSWER_TOKENS));
        for offset in resume_offset..total {
            let token_us = engine.settings.token_us as f64 * (1.0 + engine.slots.occupancy());
            time::sleep(Duration::from_micros(token_us as u64)).await;
            if *engine.generation.borrow() != generation {
                return;
            }
            let content = text::token(prompt, offset);
            let delta = Delta { content: Some(content) };
            yield encode_event(&build_chunk(&id, &chat.model, offset, 1, delta, None));
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
        engine.completions_since_cold.fetch_add(1, Ordering::SeqCst);
        // All tokens are generated: the request counts as completed even if the caller disconnects before the last
        // chunk.
        progress.mark_completed();
        drop(progress);
        yield encode_event(&build_chunk(&id, &chat.model, total, 0, Delta::default(), Some(usage)));
        yield DONE.to_vec();
    }
}

/// Builds a chunk of an answer; the one with the usage is the last.
fn build_chunk(
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

/// Returns the delayed load report.
#[get("/load")]
fn load(engine: &State<Arc<Engine>>) -> Json {
    let report: Load = *engine.load_report.lock();
    json(&report)
}

/// Returns the published cache events after a sequence number.
#[get("/cache/events?<after>")]
fn events(engine: &State<Arc<Engine>>, after: u64) -> Json {
    let incarnation = engine.stats.lock().incarnation;
    let events = engine.cache.lock().events_after(after);
    json(&CacheEvents {
        incarnation,
        events,
    })
}

/// Carries out an order; the status is 409 if its fencing number is outdated.
#[post("/orders", data = "<data>")]
async fn apply_order(engine: &State<Arc<Engine>>, data: Data<'_>) -> Status {
    let Ok(body) = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await else {
        return Status::BadRequest;
    };
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return Status::BadRequest;
    };
    match engine.apply_order(order) {
        true => Status::Ok,
        false => Status::Conflict,
    }
}

#[get("/duty")]
fn duty(engine: &State<Arc<Engine>>) -> Json {
    json(&*engine.duty.lock())
}

/// Returns all accepted orders.
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

/// Makes the engine cold without a restart.
#[post("/standin/cold")]
fn reset_to_cold(engine: &State<Arc<Engine>>) -> Status {
    engine.reset_to_cold();
    Status::Ok
}

/// Begins or stops holding requests without answering them.
#[post("/standin/hang?<on>")]
fn hang(engine: &State<Arc<Engine>>, on: bool) -> Status {
    engine.is_hung.store(on, Ordering::SeqCst);
    Status::Ok
}
