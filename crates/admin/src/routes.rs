//! The HTTP routes of the administration API.

use std::sync::Arc;

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::{catch, catchers, get, post, routes, Catcher, Data, Request, Route};
use sardinemux_core::config::{query, ChangeId, Operator, Organisation, State, Version};
use sardinemux_host::body::{self, Answer, Body};
use sardinemux_host::reply::Reply;
use sardinemux_wire::admin::{Difference, Rollout, Submission, Verdict};
use serde::Serialize;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt};

use crate::errors::{Error, IncompleteBodySnafu, MalformedBodySnafu, Result, UnknownTokenSnafu};
use crate::fleet::{self, Fleet};
use crate::log::Log;
use crate::{openapi, settings::Settings};

/// The maximum length of a request body, in bytes.
const BODY_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// The greatest number of log entries that one request reads.
const HISTORY_ENTRIES_MAX: usize = 1_000;

/// The name under which the operator with the token of the settings file appears in the log.
const FIRST_OPERATOR: &str = "first";

/// The state that the routes share with the task that sends orders to engines.
pub struct Admin {
    /// The settings.
    pub settings: Settings,
    /// The log of configuration changes.
    pub log: Log,
    /// The client of the routers.
    pub fleet: Fleet,
}

type SharedAdmin = rocket::State<Arc<Admin>>;

/// Returns the routes; the server must manage an `Arc<Admin>`.
pub fn build_routes() -> Vec<Route> {
    let mut routes = routes![
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
    ];
    routes.extend(body::refuse_others(refuse_path));
    routes
}

/// Returns the error catchers.
pub fn build_catchers() -> Vec<Catcher> {
    catchers![not_found]
}

/// Replies 404 with the path, whatever status the server would have sent.
#[catch(default)]
fn not_found(_status: Status, request: &Request<'_>) -> Reply {
    refuse_path(request)
}

fn refuse_path(request: &Request<'_>) -> Reply {
    let path = request.uri().path().to_string();
    Error::UnknownPath { path }.to_reply()
}

/// The bearer token of a request; empty if there is none.
struct BearerToken(SmolStr);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for BearerToken {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let value = request.headers().get_one("Authorization");
        let token = value.and_then(|value| value.strip_prefix("Bearer "));
        Outcome::Success(Self(token.unwrap_or_default().into()))
    }
}

/// Returns the operator to whom the token belongs.
fn authenticate_operator(admin: &Admin, state: &State, token: &BearerToken) -> Result<Operator> {
    if token.0 == admin.settings.first_operator_token {
        return Ok(Operator {
            name: FIRST_OPERATOR.into(),
            member: None,
            token_digest: SmolStr::default(),
        });
    }
    let operator = query::operator_by_token(state, &token.0);
    operator.cloned().context(UnknownTokenSnafu)
}

/// Builds the response to a request: status 200 and the value, or the error.
fn build_reply<T: Serialize>(result: Result<T>) -> Reply {
    match result {
        Ok(value) => Reply::json(200, &value),
        Err(error) => error.to_reply(),
    }
}

/// Reads the newest configuration, and checks that the token belongs to an operator.
async fn read_state(admin: &Admin, token: &BearerToken) -> Result<State> {
    let state = admin.log.read_state().await?;
    authenticate_operator(admin, &state, token)?;
    Ok(state)
}

/// Reads the submission from the body of a request.
async fn read_submission(body: &mut Body<'_>) -> Result<Submission> {
    let limit = body.limit();
    let read = body.read().await.ok().flatten();
    let body = read.context(IncompleteBodySnafu { limit })?;
    serde_json::from_slice(&body).context(MalformedBodySnafu)
}

/// Submits the changes in the body of a request. Once they are accepted, sends them to the routers in the background.
async fn submit_changes(
    admin: &Arc<Admin>,
    token: &BearerToken,
    body: &mut Body<'_>,
) -> Result<Verdict> {
    let submission = read_submission(body).await?;
    let state = admin.log.read_state().await?;
    let operator = authenticate_operator(admin, &state, token)?;
    let verdict = admin.log.submit(&operator, submission).await?;
    if let Verdict::Accepted { entry } = &verdict {
        log::info!(author:% = entry.author, version = entry.version; "change accepted");
        let admin = admin.clone();
        let entry = entry.clone();
        // The response does not wait for this: the entry is durable, and routers also read it from the log.
        tokio::spawn(async move {
            if let Ok(routers) = fleet::list_routers(admin.log.platform()).await {
                admin.fleet.push_entry(&routers, &entry).await;
            }
            admin.log.write_snapshot(entry.version).await;
        });
    }
    Ok(verdict)
}

#[post("/v1/changes", data = "<data>")]
async fn submit<'r>(admin: &SharedAdmin, token: BearerToken, data: Data<'r>) -> Answer<'r> {
    let mut body = Body::new(data, BODY_BYTES_MAX);
    let reply = match submit_changes(admin, &token, &mut body).await {
        Ok(verdict) => Reply::json(verdict_status(&verdict), &verdict),
        Err(error) => error.to_reply(),
    };
    body.answer(reply)
}

/// Returns the HTTP status of a verdict.
fn verdict_status(verdict: &Verdict) -> u16 {
    match verdict {
        Verdict::Accepted { .. } | Verdict::Valid { .. } => 200,
        Verdict::NotAccepted { .. } => 409,
        Verdict::Unknown { .. } => 202,
    }
}

#[get("/v1/changes/<id>?<attempted>")]
async fn resolve(
    admin: &SharedAdmin,
    token: BearerToken,
    id: &str,
    attempted: Option<Version>,
) -> Reply {
    let Ok(id) = ChangeId::parse_str(id) else {
        let path = format!("/v1/changes/{id}");
        return Error::UnknownPath { path }.to_reply();
    };
    let verdict = async {
        read_state(admin, &token).await?;
        admin.log.resolve(id, attempted).await
    };
    build_reply(verdict.await)
}

#[get("/v1/defaults")]
async fn defaults(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let state = read_state(admin, &token).await;
    build_reply(state.map(|state| state.defaults))
}

#[get("/v1/exceptions")]
async fn exceptions(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let state = read_state(admin, &token).await;
    build_reply(state.map(|state| state.exceptions.into_values().collect::<Vec<_>>()))
}

#[get("/v1/stops")]
async fn stops(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let state = read_state(admin, &token).await;
    build_reply(state.map(|state| state.stops.into_values().collect::<Vec<_>>()))
}

#[get("/v1/duties")]
async fn duties(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let state = read_state(admin, &token).await;
    build_reply(state.map(|state| state.duties))
}

/// Lists the organisations without their key digests. An operator of a member sees only those of that member.
#[get("/v1/organisations")]
async fn organisations(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let listed = async {
        let state = read_state(admin, &token).await?;
        let operator = authenticate_operator(admin, &state, &token)?;
        let is_visible = |organisation: &Organisation| {
            let member = operator.member.as_ref();
            member.is_none_or(|member| *member == organisation.member)
        };
        let organisations = state.organisations.into_values().filter(is_visible);
        let redacted = organisations.map(|organisation| Organisation {
            key_digests: Vec::new(),
            ..organisation
        });
        Ok(redacted.collect::<Vec<_>>())
    };
    build_reply(listed.await)
}

#[get("/v1/operators")]
async fn operators(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let listed = async {
        let state = read_state(admin, &token).await?;
        let redacted = state.operators.into_values().map(|operator| Operator {
            token_digest: SmolStr::default(),
            ..operator
        });
        Ok(redacted.collect::<Vec<_>>())
    };
    build_reply(listed.await)
}

#[get("/v1/history?<after>&<limit>")]
async fn history(
    admin: &SharedAdmin,
    token: BearerToken,
    after: Option<Version>,
    limit: Option<usize>,
) -> Reply {
    let entries = async {
        read_state(admin, &token).await?;
        let limit = limit
            .unwrap_or(HISTORY_ENTRIES_MAX)
            .min(HISTORY_ENTRIES_MAX);
        let mut entries = admin.log.read_entries(after.unwrap_or(0), limit).await?;
        entries.iter_mut().for_each(remove_digests);
        Ok(entries)
    };
    build_reply(entries.await)
}

/// Removes the digests of keys and tokens from an entry, since no operator may read them.
fn remove_digests(entry: &mut sardinemux_core::config::Entry) {
    use sardinemux_core::config::Change;
    for change in &mut entry.changes {
        match change {
            Change::SetOrganisation(organisation) => organisation.key_digests.clear(),
            Change::SetOperator(operator) => operator.token_digest = SmolStr::default(),
            _ => {}
        }
    }
}

/// Lists the last change of each key after version `from` up to version `to`, over at most [`HISTORY_ENTRIES_MAX`]
/// entries.
#[get("/v1/diff?<from>&<to>")]
async fn diff(admin: &SharedAdmin, token: BearerToken, from: Version, to: Version) -> Reply {
    let differences = async {
        read_state(admin, &token).await?;
        let count = to.saturating_sub(from).min(HISTORY_ENTRIES_MAX as u64) as usize;
        let mut entries = admin.log.read_entries(from, count).await?;
        entries.iter_mut().for_each(remove_digests);
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
    build_reply(differences.await)
}

#[get("/v1/force")]
async fn force(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let force = async {
        let state = read_state(admin, &token).await?;
        let routers = fleet::list_routers(admin.log.platform()).await?;
        Ok(Rollout {
            version: state.version,
            routers: admin.fleet.read_versions(&routers).await,
        })
    };
    build_reply(force.await)
}

#[get("/v1/load")]
async fn load(admin: &SharedAdmin, token: BearerToken) -> Reply {
    let load = async {
        read_state(admin, &token).await?;
        let routers = fleet::list_routers(admin.log.platform()).await?;
        Ok(admin.fleet.read_load(&routers).await)
    };
    build_reply(load.await)
}

#[get("/v1/openapi.json")]
fn description() -> Reply {
    Reply::json(200, &openapi::build_document())
}
