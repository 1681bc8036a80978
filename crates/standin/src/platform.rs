//! The platform's store: rows with conditional transactions, ranges and a change feed, and objects. Faults: outages,
//! turned-away calls, slowness, answers that are lost, writes that are done late, and a history that is forgotten.
//!
//! The list of instances is a table whose changes show after a lag.

mod database;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::prelude::{Engine as _, BASE64_STANDARD};
use parking_lot::Mutex;
use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Status};
use rocket::{delete, get, post, put, routes, Data, FromForm, State};
use sardinemux_wire::platform::Instance;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time;

use crate::errors::Result;
use crate::serve;
use database::{build_row, row_id, Database, Page, Row, RowId, Transaction};

/// What the store is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address.
    pub address: SocketAddr,
    /// How far the instance list lags, in milliseconds.
    pub list_lag_ms: u64,
}

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// It answers 503 and does nothing.
    pub is_down: bool,
    /// It answers 429 and does nothing.
    pub is_busy: bool,
    /// It answers this much later, in milliseconds.
    pub slow_ms: u64,
    /// The answers of this many next writes are lost after the write has taken effect.
    pub lose_answers: u32,
    /// A write whose answer is lost takes effect this much later, in milliseconds.
    pub late_ms: u64,
    /// The instance list is down too.
    pub is_list_down: bool,
}

/// The store.
pub struct Platform {
    settings: Settings,
    database: Mutex<Database>,
    faults: Mutex<Faults>,
    changed: Notify,
    started: Instant,
}

/// What the store has counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// The reads.
    pub reads: u64,
    /// The writes.
    pub writes: u64,
}

/// A lost answer shows as this much silence.
const LOST_ANSWER_SILENCE: Duration = Duration::from_secs(20);

/// The largest body, in bytes.
const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// The most rows of one answer.
const PAGE_ROWS_MAX: usize = 500;

/// The longest wait of a feed, in milliseconds.
const WAIT_MAX_MS: u64 = 30_000;

/// The table of instances, whose changes lag.
const INSTANCES_TABLE: &str = "instances";

type JsonResponse = (Status, (ContentType, String));

fn json_response<T: Serialize>(value: &T) -> JsonResponse {
    let text = serde_json::to_string(value).unwrap_or_default();
    (Status::Ok, (ContentType::JSON, text))
}

fn empty_response(status: Status) -> JsonResponse {
    (status, (ContentType::JSON, "{}".to_owned()))
}

impl Platform {
    /// Waits as the faults say; `Err` if the store is down or turns calls away.
    async fn inject_faults(&self) -> std::result::Result<(), JsonResponse> {
        let faults = *self.faults.lock();
        time::sleep(Duration::from_millis(faults.slow_ms)).await;
        match faults {
            Faults { is_down: true, .. } => Err(empty_response(Status::ServiceUnavailable)),
            Faults { is_busy: true, .. } => Err(empty_response(Status::TooManyRequests)),
            _ => Ok(()),
        }
    }

    /// Waits as the faults say before a read of a table.
    async fn inject_read_faults(&self, table: &str) -> std::result::Result<(), JsonResponse> {
        if table != INSTANCES_TABLE {
            return self.inject_faults().await;
        }
        match self.faults.lock().is_list_down {
            true => Err(empty_response(Status::ServiceUnavailable)),
            false => Ok(()),
        }
    }

    /// Returns whether the answer of this write is lost.
    fn take_lost_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn page_response(&self, rows: Vec<Row>, has_more: bool, ver: u64) -> JsonResponse {
        json_response(&Page {
            rows,
            has_more,
            ver,
            now_ms: self.now_ms(),
        })
    }

    fn update(&self, change: impl FnOnce(&mut Database)) {
        change(&mut self.database.lock());
        self.changed.notify_waiters();
    }
}

async fn read_body<T: serde::de::DeserializeOwned>(data: Data<'_>) -> Option<T> {
    let body = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

#[post("/v1/rows-tx", data = "<data>")]
async fn transact(platform: &State<Arc<Platform>>, data: Data<'_>) -> JsonResponse {
    if let Err(refusal) = platform.inject_faults().await {
        return refusal;
    }
    let Some(transaction) = read_body::<Transaction>(data).await else {
        return empty_response(Status::BadRequest);
    };
    let is_lost = platform.take_lost_answer();
    let late_ms = platform.faults.lock().late_ms;
    if is_lost && late_ms > 0 {
        time::sleep(Duration::from_millis(late_ms)).await;
    }
    let is_applied = platform.database.lock().apply(&transaction);
    platform.changed.notify_waiters();
    if is_lost {
        time::sleep(LOST_ANSWER_SILENCE).await;
    }
    let mut database = platform.database.lock();
    database.reads += 1;
    let rows = transaction.expected_rev.iter().filter_map(|row| {
        let (ver, value) = database.rows.get(&row_id(row))?;
        Some(build_row(&row_id(row), *ver, Some(value.clone())))
    });
    let answer = platform.page_response(rows.collect(), false, database.version);
    match is_applied {
        true => answer,
        false => (Status::PreconditionFailed, answer.1),
    }
}

/// The query of a range.
#[derive(Debug, FromForm)]
struct RangeQuery {
    #[field(name = "Table")]
    table: String,
    #[field(name = "From")]
    from: Option<String>,
    #[field(name = "Target")]
    to: Option<String>,
    #[field(name = "Limit")]
    limit: Option<usize>,
}

#[get("/v1/rows-get?<range..>")]
async fn get_rows(platform: &State<Arc<Platform>>, range: RangeQuery) -> JsonResponse {
    if let Err(refusal) = platform.inject_read_faults(&range.table).await {
        return refusal;
    }
    let mut database = platform.database.lock();
    database.reads += 1;
    let limit = range.limit.unwrap_or(PAGE_ROWS_MAX).min(PAGE_ROWS_MAX);
    let first = (range.table.clone(), range.from.unwrap_or_default());
    let mut rows: Vec<Row> = database
        .rows
        .range(first..)
        .take_while(|((table, key), _)| {
            *table == range.table && range.to.as_ref().is_none_or(|to| key < to)
        })
        .take(limit + 1)
        .map(|(id, (ver, value))| build_row(id, *ver, Some(value.clone())))
        .collect();
    let has_more = rows.len() > limit;
    rows.truncate(limit);
    platform.page_response(rows, has_more, database.version)
}

/// The query of a feed.
#[derive(Debug, FromForm)]
struct FeedQuery {
    #[field(name = "Table")]
    table: String,
    #[field(name = "SinceRev")]
    since: u64,
    #[field(name = "WaitMs")]
    wait_ms: u64,
}

#[get("/v1/rows-feed?<feed..>")]
async fn get_changes(platform: &State<Arc<Platform>>, feed: FeedQuery) -> JsonResponse {
    if let Err(refusal) = platform.inject_read_faults(&feed.table).await {
        return refusal;
    }
    platform.database.lock().reads += 1;
    let wait = Duration::from_millis(feed.wait_ms.min(WAIT_MAX_MS));
    let until = time::Instant::now() + wait;
    loop {
        let changed = platform.changed.notified();
        {
            let database = platform.database.lock();
            if feed.since < database.truncated_version {
                return empty_response(Status::Gone);
            }
            let rows = database.changes_since(&feed.table, feed.since);
            if !rows.is_empty() || time::Instant::now() >= until {
                return platform.page_response(rows, false, database.version);
            }
        }
        // Running out of time is looked at above, with the changes.
        let _ = time::timeout_at(until, changed).await;
    }
}

#[get("/v1/blob-get/<name>")]
async fn get_object(platform: &State<Arc<Platform>>, name: &str) -> (Status, Vec<u8>) {
    if let Err((status, _)) = platform.inject_faults().await {
        return (status, Vec::new());
    }
    match platform.database.lock().objects.get(name) {
        Some(bytes) => (Status::Ok, bytes.clone()),
        None => (Status::NotFound, Vec::new()),
    }
}

#[put("/v1/blob-put/<name>", data = "<data>")]
async fn put_object(platform: &State<Arc<Platform>>, name: &str, data: Data<'_>) -> JsonResponse {
    if let Err(refusal) = platform.inject_faults().await {
        return refusal;
    }
    let Ok(bytes) = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await else {
        return empty_response(Status::BadRequest);
    };
    let bytes = bytes.into_inner();
    platform
        .database
        .lock()
        .objects
        .insert(name.to_owned(), bytes);
    if platform.take_lost_answer() {
        time::sleep(LOST_ANSWER_SILENCE).await;
    }
    empty_response(Status::Ok)
}

/// Changes instances, visible after the list's lag.
fn change_instances(platform: &Arc<Platform>, changes: Vec<(String, Option<String>)>) {
    let platform = platform.clone();
    let lag = Duration::from_millis(platform.settings.list_lag_ms);
    rocket::tokio::spawn(async move {
        time::sleep(lag).await;
        platform.update(|database| {
            database.version += 1;
            for (id, value) in changes {
                database.write_row((INSTANCES_TABLE.to_owned(), id), value);
            }
        });
    });
}

#[put("/standin/instances", data = "<data>")]
async fn put_instances(platform: &State<Arc<Platform>>, data: Data<'_>) -> Status {
    let Some(instances) = read_body::<Vec<Instance>>(data).await else {
        return Status::BadRequest;
    };
    let changes = instances.into_iter().map(|instance| {
        let value = serde_json::to_vec(&instance).unwrap_or_default();
        (instance.id.to_string(), Some(BASE64_STANDARD.encode(value)))
    });
    change_instances(platform, changes.collect());
    Status::Ok
}

#[delete("/standin/instances/<id>")]
fn delete_instance(platform: &State<Arc<Platform>>, id: &str) -> Status {
    change_instances(platform, vec![(id.to_owned(), None)]);
    Status::Ok
}

/// Forgets the history: a feed since any earlier version is answered 410.
#[post("/standin/forget")]
fn forget_history(platform: &State<Arc<Platform>>) -> Status {
    platform.update(|database| {
        database.version += 1;
        database.truncated_version = database.version;
        database.history.clear();
    });
    Status::Ok
}

/// Lets the entries of a table lapse.
#[post("/standin/lapse/<table>")]
fn expire_table(platform: &State<Arc<Platform>>, table: &str) -> Status {
    platform.update(|database| {
        database.version += 1;
        let ids: Vec<RowId> = database
            .rows
            .keys()
            .filter(|id| id.0 == table)
            .cloned()
            .collect();
        for id in ids {
            database.write_row(id, None);
        }
    });
    Status::Ok
}

#[post("/standin/faults", data = "<data>")]
async fn set_faults(platform: &State<Arc<Platform>>, data: Data<'_>) -> Status {
    let Some(faults) = read_body::<Faults>(data).await else {
        return Status::BadRequest;
    };
    *platform.faults.lock() = faults;
    Status::Ok
}

#[get("/standin/stats")]
fn get_stats(platform: &State<Arc<Platform>>) -> JsonResponse {
    let database = platform.database.lock();
    json_response(&Stats {
        reads: database.reads,
        writes: database.writes,
    })
}

/// Serves until the process ends.
///
/// # Errors
///
/// `Error::Host` if the port cannot be listened on.
pub async fn run(settings: Settings) -> Result<()> {
    let address = settings.address;
    let platform = Arc::new(Platform {
        settings,
        database: Mutex::default(),
        faults: Mutex::default(),
        changed: Notify::new(),
        started: Instant::now(),
    });
    let all = routes![
        transact,
        get_rows,
        get_changes,
        get_object,
        put_object,
        put_instances,
        delete_instance,
        forget_history,
        expire_table,
        set_faults,
        get_stats
    ];
    serve::launch(serve::build(address, all).manage(platform)).await
}
