//! One line of a log.

use indexmap::IndexMap;
use serde_json::Value;
use smol_str::SmolStr;

/// A line that could be read.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Where it comes from: what a collector wrote before it, or its file.
    pub source: SmolStr,
    /// The time of day at its instance, in Unix milliseconds.
    pub time_ms: u64,
    /// What happened.
    pub event: SmolStr,
    /// Everything else that it says.
    pub fields: IndexMap<SmolStr, Value>,
}

impl Line {
    /// Reads a line; nothing if it is no line of a structured log. Collectors may write a time and the name of an instance
    /// before it; the last word counts as the source.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_explain::line::Line;
    ///
    /// let line = Line::parse("12.5 g1 {\"event\":\"answered\",\"time_ms\":7,\"status\":200}", "all.log").unwrap();
    /// assert_eq!(line.source, "g1");
    /// assert_eq!(line.event, "answered");
    /// assert_eq!(line.number("status"), Some(200));
    /// assert!(Line::parse("nothing", "all.log").is_none());
    /// ```
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (before, json) = text.split_at(start);
        let mut fields: IndexMap<SmolStr, Value> = serde_json::from_str(json.trim_end()).ok()?;
        let source = before.split_whitespace().last().unwrap_or(file);
        let event = fields.shift_remove("event")?;
        let time_ms = fields.shift_remove("time_ms");
        Some(Self {
            source: source.into(),
            time_ms: time_ms.and_then(|time| time.as_u64()).unwrap_or_default(),
            event: event.as_str()?.into(),
            fields,
        })
    }

    /// Returns a field that is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}
