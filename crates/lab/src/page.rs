//! The page of an experiment: one file of HTML with its plots inside.

use crate::experiment::Results;
use crate::report::Report;
use crate::stats::{median, FIGURES};
use plotters::prelude::*;

const SIZE: (u32, u32) = (860, 300);

/// What is shown over time, of a report's second: none where nothing came.
type Course = (&'static str, fn(&Report, usize) -> Option<f64>);

const COURSES: [Course; 4] = [
    ("requests that come a second", |r, n| r.seconds.get(n).map(|s| f64::from(s[0]))),
    ("requests served in time a second", |r, n| r.seconds.get(n).map(|s| f64::from(s[1]))),
    ("warm cores of servers that want something new", |r, n| r.cores.get(n).map(|c| c[0])),
    ("part of them in use", |r, n| r.cores.get(n).filter(|c| c[0] > 0.0).map(|c| c[1] / c[0])),
];

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// The page. An error says which plot could not be drawn.
pub fn page(results: &Results) -> Result<String, String> {
    let mut text = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font:15px sans-serif;margin:2em;max-width:60em}}td,th{{padding:.2em .8em;text-align:right}}\
         td:first-child,th:first-child,td:nth-child(2){{text-align:left}}tr:nth-child(even){{background:#f3f3f3}}</style>\
         <h1>{name}</h1><p>{question}</p>",
        name = escaped(&results.name),
        question = escaped(&results.question)
    );
    for (variant, breach) in results.breaches() {
        text += &format!("<h2>A rule is broken in {}</h2><pre>{}</pre>", escaped(variant), escaped(breach));
    }
    text += "<table><tr><th>variant<th>figure<th>plays<th>median (least to most)<th>difference to the first, 95%</tr>";
    for row in results.table() {
        let cells: Vec<String> = row.iter().map(|cell| format!("<td>{}", escaped(cell))).collect();
        text += &format!("<tr>{}</tr>\n", cells.concat());
    }
    text += "</table>";
    for (title, course) in COURSES {
        let lines = results.variants.iter().map(|variant| {
            let reports: Vec<&Report> = results.reports(variant).map(|(_, report)| report).collect();
            let longest = reports.iter().map(|r| r.seconds.len()).max().unwrap_or(0);
            let points = (0..longest).filter_map(|n| {
                let mut values: Vec<f64> = reports.iter().filter_map(|r| course(r, n)).collect();
                values.sort_by(f64::total_cmp);
                (!values.is_empty()).then(|| (n as f64, median(&values)))
            });
            (variant.as_str(), points.collect())
        });
        text += &format!("<h2>{}</h2><p>Median over the seeds, by second.</p>", escaped(title));
        text += &plot(lines.collect()).map_err(|e| format!("{title}: {e}"))?;
    }
    text += "<h2>Each seed</h2>";
    for (title, figure) in FIGURES {
        let lines = results.variants.iter().map(|variant| {
            (
                variant.as_str(),
                results.reports(variant).map(|(seed, report)| (seed as f64, figure(report))).collect(),
            )
        });
        text += &format!("<h3>{}</h3>", escaped(title));
        text += &plot(lines.collect()).map_err(|e| format!("{title}: {e}"))?;
    }
    Ok(text + "</html>\n")
}

/// Lines with a legend, as SVG.
fn plot(lines: Vec<(&str, Vec<(f64, f64)>)>) -> Result<String, Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let ends = |of: fn(&(f64, f64)) -> f64| {
        let all = points().map(of);
        let (least, most) = all.fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), v| (a.min(v), b.max(v)));
        match least.is_finite() {
            true if most > least => (least, most),
            true => (least - 0.5, most + 0.5),
            false => (0.0, 1.0),
        }
    };
    let ((left, right), (low, high)) = (ends(|p| p.0), ends(|p| p.1));
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
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
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
    }
    Ok(text)
}
