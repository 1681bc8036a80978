//! The types that most modules use.

pub use crate::clock::Clock;
pub use crate::errors::{Error, Result};
pub use crate::settings::{Key, Kind, Values};
