//! How a router learns the configuration: from pushes, from peers, and rarely from the platform.
//!
//! A version never goes back: entries are applied only in their order, and a snapshot only if it is
//! newer than what is held.

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

/// The pause between two tries to get a first configuration.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// The rows that are read from the log at once.
const ROWS_MAX: usize = 256;

/// The peers that are asked for a first configuration in one try.
const PEERS_ASKED: usize = 3;

/// Gets a first configuration, and then reads the log rarely, until the program ends.
pub async fn run(router: Arc<Router>) {
    while router.config.read().version == 0 {
        get_first(&router).await;
        time::sleep(FIRST_PAUSE).await;
    }
    loop {
        let period_ms = router.settings.config_period_ms;
        let pause_ms = rand::random_range(period_ms / 2..=period_ms * 3 / 2);
        time::sleep(Duration::from_millis(pause_ms)).await;
        if let Err(error) = read_log(&router).await {
            log::warn!("the configuration log cannot be read: {error}");
        }
    }
}

/// Asks peers first, as the platform may be down, and then the platform.
async fn get_first(router: &Arc<Router>) {
    let peers: Vec<Member> = membership::query::peers(&router.view.lock())
        .into_iter()
        .take(PEERS_ASKED)
        .cloned()
        .collect();
    for peer in peers {
        pull(router, &peer).await;
        if router.config.read().version > 0 {
            return;
        }
    }
    match router.platform.read_object::<State>(SNAPSHOT_OBJECT).await {
        Ok(Some(state)) => install(router, state),
        Ok(None) => {}
        Err(error) => log::warn!("the configuration snapshot cannot be read: {error}"),
    }
    if let Err(error) = read_log(router).await {
        log::warn!("the configuration log cannot be read: {error}");
    }
}

/// Reads what follows the held version from the platform's table.
///
/// # Errors
///
/// `Error::Platform` if the store fails, `Error::Config` if an entry cannot be applied.
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
        apply(router, entries)?;
        if count < ROWS_MAX {
            return Ok(());
        }
    }
}

/// Asks a peer for what follows the held version.
pub async fn pull(router: &Arc<Router>, peer: &Member) {
    let version = router.config.read().version;
    match peer_client::fetch_config_after(router, peer, version).await {
        Ok(update) => take(router, update),
        Err(error) => log::debug!(peer:% = peer.id; "no configuration from peer: {error}"),
    }
}

/// Takes in what a peer or an administration program sent.
pub fn take(router: &Arc<Router>, update: Update) {
    match update {
        Update::Entries(entries) => {
            if let Err(error) = apply(router, entries) {
                log::error!("an entry was not applied: {error}");
            }
        }
        Update::Snapshot(state) => install(router, *state),
    }
}

/// Applies entries in their order; those that are held already are passed over.
///
/// # Errors
///
/// `Error::Config` for the first entry that does not fit.
fn apply(router: &Arc<Router>, entries: Vec<Entry>) -> Result<()> {
    let result = {
        let mut config = router.config.write();
        let mut tail = router.log_tail.write();
        entries
            .into_iter()
            .filter(|entry| entry.version > config.version)
            .collect::<Vec<Entry>>()
            .into_iter()
            .try_for_each(|entry| {
                // A gap is filled by a later pull.
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
    note_change(router);
    result
}

/// Takes a snapshot in if it is newer than what is held.
fn install(router: &Arc<Router>, state: State) {
    {
        let mut config = router.config.write();
        if state.version <= config.version {
            return;
        }
        *config = Arc::new(state);
        router.log_tail.write().clear();
    }
    note_change(router);
}

fn note_change(router: &Arc<Router>) {
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

/// Returns what follows a version: entries if they are all held, else the whole state.
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
