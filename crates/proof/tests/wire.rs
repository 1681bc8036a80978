//! What goes over the sockets, and what the programs say of wrong settings.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::process::Command;
use std::time::Duration;

use rstest::rstest;
use sardinemux_proof::fleet::{Fleet, Settings};

/// The counted bytes may be at most this part under those on the socket.
const TOLERANCE: f64 = 0.05;

/// The routers' own count of control traffic, which is held against their budget, is not under what
/// crosses the sockets, HTTP included.
#[tokio::test]
async fn verify_control_traffic_is_counted_as_on_the_socket() {
    let settings = Settings {
        routers: 4,
        engines: 4,
        services: 1,
        has_proxy: true,
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    let mut counted = [0.0; 2];
    let mut crossed = [0.0; 2];
    for round in 0..2 {
        for router in &fleet.routers {
            let bytes = fleet.bytes(router.listed).await.unwrap();
            crossed[round] += (bytes.up + bytes.down) as f64;
            let all = fleet.metric(router, "sardinemux_control_bytes_total").await;
            counted[round] += all.unwrap();
        }
        for engine in &fleet.engines {
            let address = engine.target.address.parse().unwrap();
            let bytes = fleet.bytes(address).await.unwrap();
            // Reports are counted by the router alone; what routers exchange, by both.
            crossed[round] += (bytes.up + bytes.down) as f64 / 2.0;
        }
        if round == 0 {
            tokio::time::sleep(Duration::from_secs(8)).await;
        }
    }
    let crossed = crossed[1] - crossed[0];
    let counted = (counted[1] - counted[0]) / 2.0;
    assert!(crossed > 0.0);
    assert!(
        counted >= crossed * (1.0 - TOLERANCE),
        "{counted} counted, {crossed} crossed the sockets"
    );
}

fn binary(name: &str) -> std::path::PathBuf {
    let own = std::env::current_exe().unwrap();
    own.parent().unwrap().parent().unwrap().join(name)
}

#[rstest]
#[case::router("sardinemux-router")]
#[case::admin("sardinemux-admin")]
fn verify_wrong_settings_end_with_status_2(#[case] program: &str) {
    let folder =
        std::env::temp_dir().join(format!("sardinemux-wire-{program}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join(format!("{program}.ini"));
    std::fs::write(&file, "[peer]\ntoken = t\nperiod = 5\n").unwrap();
    let output = Command::new(binary(program))
        .args(["--check", "--settings"])
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains("period") && message.contains("5"),
        "{message}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
