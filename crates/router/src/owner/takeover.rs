//! Taking targets over from their earlier owners, and handing them over to new ones.

use std::time::Duration;

use sardinemux_core::admission::{command, query};
use sardinemux_core::membership::{self, Member};
use sardinemux_wire::ask::{Handover, HandoverAnswer, HANDOVER_CHATS_MAX};
use tokio::time;

use super::admission;
use crate::prelude::*;
use crate::{gossip, link};

/// The time between two questions to a former owner.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Asks former owners, and starts waiting requests, until the program ends.
pub async fn run(router: Arc<Router>) {
    let mut ticks = time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        expire_former_owners(&router);
        let questions = collect_questions(&router);
        let asked = questions
            .into_iter()
            .map(|(former, question)| ask_former_owner(&router, former, question));
        futures_util::future::join_all(asked).await;
        admission::start_all_waiting(&router);
    }
}

fn expire_former_owners(router: &Router) {
    let now_ms = router.now_ms();
    for state in router.desks.lock().values_mut() {
        command::expire_former(&mut state.controller, now_ms);
        if !query::has_active_former(&state.controller) {
            state.former_owner = None;
        }
    }
}

fn collect_questions(router: &Router) -> Vec<(Member, Handover)> {
    let me = router.me();
    let former: Vec<(SmolStr, Member, bool)> = router
        .desks
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
            let believed = membership::query::member(&view, &former.id)
                .cloned()
                .unwrap_or_else(|| former.clone());
            let question = Handover {
                target,
                owner: me.clone(),
                believed,
                wants_chats,
            };
            (former, question)
        })
        .collect()
}

/// Asks one former owner. One that does not answer is left to the take-over time.
async fn ask_former_owner(router: &Router, former: Member, question: Handover) {
    let answer = match link::handover(router, &former, &question).await {
        Ok(answer) => answer,
        Err(error) => {
            if error.is_unsent() {
                clear_former_owner(router, &question.target);
            }
            return;
        }
    };
    gossip::note_contact(router, answer.member.clone());
    if !answer.agrees {
        return;
    }
    let mut states = router.desks.lock();
    let Some(state) = states.get_mut(&question.target) else {
        return;
    };
    command::apply_former_answer(&mut state.controller, answer.running, answer.borne);
    for chat in answer.chats.into_iter().rev() {
        command::add_chat(&mut state.controller, chat);
    }
}

/// The former owner's instance refuses connections: its process is gone.
fn clear_former_owner(router: &Router, target: &SmolStr) {
    if let Some(state) = router.desks.lock().get_mut(target) {
        command::clear_former(&mut state.controller);
    }
}

/// Answers a new owner. Hearing of it makes this router give the target up, unless it disagrees.
pub fn answer_handover(router: &Router, question: Handover) -> HandoverAnswer {
    let Handover {
        target,
        owner,
        believed,
        wants_chats,
    } = question;
    gossip::note_contact(router, owner);
    gossip::merge_rumours(router, vec![believed]);
    let agrees = admission::find_owned(router, &target).is_none();
    let states = router.desks.lock();
    let controller = states.get(&target).map(|state| &state.controller);
    let running = controller.map_or(0, query::in_flight);
    let borne = controller.map_or(0, query::warmup_limit);
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
        member: router.me(),
        running,
        borne,
        agrees,
        chats,
    }
}
