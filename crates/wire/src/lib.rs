//! The messages between the processes of sardinemux, and the types of its public and administration APIs.

pub mod admin;
pub mod caller;
pub mod codec;
pub mod errors;
pub mod forward;
pub mod frame;
pub mod gossip;
pub mod header;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod target;
