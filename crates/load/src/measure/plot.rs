//! Plots of measured points with the line through them.

use std::fmt::Display;
use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, SVGBackend, WHITE,
};

use crate::fleet::FleetError;
use crate::measure::fit::Fit;

const SIZE: (u32, u32) = (480, 300);

/// Room above the highest point, as a share of it.
const HEADROOM: f64 = 1.1;

/// Texts of a plot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Labels<'a> {
    pub(crate) title: &'a str,
    pub(crate) x: &'a str,
    pub(crate) y: &'a str,
}

/// Draws points and line as SVG.
pub(crate) fn draw(
    path: &Path,
    labels: Labels<'_>,
    points: &[(f64, f64)],
    fit: Fit,
) -> Result<(), FleetError> {
    let failed = |error: &dyn Display| FleetError::Io(format!("{}: {error}", path.display()));
    let right = points.iter().map(|it| it.0).fold(0.0, f64::max) * HEADROOM;
    let top = points
        .iter()
        .map(|it| it.1)
        .fold(f64::MIN_POSITIVE, f64::max)
        * HEADROOM;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|it| failed(&it))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|it| failed(&it))?;
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .draw()
        .map_err(|it| failed(&it))?;
    let ends = [0.0, right].map(|x| (x, fit.at(x).clamp(0.0, top)));
    chart
        .draw_series(LineSeries::new(ends, BLUE))
        .map_err(|it| failed(&it))?;
    let dots = points.iter().map(|it| Circle::new(*it, 3, BLACK.filled()));
    chart.draw_series(dots).map_err(|it| failed(&it))?;
    area.present().map_err(|it| failed(&it))
}
