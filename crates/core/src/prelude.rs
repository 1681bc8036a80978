//! The types that most modules of this crate use.

pub use crate::class::Class;
pub use crate::errors::{Error, Result};
pub use crate::outcome::{Outcome, Reason};
pub use crate::target::Target;
pub use smol_str::SmolStr;
