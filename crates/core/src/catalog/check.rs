//! The check of a catalogue before it is put in force: errors, entries that no request can ever match, and limits that contradict each
//! other.
//!
//! Whether an entry can match is decided by the look-ups of [`Catalog`], which serve the requests.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};

use super::{Catalog, Definition, Organisation, Pool, Route};

/// The least urgent priority that targets distinguish.
const PRIORITY_MAX: u8 = 9;

/// What a finding means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Requests fail, or the entry is not what its operator can have meant.
    Error,
    /// The entry never matches a request.
    Unreachable,
    /// Two limits contradict each other, so that one of them never takes effect.
    Contradiction,
}

/// What is wrong with one entry of a catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What the finding means.
    pub kind: Kind,
    /// The entry, such as `route a`.
    pub subject: SmolStr,
    /// What is wrong with it.
    pub message: String,
}

/// The limits of a deployment with which those of a catalogue are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The largest balance of the retry budget of a pool, for all gateways together.
    pub retry_extra: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { retry_extra: 20.0 }
    }
}

/// Returns what is wrong with a catalogue, errors first.
///
/// # Examples
///
/// ```
/// use sardinemux_core::catalog::check::{self, Kind, Settings};
/// use sardinemux_core::catalog::{Definition, Route};
///
/// let route = Route { name: "a".into(), host: "h".into(), prefix: "/a/".into(), ..Route::default() };
/// let definition = Definition { routes: vec![route], ..Definition::default() };
/// let findings = check::check(&definition, Settings::default());
/// assert_eq!(findings[0].kind, Kind::Error);
/// assert_eq!(findings[0].subject, "route a");
/// ```
pub fn check(definition: &Definition, settings: Settings) -> Vec<Finding> {
    let catalog = Catalog::new(Arc::new(definition.clone()));
    let mut findings = Findings::default();
    check_names(definition, &mut findings);
    for (index, route) in definition.routes.iter().enumerate() {
        check_route(&catalog, index, route, settings, &mut findings);
    }
    for pool in &definition.pools {
        check_pool(definition, pool, &mut findings);
    }
    for organisation in &definition.organisations {
        check_organisation(&catalog, organisation, &mut findings);
    }
    check_limits(definition, &mut findings);
    let mut found = findings.0;
    found.sort_by_key(|finding| finding.kind as u8);
    found
}

/// Returns what is wrong with putting a catalogue in force after another one.
pub fn check_version(former: &Definition, definition: &Definition) -> Option<Finding> {
    let is_later = definition.version > former.version;
    (!is_later).then(|| Finding {
        kind: Kind::Error,
        subject: "version".into(),
        message: format!(
            "version {} is not after version {}, which is in force; gateways ignore it",
            definition.version, former.version
        ),
    })
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, kind: Kind, subject: &SmolStr, message: impl Into<String>) {
        self.0.push(Finding {
            kind,
            subject: subject.clone(),
            message: message.into(),
        });
    }
}

/// Reports names that several entries of one list have. Versions are compared by names, so that a change of one of them is lost.
fn check_names(definition: &Definition, findings: &mut Findings) {
    let routes = definition.routes.iter().map(|route| &route.name);
    let pools = definition.pools.iter().map(|pool| &pool.name);
    let organisations = definition.organisations.iter().map(|it| &it.name);
    check_unique("route", routes, findings);
    check_unique("pool", pools, findings);
    check_unique("organisation", organisations, findings);
}

fn check_unique<'a>(what: &str, names: impl Iterator<Item = &'a SmolStr>, findings: &mut Findings) {
    let mut counts: IndexMap<&SmolStr, usize> = IndexMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    for (name, count) in counts.into_iter().filter(|(_, count)| *count > 1) {
        let subject = format_smolstr!("{what} {name}");
        findings.add(
            Kind::Error,
            &subject,
            format!("{count} entries have this name"),
        );
    }
}

fn check_route(
    catalog: &Catalog,
    index: usize,
    route: &Route,
    settings: Settings,
    findings: &mut Findings,
) {
    let subject = format_smolstr!("route {}", route.name);
    check_reach(catalog, index, route, &subject, findings);
    check_shares(catalog, route, &subject, findings);
    let mut add = |kind, message: String| findings.add(kind, &subject, message);
    if route.attempts_max == 0 {
        add(Kind::Error, "it may run on no target".into());
    }
    if route.timeout_ms == 0 {
        add(Kind::Error, "its time-out is zero".into());
    }
    if route.objective_ms > route.timeout_ms {
        let (objective, timeout) = (route.objective_ms, route.timeout_ms);
        add(
            Kind::Contradiction,
            format!(
                "its time-out of {timeout} ms is below its latency objective of {objective} ms"
            ),
        );
    }
    let retries = route.attempts_max.saturating_sub(1);
    if f64::from(retries) > settings.retry_extra {
        let extra = settings.retry_extra;
        add(
            Kind::Contradiction,
            format!("one request may take {retries} retries, and the retry budget holds {extra}"),
        );
    }
    if route.priority > PRIORITY_MAX {
        let priority = route.priority;
        add(
            Kind::Contradiction,
            format!("targets take its priority {priority} for {PRIORITY_MAX}"),
        );
    }
}

/// Reports a route that the look-up finds for no path, not even for its own prefix.
fn check_reach(
    catalog: &Catalog,
    index: usize,
    route: &Route,
    subject: &SmolStr,
    findings: &mut Findings,
) {
    let Route { host, prefix, .. } = route;
    if !prefix.starts_with('/') || !prefix.ends_with('/') || prefix.contains(['?', '#']) {
        let message = format!("no path begins with {prefix:?} up to one of its slashes");
        findings.add(Kind::Unreachable, subject, message);
        return;
    }
    if host.is_empty() || host.contains(':') {
        let message = format!("hosts are compared without their port, and none is {host:?}");
        findings.add(Kind::Unreachable, subject, message);
        return;
    }
    let own = catalog.definition().routes.get(index);
    let found = catalog.route(host, prefix);
    if let (Some(own), Some(found)) = (own, found) {
        if !std::ptr::eq(own, found) {
            let name = &found.name;
            let message =
                format!("route {name} has the same host and prefix, and gets all requests");
            findings.add(Kind::Unreachable, subject, message);
        }
    }
}

fn check_shares(catalog: &Catalog, route: &Route, subject: &SmolStr, findings: &mut Findings) {
    let total: u64 = route.shares.iter().map(|it| u64::from(it.weight)).sum();
    if total == 0 {
        findings.add(
            Kind::Error,
            subject,
            "none of its pools has a positive weight",
        );
    }
    for share in &route.shares {
        let pool = &share.pool;
        if catalog.pool(pool).is_none() {
            findings.add(Kind::Error, subject, format!("there is no pool {pool}"));
        } else if share.weight == 0 && total > 0 {
            let message = format!("its share of pool {pool} has the weight zero");
            findings.add(Kind::Unreachable, subject, message);
        }
    }
}

fn check_pool(definition: &Definition, pool: &Pool, findings: &mut Findings) {
    let subject = format_smolstr!("pool {}", pool.name);
    let mut shares = definition.routes.iter().flat_map(|route| &route.shares);
    if !shares.any(|share| share.pool == pool.name) {
        findings.add(Kind::Unreachable, &subject, "no route leads to it");
    }
    if pool.connections_max == 0 {
        findings.add(Kind::Error, &subject, "its targets accept no connection");
    }
    let slots = pool.engine.map_or(0, |engine| engine.slots);
    let connections = pool.connections_max;
    if pool.engine.is_some() && slots == 0 {
        findings.add(Kind::Error, &subject, "its engines run no request");
    }
    if connections > 0 && slots > connections {
        let message =
            format!("its engines run {slots} requests and accept {connections} connections");
        findings.add(Kind::Contradiction, &subject, message);
    }
    if pool.cold_per_s > 0.0 && pool.cold_ms == 0 {
        let message = "it limits the rate of cold targets, and its targets are never cold";
        findings.add(Kind::Contradiction, &subject, message);
    }
}

fn check_organisation(catalog: &Catalog, organisation: &Organisation, findings: &mut Findings) {
    let subject = format_smolstr!("organisation {}", organisation.name);
    if organisation.keys.is_empty() {
        findings.add(Kind::Unreachable, &subject, "it has no key");
    }
    for (index, key) in organisation.keys.iter().enumerate() {
        // Keys are secrets, so that a finding names their position.
        let number = index + 1;
        let is_visible = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_visible {
            let message = format!("key {number} cannot stand in a header");
            findings.add(Kind::Unreachable, &subject, message);
            continue;
        }
        let owner = catalog.organisation_by_key(key).map(|owner| &owner.name);
        if let Some(owner) = owner.filter(|owner| **owner != organisation.name) {
            let message =
                format!("key {number} is also a key of organisation {owner}, which it names");
            findings.add(Kind::Error, &subject, message);
        }
    }
    if organisation.priority.is_some_and(|it| it > PRIORITY_MAX) {
        let message = format!("targets take its priority for {PRIORITY_MAX}");
        findings.add(Kind::Contradiction, &subject, message);
    }
}

fn check_limits(definition: &Definition, findings: &mut Findings) {
    let subject = SmolStr::new_static("limits");
    let limits = definition.limits;
    let zeros = [
        ("head_bytes", limits.head_bytes == 0),
        ("read_ms", limits.read_ms == 0),
        ("idle_ms", limits.idle_ms == 0),
    ];
    for (name, _) in zeros.into_iter().filter(|(_, is_zero)| *is_zero) {
        findings.add(
            Kind::Error,
            &subject,
            format!("{name} is zero, so that no request is accepted"),
        );
    }
    let is_used = |route: &Route| !route.is_public;
    if definition.organisations.is_empty() && definition.routes.iter().any(is_used) {
        let message = "there is no organisation, so that routes that are not public need no key";
        findings.add(Kind::Contradiction, &subject, message);
    }
}

/// What happened to an entry between two catalogues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Only the later catalogue has the entry.
    Added,
    /// Only the former catalogue has the entry.
    Removed,
    /// Both have it, with different values.
    Changed,
}

/// An entry that differs between two catalogues.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference<'a, T> {
    /// The name of the entry.
    pub name: &'a SmolStr,
    /// The entry of the former catalogue.
    pub former: Option<&'a T>,
    /// The entry of the later catalogue.
    pub later: Option<&'a T>,
}

impl<T> Difference<'_, T> {
    /// Returns what happened to the entry.
    pub fn change(&self) -> Change {
        match (self.former, self.later) {
            (None, _) => Change::Added,
            (Some(_), None) => Change::Removed,
            (Some(_), Some(_)) => Change::Changed,
        }
    }
}

/// Returns the entries that differ between two lists, by their names.
///
/// # Examples
///
/// ```
/// use sardinemux_core::catalog::check::{self, Change};
/// use sardinemux_core::catalog::Route;
///
/// let route = |name: &str, timeout_ms| Route { name: name.into(), timeout_ms, ..Route::default() };
/// let former = [route("a", 100), route("b", 100)];
/// let later = [route("b", 200), route("c", 100)];
/// let differences = check::compare(&former, &later, |route| &route.name);
/// let changes: Vec<Change> = differences.iter().map(|it| it.change()).collect();
/// assert_eq!(changes, [Change::Removed, Change::Changed, Change::Added]);
/// ```
pub fn compare<'a, T: PartialEq>(
    former: &'a [T],
    later: &'a [T],
    name: impl Fn(&T) -> &SmolStr,
) -> Vec<Difference<'a, T>> {
    let mut entries: IndexMap<&'a SmolStr, (Option<&'a T>, Option<&'a T>)> = IndexMap::new();
    for entry in former {
        entries.entry(name(entry)).or_default().0 = Some(entry);
    }
    for entry in later {
        entries.entry(name(entry)).or_default().1 = Some(entry);
    }
    let differing = entries
        .into_iter()
        .filter(|(_, (former, later))| former != later);
    differing
        .map(|(name, (former, later))| Difference {
            name,
            former,
            later,
        })
        .collect()
}
