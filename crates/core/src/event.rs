//! Splitting a stream into whole events, so that a cut never leaves half an event with the caller.
//!
//! Format: events end with a blank line; a line `id: N` numbers them. Source: WHATWG HTML, section
//! "Server-sent events".

use snafu::ensure;

use crate::errors::{OversizedSnafu, Result};

/// The largest event that is put together, in bytes; a longer one is no event of a model engine.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number that the stream gives it.
    pub id: Option<u64>,
    /// The bytes, with the blank line.
    pub bytes: Vec<u8>,
}

/// Puts whole events together from the pieces of a stream.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
}

impl Splitter {
    /// Takes in a piece.
    ///
    /// # Errors
    ///
    /// `Error::Oversized` if an event is larger than [`EVENT_MAX_BYTES`].
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::event::Splitter;
    ///
    /// let mut splitter = Splitter::default();
    /// splitter.push(b"id: 4\ndata: a\n\nid: 5").unwrap();
    /// assert_eq!(splitter.next().unwrap().id, Some(4));
    /// assert!(splitter.next().is_none());
    /// assert!(!splitter.is_empty());
    /// ```
    pub fn push(&mut self, piece: &[u8]) -> Result<()> {
        let found = (self.buffer.len() + piece.len()) as u64;
        ensure!(
            found <= EVENT_MAX_BYTES as u64,
            OversizedSnafu {
                limit: EVENT_MAX_BYTES as u64,
                found
            }
        );
        self.buffer.extend_from_slice(piece);
        Ok(())
    }

    /// Returns whether no part of an event is left over.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns what is left over: a part of an event, or nothing.
    pub fn into_rest(self) -> Vec<u8> {
        self.buffer
    }

    fn find_end(&self) -> Option<usize> {
        let bytes = &self.buffer;
        (1..bytes.len()).find_map(|index| {
            let is_blank = bytes[index] == b'\n'
                && (bytes[index - 1] == b'\n'
                    || (index >= 3 && &bytes[index - 3..index] == b"\r\n\r"));
            is_blank.then_some(index + 1)
        })
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        Some(Event {
            id: parse_id(&bytes),
            bytes,
        })
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let field = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    field.trim().parse().ok()
}

/// What an event is to what the caller already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The next one.
    Next,
    /// Delivered before.
    Duplicate,
    /// Events before it are missing.
    Gap,
}

/// Follows the numbers of the events that the caller has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    last_id: Option<u64>,
}

impl Cursor {
    /// Starts after an event that the caller says it has.
    pub fn after(last: Option<u64>) -> Self {
        Self { last_id: last }
    }

    /// Returns the number of the last event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes in the number of an event.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::event::{Continuity, Cursor};
    ///
    /// let mut cursor = Cursor::after(Some(4));
    /// assert_eq!(cursor.accept(Some(5)), Continuity::Next);
    /// assert_eq!(cursor.accept(Some(5)), Continuity::Duplicate);
    /// assert_eq!(cursor.accept(Some(7)), Continuity::Gap);
    /// ```
    pub fn accept(&mut self, id: Option<u64>) -> Continuity {
        let Some(id) = id else {
            return Continuity::Next;
        };
        match self.last_id {
            Some(last) if id <= last => Continuity::Duplicate,
            Some(last) if id > last + 1 => Continuity::Gap,
            _ => {
                self.last_id = Some(id);
                Continuity::Next
            }
        }
    }
}
