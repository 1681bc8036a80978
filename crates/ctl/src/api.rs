//! The HTTP client of the administration API.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use sardinemux_wire::admin::{Submission, Verdict};
use sardinemux_wire::caller::ErrorBody;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;

use crate::errors::{Error, MalformedSnafu, Result, TransportSnafu};

/// The timeout of one request. It leaves the API time to repeat calls to the platform that got no response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the administration API that sends the token of one operator.
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

    /// Sends a request and decodes its response. A JSON object with the field `error` is an error, whatever the status.
    async fn send<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let request = request.bearer_auth(&self.token);
        let response = request.send().await.context(TransportSnafu)?;
        let status = response.status().as_u16();
        let body = response.bytes().await.context(TransportSnafu)?;
        let value: Value = serde_json::from_slice(&body).context(MalformedSnafu {
            what: "the response",
        })?;
        if value.get("error").is_some() {
            let error: ErrorBody = serde_json::from_value(value).context(MalformedSnafu {
                what: "the response",
            })?;
            let detail = Box::new(error.error);
            return Err(Error::Refused { status, detail });
        }
        serde_json::from_value(value).context(MalformedSnafu {
            what: "the response",
        })
    }

    /// Sends a GET request for a path.
    ///
    /// # Errors
    ///
    /// - `Error::Transport` if the request fails or no complete response arrives in time.
    /// - `Error::Refused` if the API responds with an error.
    /// - `Error::Malformed` if the response cannot be decoded.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = format!("http://{}{path}", self.address);
        self.send(self.client.get(url)).await
    }

    /// Submits changes, and returns the verdict.
    ///
    /// # Errors
    ///
    /// The errors of [`Api::get`].
    pub async fn submit(&self, submission: &Submission) -> Result<Verdict> {
        let url = format!("http://{}/v1/changes", self.address);
        self.send(self.client.post(url).json(submission)).await
    }
}
