//! The routers that are live, as this router sees them.
//!
//! The protocol follows SWIM (Das, Gupta and Motivala, DSN 2002): a router exchanges messages with
//! a random peer each period; a peer that does not answer is suspected, the suspicion spreads as a
//! rumour, and the suspected router refutes it by raising its epoch. The platform's lagging list
//! brings in routers that nobody has met yet.

pub mod command;
pub mod query;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What is believed of a router. A later variant outweighs an earlier one of the same epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer; it stays an owner until the suspicion has aged.
    Suspect,
    /// It is stopping and owns nothing.
    Leaving,
    /// It is gone.
    Dead,
}

/// One router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name in the platform's instance list.
    pub id: SmolStr,
    /// The address for other routers, as `ip:port`.
    pub address: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The region.
    pub region: SmolStr,
    /// Tells one process of an instance from the next; 0 if only the list has named it.
    pub boot: u64,
    /// Raised by the router itself to refute a suspicion.
    pub epoch: u32,
    /// What is believed of it.
    pub state: State,
}

impl Member {
    fn precedence(&self) -> (u64, u32, State) {
        (self.boot, self.epoch, self.state)
    }
}

/// Times and counts of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a suspicion stands before the router counts as dead, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// How long a dead router is remembered, in milliseconds; longer than the list's lag.
    pub retention_ms: u64,
    /// A router that has reached neither a peer nor the platform for this long stops taking work.
    pub cut_off_ms: u64,
    /// A rumour is sent this many times the binary logarithm of the number of routers.
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

/// What one router knows of another.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    pub(crate) changed_ms: u64,
    pub(crate) transmissions_left: u32,
}

/// All routers that this one knows.
#[derive(Clone, Debug)]
pub struct View {
    pub(crate) settings: Settings,
    pub(crate) local: Member,
    pub(crate) peers: IndexMap<SmolStr, Entry>,
    pub(crate) last_contact_ms: u64,
}

impl View {
    /// Creates a view that holds only the router itself.
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
