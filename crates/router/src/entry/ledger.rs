//! The idempotency ledger, as the entry uses it: claims a key before dispatch, and records the outcome afterwards.
//!
//! While the platform's table is unreachable, a request with an idempotency key is refused as "not run". The caller can
//! repeat a refused request later, whereas a second execution, such as a second booking, cannot be undone.

use std::time::Duration;

use sardinemux_core::hash;
use sardinemux_core::idempotency::{self, Answer, Decision, Nonce, Progress, Record};
use sardinemux_core::membership::{Member, State};
use sardinemux_platform::client::{Precondition, Write};
use sardinemux_wire::peer::{self, ClaimStatus};
use sardinemux_wire::platform::LEDGER_PREFIX;
use tokio::time;

use super::errors::Failure;
use crate::peer_client;
use crate::prelude::*;

/// The maximum number of attempts to claim a key. A write whose response is lost uses up one attempt.
const CLAIM_ATTEMPTS_MAX: u32 = 5;

/// The delay after a failed write of a claim, and the first delay after a failed write of a record.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest time that a caller waits until the outcome is recorded; after that, writing goes on in the background.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum delay between two attempts to write a record; the delay doubles up to this value.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(10);

/// The retry delay for a request whose key could not be claimed, in milliseconds.
const STORE_RETRY_MS: u64 = 2_000;

/// A claim on an idempotency key that this entry holds.
pub struct Claim {
    row_key: String,
    record: Record,
    version: u64,
}

/// The result of claiming an idempotency key.
pub enum Acquisition {
    /// The key is claimed; the request may be dispatched once.
    Claimed(Claim),
    /// An earlier request with this key has completed with this answer.
    Replay(Answer),
}

/// What the router that holds a claim says of it.
enum Holder {
    /// It states the status of the claim.
    Answers(ClaimStatus),
    /// It does not answer, but its process may go on.
    Silent,
    /// Its process has ended, so that nobody knows the outcome.
    Gone,
}

/// The end of a claimed request.
pub enum Conclusion {
    /// It completed with an answer that can be replayed.
    Completed(Answer),
    /// It did not run, so the key may be claimed again.
    NotRun,
    /// It may have run, or completed with an answer that cannot be replayed.
    Unknown,
}

fn store_failure() -> Failure {
    Failure::NotCompleted {
        outcome: Outcome::NotRun,
        reason: Reason::Store,
        retry_after_ms: STORE_RETRY_MS,
    }
}

/// Claims an idempotency key of an organisation for the request with this digest.
///
/// # Errors
///
/// - `Failure::NotCompleted` if no attempt succeeded, since the table is unreachable or keeps changing.
/// - `Failure::KeyReused` if the key was used for a request with another digest.
/// - `Failure::StillRunning` if the holder of the claim still runs the request or has not recorded its outcome yet.
/// - `Failure::OutcomeUnknown` if the record is unreadable or states that the outcome is lost, or if the process that
///   holds the claim has ended or answers none of the attempts.
pub async fn claim_key(
    router: &Arc<Router>,
    organisation: &str,
    key: &str,
    digest: u64,
) -> std::result::Result<Acquisition, Failure> {
    let name = hash::digest(&[organisation.as_bytes(), key.as_bytes()]);
    // Two 64-bit hashes over different inputs form a 128-bit name, so that collisions of keys are negligible.
    let other = hash::digest(&[key.as_bytes(), b"ledger", organisation.as_bytes()]);
    let row_key = format!("{LEDGER_PREFIX}{name:016x}{other:016x}");
    let record = Record {
        nonce: Nonce::new_v4(),
        digest,
        holder: router.settings.advertised_address.to_string().into(),
        boot: router.boot,
        progress: Progress::Claimed,
    };
    let nonce = record.nonce;
    router.claims.lock().insert(nonce, ClaimStatus::Running);
    let result = acquire_claim(router, row_key, record).await;
    if !matches!(result, Ok(Acquisition::Claimed(_))) {
        // The request is not dispatched from here on, even if a delayed write of the claim still reaches the table.
        // Peers that ask for a nonce without an entry are told that it was not dispatched, and may replace the claim.
        router.claims.lock().swap_remove(&nonce);
    }
    result
}

/// Writes the claim and reads the row back, until the row shows who holds the claim or what became of the request.
async fn acquire_claim(
    router: &Arc<Router>,
    row_key: String,
    record: Record,
) -> std::result::Result<Acquisition, Failure> {
    let mut precondition = Precondition::Absent;
    let mut is_holder_silent = false;
    for _ in 0..CLAIM_ATTEMPTS_MAX {
        let written = router
            .platform
            .write_row(&row_key, &record, precondition)
            .await;
        if let Err(error) = &written {
            log::debug!("claim of an idempotency key not confirmed, reading the row back: {error}");
            time::sleep(RETRY_DELAY).await;
        }
        // Whatever the response to the write was, the row states who holds the claim.
        let Ok(current) = router.platform.read_row(&row_key).await else {
            continue;
        };
        let Some(current) = current else {
            precondition = Precondition::Absent;
            continue;
        };
        let Ok(existing) = serde_json::from_value::<Record>(current.value) else {
            return Err(Failure::OutcomeUnknown);
        };
        match idempotency::decide(Some(&existing), record.nonce, record.digest) {
            Decision::Dispatch => {
                return Ok(Acquisition::Claimed(Claim {
                    row_key,
                    record,
                    version: current.version,
                }))
            }
            Decision::Replay(answer) => return Ok(Acquisition::Replay(answer)),
            Decision::Unknown => return Err(Failure::OutcomeUnknown),
            Decision::Mismatch => return Err(Failure::KeyReused),
            Decision::Claim => precondition = Precondition::Version(current.version),
            Decision::AskHolder => match ask_holder(router, &existing).await {
                Holder::Answers(ClaimStatus::NotDispatched) => {
                    precondition = Precondition::Version(current.version)
                }
                Holder::Answers(_) => return Err(Failure::StillRunning),
                Holder::Gone => return Err(Failure::OutcomeUnknown),
                Holder::Silent => {
                    is_holder_silent = true;
                    time::sleep(RETRY_DELAY).await;
                }
            },
        }
    }
    Err(match is_holder_silent {
        true => Failure::OutcomeUnknown,
        false => store_failure(),
    })
}

/// Asks the router that holds a claim for its status. A later process at the same address knows nothing of the claim.
async fn ask_holder(router: &Arc<Router>, record: &Record) -> Holder {
    let holder = Member {
        id: record.holder.clone(),
        address: record.holder.clone(),
        zone: SmolStr::default(),
        region: SmolStr::default(),
        boot: record.boot,
        epoch: 0,
        state: State::Alive,
    };
    let question = peer::ClaimQuery {
        nonce: record.nonce,
    };
    match peer_client::request_claim_status(router, &holder, &question).await {
        Ok(answer) if answer.boot == record.boot => Holder::Answers(answer.status),
        Ok(_) => Holder::Gone,
        Err(error) if error.is_unsent() => Holder::Gone,
        Err(_) => Holder::Silent,
    }
}

/// Records the end of a claimed request in the table. If that takes longer than the timeout, the function returns, and
/// writing is retried in the background for as long as this process runs.
pub async fn record_conclusion(router: &Arc<Router>, claim: Claim, conclusion: Conclusion) {
    let nonce = claim.record.nonce;
    let progress = match conclusion {
        Conclusion::Completed(answer) => Progress::Done(answer),
        Conclusion::NotRun => Progress::Released,
        Conclusion::Unknown => Progress::Lost,
    };
    let status = match progress {
        Progress::Released => ClaimStatus::NotDispatched,
        _ => ClaimStatus::Dispatched,
    };
    router.claims.lock().insert(nonce, status);
    let router = router.clone();
    let record = Record {
        progress,
        ..claim.record
    };
    let guard = router.drain.track_request();
    let writing = tokio::spawn(async move {
        let _guard = guard;
        write_record(&router, &claim.row_key, &record, claim.version).await;
        router.claims.lock().swap_remove(&nonce);
    });
    let _ = time::timeout(RECORD_TIMEOUT, writing).await;
}

/// Writes a record, and retries until the platform accepts or refuses it.
async fn write_record(router: &Router, row_key: &str, record: &Record, version: u64) {
    let mut delay = RETRY_DELAY;
    loop {
        match router
            .platform
            .write_row(row_key, record, Precondition::Version(version))
            .await
        {
            // A refusal means that an earlier attempt took effect, or that another claim has replaced the row.
            Ok(Write::Done | Write::Conflict) => return,
            Err(error) => {
                log::debug!("outcome of an idempotency key not recorded, retrying: {error}")
            }
        }
        time::sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
}
