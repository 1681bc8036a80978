//! Command-line options of tools and their values.

use clap::{value_parser, Arg, ArgMatches};

/// Creates an option that takes a whole number.
pub fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Creates an option that takes a text.
pub fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

/// Returns the value of an option that takes a whole number, or 0 if it has none.
///
/// # Examples
///
/// ```
/// use clap::Command;
/// use sardinemux_host::arguments;
///
/// let command = Command::new("tool").arg(arguments::number("seed", "1", "The seed"));
/// let matches = command.get_matches_from(["tool", "--seed", "7"]);
/// assert_eq!(arguments::get_number(&matches, "seed"), 7);
/// ```
pub fn get_number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Returns the value of an option that takes a text, or an empty text if it has none.
pub fn get_text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Splits the value of an option at a separator and returns the parts that are not empty.
pub fn get_list(matches: &ArgMatches, name: &str, separator: char) -> Vec<String> {
    let text = get_text(matches, name);
    let parts = text.split(separator).filter(|part| !part.is_empty());
    parts.map(str::to_owned).collect()
}
