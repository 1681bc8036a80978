//! A caller that checks its whole answer. It keeps its connection until the other end closes it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sardinemux_standin::replica::{answer, header, unix_ms};
use tokio::net::TcpStream;
use tokio::time;

use super::operator::HOST;

/// How long a caller waits for an answer, in milliseconds.
pub const DEADLINE_MS: u64 = 4_000;

/// How long it waits for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// How long it waits beyond its deadline before it counts an answer as missing.
const MARGIN: Duration = Duration::from_secs(2);

/// Numbers the requests of one process.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// What may be repeated of a request, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Read,
    /// May run at most once.
    Write,
    /// A stream that runs at most once.
    StreamOnce,
    /// A stream that another replica may continue.
    StreamAgain,
}

/// All kinds.
pub const KINDS: [Kind; 4] = [Kind::Read, Kind::Write, Kind::StreamOnce, Kind::StreamAgain];

impl Kind {
    /// Returns the name of its route.
    pub fn route(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::StreamOnce => "stream-once",
            Self::StreamAgain => "stream-again",
        }
    }

    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Read | Self::StreamAgain)
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamAgain)
    }
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// No connection was made; nothing was sent.
    Unreached,
    /// A whole answer, as the replica gave it.
    Whole,
    /// A failure, with its status.
    Failed {
        /// The status.
        status: u16,
    },
    /// The connection ended before the answer did, after this many whole events of a stream.
    Cut {
        /// The events that the caller has, those of an earlier request included.
        events: u64,
        /// The index of the build that wrote them; 0 if there are none.
        build: usize,
    },
    /// Nothing came in time.
    Silence,
    /// A success that is not the whole answer to this request, though it looks complete or carries other bytes.
    Wrong,
}

/// A stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The id of the request that brought the first event.
    pub id: String,
    /// The number of events that the caller has.
    pub events: u64,
    /// The index of the build that wrote them.
    pub build: usize,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The gateway's index.
    pub gateway: usize,
    /// When it was sent, in Unix milliseconds.
    pub sent_ms: u64,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
    /// What the caller was told.
    pub told: Told,
    /// The id of the replica that answered, from its stamp; empty if there was no answer of one.
    pub replica: String,
    /// Whether the caller took up a stream.
    pub is_resumption: bool,
}

/// A caller of one gateway.
#[derive(Debug)]
pub struct Caller {
    gateway: usize,
    address: SocketAddr,
    key: String,
    events: u64,
    builds: Vec<String>,
    body: &'static str,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    /// Creates a caller; nothing is sent yet. Streams have this many events.
    pub fn new(gateway: usize, address: SocketAddr, key: &str, events: u64) -> Self {
        Self {
            gateway,
            address,
            key: key.to_owned(),
            events,
            builds: vec!["v1".to_owned()],
            body: "body",
            sender: None,
        }
    }

    /// Returns the caller with another body for its requests.
    pub fn with_body(self, body: &'static str) -> Self {
        Self { body, ..self }
    }

    /// Returns the caller of a fleet whose replicas have these builds.
    pub fn with_builds(self, builds: Vec<String>) -> Self {
        Self { builds, ..self }
    }

    /// Takes up a stream that broke off, and checks that the rest of the answer fits the events that came before.
    pub async fn take_up(&mut self, broken: &Broken, subject: u64) -> Outcome {
        self.send(Kind::StreamAgain, subject, Some(broken)).await
    }

    /// Sends a request whose prompt shares a part named after `subject`, and checks the answer.
    pub async fn call(&mut self, kind: Kind, subject: u64) -> Outcome {
        self.send(kind, subject, None).await
    }

    async fn send(&mut self, kind: Kind, subject: u64, broken: Option<&Broken>) -> Outcome {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let sent_ms = unix_ms();
        let limit = Duration::from_millis(DEADLINE_MS) + MARGIN;
        let mut replica = String::new();
        let exchange = self.exchange(kind, subject, &id, broken, &mut replica);
        let told = time::timeout(limit, exchange).await;
        let told = told.unwrap_or(Told::Silence);
        if told != Told::Whole && !matches!(told, Told::Failed { .. }) {
            self.sender = None;
        }
        Outcome {
            id,
            kind,
            gateway: self.gateway,
            sent_ms,
            took_ms: unix_ms().saturating_sub(sent_ms),
            told,
            replica,
            is_resumption: broken.is_some(),
        }
    }

    async fn connect(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        let is_open = match &mut self.sender {
            Some(sender) => sender.ready().await.is_ok(),
            None => false,
        };
        if !is_open {
            let stream = time::timeout(CONNECT, TcpStream::connect(self.address)).await;
            let stream = stream.ok()?.ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            self.sender = Some(sender);
        }
        self.sender.as_mut()
    }

    fn request(
        &self,
        kind: Kind,
        subject: u64,
        id: &str,
        broken: Option<&Broken>,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::post(format!("/{}/", kind.route()))
            .header("host", HOST)
            .header("api-key", &self.key)
            .header(header::REQUEST_ID, id)
            .header(header::DEADLINE_MS, DEADLINE_MS);
        if let Some(broken) = broken {
            request = request
                .header(header::LAST_EVENT_ID, broken.events)
                .header(header::RESUMES, &broken.id);
        }
        let request = match kind.is_stream() {
            true => request.header(header::PROMPT_PREFIX, format!("s{subject}:400,{id}:50")),
            false => request,
        };
        request.body(Full::from(self.body)).ok()
    }

    async fn exchange(
        &mut self,
        kind: Kind,
        subject: u64,
        id: &str,
        broken: Option<&Broken>,
        replica: &mut String,
    ) -> Told {
        let Some(request) = self.request(kind, subject, id, broken) else {
            return Told::Unreached;
        };
        let Some(sender) = self.connect().await else {
            return Told::Unreached;
        };
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                return match error.take_message() {
                    Some(_) => Told::Unreached,
                    None => cut(broken),
                }
            }
        };
        if let Some(stamp) = response.headers().get(header::RESPONSE_STAMP) {
            *replica = String::from_utf8_lossy(stamp.as_bytes()).into_owned();
        }
        let expected = match kind.is_stream() {
            true => self.expected_streams(broken),
            false => vec![Expected {
                text: answer::text(id),
                build: 0,
            }],
        };
        judge(response, &expected, id, broken).await
    }

    /// Returns the streams that fit the events that the caller has: that of each build, if it has none.
    fn expected_streams(&self, broken: Option<&Broken>) -> Vec<Expected> {
        let first = broken.map_or(0, |broken| broken.events) + 1;
        let builds = self.builds.iter().enumerate();
        let fitting = builds.filter(|(build, _)| broken.is_none_or(|it| it.build == *build));
        let expected = fitting.map(|(build, name)| Expected {
            text: (first..=self.events)
                .map(|number| answer::event(number, name))
                .collect(),
            build,
        });
        expected.collect()
    }
}

/// An answer that a replica may give.
struct Expected {
    text: String,
    /// The index of the build of that replica.
    build: usize,
}

/// Returns what a caller was told whose answer ended before its first event.
fn cut(broken: Option<&Broken>) -> Told {
    Told::Cut {
        events: broken.map_or(0, |broken| broken.events),
        build: broken.map_or(0, |broken| broken.build),
    }
}

/// Returns how many bytes a text and the received bytes begin with in common.
fn common_len(text: &str, bytes: &[u8]) -> usize {
    let pairs = text.bytes().zip(bytes);
    pairs.take_while(|(left, right)| left == *right).count()
}

async fn judge(
    response: Response<Incoming>,
    expected: &[Expected],
    id: &str,
    broken: Option<&Broken>,
) -> Told {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let is_clean = loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let status = head.status.as_u16();
    if !head.status.is_success() {
        return Told::Failed { status };
    }
    let echoed = head.headers.get(header::REQUEST_ID);
    let is_own = echoed.is_some_and(|echoed| echoed == id)
        && head.headers.contains_key(header::RESPONSE_STAMP);
    // A stream that breaks off may have come to line ends without an event, which the replica sent itself.
    let fits = |expected: &&Expected| {
        let rest = &bytes[common_len(&expected.text, &bytes)..];
        rest.is_empty() || !is_clean && rest.iter().all(|byte| *byte == b'\n')
    };
    let Some(fitting) = expected.iter().find(fits).filter(|_| is_own) else {
        return Told::Wrong;
    };
    bytes.truncate(common_len(&fitting.text, &bytes));
    let events = bytes.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
    match is_clean {
        false if events == 0 => cut(broken),
        false => Told::Cut {
            events: broken.map_or(0, |broken| broken.events) + events,
            build: fitting.build,
        },
        true if bytes.len() == fitting.text.len() => Told::Whole,
        true => Told::Wrong,
    }
}
