//! Files that a subcommand reads or writes.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;

use crate::ops::failure::Failure;

/// Reads the text of a file.
pub fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|cause| Failure::Arguments(format!("cannot read {}: {cause}", path.display())))
}

/// Parses the text of a bundle file. The error lists every mistake.
pub fn check(path: &Path, text: &str) -> Result<Bundle, Failure> {
    bundle::parse(&path.display().to_string(), text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        Failure::InvalidFile(lines.join("\n"))
    })
}

/// Writes a text file, replacing an existing one.
pub fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|cause| write_error(path, &cause))
}

/// Appends lines to a text file, which is created if it doesn't exist.
pub fn append(path: &Path, lines: &[String]) -> Result<(), Failure> {
    let opened = OpenOptions::new().create(true).append(true).open(path);
    let write_lines = |mut file: File| lines.iter().try_for_each(|line| writeln!(file, "{line}"));
    opened.and_then(write_lines).map_err(|cause| write_error(path, &cause))
}

fn write_error(path: &Path, cause: &std::io::Error) -> Failure {
    Failure::Arguments(format!("cannot write {}: {cause}", path.display()))
}
