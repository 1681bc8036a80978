//! The workloads of the two members, as tables.

use std::time::Duration;

use sardinemux_core::class::Class;
use snafu::OptionExt;

use crate::errors::{Result, WorkloadSnafu};

/// What a kind of work calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// A chat of several turns.
    Chat {
        /// The tokens of the first message.
        first_tokens: u32,
        /// The tokens of each further message.
        turn_tokens: u32,
        /// The tokens of each answer.
        answer_tokens: u32,
        /// The most turns.
        turns: u32,
    },
    /// A call of the service that only reads.
    Read,
    /// A call of the service that must not be repeated.
    Change,
}

/// One kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// The class that callers state.
    pub class: Class,
    /// What one completed request counts.
    pub weight: u64,
    /// Its share of the sessions, against the other kinds.
    pub share: u32,
    /// What it calls.
    pub call: Call,
}

/// The workload of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// The member.
    pub member: &'static str,
    /// The service that it calls.
    pub service: &'static str,
    /// The mean pause between two requests of a session.
    pub pause_mean: Duration,
    /// One pause in this many is long: the chat goes quiet and comes back.
    pub long_pause_every: u32,
    /// How much longer a long pause is.
    pub long_pause_factor: u32,
    /// The kinds of work.
    pub kinds: [Kind; 5],
}

const fn chat(first_tokens: u32, turn_tokens: u32, answer_tokens: u32, turns: u32) -> Call {
    Call::Chat {
        first_tokens,
        turn_tokens,
        answer_tokens,
        turns,
    }
}

const fn kind(name: &'static str, class: Class, weight: u64, share: u32, call: Call) -> Kind {
    Kind {
        name,
        class,
        weight,
        share,
        call,
    }
}

/// Lane booking for swimming pools: many short calls, some chats.
pub const COULOIR: Profile = Profile {
    member: "couloir",
    service: "booking",
    pause_mean: Duration::from_millis(900),
    long_pause_every: 10,
    long_pause_factor: 4,
    kinds: [
        kind("booking", Class::Transaction, 5, 15, Call::Change),
        kind("availability", Class::Lookup, 3, 25, Call::Read),
        kind("chat", Class::Chat, 2, 35, chat(240, 40, 32, 8)),
        kind("slots", Class::Suggestion, 1, 15, chat(120, 20, 12, 2)),
        kind("season", Class::Review, 2, 10, chat(800, 60, 64, 6)),
    ],
};

/// Mod hosting: long returning reviews and chats are the bulk.
pub const LAKESHORE: Profile = Profile {
    member: "lakeshore",
    service: "catalogue",
    pause_mean: Duration::from_millis(900),
    long_pause_every: 8,
    long_pause_factor: 5,
    kinds: [
        kind("publish", Class::Transaction, 5, 8, Call::Change),
        kind("library", Class::Lookup, 2, 17, Call::Read),
        kind("chat", Class::Chat, 3, 40, chat(300, 40, 32, 10)),
        kind("tags", Class::Suggestion, 1, 10, chat(120, 20, 12, 2)),
        kind("review", Class::Review, 3, 25, chat(1_000, 80, 64, 8)),
    ],
};

/// Returns the workload of a name.
///
/// # Errors
///
/// `Error::Workload` if there is none.
///
/// # Examples
///
/// ```
/// use sardinemux_load::profile;
///
/// assert_eq!(profile::find("couloir").map(|profile| profile.service).ok(), Some("booking"));
/// assert!(profile::find("other").is_err());
/// ```
pub fn find(name: &str) -> Result<Profile> {
    [COULOIR, LAKESHORE]
        .into_iter()
        .find(|profile| profile.member == name)
        .context(WorkloadSnafu { name })
}

/// Returns the name of an organisation; the first ones are the largest.
pub fn organisation_name(member: &str, index: usize) -> String {
    format!("{member}-{index}")
}

/// Returns the bearer key of an organisation in trials.
pub fn organisation_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}
