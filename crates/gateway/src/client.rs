//! Calls to the store and to other gateways: one at a time on a kept connection, each with a time limit.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response};
use parking_lot::Mutex;
use snafu::{OptionExt, ResultExt};
use tokio::time;

use crate::connections::{self, Link};
use crate::errors::{ExchangeSnafu, OversizedSnafu, TimeoutSnafu};
use crate::prelude::*;

/// The largest answer that is taken, in bytes: a list of 500 entries of 64 KiB in base64 is the store's most.
const ANSWER_MAX: usize = 48 << 20;

/// A client of one server. Concurrent calls use connections of their own.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Option<Link>>,
}

impl Client {
    /// Creates a client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and returns the whole answer. The connection is kept only if the answer came whole.
    ///
    /// # Errors
    ///
    /// `Error::Connect` if nothing was sent; after any other error the request may have been carried out.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>> {
        let address = self.address;
        let limit_ms = limit.as_millis() as u64;
        let answered = time::timeout(limit, self.exchange(request)).await.ok();
        answered.context(TimeoutSnafu { address, limit_ms })?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let address = self.address;
        let kept = self.idle.lock().take();
        let mut link = match connections::reuse(kept).await {
            Some(link) => link,
            None => connections::open(address).await?,
        };
        let sent = link.sender.send_request(request).await;
        let (parts, body) = sent.context(ExchangeSnafu { address })?.into_parts();
        let whole = Limited::new(body, ANSWER_MAX).collect().await;
        let whole = match whole {
            Ok(whole) => whole.to_bytes(),
            Err(error) => {
                return match error.downcast::<hyper::Error>() {
                    Ok(source) => Err(*source).context(ExchangeSnafu { address }),
                    Err(_) => OversizedSnafu {
                        address,
                        limit: ANSWER_MAX,
                    }
                    .fail(),
                }
            }
        };
        self.idle.lock().replace(link);
        Ok(Response::from_parts(parts, whole))
    }
}
