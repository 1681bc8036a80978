//! The execution of each command: the changes that it submits, or the data that it reads and prints.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use sardinemux_core::config::command::Expected;
use sardinemux_core::config::{
    query, Change, ChangeId, Duty, Entry, Exception, Operator, Organisation, Parameter, Scope,
    Stop, StopKind, Version,
};
use sardinemux_wire::admin::{FleetLoad, Rollout, Submission, Verdict};
use serde_json::Value;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt};

use crate::api::Api;
use crate::check;
use crate::errors::{Error, InvalidArgumentSnafu, MalformedSnafu, Result, UnreadableFileSnafu};
use crate::show;

/// The pause between two requests for the versions that the routers apply.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The scopes of an exception, by their names on the command line.
const SCOPES: [(&str, Scope); 4] = [
    ("engine", Scope::Engine),
    ("organisation", Scope::Organisation),
    ("model", Scope::Model),
    ("zone", Scope::Zone),
];

/// The kinds of component that a planned stop applies to, by their names on the command line.
const STOP_KINDS: [(&str, StopKind); 3] = [
    ("target", StopKind::Target),
    ("router", StopKind::Router),
    ("zone", StopKind::Zone),
];

/// Returns the value of an argument; empty if it is absent.
fn argument(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Returns the value of an argument that the command needs.
fn require(matches: &ArgMatches, name: &'static str, allowed: &str) -> Result<String> {
    let value = matches.get_one::<String>(name).cloned();
    value.context(InvalidArgumentSnafu {
        name,
        value: "",
        allowed,
    })
}

/// Parses the value of an argument; `allowed` describes the valid values in the error.
fn parse_number<T: std::str::FromStr>(
    matches: &ArgMatches,
    name: &'static str,
    allowed: &str,
) -> Result<T> {
    let value = argument(matches, name);
    value.parse().ok().context(InvalidArgumentSnafu {
        name,
        value,
        allowed,
    })
}

/// Parses an argument whose value is one of several keywords.
fn parse_choice<T: Copy>(
    matches: &ArgMatches,
    name: &'static str,
    choices: &[(&str, T)],
) -> Result<T> {
    let value = argument(matches, name);
    let found = choices.iter().find(|(keyword, _)| *keyword == value);
    let keywords: Vec<&str> = choices.iter().map(|(keyword, _)| *keyword).collect();
    found
        .map(|(_, choice)| *choice)
        .context(InvalidArgumentSnafu {
            name,
            value,
            allowed: keywords.join(", "),
        })
}

/// Parses the argument that names a parameter.
fn parse_parameter(matches: &ArgMatches) -> Result<Parameter> {
    let value = argument(matches, "parameter");
    let names: Vec<&str> = sardinemux_core::config::parameter::ALL
        .iter()
        .map(|parameter| parameter.name())
        .collect();
    Parameter::parse(&value).context(InvalidArgumentSnafu {
        name: "parameter",
        value,
        allowed: names.join(", "),
    })
}

/// Runs the command that the command line states.
///
/// # Errors
///
/// The error that ends the command; [`Error::exit_status`] returns its exit status.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let Some((name, inner)) = matches.subcommand() else {
        return Ok(());
    };
    if name == "check" {
        return check::run(inner).await;
    }
    let admin = require(matches, "admin", "the address of the administration API")?;
    let api = Api::new(&admin, &require(matches, "token", "the operator's token")?)?;
    match name {
        "apply" => return submit_changes(&api, inner, read_changes(inner)?).await,
        "change" => return query_verdict(&api, inner).await,
        "history" => {
            let after: Version = parse_number(inner, "after", "a version")?;
            return print_list(&api, inner, &format!("/v1/history?after={after}")).await;
        }
        "diff" => {
            let from: Version = parse_number(inner, "from", "a version")?;
            let to: Version = parse_number(inner, "to", "a version")?;
            return print_list(&api, inner, &format!("/v1/diff?from={from}&to={to}")).await;
        }
        "force" => return print_versions(&api, inner).await,
        "load" => return print_load(&api, inner).await,
        _ => {}
    }
    let Some((action, arguments)) = inner.subcommand() else {
        return Ok(());
    };
    match action {
        "list" if name == "duty" => print_list(&api, arguments, "/v1/duties").await,
        "list" => print_list(&api, arguments, &format!("/v1/{name}s")).await,
        _ => {
            let change = build_change(name, action, arguments)?;
            submit_changes(&api, arguments, vec![change]).await
        }
    }
}

/// Builds the change that an action of a command group submits.
fn build_change(group: &str, action: &str, matches: &ArgMatches) -> Result<Change> {
    let name = || argument(matches, "name").into();
    let reason = || argument(matches, "reason").into();
    Ok(match (group, action) {
        ("default", _) => Change::SetDefault {
            parameter: parse_parameter(matches)?,
            value: parse_number(matches, "value", "a number")?,
        },
        ("exception", "set") => Change::SetException(Exception {
            scope: parse_choice(matches, "scope", &SCOPES)?,
            name: name(),
            parameter: parse_parameter(matches)?,
            value: parse_number(matches, "value", "a number")?,
            reason: reason(),
            author: SmolStr::default(),
        }),
        ("exception", _) => Change::RemoveException {
            scope: parse_choice(matches, "scope", &SCOPES)?,
            name: name(),
            parameter: parse_parameter(matches)?,
        },
        ("zone", "out") => Change::BeginStop(Stop {
            kind: StopKind::Zone,
            name: name(),
            reason: reason(),
        }),
        ("zone", _) => Change::EndStop {
            kind: StopKind::Zone,
            name: name(),
        },
        ("stop", "begin") => Change::BeginStop(Stop {
            kind: parse_choice(matches, "kind", &STOP_KINDS)?,
            name: name(),
            reason: reason(),
        }),
        ("stop", _) => Change::EndStop {
            kind: parse_choice(matches, "kind", &STOP_KINDS)?,
            name: name(),
        },
        ("organisation", "set") => Change::SetOrganisation(Organisation {
            name: name(),
            member: argument(matches, "member").into(),
            weight: parse_number(matches, "weight", "a number")?,
            key_digests: matches
                .get_many::<String>("key")
                .unwrap_or_default()
                .map(|key| query::digest(key))
                .collect(),
        }),
        ("organisation", _) => Change::RemoveOrganisation { name: name() },
        ("duty", "set") => Change::SetDuty {
            engine: name(),
            duty: Duty {
                model: argument(matches, "model").into(),
                version: argument(matches, "weights").into(),
                adapters: matches
                    .get_many::<String>("adapter")
                    .unwrap_or_default()
                    .map(SmolStr::from)
                    .collect(),
                role: argument(matches, "role").into(),
            },
        },
        ("duty", _) => Change::RemoveDuty { engine: name() },
        ("operator", "set") => Change::SetOperator(Operator {
            name: name(),
            member: matches
                .get_one::<String>("member")
                .map(|member| member.into()),
            token_digest: query::digest(&argument(matches, "operator-token")),
        }),
        _ => Change::RemoveOperator { name: name() },
    })
}

/// Reads a JSON list of changes from the file that the arguments name.
fn read_changes(matches: &ArgMatches) -> Result<Vec<Change>> {
    let file = argument(matches, "file");
    let content =
        std::fs::read_to_string(&file).context(UnreadableFileSnafu { file: file.clone() })?;
    serde_json::from_str(&content).context(MalformedSnafu { what: file })
}

/// Parses the options `--expect`.
fn parse_expected(matches: &ArgMatches) -> Result<Vec<Expected>> {
    let values = matches.get_many::<String>("expect").unwrap_or_default();
    let parse = |value: &String| {
        let (key, version) = value.rsplit_once('=')?;
        let version = version.parse().ok()?;
        let key = key.into();
        Some(Expected { key, version })
    };
    values
        .map(|value| {
            parse(value).context(InvalidArgumentSnafu {
                name: "expect",
                value,
                allowed: "KEY=VERSION",
            })
        })
        .collect()
}

/// Submits changes, under a new id unless the arguments state one, and prints the verdict.
async fn submit_changes(api: &Api, matches: &ArgMatches, changes: Vec<Change>) -> Result<()> {
    let id = match matches.get_one::<String>("id") {
        Some(id) => ChangeId::parse_str(id).ok().context(InvalidArgumentSnafu {
            name: "id",
            value: id,
            allowed: "a UUID",
        })?,
        None => ChangeId::new_v4(),
    };
    let submission = Submission {
        id,
        expected: parse_expected(matches)?,
        dry_run: matches.get_flag("dry-run"),
        changes,
    };
    let verdict = api.submit(&submission).await?;
    report_verdict(api, matches, verdict).await
}

/// Prints a verdict. Returns an error if the changes were not accepted or the result is unknown.
async fn report_verdict(api: &Api, matches: &ArgMatches, verdict: Verdict) -> Result<()> {
    if matches.get_flag("json") {
        show::print_json(&verdict);
    }
    let is_quiet = matches.get_flag("json");
    match verdict {
        Verdict::Accepted { entry } => {
            if !is_quiet {
                println!("accepted as version {} ({})", entry.version, entry.id);
            }
            wait_for_routers(api, matches, entry.version).await
        }
        Verdict::Valid { version } => {
            if !is_quiet {
                println!("valid at version {version}; nothing was changed");
            }
            Ok(())
        }
        Verdict::NotAccepted { winner } => {
            let conflict = winner.map_or(
                "the log has no readable entry for it".to_owned(),
                |winner| {
                    let keys: Vec<String> = winner
                        .changes
                        .iter()
                        .map(|change| change.key().to_string())
                        .collect();
                    let Entry {
                        version, author, ..
                    } = &winner;
                    format!("version {version} by {author} changed {}", keys.join(", "))
                },
            );
            Err(Error::NotAccepted { conflict })
        }
        Verdict::Unknown { id, attempted } => Err(Error::Unknown { id, attempted }),
    }
}

/// Waits until every listed router applies a version, if the option `--wait` is given.
async fn wait_for_routers(api: &Api, matches: &ArgMatches, version: Version) -> Result<()> {
    if matches.get_one::<String>("wait").is_none() {
        return Ok(());
    }
    let seconds: u64 = parse_number(matches, "wait", "a number of seconds")?;
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let force: Rollout = api.get("/v1/force").await?;
        let lagging: Vec<String> = force
            .routers
            .iter()
            .filter(|router| router.version.is_none_or(|held| held < version))
            .map(|router| router.router.to_string())
            .collect();
        if lagging.is_empty() {
            println!(
                "version {version} is in force on {} routers",
                force.routers.len()
            );
            return Ok(());
        }
        if Instant::now() >= deadline {
            let lagging = lagging.join(", ");
            return Err(Error::Lagging { version, lagging });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prints the verdict on a submission that was made earlier.
async fn query_verdict(api: &Api, matches: &ArgMatches) -> Result<()> {
    let id = argument(matches, "id-of-change");
    let path = match matches.get_one::<String>("attempted") {
        Some(attempted) => format!("/v1/changes/{id}?attempted={attempted}"),
        None => format!("/v1/changes/{id}"),
    };
    let verdict: Verdict = api.get(&path).await?;
    report_verdict(api, matches, verdict).await
}

/// Prints the response to a GET request.
async fn print_list(api: &Api, matches: &ArgMatches, path: &str) -> Result<()> {
    let value: Value = api.get(path).await?;
    match matches.get_flag("json") {
        true => show::print_json(&value),
        false => show::print_table(&value),
    }
    Ok(())
}

/// Prints the requests on each target, and the routers that did not answer.
async fn print_load(api: &Api, matches: &ArgMatches) -> Result<()> {
    let load: FleetLoad = api.get("/v1/load").await?;
    if matches.get_flag("json") {
        show::print_json(&load);
        return Ok(());
    }
    let targets = serde_json::to_value(&load.targets).context(MalformedSnafu {
        what: "the response",
    })?;
    show::print_table(&targets);
    for router in &load.silent_routers {
        println!("no answer from {router}: its targets may still have work");
    }
    Ok(())
}

/// Prints the newest accepted version, and the version that each router applies.
async fn print_versions(api: &Api, matches: &ArgMatches) -> Result<()> {
    let force: Rollout = api.get("/v1/force").await?;
    if matches.get_flag("json") {
        show::print_json(&force);
        return Ok(());
    }
    println!("newest accepted version: {}", force.version);
    let routers = serde_json::to_value(&force.routers).context(MalformedSnafu {
        what: "the response",
    })?;
    show::print_table(&routers);
    Ok(())
}
