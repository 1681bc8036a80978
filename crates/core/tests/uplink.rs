//! Simulation of a large change that passes from gateway to gateway in a fleet whose links are all narrow.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use rand::rngs::StdRng;
use rand::SeedableRng;
use rstest::rstest;
use sardinemux_core::position::Position;
use sardinemux_core::readers::{self, Peer, Progress, ReaderState};
use sardinemux_core::reports;
use sardinemux_core::uplink::{self, Pacer, PART_BYTES};

const LINK_MBPS: u32 = 10;

/// A change of 3,000 routes, compressed, in bytes.
const CHANGE_BYTES: usize = 40_000;

/// The users' bound on the time until a change is in force, in milliseconds.
const PROPAGATION_MAX_MS: u64 = 2_000;

/// The users' bound on the time after which work for a caller that has left is wrong, in milliseconds.
const HELD_UP_MAX_MS: f64 = 500.0;

/// How long a query waits for the transfers before it, and the pause after that, in milliseconds.
const TRANSFER_TIMEOUT_MS: u64 = 200;
const PAUSE_MS: u64 = 50;

#[derive(Clone, Debug)]
struct Instance {
    name: String,
    zone: &'static str,
    /// When it has the change, in milliseconds.
    has_at_ms: Option<u64>,
    /// The others that it knows to have the change.
    known: Vec<usize>,
    /// When it asks next, in milliseconds.
    asks_at_ms: u64,
    /// When its last transfer ends, in milliseconds.
    free_at_ms: u64,
    pacer: Pacer,
    /// When its link has sent everything, in milliseconds.
    link_free_ms: f64,
    held_up_ms: f64,
}

fn fleet(gateways: usize) -> Vec<Instance> {
    let zones = ["z1", "z2", "z3"];
    let instance = |index: usize| Instance {
        name: format!("g{index}"),
        zone: zones[index % 3],
        // One gateway of each zone reads the store.
        has_at_ms: (index < 3).then_some(0),
        known: vec![index % 3],
        asks_at_ms: 0,
        free_at_ms: 0,
        pacer: Pacer::new(LINK_MBPS),
        link_free_ms: 0.0,
        held_up_ms: 0.0,
    };
    (0..gateways).map(instance).collect()
}

/// Sends the change from one gateway to another, and returns when it has arrived.
fn send(sender: &mut Instance, now_ms: u64) -> u64 {
    let mut left = CHANGE_BYTES;
    while left > 0 {
        let part = left.min(PART_BYTES);
        left -= part;
        let at_ms = sender.pacer.schedule(part, now_ms) as f64;
        let begin_ms = sender.link_free_ms.max(at_ms);
        sender.link_free_ms = begin_ms + part as f64 * 8.0 / (f64::from(LINK_MBPS) * 1_000.0);
        sender.held_up_ms = sender.held_up_ms.max(sender.link_free_ms - at_ms);
    }
    sender.link_free_ms.ceil() as u64
}

/// Lets each gateway that has the change report it to those whose turn it is, and to its zone once it has just received it.
fn report(fleet: &mut [Instance], now_ms: u64) {
    let round = now_ms / reports::PERIOD_MS;
    let others = fleet.len() - 1;
    for sender in 0..fleet.len() {
        let Some(has_at_ms) = fleet[sender].has_at_ms.filter(|at_ms| *at_ms <= now_ms) else {
            continue;
        };
        let is_round = now_ms.is_multiple_of(reports::PERIOD_MS);
        for index in 0..others {
            let receiver = if index < sender { index } else { index + 1 };
            let is_turn = is_round && reports::is_due(index, others, false, round);
            let is_near = has_at_ms == now_ms && fleet[sender].zone == fleet[receiver].zone;
            if (is_turn || is_near) && !fleet[receiver].known.contains(&sender) {
                fleet[receiver].known.push(sender);
            }
        }
    }
}

/// Lets a gateway without the change ask one that it knows to have it.
fn ask(fleet: &mut [Instance], me: usize, now_ms: u64, random: &mut StdRng) {
    let peer = |index: &usize| Peer {
        name: &fleet[*index].name,
        zone: fleet[*index].zone,
        link_mbps: LINK_MBPS,
        state: ReaderState::Idle,
        newest: Position::from(1),
    };
    let known = fleet[me].known.iter().map(peer);
    let chosen = readers::find_newer_peer(Progress::default(), fleet[me].zone, known, random);
    let chosen = chosen.unwrap().name.to_owned();
    let sender = fleet.iter().position(|it| it.name == chosen).unwrap();
    let sender = &mut fleet[sender];
    let begin_ms = sender.free_at_ms.max(now_ms);
    if begin_ms <= now_ms + TRANSFER_TIMEOUT_MS {
        sender.free_at_ms = send(sender, begin_ms);
        let end_ms = sender.free_at_ms;
        fleet[me].has_at_ms = Some(end_ms);
        return;
    }
    fleet[me].asks_at_ms = now_ms + TRANSFER_TIMEOUT_MS + PAUSE_MS;
}

/// A change of many routes takes seconds from a reader behind a narrow link to its zone, and holds up all requests there meanwhile.
#[rstest]
#[case::grown(87)]
#[case::large(195)]
fn verify_large_change_passes_a_fleet_of_narrow_links(
    #[case] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    assert_eq!(uplink::transfers_max(LINK_MBPS), 1);
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = fleet(gateways);
    let mut now_ms = 0;
    while fleet
        .iter()
        .any(|it| it.has_at_ms.is_none_or(|at_ms| at_ms > now_ms))
    {
        report(&mut fleet, now_ms);
        for me in 0..gateways {
            if fleet[me].has_at_ms.is_none() && fleet[me].asks_at_ms <= now_ms {
                ask(&mut fleet, me, now_ms, &mut random);
            }
        }
        now_ms += 1;
        assert!(now_ms < 60_000, "the change does not reach all gateways");
    }
    let held_up_ms = fleet.iter().map(|it| it.held_up_ms).fold(0.0, f64::max);
    println!("{gateways} gateways, seed {seed}: {now_ms} ms, held up for {held_up_ms:.0} ms");
    assert!(now_ms <= PROPAGATION_MAX_MS, "{now_ms} ms");
    assert!(held_up_ms <= HELD_UP_MAX_MS, "{held_up_ms} ms");
}
