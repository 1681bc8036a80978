//! Starts a whole fleet on one machine: real processes, stand-ins for what surrounds them, and
//! fault-injecting proxies between them.

pub mod capacity;
pub mod chart;
pub mod client;
pub mod crowd;
pub mod errors;
pub mod fleet;
pub mod gateways;
pub mod matrix;
pub mod ports;
pub mod process;
pub mod scenario;
pub mod slope;
pub mod soak;
