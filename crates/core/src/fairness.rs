//! The queue of a target. Members share it equally, the organisations of a member by weight, and the classes of an
//! organisation by weight.
//!
//! Hierarchical start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): at each level the flow with the
//! smallest start tag is served, and its start tag advances by cost over weight. A flow that was idle starts no
//! earlier than the level's virtual time, so that it gains no credit while idle.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::class::{self, Class};

/// The flow that a request is queued under.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The member.
    pub member: SmolStr,
    /// The organisation.
    pub organisation: SmolStr,
    /// The weight of the organisation relative to the others of its member.
    pub weight: f64,
    /// The class of the request.
    pub class: Class,
}

/// Names one request among those of one target's admission controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// One waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// The request.
    pub ticket: Ticket,
    /// The estimated tokens, which are the cost of the request.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct ClassFlow {
    start_tag: f64,
    items: VecDeque<Item>,
}

#[derive(Clone, Debug, Default)]
struct OrganisationFlow {
    start_tag: f64,
    weight: f64,
    virtual_time: f64,
    classes: [ClassFlow; class::ALL.len()],
}

#[derive(Clone, Debug, Default)]
struct MemberFlow {
    start_tag: f64,
    virtual_time: f64,
    organisations: IndexMap<SmolStr, OrganisationFlow>,
}

/// The waiting requests of one target.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    virtual_time: f64,
    members: IndexMap<SmolStr, MemberFlow>,
    length: usize,
}

impl OrganisationFlow {
    fn length(&self) -> usize {
        self.classes.iter().map(|class| class.items.len()).sum()
    }
}

impl MemberFlow {
    fn length(&self) -> usize {
        self.organisations
            .values()
            .map(OrganisationFlow::length)
            .sum()
    }
}

/// Returns the index of the flow with the smallest start tag among those that are not empty. Takes the index, start
/// tag and length of each flow.
fn find_min_start_tag(flows: impl Iterator<Item = (usize, f64, usize)>) -> Option<usize> {
    flows
        .filter(|(_, _, length)| *length > 0)
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(index, _, _)| index)
}

impl Queue {
    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends an item to its flow.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::class::Class;
    /// use sardinemux_core::fairness::{Flow, Item, Queue, Ticket};
    ///
    /// let flow = |organisation: &str| Flow {
    ///     member: "m".into(),
    ///     organisation: organisation.into(),
    ///     weight: 1.0,
    ///     class: Class::Chat,
    /// };
    /// let mut queue = Queue::default();
    /// for ticket in 0..9 {
    ///     queue.push(&flow("large"), Item { ticket: Ticket(ticket), tokens: 1 });
    /// }
    /// queue.push(&flow("small"), Item { ticket: Ticket(9), tokens: 1 });
    /// let served: Vec<u64> = (0..2).filter_map(|_| queue.pop()).map(|item| item.ticket.0).collect();
    /// assert_eq!(served, [0, 9]);
    /// ```
    pub fn push(&mut self, flow: &Flow, item: Item) {
        let member = self.members.entry(flow.member.clone()).or_default();
        if member.length() == 0 {
            member.start_tag = member.start_tag.max(self.virtual_time);
        }
        let organisation = member
            .organisations
            .entry(flow.organisation.clone())
            .or_default();
        if organisation.length() == 0 {
            organisation.start_tag = organisation.start_tag.max(member.virtual_time);
        }
        organisation.weight = flow.weight;
        let class = &mut organisation.classes[flow.class.index()];
        if class.items.is_empty() {
            class.start_tag = class.start_tag.max(organisation.virtual_time);
        }
        class.items.push_back(item);
        self.length += 1;
    }

    /// Removes and returns the next item in fair order.
    pub fn pop(&mut self) -> Option<Item> {
        let member_index = find_min_start_tag(
            self.members
                .values()
                .enumerate()
                .map(|(index, flow)| (index, flow.start_tag, flow.length())),
        )?;
        let member = &mut self.members[member_index];
        let organisation_index = find_min_start_tag(
            member
                .organisations
                .values()
                .enumerate()
                .map(|(index, flow)| (index, flow.start_tag, flow.length())),
        )?;
        let organisation = &mut member.organisations[organisation_index];
        let class_index = find_min_start_tag(
            organisation
                .classes
                .iter()
                .enumerate()
                .map(|(index, flow)| (index, flow.start_tag, flow.items.len())),
        )?;
        let class = &mut organisation.classes[class_index];
        let item = class.items.pop_front()?;

        let cost = item.tokens.max(1) as f64;
        self.virtual_time = member.start_tag;
        member.virtual_time = organisation.start_tag;
        organisation.virtual_time = class.start_tag;
        class.start_tag += cost / class::ALL[class_index].weight();
        organisation.start_tag += cost / organisation.weight.max(f64::MIN_POSITIVE);
        member.start_tag += cost;
        self.length -= 1;
        self.prune();
        Some(item)
    }

    /// Drops members and organisations that are idle and whose start tag is not ahead of their level's virtual time.
    /// Recreated, they start at the same tag; the tags and virtual times within them begin at zero again.
    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        for member in self.members.values_mut() {
            let member_virtual_time = member.virtual_time;
            member
                .organisations
                .retain(|_, flow| flow.length() > 0 || flow.start_tag > member_virtual_time);
        }
        self.members
            .retain(|_, flow| flow.length() > 0 || flow.start_tag > virtual_time);
    }

    /// Removes and returns the newest item of the least urgent class of the organisation with the most waiting items
    /// relative to its weight. Removes nothing if that is the organisation of `exempt`.
    pub fn shed(&mut self, exempt: &Flow) -> Option<Item> {
        let mut heaviest: Option<(f64, usize, usize)> = None;
        for (member_index, member) in self.members.values().enumerate() {
            for (index, flow) in member.organisations.values().enumerate() {
                let relative_length = flow.length() as f64 / flow.weight.max(f64::MIN_POSITIVE);
                if heaviest.is_none_or(|(longest, _, _)| relative_length > longest) {
                    heaviest = Some((relative_length, member_index, index));
                }
            }
        }
        let (_, member_index, index) = heaviest?;
        let (member_name, member) = self.members.get_index_mut(member_index)?;
        let (name, flow) = member.organisations.get_index_mut(index)?;
        if *member_name == exempt.member && *name == exempt.organisation {
            return None;
        }
        let class = flow
            .classes
            .iter_mut()
            .rev()
            .find(|class| !class.items.is_empty())?;
        let item = class.items.pop_back();
        self.length -= 1;
        item
    }

    /// Removes and returns the item with the given ticket.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        for member in self.members.values_mut() {
            for flow in member.organisations.values_mut() {
                for class in &mut flow.classes {
                    let found = class.items.iter().position(|item| item.ticket == ticket);
                    if let Some(index) = found {
                        self.length -= 1;
                        return class.items.remove(index);
                    }
                }
            }
        }
        None
    }

    /// Removes all items and returns their tickets in fair order.
    pub fn clear(&mut self) -> Vec<Ticket> {
        let mut tickets = Vec::with_capacity(self.length);
        while let Some(item) = self.pop() {
            tickets.push(item.ticket);
        }
        tickets
    }
}
