//! How often gateways report to each other.
//!
//! Load it answers: a fleet that grows. A gateway sends and gets a bounded number of reports a second, however many
//! others there are; in a large fleet, each pair hears of each other less often. Whoever reads the store reports to its
//! zone in every round, as the zone follows it, and so does one that has just lost the store, for its successor's sake.

/// The time between two rounds, in milliseconds: half of what a short streamed answer takes, so that the loads of other
/// gateways are about right.
pub const PERIOD_MS: u64 = 250;

/// The others to whom one round goes. With some 300 bytes each, a gateway sends some 40 KB a second.
const FANOUT: usize = 32;

/// A gateway that let this many of its turns pass without a report is taken to be silent.
const SILENT_TURNS: u64 = 4;

/// Of one that has been silent for this many times as long, nothing is expected any more.
const LONG_SILENCE_FACTOR: u64 = 5;

/// What a report says counts for this many turns, as datagrams get lost.
const VALID_TURNS: u64 = 6;

/// Returns the rounds in which each of some others gets one report.
fn rounds_per_turn(others: usize) -> u64 {
    others.div_ceil(FANOUT).max(1) as u64
}

/// Of the turns of one that has been silent for long, one in this many is used.
const LONG_SILENCE_TURNS: u64 = 8;

/// Returns whether the one at an index among some others gets a report in a round; one that has been silent for long,
/// `is_quiet`, gets fewer.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reports;
///
/// assert!((0..32).all(|index| reports::is_due(index, 32, false, 7)));
/// let due = (0..320).filter(|index| reports::is_due(*index, 320, false, 7));
/// assert_eq!(due.count(), 32);
/// ```
pub fn is_due(index: usize, others: usize, is_quiet: bool, round: u64) -> bool {
    let rounds = rounds_per_turn(others);
    let is_turn = index as u64 % rounds == round % rounds;
    let turn = round / rounds;
    is_turn && (!is_quiet || turn.is_multiple_of(LONG_SILENCE_TURNS))
}

/// Returns after how long without a report one of some others is taken to be silent, in milliseconds. One that reports
/// in every round, `is_constant`, is found silent as soon as in a small fleet.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reports;
///
/// assert_eq!(reports::silence_timeout_ms(8, false), 1_000);
/// assert_eq!(reports::silence_timeout_ms(320, false), 10_000);
/// assert_eq!(reports::silence_timeout_ms(320, true), 1_000);
/// ```
pub fn silence_timeout_ms(others: usize, is_constant: bool) -> u64 {
    let rounds = match is_constant {
        true => 1,
        false => rounds_per_turn(others),
    };
    SILENT_TURNS * PERIOD_MS * rounds
}

/// Returns after how long without a report one of some others gets fewer reports itself, in milliseconds.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reports;
///
/// assert_eq!(reports::long_silence_ms(8), 5_000);
/// ```
pub fn long_silence_ms(others: usize) -> u64 {
    LONG_SILENCE_FACTOR * silence_timeout_ms(others, false)
}

/// Returns how long a report of one of some others counts, in milliseconds.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reports;
///
/// assert_eq!(reports::validity_ms(8), 1_500);
/// ```
pub fn validity_ms(others: usize) -> u64 {
    VALID_TURNS * PERIOD_MS * rounds_per_turn(others)
}
