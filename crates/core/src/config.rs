//! The fleet's configuration: a state that results from one ordered log of entries.

pub mod command;
pub mod parameter;
pub mod query;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use parameter::Parameter;

/// The number of an entry in the log; 0 is the empty configuration.
pub type Version = u64;

/// Names one submitted change, so that a lost answer can be resolved.
pub type ChangeId = uuid::Uuid;

/// The most exceptions that may stand at once.
pub const EXCEPTIONS_MAX: usize = 64;

/// The change sets that are remembered by name.
pub const RECENT_ENTRIES_MAX: usize = 1_024;

/// What an exception applies to; an earlier variant outweighs a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// One engine or service instance.
    Engine,
    /// One organisation.
    Organisation,
    /// One model or service.
    Model,
    /// One availability zone.
    Zone,
}

/// A value that differs from the default, with its written reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// What it applies to.
    pub scope: Scope,
    /// The name within the scope.
    pub name: SmolStr,
    /// The parameter.
    pub parameter: Parameter,
    /// The value.
    pub value: f64,
    /// Why; every member can read it.
    pub reason: SmolStr,
    /// Who set it, as the administration API notes it.
    #[serde(default)]
    pub author: SmolStr,
}

/// What a planned stop applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopKind {
    /// A target.
    Target,
    /// A router.
    Router,
    /// An availability zone.
    Zone,
}

/// A planned stop that is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// What stops.
    pub kind: StopKind,
    /// Its name.
    pub name: SmolStr,
    /// Why.
    pub reason: SmolStr,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: SmolStr,
    /// The member whose customer it is.
    pub member: SmolStr,
    /// Its weight against the member's other organisations.
    pub weight: f64,
    /// The SHA-256 digests, in hexadecimal, of its bearer keys.
    pub key_digests: Vec<SmolStr>,
}

/// An operator of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operator {
    /// The operator's name.
    pub name: SmolStr,
    /// The member whose operator it is; none for the consortium's own.
    pub member: Option<SmolStr>,
    /// The SHA-256 digest, in hexadecimal, of the operator's token.
    pub token_digest: SmolStr,
}

/// What an engine is to serve, and in which role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The model.
    pub model: SmolStr,
    /// The version of its weights.
    pub version: SmolStr,
    /// The adapters.
    #[serde(default)]
    pub adapters: Vec<SmolStr>,
    /// The role, such as prefill or decode; empty for both.
    #[serde(default)]
    pub role: SmolStr,
}

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets a fleet-wide default.
    SetDefault {
        /// The parameter.
        parameter: Parameter,
        /// The value.
        value: f64,
    },
    /// Sets an exception.
    SetException(Exception),
    /// Removes an exception.
    RemoveException {
        /// Its scope.
        scope: Scope,
        /// Its name.
        name: SmolStr,
        /// Its parameter.
        parameter: Parameter,
    },
    /// Begins a planned stop; for a zone, takes it out.
    BeginStop(Stop),
    /// Ends a planned stop; for a zone, brings it back.
    EndStop {
        /// What stopped.
        kind: StopKind,
        /// Its name.
        name: SmolStr,
    },
    /// Creates or replaces an organisation.
    SetOrganisation(Organisation),
    /// Removes an organisation.
    RemoveOrganisation {
        /// Its name.
        name: SmolStr,
    },
    /// Orders an engine to take up a duty.
    SetDuty {
        /// The engine.
        engine: SmolStr,
        /// The duty.
        duty: Duty,
    },
    /// Orders nothing of an engine any more; it stays as it is.
    RemoveDuty {
        /// The engine.
        engine: SmolStr,
    },
    /// Creates or replaces an operator.
    SetOperator(Operator),
    /// Removes an operator.
    RemoveOperator {
        /// The operator's name.
        name: SmolStr,
    },
}

impl Change {
    /// Returns the key that this change writes; two changes of one key exclude each other.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::config::{Change, StopKind};
    ///
    /// let change = Change::EndStop { kind: StopKind::Zone, name: "z1".into() };
    /// assert_eq!(change.key(), "stop/zone/z1");
    /// ```
    pub fn key(&self) -> SmolStr {
        match self {
            Self::SetDefault { parameter, .. } => format!("default/{}", parameter.name()),
            Self::SetException(exception) => {
                let Exception {
                    scope,
                    name,
                    parameter,
                    ..
                } = exception;
                return exception_key(*scope, name, *parameter);
            }
            Self::RemoveException {
                scope,
                name,
                parameter,
            } => return exception_key(*scope, name, *parameter),
            Self::BeginStop(stop) => return stop_key(stop.kind, &stop.name),
            Self::EndStop { kind, name } => return stop_key(*kind, name),
            Self::SetOrganisation(organisation) => format!("organisation/{}", organisation.name),
            Self::RemoveOrganisation { name } => format!("organisation/{name}"),
            Self::SetDuty { engine, .. } | Self::RemoveDuty { engine } => format!("duty/{engine}"),
            Self::SetOperator(operator) => format!("operator/{}", operator.name),
            Self::RemoveOperator { name } => format!("operator/{name}"),
        }
        .into()
    }
}

/// Returns the key of an exception.
pub fn exception_key(scope: Scope, name: &str, parameter: Parameter) -> SmolStr {
    let scope = match scope {
        Scope::Engine => "engine",
        Scope::Organisation => "organisation",
        Scope::Model => "model",
        Scope::Zone => "zone",
    };
    format!("exception/{scope}/{name}/{}", parameter.name()).into()
}

/// Returns the key of a planned stop.
pub fn stop_key(kind: StopKind, name: &str) -> SmolStr {
    let kind = match kind {
        StopKind::Target => "target",
        StopKind::Router => "router",
        StopKind::Zone => "zone",
    };
    format!("stop/{kind}/{name}").into()
}

/// One accepted change set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place in the log.
    pub version: Version,
    /// The name under which it was submitted.
    pub id: ChangeId,
    /// The operator.
    pub author: SmolStr,
    /// When the administration API took it, in seconds since 1970; for people only.
    pub at_s: u64,
    /// The changes, which take effect together.
    pub changes: Vec<Change>,
}

/// The configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The version.
    pub version: Version,
    /// Defaults that were set; the rest have their built-in values.
    pub defaults: IndexMap<Parameter, f64>,
    /// Exceptions by key.
    pub exceptions: IndexMap<SmolStr, Exception>,
    /// Planned stops by key.
    pub stops: IndexMap<SmolStr, Stop>,
    /// Organisations by name.
    pub organisations: IndexMap<SmolStr, Organisation>,
    /// The duties of engines by name.
    #[serde(default)]
    pub duties: IndexMap<SmolStr, Duty>,
    /// Operators by name.
    pub operators: IndexMap<SmolStr, Operator>,
    /// The version at which each key was last changed.
    pub revisions: IndexMap<SmolStr, Version>,
    /// The organisation of each key digest; follows from the organisations.
    pub digests: IndexMap<SmolStr, SmolStr>,
    /// The newest change sets by name, so that a lost answer can be resolved.
    pub recent: IndexMap<ChangeId, Version>,
}
