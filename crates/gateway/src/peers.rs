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
use crate::prelude::*;
use crate::relay::News;
use crate::replication;
use crate::source::{Batch, Topic};

/// How long a question for news waits for some: a reader that stops answering must be noticed well inside the two
/// seconds in which a leaving target must be known.
const NEWS: Duration = Duration::from_millis(600);

/// The time limit of a question beyond its wait.
const NEWS_MARGIN: Duration = Duration::from_millis(400);

/// The time limit of a question for the whole of a topic: 3,000 targets take half a megabyte, and several gateways may
/// ask the same one over a link of 10 Mbit/s.
const WHOLE: Duration = Duration::from_secs(5);

/// The largest question to a gateway, in bytes.
const QUESTION_MAX: usize = 4_096;

/// A question for news.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Question {
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
pub async fn news(
    gateway: &Gateway,
    address: SocketAddr,
    topic: Topic,
    waits: bool,
) -> Result<News> {
    let since = {
        let views = gateway.views.lock();
        let log = views.get(&topic).map(|view| &view.log);
        log.filter(|log| log.is_filled()).map(|log| log.version())
    };
    let catalog = gateway.catalog.read().version();
    let question = Question {
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
        Some(_) => NEWS + NEWS_MARGIN,
        None => WHOLE,
    };
    let client = gateway.members.lock().client(address, topic);
    let response = client.call(request, limit).await?;
    rmp_serde::from_slice(response.body()).context(DecodeSnafu { address })
}

/// Answers at once if there is news, else when there is some, or without any after a while.
async fn tell(gateway: &Gateway, question: Question) -> News {
    let until = time::Instant::now() + NEWS;
    loop {
        let (found, is_following, mut changed) = {
            let mut views = gateway.views.lock();
            let view = views.entry(question.topic).or_default();
            let found = view.log.since(question.since);
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
        replication::substitute_patches(gateway, &mut batch, question.catalog);
        return News {
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
pub async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let is_known = request.method() == Method::POST && request.uri().path() == "/news";
    let body = Limited::new(request.into_body(), QUESTION_MAX)
        .collect()
        .await;
    let question = match body {
        Ok(body) if is_known => rmp_serde::from_slice::<Question>(&body.to_bytes()),
        _ => return Ok(status(StatusCode::NOT_FOUND)),
    };
    let Ok(question) = question else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let bytes = rmp_serde::to_vec(&tell(&gateway, question).await).context(EncodeSnafu);
    Ok(match bytes {
        Ok(bytes) => Response::new(Full::from(bytes)),
        Err(error) => {
            log::error!(error:% = error; "news cannot be told");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    })
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
