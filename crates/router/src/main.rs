//! The router program.

use std::process::ExitCode;

use sardinemux_host::program::{self, Program};
use sardinemux_router::{run, settings};

fn main() -> ExitCode {
    let program = Program {
        name: "sardinemux-router",
        about: "Takes callers' requests in and hands each to the owner of its target",
        keys: &settings::KEYS,
        settings_variable: None,
    };
    program::run(&program, run::run)
}
