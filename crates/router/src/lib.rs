//! The router of sardinemux. It accepts requests from callers, forwards each to the router that owns the chosen target,
//! and admits and dispatches the requests for the targets that it owns itself.

pub mod config_sync;
pub mod dispatch;
pub mod drain;
pub mod entry;
pub mod errors;
pub mod gossip;
pub mod metrics;
pub mod owner;
pub mod peer;
pub mod peer_client;
pub mod polling;
pub mod prelude;
pub mod run;
pub mod settings;
pub mod tables;
