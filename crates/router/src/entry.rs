//! The entry: where callers' requests arrive and their answers leave.

pub mod bound;
pub mod chat;
pub mod drive;
pub mod errors;
pub mod identity;
pub mod ledger;
pub mod reply;
pub mod service;

use rocket::http::Method;
use rocket::{catch, catchers, get, routes, Build, Catcher, Request, Rocket, Route, State};
use sardinemux_host::reply::Reply;
use sardinemux_host::server;

use crate::prelude::*;
use errors::Failure;

/// The methods that plain services are called with.
const METHODS: [Method; 5] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
];

/// Creates the server for callers.
pub fn server(router: Arc<Router>) -> Rocket<Build> {
    let settings = server::Settings {
        address: router.settings.entry_address,
        ..server::Settings::default()
    };
    let chats = chat::Handler::new(router.clone());
    let services = service::Handler::new(router.clone());
    let mut routes = vec![Route::new(Method::Post, "/v1/chat/completions", chats)];
    routes.extend(
        METHODS.map(|method| Route::new(method, "/services/<name>/<path..>", services.clone())),
    );
    server::build(settings)
        .manage(router)
        .mount("/", routes)
        .mount("/", routes![live, ready])
        .register("/", catch_all())
}

fn catch_all() -> Vec<Catcher> {
    catchers![not_found]
}

#[catch(default)]
fn not_found(_status: rocket::http::Status, request: &Request<'_>) -> Reply {
    reply::failure(&Failure::Path {
        path: request.uri().path().to_string(),
    })
}

#[get("/health/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/health/ready")]
fn ready(router: &State<Arc<Router>>) -> (rocket::http::Status, &'static str) {
    match router.is_ready() {
        true => (rocket::http::Status::Ok, "ready\n"),
        false => (rocket::http::Status::ServiceUnavailable, "not ready\n"),
    }
}
