//! Questions between routers: what became of a request, and what a former owner has in flight.

use sardinemux_core::fence::{RequestId, Status};
use sardinemux_core::idempotency::Nonce;
use sardinemux_core::membership::Member;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Asks an owner what became of a request; one that it never saw is fenced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// The request.
    pub id: RequestId,
}

/// What an owner says of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The request; an answer that was crossed names another one.
    pub id: RequestId,
    /// The process that answers; it cannot speak for an earlier one.
    pub boot: u64,
    /// What it knows.
    pub status: Status,
    /// The answer of a service, if it completed and is still kept.
    pub answer: Option<ServiceAnswer>,
}

/// A service's answer that an owner keeps for a while, in case its first delivery is cut.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub content_type: SmolStr,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Asks the holder of a claim in the idempotency ledger what became of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimQuery {
    /// The claim.
    pub nonce: Nonce,
}

/// How a holder's claim stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStatus {
    /// The holder works on it.
    Running,
    /// It was dispatched, and its outcome will be written to the table.
    Dispatched,
    /// It was never dispatched and never will be.
    NotDispatched,
}

/// What the holder of a claim says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The claim; an answer that was crossed names another one.
    pub nonce: Nonce,
    /// The process that answers; it cannot speak for an earlier one.
    pub boot: u64,
    /// How the claim stands.
    pub status: ClaimStatus,
}

/// Asks a former owner to hand a target over. The question names the new owner, and the former one
/// sends nothing more once it has heard of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The target.
    pub target: SmolStr,
    /// The new owner.
    pub owner: Member,
    /// What the new owner believes of the former one, which refutes it if it is wrong.
    #[serde(rename = "believed")]
    pub former_owner: Member,
    /// Whether the recent chats are wanted, as in the first question.
    pub wants_chats: bool,
}

/// What a former owner has in flight on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverAnswer {
    /// The target; an answer that was crossed names another one.
    pub target: SmolStr,
    /// The router that answers.
    pub member: Member,
    /// The requests in flight.
    pub running: u32,
    /// The requests that the target is known to bear.
    #[serde(rename = "borne")]
    pub warmup_limit: u32,
    /// Whether the former owner agrees that it is the owner no more.
    pub agrees: bool,
    /// The chats that the target has served lately, newest last, at most
    /// [`HANDOVER_CHATS_MAX`] of them.
    pub chats: Vec<u64>,
}

/// The most chats that are handed over with a target.
pub const HANDOVER_CHATS_MAX: usize = 1_024;
