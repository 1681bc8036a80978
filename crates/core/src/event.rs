//! Splits a stream of server-sent events into whole events, so that a caller never receives half an event when the
//! stream breaks off, and checks the order of their ids.
//!
//! An event ends with a blank line; a line `id: N` numbers it. Lines end with LF, CRLF or CR. Source: WHATWG HTML,
//! section "Server-sent events".

use snafu::ensure;

use crate::errors::{OversizedSnafu, Result};

/// The largest number of bytes that a [`Splitter`] buffers. Events of a model engine are smaller.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// The field names of events. Clients ignore all others.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// The UTF-8 encoding of the byte order mark.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// What the lines of an event are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// At least one line is a field of an event.
    Fields,
    /// All lines are comments or blank.
    Comments,
    /// None of the lines that are neither is a field of an event, so that these are bytes of something else.
    Unknown,
}

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in its first `id` line, if there is one.
    pub id: Option<u64>,
    /// What its lines are.
    pub content: Content,
    /// The bytes, including the blank line.
    pub bytes: Vec<u8>,
}

/// Assembles whole events from the pieces of a stream, and yields them as an iterator.
///
/// Each byte is examined once, however the pieces and lines divide the stream.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Where the first event begins that has not been taken.
    begin: usize,
    /// Where its current line begins.
    line: usize,
    /// Up to where the current line has been searched for its end.
    searched: usize,
    /// Whether the event has a whole line.
    has_line: bool,
    /// Whether the line before ended with a CR at the end of the buffer, to which an LF may belong that comes later.
    awaits_lf: bool,
    /// The number of bytes that were searched, copied or moved.
    handled: u64,
}

impl Splitter {
    /// Appends a piece of the stream.
    ///
    /// # Errors
    ///
    /// `Error::Oversized` if the piece and the bytes that are still buffered exceed [`EVENT_MAX_BYTES`].
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
    /// assert!(splitter.is_inside_event());
    /// ```
    pub fn push(&mut self, piece: &[u8]) -> Result<()> {
        let found = (self.rest_len() + piece.len()) as u64;
        ensure!(
            found <= EVENT_MAX_BYTES as u64,
            OversizedSnafu {
                limit: EVENT_MAX_BYTES as u64,
                found
            }
        );
        self.discard_taken();
        self.handled += piece.len() as u64;
        self.buffer.extend_from_slice(piece);
        Ok(())
    }

    /// Returns whether the buffered bytes are a part of an event, so that a stream that ends here has been broken off.
    pub fn is_inside_event(&self) -> bool {
        ends_inside_event(&self.buffer[self.begin..])
    }

    /// Returns the number of buffered bytes, which follow the last whole event once all events have been taken.
    pub fn rest_len(&self) -> usize {
        self.buffer.len() - self.begin
    }

    /// Returns the number of bytes that the buffer takes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the number of bytes that have been searched, copied or moved so far, which is in proportion to the bytes of
    /// the stream.
    pub fn handled_bytes(&self) -> u64 {
        self.handled
    }

    /// Returns the bytes after the last whole event.
    pub fn into_rest(mut self) -> Vec<u8> {
        self.buffer.split_off(self.begin)
    }

    /// Removes the events that have been taken. What is left has arrived with the last piece.
    fn discard_taken(&mut self) {
        if self.begin == 0 {
            return;
        }
        self.buffer.drain(..self.begin);
        self.handled += self.buffer.len() as u64;
        self.line -= self.begin;
        self.searched -= self.begin;
        self.begin = 0;
    }

    /// Returns the end of the first whole event, including its blank line. A blank line that ends with CR ends the event at
    /// once; if an LF follows in a later piece, it counts as a blank line before the next event.
    fn find_end(&mut self) -> Option<usize> {
        loop {
            if self.awaits_lf {
                let is_lf = *self.buffer.get(self.line)? == b'\n';
                self.line += usize::from(is_lf);
                self.searched = self.line;
                self.awaits_lf = false;
            }
            let unsearched = &self.buffer[self.searched..];
            let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
            let Some(length) = unsearched.iter().position(is_end) else {
                self.handled += unsearched.len() as u64;
                self.searched = self.buffer.len();
                return None;
            };
            let end = self.searched + length;
            let rest = &self.buffer[end..];
            let next = end + if rest.starts_with(b"\r\n") { 2 } else { 1 };
            let is_blank = end == self.line;
            let is_last = is_blank && self.has_line;
            self.awaits_lf = rest == b"\r" && !is_last;
            self.handled += (next - self.searched) as u64;
            self.has_line = !is_last;
            (self.line, self.searched) = (next, next);
            if is_last {
                return Some(next);
            }
        }
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer[self.begin..end].to_vec();
        self.handled += bytes.len() as u64;
        self.begin = end;
        Some(Event {
            id: parse_id(&bytes),
            content: classify(&bytes),
            bytes,
        })
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let value = lines(event).find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn classify(event: &[u8]) -> Content {
    let mut content = Content::Comments;
    for line in lines(event) {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        if FIELDS.contains(&name) {
            return Content::Fields;
        }
        if !matches!(line.first(), None | Some(b':')) {
            content = Content::Unknown;
        }
    }
    content
}

/// Returns the whole lines without their ends. A byte order mark, which may begin a stream, is left out.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    std::iter::from_fn(move || {
        let (line, after) = split_line(rest)?;
        rest = after;
        Some(line)
    })
}

/// Returns whether the value of a `Content-Type` header states a stream of events.
///
/// # Examples
///
/// ```
/// use sardinemux_core::event;
///
/// assert!(event::is_event_stream("Text/Event-Stream; charset=utf-8"));
/// assert!(!event::is_event_stream("application/json"));
/// ```
pub fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Returns whether the end of a stream, whose bytes are in segments, lies inside an event.
///
/// # Examples
///
/// ```
/// use sardinemux_core::event;
///
/// let segments: [&[u8]; 3] = [b"data: a\r", b"\n\r\n", b": comment\n"];
/// assert!(!event::segments_end_inside_event(segments.into_iter()));
/// ```
pub fn segments_end_inside_event<'a>(segments: impl Iterator<Item = &'a [u8]>) -> bool {
    let mut scan = Scan::default();
    for segment in segments {
        segment.iter().for_each(|byte| scan.push(*byte));
    }
    scan.is_inside_event()
}

/// Returns whether the end of these bytes of a stream lies inside an event. Blank lines and whole comments after the last
/// event are not a part of another one.
///
/// # Examples
///
/// ```
/// use sardinemux_core::event;
///
/// assert!(!event::ends_inside_event(b"data: a\n\n: comment\n"));
/// assert!(event::ends_inside_event(b"data: a\n\nid: 5\n"));
/// assert!(event::ends_inside_event(b"data: a\n\nid"));
/// ```
pub fn ends_inside_event(bytes: &[u8]) -> bool {
    segments_end_inside_event(std::iter::once(bytes))
}

/// What has been read of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Nothing,
    /// Nothing, but an LF would belong to the end of the line before.
    AfterCr,
    Comment,
    Field,
}

/// What the bytes of a stream so far are, read one by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Scan {
    line: Line,
    /// Whether a line of the current event is neither a comment nor blank.
    has_fields: bool,
}

impl Scan {
    /// Reads the next byte.
    fn push(&mut self, byte: u8) {
        let is_end = matches!(byte, b'\n' | b'\r');
        if self.line == Line::AfterCr && byte == b'\n' {
            self.line = Line::Nothing;
            return;
        }
        if !is_end {
            if matches!(self.line, Line::Nothing | Line::AfterCr) {
                self.line = if byte == b':' {
                    Line::Comment
                } else {
                    Line::Field
                };
            }
            return;
        }
        self.has_fields = match self.line {
            Line::Nothing | Line::AfterCr => false,
            Line::Comment => self.has_fields,
            Line::Field => true,
        };
        self.line = if byte == b'\r' {
            Line::AfterCr
        } else {
            Line::Nothing
        };
    }

    /// Returns whether an event has begun and not ended.
    fn is_inside_event(&self) -> bool {
        self.has_fields || matches!(self.line, Line::Comment | Line::Field)
    }
}

/// Splits off the first line, which ends with LF, CRLF or CR. Returns it without its end, and the bytes after it.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes
        .iter()
        .position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let (line, rest) = bytes.split_at(end);
    let rest = rest.strip_prefix(b"\r\n").unwrap_or(&rest[1..]);
    Some((line, rest))
}

/// How an event relates to those that the caller already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The event is the next one.
    Next,
    /// The event was delivered before.
    Duplicate,
    /// Events before this one are missing, or it belongs to another stream.
    Gap,
}

/// The largest number of the first event of a stream. Engines begin with 1.
pub const FIRST_ID_MAX: u64 = 1;

/// The position in a stream of events: the id of the last event that the caller has.
///
/// Either all events of a stream are numbered or none is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    last_id: Option<u64>,
    may_begin_anywhere: bool,
    has_unnumbered: bool,
}

impl Cursor {
    /// Creates a cursor after the last event that the caller states to have, or at the beginning of the stream.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Creates a cursor in a stream that may begin with any number.
    pub fn anywhere() -> Self {
        Self {
            may_begin_anywhere: true,
            ..Self::default()
        }
    }

    /// Returns the id of the last event, if one is known.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Checks the id of an event that is no comment, and advances to it if it is the next one.
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
    /// assert_eq!(cursor.accept(None), Continuity::Gap);
    /// ```
    pub fn accept(&mut self, id: Option<u64>) -> Continuity {
        match (id, self.last_id) {
            (None, Some(_)) => Continuity::Gap,
            (None, None) => {
                self.has_unnumbered = true;
                Continuity::Next
            }
            (Some(_), _) if self.has_unnumbered => Continuity::Gap,
            (Some(id), Some(last)) if id <= last => Continuity::Duplicate,
            (Some(id), Some(last)) if id > last + 1 => Continuity::Gap,
            (Some(id), None) if id > FIRST_ID_MAX && !self.may_begin_anywhere => Continuity::Gap,
            (Some(id), _) => {
                self.last_id = Some(id);
                Continuity::Next
            }
        }
    }
}
