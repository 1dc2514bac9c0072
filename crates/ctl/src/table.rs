//! Text in columns.

use std::fmt;

const GAP: &str = "  ";

/// Rows under a header, each column as wide as its widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|&cell| cell.to_owned()).collect();
        Self { rows: vec![header] }
    }

    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows[0].len();
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        for (i, row) in self.rows.iter().enumerate() {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            let newline = if i == 0 { "" } else { "\n" };
            write!(f, "{newline}{}", cells.join(GAP).trim_end())?;
        }
        Ok(())
    }
}
