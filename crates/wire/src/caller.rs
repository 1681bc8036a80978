//! What callers send and receive, in the manner of the OpenAI API.

use sardinemux_core::outcome::{Outcome, Reason};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::errors::{BodySnafu, Result};
use crate::target::Usage;

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: SmolStr,
    /// What is said: a text, or parts as the OpenAI API has them.
    pub content: Value,
    /// What else the caller sent.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// The body of `POST /v1/chat/completions`. What the router does not read is handed on as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: SmolStr,
    /// The chat so far.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The caller's own name of the chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_cache_key: Option<SmolStr>,
    /// What else the caller sent.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Bytes of text that one token stands for, on average, in an estimate.
const TOKEN_BYTES: usize = 4;

/// The tokens of an answer whose length the caller does not limit, in an estimate.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

impl ChatRequest {
    /// Reads a caller's body.
    ///
    /// # Errors
    ///
    /// `Error::Body` if it is not JSON or lacks a field.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_wire::caller::ChatRequest;
    ///
    /// let body = br#"{"model":"m","messages":[{"role":"user","content":"hello"}],"seed":7}"#;
    /// let request = ChatRequest::parse(body)?;
    /// assert_eq!(request.model, "m");
    /// assert!(request.rest.contains_key("seed"));
    /// # Ok::<(), sardinemux_wire::prelude::Error>(())
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).context(BodySnafu)
    }

    /// Estimates the tokens of prompt and answer.
    pub fn estimated_tokens(&self) -> u64 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.as_str().map_or(TOKEN_BYTES, str::len))
            .sum();
        (bytes / TOKEN_BYTES) as u64 + u64::from(self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS))
    }

    /// Returns the messages up to the first one of the user, which stay the same in every turn.
    pub fn opening(&self) -> String {
        let mut opening = String::new();
        for message in &self.messages {
            opening.push_str(&message.role);
            opening.push('\n');
            opening.push_str(&message.content.to_string());
            opening.push('\n');
            if message.role == "user" {
                break;
            }
        }
        opening
    }

    /// Returns whether the chat has had a turn before.
    pub fn is_returning(&self) -> bool {
        self.messages
            .iter()
            .any(|message| message.role == "assistant")
    }
}

/// The body of an answer that is not streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// The request id.
    pub id: SmolStr,
    /// The kind of object.
    pub object: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The alternatives; there is one.
    pub choices: Vec<AnswerChoice>,
    /// The tokens.
    pub usage: Usage,
}

/// One alternative of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// Its index.
    pub index: u32,
    /// The message.
    pub message: AnswerMessage,
    /// Why generation stopped.
    pub finish_reason: SmolStr,
}

/// The message of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerMessage {
    /// Who speaks.
    pub role: SmolStr,
    /// What is said.
    pub content: String,
}

/// The kinds of errors that callers and operators see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The bearer key or token is missing or not known.
    Unauthorized,
    /// The body or a header is malformed.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// No pool has this name.
    NotFound,
    /// The fleet cannot take the request now.
    Unavailable,
    /// The caller's organisation is over its bound.
    TooMany,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request with this idempotency key is running.
    StillRunning,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// The target failed.
    TargetFailed,
    /// The operator may not do this.
    Forbidden,
    /// Another change was accepted first.
    Conflict,
    /// A value is out of range or missing.
    Invalid,
}

/// The body of every error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong, and what became of the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The kind of error.
    pub kind: ErrorKind,
    /// An explanation for people.
    pub message: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The reason inside the fleet, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// When it makes sense to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
