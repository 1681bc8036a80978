//! The timeline of a request: its own log lines, and the events at its gateways around the same time that concern its
//! targets, the catalogue or the dependencies of the gateways.

use std::fmt;

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::line::Line;

/// How long before the first line of a request events are included, in milliseconds: the longest time within which
/// operators expect a change to take effect.
const CONTEXT_BEFORE_MS: u64 = 6_000;

/// How long after the last line of a request events are included, in milliseconds: gateways notice the end of a target
/// a moment after its connections break.
const CONTEXT_AFTER_MS: u64 = 1_000;

/// The events of a gateway that affect all of its requests.
const GATEWAY_EVENTS: [&str; 11] = [
    "catalogue in force",
    "evacuated zones",
    "store lost",
    "store regained",
    "a gateway told nothing",
    "gateway starts",
    "gateway stops",
    "gateway ends",
    "settings reloaded",
    "the process stood still, asking anew",
    "log lines dropped",
];

/// The outcomes of other requests at a target around the same time, over all gateways. Failures at only one gateway
/// point to its path to the target; failures at all gateways point to the target itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The id of the target.
    pub target: SmolStr,
    /// The number of gateways that logged such an outcome.
    pub gateways: usize,
    /// The answers with a status from 200 to 299.
    pub answered: usize,
    /// The failed attempts by reason.
    pub failed: IndexMap<SmolStr, usize>,
}

/// The timeline of a request.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The id of the request.
    pub id: SmolStr,
    /// The lines in order of time.
    pub lines: Vec<Line>,
    /// The number of lines that its gateways suppressed or dropped around that time, as far as they logged it.
    pub suppressed_lines: u64,
    /// The outcomes of other requests at its targets.
    pub tallies: Vec<Tally>,
}

fn count_outcomes(target: &str, id: &str, lines: &[Line], range_ms: (u64, u64)) -> Tally {
    let mut tally = Tally {
        target: target.into(),
        ..Tally::default()
    };
    let mut gateways = IndexSet::new();
    let others = lines.iter().filter(|line| {
        let is_other = line.text("request_id").is_some_and(|other| other != id);
        let is_near = (range_ms.0..=range_ms.1).contains(&line.time_ms);
        is_other && is_near && line.text("target_id") == Some(target)
    });
    for line in others {
        match (line.event.as_str(), line.number("status")) {
            ("attempt failed", _) => {
                let reason = line.text("reason").unwrap_or("unknown");
                *tally.failed.entry(reason.into()).or_default() += 1;
            }
            ("answered", Some(200..=299)) => tally.answered += 1,
            _ => continue,
        }
        gateways.insert(&line.source);
    }
    tally.gateways = gateways.len();
    tally
}

/// Builds the timeline of a request from all lines. It is empty if no line is about the request.
///
/// # Examples
///
/// ```
/// use sardinemux_explain::line::Line;
/// use sardinemux_explain::timeline;
///
/// let lines = [
///     r#"{"event":"target is no longer listed","target_id":"t1","time_ms":40}"#,
///     r#"{"event":"attempt failed","request_id":"r","target_id":"t1","reason":"cut","time_ms":50}"#,
///     r#"{"event":"answered","request_id":"other","time_ms":60}"#,
/// ];
/// let lines = lines.iter().filter_map(|text| Line::parse(text, "g1.log"));
/// let timeline = timeline::build("r", lines.collect());
/// assert_eq!(timeline.lines.len(), 2);
/// ```
pub fn build(id: &str, mut lines: Vec<Line>) -> Timeline {
    lines.sort_by_key(|line| line.time_ms);
    let is_own = |line: &Line| line.text("request_id") == Some(id);
    let own: Vec<&Line> = lines.iter().filter(|line| is_own(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Timeline::default();
    };
    let from_ms = first.time_ms.saturating_sub(CONTEXT_BEFORE_MS);
    let to_ms = last.time_ms + CONTEXT_AFTER_MS;
    let sources: IndexSet<&SmolStr> = own.iter().map(|line| &line.source).collect();
    let targets: IndexSet<&str> = own
        .iter()
        .filter_map(|line| line.text("target_id"))
        .filter(|target| !target.is_empty())
        .collect();
    let is_near =
        |line: &Line| sources.contains(&line.source) && (from_ms..=to_ms).contains(&line.time_ms);
    let is_about_target = |line: &Line| {
        let target = line.text("target_id");
        line.text("request_id").is_none() && target.is_some_and(|target| targets.contains(target))
    };
    let is_gateway_event = |line: &Line| GATEWAY_EVENTS.contains(&line.event.as_str());
    let near = lines.iter().filter(|line| is_near(line));
    let suppressed = near.filter_map(|line| line.number("left_out").or(line.number("count")));
    let tallies = targets
        .iter()
        .map(|target| count_outcomes(target, id, &lines, (from_ms, to_ms)));
    Timeline {
        id: id.into(),
        suppressed_lines: suppressed.sum(),
        tallies: tallies.collect(),
        lines: lines
            .iter()
            .filter(|line| {
                is_own(line) || (is_near(line) && (is_gateway_event(line) || is_about_target(line)))
            })
            .cloned()
            .collect(),
    }
}

impl Timeline {
    fn is_own(&self, line: &Line) -> bool {
        line.text("request_id") == Some(&self.id)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines.iter().find(|line| self.is_own(line));
        let begin_ms = first.map_or(0, |line| line.time_ms);
        for line in &self.lines {
            let mark = match self.is_own(line) {
                true => '*',
                false => ' ',
            };
            let offset_ms = i128::from(line.time_ms) - i128::from(begin_ms);
            write!(
                formatter,
                "{mark} {offset_ms:>+7} ms  {}  {}",
                line.source, line.event
            )?;
            for (name, value) in &line.fields {
                if name != "level" && name != "request_id" {
                    let text = value
                        .as_str()
                        .map_or_else(|| value.to_string(), str::to_owned);
                    write!(formatter, "  {name}={text}")?;
                }
            }
            writeln!(formatter)?;
        }
        for tally in &self.tallies {
            let failed: Vec<String> = tally
                .failed
                .iter()
                .map(|(reason, count)| format!("{count} {reason}"))
                .collect();
            writeln!(
                formatter,
                "others at {}, over {} gateways: {} answered, failed: {}",
                tally.target,
                tally.gateways,
                tally.answered,
                match failed.is_empty() {
                    true => "none".to_owned(),
                    false => failed.join(", "),
                }
            )?;
        }
        if self.suppressed_lines > 0 {
            writeln!(
                formatter,
                "{} lines of these gateways were left out around this time",
                self.suppressed_lines
            )?;
        }
        Ok(())
    }
}
