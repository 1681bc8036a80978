//! The published protocol of the platform's services, as far as sardinemux uses it.
//!
//! - Instance list: `GET /instances` returns a JSON array of [`Instance`]; it lags.
//! - Table: `GET /table/<key>` returns a [`Row`]; `PUT /table/<key>` writes the body on a condition,
//!   `If-None-Match: *` or `If-Match: <version>`, and answers 412 if it does not hold;
//!   `GET /rows?prefix=&after=&limit=` returns rows in the order of their keys.
//! - Object store: `GET` and `PUT /objects/<key>`.

use sardinemux_core::target::Target;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The part that an instance plays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "part", rename_all = "snake_case")]
pub enum Part {
    /// A router of this system.
    Router {
        /// The address for other routers, as `ip:port`.
        address: SmolStr,
    },
    /// An engine or a plain service.
    Target(Target),
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The part that it plays.
    #[serde(flatten)]
    pub part: Part,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: SmolStr,
    /// Raised by each write.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// The table key of an entry of the configuration log; the digits sort as the numbers do.
///
/// # Examples
///
/// ```
/// assert_eq!(sardinemux_wire::platform::log_key(7), "config/log/00000000000000000007");
/// ```
pub fn log_key(version: u64) -> SmolStr {
    format!("{LOG_PREFIX}{version:020}").into()
}

/// The beginning of the table keys of the configuration log.
pub const LOG_PREFIX: &str = "config/log/";

/// The object that holds a snapshot of the configuration.
pub const SNAPSHOT_OBJECT: &str = "config/snapshot";

/// The beginning of the table keys of the idempotency ledger.
pub const LEDGER_PREFIX: &str = "ledger/";
