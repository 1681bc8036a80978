//! Tests of which lines make up the timeline of a request.

use rstest::rstest;
use sardinemux_explain::line::Line;
use sardinemux_explain::timeline;

/// The lines of two gateways. At g1, request r1 is refused after target t1 has left and the store was lost. Request r2
/// at g1 counts only as another outcome at t1; target t9 and gateway g2 are not part of the timeline.
const LINES: [&str; 10] = [
    r#"0.1 g1 {"event":"store lost","level":"warn","time_ms":1000,"topic":"targets"}"#,
    r#"0.2 g1 {"event":"target announced","target_id":"t1","time_ms":9000}"#,
    r#"0.3 g1 {"event":"target is no longer listed","target_id":"t1","time_ms":9500}"#,
    r#"0.4 g1 {"event":"target is no longer listed","target_id":"t9","time_ms":9500}"#,
    r#"0.5 g1 {"event":"attempt failed","request_id":"r1","target_id":"t1","reason":"refused","time_ms":10000}"#,
    r#"0.6 g1 {"event":"answered","request_id":"r1","status":503,"target_id":"t1","time_ms":10010,"left_out":4}"#,
    r#"0.7 g1 {"event":"answered","request_id":"r2","status":200,"target_id":"t1","time_ms":10020}"#,
    r#"0.8 g2 {"event":"store lost","time_ms":10000}"#,
    r#"0.9 g1 {"event":"store regained","time_ms":10500,"away_ms":9500}"#,
    "a line of something else",
];

fn lines() -> Vec<Line> {
    let lines = LINES.iter().filter_map(|text| Line::parse(text, "all.log"));
    lines.collect()
}

#[rstest]
#[case::refused("r1", &["target announced", "target is no longer listed", "attempt failed", "answered", "store regained"])]
#[case::unknown("r3", &[])]
fn verify_timeline_has_the_events_that_explain_the_request(
    #[case] id: &str,
    #[case] expected: &[&str],
) {
    let timeline = timeline::build(id, lines());
    let events: Vec<&str> = timeline
        .lines
        .iter()
        .map(|line| line.event.as_str())
        .collect();
    assert_eq!(events, expected);
    let is_other = |line: &Line| line.source == "g2" || line.text("target_id") == Some("t9");
    assert!(!timeline.lines.iter().any(is_other));
    let answered: usize = timeline.tallies.iter().map(|tally| tally.answered).sum();
    assert_eq!(answered, usize::from(!expected.is_empty()));
}

#[test]
fn verify_timeline_reports_suppressed_lines() {
    let text = timeline::build("r1", lines()).to_string();
    assert!(text.contains("*      +0 ms  g1  attempt failed"), "{text}");
    assert!(
        text.contains("4 lines of these gateways were left out"),
        "{text}"
    );
}
