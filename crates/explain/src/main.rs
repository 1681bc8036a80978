//! Prints the timeline of one request from the logs of all gateways.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use sardinemux_explain::errors::{NotFoundSnafu, ReadSnafu, Result, WriteSnafu};
use sardinemux_explain::line::Line;
use sardinemux_explain::timeline;
use snafu::{ensure, ResultExt};

/// The file name that means standard input.
const STANDARD_INPUT: &str = "-";

fn build_command() -> Command {
    Command::new("sardinemux-explain")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Prints the timeline of one request from the logs of all gateways")
        .after_help(
            "Lines about the request are marked with *; the others are events that its gateways logged around the same \
             time and that may explain it. Times are relative to its first line, by the clocks of the instances.",
        )
        .arg(
            Arg::new("request-id")
                .required(true)
                .help("The request id that the caller gave to this attempt"),
        )
        .arg(
            Arg::new("file")
                .action(ArgAction::Append)
                .num_args(0..)
                .default_value(STANDARD_INPUT)
                .help("Log files, one per instance or collected from several; - for standard input"),
        )
}

fn read_lines(file: &str) -> Result<Vec<Line>> {
    let reader: Box<dyn BufRead> = match file {
        STANDARD_INPUT => Box::new(io::stdin().lock()),
        _ => Box::new(BufReader::new(
            File::open(file).context(ReadSnafu { file })?,
        )),
    };
    let mut lines = Vec::new();
    for bytes in reader.split(b'\n') {
        let bytes = bytes.context(ReadSnafu { file })?;
        lines.extend(Line::parse(&String::from_utf8_lossy(&bytes), file));
    }
    Ok(lines)
}

fn run() -> Result<()> {
    let matches = build_command().get_matches();
    let id = matches.get_one::<String>("request-id");
    let id = id.map(String::as_str).unwrap_or_default();
    let mut lines = Vec::new();
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        lines.extend(read_lines(file)?);
    }
    let timeline = timeline::build(id, lines);
    ensure!(!timeline.lines.is_empty(), NotFoundSnafu { id });
    write!(io::stdout(), "{timeline}").context(WriteSnafu)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardinemux-explain: {error}");
            ExitCode::FAILURE
        }
    }
}
