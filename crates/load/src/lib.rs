//! Generates load on a fleet with the workloads of its members, and compares every answer byte for byte with the one
//! that the stand-ins compute.

pub mod caller;
pub mod errors;
pub mod probe;
pub mod profile;
pub mod recorder;
pub mod report;
pub mod run;
pub mod session;
