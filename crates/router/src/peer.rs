//! The HTTP routes for other routers and for administration programs.

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome as GuardOutcome};
use rocket::response::stream::ByteStream;
use rocket::{post, routes, Data, Request, Route, State};
use sardinemux_core::membership::Member;
use sardinemux_host::body::{self, Body};
use sardinemux_host::reply::Reply;
use sardinemux_wire::gossip::{Message, Update};
use sardinemux_wire::peer::{
    ClaimAnswer, ClaimQuery, ClaimStatus, Handover, HandoverAnswer, StatusAnswer, StatusQuery,
};
use sardinemux_wire::{codec, forward, header};
use serde::{de::DeserializeOwned, Serialize};

use crate::owner::{self, admission, takeover};
use crate::peer_client::{REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES};
use crate::prelude::*;
use crate::{config_sync, gossip};

/// The maximum size of a request body, in bytes.
const MESSAGE_MAX_BYTES: u64 = codec::MESSAGE_MAX_BYTES as u64;

/// Returns the routes. The server's managed state must include an `Arc<Router>`.
pub fn routes() -> Vec<Route> {
    let mut routes = routes![
        answer_gossip,
        answer_forward,
        answer_fate,
        answer_handover,
        answer_claim,
        answer_config_after,
        answer_config_push,
        answer_version,
        answer_load
    ];
    routes.extend(body::refuse_others(refuse));
    routes
}

/// Request guard that admits only requests with the shared token of the fleet's programs.
pub struct Peer;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Peer {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> GuardOutcome<Self, ()> {
        match has_token(request) {
            true => GuardOutcome::Success(Self),
            // The request goes on to the routes that refuse it and discard its body.
            false => GuardOutcome::Forward(Status::Unauthorized),
        }
    }
}

fn has_token(request: &Request<'_>) -> bool {
    let token = request.headers().get_one(header::PEER_TOKEN);
    let router = request.rocket().state::<Arc<Router>>();
    let expected = router.map(|router| router.settings.peer_token.as_str());
    token.is_some() && token == expected
}

/// Replies to a request that no other route takes.
fn refuse(request: &Request<'_>) -> Reply {
    let is_for_peers = request.uri().path().starts_with("/peer/");
    let status = match is_for_peers && !has_token(request) {
        true => Status::Unauthorized,
        false => Status::NotFound,
    };
    Reply::buffered(status.code, "text/plain", Vec::new())
}

/// An encoded response, or the HTTP status of a failed request.
type Answer = std::result::Result<Vec<u8>, Status>;

/// Reads and decodes the message in a request body; returns it with the body's length in bytes.
///
/// # Errors
///
/// `Status::PayloadTooLarge` if the body exceeds [`MESSAGE_MAX_BYTES`], `Status::BadRequest` if it cannot be read or
/// decoded.
async fn read_message<T: DeserializeOwned>(
    data: Data<'_>,
) -> std::result::Result<(T, usize), Status> {
    let mut body = Body::new(data, MESSAGE_MAX_BYTES);
    let read = body.read().await.map_err(|_| Status::BadRequest)?;
    let Some(body) = read else {
        body.discard().await;
        return Err(Status::PayloadTooLarge);
    };
    let message = codec::decode(&body).map_err(|_| Status::BadRequest)?;
    Ok((message, body.len()))
}

/// Encodes the response and adds the bytes of request and response to the metric of control traffic.
fn encode_answer<T: Serialize>(
    router: &Router,
    purpose: &str,
    received: usize,
    message: &T,
) -> Answer {
    let body = codec::encode(message).map_err(|_| Status::InternalServerError)?;
    let sent = body.len() + RESPONSE_OVERHEAD_BYTES;
    router
        .metrics
        .record_control_bytes(purpose, sent, received + REQUEST_OVERHEAD_BYTES);
    Ok(body)
}

#[post("/peer/gossip", data = "<data>")]
async fn answer_gossip(_peer: Peer, router: &State<Arc<Router>>, data: Data<'_>) -> Answer {
    let (message, received) = read_message::<Message>(data).await?;
    let sender: Option<Member> = message.members.first().cloned();
    gossip::handle_message(router, message);
    let reply = gossip::build_message(router, sender.as_ref());
    encode_answer(router, "gossip", received, &reply)
}

#[post("/peer/forward", data = "<data>")]
async fn answer_forward(
    _peer: Peer,
    router: &State<Arc<Router>>,
    data: Data<'_>,
) -> std::result::Result<ByteStream![Vec<u8>], Status> {
    let (request, _) = read_message::<forward::Request>(data).await?;
    let mut frames = owner::serve(router.inner().clone(), request);
    Ok(ByteStream! {
        while let Some(frame) = frames.recv().await {
            match codec::encode_prefixed(&frame) {
                Ok(bytes) => yield bytes.to_vec(),
                Err(_) => break,
            }
        }
    })
}

#[post("/peer/fate", data = "<data>")]
async fn answer_fate(_peer: Peer, router: &State<Arc<Router>>, data: Data<'_>) -> Answer {
    let (question, received) = read_message::<StatusQuery>(data).await?;
    let now_ms = router.now_ms();
    let status = router.fence.lock().status_or_fence(question.id, now_ms);
    let kept = router.kept_answers.lock();
    let kept = kept.get(&question.id).map(|kept| kept.answer.clone());
    let reply = StatusAnswer {
        id: question.id,
        boot: router.boot,
        status,
        answer: kept,
    };
    encode_answer(router, "fate", received, &reply)
}

#[post("/peer/handover", data = "<data>")]
async fn answer_handover(_peer: Peer, router: &State<Arc<Router>>, data: Data<'_>) -> Answer {
    let (question, received) = read_message::<Handover>(data).await?;
    let reply: HandoverAnswer = takeover::answer_handover(router, question);
    encode_answer(router, "handover", received, &reply)
}

#[post("/peer/claim", data = "<data>")]
async fn answer_claim(_peer: Peer, router: &State<Arc<Router>>, data: Data<'_>) -> Answer {
    let (question, received) = read_message::<ClaimQuery>(data).await?;
    let status = router.claims.lock().get(&question.nonce).copied();
    let reply = ClaimAnswer {
        nonce: question.nonce,
        boot: router.boot,
        status: status.unwrap_or(ClaimStatus::NotDispatched),
    };
    encode_answer(router, "claim", received, &reply)
}

#[post("/peer/config/after", data = "<data>")]
async fn answer_config_after(_peer: Peer, router: &State<Arc<Router>>, data: Data<'_>) -> Answer {
    let (version, received) = read_message(data).await?;
    let update = config_sync::update_after(router, version);
    encode_answer(router, "config/after", received, &update)
}

#[post("/peer/config/push", data = "<data>")]
async fn answer_config_push(_peer: Peer, router: &State<Arc<Router>>, data: Data<'_>) -> Answer {
    let (update, received) = read_message::<Update>(data).await?;
    config_sync::apply_update(router, update);
    let version = router.config.read().version;
    encode_answer(router, "config/push", received, &version)
}

#[post("/peer/version")]
async fn answer_version(_peer: Peer, router: &State<Arc<Router>>) -> Answer {
    let version = router.config.read().version;
    encode_answer(router, "version", 0, &version)
}

#[post("/peer/load")]
async fn answer_load(_peer: Peer, router: &State<Arc<Router>>) -> Answer {
    let load = admission::target_loads(router);
    encode_answer(router, "load", 0, &load)
}
