//! What can be asked of a view of the routers.

use super::{Member, State, View};

/// Returns the routers that may own targets: alive or only just suspected.
pub fn owners(view: &View) -> impl Iterator<Item = &Member> {
    members(view).filter(|member| member.state <= State::Suspect)
}

/// Returns every known router, this one first.
pub fn members(view: &View) -> impl Iterator<Item = &Member> {
    std::iter::once(&view.local).chain(view.peers.values().map(|entry| &entry.member))
}

/// Returns this router as it describes itself.
pub fn local_member(view: &View) -> &Member {
    &view.local
}

/// Returns a router by its name.
pub fn member<'a>(view: &'a View, id: &str) -> Option<&'a Member> {
    members(view).find(|member| member.id == id)
}

/// Returns the peers that are worth a message; the dead are tried too while they are remembered,
/// since a wrong burial ends only by contact.
pub fn peers(view: &View) -> Vec<&Member> {
    view.peers.values().map(|entry| &entry.member).collect()
}

/// Returns whether this router has reached neither a peer nor the platform for too long.
///
/// A router without peers is not cut off: nobody else could own its targets.
pub fn is_cut_off(view: &View, now_ms: u64) -> bool {
    let is_silent = now_ms.saturating_sub(view.last_contact_ms) >= view.settings.cut_off_ms;
    is_silent && !view.peers.is_empty()
}
