//! Takes a request through its plan until it is answered or given up.
//!
//! A refused request goes on to the next step, since nothing of it ran. An answer that breaks off
//! is resumed elsewhere if the request may be repeated; else the owner is asked what became of it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sardinemux_core::class::Class;
use sardinemux_core::config::{query, Organisation};
use sardinemux_core::fence::{RequestId, Status};
use sardinemux_core::load::{Sample, Source};
use sardinemux_core::membership::{self, Member};
use sardinemux_core::placement::{self, Offer, Rank, Step};
use sardinemux_core::stream::{Order, Part as PartKind};
use sardinemux_core::target::{Key, Kind, Target};
use sardinemux_wire::ask::Kept;
use sardinemux_wire::forward::{Call, Request};
use sardinemux_wire::frame::{Body, End, Head, Part, Refusal};
use tokio::sync::mpsc;
use tokio::time;

use super::errors::Failure;
use crate::dispatch::{self, Errand};
use crate::gossip;
use crate::link::{self, Frames, Unreached};
use crate::owner::{self, desk};
use crate::prelude::*;
use crate::settings::Policy;

/// The targets that a request is offered to in one pass.
const RANKS_MAX: usize = 8;

/// The passes after the first.
const PASSES_MAX: u32 = 8;

/// When to come back if nobody said, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The pause between two questions after a request's fate.
const FATE_PAUSE: Duration = Duration::from_millis(150);

/// The questions that may go unanswered before the fate counts as unknown.
const FATE_TRIES: u32 = 3;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Job {
    /// Whose it is.
    pub organisation: Organisation,
    /// The class.
    pub class: Class,
    /// The kind of target.
    pub kind: Kind,
    /// The model or service.
    pub pool: SmolStr,
    /// The chat key; a random number for a service.
    pub chat: u64,
    /// Whether the chat has had a turn before.
    pub is_returning: bool,
    /// The target that served the chat last, as the caller says.
    pub hint: Option<SmolStr>,
    /// The estimated tokens.
    pub tokens: u64,
    /// Whether it may be dispatched more than once.
    pub repeatable: bool,
    /// What the target is to do.
    pub call: Call,
}

/// What comes of a request, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer begins.
    Head(Head),
    /// A part of the content.
    Part(Part),
    /// The answer is whole.
    End(End),
}

/// An open stream of frames.
struct Open {
    frames: Frames,
    owner: Member,
    id: RequestId,
}

/// What became of a request whose owner fell silent.
enum Fate {
    NotRun,
    Completed(Kept),
    Unknown,
}

/// A request on its way.
pub struct Drive {
    router: Arc<Router>,
    job: Job,
    order: Order,
    steps: VecDeque<Step>,
    open: Option<Open>,
    pending: VecDeque<Event>,
    deadline: Instant,
    pass: u32,
    may_pass: bool,
    may_have_run: bool,
    last_reason: Reason,
    retry_after_ms: Option<u64>,
    avoided: Option<Key>,
    has_head: bool,
    served_by: Option<SmolStr>,
}

impl Drive {
    /// Plans a request.
    pub fn new(router: Arc<Router>, job: Job) -> Self {
        let deadline = Instant::now() + Duration::from_millis(router.settings.request_ms);
        router.retries.lock().earn();
        let mut drive = Self {
            order: Order::new(RequestId::nil()),
            steps: VecDeque::new(),
            open: None,
            pending: VecDeque::new(),
            deadline,
            pass: 0,
            may_pass: false,
            may_have_run: false,
            last_reason: Reason::NoTarget,
            retry_after_ms: None,
            avoided: None,
            has_head: false,
            served_by: None,
            router,
            job,
        };
        drive.plan();
        drive
    }

    /// Returns the target that serves the request, once it has begun to answer.
    pub fn served_by(&self) -> Option<&SmolStr> {
        self.served_by.as_ref()
    }

    /// Returns the next event of the answer; [`Event::End`] is the last one.
    ///
    /// # Errors
    ///
    /// `Failure::GivenUp` once nothing more is tried.
    pub async fn next(&mut self) -> std::result::Result<Event, Failure> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Ok(event);
            }
            if Instant::now() >= self.deadline {
                return Err(self.give_up(Reason::Waited));
            }
            match &mut self.open {
                None => self.advance().await?,
                Some(open) => {
                    let said = open.frames.next().await;
                    if let Some(event) = self.take(said).await? {
                        return Ok(event);
                    }
                }
            }
        }
    }

    async fn take(
        &mut self,
        said: std::result::Result<Body, Reason>,
    ) -> std::result::Result<Option<Event>, Failure> {
        match said {
            Ok(Body::Waiting) => Ok(None),
            Ok(Body::Admitted(sample)) => {
                self.note_sample(sample);
                Ok(None)
            }
            Ok(Body::Refused(refusal)) => {
                self.note_refusal(refusal);
                Ok(None)
            }
            Ok(Body::Head(head)) => Ok(self.take_head(head)),
            Ok(Body::Part(part)) => self.take_part(part).await,
            Ok(Body::End(end)) => self.take_end(end).await,
            Ok(Body::Failed { outcome, reason }) => {
                self.open = None;
                self.note_outcome(outcome);
                match outcome.allows_dispatch(self.job.repeatable) {
                    true => self.retry(reason).await,
                    false => Err(self.give_up(reason)),
                }
            }
            Err(reason) => self.broke(reason).await,
        }
    }

    fn take_head(&mut self, head: Head) -> Option<Event> {
        if self.has_head {
            return None;
        }
        self.has_head = true;
        Some(Event::Head(head))
    }

    async fn take_part(&mut self, part: Part) -> std::result::Result<Option<Event>, Failure> {
        let id = self.open.as_ref().map_or(RequestId::nil(), |open| open.id);
        match self.order.accept(id, part.offset, part.length) {
            Ok(PartKind::Next) => Ok(Some(Event::Part(part))),
            Ok(PartKind::Repeated) => {
                self.router.metrics.dropped_parts.inc();
                Ok(None)
            }
            Err(_) => self.broke(Reason::Crossed).await,
        }
    }

    async fn take_end(&mut self, end: End) -> std::result::Result<Option<Event>, Failure> {
        if self.order.end(end.total).is_err() {
            return self.broke(Reason::Cut).await;
        }
        self.open = None;
        Ok(Some(Event::End(end)))
    }

    /// The stream broke off without saying what became of the request.
    async fn broke(&mut self, reason: Reason) -> std::result::Result<Option<Event>, Failure> {
        let Some(open) = self.open.take() else {
            return self.retry(reason).await;
        };
        let Open { frames, owner, id } = open;
        // The suspect connection is closed before the next one is made.
        drop(frames);
        log::info!(
            request_id:% = id, organisation:% = self.job.organisation.name, owner:% = owner.id;
            "stream from the owner broke off: {}", reason.name()
        );
        if self.job.repeatable {
            self.note_outcome(Outcome::Unknown);
            return self.retry(reason).await;
        }
        match self.fate(&owner, id).await {
            Fate::NotRun => self.retry(reason).await,
            Fate::Completed(kept) => {
                self.deliver(kept);
                Ok(None)
            }
            Fate::Unknown => {
                self.note_outcome(Outcome::Unknown);
                Err(self.give_up(reason))
            }
        }
    }

    /// Asks the owner what became of a request until that is known.
    async fn fate(&self, owner: &Member, id: RequestId) -> Fate {
        let mut unanswered = 0;
        while unanswered < FATE_TRIES && Instant::now() < self.deadline {
            match link::fate(&self.router, owner, id).await {
                Ok(answer) if answer.boot != owner.boot => return Fate::Unknown,
                Ok(answer) => match (answer.status, answer.answer) {
                    (Status::Fenced | Status::Ended(Outcome::NotRun), _) => return Fate::NotRun,
                    (Status::Ended(Outcome::Completed), Some(kept)) => {
                        return Fate::Completed(kept)
                    }
                    (Status::Ended(_), _) => return Fate::Unknown,
                    (Status::Running, _) => {}
                },
                Err(_) => unanswered += 1,
            }
            time::sleep(FATE_PAUSE).await;
        }
        Fate::Unknown
    }

    /// Takes an answer over whole that the owner had kept.
    fn deliver(&mut self, kept: Kept) {
        let total = kept.body.len() as u64;
        let offset = self.order.offset() as usize;
        if !self.has_head {
            self.has_head = true;
            self.pending.push_back(Event::Head(Head {
                status: kept.status,
                content_type: kept.content_type,
            }));
        }
        let data = kept.body.get(offset..).unwrap_or_default().to_vec();
        self.pending.push_back(Event::Part(Part {
            offset: offset as u64,
            length: data.len() as u64,
            data,
        }));
        self.pending.push_back(Event::End(End {
            total,
            prompt_tokens: 0,
            cached_tokens: 0,
            finish_reason: "".into(),
        }));
    }

    fn note_outcome(&mut self, outcome: Outcome) {
        self.may_have_run |= outcome != Outcome::NotRun;
    }

    fn note_sample(&mut self, sample: Sample) {
        let Some(open) = &self.open else { return };
        if open.owner.id == self.router.settings.id {
            return;
        }
        let source = Source {
            router: open.owner.id.clone(),
            pool: self.job.pool.clone(),
        };
        let now_ms = self.router.now_ms();
        self.router.samples.lock().put(source, sample, now_ms);
    }

    /// Nothing ran; the next step is tried.
    fn note_refusal(&mut self, refusal: Refusal) {
        self.open = None;
        if let Some(owner) = refusal.owner {
            gossip::note_rumours(&self.router, vec![owner]);
        }
        if refusal.retry_after_ms > 0 {
            let least = self.retry_after_ms.unwrap_or(u64::MAX);
            self.retry_after_ms = Some(least.min(refusal.retry_after_ms));
        }
        self.note_unplaced(refusal.reason);
    }

    fn note_unplaced(&mut self, reason: Reason) {
        if reason != Reason::Unfamiliar {
            self.last_reason = reason;
        }
        // These pass once the routers agree again.
        self.may_pass |= matches!(
            reason,
            Reason::NotOwner
                | Reason::OtherBoot
                | Reason::NotReady
                | Reason::NoTarget
                | Reason::Leaving
                | Reason::Refused
        );
    }

    /// Plans another pass, if the retry budget allows.
    async fn retry(&mut self, reason: Reason) -> std::result::Result<Option<Event>, Failure> {
        self.last_reason = reason;
        self.avoided = self.target_key();
        if reason != Reason::Refused {
            self.router.metrics.resumed.inc();
        }
        self.next_pass().await?;
        Ok(None)
    }

    async fn next_pass(&mut self) -> std::result::Result<(), Failure> {
        let has_budget = self.router.retries.lock().spend();
        if self.pass >= PASSES_MAX || !has_budget {
            return Err(self.give_up(self.last_reason));
        }
        let pause_ms = {
            let budget = self.router.retries.lock();
            budget.pause_ms(self.pass, &mut rand::rng())
        };
        self.pass += 1;
        self.may_pass = false;
        time::sleep(Duration::from_millis(pause_ms)).await;
        self.plan();
        Ok(())
    }

    fn give_up(&self, reason: Reason) -> Failure {
        let outcome = match self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        Failure::GivenUp {
            outcome,
            reason,
            retry_after_ms: self.retry_after_ms.unwrap_or(RETRY_AFTER_MS),
        }
    }

    fn target_key(&self) -> Option<Key> {
        self.router.targets().key(self.served_by.as_ref()?)
    }

    /// Takes the next step of the plan; gives up at once when there is none.
    async fn advance(&mut self) -> std::result::Result<(), Failure> {
        let Some(step) = self.steps.pop_front() else {
            return match self.may_pass {
                true => self.next_pass().await,
                false => Err(self.give_up(self.last_reason)),
            };
        };
        let targets = self.router.targets();
        let Some(target) = targets.get(step.key).cloned() else {
            return Ok(());
        };
        if self.router.settings.policy != Policy::Owner {
            self.open_directly(target);
            return Ok(());
        }
        self.open_through_owner(target, step.offer).await;
        Ok(())
    }

    fn request(&mut self, target: &Target, owner_boot: u64, offer: Offer) -> Request {
        let id = RequestId::new_v4();
        self.order.resume(id);
        self.served_by = Some(target.id.clone());
        let mut call = self.job.call.clone();
        if let Call::Chat { resume_offset, .. } = &mut call {
            *resume_offset = self.order.offset();
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let desks = self.router.desks.lock();
        let sample = desk::own(&desks, &target.pool);
        drop(desks);
        Request {
            entry: self.router.settings.id.clone(),
            sample,
            id,
            owner_boot,
            target: target.id.clone(),
            member: self.job.organisation.member.clone(),
            organisation: self.job.organisation.name.clone(),
            weight: self.job.organisation.weight,
            class: self.job.class,
            tokens: self.job.tokens,
            offer,
            repeatable: self.job.repeatable,
            deadline_ms: left.as_millis() as u64,
            call,
        }
    }

    async fn open_through_owner(&mut self, target: Target, offer: Offer) {
        let Some(owner) = self.router.owners().get(&target.id).cloned() else {
            self.note_unplaced(Reason::NoTarget);
            return;
        };
        let is_me = owner.id == self.router.settings.id;
        if owner.boot == 0 && !is_me && !self.job.repeatable {
            // Nobody could vouch for a process that was never met.
            gossip::exchange(&self.router, &owner).await;
            self.note_unplaced(Reason::OtherBoot);
            return;
        }
        let request = self.request(&target, owner.boot, offer);
        let id = request.id;
        if is_me {
            let receiver = owner::serve(self.router.clone(), request);
            let frames = Frames::local(&self.router, id, receiver);
            self.open = Some(Open { frames, owner, id });
            return;
        }
        match link::forward(&self.router, &owner, &request).await {
            Ok(frames) => self.open = Some(Open { frames, owner, id }),
            Err(Unreached::Unsent) => {
                self.note_unplaced(Reason::Refused);
                self.suspect(&owner);
            }
            Err(Unreached::Sent(reason)) => self.unreached(owner, id, reason).await,
        }
    }

    /// The request may have reached the owner, which did not begin to answer.
    async fn unreached(&mut self, owner: Member, id: RequestId, reason: Reason) {
        self.suspect(&owner);
        if self.job.repeatable {
            self.note_outcome(Outcome::Unknown);
            self.note_unplaced(Reason::Refused);
            return;
        }
        match self.fate(&owner, id).await {
            Fate::NotRun => self.note_unplaced(Reason::Refused),
            Fate::Completed(kept) => self.deliver(kept),
            Fate::Unknown => {
                self.note_outcome(Outcome::Unknown);
                self.last_reason = reason;
                self.steps.clear();
                self.may_pass = false;
            }
        }
    }

    fn suspect(&self, owner: &Member) {
        let now_ms = self.router.now_ms();
        let merge = membership::command::suspect(&mut self.router.view.lock(), &owner.id, now_ms);
        if merge != membership::command::Merge::Old {
            self.router.refresh();
        }
    }

    /// Dispatches without an owner, as the baselines do.
    fn open_directly(&mut self, target: Target) {
        let request = self.request(&target, 0, Offer::OrQueue);
        let id = request.id;
        let (sender, receiver) = mpsc::channel(64);
        let router = self.router.clone();
        let mut reply = dispatch::Reply::new(sender, id);
        let errand = Errand {
            router: router.clone(),
            target,
            request,
        };
        tokio::spawn(async move { dispatch::run(&errand, &mut reply).await });
        let frames = Frames::local(&router, id, receiver);
        let owner = router.me();
        self.open = Some(Open { frames, owner, id });
    }

    /// Ranks the targets and lays out the steps.
    fn plan(&mut self) {
        let targets = self.router.targets();
        let config = self.router.config();
        let eligible = targets.of_pool(&self.job.pool).filter(|(_, target)| {
            target.kind == self.job.kind && query::is_eligible(&config, target)
        });
        let mut ranks = match self.router.settings.policy {
            Policy::LeastLoaded => placement::rank(self.job.chat, eligible, usize::MAX),
            _ => placement::rank(self.job.chat, eligible, RANKS_MAX),
        };
        self.steps = match self.router.settings.policy {
            Policy::Owner => self.owner_steps(&mut ranks, &targets),
            Policy::Hash => direct_steps(&ranks),
            Policy::LeastLoaded => {
                let reports = self.router.reports.lock();
                ranks.sort_by_key(|rank| {
                    let target = targets.get(rank.key);
                    let report = target.and_then(|target| reports.get(&target.id));
                    report.map_or(0, |report| report.running)
                });
                direct_steps(&ranks)
            }
        };
        // A target that has just failed comes last.
        if let Some(avoided) = self.avoided {
            let (last, first) = self.steps.iter().partition(|step| step.key == avoided);
            self.steps = first;
            self.steps.extend::<VecDeque<Step>>(last);
        }
    }

    fn owner_steps(
        &self,
        ranks: &mut Vec<Rank>,
        targets: &sardinemux_core::target::Table,
    ) -> VecDeque<Step> {
        let is_returning = self.job.is_returning && self.job.kind == Kind::Engine;
        if is_returning {
            let hint = self.job.hint.as_ref().and_then(|id| targets.key(id));
            let config = self.router.config();
            let hint = hint.filter(|key| {
                targets.get(*key).is_some_and(|target| {
                    target.pool == self.job.pool
                        && target.kind == self.job.kind
                        && query::is_eligible(&config, target)
                })
            });
            placement::prefer_hint(ranks, hint);
        } else {
            let owners = self.router.owners();
            placement::prefer_idle(ranks, |key| {
                let Some(target) = targets.get(key) else {
                    return f64::INFINITY;
                };
                let owner = owners.get(&target.id).map_or("", |owner| owner.id.as_str());
                desk::relative_load(&self.router, target, owner)
            });
        }
        placement::plan(ranks, is_returning).into()
    }
}

fn direct_steps(ranks: &[Rank]) -> VecDeque<Step> {
    let steps = ranks.iter().map(|rank| Step {
        key: rank.key,
        offer: Offer::OrQueue,
    });
    steps.collect()
}
