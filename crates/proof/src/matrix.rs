//! Operations that are sent through a fleet while faults happen, and what became of them.
//!
//! The callers' words are held against the counts of the services, which know nothing of routers.

pub mod cell;
pub mod table;

use std::time::Duration;

use indexmap::IndexMap;
use rand::random;
use reqwest::StatusCode;
use sardinemux_core::outcome::Outcome;
use sardinemux_load::probe;
use sardinemux_standin::service::Operation;
use sardinemux_standin::text;
use sardinemux_wire::caller::{ChatRequest, ErrorBody, Message};
use sardinemux_wire::header;
use serde_json::Map;
use tokio::time;

use crate::errors::Result;
use crate::fleet::Fleet;

/// What a caller was told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The whole and right answer.
    Completed,
    /// An answer that is short or wrong and does not say so.
    Wrong,
    /// Refused, with the outcome and the time to come back.
    Refused {
        /// Whether it ran, as the caller was told.
        outcome: Outcome,
        /// Whether the caller was told when to come back.
        has_retry_after: bool,
    },
    /// The connection to the entry failed.
    Nothing,
}

/// One operation that must not repeat, with all that its caller was told.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The operation.
    pub operation: String,
    /// Whether it carried an idempotency key.
    pub is_keyed: bool,
    /// What the caller was told, in order.
    pub told: Vec<Told>,
}

/// What a cell of the matrix has shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Requests that were sent.
    pub sent: u32,
    /// Requests that completed.
    pub completed: u32,
    /// Operations that ran more than once.
    pub duplicate_runs: u32,
    /// Operations that ran although their caller was told that they had not.
    pub false_not_run: u32,
    /// Operations that did not run although their caller had an answer.
    pub false_completed: u32,
    /// Answers that were cut without a word, or wrong.
    pub cut_or_wrong: u32,
}

impl Findings {
    /// Returns whether every promise was kept.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_proof::matrix::Findings;
    ///
    /// assert!(Findings::default().holds());
    /// assert!(!Findings { duplicate_runs: 1, ..Findings::default() }.holds());
    /// ```
    pub fn holds(&self) -> bool {
        self.duplicate_runs == 0
            && self.false_not_run == 0
            && self.false_completed == 0
            && self.cut_or_wrong == 0
    }
}

/// How many times a caller repeats an operation with its key.
const KEY_TRIES: usize = 6;

/// The pause between two of them.
const KEY_PAUSE: Duration = Duration::from_millis(400);

/// Sends one operation that must not repeat through an entry.
pub async fn send_operation(fleet: &Fleet, entry: usize, operation: &str, key: bool) -> Told {
    let service = &fleet.services[0].target.pool;
    let address = fleet.routers[entry].entry;
    let url = format!("http://{address}/services/{service}/items");
    let body = Operation {
        operation: operation.to_owned(),
    };
    let mut request = fleet
        .client
        .post(&url)
        .bearer_auth(fleet.key(0))
        .json(&body);
    if key {
        request = request.header(header::IDEMPOTENCY_KEY, operation);
    }
    let Ok(response) = request.send().await else {
        return Told::Nothing;
    };
    if response.status() != StatusCode::OK {
        return refused(response).await;
    }
    match response.text().await {
        Ok(body) if body == text::service_answer("/items", operation) => Told::Completed,
        Ok(_) => Told::Wrong,
        Err(_) => Told::Nothing,
    }
}

async fn refused(response: reqwest::Response) -> Told {
    let has_retry_after = response.headers().contains_key("Retry-After");
    match response.json::<ErrorBody>().await {
        Ok(body) => Told::Refused {
            outcome: body.error.outcome,
            has_retry_after,
        },
        Err(_) => Told::Wrong,
    }
}

/// Carries one operation out as a careful caller does: with a key, again and again until its outcome
/// is known; without one, once.
pub async fn attempt(fleet: &Fleet, entry: usize, is_keyed: bool) -> Attempt {
    let operation = format!("{:032x}", random::<u128>());
    let mut told = Vec::new();
    let tries = match is_keyed {
        true => KEY_TRIES,
        false => 1,
    };
    for index in 0..tries {
        // A repeat may come through any entry.
        let entry = (entry + index) % fleet.routers.len();
        told.push(send_operation(fleet, entry, &operation, is_keyed).await);
        if told.last() == Some(&Told::Completed) {
            break;
        }
        time::sleep(KEY_PAUSE).await;
    }
    Attempt {
        operation,
        is_keyed,
        told,
    }
}

/// Returns a chat of one message.
pub fn chat_request(tokens: u32) -> ChatRequest {
    let draw: u64 = random();
    ChatRequest {
        model: "sardine-7b".into(),
        messages: vec![Message {
            role: "user".into(),
            content: text::token(draw, 0).repeat(20).into(),
            rest: Map::new(),
        }],
        stream: false,
        max_tokens: Some(tokens),
        prompt_cache_key: Some(format!("{draw:x}").into()),
        rest: Map::new(),
    }
}

/// Sends one chat through an entry, streamed or not, and checks its answer.
pub async fn send_chat(fleet: &Fleet, entry: usize, is_streamed: bool, tokens: u32) -> Told {
    let mut chat = chat_request(tokens);
    chat.stream = is_streamed;
    let address = fleet.routers[entry].entry;
    let url = format!("http://{address}/v1/chat/completions");
    let request = fleet
        .client
        .post(&url)
        .bearer_auth(fleet.key(0))
        .json(&chat);
    let Ok(response) = request.send().await else {
        return Told::Nothing;
    };
    if response.status() != StatusCode::OK {
        return refused(response).await;
    }
    let Ok(body) = response.text().await else {
        return Told::Nothing;
    };
    let expected = text::answer(&chat.model, &chat.messages, tokens);
    match is_streamed {
        true => judge_stream(&body, &expected),
        false => judge_whole(&body, &expected),
    }
}

fn judge_whole(body: &str, expected: &str) -> Told {
    let answer: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    match answer["choices"][0]["message"]["content"] == expected {
        true => Told::Completed,
        false => Told::Wrong,
    }
}

fn judge_stream(body: &str, expected: &str) -> Told {
    let mut content = String::new();
    let mut is_ended = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            is_ended = true;
            continue;
        }
        let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        if value.get("error").is_some() {
            return Told::Refused {
                outcome: Outcome::Unknown,
                has_retry_after: true,
            };
        }
        let part = value["choices"][0]["delta"]["content"].as_str();
        content.push_str(part.unwrap_or_default());
    }
    match is_ended && content == expected {
        true => Told::Completed,
        false => Told::Wrong,
    }
}

/// Returns the runs of every operation, once nothing runs any more.
///
/// # Errors
///
/// `Error::Late` if calls go on running.
pub async fn runs(fleet: &Fleet) -> Result<IndexMap<String, u32>> {
    let services: Vec<String> = fleet
        .services
        .iter()
        .map(|place| place.address.to_string())
        .collect();
    Ok(probe::read_run_counts(&fleet.client, &services).await)
}

/// Holds what callers were told against what ran.
pub fn judge(attempts: &[Attempt], chats: &[Told], runs: &IndexMap<String, u32>) -> Findings {
    let mut findings = Findings::default();
    for attempt in attempts {
        let runs = runs.get(&attempt.operation).copied().unwrap_or(0);
        let is_completed = attempt.told.contains(&Told::Completed);
        let are_all_not_run = attempt.told.iter().all(|told| {
            matches!(
                told,
                Told::Refused {
                    outcome: Outcome::NotRun,
                    ..
                }
            )
        });
        findings.sent += attempt.told.len() as u32;
        findings.completed += u32::from(is_completed);
        findings.duplicate_runs += u32::from(runs > 1);
        findings.false_not_run += u32::from(are_all_not_run && runs > 0);
        findings.false_completed += u32::from(is_completed && runs == 0);
        findings.cut_or_wrong += u32::from(attempt.told.contains(&Told::Wrong));
    }
    for told in chats {
        findings.sent += 1;
        findings.completed += u32::from(*told == Told::Completed);
        findings.cut_or_wrong += u32::from(*told == Told::Wrong);
    }
    findings
}
