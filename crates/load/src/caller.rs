//! The client that sends requests to the fleet and checks their answers.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use reqwest::{Client, RequestBuilder, Response};
use sardinemux_core::outcome::Outcome;
use sardinemux_standin::service::Operation;
use sardinemux_standin::text;
use sardinemux_wire::caller::{ChatRequest, ErrorBody};
use sardinemux_wire::header;
use sardinemux_wire::target::Chunk;
use snafu::ResultExt;
use tokio::time;

use crate::errors::{ClientSnafu, Result};
use crate::profile::Kind;
use crate::recorder::{self, Recorder, Status};

/// The time within which a request must be answered completely. After that its outcome is unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends requests to the fleet, each through a random entry, without retries.
pub struct Caller {
    client: Client,
    entries: Vec<String>,
}

/// The organisation that sends a request.
#[derive(Clone, Debug)]
pub struct Sender {
    /// The API key that is sent as the bearer token.
    pub key: String,
    /// Whether this is the largest organisation, the one that surges.
    pub is_largest: bool,
    /// Whether the surge is in progress when the request is sent.
    pub is_in_surge: bool,
}

/// A call of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The identifier of the operation.
    pub operation: &'a str,
    /// The idempotency key, if the call carries one.
    pub key: Option<&'a str>,
}

/// The result of a chat turn or a service call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status of the request.
    pub status: Status,
    /// The placement hint in the response, which the next turn of a chat may return.
    pub placement_hint: Option<String>,
    /// The delay before a retry that a refusal stated.
    pub retry_after: Option<Duration>,
}

impl Reply {
    fn with_status(status: Status) -> Self {
        Self {
            status,
            placement_hint: None,
            retry_after: None,
        }
    }
}

impl Caller {
    /// Creates a caller that uses the given entries.
    ///
    /// # Errors
    ///
    /// `Error::Client` if the HTTP client cannot be built.
    pub fn new(entries: Vec<String>) -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .pool_idle_timeout(Duration::from_secs(2))
            .connect_timeout(Duration::from_secs(2))
            .build()
            .context(ClientSnafu)?;
        Ok(Self { client, entries })
    }

    /// Returns the address of a random entry, as a load balancer would.
    fn pick_entry(&self, rng: &mut StdRng) -> &str {
        self.entries.choose(rng).map_or("", String::as_str)
    }

    /// Sends a chat turn and checks its answer.
    pub async fn send_chat(
        &self,
        recorder: &Recorder,
        kind: &Kind,
        sender: &Sender,
        chat: &ChatRequest,
        hint: Option<&str>,
        rng: &mut StdRng,
    ) -> Reply {
        let url = format!("http://{}/v1/chat/completions", self.pick_entry(rng));
        let mut request = self
            .client
            .post(url)
            .bearer_auth(&sender.key)
            .header(header::CLASS, kind.class.name())
            .json(chat);
        if let Some(hint) = hint {
            request = request.header(header::PLACEMENT_HINT, hint);
        }
        recorder.record_sent();
        let start = Instant::now();
        let read = execute_chat(recorder, sender, chat, request, start);
        let reply = time::timeout(REQUEST_TIMEOUT, read).await;
        let reply = reply.unwrap_or_else(|_| Reply::with_status(Status::Unknown));
        recorder.record_status(kind, reply.status);
        reply
    }

    /// Sends a service call and checks its answer.
    pub async fn send_call(
        &self,
        recorder: &Recorder,
        kind: &Kind,
        sender: &Sender,
        call: ServiceCall<'_>,
        rng: &mut StdRng,
    ) -> Reply {
        let ServiceCall {
            service,
            operation,
            key,
        } = call;
        let is_read = kind.call == crate::profile::Call::Read;
        let entry = self.pick_entry(rng);
        let mut request = match is_read {
            true => self.client.get(format!(
                "http://{entry}/services/{service}/items?operation={operation}"
            )),
            false => self
                .client
                .post(format!("http://{entry}/services/{service}/items"))
                .json(&Operation {
                    operation: operation.to_owned(),
                }),
        };
        request = request
            .bearer_auth(&sender.key)
            .header(header::CLASS, kind.class.name());
        if let Some(key) = key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        recorder.record_sent();
        let reply =
            time::timeout(REQUEST_TIMEOUT, execute_call(recorder, request, operation)).await;
        let reply = reply.unwrap_or_else(|_| Reply::with_status(Status::Unknown));
        recorder.record_status(kind, reply.status);
        reply
    }
}

/// Reads an error response, counts its reason and returns the outcome and the retry delay that it states.
async fn read_refusal(recorder: &Recorder, response: Response) -> Reply {
    let Ok(body) = response.json::<ErrorBody>().await else {
        return Reply::with_status(Status::CutOrWrong);
    };
    match body.error.reason {
        Some(reason) => recorder.record_refusal(reason.name()),
        None => recorder.record_refusal(&body.error.message),
    }
    let status = match body.error.outcome {
        Outcome::NotRun => Status::NotRun,
        _ => Status::Unknown,
    };
    let retry_after = body.error.retry_after_ms.map(Duration::from_millis);
    Reply {
        retry_after,
        ..Reply::with_status(status)
    }
}

async fn execute_call(recorder: &Recorder, request: RequestBuilder, operation: &str) -> Reply {
    let Ok(response) = request.send().await else {
        return Reply::with_status(Status::TransportError);
    };
    if !response.status().is_success() {
        return read_refusal(recorder, response).await;
    }
    let Ok(body) = response.text().await else {
        return Reply::with_status(Status::CutOrWrong);
    };
    let expected = text::service_answer("/items", operation);
    Reply::with_status(match body == expected {
        true => Status::Completed,
        false => Status::CutOrWrong,
    })
}

async fn execute_chat(
    recorder: &Recorder,
    sender: &Sender,
    chat: &ChatRequest,
    request: RequestBuilder,
    start: Instant,
) -> Reply {
    let Ok(response) = request.send().await else {
        return Reply::with_status(Status::TransportError);
    };
    if !response.status().is_success() {
        return read_refusal(recorder, response).await;
    }
    let placement_hint = response
        .headers()
        .get(header::PLACEMENT_HINT)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let status = check_events(recorder, sender, chat, response, start).await;
    Reply {
        placement_hint,
        ..Reply::with_status(status)
    }
}

async fn check_events(
    recorder: &Recorder,
    sender: &Sender,
    chat: &ChatRequest,
    response: Response,
    start: Instant,
) -> Status {
    let mut events = response.bytes_stream().eventsource();
    let mut content = String::new();
    let mut last: Option<Instant> = None;
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Status::TransportError;
        };
        if event.data == "[DONE]" {
            let tokens = chat.max_tokens.unwrap_or(text::DEFAULT_ANSWER_TOKENS);
            let expected = text::answer(&chat.model, &chat.messages, tokens);
            return match content == expected {
                true => Status::Completed,
                false => Status::CutOrWrong,
            };
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            // An answer that cannot be completed ends with an error event.
            return match serde_json::from_str::<ErrorBody>(&event.data) {
                Ok(_) => Status::Unknown,
                Err(_) => Status::CutOrWrong,
            };
        };
        if let Some(usage) = chunk.usage {
            let mut counts = recorder.counts.lock();
            counts.prompt_tokens += u64::from(usage.prompt_tokens);
            counts.cached_tokens += u64::from(usage.cached_tokens);
        }
        let delta = chunk.choices.into_iter().next().map(|choice| choice.delta);
        if let Some(text) = delta.and_then(|delta| delta.content) {
            content.push_str(&text);
            let now = Instant::now();
            match last.replace(now) {
                None => record_first_token(recorder, sender, start),
                Some(last) => {
                    let between = now.duration_since(last).as_micros();
                    recorder::record_duration(&recorder.itl_us, between);
                }
            }
        }
    }
    Status::CutOrWrong
}

fn record_first_token(recorder: &Recorder, sender: &Sender, start: Instant) {
    let elapsed = start.elapsed().as_micros();
    recorder::record_duration(&recorder.ttft_us, elapsed);
    if sender.is_largest {
        return;
    }
    match sender.is_in_surge {
        true => recorder::record_duration(&recorder.others_ttft_in_surge_us, elapsed),
        false => recorder::record_duration(&recorder.others_ttft_outside_surge_us, elapsed),
    }
}
