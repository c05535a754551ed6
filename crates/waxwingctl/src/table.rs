//! Formats tables as plain text.

/// Formats rows in aligned columns under a header. Every row must have as many
/// cells as the header.
#[must_use]
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut text = format_line(header.iter().copied(), &widths);
    for row in rows {
        text += &format_line(row.iter().map(String::as_str), &widths);
    }
    text
}

fn format_line<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let cells = cells.zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    let mut line = cells.join("  ").trim_end().to_owned();
    line.push('\n');
    line
}
