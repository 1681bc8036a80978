//! The HTTP routes of the administration API.

use std::sync::Arc;

use rocket::data::ToByteUnit;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::{catch, catchers, get, post, routes, Catcher, Data, Request, Route};
use sardinemux_core::config::{query, ChangeId, Operator, Organisation, State, Version};
use sardinemux_host::reply::Reply;
use sardinemux_wire::admin::{Difference, Rollout, Submission, Verdict};
use serde::Serialize;
use smol_str::SmolStr;
use snafu::{ensure, OptionExt, ResultExt};

use crate::errors::{BodySnafu, Error, Result, TokenSnafu, UnreadSnafu};
use crate::fleet::{self, Fleet};
use crate::log::Log;
use crate::{openapi, settings::Settings};

/// The largest body, in bytes.
const BODY_MAX: u64 = 8 * 1024 * 1024;

/// The most entries of the history in one answer.
const HISTORY_MAX: usize = 1_000;

/// The name of the consortium's first operator.
const FIRST_OPERATOR: &str = "first";

/// What the routes share.
pub struct Admin {
    /// The settings.
    pub settings: Settings,
    /// The log of changes.
    pub log: Log,
    /// The routers.
    pub fleet: Fleet,
}

type Shared = rocket::State<Arc<Admin>>;

/// Returns the routes; the server must manage an `Arc<Admin>`.
pub fn routes() -> Vec<Route> {
    routes![
        submit,
        resolve,
        defaults,
        exceptions,
        stops,
        duties,
        organisations,
        operators,
        history,
        diff,
        force,
        load,
        description
    ]
}

/// Returns the catchers.
pub fn catch_all() -> Vec<Catcher> {
    catchers![not_found]
}

#[catch(default)]
fn not_found(_status: Status, request: &Request<'_>) -> Reply {
    let path = request.uri().path().to_string();
    Error::Path { path }.reply()
}

/// The token that came with a request.
struct Token(SmolStr);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Token {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let value = request.headers().get_one("Authorization");
        let token = value.and_then(|value| value.strip_prefix("Bearer "));
        Outcome::Success(Self(token.unwrap_or_default().into()))
    }
}

/// Returns the operator whose token it is.
fn identify(admin: &Admin, state: &State, token: &Token) -> Result<Operator> {
    if token.0 == admin.settings.first_token {
        return Ok(Operator {
            name: FIRST_OPERATOR.into(),
            member: None,
            token_digest: SmolStr::default(),
        });
    }
    let operator = query::operator_by_token(state, &token.0);
    operator.cloned().context(TokenSnafu)
}

fn answer<T: Serialize>(result: Result<T>) -> Reply {
    match result {
        Ok(value) => Reply::json(200, &value),
        Err(error) => error.reply(),
    }
}

/// Reads the newest state for an operator.
async fn state(admin: &Admin, token: &Token) -> Result<State> {
    let state = admin.log.read().await?;
    identify(admin, &state, token)?;
    Ok(state)
}

async fn read(data: Data<'_>) -> Result<Submission> {
    let limit = BODY_MAX;
    let body = data.open(limit.bytes()).into_bytes().await;
    let body = body.ok().context(UnreadSnafu { limit })?;
    ensure!(body.is_complete(), UnreadSnafu { limit });
    serde_json::from_slice(&body).context(BodySnafu)
}

async fn accept(admin: &Arc<Admin>, token: &Token, data: Data<'_>) -> Result<Verdict> {
    let submission = read(data).await?;
    let state = admin.log.read().await?;
    let operator = identify(admin, &state, token)?;
    let verdict = admin.log.submit(&operator, submission).await?;
    if let Verdict::Accepted { entry } = &verdict {
        log::info!(author:% = entry.author, version = entry.version; "change accepted");
        let admin = admin.clone();
        let entry = entry.clone();
        // The caller need not wait: the entry is durable, and routers also read the log.
        tokio::spawn(async move {
            if let Ok(routers) = fleet::routers(admin.log.platform()).await {
                admin.fleet.push(&routers, &entry).await;
            }
            admin.log.snapshot(entry.version).await;
        });
    }
    Ok(verdict)
}

#[post("/v1/changes", data = "<data>")]
async fn submit(admin: &Shared, token: Token, data: Data<'_>) -> Reply {
    match accept(admin, &token, data).await {
        Ok(verdict) => Reply::json(status(&verdict), &verdict),
        Err(error) => error.reply(),
    }
}

fn status(verdict: &Verdict) -> u16 {
    match verdict {
        Verdict::Accepted { .. } | Verdict::Valid { .. } => 200,
        Verdict::NotAccepted { .. } => 409,
        Verdict::Unknown { .. } => 202,
    }
}

#[get("/v1/changes/<id>?<attempted>")]
async fn resolve(admin: &Shared, token: Token, id: &str, attempted: Option<Version>) -> Reply {
    let Ok(id) = ChangeId::parse_str(id) else {
        let path = format!("/v1/changes/{id}");
        return Error::Path { path }.reply();
    };
    let verdict = async {
        state(admin, &token).await?;
        admin.log.resolve(id, attempted).await
    };
    answer(verdict.await)
}

#[get("/v1/defaults")]
async fn defaults(admin: &Shared, token: Token) -> Reply {
    let state = state(admin, &token).await;
    answer(state.map(|state| state.defaults))
}

#[get("/v1/exceptions")]
async fn exceptions(admin: &Shared, token: Token) -> Reply {
    let state = state(admin, &token).await;
    answer(state.map(|state| state.exceptions.into_values().collect::<Vec<_>>()))
}

#[get("/v1/stops")]
async fn stops(admin: &Shared, token: Token) -> Reply {
    let state = state(admin, &token).await;
    answer(state.map(|state| state.stops.into_values().collect::<Vec<_>>()))
}

#[get("/v1/duties")]
async fn duties(admin: &Shared, token: Token) -> Reply {
    let state = state(admin, &token).await;
    answer(state.map(|state| state.duties))
}

/// Lists organisations; a member's operator sees that member's, and nobody sees key digests.
#[get("/v1/organisations")]
async fn organisations(admin: &Shared, token: Token) -> Reply {
    let listed = async {
        let state = state(admin, &token).await?;
        let operator = identify(admin, &state, &token)?;
        let is_visible = |organisation: &Organisation| {
            let member = operator.member.as_ref();
            member.is_none_or(|member| *member == organisation.member)
        };
        let organisations = state.organisations.into_values().filter(is_visible);
        let bare = organisations.map(|organisation| Organisation {
            key_digests: Vec::new(),
            ..organisation
        });
        Ok(bare.collect::<Vec<_>>())
    };
    answer(listed.await)
}

#[get("/v1/operators")]
async fn operators(admin: &Shared, token: Token) -> Reply {
    let listed = async {
        let state = state(admin, &token).await?;
        let bare = state.operators.into_values().map(|operator| Operator {
            token_digest: SmolStr::default(),
            ..operator
        });
        Ok(bare.collect::<Vec<_>>())
    };
    answer(listed.await)
}

#[get("/v1/history?<after>&<limit>")]
async fn history(
    admin: &Shared,
    token: Token,
    after: Option<Version>,
    limit: Option<usize>,
) -> Reply {
    let entries = async {
        state(admin, &token).await?;
        let limit = limit.unwrap_or(HISTORY_MAX).min(HISTORY_MAX);
        let mut entries = admin.log.entries(after.unwrap_or(0), limit).await?;
        entries.iter_mut().for_each(hide_digests);
        Ok(entries)
    };
    answer(entries.await)
}

/// Takes digests of keys and tokens out of what operators read.
fn hide_digests(entry: &mut sardinemux_core::config::Entry) {
    use sardinemux_core::config::Change;
    for change in &mut entry.changes {
        match change {
            Change::SetOrganisation(organisation) => organisation.key_digests.clear(),
            Change::SetOperator(operator) => operator.token_digest = SmolStr::default(),
            _ => {}
        }
    }
}

/// Lists the last change of each key between two versions.
#[get("/v1/diff?<from>&<to>")]
async fn diff(admin: &Shared, token: Token, from: Version, to: Version) -> Reply {
    let differences = async {
        state(admin, &token).await?;
        let count = to.saturating_sub(from).min(HISTORY_MAX as u64) as usize;
        let mut entries = admin.log.entries(from, count).await?;
        entries.iter_mut().for_each(hide_digests);
        let mut last = indexmap::IndexMap::new();
        for entry in entries {
            for change in entry.changes {
                let difference = Difference {
                    key: change.key(),
                    version: entry.version,
                    change,
                };
                last.insert(difference.key.clone(), difference);
            }
        }
        Ok(last.into_values().collect::<Vec<_>>())
    };
    answer(differences.await)
}

#[get("/v1/force")]
async fn force(admin: &Shared, token: Token) -> Reply {
    let force = async {
        let state = state(admin, &token).await?;
        let routers = fleet::routers(admin.log.platform()).await?;
        Ok(Rollout {
            version: state.version,
            routers: admin.fleet.versions(&routers).await,
        })
    };
    answer(force.await)
}

#[get("/v1/load")]
async fn load(admin: &Shared, token: Token) -> Reply {
    let load = async {
        state(admin, &token).await?;
        let routers = fleet::routers(admin.log.platform()).await?;
        Ok(admin.fleet.load(&routers).await)
    };
    answer(load.await)
}

#[get("/v1/openapi.json")]
fn description() -> Reply {
    Reply::json(200, &openapi::description())
}
