//! What a caller's connection carried last, to tell at its end whether a request remains without an answer.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::framing;
use crate::intake::Connection;
use crate::prelude::*;

#[derive(Debug)]
struct State {
    /// The number of bytes that were read after the last byte of an answer had been written.
    unanswered_bytes: usize,
    /// When the last byte of an answer was written, or when the connection was accepted.
    written_at: Instant,
    /// Whether the caller closed or reset the connection.
    is_ended_by_caller: bool,
}

/// The traffic on one connection.
#[derive(Clone, Debug)]
pub struct Traffic(Arc<Mutex<State>>);

impl Traffic {
    /// Creates the record of a connection that has just been accepted.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            unanswered_bytes: 0,
            written_at: Instant::now(),
            is_ended_by_caller: false,
        })))
    }

    fn note_read(&self, count: usize) {
        let mut state = self.0.lock();
        state.unanswered_bytes += count;
        state.is_ended_by_caller |= count == 0;
    }

    fn note_reset(&self) {
        self.0.lock().is_ended_by_caller = true;
    }

    fn note_written(&self) {
        let mut state = self.0.lock();
        state.unanswered_bytes = 0;
        state.written_at = Instant::now();
    }

    /// Logs that the caller closed the connection while its request was served, behind bytes that the library had not read.
    pub fn record_departure(&self) {
        let state = self.0.lock();
        log::info!(
            cause = "closed behind unread bytes", by_caller = true, unanswered_bytes = state.unanswered_bytes,
            since_answer_ms = state.written_at.elapsed().as_millis() as u64;
            "caller's connection ended"
        );
    }

    /// Logs the end of the connection, unless it was closed after an answer without an error.
    pub fn record_end(&self, ended: &hyper::Result<()>) {
        let state = self.0.lock();
        if state.unanswered_bytes == 0 && ended.is_ok() {
            return;
        }
        let cause = match ended {
            Ok(()) => "closed",
            Err(error) if error.is_timeout() => "idle limit",
            Err(error) if error.is_user() => "answer broke off",
            Err(error) if error.is_parse() => "malformed head",
            Err(_) => "broken connection",
        };
        log::info!(
            cause = cause, by_caller = state.is_ended_by_caller, unanswered_bytes = state.unanswered_bytes,
            since_answer_ms = state.written_at.elapsed().as_millis() as u64;
            "caller's connection ended"
        );
    }
}

/// A caller's connection whose traffic is recorded.
#[derive(Debug)]
pub struct Stream {
    inner: framing::Stream,
    traffic: Traffic,
    gateway: Arc<Gateway>,
    connection: Arc<Connection>,
}

impl Stream {
    /// Wraps a connection.
    pub fn new(
        inner: framing::Stream,
        traffic: Traffic,
        gateway: Arc<Gateway>,
        connection: Arc<Connection>,
    ) -> Self {
        Self {
            inner,
            traffic,
            gateway,
            connection,
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
        match &polled {
            Poll::Ready(Ok(())) => {
                self.traffic.note_read(buffer.filled().len() - before);
                self.connection.note_read(self.gateway.now_ms());
            }
            Poll::Ready(Err(_)) => self.traffic.note_reset(),
            Poll::Pending => {}
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
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(_)) = &polled {
            self.traffic.note_written();
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(_)) = &polled {
            self.traffic.note_written();
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
