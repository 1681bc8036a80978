//! Tests of the command `check`, as an operator runs it.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use rstest::rstest;
use sardinemux_platform::store::{Change, Store};
use sardinemux_standin::platform::{self, Settings};
use tokio::{task, time};

const SOUND: &str = r#"{"Version": 7, "Routes": [{"Name": "a", "Host": "h.example", "PathPrefix": "/a/", "Kind": "safe",
    "TimeoutMs": 800, "TargetLatencyMs": 300, "Service": "p", "MaxAttempts": 2}],
    "Services": [{"Name": "p", "MaxConnections": 100}], "Tenants": [{"Name": "o", "ApiKeys": ["k1"]}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}"#;

fn write(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = folder.join(name);
    std::fs::write(&file, text).unwrap();
    file
}

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_sardinemux-ctl");
    Command::new(program).args(arguments).output().unwrap()
}

/// The exit status decides whether a script sends the desired state.
#[rstest]
#[case::sound("sound", SOUND.into(), 0, "(none)")]
#[case::contradiction("late", SOUND.replace("800", "200"), 0, "contradiction")]
#[case::error("pool", SOUND.replace(r#""Service": "p""#, r#""Service": "q""#), 1, "no pool q")]
#[case::no_json("broken", SOUND[1..].into(), 2, "")]
#[case::wrong_type("type", SOUND.replace("800", "\"soon\""), 2, "")]
fn verify_exit_status(
    #[case] name: &str,
    #[case] text: String,
    #[case] status: i32,
    #[case] message: &str,
) {
    let file = write(name, &text);
    let output = run(&["check", file.to_str().unwrap()]);
    let printed = String::from_utf8(output.stdout.clone()).unwrap();
    assert_eq!(output.status.code(), Some(status), "{output:?}");
    assert!(printed.contains(message), "{output:?}");
}

/// A missing file, or options that exclude each other, must not pass for a desired state with errors.
#[rstest]
#[case::no_file(&["check"])]
#[case::absent(&["check", "absent.json"])]
#[case::two_references(&["check", "a", "--against", "b", "--store", "127.0.0.1:1"])]
#[case::no_address(&["load"])]
fn verify_wrong_use_has_a_status_of_its_own(#[case] arguments: &[&str]) {
    assert_eq!(run(arguments).status.code(), Some(2));
}

/// The differences show each changed field, and no key.
#[test]
fn verify_differences_from_the_version_in_force() {
    let former = write("former", SOUND);
    let text = SOUND.replace("800", "900").replace("k1", "k2");
    let later = write("later", &text.replace(r#""Version": 7"#, r#""Version": 9"#));
    let (former, later) = (former.to_str().unwrap(), later.to_str().unwrap());
    let output = run(&["--json", "check", later, "--against", former]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{report}");
    let rows = report["differences"].as_array().unwrap();
    let fields: Vec<&str> = rows
        .iter()
        .map(|row| row["field"].as_str().unwrap())
        .collect();
    assert_eq!(fields, ["timeout_ms", "key_digests"]);
    assert_eq!(
        (&rows[0]["former"], &rows[0]["later"]),
        (&800.into(), &900.into())
    );
    assert!(!report.to_string().contains("k2"));
}

/// Gateways ignore a version that is not after the one in force.
#[test]
fn verify_version_that_is_in_force_is_an_error() {
    let file = write("same", SOUND);
    let file = file.to_str().unwrap();
    assert_eq!(
        run(&["check", file, "--against", file]).status.code(),
        Some(1)
    );
}

/// The store is read by the gateways' own client, and another one would not find the state or read it differently.
#[tokio::test(flavor = "multi_thread")]
async fn verify_differences_from_the_store() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let settings = Settings {
        address,
        list_lag_ms: 0,
    };
    tokio::spawn(platform::run(settings));
    let store = Store::new(address, Duration::from_secs(2));
    while store.read_table("op").await.is_err() {
        time::sleep(Duration::from_millis(20)).await;
    }
    let state = Change {
        table: "op",
        key: "config",
        expected_version: None,
        value: Some(SOUND.as_bytes()),
    };
    store.write_row(state).await.unwrap();
    let text = SOUND.replace(r#""Version": 7"#, r#""Version": 8"#);
    let file = write("next", &text.replace("800", "700"));
    let address = address.to_string();
    let check = move || run(&["check", file.to_str().unwrap(), "--store", &address]);
    let output = task::spawn_blocking(check).await.unwrap();
    let printed = String::from_utf8(output.stdout.clone()).unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(printed.contains("differences from version 7"), "{printed}");
    assert!(printed.contains("timeout_ms"), "{printed}");
}
