//! The placement of chats: a ranked list of targets, computed without coordination between routers.
//!
//! Every router that accepts requests computes the same order for the same chat and list of targets.
//! For a chat with earlier turns, the first [`SEARCH_WIDTH`] ranks are searched for a target that
//! has served it. A new chat goes to the least loaded of the first [`SPREAD_WIDTH`] ranks, which
//! stays within the search width even after two availability zones have come back.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::hash;
use crate::target::{Key, Target};

/// The number of ranks that are searched for a target that has served a returning chat.
pub const SEARCH_WIDTH: usize = 4;

/// The number of ranks from which the least loaded target is chosen for a new chat.
pub const SPREAD_WIDTH: usize = 2;

/// The number of ranks at which a request may be queued: the load of other routers' targets is known late, so that a queue may
/// be full while others are not.
pub const QUEUE_WIDTH: usize = 3;

/// A target with its score for one chat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// The target.
    pub key: Key,
    /// The score of weighted rendezvous hashing; larger is better.
    pub score: f64,
}

/// Returns the targets with the highest scores for a chat, best first: at most `width` of them, or
/// all if `width` is zero.
///
/// Takes one pass over the targets and a partial sort, so for a fixed `width` the cost is linear in
/// the number of targets.
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
///         build: "v1".into(),
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
/// New chats thus fill an availability zone that has come back, while active chats stay on their
/// targets.
pub fn prefer_least_loaded(ranks: &mut [Rank], load: impl Fn(Key) -> f64) {
    let width = ranks.len().min(SPREAD_WIDTH);
    let least_loaded = (0..width).min_by(|left, right| {
        let left = load(ranks[*left].key);
        let right = load(ranks[*right].key);
        left.total_cmp(&right)
    });
    if let Some(index) = least_loaded {
        ranks[..=index].rotate_right(1);
    }
}

/// Moves the hinted target to the front, or inserts it there if it is not ranked. The caller checks
/// that it is eligible.
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

/// The condition on which a request is offered to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Offer {
    /// Runs or briefly queues the request, only if the target has served the chat recently.
    IfFamiliar,
    /// Runs the request only if the target has capacity at once.
    IfRoom,
    /// Runs the request, or queues it until the target has capacity.
    OrQueue,
}

/// One attempt in the plan of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The target.
    pub key: Key,
    /// The condition on which the request is offered to it.
    pub offer: Offer,
}

/// Returns the order in which a request is offered to its ranked targets.
///
/// The request of a returning chat is first offered to the first [`SEARCH_WIDTH`] ranks, on the
/// condition that the target has served the chat. Then it is offered to all ranks, on the condition
/// that the target has capacity at once. Last, it is queued at the best target or, if its queue is full, at one of
/// the next ones, within the first [`QUEUE_WIDTH`] ranks.
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
pub fn plan(ranks: &[Rank], is_returning: bool) -> Vec<Step> {
    let mut steps = Vec::with_capacity(SEARCH_WIDTH + ranks.len() + QUEUE_WIDTH);
    if is_returning {
        steps.extend(ranks.iter().take(SEARCH_WIDTH).map(|rank| Step {
            key: rank.key,
            offer: Offer::IfFamiliar,
        }));
    }
    steps.extend(ranks.iter().map(|rank| Step {
        key: rank.key,
        offer: Offer::IfRoom,
    }));
    steps.extend(ranks.iter().take(QUEUE_WIDTH).map(|rank| Step {
        key: rank.key,
        offer: Offer::OrQueue,
    }));
    steps
}

/// Returns the hash that identifies a chat: of the caller's own key if there is one, else of the
/// opening of the chat.
///
/// The organisation is part of the hash, so that no caller can produce the key of another
/// organisation's chat.
pub fn chat_key(organisation: &SmolStr, caller_key: Option<&str>, opening: &str) -> u64 {
    match caller_key {
        Some(key) => hash::digest(&[organisation.as_bytes(), b"stated", key.as_bytes()]),
        None => hash::digest(&[organisation.as_bytes(), b"opening", opening.as_bytes()]),
    }
}
