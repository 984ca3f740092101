//! Default values that several parts of a scenario share.

pub fn one() -> f64 {
    1.0
}
