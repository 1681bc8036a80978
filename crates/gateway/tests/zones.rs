//! Tests of the preference of requests for their availability zone.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, looks_complete, settings, source, wait_until_serving};
use rstest::rstest;

/// The number of prompts. By hashing alone, half of them are at home in either zone.
const PROMPTS: usize = 24;

/// Requests leave their zone although operators have set a cost for that, or stay there without one.
#[rstest]
#[case::cost(1.0)]
#[case::no_cost(0.0)]
#[tokio::test]
async fn verify_requests_stay_in_their_zone_at_a_cost(#[case] cost: f64) {
    let mut settings = settings();
    settings.bounds.crossing.crossing_per_gb = cost;
    let here = MockTarget::start(Behaviour::Answer).await;
    let elsewhere = MockTarget::start(Behaviour::Answer).await;
    let mut targets = vec![
        announcement("here", &here.address.to_string()),
        announcement("elsewhere", &elsewhere.address.to_string()),
    ];
    targets[0].target.zone = settings.zone.clone();
    targets[1].target.zone = "z9".into();
    let gateway = harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    for prompt in 0..PROMPTS {
        let headers = format!("x-prompt: p{prompt}:900\r\n");
        let request = harness::request("POST", "/unsafe/", &headers, "body");
        let answer = exchange(settings.caller_address, &request).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    let choices = &gateway.metrics.zone_choices;
    let stays = choices.with_label_values(&["stay"]).get();
    let bytes = gateway.metrics.crossing_bytes.get();
    match cost > 0.0 {
        true => {
            assert_eq!((here.request_count(), elsewhere.request_count()), (24, 0));
            assert_eq!((stays, bytes), (24, 0));
        }
        false => {
            assert!(elsewhere.request_count() > 0);
            assert_eq!((stays, bytes), (0, 4 * elsewhere.request_count() as u64));
        }
    }
}
