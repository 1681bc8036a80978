//! Tests of routing: catalogue, roster, placement by prompt part, cold shares and events.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::catalog::{Catalog, Definition, Kind, Organisation, Route, Share};
use sardinemux_core::cold_start;
use sardinemux_core::event::{Place, Progress, Splitter};
use sardinemux_core::roster::query::Wish;
use sardinemux_core::roster::{command, query, Announcement, Evidence, Roster, Settings};
use sardinemux_core::target::{self, Key, Target};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        shares: vec![Share {
            pool: "p".into(),
            weight: 1,
        }],
        attempts_max: 2,
        is_public: false,
    }
}

#[rstest]
#[case::short("/a/x", Some("a"))]
#[case::longest("/a/b/x", Some("ab"))]
#[case::prefix_alone("/a/b/", Some("ab"))]
#[case::no_slash_after("/a/bc", Some("a"))]
#[case::no_slash_at_all("/a", None)]
#[case::unknown("/c/", None)]
#[case::empty("", None)]
fn verify_longest_prefix_wins(#[case] path: &str, #[case] expected: Option<&str>) {
    let definition = Definition {
        version: 1,
        routes: vec![route("a", "/a/"), route("ab", "/a/b/")],
        ..Definition::default()
    };
    let catalog = Catalog::new(definition.into());
    let found = catalog.route("h", path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
    assert!(catalog.route("other", path).is_none());
}

#[test]
fn verify_keys_name_their_organisation() {
    let organisation = Organisation {
        name: "o".into(),
        keys: vec!["k1".into(), "k2".into()],
        priority: Some(1),
    };
    let definition = Definition {
        organisations: vec![organisation],
        ..Definition::default()
    };
    let catalog = Catalog::new(definition.into());
    let name = |key| catalog.organisation(key).map(|it| it.name.as_str());
    assert_eq!(name("k2"), Some("o"));
    assert_eq!(name("k3"), None);
}

fn announcement(id: &str, zone: &str) -> Announcement {
    let target = Target {
        id: id.into(),
        kind: target::Kind::Engine,
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: zone.into(),
        region: "r".into(),
        slots: 64,
        leaving: false,
    };
    Announcement {
        target,
        lifetime: 1,
        cold_ms: 0,
    }
}

fn roster(count: usize) -> (Roster, Vec<Key>) {
    let mut roster = Roster::new(Settings::default());
    let keys = (0..count).map(|index| {
        let zone = format!("z{}", index % 3);
        command::announce(&mut roster, announcement(&format!("e{index}"), &zone), 0)
    });
    let keys = keys.collect();
    (roster, keys)
}

fn wish(subject: Option<u64>) -> Wish<'static> {
    Wish {
        pool: "p",
        subject,
        zone: "z0",
        tried: &[],
    }
}

/// Two routers send one subject to the same engine, without a message.
#[test]
fn verify_routers_agree_about_a_subject() {
    let (first, _) = roster(9);
    let (second, _) = roster(9);
    for subject in 0..100 {
        let ranks = query::rank(&first, wish(Some(subject)), 0);
        assert_eq!(ranks, query::rank(&second, wish(Some(subject)), 0));
    }
}

/// Load: one subject takes all the traffic. It spreads once its engine is over the bound, and no engine gets a
/// request while it holds more than twice the mean and three.
#[test]
fn verify_hot_subject_spreads_within_the_bound() {
    let (mut roster, keys) = roster(9);
    for _ in 0..300 {
        let key = query::rank(&roster, wish(Some(7)), 0)[0];
        let load = query::load(&roster, key, 0);
        let sum: u32 = keys.iter().map(|key| query::load(&roster, *key, 0)).sum();
        let mean = f64::from(sum) / keys.len() as f64;
        assert!(
            f64::from(load) <= 2.0 * mean + 3.0,
            "{load} at a mean of {mean}"
        );
        assert!(command::start(&mut roster, key, 0.0, 0));
    }
    let busy = keys.iter().filter(|key| query::load(&roster, **key, 0) > 0);
    assert!(busy.count() > keys.len() / 2);
}

/// Load: many subjects of equal weight. Nearly every request goes to its subject's own engine.
#[test]
fn verify_subjects_stay_at_home_under_even_load() {
    let (mut roster, _) = roster(9);
    let mut running = std::collections::VecDeque::new();
    let mut away = 0;
    for round in 0..4_000_u64 {
        let subject = round.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 38;
        let key = query::rank(&roster, wish(Some(subject)), 0)[0];
        let home = query::home(&roster, "p", subject, Key(u32::MAX), 0).unwrap();
        away += usize::from(home != key);
        assert!(command::start(&mut roster, key, 0.0, 0));
        running.push_back(key);
        if running.len() > 90 {
            let key = running.pop_front().unwrap();
            command::finish(&mut roster, key, Evidence::Healthy, 0);
        }
    }
    // A subject away from home costs a move of its cache; the users price one at a quarter of the request.
    assert!(away < 4_000 * 4 / 10, "{away} of 4000 away from home");
}

/// Other routers' reports count, so that routers that read the same reports do not all choose one target.
#[test]
fn verify_reports_of_others_count_until_they_are_old() {
    let (mut roster, keys) = roster(2);
    let running = [("e0".into(), 5)].into_iter().collect();
    command::note_report(&mut roster, "other".into(), running, 1_000);
    assert_eq!(query::load(&roster, keys[0], 1_000), 5);
    assert_eq!(query::rank(&roster, wish(None), 1_000)[0], keys[1]);
    command::age(&mut roster, 1_000 + Settings::default().report_ms);
    assert_eq!(query::load(&roster, keys[0], 3_000), 0);
}

/// Load: more busy targets than a report holds. The busiest are told of, so that the report is never too large to send.
#[test]
fn verify_busiest_targets_are_reported() {
    let (mut roster, keys) = roster(100);
    for (index, key) in keys.iter().enumerate() {
        for _ in 0..=index / 10 {
            assert!(command::start(&mut roster, *key, 0.0, 0));
        }
    }
    let reported = query::running(&roster, 10);
    assert_eq!(reported.len(), 10);
    assert!(reported.values().all(|running| *running == 10));
}

#[test]
fn verify_faulty_target_rests_longer_each_time() {
    let (mut roster, keys) = roster(1);
    let settings = Settings::default();
    let mut now_ms = 0;
    for failure in 0..3 {
        assert!(command::start(&mut roster, keys[0], 0.0, now_ms));
        command::finish(&mut roster, keys[0], Evidence::Faulty, now_ms);
        let rest_ms = settings.rest_ms << failure;
        assert!(query::rests(&roster, keys[0], now_ms + rest_ms - 1));
        now_ms += rest_ms;
        assert!(!query::rests(&roster, keys[0], now_ms));
    }
    assert_eq!(query::rank(&roster, wish(None), 0).len(), 1);
}

/// Load: one of three targets answers half of its requests with errors while its status check is good; a part of
/// all requests fails wherever they run. The target gets less than a tenth of the requests, and its share again
/// once it has recovered.
#[test]
fn verify_grey_target_is_told_by_its_answers() {
    let (mut roster, keys) = roster(3);
    let mut shares = Vec::new();
    for is_grey in [true, false] {
        let mut sent = 0;
        for round in 0..600_u64 {
            let now_ms = if is_grey { 0 } else { 60_000 } + round * 50;
            let key = query::rank(&roster, wish(Some(round)), now_ms)[0];
            assert!(command::start(&mut roster, key, 0.0, now_ms));
            let is_failure = match is_grey && key == keys[1] {
                true => round % 2 == 0,
                false => round % 16 == 0,
            };
            let evidence = match is_failure {
                true => Evidence::Failed,
                false => Evidence::Healthy,
            };
            command::finish(&mut roster, key, evidence, now_ms);
            sent += u32::from(key == keys[1]);
        }
        shares.push(f64::from(sent) / 600.0);
    }
    assert!(shares[0] < 0.1, "{shares:?}");
    assert!(shares[1] > 0.2, "{shares:?}");
}

#[test]
fn verify_evacuated_zone_gets_nothing_and_returns_cold() {
    let (mut roster, keys) = roster(3);
    let zones = [target::Target::clone(query::target(&roster, keys[0]).unwrap()).zone];
    command::set_evacuated(&mut roster, zones.into_iter().collect(), |_| 3_000, 0);
    assert!(!query::is_eligible(&roster, keys[0], 0));
    assert!(query::is_eligible(&roster, keys[1], 0));
    command::set_evacuated(&mut roster, Default::default(), |_| 3_000, 10);
    assert!(query::is_eligible(&roster, keys[0], 10));
    assert!(query::is_cold(&roster, keys[0], 3_009));
    assert!(!query::is_cold(&roster, keys[0], 3_010));
    assert!(!query::is_cold(&roster, keys[1], 10));
}

#[test]
fn verify_new_lifetime_starts_from_nothing() {
    let (mut roster, keys) = roster(1);
    assert!(command::start(&mut roster, keys[0], 0.0, 0));
    command::finish(&mut roster, keys[0], Evidence::Displaced, 0);
    assert!(!query::is_eligible(&roster, keys[0], 0));
    let again = Announcement {
        lifetime: 2,
        ..announcement("e0", "z0")
    };
    let key = command::announce(&mut roster, again, 0);
    assert_ne!(key, keys[0]);
    assert!(query::is_eligible(&roster, key, 0));
}

proptest! {
    /// Load: every router of a fleet sends as much as it may to one cold engine. Even if half of the routers
    /// believe in another list of members, the engine gets no more in any second than the users' bound.
    #[test]
    fn verify_cold_bound_over_all_routers(routers in 1_usize..120, per_s in 4_u32..40, lost in 0_usize..20) {
        let per_s = f64::from(per_s);
        let names: Vec<String> = (0..routers).map(|index| format!("router {index}")).collect();
        let kept = routers.saturating_sub(lost).max(1);
        let mut most = 0.0;
        for (index, me) in names.iter().enumerate() {
            let believed = if index % 2 == 0 { routers } else { kept.max(index + 1) };
            let members = names[..believed].iter().map(String::as_str);
            let share = cold_start::rate_share(per_s, me, members, "engine");
            // A bucket of one request lets one more pass than its rate.
            most += if share > 0.0 { share + 1.0 } else { 0.0 };
        }
        // The users' bound: one and a half times the rate, and five; half the routers may disagree.
        prop_assert!(most <= 2.0 * (per_s * 1.5 + 5.0), "{most}");
        if lost == 0 {
            prop_assert!(most <= per_s * 1.5 + 5.0, "{most}");
        }
    }

    /// However a stream is cut into pieces, the same whole events come out, in order and once.
    #[test]
    fn verify_events_survive_any_split(cuts in proptest::collection::vec(1_usize..9, 0..40)) {
        let whole = "id: 1\ndata: a\n\nid: 2\ndata: bc\n\nid: 3\ndata: d\n\n";
        let mut splitter = Splitter::default();
        let mut progress = Progress::default();
        let mut rest = whole.as_bytes();
        let mut bytes = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            splitter.push(piece).unwrap();
            for event in &mut splitter {
                prop_assert_eq!(progress.take(event.id), Place::Next);
                bytes.extend(event.bytes);
            }
        }
        prop_assert_eq!(bytes, whole.as_bytes());
        prop_assert!(splitter.is_empty());
    }
}
