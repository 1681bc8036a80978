//! A load on all gateways of a fleet: callers that keep their connections, and requests of all kinds.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use super::caller::{Broken, Caller, Kind, Outcome, Told, KINDS};
use super::layout;
use super::operator::KEY;
use super::{Fleet, FATAL_BODY};

/// The events of a stream, as the replicas' stand-in has them where nothing else is set.
pub const EVENTS: u64 = 20;

/// The shared prompt parts.
const SUBJECTS: u64 = 8;

/// The pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;

/// The pause of a caller that reached no gateway.
const UNREACHED: Duration = Duration::from_millis(100);

/// How often a caller takes up a stream.
const RESUMPTIONS: usize = 4;

/// The pause of a caller before it takes up a stream, in milliseconds.
const RESUMPTION_PAUSE_MS: std::ops::Range<u64> = 50..900;

/// The callers of fatal requests.
const FATAL_CALLERS: usize = 3;

/// The pause of such a caller between two requests, in milliseconds.
const FATAL_PAUSE_MS: std::ops::Range<u64> = 100..900;

/// A load that runs.
#[derive(Debug)]
pub struct Load {
    ends: watch::Sender<bool>,
    callers: Vec<JoinHandle<Vec<Outcome>>>,
}

impl Load {
    /// Starts some callers at each gateway.
    pub fn start(fleet: &Arc<Fleet>, callers: usize, seed: u64) -> Self {
        let ends = watch::Sender::new(false);
        let mut tasks = Vec::new();
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            for number in 0..callers {
                let seed = seed ^ ((index * callers + number) as u64) << 32;
                let caller = Caller::new(index, gateway.callers, KEY, EVENTS)
                    .with_builds(layout::builds(&fleet.settings));
                let calls = call(fleet.clone(), caller, seed, ends.subscribe());
                tasks.push(tokio::spawn(calls));
            }
        }
        Self {
            ends,
            callers: tasks,
        }
    }

    /// Starts callers that send the same fatal request at any gateway, again and again.
    pub fn start_fatal(fleet: &Arc<Fleet>, seed: u64) -> Self {
        let ends = watch::Sender::new(false);
        let mut random = StdRng::seed_from_u64(seed);
        let kind = match random.random() {
            true => Kind::Read,
            false => Kind::Write,
        };
        let callers = (0..FATAL_CALLERS).map(|_| {
            let random = StdRng::from_rng(&mut random);
            tokio::spawn(call_fatal(fleet.clone(), kind, random, ends.subscribe()))
        });
        Self {
            callers: callers.collect(),
            ends,
        }
    }

    /// Lets every caller end its last request, and returns what became of all.
    pub async fn end(self) -> Vec<Outcome> {
        self.ends.send_replace(true);
        let mut outcomes = Vec::new();
        for caller in self.callers {
            // A caller that panicked shows in the test's output.
            outcomes.extend(caller.await.unwrap_or_default());
        }
        outcomes
    }
}

async fn call_fatal(
    fleet: Arc<Fleet>,
    kind: Kind,
    mut random: StdRng,
    ends: watch::Receiver<bool>,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !*ends.borrow() {
        let pause_ms = random.random_range(FATAL_PAUSE_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
        let index = random.random_range(0..fleet.gateways.len());
        let address = fleet.gateways[index].callers;
        let caller = Caller::new(index, address, KEY, EVENTS);
        outcomes.push(caller.with_body(FATAL_BODY).call(kind, 0).await);
    }
    outcomes
}

/// Takes up a stream that broke off, at any gateway, until it is whole, cannot go on or has been tried often enough.
async fn take_up(
    fleet: &Fleet,
    first: &Outcome,
    subject: u64,
    random: &mut StdRng,
) -> Vec<Outcome> {
    let mut outcomes: Vec<Outcome> = Vec::new();
    let mut told = first.told;
    for _ in 0..RESUMPTIONS {
        let Told::Cut { events, build } = told else {
            break;
        };
        if events == 0 || events == EVENTS {
            break;
        }
        time::sleep(Duration::from_millis(
            random.random_range(RESUMPTION_PAUSE_MS),
        ))
        .await;
        let broken = Broken {
            id: first.id.clone(),
            events,
            build,
        };
        let index = random.random_range(0..fleet.gateways.len());
        let mut caller = Caller::new(index, fleet.gateways[index].callers, KEY, EVENTS)
            .with_builds(layout::builds(&fleet.settings));
        let outcome = caller.take_up(&broken, subject).await;
        if matches!(outcome.told, Told::Cut { .. } | Told::Whole | Told::Wrong) {
            told = outcome.told;
        }
        outcomes.push(outcome);
    }
    outcomes
}

async fn call(
    fleet: Arc<Fleet>,
    mut caller: Caller,
    seed: u64,
    ends: watch::Receiver<bool>,
) -> Vec<Outcome> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    while !*ends.borrow() {
        let Some(kind) = KINDS.choose(&mut random) else {
            break;
        };
        let subject = random.random_range(0..SUBJECTS);
        let outcome = caller.call(*kind, subject).await;
        let is_unreached = outcome.told == Told::Unreached;
        let taken_up = match kind {
            Kind::StreamAgain => take_up(&fleet, &outcome, subject, &mut random).await,
            _ => Vec::new(),
        };
        outcomes.push(outcome);
        outcomes.extend(taken_up);
        let pause = match is_unreached {
            true => UNREACHED,
            false => Duration::from_millis(random.random_range(PAUSE_MS)),
        };
        time::sleep(pause).await;
    }
    outcomes
}
