//! Service calls: `/services/<name>/<path>`, with idempotency keys for calls that must not run twice.

use std::time::Instant;

use rocket::http::Method;
use rocket::Request;
use sardinemux_core::class::Class;
use sardinemux_core::config::Organisation;
use sardinemux_core::hash;
use sardinemux_core::idempotency::Answer;
use sardinemux_core::target::Kind;
use sardinemux_host::body::Body;
use sardinemux_host::reply::Reply;
use sardinemux_wire::forward::Call;
use sardinemux_wire::header;
use sardinemux_wire::peer::ServiceAnswer;

use super::errors::Failure;
use super::forwarding::{Event, Forwarding, Job};
use super::ledger::{self, Acquisition, Conclusion};
use super::{concurrency, request};
use crate::prelude::*;

/// The maximum length of an idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 255;

/// The maximum size of an answer that is recorded in the ledger, in bytes.
const RECORD_BYTES_MAX: usize = 64 * 1024;

/// A service call as received from the caller.
struct Invocation {
    organisation: Organisation,
    class: Class,
    service: SmolStr,
    method: Method,
    path: String,
    content_type: SmolStr,
    key: Option<SmolStr>,
    body: Vec<u8>,
}

impl Invocation {
    /// Returns whether the call may be dispatched more than once. Only `GET` calls may, as they only read.
    fn is_repeatable(&self) -> bool {
        self.method == Method::Get
    }

    fn digest(&self) -> u64 {
        hash::digest(&[
            self.service.as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ])
    }

    fn to_job(&self) -> Job {
        Job {
            organisation: self.organisation.clone(),
            class: self.class,
            kind: Kind::Service,
            pool: self.service.clone(),
            chat: rand::random(),
            is_returning: false,
            hint: None,
            tokens: 0,
            repeatable: self.is_repeatable(),
            call: Call::Service {
                method: self.method.as_str().into(),
                path: self.path.clone(),
                content_type: self.content_type.clone(),
                idempotency_key: self.key.clone(),
                body: self.body.clone(),
            },
        }
    }
}

/// Serves one service call.
///
/// # Errors
///
/// A [`Failure`] for the caller if the call is rejected or cannot be completed.
pub async fn serve(
    router: &Arc<Router>,
    request: &Request<'_>,
    body: &mut Body<'_>,
) -> std::result::Result<Reply, Failure> {
    let organisation = request::authenticate(router, request)?;
    let guard = concurrency::admit_request(router, &organisation.name)?;
    let invocation = read_invocation(router, organisation, request, body).await?;
    let start = Instant::now();
    let class = invocation.class;
    let member = invocation.organisation.member.clone();
    // The server may drop this future when the caller disconnects. A spawned task still runs to its end, so that the
    // outcome of a claimed key is always recorded.
    let task_router = router.clone();
    let task = tokio::spawn(async move {
        let _guard = guard;
        invoke(&task_router, invocation).await
    });
    let result = task.await.unwrap_or(Err(Failure::NotCompleted {
        outcome: Outcome::Unknown,
        reason: Reason::Failed,
        retry_after_ms: 1_000,
    }));
    let outcome = match &result {
        Ok(_) => "completed",
        Err(failure) if failure.outcome() == Outcome::NotRun => "not_run",
        Err(_) => "unknown",
    };
    router.metrics.record_request(class, &member, outcome);
    let label = router.metrics.member_label(&member);
    router
        .metrics
        .first_token
        .with_label_values(&[class.name(), label.as_str()])
        .observe(start.elapsed().as_secs_f64());
    result
}

async fn read_invocation(
    router: &Arc<Router>,
    organisation: Organisation,
    request: &Request<'_>,
    body: &mut Body<'_>,
) -> std::result::Result<Invocation, Failure> {
    let uri = request.uri();
    let path = uri.path().as_str();
    let rest = path.strip_prefix("/services/").unwrap_or_default();
    let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let is_known = router
        .targets()
        .iter_pool(service)
        .any(|(_, target)| target.kind == Kind::Service);
    if !is_known {
        return Err(Failure::UnknownPool {
            kind: "service",
            name: service.into(),
        });
    }
    let path = match uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    let method = request.method();
    let default_class = match method {
        Method::Get => Class::Lookup,
        _ => Class::Transaction,
    };
    let headers = request.headers();
    let key = headers.get_one(header::IDEMPOTENCY_KEY);
    if let Some(key) = key.filter(|key| key.is_empty() || key.len() > KEY_BYTES_MAX) {
        return Err(Failure::InvalidHeader {
            name: header::IDEMPOTENCY_KEY,
            value: key.chars().take(KEY_BYTES_MAX).collect(),
            allowed: "it has 1 to 255 bytes",
        });
    }
    Ok(Invocation {
        class: request::parse_class(request)?.unwrap_or(default_class),
        service: service.into(),
        method,
        path,
        content_type: headers.get_one("Content-Type").unwrap_or("").into(),
        key: key.map(SmolStr::from),
        body: request::read_body(body).await?,
        organisation,
    })
}

async fn invoke(
    router: &Arc<Router>,
    invocation: Invocation,
) -> std::result::Result<Reply, Failure> {
    let key = invocation
        .key
        .clone()
        .filter(|_| !invocation.is_repeatable());
    let Some(key) = key.filter(|_| router.settings.is_enabled("ledger")) else {
        let answer = collect_answer(router, invocation.to_job()).await?;
        return Ok(to_reply(answer));
    };
    let organisation = &invocation.organisation.name;
    let acquisition = ledger::claim_key(router, organisation, &key, invocation.digest()).await?;
    let claim = match acquisition {
        Acquisition::Replay(answer) => return Ok(replay_answer(answer)),
        Acquisition::Claimed(claim) => claim,
    };
    let result = collect_answer(router, invocation.to_job()).await;
    let conclusion = match &result {
        Ok(answer) => to_recorded(answer).map_or(Conclusion::Unknown, Conclusion::Completed),
        Err(failure) if failure.outcome() == Outcome::NotRun => Conclusion::NotRun,
        Err(_) => Conclusion::Unknown,
    };
    ledger::record_conclusion(router, claim, conclusion).await;
    result.map(to_reply)
}

/// Returns an answer as the ledger records it; nothing if it is not UTF-8 text or too large for a row. Such an answer
/// cannot be replayed, so a repeated request is told that the outcome is unknown.
fn to_recorded(answer: &ServiceAnswer) -> Option<Answer> {
    let body = std::str::from_utf8(&answer.body).ok()?;
    (body.len() <= RECORD_BYTES_MAX).then(|| Answer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: body.to_owned(),
    })
}

fn to_reply(answer: ServiceAnswer) -> Reply {
    Reply::buffered(answer.status, &answer.content_type, answer.body)
}

fn replay_answer(answer: Answer) -> Reply {
    Reply::buffered(
        answer.status,
        &answer.content_type,
        answer.body.into_bytes(),
    )
    .with_header(header::REPLAYED, "true".to_owned())
}

/// Dispatches a request according to its plan and collects the whole answer.
async fn collect_answer(
    router: &Arc<Router>,
    job: Job,
) -> std::result::Result<ServiceAnswer, Failure> {
    let mut drive = Forwarding::new(router.clone(), job);
    let mut answer = ServiceAnswer {
        status: 0,
        content_type: SmolStr::default(),
        body: Vec::new(),
    };
    loop {
        match drive.next().await? {
            Event::Head(head) => {
                answer.status = head.status;
                answer.content_type = head.content_type;
            }
            Event::Part(part) => answer.body.extend_from_slice(&part.data),
            Event::End(_) => return Ok(answer),
        }
    }
}
