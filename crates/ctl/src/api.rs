//! Calls of the administration API.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use sardinemux_wire::admin::{Submission, Verdict};
use sardinemux_wire::caller::ErrorBody;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;

use crate::errors::{Error, MalformedSnafu, Result, TransportSnafu};

/// How long the API may take; it resolves lost answers of the platform within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The administration API, as one operator sees it.
pub struct Api {
    client: Client,
    address: String,
    token: String,
}

impl Api {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// `Error::Transport` if the HTTP client cannot be built.
    pub fn new(address: &str, token: &str) -> Result<Self> {
        let client = Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .context(TransportSnafu)?;
        Ok(Self {
            client,
            address: address.to_owned(),
            token: token.to_owned(),
        })
    }

    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let request = request.bearer_auth(&self.token);
        let response = request.send().await.context(TransportSnafu)?;
        let status = response.status().as_u16();
        let body = response.bytes().await.context(TransportSnafu)?;
        let value: Value =
            serde_json::from_slice(&body).context(MalformedSnafu { what: "the answer" })?;
        if value.get("error").is_some() {
            let error: ErrorBody =
                serde_json::from_value(value).context(MalformedSnafu { what: "the answer" })?;
            let detail = Box::new(error.error);
            return Err(Error::Refused { status, detail });
        }
        serde_json::from_value(value).context(MalformedSnafu { what: "the answer" })
    }

    /// Reads something.
    ///
    /// # Errors
    ///
    /// `Error::Transport`, `Error::Refused` or `Error::Malformed`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = format!("http://{}{path}", self.address);
        self.send(self.client.get(url)).await
    }

    /// Submits changes.
    ///
    /// # Errors
    ///
    /// As for [`Api::get`].
    pub async fn submit(&self, submission: &Submission) -> Result<Verdict> {
        let url = format!("http://{}/v1/changes", self.address);
        self.send(self.client.post(url).json(submission)).await
    }
}
