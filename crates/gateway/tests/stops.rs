//! Tests of requests that arrive while a gateway stops.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use harness::mock::{Behaviour, MockTarget};
use harness::{
    announcement, definition, exchange, header, request, settings, source_of, spawn,
    wait_until_serving,
};
use rstest::rstest;
use sardinemux_gateway::drain::Phase;
use sardinemux_gateway::prelude::Gateway;
use sardinemux_gateway::settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::time;

/// The time limit for the start of a process. It ends a hanging test; no result depends on it.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The time limit for an answer. It ends a hanging test; no result depends on it.
const PATIENCE: Duration = Duration::from_secs(20);

/// The grace period of the gateway that is stopped by a signal, in milliseconds.
const GRACE_MS: u64 = 4_000;

/// Names the file to which the process of a gateway writes its address, and the address of its target.
const ADDRESS_FILE: &str = "STOPS_ADDRESS_FILE";
const TARGET: &str = "STOPS_TARGET";

async fn start(behaviour: Behaviour) -> (Arc<Gateway>, Settings, MockTarget) {
    let target = MockTarget::start(behaviour).await;
    let targets = vec![announcement("t0", &target.address.to_string())];
    let settings = settings();
    let gateway = spawn(settings.clone(), source_of(targets, Some(definition())));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    (gateway, settings, target)
}

fn verify_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(header(answer, "retry-after").is_some(), "{answer}");
    assert_eq!(header(answer, "connection").as_deref(), Some("close"));
}

/// A request that a stopping gateway takes late is cut at the end of the grace period.
#[rstest]
#[case::not_begun(0.0)]
#[case::head_begun(0.2)]
#[case::body_begun(0.9)]
#[tokio::test]
async fn verify_request_on_an_open_connection_of_a_closing_gateway_is_refused(
    #[case] share: f64,
    #[values("/safe/", "/unsafe/")] path: &str,
) {
    let (gateway, settings, target) = start(Behaviour::Answer).await;
    let text = request("POST", path, "", &"p".repeat(200));
    let (begun, rest) = text.split_at((text.len() as f64 * share) as usize);
    let mut caller = TcpStream::connect(settings.caller_address).await.unwrap();
    caller.write_all(begun.as_bytes()).await.unwrap();
    time::sleep(Duration::from_millis(50)).await;
    gateway.drain.set_phase(Phase::Leaving);
    gateway.drain.set_phase(Phase::Closing);
    time::sleep(Duration::from_millis(50)).await;
    caller.write_all(rest.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let reading = caller.read_to_string(&mut answer);
    time::timeout(PATIENCE, reading).await.unwrap().unwrap();
    // An idle connection is closed.
    if !begun.is_empty() {
        verify_refused(&answer);
    }
    assert_eq!(target.request_count(), 0);
}

/// A request on a connection that waits to be accepted when a gateway closes its own ones gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn verify_connections_that_wait_to_be_accepted_by_a_closing_gateway_are_answered() {
    const CALLERS: usize = 16;
    let target = MockTarget::start(Behaviour::Answer).await;
    let settings = settings();
    let targets = vec![announcement("t0", &target.address.to_string())];
    let source = source_of(targets, Some(definition()));
    let (freeze, frozen) = mpsc::channel::<mpsc::Receiver<()>>();
    let copy = settings.clone();
    std::thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async move {
            let gateway = spawn(copy, source);
            loop {
                time::sleep(Duration::from_millis(5)).await;
                // The whole gateway stands still until the sender is dropped.
                if let Ok(until) = frozen.try_recv() {
                    let _ = until.recv();
                    gateway.drain.set_phase(Phase::Closing);
                }
            }
        });
    });
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let (thaw, until) = mpsc::channel();
    freeze.send(until).unwrap();
    time::sleep(Duration::from_millis(50)).await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(settings.caller_address).await.unwrap();
        let text = request("POST", "/unsafe/", "", "p");
        caller.write_all(text.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    drop(thaw);
    for mut caller in callers {
        let mut answer = String::new();
        let reading = caller.read_to_string(&mut answer);
        time::timeout(PATIENCE, reading).await.unwrap().unwrap();
        verify_refused(&answer);
    }
    assert_eq!(target.request_count(), 0);
}

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The gateway that the next test stops, in a process of its own.
#[tokio::test]
async fn run_gateway() {
    let (Ok(file), Ok(target)) = (std::env::var(ADDRESS_FILE), std::env::var(TARGET)) else {
        return;
    };
    // Processes whose ids are next to each other search the same ports.
    harness::skip_ports(1_500);
    let mut settings = settings();
    settings.bounds.grace_ms = GRACE_MS;
    let mut definition = definition();
    for route in &mut definition.routes {
        route.timeout_ms = 60_000;
    }
    let targets = vec![announcement("t0", &target)];
    spawn(settings.clone(), source_of(targets, Some(definition)));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    std::fs::write(file, settings.caller_address.to_string()).unwrap();
    time::sleep(Duration::from_secs(60)).await;
}

/// A request that is still running at the end of the grace period ends without an answer.
#[tokio::test]
async fn verify_request_that_runs_at_the_end_of_the_grace_period_is_answered() {
    let target = MockTarget::start(Behaviour::Hang).await;
    let name = format!("stops-{}", std::process::id());
    let file = std::env::temp_dir().join(name);
    let child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "run_gateway"])
        .env(ADDRESS_FILE, &file)
        .env(TARGET, target.address.to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    let mut child = Process(child.unwrap());
    let started_at = Instant::now();
    let address: SocketAddr = loop {
        let is_late = started_at.elapsed() >= START_TIMEOUT;
        assert!(!is_late, "the gateway did not start");
        time::sleep(Duration::from_millis(50)).await;
        let written = std::fs::read_to_string(&file).unwrap_or_default();
        if let Ok(address) = written.parse() {
            break address;
        }
    };
    std::fs::remove_file(&file).unwrap();
    let early = tokio::spawn(async move {
        let text = request("POST", "/unsafe/", "", "p");
        exchange(address, &text).await
    });
    while target.request_count() == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
    let mut kill = Command::new("kill");
    kill.arg("-TERM").arg(child.0.id().to_string());
    kill.status().unwrap();
    time::sleep(Duration::from_millis(GRACE_MS / 4)).await;
    let late = exchange(address, &request("POST", "/unsafe/", "", "p")).await;
    for answer in [early.await.unwrap(), late] {
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer:?}");
        assert!(answer.ends_with("not_ready\n"), "{answer:?}");
    }
    child.0.wait().unwrap();
}
