//! HTTP replies for failures.

use sardinemux_core::outcome::Outcome;
use sardinemux_host::reply::Reply;
use sardinemux_wire::header;

use super::errors::Failure;

/// Creates the error reply for a failure, with the outcome header and, if the failure has a retry delay, `Retry-After`.
pub fn from_failure(failure: &Failure) -> Reply {
    let outcome = match failure.outcome() {
        Outcome::NotRun => "not_run",
        _ => "unknown",
    };
    let reply = Reply::json(failure.status(), &failure.body())
        .with_header(header::OUTCOME, outcome.to_owned());
    let Some(retry_after_ms) = failure.retry_after_ms() else {
        return reply;
    };
    // The header takes whole seconds (RFC 9110, section 10.2.3).
    let seconds = retry_after_ms.div_ceil(1_000).max(1);
    reply.with_header("Retry-After", seconds.to_string())
}
