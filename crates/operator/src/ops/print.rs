//! Tables and JSON on standard output.

use serde::Serialize;

use crate::ops::failure::Failure;

/// Prints `value` as indented JSON.
pub fn json(value: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value);
    println!("{}", text.map_err(|cause| Failure::UnexpectedAnswer(cause.to_string()))?);
    Ok(())
}

/// Prints a header line and rows in columns as wide as their widest cell.
pub fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) {
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let mut lines = vec![head];
    lines.extend(rows);
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| {
            let cells = lines.iter().filter_map(|line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
