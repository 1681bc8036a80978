//! A parsed line of a structured log.

use indexmap::IndexMap;
use serde_json::Value;
use smol_str::SmolStr;

/// One line of a structured log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The origin of the line: the name that a collector wrote in front of it, or else the path of its file.
    pub source: SmolStr,
    /// The wall-clock time of its instance, in Unix milliseconds; 0 if the line has none.
    pub time_ms: u64,
    /// The text of the event.
    pub event: SmolStr,
    /// All other fields, in the order of the line.
    pub fields: IndexMap<SmolStr, Value>,
}

impl Line {
    /// Parses a line, or returns `None` if it is not a line of a structured log. Collectors may write a time and the
    /// name of an instance in front of the JSON object; the last word there is taken as the source.
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

    /// Returns the value of a field if it is a string.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of a field if it is a whole number from 0 up.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}
