//! Tests of admission control: limits, take-over, warm-up and queue, under adversarial orders of events.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::admission::command::{self, Admission};
use sardinemux_core::admission::{query, Controller, Demand, Report, Settings};
use sardinemux_core::class::Class;
use sardinemux_core::fairness::{Flow, Ticket};
use sardinemux_core::load::Mean;
use sardinemux_core::outcome::Reason;
use sardinemux_core::warmup::{self, Observation};

const SLOTS: u32 = 8;

const HEALTHY: Observation = Observation::Completed {
    first_token_ms: 50.0,
    computed_tokens: 10,
};

fn demand(organisation: &str) -> Demand {
    Demand {
        flow: Flow {
            member: "member".into(),
            organisation: organisation.into(),
            weight: 1.0,
            class: Class::Chat,
        },
        tokens: 10,
    }
}

fn mean(requests: f64) -> Mean {
    Mean {
        requests,
        tokens: requests * 10.0,
    }
}

fn settings() -> Settings {
    Settings {
        warmup: warmup::Settings {
            completions_per_doubling: 1,
            ..warmup::Settings::default()
        },
        queue_max: 3,
        ..Settings::default()
    }
}

/// Returns the controller of a target that has warmed up.
fn warm_controller() -> Controller {
    let mut controller = Controller::new(settings(), SLOTS);
    while query::warmup_limit(&controller) < SLOTS {
        let ticket = command::admit(&mut controller, &demand("o"), mean(8.0)).unwrap();
        command::finish(&mut controller, ticket, HEALTHY);
    }
    controller
}

fn fill(controller: &mut Controller, mean: Mean) -> u32 {
    let mut admitted = 0;
    while command::admit(controller, &demand("o"), mean).is_ok() {
        admitted += 1;
    }
    admitted
}

#[rstest]
#[case::idle(0.0, 1)]
#[case::low(1.0, 3)]
#[case::middle(4.0, 6)]
#[case::more_than_slots(20.0, SLOTS)]
fn verify_load_bound_follows_the_mean(#[case] requests: f64, #[case] expected: u32) {
    let mut controller = warm_controller();
    assert_eq!(fill(&mut controller, mean(requests)), expected);
}

#[test]
fn verify_tokens_are_bounded() {
    let mut controller = warm_controller();
    let large = Demand {
        tokens: 1_000,
        ..demand("o")
    };
    let low = Mean {
        requests: 8.0,
        tokens: 100.0,
    };
    assert!(command::admit(&mut controller, &large, low).is_ok());
    assert_eq!(
        command::admit(&mut controller, &demand("o"), low),
        Err(Reason::Full)
    );
}

#[test]
fn verify_new_incarnation_lowers_the_limit() {
    let mut controller = warm_controller();
    let report = |incarnation| Report {
        running: 0,
        incarnation,
    };
    command::apply_report(&mut controller, report(1), 0);
    command::add_chat(&mut controller, 7);
    assert_eq!(query::warmup_limit(&controller), SLOTS);
    command::set_incarnation(&mut controller, 2);
    assert_eq!(query::warmup_limit(&controller), 2);
    assert!(!query::has_chat(&controller, 7));
}

#[test]
fn verify_latency_jump_lowers_the_limit() {
    let mut controller = warm_controller();
    let slow = Observation::Completed {
        first_token_ms: 5_000.0,
        computed_tokens: 10,
    };
    for _ in 0..3 {
        let ticket = command::admit(&mut controller, &demand("o"), mean(8.0)).unwrap();
        command::finish(&mut controller, ticket, slow);
    }
    assert_eq!(query::warmup_limit(&controller), 2);
}

#[test]
fn verify_reported_foreign_requests_lower_the_limit() {
    let mut controller = warm_controller();
    let report = Report {
        running: 6,
        incarnation: 1,
    };
    // The first two reports are still compared with the peak of the warm-up.
    for _ in 0..3 {
        command::apply_report(&mut controller, report, 0);
    }
    assert_eq!(fill(&mut controller, mean(20.0)), SLOTS - 6);
}

#[test]
fn verify_own_requests_in_a_late_report_are_not_foreign() {
    let mut controller = warm_controller();
    let tickets: Vec<Ticket> = (0..6)
        .map(|_| command::admit(&mut controller, &demand("o"), mean(20.0)).unwrap())
        .collect();
    for ticket in tickets {
        command::finish(&mut controller, ticket, HEALTHY);
    }
    let report = Report {
        running: 6,
        incarnation: 1,
    };
    command::apply_report(&mut controller, report, 0);
    assert_eq!(fill(&mut controller, mean(20.0)), SLOTS);
}

#[test]
fn verify_close_returns_the_queue() {
    let mut controller = warm_controller();
    fill(&mut controller, mean(4.0));
    let admission = command::admit_or_queue(&mut controller, demand("o"), mean(4.0));
    let Ok(Admission::Queued(ticket)) = admission else {
        panic!("{admission:?}");
    };
    assert_eq!(command::close(&mut controller), [ticket]);
    assert_eq!(
        command::admit(&mut controller, &demand("o"), mean(4.0)),
        Err(Reason::Leaving)
    );
    assert_eq!(query::in_flight(&controller), 6);
}

#[test]
fn verify_surge_is_shed_from_its_own_organisation() {
    let mut controller = warm_controller();
    fill(&mut controller, mean(4.0));
    for _ in 0..3 {
        assert!(command::admit_or_queue(&mut controller, demand("large"), mean(4.0)).is_ok());
    }
    assert_eq!(
        command::admit_or_queue(&mut controller, demand("large"), mean(4.0)),
        Err(Reason::Shed)
    );
    let admission = command::admit_or_queue(&mut controller, demand("small"), mean(4.0));
    assert!(
        matches!(admission, Ok(Admission::QueuedInPlaceOf(_, _))),
        "{admission:?}"
    );
}

#[test]
fn verify_new_owner_waits_for_the_former_one() {
    let mut controller = warm_controller();
    command::begin_takeover(&mut controller, 100);
    assert_eq!(fill(&mut controller, mean(20.0)), 0);
    command::apply_former_answer(&mut controller, 5, SLOTS);
    assert_eq!(fill(&mut controller, mean(20.0)), SLOTS - 5);
    command::apply_former_answer(&mut controller, 0, SLOTS);
    assert_eq!(fill(&mut controller, mean(20.0)), 5);
}

/// One step of two routers, the former and the new owner of one target.
#[derive(Clone, Copy, Debug)]
enum Event {
    OldAdmits,
    NewAdmits,
    OldFinishes,
    NewFinishes,
    QuestionArrives,
    AnswerArrives,
    ReportIsMeasured,
    ReportArrives,
    Waits,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => Just(Event::OldAdmits),
        4 => Just(Event::NewAdmits),
        2 => Just(Event::OldFinishes),
        2 => Just(Event::NewFinishes),
        1 => Just(Event::QuestionArrives),
        1 => Just(Event::AnswerArrives),
        2 => Just(Event::ReportIsMeasured),
        2 => Just(Event::ReportArrives),
        1 => Just(Event::Waits),
    ];
    proptest::collection::vec(event, 1..200)
}

/// Applies the events to the controllers of both owners and returns the greatest number of requests that were in
/// flight on the target at once. The former owner stops admitting once the handover query has arrived, or once the
/// take-over time has passed, by when a partitioned router has stopped.
fn max_in_flight(events: Vec<Event>, takes_over: bool) -> u32 {
    let mut old = warm_controller();
    let mut new = Controller::new(settings(), SLOTS);
    let mut old_tickets = Vec::new();
    let mut new_tickets = Vec::new();
    let mut answer: Option<u32> = None;
    let mut measured: Option<u32> = None;
    let mut measured_ms = 0;
    let mut is_asked = false;
    let mut now_ms = 0;
    let mut max_running = 0;
    if takes_over {
        command::begin_takeover(&mut new, now_ms);
    }
    let full = mean(20.0);
    for event in events {
        let has_stopped = is_asked || now_ms >= Settings::default().takeover_ms;
        match event {
            Event::OldAdmits if !has_stopped => {
                old_tickets.extend(command::admit(&mut old, &demand("o"), full));
            }
            Event::OldAdmits => {}
            Event::NewAdmits => {
                new_tickets.extend(command::admit(&mut new, &demand("o"), full));
            }
            Event::OldFinishes => {
                if let Some(ticket) = old_tickets.pop() {
                    command::finish(&mut old, ticket, HEALTHY);
                }
            }
            Event::NewFinishes => {
                if let Some(ticket) = new_tickets.pop() {
                    command::finish(&mut new, ticket, HEALTHY);
                }
            }
            Event::QuestionArrives => {
                is_asked = true;
                answer = Some(query::in_flight(&old));
            }
            Event::AnswerArrives => {
                if let Some(running) = answer {
                    command::apply_former_answer(&mut new, running, query::warmup_limit(&old));
                }
            }
            Event::ReportIsMeasured => {
                measured = Some(query::in_flight(&old) + query::in_flight(&new));
                measured_ms = now_ms;
            }
            Event::ReportArrives => {
                let is_too_late = now_ms - measured_ms > settings().report_lag_ms;
                if let Some(running) = measured.take().filter(|_| !is_too_late) {
                    let report = Report {
                        running,
                        incarnation: 1,
                    };
                    command::apply_report(&mut new, report, now_ms);
                }
            }
            Event::Waits => {
                now_ms += 700;
                command::expire_former(&mut new, now_ms);
            }
        }
        max_running = max_running.max(query::in_flight(&old) + query::in_flight(&new));
    }
    max_running
}

proptest! {
    #[test]
    fn verify_two_owners_keep_to_one_limit(events in events()) {
        prop_assert!(max_in_flight(events, true) <= SLOTS);
    }

    #[test]
    fn verify_a_controller_never_exceeds_its_limit(
        operations in proptest::collection::vec((0u8..6, 0.0f64..12.0), 1..300)
    ) {
        let mut controller = Controller::new(settings(), SLOTS);
        let mut tickets: Vec<Ticket> = Vec::new();
        for (operation, requests) in operations {
            let mean = mean(requests);
            match operation {
                0 | 1 => {
                    let room = query::in_flight_limit(&controller, mean);
                    let before = query::in_flight(&controller);
                    let result = command::admit(&mut controller, &demand("o"), mean);
                    prop_assert!(result.is_err() || before < room);
                    tickets.extend(result);
                }
                2 => {
                    if let Some(ticket) = tickets.pop() {
                        command::finish(&mut controller, ticket, HEALTHY);
                    }
                }
                3 => {
                    if let Some(ticket) = tickets.pop() {
                        command::finish(&mut controller, ticket, Observation::ConnectionLost);
                        prop_assert_eq!(query::warmup_limit(&controller), 2);
                    }
                }
                4 => {
                    if let Ok(Admission::Started(ticket)) =
                        command::admit_or_queue(&mut controller, demand("p"), mean)
                    {
                        tickets.push(ticket);
                    }
                }
                _ => {
                    let before = query::in_flight(&controller);
                    let room = query::in_flight_limit(&controller, mean);
                    let started = command::start_next(&mut controller, mean);
                    prop_assert!(started.is_none() || before < room);
                    tickets.extend(started);
                }
            }
            prop_assert_eq!(query::in_flight(&controller) as usize, tickets.len());
            prop_assert_eq!(query::tokens_in_flight(&controller), 10 * tickets.len() as u64);
        }
    }
}

/// Guards against a vacuous property above: without the take-over rule, both owners overload the target.
#[test]
fn verify_two_owners_overload_the_target_without_the_takeover_rule() {
    let events: Vec<Event> = [Event::OldAdmits, Event::NewAdmits]
        .into_iter()
        .cycle()
        .take(40)
        .collect();
    assert!(max_in_flight(events.clone(), false) > SLOTS);
    assert!(max_in_flight(events, true) <= SLOTS);
}
