//! The workload profiles of the two members.

use std::time::Duration;

use sardinemux_core::class::Class;
use snafu::OptionExt;

use crate::errors::{Result, WorkloadSnafu};

/// The request that a kind of work sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// A chat with one or more turns.
    Chat {
        /// The number of tokens of the first message.
        first_tokens: u32,
        /// The number of tokens of each further message.
        turn_tokens: u32,
        /// The number of tokens of each answer.
        answer_tokens: u32,
        /// The greatest number of turns.
        turns: u32,
    },
    /// A read-only call of the service.
    Read,
    /// A call of the service that must not be executed more than once.
    Change,
}

/// One kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// The name, by which the report counts completed requests.
    pub name: &'static str,
    /// The request class that callers send in the class header.
    pub class: Class,
    /// The weight of one completed request in the weighted count.
    pub weight: u64,
    /// The weight with which a session draws this kind, relative to the other kinds.
    pub share: u32,
    /// The request that it sends.
    pub call: Call,
}

/// The workload profile of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// The name of the member, which is also that of the workload.
    pub member: &'static str,
    /// The service that its requests call.
    pub service: &'static str,
    /// The mean pause between two requests of a session.
    pub pause_mean: Duration,
    /// One pause in this many, drawn at random, is long: it stands for a user who leaves a chat idle and resumes it.
    pub long_pause_every: u32,
    /// The factor by which a long pause exceeds a usual one.
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

/// A member that books lanes of swimming pools: many short calls, some chats.
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

/// A member that hosts mods: most of its work is chats and long reviews of several turns.
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

/// Returns the workload profile of a name.
///
/// # Errors
///
/// `Error::Workload` if no workload has this name.
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

/// Returns the name of the organisation with the given index. Organisations are ordered by size, the largest first.
pub fn organisation_name(member: &str, index: usize) -> String {
    format!("{member}-{index}")
}

/// Returns the API key that an organisation uses as its bearer token in trials.
pub fn organisation_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}
