//! The gateway's log on a standard output that nobody reads.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Read;
use std::process::{Command, Stdio};
use std::time::Duration;

use sardinemux_proof::client::until;
use sardinemux_proof::gateways::caller::{Caller, Kind, Told};
use sardinemux_proof::gateways::load::EVENTS;
use sardinemux_proof::gateways::operator::KEY;
use sardinemux_proof::gateways::{Fleet, Settings};
use serde_json::Value;
use tokio::time;

/// Requests, far more than the rate of each kind of line lets pass in the seconds that they take.
const REQUESTS: usize = 3_000;

/// Longer than the second in which lines of one kind are counted.
const NEXT_SECOND: Duration = Duration::from_millis(1_200);

fn count(lines: &[Value], event: &str) -> usize {
    let of_kind = lines.iter().filter(|line| line["event"] == event);
    let with_left_out = of_kind.map(|line| 1 + line["left_out"].as_u64().unwrap_or(0));
    with_left_out.sum::<u64>() as usize
}

/// Nobody reads the log. Every request is answered all the same, and afterwards the log accounts for each one: it is
/// written, or counted as left out or as dropped.
#[tokio::test]
async fn verify_unread_log_holds_up_nothing_and_loses_no_count() {
    let settings = Settings {
        gateways: 1,
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    let place = fleet.gateways[0].clone();
    fleet.kill(&place.name);
    let file = fleet.write_settings(0, 8_000).unwrap();
    let mut program = std::env::current_exe().unwrap();
    program.pop();
    if program.ends_with("deps") {
        program.pop();
    }
    let mut child = Command::new(program.join("sardinemux-front"))
        .args(["--settings", &file])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    until("readiness", || fleet.is_ready(0)).await.unwrap();
    let mut allowed = Caller::new(0, place.callers, KEY, EVENTS);
    let mut denied = Caller::new(0, place.callers, "no key", EVENTS);
    let mut calls = 0;
    while calls < REQUESTS {
        for _ in 0..20 {
            assert_eq!(
                denied.call(Kind::Read, 0).await.told,
                Told::Failed { status: 401 }
            );
        }
        assert_eq!(allowed.call(Kind::Read, 0).await.told, Told::Whole);
        calls += 21;
    }
    let mut output = child.stdout.take().unwrap();
    let reading = std::thread::spawn(move || {
        let mut text = String::new();
        output.read_to_string(&mut text).unwrap();
        text
    });
    // The next line of each kind says how many were left out before it.
    time::sleep(NEXT_SECOND).await;
    denied.call(Kind::Read, 0).await;
    allowed.call(Kind::Read, 0).await;
    time::sleep(NEXT_SECOND).await;
    child.kill().unwrap();
    child.wait().unwrap();
    let text = reading.join().unwrap();
    let lines: Vec<Value> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let dropped = lines
        .iter()
        .filter(|line| line["event"] == "log lines dropped");
    let dropped: u64 = dropped.map(|line| line["count"].as_u64().unwrap()).sum();
    let known = count(&lines, "answered") + count(&lines, "rejected") + dropped as usize;
    assert_eq!(known, calls + 2);
    assert!(lines.len() < calls, "nothing was left out");
}
