//! Operations that change the admission state of a target.

use super::{query, Controller, Demand, FormerOwner, Report};
use crate::fairness::{Item, Ticket};
use crate::load::Mean;
use crate::outcome::Reason;
use crate::warmup::Observation;

/// The result of [`admit_or_queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request was started.
    Started(Ticket),
    /// The request was queued.
    Queued(Ticket),
    /// The first request was queued; the second one was removed from the full queue to make room.
    QueuedInPlaceOf(Ticket, Ticket),
}

/// Admits a request if it can start at once.
///
/// # Errors
///
/// `Reason::Leaving` if the controller is closed, `Reason::Full` if the request would exceed a limit or others wait.
///
/// # Examples
///
/// ```
/// use sardinemux_core::admission::{command, Controller, Demand, Settings};
/// use sardinemux_core::class::Class;
/// use sardinemux_core::fairness::Flow;
/// use sardinemux_core::load::Mean;
/// use sardinemux_core::outcome::Reason;
///
/// let mut controller = Controller::new(Settings::default(), 8);
/// let flow = Flow { member: "m".into(), organisation: "o".into(), weight: 1.0, class: Class::Chat };
/// let demand = Demand { flow, tokens: 10 };
/// let mean = Mean { requests: 4.0, tokens: 100.0 };
/// assert!(command::admit(&mut controller, &demand, mean).is_ok());
/// assert!(command::admit(&mut controller, &demand, mean).is_ok());
/// assert_eq!(command::admit(&mut controller, &demand, mean), Err(Reason::Full));
/// ```
pub fn admit(controller: &mut Controller, demand: &Demand, mean: Mean) -> Result<Ticket, Reason> {
    if controller.is_closed {
        return Err(Reason::Leaving);
    }
    if !query::has_room(controller, demand, mean) {
        return Err(Reason::Full);
    }
    let ticket = next_ticket(controller);
    start_request(controller, ticket, demand.tokens);
    Ok(ticket)
}

/// Admits a request if it can start at once, and queues it otherwise.
///
/// # Errors
///
/// `Reason::Leaving` if the controller is closed, `Reason::Shed` if the queue is full and no other organisation has
/// more waiting requests relative to its weight.
pub fn admit_or_queue(
    controller: &mut Controller,
    demand: Demand,
    mean: Mean,
) -> Result<Admission, Reason> {
    match admit(controller, &demand, mean) {
        Ok(ticket) => return Ok(Admission::Started(ticket)),
        Err(Reason::Full) => {}
        Err(reason) => return Err(reason),
    }
    let mut shed = None;
    if controller.queue.len() >= controller.settings.queue_max {
        let item = controller.queue.shed(&demand.flow).ok_or(Reason::Shed)?;
        controller.waiting.swap_remove(&item.ticket);
        shed = Some(item.ticket);
    }
    let ticket = next_ticket(controller);
    let tokens = demand.tokens;
    controller.queue.push(&demand.flow, Item { ticket, tokens });
    controller.waiting.insert(ticket, demand);
    match shed {
        Some(shed) => Ok(Admission::QueuedInPlaceOf(ticket, shed)),
        None => Ok(Admission::Queued(ticket)),
    }
}

fn next_ticket(controller: &mut Controller) -> Ticket {
    controller.next_ticket += 1;
    Ticket(controller.next_ticket)
}

fn start_request(controller: &mut Controller, ticket: Ticket, tokens: u64) {
    controller.running.insert(ticket, tokens);
    controller.running_tokens += tokens;
    controller.peak = controller.peak.max(controller.running.len() as u32);
}

/// Starts the request at the head of the queue, if the limit on requests in flight allows it.
pub fn start_next(controller: &mut Controller, mean: Mean) -> Option<Ticket> {
    if !query::is_below_limit(controller, mean) {
        return None;
    }
    let item = controller.queue.pop()?;
    controller.waiting.swap_remove(&item.ticket);
    start_request(controller, item.ticket, item.tokens);
    Some(item.ticket)
}

/// Removes a request from the queue, because its deadline has passed or its caller has disconnected. Returns whether
/// it was still waiting.
pub fn cancel_waiting(controller: &mut Controller, ticket: Ticket) -> bool {
    controller.waiting.swap_remove(&ticket);
    controller.queue.remove(ticket).is_some()
}

/// Removes a request that has ended, and updates the warm-up state from what was observed.
pub fn finish(controller: &mut Controller, ticket: Ticket, observation: Observation) {
    if let Some(tokens) = controller.running.swap_remove(&ticket) {
        controller.running_tokens -= tokens;
    }
    controller.trough = controller.trough.min(controller.running.len() as u32);
    controller.warmup.observe(observation);
}

/// Records that the target holds the cached prompt prefix of a chat.
pub fn add_chat(controller: &mut Controller, chat: u64) {
    controller.chats.put(chat);
}

/// Records that the target has evicted the cached prompt prefix of a chat.
pub fn remove_chat(controller: &mut Controller, chat: u64) {
    controller.chats.remove(chat);
}

/// Applies a load report of the target, which lags behind its actual load.
///
/// The first report also raises the warm-up limit to the number of running requests that it shows, so that a new
/// owner of a warm target does not treat it as cold.
pub fn apply_report(controller: &mut Controller, report: Report, now_ms: u64) {
    if controller.report.is_none() {
        controller.warmup.raise_to(report.running);
    }
    set_incarnation(controller, report.incarnation);
    controller.report = Some(report);
    let own_max = controller.peak.max(controller.previous_peak);
    let own_min = controller.trough.min(controller.previous_trough);
    controller.foreign_running = report.running.saturating_sub(own_max);
    lower_running_max(controller, report.running.saturating_sub(own_min), now_ms);
    let own = controller.running.len() as u32;
    (controller.previous_peak, controller.peak) = (controller.peak, own);
    (controller.previous_trough, controller.trough) = (controller.trough, own);
}

/// Lowers the bound on what a former owner that has stopped still has in flight. `unattributed_max` bounds it only
/// once the report was measured after the stop, so reports are ignored until the greatest report lag has passed.
fn lower_running_max(controller: &mut Controller, unattributed_max: u32, now_ms: u64) {
    let FormerOwner::Draining {
        running_max,
        since_ms,
    } = controller.former_owner
    else {
        return;
    };
    if now_ms.saturating_sub(since_ms) < controller.settings.report_lag_ms {
        return;
    }
    let running_max = running_max.min(unattributed_max);
    controller.former_owner = match running_max {
        0 => FormerOwner::None,
        _ => FormerOwner::Draining {
            running_max,
            since_ms,
        },
    };
}

/// Sets the incarnation of the target that responded. A new incarnation is cold and has an empty cache.
pub fn set_incarnation(controller: &mut Controller, incarnation: u64) {
    let known = controller.report.map(|report| report.incarnation);
    if known.is_some_and(|known| known != incarnation) {
        controller.chats.clear();
    }
    controller.warmup.set_incarnation(incarnation);
}

/// Records that the target refused or closed a connection. It may have restarted, so it counts as cold.
pub fn record_connection_loss(controller: &mut Controller) {
    controller.warmup.reset();
}

/// Begins to take the target over from an owner that may still have requests in flight.
pub fn begin_takeover(controller: &mut Controller, now_ms: u64) {
    controller.former_owner = FormerOwner::Unanswered { since_ms: now_ms };
}

/// Records that the former owner's process has ended: its connections to the target are closed, and the target has
/// cancelled the requests on them.
pub fn clear_former(controller: &mut Controller) {
    controller.former_owner = FormerOwner::None;
}

/// Applies the former owner's answer: the number of its requests that still run, and its warm-up limit of the target.
/// It has stopped sending, because the query told it of this owner.
pub fn apply_former_answer(controller: &mut Controller, running: u32, warmup_limit: u32) {
    controller.warmup.raise_to(warmup_limit);
    controller.former_owner = match running {
        0 => FormerOwner::None,
        _ => FormerOwner::Answered { running },
    };
}

/// Stops waiting for the former owner's answer once the take-over time has passed. It has stopped sending by then,
/// though its requests may still run: where the target reports its load, they are taken to fill it until reports
/// show less.
pub fn expire_former(controller: &mut Controller, now_ms: u64) {
    let FormerOwner::Unanswered { since_ms } = controller.former_owner else {
        return;
    };
    if now_ms.saturating_sub(since_ms) < controller.settings.takeover_ms {
        return;
    }
    controller.former_owner = match controller.settings.has_reports {
        true => FormerOwner::Draining {
            running_max: controller.slots,
            since_ms: now_ms,
        },
        false => FormerOwner::None,
    };
}

/// Stops admitting requests, empties the queue and returns the waiting requests, which can be sent elsewhere.
pub fn close(controller: &mut Controller) -> Vec<Ticket> {
    controller.is_closed = true;
    controller.waiting.clear();
    controller.queue.clear()
}

/// Admits requests again after [`close`]. The target counts as cold, because it may have changed meanwhile.
pub fn open(controller: &mut Controller) {
    if controller.is_closed {
        controller.is_closed = false;
        controller.warmup.reset();
    }
}

/// Replaces the settings. The warm-up state and the table of recent chats keep those that they were created with.
pub fn set_settings(controller: &mut Controller, settings: super::Settings) {
    controller.settings = settings;
}
