//! Taking targets over from their earlier owners, and handing them over to new ones.

use std::time::Duration;

use sardinemux_core::admission::{command, query};
use sardinemux_core::membership::{self, Member};
use sardinemux_wire::peer::{Handover, HandoverAnswer, HANDOVER_CHATS_MAX};
use tokio::time;

use super::desk;
use crate::prelude::*;
use crate::{gossip, peer_client};

/// The time between two questions to a former owner.
const PERIOD: Duration = Duration::from_millis(200);

/// Asks former owners, and starts waiting requests, until the program ends.
pub async fn run(router: Arc<Router>) {
    let mut ticks = time::interval(PERIOD);
    loop {
        ticks.tick().await;
        age(&router);
        let questions = questions(&router);
        let asked = questions
            .into_iter()
            .map(|(former, question)| ask(&router, former, question));
        futures_util::future::join_all(asked).await;
        desk::start_all(&router);
    }
}

fn age(router: &Router) {
    let now_ms = router.now_ms();
    for desk in router.target_states.lock().values_mut() {
        command::expire_former(&mut desk.book, now_ms);
        if !query::has_active_former(&desk.book) {
            desk.former = None;
        }
    }
}

fn questions(router: &Router) -> Vec<(Member, Handover)> {
    let me = router.local_member();
    let former: Vec<(SmolStr, Member, bool)> = router
        .target_states
        .lock()
        .iter()
        .filter_map(|(target, desk)| {
            let wants_chats = !query::has_former_answer(&desk.book);
            Some((target.clone(), desk.former.clone()?, wants_chats))
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
                former_owner: believed,
                wants_chats,
            };
            (former, question)
        })
        .collect()
}

/// Asks one former owner. One that does not answer is left to the take-over time.
async fn ask(router: &Router, former: Member, question: Handover) {
    let answer = match peer_client::request_handover(router, &former, &question).await {
        Ok(answer) => answer,
        Err(error) => {
            if error.is_unsent() {
                note_gone(router, &question.target);
            }
            return;
        }
    };
    gossip::note_contact(router, answer.member.clone());
    if !answer.agrees {
        return;
    }
    let mut desks = router.target_states.lock();
    let Some(desk) = desks.get_mut(&question.target) else {
        return;
    };
    command::apply_former_answer(&mut desk.book, answer.running, answer.warmup_limit);
    for chat in answer.chats.into_iter().rev() {
        command::add_chat(&mut desk.book, chat);
    }
}

/// The former owner's instance refuses connections: its process is gone.
fn note_gone(router: &Router, target: &SmolStr) {
    if let Some(desk) = router.target_states.lock().get_mut(target) {
        command::clear_former(&mut desk.book);
    }
}

/// Answers a new owner. Hearing of it makes this router give the target up, unless it disagrees.
pub fn answer(router: &Router, question: Handover) -> HandoverAnswer {
    let Handover {
        target,
        owner,
        former_owner: believed,
        wants_chats,
    } = question;
    gossip::note_contact(router, owner);
    gossip::note_rumours(router, vec![believed]);
    let agrees = desk::owned(router, &target).is_none();
    let desks = router.target_states.lock();
    let book = desks.get(&target).map(|desk| &desk.book);
    let running = book.map_or(0, query::in_flight);
    let borne = book.map_or(0, query::warmup_limit);
    let limit = match wants_chats {
        true => HANDOVER_CHATS_MAX,
        false => 0,
    };
    let chats = book.map_or_else(Vec::new, |book| query::recent_chats(book, limit));
    drop(desks);
    HandoverAnswer {
        target,
        member: router.local_member(),
        running,
        warmup_limit: borne,
        agrees,
        chats,
    }
}
