//! Tests of the memory that all holders share.

use std::sync::Arc;

use proptest::prelude::*;
use sardinemux_core::memory::{Budget, Share, SMALL_BYTES};

const HOLDERS: usize = 12;

const LIMIT_BYTES: usize = 40 * SMALL_BYTES;

/// Holders that grow without end, the more of them the worse, leave nothing to sound requests.
#[test]
fn verify_endless_holders_leave_room_for_small_ones() {
    for count in 1..=8 {
        let budget = Arc::new(Budget::new(LIMIT_BYTES));
        let mut endless: Vec<Share> = (0..count).map(|_| Share::new(budget.clone())).collect();
        let mut is_growing = true;
        while is_growing {
            is_growing = false;
            for share in &mut endless {
                is_growing |= share.try_resize(share.size() + SMALL_BYTES / 4);
            }
        }
        let least = LIMIT_BYTES / (count + 1);
        assert!(endless
            .iter()
            .all(|share| share.size() + SMALL_BYTES >= least));
        let mut sound = Share::new(budget.clone());
        assert!(sound.try_resize(SMALL_BYTES), "{count}");
    }
}

proptest! {
    /// Sums that are wrong by what a holder gave back, split off or was refused let the process exceed its memory.
    #[test]
    fn verify_holders_together_keep_the_bound(
        steps in prop::collection::vec((0..HOLDERS, 0..LIMIT_BYTES, 0..3_u8), 1..200),
    ) {
        let budget = Arc::new(Budget::new(LIMIT_BYTES));
        let mut holders: Vec<Share> = (0..HOLDERS).map(|_| Share::new(budget.clone())).collect();
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
