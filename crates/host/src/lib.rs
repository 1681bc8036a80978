//! What each program of sardinemux needs to run: checked settings, logs, an HTTP server that never
//! cuts a request off, HTTP clients that never repeat one, and the platform's services.

pub mod arguments;
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
