//! Where a chat's work should go: a ranked list of targets, found without any message.
//!
//! Every entry computes the same order for the same chat and list of targets. A chat whose turn
//! is not its first is looked for among the first [`SEARCH_WIDTH`] ranks; a new chat takes the least
//! loaded of the first [`SPREAD_WIDTH`], which is within the search width even after two zones
//! have come back.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::hash;
use crate::target::{Key, Target};

/// The number of ranks at which an entry looks for the cache of a returning chat.
pub const SEARCH_WIDTH: usize = 4;

/// The number of ranks among which a new chat takes the least loaded.
pub const SPREAD_WIDTH: usize = 2;

/// A target with its place in the order of one chat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// The target.
    pub key: Key,
    /// The score of weighted rendezvous hashing; larger is better.
    pub score: f64,
}

/// Returns the best targets for a chat, best first, at most `width` of them.
///
/// One pass over the targets and a partial sort: linear in the number of targets of the pool.
///
/// # Examples
///
/// ```
/// use sardinemux_core::placement;
/// use sardinemux_core::target::{Kind, Table, Target};
///
/// let mut table = Table::default();
/// for index in 0..4 {
///     table.put(Target {
///         id: format!("e{index}").into(),
///         kind: Kind::Engine,
///         pool: "model".into(),
///         address: "127.0.0.1:1".into(),
///         zone: "z1".into(),
///         region: "r1".into(),
///         slots: 8,
///         leaving: false,
///     });
/// }
/// let ranks = placement::rank(42, table.iter_pool("model"), 2);
/// assert_eq!(ranks.len(), 2);
/// assert!(ranks[0].score >= ranks[1].score);
/// ```
pub fn rank<'a>(
    chat: u64,
    targets: impl Iterator<Item = (Key, &'a Target)>,
    width: usize,
) -> Vec<Rank> {
    let chat = chat.to_le_bytes();
    let mut ranks: Vec<Rank> = targets
        .map(|(key, target)| Rank {
            key,
            score: hash::rendezvous_score(
                hash::digest(&[&chat, target.id.as_bytes()]),
                f64::from(target.slots.max(1)),
            ),
        })
        .collect();
    let by_score = |left: &Rank, right: &Rank| right.score.total_cmp(&left.score);
    if width > 0 && ranks.len() > width {
        ranks.select_nth_unstable_by(width - 1, by_score);
        ranks.truncate(width);
    }
    ranks.sort_by(by_score);
    ranks
}

/// Moves the least loaded of the first [`SPREAD_WIDTH`] ranks to the front, for a new chat.
///
/// This fills a zone that has come back with new chats, and leaves the active ones where they are.
pub fn prefer_least_loaded(ranks: &mut [Rank], load: impl Fn(Key) -> f64) {
    let width = ranks.len().min(SPREAD_WIDTH);
    let idlest = (0..width).min_by(|left, right| {
        let left = load(ranks[*left].key);
        let right = load(ranks[*right].key);
        left.total_cmp(&right)
    });
    if let Some(index) = idlest {
        ranks[..=index].rotate_right(1);
    }
}

/// Moves the target that a hint names to the front, if it is among the eligible ones.
pub fn prefer_hint(ranks: &mut Vec<Rank>, hint: Option<Key>) {
    let Some(key) = hint else { return };
    ranks.retain(|rank| rank.key != key);
    ranks.insert(
        0,
        Rank {
            key,
            score: f64::INFINITY,
        },
    );
}

/// What is asked of a target when a request is offered to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// Run it only if the target has seen the chat lately.
    IfFamiliar,
    /// Run it if there is room at once.
    IfRoom,
    /// Run it, or let it wait in the queue.
    OrQueue,
}

/// One step of a request's plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The target.
    pub key: Key,
    /// How the request is offered to it.
    pub offer: Offer,
}

/// Returns the steps in which a request is offered to its ranked targets.
///
/// A returning chat first looks for a target that knows it. Then room is looked for in rank order.
/// Last, the request waits at the best target.
///
/// # Examples
///
/// ```
/// use sardinemux_core::placement::{self, Offer, Rank};
/// use sardinemux_core::target::Key;
///
/// let ranks = [Rank { key: Key(0), score: 1.0 }];
/// let steps = placement::plan(&ranks, true);
/// assert_eq!(steps.first().map(|step| step.offer), Some(Offer::IfFamiliar));
/// assert_eq!(steps.last().map(|step| step.offer), Some(Offer::OrQueue));
/// ```
pub fn plan(ranks: &[Rank], returning: bool) -> Vec<Step> {
    let mut steps = Vec::with_capacity(2 * SEARCH_WIDTH + 1);
    if returning {
        steps.extend(ranks.iter().take(SEARCH_WIDTH).map(|rank| Step {
            key: rank.key,
            offer: Offer::IfFamiliar,
        }));
    }
    steps.extend(ranks.iter().map(|rank| Step {
        key: rank.key,
        offer: Offer::IfRoom,
    }));
    steps.extend(ranks.first().map(|rank| Step {
        key: rank.key,
        offer: Offer::OrQueue,
    }));
    steps
}

/// Returns the chat key: the caller's own key if there is one, else the opening of the chat.
///
/// The organisation is part of it, so that no caller can aim at another organisation's chats.
pub fn chat_key(organisation: &SmolStr, stated: Option<&str>, opening: &str) -> u64 {
    match stated {
        Some(stated) => hash::digest(&[organisation.as_bytes(), b"stated", stated.as_bytes()]),
        None => hash::digest(&[organisation.as_bytes(), b"opening", opening.as_bytes()]),
    }
}
