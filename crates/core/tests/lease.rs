//! Tests of the lease: whatever pauses its holders and loses their writes, there is one at a time.

use proptest::prelude::*;
use sardinemux_core::lease::{Participant, Row, Settings};

/// What a process does next.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Reads the row.
    Reads(usize),
    /// Writes what follows from the row that it has read, on the condition that it has not changed.
    Writes(usize),
    /// Its write takes effect, and the answer is lost.
    LosesAnswer(usize),
    /// Time passes for all.
    Waits(u64),
}

/// A process may stand still between any two of its steps.
#[derive(Clone, Debug)]
struct Process {
    keeper: Participant,
    read: Option<(Option<Row>, u64)>,
}

const PROCESSES: usize = 3;

fn events() -> impl Strategy<Value = Vec<Event>> {
    let process = 0..PROCESSES;
    let event = prop_oneof![
        4 => process.clone().prop_map(Event::Reads),
        4 => process.clone().prop_map(Event::Writes),
        1 => process.prop_map(Event::LosesAnswer),
        4 => (0u64..4_000).prop_map(Event::Waits),
    ];
    proptest::collection::vec(event, 1..300)
}

/// Plays events out and returns the most holders at one time, and whether numbers ever fell.
fn play(events: Vec<Event>, settings: Settings) -> (usize, bool) {
    let mut processes: Vec<Process> = (0..PROCESSES)
        .map(|index| Process {
            keeper: Participant::new(format!("p{index}").into(), settings),
            read: None,
        })
        .collect();
    let mut table: Option<Row> = None;
    let mut now_ms = 0;
    let mut most = 0;
    let mut highest = 0;
    let mut has_fallen = false;
    for event in events {
        match event {
            Event::Waits(ms) => now_ms += ms,
            Event::Reads(index) => processes[index].read = Some((table.clone(), now_ms)),
            Event::Writes(index) | Event::LosesAnswer(index) => {
                let process = &mut processes[index];
                let Some((read, read_ms)) = process.read.take() else {
                    continue;
                };
                let Some(row) = process.keeper.next_row(read.as_ref(), read_ms) else {
                    continue;
                };
                if table != read {
                    continue;
                }
                table = Some(row.clone());
                if matches!(event, Event::Writes(_)) {
                    process.keeper.note_write(&row, read_ms);
                }
            }
        }
        let holding: Vec<u64> = processes
            .iter()
            .filter_map(|process| process.keeper.fencing_number(now_ms))
            .collect();
        most = most.max(holding.len());
        for number in holding {
            has_fallen |= number < highest;
            highest = highest.max(number);
        }
    }
    (most, has_fallen)
}

proptest! {
    #[test]
    fn verify_lease_has_one_holder(events in events()) {
        let (most, has_fallen) = play(events, Settings::default());
        prop_assert!(most <= 1);
        prop_assert!(!has_fallen);
    }
}

/// The property above is not empty: a holder that never counts its own time overlaps with the next.
#[test]
fn verify_holder_that_ignores_time_overlaps() {
    let events = [
        Event::Reads(0),
        Event::Writes(0),
        Event::Reads(1),
        Event::Writes(1),
        Event::Waits(7_000),
        Event::Reads(1),
        Event::Writes(1),
    ];
    let (most, _) = play(events.to_vec(), Settings::default());
    assert_eq!(most, 1);
    let endless = Settings {
        lease_ms: 6_000,
        margin_ms: 0,
    };
    // The same events, told to a keeper whose own time stands still.
    let mut paused = Participant::new("p0".into(), endless);
    let row = paused.next_row(None, 0).into_iter().next();
    let mut other = Participant::new("p1".into(), endless);
    if let Some(row) = row {
        paused.note_write(&row, 0);
        assert_eq!(other.next_row(Some(&row), 0), None);
        let next = other.next_row(Some(&row), 7_000);
        assert_eq!(next.as_ref().map(|next| next.number), Some(row.number + 1));
        if let Some(next) = next {
            other.note_write(&next, 7_000);
        }
    }
    assert!(paused.is_holder(0) && other.is_holder(7_000));
}
