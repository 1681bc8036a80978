//! Dispatches an admitted request to its target, forwards the answer to the entry and reports the outcome.

pub mod engine;
pub mod service;

use std::future::Future;
use std::time::Duration;

use sardinemux_core::config::Parameter;
use sardinemux_core::fence::RequestId;
use sardinemux_core::outcome;
use sardinemux_core::target::Target;
use sardinemux_core::warmup::Observation;
use sardinemux_wire::forward::{Call, Request};
use sardinemux_wire::frame::{Body, Frame};
use sardinemux_wire::header;
use tokio::sync::mpsc;
use tokio::time;

use crate::owner::{admission, KEEP_ALIVE_INTERVAL};
use crate::prelude::*;

/// The longest time that sending one frame may take; an entry that accepts none for so long counts as disconnected.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// The entry has disconnected, or accepts no more frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// Sends the frames of one answer to the entry, and numbers them.
pub struct Reply {
    sender: mpsc::Sender<Frame>,
    id: RequestId,
    sequence: u32,
}

impl Reply {
    /// Creates a reply whose first frame has the sequence number 0.
    pub fn new(sender: mpsc::Sender<Frame>, id: RequestId) -> Self {
        Self {
            sender,
            id,
            sequence: 0,
        }
    }

    /// Sends the next frame.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the entry has disconnected, or does not accept the frame in time.
    pub async fn send(&mut self, body: Body) -> std::result::Result<(), Disconnected> {
        let frame = Frame {
            id: self.id,
            sequence: self.sequence,
            body,
        };
        self.sequence += 1;
        let sent = time::timeout(SEND_TIMEOUT, self.sender.send(frame)).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            _ => Err(Disconnected),
        }
    }

    /// Waits until the entry has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// One dispatch: a request and the target that it is sent to.
pub struct Dispatch {
    /// The router that dispatches the request.
    pub router: Arc<Router>,
    /// The target that receives the request.
    pub target: Target,
    /// The request, as the entry forwarded it.
    pub request: Request,
}

/// The end of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Whether the request ran, as far as this router can prove it.
    pub outcome: Outcome,
    /// What the end shows about the target.
    pub observation: Observation,
}

/// A dispatch that ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// Whether the request ran, as far as this router can prove it.
    pub outcome: Outcome,
    /// The reason, as it is reported to the entry.
    pub reason: Reason,
    /// What the end shows about the target.
    pub observation: Observation,
}

impl Failure {
    /// Creates a failure after which the request may have run.
    fn unknown(reason: Reason, observation: Observation) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            observation,
        }
    }

    /// Creates a failure of a request that provably did not run.
    fn not_run() -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason: Reason::Refused,
            observation: Observation::ConnectionLost,
        }
    }
}

/// Dispatches a request, sends the frames of its answer or of its failure, and returns how it ended.
pub async fn run(dispatch: &Dispatch, reply: &mut Reply) -> Summary {
    let result = match dispatch.request.call {
        Call::Chat { .. } => engine::run(dispatch, reply).await,
        Call::Service { .. } => service::run(dispatch, reply).await,
    };
    let failure = match result {
        Ok(observation) => {
            return Summary {
                outcome: Outcome::Completed,
                observation,
            }
        }
        Err(failure) => failure,
    };
    // The admission book must record the lost connection before the entry receives the failure, as the entry may retry
    // at once.
    if failure.observation == Observation::ConnectionLost {
        admission::record_connection_loss(&dispatch.router, &dispatch.target.id);
    }
    log::info!(
        request_id:% = dispatch.request.id,
        organisation:% = dispatch.request.organisation,
        target:% = dispatch.target.id;
        "dispatch to the target failed: {}", failure.reason.name()
    );
    let failed = Body::Failed {
        outcome: failure.outcome,
        reason: failure.reason,
    };
    // An entry that has disconnected needs no answer.
    let _ = reply.send(failed).await;
    Summary {
        outcome: failure.outcome,
        observation: failure.observation,
    }
}

/// The result of a wait for a target.
enum Wait<T> {
    /// The awaited value.
    Ready(T),
    /// The timeout has expired.
    TimedOut,
    /// The entry has disconnected.
    EntryLeft,
}

/// Waits for a target for at most `timeout_ms`, and sends [`Body::Waiting`] to the entry at regular intervals, so that
/// silence towards the entry means a fault. If `is_cancellable`, the wait ends when the entry disconnects.
async fn wait_for<T>(
    future: impl Future<Output = T>,
    reply: &mut Reply,
    timeout_ms: u64,
    is_cancellable: bool,
) -> Wait<T> {
    let deadline = time::sleep(Duration::from_millis(timeout_ms));
    tokio::pin!(future, deadline);
    let mut keep_alives = time::interval_at(
        time::Instant::now() + KEEP_ALIVE_INTERVAL,
        KEEP_ALIVE_INTERVAL,
    );
    loop {
        tokio::select! {
            ready = &mut future => return Wait::Ready(ready),
            () = &mut deadline => return Wait::TimedOut,
            () = reply.closed(), if is_cancellable => return Wait::EntryLeft,
            _ = keep_alives.tick() => {
                let is_disconnected = reply.send(Body::Waiting).await.is_err();
                if is_disconnected && is_cancellable {
                    return Wait::EntryLeft;
                }
            }
        }
    }
}

/// Sends the request to the target and waits for the head of the answer.
///
/// The wait is bounded by the first-byte timeout and by the deadline of the request. An answer that echoes another
/// request id was sent for another request, and is dropped.
async fn send_request(
    dispatch: &Dispatch,
    reply: &mut Reply,
    builder: reqwest::RequestBuilder,
    is_cancellable: bool,
) -> std::result::Result<reqwest::Response, Failure> {
    let router = &dispatch.router;
    let timeout_ms = router.parameter(Parameter::FirstByteMs, &dispatch.target) as u64;
    let timeout_ms = timeout_ms.min(dispatch.request.deadline_ms);
    let response = match wait_for(builder.send(), reply, timeout_ms, is_cancellable).await {
        Wait::EntryLeft => return Err(Failure::unknown(Reason::Cut, Observation::None)),
        Wait::TimedOut => return Err(Failure::unknown(Reason::Silence, Observation::None)),
        Wait::Ready(Err(error)) if error.is_connect() => return Err(Failure::not_run()),
        Wait::Ready(Err(_)) => {
            return Err(Failure::unknown(Reason::Cut, Observation::ConnectionLost))
        }
        Wait::Ready(Ok(response)) => response,
    };
    let headers = response.headers();
    if headers.contains_key(header::NOT_RUN) {
        return Err(Failure::not_run());
    }
    let echoed = headers.get(header::REQUEST_ID);
    let id = dispatch.request.id.to_string();
    let is_crossed = echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes());
    if is_crossed && router.settings.is_enabled("order") {
        router.metrics.dropped_parts.inc();
        return Err(Failure::unknown(Reason::Crossed, Observation::None));
    }
    if !outcome::is_final_status(response.status().as_u16()) {
        return Err(Failure::unknown(
            Reason::Crossed,
            Observation::ConnectionLost,
        ));
    }
    let incarnation = headers
        .get(header::INCARNATION)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(incarnation) = incarnation {
        admission::set_incarnation(router, &dispatch.target.id, incarnation);
    }
    Ok(response)
}
