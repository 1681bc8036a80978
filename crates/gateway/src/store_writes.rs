//! What a gateway writes into the store again after the store has come back from an older copy: its own entry, and the prompt parts
//! that are held. Epochs and records of streams are written again by [`origins`](crate::origins).

use std::time::Duration;

use rand::Rng;
use tokio::time;

use crate::prelude::*;
use crate::quarantine;
use crate::run;
use crate::source::Source;

/// The range over which gateways write again, so that a large fleet does not write at once.
const WRITE_SPREAD: Duration = Duration::from_secs(2);

/// Returns a random part of a range.
pub fn spread(range: Duration) -> Duration {
    range.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Writes again after each restore of the store. Never returns.
pub async fn run(gateway: Arc<Gateway>, source: Arc<Source>) {
    let mut eras = gateway.era.subscribe();
    let mut known = eras.borrow_and_update().era;
    while eras.changed().await.is_ok() {
        let era = eras.borrow_and_update().era;
        let former = std::mem::replace(&mut known, era);
        // The first era that is stated is no restore.
        if former.is_none() {
            continue;
        }
        time::sleep(spread(WRITE_SPREAD)).await;
        log::info!(era:? = era; "writing into the store again what an older copy may lack");
        quarantine::record_again(&gateway);
        run::enlist(&gateway, &source).await;
    }
}
