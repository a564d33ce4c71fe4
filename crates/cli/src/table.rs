//! Tables for people.

use std::fmt::Write;

/// Columns as wide as what stands in them.
pub fn columns(rows: &[Vec<String>]) -> String {
    let mut wide: Vec<usize> = Vec::new();
    for row in rows {
        wide.resize(wide.len().max(row.len()), 0);
        row.iter().zip(&mut wide).for_each(|(cell, w)| *w = (*w).max(cell.chars().count()));
    }
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&wide).map(|(cell, &w)| format!("{cell:w$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
