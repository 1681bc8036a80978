//! The handover of targets: a new owner asks the former one which requests it still has in flight, and a former owner
//! answers.

use std::time::Duration;

use sardinemux_core::admission::{command, query};
use sardinemux_core::membership::{self, Member};
use sardinemux_wire::peer::{Handover, HandoverAnswer, HANDOVER_CHATS_MAX};
use tokio::time;

use super::admission;
use crate::prelude::*;
use crate::{gossip, peer_client};

/// The time between two handover requests to a former owner.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sends handover requests to the former owners of this router's targets and starts waiting requests, once per
/// interval. Never returns.
pub async fn run(router: Arc<Router>) {
    let mut ticks = time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        expire_former_owners(&router);
        let requests = build_handover_requests(&router);
        let exchanges = requests
            .into_iter()
            .map(|(former, request)| ask_former_owner(&router, former, request));
        futures_util::future::join_all(exchanges).await;
        admission::start_all_waiting(&router);
    }
}

/// Applies the takeover timeout, and forgets the former owners that need not be queried any more.
fn expire_former_owners(router: &Router) {
    let now_ms = router.now_ms();
    for state in router.target_states.lock().values_mut() {
        command::expire_former(&mut state.controller, now_ms);
        if !query::has_active_former(&state.controller) {
            state.former_owner = None;
        }
    }
}

/// Builds a handover request for each former owner that has to be queried. Recent chats are requested until the first
/// answer.
fn build_handover_requests(router: &Router) -> Vec<(Member, Handover)> {
    let me = router.local_member();
    let former: Vec<(SmolStr, Member, bool)> = router
        .target_states
        .lock()
        .iter()
        .filter_map(|(target, state)| {
            let wants_chats = !query::has_former_answer(&state.controller);
            Some((target.clone(), state.former_owner.clone()?, wants_chats))
        })
        .collect();
    let view = router.view.lock();
    former
        .into_iter()
        .map(|(target, former, wants_chats)| {
            let former_owner = membership::query::member(&view, &former.id)
                .cloned()
                .unwrap_or_else(|| former.clone());
            let request = Handover {
                target,
                owner: me.clone(),
                former_owner,
                wants_chats,
            };
            (former, request)
        })
        .collect()
}

/// Sends a handover request to a former owner and applies the answer. If there is none, the takeover timeout decides.
async fn ask_former_owner(router: &Router, former: Member, request: Handover) {
    let answer = match peer_client::request_handover(router, &former, &request).await {
        Ok(answer) => answer,
        Err(error) => {
            if error.is_unsent() {
                clear_former_owner(router, &request.target);
            }
            return;
        }
    };
    gossip::note_contact(router, answer.member.clone());
    if !answer.agrees {
        return;
    }
    let mut states = router.target_states.lock();
    let Some(state) = states.get_mut(&request.target) else {
        return;
    };
    command::apply_former_answer(&mut state.controller, answer.running, answer.warmup_limit);
    for chat in answer.chats.into_iter().rev() {
        command::add_chat(&mut state.controller, chat);
    }
}

/// Stops waiting for the former owner of a target, because a request to it could not even be sent: its process no
/// longer exists.
fn clear_former_owner(router: &Router, target: &SmolStr) {
    if let Some(state) = router.target_states.lock().get_mut(target) {
        command::clear_former(&mut state.controller);
    }
}

/// Answers a handover request from a new owner. The request also updates this router's membership view, so that it
/// usually gives the target up before it answers; if it still owns the target, the answer does not agree.
pub fn answer_handover(router: &Router, request: Handover) -> HandoverAnswer {
    let Handover {
        target,
        owner,
        former_owner,
        wants_chats,
    } = request;
    gossip::note_contact(router, owner);
    gossip::merge_rumours(router, vec![former_owner]);
    let agrees = admission::find_owned(router, &target).is_none();
    let states = router.target_states.lock();
    let controller = states.get(&target).map(|state| &state.controller);
    let running = controller.map_or(0, query::in_flight);
    let warmup_limit = controller.map_or(0, query::warmup_limit);
    let limit = match wants_chats {
        true => HANDOVER_CHATS_MAX,
        false => 0,
    };
    let chats = controller.map_or_else(Vec::new, |controller| {
        query::recent_chats(controller, limit)
    });
    drop(states);
    HandoverAnswer {
        target,
        member: router.local_member(),
        running,
        warmup_limit,
        agrees,
        chats,
    }
}
