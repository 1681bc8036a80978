//! The stand-in binary: one subcommand for each kind of stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use sardinemux_host::arguments::{get_number, get_text, number, text};
use sardinemux_host::tool;
use sardinemux_standin::errors::{Error, Result};
use sardinemux_standin::{engine, platform, proxy, replica, service};

/// Describes a required argument that is a socket address.
fn address_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn command() -> Command {
    let engine = Command::new("engine")
        .about("Model engines, one a port")
        .arg(address_argument("address", "Where the first one listens"))
        .arg(number("count", "1", "How many, on the ports that follow"))
        .arg(text("id", "engine", "The beginning of their names"))
        .arg(text("model", "sardine-7b", "The model"))
        .arg(number(
            "slots",
            "8",
            "The requests that are batched at once",
        ))
        .arg(number(
            "cold-slots",
            "2",
            "The requests that are borne while cold",
        ))
        .arg(number(
            "warm-after",
            "8",
            "The completions after which one is warm",
        ))
        .arg(number(
            "cache-tokens",
            "60000",
            "The tokens that the cache holds",
        ))
        .arg(number("prefill-us", "150", "Microseconds a prompt token"))
        .arg(number("token-us", "4000", "Microseconds a token"))
        .arg(number("report-lag-ms", "400", "How far load reports lag"))
        .arg(number("event-lag-ms", "1500", "How far cache events lag"))
        .arg(number("event-gap", "20", "One event in this many is lost"))
        .arg(number("restart-ms", "800", "How long a restart takes"))
        .arg(number("load-ms", "500", "How long a duty is loaded"))
        .arg(
            Arg::new("ignores-numbers")
                .long("ignores-numbers")
                .action(ArgAction::SetTrue),
        )
        .arg(Arg::new("warm").long("warm").action(ArgAction::SetTrue));
    let service = Command::new("service")
        .about("A plain service that counts every run")
        .arg(address_argument("address", "Where it listens"))
        .arg(number("work-ms", "10", "The time that a call takes"));
    let replica = Command::new("replica")
        .about("A replica of the users' platform: a model engine or a plain service")
        .arg(address_argument("address", "Where it listens"))
        .arg(text("id", "replica", "Its id in the platform's list"))
        .arg(text("build", "v1", "The version of its software"))
        .arg(number("slots", "8", "The requests that run at once"))
        .arg(number("queue", "16", "The requests that may wait"))
        .arg(number(
            "work-ms",
            "10",
            "The time that a whole answer takes",
        ))
        .arg(number("events", "20", "The events of a stream"))
        .arg(number("event-ms", "10", "The time between two events"))
        .arg(number(
            "cache-tokens",
            "60000",
            "The tokens of prompts that are kept",
        ))
        .arg(number(
            "tokens-per-ms",
            "55",
            "Prompt tokens read in a millisecond",
        ))
        .arg(number(
            "unframed-percent",
            "0",
            "The percentage of answers whose end is marked by the end of the connection",
        ))
        .arg(number(
            "break-percent",
            "0",
            "The percentage of streams that break off, besides those of the faults that are set",
        ))
        .arg(number(
            "pause-percent",
            "0",
            "The percentage of answers that fall silent for a moment and go on",
        ))
        .arg(number(
            "brittle",
            "0",
            "The rejections in a second above which the replica falls over; 0 for none",
        ))
        .arg(text(
            "fatal-body",
            "",
            "The body of requests under which the replica crashes; none if it is empty",
        ));
    let platform = Command::new("platform")
        .about("Instance list, table and object store")
        .arg(address_argument("address", "Where it listens"))
        .arg(number("list-lag-ms", "1000", "How far the list lags"));
    let proxy = Command::new("proxy")
        .about("A TCP proxy that injects faults")
        .arg(address_argument("control", "Where faults are set"))
        .arg(
            Arg::new("pair")
                .long("pair")
                .action(ArgAction::Append)
                .required(true)
                .help("LISTEN=UPSTREAM, both ip:port"),
        )
        .arg(
            Arg::new("reset")
                .long("reset")
                .action(ArgAction::SetTrue)
                .help("Reset the connections that a fault ends, rather than close them"),
        );
    Command::new("sardinemux-standin")
        .about("Stands in for what surrounds sardinemux, in tests and trials")
        .subcommand_required(true)
        .arg(
            Arg::new("threads")
                .long("threads")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Worker threads"),
        )
        .subcommands([engine, service, replica, platform, proxy])
}

/// Returns the value of an address argument.
fn get_address(matches: &ArgMatches, name: &str) -> SocketAddr {
    let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = matches.get_one::<SocketAddr>(name).copied();
    address.unwrap_or(unspecified)
}

/// Runs the engines on consecutive ports until one of them fails.
async fn run_engines(matches: &ArgMatches) -> Result<()> {
    let first = get_address(matches, "address");
    let engines = (0..get_number(matches, "count")).map(|index| {
        let mut address = first;
        address.set_port(first.port() + index as u16);
        engine::run(engine::Settings {
            id: format!("{}{index}", get_text(matches, "id")).into(),
            model: get_text(matches, "model").into(),
            address,
            slots: get_number(matches, "slots") as u32,
            cold_limit: get_number(matches, "cold-slots") as u32,
            warmup_completions: get_number(matches, "warm-after"),
            cache_tokens: get_number(matches, "cache-tokens"),
            prefill_us: get_number(matches, "prefill-us"),
            token_us: get_number(matches, "token-us"),
            report_lag_ms: get_number(matches, "report-lag-ms"),
            event_lag_ms: get_number(matches, "event-lag-ms"),
            event_loss_interval: get_number(matches, "event-gap"),
            restart_ms: get_number(matches, "restart-ms"),
            starts_warm: matches.get_flag("warm"),
            duty_load_ms: get_number(matches, "load-ms"),
            ignores_fencing: matches.get_flag("ignores-numbers"),
        })
    });
    futures_util::future::try_join_all(engines).await?;
    Ok(())
}

/// Parses a pair of addresses, `LISTEN=UPSTREAM`.
fn parse_pair(value: &str) -> Result<proxy::Pair> {
    let malformed = || Error::Argument {
        name: "pair",
        value: value.to_owned(),
        allowed: "LISTEN=UPSTREAM, both ip:port",
    };
    let (listen, upstream) = value.split_once('=').ok_or_else(malformed)?;
    Ok(proxy::Pair {
        listen: listen.parse().map_err(|_| malformed())?,
        upstream: upstream.parse().map_err(|_| malformed())?,
    })
}

async fn run_proxy(matches: &ArgMatches) -> Result<()> {
    let pairs = matches.get_many::<String>("pair").unwrap_or_default();
    let settings = proxy::Settings {
        control: get_address(matches, "control"),
        pairs: pairs
            .map(|value| parse_pair(value))
            .collect::<Result<_>>()?,
        resets: matches.get_flag("reset"),
    };
    proxy::run(settings).await
}

async fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("engine", matches)) => run_engines(matches).await,
        Some(("service", matches)) => {
            let settings = service::Settings {
                address: get_address(matches, "address"),
                work_ms: get_number(matches, "work-ms"),
            };
            service::run(settings).await
        }
        Some(("replica", matches)) => {
            let settings = replica::Settings {
                id: get_text(matches, "id"),
                build: get_text(matches, "build"),
                address: get_address(matches, "address"),
                slots: get_number(matches, "slots") as u32,
                queue: get_number(matches, "queue") as u32,
                work_ms: get_number(matches, "work-ms"),
                events: get_number(matches, "events"),
                event_ms: get_number(matches, "event-ms"),
                cache_tokens: get_number(matches, "cache-tokens"),
                tokens_per_ms: get_number(matches, "tokens-per-ms"),
                unframed_percent: get_number(matches, "unframed-percent"),
                break_percent: get_number(matches, "break-percent"),
                pause_percent: get_number(matches, "pause-percent"),
                brittle: get_number(matches, "brittle"),
                fatal_body: Some(get_text(matches, "fatal-body")).filter(|body| !body.is_empty()),
            };
            match replica::serving::run(settings).await? {}
        }
        Some(("platform", matches)) => {
            let settings = platform::Settings {
                address: get_address(matches, "address"),
                list_lag_ms: get_number(matches, "list-lag-ms"),
            };
            platform::run(settings).await
        }
        Some(("proxy", matches)) => run_proxy(matches).await,
        _ => Ok(()),
    }
}

fn main() -> ExitCode {
    env_logger::init();
    let matches = command().get_matches();
    let threads = get_number(&matches, "threads") as usize;
    let running = async { run(&matches).await.map(|()| true) };
    tool::run("sardinemux-standin", threads, running)
}
