//! Idempotency keys: one record for each key in the platform's table, and the decisions that follow from it.
//!
//! A record is inserted before dispatch, on the condition that there is none. The router whose nonce it holds may
//! dispatch the request once; every other one replays the recorded answer or reports that the outcome is unknown.
//! A claim never expires by time. It is given up only when the router that made it knows that nothing ran, and
//! records or reports that; so a holder that resumes after a pause cannot dispatch a request that another one claimed.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The identifier of one claim.
pub type Nonce = uuid::Uuid;

/// A response as it is recorded and replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: SmolStr,
    /// The body; only UTF-8 text can be replayed.
    pub body: String,
}

/// The state of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The holder may have dispatched the request.
    Claimed,
    /// The request did not run; the key may be claimed again.
    Released,
    /// The request completed with this answer.
    Done(Answer),
    /// The request may have run; its outcome cannot be determined any more.
    Lost,
}

/// The record of one idempotency key in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The identifier of the claim.
    pub nonce: Nonce,
    /// A digest of the request, which detects that a key is reused for another request.
    pub digest: u64,
    /// The address of the router that holds the claim.
    pub holder: SmolStr,
    /// The boot identifier of the holder's process; a later process at the same address cannot answer for the claim.
    pub boot: u64,
    /// The state of the request.
    pub progress: Progress,
}

/// What to do for a request that carries an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// There is no claim, or a released one: try to claim the key.
    Claim,
    /// The claim is this request's own: dispatch it.
    Dispatch,
    /// The request has completed: return the recorded answer.
    Replay(Answer),
    /// Another router or request holds the claim: ask the holder whether the request still runs.
    AskHolder,
    /// The outcome is unknown and will remain so.
    Unknown,
    /// The key was used for another request.
    Mismatch,
}

/// Decides what to do for a request with this nonce and digest, from the record that was read, if any.
///
/// # Examples
///
/// ```
/// use sardinemux_core::idempotency::{self, Decision, Nonce, Progress, Record};
///
/// let nonce = Nonce::from_u128(1);
/// assert_eq!(idempotency::decide(None, nonce, 9), Decision::Claim);
/// let record = Record {
///     nonce,
///     digest: 9,
///     holder: "127.0.0.1:1".into(),
///     boot: 1,
///     progress: Progress::Claimed,
/// };
/// assert_eq!(idempotency::decide(Some(&record), nonce, 9), Decision::Dispatch);
/// assert_eq!(idempotency::decide(Some(&record), Nonce::from_u128(2), 9), Decision::AskHolder);
/// ```
pub fn decide(record: Option<&Record>, nonce: Nonce, digest: u64) -> Decision {
    let Some(record) = record else {
        return Decision::Claim;
    };
    if record.digest != digest {
        return Decision::Mismatch;
    }
    match &record.progress {
        Progress::Released => Decision::Claim,
        Progress::Done(answer) => Decision::Replay(answer.clone()),
        Progress::Lost => Decision::Unknown,
        Progress::Claimed if record.nonce == nonce => Decision::Dispatch,
        Progress::Claimed => Decision::AskHolder,
    }
}
