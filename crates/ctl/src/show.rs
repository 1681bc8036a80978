//! How answers are shown: a table for people, or JSON.

use serde::Serialize;
use serde_json::Value;

/// The space between two columns.
const GAP: usize = 2;

/// Prints a value as JSON.
pub fn json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    println!("{text}");
}

/// Prints a list of objects, or one object, as a table.
pub fn table(value: &Value) {
    let rows: Vec<Vec<(String, String)>> = match value {
        Value::Array(items) => items.iter().map(cells).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| {
                vec![
                    ("name".to_owned(), name.clone()),
                    ("value".to_owned(), text(value)),
                ]
            })
            .collect(),
        other => vec![vec![("value".to_owned(), text(other))]],
    };
    let Some(first) = rows.first() else {
        println!("(none)");
        return;
    };
    let heads: Vec<String> = first.iter().map(|(name, _)| name.to_uppercase()).collect();
    let body: Vec<Vec<String>> = rows
        .iter()
        .map(|row| row.iter().map(|(_, value)| value.clone()).collect())
        .collect();
    let widths: Vec<usize> = (0..heads.len())
        .map(|column| {
            let cells = body.iter().filter_map(|row| row.get(column));
            let longest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
            longest.max(heads[column].chars().count()) + GAP
        })
        .collect();
    for row in std::iter::once(&heads).chain(&body) {
        let line: String = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        println!("{}", line.trim_end());
    }
}

fn cells(item: &Value) -> Vec<(String, String)> {
    match item {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| (name.clone(), text(value)))
            .collect(),
        other => vec![("value".to_owned(), text(other))],
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
