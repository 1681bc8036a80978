//! Runs fault soaks, one a seed, and says which promises were broken.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command};
use sardinemux_host::arguments::{get_number, number};
use sardinemux_host::tool;
use sardinemux_proof::errors::Result;
use sardinemux_proof::soak::{self, Settings};

/// The threads of the load and the checks.
const THREADS: usize = 2;

fn command() -> Command {
    Command::new("sardinemux-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs real gateways under load and faults, and checks what callers and replicas saw")
        .arg(number("seed", "1", "The first seed"))
        .arg(number("seeds", "1", "How many seeds, one after the other"))
        .arg(number("seconds", "10", "How long faults begin"))
        .arg(number("faults", "10", "The faults of a seed"))
        .arg(number("gateways", "5", "The gateways"))
        .arg(number("engines", "4", "The replicas that stream"))
        .arg(number("builds", "1", "The builds of the replicas that stream; with several, all gateways are killed at times"))
        .arg(number("services", "3", "The replicas of a plain service"))
        .arg(number("callers", "3", "The callers at each gateway"))
        .arg(number(
            "unframed-percent",
            "0",
            "The percentage of answers whose end is marked by the end of the connection",
        ))
        .arg(number(
            "break-percent",
            "0",
            "The percentage of streams that replicas break off at any time",
        ))
        .arg(number(
            "brittle",
            "0",
            "The rejections in a second above which replicas of the plain service fall over; 0 for none",
        ))
        .arg(number(
            "pause-percent",
            "0",
            "The percentage of answers in which replicas fall silent for a moment and go on",
        ))
        .arg(
            Arg::new("sound-targets")
                .long("sound-targets")
                .num_args(0)
                .conflicts_with("break-percent")
                .help("Harm neither replicas nor paths to them, and kill or freeze no gateway; no answer may be cut then"),
        )
        .arg(
            Arg::new("isolations")
                .long("isolations")
                .num_args(0)
                .conflicts_with("sound-targets")
                .conflicts_with("fatal-requests")
                .help("Let gateways lose their paths to all replicas at times"),
        )
        .arg(
            Arg::new("restores")
                .long("restores")
                .num_args(0)
                .conflicts_with("fatal-requests")
                .help("Let the store come back from older copies, and replicas state that they leave or want no requests"),
        )
        .arg(
            Arg::new("departures")
                .long("departures")
                .num_args(0)
                .help("Let callers leave their requests, also with bytes behind these"),
        )
        .arg(
            Arg::new("lapses")
                .long("lapses")
                .num_args(0)
                .conflicts_with("fatal-requests")
                .help("Let entries of replicas that turn requests away lapse at times"),
        )
        .arg(number("memory-mb", "256", "The memory that a gateway may have, in megabytes"))
        .arg(
            Arg::new("floods")
                .long("floods")
                .num_args(0)
                .conflicts_with("sound-targets")
                .conflicts_with("fatal-requests")
                .conflicts_with("brittle")
                .help("Let replicas send bytes without end at times"),
        )
        .arg(
            Arg::new("slow-targets")
                .long("slow-targets")
                .num_args(0)
                .conflicts_with("sound-targets")
                .conflicts_with("fatal-requests")
                .conflicts_with("brittle")
                .help("Let replicas work slowly at times, so that answers reach their time limit"),
        )
        .arg(
            Arg::new("moves")
                .long("moves")
                .num_args(0)
                .conflicts_with("fatal-requests")
                .conflicts_with("brittle")
                .help("Move the routes of the plain service between three pools of its replicas at times"),
        )
        .arg(
            Arg::new("former")
                .long("former")
                .value_name("PROGRAM")
                .help("The gateway's program of an earlier build; gateways change between it and the present one"),
        )
        .arg(
            Arg::new("fatal-requests")
                .long("fatal-requests")
                .num_args(0)
                .help("Send a request that crashes the replicas of the plain service, and harm no replica otherwise"),
        )
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .num_args(0)
                .help("Print each step"),
        )
}

async fn run(settings: Settings, is_verbose: bool) -> Result<bool> {
    let (report, fleet) = soak::run(&settings).await?;
    println!(
        "seed {}: {} steps, {} sent, {} served, {} cut, {} unanswered, {} of {} streams taken up served, {} falls, {} crashes, {} promises broken",
        settings.seed,
        report.steps.len(),
        report.sent,
        report.served,
        report.cut,
        report.unanswered,
        report.resumptions.1,
        report.resumptions.0,
        report.falls,
        report.crashes,
        report.breaches.len()
    );
    let is_kept = report.breaches.is_empty();
    if is_verbose || !is_kept {
        for step in &report.steps {
            println!(
                "  {:>6} ms {:?} for {:?}",
                step.at.as_millis(),
                step.action,
                step.lasts
            );
        }
    }
    for breach in report.breaches.iter().take(20) {
        println!("  BROKEN: {breach}");
    }
    if !is_kept {
        println!("  logs: {}", fleet.keep_logs().display());
    }
    Ok(is_kept)
}

async fn run_all(matches: &clap::ArgMatches) -> Result<bool> {
    let count = |name: &str| get_number(matches, name) as usize;
    let first = get_number(matches, "seed");
    let mut is_kept = true;
    for seed in first..first + get_number(matches, "seeds") {
        let mut settings = Settings {
            seed,
            time: Duration::from_secs(get_number(matches, "seconds")),
            faults: count("faults"),
            callers: count("callers"),
            has_sound_targets: matches.get_flag("sound-targets"),
            has_isolations: matches.get_flag("isolations"),
            has_restores: matches.get_flag("restores"),
            has_departures: matches.get_flag("departures"),
            has_lapses: matches.get_flag("lapses"),
            has_floods: matches.get_flag("floods"),
            has_slow_targets: matches.get_flag("slow-targets"),
            ..Settings::default()
        };
        settings.fleet.former_program = matches.get_one::<String>("former").cloned();
        settings.fleet.gateways = count("gateways");
        settings.fleet.engines = count("engines");
        settings.fleet.services = count("services");
        settings.fleet.builds = count("builds");
        settings.fleet.memory_mb = get_number(matches, "memory-mb");
        settings.fleet.has_moves = matches.get_flag("moves");
        settings.fleet.unframed_percent = get_number(matches, "unframed-percent");
        settings.fleet.break_percent = get_number(matches, "break-percent");
        settings.fleet.pause_percent = get_number(matches, "pause-percent");
        settings.fleet.brittle = get_number(matches, "brittle");
        settings.fleet.has_fatal_requests = matches.get_flag("fatal-requests");
        is_kept &= run(settings, matches.get_flag("verbose")).await?;
    }
    Ok(is_kept)
}

fn main() -> ExitCode {
    env_logger::init();
    let matches = command().get_matches();
    tool::run("sardinemux-soak", THREADS, run_all(&matches))
}
