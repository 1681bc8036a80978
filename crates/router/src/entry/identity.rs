//! Whose request it is, and what its headers and body say.

use std::time::Duration;

use rocket::data::ToByteUnit;
use rocket::{Data, Request};
use sardinemux_core::class::Class;
use sardinemux_core::config::{query, Organisation};
use sardinemux_wire::header;
use tokio::time;

use super::errors::Failure;
use crate::prelude::*;

/// How long a caller may take to send a body.
const BODY_TIME: Duration = Duration::from_secs(30);

/// The classes that a caller may state, for a message.
const CLASSES: &str = "one of transaction, lookup, chat, suggestion, review";

/// Returns the organisation that a request's bearer key belongs to.
///
/// # Errors
///
/// `Failure::Unauthorized` if there is none.
pub fn organisation(
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

/// Returns the class that the caller states.
///
/// # Errors
///
/// `Failure::Header` if there is no such class.
pub fn class(request: &Request<'_>) -> std::result::Result<Option<Class>, Failure> {
    let Some(value) = request.headers().get_one(header::CLASS) else {
        return Ok(None);
    };
    let class = Class::parse(value).ok_or(Failure::Header {
        name: header::CLASS,
        value: value.to_owned(),
        allowed: CLASSES,
    })?;
    Ok(Some(class))
}

/// Reads a caller's body.
///
/// # Errors
///
/// `Failure::TooLarge` over the limit, `Failure::Unread` if it does not arrive whole and in time.
pub async fn body(router: &Router, data: Data<'_>) -> std::result::Result<Vec<u8>, Failure> {
    let limit = router.settings.body_max_bytes;
    let reading = data.open(limit.bytes()).into_bytes();
    let body = time::timeout(BODY_TIME, reading).await;
    let body = body.map_err(|_| Failure::Unread)?;
    let body = body.map_err(|_| Failure::Unread)?;
    match body.is_complete() {
        true => Ok(body.into_inner()),
        false => Err(Failure::TooLarge { limit }),
    }
}
