//! Plots each policy's ratios to `fifo`, with one position on the horizontal axis per metric.

use std::path::Path;

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::{LineSeries, SVGBackend};
use plotters::style::{BLACK, Color, Palette, Palette99, PaletteColor, WHITE};

use crate::Failure;
use crate::policy_result::{GOALS, RunMetrics, to_f64};
use crate::policy_table::{median_of, policies_of};

const IMAGE_SIZE_PX: (u32, u32) = (1_000, 560);
/// The upper end of the vertical axis; higher ratios are clipped.
const MAX_RATIO: f64 = 2.0;

/// Writes a plot of the ratios of the medians to an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn plot_ratios(results: &[RunMetrics], path: &Path) -> Result<(), Failure> {
    draw(results, path)
        .map_err(|err| Failure::Check(format!("failed to write plot {}: {err}", path.display())))
}

fn draw(results: &[RunMetrics], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, IMAGE_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let last = to_f64(GOALS.len() as u64 - 1);
    let mut chart = ChartBuilder::on(&root)
        .caption("Ratio to fifo, median over the seeds", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..last, 0.0..MAX_RATIO)?;
    chart
        .configure_mesh()
        .y_desc("ratio")
        .x_labels(GOALS.len())
        .x_label_formatter(&|position| axis_label(*position).to_owned())
        .draw()?;
    for (index, policy) in policies_of(results).into_iter().enumerate() {
        let color = PaletteColor::<Palette99>::pick(index % Palette99::COLORS.len());
        let style = color.stroke_width(2);
        let points = GOALS.iter().enumerate().map(|(position, goal)| {
            let fifo = median_of(results, "fifo", goal.get);
            (
                to_f64(position as u64),
                median_of(results, policy, goal.get) / fifo,
            )
        });
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the name of the metric at a position of the axis, or an empty label between two metrics.
fn axis_label(position: f64) -> &'static str {
    let is_near = |index: usize| (to_f64(index as u64) - position).abs() < 0.01;
    (0..GOALS.len())
        .find(|index| is_near(*index))
        .map_or("", |index| GOALS[index].name)
}
