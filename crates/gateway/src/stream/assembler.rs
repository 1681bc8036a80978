//! Assembles the events of one answer from its chunks, and checks their order and the end of the answer.

use bytes::Bytes;
use sardinemux_core::event::{Content, Continuity, Cursor, Splitter, EVENT_MAX_BYTES};
use sardinemux_core::memory::Share;

use crate::attempt::answer::Answer;
use crate::prelude::*;
use crate::whole::{self, ANSWER_BYTES};

/// The events of one answer. A stream that is resumed consists of several answers, over which a [`Cursor`] is kept.
#[derive(Debug)]
pub struct Assembler {
    splitter: Splitter,
    /// The memory of the bytes that have not been taken.
    share: Share,
    /// Whether the stream may be resumed, for which its events must be numbered.
    is_resumable: bool,
    /// Whether events that the caller has may still come, as an answer that resumes a stream may begin with them.
    may_repeat: bool,
    /// Whether the answer is complete if its body ends outside an event: its framing shows that, or a new event came.
    may_end: bool,
    /// The number of new events so far.
    events: u64,
    /// The bytes of comments and blank lines since the last event.
    idle_bytes: usize,
    /// These bytes themselves, where the stream may be resumed: what a target sends before it breaks off, and that is no part of
    /// an event, is not joined with the answer of another one.
    held: Vec<u8>,
}

impl Assembler {
    /// Creates the assembler of an answer whose body has not been read yet. `cursor` is at the last event that the
    /// caller has.
    pub fn new(answer: &Answer, cursor: &Cursor, is_resumable: bool, share: Share) -> Self {
        Self {
            share,
            splitter: Splitter::default(),
            is_resumable,
            may_repeat: cursor.last_id().is_some(),
            may_end: answer.may_be_empty(),
            events: 0,
            idle_bytes: 0,
            held: Vec::new(),
        }
    }

    /// Appends a chunk of the body.
    ///
    /// # Errors
    ///
    /// `Reason::Crossed` if the chunk belongs to an event that is larger than those of any engine, `Reason::Failed` if no
    /// memory is left for it.
    pub fn push(&mut self, chunk: &[u8]) -> std::result::Result<(), Reason> {
        self.splitter.push(chunk).map_err(|_| Reason::Crossed)?;
        // The events that are taken are copies. Their memory is reserved here, as they cannot be put back.
        let copies = self.splitter.rest_len() + self.held.len();
        let size = self.splitter.capacity() + self.held.capacity() + copies;
        match self.share.try_resize(size.saturating_sub(ANSWER_BYTES)) {
            true => Ok(()),
            false => Err(Reason::Failed),
        }
    }

    /// Returns the bytes of the whole events that have not been taken yet, and whether all of them were in order; the
    /// events from the first one that is out of order are left out. Comments and blank lines without end are out of order.
    pub fn take_events(&mut self, cursor: &mut Cursor) -> (Bytes, bool) {
        let mut bytes = Vec::new();
        let is_in_order = self.append_events(cursor, &mut bytes);
        (whole::with_share(bytes, &mut self.share), is_in_order)
    }

    /// Appends the events up to the first one that is out of order, and returns whether there is none.
    fn append_events(&mut self, cursor: &mut Cursor, bytes: &mut Vec<u8>) -> bool {
        for event in &mut self.splitter {
            match event.content {
                Content::Comments => {
                    self.idle_bytes += event.bytes.len();
                    if self.idle_bytes > EVENT_MAX_BYTES {
                        return false;
                    }
                    match self.is_resumable {
                        true => self.held.extend(event.bytes),
                        false => bytes.extend(event.bytes),
                    }
                    continue;
                }
                Content::Fields if event.id.is_some() || !self.is_resumable => {}
                Content::Fields | Content::Unknown => return false,
            }
            match cursor.accept(event.id) {
                Continuity::Next => {
                    self.may_repeat = false;
                    self.may_end = true;
                    self.events += 1;
                    self.idle_bytes = 0;
                    bytes.append(&mut self.held);
                    bytes.extend(event.bytes);
                }
                Continuity::Duplicate if self.may_repeat => {}
                Continuity::Duplicate | Continuity::Gap => return false,
            }
        }
        true
    }

    /// Returns whether an answer whose body ends now has been broken off.
    pub fn is_cut(&self) -> bool {
        !self.may_end || self.splitter.is_inside_event()
    }

    /// Returns the number of new events that have been taken.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes after the last whole event.
    pub fn unfinished_bytes(&self) -> usize {
        self.splitter.rest_len()
    }

    /// Returns the bytes after the last event.
    pub fn into_rest(mut self) -> Bytes {
        let mut rest = self.held;
        rest.extend(self.splitter.into_rest());
        whole::with_share(rest, &mut self.share)
    }
}
