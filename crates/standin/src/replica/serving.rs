//! The connections of a replica, and its crashes.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time;

use super::cache::Cache;
use super::{unix_ms, Replica, Settings};
use crate::errors::{ListenSnafu, Result};

/// The time from the beginning of a fatal run to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(50);

/// The time from a crash until the replica is back, under another id.
const DOWN: Duration = Duration::from_secs(2);

impl Replica {
    /// Crashes the replica some time after a fatal run has begun. Never returns: the connection ends with the crash.
    pub(super) async fn crash(&self) -> Infallible {
        time::sleep(CRASH_DELAY).await;
        self.crashed.notify_one();
        std::future::pending().await
    }
}

/// Closes the connection before the answer is complete.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the replica closes the connection before the answer is complete"))]
pub struct Disconnect;

async fn serve_connection(replica: Arc<Replica>, stream: TcpStream) {
    let service = service_fn(|request| {
        let replica = replica.clone();
        async move { replica.answer_request(request).await }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error is expected here: faults and callers that leave end connections early.
    let _ = connection.await;
}

/// Serves the replica until the process ends. When it crashes, its listener and all connections are closed, and some time
/// later it is back under another id.
///
/// # Errors
///
/// `Error::Listen` if the port cannot be listened on.
pub async fn run(settings: Settings) -> Result<Infallible> {
    let address = settings.address;
    let replica = Arc::new(Replica {
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        faults: Mutex::default(),
        stats: Mutex::default(),
        cache: Mutex::new(Cache::new(settings.cache_tokens)),
        rejections_ms: Mutex::default(),
        stated_at: OnceLock::new(),
        crashed: Notify::new(),
        settings,
    });
    loop {
        let listener = TcpListener::bind(address).await.context(ListenSnafu {
            address: address.to_string(),
        })?;
        serve_until_crash(&replica, listener).await;
        time::sleep(DOWN).await;
    }
}

async fn serve_until_crash(replica: &Arc<Replica>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(serve_connection(replica.clone(), stream));
            },
            _ = connections.join_next(), if !connections.is_empty() => {}
            () = replica.crashed.notified() => break,
        }
    }
    replica.stats.lock().crashes_ms.push(unix_ms());
    drop(listener);
    connections.shutdown().await;
    // Another fatal run may have ended at the same moment.
    let _ = replica.crashed.notified().now_or_never();
}
