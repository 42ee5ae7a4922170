//! Bundle files.

use std::path::Path;

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;

use crate::ops::failure::Failure;

/// Reads the text of a bundle file.
pub fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|cause| Failure::Arguments(format!("cannot read {}: {cause}", path.display())))
}

/// Checks the text of a bundle file; a failure names every mistake.
pub fn check(path: &Path, text: &str) -> Result<Bundle, Failure> {
    bundle::parse(&path.display().to_string(), text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        Failure::Mistakes(lines.join("\n"))
    })
}
