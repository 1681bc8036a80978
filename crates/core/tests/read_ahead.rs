//! Tests of the bound on the bytes that are read ahead.

use std::sync::Arc;

use proptest::prelude::*;
use sardinemux_core::read_ahead::{Budget, Share, LARGEST_BYTES, OWN_BYTES};

const LIMIT_BYTES: usize = 3 << 20;

const CONNECTIONS: usize = 12;

proptest! {
    /// Callers that send much ahead fill the memory of a gateway, or leave nothing to the others.
    #[test]
    fn verify_connections_together_keep_the_bound(
        steps in prop::collection::vec((0..CONNECTIONS, 0..2 * LARGEST_BYTES, any::<bool>()), 1..200),
    ) {
        let budget = Arc::new(Budget::new(LIMIT_BYTES));
        let share = || (Share::new(budget.clone(), OWN_BYTES), 0);
        let mut connections: Vec<(Share, usize)> = (0..CONNECTIONS).map(|_| share()).collect();
        for (index, bytes, is_ended) in steps {
            let (connection, held) = &mut connections[index];
            if is_ended {
                connections[index] = share();
            } else if bytes <= *held {
                connection.shrink(bytes);
                *held = bytes;
            } else {
                let may_grow = connection.try_grow(bytes);
                prop_assert!(may_grow || bytes > OWN_BYTES);
                prop_assert!(!may_grow || bytes <= LARGEST_BYTES);
                *held = if may_grow { bytes } else { *held };
            }
            let beyond = connections.iter().map(|(_, held)| held.saturating_sub(OWN_BYTES));
            let beyond: usize = beyond.sum();
            prop_assert_eq!(budget.used(), beyond);
            prop_assert!(beyond <= LIMIT_BYTES);
        }
        drop(connections);
        prop_assert_eq!(budget.used(), 0);
    }
}
