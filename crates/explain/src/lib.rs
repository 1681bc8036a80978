//! One request's story, put together from the logs of all gateways.

pub mod errors;
pub mod line;
pub mod timeline;
