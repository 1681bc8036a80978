//! Where resumable streams began: the epochs of builds and the records of streams in the store, and the search for the build
//! of a stream that its caller takes up.
//!
//! Decisions are made in [`sardinemux_core::origin`].

mod record;

use std::sync::OnceLock;
use std::time::Duration;

use parking_lot::Mutex;
use sardinemux_core::catalog::{Catalog, Kind};
use sardinemux_core::hash;
use sardinemux_core::origin::query::Search;
use sardinemux_core::origin::{
    self, command, query, Contact, Epoch, Origin, Register, Settings, Stored,
};
use sardinemux_core::position::Era;
use sardinemux_core::roster;
use tokio::sync::{watch, Mutex as AsyncMutex, Notify};
use tokio::time::{self, Instant};

use crate::datagram;
use crate::prelude::*;
use crate::replication::{self, with_view};
use crate::request::Inbound;
use crate::source::{Fact, Source, Topic};
use crate::store_writes;
use crate::supplement::{self, Supplement};

pub use record::{
    receive as receive_records, receive_confirmation, run as record_streams, take_datagrams,
};

/// The interval at which the listed builds are observed and changes of epochs are proposed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// The number of gateways that write a change of an epoch at once; the others wait for [`WRITE_DELAY`].
const WRITERS: usize = 2;

/// How long a gateway waits for others to write a change of an epoch.
const WRITE_DELAY: Duration = Duration::from_millis(1_000);

/// The delay before a failed call to the store is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The longest time for which a request waits for the store before it is refused.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The longest time for which a new stream waits for a build to join the epoch: longer than the build must have been listed.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1_300);

/// The range over which gateways read the epochs after the store has stated a new era.
const REFRESH_SPREAD: Duration = Duration::from_millis(400);

/// How long a gateway tells the others of a new epoch, in milliseconds.
const NEWS_MS: u64 = 5_000;

/// What a gateway knows of epochs and streams, and how it reads and writes them.
#[derive(Debug)]
pub struct Origins {
    register: Mutex<Register>,
    source: OnceLock<Arc<Source>>,
    /// When the last read of the epochs that succeeded began.
    refreshed: AsyncMutex<Option<Instant>>,
    /// The number of changes of epochs that are known here.
    changes: watch::Sender<u64>,
    /// When an epoch changed last, in milliseconds.
    changed_ms: Mutex<Option<u64>>,
    /// Wakes the task that writes changes of epochs.
    join_request: Notify,
    records: record::Records,
}

impl Default for Origins {
    fn default() -> Self {
        Self {
            register: Mutex::new(Register::new(Settings::default(), 0)),
            source: OnceLock::new(),
            refreshed: AsyncMutex::default(),
            changes: watch::Sender::new(0),
            changed_ms: Mutex::default(),
            join_request: Notify::default(),
            records: record::Records::default(),
        }
    }
}

impl Origins {
    /// Waits until there are records to be sent to another gateway.
    pub async fn wait_for_datagrams(&self) {
        self.records.alarm.notified().await;
    }
}

/// The pool and build at which the stream of a caller goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The build.
    pub build: SmolStr,
}

/// Returns the pools that serve resumable streams.
fn stream_pools(catalog: &Catalog) -> Vec<SmolStr> {
    let mut pools: Vec<SmolStr> = Vec::new();
    for route in &catalog.definition().routes {
        if route.kind != (Kind::Stream { is_resumable: true }) {
            continue;
        }
        for share in &route.shares {
            if !pools.contains(&share.pool) {
                pools.push(share.pool.clone());
            }
        }
    }
    pools
}

/// The shortest time from the beginning of a stream in which its caller may take it up, in milliseconds.
const STREAM_MIN_MS: u64 = 30_000;

/// Returns the longest time from the beginning of a stream in which its caller may take it up, in milliseconds. A caller that
/// waits for as long as its route allows may have begun anew as long after its first request.
fn stream_ms(catalog: &Catalog) -> u64 {
    let routes = catalog.definition().routes.iter();
    let resumable = routes.filter(|route| route.kind == Kind::Stream { is_resumable: true });
    let longest = resumable.map(|route| route.timeout_ms).max();
    (2 * longest.unwrap_or_default()).max(STREAM_MIN_MS)
}

/// Records the builds of which targets of a pool are listed.
fn observe(gateway: &Gateway, pool: &SmolStr) {
    let now_ms = gateway.now_ms();
    let present = roster::query::builds(&gateway.roster.lock(), pool, now_ms);
    let mut register = gateway.origins.register.lock();
    command::observe(&mut register, pool, &present, now_ms);
}

/// Returns the builds of a pool at which a new stream may begin now. If the pool has no epoch yet, or none of its builds has an
/// eligible target but others do, waits a moment for a change. After that, beginning at a build that has not joined is better
/// than refusing all streams: the store may be unavailable.
pub async fn open_builds(gateway: &Gateway, inbound: &Inbound) -> Vec<SmolStr> {
    let (pool, stream) = (&inbound.pool, inbound.stream_id());
    let mut changes = gateway.origins.changes.subscribe();
    let until = Instant::now() + JOIN_TIMEOUT;
    loop {
        observe(gateway, pool);
        let now_ms = gateway.now_ms();
        let (open, has_epoch) = {
            let register = gateway.origins.register.lock();
            let open = query::open_builds(&register, pool, stream, now_ms);
            (open, query::epoch(&register, pool).is_some())
        };
        let present = roster::query::builds(&gateway.roster.lock(), pool, now_ms);
        let usable = present.iter().filter(|presence| presence.slots > 0);
        let usable: Vec<SmolStr> = usable.map(|presence| presence.build.clone()).collect();
        let is_served = has_epoch && usable.iter().any(|build| open.contains(build));
        if usable.is_empty() || is_served {
            return open;
        }
        gateway.origins.join_request.notify_one();
        if !matches!(time::timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            log::warn!(pool:% = pool; "no build of the pool has joined its epoch in time; a stream begins all the same");
            return if open.is_empty() { usable } else { open };
        }
    }
}

/// Returns whether targets of a build are listed in a pool.
pub fn is_listed(gateway: &Gateway, pool: &str, build: &str) -> bool {
    let present = roster::query::builds(&gateway.roster.lock(), pool, gateway.now_ms());
    present.iter().any(|presence| presence.build == build)
}

/// Records that a stream began at a build.
pub fn begin(gateway: &Gateway, inbound: &Inbound, build: &SmolStr) {
    let origin = Origin {
        stream: inbound.stream_id(),
        pool: inbound.pool.clone(),
        build: build.clone(),
    };
    let now_ms = gateway.now_ms();
    command::begin(&mut gateway.origins.register.lock(), origin, now_ms);
    gateway.origins.records.queued.notify_one();
}

/// Records that a stream has ended with its last event.
pub fn end(gateway: &Gateway, inbound: &Inbound) {
    command::end(&mut gateway.origins.register.lock(), inbound.stream_id());
}

/// Finds the pool and build at which the stream began that a caller takes up. Returns `None` if that is not known.
pub async fn find(gateway: &Gateway, inbound: &Inbound) -> Option<Continuation> {
    let limit = SEARCH_TIMEOUT.min(inbound.remaining());
    let (how, found) = match time::timeout(limit, search(gateway, inbound)).await {
        Ok(result) => result,
        Err(_) => ("timeout", None),
    };
    let counter = &gateway.metrics.resumptions;
    counter.with_label_values(&[how]).inc();
    if found.is_none() {
        log::info!(
            request_id:% = inbound.id_text(), pool:% = inbound.pool, how = how;
            "the build of a resumed stream is not known"
        );
    }
    found.filter(|found| !found.build.is_empty())
}

/// Returns how the build was found, or why it was not, for the metrics.
async fn search(gateway: &Gateway, inbound: &Inbound) -> (&'static str, Option<Continuation>) {
    let stream = inbound.stream_id();
    let continuation = |origin: &Origin| Continuation {
        pool: origin.pool.clone(),
        build: origin.build.clone(),
    };
    let plan = {
        let register = gateway.origins.register.lock();
        if let Some(known) = query::known(&register, stream) {
            return ("known", Some(continuation(known)));
        }
        query::search(&register, &inbound.pool, stream)
    };
    let is_stated = inbound.resumes.is_some();
    if plan == Search::Record && is_stated {
        if let Some(origin) = read_record(gateway, stream).await {
            return ("record", Some(continuation(&origin)));
        }
    }
    let based = |build: SmolStr| Continuation {
        pool: inbound.pool.clone(),
        build,
    };
    if !refresh(gateway).await {
        return match base_without_store(gateway, &inbound.pool) {
            Some(build) => ("base", Some(based(build))),
            None => ("store", None),
        };
    }
    wait_for_epoch(gateway, &inbound.pool).await;
    if let Some(build) = base(gateway, &inbound.pool) {
        return ("base", Some(based(build)));
    }
    // The id of the stream is known only if the caller states the request that began it.
    if !is_stated {
        return ("unknown", None);
    }
    if let Some(build) = former_base(gateway, &inbound.pool, stream) {
        return ("former_base", Some(based(build)));
    }
    if plan != Search::Record {
        if let Some(origin) = read_record(gateway, stream).await {
            return ("record", Some(continuation(&origin)));
        }
    }
    match unrecorded_build(gateway, &inbound.pool, stream) {
        Some(build) => ("doubt", Some(based(build))),
        None => ("unknown", None),
    }
}

fn unrecorded_build(gateway: &Gateway, pool: &str, stream: u64) -> Option<SmolStr> {
    let register = gateway.origins.register.lock();
    query::unrecorded_build(&register, pool, stream, gateway.now_ms())
}

/// Waits a moment for the first epoch of a pool, if there is none yet.
async fn wait_for_epoch(gateway: &Gateway, pool: &str) {
    let mut changes = gateway.origins.changes.subscribe();
    let until = Instant::now() + JOIN_TIMEOUT;
    while query::epoch(&gateway.origins.register.lock(), pool).is_none() {
        gateway.origins.join_request.notify_one();
        if !matches!(time::timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            return;
        }
    }
}

fn base(gateway: &Gateway, pool: &str) -> Option<SmolStr> {
    let register = gateway.origins.register.lock();
    query::epoch(&register, pool)?.epoch.base.clone()
}

fn former_base(gateway: &Gateway, pool: &str, stream: u64) -> Option<SmolStr> {
    let register = gateway.origins.register.lock();
    query::former_base(&register, pool, stream).cloned()
}

/// Returns what this gateway knows of how current its list of targets is.
fn contact(gateway: &Gateway) -> Contact {
    let now_ms = gateway.now_ms();
    let contact_ms = with_view(gateway, Topic::Targets, |view| view.last_contact_ms);
    Contact {
        is_refreshed: replication::is_refreshed(gateway, *gateway.suspensions.borrow()),
        age_ms: now_ms.saturating_sub(contact_ms),
        witnesses: gateway.members.lock().witnesses(Topic::Targets, now_ms),
    }
}

/// Notes that the list of targets is current, if it is.
fn note_current(gateway: &Gateway) {
    let contact = contact(gateway);
    // The era is read last: a contact in a later one does not make the list of this one current.
    let era = gateway.era.borrow().era;
    let mut register = gateway.origins.register.lock();
    if query::is_current(&register, &contact) {
        command::note_current(&mut register, era, gateway.now_ms());
    }
}

/// Returns the base of a pool if it is certain although the store cannot be read.
fn base_without_store(gateway: &Gateway, pool: &SmolStr) -> Option<SmolStr> {
    let now_ms = gateway.now_ms();
    let present = roster::query::builds(&gateway.roster.lock(), pool, now_ms);
    let contact = contact(gateway);
    let register = gateway.origins.register.lock();
    query::certain_base(&register, pool, &present, &contact)
}

/// Reads the record of a stream. A failed call is logged and leaves the stream unknown.
async fn read_record(gateway: &Gateway, stream: u64) -> Option<Origin> {
    let source = gateway.origins.source.get()?;
    match (source.find_origin)(stream).await {
        Ok(origin) => {
            let origin = origin?;
            let now_ms = gateway.now_ms();
            command::note_origin(&mut gateway.origins.register.lock(), origin.clone(), now_ms);
            Some(origin)
        }
        Err(error) => {
            log::warn!(error:% = error; "cannot read the record of a stream from the store; its build stays unknown");
            None
        }
    }
}

/// Reads the epochs from the store, by a call that begins after this one. Requests that wait for it share one call. Returns
/// whether that succeeded.
async fn refresh(gateway: &Gateway) -> bool {
    let called_at = Instant::now();
    let Some(source) = gateway.origins.source.get() else {
        return false;
    };
    let mut refreshed = gateway.origins.refreshed.lock().await;
    if refreshed.is_some_and(|began_at| began_at >= called_at) {
        return true;
    }
    let began_at = Instant::now();
    let batch = match (source.list)(Topic::Builds).await {
        Ok(batch) => batch,
        Err(error) => {
            log::warn!(error:% = error; "cannot read the builds of the pools from the store");
            return false;
        }
    };
    let era = batch.position.era;
    gateway.note_era(era);
    let mut unlisted = stream_pools(&gateway.catalog());
    for entry in batch.entries {
        let position = entry.position;
        unlisted.retain(|pool| *pool != entry.key);
        match entry.fact {
            Some(Fact::Builds { epoch, written }) => {
                let stored = Stored {
                    epoch,
                    position,
                    written,
                };
                note_epoch(gateway, &entry.key, Some(stored), era);
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(pool:% = entry.key, reason:% = reason; "cannot decode the builds of a pool; its streams have no base");
                let stored = Stored {
                    epoch: Epoch::default(),
                    position,
                    written: position.era,
                };
                note_epoch(gateway, &entry.key, Some(stored), era);
            }
            _ => {}
        }
    }
    for pool in unlisted {
        note_epoch(gateway, &pool, None, era);
    }
    *refreshed = Some(began_at);
    true
}

fn note_epoch(gateway: &Gateway, pool: &SmolStr, stored: Option<Stored>, era: Era) {
    let now_ms = gateway.now_ms();
    let (builds, base, former_base) = stored.as_ref().map_or_else(Default::default, |stored| {
        let Epoch {
            base,
            builds,
            former_base,
        } = stored.epoch.clone();
        let (base, former_base) = (base.unwrap_or_default(), former_base.unwrap_or_default());
        (builds.join(","), base, former_base)
    });
    let has_epoch = stored.is_some();
    let (is_news, doubtful) = {
        let mut register = gateway.origins.register.lock();
        let is_news = command::note_epoch(&mut register, pool, stored, era, now_ms);
        (is_news, query::doubtful_base(&register, pool).cloned())
    };
    if !is_news {
        return;
    }
    if let Some(base) = doubtful {
        log::warn!(
            pool:% = pool, base:% = base, era:? = era;
            "the store may have lost that a build has joined; streams without a record go on only if they can have begun nowhere else"
        );
    }
    if has_epoch {
        log::info!(pool:% = pool, builds:% = builds, base:% = base, former_base:% = former_base; "builds of a pool");
        *gateway.origins.changed_ms.lock() = Some(now_ms);
    }
    gateway.origins.changes.send_modify(|count| *count += 1);
}

/// Returns the position of this gateway in an order of all live gateways that differs from pool to pool.
fn rank(gateway: &Gateway, pool: &str) -> usize {
    let score = |name: &str| hash::digest(&[b"builds", name.as_bytes(), pool.as_bytes()]);
    let own = score(&gateway.settings.name);
    let members = gateway.members.lock();
    let others = members.iter_recent(Topic::Targets, gateway.now_ms());
    others.filter(|peer| score(peer.name) > own).count()
}

/// Observes the builds of pools, and writes changes of their epochs to the store. Never returns.
pub async fn follow(gateway: Arc<Gateway>, source: Arc<Source>) {
    // The task is started once.
    let _ = gateway.origins.source.set(source.clone());
    let mut pending_since: Option<Instant> = None;
    let mut is_read = false;
    let mut eras = gateway.era.subscribe();
    if gateway.settings.is_first_start {
        command::note_first_start(&mut gateway.origins.register.lock());
    }
    loop {
        let woken = gateway.origins.join_request.notified();
        // Both ends of the wait lead to the same check.
        let _ = time::timeout(OBSERVATION_INTERVAL, woken).await;
        let catalog = gateway.catalog();
        let pools = stream_pools(&catalog);
        if pools.is_empty() {
            continue;
        }
        note_current(&gateway);
        let keeps_former_base = gateway.members.lock().keep_former_bases();
        {
            let mut register = gateway.origins.register.lock();
            command::set_stream_ms(&mut register, stream_ms(&catalog));
            command::set_keeps_former_base(&mut register, keeps_former_base);
        }
        for pool in &pools {
            observe(&gateway, pool);
        }
        // A build that has just been listed makes records of the running streams due.
        if query::has_records(&gateway.origins.register.lock()) {
            gateway.origins.records.queued.notify_one();
        }
        // The sender lives as long as the gateway, so that an error cannot occur.
        if is_read && eras.has_changed().unwrap_or_default() {
            is_read = false;
            time::sleep(store_writes::spread(REFRESH_SPREAD)).await;
        }
        if !is_read {
            eras.mark_unchanged();
            is_read = refresh(&gateway).await;
            if !is_read {
                time::sleep(STORE_RETRY_DELAY).await;
            }
            continue;
        }
        let now_ms = gateway.now_ms();
        let proposals = query::proposals(&gateway.origins.register.lock(), now_ms);
        if proposals.is_empty() {
            pending_since = None;
            continue;
        }
        let since = *pending_since.get_or_insert_with(Instant::now);
        for proposal in proposals {
            let is_writer = rank(&gateway, &proposal.pool) < WRITERS;
            if is_writer || since.elapsed() >= WRITE_DELAY {
                write(&gateway, &source, proposal).await;
            }
        }
    }
}

/// Writes a change of an epoch, and reads what the store holds then. Another gateway may have been faster.
async fn write(gateway: &Gateway, source: &Source, proposal: origin::Proposal) {
    let pool = proposal.pool.clone();
    if let Err(error) = (source.advance_builds)(proposal).await {
        log::warn!(pool:% = pool, error:% = error; "cannot write the builds of a pool to the store; retrying");
        time::sleep(STORE_RETRY_DELAY).await;
    }
    refresh(gateway).await;
}

/// Returns the datagrams that tell others of the epochs, after a recent change or start of a gateway.
pub fn news(gateway: &Gateway) -> Vec<Vec<u8>> {
    let now_ms = gateway.now_ms();
    let changed_ms = *gateway.origins.changed_ms.lock();
    let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < NEWS_MS;
    let era = gateway.era.borrow().era;
    let epochs: Vec<(SmolStr, Stored)> = {
        let register = gateway.origins.register.lock();
        let restart_ms = query::restart_ms(&register);
        if !changed_ms.is_some_and(is_recent) && !is_recent(restart_ms) {
            return Vec::new();
        }
        let epochs = query::epochs(&register);
        let epochs = epochs.filter(|(_, stored)| stored.position.era == era);
        epochs
            .map(|(pool, stored)| (pool.clone(), stored.clone()))
            .collect()
    };
    let encode = |epochs: &[(SmolStr, Stored)]| {
        let supplement = Supplement::Builds {
            uptime_ms: now_ms,
            epochs: epochs.to_vec(),
        };
        supplement::encode_in_era(&supplement, era)
    };
    // Without an epoch, the others still learn of the start.
    match epochs.is_empty() {
        true => encode(&epochs).into_iter().collect(),
        false => datagram::split(&epochs, &encode),
    }
}

/// Applies what another gateway tells of its start and of epochs, whose positions are of an era.
pub fn receive_news(gateway: &Gateway, uptime_ms: u64, epochs: Vec<(SmolStr, Stored)>, era: Era) {
    let now_ms = gateway.now_ms();
    if uptime_ms < NEWS_MS {
        let mut register = gateway.origins.register.lock();
        command::note_restart(&mut register, now_ms.saturating_sub(uptime_ms));
    }
    for (pool, stored) in epochs {
        let position = stored.position.in_era(era);
        note_epoch(gateway, &pool, Some(Stored { position, ..stored }), era);
    }
}
