//! One target's answer while its events are forwarded, and its replacement by another target's if it is silent.

use std::time::Duration;

use bytes::Bytes;
use sardinemux_core::attempts;
use sardinemux_core::event::Cursor;
use sardinemux_core::memory::{Class, Share};
use sardinemux_core::target::Key;
use tokio::task;
use tokio::time::{self, Instant};

use super::assembler::Assembler;
use super::{abort, interrupted, read_chunk, Origin, Progress};
use crate::answer::{Serving, Verdict, OVERLAP_MS};
use crate::attempt::answer::Answer;
use crate::attempt::Ready;
use crate::prelude::*;
use crate::quarantine::CLEARING_EVENTS;
use crate::reply::BodyError;

/// The largest part of a chunk, in bytes, that is read before other tasks go on. A part may be thousands of events.
const PART_BYTES: usize = 4 << 10;

/// An answer whose events are being forwarded.
#[derive(Debug)]
pub struct Live {
    answer: Answer,
    origin: Origin,
    assembler: Assembler,
    is_resumable: bool,
    has_cleared: bool,
    last_data_at: Instant,
    /// The rest of the last chunk.
    unread: Bytes,
    /// Why the answer ends after the events that were taken last.
    ending: Option<BodyError>,
}

/// How a stream goes on.
#[derive(Debug)]
pub enum Step {
    /// The next events.
    Events(Bytes),
    /// The answer is complete.
    Complete,
    /// The target was silent, and another one sends the rest of the stream.
    TakenOver(Box<Answer>),
    /// The answer broke off.
    Broken(BodyError),
}

/// The next bytes of an answer, or `None` at its end.
type Chunk = std::result::Result<Option<Bytes>, BodyError>;

/// What happened first while a target was silent.
enum Change {
    /// Its next chunk, or the end of its answer.
    Chunk(Chunk),
    /// Another target is connected.
    Ready(Box<Ready>),
    /// No other target can take over now.
    Denied,
}

/// The result of sending the request to another target while the answer of a silent one is open.
enum Takeover {
    Done(Box<Answer>),
    /// The silent target went on, and the other one was cancelled.
    WentOn(Chunk),
    /// The other target failed, and the silent one is still connected.
    Declined,
    /// The other target failed after the silent one had been given up.
    Failed,
}

impl Live {
    /// Begins to forward an answer. `cursor` is at the last event that the caller has.
    pub fn new(serving: &Serving, answer: Answer, cursor: &Cursor, is_resumable: bool) -> Self {
        let share = Share::new(serving.gateway().memory.clone(), Class::Answer);
        Self {
            origin: Origin::new(serving, &answer),
            assembler: Assembler::new(&answer, cursor, is_resumable, share),
            answer,
            is_resumable,
            has_cleared: false,
            last_data_at: Instant::now(),
            unread: Bytes::new(),
            ending: None,
        }
    }

    /// Returns the key of the target.
    pub fn key(&self) -> Key {
        self.answer.in_flight.key
    }

    /// Returns the build of the target.
    pub fn build(&self) -> &SmolStr {
        &self.answer.build
    }

    /// Returns the target and the properties of the head.
    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Returns whether the answer has gone on past its beginning.
    pub fn has_cleared(&self) -> bool {
        self.has_cleared
    }

    /// Returns how far the stream has come.
    pub fn progress(&self, cursor: &Cursor) -> Progress {
        Progress::new(cursor, &self.assembler, self.last_data_at)
    }

    /// Ends an answer that is complete, and returns the bytes after its last event.
    pub fn complete(self) -> Bytes {
        self.answer.complete();
        self.assembler.into_rest()
    }

    /// Closes the connection of an answer that broke off or was replaced.
    pub fn abort(self, serving: &Serving, cursor: &Cursor, cause: BodyError) {
        let progress = self.progress(cursor);
        abort(serving, self.answer, &self.origin, progress, cause);
    }

    /// Reads until there are events to forward, or the answer ends or is replaced.
    pub async fn advance(&mut self, serving: &mut Serving, cursor: &mut Cursor) -> Step {
        loop {
            if let Some(cause) = self.ending {
                return Step::Broken(cause);
            }
            if !self.unread.is_empty() {
                task::yield_now().await;
                let events = self.read_part(serving, cursor);
                if !events.is_empty() {
                    return Step::Events(events);
                }
                continue;
            }
            let deadline = self.chunk_deadline(serving);
            let mut chunk = read_chunk(&mut self.answer, deadline).await;
            if self.is_resumable && chunk == Err(interrupted(Reason::Silence)) {
                chunk = match self.await_change(serving).await {
                    Change::Chunk(chunk) => chunk,
                    Change::Denied => continue,
                    Change::Ready(ready) => match self.hand_over(serving, *ready, cursor).await {
                        Takeover::Done(next) => return Step::TakenOver(next),
                        Takeover::WentOn(chunk) => chunk,
                        Takeover::Declined => continue,
                        Takeover::Failed => Err(interrupted(Reason::Silence)),
                    },
                };
            }
            match chunk {
                Ok(Some(data)) => {
                    self.last_data_at = Instant::now();
                    self.unread = data;
                }
                Ok(None) if self.assembler.is_cut() => {
                    return Step::Broken(interrupted(Reason::Cut))
                }
                Ok(None) => return Step::Complete,
                Err(cause) => return Step::Broken(cause),
            }
            let events = self.read_part(serving, cursor);
            if !events.is_empty() {
                return Step::Events(events);
            }
        }
    }

    /// Reads on in the last chunk, and returns the whole events up to the first one that is out of order.
    fn read_part(&mut self, serving: &Serving, cursor: &mut Cursor) -> Bytes {
        let part = self.unread.split_to(self.unread.len().min(PART_BYTES));
        if let Err(reason) = self.assembler.push(&part) {
            note_refusal(serving, reason);
            self.ending = Some(interrupted(reason));
            return Bytes::new();
        }
        let (events, is_in_order) = self.assembler.take_events(cursor);
        if !self.has_cleared && self.assembler.events() >= CLEARING_EVENTS {
            self.has_cleared = true;
            serving.clear_request();
        }
        if !is_in_order {
            self.ending = Some(interrupted(Reason::Crossed));
        }
        events
    }

    /// Returns the time by which the next chunk must arrive.
    fn chunk_deadline(&self, serving: &Serving) -> Instant {
        let deadline = serving.inbound().deadline;
        if !self.is_resumable {
            return deadline;
        }
        let timeout_ms = attempts::chunk_timeout_ms(&serving.inbound().route);
        deadline.min(Instant::now() + Duration::from_millis(timeout_ms))
    }

    /// Connects to another target while the silent one may still go on, and waits for what comes first. A sound target may
    /// be silent for a moment, so that its answer is not given up before another target is there to take over.
    async fn await_change(&mut self, serving: &mut Serving) -> Change {
        let deadline = serving.inbound().deadline;
        if Instant::now() >= deadline {
            return Change::Chunk(Err(interrupted(Reason::Silence)));
        }
        serving.note_silence(self.key());
        tokio::select! {
            biased;
            chunk = read_chunk(&mut self.answer, deadline) => Change::Chunk(chunk),
            ready = serving.connect_for_retry() => match ready {
                Ok(ready) => Change::Ready(Box::new(ready)),
                Err(_) => Change::Denied,
            },
        }
    }

    /// Sends the request for the rest of the stream to another target, while the silent one may still go on. Both may be at
    /// work on the stream for no longer than [`OVERLAP_MS`].
    async fn hand_over(
        &mut self,
        serving: &mut Serving,
        ready: Ready,
        cursor: &Cursor,
    ) -> Takeover {
        let deadline = serving.inbound().deadline;
        let mut next = serving.send(ready, cursor.last_id());
        let overlap = time::sleep(Duration::from_millis(OVERLAP_MS));
        let (outcome, is_closed) = tokio::select! {
            biased;
            chunk = read_chunk(&mut self.answer, deadline) => {
                serving.note_cancelled(next.key);
                return Takeover::WentOn(chunk);
            }
            outcome = &mut next.outcome => (outcome, false),
            () = overlap => {
                self.answer.close();
                (next.outcome.await, true)
            }
        };
        match serving.judge(next.key, outcome) {
            Verdict::Answer(next) if next.head.status.is_success() => Takeover::Done(next),
            _ if is_closed => Takeover::Failed,
            _ => Takeover::Declined,
        }
    }
}

/// Counts a stream that breaks off for want of memory.
fn note_refusal(serving: &Serving, reason: Reason) {
    if reason == Reason::Failed {
        serving.gateway().metrics.count_memory_refusal("event");
    }
}
