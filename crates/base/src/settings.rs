//! Loading of settings files, with all mistakes reported at once.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use eyre::WrapErr;

use crate::ini::Document;
use crate::ini::Section;

/// Loads the settings file at `path` and converts it with `read`. The error lists all mistakes, one
/// per line.
pub fn load<T>(path: &Path, read: impl FnOnce(&Document) -> Option<T>) -> eyre::Result<T> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings file {}", path.display()))?;
    let file = path.display().to_string();
    let document =
        Document::parse(&file, &text).map_err(|mistakes| eyre::eyre!(format_lines(&mistakes)))?;
    let value = read(&document);
    document.finish().map_err(|mistakes| eyre::eyre!(format_lines(&mistakes)))?;
    value.ok_or_else(|| eyre::eyre!("settings file {file} is incomplete"))
}

/// The number at `key`, or `default` when it is absent. A value outside `range` is recorded as a
/// mistake.
pub fn number<T>(
    section: Section<'_>,
    key: &str,
    unit: &str,
    default: T,
    range: RangeInclusive<T>,
) -> T
where
    T: FromStr + PartialOrd + Display + Copy,
{
    let expected = format!("{} to {} {unit}", range.start(), range.end());
    let value = section.value_or(key, &expected, default);
    if !range.contains(&value) {
        section.record_mistake(key, format!("found {value}, expected {expected}"));
        return default;
    }
    value
}

/// The duration at `key`, written in milliseconds, or `default` when it is absent. A value outside
/// `range`, also in milliseconds, is recorded as a mistake.
pub fn milliseconds(
    section: Section<'_>,
    key: &str,
    default: Duration,
    range: RangeInclusive<u64>,
) -> Duration {
    let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(number(section, key, "milliseconds", default, range))
}

fn format_lines(mistakes: &[crate::ini::Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
