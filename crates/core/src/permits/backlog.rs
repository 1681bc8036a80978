//! The requests that wait for a permit: by priority, then by fair shares of organisations, then callers that return after a refusal
//! before others, and those with less time left first.
//!
//! Other requests that can no longer meet their latency objective come after all that can. Under more load than the targets complete, most
//! requests would otherwise be served just after their objective.

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::{Request, Ticket};
use crate::class::Class;
use crate::fairness;
use crate::fairness::{Flow, Item, Queue};

/// The number of priorities.
const PRIORITIES: usize = 10;

/// The number of refused requests that are remembered.
const REFUSED_MAX: usize = 4_096;

/// How long a refused request is remembered, in milliseconds: longer than any time after which its caller may return.
const REFUSED_TTL_MS: u64 = 5_000;

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub request: Request,
    /// When it must have been answered, in milliseconds.
    pub deadline_ms: u64,
    /// When its latency objective is over, in milliseconds.
    objective_ms: u64,
    has_returned: bool,
    /// Its position in the queue of its priority. The requests of an organisation exchange their positions.
    position: fairness::Ticket,
}

impl Waiting {
    fn order(&self) -> (bool, u64) {
        (!self.has_returned, self.deadline_ms)
    }

    fn priority(&self) -> usize {
        usize::from(self.request.priority).min(PRIORITIES - 1)
    }
}

/// The requests of a pool that wait.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    waiting: IndexMap<Ticket, Waiting>,
    queues: [Queue; PRIORITIES],
    next_place: u64,
    /// Those that cannot meet their objective, in no order.
    late: IndexMap<Ticket, Waiting>,
    /// The contents of refused requests, with the time of the refusal in milliseconds.
    refused: IndexMap<u64, u64>,
}

impl Backlog {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.late.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.late.is_empty()
    }

    pub(super) fn contains(&self, ticket: &Ticket) -> bool {
        self.waiting.contains_key(ticket) || self.late.contains_key(ticket)
    }

    pub(super) fn gateways(&self) -> impl Iterator<Item = &SmolStr> {
        let tickets = self.waiting.keys().chain(self.late.keys());
        tickets.map(|ticket| &ticket.gateway)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.values().chain(self.late.values())
    }

    fn flow(request: &Request) -> Flow {
        Flow {
            member: SmolStr::default(),
            organisation: request.organisation.clone(),
            weight: 1.0,
            class: Class::Chat,
        }
    }

    pub(super) fn push(&mut self, request: Request, now_ms: u64) {
        let refused_ms = self.refused.shift_remove(&request.content);
        let position = fairness::Ticket(self.next_place);
        self.next_place += 1;
        let waiting = Waiting {
            deadline_ms: now_ms + u64::from(request.left_ms),
            objective_ms: now_ms + u64::from(request.objective_ms),
            has_returned: refused_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REFUSED_TTL_MS),
            position,
            request,
        };
        let item = Item {
            ticket: position,
            tokens: 1,
        };
        let flow = Self::flow(&waiting.request);
        self.queues[waiting.priority()].push(&flow, item);
        self.waiting.insert(waiting.request.ticket.clone(), waiting);
    }

    pub(super) fn remove(&mut self, ticket: &Ticket) -> Option<Waiting> {
        if let Some(late) = self.late.swap_remove(ticket) {
            return Some(late);
        }
        let waiting = self.waiting.swap_remove(ticket)?;
        self.queues[waiting.priority()].remove(waiting.position);
        Some(waiting)
    }

    /// Puts the requests that cannot meet their objective behind the others. `need_ms` returns how long a request takes from now on.
    pub(super) fn demote(&mut self, need_ms: impl Fn(&Request) -> u64, now_ms: u64) {
        let waiting = self.waiting.values();
        let late = waiting.filter(|it| {
            // Whoever was refused once is not to be refused again.
            !it.has_returned && now_ms + need_ms(&it.request) > it.objective_ms
        });
        let late: Vec<Ticket> = late.map(|it| it.request.ticket.clone()).collect();
        for ticket in late {
            if let Some(waiting) = self.remove(&ticket) {
                self.late.insert(ticket, waiting);
            }
        }
    }

    /// Remembers that a request was refused.
    pub(super) fn note_refused(&mut self, content: u64, now_ms: u64) {
        self.refused.insert(content, now_ms);
        while self.refused.len() > REFUSED_MAX {
            self.refused.shift_remove_index(0);
        }
    }

    /// Removes and returns the next request for which `grant` returns a target. One that no target with room can serve is passed
    /// over, and keeps its position.
    pub(super) fn take<T>(
        &mut self,
        mut grant: impl FnMut(&Request) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        for priority in 0..PRIORITIES {
            let mut passed: Vec<Waiting> = Vec::new();
            let mut found = None;
            while let Some(item) = self.queues[priority].pop() {
                let Some(ticket) = self.next_of(priority, item.ticket) else {
                    continue;
                };
                let Some(waiting) = self.waiting.swap_remove(&ticket) else {
                    continue;
                };
                match grant(&waiting.request) {
                    Some(target) => {
                        found = Some((waiting, target));
                        break;
                    }
                    None => passed.push(waiting),
                }
            }
            for waiting in passed {
                let item = Item {
                    ticket: waiting.position,
                    tokens: 1,
                };
                self.queues[priority].push(&Self::flow(&waiting.request), item);
                self.waiting.insert(waiting.request.ticket.clone(), waiting);
            }
            if found.is_some() {
                return found;
            }
        }
        self.take_late(grant)
    }

    /// Removes and returns the first request beyond its objective for which `grant` returns a target.
    fn take_late<T>(
        &mut self,
        mut grant: impl FnMut(&Request) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        let mut late: Vec<&Waiting> = self.late.values().collect();
        late.sort_by_key(|it| (it.priority(), it.order()));
        let found = late
            .into_iter()
            .find_map(|it| Some((it.request.ticket.clone(), grant(&it.request)?)));
        let (ticket, target) = found?;
        Some((self.late.swap_remove(&ticket)?, target))
    }

    /// Returns the first request of the organisation that has a position, and exchanges the positions of the two.
    fn next_of(&mut self, priority: usize, position: fairness::Ticket) -> Option<Ticket> {
        let holder = self
            .waiting
            .values()
            .find(|it| it.position == position && it.priority() == priority)?;
        let organisation = &holder.request.organisation;
        let same = self
            .waiting
            .values()
            .filter(|it| it.priority() == priority && it.request.organisation == *organisation);
        let first = same.min_by_key(|it| it.order())?;
        let (holder, first, other) = (
            holder.request.ticket.clone(),
            first.request.ticket.clone(),
            first.position,
        );
        if let Some(it) = self.waiting.get_mut(&holder) {
            it.position = other;
        }
        if let Some(it) = self.waiting.get_mut(&first) {
            it.position = position;
        }
        Some(first)
    }

    /// Returns the waiting requests in the order in which they are to be served, if none comes: by priority, then the n-th of each
    /// organisation before the next of any, and at last those beyond their objective.
    pub(super) fn forecast(&self) -> Vec<&Waiting> {
        let mut ordered: Vec<&Waiting> = self.waiting.values().collect();
        ordered.sort_by_key(|it| (it.priority(), it.order()));
        let mut counts: IndexMap<(usize, &str), u32> = IndexMap::new();
        let mut rounds: Vec<(usize, u32, &Waiting)> = Vec::with_capacity(ordered.len());
        for it in ordered {
            let count = counts
                .entry((it.priority(), it.request.organisation.as_str()))
                .or_default();
            rounds.push((it.priority(), *count, it));
            *count += 1;
        }
        rounds.sort_by_key(|(priority, round, it)| (*priority, *round, it.order()));
        let mut late: Vec<&Waiting> = self.late.values().collect();
        late.sort_by_key(|it| (it.priority(), it.order()));
        let first = rounds.into_iter().map(|(_, _, it)| it);
        first.chain(late).collect()
    }
}
