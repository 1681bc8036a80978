//! HTTP/1.1 servers for clients other than callers: the readiness checks of the load balancer, the collection of
//! metrics, and requests of other gateways.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus::{Encoder, TextEncoder};
use sardinemux_core::intake::Port;
use sardinemux_core::memory::Class;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::caller::{ACCEPT_RETRY_DELAY, CONNECTION_BYTES};
use crate::errors::ListenSnafu;
use crate::framing::HEAD_MAX_BYTES;
use crate::intake::{self, Idle, Kept};
use crate::prelude::*;

/// What another gateway adds to the head of a request that it passes on, in bytes.
const HOP_HEAD_BYTES: usize = 4 << 10;

/// How long a connection may stay without a request. The load balancer checks readiness once a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves requests at an address with `handler`. Returns only if the address cannot be bound.
///
/// # Errors
///
/// `Error::Listen` if the address cannot be bound.
pub async fn listen<F, R, B>(
    gateway: Arc<Gateway>,
    port: Port,
    address: SocketAddr,
    handler: F,
) -> Result<()>
where
    F: Fn(Arc<Gateway>, Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = std::result::Result<Response<B>, Infallible>> + Send + 'static,
    B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    loop {
        let (stream, client) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(
                    address:% = address, error:% = error;
                    "cannot accept a connection to an internal server; retrying after a short delay"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(entry) = intake::admit(&gateway, port, client.ip()).await else {
            continue;
        };
        let gateway = gateway.clone();
        let handler = handler.clone();
        let head_max = gateway.catalog().limits().head_bytes + HOP_HEAD_BYTES;
        tokio::spawn(async move {
            let share = intake::try_take(&gateway, Class::Connection, CONNECTION_BYTES).await;
            if share.is_none() {
                gateway.metrics.count_memory_refusal("connection");
                log::warn!(port:? = port; "no memory is left for a connection to an internal server; closing it");
                return;
            }
            let connected = entry.connection.clone();
            let service = service_fn(move |mut request: Request<Incoming>| {
                request.extensions_mut().insert(connected.clone());
                let idle = Idle::after_request(gateway.clone(), connected.clone());
                let answer = handler(gateway.clone(), request);
                async move { Ok::<_, Infallible>(answer.await?.map(|body| Kept::new(body, idle))) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(head_max.max(HEAD_MAX_BYTES))
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                is_at_once = entry.connection.wait_for_closing() => {
                    if is_at_once {
                        return;
                    }
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!(error:% = error; "a connection to an internal server ended with an error");
            }
        });
    }
}

/// Responds to a readiness check of the load balancer: 200 if callers can be served, 503 if not, and 404 for any other
/// path.
///
/// # Errors
///
/// Never.
pub async fn serve_readiness(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let is_ready_path = request.uri().path() == gateway.dialect.ready_path;
    Ok(empty_response(match (is_ready_path, gateway.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    }))
}

/// Responds with the metrics in the text format of Prometheus.
///
/// # Errors
///
/// Never.
pub async fn serve_metrics(
    gateway: Arc<Gateway>,
    _request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let dropped = sardinemux_host::logs::dropped_lines();
    gateway.metrics.dropped_log_lines.set(dropped as i64);
    let ahead = gateway.read_ahead.used();
    gateway.metrics.read_ahead_bytes.set(ahead as i64);
    let meter = *gateway.busy.lock();
    let metrics = &gateway.metrics;
    metrics.longest_busy_s.set(meter.longest().as_secs_f64());
    metrics.longest_delay_s.set(meter.latest().as_secs_f64());
    gateway.metrics.held_bytes.set(gateway.memory.used() as i64);
    for (port, label) in [
        (Port::Callers, "callers"),
        (Port::Peers, "peers"),
        (Port::Ready, "ready"),
        (Port::Metrics, "metrics"),
    ] {
        let open = gateway.intake.open(port) as i64;
        let gauge = gateway.metrics.connections.with_label_values(&[label]);
        gauge.set(open);
    }
    let mut bytes = Vec::new();
    let families = gateway.metrics.registry.gather();
    if let Err(error) = TextEncoder::new().encode(&families, &mut bytes) {
        log::error!(error:% = error; "cannot encode the metrics; responding with status 500");
        return Ok(empty_response(StatusCode::INTERNAL_SERVER_ERROR));
    }
    Ok(Response::new(Full::from(bytes)))
}

/// Returns a response without a body.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
