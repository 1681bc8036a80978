//! What changes a view of the routers.

use smol_str::SmolStr;

use super::{Entry, Member, State, View};

/// What a merge did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Nothing new was learned.
    Unchanged,
    /// The view has changed.
    Changed,
    /// A suspicion of this router itself was refuted.
    Refuted,
}

/// Takes in what a peer says of a router.
///
/// # Examples
///
/// ```
/// use sardinemux_core::membership::{command, query, Member, Settings, State, View};
///
/// let member = |id: &str| Member {
///     id: id.into(),
///     address: "127.0.0.1:1".into(),
///     zone: "z1".into(),
///     region: "north".into(),
///     boot: 1,
///     epoch: 0,
///     state: State::Alive,
/// };
/// let mut view = View::new(member("r1"), Settings::default(), 0);
/// assert_eq!(command::merge(&mut view, member("r2"), 0), command::Merge::Changed);
/// assert_eq!(query::owners(&view).count(), 2);
/// ```
pub fn merge(view: &mut View, member: Member, now_ms: u64) -> Merge {
    if member.id == view.local.id {
        return refute(view, &member);
    }
    let transmissions = transmission_limit(view);
    let known = view.peers.get(&member.id);
    if known.is_some_and(|entry| entry.member.precedence() >= member.precedence()) {
        return Merge::Unchanged;
    }
    let is_changed = known
        .is_none_or(|entry| entry.member.state != member.state || entry.member.boot != member.boot);
    let entry = Entry {
        member: member.clone(),
        changed_ms: now_ms,
        transmissions_left: transmissions,
    };
    view.peers.insert(member.id, entry);
    match is_changed {
        true => Merge::Changed,
        false => Merge::Unchanged,
    }
}

fn refute(view: &mut View, member: &Member) -> Merge {
    let is_false = member.boot == view.local.boot && member.state > view.local.state;
    if !is_false || member.epoch < view.local.epoch {
        return Merge::Unchanged;
    }
    view.local.epoch = member.epoch + 1;
    Merge::Refuted
}

fn transmission_limit(view: &View) -> u32 {
    let routers = view.peers.len() as u32 + 2;
    view.settings.rumour_factor * (u32::BITS - routers.leading_zeros())
}

/// Takes in the platform's lagging list: it adds routers that were never met and marks leaving
/// ones, but revives none that peers have buried.
pub fn merge_list(view: &mut View, listed: Vec<Member>, now_ms: u64) {
    for mut member in listed {
        if member.id == view.local.id {
            continue;
        }
        match view.peers.get(&member.id) {
            Some(entry) if member.state == State::Leaving => {
                member = Member {
                    state: State::Leaving,
                    ..entry.member.clone()
                };
            }
            Some(_) => continue,
            None => {}
        }
        merge(view, member, now_ms);
    }
}

/// Notes that a peer answered, or spoke, as it is: direct evidence of life.
///
/// A peer that was buried is alive again under its raised epoch, which it takes up when it hears
/// of its burial.
pub fn note_contact(view: &mut View, member: Member, now_ms: u64) -> Merge {
    view.last_contact_ms = now_ms;
    merge(view, member, now_ms)
}

/// Notes that the platform answered.
pub fn note_platform_contact(view: &mut View, now_ms: u64) {
    view.last_contact_ms = now_ms;
}

/// Notes that a peer did not answer.
pub fn suspect(view: &mut View, id: &SmolStr, now_ms: u64) -> Merge {
    let Some(entry) = view.peers.get(id) else {
        return Merge::Unchanged;
    };
    if entry.member.state != State::Alive {
        return Merge::Unchanged;
    }
    let member = Member {
        state: State::Suspect,
        ..entry.member.clone()
    };
    merge(view, member, now_ms)
}

/// Buries routers whose suspicion has aged and forgets those that were buried long ago.
pub fn apply_timeouts(view: &mut View, now_ms: u64) -> Merge {
    let settings = view.settings.clone();
    let transmissions = transmission_limit(view);
    let mut result = Merge::Unchanged;
    for entry in view.peers.values_mut() {
        let is_expired = now_ms.saturating_sub(entry.changed_ms) >= settings.suspicion_timeout_ms;
        if entry.member.state == State::Suspect && is_expired {
            entry.member.state = State::Dead;
            entry.changed_ms = now_ms;
            entry.transmissions_left = transmissions;
            result = Merge::Changed;
        }
    }
    view.peers.retain(|_, entry| {
        entry.member.state < State::Leaving
            || now_ms.saturating_sub(entry.changed_ms) < settings.retention_ms
    });
    result
}

/// Declares that this router is stopping.
pub fn leave(view: &mut View) {
    view.local.state = State::Leaving;
    view.local.epoch += 1;
}

/// Returns the rumours to send with the next message, freshest first, and counts them as sent.
/// The router's own entry always comes first.
pub fn take_rumours(view: &mut View, limit: usize) -> Vec<Member> {
    let mut due: Vec<&mut Entry> = view
        .peers
        .values_mut()
        .filter(|entry| entry.transmissions_left > 0)
        .collect();
    due.sort_by_key(|entry| std::cmp::Reverse(entry.transmissions_left));
    let mut rumours = vec![view.local.clone()];
    for entry in due.into_iter().take(limit) {
        entry.transmissions_left -= 1;
        rumours.push(entry.member.clone());
    }
    rumours
}
