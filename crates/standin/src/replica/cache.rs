//! The prompt cache of a replica.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time;

/// The timeout for fetching the list of cached parts from another replica.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);

/// One part of a prompt, which other prompts may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The id, the same in all prompts that share the part.
    pub id: String,
    /// The length in tokens.
    pub tokens: u64,
}

/// Parses `ID:TOKENS` entries that are separated by commas; a malformed entry ends the list.
pub fn parse_prompt(text: &str) -> Vec<Part> {
    let parts = text.split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part {
            id: id.to_owned(),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// The JSON form of the list of cached parts.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// Each entry holds an empty text, the id of the part, its length in tokens, and the model.
    pub held: Vec<(String, String, u64, String)>,
}

/// The cached parts, least recently used first, up to a capacity in tokens.
#[derive(Debug)]
pub struct Cache {
    capacity: u64,
    tokens: u64,
    parts: IndexMap<String, u64>,
}

impl Cache {
    /// Creates an empty cache with a capacity in tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            parts: IndexMap::new(),
        }
    }

    /// Returns the tokens of the longest prefix of a prompt whose parts are all cached.
    pub fn cached_tokens(&self, prompt: &[Part]) -> u64 {
        let cached = prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Inserts the parts of a prompt, and evicts the least recently used parts beyond the capacity.
    pub fn insert(&mut self, prompt: &[Part]) {
        for part in prompt {
            if let Some(tokens) = self.parts.shift_remove(&part.id) {
                self.tokens -= tokens;
            }
            self.parts.insert(part.id.clone(), part.tokens);
            self.tokens += part.tokens;
        }
        while self.tokens > self.capacity {
            let Some((_, tokens)) = self.parts.shift_remove_index(0) else {
                return;
            };
            self.tokens -= tokens;
        }
    }

    /// Returns all cached parts, least recently used first.
    pub fn list(&self) -> List {
        let held = self
            .parts
            .iter()
            .map(|(id, tokens)| (String::new(), id.clone(), *tokens, "m".to_owned()));
        List {
            held: held.collect(),
        }
    }
}

/// Returns the tokens of the longest prefix of a prompt that the replica at an address has cached; 0 if it does not
/// answer in time.
pub async fn fetch_cached_tokens(address: &str, prompt: &[Part]) -> u64 {
    let list = time::timeout(FETCH_TIMEOUT, fetch_list(address)).await;
    let list = list.ok().flatten().unwrap_or_default();
    let mut cache = Cache::new(u64::MAX);
    for (_, id, tokens, _) in list.held {
        cache.insert(&[Part { id, tokens }]);
    }
    cache.cached_tokens(prompt)
}

async fn fetch_list(address: &str) -> Option<List> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::get("/v1/kv-list").header("host", address);
    let request = request.body(Full::<Bytes>::default()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
