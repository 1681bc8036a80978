//! The check of a desired state before it is sent, and its differences from the one in force.

use std::net::SocketAddr;

use clap::ArgMatches;
use sardinemux_core::catalog::check::{self, Change, Difference, Finding, Kind, Settings};
use sardinemux_core::catalog::{Definition, Organisation};
use sardinemux_gateway::source::{Fact, Topic};
use sardinemux_platform::{catalog, source};
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt};

use crate::errors::{
    Error, InvalidArgumentSnafu, MalformedSnafu, MissingStateSnafu, Result, StoreSnafu,
    UnreadableFileSnafu,
};
use crate::show;

/// One differing field of an entry.
#[derive(Debug, Serialize)]
struct Row {
    entry: SmolStr,
    change: Change,
    field: String,
    former: Value,
    later: Value,
}

/// The result of a check.
#[derive(Debug, Serialize)]
struct Report {
    version: u64,
    findings: Vec<Finding>,
    /// The version in force, if the desired state is compared with one.
    former_version: Option<u64>,
    differences: Vec<Row>,
}

/// Checks the desired state in a file, prints the findings and, with a version in force, the differences.
///
/// # Errors
///
/// `Error::Findings` if the desired state has errors, and those of reading a file or the store.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let file = matches.get_one::<String>("file").cloned();
    let definition = read_file(&file.unwrap_or_default())?;
    let former = read_former(matches).await?;
    let value = matches.get_one::<String>("retry-extra");
    let settings = match value {
        None => Settings::default(),
        Some(value) => Settings {
            retry_extra: value.parse().ok().context(InvalidArgumentSnafu {
                name: "retry-extra",
                value,
                allowed: "a number",
            })?,
        },
    };
    let mut findings = check::check(&definition, settings);
    let stale = former
        .as_ref()
        .and_then(|former| check::check_version(former, &definition));
    findings.splice(0..0, stale);
    let report = Report {
        version: definition.version,
        findings,
        former_version: former.as_ref().map(|former| former.version),
        differences: former
            .as_ref()
            .map(|former| differences(former, &definition))
            .unwrap_or_default(),
    };
    print(matches, &report)?;
    let errors = report.findings.iter().filter(|it| it.kind == Kind::Error);
    match errors.count() {
        0 => Ok(()),
        count => Err(Error::Findings { count }),
    }
}

fn print(matches: &ArgMatches, report: &Report) -> Result<()> {
    if matches.get_flag("json") {
        show::print_json(report);
        return Ok(());
    }
    let what = "the report";
    println!("findings in version {}:", report.version);
    show::print_table(&serde_json::to_value(&report.findings).context(MalformedSnafu { what })?);
    if let Some(version) = report.former_version {
        println!("differences from version {version}:");
        let rows = serde_json::to_value(&report.differences).context(MalformedSnafu { what })?;
        show::print_table(&rows);
    }
    Ok(())
}

/// Reads a desired state by the decoder of the gateways.
fn read_file(file: &str) -> Result<Definition> {
    let bytes = std::fs::read(file).context(UnreadableFileSnafu { file })?;
    catalog::decode(&bytes).context(MalformedSnafu { what: file })
}

/// Reads the desired state in force from a file or from the store, if the arguments name either.
async fn read_former(matches: &ArgMatches) -> Result<Option<Definition>> {
    if let Some(file) = matches.get_one::<String>("against") {
        return read_file(file).map(Some);
    }
    let Some(value) = matches.get_one::<String>("store") else {
        return Ok(None);
    };
    let address: SocketAddr = value.parse().ok().context(InvalidArgumentSnafu {
        name: "store",
        value,
        allowed: "an IP address and a port",
    })?;
    let store = source::new(address);
    let batch = (store.list)(Topic::Operators).await.context(StoreSnafu)?;
    let found = batch
        .entries
        .into_iter()
        .find_map(|entry| match entry.fact {
            Some(Fact::Catalog(definition)) => Some((*definition).clone()),
            _ => None,
        });
    found.map(Some).context(MissingStateSnafu { address })
}

/// Returns the differing fields of all entries.
fn differences(former: &Definition, later: &Definition) -> Vec<Row> {
    let routes = check::compare(&former.routes, &later.routes, |it| &it.name);
    let pools = check::compare(&former.pools, &later.pools, |it| &it.name);
    let before: Vec<Customer> = former.organisations.iter().map(Customer::new).collect();
    let after: Vec<Customer> = later.organisations.iter().map(Customer::new).collect();
    let organisations = check::compare(&before, &after, |it| &it.name);
    let mut rows = Vec::new();
    rows.extend(routes.iter().flat_map(|it| fields("route", it)));
    rows.extend(pools.iter().flat_map(|it| fields("pool", it)));
    rows.extend(
        organisations
            .iter()
            .flat_map(|it| fields("organisation", it)),
    );
    if former.limits != later.limits {
        let name = SmolStr::default();
        let limits = Difference {
            name: &name,
            former: Some(&former.limits),
            later: Some(&later.limits),
        };
        rows.extend(fields("limits", &limits));
    }
    rows
}

/// An organisation without its keys, which are secrets: a digest shows whether one has changed.
#[derive(Debug, PartialEq, Serialize)]
struct Customer {
    name: SmolStr,
    key_digests: Vec<String>,
    priority: Option<u8>,
}

/// The number of characters of a key's digest that are shown.
const DIGEST_CHARACTERS: usize = 8;

impl Customer {
    fn new(organisation: &Organisation) -> Self {
        let digests = organisation.keys.iter().map(|key| {
            let digest = sardinemux_core::config::query::digest(key).to_string();
            digest.chars().take(DIGEST_CHARACTERS).collect()
        });
        Self {
            name: organisation.name.clone(),
            key_digests: digests.collect(),
            priority: organisation.priority,
        }
    }
}

/// Returns the differing fields of one entry, or one row for an entry that was added or removed.
fn fields<T: Serialize>(kind: &str, difference: &Difference<'_, T>) -> Vec<Row> {
    let name = difference.name;
    let entry = match name.is_empty() {
        true => SmolStr::from(kind),
        false => SmolStr::from(format!("{kind} {name}")),
    };
    let change = difference.change();
    let values = |item: Option<&T>| match serde_json::to_value(item) {
        Ok(Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    if change != Change::Changed {
        return vec![Row {
            entry,
            change,
            field: "-".into(),
            former: Value::Null,
            later: Value::Null,
        }];
    }
    let (former, later) = (values(difference.former), values(difference.later));
    let differing = later.into_iter().filter_map(|(field, later)| {
        let former = former.get(&field).cloned().unwrap_or_default();
        (former != later).then(|| Row {
            entry: entry.clone(),
            change,
            field,
            former,
            later,
        })
    });
    differing.collect()
}
