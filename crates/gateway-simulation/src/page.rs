//! A page of figures: one HTML file with embedded plots, independent of the source of the figures.

use plotters::prelude::*;

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 300);

/// A named line of a plot: its points as x and y.
pub type Line = (String, Vec<(f64, f64)>);

/// The contents of a page, from top to bottom.
#[derive(Default)]
pub struct Page {
    pub name: String,
    pub question: String,
    /// Violated rules: the place of each, and its description with the trace.
    pub breaches: Vec<(String, String)>,
    /// The column titles of the table.
    pub head: Vec<&'static str>,
    pub rows: Vec<Vec<String>>,
    /// Plots, each with its title, a note and its lines.
    pub plots: Vec<(String, String, Vec<Line>)>,
}

/// Escapes text for HTML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

impl Page {
    /// Returns the page as HTML.
    ///
    /// # Errors
    ///
    /// If a plot cannot be drawn; the error names the plot.
    pub fn html(&self) -> Result<String, String> {
        let mut text = format!(
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
             <style>body{{font:15px sans-serif;margin:2em;max-width:60em}}td,th{{padding:.2em .8em;text-align:right}}\
             td:first-child,th:first-child,td:nth-child(2){{text-align:left}}tr:nth-child(even){{background:#f3f3f3}}</style>\
             <h1>{name}</h1><p>{question}</p>",
            name = escaped(&self.name),
            question = escaped(&self.question)
        );
        for (place, breach) in &self.breaches {
            text += &format!("<h2>A rule is broken in {}</h2><pre>{}</pre>", escaped(place), escaped(breach));
        }
        text += &format!("<table><tr><th>{}</tr>", self.head.join("<th>"));
        for row in &self.rows {
            let cells: Vec<String> = row.iter().map(|cell| format!("<td>{}", escaped(cell))).collect();
            text += &format!("<tr>{}</tr>\n", cells.concat());
        }
        text += "</table>";
        for (title, note, lines) in &self.plots {
            text += &format!("<h2>{}</h2><p>{}</p>", escaped(title), escaped(note));
            text += &plot(lines).map_err(|e| format!("{title}: {e}"))?;
        }
        Ok(text + "</html>\n")
    }
}

/// Draws lines with a legend as SVG.
fn plot(lines: &[Line]) -> Result<String, Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let range = |coordinate: fn(&(f64, f64)) -> f64| {
        let all = points().map(coordinate);
        let (least, most) = all.fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), v| (a.min(v), b.max(v)));
        match least.is_finite() {
            true if most > least => (least, most),
            true => (least - 0.5, most + 0.5),
            false => (0.0, 1.0),
        }
    };
    let ((left, right), (low, high)) = (range(|p| p.0), range(|p| p.1));
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d(left..right, low.min(0.0)..high * 1.05)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for (n, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
    }
    Ok(text)
}
