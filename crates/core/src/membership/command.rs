//! Commands that change a view of the group.

use smol_str::SmolStr;

use super::{Entry, Member, State, View};

/// The effect of a command on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// No peer changed its state or its process. A higher epoch alone may have been recorded.
    Unchanged,
    /// A peer is new, or its state or process changed.
    Changed,
    /// The local router raised its epoch to refute a false report about itself.
    Refuted,
}

/// Merges a description of a router that a peer sent. It replaces the known one only if it takes precedence.
///
/// A description of the local router is refuted if it names a worse state than the actual one.
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

/// Raises the local epoch above that of a false report about this process.
fn refute(view: &mut View, member: &Member) -> Merge {
    let is_false = member.boot == view.local.boot && member.state > view.local.state;
    if !is_false || member.epoch < view.local.epoch {
        return Merge::Unchanged;
    }
    view.local.epoch = member.epoch + 1;
    Merge::Refuted
}

/// Returns how many messages carry a new rumour, which grows with the logarithm of the number of routers.
fn transmission_limit(view: &View) -> u32 {
    let routers = view.peers.len() as u32 + 2;
    view.settings.rumour_factor * (u32::BITS - routers.leading_zeros())
}

/// Merges the platform's instance list, which lags behind.
///
/// It adds unknown routers and marks known ones as leaving, but does not revive a router that is already dead.
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

/// Records a message from a peer and merges the description that the peer sent of itself.
///
/// A peer that was declared dead returns with a raised epoch, once it has received the rumour of its death.
pub fn note_contact(view: &mut View, member: Member, now_ms: u64) -> Merge {
    view.last_contact_ms = now_ms;
    merge(view, member, now_ms)
}

/// Records that the platform answered.
pub fn note_platform_contact(view: &mut View, now_ms: u64) {
    view.last_contact_ms = now_ms;
}

/// Marks a peer that did not answer as suspected, if its state is still alive.
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

/// Declares suspected peers dead after the suspicion timeout, and removes dead and leaving ones after the retention
/// time. Returns [`Merge::Changed`] only if a peer was declared dead.
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

/// Marks the local router as leaving.
pub fn leave(view: &mut View) {
    view.local.state = State::Leaving;
    view.local.epoch += 1;
}

/// Returns the local router and then at most `limit` rumours for the next message, and counts the rumours as sent.
///
/// The rumours with the most transmissions left come first, so that new ones spread fast.
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
