//! The outcome of a request, and the reason why it was not completed, as every hop reports them.

use serde::{Deserialize, Serialize};

/// Returns whether a status is that of a final answer. HTTP libraries also accept codes that have no meaning, and some take
/// `101 Switching Protocols` for the end of the exchange. Source: RFC 9110, section 15.
///
/// # Examples
///
/// ```
/// use sardinemux_core::outcome;
///
/// assert!(outcome::is_final_status(200));
/// assert!(!outcome::is_final_status(101));
/// assert!(!outcome::is_final_status(600));
/// ```
pub fn is_final_status(code: u16) -> bool {
    (200..600).contains(&code)
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target's answer was received completely.
    Completed,
    /// The request provably did not run: it reached no target, or every target that it reached stated so.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns whether a request may be dispatched again after this outcome. After [`Outcome::Unknown`], only a
    /// repeatable request may.
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
    /// The target is at its limit, or stated that it did not run the request.
    Full,
    /// The queue of the target is full, and the organisation has more than its share of it.
    Shed,
    /// The request reached its deadline, or the longest time in a queue, before it could be sent to a target.
    Waited,
    /// The target has not served this chat recently, and the entry router asked for one that has.
    Unfamiliar,
    /// The target is leaving, or an operator stopped it or its availability zone.
    Leaving,
    /// This router does not own the target.
    NotOwner,
    /// No eligible target is known, or the address no longer belongs to the target.
    NoTarget,
    /// The entry router addressed an earlier process of the owner, or has not met its current process.
    OtherBoot,
    /// The request id is fenced or already in use, or the fence table is full.
    Fenced,
    /// This router is stopping, is cut off from its peers and the platform, or has no configuration or no targets.
    NotReady,
    /// The entry router's limit on concurrent requests of the organisation, or of all organisations, is reached.
    Busy,
    /// The idempotency key could not be claimed, as the table of the platform is unreachable.
    Store,
    /// The target or its owner could not be reached, or stated that it did not run the request.
    Refused,
    /// The connection closed early, or the answer is incomplete or unreadable.
    Cut,
    /// No data arrived before a timeout.
    Silence,
    /// The answer belongs to another request, cannot be matched to this one, or has parts out of order.
    Crossed,
    /// It is not known at which build the stream began that the caller resumes, or no target of that build is listed.
    Origin,
    /// Targets crashed under the request, or under a part of its prompt.
    Quarantined,
    /// The target answered with a server error or with too large a body, or the processing of the request failed.
    Failed,
}

impl Reason {
    /// Returns the name under which callers, logs and metrics see the reason.
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
            Self::Origin => "origin",
            Self::Quarantined => "quarantined",
            Self::Failed => "failed",
        }
    }
}
