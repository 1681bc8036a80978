//! A stand-in for the platform's store: rows with conditional transactions, range queries and a change feed, and
//! objects. It injects outages, rejected calls, delays, lost answers, late writes,
//! a truncated change history, and the restore of a copy that is some seconds old, with which a new era begins.
//!
//! The list of instances is a table whose changes become visible after a lag.

mod database;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::prelude::{Engine as _, BASE64_STANDARD};
use parking_lot::Mutex;
use rocket::data::ToByteUnit;
use rocket::fairing::AdHoc;
use rocket::http::{ContentType, Status};
use rocket::{delete, get, post, put, routes, Data, FromForm, State};
use sardinemux_wire::platform::Instance;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time;

use crate::errors::Result;
use crate::serve;
use database::{build_row, row_id, Database, Page, Row, RowId, Transaction};

/// The settings of the store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The time until a change of the instance list becomes visible, in milliseconds.
    pub list_lag_ms: u64,
}

/// The faults that the store injects. Reads of the instance list are subject to `is_list_down` only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Calls are answered 503 and have no effect.
    pub is_down: bool,
    /// Calls are answered 429 and have no effect.
    pub is_busy: bool,
    /// The delay before each call is handled, in milliseconds.
    pub slow_ms: u64,
    /// The number of coming writes that take effect, but whose answers are lost.
    pub lose_answers: u32,
    /// The delay before a transaction whose answer is lost takes effect, in milliseconds.
    pub late_ms: u64,
    /// Reads of the instance list are answered 503.
    pub is_list_down: bool,
}

/// The store, its faults and the time of its start.
pub struct Platform {
    settings: Settings,
    database: Mutex<Database>,
    faults: Mutex<Faults>,
    changed: Notify,
    started: Instant,
}

/// The calls that the store has counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// The reads of rows: range queries, feed queries, and one for the answer to each transaction.
    pub reads: u64,
    /// The transactions, applied or not.
    pub writes: u64,
}

/// The number of the store's life, in all its answers.
const ERA_HEADER: &str = "store-era";

/// The time for which a lost answer is withheld.
const LOST_ANSWER_SILENCE: Duration = Duration::from_secs(20);

/// The greatest length of a request body, in bytes.
const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// The greatest number of rows in the answer to a range query.
const PAGE_ROWS_MAX: usize = 500;

/// The longest time for which a feed query waits for a change, in milliseconds.
const WAIT_MAX_MS: u64 = 30_000;

/// The table of instances, whose changes become visible after a lag.
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
    /// Applies the injected delay; returns the response as `Err` if the faults reject the call.
    async fn inject_faults(&self) -> std::result::Result<(), JsonResponse> {
        let faults = *self.faults.lock();
        time::sleep(Duration::from_millis(faults.slow_ms)).await;
        match faults {
            Faults { is_down: true, .. } => Err(empty_response(Status::ServiceUnavailable)),
            Faults { is_busy: true, .. } => Err(empty_response(Status::TooManyRequests)),
            _ => Ok(()),
        }
    }

    /// Applies the faults that concern reads of a table; the instance list has a fault of its own.
    async fn inject_read_faults(&self, table: &str) -> std::result::Result<(), JsonResponse> {
        if table != INSTANCES_TABLE {
            return self.inject_faults().await;
        }
        match self.faults.lock().is_list_down {
            true => Err(empty_response(Status::ServiceUnavailable)),
            false => Ok(()),
        }
    }

    /// Returns whether the answer of this write is lost, and counts it as one of `lose_answers`.
    fn take_lost_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the response to a call. `rows` and `has_more` are present only in those of calls that return them.
    fn page_response(
        &self,
        rows: Option<Vec<Row>>,
        has_more: Option<bool>,
        ver: u64,
    ) -> JsonResponse {
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
    match is_applied {
        true => platform.page_response(None, None, database.version),
        false => {
            let rows = Some(rows.collect());
            let answer = platform.page_response(rows, None, database.version);
            (Status::PreconditionFailed, answer.1)
        }
    }
}

/// The query of a range of keys in a table, from `from` up to, but without, `to`.
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
    platform.page_response(Some(rows), Some(has_more), database.version)
}

/// The query of the changes to a table after a version.
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
            if !database.has_history_since(feed.since) {
                return empty_response(Status::Gone);
            }
            let rows = database.changes_since(&feed.table, feed.since);
            if !rows.is_empty() || time::Instant::now() >= until {
                return platform.page_response(Some(rows), None, database.version);
            }
        }
        // The loop checks the deadline itself, after it has looked for changes once more.
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

/// Writes or removes instances after the lag of the instance list.
fn change_instances(platform: &Arc<Platform>, changes: Vec<(String, Option<String>)>) {
    let platform = platform.clone();
    let lag = Duration::from_millis(platform.settings.list_lag_ms);
    rocket::tokio::spawn(async move {
        time::sleep(lag).await;
        platform.update(|database| {
            database.begin_version();
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

/// Discards the change history: a feed query since any earlier version is answered 410.
#[post("/standin/forget")]
fn forget_history(platform: &State<Arc<Platform>>) -> Status {
    platform.update(|database| {
        database.begin_version();
        database.truncated_version = database.version;
        database.history.clear();
    });
    Status::Ok
}

/// Removes all rows of a table, as if they had expired.
#[post("/standin/lapse/<table>")]
fn expire_table(platform: &State<Arc<Platform>>, table: &str) -> Status {
    platform.update(|database| {
        database.begin_version();
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

/// Restores a copy of the contents that is `age_ms` old, with which a new era begins.
#[post("/standin/restore?<age_ms>")]
fn restore(platform: &State<Arc<Platform>>, age_ms: u64) -> Status {
    platform.update(|database| database.restore(Duration::from_millis(age_ms)));
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

/// Serves the store until the process ends.
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
        restore,
        set_faults,
        get_stats
    ];
    let states_era = AdHoc::on_response("era", |request, response| {
        Box::pin(async move {
            if let Some(platform) = request.rocket().state::<Arc<Platform>>() {
                let era = platform.database.lock().era;
                response.set_raw_header(ERA_HEADER, era.to_string());
            }
        })
    });
    let server = serve::build(address, all).attach(states_era);
    serve::launch(server.manage(platform)).await
}
