//! The queue of a target: members share it by weight, then their organisations, then the classes.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996), nested: at each level the flow with
//! the smallest virtual time is served, and its time advances by cost over weight. A flow that was
//! idle starts at the level's time, so that idling saves nothing up.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::class::{self, Class};

/// Whose work it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// The member.
    pub member: SmolStr,
    /// The organisation.
    pub organisation: SmolStr,
    /// The weight of the organisation against the others of its member.
    pub weight: f64,
    /// The class of work.
    pub class: Class,
}

/// Names one piece of work at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// One piece of waiting work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// The work.
    pub ticket: Ticket,
    /// Its estimated tokens.
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

/// The waiting work of one target.
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

/// Returns the index of the flow with the smallest virtual time among those that have work.
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

    /// Returns whether nothing waits.
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

    /// Removes the item whose turn it is.
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

    /// Drops flows that are idle and not ahead of their level: they would start afresh alike.
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

    /// Removes the newest item, of the least urgent class, of the organisation that waits with
    /// the most work for its weight, unless that organisation is `spared`.
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

    /// Removes one item wherever it waits.
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

    /// Removes everything.
    pub fn clear(&mut self) -> Vec<Ticket> {
        let mut tickets = Vec::with_capacity(self.length);
        while let Some(item) = self.pop() {
            tickets.push(item.ticket);
        }
        tickets
    }
}
