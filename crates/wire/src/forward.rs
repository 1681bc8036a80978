//! A request as the entry router, which received it from the caller, forwards it to the router that owns the target.

use sardinemux_core::class::Class;
use sardinemux_core::fence::RequestId;
use sardinemux_core::load::Sample;
use sardinemux_core::placement::Offer;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The call to make to the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A chat completion by an engine.
    Chat {
        /// The key that identifies the chat.
        chat: u64,
        /// The body of the caller's request, as JSON.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
        /// The number of tokens of the answer that the caller has already received.
        resume_offset: u64,
    },
    /// A call to a plain service.
    Service {
        /// The HTTP method.
        method: SmolStr,
        /// The path below that of the service, and the query string.
        path: String,
        /// The media type of the body.
        content_type: SmolStr,
        /// The caller's idempotency key, if the request has one.
        idempotency_key: Option<SmolStr>,
        /// The body of the request.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
}

/// A request that is forwarded to the owner of its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The id of the entry router.
    pub entry: SmolStr,
    /// The load on the targets of the same pool that the entry router owns.
    pub sample: Sample,
    /// The id of this dispatch; a further dispatch of the same request has another id.
    pub id: RequestId,
    /// The boot identifier of the owner's process that the entry router addresses, or 0 if it does not know it yet.
    /// Another process refuses the request, as it does not know what an earlier one has received.
    pub owner_boot: u64,
    /// The id of the target.
    pub target: SmolStr,
    /// The id of the member that the caller belongs to.
    pub member: SmolStr,
    /// The id of the organisation that the caller belongs to.
    pub organisation: SmolStr,
    /// The weight of the organisation in fair queueing.
    pub weight: f64,
    /// The class of the request.
    pub class: Class,
    /// The estimated number of tokens of prompt and answer.
    pub tokens: u64,
    /// The condition on which the owner admits or queues the request.
    pub offer: Offer,
    /// Whether the request may be dispatched to a target more than once.
    pub repeatable: bool,
    /// The time until the deadline of the request, in milliseconds.
    pub deadline_ms: u64,
    /// The call to make to the target.
    pub call: Call,
}
