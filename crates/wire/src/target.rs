//! The requests to engines and their answers, as far as sardinemux writes or reads them.

use sardinemux_core::config::Duty;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An engine's load report: the answer to `GET /load`. Its figures lag behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests that run on the engine, whichever router sent them.
    pub running: u32,
    /// The incarnation of the engine that sent the report; it changes with every restart.
    pub incarnation: u64,
}

/// A change of the cached prefix of a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// A prefix of the chat is cached.
    Stored,
    /// No prefix of the chat is cached any more.
    Evicted,
}

/// A cache event. Events arrive late, and some are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event, in ascending order.
    pub sequence: u64,
    /// The `prompt_cache_key` that came with the request.
    pub prompt_cache_key: SmolStr,
    /// The change.
    pub change: CacheChange,
}

/// The answer to `GET /cache/events?after=<sequence>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The incarnation of the engine; each one numbers its events anew.
    pub incarnation: u64,
    /// The events that follow, oldest first.
    pub events: Vec<CacheEvent>,
}

/// The token counts of a chat completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The number of tokens of the prompt that were cached.
    pub cached_tokens: u32,
    /// The number of tokens of the whole answer, including those before a resumption.
    pub completion_tokens: u32,
}

/// One event of a streamed answer.
///
/// The layout is that of the OpenAI API's `chat.completion.chunk`, extended by the offset and the length of the chunk
/// in tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request id, as the router sent it to the engine.
    pub id: SmolStr,
    /// The object type, as in the OpenAI API.
    pub object: SmolStr,
    /// The name of the model.
    pub model: SmolStr,
    /// The offset of the content in the answer, in tokens.
    pub offset: u64,
    /// The length of the content, in tokens.
    pub length: u64,
    /// The alternative completions; there is one.
    pub choices: Vec<Choice>,
    /// The token counts, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One alternative of a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The index of the alternative.
    pub index: u32,
    /// The new content.
    pub delta: Delta,
    /// The reason why generation stopped, in the last chunk.
    pub finish_reason: Option<SmolStr>,
}

/// The content that a chunk adds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The text, if the chunk adds any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// The fields that a router adds to a caller's chat request before it sends the request to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatExtensions {
    /// The chat key, which the engine returns in its cache events.
    pub prompt_cache_key: SmolStr,
    /// The priority; the engine serves smaller values first.
    pub priority: u8,
    /// The number of tokens of the answer that the engine need not send again.
    pub resume_offset: u64,
}

/// An order to an engine: the body of `POST /orders`. An engine that checks the fencing number answers an order that
/// has a smaller number than an earlier one with status 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease on sending orders.
    pub number: u64,
    /// The duty that the engine is to load and serve.
    pub duty: Duty,
}

/// The duty of an engine: the answer to `GET /duty`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyState {
    /// The duty that was last ordered.
    pub duty: Duty,
    /// Whether the engine is still loading the duty.
    pub is_loading: bool,
    /// The greatest fencing number that the engine has received, if it checks them.
    pub number: u64,
}
