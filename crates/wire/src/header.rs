//! The names of the HTTP headers that callers, targets and routers use.

/// The caller's key for a request that must not repeat.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The caller's own name of a chat.
pub const CHAT_ID: &str = "X-Chat-Id";
/// The class of work that the caller states.
pub const CLASS: &str = "X-Class";
/// The target that served the chat last: returned to the caller and taken back as a hint.
pub const PLACEMENT_HINT: &str = "X-Placement-Hint";
/// The id of a request, in answers to callers and in requests to targets, which echo it.
pub const REQUEST_ID: &str = "X-Request-Id";
/// What became of a refused request: `not_run` or `unknown`.
pub const OUTCOME: &str = "X-Outcome";
/// Set by a target on a refusal to state that it did not run the request.
pub const NOT_RUN: &str = "X-Not-Run";
/// Set by an engine on each answer: which incarnation of it speaks.
pub const INCARNATION: &str = "X-Incarnation";
/// Set on a replayed answer of the idempotency ledger.
pub const REPLAYED: &str = "X-Replayed";
/// The secret that routers and administration programs share.
pub const PEER_TOKEN: &str = "X-Peer-Token";
