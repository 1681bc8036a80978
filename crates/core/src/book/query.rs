//! What can be asked of a book.

use super::{Book, Demand, Former};
use crate::load::{self, Mean};

/// A new owner that got no answer takes at most one `TAKEOVER_PART`th of the limit.
pub const TAKEOVER_PART: u32 = 4;

/// Returns the most requests that this owner may have in flight on the target.
pub fn limit(book: &Book, mean: Mean, now_ms: u64) -> u32 {
    let bound = load::request_bound(book.settings.load_multiple, mean);
    let whole = book.slots.min(book.heat.limit()).min(bound);
    let rest = whole.saturating_sub(others(book, now_ms));
    match is_taking_over(book, now_ms) {
        true => rest.min((whole / TAKEOVER_PART).max(1)),
        false => rest,
    }
}

fn is_taking_over(book: &Book, now_ms: u64) -> bool {
    match book.former {
        Former::Silent { since_ms, .. } => {
            now_ms.saturating_sub(since_ms) < book.settings.takeover_ms
        }
        _ => false,
    }
}

/// Returns the requests that others may have in flight on the target: the larger of what the
/// former owner's figure and the target's own report show.
pub fn others(book: &Book, now_ms: u64) -> u32 {
    let former = match book.former {
        Former::None => 0,
        Former::Silent { last_known, .. } if is_taking_over(book, now_ms) => last_known,
        Former::Silent { .. } => 0,
        Former::Answered { running } => running,
    };
    former.max(witnessed(book))
}

/// Returns the requests on the target's report that cannot be this owner's own.
///
/// The report lags, so it is held against the most that this owner had in flight since the
/// report before the last.
fn witnessed(book: &Book) -> u32 {
    let own = book.peak.max(book.earlier_peak);
    book.report
        .map_or(0, |report| report.running.saturating_sub(own))
}

/// Returns whether a request may run at once.
pub fn has_room(book: &Book, demand: &Demand, mean: Mean, now_ms: u64) -> bool {
    fits(book, mean, now_ms) && book.queue.is_empty() && demand_fits(book, demand.tokens, mean)
}

/// Returns whether one more request keeps to the limit.
pub(crate) fn fits(book: &Book, mean: Mean, now_ms: u64) -> bool {
    !book.is_closed && in_flight(book) < limit(book, mean, now_ms)
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
    book.former != Former::None
}

/// Returns whether the book takes no new work.
pub fn is_closed(book: &Book) -> bool {
    book.is_closed
}

/// Returns the chats that the target has served lately, newest first, at most `limit` of them.
pub fn recent_chats(book: &Book, limit: usize) -> Vec<u64> {
    book.chats.iter().rev().take(limit).collect()
}
