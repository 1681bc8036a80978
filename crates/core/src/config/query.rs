//! Queries on a configuration. Nothing here changes it.

use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::{exception_key, stop_key, Operator, Organisation, Parameter, Scope, State, StopKind};
use crate::target::Target;

/// The objects that the value of a parameter is looked up for. An empty name matches no exception.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// The id of the engine or service instance.
    pub engine: &'a str,
    /// The name of the organisation.
    pub organisation: &'a str,
    /// The name of the model or service, which is that of its pool.
    pub model: &'a str,
    /// The name of the availability zone.
    pub zone: &'a str,
}

impl<'a> Subject<'a> {
    /// Returns the subject for a target, without an organisation.
    pub fn of_target(target: &'a Target) -> Self {
        Self {
            engine: &target.id,
            model: &target.pool,
            zone: &target.zone,
            ..Self::default()
        }
    }
}

/// Returns the value of a parameter that is in force for a subject.
///
/// This is the value of the exception with the narrowest scope, else the fleet-wide default, else the built-in value.
///
/// # Examples
///
/// ```
/// use sardinemux_core::config::query::{self, Subject};
/// use sardinemux_core::config::{Parameter, State};
///
/// let value = query::effective_value(&State::default(), Parameter::LoadMultiple, Subject::default());
/// assert_eq!(value, 1.25);
/// ```
pub fn effective_value(state: &State, parameter: Parameter, subject: Subject) -> f64 {
    let scopes = [
        (Scope::Engine, subject.engine),
        (Scope::Organisation, subject.organisation),
        (Scope::Model, subject.model),
        (Scope::Zone, subject.zone),
    ];
    scopes
        .into_iter()
        .filter(|(_, name)| !name.is_empty() && !state.exceptions.is_empty())
        .find_map(|(scope, name)| state.exceptions.get(&exception_key(scope, name, parameter)))
        .map(|exception| exception.value)
        .or_else(|| state.defaults.get(&parameter).copied())
        .unwrap_or(parameter.range().built_in)
}

/// Returns whether a planned stop of a component is in force.
pub fn is_stopped(state: &State, kind: StopKind, name: &str) -> bool {
    !state.stops.is_empty() && state.stops.contains_key(&stop_key(kind, name))
}

/// Returns whether a target may receive new work: it is not leaving, and neither it nor its zone has a planned stop.
pub fn is_eligible(state: &State, target: &Target) -> bool {
    !target.leaving
        && !is_stopped(state, StopKind::Target, &target.id)
        && !is_stopped(state, StopKind::Zone, &target.zone)
}

/// Returns the hexadecimal SHA-256 digest of a bearer key or an operator's token.
///
/// # Examples
///
/// ```
/// use sardinemux_core::config::query;
///
/// assert!(query::digest("abc").starts_with("ba7816bf"));
/// ```
pub fn digest(secret: &str) -> SmolStr {
    let digest = Sha256::digest(secret.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex.into()
}

/// Returns the organisation that a bearer key belongs to; nothing if the key is unknown.
pub fn organisation_by_key<'a>(state: &'a State, key: &str) -> Option<&'a Organisation> {
    let name = state.digests.get(&digest(key))?;
    state.organisations.get(name)
}

/// Returns the operator that a token belongs to; nothing if the token is unknown.
pub fn operator_by_token<'a>(state: &'a State, token: &str) -> Option<&'a Operator> {
    let digest = digest(token);
    state
        .operators
        .values()
        .find(|operator| operator.token_digest == digest)
}
