//! Plots the share of requests on time as bar charts in one SVG file.

use std::path::Path;

use cranberryvalve_model::Report;
use eyre::Result;
use eyre::eyre;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of the panel of one scenario, in pixels.
const PANEL_SIZE: (u32, u32) = (900, 240);

/// Width of the group of bars of one kind of request, in units of the horizontal axis, on which
/// groups are 1 apart; the rest is space.
const GROUP_WIDTH: f64 = 0.8;

/// Width reserved for the legend at the right, in units of the horizontal axis.
const LEGEND_WIDTH: f64 = 0.8;

/// Colours of the placement policies, in the order in which they were simulated.
const COLOURS: [RGBColor; 3] =
    [RGBColor(38, 92, 160), RGBColor(120, 160, 205), RGBColor(190, 190, 190)];

/// Results of one placement policy.
#[derive(Debug)]
pub(super) struct PolicyResult {
    /// Name of the policy, for the legend.
    pub(super) name: &'static str,
    /// Results of the simulated run.
    pub(super) report: Report,
}

/// The results of one scenario.
#[derive(Debug)]
pub(super) struct Panel {
    /// Name of the scenario, for the caption.
    pub(super) name: &'static str,
    /// Results of each policy, in the order of `COLOURS`.
    pub(super) results: Vec<PolicyResult>,
}

/// Writes a panel for each scenario: the share of requests on time, by kind and placement policy.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub(super) fn write(path: &Path, panels: &[Panel]) -> Result<()> {
    let height = PANEL_SIZE.1 * u32::try_from(panels.len())?;
    let root = SVGBackend::new(path, (PANEL_SIZE.0, height)).into_drawing_area();
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
        .results
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
    let bar_width = GROUP_WIDTH / panel.results.len().max(1) as f64;
    for (index, (result, colour)) in panel.results.iter().zip(COLOURS).enumerate() {
        let bars = kinds.iter().enumerate().map(|(kind, name)| {
            let left = kind as f64 - GROUP_WIDTH / 2.0 + index as f64 * bar_width;
            let top = result.report.on_time_share(name) * 100.0;
            Rectangle::new([(left, 0.0), (left + bar_width, top)], colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(result.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.85))
        .draw()?;
    Ok(())
}

/// Returns the kind whose group of bars has its middle at `at`, or `None` if there is none.
fn kind_at<'a>(kinds: &[&'a str], at: f64) -> Option<&'a str> {
    let is_at_middle = (at - at.round()).abs() < 0.01 && at > -0.25;
    kinds.get(at.round() as usize).copied().filter(|_| is_at_middle)
}
