//! Line and bar charts as SVG.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::Failure;

/// Size of a drawing, in pixels.
const SIZE: (u32, u32) = (820, 420);
/// Colours of the series, in turn.
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

/// A drawing.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Points of a line, in order.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Series {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// Lays out a drawing with a caption and room for the axes.
fn layout<'a, 'b>(area: &'a Area<'b>, caption: &str) -> ChartBuilder<'a, 'b, SVGBackend<'b>> {
    let mut chart = ChartBuilder::on(area);
    chart.caption(caption, ("sans-serif", 18)).margin(12);
    chart.x_label_area_size(36).y_label_area_size(48);
    chart
}

/// Draws a line for each series.
pub(super) fn lines(
    path: &Path,
    caption: &str,
    x: &str,
    y: &str,
    series: &[Series],
) -> Result<(), Failure> {
    let points = || series.iter().flat_map(|series| &series.points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart =
        layout(&area, caption).build_cartesian_2d(0.0..right * 1.02, 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (index, one) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let style = colour.stroke_width(2);
        chart
            .draw_series(LineSeries::new(one.points.iter().copied(), style).point_size(3))?
            .label(&one.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    let mut legend = chart.configure_series_labels();
    legend.background_style(WHITE.mix(0.8)).border_style(BLACK);
    legend.position(SeriesLabelPosition::LowerRight).draw()?;
    area.present()?;
    Ok(())
}

/// Draws a bar for each figure.
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
    let name = |place: &SegmentValue<usize>| match place {
        SegmentValue::CenterOf(index) | SegmentValue::Exact(index) => {
            bars.get(*index).map_or(String::new(), |bar| format!("{} ({:.1} {unit})", bar.0, bar.1))
        }
        SegmentValue::Last => String::new(),
    };
    chart.configure_mesh().disable_x_mesh().x_label_formatter(&name).y_desc(unit).draw()?;
    let drawn = bars.iter().enumerate().map(|(index, bar)| {
        let ends = [(SegmentValue::Exact(index), 0.0), (SegmentValue::Exact(index + 1), bar.1)];
        let mut rectangle = Rectangle::new(ends, COLOURS[index % COLOURS.len()].filled());
        rectangle.set_margin(0, 0, 24, 24);
        rectangle
    });
    chart.draw_series(drawn)?;
    area.present()?;
    Ok(())
}
