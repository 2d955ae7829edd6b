//! Plot of the share of worth earned, by second of arrival, as an SVG.

use super::tally::Tally;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (900, 300);

/// Draws the plot.
///
/// # Errors
///
/// Returns the error of the drawing library.
pub fn draw(path: &Path, tally: &Tally) -> Result<(), String> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|err| err.to_string())?;
    let seconds = tally.by_second.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)
        .map_err(|err| err.to_string())?;
    chart
        .configure_mesh()
        .x_desc("second in which callers came")
        .y_desc("share earned")
        .draw()
        .map_err(|err| err.to_string())?;
    let points = tally.by_second.iter().enumerate().map(|(s, counts)| (s as f64, counts.share()));
    chart.draw_series(LineSeries::new(points, &BLUE)).map_err(|err| err.to_string())?;
    root.present().map_err(|err| err.to_string())
}
