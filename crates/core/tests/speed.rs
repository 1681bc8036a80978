//! Tests of the speeds of targets: samples, their decay and exchange, and the placement by them.

#[path = "support/placement.rs"]
mod placement;

use placement::{run, Outcome, Scenario, Uneven};
use rstest::rstest;
use sardinemux_core::collection::Number;
use sardinemux_core::roster::query::{self, Criteria};
use sardinemux_core::roster::{command, room, Announcement, Report, Roster, Settings, Shares};
use sardinemux_core::speed::{Learner, Notice, Source, Stated};
use sardinemux_core::target::{Key, Kind, Target};
use sardinemux_core::tokens::Need;

/// The share of the requests in five seconds that the users let reach targets above their bound.
const OVER_BOUND_MAX: f64 = 0.03;

/// The share of the requests that are to reach a target which has their prompt.
const KEPT_MIN: f64 = 0.6;

/// The target that gets the fewest requests gets at least this share of the mean, as none may starve.
const LEAST_USED_MIN: f64 = 0.25;

fn roster(slots: &[u32]) -> (Roster, Vec<Key>) {
    let mut roster = Roster::new(Settings::default());
    let keys = slots.iter().enumerate().map(|(index, slots)| {
        let target = Target {
            id: format!("e{index}").into(),
            kind: Kind::Engine,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            region: "r".into(),
            slots: *slots,
            leaving: false,
            build: "v1".into(),
        };
        let announcement = Announcement {
            target,
            lifetime: 1,
            cold_ms: 0,
        };
        command::apply_announcement(&mut roster, announcement, 0)
    });
    let keys = keys.collect();
    (roster, keys)
}

fn rank(roster: &Roster, subject: Option<u64>, now_ms: u64) -> Vec<Key> {
    let criteria = Criteria {
        pool: "p",
        subject,
        zone: "z",
        tried: &[],
        builds: None,
        only: None,
    };
    query::rank_targets(roster, criteria, now_ms)
}

/// Placement by speeds makes answers slower than placement by counts, breaks the load bound or the affinity, or starves targets.
#[rstest]
fn verify_placement_by_speeds_in_a_fleet_of_any_size(
    #[values(6, 23, 91, 195, 391)] gateways: usize,
    #[values(272.0, 478.0)] per_s: f64,
) {
    let play = |uneven: Uneven| -> Outcome {
        let scenario = Scenario {
            gateways,
            per_s,
            uneven: Some(uneven),
            ..Scenario::default()
        };
        run(scenario, 1)
    };
    let (stated, counted) = (play(Uneven::Stated), play(Uneven::Hidden));
    println!("{gateways} gateways, {per_s} a second\n  speeds {stated:?}\n  counts {counted:?}");
    assert!(stated.over_bound <= OVER_BOUND_MAX, "{stated:?}");
    assert!(stated.kept >= KEPT_MIN, "{stated:?}");
    assert!(stated.least_used >= LEAST_USED_MIN, "{stated:?}");
    assert!(stated.end_ms.0 < counted.end_ms.0, "{stated:?} {counted:?}");
    assert!(
        stated.first_ms.0 < counted.first_ms.0,
        "{stated:?} {counted:?}"
    );
}

/// A prompt family leaves a slow home for different targets at different gateways, or does not come back to it.
#[test]
fn verify_family_of_a_slow_home_moves_to_the_next_rank_and_back() {
    let (mut roster, keys) = roster(&[64; 9]);
    for subject in 0..50 {
        let usual = rank(&roster, Some(subject), 0);
        command::note_speed(&mut roster, usual[0], Stated::Factor(2.5), 0);
        let slow = rank(&roster, Some(subject), 0);
        assert_eq!(slow[..8], usual[1..]);
        assert_eq!(slow[8], usual[0]);
        assert_eq!(rank(&roster, Some(subject), 700), usual);
        for key in &keys {
            command::note_speed(&mut roster, *key, Stated::Factor(1.0), 1);
        }
        roster = self::roster(&[64; 9]).0;
    }
}

/// A factor slightly above the usual one makes all prompts of a target read once more elsewhere.
#[test]
fn verify_home_stays_home_while_leaving_costs_more() {
    let (mut roster, _) = roster(&[64; 9]);
    let usual = rank(&roster, Some(7), 0);
    command::note_speed(&mut roster, usual[0], Stated::Factor(1.4), 0);
    assert_eq!(rank(&roster, Some(7), 0), usual);
}

/// Requests without a prompt go to a slow target, or to a small one that is as loaded as a large one.
#[test]
fn verify_expected_completion_decides_without_a_prompt() {
    let (mut uneven, keys) = roster(&[64, 64, 128]);
    command::note_speed(&mut uneven, keys[0], Stated::Factor(2.5), 0);
    assert_eq!(rank(&uneven, None, 0), [keys[2], keys[1], keys[0]]);
    let (even, keys) = roster(&[64, 64, 128]);
    assert_eq!(rank(&even, None, 0), keys);
}

/// A sample that is passed on replaces a later one, or a malformed one makes a target look fast.
#[test]
fn verify_only_later_samples_are_taken_over() {
    let (mut roster, keys) = roster(&[64; 2]);
    command::note_speed(&mut roster, keys[0], Stated::Factor(2.5), 1_000);
    let notice = |percent, age_ms| {
        [Notice {
            target: Number::of("e0"),
            percent,
            age_ms,
        }]
    };
    let mut merge =
        |notice: [Notice; 1]| command::merge_speeds(&mut roster, &notice, Source::Collector, 1_100);
    assert_eq!(merge(notice(100, 300)), 0);
    assert_eq!(merge(notice(0, 0)), 0);
    assert_eq!(merge(notice(400, 20)), 1);
    assert!(query::speed(&roster, keys[0], 1_100) > 3.8);
    assert!(query::states_speed(&roster, 11_000));
    assert!(!query::states_speed(&roster, 11_200));
}

/// A collector sends a sample back to the gateway or zone that it has it from, so that it circulates for ever.
#[test]
fn verify_samples_are_passed_on_once() {
    let (mut roster, keys) = roster(&[64; 2]);
    command::note_speed(&mut roster, keys[0], Stated::Factor(2.5), 1_000);
    command::note_speed(&mut roster, keys[1], Stated::Factor(1.0), 1_000);
    let own = query::speed_notices(&roster, &[Source::Own], 900, 1_000);
    assert_eq!(own.len(), 1);
    assert!(query::speed_notices(&roster, &[Source::Own], 1_001, 1_050).is_empty());
    let later = [Notice {
        age_ms: 0,
        ..own[0]
    }];
    command::merge_speeds(&mut roster, &later, Source::Collector, 1_050);
    let sources = [Source::Own, Source::Zone];
    assert!(query::speed_notices(&roster, &sources, 900, 1_050).is_empty());
}

/// A target that is no longer slow is taken for slow elsewhere, as only unusual samples are passed on.
#[test]
fn verify_return_to_the_usual_speed_is_passed_on() {
    let (mut roster, keys) = roster(&[64; 2]);
    command::note_speed(&mut roster, keys[0], Stated::Factor(2.5), 1_000);
    command::note_speed(&mut roster, keys[0], Stated::Factor(1.0), 1_400);
    let own = query::speed_notices(&roster, &[Source::Own], 1_300, 1_400);
    assert_eq!(own.iter().map(|it| it.percent).collect::<Vec<_>>(), [100]);
}

/// A faulty statement is logged with each answer, or a target is left out for what an earlier statement said.
#[test]
fn verify_unusable_statement_counts_as_usual_and_is_returned_once() {
    let (mut roster, keys) = roster(&[64]);
    assert!(!command::note_speed(
        &mut roster,
        keys[0],
        Stated::Absent,
        0
    ));
    command::note_speed(&mut roster, keys[0], Stated::Factor(2.5), 1);
    assert!(command::note_speed(
        &mut roster,
        keys[0],
        Stated::Invalid,
        2
    ));
    assert_eq!(query::speed(&roster, keys[0], 2), 1.0);
    assert!(!command::note_speed(
        &mut roster,
        keys[0],
        Stated::Invalid,
        3
    ));
}

/// The learner takes the length of a route's answers for the speed of a target, or does not find a slow one.
#[test]
fn verify_speed_is_learnt_by_route_against_the_pool() {
    let mut learner = Learner::default();
    let mut factors = [1.0; 3];
    for _ in 0..40 {
        for (index, factor) in factors.iter_mut().enumerate() {
            let slow = if index == 2 { 2.5 } else { 1.0 };
            for (route, time_ms) in [("short", 10.0), ("long", 900.0)] {
                let learnt = learner.note("p", route, time_ms * slow, *factor);
                *factor = learnt.unwrap_or(*factor);
            }
        }
    }
    assert!(factors[0] < 1.0 && factors[2] > 1.5, "{factors:?}");
    assert_eq!(learner.note("p", "short", f64::NAN, 1.0), None);
}

/// A target gets a request that its memory cannot hold while another one has room, or a request is placed nowhere.
#[test]
fn verify_target_without_room_is_passed_over() {
    let (mut roster, _) = roster(&[64; 9]);
    let need = Need {
        tokens: 5_000,
        capacity: 20_000,
    };
    let usual = rank(&roster, Some(7), 0);
    let mut ranked = usual.clone();
    assert_eq!(room::prefer(&roster, &mut ranked, need, 0), 0);
    assert_eq!(ranked, usual);
    for key in &usual[..2] {
        assert!(command::start_request(
            &mut roster,
            *key,
            Shares::default(),
            0
        ));
        room::hold(&mut roster, *key, 12_500);
    }
    assert_eq!(room::prefer(&roster, &mut ranked, need, 0), 2);
    assert_eq!(ranked[0], usual[2]);
    for key in &usual[2..] {
        room::hold(&mut roster, *key, 12_500);
    }
    let mut ranked = usual.clone();
    assert_eq!(room::prefer(&roster, &mut ranked, need, 0), 0);
    assert_eq!(ranked, usual);
    room::release(&mut roster, usual[0], 12_500);
    assert_eq!(room::held(&roster, usual[0], 0), 0.0);
}

/// The requests of other routers are left out of what a target holds.
#[test]
fn verify_requests_of_others_count_with_the_mean_of_tokens() {
    let (mut roster, keys) = roster(&[64; 2]);
    room::hold(&mut roster, keys[0], 4_000);
    let report = Report {
        zone: "z".into(),
        running: [("e1".into(), 3)].into_iter().collect(),
    };
    command::note_report(&mut roster, "g2".into(), report, 0);
    assert_eq!(room::held(&roster, keys[0], 0), 4_000.0);
    assert_eq!(room::held(&roster, keys[1], 0), 12_000.0);
}
