//! The delivery record of a quarter as one self-contained HTML page for customers, with a
//! plot.

use super::record::{PROMISED_MS, QuarterSummary, delivery_ms};
use cicadashift_wire::rpc::RecordRow;
use plotters::prelude::*;

/// Width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (860, 320);

/// Renders the page.
///
/// A plot that cannot be drawn is left out, since the table has the figures.
pub fn page(summary: &QuarterSummary, rows: &[RecordRow]) -> String {
    let times: Vec<(u64, u64)> =
        rows.iter().filter_map(|row| delivery_ms(row).map(|ms| (row.version, ms))).collect();
    let plot = plot(&times).unwrap_or_default();
    let late: String = summary
        .late
        .iter()
        .map(|(version, host, why)| {
            format!("<tr><td>{version}</td><td>{}</td><td>{}</td></tr>", escape(host), escape(why))
        })
        .collect();
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Delivery record {quarter}</title><style>body{{font-family:sans-serif;\
         max-width:60rem;margin:2rem auto}}td,th{{padding:.2rem .8rem;text-align:left}}</style>\
         </head><body><h1>Delivery record {quarter}</h1>\
         <table><tr><th>Versions accepted</th><td>{versions}</td></tr>\
         <tr><th>Deliveries within {promise} s</th><td>{kept} of {rows}</td></tr>\
         <tr><th>Median</th><td>{p50} ms</td></tr><tr><th>99 in 100 within</th><td>{p99} ms</td></tr>\
         <tr><th>Longest</th><td>{max} ms</td></tr>\
         <tr><th>Control bytes of roll-outs</th><td>{bytes}</td></tr></table>\
         <h2>Time from acceptance to in force, by version</h2>{plot}\
         <h2>Late or refused</h2><table><tr><th>Version</th><th>Host</th><th>Reason</th></tr>{late}\
         </table></body></html>\n",
        quarter = escape(&summary.quarter),
        versions = summary.versions,
        promise = PROMISED_MS / 1000,
        kept = summary.kept,
        rows = summary.rows,
        p50 = summary.p50_ms,
        p99 = summary.p99_ms,
        max = summary.max_ms,
        bytes = summary.control_bytes,
    )
}

fn plot(times: &[(u64, u64)]) -> Option<String> {
    let first = times.iter().map(|(version, _)| *version).min()?;
    let last = times.iter().map(|(version, _)| *version).max()?;
    let max_ms = times.iter().map(|(_, ms)| *ms).max()?.max(10);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE).ok()?;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(first..last + 1, 0..max_ms + max_ms / 10)
            .ok()?;
        chart.configure_mesh().x_desc("version").y_desc("ms").draw().ok()?;
        let points = times.iter().map(|point| Circle::new(*point, 3, BLUE.filled()));
        chart.draw_series(points).ok()?;
        root.present().ok()?;
    }
    Some(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
