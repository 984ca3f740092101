//! Tests of medians and confidence intervals.

use super::*;

#[test]
fn computes_medians_and_confidence_intervals() {
    assert_eq!((median(&[1.0, 2.0, 9.0]), median(&[1.0, 2.0, 4.0, 9.0])), (2.0, 3.0));
    assert_eq!(spread(vec![3.0, 1.0, 2.0]), "2.000 (1.000 to 3.000)");
    // Three values with mean 2 and standard deviation 1: 2 ± 4.303 / sqrt(3).
    let (least, most) = interval(&[1.0, 2.0, 3.0]).unwrap();
    assert!((least + 0.4843).abs() < 1e-3 && (most - 4.4843).abs() < 1e-3, "{least} to {most}");
    assert_eq!(interval(&[1.0]), None);
    assert_eq!(interval(&[0.5, 0.5]), Some((0.5, 0.5)));
}
