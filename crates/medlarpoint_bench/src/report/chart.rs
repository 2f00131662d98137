//! Draws line and bar charts as SVG files.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::Failure;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (820, 420);
/// Colours of the series; further series start again with the first.
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 97, 14),
    RGBColor(44, 140, 44),
    RGBColor(190, 39, 40),
    RGBColor(128, 93, 169),
    RGBColor(120, 76, 65),
    RGBColor(207, 109, 174),
    RGBColor(90, 90, 90),
];

/// Drawing area of an SVG file.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A named line with its points, in drawing order.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Series {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// Returns a chart builder with a caption and space for the axis labels.
fn layout<'a, 'b>(area: &'a Area<'b>, caption: &str) -> ChartBuilder<'a, 'b, SVGBackend<'b>> {
    let mut chart = ChartBuilder::on(area);
    chart.caption(caption, ("sans-serif", 18)).margin(12);
    chart.x_label_area_size(36).y_label_area_size(48);
    chart
}

/// Draws a chart with a line for each series.
pub(super) fn lines(
    path: &Path,
    caption: &str,
    x_label: &str,
    y_label: &str,
    series: &[Series],
) -> Result<(), Failure> {
    let points = || series.iter().flat_map(|series| &series.points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart =
        layout(&area, caption).build_cartesian_2d(0.0..right * 1.02, 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw()?;
    for (index, line) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let style = colour.stroke_width(2);
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), style).point_size(3))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    let mut legend = chart.configure_series_labels();
    legend.background_style(WHITE.mix(0.8)).border_style(BLACK);
    legend.position(SeriesLabelPosition::LowerRight).draw()?;
    area.present()?;
    Ok(())
}

/// Draws a chart with a bar for each named value.
pub(super) fn bars(
    path: &Path,
    caption: &str,
    unit: &str,
    bars: &[(&str, f64)],
) -> Result<(), Failure> {
    let top = bars.iter().map(|bar| bar.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = layout(&area, caption)
        .build_cartesian_2d((0..bars.len() - 1).into_segmented(), 0.0..top * 1.1)?;
    let label = |segment: &SegmentValue<usize>| match segment {
        SegmentValue::CenterOf(index) | SegmentValue::Exact(index) => {
            bars.get(*index).map_or(String::new(), |bar| format!("{} ({:.1} {unit})", bar.0, bar.1))
        }
        SegmentValue::Last => String::new(),
    };
    chart.configure_mesh().disable_x_mesh().x_label_formatter(&label).y_desc(unit).draw()?;
    let rectangles = bars.iter().enumerate().map(|(index, bar)| {
        let corners = [(SegmentValue::Exact(index), 0.0), (SegmentValue::Exact(index + 1), bar.1)];
        let mut rectangle = Rectangle::new(corners, COLOURS[index % COLOURS.len()].filled());
        rectangle.set_margin(0, 0, 24, 24);
        rectangle
    });
    chart.draw_series(rectangles)?;
    area.present()?;
    Ok(())
}
