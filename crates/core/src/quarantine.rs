//! The prompt parts and the whole requests under which targets crash: who accuses them, what clears them, and which of
//! them are held back.
//!
//! A crash ends every answer in progress on a target, and one request may be its cause. Each part of a prompt whose
//! answer had only just begun is accused of the crash, and so is the content of the request as a whole. An answer that
//! goes on past its beginning clears both. A part or content that is accused of several crashes and not cleared is held:
//! requests with it are refused, except for rare trials. A content belongs to one request and its repeats, so that it
//! costs nobody else to hold it. Source: Dorfman, "The detection of defective members of large populations", Annals of Mathematical
//! Statistics, 1943.
//!
//! Gateways exchange their evidence as [`Notice`]s. An accusation has the id of its crash and only becomes stronger, up to
//! refuted: merging accusations is commutative and idempotent, so that gateways that have received the same ones in any
//! order agree, and have nothing to tell each other any more. Times do not have this property. They are exchanged as ages,
//! which are short by the delay of each message.

pub mod command;
pub mod exchange;
pub mod query;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The thresholds and lifetimes of the evidence.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The weight of the crashes after which a part that is not cleared is held. A crash of which the part is certainly
    /// or probably not the only suspect counts less, see [`Suspicion`].
    pub weight_min: f64,
    /// The weight of the crashes since its clearance after which a part is held that was cleared shortly before.
    pub cleared_weight_min: f64,
    /// The number of crashes after which a content that is not cleared is held.
    pub content_crashes_min: f64,
    /// The number of crashes since its clearance after which a content is held that was cleared shortly before.
    pub cleared_content_crashes_min: f64,
    /// Crashes of a part within this time of each other count as one, in milliseconds: a failure of a rack or an
    /// availability zone says nothing about the prompts. A content runs on one target at a time.
    pub moment_ms: u64,
    /// How long the accusations of a part that is not held are kept, in milliseconds.
    pub accusation_ttl_ms: u64,
    /// How long a clearance protects a part, in milliseconds.
    pub clearance_ttl_ms: u64,
    /// The time from the hold of a part to its first trial, in milliseconds; doubled with each further trial.
    pub trial_ms: u64,
    /// The longest time between two trials, in milliseconds.
    pub trial_max_ms: u64,
    /// The largest number of parts that are accused or held.
    pub parts_max: usize,
    /// The largest number of clearances that are kept.
    pub clearances_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weight_min: 2.0,
            cleared_weight_min: 6.0,
            content_crashes_min: 3.0,
            cleared_content_crashes_min: 3.0,
            moment_ms: 100,
            accusation_ttl_ms: 120_000,
            clearance_ttl_ms: 30_000,
            trial_ms: 30_000,
            trial_max_ms: 3_600_000,
            parts_max: 512,
            clearances_max: 8_192,
        }
    }
}

/// The tolerance in comparisons of times that other gateways state as ages, in milliseconds: the sum of the delays of the
/// messages by which a time has reached a gateway.
pub(crate) const TOLERANCE_MS: u64 = 1_000;

/// The depth of a content, which is below all parts of its prompt.
pub const CONTENT_DEPTH: u8 = u8::MAX;

/// What a request may be held for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subject {
    /// The shared parts of its prompt, in order.
    pub parts: Vec<u64>,
    /// The digest of its whole content, see [`content_id`].
    pub content: Option<u64>,
}

impl Subject {
    /// Creates the subject of a request of which nothing but these parts is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::quarantine::Subject;
    ///
    /// assert_eq!(Subject::of_parts(&[1, 2]).keys().count(), 2);
    /// ```
    pub fn of_parts(parts: &[u64]) -> Self {
        Self {
            parts: parts.to_vec(),
            content: None,
        }
    }

    /// Returns the keys of the parts and of the content, each with its depth.
    pub fn keys(&self) -> impl Iterator<Item = (u64, u8)> + '_ {
        let parts = self.parts.iter().zip(0u8..CONTENT_DEPTH);
        let parts = parts.map(|(part, depth)| (*part, depth));
        parts.chain(self.content.map(|content| (content, CONTENT_DEPTH)))
    }
}

/// Returns the digest of a request's content, equal on all gateways: what its caller sent, without the headers that
/// differ from one repeat to the next. `parts` are all parts of its prompt, as far as its headers state them, and `body` is
/// in segments.
///
/// # Examples
///
/// ```
/// use sardinemux_core::quarantine::content_id;
///
/// let id = |body: [&[u8]; 2]| content_id("POST", "/chat?a=b", "org", &[1, 2], body.into_iter());
/// assert_eq!(id([b"x", b"y"]), id([b"xy", b""]));
/// assert_ne!(id([b"x", b"y"]), id([b"x", b"x"]));
/// ```
pub fn content_id<'a>(
    method: &str,
    path: &str,
    caller: &str,
    parts: &[u64],
    body: impl Iterator<Item = &'a [u8]> + Clone,
) -> u64 {
    let parts: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    let (method, path, caller) = (method.as_bytes(), path.as_bytes(), caller.as_bytes());
    crate::hash::digest_segments(&[b"content", method, path, caller, &parts], body)
}

/// How strongly a request is suspected of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspicion {
    /// The target had not begun to answer; the request may have been waiting. Half a crash.
    Waiting,
    /// The target had begun to answer.
    Begun,
    /// Not any more: an answer to an equal one went on past its beginning after the crash.
    Refuted,
}

impl Suspicion {
    fn weight(self) -> f64 {
        match self {
            Self::Waiting => 0.5,
            Self::Begun => 1.0,
            Self::Refuted => 0.0,
        }
    }
}

/// One crash of which a part is accused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Accusation {
    pub(crate) at_ms: u64,
    pub(crate) suspicion: Suspicion,
}

/// The hold of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    /// When the part was held or last tried.
    pub(crate) since_ms: u64,
    /// The number of trials so far.
    pub(crate) trials: u8,
}

/// The evidence against one part or content.
#[derive(Clone, Debug, Default)]
pub(crate) struct Case {
    /// The accusations by crash, see [`crash_id`]. A refuted one is kept, so that it is not taken from another gateway
    /// again.
    pub(crate) accusations: IndexMap<u64, Accusation>,
    /// The position of the part in its prompts. Deeper parts are shared by fewer requests.
    pub(crate) depth: u8,
    pub(crate) hold: Option<Hold>,
    /// Whether other gateways may know the accusations.
    pub(crate) is_announced: bool,
}

impl Case {
    /// Returns whether this is the case of a content.
    pub(crate) fn is_content(&self) -> bool {
        self.depth == CONTENT_DEPTH
    }

    /// Returns the accusations that are not refuted, by crash.
    pub(crate) fn open(&self) -> impl Iterator<Item = (u64, Accusation)> + '_ {
        let all = self.accusations.iter().map(|(crash, it)| (*crash, *it));
        all.filter(|(_, it)| it.suspicion != Suspicion::Refuted)
    }

    /// Returns whether an accusation is refuted.
    pub(crate) fn has_refuted(&self) -> bool {
        let mut all = self.accusations.values();
        all.any(|it| it.suspicion == Suspicion::Refuted)
    }
}

/// The evidence of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Register {
    pub(crate) settings: Settings,
    pub(crate) cases: IndexMap<u64, Case>,
    /// When each part was last cleared.
    pub(crate) clearances: IndexMap<u64, u64>,
}

impl Register {
    /// Creates a register without evidence.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::quarantine::{query, Register, Settings, Subject};
    ///
    /// let register = Register::new(Settings::default());
    /// assert_eq!(query::held_part(&register, &Subject::of_parts(&[1, 2])), None);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }
}

/// The largest number of accusations of one part that are kept, the latest ones.
pub const ACCUSATIONS_MAX: usize = 32;

/// The largest number of accusations in a notice, the latest ones.
pub const NOTICE_ACCUSATIONS_MAX: usize = 8;

/// What one gateway knows of one part or content, with times as ages, since clocks of instances are not compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The id of the part or content.
    pub part: u64,
    /// Its position in prompts, or [`CONTENT_DEPTH`].
    pub depth: u8,
    /// The crashes of which it is accused, with their ages in milliseconds.
    pub accusations: Vec<(u64, u32, Suspicion)>,
    /// The time since it was last cleared, in milliseconds.
    pub cleared_age_ms: Option<u32>,
    /// The time since it was held or last tried, in milliseconds, and the number of trials.
    pub hold: Option<(u32, u8)>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No part of its prompt is held.
    Free,
    /// It is the trial of a held part.
    Trial {
        /// The part.
        part: u64,
    },
    /// A part of its prompt is held.
    Refused {
        /// The part.
        part: u64,
        /// The time until the part is tried next, in milliseconds.
        next_trial_ms: u64,
    },
}

/// The number of gateways that collect the evidence against one content. Most contents are accused of one crash only, so that
/// not all gateways are told of each.
pub const COLLECTORS: usize = 3;

/// The changes of holds that a command has caused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The parts that are held now.
    pub held: Vec<u64>,
    /// The parts that are no longer held.
    pub released: Vec<u64>,
    /// The parts, and the held or released contents, of which something is known that other gateways may not know.
    pub news: Vec<u64>,
    /// The other contents of which the gateways that collect the evidence against them may not know something.
    pub contents: Vec<u64>,
}

/// Returns the id of a crash, equal on all gateways: each lifetime of a target crashes at most once.
pub fn crash_id(target_id: &str, lifetime: u64) -> u64 {
    crate::hash::digest(&[target_id.as_bytes(), &lifetime.to_le_bytes()])
}
