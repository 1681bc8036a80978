//! The idle limit of callers' connections: a timer of the HTTP library that follows the catalogue in force, and the time
//! that answers state.

use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::rt;
use tokio::time;

use crate::prelude::*;

/// How much shorter the stated idle time is than the limit, so that a request which a caller sends at its end arrives
/// before the connection is closed, also after one retransmission.
const STATED_MARGIN: Duration = Duration::from_millis(500);

/// Returns the value of `Keep-Alive` that tells a caller how long its connection may be idle, in whole seconds. Returns
/// `None` if that is less than a second.
pub fn state_limit(limit: Duration) -> Option<HeaderValue> {
    let seconds = limit.saturating_sub(STATED_MARGIN).as_secs();
    let value = HeaderValue::from_str(&format!("timeout={seconds}")).ok();
    value.filter(|_| seconds > 0)
}

/// Times the wait for the next request on a connection.
#[derive(Clone, Debug)]
pub struct Timer {
    gateway: Arc<Gateway>,
    /// The limit with which the library computes its deadlines.
    limit: Duration,
}

impl Timer {
    /// Creates the timer of a connection whose configured limit is `limit`.
    pub fn new(gateway: Arc<Gateway>, limit: Duration) -> Self {
        Self { gateway, limit }
    }
}

impl rt::Timer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Sleep {
            gateway: self.gateway.clone(),
            begin: deadline.checked_sub(self.limit).unwrap_or(deadline),
            inner: Box::pin(time::sleep_until(deadline.into())),
        })
    }
}

/// Ends once the connection has been idle for the limit in force, but not before the limit at the begin.
#[derive(Debug)]
struct Sleep {
    gateway: Arc<Gateway>,
    begin: Instant,
    inner: Pin<Box<time::Sleep>>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.inner.as_mut().poll(context));
            let limit = Duration::from_millis(self.gateway.catalog().limits().idle_ms);
            let deadline = self.begin + limit;
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            self.inner.as_mut().reset(deadline.into());
        }
    }
}

impl rt::Sleep for Sleep {}
