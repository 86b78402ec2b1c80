//! Lines by least squares.

use serde::Serialize;

/// A line through measured points.
#[derive(Copy, Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The change of the value with one unit of the size.
    pub slope: f64,
    /// The value at the size 0.
    pub intercept: f64,
    /// The share of the variance of the values that the line explains.
    pub r2: f64,
}

impl Line {
    /// Fits a line by least squares. Points of a single size give a level line through their mean.
    pub fn fit(points: &[(f64, f64)]) -> Line {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sum = |f: &dyn Fn(f64, f64) -> f64| {
            points.iter().map(|(x, y)| f(x - mean_x, y - mean_y)).sum::<f64>()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        // Values that do not change lie on the line exactly.
        let r2 = if xx > 0.0 && yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
        Line { slope, intercept: mean_y - slope * mean_x, r2 }
    }

    /// Returns the value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
