//! The types that most modules use.

pub use crate::errors::{Error, Result};
pub use crate::frame::Frame;
