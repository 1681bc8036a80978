//! The response to the caller: the answer of a target without what concerns the gateway only, or a failure with a status that
//! states whether the request may have run.

use hyper::header::{self, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use sardinemux_core::catalog::Kind;
use tokio::time::Instant;

use super::{Arrived, Failure, Selection, Serving};
use crate::prelude::*;
use crate::reply::{self, Body};
use crate::request::{self, Inbound};
use crate::whole::Whole;
use crate::{metrics, quarantine};

impl Serving {
    /// Records the outcome and returns the answer to the caller.
    pub(super) fn deliver(&self, response: Response<Whole>) -> Response<Body> {
        let (head, body) = response.into_parts();
        self.record_answer(head.status);
        let stated = head.headers.get(header::CONTENT_LENGTH).cloned();
        let length = HeaderValue::from(body.len());
        let mut response = Response::new(reply::full_body(body));
        self.copy_head(head, &mut response);
        // The answer to a HEAD request states the length of a body that is not sent.
        let length = match self.inbound.method == Method::HEAD {
            true => stated,
            false => Some(length),
        };
        if let Some(length) = length {
            response
                .headers_mut()
                .insert(header::CONTENT_LENGTH, length);
        }
        response
    }

    /// Copies the status and headers of a target's answer, except hop-by-hop headers, the length and the target's
    /// load, limit, brittleness and leaving.
    pub fn copy_head(&self, mut head: Parts, response: &mut Response<Body>) {
        let dialect = &self.gateway.dialect;
        request::strip_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        head.headers.remove(&dialect.load);
        head.headers.remove(&dialect.limit);
        head.headers.remove(&dialect.brittle);
        head.headers.remove(&dialect.leaving);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
    }

    /// Counts and logs the answer to the caller, and observes the time since the request was received.
    pub fn record_answer(&self, status: StatusCode) {
        let inbound = &self.inbound;
        let elapsed = inbound.received_at.elapsed();
        let late = Instant::now().saturating_duration_since(inbound.deadline);
        let class = class_label(inbound);
        let catalog = self.gateway.catalog();
        let organisation = inbound.organisation.as_deref();
        let organisation_label = metrics::organisation_label(&catalog, organisation);
        self.gateway
            .metrics
            .answers
            .with_label_values(&[class, organisation_label, status.as_str()])
            .inc();
        self.gateway
            .metrics
            .first_byte_s
            .with_label_values(&[class])
            .observe(elapsed.as_secs_f64());
        let level = match status.is_success() {
            true => log::Level::Info,
            false => log::Level::Warn,
        };
        let Selection {
            candidates,
            skipped,
            load,
        } = self.selection;
        log::log!(
            level,
            request_id:% = inbound.id_text(), route:% = inbound.route.name, organisation = organisation.unwrap_or("none"),
            pool:% = inbound.pool, target_id:% = self.last_target.id, build:% = self.last_target.build, through:% = self.last_target.gateway, resumes:% = request::header_text(inbound.resumes.as_ref()), status = status.as_u16(), tried = self.tried.len(), ran = self.attempts.possible_runs,
            rollout = self.rollout.name(), candidates = candidates, held_back = skipped, load = load,
            content:% = quarantine::Hex(inbound.content),
            elapsed_ms = elapsed.as_millis() as u64, left_ms = inbound.remaining().as_millis() as u64, late_ms = late.as_millis() as u64, version = catalog.version();
            "answered"
        );
    }

    /// Returns the answer to a request that failed: the kept server error of a target, otherwise a status that shows
    /// whether the request may have run.
    pub(super) fn fail(mut self, failure: Failure) -> Response<Body> {
        if let Some(fallback) = self.fallback.take() {
            return self.deliver(fallback);
        }
        let status = match failure.outcome {
            Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => reply::failure_status(failure.reason),
        };
        self.record_answer(status);
        let mut response = reply::text_response(status, failure.reason.name());
        if self.attempts.has_arrived() {
            response.extensions_mut().insert(Arrived);
        }
        if failure.outcome == Outcome::NotRun {
            match self.retry_after {
                Some(delay) => reply::state_retry_after(&mut response, delay),
                None if self.is_final => {}
                None => reply::set_retry_after(&mut response, self.inbound.remaining()),
            }
        }
        response
    }
}

/// Returns the value of the `class` label of the metrics.
fn class_label(inbound: &Inbound) -> &'static str {
    match inbound.route.kind {
        Kind::Safe => "safe",
        Kind::Unsafe => "unsafe",
        Kind::Stream { is_resumable: true } => "resumable",
        Kind::Stream { .. } => "stream",
    }
}
