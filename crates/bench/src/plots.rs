//! Plots of the figures as SVG.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::*;

use crate::path::{Report as PathReport, Way};
use crate::policy::Comparison;
use crate::scale::Report as ScaleReport;

const SIZE: (u32, u32) = (800, 480);
const COLORS: [RGBColor; 4] = [BLUE, RED, BLACK, MAGENTA];

/// One line of a plot.
#[derive(Debug)]
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

#[derive(Debug)]
struct Plot<'a> {
    title: &'a str,
    x: &'a str,
    y: &'a str,
    series: Vec<Series>,
}

impl Plot<'_> {
    fn write(&self, file: &Path) -> Result<()> {
        self.draw(file)
            .map_err(|e| eyre!("{e}"))
            .wrap_err_with(|| format!("failed to write the plot {}", file.display()))
    }

    fn draw(&self, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let top = |value: fn(&(f64, f64)) -> f64| points().map(value).fold(0.0, f64::max) * 1.05;
        let (right, upper) = (top(|point| point.0), top(|point| point.1));
        let area = SVGBackend::new(file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..right.max(1e-9), 0.0..upper.max(1e-9))?;
        chart.configure_mesh().x_desc(self.x).y_desc(self.y).draw()?;
        for (series, color) in self.series.iter().zip(COLORS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(series.points.iter().copied(), color.stroke_width(2)))?
                .label(&series.name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}

/// Draws control bytes and processor time against the number of daemons.
///
/// # Errors
///
/// A file cannot be written.
pub fn scale(report: &ScaleReport, folder: &Path) -> Result<()> {
    let line = |name: &str, value: &dyn Fn(usize) -> f64| Series {
        name: name.to_owned(),
        points: (0..report.counted.len())
            .map(|i| (report.counted[i].daemons as f64, value(i)))
            .collect(),
    };
    let bytes = Plot {
        title: "Control bytes of a daemon",
        x: "daemons",
        y: "bytes a second between daemons",
        series: vec![
            line("connections of the probes so far", &|i| report.counted[i].idle.peer_bytes),
            line("connected to all others", &|i| report.counted[i].connected.peer_bytes),
        ],
    };
    bytes.write(&folder.join("control-bytes.svg"))?;
    let cpu = Plot {
        title: "Processor time of an idle daemon",
        x: "daemons",
        y: "percent of a core",
        series: vec![
            line("connections of the probes so far", &|i| report.uncounted[i].idle.cpu * 100.0),
            line("connected to all others", &|i| report.uncounted[i].connected.cpu * 100.0),
        ],
    };
    cpu.write(&folder.join("control-cpu.svg"))
}

/// Draws the distribution of the latency at the middle rate.
///
/// # Errors
///
/// The file cannot be written.
pub fn path(report: &PathReport, folder: &Path) -> Result<()> {
    let rate = 2_000.0;
    let way = |way: Way| {
        let point = report.points.iter().find(|p| p.rate == Some(rate) && p.way == way);
        Series {
            name: format!("{way:?}"),
            // The last thousandth would stretch the scale.
            points: point.map_or_else(Vec::new, |p| p.distribution[..990].to_vec()),
        }
    };
    let plot = Plot {
        title: "Latency at 2,000 calls a second, up to 99 %",
        x: "ms",
        y: "share of calls",
        series: [Way::Direct, Way::OneDaemon, Way::TwoDaemons].map(way).into(),
    };
    plot.write(&folder.join("path-latency.svg"))
}

/// Draws the service over time while demand triples.
///
/// # Errors
///
/// A file cannot be written.
pub fn policy(comparisons: &[Comparison], folder: &Path) -> Result<()> {
    for comparison in comparisons {
        let line = |name: &str, points: &[(f64, f64)]| Series {
            name: name.to_owned(),
            points: points.iter().map(|(at, share)| (*at, share * 100.0)).collect(),
        };
        let title = format!("{}: demand triples", comparison.deployment);
        let plot = Plot {
            title: &title,
            x: "s",
            y: "percent of offered requests answered within 100 ms",
            series: vec![
                line("chosen policy", &comparison.full.over_time),
                line("plain", &comparison.plain.over_time),
            ],
        };
        plot.write(&folder.join(format!("peak-{}.svg", comparison.deployment)))?;
    }
    Ok(())
}
