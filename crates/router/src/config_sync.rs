//! Synchronisation of a router's configuration: from pushes of administration programs, from peers with a newer
//! version, and at long intervals from the configuration log in the platform's store.
//!
//! The version never decreases: log entries are applied only in sequence, and a snapshot only if it is newer than the
//! configuration in force.

use std::time::Duration;

use sardinemux_core::config::{command, query, Entry, State, StopKind, Version};
use sardinemux_core::membership::{self, Member};
use sardinemux_platform::client::Range;
use sardinemux_wire::gossip::Update;
use sardinemux_wire::platform::{log_key, LOG_PREFIX, SNAPSHOT_OBJECT};
use tokio::time;

use crate::peer_client;
use crate::prelude::*;
use crate::tables::LOG_TAIL_MAX;

/// The pause between two attempts to fetch an initial configuration.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The greatest number of log rows in one read.
const ROWS_MAX: usize = 256;

/// The greatest number of peers that are asked for an initial configuration in one attempt.
const PEERS_ASKED_MAX: usize = 3;

/// Fetches an initial configuration, retrying until there is one, and from then on reads the log periodically. Never
/// returns.
///
/// The period varies at random between half and one and a half times the configured one, so that the routers do not
/// read the log at the same time.
pub async fn run(router: Arc<Router>) {
    while router.config.read().version == 0 {
        fetch_initial(&router).await;
        time::sleep(INITIAL_RETRY_INTERVAL).await;
    }
    loop {
        let period_ms = router.settings.config_period_ms;
        let pause_ms = rand::random_range(period_ms / 2..=period_ms * 3 / 2);
        time::sleep(Duration::from_millis(pause_ms)).await;
        if let Err(error) = read_log(&router).await {
            log::warn!(
                "cannot read the configuration log from the platform; retrying later: {error}"
            );
        }
    }
}

/// Makes one attempt to fetch an initial configuration: from peers first, because the platform may be down, and then
/// from the snapshot and the log of the platform.
async fn fetch_initial(router: &Arc<Router>) {
    let peers: Vec<Member> = membership::query::peers(&router.view.lock())
        .into_iter()
        .take(PEERS_ASKED_MAX)
        .cloned()
        .collect();
    for peer in peers {
        pull_update(router, &peer).await;
        if router.config.read().version > 0 {
            return;
        }
    }
    match router.platform.read_object::<State>(SNAPSHOT_OBJECT).await {
        Ok(Some(state)) => install_snapshot(router, state),
        Ok(None) => {}
        Err(error) => {
            log::warn!("cannot read the configuration snapshot from the platform; continuing with the log: {error}");
        }
    }
    if let Err(error) = read_log(router).await {
        log::warn!("cannot read the configuration log from the platform; retrying later: {error}");
    }
}

/// Reads the log entries that follow the version in force from the platform's store, and applies them.
/// Rows that cannot be decoded are skipped.
///
/// # Errors
///
/// Returns `Error::Platform` if the store fails, and `Error::Config` if an entry cannot be applied.
async fn read_log(router: &Arc<Router>) -> Result<()> {
    loop {
        let after = log_key(router.config.read().version);
        let range = Range {
            prefix: LOG_PREFIX,
            after: &after,
            limit: ROWS_MAX,
        };
        let rows = router.platform.read_rows(range).await?;
        let count = rows.len();
        let now_ms = router.now_ms();
        membership::command::note_platform_contact(&mut router.view.lock(), now_ms);
        let entries = rows
            .into_iter()
            .filter_map(|row| serde_json::from_value(row.value).ok())
            .collect();
        apply_entries(router, entries)?;
        if count < ROWS_MAX {
            return Ok(());
        }
    }
}

/// Asks a peer for the changes after the version in force, and applies them.
pub async fn pull_update(router: &Arc<Router>, peer: &Member) {
    let version = router.config.read().version;
    match peer_client::fetch_config_after(router, peer, version).await {
        Ok(update) => apply_update(router, update),
        Err(error) => {
            log::debug!(peer:% = peer.id; "cannot pull the configuration from the peer: {error}")
        }
    }
}

/// Applies an update that a peer or an administration program sent.
pub fn apply_update(router: &Arc<Router>, update: Update) {
    match update {
        Update::Entries(entries) => {
            if let Err(error) = apply_entries(router, entries) {
                log::error!("cannot apply an entry of the configuration log: {error}");
            }
        }
        Update::Snapshot(state) => install_snapshot(router, *state),
    }
}

/// Applies log entries in sequence. Entries that are already in force are skipped, and so are those after a gap, which
/// a later pull or read of the log fills.
///
/// # Errors
///
/// Returns `Error::Config` for the first entry that cannot be applied. The entries before it stay applied.
fn apply_entries(router: &Arc<Router>, entries: Vec<Entry>) -> Result<()> {
    let result = {
        let mut config = router.config.write();
        let mut tail = router.log_tail.write();
        entries
            .into_iter()
            .filter(|entry| entry.version > config.version)
            .collect::<Vec<Entry>>()
            .into_iter()
            .try_for_each(|entry| {
                // An entry before this one is missing.
                if entry.version > config.version + 1 {
                    return Ok(());
                }
                command::apply(Arc::make_mut(&mut config), &entry)?;
                tail.push_back(entry);
                if tail.len() > LOG_TAIL_MAX {
                    tail.pop_front();
                }
                Ok(())
            })
    };
    handle_change(router);
    result
}

/// Replaces the configuration by a snapshot if the snapshot is newer.
fn install_snapshot(router: &Arc<Router>, state: State) {
    {
        let mut config = router.config.write();
        if state.version <= config.version {
            return;
        }
        *config = Arc::new(state);
        router.log_tail.write().clear();
    }
    handle_change(router);
}

/// Acts on a new version: updates the metric, starts the shutdown if the configuration stops this router, and
/// recomputes the owners. Does nothing if the version has not changed.
fn handle_change(router: &Arc<Router>) {
    let config = router.config();
    let version = config.version as i64;
    if router.metrics.config_version.get() == version {
        return;
    }
    router.metrics.config_version.set(version);
    if query::is_stopped(&config, StopKind::Router, &router.settings.id) {
        router.drain.begin();
    }
    router.recompute_owners();
}

/// Returns the changes after a version: the log entries if this router still holds all of them, or else a snapshot.
pub fn update_after(router: &Router, version: Version) -> Update {
    let config = router.config();
    let tail = router.log_tail.read();
    let first = tail.front().map_or(Version::MAX, |entry| entry.version);
    if version >= config.version {
        return Update::Entries(Vec::new());
    }
    if first > version + 1 {
        return Update::Snapshot(Box::new(config.as_ref().clone()));
    }
    let entries = tail.iter().filter(|entry| entry.version > version);
    Update::Entries(entries.cloned().collect())
}
