//! The program `sardinemux-ctl`, the operators' command-line client of the administration API.

mod api;
mod check;
mod cli;
mod command;
mod errors;
mod show;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let matches = cli::command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(command::run(&matches)),
        Err(source) => Err(errors::Error::Runtime { source }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardinemux-ctl: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}
