//! The ledger of idempotency keys: one record a key in the platform's table.
//!
//! A record is inserted before dispatch, on the condition that there is none. Whoever inserted it,
//! told by the nonce, may dispatch once; everyone else replays the recorded answer or says that the
//! outcome is not known. A claim is released only by the router that made it, when it knows that
//! nothing ran; so a holder that was paused can do no harm when it wakes.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Tells one claim from another.
pub type Nonce = uuid::Uuid;

/// An answer as it is recorded and replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: SmolStr,
    /// The body as text; only answers of UTF-8 text can be replayed.
    pub body: String,
}

/// How far a claimed request has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The holder may have dispatched it.
    Claimed,
    /// Nothing ran; the key may be claimed again.
    Released,
    /// It completed.
    Done(Answer),
    /// It may have run; nobody can say.
    Lost,
}

/// What the table holds for one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The claim.
    pub nonce: Nonce,
    /// A digest of the request, so that a key is not reused for another request.
    pub digest: u64,
    /// The address of the router that holds the claim.
    pub holder: SmolStr,
    /// The process of that router.
    pub boot: u64,
    /// How far it has come.
    pub progress: Progress,
}

/// What to do for a request that carries an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// There is no claim, or a released one: try to claim.
    Claim,
    /// The claim is this request's own: dispatch.
    Dispatch,
    /// Answer with what is recorded.
    Replay(Answer),
    /// Ask the holder whether it still runs.
    AskHolder,
    /// The outcome is not known and will not be.
    Unknown,
    /// The key was used for another request.
    Mismatch,
}

/// Decides from the record that was read, if any.
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
