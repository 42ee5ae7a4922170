//! Settings files: reading one and reporting all its mistakes at once.

use std::path::Path;

use eyre::WrapErr;

use crate::ini::Document;

/// Reads the settings file at `path` with `read` and fails with every mistake, one a line.
pub fn load<T>(path: &Path, read: impl FnOnce(&Document) -> Option<T>) -> eyre::Result<T> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings file {}", path.display()))?;
    let file = path.display().to_string();
    let document =
        Document::parse(&file, &text).map_err(|mistakes| eyre::eyre!(lines(&mistakes)))?;
    let value = read(&document);
    document.finish().map_err(|mistakes| eyre::eyre!(lines(&mistakes)))?;
    value.ok_or_else(|| eyre::eyre!("settings file {file} is incomplete"))
}

fn lines(mistakes: &[crate::ini::Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
