//! Tests of the targets that stay in use although the platform's list lacks them.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use indexmap::IndexSet;
use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::readers::RETRY_DELAY_MAX_MS;
use sardinemux_core::roster::absence::{self, Absence};
use sardinemux_core::roster::{command, query, Announcement, Roster, Settings};
use sardinemux_core::target::{Kind, Target};
use smol_str::SmolStr;

/// The time after the end of a cut from which a router counts as in touch, in milliseconds.
const IN_TOUCH_MS: u64 = 3_000;

fn roster(pools: &[(&str, usize)]) -> Roster {
    let mut roster = Roster::default();
    for (pool, targets) in pools {
        for number in 0..*targets {
            let target = Target {
                id: format!("{pool}{number}").into(),
                kind: Kind::Engine,
                pool: (*pool).into(),
                address: "127.0.0.1:1".into(),
                zone: "z1".into(),
                region: "r1".into(),
                slots: 8,
                leaving: false,
                build: "v1".into(),
            };
            let announcement = Announcement {
                target,
                lifetime: 1,
                cold_ms: 0,
            };
            command::apply_announcement(&mut roster, announcement, 0);
        }
    }
    roster
}

fn ids(ids: &[&str]) -> IndexSet<SmolStr> {
    ids.iter().map(|id| SmolStr::from(*id)).collect()
}

#[rstest]
#[case::one_of_three(&["a0"], &[])]
#[case::two_of_three(&["a0", "a1"], &["a0", "a1"])]
#[case::all_of_a_pool_of_one(&["a0", "b0"], &["b0"])]
#[case::unknown(&["x"], &[])]
fn verify_few_missing_targets_do_not_pass_for_an_outage(
    #[case] unlisted: &[&str],
    #[case] expected: &[&str],
) {
    let roster = roster(&[("a", 3), ("b", 1)]);
    assert_eq!(absence::find_lapsed(&roster, &ids(unlisted)), ids(expected));
}

/// Targets that are already missing, or leave, do not add to the share.
#[test]
fn verify_targets_that_are_not_in_use_do_not_count() {
    let mut roster = roster(&[("a", 5)]);
    let leaving = query::key(&roster, "a4").unwrap();
    command::note_leaving(&mut roster, leaving, 0);
    let absence = Absence::after_outage(&Settings::default(), None, 0);
    for id in ["a2", "a3"] {
        command::remove_target(&mut roster, id, Some(absence), 0);
    }
    let unlisted = ids(&["a0", "a3", "a4"]);
    assert_eq!(absence::find_lapsed(&roster, &unlisted), ids(&["a0"]));
}

#[test]
fn verify_targets_that_an_older_copy_lacks_stay_although_the_store_is_followed() {
    let mut roster = roster(&[("a", 2)]);
    let settings = Settings::default();
    let absences = [
        Absence::after_outage(&settings, None, 0),
        Absence::after_restore(&settings, 0),
    ];
    for (id, absence) in ["a0", "a1"].into_iter().zip(absences) {
        command::remove_target(&mut roster, id, Some(absence), 0);
    }
    assert_eq!(command::remove_lapsed(&mut roster, 1), ["a0"]);
    assert!(query::key(&roster, "a1").is_some());
}

proptest! {
    /// A router that retries at the full rate is not in touch while it uses them, and live targets are listed again by then.
    #[test]
    fn verify_unlisted_targets_go_before_the_router_is_in_touch(
        failed_ms in 0_u64..1_000_000,
        delay_ms in 0..=RETRY_DELAY_MAX_MS,
    ) {
        let settings = Settings::default();
        let read_ms = failed_ms + delay_ms;
        let absence = Absence::after_outage(&settings, Some(failed_ms), read_ms);
        prop_assert!(absence.until_ms < failed_ms + IN_TOUCH_MS);
        prop_assert!(absence.until_ms >= read_ms + settings.rewrite_ms);
    }
}
