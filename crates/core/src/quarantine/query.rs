//! Queries of a register.

use indexmap::{IndexMap, IndexSet};

use super::{Accusation, Case, Notice, Register, Settings, Subject, NOTICE_ACCUSATIONS_MAX};

/// Returns the first part of a request that is held, or its content.
pub fn held_part(register: &Register, subject: &Subject) -> Option<u64> {
    let is_held = |key: &u64| {
        let case = register.cases.get(key);
        case.is_some_and(|case| case.hold.is_some())
    };
    subject.keys().map(|(key, _)| key).find(is_held)
}

/// Returns whether each part of a request, or its content if it has none, was cleared within the time for which a clearance
/// protects.
pub fn is_cleared(register: &Register, subject: &Subject, now_ms: u64) -> bool {
    let is_cleared = |key: u64| clearance(register, key, now_ms).is_some();
    match subject.parts.is_empty() {
        true => subject.content.is_some_and(is_cleared),
        false => subject.parts.iter().copied().all(is_cleared),
    }
}

/// Returns the number of held parts.
pub fn held_count(register: &Register) -> usize {
    let cases = register.cases.values();
    cases.filter(|case| case.hold.is_some()).count()
}

/// Returns the held parts.
pub fn held(register: &Register) -> Vec<u64> {
    let held = register.cases.iter();
    let held = held.filter(|(_, case)| case.hold.is_some());
    held.map(|(part, _)| *part).collect()
}

/// Returns the number of trials of a held part.
pub fn trials(register: &Register, part: u64) -> Option<u8> {
    Some(register.cases.get(&part)?.hold?.trials)
}

/// Returns the parts and contents that are held, and the parts that are accused.
pub fn parts(register: &Register) -> Vec<u64> {
    let is_held = |case: &Case| case.hold.is_some();
    let is_accused = |case: &Case| !case.is_content() && case.open().next().is_some();
    let held = register.cases.iter().filter(|(_, case)| is_held(case));
    let accused = register.cases.iter();
    let accused = accused.filter(|(_, case)| !is_held(case) && is_accused(case));
    held.chain(accused).map(|(part, _)| *part).collect()
}

/// Returns what is known of a part; `None` if that is nothing. Leaves out what has reached half of its lifetime: a gateway that
/// hears it late, or has heard it sooner than this one, would take it for new when it has expired.
pub fn notice(register: &Register, part: u64, now_ms: u64) -> Option<Notice> {
    let settings = register.settings;
    let is_lasting = |at_ms: u64, ttl_ms: u64| now_ms.saturating_sub(at_ms) < ttl_ms / 2;
    let cleared_ms = clearance(register, part, now_ms);
    let cleared_ms = cleared_ms.filter(|at_ms| is_lasting(*at_ms, settings.clearance_ttl_ms));
    let case = register.cases.get(&part);
    let age_ms = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
    let hold = case.and_then(|case| case.hold);
    let mut accusations: Vec<_> = case
        .iter()
        .flat_map(|case| &case.accusations)
        .filter(|(_, it)| hold.is_some() || is_lasting(it.at_ms, settings.accusation_ttl_ms))
        .map(|(crash, it)| (*crash, age_ms(it.at_ms), it.suspicion))
        .collect();
    accusations.sort_by_key(|(_, age_ms, _)| *age_ms);
    accusations.truncate(NOTICE_ACCUSATIONS_MAX);
    if accusations.is_empty() && cleared_ms.is_none() && hold.is_none() {
        return None;
    }
    Some(Notice {
        part,
        depth: case.map_or(0, |case| case.depth),
        accusations,
        cleared_age_ms: cleared_ms.map(age_ms),
        hold: hold.map(|hold| (age_ms(hold.since_ms), hold.trials)),
    })
}

/// Returns when a part was last cleared, unless that is too long ago to protect it.
pub(crate) fn clearance(register: &Register, part: u64, now_ms: u64) -> Option<u64> {
    let at_ms = *register.clearances.get(&part)?;
    let age_ms = now_ms.saturating_sub(at_ms);
    (age_ms < register.settings.clearance_ttl_ms).then_some(at_ms)
}

/// Returns the weight of the open accusations of a part that no held part explains. Accusations within one moment count
/// once, with the highest weight. For a content it is the number of crashes.
pub(crate) fn weight(case: &Case, explained: &IndexSet<u64>, settings: Settings) -> f64 {
    let open = case.open();
    let open = open.filter(|(crash, _)| !explained.contains(crash));
    if case.is_content() {
        return open.count() as f64;
    }
    let mut open: Vec<Accusation> = open.map(|(_, accusation)| accusation).collect();
    open.sort_by_key(|accusation| accusation.at_ms);
    let mut moments: Vec<Accusation> = Vec::new();
    for accusation in open {
        match moments.last_mut() {
            Some(last) if accusation.at_ms - last.at_ms < settings.moment_ms => {
                last.suspicion = last.suspicion.max(accusation.suspicion);
            }
            _ => moments.push(accusation),
        }
    }
    moments.iter().map(|moment| moment.suspicion.weight()).sum()
}

/// Returns the weight that the accusations of a part must have for its hold. A clearance shortly before the last crash
/// raises it.
pub(crate) fn threshold(case: &Case, cleared_ms: Option<u64>, settings: Settings) -> f64 {
    let last_ms = case.open().map(|(_, it)| it.at_ms).max();
    let is_protected = cleared_ms
        .zip(last_ms)
        .is_some_and(|(cleared_ms, last_ms)| {
            last_ms.saturating_sub(cleared_ms) < settings.clearance_ttl_ms
        });
    match (is_protected, case.is_content()) {
        (true, true) => settings.cleared_content_crashes_min,
        (false, true) => settings.content_crashes_min,
        (true, false) => settings.cleared_weight_min,
        (false, false) => settings.weight_min,
    }
}

/// Returns the crashes of which a held part is accused and, if `by_contents`, those of which a held content is.
pub(crate) fn explained(cases: &IndexMap<u64, Case>, by_contents: bool) -> IndexSet<u64> {
    let held = cases.values().filter(|case| case.hold.is_some());
    let held = held.filter(|case| by_contents || !case.is_content());
    held.flat_map(|case| case.open().map(|(crash, _)| crash))
        .collect()
}
