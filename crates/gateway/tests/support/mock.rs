//! Mock targets: each handles every request in the same way, and records what arrives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use super::header;

/// How a mock target handles every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends a complete answer.
    Answer,
    /// Sends a complete answer that states the requests a second that the target takes.
    Limit(&'static str),
    /// Sends a complete answer with status 500.
    Fail,
    /// States that it did not run the request.
    Reject,
    /// Resets the connection after it has read the request.
    Reset,
    /// Sends the answer to another request.
    Cross,
    /// Sends the rejection of a request that was meant for another target.
    CrossRejection,
    /// States a longer body than it sends, and resets the connection.
    Truncate,
    /// Sends nothing.
    Hang,
    /// Sends events 1 and 2 and half of event 3, and resets the connection.
    BreakStream,
    /// Sends the events after the last one that the client received, up to event 4.
    Stream,
    /// Sends events 1 to 4, regardless of the last one that the client received.
    Replay,
    /// Sends events 1 and 3, as if a chunk of another stream had arrived instead of event 2, and completes the stream.
    SkipEvent,
    /// Sends event 1 and then event 2 twice, and completes the stream.
    RepeatEvent,
    /// Sends events 1 and 2, nothing for this time in milliseconds, and then events 3 and 4 and the end.
    PauseStream(u64),
    /// Sends nothing for this time in milliseconds, and then a complete answer.
    PauseAnswer(u64),
    /// Sends nothing for this time in milliseconds, and then states that it did not run the request.
    LateReject(u64),
    /// Sends a body with a given framing, which may break off.
    Send(Script),
    /// Sends a complete answer to requests that are meant for the target with this id, and rejects all others.
    Named(&'static str),
    /// Sends this text, in which `{id}` stands for the request id and `{own}` for the id of the target that is meant, and
    /// answers the next request on the connection in the same way.
    Raw(&'static str),
}

/// What marks the end of the body of a scripted answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A stated length, in bytes.
    Length(usize),
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
    /// The end of the connection, after a body in another transfer coding than chunks.
    Coding(&'static str),
}

/// How a scripted answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With the last chunk, if it is chunked, and the close of the connection.
    Finish,
    /// With the close of the connection.
    Close,
    /// With a reset of the connection.
    Reset,
    /// Not at all: the connection stays open until the gateway closes it.
    Hold,
    /// With the close of the connection at the end of the time that the request states.
    CloseAtLimit,
}

/// A signed answer with status 200.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Script {
    /// What marks the end of the body.
    pub framing: Framing,
    /// The media type; `None` if the head states none.
    pub media_type: Option<&'static str>,
    /// The bytes of the body that are sent.
    pub body: &'static str,
    /// How the answer ends.
    pub ending: Ending,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            framing: Framing::Connection,
            media_type: Some("text/event-stream"),
            body: "",
            ending: Ending::Close,
        }
    }
}

impl Script {
    /// Returns the bytes of the answer to the request with this id.
    fn encode(&self, id: &str) -> String {
        let mut answer = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\n");
        if let Some(media_type) = self.media_type {
            answer.push_str(&format!("content-type: {media_type}\r\n"));
        }
        let body = self.body;
        answer.push_str(&match self.framing {
            Framing::Length(length) => format!("content-length: {length}\r\n\r\n{body}"),
            Framing::Chunks if body.is_empty() => "transfer-encoding: chunked\r\n\r\n".into(),
            Framing::Chunks => {
                let length = body.len();
                format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n")
            }
            Framing::Connection => format!("\r\n{body}"),
            Framing::Coding(coding) => format!("transfer-encoding: {coding}\r\n\r\n{body}"),
        });
        if self.framing == Framing::Chunks && self.ending == Ending::Finish {
            answer.push_str("0\r\n\r\n");
        }
        answer
    }
}

/// What a mock target has observed.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The requests in the order of their arrival, each with head and body.
    pub requests: Vec<String>,
    /// When each of them arrived.
    pub arrivals: Vec<Instant>,
    /// The number of connections that ended before the request on them was answered.
    pub disconnects: usize,
}

/// A target that handles every request in the same way, and records what arrives.
pub struct MockTarget {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// What it has observed so far.
    pub observed: Arc<Mutex<Observed>>,
    /// Keeps the address of a crashed target from being taken by a target of another test.
    reserved: Option<TcpSocket>,
}

impl MockTarget {
    /// Starts a mock target.
    pub async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let observed = Arc::new(Mutex::new(Observed::default()));
        let shared = observed.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, behaviour, shared.clone()));
            }
        });
        Self {
            address,
            observed,
            reserved: None,
        }
    }

    /// Returns a target that has crashed: its address refuses connections.
    pub fn crashed() -> Self {
        let reserved = TcpSocket::new_v4().unwrap();
        reserved
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .unwrap();
        Self {
            address: reserved.local_addr().unwrap(),
            observed: Arc::default(),
            reserved: Some(reserved),
        }
    }

    /// Returns the number of requests that have arrived.
    pub fn request_count(&self) -> usize {
        self.observed.lock().requests.len()
    }
}

/// How much sooner than stated a target stops whose clock is a little fast.
const STOP_LEAD: Duration = Duration::from_millis(2);

/// Handles the requests on one connection.
async fn serve(mut stream: TcpStream, behaviour: Behaviour, observed: Arc<Mutex<Observed>>) {
    while let Some(request) = read_request(&mut stream).await {
        let arrived_at = time::Instant::now();
        if request.starts_with(STATUS_REQUEST) {
            if !answer_status(&mut stream, behaviour).await {
                return;
            }
            continue;
        }
        {
            let mut observed = observed.lock();
            observed.requests.push(request.clone());
            observed.arrivals.push(Instant::now());
        }
        let id = header(&request, "x-id").unwrap_or_default();
        if let Behaviour::PauseAnswer(pause_ms) | Behaviour::LateReject(pause_ms) = behaviour {
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
        if let Behaviour::PauseStream(pause_ms) = behaviour {
            let begun = event_stream(&id, &["id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n"]);
            stream.write_all(begun.as_bytes()).await.unwrap();
            time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let answer = match behaviour {
            Behaviour::PauseStream(_) => {
                chunks(&["id: 3\ndata: x\n\n", "id: 4\ndata: x\n\n"]) + "0\r\n\r\n"
            }
            Behaviour::Answer | Behaviour::PauseAnswer(_) => complete_response(200, &id, "answer"),
            Behaviour::Limit(limit) => complete_response(200, &id, "answer")
                .replace("x-signature", &format!("x-limit: {limit}\r\nx-signature")),
            Behaviour::Fail => complete_response(500, &id, "failed"),
            Behaviour::Reject | Behaviour::LateReject(_) => {
                "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".into()
            }
            Behaviour::CrossRejection => {
                let own = header(&request, "x-expect").unwrap_or_default();
                format!(
                    "HTTP/1.1 421 Misdirected\r\nx-instance: {own}\r\ncontent-length: 0\r\n\r\n"
                )
            }
            Behaviour::Named(own) => match header(&request, "x-expect").as_deref() {
                Some(meant) if meant == own => complete_response(200, &id, "answer"),
                _ => format!(
                    "HTTP/1.1 421 Misdirected\r\nx-instance: {own}\r\ncontent-length: 0\r\n\r\n"
                ),
            },
            Behaviour::Cross => complete_response(200, "another", "another answer"),
            Behaviour::Truncate => complete_response(200, &id, "answer")
                .replace("content-length: 6", "content-length: 60"),
            Behaviour::BreakStream => event_stream(
                &id,
                &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"],
            ),
            Behaviour::SkipEvent => {
                event_stream(&id, &["id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n"]) + "0\r\n\r\n"
            }
            Behaviour::RepeatEvent => {
                let event = "id: 2\ndata: b\n\n";
                event_stream(&id, &["id: 1\ndata: a\n\n", event, event]) + "0\r\n\r\n"
            }
            Behaviour::Stream | Behaviour::Replay => {
                let last = header(&request, "last-event-id").and_then(|last| last.parse().ok());
                let last = last.filter(|_| behaviour == Behaviour::Stream);
                let all =
                    (last.unwrap_or(0) + 1..=4).map(|id: u32| format!("id: {id}\ndata: x\n\n"));
                let all: Vec<String> = all.collect();
                let all: Vec<&str> = all.iter().map(String::as_str).collect();
                event_stream(&id, &all) + "0\r\n\r\n"
            }
            Behaviour::Send(script) => script.encode(&id),
            Behaviour::Raw(text) => {
                let own = header(&request, "x-expect").unwrap_or_default();
                text.replace("{id}", &id).replace("{own}", &own)
            }
            Behaviour::Reset | Behaviour::Hang => String::new(),
        };
        if behaviour == Behaviour::Hang {
            let mut rest = [0; 16];
            let _ = stream.read(&mut rest).await;
            observed.lock().disconnects += 1;
            return;
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            observed.lock().disconnects += 1;
            return;
        }
        let ending = match behaviour {
            Behaviour::Send(script) => script.ending,
            Behaviour::Reset | Behaviour::Truncate | Behaviour::BreakStream => Ending::Reset,
            _ => continue,
        };
        if ending == Ending::CloseAtLimit {
            let limit_ms = header(&request, "x-deadline").unwrap().parse().unwrap();
            let limit = arrived_at + Duration::from_millis(limit_ms);
            time::sleep_until(limit - STOP_LEAD).await;
        }
        if ending == Ending::Hold {
            let mut rest = [0; 16];
            let _ = stream.read(&mut rest).await;
            observed.lock().disconnects += 1;
        }
        if ending == Ending::Reset {
            stream.flush().await.unwrap();
            time::sleep(Duration::from_millis(30)).await;
            stream.set_zero_linger().unwrap();
        }
        return;
    }
}

/// The beginning of a status request of a gateway, which is not observed as one of a caller.
const STATUS_REQUEST: &str = "GET /status ";

/// Answers a status request, if the behaviour lets anything be answered. Returns whether the connection goes on.
async fn answer_status(stream: &mut TcpStream, behaviour: Behaviour) -> bool {
    match behaviour {
        Behaviour::Hang => {
            let mut rest = [0; 16];
            let _ = stream.read(&mut rest).await;
            false
        }
        Behaviour::Reset => {
            stream.set_zero_linger().unwrap();
            false
        }
        _ => {
            let answer = "HTTP/1.1 421 Misdirected\r\nx-instance: t\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer.as_bytes()).await.is_ok()
        }
    }
}

/// Returns a signed response with a body.
fn complete_response(status: u16, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Status\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Returns the head of a signed, chunked stream of events, and the given events, without the end of the body.
fn event_stream(id: &str, events: &[&str]) -> String {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    head + &chunks(events)
}

/// Returns each event as a chunk.
fn chunks(events: &[&str]) -> String {
    let chunk = |event: &&str| format!("{:x}\r\n{event}\r\n", event.len());
    events.iter().map(chunk).collect()
}

/// Reads one request with its body. Returns `None` once the connection has ended.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length =
                header(&text, "content-length").map_or(0, |length| length.parse().unwrap());
            if text.len() >= end + 4 + length {
                return Some(text);
            }
        }
        let mut chunk = [0; 4_096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}
