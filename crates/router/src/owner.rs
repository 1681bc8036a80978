//! The owner's side of a request: admission to a target, the wait, and the dispatch.

pub mod desk;
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

use crate::dispatch::{self, Errand, Reply};
use crate::prelude::*;
use desk::Start;

/// The frames that wait for a slow reader.
const FRAMES_MAX: usize = 64;

/// The time between two signs of life while a request waits.
pub const SIGN_OF_LIFE: Duration = Duration::from_millis(800);

/// When to come back after a refusal that says nothing of the load, in milliseconds.
const RETRY_SOON_MS: u64 = 500;

/// Keeps a request in a target's book until it is dropped.
pub struct Permit {
    router: Arc<Router>,
    target: SmolStr,
    ticket: Ticket,
    begin_ms: u64,
    /// What the request's end tells of the target.
    pub evidence: Observation,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let duration_ms = self.router.now_ms().saturating_sub(self.begin_ms);
        desk::finish(
            &self.router,
            &self.target,
            self.ticket,
            self.evidence,
            duration_ms,
        );
    }
}

/// What became of an offer.
enum Admission {
    Runs(Ticket, Target, Sample),
    Waits(Wait),
    Refused(Refusal),
}

/// A request in the queue.
struct Wait {
    ticket: Ticket,
    start: oneshot::Receiver<Start>,
    target: Target,
    /// How long it waits, in milliseconds.
    longest_ms: u64,
    /// Why it is refused after that.
    reason: Reason,
}

/// Takes a request in and returns the frames of its answer. Dropping the receiver tells that the
/// entry has left.
pub fn serve(router: Arc<Router>, request: Request) -> mpsc::Receiver<Frame> {
    let (sender, receiver) = mpsc::channel(FRAMES_MAX);
    let reply = Reply::new(sender, request.id);
    let guard = router.drain.guard();
    tokio::spawn(async move {
        work(router, request, reply).await;
        drop(guard);
    });
    receiver
}

async fn work(router: Arc<Router>, request: Request, mut reply: Reply) {
    if let Err(reason) = take_in(&router, &request) {
        let refusal = refusal(&router, reason, RETRY_SOON_MS);
        refuse(&router, &mut reply, refusal).await;
        return;
    }
    let outcome = run(&router, &request, &mut reply).await;
    let now_ms = router.now_ms();
    router
        .fence
        .lock()
        .record_outcome(request.id, outcome, now_ms);
}

/// Checks that this process may take the request, and notes its id.
fn take_in(router: &Router, request: &Request) -> std::result::Result<(), Reason> {
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

fn refusal(router: &Router, reason: Reason, retry_after_ms: u64) -> Refusal {
    let owner = matches!(reason, Reason::OtherBoot).then(|| router.local_member());
    Refusal {
        reason,
        retry_after_ms,
        owner,
    }
}

async fn refuse(router: &Router, reply: &mut Reply, refusal: Refusal) {
    router
        .metrics
        .refusals
        .with_label_values(&[refusal.reason.name()])
        .inc();
    // An entry that has left needs no refusal.
    let _ = reply.send(Body::Refused(refusal)).await;
}

async fn run(router: &Arc<Router>, request: &Request, reply: &mut Reply) -> Outcome {
    let (ticket, target, sample) = match admit(router, request) {
        Admission::Refused(refusal) => {
            refuse(router, reply, refusal).await;
            return Outcome::NotRun;
        }
        Admission::Runs(ticket, target, sample) => (ticket, target, sample),
        Admission::Waits(waiting) => {
            let ticket = waiting.ticket;
            let target = waiting.target.clone();
            match wait(router, request, reply, waiting).await {
                Ok(sample) => (ticket, target, sample),
                Err(refusal) => {
                    refuse(router, reply, refusal).await;
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
        evidence: Observation::None,
    };
    if reply.send(Body::Admitted(sample)).await.is_err() {
        return Outcome::NotRun;
    }
    let errand = Errand {
        router: router.clone(),
        target,
        request: request.clone(),
    };
    let ended = dispatch::run(&errand, reply).await;
    permit.evidence = ended.evidence;
    ended.outcome
}

/// Offers the request to its target's book.
fn admit(router: &Router, request: &Request) -> Admission {
    let now_ms = router.now_ms();
    let Some(target) = desk::owned(router, &request.target) else {
        return Admission::Refused(not_owner(router, &request.target));
    };
    note_entry(router, request, &target, now_ms);
    let others = desk::others(router, &target.pool, now_ms);
    let mut desks = router.target_states.lock();
    let own = desk::own(&desks, &target.pool);
    let mean = others.plus(own).mean();
    let Some(desk) = desks.get_mut(&target.id) else {
        drop(desks);
        return Admission::Refused(not_owner(router, &request.target));
    };
    if let (Call::Chat { chat, .. }, Offer::IfFamiliar) = (&request.call, request.offer) {
        let is_known = query::has_chat(&desk.book, *chat);
        if !is_known && router.settings.is_enabled("familiar") {
            return Admission::Refused(refusal(router, Reason::Unfamiliar, 0));
        }
    }
    let demand = demand(request);
    let retry_after_ms = desk.retry_after_ms();
    let full = match command::admit(&mut desk.book, &demand, mean) {
        Ok(ticket) => return Admission::Runs(ticket, target, own),
        Err(Reason::Full) => refusal(router, Reason::Full, retry_after_ms),
        Err(reason) => return Admission::Refused(refusal(router, reason, retry_after_ms)),
    };
    let (longest_ms, reason) = match request.offer {
        Offer::IfRoom => return Admission::Refused(full),
        Offer::IfFamiliar => {
            let longest_ms = query::cache_wait_ms(&desk.book, request.tokens);
            if longest_ms == 0 || !query::has_queue_room(&desk.book) {
                return Admission::Refused(full);
            }
            (longest_ms, Reason::Full)
        }
        Offer::OrQueue => {
            let longest_ms = router.parameter(Parameter::QueueWaitMs, &target) as u64;
            (longest_ms, Reason::Waited)
        }
    };
    let ticket = match command::admit_or_queue(&mut desk.book, demand, mean) {
        Ok(command::Admission::Started(ticket)) => return Admission::Runs(ticket, target, own),
        Ok(command::Admission::Queued(ticket)) => ticket,
        Ok(command::Admission::QueuedInPlaceOf(ticket, other)) => {
            desk.release(other, Start::Refused(Reason::Shed));
            ticket
        }
        Err(reason) => return Admission::Refused(refusal(router, reason, retry_after_ms)),
    };
    Admission::Waits(Wait {
        ticket,
        start: desk.add_waiter(ticket),
        target,
        longest_ms: longest_ms.min(request.deadline_ms),
        reason,
    })
}

fn demand(request: &Request) -> Demand {
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

fn not_owner(router: &Router, target: &SmolStr) -> Refusal {
    let owner = router.owners().get(target).cloned();
    let me = &router.settings.id;
    let is_known = owner.is_some();
    let owner = owner.filter(|owner| owner.id != *me);
    Refusal {
        reason: match is_known {
            true => Reason::NotOwner,
            false => Reason::NoTarget,
        },
        retry_after_ms: RETRY_SOON_MS,
        owner,
    }
}

/// The entry's own load came along with the request.
fn note_entry(router: &Router, request: &Request, target: &Target, now_ms: u64) {
    if request.entry == router.settings.id {
        return;
    }
    let source = Source {
        router: request.entry.clone(),
        pool: target.pool.clone(),
    };
    router.samples.lock().put(source, request.sample, now_ms);
}

/// Waits in the queue, giving signs of life.
async fn wait(
    router: &Arc<Router>,
    request: &Request,
    reply: &mut Reply,
    waiting: Wait,
) -> std::result::Result<Sample, Refusal> {
    let Wait {
        ticket,
        mut start,
        longest_ms,
        reason,
        target,
    } = waiting;
    let deadline = time::sleep(Duration::from_millis(longest_ms));
    tokio::pin!(deadline);
    let mut signs = time::interval_at(time::Instant::now() + SIGN_OF_LIFE, SIGN_OF_LIFE);
    let verdict = loop {
        tokio::select! {
            verdict = &mut start => break verdict.unwrap_or(Start::Refused(Reason::Leaving)),
            () = &mut deadline => break Start::Refused(reason),
            () = reply.closed() => break Start::Refused(Reason::Cut),
            _ = signs.tick() => {
                // A failure to send shows as `closed` in the next round.
                let _ = reply.send(Body::Waiting).await;
            }
        }
    };
    let Start::Refused(reason) = verdict else {
        return Ok(desk::own(&router.target_states.lock(), &target.pool));
    };
    let retry_after_ms = desk::withdraw(router, &request.target, ticket, start);
    Err(refusal(router, reason, retry_after_ms))
}
