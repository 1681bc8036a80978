//! The stream of frames in which the owner of a target returns an answer to the entry router.

use sardinemux_core::fence::RequestId;
use sardinemux_core::load::Sample;
use sardinemux_core::membership::Member;
use sardinemux_core::outcome::{Outcome, Reason};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The refusal of a request that did not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: Reason,
    /// The delay after which a retry is useful, in milliseconds.
    pub retry_after_ms: u64,
    /// The membership entry to address instead: that of the target's owner if it is another router, or that of this
    /// router's current process if the request addressed an earlier one.
    pub owner: Option<Member>,
}

/// The status and the media type of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the content.
    pub content_type: SmolStr,
}

/// A part of the content of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The offset at which the part begins: in tokens for a chat, in bytes for a service.
    pub offset: u64,
    /// The length of the part, in the same unit.
    pub length: u64,
    /// The content of the part.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// The end of a complete answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The length of the whole answer, in the unit of the parts.
    pub total: u64,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The number of tokens of the prompt that the engine had cached.
    pub cached_tokens: u32,
    /// The reason why generation stopped, as the engine states it.
    pub finish_reason: SmolStr,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The request was refused; it did not run and will not.
    Refused(Refusal),
    /// The request was admitted. The sample is the load on the targets of the pool that the owner of this target owns.
    Admitted(Sample),
    /// The request is still queued. Sent periodically, so that an entry router that receives nothing can conclude a
    /// fault.
    Waiting,
    /// The target has begun to answer; precedes the content.
    Head(Head),
    /// A part of the content.
    Part(Part),
    /// The answer is complete.
    End(End),
    /// The request failed, before or during the answer.
    Failed {
        /// Whether the request may have run.
        outcome: Outcome,
        /// The reason of the failure.
        reason: Reason,
    },
}

/// One message of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The id of the request that the frame belongs to.
    pub id: RequestId,
    /// The position of the frame in the stream, counted from 0.
    pub sequence: u32,
    /// The content.
    pub body: Body,
}
