//! Changes of a dispatcher: requests, ends, and the passage of time.

use super::{
    Decision, Destination, Dispatcher, End, Granted, Notice, Permit, Request, Ticket,
    OVERDUE_MULTIPLE, OVERDUE_SLACK_MS, TRIP_MS,
};
use crate::collection::Number;

/// The longest time after which a refused caller may return, in milliseconds. Later it has given up.
const RETURN_MAX_MS: u64 = 1_000;

/// The share of the room that is left to callers that return; new ones take the rest.
const RETURN_SHARE: f64 = 0.5;

/// Decides about a request. The first notice is the answer to it; others are for requests that were waiting. A request that is
/// repeated, as an answer was lost, gets the same answer again.
///
/// # Examples
///
/// ```
/// use sardinemux_core::collection::Number;
/// use sardinemux_core::permits::{command, Decision, Dispatcher, Destination, Request, Ticket};
///
/// let request = Request {
///     ticket: Ticket { gateway: "g".into(), number: 1 },
///     route: 1,
///     organisation: "o".into(),
///     priority: 5,
///     zone: "z".into(),
///     content: 7,
///     left_ms: 1_000,
///     objective_ms: 150,
///     avoided: Vec::new(),
/// };
/// let destination = Destination { number: Number(1), zone: "z".into(), slots: 2, reported: 0, is_usable: true };
/// let mut dispatcher = Dispatcher::default();
/// let notices = command::request(&mut dispatcher, request, &[destination], 0);
/// assert_eq!(notices[0].1, Decision::Granted(Number(1)));
/// ```
pub fn request(
    dispatcher: &mut Dispatcher,
    request: Request,
    destinations: &[Destination],
    now_ms: u64,
) -> Vec<Notice> {
    let ticket = request.ticket.clone();
    if let Some(permit) = dispatcher.permits.get(&ticket) {
        return vec![(ticket, Decision::Granted(permit.target))];
    }
    if dispatcher.backlog.contains(&ticket) {
        return vec![(ticket, Decision::Queued)];
    }
    let may_serve = |destination: &&Destination| {
        destination.is_usable && !request.avoided.contains(&destination.number)
    };
    if !destinations
        .iter()
        .any(|destination| may_serve(&destination))
    {
        return vec![(ticket, Decision::Declined)];
    }
    dispatcher.backlog.push(request, now_ms);
    let mut notices = expire(dispatcher, destinations, now_ms);
    let own = notices.iter().position(|(it, _)| *it == ticket);
    match own {
        Some(index) => notices.swap(0, index),
        None => notices.insert(0, (ticket, Decision::Queued)),
    }
    notices
}

/// Takes a permit back, or a waiting request out of the queue. Unknown ones are ignored, as ends may be repeated.
pub fn finish(
    dispatcher: &mut Dispatcher,
    ticket: &Ticket,
    end: End,
    destinations: &[Destination],
    now_ms: u64,
) -> Vec<Notice> {
    dispatcher.backlog.remove(ticket);
    let Some(permit) = release(dispatcher, ticket, now_ms) else {
        return Vec::new();
    };
    match end {
        End::Completed(time_ms) => {
            let (target, route) = (permit.target, permit.route);
            dispatcher
                .timing
                .note(target, route, f64::from(time_ms), now_ms);
        }
        End::Rejected => {
            // The target has more requests than are known here, at least as many as its queue holds; one takes the mean time.
            let pause_ms = dispatcher.timing.time_ms(None) as u64;
            if let Some(granted) = dispatcher.granted.get_mut(&permit.target) {
                granted.full_until_ms = now_ms + pause_ms;
            }
        }
        End::Other => {}
    }
    serve(dispatcher, destinations, now_ms)
}

/// Grants what there is room for, and refuses the waiting requests that cannot be served in time.
pub fn expire(
    dispatcher: &mut Dispatcher,
    destinations: &[Destination],
    now_ms: u64,
) -> Vec<Notice> {
    release_overdue(dispatcher, now_ms);
    let mut notices = refuse_late(dispatcher, destinations, now_ms);
    notices.extend(serve(dispatcher, destinations, now_ms));
    notices
}

/// Refuses the waiting requests that cannot be served in time, also if there is room: they may run for nothing otherwise.
fn refuse_late(
    dispatcher: &mut Dispatcher,
    destinations: &[Destination],
    now_ms: u64,
) -> Vec<Notice> {
    let mut notices = Vec::new();
    if dispatcher.backlog.is_empty() {
        return notices;
    }
    let timing = &dispatcher.timing;
    dispatcher.backlog.demote(
        |request| timing.time_ms(Some(request.route)) as u64 + TRIP_MS,
        now_ms,
    );
    let mut free: f64 = dispatcher.free(destinations).into();
    let per_ms = dispatcher.drain_per_ms(destinations);
    let mut ahead = 0.0;
    let mut late: Vec<(Ticket, u64)> = Vec::new();
    for waiting in dispatcher.backlog.forecast() {
        let wait_ms = match per_ms > 0.0 && free < 1.0 {
            true => ahead / per_ms,
            false => 0.0,
        };
        let time_ms = dispatcher.timing.long_ms(waiting.request.route);
        let end_ms = now_ms as f64 + wait_ms + time_ms + TRIP_MS as f64;
        match end_ms > waiting.deadline_ms as f64 {
            true => late.push((waiting.request.ticket.clone(), waiting.request.content)),
            false if free >= 1.0 => free -= 1.0,
            false => ahead += 1.0,
        }
    }
    for (ticket, content) in late {
        dispatcher.backlog.remove(&ticket);
        dispatcher.backlog.note_refused(content, now_ms);
        let return_ms = next_return(dispatcher, per_ms, now_ms);
        notices.push((ticket, Decision::Refused(return_ms)));
    }
    notices
}

/// Releases the permits of a gateway that has lapsed, and drops its requests.
pub fn forget(
    dispatcher: &mut Dispatcher,
    gateway: &str,
    destinations: &[Destination],
    now_ms: u64,
) -> Vec<Notice> {
    let held = dispatcher
        .permits
        .keys()
        .chain(dispatcher.backlog.iter().map(|it| &it.request.ticket));
    let held = held.filter(|ticket| ticket.gateway == gateway);
    let held: Vec<Ticket> = held.cloned().collect();
    for ticket in &held {
        dispatcher.backlog.remove(ticket);
        release(dispatcher, ticket, now_ms);
    }
    serve(dispatcher, destinations, now_ms)
}

/// Takes all waiting requests out of the queue, so that their gateways ask again.
pub fn dismiss(dispatcher: &mut Dispatcher) -> Vec<Notice> {
    let waiting = dispatcher.backlog.iter();
    let tickets: Vec<Ticket> = waiting.map(|it| it.request.ticket.clone()).collect();
    let notices = tickets.into_iter().map(|ticket| {
        dispatcher.backlog.remove(&ticket);
        (ticket, Decision::Moved)
    });
    notices.collect()
}

/// Grants permits to waiting requests while there is room.
fn serve(dispatcher: &mut Dispatcher, destinations: &[Destination], now_ms: u64) -> Vec<Notice> {
    let mut notices = Vec::new();
    for granted in dispatcher.granted.values_mut() {
        granted.roll(now_ms);
    }
    loop {
        let mut backlog = std::mem::take(&mut dispatcher.backlog);
        let taken = match has_room(dispatcher, destinations, now_ms) {
            true => backlog.take(|request| dispatcher.choose(request, destinations, now_ms)),
            false => None,
        };
        dispatcher.backlog = backlog;
        let Some((waiting, target)) = taken else {
            return notices;
        };
        let ticket = waiting.request.ticket.clone();
        grant(
            dispatcher,
            waiting.request,
            target,
            waiting.deadline_ms,
            now_ms,
        );
        notices.push((ticket, Decision::Granted(target)));
    }
}

fn has_room(dispatcher: &Dispatcher, destinations: &[Destination], now_ms: u64) -> bool {
    let mut usable = destinations
        .iter()
        .filter(|destination| destination.is_usable);
    usable.any(|destination| {
        let known = dispatcher.granted.get(&destination.number);
        known.is_none_or(|it| now_ms >= it.full_until_ms)
            && dispatcher.load(destination) < dispatcher.capacity(destination)
    })
}

fn grant(
    dispatcher: &mut Dispatcher,
    request: Request,
    target: Number,
    expires_ms: u64,
    now_ms: u64,
) {
    let granted = dispatcher.granted.entry(target).or_insert(Granted {
        peak_ms: now_ms,
        ..Granted::default()
    });
    granted.running += 1;
    granted.roll(now_ms);
    let permit = Permit {
        target,
        route: request.route,
        at_ms: now_ms,
        expires_ms,
    };
    dispatcher.permits.insert(request.ticket, permit);
}

fn release(dispatcher: &mut Dispatcher, ticket: &Ticket, now_ms: u64) -> Option<Permit> {
    let permit = dispatcher.permits.swap_remove(ticket)?;
    if let Some(granted) = dispatcher.granted.get_mut(&permit.target) {
        granted.roll(now_ms);
        granted.running = granted.running.saturating_sub(1);
    }
    Some(permit)
}

/// Releases the permits whose end was not heard: at the deadline of the request, or long after it should have ended.
fn release_overdue(dispatcher: &mut Dispatcher, now_ms: u64) {
    let usual_ms = dispatcher.timing.time_ms(None) * OVERDUE_MULTIPLE + OVERDUE_SLACK_MS;
    let overdue = dispatcher.permits.iter().filter(|(_, permit)| {
        let age_ms = now_ms.saturating_sub(permit.at_ms);
        now_ms >= permit.expires_ms || age_ms as f64 > usual_ms
    });
    let overdue: Vec<Ticket> = overdue.map(|(ticket, _)| ticket.clone()).collect();
    for ticket in &overdue {
        release(dispatcher, ticket, now_ms);
    }
}

/// Returns the time after which the next refused caller may return: behind the queue, and spread over the room that there will be.
fn next_return(dispatcher: &mut Dispatcher, per_ms: f64, now_ms: u64) -> u32 {
    let per_ms = per_ms.max(1e-3);
    let earliest_ms = now_ms + (dispatcher.backlog.len() as f64 / per_ms) as u64;
    let step_ms = (1.0 / (per_ms * RETURN_SHARE)).ceil() as u64;
    let next_ms = dispatcher.return_ms.max(earliest_ms) + step_ms;
    // Beyond the longest time, callers that return share the room again from the beginning.
    dispatcher.return_ms = match next_ms > now_ms + RETURN_MAX_MS {
        true => earliest_ms.min(now_ms + RETURN_MAX_MS),
        false => next_ms,
    };
    dispatcher.return_ms.saturating_sub(now_ms) as u32
}
