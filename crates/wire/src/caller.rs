//! The requests and responses of callers, in the format of the OpenAI API.

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
    /// The role of the message's author, such as `user` or `assistant`.
    pub role: SmolStr,
    /// The content: a text, or an array of parts as in the OpenAI API.
    pub content: Value,
    /// All other fields that the caller sent.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// The body of `POST /v1/chat/completions`. Fields that the router does not read are kept unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The name of the model.
    pub model: SmolStr,
    /// The messages of the chat so far.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The greatest number of tokens in the answer, if the caller limits it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The caller's own identifier of the chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_cache_key: Option<SmolStr>,
    /// All other fields that the caller sent.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// The average number of bytes of text in one token, for estimates.
const TOKEN_BYTES: usize = 4;

/// The number of tokens that an answer is estimated at if the caller does not limit its length.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

impl ChatRequest {
    /// Parses the body of a caller's request.
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

    /// Estimates the number of tokens of prompt and answer together. A message whose content is not a text counts as
    /// one token.
    pub fn estimated_tokens(&self) -> u64 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.as_str().map_or(TOKEN_BYTES, str::len))
            .sum();
        (bytes / TOKEN_BYTES) as u64 + u64::from(self.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS))
    }

    /// Returns roles and contents of the messages up to and including the first one of the user, as one text. They stay
    /// the same in every turn of a chat, so that they identify it.
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

    /// Returns whether the chat had an earlier turn, which shows by a message of the assistant.
    pub fn is_returning(&self) -> bool {
        self.messages
            .iter()
            .any(|message| message.role == "assistant")
    }
}

/// The body of a response that is not streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// The request id.
    pub id: SmolStr,
    /// The object type, as in the OpenAI API.
    pub object: SmolStr,
    /// The name of the model.
    pub model: SmolStr,
    /// The alternative completions; there is one.
    pub choices: Vec<AnswerChoice>,
    /// The token counts.
    pub usage: Usage,
}

/// One alternative of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// The index of the alternative.
    pub index: u32,
    /// The message that was generated.
    pub message: AnswerMessage,
    /// The reason why generation stopped.
    pub finish_reason: SmolStr,
}

/// The message of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerMessage {
    /// The role of the message's author.
    pub role: SmolStr,
    /// The text.
    pub content: String,
}

/// The kind of an error that a caller or an operator receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The API key or operator token is missing or unknown.
    Unauthorized,
    /// The body or a header is malformed.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// The path, the pool or the item does not exist.
    NotFound,
    /// The request cannot be served now, and did not run.
    Unavailable,
    /// A limit on concurrent requests is reached.
    TooMany,
    /// The idempotency key was used for another request.
    KeyReused,
    /// An earlier request with this idempotency key is still running.
    StillRunning,
    /// An earlier request with this idempotency key may or may not have run.
    OutcomeUnknown,
    /// The target failed, or its answer was lost.
    TargetFailed,
    /// The operator has no permission for the operation.
    Forbidden,
    /// A key has another version than the operator expected, as another change was accepted first.
    Conflict,
    /// A value is out of range or missing.
    Invalid,
}

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The details of the error.
    pub error: ErrorDetail,
}

/// The details of an error, and the outcome of the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The kind of error.
    pub kind: ErrorKind,
    /// A human-readable explanation.
    pub message: String,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The reason why the request was not completed, if a router states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// The delay after which a retry is useful, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
