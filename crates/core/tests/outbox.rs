//! Tests of the records of streams on their way to the store.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rstest::rstest;
use sardinemux_core::origin::outbox::{Outbox, Sender, Settings, Writer};
use sardinemux_core::origin::Origin;

/// When all running streams need a record, in milliseconds.
const BURST_MS: u64 = 2_000;

/// The number of those streams.
const STREAMS: u64 = 100;

/// How long callers wait at a gateway that has fallen silent before they take up their streams, in milliseconds.
const PATIENCE_MS: u64 = 4_800;

const STEP_MS: u64 = 10;
const WRITE_MS: u64 = 30;
const WRITE_INTERVAL_MS: u64 = 80;
const WRITE_MAX: usize = 75;
/// How long others take a lost gateway for live, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// The gateways in their order as writers. The streams began at the last one.
const GATEWAYS: usize = 4;
const OWNER: usize = GATEWAYS - 1;
const END: u64 = u64::MAX;

/// What happens to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// It does nothing.
    Down,
    /// It gets no datagrams.
    Deaf,
    /// Its datagrams get lost.
    Mute,
    /// The store rejects its calls.
    Rejected,
    /// Its calls are not answered.
    Unanswered,
}

/// The troubles of a run: the gateway, what happens, and when, in milliseconds.
type Troubles = &'static [(usize, Trouble, u64, u64)];

enum Message {
    Records(Vec<Origin>),
    Held(Vec<u64>),
    Written(Vec<u64>),
}

/// The outboxes of some gateways, and a store.
#[derive(Default)]
struct World {
    outboxes: Vec<Outbox>,
    written_ms: Vec<u64>,
    /// When a message arrives, at which gateway and from which.
    messages: Vec<(u64, usize, usize, Message)>,
    /// When a write is answered, and of which gateway.
    writes: Vec<(u64, usize, Vec<u64>)>,
    /// When each record was first in the store, in milliseconds.
    stored: IndexMap<u64, u64>,
    records_written: usize,
    troubles: Troubles,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

fn origin(stream: u64) -> Origin {
    Origin {
        stream,
        pool: "p".into(),
        build: "v1".into(),
    }
}

impl World {
    fn new(troubles: Troubles) -> Self {
        Self {
            outboxes: vec![Outbox::new(Settings::default()); GATEWAYS],
            written_ms: vec![0; GATEWAYS],
            troubles,
            ..Self::default()
        }
    }

    fn has(&self, index: usize, trouble: Trouble, now_ms: u64) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|(gateway, kind, from_ms, to_ms)| {
            *gateway == index && *kind == trouble && (*from_ms..*to_ms).contains(&now_ms)
        })
    }

    /// Returns whether others hear the reports of a gateway.
    fn is_heard(&self, index: usize, now_ms: u64) -> bool {
        let is_quiet = |at_ms: u64| {
            self.has(index, Trouble::Down, at_ms) || self.has(index, Trouble::Mute, at_ms)
        };
        let since_ms = now_ms.saturating_sub(SILENCE_MS);
        (since_ms..=now_ms)
            .step_by(STEP_MS as usize)
            .any(|at_ms| !is_quiet(at_ms))
    }

    fn writers(&self, index: usize, now_ms: u64) -> Vec<Writer> {
        let before = (0..index).filter(|it| self.is_heard(*it, now_ms));
        let writer = |it: usize| Writer {
            name: it.to_string().into(),
            confirms: true,
        };
        before.map(writer).collect()
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        if !self.has(from, Trouble::Mute, now_ms) {
            self.messages.push((now_ms + STEP_MS, to, from, message));
        }
    }

    fn receive(&mut self, to: usize, from: usize, message: Message, now_ms: u64) {
        if self.has(to, Trouble::Down, now_ms) || self.has(to, Trouble::Deaf, now_ms) {
            return;
        }
        match message {
            Message::Records(records) => {
                let streams = records.iter().map(|it| it.stream).collect();
                let sender = Sender::Confirmed(address(from));
                assert_eq!(self.outboxes[to].add(records, sender, 60_000, now_ms), 0);
                self.send(to, from, Message::Held(streams), now_ms);
            }
            Message::Held(streams) => self.outboxes[to].note_held(&streams, now_ms),
            Message::Written(streams) => drop(self.outboxes[to].confirm(&streams)),
        }
    }

    fn act(&mut self, index: usize, now_ms: u64) {
        let writers = self.writers(index, now_ms);
        let may_write = now_ms >= self.written_ms[index] + WRITE_INTERVAL_MS;
        let writes_max = if may_write { WRITE_MAX } else { 0 };
        let due = self.outboxes[index].take_due(&writers, writes_max, now_ms);
        for (name, records) in due.sent {
            let to = name.parse().unwrap_or_default();
            self.send(index, to, Message::Records(records), now_ms);
        }
        if due.written.is_empty() {
            return;
        }
        self.written_ms[index] = now_ms;
        let streams = due.written.iter().map(|it| it.stream).collect();
        self.writes.push((now_ms + WRITE_MS, index, streams));
    }

    fn answer(&mut self, index: usize, streams: &[u64], now_ms: u64) {
        if self.has(index, Trouble::Down, now_ms) || self.has(index, Trouble::Unanswered, now_ms) {
            return;
        }
        if self.has(index, Trouble::Rejected, now_ms) {
            self.outboxes[index].postpone(streams, now_ms);
            return;
        }
        self.records_written += streams.len();
        for stream in streams {
            self.stored.entry(*stream).or_insert(now_ms);
        }
        for (sender, streams) in self.outboxes[index].confirm(streams) {
            self.send(index, index_of(sender), Message::Written(streams), now_ms);
        }
    }

    fn run(&mut self, until_ms: u64) {
        for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
            if now_ms == BURST_MS {
                let burst = (0..STREAMS).map(origin);
                self.outboxes[OWNER].add(burst, Sender::Own, 30_000, now_ms);
            }
            let (due, rest) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|it| it.0 <= now_ms);
            self.messages = rest;
            let due: Vec<_> = due;
            for (_, to, from, message) in due {
                self.receive(to, from, message, now_ms);
            }
            let (due, rest) = std::mem::take(&mut self.writes)
                .into_iter()
                .partition(|it| it.0 <= now_ms);
            self.writes = rest;
            let due: Vec<_> = due;
            for (_, index, streams) in due {
                self.answer(index, &streams, now_ms);
            }
            for index in 0..GATEWAYS {
                if !self.has(index, Trouble::Down, now_ms) {
                    self.act(index, now_ms);
                }
            }
        }
    }
}

/// A record that is sent once is gone with the gateway that was to write it.
#[rstest]
#[case::calm(&[])]
#[case::killed_before(&[(0, Trouble::Down, BURST_MS - 150, END)])]
#[case::killed_in(&[(0, Trouble::Down, BURST_MS + 20, END)])]
#[case::killed_after(&[(0, Trouble::Down, BURST_MS + 60, END)])]
#[case::killed_twice(&[(0, Trouble::Down, BURST_MS - 150, END), (1, Trouble::Down, BURST_MS + 320, END)])]
#[case::killed_together(&[(0, Trouble::Down, BURST_MS - 150, END), (1, Trouble::Down, BURST_MS - 150, END)])]
#[case::all_others_killed(&[(0, Trouble::Down, BURST_MS, END), (1, Trouble::Down, BURST_MS, END), (2, Trouble::Down, BURST_MS, END)])]
#[case::silent(&[(0, Trouble::Down, BURST_MS - 150, BURST_MS + 3_000)])]
#[case::deaf(&[(0, Trouble::Deaf, 0, END)])]
#[case::mute(&[(0, Trouble::Mute, BURST_MS - 50, END)])]
#[case::deaf_and_mute(&[(0, Trouble::Deaf, 0, END), (1, Trouble::Mute, BURST_MS - 50, END)])]
#[case::owner_deaf(&[(OWNER, Trouble::Deaf, 0, END)])]
#[case::owner_mute(&[(OWNER, Trouble::Mute, 0, END)])]
#[case::store_rejects_writer(&[(0, Trouble::Rejected, 0, END)])]
#[case::store_rejects_two(&[(0, Trouble::Rejected, 0, END), (1, Trouble::Rejected, 0, END)])]
#[case::store_ignores_writer(&[(0, Trouble::Unanswered, 0, END)])]
#[case::store_away(&[
    (0, Trouble::Rejected, 0, BURST_MS + 1_500), (1, Trouble::Rejected, 0, BURST_MS + 1_500),
    (2, Trouble::Rejected, 0, BURST_MS + 1_500), (OWNER, Trouble::Rejected, 0, BURST_MS + 1_500),
])]
fn verify_records_outlive_their_writers(#[case] troubles: Troubles) {
    let mut world = World::new(troubles);
    world.run(BURST_MS + 2 * PATIENCE_MS);
    let late = world
        .stored
        .values()
        .filter(|at_ms| **at_ms > BURST_MS + PATIENCE_MS);
    assert_eq!(late.count(), 0, "{:?}", world.stored.values().max());
    assert_eq!(world.stored.len() as u64, STREAMS);
    assert!(world.outboxes[OWNER].is_empty());
    // Each of the two writers and the gateway itself write a record once, and again only if the store has not answered.
    assert!(world.records_written as u64 <= 3 * STREAMS);
    if troubles.is_empty() {
        assert_eq!(world.records_written as u64, STREAMS);
    }
}

/// The owner was lost as well: its writer holds the records.
#[test]
fn verify_writer_writes_the_records_of_a_lost_gateway() {
    let mut world = World::new(&[(OWNER, Trouble::Down, BURST_MS + 20, END)]);
    world.run(BURST_MS + PATIENCE_MS);
    assert_eq!(world.stored.len() as u64, STREAMS);
}

/// Records without an end would take the memory of a gateway while the store is away.
#[test]
fn verify_records_are_bounded_and_a_loss_is_told() {
    let settings = Settings {
        records_max: 10,
        ..Settings::default()
    };
    let mut outbox = Outbox::new(settings);
    assert_eq!(outbox.add((0..10).map(origin), Sender::Own, 30_000, 0), 0);
    assert_eq!(outbox.add((5..13).map(origin), Sender::Own, 30_000, 100), 3);
    assert_eq!(outbox.len(), 10);
    let due = outbox.take_due(&[], 75, 100);
    assert_eq!(due.written.first().map(|it| it.stream), Some(3));
    let due = outbox.take_due(&[], 75, 30_050);
    assert_eq!(due.expired, 7);
    assert_eq!(outbox.len(), 3);
}

/// A writer of the former build confirms nothing, so that its records would be sent without an end.
#[rstest]
#[case::lives(true, 0)]
#[case::lost(false, 1)]
fn verify_writer_without_confirmations_gets_a_record_once(
    #[case] is_live: bool,
    #[case] written: usize,
) {
    let mut outbox = Outbox::new(Settings::default());
    let writers = [Writer {
        name: "g1".into(),
        confirms: false,
    }];
    outbox.add([origin(1)], Sender::Own, 30_000, 0);
    assert_eq!(outbox.take_due(&writers, 75, 0).sent.len(), 1);
    let mut found = 0;
    for now_ms in (100..5_000).step_by(100) {
        let writers = if is_live || now_ms < SILENCE_MS {
            &writers[..]
        } else {
            &[]
        };
        let due = outbox.take_due(writers, 75, now_ms);
        assert!(due.sent.is_empty());
        found += due.written.len();
        let streams: Vec<u64> = due.written.iter().map(|it| it.stream).collect();
        outbox.confirm(&streams);
    }
    assert_eq!(found, written);
    assert!(outbox.is_empty());
}
