//! Tests of fleets whose store comes back from an older copy.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/restores.rs"]
mod restores;

use restores::{Fleet, TICK_MS, ZONES};
use rstest::rstest;
use sardinemux_core::readers::ReaderState;

/// The users' bound on the time until a change is in force at all gateways, in milliseconds.
const PROPAGATION_MAX_MS: u64 = 2_000;

/// What happens around a restore.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    /// Half of the gateways are cut off from the store all the while.
    HalfCut,
    /// Every second gateway is of a build without eras.
    Mixed,
    /// Every second gateway is of a build that states its catalogue and does not compare it.
    Former,
    /// A third of the gateways start between the restore and the operators' next write.
    Starts,
}

/// Gateways that compare versions of two eras skip what is written after a restore, once or twice in a row, whether or not the
/// versions have passed the former ones before gateways read again.
#[rstest]
fn verify_changes_after_restores_reach_all(
    #[values(9, 100)] gateways: usize,
    #[values(
        Trouble::None,
        Trouble::HalfCut,
        Trouble::Mixed,
        Trouble::Former,
        Trouble::Starts
    )]
    trouble: Trouble,
    #[values(false, true)] passes: bool,
) {
    let seeds = if gateways > 9 { 3 } else { 20 };
    for seed in 0..seeds {
        let is_mixed = matches!(trouble, Trouble::Mixed);
        let mut fleet = Fleet::new(gateways, seed, |index| is_mixed && index % 2 == 0);
        if matches!(trouble, Trouble::Former) {
            for gateway in fleet.gateways.iter_mut().step_by(2) {
                gateway.compares = false;
            }
        }
        fleet.run(4_000);
        let mut catalog = 1;
        for _ in 0..2 {
            let copy = fleet.store.clone();
            for _ in 0..20 {
                catalog += 1;
                fleet.store.write("config", catalog);
                fleet.run(100);
            }
            fleet.run(PROPAGATION_MAX_MS);
            assert_eq!(
                fleet.late(catalog),
                Vec::<&str>::new(),
                "before, seed {seed}"
            );
            if matches!(trouble, Trouble::HalfCut) {
                for gateway in fleet.gateways.iter_mut().skip(1).step_by(2) {
                    gateway.is_cut = true;
                }
            }
            let former = fleet.store.version;
            fleet.store.restore(&copy);
            if !passes {
                fleet.run(600);
            }
            if matches!(trouble, Trouble::Starts) {
                for index in (0..gateways).step_by(3) {
                    fleet.start_anew(index);
                }
                fleet.run(PROPAGATION_MAX_MS);
                assert_eq!(
                    fleet.late(catalog),
                    Vec::<&str>::new(),
                    "started, seed {seed}"
                );
            }
            // Operators write their state again, and then the next one.
            fleet.store.write("config", catalog);
            catalog += 1;
            fleet.store.write("config", catalog);
            while passes && fleet.store.version <= former {
                fleet.store.version += 1;
            }
            fleet.run(PROPAGATION_MAX_MS);
            assert_eq!(
                fleet.late(catalog),
                Vec::<&str>::new(),
                "after, seed {seed}"
            );
            for gateway in &mut fleet.gateways {
                gateway.is_cut = false;
            }
            fleet.run(2_000);
        }
        assert!(
            fleet.passed > fleet.refused,
            "{} requests that were passed on were served, {} refused",
            fleet.passed,
            fleet.refused
        );
    }
}

/// Two gateways of a zone that read at once for long would double the calls to the store.
#[test]
fn verify_restore_does_not_make_all_gateways_read() {
    let mut fleet = Fleet::new(100, 1, |_| false);
    fleet.run(4_000);
    let copy = fleet.store.clone();
    fleet.run(1_000);
    fleet.store.restore(&copy);
    let mut most = 0;
    for _ in 0..40 {
        fleet.run(TICK_MS);
        let reading = fleet
            .gateways
            .iter()
            .filter(|it| it.state != ReaderState::Idle);
        most = most.max(reading.count());
    }
    assert!(most <= 2 * ZONES.len(), "{most} gateways read at once");
}

/// What happens between restores that follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    Nothing,
    /// All readers are replaced by gateways that have just started.
    ReadersStart,
    /// A third of the gateways stands still, the readers first.
    Standstill,
    /// A gateway of each zone starts, and others stand still.
    Both,
}

/// How long a gateway stands still, in milliseconds.
const STANDSTILL_MS: u64 = 1_500;

/// A gateway that meets the next restore before it has read the list of the last one misses what is written afterwards.
#[rstest]
fn verify_change_after_a_series_of_restores_reaches_all(
    #[values(9, 100)] gateways: usize,
    #[values(
        Between::Nothing,
        Between::ReadersStart,
        Between::Standstill,
        Between::Both
    )]
    between: Between,
    #[values(TICK_MS, 400)] interval_ms: u64,
) {
    const RESTORES: usize = 3;
    let seeds = if gateways > 9 { 3 } else { 20 };
    for seed in 0..seeds {
        let mut fleet = Fleet::new(gateways, seed, |_| false);
        fleet.run(4_000);
        let copy = fleet.store.clone();
        let mut catalog = 1;
        for _ in 0..20 {
            catalog += 1;
            fleet.store.write("config", catalog);
            fleet.run(100);
        }
        fleet.run(PROPAGATION_MAX_MS);
        for round in 0..RESTORES {
            fleet.store.restore(&copy);
            fleet.run(interval_ms);
            let readers = (0..gateways).filter(|index| {
                let state = fleet.gateways[*index].state;
                state == ReaderState::Following || index % 3 == round
            });
            let concerned: Vec<usize> = readers.take(gateways / 3).collect();
            for index in concerned {
                let starts = match between {
                    Between::Nothing => continue,
                    Between::ReadersStart => true,
                    Between::Standstill => false,
                    Between::Both => index % 2 == 0,
                };
                match starts {
                    true => fleet.start_anew(index),
                    false => fleet.gateways[index].frozen_until_ms = fleet.now_ms + STANDSTILL_MS,
                }
            }
            // Operators write again what the copy lacks.
            fleet.store.write("config", catalog);
        }
        catalog += 1;
        fleet.store.write("config", catalog);
        let frozen = fleet.gateways.iter().map(|it| it.frozen_until_ms).max();
        let left_ms = frozen.unwrap_or_default().saturating_sub(fleet.now_ms);
        fleet.run(left_ms + PROPAGATION_MAX_MS);
        assert_eq!(fleet.late(catalog), Vec::<&str>::new(), "seed {seed}");
    }
}
