//! The timeline of one request, assembled from the logs of all gateways.

pub mod errors;
pub mod line;
pub mod timeline;
