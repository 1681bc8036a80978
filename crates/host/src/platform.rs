//! The platform's services: instance list, transactional table and object store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use parking_lot::Mutex;
use reqwest::header::HeaderValue;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use sardinemux_wire::platform::{Instance, Row};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ResultExt;

use crate::client;
use crate::errors::{Error, Result, SilentSnafu, StoredSnafu};

/// The platform's services at one or more addresses; when one does not answer, the next is used.
#[derive(Debug)]
pub struct Platform {
    client: Client,
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
    list_tag: Mutex<Option<HeaderValue>>,
    sent: AtomicU64,
    received: AtomicU64,
}

/// The bytes that crossed the sockets, HTTP included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// To the platform.
    pub sent: u64,
    /// From the platform.
    pub received: u64,
}

/// The bytes of an HTTP request around its body, and of an HTTP response around its own.
const OVERHEAD: u64 = 180;

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// It took effect.
    Done,
    /// The condition did not hold.
    Refused,
}

/// Where rows are read from, and how many.
#[derive(Clone, Copy, Debug)]
pub struct Range<'a> {
    /// The beginning of the keys.
    pub prefix: &'a str,
    /// Only keys after this one.
    pub after: &'a str,
    /// The most rows.
    pub limit: usize,
}

impl Platform {
    /// Creates a client of the platform's services.
    ///
    /// # Errors
    ///
    /// `Error::Client` if the HTTP client cannot be built.
    pub fn new(addresses: Vec<SocketAddr>, timeout_ms: u64) -> Result<Self> {
        let settings = client::Settings {
            connect_ms: timeout_ms,
            total_ms: Some(timeout_ms),
            ..client::Settings::default()
        };
        Ok(Self {
            client: client::build(settings)?,
            addresses,
            current: AtomicUsize::new(0),
            list_tag: Mutex::new(None),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        })
    }

    fn request(&self, method: Method, path: &str) -> (String, RequestBuilder) {
        let index = self.current.load(Ordering::Relaxed) % self.addresses.len().max(1);
        let address = self.addresses.get(index).copied();
        let host = address.map_or_else(String::new, |address| address.to_string());
        let url = format!("http://{host}{path}");
        let request = self.client.request(method, &url);
        (url, request)
    }

    async fn send(&self, url: String, request: RequestBuilder) -> Result<Response> {
        self.sent.fetch_add(OVERHEAD, Ordering::Relaxed);
        let result = request.send().await;
        if result.is_err() {
            self.current.fetch_add(1, Ordering::Relaxed);
        }
        result.context(SilentSnafu { url })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        let (url, request) = self.request(Method::GET, path);
        let response = self.send(url.clone(), request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => self.read(url, response).await.map(Some),
            status => Err(refused(url, status)),
        }
    }

    async fn read<T: DeserializeOwned>(&self, url: String, response: Response) -> Result<T> {
        let body = response.bytes().await;
        let body = body.context(SilentSnafu { url: url.clone() })?;
        let received = OVERHEAD + body.len() as u64;
        self.received.fetch_add(received, Ordering::Relaxed);
        serde_json::from_slice(&body).context(StoredSnafu { key: url })
    }

    /// Returns the bytes that crossed the sockets so far.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }

    /// Returns the instance list if it has changed since this was called last.
    ///
    /// # Errors
    ///
    /// `Error::Silent` or `Error::Status` if the platform fails.
    pub async fn changed_instances(&self) -> Result<Option<Vec<Instance>>> {
        let (url, mut request) = self.request(Method::GET, "/instances");
        if let Some(tag) = self.list_tag.lock().clone() {
            request = request.header("If-None-Match", tag);
        }
        let response = self.send(url.clone(), request).await?;
        let tag = response.headers().get("ETag").cloned();
        match response.status() {
            StatusCode::NOT_MODIFIED => {
                self.received.fetch_add(OVERHEAD, Ordering::Relaxed);
                Ok(None)
            }
            StatusCode::OK => {
                let instances = self.read(url, response).await?;
                *self.list_tag.lock() = tag;
                Ok(Some(instances))
            }
            status => Err(refused(url, status)),
        }
    }

    /// Returns the instance list, which lags.
    ///
    /// # Errors
    ///
    /// `Error::Silent` or `Error::Status` if the platform fails.
    pub async fn instances(&self) -> Result<Vec<Instance>> {
        Ok(self.get("/instances").await?.unwrap_or_default())
    }

    /// Returns a row of the table.
    ///
    /// # Errors
    ///
    /// `Error::Silent` or `Error::Status` if the platform fails.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        self.get(&format!("/table/{key}")).await
    }

    /// Returns rows in the order of their keys.
    ///
    /// # Errors
    ///
    /// `Error::Silent` or `Error::Status` if the platform fails.
    pub async fn rows(&self, range: Range<'_>) -> Result<Vec<Row>> {
        let Range {
            prefix,
            after,
            limit,
        } = range;
        let path = format!("/rows?prefix={prefix}&after={after}&limit={limit}");
        Ok(self.get(&path).await?.unwrap_or_default())
    }

    /// Writes a row if the condition holds.
    ///
    /// # Errors
    ///
    /// `Error::Silent` or `Error::Status`; after either the write may have taken effect unless
    /// [`Error::is_unsent`], and must be read back.
    pub async fn write<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        condition: Condition,
    ) -> Result<Write> {
        let (url, request) = self.request(Method::PUT, &format!("/table/{key}"));
        let request = match condition {
            Condition::Absent => request.header("If-None-Match", "*"),
            Condition::Version(version) => request.header("If-Match", version.to_string()),
        };
        let response = self.send(url.clone(), request.json(value)).await?;
        match response.status() {
            StatusCode::OK => Ok(Write::Done),
            StatusCode::PRECONDITION_FAILED => Ok(Write::Refused),
            status => Err(refused(url, status)),
        }
    }

    /// Returns an object.
    ///
    /// # Errors
    ///
    /// `Error::Silent` or `Error::Status` if the platform fails.
    pub async fn object<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>> {
        self.get(&format!("/objects/{key}")).await
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// `Error::Silent` or `Error::Status` if the platform fails.
    pub async fn put_object<T: Serialize>(&self, key: &str, value: &T) -> Result<()> {
        let (url, request) = self.request(Method::PUT, &format!("/objects/{key}"));
        let response = self.send(url.clone(), request.json(value)).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(refused(url, status)),
        }
    }
}

fn refused(url: String, status: StatusCode) -> Error {
    let status = status.as_u16();
    Error::Status { url, status }
}
