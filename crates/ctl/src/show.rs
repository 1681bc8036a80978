//! The output of responses, as a table or as JSON.

use serde::Serialize;
use serde_json::Value;

/// The least number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    println!("{text}");
}

/// Prints a list of objects as a table with one row each, whose columns are those of the first object. A single object
/// becomes a table of its names and values. Prints `(none)` for an empty list or object.
pub fn print_table(value: &Value) {
    let rows: Vec<Vec<(String, String)>> = match value {
        Value::Array(items) => items.iter().map(row_cells).collect(),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| {
                vec![
                    ("name".to_owned(), name.clone()),
                    ("value".to_owned(), cell_text(value)),
                ]
            })
            .collect(),
        other => vec![vec![("value".to_owned(), cell_text(other))]],
    };
    let Some(first) = rows.first() else {
        println!("(none)");
        return;
    };
    let headers: Vec<String> = first.iter().map(|(name, _)| name.to_uppercase()).collect();
    let body: Vec<Vec<String>> = rows
        .iter()
        .map(|row| row.iter().map(|(_, value)| value.clone()).collect())
        .collect();
    let widths: Vec<usize> = (0..headers.len())
        .map(|column| {
            let cells = body.iter().filter_map(|row| row.get(column));
            let longest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
            longest.max(headers[column].chars().count()) + COLUMN_GAP
        })
        .collect();
    for row in std::iter::once(&headers).chain(&body) {
        let line: String = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        println!("{}", line.trim_end());
    }
}

/// Returns the column names and cells of one row.
fn row_cells(item: &Value) -> Vec<(String, String)> {
    match item {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| (name.clone(), cell_text(value)))
            .collect(),
        other => vec![("value".to_owned(), cell_text(other))],
    }
}

/// Returns the text of a cell.
fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
