//! Opens the answer stream of one dispatch: through the owner of the target, or directly for the baseline policies.

use std::time::Instant;

use sardinemux_core::fence::RequestId;
use sardinemux_core::membership::{self, Member};
use sardinemux_core::placement::Offer;
use sardinemux_core::target::Target;
use sardinemux_wire::forward::{Call, Request};
use tokio::sync::mpsc;

use super::resolution::Resolution;
use super::{Forwarding, Stream};
use crate::dispatch::{self, Dispatch};
use crate::gossip;
use crate::owner::{self, admission};
use crate::peer_client::{self, ForwardError, Frames};
use crate::prelude::*;

impl Forwarding {
    /// Builds the request of a new dispatch, which resumes a chat at the offset that was already delivered.
    pub(super) fn build_request(
        &mut self,
        target: &Target,
        owner_boot: u64,
        offer: Offer,
    ) -> Request {
        let id = RequestId::new_v4();
        self.cursor.set_dispatch(id);
        self.last_target = Some(target.id.clone());
        self.has_part = false;
        let mut call = self.job.call.clone();
        if let Call::Chat { resume_offset, .. } = &mut call {
            *resume_offset = self.cursor.offset();
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let desks = self.router.target_states.lock();
        let sample = admission::own_sample(&desks, &target.pool);
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

    /// Sends the request to the owner of the target, which may be this router. If that fails, no stream is open
    /// afterwards, and the reason is recorded.
    pub(super) async fn open_through_owner(&mut self, target: Target, offer: Offer) {
        let Some(owner) = self.router.owners().get(&target.id).cloned() else {
            self.record_unplaced(Reason::NoTarget);
            return;
        };
        let is_self = owner.id == self.router.settings.id;
        if owner.boot == 0 && !is_self && !self.job.repeatable {
            // Without the boot id of the owner, a later query for the outcome could not tell whether the owner has
            // restarted. The gossip exchange provides the id for a later pass.
            gossip::exchange(&self.router, &owner).await;
            self.record_unplaced(Reason::OtherBoot);
            return;
        }
        let request = self.build_request(&target, owner.boot, offer);
        let id = request.id;
        let Target {
            id: target, build, ..
        } = target;
        if is_self {
            let receiver = owner::serve(self.router.clone(), request);
            let frames = Frames::local(&self.router, id, receiver);
            self.stream = Some(Stream {
                frames,
                owner,
                target,
                build,
                id,
            });
            return;
        }
        match peer_client::forward(&self.router, &owner, &request).await {
            Ok(frames) => {
                self.stream = Some(Stream {
                    frames,
                    owner,
                    target,
                    build,
                    id,
                })
            }
            Err(ForwardError::NotSent) => {
                self.record_unplaced(Reason::Refused);
                self.suspect_owner(&owner);
            }
            Err(ForwardError::MaybeSent(reason)) => {
                self.recover_unanswered(owner, id, reason).await
            }
        }
    }

    /// Handles a request that may have reached the owner, which did not begin to answer.
    pub(super) async fn recover_unanswered(
        &mut self,
        owner: Member,
        id: RequestId,
        reason: Reason,
    ) {
        self.suspect_owner(&owner);
        if self.job.repeatable {
            self.record_outcome(Outcome::Unknown);
            self.record_unplaced(Reason::Refused);
            return;
        }
        match self.resolve_outcome(&owner, id).await {
            Resolution::NotRun => self.record_unplaced(Reason::Refused),
            Resolution::Completed(kept) => self.queue_kept_answer(kept),
            Resolution::Unknown => {
                self.record_outcome(Outcome::Unknown);
                self.last_reason = reason;
                self.steps.clear();
                self.has_transient_reason = false;
            }
        }
    }

    /// Marks the owner as suspect in the membership view, and recomputes the owners if that changes the view.
    pub(super) fn suspect_owner(&self, owner: &Member) {
        let now_ms = self.router.now_ms();
        let merge = membership::command::suspect(&mut self.router.view.lock(), &owner.id, now_ms);
        if merge != membership::command::Merge::Unchanged {
            self.router.recompute_owners();
        }
    }

    /// Dispatches the request to the target without admission by an owner, as the baseline policies do.
    pub(super) fn open_directly(&mut self, target: Target) {
        let request = self.build_request(&target, 0, Offer::OrQueue);
        let id = request.id;
        let (sender, receiver) = mpsc::channel(64);
        let router = self.router.clone();
        let (target_id, build) = (target.id.clone(), target.build.clone());
        let mut reply = dispatch::Reply::new(sender, id);
        let dispatch = Dispatch {
            router: router.clone(),
            target,
            request,
        };
        tokio::spawn(async move { dispatch::run(&dispatch, &mut reply).await });
        let frames = Frames::local(&router, id, receiver);
        let owner = router.local_member();
        self.stream = Some(Stream {
            frames,
            owner,
            target: target_id,
            build,
            id,
        });
    }
}
