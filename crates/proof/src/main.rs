//! The trial binary: a fleet on one machine, a scenario, a load, and the report.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use sardinemux_host::arguments::{get_list, get_number, get_text, number, text};
use sardinemux_load::report::Report;
use sardinemux_load::run::Settings as Load;
use sardinemux_proof::capacity::{self, page};
use sardinemux_proof::errors::{Error, Result};
use sardinemux_proof::fleet::Settings;
use sardinemux_proof::scenario::{self, Scenario};

fn command() -> Command {
    Command::new("sardinemux-trial")
        .about("Starts a fleet on this machine, loads it, and reports")
        .arg(text(
            "scenario",
            "churn",
            "churn, zone, surge, flap, cold or rolling",
        ))
        .arg(text(
            "policies",
            "owner",
            "The policies, separated by commas, one after the other",
        ))
        .arg(text("workload", "couloir", "couloir or lakeshore"))
        .arg(text("seeds", "1", "The seeds, separated by commas"))
        .arg(number("seconds", "30", "How long requests are sent"))
        .arg(number("sessions", "40", "The sessions at once"))
        .arg(number("routers", "8", "The routers"))
        .arg(number("zones", "3", "The availability zones"))
        .arg(number("engines", "10", "The engines"))
        .arg(number(
            "engines-per-process",
            "1",
            "The engines that one process serves",
        ))
        .arg(number("services", "3", "The service instances"))
        .arg(text("without", "", "Mechanisms that are switched off"))
        .arg(text(
            "engine-arguments",
            "--warm",
            "Further arguments of the engines",
        ))
        .arg(
            Arg::new("strict")
                .long("strict")
                .action(clap::ArgAction::SetTrue)
                .help("Fail unless every request completes"),
        )
        .arg(
            Arg::new("capacity")
                .long("capacity")
                .value_name("PAGE")
                .help("Measure slopes instead, and write them into the capacity page"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Write the reports as JSON lines"),
        )
}

fn settings(matches: &ArgMatches, policy: &str) -> Settings {
    Settings {
        workload: get_text(matches, "workload"),
        routers: get_number(matches, "routers") as usize,
        zones: get_number(matches, "zones") as usize,
        engines: get_number(matches, "engines") as usize,
        engines_per_process: get_number(matches, "engines-per-process") as usize,
        services: get_number(matches, "services") as usize,
        policy: policy.to_owned(),
        without: get_list(matches, "without", ','),
        engine_arguments: get_list(matches, "engine-arguments", ' '),
        ..Settings::default()
    }
}

fn load(matches: &ArgMatches, seed: u64) -> Load {
    Load {
        seed,
        duration: Duration::from_secs(get_number(matches, "seconds")),
        sessions: get_number(matches, "sessions"),
        ..Load::default()
    }
}

async fn work(matches: &ArgMatches) -> Result<Vec<Report>> {
    let scenario = Scenario::parse(&get_text(matches, "scenario"))?;
    let mut reports = Vec::new();
    for seed in get_list(matches, "seeds", ',') {
        let seed: u64 = seed.parse().map_err(|_| Error::Argument {
            name: "seeds",
            value: seed.clone(),
            allowed: "whole numbers".to_owned(),
        })?;
        // The policies run one after the other with the same seed, so that a slow minute of the
        // machine does not fall on one of them alone.
        for policy in get_list(matches, "policies", ',') {
            let report =
                scenario::run(scenario, settings(matches, &policy), load(matches, seed)).await?;
            println!("{}", report.format_table());
            reports.push(report);
        }
    }
    Ok(reports)
}

fn lines(reports: &[Report]) -> String {
    let lines = reports
        .iter()
        .map(|report| serde_json::to_string(report).unwrap_or_default());
    lines.collect::<Vec<String>>().join("\n")
}

fn run(matches: &ArgMatches) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|source| Error::Io {
            what: "the runtime".to_owned(),
            source,
        })?;
    if let Some(page) = matches.get_one::<String>("capacity") {
        let measured = runtime.block_on(capacity::measure())?;
        println!("{}", page::tables(&measured));
        page::write(&measured, Path::new(page))?;
        return Ok(true);
    }
    let reports = runtime.block_on(work(matches))?;
    let lines = lines(&reports);
    if let Some(file) = matches.get_one::<String>("json") {
        std::fs::write(file, format!("{lines}\n")).map_err(|source| Error::Io {
            what: file.clone(),
            source,
        })?;
    }
    println!("{lines}");
    let is_strict = matches.get_flag("strict");
    Ok(reports.iter().all(|report| match is_strict {
        true => report.is_success(),
        false => report.policy != "owner" || report.has_no_violation(),
    }))
}

fn main() -> ExitCode {
    env_logger::init();
    match run(&command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("sardinemux-trial: a promise was not kept");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("sardinemux-trial: {error}");
            ExitCode::from(2)
        }
    }
}
