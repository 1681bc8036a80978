//! The room that targets have for the tokens of requests.

use super::{query, Roster};
use crate::target::Key;
use crate::tokens::Need;

/// Counts the tokens of a request of this router that was started on a target.
///
/// # Examples
///
/// ```
/// use sardinemux_core::roster::{room, Roster};
/// use sardinemux_core::target::Key;
///
/// let mut roster = Roster::default();
/// room::hold(&mut roster, Key(0), 900);
/// assert_eq!(room::held(&roster, Key(0), 0), 0.0);
/// ```
pub fn hold(roster: &mut Roster, key: Key, tokens: u64) {
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return;
    };
    condition.tokens = condition.tokens.saturating_add(tokens);
    if let Some(target) = roster.table.get(key) {
        let means = &mut roster.mean_tokens;
        means.entry(target.pool.clone()).or_default().add(tokens);
    }
}

/// Counts the tokens of a request as released.
pub fn release(roster: &mut Roster, key: Key, tokens: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        condition.tokens = condition.tokens.saturating_sub(tokens);
    }
}

/// Returns the tokens that the requests of all routers are expected to have on a target.
pub fn held(roster: &Roster, key: Key, now_ms: u64) -> f64 {
    let condition = roster.conditions.get(&key);
    let target = roster.table.get(key);
    let Some((condition, target)) = condition.zip(target) else {
        return 0.0;
    };
    let others = query::load(roster, key, now_ms).saturating_sub(condition.running);
    let mean = roster.mean_tokens.get(&target.pool).copied();
    condition.tokens as f64 + f64::from(others) * mean.unwrap_or_default().value()
}

/// Moves the ranked targets without room for a request behind the others; if none has room, the order stays. Returns the number of
/// targets that were passed over.
pub fn prefer(roster: &Roster, ranked: &mut Vec<Key>, need: Need, now_ms: u64) -> usize {
    let has_room = |key: &Key| need.fits(held(roster, *key, now_ms));
    let (with, without): (Vec<Key>, Vec<Key>) = ranked.iter().copied().partition(has_room);
    if with.is_empty() || without.is_empty() {
        return 0;
    }
    let best = with.first();
    let passed_over = ranked.iter().take_while(|key| Some(*key) != best).count();
    *ranked = with.into_iter().chain(without).collect();
    passed_over
}
