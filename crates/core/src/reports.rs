//! The schedule by which gateways send reports to each other.
//!
//! A gateway sends and receives a bounded number of reports per second, however large the fleet is: the larger it is,
//! the longer the interval between two reports from one gateway to another. In addition, a gateway that reads the store
//! reports to its availability zone in every round, as the zone gets the changes from it, and so does one that has just
//! lost the store, so that its successor takes over.

/// The time between two rounds of reports, in milliseconds: half the duration of a short streamed answer, so that the
/// reported loads are approximately current.
pub const PERIOD_MS: u64 = 250;

/// The number of peers whose turn one round is. At about 300 bytes per report, a gateway sends them about 40 KB per
/// second.
const FANOUT: usize = 32;

/// The number of turns without a report after which a gateway counts as silent. The turn of a gateway is the round in
/// which it sends its report to a given peer.
const SILENT_TURNS: u64 = 4;

/// The multiple of the silence timeout after which a gateway counts as silent for long: no report is expected from it.
const LONG_SILENCE_FACTOR: u64 = 5;

/// The number of turns for which a report is valid: several, as datagrams get lost.
const VALID_TURNS: u64 = 6;

/// Returns the number of rounds in which each peer gets one report.
pub fn rounds_per_turn(peer_count: usize) -> u64 {
    peer_count.div_ceil(FANOUT).max(1) as u64
}

/// A peer that has been silent for long gets a report only in one of this many turns.
const LONG_SILENCE_TURN_INTERVAL: u64 = 8;

/// Returns whether the peer at `index` among `peer_count` peers gets a report in a round. A peer that has been silent
/// for long (`is_long_silent`) gets fewer reports.
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
pub fn is_due(index: usize, peer_count: usize, is_long_silent: bool, round: u64) -> bool {
    let rounds = rounds_per_turn(peer_count);
    let is_turn = index as u64 % rounds == round % rounds;
    let turn = round / rounds;
    is_turn && (!is_long_silent || turn.is_multiple_of(LONG_SILENCE_TURN_INTERVAL))
}

/// Returns the time without a report after which a peer counts as silent, in milliseconds. For a peer that reports in
/// every round (`is_every_round`), the time is as short as in a small fleet.
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
pub fn silence_timeout_ms(peer_count: usize, is_every_round: bool) -> u64 {
    let rounds = match is_every_round {
        true => 1,
        false => rounds_per_turn(peer_count),
    };
    SILENT_TURNS * PERIOD_MS * rounds
}

/// Returns the time without a report after which a peer counts as silent for long and gets fewer reports itself, in
/// milliseconds.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reports;
///
/// assert_eq!(reports::long_silence_ms(8), 5_000);
/// ```
pub fn long_silence_ms(peer_count: usize) -> u64 {
    LONG_SILENCE_FACTOR * silence_timeout_ms(peer_count, false)
}

/// Returns the time for which a report of a peer is valid, in milliseconds.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reports;
///
/// assert_eq!(reports::validity_ms(8), 1_500);
/// ```
pub fn validity_ms(peer_count: usize) -> u64 {
    VALID_TURNS * PERIOD_MS * rounds_per_turn(peer_count)
}
