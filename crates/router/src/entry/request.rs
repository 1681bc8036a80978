//! Reads a caller's request: the organisation from its bearer key, the class of work and the body.

use std::time::Duration;

use rocket::Request;
use sardinemux_core::class::Class;
use sardinemux_core::config::{query, Organisation};
use sardinemux_host::body::Body;
use sardinemux_wire::header;
use tokio::time;

use super::errors::Failure;
use crate::prelude::*;

/// The longest time that a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The allowed values of the class header, as error messages list them.
const ALLOWED_CLASSES: &str = "one of transaction, lookup, chat, suggestion, review";

/// Returns the organisation to which the bearer key of a request belongs.
///
/// # Errors
///
/// `Failure::Unauthorized` if the request has no bearer key or the key belongs to no organisation.
pub fn authenticate(
    router: &Router,
    request: &Request<'_>,
) -> std::result::Result<Organisation, Failure> {
    let key = request
        .headers()
        .get_one("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Failure::Unauthorized)?;
    let config = router.config();
    let organisation = query::organisation_by_key(&config, key.trim());
    organisation.cloned().ok_or(Failure::Unauthorized)
}

/// Returns the class of work that the class header states; nothing if there is no such header.
///
/// # Errors
///
/// `Failure::InvalidHeader` if the value of the header is not the name of a class.
pub fn parse_class(request: &Request<'_>) -> std::result::Result<Option<Class>, Failure> {
    let Some(value) = request.headers().get_one(header::CLASS) else {
        return Ok(None);
    };
    let class = Class::parse(value).ok_or(Failure::InvalidHeader {
        name: header::CLASS,
        value: value.to_owned(),
        allowed: ALLOWED_CLASSES,
    })?;
    Ok(Some(class))
}

/// Reads the body of a request.
///
/// # Errors
///
/// `Failure::BodyTooLarge` if the body exceeds the limit, `Failure::IncompleteBody` if it cannot be read or does not
/// arrive in time.
pub async fn read_body(body: &mut Body<'_>) -> std::result::Result<Vec<u8>, Failure> {
    let read = time::timeout(BODY_TIMEOUT, body.read()).await;
    let read = read.map_err(|_| Failure::IncompleteBody)?;
    let read = read.map_err(|_| Failure::IncompleteBody)?;
    let limit = body.limit();
    read.ok_or(Failure::BodyTooLarge { limit })
}
