//! Plain-text tables.

use std::io::{self, Write};

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// A table with a header row. Each column is as wide as its widest text.
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headers.
    pub fn new(head: &[&str]) -> Self {
        Table { rows: vec![head.iter().map(|text| (*text).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Writes the table. Columns are separated only by spaces, so that other tools can read them.
    pub fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let texts = self.rows.iter().filter_map(|row| row.get(column));
            texts.map(|text| text.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (text, width) in row.iter().zip(&widths) {
                line.push_str(text);
                let padding = width - text.chars().count() + COLUMN_GAP;
                line.extend(std::iter::repeat_n(' ', padding));
            }
            writeln!(out, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
