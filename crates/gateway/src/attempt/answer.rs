//! The answer of a target whose head has arrived, and what marks the end of its body.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header;
use hyper::http::response::Parts;
use hyper::HeaderMap;
use sardinemux_core::event;
use sardinemux_core::roster::Evidence;

use super::grant::Grant;
use super::InFlight;
use crate::connections::Connection;
use crate::hop;
use crate::prelude::*;

/// What marks the end of an answer's body. Source: RFC 9112, section 6.3.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The number of bytes that `Content-Length` states.
    Length,
    /// The last chunk of a chunked body.
    Chunks,
    /// The end of the connection.
    Connection,
}

impl Framing {
    /// Returns the framing that the head of an answer states. The answer must be one that can have a body.
    ///
    /// # Examples
    ///
    /// ```
    /// use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH};
    /// use sardinemux_gateway::attempt::answer::Framing;
    ///
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(Framing::of(&headers), Framing::Connection);
    /// headers.insert(CONTENT_LENGTH, HeaderValue::from(4));
    /// assert_eq!(Framing::of(&headers), Framing::Length);
    /// ```
    pub fn of(headers: &HeaderMap) -> Self {
        let coding = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back();
        let is_chunked = coding
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.rsplit(',').next())
            .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
        match (is_chunked, coding.is_some()) {
            (true, _) => Self::Chunks,
            (false, false) if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            _ => Self::Connection,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Returns whether the head of an answer states a coding of its body, so that the bytes that arrive are not those that the
/// target signed. Chunks are removed by the HTTP library, and `identity` means that there is no coding.
///
/// # Examples
///
/// ```
/// use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
/// use sardinemux_gateway::attempt::answer;
///
/// let mut headers = HeaderMap::new();
/// headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
/// assert!(!answer::is_encoded(&headers));
/// headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("gzip, chunked"));
/// assert!(answer::is_encoded(&headers));
/// ```
pub fn is_encoded(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut codings = codings.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    headers.contains_key(header::CONTENT_ENCODING)
        || codings.any(|coding| {
            let coding = coding.trim_ascii();
            let known: [&[u8]; 3] = [b"", b"chunked", b"identity"];
            !known.iter().any(|known| coding.eq_ignore_ascii_case(known))
        })
}

/// An answer whose head has arrived, and whose body can be read.
#[derive(Debug)]
pub struct Answer {
    /// The status and headers.
    pub head: Parts,
    /// The body, which has not been read yet.
    pub body: Incoming,
    /// The guard that counts the request on its target.
    pub in_flight: InFlight,
    /// The version of the target's software; empty if it is not known.
    pub build: SmolStr,
    /// The time that the target, or the other gateway, was given.
    pub(crate) grant: Grant,
    pub(crate) link: Connection,
    /// The address of the gateway that sent the request to the target, if it is not this one.
    pub(crate) peer: Option<SocketAddr>,
    /// Whether the body ends regularly only if the target is known to have completed it. Gateways of earlier builds mark
    /// the end of a body that the end of a connection may have cut short.
    pub(crate) is_checked: bool,
}

impl Answer {
    /// Returns what marks the end of the body.
    pub fn framing(&self) -> Framing {
        Framing::of(&self.head.headers)
    }

    /// Returns whether the answer is known to be complete if its body ends before any byte has arrived. The end of the
    /// connection alone does not show that: the target may have crashed after the head. Call this before the body is
    /// read.
    pub fn may_be_empty(&self) -> bool {
        self.framing() != Framing::Connection || self.body.is_end_stream()
    }

    /// Returns whether the body, which has ended now, may have been cut short by the time limit of the target: nothing
    /// but the end of its connection marks the end.
    pub fn is_end_forced(&self) -> bool {
        let is_unmarked = !self.may_be_empty() || !self.is_checked;
        is_unmarked && self.grant.may_be_over()
    }

    /// Returns what the head states about the type of the body, if anything.
    pub fn content_type(&self) -> Option<&str> {
        self.head.headers.get(header::CONTENT_TYPE)?.to_str().ok()
    }

    /// Returns whether the head states that the body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.content_type().is_some_and(event::is_event_stream)
    }

    /// Closes the connection, so that the target cancels its work.
    pub fn close(&mut self) {
        self.link.close();
    }

    /// Records that the answer arrived completely, and keeps the connection for reuse unless the target closes it.
    pub fn complete(mut self) {
        self.in_flight
            .set_evidence(match self.head.status.is_server_error() {
                true => Evidence::ServerError,
                false => Evidence::Healthy,
            });
        let closes = self
            .head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes {
            return;
        }
        if let Some(peer) = self.peer {
            let gateway = self.in_flight.gateway.clone();
            hop::keep(&gateway, peer, self.link);
            return;
        }
        let idle_timeout = parse_keep_alive(&self.head);
        let gateway = &self.in_flight.gateway;
        let idle_max = gateway.idle_connections_max(self.in_flight.key);
        let mut shelf = gateway.idle_connections.lock();
        shelf.put(self.in_flight.key, self.link, idle_timeout, idle_max);
    }
}

/// The longest time for which an idle connection is kept, whatever its target states.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(3_600);

/// Returns the timeout of a `Keep-Alive: timeout=N` header, which is in whole seconds.
fn parse_keep_alive(head: &Parts) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(KEEP_ALIVE_MAX))
}
