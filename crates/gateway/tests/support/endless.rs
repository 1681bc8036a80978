//! A mock target that answers with bytes without end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::harness::header;

/// What the target sends: a beginning, in which `{id}` stands for the request's id, and then the same piece until the
/// connection is closed.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    pub begin: &'static str,
    pub piece: &'static str,
}

/// A target that answers each request with a [`Script`].
pub struct EndlessTarget {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The bytes that the gateway accepted of the answer that it accepted most of.
    pub most_accepted: Arc<AtomicUsize>,
    closed: watch::Receiver<usize>,
}

impl EndlessTarget {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let most_accepted = Arc::new(AtomicUsize::new(0));
        let (closes, closed) = watch::channel(0);
        let (counter, closes) = (most_accepted.clone(), Arc::new(closes));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counter, closes) = (counter.clone(), closes.clone());
                tokio::spawn(async move {
                    let accepted = serve(stream, script).await;
                    counter.fetch_max(accepted, Ordering::SeqCst);
                    closes.send_modify(|closed| *closed += 1);
                });
            }
        });
        Self {
            address,
            most_accepted,
            closed,
        }
    }

    /// Waits until the gateway has closed a connection.
    pub async fn wait_until_closed(&mut self) {
        self.closed.wait_for(|closed| *closed > 0).await.unwrap();
    }
}

/// Answers one request, and returns the number of bytes that were accepted.
async fn serve(mut stream: TcpStream, script: Script) -> usize {
    let mut request = String::new();
    while !request.contains("\r\n\r\n") {
        let mut chunk = [0; 4_096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return 0,
            Ok(count) => request.push_str(&String::from_utf8_lossy(&chunk[..count])),
        }
    }
    let id = header(&request, "x-id").unwrap_or_default();
    let begin = script.begin.replace("{id}", &id);
    if stream.write_all(begin.as_bytes()).await.is_err() {
        return 0;
    }
    let pieces = script.piece.repeat(1 + 16_384 / script.piece.len());
    let mut accepted = begin.len();
    while stream.write_all(pieces.as_bytes()).await.is_ok() {
        accepted += pieces.len();
        tokio::task::yield_now().await;
    }
    accepted
}
