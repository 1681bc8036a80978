//! What a deployment calls the headers that the gateway reads and sets.

use hyper::header::HeaderName;
use hyper::HeaderMap;
use sardinemux_core::prompt::Prompt;

/// The names of the headers, and how their values are read.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names a request; targets repeat it in their answers.
    pub request_id: HeaderName,
    /// How long the caller will wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub api_key: HeaderName,
    /// Tells a target whose request it is.
    pub organisation: HeaderName,
    /// Makes every target but the named one reject a request.
    pub expected_target: HeaderName,
    /// A target's signature of its answer.
    pub signature: HeaderName,
    /// A target's statement that it did not run a request.
    pub not_run: HeaderName,
    /// A target's load.
    pub load: HeaderName,
    /// The rank of a request at an engine, 0 to 9; 0 is the most urgent.
    pub priority: HeaderName,
    /// The address of an engine from which another one fetches cached parts of a prompt.
    pub cache_source: HeaderName,
    /// The number of the last event that the caller has.
    pub last_event_id: HeaderName,
    /// How long a target stays cold, in milliseconds.
    pub cold_ms: HeaderName,
    /// Headers that only the gateway may set; what callers send under these names is dropped.
    pub reserved: Vec<HeaderName>,
    /// Reads the parts of a prompt.
    pub parse_prompt: fn(&HeaderMap) -> Prompt,
    /// Reads a target's load: the requests that run and wait on it.
    pub parse_load: fn(&str) -> Option<u32>,
    /// The path at which the balancer asks for readiness.
    pub ready_path: &'static str,
}
