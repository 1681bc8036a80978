//! Sending a request to its target, and saying truthfully what became of it.

pub mod engine;
pub mod service;

use std::future::Future;
use std::time::Duration;

use sardinemux_core::config::Parameter;
use sardinemux_core::fence::RequestId;
use sardinemux_core::target::Target;
use sardinemux_core::warmup::Observation;
use sardinemux_wire::forward::{Call, Request};
use sardinemux_wire::frame::{Body, Frame};
use sardinemux_wire::header;
use tokio::sync::mpsc;
use tokio::time;

use crate::owner::{desk, SIGN_OF_LIFE};
use crate::prelude::*;

/// An entry that takes no frame for this long has left.
const READER_STUCK: Duration = Duration::from_secs(10);

/// The entry has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Sends the frames of one answer.
pub struct Reply {
    sender: mpsc::Sender<Frame>,
    id: RequestId,
    sequence: u32,
}

impl Reply {
    /// Starts an answer.
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
    /// [`Gone`] if the entry has left.
    pub async fn send(&mut self, body: Body) -> std::result::Result<(), Gone> {
        let frame = Frame {
            id: self.id,
            sequence: self.sequence,
            body,
        };
        self.sequence += 1;
        let sent = time::timeout(READER_STUCK, self.sender.send(frame)).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            _ => Err(Gone),
        }
    }

    /// Waits until the entry has left.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// A request with its target.
pub struct Errand {
    /// The router.
    pub router: Arc<Router>,
    /// The target.
    pub target: Target,
    /// The request.
    pub request: Request,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// What that tells of the target.
    pub evidence: Observation,
}

/// Why a dispatch broke off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Broken {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// What that tells of the target.
    pub evidence: Observation,
}

impl Broken {
    fn unknown(reason: Reason, evidence: Observation) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            evidence,
        }
    }

    fn not_run() -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason: Reason::Refused,
            evidence: Observation::ConnectionLost,
        }
    }
}

/// Dispatches a request, sends its answer's frames and returns how it ended.
pub async fn run(errand: &Errand, reply: &mut Reply) -> Ended {
    let result = match errand.request.call {
        Call::Chat { .. } => engine::run(errand, reply).await,
        Call::Service { .. } => service::run(errand, reply).await,
    };
    let broken = match result {
        Ok(evidence) => {
            return Ended {
                outcome: Outcome::Completed,
                evidence,
            }
        }
        Err(broken) => broken,
    };
    // The book must know before the entry does, which may come back at once.
    if broken.evidence == Observation::ConnectionLost {
        desk::note_lost(&errand.router, &errand.target.id);
    }
    log::info!(
        request_id:% = errand.request.id,
        organisation:% = errand.request.organisation,
        target:% = errand.target.id;
        "dispatch broke off: {}", broken.reason.name()
    );
    let failed = Body::Failed {
        outcome: broken.outcome,
        reason: broken.reason,
    };
    // An entry that has left needs no answer.
    let _ = reply.send(failed).await;
    Ended {
        outcome: broken.outcome,
        evidence: broken.evidence,
    }
}

/// What a wait ended with.
enum Waited<T> {
    Ready(T),
    Silent,
    Left,
}

/// Waits for a target, giving the entry signs of life; `cancels` says whether an entry that leaves
/// ends the wait.
async fn wait_for<T>(
    future: impl Future<Output = T>,
    reply: &mut Reply,
    longest_ms: u64,
    cancels: bool,
) -> Waited<T> {
    let deadline = time::sleep(Duration::from_millis(longest_ms));
    tokio::pin!(future, deadline);
    let mut signs = time::interval_at(time::Instant::now() + SIGN_OF_LIFE, SIGN_OF_LIFE);
    loop {
        tokio::select! {
            ready = &mut future => return Waited::Ready(ready),
            () = &mut deadline => return Waited::Silent,
            () = reply.closed(), if cancels => return Waited::Left,
            _ = signs.tick() => {
                let is_gone = reply.send(Body::Waiting).await.is_err();
                if is_gone && cancels {
                    return Waited::Left;
                }
            }
        }
    }
}

/// Sends the request and waits for the head of the answer.
async fn send(
    errand: &Errand,
    reply: &mut Reply,
    builder: reqwest::RequestBuilder,
    cancels: bool,
) -> std::result::Result<reqwest::Response, Broken> {
    let router = &errand.router;
    let longest_ms = router.parameter(Parameter::FirstByteMs, &errand.target) as u64;
    let longest_ms = longest_ms.min(errand.request.deadline_ms);
    let response = match wait_for(builder.send(), reply, longest_ms, cancels).await {
        Waited::Left => return Err(Broken::unknown(Reason::Cut, Observation::None)),
        Waited::Silent => return Err(Broken::unknown(Reason::Silence, Observation::None)),
        Waited::Ready(Err(error)) if error.is_connect() => return Err(Broken::not_run()),
        Waited::Ready(Err(_)) => {
            return Err(Broken::unknown(Reason::Cut, Observation::ConnectionLost))
        }
        Waited::Ready(Ok(response)) => response,
    };
    let headers = response.headers();
    if headers.contains_key(header::NOT_RUN) {
        return Err(Broken::not_run());
    }
    let echoed = headers.get(header::REQUEST_ID);
    let id = errand.request.id.to_string();
    let is_crossed = echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes());
    if is_crossed && router.settings.is_enabled("order") {
        router.metrics.dropped_parts.inc();
        return Err(Broken::unknown(Reason::Crossed, Observation::None));
    }
    let incarnation = headers
        .get(header::INCARNATION)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(incarnation) = incarnation {
        desk::note_incarnation(router, &errand.target.id, incarnation);
    }
    Ok(response)
}
