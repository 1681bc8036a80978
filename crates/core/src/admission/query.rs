//! What can be asked of a book.

use super::{Controller, Demand, FormerOwner};
use crate::load::{self, Mean};

/// A chat waits no longer than this for the target that holds its cache, in milliseconds: a part of
/// the 980 ms in which the first token is due.
pub const CACHE_WAIT_MAX_MS: u64 = 400;

/// The price of a move, against the time in which a prompt is computed anew.
const MOVE_COST_FACTOR: f64 = 2.0;

/// Returns the most requests that this owner may have in flight on the target.
///
/// A new owner admits nothing until the former one has answered or has stopped for certain: two
/// owners who each kept to a part would overrun a cold target.
pub fn in_flight_limit(controller: &Controller, mean: Mean) -> u32 {
    if is_former_unanswered(controller) {
        return 0;
    }
    let bound = load::request_bound(controller.settings.load_multiple, mean);
    let target_limit = controller.slots.min(controller.warmup.limit()).min(bound);
    target_limit.saturating_sub(others_in_flight(controller))
}

fn is_former_unanswered(controller: &Controller) -> bool {
    matches!(controller.former_owner, FormerOwner::Unanswered { .. })
}

/// Returns the requests that others may have in flight on the target: the larger of what the
/// former owner's figure and the target's own report show.
///
/// The report alone gives two bounds, as it lags: it is held against the most that this owner had in
/// flight lately to find what cannot be its own, and, while a former owner fades, against the least to
/// find what may not be.
pub fn others_in_flight(controller: &Controller) -> u32 {
    let by_former_owner = match controller.former_owner {
        FormerOwner::Answered { running } => running,
        FormerOwner::Draining { running_max, .. } => running_max,
        FormerOwner::None | FormerOwner::Unanswered { .. } => 0,
    };
    by_former_owner.max(controller.foreign_running)
}

/// Returns whether a request may run at once.
pub fn has_room(controller: &Controller, demand: &Demand, mean: Mean) -> bool {
    is_below_limit(controller, mean)
        && controller.queue.is_empty()
        && is_within_token_bound(controller, demand.tokens, mean)
}

/// Returns whether one more request keeps to the limit.
pub(crate) fn is_below_limit(controller: &Controller, mean: Mean) -> bool {
    !controller.is_closed && in_flight(controller) < in_flight_limit(controller, mean)
}

fn is_within_token_bound(controller: &Controller, tokens: u64, mean: Mean) -> bool {
    tokens == 0
        || load::allows_tokens(
            controller.settings.load_multiple,
            mean,
            controller.running_tokens,
        )
}

/// Returns the requests that this owner has in flight on the target.
pub fn in_flight(controller: &Controller) -> u32 {
    controller.running.len() as u32
}

/// Returns the estimated tokens in flight.
pub fn tokens_in_flight(controller: &Controller) -> u64 {
    controller.running_tokens
}

/// Returns how long a chat should wait for the target that holds its cache, in milliseconds: a multiple
/// of the time in which another target would compute its prompt anew.
///
/// Waiting up to the price of giving up costs at most twice the better choice, whatever comes; see
/// Karlin, Manasse, Rudolph and Sleator, "Competitive snoopy caching", Algorithmica 3, 1988. The price
/// is counted twice, as a move also takes the other target's time from its other chats.
pub fn cache_wait_ms(controller: &Controller, tokens: u64) -> u64 {
    (MOVE_COST_FACTOR * controller.warmup.prefill_ms(tokens)).min(CACHE_WAIT_MAX_MS as f64) as u64
}

/// Returns whether one more request may wait without another one being shed.
pub fn has_queue_room(controller: &Controller) -> bool {
    !controller.is_closed && controller.queue.len() < controller.settings.queue_max
}

/// Returns the number of requests that wait.
pub fn queue_length(controller: &Controller) -> usize {
    controller.queue.len()
}

/// Returns whether the target has served this chat lately.
pub fn has_chat(controller: &Controller, chat: u64) -> bool {
    controller.chats.contains(chat)
}

/// Returns the requests that the target is known to bear.
pub fn warmup_limit(controller: &Controller) -> u32 {
    controller.warmup.limit()
}

/// Returns whether the former owner still has to be asked.
pub fn has_active_former(controller: &Controller) -> bool {
    matches!(
        controller.former_owner,
        FormerOwner::Unanswered { .. } | FormerOwner::Answered { .. }
    )
}

/// Returns whether the former owner has answered.
pub fn has_former_answer(controller: &Controller) -> bool {
    matches!(controller.former_owner, FormerOwner::Answered { .. })
}

/// Returns whether the book takes no new work.
pub fn is_closed(controller: &Controller) -> bool {
    controller.is_closed
}

/// Returns the chats that the target has served lately, newest first, at most `limit` of them.
pub fn recent_chats(controller: &Controller, limit: usize) -> Vec<u64> {
    controller.chats.iter().rev().take(limit).collect()
}
