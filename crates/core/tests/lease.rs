//! Tests of the lease: it has at most one holder at a time, although processes pause and answers to writes are lost.

use proptest::prelude::*;
use sardinemux_core::lease::{Participant, Row, Settings};

/// One step of a simulated run; the index names the process.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The process reads the row.
    Reads(usize),
    /// The process writes the row that follows from the one it has read, provided that this has not changed since.
    Writes(usize),
    /// As [`Event::Writes`], but the answer to the write is lost.
    LosesAnswer(usize),
    /// Time passes for all processes, in milliseconds.
    Waits(u64),
}

/// A simulated process, which may pause between any two of its steps.
#[derive(Clone, Debug)]
struct Process {
    participant: Participant,
    /// The row as it was last read and the time of the read, until it is used for a write.
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

/// Simulates the events. Returns the greatest number of holders at one time, and whether a fencing number was lower
/// than an earlier one.
fn simulate(events: Vec<Event>, settings: Settings) -> (usize, bool) {
    let mut processes: Vec<Process> = (0..PROCESSES)
        .map(|index| Process {
            participant: Participant::new(format!("p{index}").into(), settings),
            read: None,
        })
        .collect();
    let mut table: Option<Row> = None;
    let mut now_ms = 0;
    let mut most = 0;
    let mut highest = 0;
    let mut has_decreased = false;
    for event in events {
        match event {
            Event::Waits(ms) => now_ms += ms,
            Event::Reads(index) => processes[index].read = Some((table.clone(), now_ms)),
            Event::Writes(index) | Event::LosesAnswer(index) => {
                let process = &mut processes[index];
                let Some((read, read_ms)) = process.read.take() else {
                    continue;
                };
                let Some(row) = process.participant.next_row(read.as_ref(), read_ms) else {
                    continue;
                };
                if table != read {
                    continue;
                }
                table = Some(row.clone());
                if matches!(event, Event::Writes(_)) {
                    process.participant.note_write(&row, read_ms);
                }
            }
        }
        let holding: Vec<u64> = processes
            .iter()
            .filter_map(|process| process.participant.fencing_number(now_ms))
            .collect();
        most = most.max(holding.len());
        for number in holding {
            has_decreased |= number < highest;
            highest = highest.max(number);
        }
    }
    (most, has_decreased)
}

proptest! {
    #[test]
    fn verify_lease_has_one_holder(events in events()) {
        let (most, has_decreased) = simulate(events, Settings::default());
        prop_assert!(most <= 1);
        prop_assert!(!has_decreased);
    }
}

/// Guards against a property above that holds trivially: a holder that does not measure the age of its lease overlaps
/// with the next holder.
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
    let (most, _) = simulate(events.to_vec(), Settings::default());
    assert_eq!(most, 1);
    let without_margin = Settings {
        lease_ms: 6_000,
        margin_ms: 0,
    };
    // The same events, but the clock of the first holder does not advance.
    let mut paused = Participant::new("p0".into(), without_margin);
    let row = paused.next_row(None, 0).into_iter().next();
    let mut other = Participant::new("p1".into(), without_margin);
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
