//! What engines say of themselves, as far as sardinemux reads it.

use sardinemux_core::config::Duty;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An engine's lagging report: `GET /load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests that run.
    pub running: u32,
    /// Which incarnation speaks.
    pub incarnation: u64,
}

/// What happened to the cache of a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// A prefix of the chat is cached.
    Stored,
    /// No prefix of the chat is cached any more.
    Evicted,
}

/// A cache event: late, and some are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number.
    pub sequence: u64,
    /// The `prompt_cache_key` that came with the request.
    pub prompt_cache_key: SmolStr,
    /// What happened.
    pub change: CacheChange,
}

/// The answer to `GET /cache/events?after=<sequence>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Which incarnation speaks; numbers start anew with each.
    pub incarnation: u64,
    /// The events that follow, oldest first.
    pub events: Vec<CacheEvent>,
}

/// The tokens of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens of the prompt that were cached.
    pub cached_tokens: u32,
    /// The tokens of the whole answer, also of the part before a resumption.
    pub completion_tokens: u32,
}

/// One event of an engine's answer.
///
/// The layout is that of the OpenAI API's `chat.completion.chunk`, with the offset of the chunk in
/// tokens and the usage in the last chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request id that the router sent.
    pub id: SmolStr,
    /// The kind of object.
    pub object: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The offset of the content in tokens.
    pub offset: u64,
    /// The length of the content in tokens.
    pub length: u64,
    /// The alternatives; there is one.
    pub choices: Vec<Choice>,
    /// The tokens, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// One alternative of a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Its index.
    pub index: u32,
    /// The new content.
    pub delta: Delta,
    /// Why generation stopped, in the last chunk.
    pub finish_reason: Option<SmolStr>,
}

/// New content.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// What a router adds to a caller's chat request for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatExtensions {
    /// The chat key; it comes back in cache events.
    pub prompt_cache_key: SmolStr,
    /// The priority; a smaller one is served first.
    pub priority: u8,
    /// The number of tokens that need not be sent again.
    pub resume_offset: u64,
}

/// An order to an engine: `POST /orders`. One that checks the number refuses an older one with 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease.
    pub number: u64,
    /// The duty that the engine is to take up.
    pub duty: Duty,
}

/// What an engine does: `GET /duty`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyState {
    /// The duty that it has taken up.
    pub duty: Duty,
    /// Whether it is still loading it.
    pub is_loading: bool,
    /// The highest fencing number that it has seen, if it checks them.
    pub number: u64,
}
