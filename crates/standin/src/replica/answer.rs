//! The answers of a replica. Their bytes follow from the request id, and those of a stream from the numbers of its
//! events, so that a caller can check its whole answer.

use std::ops::Range;
use std::time::{Duration, Instant};

use async_stream::stream;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{Response, StatusCode, Version};
use serde::{Deserialize, Serialize};
use tokio::time;

use super::{empty_body, Disconnect, RequestGuard, Settings};

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Disconnect>;

/// The number of events that take as long as the second half of an answer that is no stream.
pub const HALF_EVENTS: u32 = 10;

/// The number of times that a whole answer repeats the request id.
const ID_REPETITIONS: usize = 20;

/// How long a stream waits before it breaks off, so that the part of its last event is sent.
const FLUSH_WAIT: Duration = Duration::from_millis(5);

/// How long an answer is silent, in milliseconds.
const PAUSE_MS: Range<u64> = 1_000..2_001;

/// Bytes of an answer that never ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Flood {
    /// Answers end.
    #[default]
    None,
    /// Small pieces, each a chunk of its own.
    Pieces,
    /// One event.
    Event,
    /// Large events, each of which ends.
    Events,
    /// Line ends.
    LineEnds,
}

/// The pause between two parts of a flood.
const FLOOD_PAUSE: Duration = Duration::from_millis(2);

impl Flood {
    /// Returns the size and the number of the pieces between two pauses.
    fn part(self) -> (usize, usize) {
        match self {
            Self::Pieces | Self::None => (4, 4_096),
            Self::Event => (16 << 10, 1),
            Self::Events => (512 << 10, 1),
            Self::LineEnds => (64 << 10, 1),
        }
    }
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
pub struct Work {
    /// The request id that the caller gave.
    pub id: String,
    /// The number of the last event that the caller has received, or 0.
    pub last_event: u64,
    /// The time of its arrival.
    pub arrived_at: Instant,
    /// The time for which the caller waits, counted from the arrival.
    pub timeout: Duration,
    /// How much longer each event takes.
    pub lag: Duration,
}

impl Work {
    /// Works for some time, but not beyond the time for which the caller waits. Returns whether the work may go on.
    pub async fn advance(&self, time: Duration) -> bool {
        let limit = self.arrived_at + self.timeout;
        time::timeout_at(limit.into(), time::sleep(time))
            .await
            .is_ok()
    }
}

/// A silence inside an answer that goes on afterwards.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// The number of the event before which the answer is silent; `None` for a silence before the head.
    pub event: Option<u64>,
    /// How long it is silent.
    pub time: Duration,
}

impl Pause {
    /// Draws a silence of an answer with these events: half of them come before the head.
    pub fn draw(events: Range<u64>) -> Self {
        let is_inside = !events.is_empty() && rand::random();
        Self {
            event: is_inside.then(|| rand::random_range(events)),
            time: Duration::from_millis(rand::random_range(PAUSE_MS)),
        }
    }
}

/// Returns the text of a whole answer to the request with this id.
///
/// # Examples
///
/// ```
/// use sardinemux_standin::replica::answer;
///
/// assert!(answer::text("r1").starts_with("r1;r1;"));
/// ```
pub fn text(id: &str) -> String {
    format!("{id};").repeat(ID_REPETITIONS)
}

/// Returns the event of a stream that has this number, as a replica of a build writes it.
///
/// # Examples
///
/// ```
/// use sardinemux_standin::replica::answer;
///
/// assert_eq!(answer::event(3, "v1"), "id: 3\ndata: event 3 of v1\n\n");
/// ```
pub fn event(number: u64, build: &str) -> String {
    format!("id: {number}\ndata: event {number} of {build}\n\n")
}

pub(super) fn set_header(headers: &mut HeaderMap, name: &str, value: &str) {
    // Names are constants, and request ids arrived in a header themselves, so that neither conversion fails for them.
    if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

pub(super) fn empty_response(status: StatusCode) -> Response<Body> {
    let body = empty_body().map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

pub(super) fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = whole_response(StatusCode::OK, &text, false);
    set_header(
        response.headers_mut(),
        CONTENT_TYPE.as_str(),
        "application/json",
    );
    response
}

/// Returns a whole answer; a broken one states its full length and ends after half of it.
pub(super) fn whole_response(status: StatusCode, text: &str, is_broken: bool) -> Response<Body> {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    let half = bytes.slice(..bytes.len() / 2);
    let pieces = stream! {
        if is_broken {
            yield Ok(Frame::data(half));
            yield Err(Disconnect);
        } else {
            yield Ok(Frame::data(bytes));
        }
    };
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    *response.status_mut() = status;
    set_header(
        response.headers_mut(),
        CONTENT_LENGTH.as_str(),
        &text.len().to_string(),
    );
    response
}

/// Returns a whole answer in two halves. It ends after the first one if the second comes too late.
pub(super) fn halved_response(text: &str, work: Work) -> Response<Body> {
    let bytes = Bytes::copy_from_slice(text.as_bytes());
    let (first, second) = (
        bytes.slice(..bytes.len() / 2),
        bytes.slice(bytes.len() / 2..),
    );
    let pieces = stream! {
        yield Ok(Frame::data(first));
        match work.advance(work.lag * HALF_EVENTS).await {
            true => yield Ok(Frame::data(second)),
            false => yield Err(Disconnect),
        }
    };
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    let length = text.len().to_string();
    set_header(response.headers_mut(), CONTENT_LENGTH.as_str(), &length);
    response
}

/// Returns an answer that ends only with the time for which its caller waits.
pub(super) fn endless_response(flood: Flood, is_stream: bool, work: Work) -> Response<Body> {
    let (size, count) = flood.part();
    let piece = match flood {
        Flood::LineEnds => "\n".repeat(size),
        Flood::Events => format!("data: {}\n\n", "?".repeat(size)),
        Flood::None | Flood::Pieces | Flood::Event => "?".repeat(size),
    };
    let piece = Bytes::from(piece);
    let pieces = stream! {
        if flood == Flood::Event {
            yield Ok(Frame::data(Bytes::from_static(b"data: ")));
        }
        while work.advance(FLOOD_PAUSE).await {
            for _ in 0..count {
                yield Ok(Frame::data(piece.clone()));
            }
        }
        yield Err(Disconnect);
    };
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    let media_type = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    set_header(response.headers_mut(), CONTENT_TYPE.as_str(), media_type);
    response
}

/// Marks the end of an answer by the end of its connection, as in HTTP/1.0, which has no chunks.
pub(super) fn remove_framing(response: &mut Response<Body>) {
    response.headers_mut().remove(CONTENT_LENGTH);
    *response.version_mut() = Version::HTTP_10;
}

/// Returns a stream of events; a broken one ends within an event of its second half. The silence of `pause` comes on top
/// of the time between two events.
pub(super) fn stream_response(
    settings: &Settings,
    work: Work,
    mut running: RequestGuard,
    is_broken: bool,
    pause: Option<Pause>,
) -> Response<Body> {
    let interval = Duration::from_millis(settings.event_ms);
    let events = settings.events;
    let build = settings.build.clone();
    let pieces = stream! {
        for number in work.last_event + 1..=events {
            let pause = pause.filter(|pause| pause.event == Some(number));
            let wait = interval + work.lag + pause.map_or(Duration::ZERO, |pause| pause.time);
            if !work.advance(wait).await {
                yield Err(Disconnect);
                return;
            }
            let event = event(number, &build);
            if is_broken && number > events / 2 {
                yield Ok(Frame::data(Bytes::copy_from_slice(&event.as_bytes()[..5])));
                // The HTTP library writes the part only once the stream has no more data.
                time::sleep(FLUSH_WAIT).await;
                yield Err(Disconnect);
                return;
            }
            yield Ok(Frame::data(Bytes::from(event)));
        }
        running.mark_complete();
    };
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    set_header(
        response.headers_mut(),
        CONTENT_TYPE.as_str(),
        "text/event-stream",
    );
    response
}
