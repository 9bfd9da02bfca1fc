//! Plots latencies by percentile.

use std::path::Path;

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::{LineSeries, SVGBackend};
use plotters::style::{BLACK, Color, Palette, Palette99, PaletteColor, WHITE};

use crate::Failure;
use crate::report::{LatencyHistogram, Report};

const IMAGE_SIZE_PX: (u32, u32) = (900, 560);
/// The upper end of the horizontal axis in nines of the percentile: 4 is 99.99%.
const MAX_NINES: f64 = 4.0;
const POINT_STEPS: u32 = 80;

/// A line of the plot: latencies in ms by nines of the percentile.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Writes a plot of the latencies of programs and calls by class to an SVG file. The horizontal
/// axis is logarithmic: 0%, 90%, 99% and so on at even distances.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn plot_latencies(report: &Report, path: &Path) -> Result<(), Failure> {
    let lines = class_lines(report);
    let points = || lines.iter().flat_map(|line| &line.points);
    let max_ms = points().map(|(_, ms)| *ms).fold(1.0, f64::max);
    draw(&lines, max_ms, path)
        .map_err(|err| Failure::Check(format!("failed to write plot {}: {err}", path.display())))
}

fn class_lines(report: &Report) -> Vec<Line> {
    let mut lines = Vec::new();
    for (class, row) in &report.rows {
        let kinds = [
            ("programs", &row.program_latency),
            ("calls", &row.call_latency),
        ];
        for (kind, latency) in kinds {
            if latency.count() > 0 {
                let name = format!("{class}: {kind}");
                let points = percentile_points(latency);
                lines.push(Line { name, points });
            }
        }
    }
    lines
}

fn percentile_points(latency: &LatencyHistogram) -> Vec<(f64, f64)> {
    (0..=POINT_STEPS)
        .map(|step| {
            let nines = f64::from(step) / f64::from(POINT_STEPS) * MAX_NINES;
            (nines, latency.quantile_ms(1.0 - 10_f64.powf(-nines)))
        })
        .collect()
}

fn draw(lines: &[Line], max_ms: f64, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, IMAGE_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Latency by percentile", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..MAX_NINES, 0.0..max_ms * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("ms")
        .x_labels(5)
        .x_label_formatter(&|nines| {
            let percent = (1.0 - 10_f64.powf(-nines)) * 100.0;
            format!("{percent:.4}")
                .trim_end_matches('0')
                .trim_end_matches('.')
                .to_owned()
                + "%"
        })
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = PaletteColor::<Palette99>::pick(index % Palette99::COLORS.len());
        let style = color.stroke_width(2);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style))?
            .label(&line.name)
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
