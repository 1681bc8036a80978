//! The entry's own bounds, so that one organisation's surge fills neither its sockets nor its memory.

use sardinemux_core::config::{query, Parameter};

use super::errors::Failure;
use crate::drain;
use crate::prelude::*;

/// When to come back if the entry is full, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Counts one request of an organisation at this entry until it is dropped.
pub struct Guard {
    router: Arc<Router>,
    organisation: SmolStr,
    _running: drain::Guard,
}

/// Takes one request of an organisation in.
///
/// # Errors
///
/// `Failure::Busy` if the organisation or the entry is at its bound.
pub fn admit_request(
    router: &Arc<Router>,
    organisation: &SmolStr,
) -> std::result::Result<Guard, Failure> {
    let subject = query::Subject {
        organisation,
        ..query::Subject::default()
    };
    let config = router.config();
    let organisation_limit =
        query::effective_value(&config, Parameter::OrganisationRequests, subject) as u32;
    let mut counts = router.entries.lock();
    let total: u32 = counts.values().sum();
    let running = counts.get(organisation).copied().unwrap_or(0);
    if running >= organisation_limit || total >= router.settings.requests_max {
        return Err(Failure::Busy {
            retry_after_ms: RETRY_AFTER_MS,
        });
    }
    counts.insert(organisation.clone(), running + 1);
    drop(counts);
    Ok(Guard {
        router: router.clone(),
        organisation: organisation.clone(),
        _running: router.drain.guard(),
    })
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut counts = self.router.entries.lock();
        if let Some(count) = counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.organisation);
            }
        }
    }
}
