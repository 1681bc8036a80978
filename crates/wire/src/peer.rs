//! Queries between routers: the status of a request, the status of a claim on an idempotency key, and the handover of
//! a target.

use sardinemux_core::fence::{RequestId, Status};
use sardinemux_core::idempotency::Nonce;
use sardinemux_core::membership::Member;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Asks the owner of a target for the status of a request. If the owner has never seen the id, it fences it: a late
/// copy of the request is refused from then on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// The id of the request.
    pub id: RequestId,
}

/// The answer to a [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The id of the request. The sender of the query compares it, so that it detects an answer to another query.
    pub id: RequestId,
    /// The boot identifier of the process that answers; it cannot answer for an earlier process at the same address.
    pub boot: u64,
    /// The status of the request at the owner.
    pub status: Status,
    /// The answer of the service, if the call completed and the owner still stores it.
    pub answer: Option<ServiceAnswer>,
}

/// The whole answer of a service. If the request may not be repeated and the body is small, the owner stores it for a
/// limited time, because the connection to the entry router may break during delivery.
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

/// Asks the router that holds a claim in the idempotency ledger for the status of the claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimQuery {
    /// The identifier of the claim.
    pub nonce: Nonce,
}

/// The status of a claim at the router that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStatus {
    /// The holder processes the request, and may have dispatched it.
    Running,
    /// The request has ended and may have run; the holder is writing its outcome to the table.
    Dispatched,
    /// The holder did not run the request and does not dispatch it any more, or it does not list the claim.
    NotDispatched,
}

/// The answer to a [`ClaimQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The identifier of the claim. The sender of the query compares it, so that it detects an answer to another query.
    pub nonce: Nonce,
    /// The boot identifier of the process that answers; it cannot answer for an earlier process at the same address.
    pub boot: u64,
    /// The status of the claim.
    pub status: ClaimStatus,
}

/// Asks the former owner of a target to hand it over. The query carries the membership entry of the new owner; once
/// the former owner knows the new one, it sends the target no new requests, unless it still owns the target in its own
/// view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The id of the target.
    pub target: SmolStr,
    /// The membership entry of the new owner.
    pub owner: Member,
    /// The membership entry that the new owner has of the former one, which refutes the entry if it is wrong.
    #[serde(rename = "believed")]
    pub former_owner: Member,
    /// Whether the answer is to list the recent chats: set until the former owner has answered once.
    pub wants_chats: bool,
}

/// The answer to a [`Handover`]: the state of the target at its former owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverAnswer {
    /// The id of the target. The sender of the query compares it and the id of the router, so that it detects an answer
    /// to another query.
    pub target: SmolStr,
    /// The membership entry of the router that answers.
    pub member: Member,
    /// The number of requests that the former owner has in flight on the target.
    pub running: u32,
    /// The concurrency limit that the target's warm-up has reached at the former owner.
    #[serde(rename = "borne")]
    pub warmup_limit: u32,
    /// Whether the former owner no longer owns the target in its own view. Otherwise the answer is ignored.
    pub agrees: bool,
    /// The keys of the chats that the target has served recently, at most [`HANDOVER_CHATS_MAX`] of them, newest first.
    pub chats: Vec<u64>,
}

/// The greatest number of chats in a [`HandoverAnswer`].
pub const HANDOVER_CHATS_MAX: usize = 1_024;
