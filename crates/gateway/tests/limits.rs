//! Tests of targets that state how many requests a second they take, in a fleet of gateways.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use fleet::{catalog_of, Store};
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, request, wait_until_serving};
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Topic};
use tokio::time;

/// The limit that the target states, in requests a second.
const LIMIT_PER_S: f64 = 2.0;

/// The users' time from the first statement of a limit to the time from which it is kept.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The window in which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);

/// The time for which requests are sent, and the pause between two of them.
const LOAD_TIME: Duration = Duration::from_secs(9);
const PAUSE: Duration = Duration::from_millis(20);

/// The users' bound on the requests in one window.
fn arrivals_max() -> usize {
    (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the largest number of arrivals in one window that begins after `from`.
fn most_in_a_window(arrivals: &[Instant], from: Instant) -> usize {
    let counted = arrivals.iter().filter(|at| **at >= from);
    let in_window = |begin: &Instant| {
        let end = *begin + WINDOW;
        arrivals
            .iter()
            .copied()
            .filter(|at| (*begin..end).contains(at))
            .count()
    };
    counted.map(in_window).max().unwrap_or_default()
}

/// One of two targets states a limit to three gateways.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_target_gets_no_more_requests_than_its_stated_limit() {
    let store = Store::default();
    let limited = MockTarget::start(Behaviour::Limit("2.0")).await;
    let free = MockTarget::start(Behaviour::Answer).await;
    for (id, target) in [("t0", &limited), ("t1", &free)] {
        let target = announcement(id, &target.address.to_string());
        store.put(Topic::Targets, id, Some(Fact::Target(target)));
    }
    let definition = harness::definition();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    let mut gateways = Vec::new();
    for name in ["g0", "g1", "g2"] {
        let settings = Settings {
            name: name.into(),
            ..harness::settings()
        };
        let (caller, ready) = (settings.caller_address, settings.ready_address);
        let source = store.source(&settings.name);
        harness::spawn(settings, source);
        wait_until_serving(caller, ready).await;
        gateways.push(caller);
    }
    let begin = Instant::now();
    let mut served = 0;
    for number in 0.. {
        if begin.elapsed() > LOAD_TIME {
            break;
        }
        let answer = exchange(gateways[number % 3], &request("GET", "/safe/", "", "")).await;
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
        time::sleep(PAUSE).await;
    }
    assert!(served > free.request_count() / 2);
    let arrivals = limited.observed.lock().arrivals.clone();
    let most = most_in_a_window(&arrivals, arrivals[0] + STABLE_WINDOW);
    assert!(most <= arrivals_max(), "{most} requests in a window");
    assert!(most >= 1, "the target is not used at all");
}
