//! The fleet's configuration, a state machine that applies the entries of one ordered log.
//!
//! [`command`] changes a [`State`], [`query`] reads it, and [`parameter`] lists the tunable parameters.

pub mod command;
pub mod parameter;
pub mod query;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use parameter::Parameter;

/// The position of an entry in the log, counted from 1; 0 is the empty configuration.
pub type Version = u64;

/// Identifies one submitted change set, so that a client that lost the response can look up whether it was accepted.
pub type ChangeId = uuid::Uuid;

/// The maximum number of exceptions in one configuration.
pub const EXCEPTIONS_MAX: usize = 64;

/// The number of most recent log entries that a [`State`] keeps by [`ChangeId`].
pub const RECENT_ENTRIES_MAX: usize = 1_024;

/// The kind of object that an exception applies to. Earlier variants take precedence over later ones.
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

/// A parameter value that overrides the default for one object, with the reason for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// The kind of object that the exception applies to.
    pub scope: Scope,
    /// The name of the object, unique within the scope.
    pub name: SmolStr,
    /// The overridden parameter.
    pub parameter: Parameter,
    /// The value, in the unit of the parameter.
    pub value: f64,
    /// The reason, as stated by the operator; readable by every member of the consortium.
    pub reason: SmolStr,
    /// The operator who set the exception, as filled in by the administration API.
    #[serde(default)]
    pub author: SmolStr,
}

/// The kind of component that a planned stop applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopKind {
    /// One target.
    Target,
    /// One router.
    Router,
    /// All targets of one availability zone.
    Zone,
}

/// A planned stop that is in force: a target or zone receives no new work, and a router drains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// The kind of the stopped component.
    pub kind: StopKind,
    /// The name of the component.
    pub name: SmolStr,
    /// The reason, as stated by the operator.
    pub reason: SmolStr,
}

/// A customer of a member of the consortium.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: SmolStr,
    /// The member that the organisation is a customer of.
    pub member: SmolStr,
    /// The scheduling weight relative to the other organisations of the same member.
    pub weight: f64,
    /// The hexadecimal SHA-256 digests of the organisation's bearer keys.
    pub key_digests: Vec<SmolStr>,
}

/// An operator of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operator {
    /// The name of the operator.
    pub name: SmolStr,
    /// The member that the operator acts for; none for an operator of the whole consortium.
    pub member: Option<SmolStr>,
    /// The hexadecimal SHA-256 digest of the operator's token.
    pub token_digest: SmolStr,
}

/// The model that an engine is assigned to serve, and its role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The name of the model.
    pub model: SmolStr,
    /// The version of the model's weights.
    pub version: SmolStr,
    /// The names of the adapters that are loaded with the model.
    #[serde(default)]
    pub adapters: Vec<SmolStr>,
    /// The role, such as `prefill` or `decode`; empty if the engine does both.
    #[serde(default)]
    pub role: SmolStr,
}

/// A change of one configuration key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets the fleet-wide default of a parameter.
    SetDefault {
        /// The parameter.
        parameter: Parameter,
        /// The value, in the unit of the parameter.
        value: f64,
    },
    /// Creates or replaces an exception.
    SetException(Exception),
    /// Removes an exception.
    RemoveException {
        /// The scope of the exception.
        scope: Scope,
        /// The name of the object within the scope.
        name: SmolStr,
        /// The overridden parameter.
        parameter: Parameter,
    },
    /// Begins a planned stop; for a zone, takes the zone out of service.
    BeginStop(Stop),
    /// Ends a planned stop; for a zone, returns the zone to service.
    EndStop {
        /// The kind of the stopped component.
        kind: StopKind,
        /// The name of the component.
        name: SmolStr,
    },
    /// Creates or replaces an organisation.
    SetOrganisation(Organisation),
    /// Removes an organisation.
    RemoveOrganisation {
        /// The name of the organisation.
        name: SmolStr,
    },
    /// Assigns a duty to an engine.
    SetDuty {
        /// The id of the engine.
        engine: SmolStr,
        /// The assigned duty.
        duty: Duty,
    },
    /// Removes the duty of an engine. The engine is not reconfigured and keeps its current model.
    RemoveDuty {
        /// The id of the engine.
        engine: SmolStr,
    },
    /// Creates or replaces an operator.
    SetOperator(Operator),
    /// Removes an operator.
    RemoveOperator {
        /// The name of the operator.
        name: SmolStr,
    },
}

impl Change {
    /// Returns the key that this change writes. Concurrent changes of the same key conflict.
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

/// Returns the key of an exception, as in `exception/zone/z1/cold_limit`.
pub fn exception_key(scope: Scope, name: &str, parameter: Parameter) -> SmolStr {
    let scope = match scope {
        Scope::Engine => "engine",
        Scope::Organisation => "organisation",
        Scope::Model => "model",
        Scope::Zone => "zone",
    };
    format!("exception/{scope}/{name}/{}", parameter.name()).into()
}

/// Returns the key of a planned stop, as in `stop/zone/z1`.
pub fn stop_key(kind: StopKind, name: &str) -> SmolStr {
    let kind = match kind {
        StopKind::Target => "target",
        StopKind::Router => "router",
        StopKind::Zone => "zone",
    };
    format!("stop/{kind}/{name}").into()
}

/// An accepted change set: one entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The position of the entry in the log, and the version that results from it.
    pub version: Version,
    /// The id under which the change set was submitted.
    pub id: ChangeId,
    /// The name of the operator who submitted the change set.
    pub author: SmolStr,
    /// When the administration API accepted the change set, in seconds since the Unix epoch. Informational only: the
    /// order of entries is that of their versions.
    pub at_s: u64,
    /// The changes, which are applied atomically.
    pub changes: Vec<Change>,
}

/// The configuration that results from the log up to one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The version of the last applied entry.
    pub version: Version,
    /// Fleet-wide defaults that operators have set; other parameters have their built-in values.
    pub defaults: IndexMap<Parameter, f64>,
    /// Exceptions by key.
    pub exceptions: IndexMap<SmolStr, Exception>,
    /// Planned stops in force, by key.
    pub stops: IndexMap<SmolStr, Stop>,
    /// Organisations by name.
    pub organisations: IndexMap<SmolStr, Organisation>,
    /// Duties by the id of the engine.
    #[serde(default)]
    pub duties: IndexMap<SmolStr, Duty>,
    /// Operators by name.
    pub operators: IndexMap<SmolStr, Operator>,
    /// The version at which each key was last changed.
    pub revisions: IndexMap<SmolStr, Version>,
    /// The name of the organisation by digest of its bearer keys: an index that is derived from `organisations`.
    pub digests: IndexMap<SmolStr, SmolStr>,
    /// The versions of the [`RECENT_ENTRIES_MAX`] newest entries by id, so that a client that lost the response can
    /// look up whether its change set was accepted.
    pub recent: IndexMap<ChangeId, Version>,
}
