//! The types that most modules of this crate use.

pub use std::sync::Arc;

pub use crate::errors::{Error, Result};
pub use crate::state::Gateway;
pub use sardinemux_core::prelude::{Outcome, Reason, SmolStr};
