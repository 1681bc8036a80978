//! Group membership: which routers are alive, as known to one router.
//!
//! The protocol follows SWIM (Das, Gupta and Motivala, DSN 2002). A router exchanges messages with a random peer each
//! period. A peer that does not answer is suspected, the suspicion spreads by gossip as a rumour, and the suspected
//! router refutes it by raising its epoch. The platform's instance list, which lags behind, adds routers that no
//! message has named yet.

pub mod command;
pub mod query;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The state of a router. Of two states of one process with the same epoch, the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The router answers messages, or nothing else is known of it.
    Alive,
    /// The router did not answer. It keeps its targets until the suspicion timeout elapses.
    Suspect,
    /// The router is shutting down and owns no targets.
    Leaving,
    /// The router did not refute a suspicion in time.
    Dead,
}

/// One router, as it is described in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The router's id in the platform's instance list.
    pub id: SmolStr,
    /// The address for messages of other routers, as `ip:port`.
    pub address: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The region.
    pub region: SmolStr,
    /// Distinguishes successive processes of one instance, later ones being greater; 0 if only the platform's list
    /// has named the router.
    pub boot: u64,
    /// The incarnation number of SWIM, which only the router itself raises: to refute a suspicion, or to leave.
    pub epoch: u32,
    /// The state of the router.
    pub state: State,
}

impl Member {
    /// Returns the key by which the newer of two descriptions of a router is found: the greater one wins.
    fn precedence(&self) -> (u64, u32, State) {
        (self.boot, self.epoch, self.state)
    }
}

/// The timeouts and counts of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a router stays suspected before it is declared dead, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// How long a dead or leaving router stays in the view, in milliseconds. Longer than the lag of the platform's
    /// list, which would otherwise add the router again.
    pub retention_ms: u64,
    /// How long a router may be without contact to a peer or the platform, in milliseconds, before it counts as cut off
    /// and stops accepting work.
    pub cut_off_ms: u64,
    /// A rumour is sent about this many times the binary logarithm of the number of routers.
    pub rumour_factor: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            suspicion_timeout_ms: 2_000,
            retention_ms: 60_000,
            cut_off_ms: 3_000,
            rumour_factor: 3,
        }
    }
}

/// The view's entry for one peer.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// When the member last changed, in milliseconds.
    pub(crate) changed_ms: u64,
    /// How many more messages carry the member as a rumour.
    pub(crate) transmissions_left: u32,
}

/// One router's view of the group: itself and every peer that it knows.
#[derive(Clone, Debug)]
pub struct View {
    pub(crate) settings: Settings,
    pub(crate) local: Member,
    pub(crate) peers: IndexMap<SmolStr, Entry>,
    /// When a peer or the platform was last in contact, in milliseconds.
    pub(crate) last_contact_ms: u64,
}

impl View {
    /// Creates a view that contains only the local router.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::membership::{query, Member, Settings, State, View};
    ///
    /// let local = Member {
    ///     id: "r1".into(),
    ///     address: "127.0.0.1:1".into(),
    ///     zone: "z1".into(),
    ///     region: "north".into(),
    ///     boot: 1,
    ///     epoch: 0,
    ///     state: State::Alive,
    /// };
    /// let view = View::new(local, Settings::default(), 0);
    /// assert_eq!(query::owners(&view).count(), 1);
    /// ```
    pub fn new(local: Member, settings: Settings, now_ms: u64) -> Self {
        Self {
            settings,
            local,
            peers: IndexMap::new(),
            last_contact_ms: now_ms,
        }
    }
}
