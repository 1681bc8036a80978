//! Charts of what was measured.

use std::path::Path;

use plotters::prelude::*;

use crate::errors::{Error, Result};

/// The size of a chart, in pixels.
const SIZE: (u32, u32) = (640, 400);

/// A line of a chart.
#[derive(Clone, Debug)]
pub struct Line {
    /// What it shows.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// A chart.
#[derive(Clone, Debug)]
pub struct Chart {
    /// The title.
    pub title: String,
    /// What the horizontal axis shows.
    pub across: String,
    /// What the vertical axis shows.
    pub up: String,
    /// The lines.
    pub lines: Vec<Line>,
}

fn failed(error: &dyn std::error::Error) -> Error {
    let message = error.to_string();
    Error::Chart { message }
}

/// Draws a chart as an SVG file.
///
/// # Errors
///
/// `Error::Chart` if the file cannot be written.
pub fn draw(chart: &Chart, file: &Path) -> Result<()> {
    let points = || chart.lines.iter().flat_map(|line| &line.points);
    let most = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(1e-9, f64::max) * 1.05;
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut context = ChartBuilder::on(&area)
        .caption(&chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..most(|point| point.0), 0.0..most(|point| point.1))
        .map_err(|error| failed(&error))?;
    context
        .configure_mesh()
        .x_desc(&chart.across)
        .y_desc(&chart.up)
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, line) in chart.lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        context
            .draw_series(LineSeries::new(line.points.iter().copied(), &colour))
            .map_err(|error| failed(&error))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        let dots = line
            .points
            .iter()
            .map(|point| Circle::new(*point, 3, colour.filled()));
        context.draw_series(dots).map_err(|error| failed(&error))?;
    }
    context
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
