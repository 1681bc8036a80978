//! A limit on the bytes that are read from a connection while the head of an answer is awaited.
//!
//! The HTTP library limits the size of one head, but not the number of informational answers before the final one.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The largest number of bytes that may arrive before the head of an answer is complete. Reading ahead into the body
/// is included.
pub const HEAD_MAX_BYTES: usize = 1 << 20;

/// The number of bytes that may still be read; unlimited once the head is complete.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(HEAD_MAX_BYTES)))
    }
}

impl Allowance {
    /// Limits the bytes until the next head is complete.
    pub fn await_head(&self) {
        self.0.store(HEAD_MAX_BYTES, Ordering::Release);
    }

    /// Lifts the limit, as the head is complete.
    pub fn note_head(&self) {
        self.0.store(usize::MAX, Ordering::Release);
    }

    /// Counts bytes as read. Returns whether they were allowed.
    fn consume(&self, count: usize) -> bool {
        let consumed =
            self.0
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| match left {
                    usize::MAX => Some(left),
                    _ => left.checked_sub(count),
                });
        consumed.is_ok()
    }
}

/// A TCP connection whose reads fail once the allowance is used up.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: Allowance,
}

impl LimitedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        match polled {
            Poll::Ready(Ok(())) if !this.allowance.consume(count) => {
                let reason = "the head of an answer does not end";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)))
            }
            polled => polled,
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
