//! Plots as SVG text.

use std::fmt::Write;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 480.0;
const MARGIN: f64 = 70.0;
const TICKS: u32 = 5;
const HEAD_ROOM: f64 = 1.1;

/// A point with its name.
#[derive(Clone, Debug)]
pub struct Point {
    /// What stands beside it.
    pub label: String,
    /// Its place along the horizontal axis.
    pub x: f64,
    /// Its place along the vertical axis.
    pub y: f64,
}

/// A plot of named points, both axes from 0.
#[derive(Clone, Debug)]
pub struct Plot {
    /// The title.
    pub title: String,
    /// The name of the horizontal axis.
    pub x_name: String,
    /// The name of the vertical axis.
    pub y_name: String,
    /// The points.
    pub points: Vec<Point>,
}

impl Plot {
    /// Draws the plot.
    pub fn to_svg(&self) -> String {
        let x_high = highest(self.points.iter().map(|point| point.x));
        let y_high = highest(self.points.iter().map(|point| point.y));
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
             font-family=\"sans-serif\" font-size=\"12\">\n\
             <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n"
        );
        text(&mut svg, WIDTH / 2.0, MARGIN / 2.0, "middle", &self.title);
        text(&mut svg, WIDTH / 2.0, HEIGHT - 15.0, "middle", &self.x_name);
        text(&mut svg, 10.0, MARGIN - 15.0, "start", &self.y_name);
        line(&mut svg, (0.0, 0.0), (1.0, 0.0), "black");
        line(&mut svg, (0.0, 0.0), (0.0, 1.0), "black");
        for tick in 0..=TICKS {
            let part = f64::from(tick) / f64::from(TICKS);
            let (x, _) = place(part, 0.0);
            let (_, y) = place(0.0, part);
            text(
                &mut svg,
                x,
                HEIGHT - MARGIN + 18.0,
                "middle",
                &number(part * x_high),
            );
            text(
                &mut svg,
                MARGIN - 8.0,
                y + 4.0,
                "end",
                &number(part * y_high),
            );
            if tick > 0 {
                line(&mut svg, (0.0, part), (1.0, part), "#ddd");
            }
        }
        for point in &self.points {
            let (x, y) = place(point.x / x_high, point.y / y_high);
            let _ = writeln!(
                svg,
                "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"#1f5fa8\"/>"
            );
            text(&mut svg, x + 7.0, y - 6.0, "start", &point.label);
        }
        svg.push_str("</svg>\n");
        svg
    }
}

fn highest(values: impl Iterator<Item = f64>) -> f64 {
    let highest = values.fold(0.0, f64::max);
    match highest > 0.0 {
        true => highest * HEAD_ROOM,
        false => 1.0,
    }
}

/// Turns parts of the axes into a place on the page.
fn place(x: f64, y: f64) -> (f64, f64) {
    let across = MARGIN + x * (WIDTH - 2.0 * MARGIN);
    let down = HEIGHT - MARGIN - y * (HEIGHT - 2.0 * MARGIN);
    (across, down)
}

fn number(value: f64) -> String {
    match value >= 100.0 {
        true => format!("{value:.0}"),
        false => format!("{value:.2}"),
    }
}

fn line(svg: &mut String, from: (f64, f64), to: (f64, f64), colour: &str) {
    let (x1, y1) = place(from.0, from.1);
    let (x2, y2) = place(to.0, to.1);
    let _ = writeln!(
        svg,
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"{colour}\"/>"
    );
}

fn text(svg: &mut String, x: f64, y: f64, anchor: &str, words: &str) {
    let words = words.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(
        svg,
        "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{words}</text>"
    );
}
