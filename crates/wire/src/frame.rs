//! The parts in which an owner router returns an answer to an entry router.

use sardinemux_core::fence::RequestId;
use sardinemux_core::load::Sample;
use sardinemux_core::membership::Member;
use sardinemux_core::outcome::{Outcome, Reason};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Why and how a request was refused; nothing of it ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it makes sense to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// The router that owns the target, if this one does not.
    pub owner: Option<Member>,
}

/// The beginning of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub content_type: SmolStr,
}

/// A part of the content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Where it begins: in tokens for a chat, in bytes for a service.
    pub offset: u64,
    /// Its length in the same unit.
    pub length: u64,
    /// The content.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// The end of a whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The length of the whole answer, in the unit of the parts.
    pub total: u64,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens of the prompt that the engine had cached.
    pub cached_tokens: u32,
    /// Why generation stopped, as the engine states it.
    pub finish_reason: SmolStr,
}

/// What an owner says while it works on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Nothing ran, and nothing will.
    Refused(Refusal),
    /// The request was taken in; the owner's load of the pool comes along.
    Admitted(Sample),
    /// The request still waits; sent so that silence means a fault.
    Waiting,
    /// The target has begun to answer.
    Head(Head),
    /// A part of the content.
    Part(Part),
    /// The answer is whole.
    End(End),
    /// The answer broke off.
    Failed {
        /// Whether the request may have run.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
}

/// One message of an answer's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The request that it belongs to.
    pub id: RequestId,
    /// Its number in the stream, from 0.
    pub sequence: u32,
    /// What it says.
    pub body: Body,
}
