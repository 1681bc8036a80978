//! News of operators and targets, which gateways ask for over TCP at one that reads the store.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::time;

use crate::errors::{BuildSnafu, DecodeSnafu, EncodeSnafu};
use crate::knowledge;
use crate::prelude::*;
use crate::relay::Update;
use crate::source::{Batch, Topic};

/// How long a question for news waits for some: a reader that stops answering must be noticed well inside the two
/// seconds in which a leaving target must be known.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// The time limit of a question beyond its wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);

/// The time limit of a question for the whole of a topic: 3,000 targets take half a megabyte, and several gateways may
/// ask the same one over a link of 10 Mbit/s.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest question to a gateway, in bytes.
const QUERY_MAX_BYTES: usize = 4_096;

/// A question for news.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Query {
    topic: Topic,
    /// The version up to which the asker knows the topic.
    since: Option<u64>,
    /// The version of the catalogue that the asker has in force; zero for none.
    catalog: u64,
    /// Whether the asker waits for news where there is none yet.
    waits: bool,
}

/// Asks another gateway for news of a topic, and waits for some if `waits` says so.
///
/// # Errors
///
/// As [`Client::call`](crate::client::Client::call), and `Error::Decode` for an answer that cannot be read.
pub async fn fetch_update(
    gateway: &Gateway,
    address: SocketAddr,
    topic: Topic,
    waits: bool,
) -> Result<Update> {
    let since = {
        let views = gateway.views.lock();
        let log = views.get(&topic).map(|view| &view.log);
        log.filter(|log| log.has_snapshot())
            .map(|log| log.version())
    };
    let catalog = gateway.catalog.read().version();
    let question = Query {
        topic,
        since,
        catalog,
        waits,
    };
    let question = rmp_serde::to_vec(&question).context(EncodeSnafu)?;
    let request = Request::post("/news")
        .header(hyper::header::HOST, address.to_string())
        .body(Full::from(question))
        .context(BuildSnafu)?;
    let limit = match since {
        Some(_) => LONG_POLL_TIMEOUT + RESPONSE_MARGIN,
        None => SNAPSHOT_TIMEOUT,
    };
    let client = gateway.members.lock().client(address, topic);
    let response = client.call(request, limit).await?;
    rmp_serde::from_slice(response.body()).context(DecodeSnafu { address })
}

/// Answers at once if there is news, else when there is some, or without any after a while.
async fn wait_for_update(gateway: &Gateway, question: Query) -> Update {
    let until = time::Instant::now() + LONG_POLL_TIMEOUT;
    loop {
        let (found, is_following, mut changed) = {
            let mut views = gateway.views.lock();
            let view = views.entry(question.topic).or_default();
            let found = view.log.changes_since(question.since);
            (found, view.is_following(), view.log.subscribe())
        };
        let (is_complete, mut batch) = match found {
            Some(found) => found,
            None if question.waits && is_following && time::Instant::now() < until => {
                // Running out of time is looked at above, with the news.
                let _ = time::timeout_at(until, changed.changed()).await;
                continue;
            }
            None => (false, Batch::default()),
        };
        knowledge::shorten(gateway, &mut batch, question.catalog);
        return Update {
            is_following,
            is_complete,
            batch,
        };
    }
}

/// Answers other gateways.
///
/// # Errors
///
/// Never; every failure is an answer.
pub async fn handle_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let is_known = request.method() == Method::POST && request.uri().path() == "/news";
    let body = Limited::new(request.into_body(), QUERY_MAX_BYTES)
        .collect()
        .await;
    let question = match body {
        Ok(body) if is_known => rmp_serde::from_slice::<Query>(&body.to_bytes()),
        _ => return Ok(empty_response(StatusCode::NOT_FOUND)),
    };
    let Ok(question) = question else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    let bytes = rmp_serde::to_vec(&wait_for_update(&gateway, question).await).context(EncodeSnafu);
    Ok(match bytes {
        Ok(bytes) => Response::new(Full::from(bytes)),
        Err(error) => {
            log::error!(error:% = error; "news cannot be told");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    })
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
