//! The platform's services: the lagging instance list, the transactional table and the object store,
//! with outages, slowness and answers that are lost after the write has taken effect.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome};
use rocket::{delete, get, post, put, routes, Data, Request, State};
use sardinemux_host::reply::Reply;
use sardinemux_wire::platform::{Instance, Row};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::errors::Result;
use crate::serve;

/// What the platform is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address.
    pub address: SocketAddr,
    /// How far the instance list lags, in milliseconds.
    pub list_lag_ms: u64,
}

/// What is wrong with the table and the object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// They answer 503 and do nothing.
    pub is_down: bool,
    /// They answer this much later, in milliseconds.
    pub slow_ms: u64,
    /// The answers of this many next writes are lost after the write has taken effect.
    pub lose_answers: u32,
    /// The instance list is down too.
    pub is_list_down: bool,
}

#[derive(Debug, Default)]
struct Stored {
    rows: BTreeMap<String, (u64, serde_json::Value)>,
    objects: IndexMap<String, serde_json::Value>,
    reads: u64,
    writes: u64,
}

#[derive(Debug, Default)]
struct List {
    now: IndexMap<String, Instance>,
    version: u64,
    published: Vec<Published>,
}

/// The list as it was at a moment.
#[derive(Debug)]
struct Published {
    at: Instant,
    version: u64,
    instances: Vec<Instance>,
}

/// The platform.
pub struct Platform {
    settings: Settings,
    stored: Mutex<Stored>,
    list: Mutex<List>,
    faults: Mutex<Faults>,
}

/// What the table has counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// The reads.
    pub reads: u64,
    /// The writes.
    pub writes: u64,
}

/// A lost answer shows as this much silence.
const LOST: Duration = Duration::from_secs(20);

/// The largest body, in bytes.
const BODY_MAX: u64 = 64 * 1024 * 1024;

type Json = (Status, (ContentType, String));

fn json<T: Serialize>(value: &T) -> Json {
    let text = serde_json::to_string(value).unwrap_or_default();
    (Status::Ok, (ContentType::JSON, text))
}

fn empty(status: Status) -> Json {
    (status, (ContentType::JSON, "{}".to_owned()))
}

/// The condition of a write.
enum Condition {
    Absent,
    Version(u64),
    None,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Condition {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let headers = request.headers();
        if headers.get_one("If-None-Match") == Some("*") {
            return Outcome::Success(Self::Absent);
        }
        let version = headers.get_one("If-Match").map(str::parse);
        match version {
            Some(Ok(version)) => Outcome::Success(Self::Version(version)),
            Some(Err(_)) => Outcome::Error((Status::BadRequest, ())),
            None => Outcome::Success(Self::None),
        }
    }
}

impl Platform {
    /// Waits as the faults say; `Err` if the table is down.
    async fn suffer(&self) -> std::result::Result<(), Json> {
        let faults = *self.faults.lock();
        time::sleep(Duration::from_millis(faults.slow_ms)).await;
        match faults.is_down {
            true => Err(empty(Status::ServiceUnavailable)),
            false => Ok(()),
        }
    }

    async fn lose_answer(&self) {
        let is_lost = {
            let mut faults = self.faults.lock();
            let is_lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            is_lost
        };
        if is_lost {
            time::sleep(LOST).await;
        }
    }

    fn write(&self, key: String, value: serde_json::Value, condition: &Condition) -> bool {
        let mut stored = self.stored.lock();
        stored.writes += 1;
        let version = stored.rows.get(&key).map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(*expected),
            Condition::None => true,
        };
        if holds {
            stored.rows.insert(key, (version.unwrap_or(0) + 1, value));
        }
        holds
    }
}

fn path_key(key: &Path) -> String {
    key.to_string_lossy().into_owned()
}

async fn read(data: Data<'_>) -> Option<serde_json::Value> {
    let body = data.open(BODY_MAX.bytes()).into_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

#[get("/table/<key..>")]
async fn row(platform: &State<Arc<Platform>>, key: PathBuf) -> Json {
    if let Err(refusal) = platform.suffer().await {
        return refusal;
    }
    let key = path_key(&key);
    let mut stored = platform.stored.lock();
    stored.reads += 1;
    match stored.rows.get(&key) {
        Some((version, value)) => json(&Row {
            key: key.into(),
            version: *version,
            value: value.clone(),
        }),
        None => empty(Status::NotFound),
    }
}

#[put("/table/<key..>", data = "<data>")]
async fn put_row(
    platform: &State<Arc<Platform>>,
    key: PathBuf,
    condition: Condition,
    data: Data<'_>,
) -> Json {
    if let Err(refusal) = platform.suffer().await {
        return refusal;
    }
    let Some(value) = read(data).await else {
        return empty(Status::BadRequest);
    };
    let is_written = platform.write(path_key(&key), value, &condition);
    platform.lose_answer().await;
    match is_written {
        true => empty(Status::Ok),
        false => empty(Status::PreconditionFailed),
    }
}

#[get("/rows?<prefix>&<after>&<limit>")]
async fn rows(
    platform: &State<Arc<Platform>>,
    prefix: String,
    after: String,
    limit: usize,
) -> Json {
    if let Err(refusal) = platform.suffer().await {
        return refusal;
    }
    let mut stored = platform.stored.lock();
    stored.reads += 1;
    let rows: Vec<Row> = stored
        .rows
        .range::<String, _>((
            std::ops::Bound::Excluded(after.max(prefix.clone())),
            std::ops::Bound::Unbounded,
        ))
        .take_while(|(key, _)| key.starts_with(&prefix))
        .take(limit)
        .map(|(key, (version, value))| Row {
            key: key.as_str().into(),
            version: *version,
            value: value.clone(),
        })
        .collect();
    json(&rows)
}

#[get("/objects/<key..>")]
async fn object(platform: &State<Arc<Platform>>, key: PathBuf) -> Json {
    if let Err(refusal) = platform.suffer().await {
        return refusal;
    }
    match platform.stored.lock().objects.get(&path_key(&key)) {
        Some(value) => json(value),
        None => empty(Status::NotFound),
    }
}

#[put("/objects/<key..>", data = "<data>")]
async fn put_object(platform: &State<Arc<Platform>>, key: PathBuf, data: Data<'_>) -> Json {
    if let Err(refusal) = platform.suffer().await {
        return refusal;
    }
    let Some(value) = read(data).await else {
        return empty(Status::BadRequest);
    };
    let key = path_key(&key);
    platform.stored.lock().objects.insert(key, value);
    platform.lose_answer().await;
    empty(Status::Ok)
}

/// The version of the list that a reader has.
struct Known(Option<u64>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Known {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let tag = request.headers().get_one("If-None-Match");
        Outcome::Success(Self(tag.and_then(|tag| tag.trim_matches('"').parse().ok())))
    }
}

#[get("/instances")]
async fn instances(platform: &State<Arc<Platform>>, known: Known) -> Reply {
    if platform.faults.lock().is_list_down {
        return Reply::whole(503, "text/plain", Vec::new());
    }
    let lag = Duration::from_millis(platform.settings.list_lag_ms);
    let mut list = platform.list.lock();
    let due = list
        .published
        .iter()
        .rposition(|list| list.at.elapsed() >= lag);
    let Some(index) = due else {
        return Reply::json(200, &Vec::<Instance>::new());
    };
    list.published.drain(..index);
    let published = &list.published[0];
    let reply = match known.0 == Some(published.version) {
        true => Reply::whole(304, "application/json", Vec::new()),
        false => Reply::json(200, &published.instances),
    };
    reply.with("ETag", format!("\"{}\"", published.version))
}

fn publish(list: &mut List) {
    list.version += 1;
    let published = Published {
        at: Instant::now(),
        version: list.version,
        instances: list.now.values().cloned().collect(),
    };
    list.published.push(published);
}

#[put("/standin/instances", data = "<data>")]
async fn put_instances(platform: &State<Arc<Platform>>, data: Data<'_>) -> Status {
    let value = read(data).await;
    let instances = value.and_then(|value| serde_json::from_value::<Vec<Instance>>(value).ok());
    let Some(instances) = instances else {
        return Status::BadRequest;
    };
    let mut list = platform.list.lock();
    for instance in instances {
        list.now.insert(instance.id.to_string(), instance);
    }
    publish(&mut list);
    Status::Ok
}

#[delete("/standin/instances/<id>")]
fn delete_instance(platform: &State<Arc<Platform>>, id: &str) -> Status {
    let mut list = platform.list.lock();
    list.now.shift_remove(id);
    publish(&mut list);
    Status::Ok
}

#[post("/standin/faults", data = "<data>")]
async fn set_faults(platform: &State<Arc<Platform>>, data: Data<'_>) -> Status {
    let value = read(data).await;
    let faults = value.and_then(|value| serde_json::from_value::<Faults>(value).ok());
    let Some(faults) = faults else {
        return Status::BadRequest;
    };
    *platform.faults.lock() = faults;
    Status::Ok
}

#[get("/standin/stats")]
fn stats(platform: &State<Arc<Platform>>) -> Json {
    let stored = platform.stored.lock();
    json(&Stats {
        reads: stored.reads,
        writes: stored.writes,
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
        stored: Mutex::default(),
        list: Mutex::default(),
        faults: Mutex::default(),
    });
    let all = routes![
        row,
        put_row,
        rows,
        object,
        put_object,
        instances,
        put_instances,
        delete_instance,
        set_faults,
        stats
    ];
    serve::launch(serve::build(address, all).manage(platform)).await
}
