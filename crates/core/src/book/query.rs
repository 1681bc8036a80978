//! What can be asked of a book.

use super::{Book, Demand, Former};
use crate::load::{self, Mean};

/// A chat waits no longer than this for the target that holds its cache, in milliseconds: a part of
/// the 980 ms in which the first token is due.
pub const FAMILIAR_WAIT_MAX_MS: u64 = 400;

/// The price of a move, against the time in which a prompt is computed anew.
const WAIT_FACTOR: f64 = 2.0;

/// Returns the most requests that this owner may have in flight on the target.
///
/// A new owner admits nothing until the former one has answered or has stopped for certain: two
/// owners who each kept to a part would overrun a cold target.
pub fn limit(book: &Book, mean: Mean) -> u32 {
    if is_taking_over(book) {
        return 0;
    }
    let bound = load::request_bound(book.settings.load_multiple, mean);
    let whole = book.slots.min(book.heat.limit()).min(bound);
    whole.saturating_sub(others(book))
}

fn is_taking_over(book: &Book) -> bool {
    matches!(book.former, Former::Silent { .. })
}

/// Returns the requests that others may have in flight on the target: the larger of what the
/// former owner's figure and the target's own report show.
///
/// The report alone gives two bounds, as it lags: it is held against the most that this owner had in
/// flight lately to find what cannot be its own, and, while a former owner fades, against the least to
/// find what may not be.
pub fn others(book: &Book) -> u32 {
    let former = match book.former {
        Former::Answered { running } => running,
        Former::Fading { left, .. } => left,
        Former::None | Former::Silent { .. } => 0,
    };
    former.max(book.foreign)
}

/// Returns whether a request may run at once.
pub fn has_room(book: &Book, demand: &Demand, mean: Mean) -> bool {
    fits(book, mean) && book.queue.is_empty() && demand_fits(book, demand.tokens, mean)
}

/// Returns whether one more request keeps to the limit.
pub(crate) fn fits(book: &Book, mean: Mean) -> bool {
    !book.is_closed && in_flight(book) < limit(book, mean)
}

fn demand_fits(book: &Book, tokens: u64, mean: Mean) -> bool {
    tokens == 0 || load::allows_tokens(book.settings.load_multiple, mean, book.tokens)
}

/// Returns the requests that this owner has in flight on the target.
pub fn in_flight(book: &Book) -> u32 {
    book.running.len() as u32
}

/// Returns the estimated tokens in flight.
pub fn tokens(book: &Book) -> u64 {
    book.tokens
}

/// Returns how long a chat should wait for the target that holds its cache, in milliseconds: a multiple
/// of the time in which another target would compute its prompt anew.
///
/// Waiting up to the price of giving up costs at most twice the better choice, whatever comes; see
/// Karlin, Manasse, Rudolph and Sleator, "Competitive snoopy caching", Algorithmica 3, 1988. The price
/// is counted twice, as a move also takes the other target's time from its other chats.
pub fn worthwhile_wait_ms(book: &Book, tokens: u64) -> u64 {
    (WAIT_FACTOR * book.heat.compute_ms(tokens)).min(FAMILIAR_WAIT_MAX_MS as f64) as u64
}

/// Returns whether one more request may wait without another one being shed.
pub fn has_queue_room(book: &Book) -> bool {
    !book.is_closed && book.queue.len() < book.settings.queue_max
}

/// Returns the number of requests that wait.
pub fn queue_length(book: &Book) -> usize {
    book.queue.len()
}

/// Returns whether the target has served this chat lately.
pub fn is_familiar(book: &Book, chat: u64) -> bool {
    book.chats.contains(chat)
}

/// Returns the requests that the target is known to bear.
pub fn borne(book: &Book) -> u32 {
    book.heat.limit()
}

/// Returns whether the former owner still has to be asked.
pub fn awaits_former(book: &Book) -> bool {
    matches!(book.former, Former::Silent { .. } | Former::Answered { .. })
}

/// Returns whether the former owner has answered.
pub fn has_answer(book: &Book) -> bool {
    matches!(book.former, Former::Answered { .. })
}

/// Returns whether the book takes no new work.
pub fn is_closed(book: &Book) -> bool {
    book.is_closed
}

/// Returns the chats that the target has served lately, newest first, at most `limit` of them.
pub fn recent_chats(book: &Book, limit: usize) -> Vec<u64> {
    book.chats.iter().rev().take(limit).collect()
}
