//! Statistics of reports: over several seeds, and of paired differences between plays.

use crate::report::Report;

/// A named figure of a report; counts are shares of the report's requests where that is more useful.
pub type Figure = (&'static str, fn(&Report) -> f64);

fn share(part: u64, report: &Report) -> f64 {
    part as f64 / report.requests.max(1) as f64
}

pub const FIGURES: [Figure; 9] = [
    ("worth served", |r| r.worth),
    ("late ends a request", |r| share(r.late_ends, r)),
    ("refused with room", |r| share(r.refused_with_room, r)),
    ("beyond quota, of sent", |r| r.beyond as f64 / r.passed.max(1) as f64),
    ("failed", |r| share(r.failed, r)),
    ("attempts a request", |r| share(r.attempts, r)),
    ("crossings a request", |r| share(r.crossings, r)),
    ("connections a request", |r| share(r.connections, r)),
    ("p99 ms", |r| r.p99_ms),
];

/// Formats the median of values, with the minimum and maximum in brackets if there are several values.
pub fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => "-".to_string(),
        [one] => format!("{one:.3}"),
        [least, .., most] => format!("{:.3} ({least:.3} to {most:.3})", median(&values)),
    }
}

/// Returns the median of sorted values.
pub fn median(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    match sorted {
        [] => 0.0,
        _ if sorted.len() % 2 == 1 => sorted[middle],
        _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
    }
}

/// Returns the 95% confidence interval of the mean of paired differences by Student's t-distribution; `None`
/// for fewer than two differences.
pub fn interval(differences: &[f64]) -> Option<(f64, f64)> {
    /// The 97.5% quantiles by degrees of freedom. Beyond the last one, 2.0 is used: the quantile of the
    /// normal distribution, rounded up.
    const T_QUANTILES: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    let count = differences.len();
    if count < 2 {
        return None;
    }
    let n = count as f64;
    let mean = differences.iter().sum::<f64>() / n;
    let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let half_width = T_QUANTILES.get(count - 2).copied().unwrap_or(2.0) * (variance / n).sqrt();
    Some((mean - half_width, mean + half_width))
}

#[cfg(test)]
mod tests;
