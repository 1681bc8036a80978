//! The program `sardinemux-admin`, which serves the administration API.

use std::process::ExitCode;

use sardinemux_admin::{run, settings};
use sardinemux_host::program::{self, Program};

fn main() -> ExitCode {
    let program = Program {
        name: "sardinemux-admin",
        about: "Serves the administration API of the fleet",
        keys: &settings::KEYS,
        settings_variable: None,
    };
    program::run(&program, run::run)
}
