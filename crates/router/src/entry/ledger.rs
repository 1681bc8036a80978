//! The entry's side of the idempotency ledger: claims before dispatch, records after it.
//!
//! While the platform's table cannot be reached, a request with a key is refused as "not run": a
//! refusal can be repeated later, a second booking cannot be taken back.

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

/// The tries to claim a key; a lost answer of the table costs one.
const CLAIM_TRIES: u32 = 5;

/// The pause between two tries.
const CLAIM_PAUSE: Duration = Duration::from_millis(100);

/// How long a caller waits for the record of its answer; then it is written in the background.
const RECORD_WAIT: Duration = Duration::from_secs(1);

/// The longest pause between two tries to write a record in the background.
const RECORD_PAUSE_MAX: Duration = Duration::from_secs(10);

/// When to come back while the table cannot be reached, in milliseconds.
const STORE_RETRY_MS: u64 = 2_000;

/// A claim that this entry holds.
pub struct Held {
    row: String,
    record: Record,
    version: u64,
}

/// What became of an attempt to claim a key.
pub enum Claim {
    /// The key is claimed: dispatch once.
    Held(Held),
    /// The request has completed before.
    Replay(Answer),
}

/// How a claimed request ended.
pub enum Ended {
    /// It completed.
    Completed(Answer),
    /// Nothing ran.
    NotRun,
    /// It may have run.
    Unknown,
}

fn store_failure() -> Failure {
    Failure::GivenUp {
        outcome: Outcome::NotRun,
        reason: Reason::Store,
        retry_after_ms: STORE_RETRY_MS,
    }
}

/// Claims an idempotency key.
///
/// # Errors
///
/// `Failure::GivenUp` if the table cannot be reached, `Failure::KeyReused`,
/// `Failure::StillRunning` or `Failure::EarlierUnknown`.
pub async fn claim(
    router: &Arc<Router>,
    organisation: &str,
    key: &str,
    digest: u64,
) -> std::result::Result<Claim, Failure> {
    let name = hash::digest(&[organisation.as_bytes(), key.as_bytes()]);
    // Two hashes with different parts make a 128-bit name, so that keys do not meet by chance.
    let other = hash::digest(&[key.as_bytes(), b"ledger", organisation.as_bytes()]);
    let row = format!("{LEDGER_PREFIX}{name:016x}{other:016x}");
    let record = Record {
        nonce: Nonce::new_v4(),
        digest,
        holder: router.settings.advertised_address.to_string().into(),
        boot: router.boot,
        progress: Progress::Claimed,
    };
    let nonce = record.nonce;
    router.claims.lock().insert(nonce, ClaimStatus::Running);
    let result = try_claim(router, row, record).await;
    if !matches!(result, Ok(Claim::Held(_))) {
        // It is never dispatched from here on, also if the claim still reaches the table.
        router.claims.lock().swap_remove(&nonce);
    }
    result
}

async fn try_claim(
    router: &Arc<Router>,
    row: String,
    record: Record,
) -> std::result::Result<Claim, Failure> {
    let mut condition = Precondition::Absent;
    for _ in 0..CLAIM_TRIES {
        let written = router.platform.write_row(&row, &record, condition).await;
        if let Err(error) = &written {
            log::debug!("a claim was not answered: {error}");
            time::sleep(CLAIM_PAUSE).await;
        }
        // Whatever the answer was, the row says who holds the claim.
        let Ok(read) = router.platform.read_row(&row).await else {
            continue;
        };
        let Some(read) = read else {
            condition = Precondition::Absent;
            continue;
        };
        let Ok(found) = serde_json::from_value::<Record>(read.value) else {
            return Err(Failure::EarlierUnknown);
        };
        match idempotency::decide(Some(&found), record.nonce, record.digest) {
            Decision::Dispatch => {
                return Ok(Claim::Held(Held {
                    row,
                    record,
                    version: read.version,
                }))
            }
            Decision::Replay(answer) => return Ok(Claim::Replay(answer)),
            Decision::Unknown => return Err(Failure::EarlierUnknown),
            Decision::Mismatch => return Err(Failure::KeyReused),
            Decision::Claim => condition = Precondition::Version(read.version),
            Decision::AskHolder => match ask_holder(router, &found).await {
                Some(ClaimStatus::NotDispatched) => condition = Precondition::Version(read.version),
                Some(_) => return Err(Failure::StillRunning),
                None => return Err(Failure::EarlierUnknown),
            },
        }
    }
    Err(store_failure())
}

/// Asks the router that holds a claim how it stands; a later process cannot speak for it.
async fn ask_holder(router: &Arc<Router>, record: &Record) -> Option<ClaimStatus> {
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
    let answer = peer_client::request_claim_status(router, &holder, &question)
        .await
        .ok()?;
    (answer.boot == record.boot).then_some(answer.status)
}

/// Records how a claimed request ended. When the table does not take it soon, the record is
/// written in the background, for as long as this process runs.
pub async fn record(router: &Arc<Router>, held: Held, ended: Ended) {
    let nonce = held.record.nonce;
    let progress = match ended {
        Ended::Completed(answer) => Progress::Done(answer),
        Ended::NotRun => Progress::Released,
        Ended::Unknown => Progress::Lost,
    };
    let status = match progress {
        Progress::Released => ClaimStatus::NotDispatched,
        _ => ClaimStatus::Dispatched,
    };
    router.claims.lock().insert(nonce, status);
    let router = router.clone();
    let record = Record {
        progress,
        ..held.record
    };
    let guard = router.drain.guard();
    let writing = tokio::spawn(async move {
        let _guard = guard;
        write_record(&router, &held.row, &record, held.version).await;
        router.claims.lock().swap_remove(&nonce);
    });
    let _ = time::timeout(RECORD_WAIT, writing).await;
}

async fn write_record(router: &Router, row: &str, record: &Record, version: u64) {
    let mut pause = CLAIM_PAUSE;
    loop {
        match router
            .platform
            .write_row(row, record, Precondition::Version(version))
            .await
        {
            // A refusal means that an earlier try took effect, or that the row is another's now.
            Ok(Write::Done | Write::Conflict) => return,
            Err(error) => log::debug!("a record was not answered: {error}"),
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(RECORD_PAUSE_MAX);
    }
}
