//! The listener for callers.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::answer::{self, Body};
use crate::connections;
use crate::drain::Phase;
use crate::errors::ListenSnafu;
use crate::framing::{self, Inspector};
use crate::prelude::*;
use crate::request::{self, Rejection};

/// The smallest buffer that the HTTP library takes for a head, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8_192;

/// The pause after a connection could not be accepted, as descriptors run out.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers until the gateway closes its connections. A caller that came later might be cut off at the end of the
/// grace period; one that is not accepted has sent nothing and goes elsewhere.
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
            // The sender lives as long as the gateway.
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => return Ok(()),
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(gateway.clone(), stream));
            }
            Err(error) => {
                log::warn!(error:% = error; "a caller's connection was not accepted");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream) {
    if let Err(error) = connections::set_options(&stream) {
        log::debug!(error:% = error; "a caller left at once");
        return;
    }
    let limits = gateway.catalog().limits();
    let mut phases = gateway.drain.subscribe();
    let watch = Inspector::default();
    let stream = framing::Stream::new(stream, watch.clone());
    let service = service_fn(|request| handle_request(gateway.clone(), watch.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async move {
        // The sender lives as long as the gateway; an error would mean that nothing is left to wait for.
        drop(phases.wait_for(|phase| *phase == Phase::Closing).await);
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection ended early");
    }
}

async fn handle_request(
    gateway: Arc<Gateway>,
    watch: Inspector,
    request: Request<Incoming>,
) -> std::result::Result<Response<Body>, Infallible> {
    let running = gateway.drain.guard();
    let id = request.headers().get(&gateway.dialect.request_id).cloned();
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let read = match watch.is_ambiguous() {
        true => Err(Rejection::Malformed),
        false => request::read(&gateway, request).await,
    };
    watch.reset();
    let mut response = match read {
        Ok(job) => answer::serve(gateway.clone(), job).await,
        Err(rejection) => {
            log::info!(
                request_id:% = request::text(id.as_ref()), reason:% = rejection,
                version = gateway.catalog.read().version();
                "rejected"
            );
            answer::reject(rejection)
        }
    };
    // Only the first head of a read is looked at, so nothing may follow a chunked body on its connection.
    if is_chunked || gateway.drain.phase() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(|body| answer::counted(body, running)))
}
