//! Queries of a view of the group.

use super::{Member, State, View};

/// Returns the routers that may own targets: those alive or suspected, the local one included.
pub fn owners(view: &View) -> impl Iterator<Item = &Member> {
    members(view).filter(|member| member.state <= State::Suspect)
}

/// Returns every known router, the local one first.
pub fn members(view: &View) -> impl Iterator<Item = &Member> {
    std::iter::once(&view.local).chain(view.peers.values().map(|entry| &entry.member))
}

/// Returns the local router's description of itself.
pub fn local_member(view: &View) -> &Member {
    &view.local
}

/// Returns the router with this id.
pub fn member<'a>(view: &'a View, id: &str) -> Option<&'a Member> {
    members(view).find(|member| member.id == id)
}

/// Returns all peers, to which messages may be sent. Dead ones are included, since only contact with a peer that
/// was wrongly declared dead makes it alive again.
pub fn peers(view: &View) -> Vec<&Member> {
    view.peers.values().map(|entry| &entry.member).collect()
}

/// Returns whether the local router has had no contact with a peer or the platform for `cut_off_ms`.
///
/// A router without peers is not cut off, as no other router could own its targets.
pub fn is_cut_off(view: &View, now_ms: u64) -> bool {
    let is_silent = now_ms.saturating_sub(view.last_contact_ms) >= view.settings.cut_off_ms;
    is_silent && !view.peers.is_empty()
}
