//! A reply of an HTTP server: status, headers, and a content that is whole or follows as it comes.

use std::io::Cursor;
use std::pin::Pin;

use futures_util::Stream;
use rocket::http::{Header, Status};
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder};
use rocket::{Request, Response};

/// The content of a reply.
pub enum Body {
    /// The whole content.
    Buffered(Vec<u8>),
    /// Body that follows as it comes.
    Streamed(Pin<Box<dyn Stream<Item = Vec<u8>> + Send>>),
}

/// A reply.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The content.
    pub body: Body,
}

impl Reply {
    /// Creates a reply with a whole content.
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

    /// Creates a reply with a JSON content.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::buffered(status, "application/json", body)
    }

    /// Creates a reply of server-sent events.
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

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Writes one server-sent event with a JSON content.
pub fn encode_event<T: serde::Serialize>(data: &T) -> Vec<u8> {
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("data: {data}\n\n").into_bytes()
}

/// The server-sent event that ends a whole answer.
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
