//! Requests whose connection ends before their response has begun.

use smol_str::SmolStr;
use tokio::time::Instant;

/// Logs a request whose handling ends before its response has begun, as the connection ended.
#[derive(Debug)]
pub struct Unanswered {
    id: SmolStr,
    /// The gateway that has passed the request on, if it does not come from a caller.
    sender: Option<SmolStr>,
    received_at: Instant,
    is_settled: bool,
}

impl Unanswered {
    /// Notes that a request with this id has been received.
    pub fn new(id: SmolStr, sender: Option<SmolStr>) -> Self {
        Self {
            id,
            sender,
            received_at: Instant::now(),
            is_settled: false,
        }
    }

    /// Notes that the response has begun.
    pub fn settle(mut self) {
        self.is_settled = true;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        log::info!(
            request_id:% = self.id, sender:% = self.sender.as_deref().unwrap_or_default(),
            elapsed_ms = self.received_at.elapsed().as_millis() as u64;
            "connection ended before the answer"
        );
    }
}
