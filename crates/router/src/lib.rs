//! The router of sardinemux: it takes requests in, hands each to the owner of its target, and owns
//! targets itself.

pub mod configure;
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
