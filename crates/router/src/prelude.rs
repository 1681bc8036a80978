//! The types that most modules of this crate use.

pub use std::sync::Arc;

pub use crate::errors::{Error, Result};
pub use crate::tables::Router;
pub use sardinemux_core::outcome::{Outcome, Reason};
pub use smol_str::SmolStr;
