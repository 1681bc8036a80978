//! What changes a book.

use super::{query, Book, Demand, Former, Report};
use crate::fairness::{Item, Ticket};
use crate::heat::Evidence;
use crate::load::Mean;
use crate::outcome::Reason;

/// What became of a request that was offered with permission to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    /// It runs.
    Runs(Ticket),
    /// It waits.
    Waits(Ticket),
    /// It waits, and the work named second was shed for it.
    Displaces(Ticket, Ticket),
}

/// Admits a request if there is room at once.
///
/// # Errors
///
/// `Reason::Leaving` if the book is closed, `Reason::Full` if there is no room.
///
/// # Examples
///
/// ```
/// use sardinemux_core::book::{command, Book, Demand, Settings};
/// use sardinemux_core::class::Class;
/// use sardinemux_core::fairness::Flow;
/// use sardinemux_core::load::Mean;
/// use sardinemux_core::outcome::Reason;
///
/// let mut book = Book::new(Settings::default(), 8);
/// let flow = Flow { member: "m".into(), organisation: "o".into(), weight: 1.0, class: Class::Chat };
/// let demand = Demand { flow, tokens: 10 };
/// let mean = Mean { requests: 4.0, tokens: 100.0 };
/// assert!(command::admit(&mut book, &demand, mean).is_ok());
/// assert!(command::admit(&mut book, &demand, mean).is_ok());
/// assert_eq!(command::admit(&mut book, &demand, mean), Err(Reason::Full));
/// ```
pub fn admit(book: &mut Book, demand: &Demand, mean: Mean) -> Result<Ticket, Reason> {
    if book.is_closed {
        return Err(Reason::Leaving);
    }
    if !query::has_room(book, demand, mean) {
        return Err(Reason::Full);
    }
    let ticket = next_ticket(book);
    start(book, ticket, demand.tokens);
    Ok(ticket)
}

/// Admits a request, or lets it wait.
///
/// # Errors
///
/// `Reason::Leaving` if the book is closed, `Reason::Shed` if the queue is full and no other
/// organisation waits with more work for its weight.
pub fn enter(book: &mut Book, demand: Demand, mean: Mean) -> Result<Entrance, Reason> {
    match admit(book, &demand, mean) {
        Ok(ticket) => return Ok(Entrance::Runs(ticket)),
        Err(Reason::Full) => {}
        Err(reason) => return Err(reason),
    }
    let mut displaced = None;
    if book.queue.len() >= book.settings.queue_max {
        let item = book.queue.shed(&demand.flow).ok_or(Reason::Shed)?;
        book.waiting.swap_remove(&item.ticket);
        displaced = Some(item.ticket);
    }
    let ticket = next_ticket(book);
    let tokens = demand.tokens;
    book.queue.push(&demand.flow, Item { ticket, tokens });
    book.waiting.insert(ticket, demand);
    match displaced {
        Some(other) => Ok(Entrance::Displaces(ticket, other)),
        None => Ok(Entrance::Waits(ticket)),
    }
}

fn next_ticket(book: &mut Book) -> Ticket {
    book.next_ticket += 1;
    Ticket(book.next_ticket)
}

fn start(book: &mut Book, ticket: Ticket, tokens: u64) {
    book.running.insert(ticket, tokens);
    book.tokens += tokens;
    book.peak = book.peak.max(book.running.len() as u32);
}

/// Starts the waiting request whose turn it is, if there is room.
pub fn start_next(book: &mut Book, mean: Mean) -> Option<Ticket> {
    if !query::fits(book, mean) {
        return None;
    }
    let item = book.queue.pop()?;
    book.waiting.swap_remove(&item.ticket);
    start(book, item.ticket, item.tokens);
    Some(item.ticket)
}

/// Takes a request out of the queue, as its deadline has passed or its caller has left.
pub fn withdraw(book: &mut Book, ticket: Ticket) -> bool {
    book.waiting.swap_remove(&ticket);
    book.queue.remove(ticket).is_some()
}

/// Notes that a request has ended and what it tells of the target.
pub fn finish(book: &mut Book, ticket: Ticket, evidence: Evidence) {
    if let Some(tokens) = book.running.swap_remove(&ticket) {
        book.tokens -= tokens;
    }
    book.trough = book.trough.min(book.running.len() as u32);
    book.heat.observe(evidence);
}

/// Notes that the target holds the cache of a chat.
pub fn note_chat(book: &mut Book, chat: u64) {
    book.chats.put(chat);
}

/// Notes that the target has dropped the cache of a chat.
pub fn forget_chat(book: &mut Book, chat: u64) {
    book.chats.remove(chat);
}

/// Takes in the target's lagging report.
///
/// The first report also shows what the target bears, so that a new owner of a warm target does not
/// treat it as cold.
pub fn note_report(book: &mut Book, report: Report, now_ms: u64) {
    if book.report.is_none() {
        book.heat.raise_to(report.running);
    }
    note_incarnation(book, report.incarnation);
    book.report = Some(report);
    let most = book.peak.max(book.earlier_peak);
    let least = book.trough.min(book.earlier_trough);
    book.foreign = report.running.saturating_sub(most);
    fade(book, report.running.saturating_sub(least), now_ms);
    let own = book.running.len() as u32;
    (book.earlier_peak, book.peak) = (book.peak, own);
    (book.earlier_trough, book.trough) = (book.trough, own);
}

/// A former owner that has stopped leaves ever less behind; a report bounds it once the report was
/// measured after the stop.
fn fade(book: &mut Book, most: u32, now_ms: u64) {
    let Former::Fading { left, since_ms } = book.former else {
        return;
    };
    if now_ms.saturating_sub(since_ms) < book.settings.report_lag_ms {
        return;
    }
    let left = left.min(most);
    book.former = match left {
        0 => Former::None,
        _ => Former::Fading { left, since_ms },
    };
}

/// Notes which incarnation of the target answered; a new one is cold and has no cache.
pub fn note_incarnation(book: &mut Book, incarnation: u64) {
    let known = book.report.map(|report| report.incarnation);
    if known.is_some_and(|known| known != incarnation) {
        book.chats.clear();
    }
    book.heat.note_incarnation(incarnation);
}

/// Notes that the target refused a connection or cut one: it counts as cold.
pub fn note_lost(book: &mut Book) {
    book.heat.reset();
}

/// Takes the target over from an owner that may still have work in flight.
pub fn take_over(book: &mut Book, now_ms: u64) {
    book.former = Former::Silent { since_ms: now_ms };
}

/// Notes that the former owner's process is gone: its connections to the target are closed, and the
/// target has cancelled their work.
pub fn note_former_gone(book: &mut Book) {
    book.former = Former::None;
}

/// Takes in the former owner's answer: what it still has in flight and what the target bears.
/// It has stopped sending, as the question told it of this owner.
pub fn note_former(book: &mut Book, running: u32, borne: u32) {
    book.heat.raise_to(borne);
    book.former = match running {
        0 => Former::None,
        _ => Former::Answered { running },
    };
}

/// Gives up on a former owner's answer once the take-over time has passed: it has stopped by then,
/// though its work may go on.
pub fn age_former(book: &mut Book, now_ms: u64) {
    let Former::Silent { since_ms } = book.former else {
        return;
    };
    if now_ms.saturating_sub(since_ms) < book.settings.takeover_ms {
        return;
    }
    book.former = match book.settings.has_reports {
        true => Former::Fading {
            left: book.slots,
            since_ms: now_ms,
        },
        false => Former::None,
    };
}

/// Closes the book to new work and returns the waiting requests, which can go elsewhere.
pub fn close(book: &mut Book) -> Vec<Ticket> {
    book.is_closed = true;
    book.waiting.clear();
    book.queue.clear()
}

/// Opens the book again, cold: what it knew of the target may no longer hold.
pub fn open(book: &mut Book) {
    if book.is_closed {
        book.is_closed = false;
        book.heat.reset();
    }
}

/// Takes in changed limits.
pub fn set_limits(book: &mut Book, settings: super::Settings) {
    book.settings = settings;
}
