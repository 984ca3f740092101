use super::*;

#[test]
fn aligns_columns_and_escapes_control_characters_in_names() {
    let rows =
        vec![vec![escaped("a\nb\u{1b}[2J"), "7".to_string()], vec!["c".to_string(), "1234".to_string()]];
    let text = table(&["name", "requests"], rows);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(
        lines[1].contains("a\\nb\\u{1b}[2J") && lines[1].ends_with('7') && lines[2].ends_with("1234"),
        "{text}"
    );
    assert_eq!(lines[1].len(), lines[2].len(), "numbers are right-aligned: {text}");
}

#[test]
fn formats_durations_in_their_two_largest_units() {
    let formatted =
        [0, 59_999, 61_000, 7_260_000, 90_000_000].map(|ms| format_duration(Duration::from_millis(ms)));
    assert_eq!(formatted, ["0 ms", "59 s", "1 min 1 s", "2 h 1 min", "1 d 1 h"]);
}
