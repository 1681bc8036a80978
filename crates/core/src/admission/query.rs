//! Queries on the admission state of a target.

use super::{Controller, Demand, FormerOwner};
use crate::load::{self, Mean};

/// The longest time for which a chat waits for the target that holds its cached prompt prefix, in milliseconds. It
/// takes up only part of the 980 ms within which the first token is due.
pub const CACHE_WAIT_MAX_MS: u64 = 400;

/// The cost of moving a chat to another target, as a multiple of the time in which its prompt is computed anew.
const MOVE_COST_FACTOR: f64 = 2.0;

/// Returns the greatest number of requests that this owner may have in flight on the target.
///
/// A new owner admits nothing until the former one has answered or has certainly stopped sending: two owners that
/// each kept to a share of the limit would overload a cold target.
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

/// Returns the number of requests that other routers may have in flight on the target: the larger of the former
/// owner's figure and the number that the target's load report shows.
///
/// Because a report lags, it gives two bounds. Less the greatest number that this owner lately had in flight, it
/// shows the requests that are certainly not this owner's; less the smallest number, those that may not be, which
/// bounds what is left of a former owner that has stopped.
pub fn others_in_flight(controller: &Controller) -> u32 {
    let by_former_owner = match controller.former_owner {
        FormerOwner::Answered { running } => running,
        FormerOwner::Draining { running_max, .. } => running_max,
        FormerOwner::None | FormerOwner::Unanswered { .. } => 0,
    };
    by_former_owner.max(controller.foreign_running)
}

/// Returns whether a request may start at once.
pub fn has_room(controller: &Controller, demand: &Demand, mean: Mean) -> bool {
    is_below_limit(controller, mean)
        && controller.queue.is_empty()
        && is_within_token_bound(controller, demand.tokens, mean)
}

/// Returns whether the controller is open and one more request stays within the limit.
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

/// Returns the number of requests that this owner has in flight on the target.
pub fn in_flight(controller: &Controller) -> u32 {
    controller.running.len() as u32
}

/// Returns the estimated tokens of the requests in flight.
pub fn tokens_in_flight(controller: &Controller) -> u64 {
    controller.running_tokens
}

/// Returns how long a chat of `tokens` tokens should wait for the target that holds its cached prefix, in
/// milliseconds: a multiple of the time in which another target would compute the prompt anew, at most
/// [`CACHE_WAIT_MAX_MS`].
///
/// Waiting for as long as the alternative costs is at most twice as expensive as the better choice in hindsight; see
/// Karlin, Manasse, Rudolph and Sleator, "Competitive snoopy caching", Algorithmica 3, 1988. The cost is counted
/// twice, because a move also takes the other target's time from its other chats.
pub fn cache_wait_ms(controller: &Controller, tokens: u64) -> u64 {
    (MOVE_COST_FACTOR * controller.warmup.prefill_ms(tokens)).min(CACHE_WAIT_MAX_MS as f64) as u64
}

/// Returns whether one more request can be queued without shedding another one.
pub fn has_queue_room(controller: &Controller) -> bool {
    !controller.is_closed && controller.queue.len() < controller.settings.queue_max
}

/// Returns the number of waiting requests.
pub fn queue_length(controller: &Controller) -> usize {
    controller.queue.len()
}

/// Returns whether the target has served this chat lately, and so probably has its prompt prefix cached.
pub fn has_chat(controller: &Controller, chat: u64) -> bool {
    controller.chats.contains(chat)
}

/// Returns the number of concurrent requests that the target handles in its present warm-up state.
pub fn warmup_limit(controller: &Controller) -> u32 {
    controller.warmup.limit()
}

/// Returns whether the former owner still has to be queried: it has not answered, or its requests still run.
pub fn has_active_former(controller: &Controller) -> bool {
    matches!(
        controller.former_owner,
        FormerOwner::Unanswered { .. } | FormerOwner::Answered { .. }
    )
}

/// Returns whether the former owner has answered and its requests still run.
pub fn has_former_answer(controller: &Controller) -> bool {
    matches!(controller.former_owner, FormerOwner::Answered { .. })
}

/// Returns whether the controller admits no requests.
pub fn is_closed(controller: &Controller) -> bool {
    controller.is_closed
}

/// Returns at most `limit` of the chats that the target has served lately, newest first.
pub fn recent_chats(controller: &Controller, limit: usize) -> Vec<u64> {
    controller.chats.iter().rev().take(limit).collect()
}
