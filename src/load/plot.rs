//! Plots the complete responses per second over a run.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::{
    ChartBuilder, Color as _, IntoDrawingArea as _, LineSeries, Palette as _, Palette99,
    PathElement, SVGBackend, WHITE,
};

use super::report::Report;

const SIZE_PX: (u32, u32) = (960, 480);
const MARGIN_PX: u32 = 12;
const LABEL_SIZE_PX: u32 = 48;

/// Draws the complete responses per second of each stream into an SVG file.
pub fn draw_goodput(report: &Report, path: &Path) -> anyhow::Result<()> {
    let seconds = report.streams.iter().map(|stream| stream.whole_by_second.len()).max();
    let highest = report.streams.iter().flat_map(|stream| &stream.whole_by_second).max();
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_SIZE_PX)
        .y_label_area_size(LABEL_SIZE_PX)
        .build_cartesian_2d(0..seconds.unwrap_or(0).max(1), 0..highest.copied().unwrap_or(0) + 1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("whole answers a second").draw()?;
    for (index, stream) in report.streams.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = stream.whole_by_second.iter().copied().enumerate();
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(&*stream.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().draw()?;
    area.present().map_err(|error| anyhow!("writing {}: {error}", path.display()))
}
