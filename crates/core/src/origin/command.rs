//! Commands that change a register.

use smol_str::SmolStr;

use crate::position::{Era, Position};

use super::{
    query, Doubt, Epoch, Knowledge, Known, Origin, Pool, Presence, Register, Sighting, Since,
    Stored,
};

/// The latest era in which a store cannot have come back from a copy. Stores count from zero or one.
const FIRST_ERA: Era = Some(1);

/// Records which builds a pool has listed, and the slots of each that may get new requests.
pub fn observe(register: &mut Register, pool: &SmolStr, present: &[Presence], now_ms: u64) {
    let settings = register.settings;
    let state = register.pools.entry(pool.clone()).or_default();
    drop_doubt(state, present);
    let position = query::position(&state.epoch).unwrap_or_default();
    for (build, sighting) in &mut state.builds {
        sighting.slots = 0;
        let absence_ms = now_ms.saturating_sub(sighting.last_ms);
        if absence_ms >= settings.absent_ms && sighting.absent_at.is_none() {
            sighting.absent_at = Some(position);
        }
        if absence_ms >= settings.absent_ms && present.iter().any(|it| it.build == *build) {
            sighting.since_ms = now_ms;
        }
    }
    for Presence { build, slots } in present {
        let sighting = state.builds.entry(build.clone()).or_insert(Sighting {
            since_ms: now_ms,
            last_ms: now_ms,
            slots: 0,
            absent_at: None,
        });
        sighting.last_ms = now_ms;
        sighting.slots = *slots;
    }
    let is_forgotten = |sighting: &Sighting| {
        now_ms.saturating_sub(sighting.last_ms) > settings.settle_ms() + settings.record_ttl_ms()
    };
    state.builds.retain(|_, sighting| !is_forgotten(sighting));
    // The streams that are running get records as soon as a second build is listed, before it can join.
    if query::is_mixed(register, pool, now_ms) {
        queue_pending(register, pool, now_ms);
    }
}

/// Sets the longest time from the beginning of a stream in which its caller may take it up.
pub fn set_stream_ms(register: &mut Register, stream_ms: u64) {
    register.settings.stream_ms = stream_ms;
}

/// Sets whether all known gateways, this one among them, begin streams at the former base of an epoch. Otherwise no epoch keeps one.
pub fn set_keeps_former_base(register: &mut Register, keeps_former_base: bool) {
    register.keeps_former_base = keeps_former_base;
}

/// Records that the fleet starts for the first time: where the store holds no epoch, there was none before.
pub fn note_first_start(register: &mut Register) {
    register.is_first_start = true;
}

/// Records that the list of targets is current and was read in an era of the store: any build that may have joined in that era
/// is known here, or has been listed for too short a time.
pub fn note_current(register: &mut Register, era: Era, now_ms: u64) {
    for state in register.pools.values_mut() {
        if query::position(&state.epoch).is_some_and(|position| position.era == era) {
            state.current_ms = Some(now_ms);
        }
    }
}

/// Records that a gateway, this one or another, has started: streams that began at a former process may be taken up.
pub fn note_restart(register: &mut Register, now_ms: u64) {
    register.restart_ms = register.restart_ms.max(now_ms);
}

/// Records the epoch of a pool as it lies in the store, unless a newer one is known. `None` states that the store holds
/// none in this era. Returns whether that was news.
pub fn note_epoch(
    register: &mut Register,
    pool: &SmolStr,
    stored: Option<Stored>,
    era: Era,
    now_ms: u64,
) -> bool {
    let settings = register.settings;
    let is_first_start = register.is_first_start && era <= FIRST_ERA || era.is_none();
    let state = register.pools.entry(pool.clone()).or_default();
    let absent = Position::new(era, 0);
    let position = stored.as_ref().map_or(absent, |stored| stored.position);
    let former = query::position(&state.epoch);
    let is_dated = former == Some(position) && dates(&state.epoch, stored.as_ref());
    if former.is_some_and(|known| position <= known) && !is_dated {
        return false;
    }
    for sighting in state.builds.values_mut() {
        let was_before = sighting.absent_at.is_some_and(|at| at < position);
        if was_before && now_ms.saturating_sub(sighting.last_ms) < settings.absent_ms {
            sighting.absent_at = None;
        }
    }
    let former = match is_dated {
        true => Knowledge::None,
        false => std::mem::take(&mut state.epoch),
    };
    let mut reading = Reading {
        stored,
        era,
        is_certain: true,
        now_ms,
    };
    let is_restored = note_era(state, &former, &reading);
    let was_current = |at_ms| now_ms.saturating_sub(at_ms) <= settings.join_ms;
    reading.is_certain = !is_restored || state.current_ms.is_some_and(was_current);
    let mut is_first = reading.is_certain;
    if former == Knowledge::None {
        reading.is_certain = false;
        is_first = is_first_start;
    }
    keep_former(state, former, is_restored, &mut reading);
    replace_epoch(state, reading, is_first);
    if is_restored {
        register.is_first_start = false;
        renew_records(register, pool, now_ms);
    }
    if query::is_mixed(register, pool, now_ms) {
        queue_pending(register, pool, now_ms);
    }
    true
}

/// What the store has stated of an epoch.
struct Reading {
    stored: Option<Stored>,
    era: Era,
    /// Whether each join of the time before is known here.
    is_certain: bool,
    now_ms: u64,
}

/// Returns whether the store tells in which era an epoch was written of which another gateway has told the rest.
fn dates(known: &Knowledge, stored: Option<&Stored>) -> bool {
    let is_told = matches!(known, Knowledge::Stored(known) if known.written.is_none());
    is_told && stored.is_some_and(|stored| stored.written.is_some())
}

/// Notes whether an epoch is of a later era than the former one. Returns whether the store may have come back from an older copy, so that
/// the former epoch must be written again unless the store still holds it.
fn note_era(state: &mut Pool, former: &Knowledge, reading: &Reading) -> bool {
    let Some(former) = query::position(former) else {
        return false;
    };
    let is_later = reading.era > former.era;
    if is_later {
        state.era_ms = reading.now_ms;
    }
    is_later && former.era.is_some()
}

/// Keeps the former epoch if the store may have come back from an older copy, and adds to the one that was read what it lacks.
fn keep_former(state: &mut Pool, former: Knowledge, is_restored: bool, reading: &mut Reading) {
    if let (true, Knowledge::Stored(former)) = (is_restored, former) {
        state.kept = Some(former.epoch);
    }
    let Some(kept) = state.kept.clone() else {
        return;
    };
    // The store may lose again what is written again.
    state.joined.clear();
    match &mut reading.stored {
        Some(stored) if covers(&stored.epoch, &kept) => state.kept = None,
        Some(stored) => stored.epoch = union(&stored.epoch, &kept),
        None => {
            reading.stored = Some(Stored {
                epoch: kept,
                position: Position::new(reading.era, 0),
                written: None,
            });
        }
    }
}

/// Replaces what is known of an epoch by what was read. `is_first` states whether there was none before if the store holds none.
fn replace_epoch(state: &mut Pool, reading: Reading, is_first: bool) {
    let Reading {
        mut stored,
        era,
        is_certain,
        now_ms,
    } = reading;
    state.doubt = None;
    if let Some(stored) = stored.as_mut().filter(|_| !is_certain) {
        let is_rebuilt = state.kept.is_some();
        let is_earlier = stored.written.is_some() && stored.written < stored.position.era;
        let base = stored.epoch.base.take_if(|_| is_earlier || is_rebuilt);
        let since_ms = now_ms;
        state.doubt = base.map(|base| Doubt { base, since_ms });
        // The store may have lost the write that ended it.
        stored
            .epoch
            .former_base
            .take_if(|_| is_earlier || is_rebuilt);
    }
    let epoch = stored.as_ref().map(|stored| &stored.epoch);
    date_builds(state, epoch.unwrap_or(&Epoch::default()), now_ms);
    state.epoch = stored.map_or(Knowledge::Absent { era, is_first }, Knowledge::Stored);
}

/// Notes which builds of an epoch have just joined it, and since when it has had its former base, or one build without a base.
fn date_builds(state: &mut Pool, epoch: &Epoch, now_ms: u64) {
    let sole = match (&epoch.base, epoch.builds.as_slice()) {
        (None, [build]) => Some(build),
        _ => None,
    };
    set_since(&mut state.sole, sole, now_ms);
    set_since(&mut state.former_base, epoch.former_base.as_ref(), now_ms);
    let later = epoch.builds.iter().skip(1);
    state
        .joined
        .retain(|build, _| later.clone().any(|it| it == build));
    for build in later {
        state.joined.entry(build.clone()).or_insert(now_ms);
    }
}

/// Replaces a build, and notes the time if it is another one.
fn set_since(known: &mut Option<Since>, build: Option<&SmolStr>, now_ms: u64) {
    if known.as_ref().map(|it| &it.build) == build {
        return;
    }
    *known = build.map(|build| Since {
        build: build.clone(),
        since_ms: now_ms,
    });
}

/// Returns whether an epoch has all builds of another one, and states no base that the other does not.
fn covers(epoch: &Epoch, other: &Epoch) -> bool {
    let has_builds = other
        .builds
        .iter()
        .all(|build| epoch.builds.contains(build));
    let (base, other_base) = (unrecorded_base(epoch), unrecorded_base(other));
    has_builds
        && (epoch.base.is_none() || epoch.base == other.base)
        && (base.is_none() || base == other_base)
}

/// Returns the build at which streams without a record began that may not begin at a recent build.
fn unrecorded_base(epoch: &Epoch) -> Option<&SmolStr> {
    epoch.base.as_ref().or(epoch.former_base.as_ref())
}

/// Returns the epoch with the builds of both. It has a base only if both have the same.
fn union(epoch: &Epoch, other: &Epoch) -> Epoch {
    let mut joined = epoch.clone();
    joined.base = joined.base.filter(|base| other.base.as_ref() == Some(base));
    let former = unrecorded_base(epoch).filter(|base| unrecorded_base(other) == Some(base));
    joined.former_base = former.filter(|_| joined.base.is_none()).cloned();
    for build in &other.builds {
        if !joined.builds.contains(build) {
            joined.builds.push(build.clone());
        }
    }
    joined
}

/// Queues again the records of the streams that began here, which a store that came back from an older copy may lack.
fn renew_records(register: &mut Register, pool: &SmolStr, now_ms: u64) {
    let stream_ms = register.settings.stream_ms;
    for known in register.streams.values_mut() {
        let is_running = now_ms.saturating_sub(known.at_ms) <= stream_ms;
        known.is_pending |= known.is_own && is_running && known.origin.pool == *pool;
    }
}

/// Gives up a doubtful base if another build is listed: the store has lost its join, or it joins now.
fn drop_doubt(state: &mut Pool, present: &[Presence]) {
    let is_alone = |doubt: &Doubt| present.iter().all(|presence| presence.build == doubt.base);
    if !state.doubt.as_ref().is_some_and(is_alone) {
        state.doubt = None;
    }
}

/// Records that a stream has begun here, and queues its record if it needs one.
///
/// # Examples
///
/// ```
/// use sardinemux_core::origin::{command, query, Origin, Register, Settings};
///
/// let mut register = Register::new(Settings::default(), 0);
/// let origin = Origin { stream: 7, pool: "p".into(), build: "v1".into() };
/// command::begin(&mut register, origin.clone(), 0);
/// assert_eq!(query::known(&register, 7), Some(&origin));
/// ```
pub fn begin(register: &mut Register, origin: Origin, now_ms: u64) {
    let is_recorded = query::is_mixed(register, &origin.pool, now_ms);
    if is_recorded {
        queue_records(register, [origin.clone()]);
    }
    let stream = origin.stream;
    let known = Known {
        origin,
        at_ms: now_ms,
        is_own: true,
        is_pending: !is_recorded,
    };
    insert(register, stream, known, now_ms);
}

/// Records that a stream has ended with its last event, so that it needs no record if it has none yet.
pub fn end(register: &mut Register, stream: u64) {
    if let Some(known) = register.streams.get_mut(&stream) {
        known.is_pending = false;
    }
}

/// Keeps the origin of a stream that was read from the store.
pub fn note_origin(register: &mut Register, origin: Origin, now_ms: u64) {
    let stream = origin.stream;
    let known = Known {
        origin,
        at_ms: now_ms,
        is_own: false,
        is_pending: false,
    };
    insert(register, stream, known, now_ms);
}

/// Returns the records that are to be passed on, at most `limit`, the oldest first.
pub fn take_records(register: &mut Register, limit: usize) -> Vec<Origin> {
    let count = register.outbox.len().min(limit);
    register.outbox.drain(..count).collect()
}

/// Queues records for the store: those that were not written, or those of other gateways.
pub fn queue_records(register: &mut Register, origins: impl IntoIterator<Item = Origin>) {
    register.outbox.extend(origins);
    let excess = register
        .outbox
        .len()
        .saturating_sub(register.settings.streams_max);
    register.outbox.drain(..excess);
    register.lost += excess;
}

/// Returns the number of records that were dropped since the last call, as there were too many.
pub fn take_lost(register: &mut Register) -> usize {
    std::mem::take(&mut register.lost)
}

/// Keeps a stream; the one that was kept first goes if there are too many or it has expired.
fn insert(register: &mut Register, stream: u64, known: Known, now_ms: u64) {
    let settings = register.settings;
    register.streams.shift_remove(&stream);
    register.streams.insert(stream, known);
    while let Some((_, first)) = register.streams.first() {
        let is_expired = now_ms.saturating_sub(first.at_ms) > settings.record_ttl_ms();
        if !is_expired && register.streams.len() <= settings.streams_max {
            break;
        }
        register.streams.shift_remove_index(0);
    }
}

/// Queues the records of the streams that began here without one and may still be running.
fn queue_pending(register: &mut Register, pool: &SmolStr, now_ms: u64) {
    let stream_ms = register.settings.stream_ms;
    let mut due = Vec::new();
    for known in register.streams.values_mut() {
        if !known.is_pending || known.origin.pool != *pool {
            continue;
        }
        known.is_pending = false;
        if now_ms.saturating_sub(known.at_ms) <= stream_ms {
            due.push(known.origin.clone());
        }
    }
    queue_records(register, due);
}

/// Returns the epoch that follows when builds join: its streams are recorded, and its base is the former one. An epoch that had all
/// of them is written anew as it is.
pub(super) fn join(epoch: &Epoch, joining: Vec<SmolStr>) -> Epoch {
    let mut joined = epoch.clone();
    for build in joining {
        if !joined.builds.contains(&build) {
            joined.builds.push(build);
            joined.former_base = joined.base.take().or(joined.former_base);
        }
    }
    joined
}
