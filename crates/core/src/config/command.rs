//! Commands that change a configuration, and the checks that precede them. A command that fails leaves the state
//! unchanged.

use snafu::{ensure, OptionExt};

use super::{
    exception_key, stop_key, Change, Entry, Exception, Operator, Parameter, State, Version,
    EXCEPTIONS_MAX, RECENT_ENTRIES_MAX,
};
use crate::errors::{
    ConflictSnafu, EmptySnafu, ForbiddenSnafu, OutOfOrderSnafu, RangeSnafu, Result, TooManySnafu,
    UnknownSnafu,
};
use smol_str::SmolStr;

/// The version of a key that a change set is based on, for optimistic concurrency control.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Expected {
    /// The configuration key, as returned by [`Change::key`].
    pub key: SmolStr,
    /// The version at which the caller has seen the key last changed; 0 if it had never been changed.
    pub version: Version,
}

/// Applies the next entry of the log to the state.
///
/// # Errors
///
/// `Error::OutOfOrder` if the entry's version is not the state's plus one, and the errors of [`check_changes`].
///
/// # Examples
///
/// ```
/// use sardinemux_core::config::{command, Change, ChangeId, Entry, Parameter, State};
///
/// let mut state = State::default();
/// let entry = Entry {
///     version: 1,
///     id: ChangeId::from_u128(1),
///     author: "ada".into(),
///     at_s: 0,
///     changes: vec![Change::SetDefault { parameter: Parameter::ColdLimit, value: 3.0 }],
/// };
/// assert!(command::apply(&mut state, &entry).is_ok());
/// assert!(command::apply(&mut state, &entry).is_err());
/// assert_eq!(state.version, 1);
/// ```
pub fn apply(state: &mut State, entry: &Entry) -> Result<()> {
    ensure!(
        entry.version == state.version + 1,
        OutOfOrderSnafu {
            held: state.version,
            found: entry.version
        }
    );
    check_changes(state, &entry.changes)?;
    for change in &entry.changes {
        apply_change(state, change);
        state.revisions.insert(change.key(), entry.version);
    }
    state.recent.insert(entry.id, entry.version);
    if state.recent.len() > RECENT_ENTRIES_MAX {
        state.recent.shift_remove_index(0);
    }
    state.version = entry.version;
    Ok(())
}

fn apply_change(state: &mut State, change: &Change) {
    match change {
        Change::SetDefault { parameter, value } => {
            state.defaults.insert(*parameter, *value);
        }
        Change::SetException(exception) => {
            state.exceptions.insert(change.key(), exception.clone());
        }
        Change::RemoveException {
            scope,
            name,
            parameter,
        } => {
            let key = exception_key(*scope, name, *parameter);
            state.exceptions.shift_remove(&key);
        }
        Change::BeginStop(stop) => {
            state.stops.insert(change.key(), stop.clone());
        }
        Change::EndStop { kind, name } => {
            state.stops.shift_remove(&stop_key(*kind, name));
        }
        Change::SetOrganisation(organisation) => {
            remove_digests(state, &organisation.name);
            for digest in &organisation.key_digests {
                state
                    .digests
                    .insert(digest.clone(), organisation.name.clone());
            }
            state
                .organisations
                .insert(organisation.name.clone(), organisation.clone());
        }
        Change::RemoveOrganisation { name } => {
            remove_digests(state, name);
            state.organisations.swap_remove(name);
        }
        Change::SetDuty { engine, duty } => {
            state.duties.insert(engine.clone(), duty.clone());
        }
        Change::RemoveDuty { engine } => {
            state.duties.swap_remove(engine);
        }
        Change::SetOperator(operator) => {
            state
                .operators
                .insert(operator.name.clone(), operator.clone());
        }
        Change::RemoveOperator { name } => {
            state.operators.swap_remove(name);
        }
    }
}

fn remove_digests(state: &mut State, organisation: &str) {
    let Some(old) = state.organisations.get(organisation) else {
        return;
    };
    for digest in &old.key_digests {
        state.digests.swap_remove(digest);
    }
}

/// Checks that each change of a set is well formed and can be applied to the state.
///
/// # Errors
///
/// - `Error::Empty` if there are no changes, or a required text is blank.
/// - `Error::Range` if a value is outside its range or not a number.
/// - `Error::Unknown` if a change removes or ends something that does not exist.
/// - `Error::TooMany` if the exceptions of the state and those that the set adds exceed [`EXCEPTIONS_MAX`]. Exceptions
///   that the same set removes still count.
pub fn check_changes(state: &State, changes: &[Change]) -> Result<()> {
    ensure!(!changes.is_empty(), EmptySnafu { name: "changes" });
    let mut exceptions = state.exceptions.len();
    for change in changes {
        check_change(state, change)?;
        let is_new = !state.exceptions.contains_key(&change.key());
        if matches!(change, Change::SetException(_)) && is_new {
            exceptions += 1;
        }
    }
    let limit = EXCEPTIONS_MAX;
    ensure!(exceptions <= limit, TooManySnafu { limit });
    Ok(())
}

fn check_change(state: &State, change: &Change) -> Result<()> {
    match change {
        Change::SetDefault { parameter, value } => check_value(*parameter, *value),
        Change::SetException(exception) => check_exception(exception),
        Change::RemoveException { name, .. } => {
            let is_known = state.exceptions.contains_key(&change.key());
            is_known.then_some(()).context(UnknownSnafu {
                kind: "exception",
                name: name.clone(),
            })
        }
        Change::BeginStop(stop) => {
            check_text("name", &stop.name)?;
            check_text("reason", &stop.reason)
        }
        Change::EndStop { name, .. } => {
            let is_known = state.stops.contains_key(&change.key());
            is_known.then_some(()).context(UnknownSnafu {
                kind: "planned stop",
                name: name.clone(),
            })
        }
        Change::SetOrganisation(organisation) => {
            check_text("name", &organisation.name)?;
            check_text("member", &organisation.member)?;
            check_range("weight", organisation.weight, 0.001, 1_000.0)
        }
        Change::RemoveOrganisation { name } => {
            let is_known = state.organisations.contains_key(name);
            is_known.then_some(()).context(UnknownSnafu {
                kind: "organisation",
                name: name.clone(),
            })
        }
        Change::SetDuty { engine, duty } => {
            check_text("engine", engine)?;
            check_text("model", &duty.model)?;
            check_text("version", &duty.version)
        }
        Change::RemoveDuty { engine } => {
            let is_known = state.duties.contains_key(engine);
            is_known.then_some(()).context(UnknownSnafu {
                kind: "duty of engine",
                name: engine.clone(),
            })
        }
        Change::SetOperator(operator) => {
            check_text("name", &operator.name)?;
            check_text("token digest", &operator.token_digest)
        }
        Change::RemoveOperator { name } => {
            let is_known = state.operators.contains_key(name);
            is_known.then_some(()).context(UnknownSnafu {
                kind: "operator",
                name: name.clone(),
            })
        }
    }
}

fn check_exception(exception: &Exception) -> Result<()> {
    check_text("name", &exception.name)?;
    check_text("reason", &exception.reason)?;
    check_value(exception.parameter, exception.value)
}

fn check_value(parameter: Parameter, value: f64) -> Result<()> {
    let range = parameter.range();
    check_range(parameter.name(), value, range.min, range.max)
}

fn check_range(name: &str, value: f64, least: f64, most: f64) -> Result<()> {
    ensure!(
        value >= least && value <= most,
        RangeSnafu {
            name,
            value,
            least,
            most
        }
    );
    Ok(())
}

fn check_text(name: &str, text: &str) -> Result<()> {
    ensure!(!text.trim().is_empty(), EmptySnafu { name });
    Ok(())
}

/// Checks that each key still has the version that the caller expects.
///
/// # Errors
///
/// `Error::Conflict` for the first key whose version differs.
pub fn check_expected(state: &State, expected: &[Expected]) -> Result<()> {
    for precondition in expected {
        let found = state.revisions.get(&precondition.key).copied().unwrap_or(0);
        ensure!(
            found == precondition.version,
            ConflictSnafu {
                key: precondition.key.clone(),
                expected: precondition.version,
                found
            }
        );
    }
    Ok(())
}

/// Checks that an operator is authorised to make these changes.
///
/// An operator of a member may change the organisations and operators of that member, and whatever is shared: defaults,
/// planned stops, duties, and exceptions of other scopes than an organisation. An operator of the consortium may change
/// everything.
///
/// # Errors
///
/// `Error::Forbidden` for the first change that the operator may not make.
pub fn check_rights(state: &State, operator: &Operator, changes: &[Change]) -> Result<()> {
    let Some(member) = &operator.member else {
        return Ok(());
    };
    let may_change = |name: &SmolStr| {
        let organisation = state.organisations.get(name);
        organisation.is_none_or(|organisation| organisation.member == *member)
    };
    for change in changes {
        let is_allowed = match change {
            Change::SetOrganisation(new) => new.member == *member && may_change(&new.name),
            Change::RemoveOrganisation { name } => may_change(name),
            Change::SetException(Exception { scope, name, .. })
            | Change::RemoveException { scope, name, .. } => {
                *scope != super::Scope::Organisation || may_change(name)
            }
            Change::SetOperator(new) => {
                let old = state.operators.get(&new.name);
                new.member.as_ref() == Some(member)
                    && old.is_none_or(|old| old.member.as_ref() == Some(member))
            }
            Change::RemoveOperator { name } => {
                let old = state.operators.get(name);
                old.is_none_or(|old| old.member.as_ref() == Some(member))
            }
            _ => true,
        };
        ensure!(
            is_allowed,
            ForbiddenSnafu {
                operator: operator.name.clone(),
                key: change.key()
            }
        );
    }
    Ok(())
}
