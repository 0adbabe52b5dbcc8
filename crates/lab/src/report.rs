//! Printing of results to standard output.

/// Prints a line to standard output.
#[expect(clippy::print_stdout, reason = "experiments print their results")]
pub(crate) fn line(text: &str) {
    println!("{text}");
}

/// Prints a table whose columns are as wide as their widest cell; the first column is aligned left,
/// the others right.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|it| it.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let header: Vec<String> = header.iter().map(|it| (*it).to_owned()).collect();
    line(&format_row(&header, &widths));
    for row in rows {
        line(&format_row(row, &widths));
    }
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let cells = cells.iter().zip(widths).enumerate().map(|(column, (cell, width))| {
        if column == 0 { format!("{cell:<width$}") } else { format!("{cell:>width$}") }
    });
    cells.collect::<Vec<String>>().join("  ")
}

/// Returns the given percentile of values in ascending order, or 0 if there are none.
pub(crate) fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or(0.0)
}
