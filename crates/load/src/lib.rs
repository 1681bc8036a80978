//! Loads a fleet with the workloads of its users, and checks every answer byte for byte against what
//! the stand-ins must say.

pub mod caller;
pub mod errors;
pub mod probe;
pub mod profile;
pub mod recorder;
pub mod report;
pub mod run;
pub mod session;
