//! Queries of a register.

use smol_str::SmolStr;

use crate::position::Position;

use super::{
    command, may_begin_at_recent, Contact, Doubt, Epoch, Knowledge, Origin, Pool, Presence,
    Proposal, Register, Settings, Sighting, Since, Stored,
};

/// What a gateway that is to take up a stream has to find out about its build.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Search {
    /// The epoch must be read now. If it has a base, that is the build; otherwise the record must be read.
    Epoch,
    /// The record must be read. If there is none, the epoch must be.
    Record,
}

/// Returns the origin of a stream that is known here.
pub fn known(register: &Register, stream: u64) -> Option<&Origin> {
    register.streams.get(&stream).map(|known| &known.origin)
}

/// Returns the epoch of a pool as it was last known.
pub fn epoch<'a>(register: &'a Register, pool: &str) -> Option<&'a Stored> {
    stored(&register.pools.get(pool)?.epoch)
}

/// Returns what the store held of an epoch.
pub(super) fn stored(epoch: &Knowledge) -> Option<&Stored> {
    match epoch {
        Knowledge::Stored(stored) => Some(stored),
        Knowledge::None | Knowledge::Absent { .. } => None,
    }
}

/// Returns the position of what is known of an epoch, if it has been read.
pub(super) fn position(epoch: &Knowledge) -> Option<Position> {
    match epoch {
        Knowledge::None => None,
        Knowledge::Absent { era, .. } => Some(Position::new(*era, 0)),
        Knowledge::Stored(stored) => Some(stored.position),
    }
}

/// Returns how long records are kept, in milliseconds.
pub fn record_ttl_ms(register: &Register) -> u64 {
    register.settings.record_ttl_ms()
}

/// Returns the longest time from the beginning of a stream in which its caller may take it up, in milliseconds.
pub fn stream_ms(register: &Register) -> u64 {
    register.settings.stream_ms
}

/// Returns when a gateway was last seen to start, in milliseconds.
pub fn restart_ms(register: &Register) -> u64 {
    register.restart_ms
}

/// Returns whether there are records to be passed on.
pub fn has_records(register: &Register) -> bool {
    !register.outbox.is_empty()
}

/// Returns the known epochs of all pools, without those whose base is in doubt: others are to find that out for themselves.
pub fn epochs(register: &Register) -> impl Iterator<Item = (&SmolStr, &Stored)> {
    let pools = register.pools.iter().filter(|(_, it)| it.doubt.is_none());
    pools.filter_map(|(name, pool)| match &pool.epoch {
        Knowledge::Stored(stored) => Some((name, stored)),
        Knowledge::None | Knowledge::Absent { .. } => None,
    })
}

/// Returns how to find the build of a stream that is not known here.
pub fn search(register: &Register, pool: &str, stream: u64) -> Search {
    match epoch(register, pool) {
        Some(stored) if stored.epoch.base.is_some() => Search::Epoch,
        Some(_) if former_base(register, pool, stream).is_none() => Search::Record,
        _ => Search::Epoch,
    }
}

/// Returns the former base of a pool if a stream can have begun nowhere else, with or without a record.
///
/// # Examples
///
/// ```
/// use sardinemux_core::origin::{command, query, Epoch, Register, Settings, Stored};
///
/// let mut register = Register::new(Settings::default(), 0);
/// command::set_keeps_former_base(&mut register, true);
/// let builds = vec!["v1".into(), "v2".into()];
/// let epoch = Epoch { base: None, builds, former_base: Some("v1".into()) };
/// let stored = Stored { epoch, position: 1.into(), written: None };
/// command::note_epoch(&mut register, &"p".into(), Some(stored), None, 0);
/// assert_eq!(query::former_base(&register, "p", 1).unwrap(), "v1");
/// assert!(query::former_base(&register, "p", 4).is_none());
/// ```
pub fn former_base<'a>(register: &'a Register, pool: &str, stream: u64) -> Option<&'a SmolStr> {
    if !register.keeps_former_base || may_begin_at_recent(stream) {
        return None;
    }
    epoch(register, pool)?.epoch.former_base.as_ref()
}

/// Returns the base of a pool that is in doubt, as the store may have lost the join of another build.
pub fn doubtful_base<'a>(register: &'a Register, pool: &str) -> Option<&'a SmolStr> {
    let doubt = register.pools.get(pool)?.doubt.as_ref()?;
    Some(&doubt.base)
}

/// Returns the build at which a stream without a record began: the base, or a former base or one in doubt if the stream can have begun
/// nowhere else.
///
/// # Examples
///
/// ```
/// use sardinemux_core::origin::{command, query, Epoch, Register, Settings, Stored};
/// use sardinemux_core::position::Position;
///
/// let mut register = Register::new(Settings::default(), 0);
/// let epoch = Epoch { base: Some("v1".into()), builds: vec!["v1".into()], ..Epoch::default() };
/// let stored = Stored { epoch, position: Position::new(Some(2), 1), written: Some(1) };
/// command::note_epoch(&mut register, &"p".into(), Some(stored), Some(2), 0);
/// assert!(query::unrecorded_build(&register, "p", 1, 0).is_none());
/// assert_eq!(query::unrecorded_build(&register, "p", 1, 9_000).unwrap(), "v1");
/// assert!(query::unrecorded_build(&register, "p", 4, 9_000).is_none());
/// ```
pub fn unrecorded_build(
    register: &Register,
    pool: &str,
    stream: u64,
    now_ms: u64,
) -> Option<SmolStr> {
    let base = epoch(register, pool)?.epoch.base.clone();
    let base = base.or_else(|| former_base(register, pool, stream).cloned());
    let doubt = register.pools.get(pool)?.doubt.as_ref();
    let is_settled =
        |doubt: &Doubt| now_ms.saturating_sub(doubt.since_ms) >= register.settings.doubt_ms;
    let doubt = doubt.filter(|doubt| is_settled(doubt) && !may_begin_at_recent(stream));
    base.or_else(|| doubt.map(|doubt| doubt.base.clone()))
}

/// Returns the base of a pool if it is certain although the epoch cannot be read, which takes that only targets of the base are in the
/// list, that the list has been read since the process last stood still, and one of:
///
/// - the list is recent, so that no other build has been listed for long enough to join,
/// - no gateway reaches the store, so that none can write a join. Each of them must have reported that, and most recently: one that is
///   silent may reach the store from the other side of a partition.
///
/// # Examples
///
/// ```
/// use sardinemux_core::origin::{
///     command, query, Contact, Epoch, Presence, Register, Settings, Stored, Witness,
/// };
///
/// let mut register = Register::new(Settings::default(), 0);
/// let epoch = Epoch { base: Some("v1".into()), builds: vec!["v1".into()], ..Epoch::default() };
/// let stored = Stored { epoch, position: 1.into(), written: None };
/// command::note_epoch(&mut register, &"p".into(), Some(stored), None, 0);
/// let present = [Presence { build: "v1".into(), slots: 4 }];
/// let witnesses = vec![Witness::default()];
/// let recent = Contact { is_refreshed: true, age_ms: 300, witnesses };
/// assert!(query::certain_base(&register, "p", &present, &recent).is_some());
/// let old = Contact { age_ms: 3_000, ..recent };
/// assert!(query::certain_base(&register, "p", &present, &old).is_none());
/// ```
pub fn certain_base(
    register: &Register,
    pool: &str,
    present: &[Presence],
    contact: &Contact,
) -> Option<SmolStr> {
    let base = epoch(register, pool)?.epoch.base.clone()?;
    let is_alone = present.iter().all(|presence| presence.build == base);
    (is_alone && is_current(register, contact)).then_some(base)
}

/// Returns whether a gateway's list of targets is as current as that of any gateway that can write a join.
pub fn is_current(register: &Register, contact: &Contact) -> bool {
    let recent_ms = register.settings.contact_ms;
    let is_recent = contact.age_ms <= recent_ms;
    contact.is_refreshed && (is_recent || is_outage(contact, recent_ms))
}

/// Returns whether the other gateways show that none reaches the store.
fn is_outage(contact: &Contact, recent_ms: u64) -> bool {
    let witnesses = &contact.witnesses;
    let ages = witnesses.iter().filter_map(|witness| witness.report_age_ms);
    let (mut heard, mut recent) = (0, 0);
    for age_ms in ages {
        heard += 1;
        recent += usize::from(age_ms <= recent_ms);
    }
    let is_followed = witnesses.iter().any(|witness| witness.is_following);
    !is_followed && heard == witnesses.len() && recent * 2 >= heard
}

/// Returns whether streams of a pool need records: its epoch has no base, or several builds are listed.
pub fn is_mixed(register: &Register, pool: &str, now_ms: u64) -> bool {
    let Some(state) = register.pools.get(pool) else {
        return false;
    };
    let has_base = match &state.epoch {
        Knowledge::Stored(stored) => stored.epoch.base.is_some(),
        Knowledge::None | Knowledge::Absent { .. } => true,
    };
    !has_base || listed(state, register, now_ms).count() > 1
}

/// The time after its last sighting for which a build counts as listed, in milliseconds: several intervals of observation.
const LISTED_MS: u64 = 500;

fn listed<'a>(
    state: &'a Pool,
    register: &'a Register,
    now_ms: u64,
) -> impl Iterator<Item = (&'a SmolStr, &'a Sighting)> {
    let limit_ms = LISTED_MS.min(register.settings.absent_ms);
    let builds = state.builds.iter();
    builds.filter(move |(_, sighting)| now_ms.saturating_sub(sighting.last_ms) <= limit_ms)
}

/// Returns the builds of a pool at which a stream may begin. Before the epoch has been read, that is the only build that is
/// listed, if there is only one: a stream that is then taken to have begun at another build finds no target of it.
pub fn open_builds(register: &Register, pool: &str, stream: u64, now_ms: u64) -> Vec<SmolStr> {
    let Some(state) = register.pools.get(pool) else {
        return Vec::new();
    };
    let listed: Vec<_> = listed(state, register, now_ms).collect();
    match &state.epoch {
        Knowledge::Stored(stored) => {
            let is_open = |(build, sighting): &&(&SmolStr, &Sighting)| {
                stored.epoch.builds.contains(build) && sighting.absent_at.is_none()
            };
            let mut open: Vec<_> = listed.iter().filter(is_open).copied().collect();
            let former_base = stored.epoch.former_base.as_ref();
            let lasting = match (may_begin_at_recent(stream), former_base) {
                (true, _) => None,
                (false, Some(former_base)) => {
                    open.retain(|(build, _)| *build == former_base);
                    None
                }
                (false, None) => {
                    lasting_builds(state, &stored.epoch, &open, &register.settings, now_ms)
                }
            };
            let open = lasting.unwrap_or(open).into_iter();
            open.map(|(build, _)| build.clone()).collect()
        }
        Knowledge::None | Knowledge::Absent { .. } => match listed.as_slice() {
            [(build, _)] => vec![(*build).clone()],
            _ => Vec::new(),
        },
    }
}

/// A build and when it was listed.
type Listed<'a> = (&'a SmolStr, &'a Sighting);

/// Returns the open builds whose joins the store cannot lose any more. `None` if the first build, at which most streams begin until
/// then, has too few slots for that.
fn lasting_builds<'a>(
    state: &Pool,
    epoch: &Epoch,
    open: &[Listed<'a>],
    settings: &Settings,
    now_ms: u64,
) -> Option<Vec<Listed<'a>>> {
    let is_recent = |build: &SmolStr| {
        let joined_ms = state.joined.get(build);
        joined_ms.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < settings.copy_age_ms)
    };
    let lasting = open.iter().filter(|(build, _)| !is_recent(build));
    let lasting: Vec<_> = lasting.copied().collect();
    let first = epoch.builds.first()?;
    let slots = |builds: &[Listed<'_>]| builds.iter().map(|(_, it)| it.slots).sum::<u32>();
    let has_first = lasting.iter().any(|(build, _)| *build == first);
    let is_enough = f64::from(slots(&lasting)) >= settings.first_slots_min * f64::from(slots(open));
    (has_first && is_enough).then_some(lasting)
}

/// Returns the changes of epochs that are due.
pub fn proposals(register: &Register, now_ms: u64) -> Vec<Proposal> {
    let pools = register.pools.iter();
    let due = pools.filter_map(|(name, pool)| propose(register, name, pool, now_ms));
    due.collect()
}

fn propose(register: &Register, name: &SmolStr, pool: &Pool, now_ms: u64) -> Option<Proposal> {
    let listed: Vec<_> = listed(pool, register, now_ms).collect();
    let (epoch, expected) = match &pool.epoch {
        Knowledge::None => return None,
        Knowledge::Absent { era, is_first } => {
            let builds: Vec<SmolStr> = listed.iter().map(|(build, _)| (*build).clone()).collect();
            let base = match builds.as_slice() {
                [] => return None,
                [build] => Some(build.clone()).filter(|_| *is_first),
                _ => None,
            };
            let epoch = Epoch {
                base,
                builds,
                ..Epoch::default()
            };
            (epoch, Position::new(*era, 0))
        }
        Knowledge::Stored(stored) if is_unwritten(register, pool, stored, now_ms) => {
            (stored.epoch.clone(), stored.position)
        }
        Knowledge::Stored(stored) => {
            let epoch = next_epoch(register, pool, &stored.epoch, &listed, now_ms)?;
            (epoch, stored.position)
        }
    };
    Some(Proposal {
        pool: name.clone(),
        epoch,
        expected,
    })
}

/// Returns the epoch that follows once builds join or have been absent for long, or the former base ends. `None` if nothing is due. An
/// epoch that has all builds which join is written anew as it is.
fn next_epoch(
    register: &Register,
    pool: &Pool,
    epoch: &Epoch,
    listed: &[Listed<'_>],
    now_ms: u64,
) -> Option<Epoch> {
    let joining = joining(register, pool, epoch, listed, now_ms);
    let is_joined = !joining.is_empty();
    let mut next = match is_joined {
        true => command::join(epoch, joining),
        false => settle(register, pool, epoch, now_ms).unwrap_or_else(|| epoch.clone()),
    };
    let former_base = next.former_base.take();
    next.former_base =
        former_base.filter(|build| keeps_former_base(register, pool, listed, build, now_ms));
    (is_joined || next != *epoch).then_some(next)
}

/// Returns whether an epoch keeps its former base, or gets it from a join: streams from before the join may still be taken up, and its
/// targets have room for most of the streams that begin.
fn keeps_former_base(
    register: &Register,
    pool: &Pool,
    listed: &[Listed<'_>],
    former_base: &SmolStr,
    now_ms: u64,
) -> bool {
    let settings = &register.settings;
    let since_ms = pool.former_base.as_ref().map_or(now_ms, |it| it.since_ms);
    let is_needed = now_ms.saturating_sub(since_ms) < settings.stream_ms;
    let slots: u32 = listed.iter().map(|(_, sighting)| sighting.slots).sum();
    let own = listed.iter().filter(|(build, _)| *build == former_base);
    let own_slots: u32 = own.map(|(_, sighting)| sighting.slots).sum();
    let is_enough =
        own_slots > 0 && f64::from(own_slots) >= settings.first_slots_min * f64::from(slots);
    register.keeps_former_base && is_needed && is_enough
}

/// Returns whether an epoch must be written as it is known: the store lacks a part of it, or was written in an earlier era, so that
/// gateways which start believe it late.
fn is_unwritten(register: &Register, pool: &Pool, stored: &Stored, now_ms: u64) -> bool {
    let is_settled = now_ms.saturating_sub(pool.era_ms) >= register.settings.confirm_ms;
    let is_earlier = stored.written < stored.position.era && pool.doubt.is_none();
    pool.kept.is_some() || is_earlier && is_settled
}

/// Returns the listed builds at which streams may not begin, once they are due to join.
fn joining(
    register: &Register,
    pool: &Pool,
    epoch: &Epoch,
    listed: &[(&SmolStr, &Sighting)],
    now_ms: u64,
) -> Vec<SmolStr> {
    let settings = register.settings;
    let is_open = |build: &SmolStr, sighting: &Sighting| {
        epoch.builds.contains(build) && sighting.absent_at.is_none()
    };
    let waiting: Vec<_> = listed
        .iter()
        .filter(|(build, sighting)| !is_open(build, sighting))
        .collect();
    let total: u32 = pool.builds.values().map(|sighting| sighting.slots).sum();
    let open = listed.iter().filter(|(build, it)| is_open(build, it));
    let open_slots: u32 = open.map(|(_, sighting)| sighting.slots).sum();
    let is_short = f64::from(open_slots) < settings.slots_min * f64::from(total);
    let since_restart_ms = now_ms.saturating_sub(register.restart_ms);
    let delay_ms = match epoch.base {
        None => 0,
        Some(_) if since_restart_ms < settings.restart_ms => settings.restart_ms,
        Some(_) => settings.join_ms,
    };
    // A gateway that cannot read the epoch relies on it that no build joins sooner.
    let delay_ms = if is_short {
        delay_ms.min(settings.join_ms)
    } else {
        delay_ms
    };
    let is_due = waiting
        .iter()
        .any(|(_, sighting)| now_ms.saturating_sub(sighting.since_ms) >= delay_ms);
    let builds = waiting.iter().map(|(build, _)| (*build).clone());
    builds.filter(|_| is_due).collect()
}

/// Returns the epoch without the builds that have been absent for long, or with the only build as its base once no stream of the time
/// before can be taken up. `None` if neither changes it.
fn settle(register: &Register, pool: &Pool, epoch: &Epoch, now_ms: u64) -> Option<Epoch> {
    let settle_ms = register.settings.settle_ms();
    let is_present = |build: &&SmolStr| match pool.builds.get(*build) {
        Some(sighting) => now_ms.saturating_sub(sighting.last_ms) < settle_ms,
        None => now_ms.saturating_sub(register.restart_ms) < settle_ms,
    };
    let builds: Vec<SmolStr> = epoch.builds.iter().filter(is_present).cloned().collect();
    let stream_ms = register.settings.stream_ms;
    let is_old = |sole: &Since| now_ms.saturating_sub(sole.since_ms) >= stream_ms;
    let is_sole = pool.sole.as_ref().is_some_and(is_old);
    if builds.is_empty() || builds.len() == epoch.builds.len() && !is_sole {
        return None;
    }
    let base = match builds.as_slice() {
        [build] => Some(build.clone()),
        _ => None,
    };
    let former_base = epoch.former_base.clone();
    let former_base = former_base.filter(|build| base.is_none() && builds.contains(build));
    Some(Epoch {
        base,
        builds,
        former_base,
    })
}
