//! Small servers beside the callers': readiness, metrics, and questions of other gateways.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::{Encoder, TextEncoder};
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::caller::ACCEPT_RETRY_DELAY;
use crate::errors::ListenSnafu;
use crate::prelude::*;

/// How long a connection may stay without a request; the balancer asks once a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves requests at an address for ever.
///
/// # Errors
///
/// `Error::Listen` if the address cannot be bound.
pub async fn listen<F, R>(gateway: Arc<Gateway>, address: SocketAddr, answer: F) -> Result<()>
where
    F: Fn(Arc<Gateway>, Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = std::result::Result<Response<Full<Bytes>>, Infallible>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(address:% = address, error:% = error; "a connection was not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(gateway.clone(), request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a connection ended early");
            }
        });
    }
}

/// Tells the balancer whether to send callers here.
///
/// # Errors
///
/// Never.
pub async fn serve_readiness(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let is_known = request.uri().path() == gateway.dialect.ready_path;
    Ok(empty_response(match (is_known, gateway.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    }))
}

/// Shows the metrics.
///
/// # Errors
///
/// Never.
pub async fn serve_metrics(
    gateway: Arc<Gateway>,
    _request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let dropped = sardinemux_host::logs::dropped();
    gateway.metrics.dropped_log_lines.set(dropped as i64);
    let mut bytes = Vec::new();
    let families = gateway.metrics.registry.gather();
    if let Err(error) = TextEncoder::new().encode(&families, &mut bytes) {
        log::error!(error:% = error; "the metrics cannot be shown");
        return Ok(empty_response(StatusCode::INTERNAL_SERVER_ERROR));
    }
    Ok(Response::new(Full::from(bytes)))
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
