//! Positions in the platform's store.
//!
//! The store counts its changes. It may come back from an older copy of itself: then it begins a new era, and versions are
//! given out again. Versions of different eras say nothing about each other, so that a position is a pair, compared by its
//! era first.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of an era of the store, which rises by one each time; `None` if the store states none.
pub type Era = Option<u32>;

/// A position in the changes of the store.
///
/// It is serialised as its version alone, which every build reads; the era travels beside it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Position {
    /// The era. One that is not stated is before every stated one.
    pub era: Era,
    /// The version within the era; zero before the first change.
    pub version: u64,
}

impl Position {
    /// Creates a position.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::position::Position;
    ///
    /// assert!(Position::new(Some(2), 100) > Position::new(Some(1), 120));
    /// assert!(Position::new(Some(1), 1) > Position::from(120));
    /// ```
    pub fn new(era: Era, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the position of the same version in another era.
    pub fn in_era(self, era: Era) -> Self {
        Self { era, ..self }
    }
}

impl From<u64> for Position {
    fn from(version: u64) -> Self {
        Self { era: None, version }
    }
}

impl From<Position> for u64 {
    fn from(position: Position) -> Self {
        position.version
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Some(era) => write!(formatter, "{} of era {era}", self.version),
            None => self.version.fmt(formatter),
        }
    }
}
