//! The OpenAPI 3 document that describes the administration API.

use serde_json::{json, Map, Value};

/// One operation of the API.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    /// The path, with the names of its parameters in braces.
    pub path: &'static str,
    /// The HTTP method, in lower case.
    pub method: &'static str,
    /// The summary that the document states.
    pub summary: &'static str,
    /// The names of the query parameters.
    pub query: &'static [&'static str],
}

/// Returns an operation with the method GET.
const fn get(
    path: &'static str,
    query: &'static [&'static str],
    summary: &'static str,
) -> Operation {
    Operation {
        path,
        method: "get",
        summary,
        query,
    }
}

/// Every operation of the API.
pub const OPERATIONS: [Operation; 13] = [
    Operation {
        path: "/v1/changes",
        method: "post",
        summary: "Submit changes, which take effect together or not at all; or check them only.",
        query: &[],
    },
    get(
        "/v1/changes/{id}",
        &["attempted"],
        "Say what became of a submission: accepted, not accepted, or not known yet.",
    ),
    get(
        "/v1/defaults",
        &[],
        "List the fleet-wide defaults that were set.",
    ),
    get(
        "/v1/exceptions",
        &[],
        "List the exceptions with their reasons.",
    ),
    get(
        "/v1/stops",
        &[],
        "List planned stops; a stop of a zone takes it out.",
    ),
    get("/v1/duties", &[], "List what engines are ordered to serve."),
    get(
        "/v1/organisations",
        &[],
        "List organisations, without their keys.",
    ),
    get(
        "/v1/operators",
        &[],
        "List operators, without their tokens.",
    ),
    get(
        "/v1/history",
        &["after", "limit"],
        "List accepted entries, oldest first.",
    ),
    get(
        "/v1/diff",
        &["from", "to"],
        "List the last change of each key between two versions.",
    ),
    get(
        "/v1/force",
        &[],
        "Say which version each router has in force.",
    ),
    get("/v1/load", &[], "Say what still runs on each target."),
    get("/v1/openapi.json", &[], "Return this document."),
];

/// Builds the document.
///
/// # Examples
///
/// ```
/// let document = sardinemux_admin::openapi::build_document();
/// assert_eq!(document["openapi"], "3.0.3");
/// assert!(document["paths"]["/v1/changes"]["post"].is_object());
/// ```
pub fn build_document() -> Value {
    let mut paths: Map<String, Value> = Map::new();
    for operation in &OPERATIONS {
        let path = paths
            .entry(operation.path)
            .or_insert_with(|| json!({}))
            .as_object_mut();
        if let Some(path) = path {
            path.insert(operation.method.to_owned(), describe_operation(operation));
        }
    }
    json!({
        "openapi": "3.0.3",
        "info": {
            "title": "sardinemux administration API",
            "version": env!("CARGO_PKG_VERSION"),
        },
        "components": {
            "securitySchemes": { "token": { "type": "http", "scheme": "bearer" } },
        },
        "security": [ { "token": [] } ],
        "paths": paths,
    })
}

/// Builds the object that describes one operation.
fn describe_operation(operation: &Operation) -> Value {
    let parameter = |name: &str, location: &str| {
        json!({
            "name": name,
            "in": location,
            "required": location == "path",
            "schema": { "type": "string" },
        })
    };
    let in_path = operation
        .path
        .contains("{id}")
        .then(|| parameter("id", "path"));
    let in_query = operation.query.iter().map(|name| parameter(name, "query"));
    let parameters: Vec<Value> = in_path.into_iter().chain(in_query).collect();
    json!({
        "summary": operation.summary,
        "parameters": parameters,
        "responses": {
            "200": { "description": "Done." },
            "default": { "description": "A typed error; nothing was changed." },
        },
    })
}
