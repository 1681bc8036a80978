//! An HTTP client for the store and other gateways. A connection carries one call at a time, and every call has time
//! limits.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use parking_lot::Mutex;
use snafu::{IntoError, OptionExt, ResultExt};
use tokio::time;

use crate::connections::{self, Connection};
use crate::errors::{Error, ExchangeSnafu, OversizedSnafu, TimeoutSnafu};
use crate::prelude::*;
use crate::whole::Whole;

/// The maximum size of an answer, in bytes. The largest one is a list from the store of 500 entries of 64 KiB each, in
/// base64.
pub const ANSWER_MAX_BYTES: usize = 48 << 20;

/// The time limits of a call. An answer over a narrow link may take long as a whole while its bytes keep arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The time until the head of the answer.
    pub head: Duration,
    /// The longest time without a further part of the body.
    pub pause: Duration,
    /// The time until the end of the answer.
    pub whole: Duration,
}

impl Limits {
    /// Returns the limits of a call whose answer must be complete within `timeout`, however it arrives.
    pub fn within(timeout: Duration) -> Self {
        Self {
            head: timeout,
            pause: timeout,
            whole: timeout,
        }
    }
}

/// How much has arrived of the answers to one call or several, so that a slow answer can be told from none.
#[derive(Debug, Default)]
pub struct Progress(AtomicU64);

impl Progress {
    /// Returns the number of heads and bytes of bodies that have arrived.
    pub fn received(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn note(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// A complete answer, with the connection on which it came. Dropping it closes the connection.
#[derive(Debug)]
pub struct Reply<'a> {
    client: &'a Client,
    connection: Connection,
    response: Response<Bytes>,
}

impl Reply<'_> {
    /// Returns the answer.
    pub fn response(&self) -> &Response<Bytes> {
        &self.response
    }

    /// Returns the answer and keeps the connection for reuse. The caller has checked that the answer can be that to its
    /// request: after the answer to another one, all later answers on the connection are in doubt.
    pub fn accept(self) -> Response<Bytes> {
        self.client.idle.lock().replace(self.connection);
        self.response
    }
}

/// A client of one server, which keeps one idle connection. Concurrent calls use separate connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Option<Connection>>,
}

impl Client {
    /// Creates a client. It connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Closes the idle connection.
    pub fn close_idle(&self) {
        self.idle.lock().take();
    }

    /// Sends a request and returns the complete answer, within `limits`. The connection is kept for reuse only if the answer arrived
    /// completely and the caller accepts it. `progress` is told what arrives.
    ///
    /// # Errors
    ///
    /// `Error::Connect` if the connection failed, so that nothing was sent. After `Error::Timeout`, `Error::Exchange` or
    /// `Error::Oversized`, the server may have processed the request.
    pub async fn call(
        &self,
        request: Request<Whole>,
        limits: Limits,
        progress: &Progress,
    ) -> Result<Reply<'_>> {
        self.within(limits.whole, self.exchange(request, limits, progress))
            .await
    }

    /// Awaits a step of a call for a limited time.
    async fn within<T>(&self, limit: Duration, step: impl Future<Output = Result<T>>) -> Result<T> {
        let address = self.address;
        let limit_ms = limit.as_millis() as u64;
        let done = time::timeout(limit, step).await.ok();
        done.context(TimeoutSnafu { address, limit_ms })?
    }

    /// Sends a request on the idle connection, or on a new one, and reads the answer.
    async fn exchange(
        &self,
        request: Request<Whole>,
        limits: Limits,
        progress: &Progress,
    ) -> Result<Reply<'_>> {
        let (connection, response) = self.within(limits.head, self.send(request)).await?;
        progress.note(1);
        let (parts, body) = response.into_parts();
        let whole = self.collect(body, limits.pause, progress).await?;
        Ok(Reply {
            client: self,
            connection,
            response: Response::from_parts(parts, whole),
        })
    }

    /// Sends a request, and waits for the head of the answer.
    async fn send(&self, request: Request<Whole>) -> Result<(Connection, Response<Incoming>)> {
        let address = self.address;
        let idle = self.idle.lock().take();
        let mut connection = match connections::reuse(idle).await {
            Some(link) => link,
            None => connections::open(address, None).await?,
        };
        let sent = connection
            .send(request)
            .await
            .map_err(TrySendError::into_error);
        Ok((connection, sent.context(ExchangeSnafu { address })?))
    }

    /// Reads a body, whose parts arrive at most `pause` apart.
    async fn collect(&self, body: Incoming, pause: Duration, progress: &Progress) -> Result<Bytes> {
        let mut body = Limited::new(body, ANSWER_MAX_BYTES);
        let mut whole = BytesMut::new();
        loop {
            let next = self.within(pause, async { Ok(body.frame().await) });
            match next.await? {
                None => return Ok(whole.freeze()),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    progress.note(data.len());
                    whole.extend_from_slice(&data);
                }
                Some(Err(error)) => return Err(self.describe(error)),
            }
        }
    }

    fn describe(&self, error: Box<dyn std::error::Error + Send + Sync>) -> Error {
        let address = self.address;
        match error.downcast::<hyper::Error>() {
            Ok(source) => ExchangeSnafu { address }.into_error(*source),
            Err(_) => OversizedSnafu {
                address,
                limit: ANSWER_MAX_BYTES,
            }
            .build(),
        }
    }
}
