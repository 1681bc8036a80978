//! The limits on concurrent requests at this entry, so that a surge of one organisation exhausts neither its
//! sockets nor its memory.

use sardinemux_core::config::{query, Parameter};

use super::errors::Failure;
use crate::drain;
use crate::prelude::*;

/// The retry delay that a request over a limit is answered with, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Counts one request of an organisation against the limits of this entry until it is dropped.
pub struct Guard {
    router: Arc<Router>,
    organisation: SmolStr,
    _running: drain::Guard,
}

/// Counts a request of an organisation as running, if the limits of the organisation and of the entry allow it.
///
/// # Errors
///
/// `Failure::Busy` if the organisation or the entry has reached its limit on concurrent requests.
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
    let mut counts = router.entry_requests.lock();
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
        _running: router.drain.track_request(),
    })
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut counts = self.router.entry_requests.lock();
        if let Some(count) = counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.organisation);
            }
        }
    }
}
