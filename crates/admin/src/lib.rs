//! The administration API of sardinemux: any number of these programs may run, and none keeps
//! anything; what is accepted lives in the platform's table.

pub mod errors;
pub mod fleet;
pub mod log;
pub mod openapi;
pub mod orders;
pub mod routes;
pub mod run;
pub mod settings;
