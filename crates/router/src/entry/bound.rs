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
pub fn enter(router: &Arc<Router>, organisation: &SmolStr) -> std::result::Result<Guard, Failure> {
    let subject = query::Subject {
        organisation,
        ..query::Subject::default()
    };
    let config = router.config();
    let most = query::effective_value(&config, Parameter::OrganisationRequests, subject) as u32;
    let mut entries = router.entry_requests.lock();
    let all: u32 = entries.values().sum();
    let own = entries.get(organisation).copied().unwrap_or(0);
    if own >= most || all >= router.settings.requests_max {
        return Err(Failure::Busy {
            retry_after_ms: RETRY_AFTER_MS,
        });
    }
    entries.insert(organisation.clone(), own + 1);
    drop(entries);
    Ok(Guard {
        router: router.clone(),
        organisation: organisation.clone(),
        _running: router.drain.guard(),
    })
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut entries = self.router.entry_requests.lock();
        if let Some(count) = entries.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                entries.swap_remove(&self.organisation);
            }
        }
    }
}
