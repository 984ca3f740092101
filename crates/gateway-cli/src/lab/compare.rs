//! Plays two scenarios with the same seeds and compares their metrics.

use super::seeds::Seeds;
use crate::options::CommonOptions;
use crate::outcome::Outcome;
use crate::scenarios::scenario;
use crate::table::table;
use gateway_simulation::stats::{interval, spread, FIGURES};
use gateway_simulation::{play_all, Report};
use program_support::config::Errors;
use program_support::program::print;
use serde_json::json;

/// Plays both scenarios with every seed and prints, for each metric, both spreads and the 95% confidence
/// interval of the mean difference. Fails if a play breaks a rule.
pub fn compare(options: &CommonOptions, base: &str, variant: &str, seeds: &Seeds) -> Result<Outcome, Errors> {
    let (a, b) = (scenario(base)?, scenario(variant)?);
    let seeds = seeds.all();
    let (a, b) = (play_all(&a, &seeds), play_all(&b, &seeds));
    let breaches: Vec<String> =
        a.iter().chain(&b).filter_map(|r| r.as_ref().err()).map(ToString::to_string).collect();
    if !breaches.is_empty() {
        return Err(Errors(breaches));
    }
    let pairs: Vec<(&Report, &Report)> =
        a.iter().zip(&b).filter_map(|(a, b)| Some((a.as_ref().ok()?, b.as_ref().ok()?))).collect();
    let mut compared = Vec::new();
    for (name, figure) in FIGURES {
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| figure(b) - figure(a)).collect();
        let base = spread(pairs.iter().map(|(a, _)| figure(a)).collect());
        let variant = spread(pairs.iter().map(|(_, b)| figure(b)).collect());
        compared.push((name, base, variant, interval(&differences)));
    }
    if options.json {
        let each = compared.iter().map(|(name, base, variant, interval)| {
            json!({"figure": name, "base": base, "variant": variant, "difference_95": interval})
        });
        print(format!("{:#}\n", each.collect::<serde_json::Value>()))?;
    } else {
        let rows = compared.into_iter().map(|(name, base, variant, interval)| {
            let interval =
                interval.map_or("-".to_string(), |(least, most)| format!("{least:+.4} to {most:+.4}"));
            vec![name.to_string(), base, variant, interval]
        });
        print(table(&["figure", "base", "variant", "mean difference, 95%"], rows.collect()))?;
    }
    Ok(Outcome::Success)
}
