//! Straight lines through measurements.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// What was measured at it.
    pub value: f64,
}

/// A straight line through measurements, by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// The value at size zero.
    pub base: f64,
    /// What one more adds.
    pub slope: f64,
    /// The part of the variance that the line explains, from 0 to 1.
    pub fit: f64,
    /// The largest distance of a measurement from the line.
    pub spread: f64,
}

impl Line {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Lays a line through measurements.
///
/// # Examples
///
/// ```
/// use sardinemux_proof::slope::{fit, Point};
///
/// let points = [1.0, 2.0, 3.0].map(|size| Point { size, value: 5.0 + 2.0 * size });
/// let line = fit(&points);
/// assert!((line.slope - 2.0).abs() < 1e-9);
/// assert!((line.at(10.0) - 25.0).abs() < 1e-9);
/// ```
pub fn fit(points: &[Point]) -> Line {
    let count = points.len().max(1) as f64;
    let mean = |pick: fn(&Point) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let mean_size = mean(|point| point.size);
    let mean_value = mean(|point| point.value);
    let mut across = 0.0;
    let mut both = 0.0;
    let mut total = 0.0;
    for point in points {
        let size = point.size - mean_size;
        let value = point.value - mean_value;
        across += size * size;
        both += size * value;
        total += value * value;
    }
    let slope = match across > 0.0 {
        true => both / across,
        false => 0.0,
    };
    let base = mean_value - slope * mean_size;
    let residual = |point: &Point| point.value - base - slope * point.size;
    let unexplained: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
    Line {
        base,
        slope,
        fit: match total > 0.0 {
            true => 1.0 - unexplained / total,
            false => 1.0,
        },
        spread: points
            .iter()
            .map(|point| residual(point).abs())
            .fold(0.0, f64::max),
    }
}
