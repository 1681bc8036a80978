//! What each command submits or reads.

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
use crate::errors::{ArgumentSnafu, Error, FileSnafu, MalformedSnafu, Result};
use crate::show;

/// The pause between two looks at the versions in force.
const WAIT_PAUSE: Duration = Duration::from_millis(100);

const SCOPES: [(&str, Scope); 4] = [
    ("engine", Scope::Engine),
    ("organisation", Scope::Organisation),
    ("model", Scope::Model),
    ("zone", Scope::Zone),
];

const STOP_KINDS: [(&str, StopKind); 3] = [
    ("target", StopKind::Target),
    ("router", StopKind::Router),
    ("zone", StopKind::Zone),
];

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn number<T: std::str::FromStr>(
    matches: &ArgMatches,
    name: &'static str,
    allowed: &str,
) -> Result<T> {
    let value = text(matches, name);
    value.parse().ok().context(ArgumentSnafu {
        name,
        value,
        allowed,
    })
}

fn choice<T: Copy>(matches: &ArgMatches, name: &'static str, all: &[(&str, T)]) -> Result<T> {
    let value = text(matches, name);
    let found = all.iter().find(|(word, _)| *word == value);
    let words: Vec<&str> = all.iter().map(|(word, _)| *word).collect();
    found.map(|(_, choice)| *choice).context(ArgumentSnafu {
        name,
        value,
        allowed: words.join(", "),
    })
}

fn parameter(matches: &ArgMatches) -> Result<Parameter> {
    let value = text(matches, "parameter");
    let words: Vec<&str> = sardinemux_core::config::parameter::ALL
        .iter()
        .map(|parameter| parameter.name())
        .collect();
    Parameter::parse(&value).context(ArgumentSnafu {
        name: "parameter",
        value,
        allowed: words.join(", "),
    })
}

/// Runs the command that was given.
///
/// # Errors
///
/// What went wrong; see [`Error::exit_status`].
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(&text(matches, "admin"), &text(matches, "token"))?;
    let Some((name, inner)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "apply" => return submit(&api, inner, from_file(inner)?).await,
        "change" => return resolve(&api, inner).await,
        "history" => {
            let after: Version = number(inner, "after", "a version")?;
            return list(&api, inner, &format!("/v1/history?after={after}")).await;
        }
        "diff" => {
            let from: Version = number(inner, "from", "a version")?;
            let to: Version = number(inner, "to", "a version")?;
            return list(&api, inner, &format!("/v1/diff?from={from}&to={to}")).await;
        }
        "force" => return force(&api, inner).await,
        "load" => return load(&api, inner).await,
        _ => {}
    }
    let Some((action, arguments)) = inner.subcommand() else {
        return Ok(());
    };
    match action {
        "list" if name == "duty" => list(&api, arguments, "/v1/duties").await,
        "list" => list(&api, arguments, &format!("/v1/{name}s")).await,
        _ => {
            let change = change(name, action, arguments)?;
            submit(&api, arguments, vec![change]).await
        }
    }
}

/// Builds the change that a command asks for.
fn change(name: &str, action: &str, matches: &ArgMatches) -> Result<Change> {
    let named = || text(matches, "name").into();
    let reason = || text(matches, "reason").into();
    Ok(match (name, action) {
        ("default", _) => Change::SetDefault {
            parameter: parameter(matches)?,
            value: number(matches, "value", "a number")?,
        },
        ("exception", "set") => Change::SetException(Exception {
            scope: choice(matches, "scope", &SCOPES)?,
            name: named(),
            parameter: parameter(matches)?,
            value: number(matches, "value", "a number")?,
            reason: reason(),
            author: SmolStr::default(),
        }),
        ("exception", _) => Change::RemoveException {
            scope: choice(matches, "scope", &SCOPES)?,
            name: named(),
            parameter: parameter(matches)?,
        },
        ("zone", "out") => Change::BeginStop(Stop {
            kind: StopKind::Zone,
            name: named(),
            reason: reason(),
        }),
        ("zone", _) => Change::EndStop {
            kind: StopKind::Zone,
            name: named(),
        },
        ("stop", "begin") => Change::BeginStop(Stop {
            kind: choice(matches, "kind", &STOP_KINDS)?,
            name: named(),
            reason: reason(),
        }),
        ("stop", _) => Change::EndStop {
            kind: choice(matches, "kind", &STOP_KINDS)?,
            name: named(),
        },
        ("organisation", "set") => Change::SetOrganisation(Organisation {
            name: named(),
            member: text(matches, "member").into(),
            weight: number(matches, "weight", "a number")?,
            key_digests: matches
                .get_many::<String>("key")
                .unwrap_or_default()
                .map(|key| query::digest(key))
                .collect(),
        }),
        ("organisation", _) => Change::RemoveOrganisation { name: named() },
        ("duty", "set") => Change::SetDuty {
            engine: named(),
            duty: Duty {
                model: text(matches, "model").into(),
                version: text(matches, "weights").into(),
                adapters: matches
                    .get_many::<String>("adapter")
                    .unwrap_or_default()
                    .map(SmolStr::from)
                    .collect(),
                role: text(matches, "role").into(),
            },
        },
        ("duty", _) => Change::RemoveDuty { engine: named() },
        ("operator", "set") => Change::SetOperator(Operator {
            name: named(),
            member: matches
                .get_one::<String>("member")
                .map(|member| member.into()),
            token_digest: query::digest(&text(matches, "operator-token")),
        }),
        _ => Change::RemoveOperator { name: named() },
    })
}

fn from_file(matches: &ArgMatches) -> Result<Vec<Change>> {
    let file = text(matches, "file");
    let content = std::fs::read_to_string(&file).context(FileSnafu { file: file.clone() })?;
    serde_json::from_str(&content).context(MalformedSnafu { what: file })
}

fn expected(matches: &ArgMatches) -> Result<Vec<Expected>> {
    let values = matches.get_many::<String>("expect").unwrap_or_default();
    let parse = |value: &String| {
        let (key, version) = value.rsplit_once('=')?;
        let version = version.parse().ok()?;
        let key = key.into();
        Some(Expected { key, version })
    };
    values
        .map(|value| {
            parse(value).context(ArgumentSnafu {
                name: "expect",
                value,
                allowed: "KEY=VERSION",
            })
        })
        .collect()
}

async fn submit(api: &Api, matches: &ArgMatches, changes: Vec<Change>) -> Result<()> {
    let id = match matches.get_one::<String>("id") {
        Some(id) => ChangeId::parse_str(id).ok().context(ArgumentSnafu {
            name: "id",
            value: id,
            allowed: "a UUID",
        })?,
        None => ChangeId::new_v4(),
    };
    let submission = Submission {
        id,
        expected: expected(matches)?,
        dry_run: matches.get_flag("dry-run"),
        changes,
    };
    let verdict = api.submit(&submission).await?;
    tell(api, matches, verdict).await
}

async fn tell(api: &Api, matches: &ArgMatches, verdict: Verdict) -> Result<()> {
    if matches.get_flag("json") {
        show::json(&verdict);
    }
    let is_quiet = matches.get_flag("json");
    match verdict {
        Verdict::Accepted { entry } => {
            if !is_quiet {
                println!("accepted as version {} ({})", entry.version, entry.id);
            }
            wait(api, matches, entry.version).await
        }
        Verdict::Valid { version } => {
            if !is_quiet {
                println!("valid at version {version}; nothing was changed");
            }
            Ok(())
        }
        Verdict::NotAccepted { winner } => {
            let winner = winner.map_or("it is not in the log".to_owned(), |winner| {
                let keys: Vec<String> = winner
                    .changes
                    .iter()
                    .map(|change| change.key().to_string())
                    .collect();
                let Entry {
                    version, author, ..
                } = &winner;
                format!("version {version} by {author} changed {}", keys.join(", "))
            });
            Err(Error::NotAccepted { winner })
        }
        Verdict::Unknown { id, attempted } => Err(Error::Unknown { id, attempted }),
    }
}

/// Waits until a version is in force on every listed router.
async fn wait(api: &Api, matches: &ArgMatches, version: Version) -> Result<()> {
    if matches.get_one::<String>("wait").is_none() {
        return Ok(());
    }
    let seconds: u64 = number(matches, "wait", "a number of seconds")?;
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
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}

async fn resolve(api: &Api, matches: &ArgMatches) -> Result<()> {
    let id = text(matches, "id-of-change");
    let path = match matches.get_one::<String>("attempted") {
        Some(attempted) => format!("/v1/changes/{id}?attempted={attempted}"),
        None => format!("/v1/changes/{id}"),
    };
    let verdict: Verdict = api.get(&path).await?;
    tell(api, matches, verdict).await
}

async fn list(api: &Api, matches: &ArgMatches, path: &str) -> Result<()> {
    let value: Value = api.get(path).await?;
    match matches.get_flag("json") {
        true => show::json(&value),
        false => show::table(&value),
    }
    Ok(())
}

async fn load(api: &Api, matches: &ArgMatches) -> Result<()> {
    let load: FleetLoad = api.get("/v1/load").await?;
    if matches.get_flag("json") {
        show::json(&load);
        return Ok(());
    }
    let targets =
        serde_json::to_value(&load.targets).context(MalformedSnafu { what: "the answer" })?;
    show::table(&targets);
    for router in &load.silent_routers {
        println!("no answer from {router}: its targets may still have work");
    }
    Ok(())
}

async fn force(api: &Api, matches: &ArgMatches) -> Result<()> {
    let force: Rollout = api.get("/v1/force").await?;
    if matches.get_flag("json") {
        show::json(&force);
        return Ok(());
    }
    println!("newest accepted version: {}", force.version);
    let routers =
        serde_json::to_value(&force.routers).context(MalformedSnafu { what: "the answer" })?;
    show::table(&routers);
    Ok(())
}
