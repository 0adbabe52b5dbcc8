//! Bars of what callers got, as one SVG file.

use std::path::Path;

use cranberryvalve_model::Report;
use eyre::Result;
use eyre::eyre;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of one load's panel, in pixels.
const PANEL: (u32, u32) = (900, 240);

/// Width of a kind's group of bars in units of the horizontal axis; the rest is space.
const GROUP_WIDTH: f64 = 0.8;

/// Room for the legend at the right, in units of the horizontal axis.
const LEGEND_WIDTH: f64 = 0.8;

/// Colours of the ways to place, in the order in which they were played.
const COLOURS: [RGBColor; 3] =
    [RGBColor(38, 92, 160), RGBColor(120, 160, 205), RGBColor(190, 190, 190)];

/// What one way to place gave.
#[derive(Debug)]
pub(super) struct Outcome {
    /// Name of the way.
    pub(super) name: &'static str,
    /// What callers got.
    pub(super) report: Report,
}

/// The outcomes of one load.
#[derive(Debug)]
pub(super) struct Panel {
    /// Name of the load.
    pub(super) name: &'static str,
    /// Outcomes in the order of the colours.
    pub(super) outcomes: Vec<Outcome>,
}

/// Writes a panel for each load: the share of requests on time, by kind and way to place.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub(super) fn write(path: &Path, panels: &[Panel]) -> Result<()> {
    let height = PANEL.1 * u32::try_from(panels.len())?;
    let root = SVGBackend::new(path, (PANEL.0, height)).into_drawing_area();
    let areas = root.split_evenly((panels.len(), 1));
    for (area, panel) in areas.iter().zip(panels) {
        draw(area, panel).map_err(|error| eyre!("{}: {error}", path.display()))?;
    }
    root.present().map_err(|error| eyre!("{}: {error}", path.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw(area: &Area<'_>, panel: &Panel) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let kinds: Vec<&str> = panel
        .outcomes
        .first()
        .map(|it| it.report.kinds.keys().copied().collect())
        .unwrap_or_default();
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{}: requests on time, %", panel.name), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(36)
        .build_cartesian_2d(-0.5..kinds.len() as f64 + LEGEND_WIDTH - 0.5, 0.0..100.0)?;
    let label = |at: &f64| kind_at(&kinds, *at).unwrap_or_default().to_owned();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * kinds.len() + 2)
        .x_label_formatter(&label)
        .draw()?;
    let bar_width = GROUP_WIDTH / panel.outcomes.len().max(1) as f64;
    for (number, (outcome, colour)) in panel.outcomes.iter().zip(COLOURS).enumerate() {
        let bars = kinds.iter().enumerate().map(|(kind, name)| {
            let left = kind as f64 - GROUP_WIDTH / 2.0 + number as f64 * bar_width;
            let top = outcome.report.on_time(name) * 100.0;
            Rectangle::new([(left, 0.0), (left + bar_width, top)], colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(outcome.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.85))
        .draw()?;
    Ok(())
}

/// The kind in the middle of whose bars `at` lies.
fn kind_at<'a>(kinds: &[&'a str], at: f64) -> Option<&'a str> {
    let is_middle = (at - at.round()).abs() < 0.01 && at > -0.25;
    kinds.get(at.round() as usize).copied().filter(|_| is_middle)
}
