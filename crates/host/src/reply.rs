//! A reply of an HTTP server: status, headers, and a content that is whole or follows as it comes.

use std::io::Cursor;
use std::pin::Pin;

use futures_util::Stream;
use rocket::http::{Header, Status};
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder};
use rocket::{Request, Response};

/// The content of a reply.
pub enum Content {
    /// The whole content.
    Whole(Vec<u8>),
    /// Content that follows as it comes.
    Streamed(Pin<Box<dyn Stream<Item = Vec<u8>> + Send>>),
}

/// A reply.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The content.
    pub content: Content,
}

impl Reply {
    /// Creates a reply with a whole content.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::reply::Reply;
    ///
    /// let reply = Reply::whole(200, "text/plain", b"ok".to_vec());
    /// assert_eq!(reply.status, 200);
    /// ```
    pub fn whole(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", content_type.to_owned())],
            content: Content::Whole(body),
        }
    }

    /// Creates a reply with a JSON content.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", body)
    }

    /// Creates a reply of server-sent events.
    pub fn events(stream: impl Stream<Item = Vec<u8>> + Send + 'static) -> Self {
        Self {
            status: Status::Ok.code,
            headers: vec![
                ("Content-Type", "text/event-stream".to_owned()),
                ("Cache-Control", "no-cache".to_owned()),
            ],
            content: Content::Streamed(Box::pin(stream)),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Writes one server-sent event with a JSON content.
pub fn event<T: serde::Serialize>(data: &T) -> Vec<u8> {
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("data: {data}\n\n").into_bytes()
}

/// The server-sent event that ends a whole answer.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

impl<'r> Responder<'r, 'r> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.content {
            Content::Whole(body) => Response::build()
                .sized_body(body.len(), Cursor::new(body))
                .finalize(),
            Content::Streamed(stream) => ByteStream(stream).respond_to(request)?,
        };
        let status = Status::from_code(self.status);
        response.set_status(status.unwrap_or(Status::InternalServerError));
        for (name, value) in self.headers {
            response.set_header(Header::new(name, value));
        }
        Ok(response)
    }
}
