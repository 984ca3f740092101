//! Command-line options for the random seeds of plays.

use clap::Args;

#[derive(Args)]
pub struct Seeds {
    /// How many seeds are played
    #[arg(long, value_name = "N", default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// The first of them
    #[arg(long, value_name = "N", default_value_t = 1)]
    first: u64,
}

impl Seeds {
    /// The chosen seeds: consecutive numbers from the first one on.
    pub fn all(&self) -> Vec<u64> {
        (0..self.seeds).map(|n| self.first.wrapping_add(n)).collect()
    }
}
