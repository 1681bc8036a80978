//! The tables, the CSV and the charts of the capacity page.

use std::path::Path;

use snafu::ResultExt;

use super::{Measured, Times};
use crate::chart::{self, Chart};
use crate::errors::{IoSnafu, Result};

/// Writes the series as CSV.
pub fn csv(measured: &Measured) -> String {
    let mut text = String::from("series,size,value,unit\n");
    for series in &measured.series {
        for point in &series.points {
            text.push_str(&format!(
                "\"{} ({})\",{},{:.4},{}\n",
                series.name, series.size, point.size, point.value, series.unit
            ));
        }
    }
    text
}

/// Writes the tables of the capacity page in Markdown.
pub fn tables(measured: &Measured) -> String {
    let mut text = String::from(
        "| measured | for each | unit | sizes | at zero | one more adds | fit (R2) | spread |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for series in &measured.series {
        let line = series.line();
        let sizes: Vec<String> = series
            .points
            .iter()
            .map(|point| format!("{}", point.size))
            .collect();
        text.push_str(&format!(
            "| {} | {} | {} | {} | {:.3} | {:.6} | {:.3} | {:.3} |\n",
            series.name,
            series.size,
            series.unit,
            sizes.join(", "),
            line.base,
            line.slope,
            line.fit,
            line.spread
        ));
    }
    let row = |name: &str, times: Times| {
        format!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} |\n",
            times.p50, times.p95, times.p99, times.max
        )
    };
    text.push_str("\n| time, ms | p50 | p95 | p99 | longest |\n|---|---|---|---|---|\n");
    text.push_str(&row("service call, direct", measured.hop.direct));
    text.push_str(&row(
        "service call, by entry and owner",
        measured.hop.routed,
    ));
    text.push_str(&row("change in force on 8 routers", measured.spread.whole));
    text.push_str(&row(
        "the same, platform down right after acceptance",
        measured.spread.outage,
    ));
    text.push_str(&format!(
        "\nOne change costs {:.0} control bytes on 8 routers together, beyond the idle traffic.\n",
        measured.spread.bytes
    ));
    text
}

/// The marks in the capacity page between which the tables stand.
pub const MARKS: [&str; 2] = ["<!-- measured: begin -->", "<!-- measured: end -->"];

/// Writes the series, the charts and, between [`MARKS`], the tables of the capacity page.
///
/// # Errors
///
/// `Error::Io` or `Error::Chart` if a file cannot be written.
pub fn write(measured: &Measured, page: &Path) -> Result<()> {
    let folder = page.with_extension("").with_file_name("capacity");
    let io = |path: &Path| {
        let what = path.display().to_string();
        IoSnafu { what }
    };
    std::fs::create_dir_all(&folder).context(io(&folder))?;
    let file = folder.join("slopes.csv");
    std::fs::write(&file, csv(measured)).context(io(&file))?;
    for (index, series) in measured.series.iter().enumerate() {
        let points = series.points.iter();
        let line = series.line();
        let fitted = series.points.iter();
        let chart = Chart {
            title: series.name.to_owned(),
            across: series.size.to_owned(),
            up: series.unit.to_owned(),
            lines: vec![
                chart::Line {
                    name: "measured".to_owned(),
                    points: points.map(|point| (point.size, point.value)).collect(),
                },
                chart::Line {
                    name: "line".to_owned(),
                    points: fitted
                        .map(|point| (point.size, line.at(point.size)))
                        .collect(),
                },
            ],
        };
        chart::draw(&chart, &folder.join(format!("series-{index}.svg")))?;
    }
    let text = std::fs::read_to_string(page).context(io(page))?;
    let begin = text.find(MARKS[0]).map(|at| at + MARKS[0].len());
    let end = text.find(MARKS[1]);
    if let (Some(begin), Some(end)) = (begin, end) {
        let text = format!("{}\n{}{}", &text[..begin], tables(measured), &text[end..]);
        std::fs::write(page, text).context(io(page))?;
    }
    Ok(())
}
