//! The command line of the load tool. It exits with 0 if the run violated no guarantee, 1 if it violated one, and 2 if
//! the run could not start or its report could not be written.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use sardinemux_host::arguments::{get_list, get_number, get_text, number, text};
use sardinemux_load::errors::{Error, Result};
use sardinemux_load::report::Report;
use sardinemux_load::run::{self, Settings};

/// The number of worker threads of the runtime.
const WORKER_THREADS: usize = 2;

fn command() -> Command {
    Command::new("sardinemux-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Loads a fleet and checks every answer")
        .arg(text("workload", "couloir", "couloir or lakeshore"))
        .arg(text("model", "sardine-7b", "The model"))
        .arg(text(
            "policy",
            "owner",
            "The routers' policy, for the report",
        ))
        .arg(number("seed", "1", "The seed"))
        .arg(number("seconds", "30", "How long requests are sent"))
        .arg(number("sessions", "40", "The sessions at once"))
        .arg(number("organisations", "10", "The organisations"))
        .arg(number(
            "surge",
            "1",
            "How the largest organisation grows in a surge",
        ))
        .arg(text(
            "entries",
            "",
            "The entries' addresses, separated by commas",
        ))
        .arg(text("routers", "", "The routers' addresses for metrics"))
        .arg(text("engines", "", "The engines' addresses"))
        .arg(text("services", "", "The services' addresses"))
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Write the report as JSON"),
        )
}

fn read_settings(matches: &ArgMatches) -> Settings {
    Settings {
        workload: get_text(matches, "workload"),
        model: get_text(matches, "model"),
        policy: get_text(matches, "policy"),
        seed: get_number(matches, "seed"),
        duration: Duration::from_secs(get_number(matches, "seconds")),
        sessions: get_number(matches, "sessions"),
        organisations: get_number(matches, "organisations") as usize,
        surge_factor: get_number(matches, "surge"),
        entries: get_list(matches, "entries", ','),
        routers: get_list(matches, "routers", ','),
        engines: get_list(matches, "engines", ','),
        services: get_list(matches, "services", ','),
    }
}

fn execute(matches: &ArgMatches) -> Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(|source| Error::Runtime { source })?;
    let report = runtime.block_on(run::run(read_settings(matches)))?;
    let json = serde_json::to_string(&report).unwrap_or_default();
    if let Some(file) = matches.get_one::<String>("json") {
        std::fs::write(file, &json).map_err(|source| Error::File {
            file: file.clone(),
            source,
        })?;
    }
    println!("{}", report.format_table());
    Ok(report)
}

fn main() -> ExitCode {
    env_logger::init();
    match execute(&command().get_matches()) {
        Ok(report) if report.has_no_violation() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("sardinemux-load: {error}");
            ExitCode::from(2)
        }
    }
}
