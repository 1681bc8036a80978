//! Tests of routing: the catalogue, the roster, placement by prompt prefix, shares of cold targets and event streams.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::catalog::{Catalog, Definition, Kind, Organisation, Route, Share};
use sardinemux_core::event::{self, Continuity, Cursor, Splitter};
use sardinemux_core::rate_share;
use sardinemux_core::roster::query::Criteria;
use sardinemux_core::roster::{
    command, query, Announcement, Evidence, Report, Roster, Settings, Shares,
};
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
fn verify_api_key_identifies_its_organisation() {
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
    let name = |key| catalog.organisation_by_key(key).map(|it| it.name.as_str());
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
        build: "v1".into(),
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
        command::apply_announcement(&mut roster, announcement(&format!("e{index}"), &zone), 0)
    });
    let keys = keys.collect();
    (roster, keys)
}

fn criteria(prefix_id: Option<u64>) -> Criteria<'static> {
    Criteria {
        pool: "p",
        subject: prefix_id,
        zone: "z0",
        tried: &[],
        builds: None,
        only: None,
    }
}

/// Two routers rank the engines for a prompt prefix alike, without coordination.
#[test]
fn verify_routers_rank_a_prefix_alike() {
    let (first, _) = roster(9);
    let (second, _) = roster(9);
    for prefix_id in 0..100 {
        let ranks = query::rank_targets(&first, criteria(Some(prefix_id)), 0);
        assert_eq!(
            ranks,
            query::rank_targets(&second, criteria(Some(prefix_id)), 0)
        );
    }
}

/// All requests share one prompt prefix. They spread over other engines once the preferred one reaches the load bound,
/// and no engine gets a request while it has more than twice the mean plus three in flight.
#[test]
fn verify_hot_prefix_spreads_within_the_bound() {
    let (mut roster, keys) = roster(9);
    for _ in 0..300 {
        let key = query::rank_targets(&roster, criteria(Some(7)), 0)[0];
        let load = query::load(&roster, key, 0);
        let sum: u32 = keys.iter().map(|key| query::load(&roster, *key, 0)).sum();
        let mean = f64::from(sum) / keys.len() as f64;
        assert!(
            f64::from(load) <= 2.0 * mean + 3.0,
            "{load} at a mean of {mean}"
        );
        assert!(command::start_request(
            &mut roster,
            key,
            Shares::default(),
            0
        ));
    }
    let busy = keys.iter().filter(|key| query::load(&roster, **key, 0) > 0);
    assert!(busy.count() > keys.len() / 2);
}

/// Many prompt prefixes get about equally many requests. More than 60 % of the requests go to the first engine in the
/// rendezvous order of their prefix.
#[test]
fn verify_prefixes_keep_their_engine_under_even_load() {
    let (mut roster, _) = roster(9);
    let mut running = std::collections::VecDeque::new();
    let mut moved = 0;
    for round in 0..4_000_u64 {
        let prefix_id = round.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 38;
        let key = query::rank_targets(&roster, criteria(Some(prefix_id)), 0)[0];
        let home = query::home_target(&roster, "p", prefix_id, Key(u32::MAX), 0).unwrap();
        moved += usize::from(home != key);
        assert!(command::start_request(
            &mut roster,
            key,
            Shares::default(),
            0
        ));
        running.push_back(key);
        if running.len() > 90 {
            let key = running.pop_front().unwrap();
            command::finish_request(&mut roster, key, Evidence::Healthy, 0);
        }
    }
    // A request on another engine costs a move of the cached prefix, which the users price at a quarter of the request.
    assert!(moved < 4_000 * 4 / 10, "{moved} of 4000 requests moved");
}

/// The requests that other routers report count towards the load of a target until the report expires, so that routers
/// that get the same reports do not all choose the same target.
#[test]
fn verify_reports_of_other_routers_count_until_they_expire() {
    let (mut roster, keys) = roster(2);
    let report = Report {
        zone: "z0".into(),
        running: [("e0".into(), 5)].into_iter().collect(),
    };
    command::note_report(&mut roster, "other".into(), report, 1_000);
    assert_eq!(query::load(&roster, keys[0], 1_000), 5);
    assert_eq!(
        query::rank_targets(&roster, criteria(None), 1_000)[0],
        keys[1]
    );
    command::remove_expired(&mut roster, 1_000 + Settings::default().report_ttl_ms);
    assert_eq!(query::load(&roster, keys[0], 3_000), 0);
}

/// More targets have requests in flight than a report may list. The report lists the busiest ones, so that it never
/// exceeds the size that can be sent.
#[test]
fn verify_busiest_targets_are_reported() {
    let (mut roster, keys) = roster(100);
    for (index, key) in keys.iter().enumerate() {
        for _ in 0..=index / 10 {
            assert!(command::start_request(
                &mut roster,
                *key,
                Shares::default(),
                0
            ));
        }
    }
    let reported = query::running(&roster, 10);
    assert_eq!(reported.len(), 10);
    assert!(reported.values().all(|running| *running == 10));
}

#[test]
fn verify_backoff_of_faulty_target_doubles() {
    let (mut roster, keys) = roster(1);
    let settings = Settings::default();
    let mut now_ms = 0;
    for failure in 0..3 {
        assert!(command::start_request(
            &mut roster,
            keys[0],
            Shares::default(),
            now_ms
        ));
        command::finish_request(&mut roster, keys[0], Evidence::TransportError, now_ms);
        let rest_ms = settings.backoff_ms << failure;
        assert!(query::is_in_backoff(&roster, keys[0], now_ms + rest_ms - 1));
        now_ms += rest_ms;
        assert!(!query::is_in_backoff(&roster, keys[0], now_ms));
    }
    assert_eq!(query::rank_targets(&roster, criteria(None), 0).len(), 1);
}

/// One of three targets answers half of its requests with errors although its status check succeeds. On any healthy
/// target, one in 16 requests fails. The faulty target gets less than a tenth of the requests, and more than a fifth
/// once it has recovered.
#[test]
fn verify_grey_failure_is_detected_from_answers() {
    let (mut roster, keys) = roster(3);
    let mut shares = Vec::new();
    for is_grey in [true, false] {
        let mut sent = 0;
        for round in 0..600_u64 {
            let now_ms = if is_grey { 0 } else { 60_000 } + round * 50;
            let key = query::rank_targets(&roster, criteria(Some(round)), now_ms)[0];
            assert!(command::start_request(
                &mut roster,
                key,
                Shares::default(),
                now_ms
            ));
            let is_failure = match is_grey && key == keys[1] {
                true => round % 2 == 0,
                false => round % 16 == 0,
            };
            let evidence = match is_failure {
                true => Evidence::ServerError,
                false => Evidence::Healthy,
            };
            command::finish_request(&mut roster, key, evidence, now_ms);
            sent += u32::from(key == keys[1]);
        }
        shares.push(f64::from(sent) / 600.0);
    }
    assert!(shares[0] < 0.1, "{shares:?}");
    assert!(shares[1] > 0.2, "{shares:?}");
}

#[test]
fn verify_evacuated_zone_gets_no_requests_and_returns_cold() {
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
fn verify_new_lifetime_resets_the_target() {
    let (mut roster, keys) = roster(1);
    assert!(command::start_request(
        &mut roster,
        keys[0],
        Shares::default(),
        0
    ));
    command::finish_request(&mut roster, keys[0], Evidence::AddressTaken, 0);
    assert!(!query::is_eligible(&roster, keys[0], 0));
    let again = Announcement {
        lifetime: 2,
        ..announcement("e0", "z0")
    };
    let key = command::apply_announcement(&mut roster, again, 0);
    assert_ne!(key, keys[0]);
    assert!(query::is_eligible(&roster, key, 0));
}

proptest! {
    /// Every router of a fleet sends the largest share that it may to one cold engine. The requests of any second stay
    /// within the users' bound, or within twice that bound if half of the routers have another list of members.
    #[test]
    fn verify_cold_bound_over_all_routers(routers in 1_usize..120, per_s in 4_u32..40, lost in 0_usize..20) {
        let per_s = f64::from(per_s);
        let names: Vec<String> = (0..routers).map(|index| format!("router {index}")).collect();
        let kept = routers.saturating_sub(lost).max(1);
        let mut total = 0.0;
        for (index, me) in names.iter().enumerate() {
            let known = if index % 2 == 0 { routers } else { kept.max(index + 1) };
            let members = names[..known].iter().map(String::as_str);
            let share = rate_share::cold(per_s, me, members, "engine");
            // A token bucket of capacity one admits one request more than its rate.
            total += if share > 0.0 { share + 1.0 } else { 0.0 };
        }
        // The users' bound is one and a half times the rate, plus five. Half of the routers may have another list.
        prop_assert!(total <= 2.0 * (per_s * 1.5 + 5.0), "{total}");
        if lost == 0 {
            prop_assert!(total <= per_s * 1.5 + 5.0, "{total}");
        }
    }

    /// A stream is parsed into the same complete events, in order and once each, wherever it is split into pieces.
    #[test]
    fn verify_events_survive_any_split(cuts in proptest::collection::vec(1_usize..9, 0..40)) {
        let whole = "id: 1\ndata: a\n\nid: 2\ndata: bc\n\nid: 3\ndata: d\n\n";
        let mut splitter = Splitter::default();
        let mut progress = Cursor::default();
        let mut rest = whole.as_bytes();
        let mut bytes = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            splitter.push(piece).unwrap();
            for event in &mut splitter {
                prop_assert_eq!(progress.accept(event.id), Continuity::Next);
                bytes.extend(event.bytes);
            }
        }
        prop_assert_eq!(bytes, whole.as_bytes());
        prop_assert!(splitter.into_rest().is_empty());
    }

    /// As above with each kind of line end. An LF that is split from its CR may be left over at the end.
    #[test]
    fn verify_events_survive_any_split_with_any_line_end(
        cuts in proptest::collection::vec(1_usize..9, 0..40),
        line_end in proptest::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
        let whole = "id: 1\ndata: a\n\nid: 2\ndata: bc\n\nid: 3\ndata: d\n\n".replace('\n', line_end);
        let mut splitter = Splitter::default();
        let mut rest = whole.as_bytes();
        let mut bytes = Vec::new();
        let mut ids = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            splitter.push(piece).unwrap();
            for event in &mut splitter {
                ids.extend(event.id);
                bytes.extend(event.bytes);
            }
        }
        prop_assert_eq!(ids, [1, 2, 3]);
        prop_assert!(!splitter.is_inside_event());
        bytes.extend(splitter.into_rest());
        prop_assert_eq!(bytes, whole.as_bytes());
    }

    /// A stream that is cut at any byte but the end of an event is known to be cut.
    #[test]
    fn verify_cut_inside_an_event_is_detected(cut in 0_usize..=46) {
        let whole = "id: 1\ndata: a\n\nid: 2\ndata: bc\n\nid: 3\ndata: d\n\n";
        let is_boundary = cut == 0 || whole[..cut].ends_with("\n\n");
        prop_assert_eq!(event::ends_inside_event(&whole.as_bytes()[..cut]), !is_boundary);
    }
}

/// The largest number of times that each byte of a stream may be handled: appended, searched, copied and moved.
const HANDLED_MAX: u64 = 4;

/// Work that grows with what is buffered, for each line or each piece, holds up everything else for seconds.
#[rstest]
#[case::line_ends("\n", 512 << 10)]
#[case::line_ends_in_pieces("\n", 4 << 10)]
#[case::carriage_returns("\r", 512 << 10)]
#[case::both("\r\n", 4 << 10)]
#[case::comments(": a\n\n", 64 << 10)]
#[case::events("data: a\n\n", 64 << 10)]
#[case::one_event_in_small_pieces("data", 4)]
#[case::one_event_of_many_lines("data: a\n", 64)]
fn verify_work_for_events_is_in_proportion_to_their_bytes(
    #[case] text: &str,
    #[case] piece: usize,
) {
    let whole = text.repeat((512 << 10) / text.len());
    let mut splitter = Splitter::default();
    let mut bytes = 0;
    for piece in whole.as_bytes().chunks(piece) {
        splitter.push(piece).unwrap();
        bytes += splitter
            .by_ref()
            .map(|event| event.bytes.len())
            .sum::<usize>();
    }
    assert_eq!(bytes + splitter.rest_len(), whole.len());
    let handled = splitter.handled_bytes();
    assert!(handled <= HANDLED_MAX * whole.len() as u64, "{handled}");
}
