//! Commands that change a register.

use smol_str::SmolStr;

use crate::position::{Era, Position};

use super::{
    query, Doubt, Epoch, Knowledge, Known, Origin, Pool, Presence, Register, Sighting, Stored,
};

/// Records which builds a pool has listed, and the slots of each that may get new requests.
pub fn observe(register: &mut Register, pool: &SmolStr, present: &[Presence], now_ms: u64) {
    let settings = register.settings;
    let state = register.pools.entry(pool.clone()).or_default();
    settle_doubt(state, present, settings.doubt_ms, now_ms);
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
    let state = register.pools.entry(pool.clone()).or_default();
    let absent = Position::new(era, 0);
    let position = stored.as_ref().map_or(absent, |stored| stored.position);
    if query::position(&state.epoch).is_some_and(|known| position <= known) {
        return false;
    }
    for sighting in state.builds.values_mut() {
        let was_before = sighting.absent_at.is_some_and(|at| at < position);
        if was_before && now_ms.saturating_sub(sighting.last_ms) < register.settings.absent_ms {
            sighting.absent_at = None;
        }
    }
    let former = std::mem::take(&mut state.epoch);
    let is_restored = replace_epoch(state, former, stored, era, now_ms);
    if is_restored {
        renew_records(register, pool, now_ms);
    }
    if query::is_mixed(register, pool, now_ms) {
        queue_pending(register, pool, now_ms);
    }
    true
}

/// Replaces what is known of an epoch by what the store states. Returns whether the store may have come back from an older copy,
/// so that the former epoch must be written again unless the store still holds it.
fn replace_epoch(
    state: &mut Pool,
    former: Knowledge,
    stored: Option<Stored>,
    era: Era,
    now_ms: u64,
) -> bool {
    let known = query::position(&former).and_then(|position| position.era);
    let is_first = matches!(former, Knowledge::None);
    let is_later_era = query::position(&former).is_some_and(|position| era > position.era);
    if is_later_era {
        state.era_ms = now_ms;
    }
    let is_restored = is_later_era && known.is_some();
    if let (true, Knowledge::Stored(former)) = (is_restored, former) {
        state.kept = Some(former.epoch);
    }
    let position = Position::new(era, 0);
    let mut stored = stored;
    match (&state.kept, &mut stored) {
        (Some(kept), Some(stored)) if covers(&stored.epoch, kept) => state.kept = None,
        (Some(kept), Some(stored)) => stored.epoch = union(&stored.epoch, kept),
        (Some(kept), None) => {
            stored = Some(Stored {
                epoch: kept.clone(),
                position,
                written: era,
            });
        }
        (None, _) => {}
    }
    state.doubt = None;
    if let Some(stored) = stored.as_mut().filter(|_| is_first) {
        let is_earlier = stored.written.is_some() && stored.written < stored.position.era;
        if let Some(base) = stored.epoch.base.take_if(|_| is_earlier) {
            let since_ms = now_ms;
            state.doubt = Some(Doubt { base, since_ms });
        }
    }
    state.epoch = stored.map_or(Knowledge::Absent(era), Knowledge::Stored);
    is_restored
}

/// Returns whether an epoch has all builds of another one, and states no base that the other does not.
fn covers(epoch: &Epoch, other: &Epoch) -> bool {
    let has_builds = other
        .builds
        .iter()
        .all(|build| epoch.builds.contains(build));
    has_builds && (epoch.base.is_none() || epoch.base == other.base)
}

/// Returns the epoch with the builds of both. It has a base only if both have the same.
fn union(epoch: &Epoch, other: &Epoch) -> Epoch {
    let mut joined = epoch.clone();
    joined.base = joined.base.filter(|base| other.base.as_ref() == Some(base));
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

/// Believes a doubtful base once no other build has been listed for long enough, and gives it up if one is.
fn settle_doubt(state: &mut Pool, present: &[Presence], doubt_ms: u64, now_ms: u64) {
    let Some(doubt) = &state.doubt else {
        return;
    };
    let is_alone = present.iter().all(|presence| presence.build == doubt.base);
    if is_alone && now_ms.saturating_sub(doubt.since_ms) < doubt_ms {
        return;
    }
    if let (true, Knowledge::Stored(stored)) = (is_alone, &mut state.epoch) {
        stored.epoch.base = Some(doubt.base.clone());
    }
    state.doubt = None;
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
    for known in register.streams.values_mut() {
        if !known.is_pending || known.origin.pool != *pool {
            continue;
        }
        known.is_pending = false;
        if now_ms.saturating_sub(known.at_ms) <= stream_ms {
            register.outbox.push_back(known.origin.clone());
        }
    }
}

/// Returns the epoch that follows when builds join: its streams are recorded, and there is no base. An epoch that had all of
/// them is written anew as it is.
pub(super) fn join(epoch: &Epoch, joining: Vec<SmolStr>) -> Epoch {
    let mut joined = epoch.clone();
    for build in joining {
        if !joined.builds.contains(&build) {
            joined.builds.push(build);
            joined.base = None;
        }
    }
    joined
}
