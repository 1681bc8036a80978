//! A reply of an HTTP server: a status, headers, and a body that is buffered or streamed.

use std::io::Cursor;
use std::pin::Pin;

use futures_util::Stream;
use rocket::http::{Header, Status};
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder};
use rocket::{Request, Response};

/// The body of a reply.
pub enum Body {
    /// A body that is complete.
    Buffered(Vec<u8>),
    /// A body whose parts are sent as the stream yields them.
    Streamed(Pin<Box<dyn Stream<Item = Vec<u8>> + Send>>),
}

/// A reply.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Body,
}

impl Reply {
    /// Creates a reply with a complete body.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::reply::Reply;
    ///
    /// let reply = Reply::buffered(200, "text/plain", b"ok".to_vec());
    /// assert_eq!(reply.status, 200);
    /// ```
    pub fn buffered(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", content_type.to_owned())],
            body: Body::Buffered(body),
        }
    }

    /// Creates a reply with a JSON body, which is empty if the value cannot be encoded.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::buffered(status, "application/json", body)
    }

    /// Creates a reply with status 200 that streams server-sent events.
    pub fn events(stream: impl Stream<Item = Vec<u8>> + Send + 'static) -> Self {
        Self {
            status: Status::Ok.code,
            headers: vec![
                ("Content-Type", "text/event-stream".to_owned()),
                ("Cache-Control", "no-cache".to_owned()),
            ],
            body: Body::Streamed(Box::pin(stream)),
        }
    }

    /// Adds a header. One of the same name that was added before is replaced when the reply is sent.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Encodes one server-sent event with JSON data, which is empty if it cannot be encoded.
pub fn encode_event<T: serde::Serialize>(data: &T) -> Vec<u8> {
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("data: {data}\n\n").into_bytes()
}

/// The server-sent event that marks a stream of events as complete.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            Body::Buffered(body) => Response::build()
                .sized_body(body.len(), Cursor::new(body))
                .finalize(),
            Body::Streamed(stream) => ByteStream(stream).respond_to(request)?,
        };
        let status = Status::from_code(self.status);
        response.set_status(status.unwrap_or(Status::InternalServerError));
        for (name, value) in self.headers {
            response.set_header(Header::new(name, value));
        }
        Ok(response)
    }
}
