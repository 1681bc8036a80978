//! `/services/<name>/<path>`: calls of plain services.

use std::time::Instant;

use rocket::http::Method;
use rocket::{Data, Request};
use sardinemux_core::class::Class;
use sardinemux_core::config::Organisation;
use sardinemux_core::hash;
use sardinemux_core::idempotency::Answer;
use sardinemux_core::target::Kind;
use sardinemux_host::reply::Reply;
use sardinemux_wire::forward::Call;
use sardinemux_wire::header;
use sardinemux_wire::peer::ServiceAnswer;

use super::drive::{Drive, Event, Job};
use super::errors::Failure;
use super::ledger::{self, Claim, Ended};
use super::{bound, identity};
use crate::prelude::*;

/// The longest idempotency key, in bytes.
const KEY_MAX: usize = 255;

/// The largest answer that is recorded in the ledger, in bytes.
const RECORD_MAX: usize = 64 * 1024;

/// A call as the caller made it.
struct Made {
    organisation: Organisation,
    class: Class,
    service: SmolStr,
    method: Method,
    path: String,
    content_type: SmolStr,
    key: Option<SmolStr>,
    body: Vec<u8>,
}

impl Made {
    /// A call that only reads may be repeated; any other may not.
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

    fn job(&self) -> Job {
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

/// Serves one call.
///
/// # Errors
///
/// What the caller is told instead of an answer.
pub async fn serve(
    router: &Arc<Router>,
    request: &Request<'_>,
    data: Data<'_>,
) -> std::result::Result<Reply, Failure> {
    let organisation = identity::organisation(router, request)?;
    let guard = bound::enter(router, &organisation.name)?;
    let made = read(router, organisation, request, data).await?;
    let begin = Instant::now();
    let class = made.class;
    let member = made.organisation.member.clone();
    // A task of its own runs to its end also if the server drops this future, as a claim must be closed.
    let task_router = router.clone();
    let task = tokio::spawn(async move {
        let _guard = guard;
        call(&task_router, made).await
    });
    let result = task.await.unwrap_or(Err(Failure::GivenUp {
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
        .observe(begin.elapsed().as_secs_f64());
    result
}

async fn read(
    router: &Arc<Router>,
    organisation: Organisation,
    request: &Request<'_>,
    data: Data<'_>,
) -> std::result::Result<Made, Failure> {
    let uri = request.uri();
    let path = uri.path().as_str();
    let below = path.strip_prefix("/services/").unwrap_or_default();
    let (service, below) = below.split_once('/').unwrap_or((below, ""));
    let is_known = router
        .targets()
        .iter_pool(service)
        .any(|(_, target)| target.kind == Kind::Service);
    if !is_known {
        return Err(Failure::NoPool {
            kind: "service",
            name: service.into(),
        });
    }
    let path = match uri.query() {
        Some(query) => format!("{below}?{query}"),
        None => below.to_owned(),
    };
    let method = request.method();
    let default_class = match method {
        Method::Get => Class::Lookup,
        _ => Class::Transaction,
    };
    let headers = request.headers();
    let key = headers.get_one(header::IDEMPOTENCY_KEY);
    if let Some(key) = key.filter(|key| key.is_empty() || key.len() > KEY_MAX) {
        return Err(Failure::Header {
            name: header::IDEMPOTENCY_KEY,
            value: key.chars().take(KEY_MAX).collect(),
            allowed: "it has 1 to 255 bytes",
        });
    }
    Ok(Made {
        class: identity::class(request)?.unwrap_or(default_class),
        service: service.into(),
        method,
        path,
        content_type: headers.get_one("Content-Type").unwrap_or("").into(),
        key: key.map(SmolStr::from),
        body: identity::body(router, data).await?,
        organisation,
    })
}

async fn call(router: &Arc<Router>, made: Made) -> std::result::Result<Reply, Failure> {
    let key = made.key.clone().filter(|_| !made.is_repeatable());
    let Some(key) = key.filter(|_| router.settings.is_enabled("ledger")) else {
        let answer = dispatch(router, made.job()).await?;
        return Ok(whole(answer));
    };
    let organisation = &made.organisation.name;
    let claim = ledger::claim(router, organisation, &key, made.digest()).await?;
    let held = match claim {
        Claim::Replay(answer) => return Ok(replay(answer)),
        Claim::Held(held) => held,
    };
    let result = dispatch(router, made.job()).await;
    let ended = match &result {
        Ok(answer) => recordable(answer).map_or(Ended::Unknown, Ended::Completed),
        Err(failure) if failure.outcome() == Outcome::NotRun => Ended::NotRun,
        Err(_) => Ended::Unknown,
    };
    ledger::record(router, held, ended).await;
    result.map(whole)
}

/// Returns an answer as it is recorded; one that is not text, or too large for a row, cannot be
/// replayed, and a repeat is told that the outcome is not known.
fn recordable(answer: &ServiceAnswer) -> Option<Answer> {
    let body = std::str::from_utf8(&answer.body).ok()?;
    (body.len() <= RECORD_MAX).then(|| Answer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: body.to_owned(),
    })
}

fn whole(answer: ServiceAnswer) -> Reply {
    Reply::whole(answer.status, &answer.content_type, answer.body)
}

fn replay(answer: Answer) -> Reply {
    Reply::whole(
        answer.status,
        &answer.content_type,
        answer.body.into_bytes(),
    )
    .with(header::REPLAYED, "true".to_owned())
}

/// Takes the call through its plan and collects the whole answer.
async fn dispatch(router: &Arc<Router>, job: Job) -> std::result::Result<ServiceAnswer, Failure> {
    let mut drive = Drive::new(router.clone(), job);
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
