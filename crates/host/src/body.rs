//! The body of a request: it is read up to a limit, and what a refused request leaves unread is discarded.
//!
//! The server library closes the connection of a request whose body it has not read without telling the caller, who
//! may have sent the next request on it. Unread bytes reset the connection, so that the answer may be lost too.
//! Source: RFC 9112, section 9.6.

use std::future::ready;
use std::io::{self, Cursor};
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use rocket::data::{DataStream, ToByteUnit};
use rocket::http::Method;
use rocket::response::stream::ReaderStream;
use rocket::response::{self, Responder};
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use tokio::io::AsyncReadExt;
use tokio::time;

use crate::reply::{self, Reply};

/// The largest rest of a refused request's body that is read, in bytes.
pub const DISCARDED_MAX_BYTES: u64 = 8 << 20;

/// How long the rest of a refused request's body may take to arrive.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(30);

/// The rank of the routes for requests that no other route takes.
const REFUSAL_RANK: isize = isize::MAX;

/// The methods of the requests that these routes take. The server library answers HEAD with the routes of GET.
const METHODS: [Method; 8] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Trace,
    Method::Connect,
    Method::Patch,
];

/// The body of a request.
pub struct Body<'r> {
    stream: DataStream<'r>,
    limit: u64,
}

impl<'r> Body<'r> {
    /// Creates a body of which at most `limit` bytes are accepted.
    pub fn new(data: Data<'r>, limit: u64) -> Self {
        Self {
            stream: data.open((limit + DISCARDED_MAX_BYTES).bytes()),
            limit,
        }
    }

    /// Returns the largest number of bytes that is accepted.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Reads the whole body; returns nothing if it exceeds the limit.
    ///
    /// # Errors
    ///
    /// The error of the connection.
    pub async fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        // One byte over the limit shows that the body exceeds it.
        let mut accepted = (&mut self.stream).take(self.limit + 1);
        accepted.read_to_end(&mut bytes).await?;
        Ok((bytes.len() as u64 <= self.limit).then_some(bytes))
    }

    /// Reads and discards the rest of the body, within the bounds on bytes and time.
    pub async fn discard(&mut self) {
        let mut sink = tokio::io::sink();
        let discarding = tokio::io::copy(&mut self.stream, &mut sink);
        match time::timeout(DISCARD_TIMEOUT, discarding).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                log::debug!(error:% = error; "the connection of a refused request ended within its body");
            }
            Err(_) => {
                log::debug!(
                    "the body of a refused request did not arrive; its connection is closed"
                );
            }
        }
    }

    /// Replies to the request, and discards what is left of the body once the reply has been sent.
    pub fn answer(self, reply: Reply) -> Answer<'r> {
        Answer { reply, body: self }
    }
}

/// A reply that does not wait for the rest of the request's body.
pub struct Answer<'r> {
    reply: Reply,
    body: Body<'r>,
}

impl<'r> Responder<'r, 'r> for Answer<'r> {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let Self {
            mut reply,
            mut body,
        } = self;
        let bytes = match &mut reply.body {
            reply::Body::Buffered(bytes) => std::mem::take(bytes),
            // Only a request whose body has been read is answered with a stream.
            reply::Body::Streamed(_) => return reply.respond_to(request),
        };
        let length = bytes.len();
        let is_last = stated_length(request) > body.limit + DISCARDED_MAX_BYTES;
        let mut response = reply.respond_to(request)?;
        let rest = stream::once(async move {
            body.discard().await;
            Vec::new()
        });
        let parts = stream::once(ready(bytes)).chain(rest).map(Cursor::new);
        response.set_streamed_body(ReaderStream::from(parts));
        response.set_raw_header("Content-Length", length.to_string());
        if is_last {
            response.set_raw_header("Connection", "close");
        }
        Ok(response)
    }
}

/// Returns the length that the head of a request states for its body; 0 if it states none.
fn stated_length(request: &Request<'_>) -> u64 {
    let value = request.headers().get_one("Content-Length");
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// A reply that is computed from the head of a request alone.
pub type HeadReply = fn(&Request<'_>) -> Reply;

/// The request handler that replies from the head alone and discards the body.
#[derive(Clone)]
struct HeadHandler {
    reply: HeadReply,
}

#[rocket::async_trait]
impl Handler for HeadHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let answer = Body::new(data, 0).answer((self.reply)(request));
        Outcome::from(request, answer)
    }
}

/// Returns the routes for requests that no other route of a server takes.
pub fn refuse_others(reply: HeadReply) -> Vec<Route> {
    let handler = HeadHandler { reply };
    let route = |method| Route::ranked(REFUSAL_RANK, method, "/<_..>", handler.clone());
    METHODS.map(route).into()
}

/// Returns a route of GET that replies from the head alone.
pub fn get_route(path: &str, reply: HeadReply) -> Route {
    Route::new(Method::Get, path, HeadHandler { reply })
}
