//! Tests of permits: a simulation of the load that they are for, its faults, and properties of the dispatcher.

#[path = "support/scarce.rs"]
mod scarce;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::collection::Number;
use sardinemux_core::permits::{
    command, Decision, Destination, Dispatcher, End, Notice, Request, Ticket,
};

use scarce::{Load, Mode, Simulation};

/// The load with targets that slow down to `slowdown` times their usual work in the middle of the run.
fn load(gateways: usize, work_ms: f64, slowdown: f64) -> Load {
    let is_fast = work_ms < 50.0;
    Load {
        gateways,
        work_ms,
        objective_ms: if is_fast { 150 } else { 300 },
        timeout_ms: if is_fast { 1_200 } else { 800 },
        per_s: if is_fast { 209.0 } else { 95.0 },
        slots: 6,
        queue: 24,
        slowdown,
        run_ms: 26_000,
    }
}

/// Gateways that decide alone send more than targets hold, and requests wait behind others while a target is idle.
#[rstest]
fn verify_permits_serve_more_than_deciding_alone(
    #[values(23, 91, 195, 391)] gateways: usize,
    #[values(30.0, 60.0)] work_ms: f64,
    #[values(1.0, 3.0)] slowdown: f64,
) {
    let alone = Simulation::run(load(gateways, work_ms, slowdown), Mode::Alone, 7);
    let permits = Simulation::run(load(gateways, work_ms, slowdown), Mode::Permits, 7);
    println!("alone {alone:?} worst {}", alone.worst_organisation());
    println!("permits {permits:?} worst {}", permits.worst_organisation());
    assert!(permits.in_time >= alone.in_time);
    assert!(permits.rejected <= alone.rejected / 10);
    assert_eq!((permits.held, permits.overrun, permits.open), (0, 0, 0));
    assert!(permits.worst_organisation() >= alone.worst_organisation());
    assert!(permits.share_in_time(0) >= permits.share_in_time(2));
}

/// More requests come for seconds than the targets complete: if they are served in the order of their arrival, most are served just after
/// their objective.
#[rstest]
fn verify_overload_leaves_most_requests_in_time(#[values(23, 91, 391)] gateways: usize) {
    let overload = Load {
        per_s: 720.0,
        ..load(gateways, 30.0, 1.0)
    };
    let permits = Simulation::run(overload, Mode::Permits, 7);
    println!("{permits:?} worst {}", permits.worst_organisation());
    // The targets complete 600 requests a second: five of six.
    assert!(f64::from(permits.in_time) >= 0.6 * f64::from(permits.requests));
    assert_eq!((permits.held, permits.overrun, permits.open), (0, 0, 0));
}

/// The dispatcher fails, or a part of the datagrams is lost: requests are served as well as by gateways that decide alone, and none
/// is left without an answer.
#[rstest]
#[case::killed(Mode::Killed)]
#[case::frozen(Mode::Frozen)]
#[case::two(Mode::Two)]
#[case::lossy(Mode::Lossy(0.05))]
fn verify_faults_cost_no_more_than_deciding_alone(
    #[case] mode: Mode,
    #[values(23, 91, 391)] gateways: usize,
) {
    let alone = Simulation::run(load(gateways, 60.0, 3.0), Mode::Alone, 7);
    let faulty = Simulation::run(load(gateways, 60.0, 3.0), mode, 7);
    println!("alone {alone:?}\n{mode:?} {faulty:?}");
    assert!(faulty.in_time >= alone.in_time);
    assert!(faulty.rejected <= alone.rejected);
    assert!(faulty.overrun <= alone.overrun);
    assert_eq!((faulty.held, faulty.open), (0, 0));
}

fn destination(number: u32, slots: u32) -> Destination {
    Destination {
        number: Number(number),
        zone: "z".into(),
        slots,
        reported: 0,
        is_usable: true,
    }
}

fn request(number: u64, organisation: u8, priority: u8, left_ms: u32) -> Request {
    Request {
        ticket: Ticket {
            gateway: format!("g{}", number % 5).into(),
            number,
        },
        route: 1,
        organisation: format!("o{organisation}").into(),
        priority,
        zone: "z".into(),
        content: number,
        left_ms,
        objective_ms: left_ms,
        avoided: Vec::new(),
    }
}

/// A request with a later deadline, of the organisation with the most requests or of lower priority is served first.
#[test]
fn verify_order_of_the_queue() {
    let mut dispatcher = Dispatcher::default();
    let destinations = [destination(1, 1)];
    let ask = |dispatcher: &mut Dispatcher, request: Request| {
        command::request(dispatcher, request, &destinations, 0);
    };
    // Two fill the slot and the place in the queue.
    for number in [0, 1] {
        ask(&mut dispatcher, request(number, 9, 0, 5_000));
    }
    ask(&mut dispatcher, request(2, 1, 5, 3_000));
    ask(&mut dispatcher, request(3, 1, 5, 2_000));
    ask(&mut dispatcher, request(4, 2, 5, 4_000));
    ask(&mut dispatcher, request(5, 1, 0, 4_000));
    let mut order = Vec::new();
    let mut running = vec![0, 1];
    while let Some(number) = running.pop() {
        let ticket = request(number, 0, 0, 0).ticket;
        let notices = command::finish(&mut dispatcher, &ticket, End::Other, &destinations, 1);
        for (ticket, decision) in notices {
            assert!(matches!(decision, Decision::Granted(_)));
            order.push(ticket.number);
            running.insert(0, ticket.number);
        }
    }
    assert_eq!(order, [5, 3, 4, 2]);
}

/// A caller that was refused is refused again and again, as new requests come before it.
#[test]
fn verify_returning_caller_comes_first() {
    let mut dispatcher = Dispatcher::default();
    let destinations = [destination(1, 1)];
    for number in [0, 1] {
        command::request(
            &mut dispatcher,
            request(number, 1, 5, 5_000),
            &destinations,
            0,
        );
    }
    let notices = command::request(&mut dispatcher, request(2, 1, 5, 1), &destinations, 0);
    assert!(matches!(notices[0].1, Decision::Refused(_)), "{notices:?}");
    command::request(&mut dispatcher, request(3, 1, 5, 3_000), &destinations, 100);
    let returning = Request {
        content: 2,
        ..request(4, 1, 5, 5_000)
    };
    command::request(&mut dispatcher, returning, &destinations, 100);
    let ticket = request(0, 0, 0, 0).ticket;
    let notices = command::finish(&mut dispatcher, &ticket, End::Other, &destinations, 101);
    assert_eq!(notices[0].0.number, 4);
}

/// A target on which requests take four times as long gets as many as the other one, and is told to be as before for ever.
#[test]
fn verify_slow_target_gets_fewer_requests_for_a_second() {
    let mut dispatcher = Dispatcher::default();
    let destinations = [destination(1, 20), destination(2, 20)];
    let share = |dispatcher: &mut Dispatcher, first: u64, now_ms: u64| {
        for number in first..first + 10 {
            command::request(
                dispatcher,
                request(number, 1, 5, 5_000),
                &destinations,
                now_ms,
            );
        }
        destinations
            .each_ref()
            .map(|it| dispatcher.granted(it.number))
    };
    let end = |dispatcher: &mut Dispatcher, first: u64, now_ms: u64| {
        for number in first..first + 10 {
            let it = request(number, 1, 5, 5_000);
            let notices = command::request(dispatcher, it.clone(), &destinations, now_ms);
            let is_slow = notices[0].1 == Decision::Granted(Number(1));
            let end = End::Completed(if is_slow { 100 } else { 25 });
            command::finish(dispatcher, &it.ticket, end, &destinations, now_ms);
        }
    };
    assert_eq!(share(&mut dispatcher, 0, 0), [5, 5]);
    end(&mut dispatcher, 0, 100);
    let [slow, fast] = share(&mut dispatcher, 100, 100);
    assert!(slow < fast, "{slow} {fast}");
    for number in 100..110 {
        let ticket = request(number, 0, 0, 0).ticket;
        command::finish(&mut dispatcher, &ticket, End::Other, &destinations, 100);
    }
    let [slow, fast] = share(&mut dispatcher, 200, 3_000);
    assert_eq!((slow, fast), (5, 5));
}

/// Requests that gateways send without permits, or by those of another dispatcher, meet full targets with those of this one.
#[test]
fn verify_foreign_requests_take_room() {
    let mut dispatcher = Dispatcher::default();
    let mut busy = destination(1, 4);
    busy.reported = dispatcher.capacity(&busy);
    let notices = command::request(&mut dispatcher, request(1, 1, 1, 900), &[busy], 0);
    assert_eq!(notices[0].1, Decision::Queued);
}

/// The permits of a gateway that lapses take room until the deadline.
#[test]
fn verify_permits_of_a_lapsed_gateway_are_freed() {
    let mut dispatcher = Dispatcher::default();
    let destinations = [destination(1, 1)];
    for number in [0, 5, 1] {
        command::request(
            &mut dispatcher,
            request(number, 1, 1, 5_000),
            &destinations,
            0,
        );
    }
    assert_eq!(dispatcher.waiting(), 1);
    let notices = command::forget(&mut dispatcher, "g0", &destinations, 1);
    let waiting = request(1, 0, 0, 0).ticket;
    assert_eq!(notices, [(waiting, Decision::Granted(Number(1)))]);
}

#[derive(Clone, Debug)]
enum Step {
    Ask(u64, u8, u8, u32),
    Repeat(u64),
    End(u64, u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..400_u64, 0..4_u8, 0..10_u8, 1..1_500_u32)
            .prop_map(|(n, o, p, l)| Step::Ask(n, o, p, l)),
        (0..400_u64).prop_map(Step::Repeat),
        (0..400_u64, 1..200_u32).prop_map(|(n, time_ms)| Step::End(n, time_ms)),
        (1..60_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// A target gets more than it has room for, a request two permits, or a waiting one is forgotten.
    #[test]
    fn prop_grants_stay_within_room(steps in prop::collection::vec(step(), 1..400)) {
        let destinations = [destination(1, 2), destination(2, 3)];
        let mut dispatcher = Dispatcher::default();
        let mut now_ms = 0;
        let mut asked: BTreeMap<u64, Request> = BTreeMap::new();
        let mut waiting: BTreeSet<u64> = BTreeSet::new();
        let mut granted: BTreeMap<u64, Number> = BTreeMap::new();
        let mut withdrawn: BTreeSet<u64> = BTreeSet::new();
        for step in steps {
            let before: Vec<u32> = destinations.iter().map(|it| dispatcher.granted(it.number)).collect();
            let notices: Vec<Notice> = match step {
                Step::Ask(number, organisation, priority, left_ms) => {
                    if asked.contains_key(&number) {
                        continue;
                    }
                    let it = request(number, organisation, priority, left_ms);
                    asked.insert(number, it.clone());
                    waiting.insert(number);
                    command::request(&mut dispatcher, it, &destinations, now_ms)
                }
                Step::Repeat(number) => match asked.get(&number) {
                    Some(it) if waiting.contains(&number) => {
                        command::request(&mut dispatcher, it.clone(), &destinations, now_ms)
                    }
                    _ => continue,
                },
                Step::End(number, time_ms) => {
                    if waiting.remove(&number) {
                        withdrawn.insert(number);
                    }
                    let Some(it) = asked.get(&number) else { continue };
                    command::finish(&mut dispatcher, &it.ticket, End::Completed(time_ms), &destinations, now_ms)
                }
                Step::Wait(ms) => {
                    now_ms += ms;
                    command::expire(&mut dispatcher, &destinations, now_ms)
                }
            };
            for (ticket, decision) in notices {
                let number = ticket.number;
                prop_assert!(!withdrawn.contains(&number));
                match decision {
                    Decision::Granted(target) => {
                        prop_assert!(granted.insert(number, target).is_none());
                        prop_assert!(waiting.remove(&number));
                    }
                    Decision::Refused(return_ms) => {
                        prop_assert!(return_ms <= 1_000);
                        prop_assert!(waiting.remove(&number));
                    }
                    Decision::Queued => prop_assert!(waiting.contains(&number)),
                    Decision::Declined | Decision::Moved => prop_assert!(false),
                }
            }
            for (it, before) in destinations.iter().zip(before) {
                // A change of the mean time may lower the capacity below what was granted before.
                let limit = dispatcher.capacity(it).max(before);
                prop_assert!(dispatcher.granted(it.number) <= limit);
            }
            prop_assert_eq!(dispatcher.waiting(), waiting.len());
        }
        for _ in 0..400 {
            now_ms += 50;
            for (ticket, _) in command::expire(&mut dispatcher, &destinations, now_ms) {
                prop_assert!(waiting.remove(&ticket.number));
            }
        }
        prop_assert!(waiting.is_empty());
    }
}
