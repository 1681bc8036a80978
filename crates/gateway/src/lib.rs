//! The gateway: accepts plain HTTP requests of callers, determines the route, the organisation and the target of each,
//! forwards it and returns the complete response of the target to its caller.
//!
//! All gateways of a deployment are equal and persist nothing. The catalogue, the targets and the list of gateways come
//! from a [`source::Source`]; the names of the headers of a deployment are given by a [`dialect::Dialect`].

pub mod answer;
pub mod appendix;
pub mod attempt;
pub mod busy;
pub mod caller;
pub mod catching_up;
pub mod client;
pub mod compression;
pub mod connections;
pub mod datagram;
pub mod dialect;
pub mod drain;
pub mod errors;
pub mod follow;
pub mod framing;
pub mod hop;
pub mod intake;
pub mod internal;
pub mod members;
pub mod metrics;
pub mod origins;
pub mod peers;
pub mod permits;
pub mod prelude;
pub mod quarantine;
pub mod relay;
pub mod replication;
pub mod reply;
pub mod reports;
pub mod request;
pub mod rollouts;
pub mod run;
pub mod settings;
pub mod source;
pub mod speeds;
pub mod state;
pub mod store_writes;
pub mod stream;
pub mod supplement;
pub mod suspension;
pub mod unanswered;
pub mod uplink;
pub mod whole;
pub mod zones;
