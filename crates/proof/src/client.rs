//! Calls of a trial to the programs that it has started.

use std::future::Future;
use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder};
use serde::{de::DeserializeOwned, Serialize};
use snafu::ResultExt;

use crate::errors::{CallSnafu, Error, Result};

/// The pause between two looks at a state.
const PAUSE: Duration = Duration::from_millis(25);

/// How long a state may take to be reached. It bounds a hanging test; no verdict depends on it.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Creates a client that follows nothing and repeats nothing.
///
/// # Errors
///
/// `Error::Call` if the library refuses the settings.
pub fn build() -> Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .timeout(Duration::from_secs(60))
        .pool_idle_timeout(Duration::from_secs(1))
        .build()
        .context(CallSnafu { url: "client" })
}

/// Sends a request and reads the JSON answer.
///
/// # Errors
///
/// `Error::Call` if there is no answer, `Error::Refused` if it is an error.
pub async fn json<T: DeserializeOwned>(url: &str, request: RequestBuilder) -> Result<T> {
    let response = request.send().await.context(CallSnafu { url })?;
    let status = response.status();
    if !status.is_success() {
        let body = response.text().await.unwrap_or_default();
        return Err(Error::Refused {
            url: url.to_owned(),
            status: status.as_u16(),
            body,
        });
    }
    response.json().await.context(CallSnafu { url })
}

/// Posts a JSON body and expects nothing back.
///
/// # Errors
///
/// As for [`json`].
pub async fn post<T: Serialize>(client: &Client, url: &str, body: &T) -> Result<()> {
    send(url, client.post(url).json(body)).await
}

/// Sends a request and expects only success.
///
/// # Errors
///
/// As for [`json`].
pub async fn send(url: &str, request: RequestBuilder) -> Result<()> {
    let response = request.send().await.context(CallSnafu { url })?;
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    let body = response.text().await.unwrap_or_default();
    Err(Error::Refused {
        url: url.to_owned(),
        status: status.as_u16(),
        body,
    })
}

/// Waits until a state is reached.
///
/// # Errors
///
/// `Error::Late` if it is not reached for a long time.
pub async fn until<F: Future<Output = bool>>(
    state: &str,
    mut is_reached: impl FnMut() -> F,
) -> Result<()> {
    let begin = Instant::now();
    while !is_reached().await {
        if begin.elapsed() > PATIENCE {
            let state = state.to_owned();
            return Err(Error::Late { state });
        }
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}
