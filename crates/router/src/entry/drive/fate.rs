//! What became of a request whose owner fell silent.

use std::time::{Duration, Instant};

use sardinemux_core::fence::{RequestId, Status};
use sardinemux_core::membership::Member;
use sardinemux_core::outcome::Outcome;
use sardinemux_wire::frame::{End, Head, Part};
use sardinemux_wire::peer::ServiceAnswer;
use tokio::time;

use super::{Drive, Event};
use crate::peer_client;

/// The pause between two questions after a request's fate.
const FATE_PAUSE: Duration = Duration::from_millis(150);

/// The questions that may go unanswered before the fate counts as unknown.
const FATE_TRIES: u32 = 3;

/// What became of a request whose owner fell silent.
pub(super) enum Fate {
    /// It never ran, and never will.
    NotRun,
    /// It completed, and the owner has kept the answer.
    Completed(ServiceAnswer),
    /// Nobody can say.
    Unknown,
}

impl Drive {
    /// Asks the owner what became of a request until that is known.
    pub(super) async fn fate(&self, owner: &Member, id: RequestId) -> Fate {
        let mut unanswered = 0;
        while unanswered < FATE_TRIES && Instant::now() < self.deadline {
            match peer_client::request_fate(&self.router, owner, id).await {
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
    pub(super) fn deliver(&mut self, kept: ServiceAnswer) {
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
}
