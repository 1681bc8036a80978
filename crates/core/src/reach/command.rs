//! Commands that change what a gateway knows of paths.

use smol_str::SmolStr;

use super::{Failure, Finding, Notice, Paths, Reach, State};
use crate::target::Key;

/// Records that a connection to a target was made. That does not show yet that anything comes back over it.
pub fn note_connected(reach: &mut Reach, pool: &str) {
    if let Some(paths) = reach.pools.get_mut(pool) {
        let is_kept = |(failure, _): &(Failure, u64)| *failure != Failure::Connection;
        paths.failed.retain(|_, failed| is_kept(failed));
    }
}

/// Records that a target answered over a connection that was made before.
pub fn note_head(reach: &mut Reach, pool: &str, now_ms: u64) {
    paths(reach, pool).answered_ms = now_ms;
}

/// Returns the paths to a pool, whose name is copied only the first time.
fn paths<'a>(reach: &'a mut Reach, pool: &str) -> &'a mut Paths {
    if !reach.pools.contains_key(pool) {
        reach.pools.insert(pool.into(), Paths::default());
    }
    &mut reach.pools[pool]
}

/// Records that a target answered over a new connection. Returns whether that shows that lost paths are back.
pub fn note_answered(reach: &mut Reach, pool: &str, now_ms: u64) -> bool {
    let paths = paths(reach, pool);
    paths.answered_ms = now_ms;
    paths.failed.clear();
    std::mem::take(&mut paths.state) == State::Lost
}

/// Records that a target could not be reached; `targets` is the number of those in the pool that may get requests. Returns
/// what that shows.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reach::{command, query, Failure, Finding, Reach, Settings};
/// use sardinemux_core::target::Key;
///
/// let mut reach = Reach::new(Settings::default());
/// let pool = "pool".into();
/// let failure = Failure::Connection;
/// assert_eq!(command::note_failed(&mut reach, &pool, Key(0), failure, 2, 0), Finding::None);
/// assert_eq!(command::note_failed(&mut reach, &pool, Key(1), failure, 2, 0), Finding::Lost);
/// assert!(query::is_lost(&reach, "pool"));
/// assert!(command::note_answered(&mut reach, "pool", 0));
/// ```
pub fn note_failed(
    reach: &mut Reach,
    pool: &SmolStr,
    target: Key,
    failure: Failure,
    targets: usize,
    now_ms: u64,
) -> Finding {
    let settings = reach.settings;
    let has_lost_other = reach
        .pools
        .iter()
        .any(|(name, paths)| name != pool && paths.state == State::Lost);
    let paths = reach.pools.entry(pool.clone()).or_default();
    paths.failed.insert(target, (failure, now_ms));
    let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < settings.failure_ttl_ms;
    paths.failed.retain(|_, (_, at_ms)| is_recent(*at_ms));
    // Where the paths to another pool are lost, fewer failures are evidence enough.
    let least = settings.failures_min + targets / settings.targets_per_failure.max(1);
    let needed = least
        .saturating_sub(usize::from(has_lost_other))
        .min(targets)
        .max(1);
    let failed = paths.failed.values();
    let unconnected = failed.filter(|(failure, _)| *failure == Failure::Connection);
    if unconnected.count() >= needed && paths.state != State::Lost {
        paths.state = State::Lost;
        return Finding::Lost;
    }
    let is_quiet = now_ms.saturating_sub(paths.answered_ms) >= settings.quiet_ms;
    let is_suspect = paths.failed.len() >= needed || (failure == Failure::Exchange && is_quiet);
    if is_suspect && paths.state == State::Open {
        paths.state = State::Suspected;
        return Finding::Suspected;
    }
    Finding::None
}

/// Records that no target of a suspected pool has answered a status request. Returns whether its paths are lost from now on.
pub fn confirm_loss(reach: &mut Reach, pool: &str) -> bool {
    let paths = reach.pools.get_mut(pool);
    let suspected = paths.filter(|paths| paths.state == State::Suspected);
    match suspected {
        Some(paths) => {
            paths.state = State::Lost;
            true
        }
        None => false,
    }
}

/// Records the pools to which another gateway has lost its paths.
pub fn note_notice(reach: &mut Reach, gateway: SmolStr, lost: Vec<SmolStr>, now_ms: u64) {
    let notice = Notice {
        lost: lost.into_iter().collect(),
        at_ms: now_ms,
    };
    reach.notices.insert(gateway, notice);
}

/// Sets how long notices of other gateways count, in milliseconds.
pub fn set_notice_ttl_ms(reach: &mut Reach, ttl_ms: u64) {
    reach.settings.notice_ttl_ms = ttl_ms;
}

/// Removes the notices that no longer count, and the paths to pools that `is_known` does not confirm.
pub fn remove_expired(reach: &mut Reach, is_known: impl Fn(&str) -> bool, now_ms: u64) {
    let ttl_ms = reach.settings.notice_ttl_ms;
    reach
        .notices
        .retain(|_, notice| now_ms.saturating_sub(notice.at_ms) < ttl_ms);
    reach.pools.retain(|name, _| is_known(name));
}
