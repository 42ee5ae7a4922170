//! INI files with positions: every mistake names its file, line, key and what was expected.
//!
//! [`Document::parse`] reads a text, [`Section`] hands out typed values and records a [`Mistake`]
//! for each value that does not fit, and [`Document::finish`] reports all mistakes at once,
//! unknown keys included.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::str::FromStr;

use derive_more::Display;
use ini::Ini;

/// One mistake in a file.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{file}:{line}: [{section}] {key}: {problem}")]
pub struct Mistake {
    /// File name as given.
    pub file: String,
    /// Line, counted from 1; 0 when the key is missing from the whole file.
    pub line: usize,
    /// Section name.
    pub section: String,
    /// Key within the section; empty when the section itself is wrong.
    pub key: String,
    /// What is wrong and what was expected.
    pub problem: String,
}

/// A parsed file that gathers mistakes while it is read.
pub struct Document {
    file: String,
    text: String,
    ini: Ini,
    used: RefCell<BTreeSet<(String, String)>>,
    mistakes: RefCell<Vec<Mistake>>,
}

impl Document {
    /// Parses `text`; `file` is only used in messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Mistake>> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            vec![Mistake {
                file: file.to_owned(),
                line: error.line,
                section: String::new(),
                key: String::new(),
                problem: format!("not an INI file: {}", error.msg),
            }]
        })?;
        let document = Self {
            file: file.to_owned(),
            text: text.to_owned(),
            ini,
            used: RefCell::default(),
            mistakes: RefCell::default(),
        };
        document.check_repetitions();
        Ok(document)
    }

    /// Records sections and keys that stand twice: only one of the two values could be used.
    fn check_repetitions(&self) {
        let mut seen = BTreeSet::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            if !section.is_empty() && !seen.insert((section, "")) {
                self.mistake(section, "", "the section stands twice");
            }
            for (key, _) in properties {
                if !seen.insert((section, key)) {
                    self.mistake(section, key, "the key stands twice");
                }
            }
        }
    }

    /// The section called `name`; keys of a missing section read as absent.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        self.used.borrow_mut().insert((name.to_owned(), String::new()));
        Section { document: self, name }
    }

    /// The names that follow `prefix` and a space in section headers, in file order.
    pub fn named(&self, prefix: &str) -> Vec<String> {
        self.ini
            .sections()
            .flatten()
            .filter_map(|name| name.strip_prefix(prefix)?.strip_prefix(' '))
            .map(|name| name.trim().to_owned())
            .collect()
    }

    /// The keys of `section`, in file order.
    pub fn keys(&self, section: &str) -> Vec<String> {
        let properties = self.ini.section(Some(section));
        properties
            .map(|found| found.iter().map(|(key, _)| key.to_owned()).collect())
            .unwrap_or_default()
    }

    /// Records a mistake found by a check that spans several keys.
    pub fn mistake(&self, section: &str, key: &str, problem: impl Into<String>) {
        self.mistakes.borrow_mut().push(Mistake {
            file: self.file.clone(),
            line: self.line(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.into(),
        });
    }

    /// All mistakes, unknown sections and keys included; `Ok` when there are none.
    pub fn finish(self) -> Result<(), Vec<Mistake>> {
        let used = self.used.borrow().clone();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            if !used.contains(&(section.to_owned(), String::new())) {
                self.mistake(section, "", "unknown section");
                continue;
            }
            for (key, _) in properties {
                if !used.contains(&(section.to_owned(), key.to_owned())) {
                    self.mistake(section, key, "unknown key");
                }
            }
        }
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort();
        mistakes.dedup();
        if mistakes.is_empty() { Ok(()) } else { Err(mistakes) }
    }

    /// Line of `key` in `section`, or of the section header when the key is empty or absent.
    fn line(&self, section: &str, key: &str) -> usize {
        let mut header = 0;
        let mut inside = section.is_empty();
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                inside = name.trim() == section;
                if inside && header == 0 {
                    header = number + 1;
                }
            } else if inside
                && !key.is_empty()
                && line.split_once('=').is_some_and(|(found, _)| found.trim() == key)
            {
                return number + 1;
            }
        }
        header
    }
}

/// One section of a [`Document`].
#[derive(Clone, Copy)]
pub struct Section<'a> {
    document: &'a Document,
    name: &'a str,
}

impl Section<'_> {
    /// The text of `key`, if present.
    pub fn text(&self, key: &str) -> Option<String> {
        self.document.used.borrow_mut().insert((self.name.to_owned(), key.to_owned()));
        let properties = self.document.ini.section(Some(self.name))?;
        properties.get(key).map(|value| value.trim().to_owned())
    }

    /// The value of `key`, or `default` when it is absent. A wrong value is recorded as a mistake.
    pub fn or<T: FromStr>(&self, key: &str, expected: &str, default: T) -> T {
        self.optional(key, expected).unwrap_or(default)
    }

    /// The value of `key`, if present. A wrong value is recorded as a mistake.
    pub fn optional<T: FromStr>(&self, key: &str, expected: &str) -> Option<T> {
        let text = self.text(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.mistake(key, format!("found {text:?}, expected {expected}"));
        }
        value
    }

    /// The value of `key`. A missing or wrong value is recorded as a mistake.
    pub fn required<T: FromStr>(&self, key: &str, expected: &str) -> Option<T> {
        if self.text(key).is_none() {
            self.mistake(key, format!("missing, expected {expected}"));
            return None;
        }
        self.optional(key, expected)
    }

    /// The comma-separated values of `key`; empty when it is absent.
    pub fn list<T: FromStr>(&self, key: &str, expected: &str) -> Vec<T> {
        let text = self.text(key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items
            .filter_map(|item| {
                let value = item.parse().ok();
                if value.is_none() {
                    self.mistake(key, format!("found {item:?}, expected {expected}"));
                }
                value
            })
            .collect()
    }

    /// Records a mistake at `key`.
    pub fn mistake(&self, key: &str, problem: impl Into<String>) {
        self.document.mistake(self.name, key, problem);
    }
}
