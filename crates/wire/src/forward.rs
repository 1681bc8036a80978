//! A request as an entry router hands it to the owner router of a target.

use sardinemux_core::class::Class;
use sardinemux_core::fence::RequestId;
use sardinemux_core::load::Sample;
use sardinemux_core::placement::Offer;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What the target is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A chat completion of an engine.
    Chat {
        /// The chat key.
        chat: u64,
        /// The caller's body as JSON.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
        /// The number of tokens that the caller has already.
        resume_offset: u64,
    },
    /// A call of a plain service.
    Service {
        /// The HTTP method.
        method: SmolStr,
        /// The path and query below the service.
        path: String,
        /// The media type of the body.
        content_type: SmolStr,
        /// The caller's idempotency key.
        idempotency_key: Option<SmolStr>,
        /// The body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
}

/// A request on its way to an owner router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The entry router.
    pub entry: SmolStr,
    /// The entry's own load of the target's pool.
    pub sample: Sample,
    /// Names this dispatch; a further dispatch of the same request has another id.
    pub id: RequestId,
    /// The process that the entry addresses; another one refuses, as it cannot vouch for its
    /// predecessor. 0 if the entry does not know it yet.
    pub owner_boot: u64,
    /// The target.
    pub target: SmolStr,
    /// The member whose caller it is.
    pub member: SmolStr,
    /// The organisation.
    pub organisation: SmolStr,
    /// The weight of the organisation.
    pub weight: f64,
    /// The class.
    pub class: Class,
    /// The estimated tokens.
    pub tokens: u64,
    /// How it is offered.
    pub offer: Offer,
    /// Whether it may be dispatched to a target more than once.
    pub repeatable: bool,
    /// The time that the caller still waits, in milliseconds.
    pub deadline_ms: u64,
    /// What the target is to do.
    pub call: Call,
}
