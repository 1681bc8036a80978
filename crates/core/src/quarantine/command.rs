//! Commands that change a register.

use super::{
    query, Accusation, Admission, Case, Changes, Hold, Notice, Register, Settings, Subject,
    Suspicion, ACCUSATIONS_MAX, CONTENT_DEPTH, TOLERANCE_MS,
};

/// The time after which twice as many gateways may try a held part that is due, in milliseconds.
const TESTERS_DOUBLED_MS: u64 = 1_000;

/// The tolerance for contents, in milliseconds: the delay of one message, as their notices are not passed on. A content may
/// become fatal from one run to the next.
const CONTENT_TOLERANCE_MS: u64 = 50;

/// Accuses a request of a crash: the shared parts of its prompt, and its content.
///
/// # Examples
///
/// ```
/// use sardinemux_core::quarantine::{command, query, Register, Settings, Subject, Suspicion};
///
/// let mut register = Register::new(Settings::default());
/// let subject = Subject::of_parts(&[1, 2]);
/// command::clear(&mut register, &Subject::of_parts(&[1]), 0);
/// command::accuse(&mut register, 70, &subject, Suspicion::Begun, 1_000);
/// command::accuse(&mut register, 71, &subject, Suspicion::Begun, 2_000);
/// assert_eq!(query::held_part(&register, &subject), Some(2));
/// ```
pub fn accuse(
    register: &mut Register,
    crash: u64,
    subject: &Subject,
    suspicion: Suspicion,
    now_ms: u64,
) -> Changes {
    let mut changes = Changes::default();
    let accusation = Accusation {
        at_ms: now_ms,
        suspicion,
    };
    for (key, depth) in subject.keys() {
        let cleared_ms = query::clearance(register, key, now_ms);
        if is_refuted(now_ms, cleared_ms, depth) {
            continue;
        }
        let case = register.cases.entry(key).or_default();
        case.depth = case.depth.max(depth);
        // One accusation of a part that was cleared shortly before means little, and nearly every crash has some.
        let is_first = case.open().next().is_none();
        let is_weak = cleared_ms.is_some() && is_first && !case.is_content();
        if add_accusation(case, crash, accusation) && !is_weak {
            case.is_announced = true;
            changes.push(key, depth);
        }
    }
    settle(register, &mut changes, now_ms);
    changes
}

/// Clears a request, as its answer has gone on past its beginning.
pub fn clear(register: &mut Register, subject: &Subject, now_ms: u64) -> Changes {
    let mut changes = Changes::default();
    for (key, depth) in subject.keys() {
        register.clearances.insert(key, now_ms);
        if refute(register, key, now_ms) {
            changes.push(key, depth);
        }
    }
    if !(changes.news.is_empty() && changes.contents.is_empty()) {
        settle(register, &mut changes, now_ms);
    }
    limit_clearances(register, now_ms);
    changes
}

/// Merges the notices of another gateway. The parts, and the held contents, of which they held something new are among the
/// news.
pub fn merge(register: &mut Register, notices: &[Notice], now_ms: u64) -> Changes {
    let mut changes = Changes::default();
    let mut is_new = false;
    for notice in notices {
        if !merge_notice(register, notice, now_ms) {
            continue;
        }
        is_new = true;
        // Only the sender tells the collectors of a content that is not held.
        if notice.depth != CONTENT_DEPTH || notice.hold.is_some() {
            changes.news.push(notice.part);
        }
    }
    if is_new {
        settle(register, &mut changes, now_ms);
    }
    changes
}

/// Decides on a request. If a part or content of it that is held is due for a trial, and this gateway is one of those that
/// may try it by now, the request becomes the trial. `rank` returns the position of this gateway in an order of all
/// gateways that differs from part to part.
///
/// # Examples
///
/// ```
/// use sardinemux_core::quarantine::{command, Admission, Register, Settings, Subject};
///
/// let mut register = Register::new(Settings::default());
/// command::restore(&mut register, 1, 0, 0);
/// let subject = Subject::of_parts(&[1]);
/// let early = command::admit(&mut register, &subject, |_| 0, 29_000);
/// assert_eq!(early, Admission::Refused { part: 1, next_trial_ms: 1_000 });
/// let due = command::admit(&mut register, &subject, |_| 0, 30_000);
/// assert_eq!(due, Admission::Trial { part: 1 });
/// ```
pub fn admit(
    register: &mut Register,
    subject: &Subject,
    rank: impl Fn(u64) -> usize,
    now_ms: u64,
) -> Admission {
    let settings = register.settings;
    let Some(part) = query::held_part(register, subject) else {
        return Admission::Free;
    };
    let hold = register
        .cases
        .get_mut(&part)
        .and_then(|case| case.hold.as_mut());
    let Some(hold) = hold else {
        return Admission::Free;
    };
    let wait_ms = settings.trial_ms << hold.trials.min(16);
    let due_ms = hold.since_ms + wait_ms.min(settings.trial_max_ms);
    let is_tester = |overdue_ms: u64| rank(part) < tester_count(overdue_ms);
    if !now_ms.checked_sub(due_ms).is_some_and(is_tester) {
        let next_trial_ms = due_ms.saturating_sub(now_ms);
        return Admission::Refused {
            part,
            next_trial_ms,
        };
    }
    *hold = Hold {
        since_ms: now_ms,
        trials: hold.trials.saturating_add(1),
    };
    Admission::Trial { part }
}

/// Returns the number of gateways that may try a held part. One gateway alone may get no request with it for long, and
/// a part that all may try at once is tried by several of them.
fn tester_count(overdue_ms: u64) -> usize {
    let doublings = overdue_ms / TESTERS_DOUBLED_MS;
    1 << doublings.min(16)
}

/// Holds a part that another run of this gateway, or another gateway, has recorded as held after `trials` trials. A
/// part that is held already is not changed, and one that was cleared shortly before is not held: the record may be older.
pub fn restore(register: &mut Register, part: u64, trials: u8, now_ms: u64) -> bool {
    if query::clearance(register, part, now_ms).is_some() {
        return false;
    }
    let case = register.cases.entry(part).or_default();
    let is_new = case.hold.is_none();
    case.hold.get_or_insert(Hold {
        since_ms: now_ms,
        trials,
    });
    is_new
}

/// Removes the cases whose accusations have expired.
pub fn remove_expired(register: &mut Register, now_ms: u64) {
    let ttl_ms = register.settings.accusation_ttl_ms;
    register.cases.retain(|_, case| {
        if case.hold.is_none() {
            let accusations = &mut case.accusations;
            accusations.retain(|_, it| now_ms.saturating_sub(it.at_ms) < ttl_ms);
        }
        case.hold.is_some() || !case.accusations.is_empty()
    });
}

impl Changes {
    fn push(&mut self, key: u64, depth: u8) {
        match depth {
            CONTENT_DEPTH => self.contents.push(key),
            _ => self.news.push(key),
        }
    }
}

/// Adds an accusation, or strengthens a known one. Returns whether that changed anything.
fn add_accusation(case: &mut Case, crash: u64, accusation: Accusation) -> bool {
    if let Some(known) = case.accusations.get_mut(&crash) {
        known.at_ms = known.at_ms.min(accusation.at_ms);
        let is_stronger = accusation.suspicion > known.suspicion;
        known.suspicion = known.suspicion.max(accusation.suspicion);
        return is_stronger;
    }
    if case.accusations.len() >= ACCUSATIONS_MAX {
        let oldest = case.accusations.iter().min_by_key(|(_, it)| it.at_ms);
        let oldest = oldest.map(|(crash, it)| (*crash, it.at_ms));
        match oldest {
            Some((crash, at_ms)) if at_ms < accusation.at_ms => {
                case.accusations.swap_remove(&crash);
            }
            _ => return false,
        }
    }
    case.accusations.insert(crash, accusation);
    true
}

/// Refutes the accusations of a part up to the time of its clearance. Returns whether other gateways may hold them.
fn refute(register: &mut Register, part: u64, cleared_ms: u64) -> bool {
    let Some(case) = register.cases.get_mut(&part) else {
        return false;
    };
    let depth = case.depth;
    let mut is_changed = case.hold.is_some();
    for accusation in case.accusations.values_mut() {
        if is_refuted(accusation.at_ms, Some(cleared_ms), depth) {
            is_changed |= accusation.suspicion != Suspicion::Refuted;
            accusation.suspicion = Suspicion::Refuted;
        }
    }
    let is_announced = case.is_announced;
    if !is_announced && case.hold.is_none() && case.open().next().is_none() {
        register.cases.swap_remove(&part);
    }
    is_changed && is_announced
}

/// Merges what another gateway knows of a part. Returns whether this gateway knows more than before, or more than the
/// sender.
fn merge_notice(register: &mut Register, notice: &Notice, now_ms: u64) -> bool {
    let time_ms = |age_ms: u32| now_ms.saturating_sub(u64::from(age_ms));
    let settings = register.settings;
    let part = notice.part;
    let mut is_new = false;
    if let Some(cleared_ms) = notice.cleared_age_ms.map(time_ms) {
        is_new |= merge_clearance(register, part, cleared_ms, now_ms);
    }
    let cleared_ms = query::clearance(register, part, now_ms);
    let known = register.cases.get(&part);
    let is_present = known.is_some();
    let is_known = known.is_some_and(|case| case.is_announced);
    let mut case = register.cases.swap_remove(&part).unwrap_or_default();
    case.depth = case.depth.max(notice.depth);
    for (crash, age_ms, suspicion) in &notice.accusations {
        let at_ms = time_ms(*age_ms);
        let is_refuted_here = is_refuted(at_ms, cleared_ms, notice.depth);
        let suspicion = match is_refuted_here {
            true => Suspicion::Refuted,
            false => *suspicion,
        };
        let is_changed = add_accusation(&mut case, *crash, Accusation { at_ms, suspicion });
        // A sender that knows of a clearance has mostly refuted it as well.
        is_new |= is_changed && !(is_refuted_here && notice.cleared_age_ms.is_some());
    }
    is_new |= notice.hold.is_some() && is_ahead(&case, notice);
    if let Some((age_ms, trials)) = notice.hold {
        let is_cleared = cleared_ms.is_some() || case.has_refuted();
        if !(is_cleared && is_acquitted(&case, cleared_ms, settings)) {
            is_new |= merge_hold(&mut case, time_ms(age_ms), trials, cleared_ms);
        }
        // The sender does not know of the clearance.
        is_new |= case.hold.is_none() && cleared_ms.is_some() && notice.cleared_age_ms.is_none();
    }
    case.is_announced = is_known || !notice.accusations.is_empty() || notice.hold.is_some();
    if !is_present && !has_room(register, &case) {
        return false;
    }
    if case.hold.is_some() || !case.accusations.is_empty() {
        register.cases.insert(part, case);
    }
    is_new
}

/// Returns whether an accusation that a notice states is refuted here, which its sender does not know.
fn is_ahead(case: &Case, notice: &Notice) -> bool {
    notice.accusations.iter().any(|(crash, _, suspicion)| {
        let known = case.accusations.get(crash);
        let is_refuted = known.is_some_and(|it| it.suspicion == Suspicion::Refuted);
        is_refuted && *suspicion != Suspicion::Refuted
    })
}

/// Returns whether the open accusations of a part do not suffice for its hold.
fn is_acquitted(case: &Case, cleared_ms: Option<u64>, settings: Settings) -> bool {
    let weight = query::weight(case, &Default::default(), settings);
    weight < query::threshold(case, cleared_ms, settings)
}

/// Returns whether a clearance shows that a crash at `at_ms` has another cause than this part or content.
fn is_refuted(at_ms: u64, cleared_ms: Option<u64>, depth: u8) -> bool {
    let tolerance_ms = match depth {
        CONTENT_DEPTH => CONTENT_TOLERANCE_MS,
        _ => TOLERANCE_MS,
    };
    cleared_ms.is_some_and(|cleared_ms| at_ms <= cleared_ms + tolerance_ms)
}

/// Takes over a clearance that is newer than the known one. Returns whether it refuted an accusation.
fn merge_clearance(register: &mut Register, part: u64, cleared_ms: u64, now_ms: u64) -> bool {
    let is_expired = now_ms.saturating_sub(cleared_ms) >= register.settings.clearance_ttl_ms;
    // A known one that has expired is known all the same.
    let known_ms = register.clearances.get(&part);
    let is_known = known_ms.is_some_and(|known_ms| cleared_ms <= known_ms + TOLERANCE_MS);
    if is_expired || is_known {
        return false;
    }
    register.clearances.insert(part, cleared_ms);
    refute(register, part, cleared_ms)
}

/// Takes over the hold of another gateway, unless the part was cleared after it. Returns whether that changed anything. Of
/// the times of the same hold the earliest counts, as a gateway that reads it from the store knows no time.
fn merge_hold(case: &mut Case, since_ms: u64, trials: u8, cleared_ms: Option<u64>) -> bool {
    if cleared_ms.is_some_and(|cleared_ms| cleared_ms >= since_ms) {
        return false;
    }
    match &mut case.hold {
        Some(known) if known.trials == trials => known.since_ms = known.since_ms.min(since_ms),
        Some(known) if known.trials > trials => {}
        _ => {
            case.hold = Some(Hold { since_ms, trials });
            return true;
        }
    }
    false
}

/// Holds the parts against which the evidence suffices, the strongest case first, and releases those that were cleared.
///
/// The crashes of a held part are explained by it and no longer count against others.
fn settle(register: &mut Register, changes: &mut Changes, now_ms: u64) {
    release_cleared(register, changes, now_ms);
    while let Some(part) = find_guilty(register, now_ms) {
        if let Some(case) = register.cases.get_mut(&part) {
            case.hold = Some(Hold {
                since_ms: now_ms,
                trials: 0,
            });
            if case.is_content() {
                changes.contents.retain(|content| *content != part);
                changes.news.push(part);
            }
        }
        changes.held.push(part);
    }
    register
        .cases
        .retain(|_, case| case.hold.is_some() || !case.accusations.is_empty());
    limit_cases(register);
}

fn release_cleared(register: &mut Register, changes: &mut Changes, now_ms: u64) {
    let held = register.cases.iter();
    let held = held.filter(|(_, case)| case.hold.is_some());
    let held: Vec<u64> = held.map(|(part, _)| *part).collect();
    for part in held {
        let cleared_ms = query::clearance(register, part, now_ms);
        let settings = register.settings;
        let Some(case) = register.cases.get_mut(&part) else {
            continue;
        };
        let is_cleared = cleared_ms.is_some() || case.has_refuted();
        if is_cleared && is_acquitted(case, cleared_ms, settings) {
            case.hold = None;
            changes.released.push(part);
            changes.contents.retain(|content| *content != part);
            changes.news.push(part);
        }
    }
}

/// Returns the part with the strongest sufficient evidence that is not held. Of parts that always occur together, the
/// one deepest in the prompt is shared by the fewest requests.
fn find_guilty(register: &Register, now_ms: u64) -> Option<u64> {
    let settings = register.settings;
    // Two fatal contents may be in progress on one target. A held one does not clear the other of its crashes.
    let by_all = query::explained(&register.cases, true);
    let by_parts = query::explained(&register.cases, false);
    let open = register.cases.iter();
    let open = open.filter(|(_, case)| case.hold.is_none());
    let weighed = open.filter_map(|(part, case)| {
        let explained = match case.is_content() {
            true => &by_parts,
            false => &by_all,
        };
        let weight = query::weight(case, explained, settings);
        let cleared_ms = query::clearance(register, *part, now_ms);
        let is_enough = weight >= query::threshold(case, cleared_ms, settings);
        is_enough.then_some((weight, case.depth, *part))
    });
    let strongest = weighed.max_by(|left, right| {
        let by_weight = left.0.total_cmp(&right.0);
        by_weight.then((left.1, left.2).cmp(&(right.1, right.2)))
    });
    strongest.map(|(_, _, part)| part)
}

/// Returns whether a register takes over a case of another gateway: in a full one it replaces only a case that is clearly
/// older. Of two that are about as old, each would otherwise replace the other whenever a gateway repeats it.
fn has_room(register: &Register, case: &Case) -> bool {
    if register.cases.len() < register.settings.parts_max {
        return true;
    }
    let (is_held, is_open, last_ms) = rank(case);
    let last_ms = last_ms.map(|last_ms| last_ms.saturating_sub(TOLERANCE_MS));
    let least = register.cases.values().map(rank).min();
    least.is_some_and(|least| (is_held, is_open, last_ms) > least)
}

/// Returns the key by which cases are kept in a full register, the greatest first: whether they are held, whether they have
/// open accusations, and the time of the latest accusation.
fn rank(case: &Case) -> (bool, bool, Option<u64>) {
    let last_ms = case.accusations.values().map(|it| it.at_ms).max();
    (case.hold.is_some(), case.open().next().is_some(), last_ms)
}

/// Removes the cases with the oldest accusations while there are too many, those that are not held first.
fn limit_cases(register: &mut Register) {
    let parts_max = register.settings.parts_max;
    if register.cases.len() <= parts_max {
        return;
    }
    register
        .cases
        .sort_by(|_, left, _, right| rank(right).cmp(&rank(left)));
    register.cases.truncate(parts_max);
}

/// Removes the expired clearances, and then the oldest ones, while there are too many.
fn limit_clearances(register: &mut Register, now_ms: u64) {
    let settings = register.settings;
    if register.clearances.len() <= settings.clearances_max {
        return;
    }
    register
        .clearances
        .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < settings.clearance_ttl_ms);
    register
        .clearances
        .sort_by(|_, left, _, right| right.cmp(left));
    // Sorting costs more than removing, so an eighth is removed at once.
    let kept = settings.clearances_max - settings.clearances_max / 8;
    register.clearances.truncate(kept);
}
