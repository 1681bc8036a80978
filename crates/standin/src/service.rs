//! A plain service that counts every run by operation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Method, Status};
use rocket::route::{Handler, Outcome};
use rocket::{get, post, routes, Data, Request, Route, State};
use sardinemux_host::reply::Reply;
use sardinemux_wire::header;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::errors::Result;
use crate::{serve, text};

/// What a service is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address.
    pub address: SocketAddr,
    /// The time that one call takes, in milliseconds.
    pub work_ms: u64,
}

/// The body of a call that changes something.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Names the operation; the caller draws it at random.
    pub operation: String,
}

/// What a service has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// The runs of each operation.
    pub runs: IndexMap<String, u32>,
    /// The calls in progress.
    pub running: u32,
    /// The calls that only read.
    pub reads: u64,
}

/// A plain service.
pub struct Service {
    settings: Settings,
    stats: Mutex<Stats>,
    refusals: Mutex<u32>,
}

#[derive(Clone)]
struct Call {
    service: Arc<Service>,
}

/// The methods that are served.
const METHODS: [Method; 3] = [Method::Get, Method::Post, Method::Put];

/// The largest body, in bytes.
const BODY_MAX: u64 = 1024 * 1024;

#[rocket::async_trait]
impl Handler for Call {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let answer = self.service.call(request, data).await;
        Outcome::from(request, answer)
    }
}

impl Service {
    async fn call(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let id = request.headers().get_one(header::REQUEST_ID);
        let id = id.unwrap_or_default().to_owned();
        let path = request.uri().path().to_string();
        let answer = |status: u16, body: &str| {
            let reply = Reply::buffered(status, "application/json", body.as_bytes().to_vec());
            reply.with_header(header::REQUEST_ID, id.clone())
        };
        let not_run =
            |status: u16| answer(status, "{}").with_header(header::NOT_RUN, "1".to_owned());
        if self.refuses() {
            return not_run(503);
        }
        let operation = match request.method() {
            Method::Get => request
                .query_value::<String>("operation")
                .and_then(|value| value.ok()),
            _ => read(data).await.map(|body| body.operation),
        };
        let Some(operation) = operation else {
            return not_run(400);
        };
        self.note(request.method(), &operation);
        time::sleep(Duration::from_millis(self.settings.work_ms)).await;
        self.stats.lock().running -= 1;
        answer(200, &text::service_answer(&path, &operation))
    }

    fn refuses(&self) -> bool {
        let mut refusals = self.refusals.lock();
        let refuses = *refusals > 0;
        *refusals = refusals.saturating_sub(1);
        refuses
    }

    fn note(&self, method: Method, operation: &str) {
        let mut stats = self.stats.lock();
        stats.running += 1;
        match method {
            Method::Get => stats.reads += 1,
            _ => *stats.runs.entry(operation.to_owned()).or_default() += 1,
        }
    }
}

async fn read(data: Data<'_>) -> Option<Operation> {
    let body = data.open(BODY_MAX.bytes()).into_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

#[get("/standin/stats")]
fn stats(service: &State<Arc<Service>>) -> (ContentType, String) {
    let stats = service.stats.lock().clone();
    let text = serde_json::to_string(&stats).unwrap_or_default();
    (ContentType::JSON, text)
}

/// Refuses the next calls, truthfully saying that they did not run.
#[post("/standin/refuse?<calls>")]
fn refuse(service: &State<Arc<Service>>, calls: u32) -> Status {
    *service.refusals.lock() = calls;
    Status::Ok
}

/// Serves until the process ends.
///
/// # Errors
///
/// `Error::Host` if the port cannot be listened on.
pub async fn run(settings: Settings) -> Result<()> {
    let address = settings.address;
    let service = Arc::new(Service {
        settings,
        stats: Mutex::default(),
        refusals: Mutex::default(),
    });
    let call = Call {
        service: service.clone(),
    };
    let mut all = routes![stats, refuse];
    all.extend(METHODS.map(|method| {
        let mut route = Route::new(method, "/<path..>", call.clone());
        route.rank = 10;
        route
    }));
    serve::launch(serve::build(address, all).manage(service)).await
}
