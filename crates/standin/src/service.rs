//! A stand-in for a plain service, which counts the runs of each operation.

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

/// The parameters of a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address that the service listens on.
    pub address: SocketAddr,
    /// The time that one call takes, in milliseconds.
    pub work_ms: u64,
}

/// The body of a call that is not a `GET`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The unique name of the operation, which the caller chooses at random.
    pub operation: String,
}

/// The counters of a service: the answer to `GET /standin/stats`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// The number of runs of each operation, without `GET` calls.
    pub runs: IndexMap<String, u32>,
    /// The number of calls in progress.
    pub running: u32,
    /// The number of `GET` calls, which only read.
    pub reads: u64,
}

/// A stand-in service, which its routes share.
pub struct Service {
    settings: Settings,
    stats: Mutex<Stats>,
    refusals_left: Mutex<u32>,
}

/// Handles the calls of all paths that are not routes of the stand-in itself.
#[derive(Clone)]
struct CallHandler {
    service: Arc<Service>,
}

/// The last segment of the path of calls that are answered with a stream of events which ends inside an event.
pub const BROKEN_EVENTS: &str = "broken-events";

/// The last segment of the path of calls that are answered with a status that ends no exchange.
pub const SWITCHING: &str = "switching-protocols";

/// The body of the answer to [`BROKEN_EVENTS`].
const BROKEN_EVENTS_BODY: &str = "id: 1\ndata: a\n\nid: 2\nda";

/// The methods of calls.
const METHODS: [Method; 3] = [Method::Get, Method::Post, Method::Put];

/// The greatest length of a request body, in bytes.
const BODY_MAX_BYTES: u64 = 1024 * 1024;

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let answer = self.service.answer_call(request, data).await;
        Outcome::from(request, answer)
    }
}

impl Service {
    /// Runs the operation of a call and returns its answer. The answer to a call that is refused or names no operation
    /// has the header that says that it was not run.
    async fn answer_call(&self, request: &Request<'_>, data: Data<'_>) -> Reply {
        let id = request.headers().get_one(header::REQUEST_ID);
        let id = id.unwrap_or_default().to_owned();
        let path = request.uri().path().to_string();
        let answer = |status: u16, body: &str| {
            let reply = Reply::buffered(status, "application/json", body.as_bytes().to_vec());
            reply.with_header(header::REQUEST_ID, id.clone())
        };
        let not_run =
            |status: u16| answer(status, "{}").with_header(header::NOT_RUN, "1".to_owned());
        if self.take_refusal() {
            return not_run(503);
        }
        let operation = match request.method() {
            Method::Get => request
                .query_value::<String>("operation")
                .and_then(|value| value.ok()),
            _ => read_operation(data).await.map(|body| body.operation),
        };
        let Some(operation) = operation else {
            return not_run(400);
        };
        self.count_call(request.method(), &operation);
        time::sleep(Duration::from_millis(self.settings.work_ms)).await;
        self.stats.lock().running -= 1;
        if path.ends_with(BROKEN_EVENTS) {
            return answer(200, BROKEN_EVENTS_BODY)
                .with_header("Content-Type", "text/event-stream".to_owned());
        }
        if path.ends_with(SWITCHING) {
            return answer(101, "");
        }
        answer(200, &text::service_answer(&path, &operation))
    }

    /// Returns whether the next call is to be refused, and counts it off if so.
    fn take_refusal(&self) -> bool {
        let mut refusals = self.refusals_left.lock();
        let refuses = *refusals > 0;
        *refusals = refusals.saturating_sub(1);
        refuses
    }

    /// Counts a call as in progress and its operation as read or run.
    fn count_call(&self, method: Method, operation: &str) {
        let mut stats = self.stats.lock();
        stats.running += 1;
        match method {
            Method::Get => stats.reads += 1,
            _ => *stats.runs.entry(operation.to_owned()).or_default() += 1,
        }
    }
}

/// Returns the operation in a request body, or `None` if the body is incomplete or malformed.
async fn read_operation(data: Data<'_>) -> Option<Operation> {
    let body = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await.ok()?;
    serde_json::from_slice(&body).ok()
}

#[get("/standin/stats")]
fn stats(service: &State<Arc<Service>>) -> (ContentType, String) {
    let stats = service.stats.lock().clone();
    let text = serde_json::to_string(&stats).unwrap_or_default();
    (ContentType::JSON, text)
}

/// Refuses a number of calls from now on, with the header that says that they were not run.
#[post("/standin/refuse?<calls>")]
fn refuse(service: &State<Arc<Service>>, calls: u32) -> Status {
    *service.refusals_left.lock() = calls;
    Status::Ok
}

/// Serves a service until the server is told to stop.
///
/// # Errors
///
/// `Error::Host` if the server cannot listen on its address.
pub async fn run(settings: Settings) -> Result<()> {
    let address = settings.address;
    let service = Arc::new(Service {
        settings,
        stats: Mutex::default(),
        refusals_left: Mutex::default(),
    });
    let handler = CallHandler {
        service: service.clone(),
    };
    let mut all_routes = routes![stats, refuse];
    all_routes.extend(METHODS.map(|method| {
        let mut route = Route::new(method, "/<path..>", handler.clone());
        route.rank = 10;
        route
    }));
    serve::launch(serve::build(address, all_routes).manage(service)).await
}
