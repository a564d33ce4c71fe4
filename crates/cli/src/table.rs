//! Plain text tables.

use std::fmt::Write;

/// Formats rows as left-aligned columns, each as wide as its widest cell.
pub fn format_table(rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        widths.resize(widths.len().max(row.len()), 0);
        row.iter().zip(&mut widths).for_each(|(cell, width)| *width = (*width).max(cell.chars().count()));
    }
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
