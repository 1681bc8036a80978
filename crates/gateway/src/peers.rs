//! The exchange of entries between gateways over TCP: a gateway requests the changes of a topic from another by long
//! polling.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_ENCODING;
use hyper::{Method, Request, Response, StatusCode};
use sardinemux_core::catalog::patch::Held;
use sardinemux_core::position::{Era, Position};
use sardinemux_core::uplink::LARGE_BYTES;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::time;

use crate::appendix;
use crate::client::{Limits, Progress, ANSWER_MAX_BYTES};
use crate::compression::{self, CODING};
use crate::errors::{
    BuildSnafu, CompressSnafu, DecodeSnafu, DecompressSnafu, EncodeSnafu, MismatchSnafu,
};
use crate::hop;
use crate::prelude::*;
use crate::relay::{Holdings, Update};
use crate::replication::{self, View};
use crate::reply::{self, Body};
use crate::source::{Batch, Fact, Topic};
use crate::uplink;
use crate::whole::Whole;

/// The time after which a query without changes is answered. It is short so that a reader that no longer answers is
/// detected well within the two seconds in which all gateways must know that a target leaves.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// The time for the head of the response to a query in addition to [`LONG_POLL_TIMEOUT`], and for each part of its body.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);

/// The time limit of a query for all entries of a topic up to the head of the response, and between its parts.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// The time limit of a query whose response keeps arriving: the largest catalogue takes 7 s at the pace of a link of 10 Mbit/s.
const RESPONSE_MAX: Duration = Duration::from_secs(20);

/// The largest accepted body of a query, in bytes.
const QUERY_MAX_BYTES: usize = 4_096;

/// How long a query whose answer is a large update waits for others to be sent. After that, its sender gets nothing and asks
/// another gateway.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the body of a query may take to arrive.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A query for the changes of a topic.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Query {
    topic: Topic,
    /// The position up to which the sender has the topic; `None` requests the complete list.
    since: Option<Position>,
    /// The version of the catalogue that the sender has in force, or zero if it has none.
    catalog: u64,
    /// Whether the response may be delayed until there are changes.
    waits: bool,
    /// A random number, which the answer repeats.
    id: u64,
}

/// The appendix of a query and of its answer.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Appendix {
    /// The era of the positions in the message.
    era: Era,
    /// Whether the sender of a query reads orders of rollouts. A build that does not cannot decode a batch that holds one.
    reads_rollouts: bool,
    /// Whether the sender of a query reads compressed answers.
    reads_compressed: bool,
    /// In a query, the fingerprint of the catalogue that the sender has in force; in an answer, that of the catalogue to which the patch
    /// in it leads.
    fingerprint: Option<u64>,
    /// In an answer, what the list of the sender holds: the version of its position and the sum of its keys.
    holdings: Option<(u64, u64)>,
}

/// The answer to a query.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
    /// The number of the query. An answer with another one belongs to another query.
    id: u64,
    update: Update,
}

/// What is requested from another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The complete list.
    Whole,
    /// The changes since the position that this gateway has, or the complete list if it has none.
    Changes {
        /// Whether the response may be delayed until there are some.
        waits: bool,
    },
}

/// Requests the entries of a topic from another gateway. `progress` is told what arrives.
///
/// # Errors
///
/// As [`Client::call`](crate::client::Client::call), `Error::Decode` if the response cannot be decoded, and
/// `Error::Mismatch` if it is that to another query.
pub async fn fetch_update(
    gateway: &Gateway,
    address: SocketAddr,
    topic: Topic,
    scope: Scope,
    progress: &Progress,
) -> Result<Update> {
    let (era, checks_patches) = {
        let members = gateway.members.lock();
        (members.era(address, topic), members.checks_patches(address))
    };
    let (since, is_whole_due) = {
        let views = gateway.views.lock();
        let view = views.get(&topic);
        let position = view.and_then(View::since);
        // Only the complete list replaces entries of an earlier era.
        let position = position.filter(|it| it.era >= era && scope != Scope::Whole);
        (position, view.is_some_and(View::is_whole_due))
    };
    // A gateway of an earlier build may give a patch for a version that it has never held.
    let held = match scope == Scope::Whole || is_whole_due || !checks_patches {
        true => Held::default(),
        false => gateway.history.lock().latest(),
    };
    let query = Query {
        topic,
        since,
        catalog: held.version,
        waits: scope == Scope::Changes { waits: true },
        id: rand::random(),
    };
    let id = query.id;
    let appendix = Appendix {
        era: since.and_then(|since| since.era),
        reads_rollouts: true,
        reads_compressed: true,
        fingerprint: held.fingerprint,
        holdings: None,
    };
    let query = appendix::encode(&query, &appendix).context(EncodeSnafu)?;
    let request = Request::post("/news")
        .header(hyper::header::HOST, address.to_string())
        .body(Whole::from(Bytes::from(query)))
        .context(BuildSnafu)?;
    let limits = match since {
        Some(_) => Limits {
            head: LONG_POLL_TIMEOUT + RESPONSE_MARGIN,
            pause: RESPONSE_MARGIN,
            whole: RESPONSE_MAX,
        },
        None => Limits {
            head: LIST_TIMEOUT,
            pause: LIST_TIMEOUT,
            whole: RESPONSE_MAX,
        },
    };
    let client = gateway.members.lock().client(address, topic);
    let reply = client.call(request, limits, progress).await?;
    let body = reply.response().body();
    let body = match reply.response().headers().get(CONTENT_ENCODING) == Some(&CODING) {
        true => {
            compression::decompress(body, ANSWER_MAX_BYTES).context(DecompressSnafu { address })?
        }
        false => body.to_vec(),
    };
    if body.len() >= LARGE_BYTES {
        gateway.uplink.note_received();
    }
    let answer = appendix::decode(&body);
    let (answer, appendix): (Answer, Option<Appendix>) = answer.context(DecodeSnafu { address })?;
    snafu::ensure!(answer.id == id, MismatchSnafu { address });
    reply.accept();
    Ok(complete_update(
        answer.update,
        &appendix.unwrap_or_default(),
    ))
}

/// Adds to an update what the appendix of its answer states.
fn complete_update(update: Update, appendix: &Appendix) -> Update {
    let mut batch = update.batch.in_era(appendix.era);
    for entry in &mut batch.entries {
        if let Some(Fact::Patch(patch)) = &mut entry.fact {
            Arc::make_mut(patch).result = appendix.fingerprint;
        }
    }
    let holdings = appendix.holdings.map(|(version, keys)| Holdings {
        position: Position::new(appendix.era, version),
        keys,
    });
    Update {
        batch,
        holdings,
        ..update
    }
}

/// Returns the changes that answer a query.
///
/// If there are none, the query allows a delay and this gateway follows the store, waits for some, at most for
/// [`LONG_POLL_TIMEOUT`].
///
/// The appendix of the query is missing if its sender is of a build that has none.
async fn wait_for_update(gateway: &Gateway, query: Query, appendix: Option<Appendix>) -> Update {
    let era = appendix.map(|it| it.era);
    let peer = Held {
        version: query.catalog,
        fingerprint: appendix.and_then(|it| it.fingerprint),
    };
    let until = time::Instant::now() + LONG_POLL_TIMEOUT;
    loop {
        let (found, holdings, is_following, mut changed) = {
            let mut views = gateway.views.lock();
            let view = views.entry(query.topic).or_default();
            let era = era.unwrap_or(view.log.position().era);
            let since = query.since.map(|since| since.in_era(era));
            let found = view.log.changes_since(since);
            let changed = view.log.subscribe();
            (found, view.log.holdings(), view.is_following(), changed)
        };
        let (is_complete, mut batch) = match found {
            Some(found) => found,
            None if query.waits && is_following && time::Instant::now() < until => {
                // The loop checks for changes first and then for the deadline, so the result is not needed.
                let _ = time::timeout_at(until, changed.changed()).await;
                continue;
            }
            None => {
                let entries = Vec::new();
                let position = Position::new(holdings.position.era, 0);
                (false, Batch { entries, position })
            }
        };
        replication::substitute_patches(gateway, &mut batch, peer);
        return Update {
            is_following,
            is_complete,
            batch,
            holdings: Some(holdings),
        };
    }
}

/// Handles a request of another gateway.
///
/// # Errors
///
/// Never; a failure is answered with an error status.
pub async fn handle_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Body>, Infallible> {
    if hop::is_relayed(request.headers()) {
        return Ok(hop::serve(gateway, request).await);
    }
    let is_known = request.method() == Method::POST && request.uri().path() == "/news";
    let body = Limited::new(request.into_body(), QUERY_MAX_BYTES).collect();
    let query = match time::timeout(QUERY_TIMEOUT, body).await {
        Ok(Ok(body)) if is_known => appendix::decode::<Query, Appendix>(&body.to_bytes()),
        _ => return Ok(empty_response(StatusCode::NOT_FOUND)),
    };
    let Ok((query, appendix)) = query else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    Ok(match respond(&gateway, query, appendix).await {
        Ok(response) => response,
        Err(error) => {
            log::error!(error:% = error; "cannot encode the changes for another gateway; answered with status 500");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    })
}

/// Returns the answer to a query. A large update is sent once there is room for it on the link; if there is none in time, the answer
/// states that this gateway has nothing to tell.
async fn respond(
    gateway: &Arc<Gateway>,
    query: Query,
    appendix: Option<Appendix>,
) -> Result<Response<Body>> {
    let stated = appendix;
    let appendix = appendix.unwrap_or_default();
    let encode = |update| encode_update(query, update, appendix.reads_rollouts);
    let update = wait_for_update(gateway, query, stated).await;
    let position = Position::new(update.batch.position.era, 0);
    let bytes = encode(update)?;
    if bytes.len() < LARGE_BYTES {
        count_relayed(gateway, query.topic, bytes.len());
        return Ok(Response::new(reply::full_body(bytes)));
    }
    drop(bytes);
    let until = time::Instant::now() + TRANSFER_TIMEOUT;
    let Some(transfer) = gateway.uplink.begin(until).await else {
        let put_off = &gateway.metrics.updates_put_off;
        put_off.with_label_values(&[query.topic.name()]).inc();
        return Ok(Response::new(reply::full_body(encode(nothing(position))?)));
    };
    // More may have changed while others were sent.
    let bytes = encode(wait_for_update(gateway, query, stated).await)?;
    let compressed = appendix
        .reads_compressed
        .then(|| compression::compress(&bytes));
    let compressed = compressed.transpose().context(CompressSnafu)?;
    let is_compressed = compressed.is_some();
    let size = bytes.len();
    let bytes = compressed.unwrap_or(bytes);
    count_relayed(gateway, query.topic, bytes.len());
    log::info!(topic = query.topic.name(), bytes = bytes.len(), size = size; "sending a large update to another gateway");
    let parts = uplink::pace(gateway.uplink.clone(), bytes, transfer);
    let parts = parts.map(|part| Ok(Frame::data(part)));
    let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
    if is_compressed {
        response.headers_mut().insert(CONTENT_ENCODING, CODING);
    }
    Ok(response)
}

/// Returns the update of a gateway that has nothing to tell.
fn nothing(position: Position) -> Update {
    let entries = Vec::new();
    Update {
        batch: Batch { entries, position },
        ..Update::default()
    }
}

/// Encodes the answer to a query.
fn encode_update(query: Query, mut update: Update, reads_rollouts: bool) -> Result<Bytes> {
    if !reads_rollouts {
        replication::hide_rollouts(&mut update.batch);
    }
    let patches = update.batch.entries.iter().map(|entry| match &entry.fact {
        Some(Fact::Patch(patch)) => patch.result,
        _ => None,
    });
    let holdings = update.holdings;
    let appendix = Appendix {
        era: update.batch.position.era,
        fingerprint: patches.flatten().next(),
        holdings: holdings.map(|it| (it.position.version, it.keys)),
        ..Appendix::default()
    };
    let answer = Answer {
        id: query.id,
        update,
    };
    let bytes = appendix::encode(&answer, &appendix).context(EncodeSnafu)?;
    Ok(Bytes::from(bytes))
}

/// Counts an update that is sent to another gateway.
fn count_relayed(gateway: &Gateway, topic: Topic, bytes: usize) {
    let counter = &gateway.metrics.relayed_bytes;
    counter
        .with_label_values(&[topic.name()])
        .inc_by(bytes as u64);
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(reply::full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
