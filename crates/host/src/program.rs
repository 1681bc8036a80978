//! Starts a program: command line, checked settings, logs and the asynchronous runtime.

use std::future::Future;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use snafu::ResultExt;

use crate::errors::{Result, RuntimeSnafu};
use crate::logs;
use crate::settings::{Key, Kind, Values};

/// The exit status if the settings are not valid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// The settings that every program has.
pub const COMMON_KEYS: [Key; 2] = [
    Key {
        section: "program",
        name: "log",
        kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        default: Some("info"),
        about: "The least severe level that is logged.",
    },
    Key {
        section: "program",
        name: "threads",
        kind: Kind::Count { least: 1, most: 64 },
        default: Some("2"),
        about: "The number of worker threads, which determines the memory use; 1 runs everything on the main thread.",
    },
];

/// The name, the purpose and the settings of a program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The name of the binary.
    pub name: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
    /// The keys of its settings besides [`COMMON_KEYS`].
    pub keys: &'static [Key],
    /// The environment variable that names the settings file if the command line does not.
    pub settings_variable: Option<&'static str>,
}

fn build_command(program: &Program) -> Command {
    let keys: Vec<String> = all_keys(program)
        .iter()
        .map(|key| {
            let default = key
                .default
                .map_or("required".to_owned(), |value| format!("default {value:?}"));
            let allowed = key.kind.describe();
            format!(
                "[{}] {}: {} ({allowed}; {default})",
                key.section, key.name, key.about
            )
        })
        .collect();
    Command::new(program.name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(program.about)
        .after_help(format!("Settings:\n{}", keys.join("\n")))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(!is_variable_set(program))
                .help("The INI file with the settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn is_variable_set(program: &Program) -> bool {
    program
        .settings_variable
        .is_some_and(|name| std::env::var_os(name).is_some())
}

fn settings_file(program: &Program, matches: &clap::ArgMatches) -> String {
    let given = matches.get_one::<String>("settings").cloned();
    let variable = program
        .settings_variable
        .and_then(|name| std::env::var(name).ok());
    given.or(variable).unwrap_or_default()
}

/// Returns all keys of a program's settings file, with [`COMMON_KEYS`] first.
pub fn all_keys(program: &Program) -> Vec<Key> {
    COMMON_KEYS.iter().chain(program.keys).copied().collect()
}

/// Reads the command line and the settings, and runs the program.
///
/// The exit status is 2 if the settings are not valid, and 1 if the program fails.
pub fn run<F, E>(program: &Program, main: impl FnOnce(Values) -> F) -> ExitCode
where
    F: Future<Output = std::result::Result<(), E>>,
    E: std::error::Error,
{
    let matches = build_command(program).get_matches();
    let file = settings_file(program, &matches);
    let values = match Values::load(&file, &all_keys(program)) {
        Ok(values) => values,
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{file}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    logs::init(&values.text("program", "log").unwrap_or_default());
    match build_runtime(&values) {
        Ok(runtime) => report_result(program, runtime.block_on(main(values))),
        Err(error) => report_result(program, Err(error)),
    }
}

fn report_result<E: std::error::Error>(
    program: &Program,
    result: std::result::Result<(), E>,
) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(program = program.name, error:% = error; "program failed");
            logs::flush();
            ExitCode::FAILURE
        }
    }
}

fn build_runtime(values: &Values) -> Result<tokio::runtime::Runtime> {
    let threads = values.number("program", "threads")? as usize;
    if threads == 1 {
        return tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(RuntimeSnafu);
    }
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .max_blocking_threads(4)
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}
