//! Which notices a gateway sends to others, and when.
//!
//! A gateway sends what it has observed to a few others at once, and in the following rounds of reports to all. Whoever
//! learns something new sends it on to a few others. All that is known is repeated at intervals, for gateways that were
//! suspended or cut off. Evidence against a content goes only to the few gateways that collect it, until it is held. Source: Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987.

use indexmap::IndexMap;

use super::{query, Notice, Register, CONTENT_DEPTH};

/// The number of other gateways to which news are sent at once.
pub const FANOUT: usize = 8;

/// The number of turns of reports in which news are sent to all, as datagrams get lost.
const NEWS_TURNS: u64 = 2;

/// All that is known is repeated in one of this many turns of reports.
const REPEAT_TURNS: u64 = 8;

/// The largest number of notices in one message. One takes at most 220 bytes.
pub const NOTICES_MAX: usize = 6;

/// The parts of which notices are to be sent.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// The number of further rounds in which each part is sent.
    rounds_left: IndexMap<u64, u64>,
}

impl Outbox {
    /// Adds parts of which this gateway has observed something. A turn in which every other gateway gets a report takes
    /// `rounds_per_turn` rounds.
    pub fn push(&mut self, news: &[u64], rounds_per_turn: u64) {
        for part in news {
            self.rounds_left.insert(*part, NEWS_TURNS * rounds_per_turn);
        }
    }

    /// Returns the messages of a round, and counts the round.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::quarantine::exchange::Outbox;
    /// use sardinemux_core::quarantine::{command, Register, Settings, Subject, Suspicion};
    ///
    /// let mut register = Register::new(Settings::default());
    /// let subject = Subject::of_parts(&[1, 2]);
    /// let changes = command::accuse(&mut register, 70, &subject, Suspicion::Begun, 0);
    /// let mut outbox = Outbox::default();
    /// outbox.push(&changes.news, 1);
    /// assert_eq!(outbox.next_round(&register, 1, 1, 250).len(), 1);
    /// ```
    pub fn next_round(
        &mut self,
        register: &Register,
        round: u64,
        rounds_per_turn: u64,
        now_ms: u64,
    ) -> Vec<Vec<Notice>> {
        let turn = round / rounds_per_turn.max(1);
        let parts = match turn.is_multiple_of(REPEAT_TURNS) {
            true => query::parts(register),
            false => self.rounds_left.keys().copied().collect(),
        };
        self.rounds_left.retain(|_, left| {
            *left = left.saturating_sub(1);
            *left > 0
        });
        messages(register, &parts, now_ms)
    }
}

/// Returns what is known of these parts, in messages of at most [`NOTICES_MAX`] notices.
pub fn messages(register: &Register, parts: &[u64], now_ms: u64) -> Vec<Vec<Notice>> {
    let notices = parts
        .iter()
        .filter_map(|part| query::notice(register, *part, now_ms));
    let notices: Vec<Notice> = notices.collect();
    notices.chunks(NOTICES_MAX).map(<[_]>::to_vec).collect()
}

/// Returns what is known of a content for the gateways that collect the evidence against it.
pub fn content_message(register: &Register, content: u64, now_ms: u64) -> Option<Notice> {
    let notice = query::notice(register, content, now_ms)?;
    Some(Notice {
        depth: CONTENT_DEPTH,
        ..notice
    })
}
