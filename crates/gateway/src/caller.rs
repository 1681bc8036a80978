//! The HTTP/1.1 server for callers: accepts connections and responds to requests.

mod idle;
pub mod presence;
mod traffic;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, Version};
use hyper_util::rt::TokioIo;
use sardinemux_core::intake::Port;
use sardinemux_core::memory::Class;
use sardinemux_host::body::DISCARDED_MAX_BYTES;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{self, Instant};

use self::presence::Watcher;
use self::traffic::Traffic;
use crate::answer;
use crate::connections;
use crate::drain::Phase;
use crate::errors::ListenSnafu;
use crate::framing::{self, Inspector, Unsent};
use crate::intake::{self, Connection, Entry, Idle};
use crate::prelude::*;
use crate::reply::{self, Body};
use crate::request::{self, Rejection};
use crate::unanswered::Unanswered;

/// The delay before the next attempt to accept a connection after one failed, as when no file descriptors are left.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a gateway that closes its connections accepts those that are waiting, which it may not have noticed yet.
const LAST_ACCEPT_DURATION: Duration = Duration::from_millis(25);

/// What a caller's connection without a request takes, in bytes: its tasks and its first buffers.
pub(crate) const CONNECTION_BYTES: usize = 32 << 10;

/// Accepts connections of callers until the gateway begins to close its connections. A request on a later connection
/// might be cut off at the end of the grace period; a caller whose connection is not accepted has sent nothing and can
/// connect to another gateway. Connections that have been waiting to be accepted by then are served, as they may hold requests.
///
/// # Errors
///
/// `Error::Listen` if the address cannot be bound.
pub async fn listen(gateway: Arc<Gateway>) -> Result<()> {
    let address = gateway.settings.caller_address;
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let mut phases = gateway.drain.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The sender exists as long as the gateway, so that this cannot fail.
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, client)) => accept(&gateway, stream, client).await,
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a caller's connection; retrying after a short delay");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    let until = Instant::now() + LAST_ACCEPT_DURATION;
    while let Ok(Ok((stream, client))) = time::timeout_at(until, listener.accept()).await {
        accept(&gateway, stream, client).await;
    }
    Ok(())
}

/// Serves a connection in a task of its own, if there is room for it.
async fn accept(gateway: &Arc<Gateway>, stream: TcpStream, client: SocketAddr) {
    if let Some(entry) = intake::admit(gateway, Port::Callers, client.ip()).await {
        tokio::spawn(serve_connection(gateway.clone(), stream, entry));
    }
}

/// Serves the requests on one connection, until either side closes it.
async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, entry: Entry) {
    if let Err(error) = connections::set_options(&stream) {
        log::debug!(error:% = error; "cannot set the socket options of a caller's connection; closing it");
        return;
    }
    let share = intake::try_take(&gateway, Class::Connection, CONNECTION_BYTES).await;
    if share.is_none() {
        gateway.metrics.count_memory_refusal("connection");
        log::warn!("no memory is left for a caller's connection; closing it");
        return;
    }
    let limits = gateway.catalog().limits();
    let idle_limit = Duration::from_millis(limits.idle_ms);
    let mut phases = gateway.drain.subscribe();
    let inspector = Inspector::new(gateway.memory.clone());
    let unsent = Unsent::default();
    let traffic = Traffic::new();
    let (stream, watcher) = presence::watch(
        stream,
        gateway.read_ahead.clone(),
        gateway.memory.clone(),
        limits.head_bytes.saturating_add(limits.body_bytes),
    );
    let stream = framing::Stream::new(stream, inspector.clone(), unsent.clone());
    let stream = traffic::Stream::new(
        stream,
        traffic.clone(),
        gateway.clone(),
        entry.connection.clone(),
    );
    let service = service_fn(|request| {
        let exchange = Exchange {
            gateway: gateway.clone(),
            inspector: inspector.clone(),
            unsent: unsent.clone(),
            watcher: watcher.clone(),
            connection: entry.connection.clone(),
            idle_limit,
        };
        handle_request(exchange, request)
    });
    let connection = http1::Builder::new()
        .timer(idle::Timer::new(gateway.clone(), idle_limit))
        .header_read_timeout(idle_limit)
        // The limit in force is checked for each request, as it may rise while the connection is open.
        .max_buf_size(limits.head_bytes.max(framing::HEAD_MAX_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async move {
        // The sender exists as long as the gateway; an error would mean that the gateway is gone.
        drop(phases.wait_for(|phase| *phase == Phase::Closing).await);
    };
    tokio::pin!(closing);
    let mut is_closing = false;
    // The library reads first, so that the watcher gets only what the library leaves unread.
    let ended = loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => break ended,
            () = watcher.wait_for_end() => {
                traffic.record_departure();
                return;
            }
            is_at_once = entry.connection.wait_for_closing() => {
                if is_at_once {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if inspector.is_refused() {
        gateway.metrics.count_memory_refusal("head");
        log::warn!("no memory is left for the head of a request; its connection is closed");
    }
    traffic.record_end(&ended);
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection ended with an error");
    }
}

/// What the handler of a request shares with the connection that the request came over.
struct Exchange {
    gateway: Arc<Gateway>,
    inspector: Inspector,
    unsent: Unsent,
    watcher: Watcher,
    connection: Arc<Connection>,
    /// The idle limit at the begin of the connection.
    idle_limit: Duration,
}

/// Responds to one request, and counts it as running until its response has been sent.
async fn handle_request(
    exchange: Exchange,
    request: Request<Incoming>,
) -> std::result::Result<Response<Body>, Infallible> {
    let Exchange {
        gateway,
        inspector,
        unsent,
        watcher,
        connection,
        idle_limit,
    } = exchange;
    let idle = Idle::after_request(gateway.clone(), connection.clone());
    let running = gateway.drain.guard();
    let id = request.headers().get(&gateway.dialect.request_id).cloned();
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let wants_close = wants_close(request.headers());
    let accepts_chunks = request.version() > Version::HTTP_10;
    let (mut parts, mut body) = request.into_parts();
    parts.extensions.insert(connection);
    let has_body = !body.is_end_stream();
    let awaits_continue = parts.headers.contains_key(header::EXPECT);
    let unanswered = Unanswered::new(request::header_text(id.as_ref()).into(), None);
    let head_limit = gateway.catalog().limits().head_bytes;
    let read = if inspector.length() > head_limit {
        Err(Rejection::HeadTooLarge)
    } else if inspector.is_ambiguous() {
        Err(Rejection::Malformed)
    } else {
        request::read(&gateway, parts, &mut body).await
    };
    let mut response = match read {
        Ok(mut inbound) => {
            // A body that still arrives is read by the library alone: read ahead, it would be held twice.
            let served = watcher.begin();
            // After a rejection the connection is closed, and the rest of the body is no head.
            inspector.reset();
            inbound.presence = watcher.presence();
            let response = answer::serve(gateway.clone(), inbound).await;
            response.map(|body| reply::keep_until_sent(body, served))
        }
        Err(rejection) => {
            log::info!(
                request_id:% = request::header_text(id.as_ref()), reason:% = rejection, has_body = has_body,
                version = gateway.catalog.read().version();
                "rejected"
            );
            let (response, sent) = reply::notify_sent(reply::reject(rejection));
            // Reading the body tells a caller that waits for it to send it, unless the response has been sent.
            let is_unread = !matches!(rejection, Rejection::TooLarge | Rejection::BodyTimeout);
            let begin = (awaits_continue && is_unread).then_some(sent);
            tokio::spawn(discard(gateway.clone(), body, begin));
            response
        }
    };
    if !accepts_chunks {
        response = reply::buffer(&gateway, response).await;
    }
    unanswered.settle();
    // Only the first head in the bytes of one read is inspected, so that a pipelined request may escape the inspection.
    // Closing the connection after a chunked body keeps any request from following one with ambiguous framing.
    if is_chunked || gateway.drain.phase() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    } else if accepts_chunks && !wants_close {
        state_idle_limit(&gateway, idle_limit, &mut response);
    }
    let running = unsent.keep(running);
    Ok(response.map(|body| reply::keep_until_sent(body, (running, idle))))
}

/// Returns whether the caller closes its connection after this request.
fn wants_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// States how long the connection may be idle, so that no request crosses its close. `idle_limit` is the limit at its
/// begin, before which it is not closed even if the limit becomes shorter.
fn state_idle_limit(gateway: &Gateway, idle_limit: Duration, response: &mut Response<Body>) {
    if response.headers().contains_key(header::CONNECTION) {
        return;
    }
    let in_force = Duration::from_millis(gateway.catalog().limits().idle_ms);
    if let Some(value) = idle::state_limit(idle_limit.min(in_force)) {
        let name = HeaderName::from_static("keep-alive");
        response.headers_mut().insert(name, value);
    }
}

/// Reads and discards the rest of a rejected request's body, from the end of `begin` on. A connection that is closed with
/// unread bytes is reset, so that the caller may lose the rejection. Source: RFC 9112, section 9.6.
async fn discard(gateway: Arc<Gateway>, body: Incoming, begin: Option<oneshot::Receiver<()>>) {
    let _running = gateway.drain.guard();
    let timeout = Duration::from_millis(gateway.catalog().limits().read_ms);
    let mut rest = Limited::new(body, DISCARDED_MAX_BYTES as usize);
    let discarding = async {
        if let Some(begin) = begin {
            // The sender is dropped with the response's body.
            let _ = begin.await;
        }
        while let Some(Ok(_)) = rest.frame().await {}
    };
    if time::timeout(timeout, discarding).await.is_err() {
        log::debug!("the body of a rejected request did not arrive; its connection is reset");
    }
}
