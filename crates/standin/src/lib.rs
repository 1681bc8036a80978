//! Small stand-ins for what surrounds sardinemux: model engines, plain services, the platform's
//! services and a network that fails.
//!
//! They count runs, concurrency and text on their own, so that a test does not check a router
//! with the router's own code.

pub mod engine;
pub mod errors;
pub mod platform;
pub mod proxy;
pub mod replica;
pub mod serve;
pub mod service;
pub mod text;
