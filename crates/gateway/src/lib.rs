//! The gateway: takes callers' plain HTTP requests, finds route, organisation and target, and brings back
//! each caller's own whole answer.
//!
//! Every gateway is alike and keeps nothing. What operators and targets say comes from a [`source::Source`];
//! how headers are called on a deployment stands in a [`dialect::Dialect`].

pub mod answer;
pub mod attempt;
pub mod caller;
pub mod client;
pub mod connections;
pub mod dialect;
pub mod drain;
pub mod errors;
pub mod follow;
pub mod framing;
pub mod members;
pub mod metrics;
pub mod peers;
pub mod prelude;
pub mod relay;
pub mod replication;
pub mod reports;
pub mod request;
pub mod run;
pub mod settings;
pub mod source;
pub mod status;
pub mod stream;
pub mod suspension;
pub mod tables;
