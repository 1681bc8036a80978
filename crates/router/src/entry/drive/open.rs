//! Handing a request to the owner of a target, or, for the baselines, to the target itself.

use std::time::Instant;

use sardinemux_core::fence::RequestId;
use sardinemux_core::membership::{self, Member};
use sardinemux_core::placement::Offer;
use sardinemux_core::target::Target;
use sardinemux_wire::forward::{Call, Request};
use tokio::sync::mpsc;

use super::fate::Fate;
use super::{Drive, Open};
use crate::dispatch::{self, Errand};
use crate::gossip;
use crate::owner::{self, desk};
use crate::peer_client::{self, ForwardError, Frames};
use crate::prelude::*;

impl Drive {
    pub(super) fn request(&mut self, target: &Target, owner_boot: u64, offer: Offer) -> Request {
        let id = RequestId::new_v4();
        self.order.set_dispatch(id);
        self.served_by = Some(target.id.clone());
        let mut call = self.job.call.clone();
        if let Call::Chat { resume_offset, .. } = &mut call {
            *resume_offset = self.order.offset();
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let desks = self.router.target_states.lock();
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

    pub(super) async fn open_through_owner(&mut self, target: Target, offer: Offer) {
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
        match peer_client::forward(&self.router, &owner, &request).await {
            Ok(frames) => self.open = Some(Open { frames, owner, id }),
            Err(ForwardError::NotSent) => {
                self.note_unplaced(Reason::Refused);
                self.suspect(&owner);
            }
            Err(ForwardError::MaybeSent(reason)) => self.unreached(owner, id, reason).await,
        }
    }

    /// The request may have reached the owner, which did not begin to answer.
    pub(super) async fn unreached(&mut self, owner: Member, id: RequestId, reason: Reason) {
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

    pub(super) fn suspect(&self, owner: &Member) {
        let now_ms = self.router.now_ms();
        let merge = membership::command::suspect(&mut self.router.view.lock(), &owner.id, now_ms);
        if merge != membership::command::Merge::Unchanged {
            self.router.recompute_owners();
        }
    }

    /// Dispatches without an owner, as the baselines do.
    pub(super) fn open_directly(&mut self, target: Target) {
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
        let owner = router.local_member();
        self.open = Some(Open { frames, owner, id });
    }
}
