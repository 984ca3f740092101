//! Formats tables and their cells for a terminal.

use comfy_table::{presets, CellAlignment, Table};
use std::time::Duration;

/// Formats rows as columns under a header, one line each. From the second column on, a column without letters
/// in its rows is right-aligned.
pub fn table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header.iter().copied());
    let is_numeric =
        |n: usize| rows.iter().all(|row| row.get(n).is_some_and(|cell| !cell.contains(char::is_alphabetic)));
    let right_aligned: Vec<usize> = (1..header.len()).filter(|n| is_numeric(*n)).collect();
    table.add_rows(rows);
    for n in right_aligned {
        if let Some(column) = table.column_mut(n) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let lines = table.to_string();
    lines.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

/// Escapes control characters in a name, so that printing the name cannot move the terminal's cursor.
pub fn escaped(name: &str) -> String {
    name.escape_debug().to_string()
}

/// Formats a duration in its two largest units.
pub fn format_duration(time: Duration) -> String {
    let seconds = time.as_secs();
    match seconds {
        0 => format!("{} ms", time.as_millis()),
        1..60 => format!("{seconds} s"),
        60..3600 => format!("{} min {} s", seconds / 60, seconds % 60),
        3600..86_400 => format!("{} h {} min", seconds / 3600, seconds / 60 % 60),
        _ => format!("{} d {} h", seconds / 86_400, seconds / 3600 % 24),
    }
}

#[cfg(test)]
mod tests;
