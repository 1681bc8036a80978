//! Small stand-ins for the systems around sardinemux: model engines, plain services, the services of the platform and
//! an unreliable network.
//!
//! They count runs and concurrent requests and generate answers by code of their own, so that a test does not check a
//! router by the router's own code.

pub mod engine;
pub mod errors;
pub mod platform;
pub mod proxy;
pub mod replica;
pub mod serve;
pub mod service;
pub mod text;
