//! Straight lines through measured points.

use crate::measure::as_f64;

/// The line with the least squares of the distances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth for one more of the size that varied.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Share of the variance that the line explains.
    pub r2: f64,
    /// Standard deviation of the points from the line.
    pub spread: f64,
}

impl Fit {
    /// Fits a line through sizes and values; all figures are NaN with fewer than two sizes.
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = as_f64(points.len() as u64);
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
        let sum = |f: &dyn Fn(f64, f64) -> f64| -> f64 {
            let each = points.iter().map(|(x, y)| f(x - mean_x, y - mean_y));
            each.sum()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        let slope = xy / xx;
        let rest = sum(&|x, y| (y - slope * x).powi(2));
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r2: if yy == 0.0 { 1.0 } else { 1.0 - rest / yy },
            spread: (rest / count).sqrt(),
        }
    }

    /// The line's value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
