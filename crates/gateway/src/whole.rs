//! Whole bodies: what is collected of one, within its own limit and the memory that all holders share.
//!
//! A body is copied into segments of a bounded size. The frames of the HTTP library would keep its read buffers, with the
//! framing in them, and take some tens of bytes each; one buffer that grows would be moved, and leave holes of all sizes.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use sardinemux_core::memory::{Budget, Class, Share};
use snafu::Snafu;

/// The largest segment, in bytes.
const SEGMENT_MAX_BYTES: usize = 64 << 10;

/// The smallest segment, in bytes.
const SEGMENT_MIN_BYTES: usize = 1 << 10;

/// What a segment and its entry in the list take besides its bytes.
const SEGMENT_OVERHEAD_BYTES: usize = 128;

/// The bytes of an answer that the memory of its request includes. A short answer therefore never fails for want of memory.
pub const ANSWER_BYTES: usize = 8 << 10;

/// Why a body is not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Excess {
    /// It is larger than its limit.
    #[snafu(display("the body is too large"))]
    Limit,
    /// It may not have more of the memory.
    #[snafu(display("no memory is left for the body"))]
    Memory,
}

/// Why a body could not be read to its end.
#[derive(Debug)]
pub enum Unread<E> {
    /// It was given up.
    Excess(Excess),
    /// Its connection failed.
    Broken(E),
}

/// The bytes of a segment, and its share of the memory, which lasts until they have been sent.
struct Segment {
    bytes: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A whole body, in segments. Its memory is given back segment by segment once all clones have sent it.
#[derive(Clone, Debug, Default)]
pub struct Whole {
    segments: VecDeque<Bytes>,
    length: usize,
}

impl Whole {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes, in segments.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(|segment| &segment[..])
    }
}

impl From<Bytes> for Whole {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        let segments = (length > 0).then_some(bytes).into_iter().collect();
        Self { segments, length }
    }
}

impl Body for Whole {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.pop_front();
        self.length -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

/// A body that is being collected.
#[derive(Debug)]
pub struct Collector {
    segments: Vec<Vec<u8>>,
    length: usize,
    /// The bytes of all segments, and what they take besides.
    taken: usize,
    /// The part of these that is accounted for elsewhere.
    prepaid: usize,
    /// The memory of the rest.
    share: Share,
    limit: usize,
    /// The stated number of bytes; 0 if it is not known.
    stated: usize,
}

impl Collector {
    /// Creates the collector of the body of a request, of at most `limit` bytes.
    pub fn of_request(budget: Arc<Budget>, limit: usize) -> Self {
        Self::new(Share::new(budget, Class::Body), 0, limit)
    }

    /// Creates the collector of the body of an answer, of at most `limit` bytes. The first [`ANSWER_BYTES`] are accounted for with
    /// its request.
    pub fn of_answer(budget: Arc<Budget>, limit: usize) -> Self {
        Self::new(Share::new(budget, Class::Answer), ANSWER_BYTES, limit)
    }

    fn new(share: Share, prepaid: usize, limit: usize) -> Self {
        Self {
            segments: Vec::new(),
            length: 0,
            taken: 0,
            prepaid,
            share,
            limit,
            stated: 0,
        }
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    ///
    /// [`Excess`] if the body has become larger than it may.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinemux_core::memory::Budget;
    /// use sardinemux_gateway::whole::{Collector, Excess};
    ///
    /// let exhausted = Arc::new(Budget::new(0));
    /// let mut request = Collector::of_request(exhausted.clone(), 4);
    /// assert_eq!(request.push(b"abc"), Err(Excess::Memory));
    /// let mut answer = Collector::of_answer(exhausted, 4);
    /// assert_eq!(answer.push(b"abc"), Ok(()));
    /// assert_eq!(answer.push(b"de"), Err(Excess::Limit));
    /// assert_eq!(answer.finish().len(), 3);
    /// ```
    pub fn push(&mut self, mut data: &[u8]) -> Result<(), Excess> {
        self.push_part(&mut data)
    }

    /// Returns the number of bytes so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Notes the stated number of bytes, so that no larger segment is taken.
    pub fn expect(&mut self, stated: usize) {
        self.stated = stated;
    }

    /// Appends a part of the body, of which `data` keeps what has not been appended.
    ///
    /// # Errors
    ///
    /// As for [`push`](Self::push).
    pub fn push_part(&mut self, data: &mut &[u8]) -> Result<(), Excess> {
        if data.len() > self.limit - self.length {
            return Err(Excess::Limit);
        }
        while !data.is_empty() {
            let segment = self.segment_with_room(data.len())?;
            let room = segment.capacity() - segment.len();
            let (now, later) = data.split_at(data.len().min(room));
            segment.extend_from_slice(now);
            self.length += now.len();
            *data = later;
        }
        Ok(())
    }

    /// Returns the last segment if it has room, or a new one. Each is as large as all before it, within bounds.
    fn segment_with_room(&mut self, needed: usize) -> Result<&mut Vec<u8>, Excess> {
        let has_room = |segment: &Vec<u8>| segment.len() < segment.capacity();
        if !self.segments.last().is_some_and(has_room) {
            let rest = match self.stated.saturating_sub(self.length) {
                0 => SEGMENT_MAX_BYTES,
                rest => rest.min(SEGMENT_MAX_BYTES),
            };
            let size = needed.max(self.length).max(SEGMENT_MIN_BYTES).min(rest);
            let taken = self.taken + size + SEGMENT_OVERHEAD_BYTES;
            if !self.share.try_resize(taken.saturating_sub(self.prepaid)) {
                return Err(Excess::Memory);
            }
            self.taken = taken;
            self.segments.push(Vec::with_capacity(size));
        }
        self.segments.last_mut().ok_or(Excess::Memory)
    }

    /// Returns the body.
    pub fn finish(mut self) -> Whole {
        let segments = std::mem::take(&mut self.segments).into_iter();
        let segments = segments.map(|bytes| with_share(bytes, &mut self.share));
        Whole {
            segments: segments.collect(),
            length: self.length,
        }
    }
}

/// Returns bytes that keep their part of `share`, as far as it goes, until they have been sent.
pub fn with_share(bytes: Vec<u8>, share: &mut Share) -> Bytes {
    if bytes.is_empty() {
        return Bytes::new();
    }
    let share = share.split_off(bytes.capacity() + SEGMENT_OVERHEAD_BYTES);
    Bytes::from_owner(Segment {
        bytes,
        _share: share,
    })
}

/// Returns a copy of a part of an answer that has its share of the memory until it has been sent.
///
/// # Errors
///
/// [`Excess::Memory`] if no memory is left for it.
pub fn copy(data: &[u8], budget: Arc<Budget>) -> Result<Bytes, Excess> {
    let mut share = Share::new(budget, Class::Answer);
    match share.try_resize(data.len() + SEGMENT_OVERHEAD_BYTES) {
        true => Ok(with_share(data.to_vec(), &mut share)),
        false => Err(Excess::Memory),
    }
}

/// Reads a body to its end. Trailers are left out.
///
/// # Errors
///
/// [`Unread`] if the body becomes larger than it may, or its connection fails.
pub async fn collect<B>(mut body: B, mut collector: Collector) -> Result<Whole, Unread<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    collector.stated = usize::try_from(body.size_hint().lower()).unwrap_or_default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(Unread::Broken)?;
        if let Some(data) = frame.data_ref() {
            collector.push(data).map_err(Unread::Excess)?;
        }
    }
    Ok(collector.finish())
}
