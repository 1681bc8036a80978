//! The names of the headers that the gateway reads and sets, which differ between deployments, and the parsers of their
//! values.

use hyper::header::HeaderName;
use hyper::HeaderMap;
use sardinemux_core::prompt::Prompt;
use sardinemux_core::speed::Stated;

/// What a target states in the `load` header.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The number of requests that run or wait on the target; `None` if that is missing or malformed.
    pub running: Option<u32>,
    /// How long work takes there at this moment.
    pub speed: Stated,
}

/// The header names, parsers and readiness path of one deployment.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The id of a request, which targets repeat in their responses.
    pub request_id: HeaderName,
    /// The remaining time until the deadline of a request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The caller's API key.
    pub api_key: HeaderName,
    /// The organisation of the caller; set on requests to targets.
    pub organisation: HeaderName,
    /// The id of the target that a request is sent to. Any other target rejects the request.
    pub expected_target: HeaderName,
    /// The id of the target that rejects a request which is meant for another one.
    pub rejecting_target: HeaderName,
    /// A target's signature of its response.
    pub signature: HeaderName,
    /// Present on a response if the target did not run the request.
    pub not_run: HeaderName,
    /// The load of a target, as stated in its response.
    pub load: HeaderName,
    /// The number of requests a second that a target takes from all gateways together, while it states one.
    pub limit: HeaderName,
    /// The number of requests a second above which a target that rejects them falls over, while it states one.
    pub brittle: HeaderName,
    /// Present with the value `1` on each response of a target that leaves.
    pub leaving: HeaderName,
    /// The priority of a request at an engine, 0 to 9; 0 is the most urgent.
    pub priority: HeaderName,
    /// The address of the engine from which the receiving engine can fetch cached parts of the prompt.
    pub cache_source: HeaderName,
    /// The id of the last event that the client received, after which a resumed stream begins.
    pub last_event_id: HeaderName,
    /// The id of the request that brought the first event of the stream which the caller resumes.
    pub resumes: HeaderName,
    /// The remaining warm-up time of a target, in milliseconds.
    pub cold_ms: HeaderName,
    /// Headers that only the gateway may set. They are removed from the requests of callers.
    pub reserved: Vec<HeaderName>,
    /// Parses the parts of a prompt from a request's headers.
    pub parse_prompt: fn(&HeaderMap) -> Prompt,
    /// Parses the value of the `load` header.
    pub parse_load: fn(&str) -> Load,
    /// The path of the readiness check of the load balancer.
    pub ready_path: &'static str,
    /// The path at which a target states its status, which takes no slot.
    pub status_path: &'static str,
}
