//! What became of a request, as every hop states it.

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target answered whole.
    Completed,
    /// Provably nothing ran: the request reached no target, or the target says so.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns whether a request may be dispatched again after this outcome.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::outcome::Outcome;
    ///
    /// assert!(Outcome::NotRun.allows_dispatch(false));
    /// assert!(!Outcome::Unknown.allows_dispatch(false));
    /// ```
    pub fn allows_dispatch(self, is_repeatable: bool) -> bool {
        match self {
            Self::Completed => false,
            Self::NotRun => true,
            Self::Unknown => is_repeatable,
        }
    }
}

/// Why a request was not completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target is at its limit.
    Full,
    /// The queue of the target is full, and this organisation is over its share.
    Shed,
    /// The request waited in the queue until its deadline.
    Waited,
    /// The target has not seen this chat lately, and the entry asked for one that has.
    Unfamiliar,
    /// The target is leaving, or its availability zone was taken out.
    Leaving,
    /// This router does not own the target.
    NotOwner,
    /// This router does not know the target.
    NoTarget,
    /// The entry addressed an earlier process of this router.
    OtherBoot,
    /// The request id was fenced or is in use.
    Fenced,
    /// This router is stopping, cut off or without a configuration.
    NotReady,
    /// The entry's own bound for the organisation, or for all, is reached.
    Busy,
    /// The platform's table could not be reached to claim an idempotency key.
    Store,
    /// The target refused the connection or said that it did not run the request.
    Refused,
    /// A connection was cut or an answer came short.
    Cut,
    /// A deadline passed in silence.
    Silence,
    /// An answer of another request arrived.
    Crossed,
    /// The target answered with a server error.
    Failed,
}

impl Reason {
    /// Returns the name that callers, logs and metrics use.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::outcome::Reason;
    ///
    /// assert_eq!(Reason::NotOwner.name(), "not_owner");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Shed => "shed",
            Self::Waited => "waited",
            Self::Unfamiliar => "unfamiliar",
            Self::Leaving => "leaving",
            Self::NotOwner => "not_owner",
            Self::NoTarget => "no_target",
            Self::OtherBoot => "other_boot",
            Self::Fenced => "fenced",
            Self::NotReady => "not_ready",
            Self::Busy => "busy",
            Self::Store => "store",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Silence => "silence",
            Self::Crossed => "crossed",
            Self::Failed => "failed",
        }
    }
}
