//! Inspection of the raw heads of callers' requests for ambiguous framing, before the HTTP library resolves it.
//!
//! A head with both a `Content-Length` and a `Transfer-Encoding`, or with several of either, may be interpreted
//! differently by two HTTP implementations, so that one of them takes a part of the body for a second request (request
//! smuggling). The library ignores the `Content-Length` without an error; the gateway rejects such a request instead.
//! Source: RFC 9112, section 6.3.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use parking_lot::Mutex;
use sardinemux_core::memory::{Budget, Class, Share};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::caller::presence;
use crate::drain::Guard;

/// The largest head that is inspected, in bytes. The head of a larger one is not checked here.
pub const HEAD_MAX_BYTES: usize = 64 << 10;

/// The end of a head.
const END: &[u8] = b"\r\n\r\n";

/// The number of copies of a head: the library's, and the one that is inspected, in a buffer that doubles.
const HEAD_COPIES: usize = 3;

/// The bytes of one request's head until it is complete, and the result of its inspection.
#[derive(Debug)]
struct Head {
    bytes: Vec<u8>,
    /// The number of bytes up to its end, or so far.
    length: usize,
    is_complete: bool,
    is_ambiguous: bool,
    /// The memory of the head here and in the HTTP library. The headers of a request that is served keep it.
    share: Share,
    is_refused: bool,
}

impl Head {
    /// Appends bytes that were read, and inspects the head once its end has arrived. Returns `false` if the memory does not
    /// hold it.
    fn try_append(&mut self, bytes: &[u8]) -> bool {
        if self.is_complete {
            return true;
        }
        self.length += bytes.len();
        if self.length <= HEAD_MAX_BYTES {
            let searched = self.bytes.len().saturating_sub(END.len() - 1);
            self.bytes.extend_from_slice(bytes);
            self.inspect(searched);
        }
        let is_held = self.share.try_resize(HEAD_COPIES * self.length);
        self.is_refused = !is_held;
        is_held
    }

    /// Inspects the head if it ends after the bytes that have been searched.
    fn inspect(&mut self, searched: usize) {
        let end = self.bytes[searched..]
            .windows(END.len())
            .position(|window| window == END);
        let Some(end) = end.map(|end| searched + end) else {
            return;
        };
        self.is_complete = true;
        self.length = end + END.len();
        self.is_ambiguous = is_ambiguous(&self.bytes[..end]);
        self.bytes = Vec::new();
    }

    /// Makes ready for the next head.
    fn reset(&mut self) {
        self.bytes = Vec::new();
        self.length = 0;
        self.is_complete = false;
        self.is_ambiguous = false;
    }
}

/// Returns whether a head has more than one header field that determines the length of its body.
///
/// # Examples
///
/// ```
/// use sardinemux_gateway::framing::is_ambiguous;
///
/// assert!(is_ambiguous(b"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked"));
/// assert!(!is_ambiguous(b"POST / HTTP/1.1\r\nContent-Length: 4"));
/// ```
pub fn is_ambiguous(head: &[u8]) -> bool {
    let head = String::from_utf8_lossy(head).to_lowercase();
    let names = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let framings = names.filter(|(name, _)| {
        let name = name.trim();
        name == "content-length" || name == "transfer-encoding"
    });
    framings.count() > 1
}

/// The inspection of the current request's head, shared by a [`Stream`] and the handler of its requests.
#[derive(Clone, Debug)]
pub struct Inspector(Arc<Mutex<Head>>);

impl Inspector {
    /// Creates an inspector of heads that share this memory.
    pub fn new(memory: Arc<Budget>) -> Self {
        Self(Arc::new(Mutex::new(Head {
            bytes: Vec::new(),
            length: 0,
            is_complete: false,
            is_ambiguous: false,
            share: Share::new(memory, Class::Connection),
            is_refused: false,
        })))
    }

    /// Returns whether the connection ends as the memory does not hold the current head.
    pub fn is_refused(&self) -> bool {
        self.0.lock().is_refused
    }

    /// Returns whether the current head has ambiguous framing.
    pub fn is_ambiguous(&self) -> bool {
        self.0.lock().is_ambiguous
    }

    /// Returns the length of the current head, in bytes.
    pub fn length(&self) -> usize {
        self.0.lock().length
    }

    /// Discards the current head, so that the next bytes are taken for the start of another one.
    pub fn reset(&self) {
        self.0.lock().reset();
    }
}

/// The guards of the requests on one connection whose answers the HTTP library has got completely and not sent yet.
#[derive(Clone, Debug, Default)]
pub struct Unsent(Arc<Mutex<Vec<Guard>>>);

impl Unsent {
    fn clear(&self) {
        let sent = std::mem::take(&mut *self.0.lock());
        drop(sent);
    }

    /// Keeps a guard until the returned value is dropped and the connection has been flushed after that.
    pub fn keep(&self, guard: Guard) -> Kept {
        Kept {
            guard: Some(guard),
            unsent: self.clone(),
        }
    }
}

/// A guard that moves to [`Unsent`] when this is dropped.
#[derive(Debug)]
pub struct Kept {
    guard: Option<Guard>,
    unsent: Unsent,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.unsent.0.lock().extend(self.guard.take());
    }
}

/// A caller's connection whose request heads are inspected as they are read.
#[derive(Debug)]
pub struct Stream {
    inner: presence::Stream,
    inspector: Inspector,
    unsent: Unsent,
}

impl Stream {
    /// Wraps a connection; its heads are reported to `inspector`, and `unsent` is told when all answers have been sent.
    pub fn new(inner: presence::Stream, inspector: Inspector, unsent: Unsent) -> Self {
        Self {
            inner,
            inspector,
            unsent,
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = &polled {
            let is_held = self
                .inspector
                .0
                .lock()
                .try_append(&buffer.filled()[before..]);
            if !is_held {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes once its own buffer is empty.
        let polled = Pin::new(&mut self.inner).poll_flush(context);
        if polled.is_ready() {
            self.unsent.clear();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
