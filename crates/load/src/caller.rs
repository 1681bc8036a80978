//! One request of a caller, and the check of its answer.

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
use crate::tally::{self, End, Tally};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// Callers of the fleet, through all its entries.
pub struct Callers {
    client: Client,
    entries: Vec<String>,
}

/// Who sends a request.
#[derive(Clone, Debug)]
pub struct Sender {
    /// The bearer key.
    pub key: String,
    /// Whether the organisation is the largest one, which may surge.
    pub is_largest: bool,
    /// Whether that one is surging at the moment.
    pub is_surge: bool,
}

/// A call of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// The service.
    pub service: &'a str,
    /// The operation.
    pub operation: &'a str,
    /// The idempotency key.
    pub key: Option<&'a str>,
}

/// What came of a chat turn.
#[derive(Clone, Debug)]
pub struct Turn {
    /// How it ended.
    pub end: End,
    /// The target that answered, to be handed back as a hint.
    pub placement: Option<String>,
    /// When the fleet asked the caller to come back.
    pub retry_after: Option<Duration>,
}

impl Turn {
    fn ended(end: End) -> Self {
        Self {
            end,
            placement: None,
            retry_after: None,
        }
    }
}

impl Callers {
    /// Creates callers of the given entries.
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

    /// Returns the address of a random entry, as a balancer would.
    fn entry(&self, random: &mut StdRng) -> &str {
        self.entries.choose(random).map_or("", String::as_str)
    }

    /// Sends a turn of a chat and checks its answer.
    pub async fn chat(
        &self,
        tally: &Tally,
        kind: &Kind,
        sender: &Sender,
        chat: &ChatRequest,
        hint: Option<&str>,
        random: &mut StdRng,
    ) -> Turn {
        let url = format!("http://{}/v1/chat/completions", self.entry(random));
        let mut request = self
            .client
            .post(url)
            .bearer_auth(&sender.key)
            .header(header::CLASS, kind.class.name())
            .json(chat);
        if let Some(hint) = hint {
            request = request.header(header::PLACEMENT_HINT, hint);
        }
        tally.note_sent();
        let begin = Instant::now();
        let read = read_chat(tally, sender, chat, request, begin);
        let turn = time::timeout(PATIENCE, read).await;
        let turn = turn.unwrap_or_else(|_| Turn::ended(End::Unknown));
        tally.note_end(kind, turn.end);
        turn
    }

    /// Sends a call of a service and checks its answer.
    pub async fn call(
        &self,
        tally: &Tally,
        kind: &Kind,
        sender: &Sender,
        call: ServiceCall<'_>,
        random: &mut StdRng,
    ) -> Turn {
        let ServiceCall {
            service,
            operation,
            key,
        } = call;
        let is_read = kind.call == crate::profile::Call::Read;
        let entry = self.entry(random);
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
        tally.note_sent();
        let turn = time::timeout(PATIENCE, read_call(tally, request, operation)).await;
        let turn = turn.unwrap_or_else(|_| Turn::ended(End::Unknown));
        tally.note_end(kind, turn.end);
        turn
    }
}

/// Reads how a request was refused.
async fn refused(tally: &Tally, response: Response) -> Turn {
    let Ok(body) = response.json::<ErrorBody>().await else {
        return Turn::ended(End::CutOrWrong);
    };
    match body.error.reason {
        Some(reason) => tally.note_refusal(reason.name()),
        None => tally.note_refusal(&body.error.message),
    }
    let end = match body.error.outcome {
        Outcome::NotRun => End::NotRun,
        _ => End::Unknown,
    };
    let retry_after = body.error.retry_after_ms.map(Duration::from_millis);
    Turn {
        retry_after,
        ..Turn::ended(end)
    }
}

async fn read_call(tally: &Tally, request: RequestBuilder, operation: &str) -> Turn {
    let Ok(response) = request.send().await else {
        return Turn::ended(End::Transport);
    };
    if !response.status().is_success() {
        return refused(tally, response).await;
    }
    let Ok(body) = response.text().await else {
        return Turn::ended(End::CutOrWrong);
    };
    let expected = text::service_answer("/items", operation);
    Turn::ended(match body == expected {
        true => End::Completed,
        false => End::CutOrWrong,
    })
}

async fn read_chat(
    tally: &Tally,
    sender: &Sender,
    chat: &ChatRequest,
    request: RequestBuilder,
    begin: Instant,
) -> Turn {
    let Ok(response) = request.send().await else {
        return Turn::ended(End::Transport);
    };
    if !response.status().is_success() {
        return refused(tally, response).await;
    }
    let placement = response
        .headers()
        .get(header::PLACEMENT_HINT)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let end = read_events(tally, sender, chat, response, begin).await;
    Turn {
        placement,
        ..Turn::ended(end)
    }
}

async fn read_events(
    tally: &Tally,
    sender: &Sender,
    chat: &ChatRequest,
    response: Response,
    begin: Instant,
) -> End {
    let mut events = response.bytes_stream().eventsource();
    let mut content = String::new();
    let mut last: Option<Instant> = None;
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return End::Transport;
        };
        if event.data == "[DONE]" {
            let tokens = chat.max_tokens.unwrap_or(text::DEFAULT_ANSWER_TOKENS);
            let expected = text::answer(&chat.model, &chat.messages, tokens);
            return match content == expected {
                true => End::Completed,
                false => End::CutOrWrong,
            };
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            // An answer that cannot be completed says so.
            return match serde_json::from_str::<ErrorBody>(&event.data) {
                Ok(_) => End::Unknown,
                Err(_) => End::CutOrWrong,
            };
        };
        if let Some(usage) = chunk.usage {
            let mut counts = tally.counts.lock();
            counts.prompt_tokens += u64::from(usage.prompt_tokens);
            counts.cached_tokens += u64::from(usage.cached_tokens);
        }
        let delta = chunk.choices.into_iter().next().map(|choice| choice.delta);
        if let Some(text) = delta.and_then(|delta| delta.content) {
            content.push_str(&text);
            let now = Instant::now();
            match last.replace(now) {
                None => note_first(tally, sender, begin),
                Some(last) => {
                    let between = now.duration_since(last).as_micros();
                    tally::record(&tally.between_tokens, between);
                }
            }
        }
    }
    End::CutOrWrong
}

fn note_first(tally: &Tally, sender: &Sender, begin: Instant) {
    let elapsed = begin.elapsed().as_micros();
    tally::record(&tally.first_token, elapsed);
    if sender.is_largest {
        return;
    }
    match sender.is_surge {
        true => tally::record(&tally.others_in_surge, elapsed),
        false => tally::record(&tally.others_before, elapsed),
    }
}
