//! Tests of the memory that all holders share.

use std::sync::Arc;

use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::memory::{Budget, Class, Share, SMALL_BYTES};

const HOLDERS: usize = 12;

const LIMIT_BYTES: usize = 40 * SMALL_BYTES;

const CLASSES: [Class; 4] = [
    Class::Connection,
    Class::Request,
    Class::Body,
    Class::Answer,
];

/// Holders that grow without end, the more of them the worse, leave nothing to sound requests.
#[rstest]
#[case::answers(Class::Answer, 8)]
#[case::bodies(Class::Body, 16)]
fn verify_endless_holders_leave_room_for_small_ones(
    #[case] class: Class,
    #[case] left_divisor: usize,
) {
    for count in 1..=8 {
        let budget = Arc::new(Budget::new(LIMIT_BYTES));
        let mut endless: Vec<Share> = (0..count)
            .map(|_| Share::new(budget.clone(), class))
            .collect();
        let mut is_growing = true;
        while is_growing {
            is_growing = false;
            for share in &mut endless {
                is_growing |= share.try_resize(share.size() + SMALL_BYTES / 4);
            }
        }
        let least = (LIMIT_BYTES - LIMIT_BYTES / left_divisor) / (count + 1);
        assert!(endless
            .iter()
            .all(|share| share.size() + SMALL_BYTES >= least));
        let mut sound = Share::new(budget.clone(), class);
        assert!(sound.try_resize(SMALL_BYTES), "{count}");
    }
}

/// Endless answers that are given up and begin anew take the last bytes while large ones wait, so that no request is accepted.
#[test]
fn verify_answers_that_begin_anew_leave_room_for_requests() {
    let budget = Arc::new(Budget::new(LIMIT_BYTES));
    let hold = |class: Class, size: usize| {
        let mut share = Share::new(budget.clone(), class);
        share.try_resize(size).then_some(share)
    };
    let mut answers = Vec::new();
    while let Some(large) = hold(Class::Answer, 4 * SMALL_BYTES) {
        answers.push(large);
    }
    for _ in 0..100 {
        let mut size = 1 << 10;
        while let Some(next) = hold(Class::Answer, size) {
            answers.push(next);
            size *= 2;
        }
        let request = hold(Class::Request, SMALL_BYTES / 2);
        let body = hold(Class::Body, SMALL_BYTES);
        assert!(request.is_some() && body.is_some(), "{}", answers.len());
    }
}

proptest! {
    /// Sums that are wrong by what a holder gave back, split off or was refused let the process exceed its memory.
    #[test]
    fn verify_holders_together_keep_the_bound(
        steps in prop::collection::vec((0..HOLDERS, 0..LIMIT_BYTES, 0..3_u8), 1..200),
    ) {
        let budget = Arc::new(Budget::new(LIMIT_BYTES));
        let mut holders: Vec<Share> = (0..HOLDERS).map(|index| Share::new(budget.clone(), CLASSES[index % CLASSES.len()])).collect();
        let mut parts = Vec::new();
        for (index, size, action) in steps {
            let holder = &mut holders[index];
            let before = holder.size();
            match action {
                0 => {
                    let is_resized = holder.try_resize(size);
                    prop_assert!(is_resized || size > before);
                    prop_assert_eq!(holder.size(), if is_resized { size } else { before });
                }
                1 => parts.push(holder.split_off(size)),
                _ => parts.clear(),
            }
            let held: usize = holders.iter().chain(&parts).map(Share::size).sum();
            prop_assert_eq!(budget.used(), held);
            prop_assert!(held <= LIMIT_BYTES);
        }
    }
}
