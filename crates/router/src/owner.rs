//! The owner's side of a request: admission to a target that this router owns, the wait in the target's queue, and the
//! dispatch.

pub mod admission;
pub mod takeover;

use std::time::Duration;

use sardinemux_core::admission::{command, query, Demand};
use sardinemux_core::config::Parameter;
use sardinemux_core::fairness::{Flow, Ticket};
use sardinemux_core::load::{Sample, Source};
use sardinemux_core::placement::Offer;
use sardinemux_core::target::Target;
use sardinemux_core::warmup::Observation;
use sardinemux_wire::forward::{Call, Request};
use sardinemux_wire::frame::{Body, Frame, Refusal};
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::dispatch::{self, Dispatch, Reply};
use crate::prelude::*;
use admission::Decision;

/// The greatest number of response frames that are buffered while the entry router reads slowly.
const FRAMES_MAX: usize = 64;

/// The time between two keep-alive frames while a request waits, in the queue or for its target.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(800);

/// The retry delay in refusals whose reason is not the load, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// An admitted request, which counts as in flight on its target until the permit is dropped.
pub struct Permit {
    router: Arc<Router>,
    target: SmolStr,
    ticket: Ticket,
    begin_ms: u64,
    /// What the end of the request shows about the target.
    pub observation: Observation,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let duration_ms = self.router.now_ms().saturating_sub(self.begin_ms);
        admission::finish_request(
            &self.router,
            &self.target,
            self.ticket,
            self.observation,
            duration_ms,
        );
    }
}

/// The result of offering a request to a target.
enum Admission {
    Started(Ticket, Target, Sample),
    Queued(QueuedRequest),
    Refused(Refusal),
}

/// A request in the queue of a target.
struct QueuedRequest {
    ticket: Ticket,
    receiver: oneshot::Receiver<Decision>,
    target: Target,
    /// The longest time that it waits, in milliseconds.
    wait_max_ms: u64,
    /// The reason of the refusal after that time.
    timeout_reason: Reason,
}

/// Starts to handle a request and returns the frames of its response. Dropping the receiver signals that the entry
/// router no longer waits for them.
pub fn serve(router: Arc<Router>, request: Request) -> mpsc::Receiver<Frame> {
    let (sender, receiver) = mpsc::channel(FRAMES_MAX);
    let reply = Reply::new(sender, request.id);
    let guard = router.drain.track_request();
    tokio::spawn(async move {
        handle_request(router, request, reply).await;
        drop(guard);
    });
    receiver
}

/// Handles a request to its end, and records its outcome under the request's id unless it was refused at once.
async fn handle_request(router: Arc<Router>, request: Request, mut reply: Reply) {
    if let Err(reason) = register_request(&router, &request) {
        let refusal = build_refusal(&router, reason, DEFAULT_RETRY_AFTER_MS);
        send_refusal(&router, &mut reply, refusal).await;
        return;
    }
    let outcome = admit_and_dispatch(&router, &request, &mut reply).await;
    let now_ms = router.now_ms();
    router
        .fence
        .lock()
        .record_outcome(request.id, outcome, now_ms);
}

/// Checks that this process may run the request, and registers its id, so that a second request with the same id is
/// refused. Nothing is registered if the fence is switched off.
fn register_request(router: &Router, request: &Request) -> std::result::Result<(), Reason> {
    if request.owner_boot != 0 && request.owner_boot != router.boot {
        return Err(Reason::OtherBoot);
    }
    if !router.is_ready() {
        return Err(Reason::NotReady);
    }
    if !router.settings.is_enabled("fence") {
        return Ok(());
    }
    let now_ms = router.now_ms();
    let begun = router.fence.lock().register(request.id, now_ms);
    begun.map_err(|_| Reason::Fenced)
}

fn build_refusal(router: &Router, reason: Reason, retry_after_ms: u64) -> Refusal {
    let owner = matches!(reason, Reason::OtherBoot).then(|| router.local_member());
    Refusal {
        reason,
        retry_after_ms,
        owner,
    }
}

async fn send_refusal(router: &Router, reply: &mut Reply, refusal: Refusal) {
    router
        .metrics
        .refusals
        .with_label_values(&[refusal.reason.name()])
        .inc();
    // A failure means that the entry router no longer waits, so that it needs no refusal.
    let _ = reply.send(Body::Refused(refusal)).await;
}

/// Admits the request, after a wait in the queue if necessary, and dispatches it to the target. Returns whether it ran.
async fn admit_and_dispatch(router: &Arc<Router>, request: &Request, reply: &mut Reply) -> Outcome {
    let (ticket, target, sample) = match admit(router, request) {
        Admission::Refused(refusal) => {
            send_refusal(router, reply, refusal).await;
            return Outcome::NotRun;
        }
        Admission::Started(ticket, target, sample) => (ticket, target, sample),
        Admission::Queued(queued) => {
            let ticket = queued.ticket;
            let target = queued.target.clone();
            match wait_in_queue(router, request, reply, queued).await {
                Ok(sample) => (ticket, target, sample),
                Err(refusal) => {
                    send_refusal(router, reply, refusal).await;
                    return Outcome::NotRun;
                }
            }
        }
    };
    let mut permit = Permit {
        router: router.clone(),
        target: target.id.clone(),
        ticket,
        begin_ms: router.now_ms(),
        observation: Observation::None,
    };
    if reply.send(Body::Admitted(sample)).await.is_err() {
        return Outcome::NotRun;
    }
    let errand = Dispatch {
        router: router.clone(),
        target,
        request: request.clone(),
    };
    let ended = dispatch::run(&errand, reply).await;
    permit.observation = ended.observation;
    ended.outcome
}

/// Offers the request to its target, which starts, queues or refuses it.
fn admit(router: &Router, request: &Request) -> Admission {
    let now_ms = router.now_ms();
    let Some(target) = admission::find_owned(router, &request.target) else {
        return Admission::Refused(build_not_owner_refusal(router, &request.target));
    };
    record_entry_sample(router, request, &target, now_ms);
    let others = admission::peer_sample(router, &target.pool, now_ms);
    let mut states = router.target_states.lock();
    let own = admission::own_sample(&states, &target.pool);
    let mean = others.plus(own).mean();
    let Some(state) = states.get_mut(&target.id) else {
        drop(states);
        return Admission::Refused(build_not_owner_refusal(router, &request.target));
    };
    if let (Call::Chat { chat, .. }, Offer::IfFamiliar) = (&request.call, request.offer) {
        let is_known = query::has_chat(&state.controller, *chat);
        if !is_known && router.settings.is_enabled("familiar") {
            return Admission::Refused(build_refusal(router, Reason::Unfamiliar, 0));
        }
    }
    let demand = build_demand(request);
    let retry_after_ms = state.retry_after_ms();
    let full = match command::admit(&mut state.controller, &demand, mean) {
        Ok(ticket) => return Admission::Started(ticket, target, own),
        Err(Reason::Full) => build_refusal(router, Reason::Full, retry_after_ms),
        Err(reason) => return Admission::Refused(build_refusal(router, reason, retry_after_ms)),
    };
    let (wait_max_ms, timeout_reason) = match request.offer {
        Offer::IfRoom => return Admission::Refused(full),
        Offer::IfFamiliar => {
            let wait_max_ms = query::cache_wait_ms(&state.controller, request.tokens);
            if wait_max_ms == 0 || !query::has_queue_room(&state.controller) {
                return Admission::Refused(full);
            }
            (wait_max_ms, Reason::Full)
        }
        Offer::OrQueue => {
            let wait_max_ms = router.parameter(Parameter::QueueWaitMs, &target) as u64;
            (wait_max_ms, Reason::Waited)
        }
    };
    let ticket = match command::admit_or_queue(&mut state.controller, demand, mean) {
        Ok(command::Admission::Started(ticket)) => return Admission::Started(ticket, target, own),
        Ok(command::Admission::Queued(ticket)) => ticket,
        Ok(command::Admission::QueuedInPlaceOf(ticket, other)) => {
            state.notify_waiter(other, Decision::Refused(Reason::Shed));
            ticket
        }
        Err(reason) => return Admission::Refused(build_refusal(router, reason, retry_after_ms)),
    };
    Admission::Queued(QueuedRequest {
        ticket,
        receiver: state.add_waiter(ticket),
        target,
        wait_max_ms: wait_max_ms.min(request.deadline_ms),
        timeout_reason,
    })
}

fn build_demand(request: &Request) -> Demand {
    Demand {
        flow: Flow {
            member: request.member.clone(),
            organisation: request.organisation.clone(),
            weight: request.weight,
            class: request.class,
        },
        tokens: request.tokens,
    }
}

/// Builds the refusal for a target that this router does not own. It names the owner if another router is known to be
/// it.
fn build_not_owner_refusal(router: &Router, target: &SmolStr) -> Refusal {
    let owner = router.owners().get(target).cloned();
    let me = &router.settings.id;
    let is_known = owner.is_some();
    let owner = owner.filter(|owner| owner.id != *me);
    Refusal {
        reason: match is_known {
            true => Reason::NotOwner,
            false => Reason::NoTarget,
        },
        retry_after_ms: DEFAULT_RETRY_AFTER_MS,
        owner,
    }
}

/// Records the load sample that the entry router sent with the request.
fn record_entry_sample(router: &Router, request: &Request, target: &Target, now_ms: u64) {
    if request.entry == router.settings.id {
        return;
    }
    let source = Source {
        router: request.entry.clone(),
        pool: target.pool.clone(),
    };
    router.samples.lock().put(source, request.sample, 0, now_ms);
}

/// Waits in the queue until the request is admitted or refused, and sends keep-alive frames meanwhile. Returns this
/// router's own load sample at admission.
async fn wait_in_queue(
    router: &Arc<Router>,
    request: &Request,
    reply: &mut Reply,
    queued: QueuedRequest,
) -> std::result::Result<Sample, Refusal> {
    let QueuedRequest {
        ticket,
        mut receiver,
        wait_max_ms,
        timeout_reason,
        target,
    } = queued;
    let deadline = time::sleep(Duration::from_millis(wait_max_ms));
    tokio::pin!(deadline);
    let mut keep_alive = time::interval_at(
        time::Instant::now() + KEEP_ALIVE_INTERVAL,
        KEEP_ALIVE_INTERVAL,
    );
    let decision = loop {
        tokio::select! {
            decision = &mut receiver => break decision.unwrap_or(Decision::Refused(Reason::Leaving)),
            () = &mut deadline => break Decision::Refused(timeout_reason),
            () = reply.closed() => break Decision::Refused(Reason::Cut),
            _ = keep_alive.tick() => {
                // If sending fails, `closed` completes in the next iteration.
                let _ = reply.send(Body::Waiting).await;
            }
        }
    };
    let Decision::Refused(reason) = decision else {
        return Ok(admission::own_sample(
            &router.target_states.lock(),
            &target.pool,
        ));
    };
    let retry_after_ms = admission::cancel_waiting(router, &request.target, ticket, receiver);
    Err(build_refusal(router, reason, retry_after_ms))
}
