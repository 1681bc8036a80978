//! Reading a caller's request: route, organisation, what may be repeated, and what is passed on.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use sardinemux_core::catalog::{self, Catalog, Route};
use sardinemux_core::hash;
use sardinemux_core::prompt::Prompt;
use tokio::time::{self, Instant};

use crate::prelude::*;
use crate::suspension;

/// Headers that concern one connection only. Source: RFC 9110, section 7.6.1.
static HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's name of this attempt.
    pub id: HeaderValue,
    /// The method.
    pub method: Method,
    /// Path and query, as they came.
    pub uri: Uri,
    /// The headers that are passed on, without those that the gateway sets.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Route,
    /// The pool that it falls to.
    pub pool: SmolStr,
    /// The organisation, if a key named one.
    pub organisation: Option<SmolStr>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The prompt's parts.
    pub prompt: Prompt,
    /// The number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// When the head had been read.
    pub begun: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
}

impl Job {
    /// Returns the caller's name of this attempt, for logs.
    pub fn id_text(&self) -> Cow<'_, str> {
        text(Some(&self.id))
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Why a request is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Rejection {
    /// There is no catalogue yet, or no target.
    #[snafu(display("not ready"))]
    NotReady,
    /// The head is not one that can be passed on safely.
    #[snafu(display("malformed head"))]
    Malformed,
    /// No route fits.
    #[snafu(display("no route"))]
    NoRoute,
    /// The key is missing or unknown.
    #[snafu(display("unknown key"))]
    UnknownKey,
    /// The body is larger than operators allow.
    #[snafu(display("body too large"))]
    TooLarge,
    /// The body did not arrive in time.
    #[snafu(display("body not received"))]
    Unread,
}

impl Rejection {
    /// Returns the status; none of them lets the request run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unread => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Reads a request.
///
/// # Errors
///
/// A [`Rejection`], if it is not to be passed on.
pub async fn read(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> std::result::Result<Job, Rejection> {
    let begun = Instant::now();
    suspension::wait_for_refresh(gateway).await;
    if !gateway.can_serve() {
        return Err(Rejection::NotReady);
    }
    let catalog = gateway.catalog();
    let (parts, body) = request.into_parts();
    check_host(&parts.headers)?;
    let dialect = &gateway.dialect;
    let id = parts.headers.get(&dialect.request_id);
    let id = id.ok_or(Rejection::Malformed)?.clone();
    let route = route(&catalog, &parts.headers, &parts.uri)?.clone();
    let key = parts.headers.get(&dialect.key);
    let organisation = organisation(&catalog, &route, key)?;
    let priority = organisation
        .and_then(|organisation| organisation.priority)
        .unwrap_or(route.priority);
    let organisation = organisation.map(|organisation| organisation.name.clone());
    let pool = catalog::select_pool(&route.shares, hash::digest(&[id.as_bytes()]));
    let pool = pool.ok_or(Rejection::NotReady)?.clone();
    let deadline = deadline(gateway, &parts.headers, &route, begun);
    let prompt = (dialect.parse_prompt)(&parts.headers);
    let last_event = number(parts.headers.get(&dialect.last_event));
    let path = parts.uri.path_and_query().ok_or(Rejection::Malformed)?;
    let uri = Uri::from(path.clone());
    let headers = passed_on(gateway, parts.headers);
    let limits = catalog.limits();
    let due = deadline.min(begun + Duration::from_millis(limits.read_ms));
    let body = read_body(body, limits.body_bytes, due).await?;
    Ok(Job {
        id,
        method: parts.method,
        uri,
        headers,
        body,
        route,
        pool,
        organisation,
        priority,
        prompt,
        last_event,
        begun,
        deadline,
    })
}

/// Refuses heads that name no host, or several.
fn check_host(headers: &HeaderMap) -> std::result::Result<(), Rejection> {
    match headers.get_all(header::HOST).iter().count() {
        1 => Ok(()),
        _ => Err(Rejection::Malformed),
    }
}

fn route<'a>(
    catalog: &'a Catalog,
    headers: &HeaderMap,
    uri: &Uri,
) -> std::result::Result<&'a Route, Rejection> {
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.ok_or(Rejection::Malformed)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let found = catalog.route(name, uri.path());
    found.ok_or(Rejection::NoRoute)
}

fn organisation<'a>(
    catalog: &'a Catalog,
    route: &Route,
    key: Option<&HeaderValue>,
) -> std::result::Result<Option<&'a catalog::Organisation>, Rejection> {
    let key = key.and_then(|key| key.to_str().ok());
    let found = key.and_then(|key| catalog.organisation_by_key(key));
    match found {
        Some(organisation) => Ok(Some(organisation)),
        None if route.is_public || !catalog.needs_keys() => Ok(None),
        None => Err(Rejection::UnknownKey),
    }
}

/// Returns a header's value for logs; empty where there is none.
pub fn text(value: Option<&HeaderValue>) -> Cow<'_, str> {
    value.map_or(Cow::Borrowed(""), |value| {
        String::from_utf8_lossy(value.as_bytes())
    })
}

/// Reads a number; one that cannot be read counts as absent.
fn number(value: Option<&HeaderValue>) -> Option<u64> {
    let value = value?;
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    if number.is_none() {
        log::info!(value:% = text(Some(value)); "a number in a header cannot be read");
    }
    number
}

/// The caller's own deadline or the route's time-out, whichever comes first.
fn deadline(gateway: &Gateway, headers: &HeaderMap, route: &Route, begun: Instant) -> Instant {
    let stated_ms = number(headers.get(&gateway.dialect.deadline_ms));
    let timeout_ms = stated_ms.map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    begun + Duration::from_millis(timeout_ms)
}

fn passed_on(gateway: &Gateway, mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let dialect = &gateway.dialect;
    let own = [
        &dialect.key,
        &dialect.deadline_ms,
        &header::EXPECT,
        &header::CONTENT_LENGTH,
    ];
    let dropped = HOP_BY_HOP.iter().chain(&named).chain(own);
    for name in dropped.chain(&dialect.reserved) {
        headers.remove(name);
    }
    headers
}

/// Takes hop-by-hop headers out of an answer.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

async fn read_body(
    body: Incoming,
    limit: usize,
    due: Instant,
) -> std::result::Result<Bytes, Rejection> {
    let whole = Limited::new(body, limit).collect();
    match time::timeout_at(due, whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::TooLarge),
        Ok(Err(_)) => Err(Rejection::Malformed),
        Err(_) => Err(Rejection::Unread),
    }
}
