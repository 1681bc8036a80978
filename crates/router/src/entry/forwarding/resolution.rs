//! Resolves the outcome of a request whose answer stream broke off, by asking its owner.

use std::time::{Duration, Instant};

use sardinemux_core::fence::{RequestId, Status};
use sardinemux_core::membership::Member;
use sardinemux_core::outcome::Outcome;
use sardinemux_wire::frame::{End, Head, Part};
use sardinemux_wire::peer::ServiceAnswer;
use tokio::time;

use super::{Event, Forwarding};
use crate::peer_client;

/// The pause between two queries for the outcome of a request.
const QUERY_PAUSE: Duration = Duration::from_millis(150);

/// The number of unanswered queries after which the outcome counts as unknown.
const UNANSWERED_MAX: u32 = 3;

/// The outcome of a request, as far as its owner reports it.
pub(super) enum Resolution {
    /// The request did not run, and never will.
    NotRun,
    /// The request completed, and the owner has kept the answer.
    Completed(ServiceAnswer),
    /// The request may have run, and its answer is not available.
    Unknown,
}

impl Forwarding {
    /// Queries the owner until the request has ended, too many queries are unanswered or the deadline has passed.
    ///
    /// A query fences a request that the owner has not received, so that a late copy of it is refused. An owner that
    /// has restarted since the dispatch cannot report the outcome.
    pub(super) async fn resolve_outcome(&self, owner: &Member, id: RequestId) -> Resolution {
        let mut unanswered = 0;
        while unanswered < UNANSWERED_MAX && Instant::now() < self.deadline {
            match peer_client::request_fate(&self.router, owner, id).await {
                Ok(answer) if answer.boot != owner.boot => return Resolution::Unknown,
                Ok(answer) => match (answer.status, answer.answer) {
                    (Status::Fenced | Status::Ended(Outcome::NotRun), _) => {
                        return Resolution::NotRun
                    }
                    (Status::Ended(Outcome::Completed), Some(kept)) => {
                        return Resolution::Completed(kept)
                    }
                    (Status::Ended(_), _) => return Resolution::Unknown,
                    (Status::Running, _) => {}
                },
                Err(_) => unanswered += 1,
            }
            time::sleep(QUERY_PAUSE).await;
        }
        Resolution::Unknown
    }

    /// Queues the events of an answer that the owner has kept, without the content that was already delivered.
    pub(super) fn queue_kept_answer(&mut self, kept: ServiceAnswer) {
        let total = kept.body.len() as u64;
        let offset = self.cursor.offset() as usize;
        if self.status.is_none() {
            self.status = Some(kept.status);
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
