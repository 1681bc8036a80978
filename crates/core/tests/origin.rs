//! Tests of the builds at which streams begin and go on.

#![expect(clippy::expect_used, reason = "a test fails by panicking")]

#[path = "support/streams.rs"]
mod streams;

use rstest::rstest;
use sardinemux_core::origin::{
    command, query, Contact, Epoch, Origin, Presence, Register, Settings, Stored, Witness,
};
use sardinemux_core::position::Position;
use smol_str::SmolStr;
use streams::{run, Lapse, Outcome, Policy, Scenario};

/// The users' bound on the streams that go on at another build.
const JOINED_MAX: u32 = 2;

/// The users' bound on the share of streams that go on, against that of new streams that begin.
const RESUMED_MIN: f64 = 0.5;

/// The number of streams taken up from which that bound applies.
const POSSIBLE_MIN: u32 = 12;

const END: u64 = u64::MAX;

/// The time for which a gateway is down that does not come back, in milliseconds.
const GONE: u64 = 60_000;

/// A stream that may begin at a build whose join the store may still lose, and one that may not.
const RECENT: u64 = 4;
const LASTING: u64 = 5;

const RELEASE: Scenario = Scenario {
    gateways: 9,
    streams_per_s: 45.0,
    builds: &[(0, 30_000, 4), (8_000, END, 5)],
    kills: &[
        (12_000, 1.0, 2_000),
        (20_000, 0.1, 1_000),
        (26_000, 0.4, 1_500),
    ],
    outage: (0, 0),
    lapse: None,
    restore: None,
    patience_ms: 0,
    silence_ms: 0,
};

/// A third build while two others serve; the first one leaves.
const OVERLAPPING: Scenario = Scenario {
    builds: &[(0, 22_000, 4), (8_000, END, 3), (15_000, END, 3)],
    kills: &[
        (13_000, 1.0, 1_000),
        (19_000, 1.0, 2_000),
        (40_000, 1.0, 1_000),
    ],
    ..RELEASE
};

/// The new build appears while no gateway is alive.
const APPEARING: Scenario = Scenario {
    builds: &[(0, END, 4), (13_000, END, 5)],
    kills: &[(12_000, 1.0, 2_000)],
    ..RELEASE
};

/// The old build leaves while no gateway is alive.
const LEAVING: Scenario = Scenario {
    builds: &[(0, 12_500, 4), (11_000, END, 5)],
    kills: &[(12_000, 1.0, 2_000), (20_000, 1.0, 1_000)],
    ..RELEASE
};

/// A build leaves and comes back.
const RETURNING: Scenario = Scenario {
    builds: &[(0, 10_000, 4), (8_000, END, 5), (25_000, END, 4)],
    kills: &[(12_000, 0.5, 1_000), (27_000, 1.0, 1_000)],
    ..RELEASE
};

const OUTAGE: Scenario = Scenario {
    outage: (9_000, 16_000),
    kills: &[(12_000, 0.4, 1_000), (22_000, 1.0, 1_000)],
    ..RELEASE
};

/// A new build joins while some gateways are out of step, and others are killed, so that callers take up their streams anywhere.
const fn joining(lapse: Lapse, share: f64) -> Scenario {
    Scenario {
        builds: &[(0, 30_000, 4), (8_000, END, 5)],
        kills: &[(9_700, 0.5, 500), (10_300, 0.5, 500)],
        lapse: Some((7_700, 11_000, share, lapse)),
        ..RELEASE
    }
}

/// The targets of the former build leave as those of the next one are listed.
const fn replacing(lapse: Lapse, share: f64) -> Scenario {
    Scenario {
        builds: &[(0, 8_050, 4), (8_000, END, 5)],
        ..joining(lapse, share)
    }
}

/// A build joins and is taken back, and the store comes back from a copy without it as all gateways are killed.
const TAKEN_BACK: Scenario = Scenario {
    streams_per_s: 180.0,
    builds: &[(0, END, 10), (9_000, 11_800, 2)],
    kills: &[(12_500, 1.0, 500)],
    restore: Some((12_500, 9_000)),
    patience_ms: 8_000,
    ..RELEASE
};

/// The same with gateways that were out of step while the build joined, and that are not killed.
const fn surviving(lapse: Lapse) -> Scenario {
    Scenario {
        lapse: Some((8_500, 13_500, 0.1, lapse)),
        ..TAKEN_BACK
    }
}

/// Gateways fall silent for good before another build is listed, so that their streams have no records.
const SILENT: Scenario = Scenario {
    builds: &[(0, END, 8), (8_000, END, 2)],
    kills: &[(7_700, 0.5, GONE)],
    silence_ms: 4_800,
    ..RELEASE
};

/// A third build joins before those streams are taken up.
const SILENT_JOINS: Scenario = Scenario {
    builds: &[(0, END, 8), (8_000, END, 2), (9_500, END, 2)],
    ..SILENT
};

/// All other gateways start again after the join.
const SILENT_STARTS: Scenario = Scenario {
    kills: &[(7_700, 0.5, GONE), (9_800, 1.0, 500)],
    ..SILENT
};

/// The store comes back from a copy without the join.
const SILENT_RESTORE: Scenario = Scenario {
    restore: Some((9_800, 7_000)),
    ..SILENT
};

const fn large(scenario: Scenario) -> Scenario {
    Scenario {
        gateways: 100,
        streams_per_s: 450.0,
        ..scenario
    }
}

/// Returns the number of seeds; the environment variable `SARDINEMUX_SEEDS` replaces it.
fn seeds(scenario: Scenario) -> u64 {
    let stated = std::env::var("SARDINEMUX_SEEDS").ok();
    let stated = stated.map(|text| text.parse().expect("SARDINEMUX_SEEDS is a number"));
    stated.unwrap_or(if scenario.gateways > 9 { 3 } else { 40 })
}

fn run_all(scenario: Scenario, policy: Policy) -> Vec<Outcome> {
    let seeds = 0..seeds(scenario);
    seeds.map(|seed| run(scenario, policy, seed)).collect()
}

fn print_row(name: &str, policy: Policy, outcomes: &[Outcome]) {
    let sum = |value: fn(&Outcome) -> u32| outcomes.iter().map(value).sum::<u32>();
    let most = outcomes
        .iter()
        .map(|it| it.joined)
        .max()
        .unwrap_or_default();
    let count = outcomes.len() as f64;
    println!(
        "| {name} | {policy:?} | {most} | {:.2} | {:.2} | {:.3} | {:.0} |",
        f64::from(sum(|it| it.resumed)) / f64::from(sum(|it| it.possible).max(1)),
        outcomes
            .iter()
            .filter(|it| it.possible >= POSSIBLE_MIN)
            .map(share)
            .fold(1.0, f64::min),
        f64::from(sum(|it| it.not_begun)) / f64::from(sum(|it| it.begun).max(1)),
        f64::from(sum(|it| it.calls)) / count,
    );
}

fn share(outcome: &Outcome) -> f64 {
    f64::from(outcome.resumed) / f64::from(outcome.possible.max(1))
}

#[rstest]
#[case::release("release", RELEASE)]
#[case::overlapping("overlapping", OVERLAPPING)]
#[case::appearing("appearing", APPEARING)]
#[case::leaving("leaving", LEAVING)]
#[case::returning("returning", RETURNING)]
#[case::outage("outage", OUTAGE)]
#[case::frozen("joining, one stands still", joining(Lapse::Freeze, 0.1))]
#[case::cut("joining, one is cut off", joining(Lapse::Cut, 0.1))]
#[case::apart("joining, a third is cut off", joining(Lapse::Cut, 0.33))]
#[case::replaced("replaced, a third is cut off", replacing(Lapse::Cut, 0.33))]
#[case::taken_back("taken back, the store loses the join", TAKEN_BACK)]
#[case::survivor_frozen("taken back, one stands still", surviving(Lapse::Freeze))]
#[case::silent("silent before a join", SILENT)]
#[case::silent_joins("silent before two joins", SILENT_JOINS)]
#[case::silent_starts("silent before a join, the others start again", SILENT_STARTS)]
#[case::silent_restore("silent before a join, the store loses it", SILENT_RESTORE)]
#[case::survivor_cut("taken back, one is cut off", surviving(Lapse::Cut))]
#[case::large_frozen(
    "joining, a third of 100 stands still",
    large(joining(Lapse::Freeze, 0.33))
)]
#[case::large_apart("joining, a third of 100 is cut off", large(joining(Lapse::Cut, 0.33)))]
#[case::large_release("release, 100 gateways", large(RELEASE))]
#[case::large_overlapping("overlapping, 100 gateways", large(OVERLAPPING))]
#[case::large_outage("outage, 100 gateways", large(OUTAGE))]
fn verify_streams_go_on_at_their_builds(#[case] name: &str, #[case] scenario: Scenario) {
    let outcomes = run_all(scenario, Policy::Epochs);
    print_row(name, Policy::Epochs, &outcomes);
    for (seed, outcome) in outcomes.iter().enumerate() {
        assert!(outcome.joined <= JOINED_MAX, "seed {seed}: {outcome:?}");
        let begun = 1.0 - f64::from(outcome.not_begun) / f64::from(outcome.begun);
        let is_judged = outcome.possible >= POSSIBLE_MIN;
        let is_kept = share(outcome) >= RESUMED_MIN * begun;
        assert!(!is_judged || is_kept, "seed {seed}: {outcome:?}");
        assert!(begun > 0.9, "seed {seed}: {outcome:?}");
    }
    let lost: u32 = outcomes.iter().map(|outcome| outcome.lost).sum();
    assert_eq!(lost > 0, scenario.restore.is_some());
}

#[rstest]
#[case::release("release", RELEASE)]
#[case::overlapping("overlapping", OVERLAPPING)]
#[case::large_release("release, 100 gateways", large(RELEASE))]
fn verify_simulation_joins_builds_or_refuses_most_streams_without_epochs(
    #[case] name: &str,
    #[case] scenario: Scenario,
) {
    let joined = run_all(scenario, Policy::None);
    print_row(name, Policy::None, &joined);
    assert!(joined.iter().all(|outcome| outcome.joined > JOINED_MAX));
    let refused = run_all(scenario, Policy::Memory);
    print_row(name, Policy::Memory, &refused);
    assert!(refused.iter().any(|outcome| share(outcome) < RESUMED_MIN));
    for interval_ms in [80, 250] {
        let policy = Policy::Records(interval_ms);
        let recorded = run_all(scenario, policy);
        print_row(name, policy, &recorded);
        assert!(recorded.iter().all(|outcome| outcome.joined <= JOINED_MAX));
    }
}

fn stored(base: Option<&str>, builds: &[&str], version: u64) -> Option<Stored> {
    let epoch = Epoch {
        base: base.map(SmolStr::from),
        builds: builds.iter().map(|build| SmolStr::from(*build)).collect(),
        ..Epoch::default()
    };
    let position = version.into();
    Some(Stored {
        epoch,
        position,
        written: None,
    })
}

fn observe(register: &mut Register, builds: &[&str], now_ms: u64) {
    let present: Vec<Presence> = builds
        .iter()
        .map(|build| Presence {
            build: (*build).into(),
            slots: 8,
        })
        .collect();
    command::observe(register, &"p".into(), &present, now_ms);
}

/// A write that was delayed until the build is listed again must not take effect.
#[test]
fn verify_build_that_comes_back_is_written_anew_before_streams_begin_there() {
    let settings = Settings::default();
    let mut register = Register::new(settings, 0);
    observe(&mut register, &["v1", "v2"], 0);
    command::note_epoch(
        &mut register,
        &"p".into(),
        stored(None, &["v1", "v2"], 3),
        None,
        0,
    );
    let mut now_ms = 0;
    while now_ms <= settings.absent_ms {
        now_ms += 100;
        observe(&mut register, &["v2"], now_ms);
    }
    observe(&mut register, &["v1", "v2"], now_ms);
    assert_eq!(query::open_builds(&register, "p", RECENT, now_ms), ["v2"]);
    let proposals = query::proposals(&register, now_ms);
    assert_eq!(proposals.len(), 1);
    assert_eq!(proposals[0].expected.version, 3);
    command::note_epoch(
        &mut register,
        &"p".into(),
        stored(None, &["v1", "v2"], 4),
        None,
        now_ms,
    );
    assert_eq!(
        query::open_builds(&register, "p", RECENT, now_ms),
        ["v1", "v2"]
    );
}

/// A stream that began before the second build was listed has no record until then.
#[test]
fn verify_running_streams_are_recorded_before_a_build_joins() {
    let mut register = Register::new(Settings::default(), 0);
    observe(&mut register, &["v1"], 0);
    command::note_epoch(
        &mut register,
        &"p".into(),
        stored(Some("v1"), &["v1"], 1),
        None,
        0,
    );
    let origin = Origin {
        stream: 7,
        pool: "p".into(),
        build: "v1".into(),
    };
    command::begin(&mut register, origin.clone(), 100);
    assert!(!query::has_records(&register));
    observe(&mut register, &["v1", "v2"], 200);
    assert_eq!(query::open_builds(&register, "p", RECENT, 200), ["v1"]);
    assert!(query::proposals(&register, 200).is_empty());
    assert_eq!(command::take_records(&mut register, 10), [origin]);
}

/// The records of streams that have ended would delay those of the running ones.
#[test]
fn verify_stream_that_has_ended_is_not_recorded_when_a_build_is_listed() {
    let mut register = Register::new(Settings::default(), 0);
    observe(&mut register, &["v1"], 0);
    command::note_epoch(
        &mut register,
        &"p".into(),
        stored(Some("v1"), &["v1"], 1),
        None,
        0,
    );
    for stream in 0..3 {
        let origin = Origin {
            stream,
            pool: "p".into(),
            build: "v1".into(),
        };
        command::begin(&mut register, origin, 100);
    }
    command::end(&mut register, 0);
    command::end(&mut register, 2);
    observe(&mut register, &["v1", "v2"], 200);
    let records = command::take_records(&mut register, 10);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].stream, 1);
}

/// An older epoch of another gateway must not open a build that has left.
#[test]
fn verify_older_epoch_is_ignored() {
    let mut register = Register::new(Settings::default(), 0);
    observe(&mut register, &["v1", "v2"], 0);
    command::note_epoch(
        &mut register,
        &"p".into(),
        stored(Some("v2"), &["v2"], 5),
        None,
        0,
    );
    assert!(!command::note_epoch(
        &mut register,
        &"p".into(),
        stored(None, &["v1", "v2"], 4),
        None,
        0
    ));
    assert_eq!(query::open_builds(&register, "p", RECENT, 0), ["v2"]);
}

/// Two builds that are both new have no base, and the only one that is left becomes it.
#[test]
fn verify_base_is_the_only_build_that_streams_can_have_begun_at() {
    let settings = Settings::default();
    let mut register = Register::new(settings, 0);
    command::note_epoch(&mut register, &"p".into(), None, None, 0);
    observe(&mut register, &["v1", "v2"], 0);
    assert_eq!(query::proposals(&register, 0)[0].epoch.base, None);
    command::note_epoch(
        &mut register,
        &"p".into(),
        stored(None, &["v1", "v2"], 1),
        None,
        0,
    );
    let mut now_ms = 0;
    while now_ms < settings.settle_ms() {
        assert!(query::proposals(&register, now_ms).is_empty());
        now_ms += 100;
        observe(&mut register, &["v2"], now_ms);
    }
    let proposal = &query::proposals(&register, now_ms)[0];
    assert_eq!(proposal.epoch.base.as_deref(), Some("v2"));
}

fn at(base: Option<&str>, builds: &[&str], era: u32, version: u64) -> Option<Stored> {
    let epoch = stored(base, builds, version).map(|stored| stored.epoch);
    let position = Position::new(Some(era), version);
    Some(Stored {
        epoch: epoch.unwrap_or_default(),
        position,
        written: Some(1),
    })
}

fn note(register: &mut Register, stored: Option<Stored>, era: u32, now_ms: u64) {
    command::note_epoch(register, &"p".into(), stored, Some(era), now_ms);
}

/// A base that has gone back would let streams that began at the lost build go on at another one.
#[rstest]
#[case::older_row(at(Some("v1"), &["v1"], 2, 3))]
#[case::no_row(None)]
fn verify_epoch_does_not_go_back_with_the_store(#[case] restored: Option<Stored>) {
    let mut register = Register::new(Settings::default(), 0);
    observe(&mut register, &["v1", "v2"], 0);
    note(&mut register, at(None, &["v1", "v2"], 1, 9), 1, 0);
    let origin = Origin {
        stream: 7,
        pool: "p".into(),
        build: "v2".into(),
    };
    command::begin(&mut register, origin.clone(), 0);
    assert_eq!(
        command::take_records(&mut register, 10),
        std::slice::from_ref(&origin)
    );
    let version = restored
        .as_ref()
        .map_or(0, |stored| stored.position.version);
    note(&mut register, restored, 2, 100);
    let known = query::epoch(&register, "p").map(|stored| &stored.epoch);
    assert_eq!(known.and_then(|epoch| epoch.base.as_ref()), None);
    assert_eq!(
        query::open_builds(&register, "p", RECENT, 100),
        ["v1", "v2"]
    );
    let proposals = query::proposals(&register, 100);
    assert_eq!(proposals[0].epoch.builds, ["v1", "v2"]);
    assert_eq!(proposals[0].expected, Position::new(Some(2), version));
    // The record of the stream may be lost too.
    assert_eq!(command::take_records(&mut register, 10), [origin]);
    note(&mut register, at(None, &["v1", "v2"], 2, 12), 2, 200);
    assert!(query::proposals(&register, 200).is_empty());
}

fn base(register: &Register) -> Option<SmolStr> {
    query::epoch(register, "p").and_then(|it| it.epoch.base.clone())
}

/// A gateway that has started after a restore cannot know whether a build had joined that the copy lacks.
#[rstest]
#[case::another_build(&["v1", "v2"], None)]
#[case::alone(&["v1"], Some("v1"))]
fn verify_base_of_an_earlier_era_is_not_believed_while_older_streams_can_be_taken_up(
    #[case] builds: &[&str],
    #[case] expected: Option<&str>,
) {
    let settings = Settings::default();
    let mut register = Register::new(settings, 0);
    note(&mut register, at(Some("v1"), &["v1"], 2, 3), 2, 0);
    let mut now_ms = 0;
    while now_ms < settings.stream_ms {
        observe(&mut register, builds, now_ms);
        assert_eq!(base(&register), None);
        let found = |stream| query::unrecorded_build(&register, "p", stream, now_ms);
        assert_eq!(found(RECENT), None);
        let expected = expected.filter(|_| now_ms >= settings.doubt_ms);
        assert_eq!(found(LASTING).as_deref(), expected);
        now_ms += 100;
    }
    observe(&mut register, builds, now_ms);
    let proposal = &query::proposals(&register, now_ms)[0];
    assert_eq!(proposal.epoch.base.as_deref(), expected);
}

/// An epoch that the store has lost leaves none behind: the listed build need not be the one at which streams began.
#[rstest]
#[case::first_start(true, Some(1), Some("v1"))]
#[case::no_eras(false, None, Some("v1"))]
#[case::later_start(false, Some(1), None)]
#[case::later_era(true, Some(2), None)]
fn verify_missing_epoch_is_no_knowledge_after_a_start(
    #[case] is_first_start: bool,
    #[case] era: Option<u32>,
    #[case] expected: Option<&str>,
) {
    let settings = Settings::default();
    let mut register = Register::new(settings, 0);
    if is_first_start {
        command::note_first_start(&mut register);
    }
    command::note_epoch(&mut register, &"p".into(), None, era, 0);
    observe(&mut register, &["v1"], 0);
    let epoch = query::proposals(&register, 0)[0].epoch.clone();
    assert_eq!(epoch.base.as_deref(), expected);
    let stored = Stored {
        epoch,
        position: Position::new(era, 1),
        written: era,
    };
    command::note_epoch(&mut register, &"p".into(), Some(stored), era, 0);
    let mut now_ms = 0;
    while expected.is_none() && now_ms < settings.stream_ms {
        observe(&mut register, &["v1"], now_ms);
        assert!(query::proposals(&register, now_ms).is_empty());
        assert_eq!(
            query::unrecorded_build(&register, "p", LASTING, now_ms),
            None
        );
        now_ms += 100;
    }
    let known = base(&register).or_else(|| {
        observe(&mut register, &["v1"], now_ms);
        query::proposals(&register, now_ms)[0].epoch.base.clone()
    });
    assert_eq!(known.as_deref(), Some("v1"));
}

/// A gateway that was out of touch while a build joined must not write the base of the copy into the new era.
#[rstest]
#[case::in_touch(100, Some("v1"))]
#[case::out_of_touch(4_000, None)]
fn verify_survivor_of_a_restore_states_the_base_only_if_it_knows_the_last_join(
    #[case] gap_ms: u64,
    #[case] expected: Option<&str>,
) {
    let settings = Settings::default();
    let mut register = Register::new(settings, 0);
    observe(&mut register, &["v1"], 0);
    note(&mut register, at(Some("v1"), &["v1"], 1, 3), 1, 0);
    command::note_current(&mut register, Some(1), 10_000);
    // A contact in the new era says nothing of the former one.
    command::note_current(&mut register, Some(2), 10_000 + gap_ms);
    let now_ms = 10_000 + gap_ms;
    observe(&mut register, &["v1"], now_ms);
    note(&mut register, at(Some("v1"), &["v1"], 2, 3), 2, now_ms);
    assert_eq!(base(&register).as_deref(), expected);
    let due_ms = now_ms + settings.confirm_ms;
    observe(&mut register, &["v1"], due_ms);
    let proposals = query::proposals(&register, due_ms);
    let proposed = proposals.first().and_then(|it| it.epoch.base.as_deref());
    assert_eq!(proposed, expected);
}

/// Another gateway tells an epoch without the era in which it was written.
#[test]
fn verify_epoch_that_was_told_is_doubted_once_the_store_dates_it() {
    let mut register = Register::new(Settings::default(), 0);
    let mut told = at(Some("v1"), &["v1"], 2, 3);
    told.iter_mut().for_each(|told| told.written = None);
    note(&mut register, told, 2, 0);
    assert_eq!(base(&register).as_deref(), Some("v1"));
    note(&mut register, at(Some("v1"), &["v1"], 2, 3), 2, 100);
    assert_eq!(base(&register), None);
    assert_eq!(query::epochs(&register).count(), 0);
}

fn after_join(register: &mut Register, former_base: Option<&str>, version: u64, now_ms: u64) {
    let mut joined = at(None, &["v1", "v2"], 1, version);
    joined
        .iter_mut()
        .for_each(|it| it.epoch.former_base = former_base.map(SmolStr::from));
    note(register, joined, 1, now_ms);
}

fn unrecorded(register: &Register, now_ms: u64) -> [Option<SmolStr>; 2] {
    [LASTING, RECENT].map(|stream| query::unrecorded_build(register, "p", stream, now_ms))
}

/// The gateway of a stream was lost before it heard of the join, and this one has started after it.
#[rstest]
#[case::kept(true, Some("v1"))]
#[case::with_gateways_of_an_earlier_build(false, None)]
fn verify_stream_without_a_record_is_not_refused_after_a_join(
    #[case] keeps_former_base: bool,
    #[case] expected: Option<&str>,
) {
    let mut register = Register::new(Settings::default(), 0);
    command::set_keeps_former_base(&mut register, keeps_former_base);
    after_join(&mut register, Some("v1"), 2, 0);
    observe(&mut register, &["v1", "v2"], 0);
    assert_eq!(
        unrecorded(&register, 0),
        [expected.map(SmolStr::from), None]
    );
    assert_eq!(query::open_builds(&register, "p", LASTING, 0), ["v1"]);
    assert_eq!(query::open_builds(&register, "p", RECENT, 0), ["v1", "v2"]);
}

/// A stream that can have begun at a build that joined must not go on at the former base.
#[rstest]
#[case::kept(4, 8, 0, true, Some("v1"))]
#[case::few_slots(3, 8, 0, true, None)]
#[case::no_slots(0, 0, 0, true, None)]
#[case::gateway_of_an_earlier_build(4, 8, 0, false, None)]
#[case::old(4, 8, 30_000, true, None)]
fn verify_former_base_ends_before_streams_begin_elsewhere(
    #[case] slots: u32,
    #[case] all_slots: u32,
    #[case] age_ms: u64,
    #[case] keeps_former_base: bool,
    #[case] expected: Option<&str>,
) {
    let mut register = Register::new(Settings::default(), 0);
    command::set_keeps_former_base(&mut register, true);
    after_join(&mut register, Some("v1"), 2, 0);
    command::set_keeps_former_base(&mut register, keeps_former_base);
    let presence = |build: &str, slots| Presence {
        build: build.into(),
        slots,
    };
    let present = [presence("v1", slots), presence("v2", all_slots - slots)];
    command::observe(&mut register, &"p".into(), &present, age_ms);
    assert_eq!(query::open_builds(&register, "p", LASTING, age_ms), ["v1"]);
    let proposals = query::proposals(&register, age_ms);
    let proposed = proposals.first().map(|it| it.epoch.former_base.as_deref());
    assert_eq!(proposed.unwrap_or(Some("v1")), expected);
    if expected.is_none() {
        after_join(&mut register, None, 3, age_ms);
        assert_eq!(unrecorded(&register, age_ms), [None, None]);
    }
}

/// The former base must outlive a second join and a build that comes back, and end when its targets leave.
#[test]
fn verify_former_base_is_that_of_the_first_join() {
    let settings = Settings::default();
    let mut register = Register::new(settings, 0);
    command::set_keeps_former_base(&mut register, true);
    after_join(&mut register, Some("v1"), 2, 0);
    observe(&mut register, &["v1", "v2"], 0);
    let mut now_ms = 0;
    while now_ms <= settings.absent_ms {
        now_ms += 100;
        observe(&mut register, &["v1"], now_ms);
    }
    observe(&mut register, &["v1", "v2"], now_ms);
    let returned = query::proposals(&register, now_ms)[0].epoch.clone();
    assert_eq!(returned.builds, ["v1", "v2"]);
    assert_eq!(returned.former_base.as_deref(), Some("v1"));
    let presence = |build: &str, slots| Presence {
        build: build.into(),
        slots,
    };
    let present = [presence("v1", 8), presence("v2", 4), presence("v3", 2)];
    command::observe(&mut register, &"p".into(), &present, now_ms);
    let joined = query::proposals(&register, now_ms)[0].epoch.clone();
    assert_eq!(joined.builds, ["v1", "v2", "v3"]);
    assert_eq!(joined.former_base.as_deref(), Some("v1"));
    command::observe(&mut register, &"p".into(), &present[1..], now_ms);
    let left = query::proposals(&register, now_ms)[0].epoch.clone();
    assert_eq!((left.base, left.former_base), (None, None));
}

/// A copy of the store may lack the join, or the end of the former base.
#[rstest]
#[case::without_the_join(true, Some("v1"), at(Some("v1"), &["v1"], 2, 1), Some("v1"))]
#[case::after_the_end(true, None, with_former_base(2), None)]
#[case::another_base(true, Some("v1"), at(Some("v0"), &["v0"], 2, 1), None)]
#[case::out_of_touch(false, Some("v1"), with_former_base(2), None)]
fn verify_former_base_is_believed_after_a_restore_only_where_it_is_certain(
    #[case] is_in_touch: bool,
    #[case] known: Option<&str>,
    #[case] copy: Option<Stored>,
    #[case] expected: Option<&str>,
) {
    let mut register = Register::new(Settings::default(), 0);
    command::set_keeps_former_base(&mut register, true);
    observe(&mut register, &["v1", "v2"], 0);
    after_join(&mut register, known, 3, 0);
    if is_in_touch {
        command::note_current(&mut register, Some(1), 4_000);
    }
    note(&mut register, copy, 2, 4_000);
    let expected = expected.map(SmolStr::from);
    assert_eq!(unrecorded(&register, 4_000), [expected.clone(), None]);
    observe(&mut register, &["v1", "v2"], 5_100);
    let proposals = query::proposals(&register, 5_100);
    assert_eq!(proposals[0].epoch.base, None);
    assert_eq!(proposals[0].epoch.former_base, expected);
}

fn with_former_base(era: u32) -> Option<Stored> {
    let mut stored = at(None, &["v1", "v2"], era, 2);
    stored
        .iter_mut()
        .for_each(|it| it.epoch.former_base = Some("v1".into()));
    stored
}

/// A gateway that has started after a restore cannot know whether the former base had ended.
#[test]
fn verify_former_base_of_an_earlier_era_is_not_believed_after_a_start() {
    let mut register = Register::new(Settings::default(), 0);
    command::set_keeps_former_base(&mut register, true);
    note(&mut register, with_former_base(2), 2, 0);
    assert_eq!(unrecorded(&register, 0), [None, None]);
    let proposal = &query::proposals(&register, 5_000)[0];
    assert_eq!(proposal.epoch.former_base, None);
}

/// A stream at a build whose join gets lost must not look like one of the base.
#[rstest]
#[case::fresh(8, 4_000, &["v1"])]
#[case::old(8, 20_000, &["v1", "v2"])]
#[case::few_slots(2, 4_000, &["v1", "v2"])]
fn verify_most_streams_begin_at_the_first_build_while_the_store_may_lose_the_join_of_another(
    #[case] slots: u32,
    #[case] now_ms: u64,
    #[case] expected: &[&str],
) {
    let mut register = Register::new(Settings::default(), 0);
    let presence = |build: &str, slots| Presence {
        build: build.into(),
        slots,
    };
    let present = [presence("v1", slots), presence("v2", 8)];
    note(&mut register, at(None, &["v1", "v2"], 1, 9), 1, 0);
    for at_ms in (0..=now_ms).step_by(100) {
        command::observe(&mut register, &"p".into(), &present, at_ms);
    }
    let open = |stream| query::open_builds(&register, "p", stream, now_ms);
    assert_eq!(open(LASTING), expected);
    assert_eq!(open(RECENT), ["v1", "v2"]);
}

/// An epoch that nothing has changed is written again in the new era, so that gateways that start believe it at once.
#[test]
fn verify_epoch_is_written_again_in_a_new_era() {
    let settings = Settings::default();
    let mut register = Register::new(settings, 0);
    observe(&mut register, &["v1"], 0);
    note(&mut register, at(Some("v1"), &["v1"], 1, 3), 1, 0);
    command::note_current(&mut register, Some(1), 0);
    note(&mut register, at(Some("v1"), &["v1"], 2, 3), 2, 100);
    assert_eq!(base(&register).as_deref(), Some("v1"));
    assert!(query::proposals(&register, 100).is_empty());
    let due_ms = 100 + settings.confirm_ms;
    observe(&mut register, &["v1"], due_ms);
    let proposals = query::proposals(&register, due_ms);
    assert_eq!(proposals[0].epoch.base.as_deref(), Some("v1"));
}

/// The simulation must show the fault in gateways that take an old list, or an outage that only some of them see, for certain.
#[rstest]
#[case::frozen("frozen", joining(Lapse::Freeze, 0.1))]
#[case::apart("apart", joining(Lapse::Cut, 0.33))]
#[case::large_frozen("frozen, 100 gateways", large(joining(Lapse::Freeze, 0.33)))]
#[case::large_apart("apart, 100 gateways", large(joining(Lapse::Cut, 0.33)))]
fn verify_simulation_joins_builds_where_gateways_are_credulous(
    #[case] name: &str,
    #[case] scenario: Scenario,
) {
    let outcomes = run_all(scenario, Policy::Credulous);
    print_row(name, Policy::Credulous, &outcomes);
    let joined: u32 = outcomes.iter().map(|outcome| outcome.joined).sum();
    assert!(joined > 0);
}

/// A base is certain without the store only where no other build can have joined unnoticed.
#[rstest]
#[case::recent(true, 600, &[(Some(100), true)], true)]
#[case::stood_still(false, 600, &[(Some(100), false)], false)]
#[case::followed(true, 2_000, &[(Some(100), false), (Some(100), true)], false)]
#[case::outage(true, 2_000, &[(Some(100), false), (Some(100), false)], true)]
#[case::silent(true, 2_000, &[(Some(100), false), (None, false)], false)]
#[case::old_reports(true, 2_000, &[(Some(900), false), (Some(900), false)], false)]
fn verify_base_is_certain_only_where_no_build_can_have_joined(
    #[case] is_refreshed: bool,
    #[case] age_ms: u64,
    #[case] reports: &[(Option<u64>, bool)],
    #[case] expected: bool,
) {
    let mut register = Register::new(Settings::default(), 0);
    let stored = Stored {
        epoch: Epoch {
            base: Some("v1".into()),
            builds: vec!["v1".into()],
            ..Epoch::default()
        },
        position: 1.into(),
        written: None,
    };
    command::note_epoch(&mut register, &"p".into(), Some(stored), None, 0);
    let present = [Presence {
        build: "v1".into(),
        slots: 4,
    }];
    let witness = |(report_age_ms, is_following): &(Option<u64>, bool)| Witness {
        report_age_ms: *report_age_ms,
        is_following: *is_following,
    };
    let contact = Contact {
        is_refreshed,
        age_ms,
        witnesses: reports.iter().map(witness).collect(),
    };
    let found = query::certain_base(&register, "p", &present, &contact);
    assert_eq!(found.is_some(), expected);
}

/// A build that joins as soon as it is listed joins before gateways that are just out of step have had to notice.
#[test]
fn verify_no_build_joins_sooner_where_the_others_have_few_slots() {
    let mut register = Register::new(Settings::default(), 0);
    let pool = SmolStr::from("p");
    let stored = Stored {
        epoch: Epoch {
            base: Some("v1".into()),
            builds: vec!["v1".into()],
            ..Epoch::default()
        },
        position: 1.into(),
        written: None,
    };
    command::note_epoch(&mut register, &pool, Some(stored), None, 0);
    let presence = |build: &str, slots| Presence {
        build: build.into(),
        slots,
    };
    let present = [presence("v1", 0), presence("v2", 8)];
    let settings = Settings::default();
    for now_ms in (0..=settings.join_ms).step_by(100) {
        command::observe(&mut register, &pool, &present, now_ms);
        let is_due = !query::proposals(&register, now_ms).is_empty();
        assert_eq!(is_due, now_ms >= settings.join_ms, "{now_ms}");
    }
}
