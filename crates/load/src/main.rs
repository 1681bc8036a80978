//! The load tool binary.

use std::process::ExitCode;
use std::time::Duration;

use clap::{value_parser, Arg, ArgMatches, Command};
use sardinemux_load::errors::{Error, Result};
use sardinemux_load::report::Report;
use sardinemux_load::run::{self, Settings};

/// The worker threads.
const THREADS: usize = 2;

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

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

fn words(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn list(matches: &ArgMatches, name: &str) -> Vec<String> {
    let text = words(matches, name);
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(str::to_owned).collect()
}

fn get(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn settings(matches: &ArgMatches) -> Settings {
    Settings {
        workload: words(matches, "workload"),
        model: words(matches, "model"),
        policy: words(matches, "policy"),
        seed: get(matches, "seed"),
        time: Duration::from_secs(get(matches, "seconds")),
        sessions: get(matches, "sessions"),
        organisations: get(matches, "organisations") as usize,
        surge: get(matches, "surge"),
        entries: list(matches, "entries"),
        routers: list(matches, "routers"),
        engines: list(matches, "engines"),
        services: list(matches, "services"),
    }
}

fn work(matches: &ArgMatches) -> Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .map_err(|source| Error::Runtime { source })?;
    let report = runtime.block_on(run::run(settings(matches)))?;
    let json = serde_json::to_string(&report).unwrap_or_default();
    if let Some(file) = matches.get_one::<String>("json") {
        std::fs::write(file, &json).map_err(|source| Error::File {
            file: file.clone(),
            source,
        })?;
    }
    println!("{}", report.table());
    Ok(report)
}

fn main() -> ExitCode {
    env_logger::init();
    match work(&command().get_matches()) {
        Ok(report) if report.holds_under_faults() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("sardinemux-load: {error}");
            ExitCode::from(2)
        }
    }
}
