//! Whether a caller is still there while its request is served.
//!
//! The HTTP library reads nothing more from a connection while its buffer holds bytes behind the current request, such as the next
//! request, so that it does not notice that the caller closes the connection. While a request is served, a [`Watcher`] therefore
//! reads on into a buffer, which [`read_ahead`](sardinemux_core::read_ahead) bounds, and from which the library is served later. A
//! caller that has sent more waits until its current request is answered, and its close is noticed only if it has arrived.
//!
//! A caller that closes its side of the connection counts as gone, also if it could still read: the two cannot be told apart.

use std::future::{poll_fn, Future};
use std::io::{self, IoSlice};
use std::pin::{pin, Pin};
use std::sync::{Arc, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf, BufMut, BytesMut};
use futures_util::future;
use parking_lot::Mutex;
use sardinemux_core::memory;
use sardinemux_core::read_ahead::{Budget, Share};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time;

/// The size of one read, in bytes. The library's buffer grows with the reads that fill it.
const READ_BYTES: usize = 8 << 10;

/// The interval at which a connection is checked for its end while the buffer is full.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection and what was read ahead from it.
#[derive(Debug)]
struct State {
    stream: TcpStream,
    ahead: BytesMut,
    /// The largest capacity of the buffer, which draining it does not give back.
    allocated: usize,
    share: Share,
    /// The memory of the buffer, whose capacity grows in powers of two.
    memory: memory::Share,
    /// How reading ended: with the caller's close, or with an error.
    end: Option<io::Result<()>>,
    /// The number of requests that are being served.
    served: usize,
}

/// What reading ahead has come to.
enum Progress {
    Ended,
    Full,
}

impl State {
    /// Reads ahead until nothing more has arrived. Ready once the connection has ended or the buffer is full.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<Progress> {
        while self.end.is_none() {
            if !self.try_grow(self.ahead.len() + READ_BYTES) {
                return Poll::Ready(match self.is_closed() {
                    true => Progress::Ended,
                    false => Progress::Full,
                });
            }
            let ready = self.stream.poll_read_ready(context);
            if ready.is_pending() {
                self.shrink();
            }
            if let Err(error) = ready!(ready) {
                self.end = Some(Err(error));
                break;
            }
            self.ahead.reserve(READ_BYTES);
            self.allocated = self.allocated.max(self.ahead.capacity());
            let mut buffer = (&mut self.ahead).limit(READ_BYTES);
            match self.stream.try_read_buf(&mut buffer) {
                Ok(0) => self.end = Some(Ok(())),
                Ok(_) => {}
                // Another poll registers the task.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => self.end = Some(Err(error)),
            }
        }
        Poll::Ready(Progress::Ended)
    }

    /// Returns whether the buffer may hold a number of bytes.
    fn try_grow(&mut self, bytes: usize) -> bool {
        self.share.try_grow(bytes) && self.memory.try_resize(2 * bytes)
    }

    /// Gives back what the buffer does not need.
    fn shrink(&mut self) {
        let bytes = self.ahead.len();
        if self.allocated > 4 * bytes + 2 * READ_BYTES || bytes == 0 {
            self.ahead = BytesMut::from(&self.ahead[..]);
            self.allocated = self.ahead.capacity();
        }
        self.share.shrink(bytes);
        let needed = self.allocated.max(2 * bytes);
        self.memory.try_resize(needed.min(self.memory.size()));
    }

    /// Returns whether the caller's close has arrived, behind bytes that have not been read.
    fn is_closed(&self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        let ready = pin!(self.stream.ready(Interest::READABLE));
        match ready.poll(&mut context) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }
}

/// Wraps a connection, from which up to `largest` bytes may be read ahead. Returns the stream for the library, and its watcher, which
/// must be polled by the same task.
pub fn watch(
    stream: TcpStream,
    budget: Arc<Budget>,
    memory: Arc<memory::Budget>,
    largest: usize,
) -> (Stream, Watcher) {
    let state = Arc::new(Mutex::new(State {
        stream,
        ahead: BytesMut::new(),
        allocated: 0,
        share: Share::new(budget, largest),
        memory: memory::Share::new(memory, memory::Class::ReadAhead),
        end: None,
        served: 0,
    }));
    (Stream(state.clone()), Watcher(state))
}

/// Notices the end of a connection while a request is served.
#[derive(Clone, Debug)]
pub struct Watcher(Arc<Mutex<State>>);

impl Watcher {
    /// Counts a request as being served until the returned value is dropped.
    pub fn begin(&self) -> Served {
        self.0.lock().served += 1;
        Served(self.0.clone())
    }

    /// Returns what tells a request whether its caller is there.
    pub fn presence(&self) -> Presence {
        Presence(Some(Arc::downgrade(&self.0)))
    }

    /// Waits until the caller has closed the connection while a request is served.
    pub async fn wait_for_end(&self) {
        let poll = |context: &mut Context<'_>| {
            let mut state = self.0.lock();
            match state.served {
                // The task is polled again when the library reads the next request.
                0 => Poll::Pending,
                _ => state.poll_ahead(context),
            }
        };
        while let Progress::Full = poll_fn(poll).await {
            time::sleep(FULL_CHECK_INTERVAL).await;
        }
    }
}

/// Counts a request as being served until it is dropped.
#[derive(Debug)]
pub struct Served(Arc<Mutex<State>>);

impl Drop for Served {
    fn drop(&mut self) {
        self.0.lock().served -= 1;
    }
}

/// Tells whether the caller of a request is still there. By default it always is, as another gateway that passes a request on sends
/// nothing behind it. It does not keep the connection open.
#[derive(Clone, Debug, Default)]
pub struct Presence(Option<Weak<Mutex<State>>>);

impl Presence {
    /// Returns at once if the caller is there, and otherwise never: the task that serves the connection ends the request.
    pub async fn confirm(&self) {
        let Some(state) = &self.0 else {
            return;
        };
        let is_gone = poll_fn(|context| {
            let polled = state.upgrade().map(|it| it.lock().poll_ahead(context));
            Poll::Ready(matches!(polled, None | Some(Poll::Ready(Progress::Ended))))
        });
        if is_gone.await {
            future::pending::<()>().await;
        }
    }
}

/// The stream that the library reads: first what was read ahead, then from the connection.
#[derive(Debug)]
pub struct Stream(Arc<Mutex<State>>);

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.0.lock();
        if !state.ahead.is_empty() {
            let count = state.ahead.len().min(buffer.remaining());
            buffer.put_slice(&state.ahead[..count]);
            state.ahead.advance(count);
            state.shrink();
            return Poll::Ready(Ok(()));
        }
        match &state.end {
            None => {
                let room = buffer.remaining().min(READ_BYTES);
                let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
                let polled = Pin::new(&mut state.stream).poll_read(context, &mut part);
                let count = part.filled().len();
                buffer.advance(count);
                polled
            }
            Some(Ok(())) => Poll::Ready(Ok(())),
            Some(Err(error)) => Poll::Ready(Err(error.kind().into())),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().stream).poll_write_vectored(context, slices)
    }

    // Otherwise the library would copy what it writes into a buffer that is not accounted for.
    fn is_write_vectored(&self) -> bool {
        self.0.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().stream).poll_shutdown(context)
    }
}
