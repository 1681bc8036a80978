//! The administration API, through which operators change and read the configuration of the fleet.
//!
//! Any number of these programs may run at once. They store nothing themselves: accepted changes are rows of the
//! platform's table.

pub mod errors;
pub mod fleet;
pub mod log;
pub mod openapi;
pub mod orders;
pub mod routes;
pub mod run;
pub mod settings;
