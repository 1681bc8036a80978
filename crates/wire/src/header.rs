//! The names of the HTTP headers that callers, routers, targets and administration programs exchange.

/// The caller's idempotency key, for a request that must not run more than once.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The caller's own identifier of a chat.
pub const CHAT_ID: &str = "X-Chat-Id";
/// The class of the request, as stated by the caller.
pub const CLASS: &str = "X-Class";
/// The target that served the chat last. It is returned to the caller, who sends it with the next turn as a hint.
pub const PLACEMENT_HINT: &str = "X-Placement-Hint";
/// The id of a request, in answers to callers and in requests to targets, which echo it.
pub const REQUEST_ID: &str = "X-Request-Id";
/// The outcome of a failed request: `not_run` or `unknown`.
pub const OUTCOME: &str = "X-Outcome";
/// Set by a target on a refusal to state that it did not run the request.
pub const NOT_RUN: &str = "X-Not-Run";
/// Set by an engine on its answers: its incarnation, which changes with every restart.
pub const INCARNATION: &str = "X-Incarnation";
/// Set on an answer that is replayed from the idempotency ledger.
pub const REPLAYED: &str = "X-Replayed";
/// The secret by which routers and administration programs authenticate requests to routers.
pub const PEER_TOKEN: &str = "X-Peer-Token";
