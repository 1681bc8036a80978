//! The entry: the HTTP server that accepts requests from callers and returns the answers to them.

pub mod chat;
pub mod concurrency;
pub mod errors;
pub mod forwarding;
pub mod ledger;
pub mod reply;
pub mod request;
pub mod service;

use rocket::http::Method;
use rocket::{catch, catchers, route, Build, Catcher, Data, Request, Rocket, Route};
use sardinemux_core::target::Kind;
use sardinemux_host::body::{self, Body};
use sardinemux_host::reply::Reply;
use sardinemux_host::{monitoring, server};

use crate::prelude::*;
use errors::Failure;

/// The HTTP methods that `/services` accepts.
const SERVICE_METHODS: [Method; 5] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
];

/// The request handler for one kind of target.
#[derive(Clone)]
struct Handler {
    router: Arc<Router>,
    kind: Kind,
}

#[rocket::async_trait]
impl route::Handler for Handler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> route::Outcome<'r> {
        let mut body = Body::new(data, self.router.settings.body_max_bytes);
        let result = match self.kind {
            // Without a current configuration and target list, valid keys and names would be rejected as unknown.
            _ if !self.router.can_serve() => Err(Failure::not_ready()),
            Kind::Engine => chat::serve(&self.router, request, &mut body).await,
            Kind::Service => service::serve(&self.router, request, &mut body).await,
        };
        match result {
            Ok(reply) => route::Outcome::from(request, reply),
            Err(failure) => {
                let reply = reply::from_failure(&failure);
                route::Outcome::from(request, body.answer(reply))
            }
        }
    }
}

/// Builds the HTTP server for callers, with the chat, service and health routes.
pub fn build_server(router: Arc<Router>) -> Rocket<Build> {
    let settings = server::Settings {
        address: router.settings.entry_address,
        ..server::Settings::default()
    };
    let handler = |kind| Handler {
        router: router.clone(),
        kind,
    };
    let chats = handler(Kind::Engine);
    let services = handler(Kind::Service);
    let mut routes = vec![Route::new(Method::Post, "/v1/chat/completions", chats)];
    routes.push(body::get_route("/health/live", monitoring::reply_live));
    routes.push(body::get_route("/health/ready", reply_ready));
    routes.extend(
        SERVICE_METHODS
            .map(|method| Route::new(method, "/services/<name>/<path..>", services.clone())),
    );
    server::build(settings)
        .manage(router)
        .mount("/", routes)
        .mount("/", body::refuse_others(refuse_path))
        .register("/", catch_all())
}

fn catch_all() -> Vec<Catcher> {
    catchers![not_found]
}

/// Refuses what the server library itself rejects, such as a method that it does not know.
#[catch(default)]
fn not_found(_status: rocket::http::Status, request: &Request<'_>) -> Reply {
    refuse_path(request)
}

fn refuse_path(request: &Request<'_>) -> Reply {
    reply::from_failure(&Failure::UnknownPath {
        path: request.uri().path().to_string(),
    })
}

fn reply_ready(request: &Request<'_>) -> Reply {
    let router = request.rocket().state::<Arc<Router>>();
    monitoring::reply_readiness(router.is_some_and(|router| router.is_ready()))
}
