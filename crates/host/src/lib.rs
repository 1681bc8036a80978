//! What the programs of sardinemux need to run: checked settings, structured logs, an HTTP server that does not abort
//! running requests, and HTTP clients that never retry by themselves.

pub mod arguments;
pub mod body;
pub mod client;
pub mod clock;
pub mod errors;
pub mod logs;
pub mod monitoring;
pub mod prelude;
pub mod program;
pub mod reply;
pub mod server;
pub mod settings;
pub mod tool;
