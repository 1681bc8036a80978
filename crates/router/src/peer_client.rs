//! The HTTP client for requests to other routers: control messages and forwarded requests.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use sardinemux_core::config::Version;
use sardinemux_core::control_traffic::Purpose;
use sardinemux_core::fence::RequestId;
use sardinemux_core::membership::Member;
use sardinemux_host::client;
use sardinemux_wire::codec::{self, Decoder, MESSAGE_MAX_BYTES};
use sardinemux_wire::forward::Request;
use sardinemux_wire::frame::{Body, Frame};
use sardinemux_wire::gossip::{Message, Update};
use sardinemux_wire::header;
use sardinemux_wire::peer::{
    ClaimAnswer, ClaimQuery, Handover, HandoverAnswer, StatusAnswer, StatusQuery,
};
use serde::{de::DeserializeOwned, Serialize};
use snafu::{ensure, ResultExt};
use tokio::sync::mpsc;
use tokio::time;

use crate::errors::{BodySnafu, CrossedSnafu, PeerSnafu, StatusSnafu};
use crate::prelude::*;

/// The bytes that an HTTP request takes on the socket besides its body.
pub const REQUEST_OVERHEAD_BYTES: usize = 200;

/// The bytes that an HTTP response takes on the socket besides its body.
pub const RESPONSE_OVERHEAD_BYTES: usize = 130;

/// Why a peer returned no frames for a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// The request was not encoded, or no connection was established: nothing was sent.
    NotSent,
    /// The request may have reached the peer.
    MaybeSent(Reason),
}

fn build_request(router: &Router, client: &Client, member: &Member, path: &str) -> RequestBuilder {
    client
        .post(format!("http://{}{path}", member.address))
        .header(header::PEER_TOKEN, router.settings.peer_token.as_str())
}

/// Returns the value of the metrics label `purpose` for the path of a control message.
pub fn purpose_label(path: &str) -> &str {
    path.trim_start_matches("/peer/")
}

/// Sends a control message and decodes the response. Both are counted in the metrics; the request is also withdrawn
/// from the control traffic budget.
async fn exchange<Q: Serialize, A: DeserializeOwned>(
    router: &Router,
    client: &Client,
    member: &Member,
    path: &str,
    question: &Q,
) -> Result<A> {
    let body = codec::encode(question)?;
    let sent = body.len() + REQUEST_OVERHEAD_BYTES;
    let now_ms = router.now_ms();
    // Correctness depends on handovers and queries, so they are sent even if the budget does not cover them; nothing is
    // withdrawn then.
    router
        .control_budget
        .lock()
        .try_withdraw(Purpose::Config, sent, now_ms);
    let purpose = purpose_label(path);
    router.metrics.record_control_bytes(purpose, sent, 0);
    let request = build_request(router, client, member, path).body(body);
    let response = request.send().await.context(PeerSnafu)?;
    let status = response.status();
    ensure!(
        status.is_success(),
        StatusSnafu {
            status: status.as_u16()
        }
    );
    let bytes = client::read_body(response, MESSAGE_MAX_BYTES).await;
    let bytes = bytes.context(BodySnafu)?;
    let received = bytes.len() + RESPONSE_OVERHEAD_BYTES;
    router.metrics.record_control_bytes(purpose, 0, received);
    Ok(codec::decode(&bytes)?)
}

/// Sends a gossip message to a peer and returns the peer's own message.
///
/// # Errors
///
/// `Error::Peer` if the request fails, `Error::Status` if the peer responds with an error, `Error::Wire` if a message
/// cannot be encoded or decoded, and `Error::Crossed` if the response belongs to another request.
pub async fn exchange_gossip(
    router: &Router,
    member: &Member,
    message: &Message,
) -> Result<Message> {
    let client = &router.clients.control;
    let answer: Message = exchange(router, client, member, "/peer/gossip", message).await?;
    let sender = answer.members.first().map(|sender| &sender.id);
    ensure!(sender == Some(&member.id), CrossedSnafu);
    Ok(answer)
}

/// Requests the outcome of a request from the owner that it was forwarded to, on a new connection.
///
/// # Errors
///
/// As for [`exchange_gossip`].
pub async fn request_fate(router: &Router, member: &Member, id: RequestId) -> Result<StatusAnswer> {
    let client = &router.clients.control_unpooled;
    let question = StatusQuery { id };
    let answer: StatusAnswer = exchange(router, client, member, "/peer/fate", &question).await?;
    ensure!(answer.id == id, CrossedSnafu);
    Ok(answer)
}

/// Asks the former owner of a target to hand it over to this router.
///
/// # Errors
///
/// As for [`exchange_gossip`].
pub async fn request_handover(
    router: &Router,
    member: &Member,
    question: &Handover,
) -> Result<HandoverAnswer> {
    let client = &router.clients.control;
    let answer: HandoverAnswer =
        exchange(router, client, member, "/peer/handover", question).await?;
    let is_own = answer.target == question.target && answer.member.id == member.id;
    ensure!(is_own, CrossedSnafu);
    Ok(answer)
}

/// Requests the status of a claim in the idempotency ledger from the router that holds it, on a new connection.
///
/// # Errors
///
/// As for [`exchange_gossip`].
pub async fn request_claim_status(
    router: &Router,
    member: &Member,
    question: &ClaimQuery,
) -> Result<ClaimAnswer> {
    let client = &router.clients.control_unpooled;
    let answer: ClaimAnswer = exchange(router, client, member, "/peer/claim", question).await?;
    ensure!(answer.nonce == question.nonce, CrossedSnafu);
    Ok(answer)
}

/// Fetches the configuration that follows a version from a peer.
///
/// # Errors
///
/// As for [`exchange_gossip`], except `Error::Crossed`.
pub async fn fetch_config_after(
    router: &Router,
    member: &Member,
    version: Version,
) -> Result<Update> {
    let client = &router.clients.control;
    exchange(router, client, member, "/peer/config/after", &version).await
}

/// The sequence of frames that respond to one request.
pub struct Frames {
    source: Source,
    id: RequestId,
    next_sequence: u32,
    checks_order: bool,
    silence_timeout: Duration,
}

enum Source {
    Local(mpsc::Receiver<Frame>),
    Remote(Box<Remote>),
}

struct Remote {
    response: reqwest::Response,
    decoder: Decoder,
}

impl Frames {
    /// Creates the sequence for a request that this router serves itself, from the channel of its frames.
    pub fn local(router: &Router, id: RequestId, receiver: mpsc::Receiver<Frame>) -> Self {
        Self::new(router, id, Source::Local(receiver))
    }

    fn new(router: &Router, id: RequestId, source: Source) -> Self {
        Self {
            source,
            id,
            next_sequence: 0,
            checks_order: router.settings.is_enabled("order"),
            silence_timeout: Duration::from_millis(router.settings.silence_timeout_ms),
        }
    }

    /// Receives the next frame and returns its body.
    ///
    /// # Errors
    ///
    /// `Reason::Silence` if no frame arrives within the silence timeout, `Reason::Cut` if the stream ends or cannot be
    /// decoded, and `Reason::Crossed` if the frame belongs to another request or is out of sequence.
    pub async fn next(&mut self) -> std::result::Result<Body, Reason> {
        let silence_timeout = self.silence_timeout;
        match time::timeout(silence_timeout, self.outwait()).await {
            Ok(body) => body,
            Err(_) => Err(Reason::Silence),
        }
    }

    /// Receives the next frame, however long it takes, and returns its body. No frame is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// As for [`Frames::next`], except `Reason::Silence`.
    pub async fn outwait(&mut self) -> std::result::Result<Body, Reason> {
        let frame = self.source.next().await?;
        let is_next = frame.id == self.id && frame.sequence == self.next_sequence;
        if self.checks_order && !is_next {
            return Err(Reason::Crossed);
        }
        self.next_sequence += 1;
        Ok(frame.body)
    }
}

impl Source {
    async fn next(&mut self) -> std::result::Result<Frame, Reason> {
        match self {
            Self::Local(receiver) => receiver.recv().await.ok_or(Reason::Cut),
            Self::Remote(remote) => remote.next().await,
        }
    }
}

impl Remote {
    async fn next(&mut self) -> std::result::Result<Frame, Reason> {
        loop {
            match self.decoder.next_message::<Frame>() {
                Ok(Some(frame)) => return Ok(frame),
                Ok(None) => {}
                Err(_) => return Err(Reason::Cut),
            }
            match self.response.chunk().await {
                Ok(Some(bytes)) => self.decoder.push_bytes(&bytes),
                _ => return Err(Reason::Cut),
            }
        }
    }
}

/// Forwards a request to the router that owns its target.
///
/// # Errors
///
/// [`ForwardError`], which tells whether the request may have reached the owner.
pub async fn forward(
    router: &Router,
    member: &Member,
    request: &Request,
) -> std::result::Result<Frames, ForwardError> {
    let Ok(body) = codec::encode(request) else {
        return Err(ForwardError::NotSent);
    };
    let client = &router.clients.forward;
    let sending = build_request(router, client, member, "/peer/forward").body(body);
    let silence = Duration::from_millis(router.settings.silence_timeout_ms);
    let response = match time::timeout(silence, sending.send()).await {
        Err(_) => return Err(ForwardError::MaybeSent(Reason::Silence)),
        Ok(Err(error)) if error.is_connect() => return Err(ForwardError::NotSent),
        Ok(Err(_)) => return Err(ForwardError::MaybeSent(Reason::Cut)),
        Ok(Ok(response)) => response,
    };
    if !response.status().is_success() {
        return Err(ForwardError::MaybeSent(Reason::Cut));
    }
    let remote = Remote {
        response,
        decoder: Decoder::default(),
    };
    let source = Source::Remote(Box::new(remote));
    Ok(Frames::new(router, request.id, source))
}
