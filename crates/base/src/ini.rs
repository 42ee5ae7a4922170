//! INI parsing with error positions: every mistake has its file, line, key and expected value.
//!
//! [`Document::parse`] parses a text. [`Section`] returns typed values and records a [`Mistake`]
//! for each invalid one. [`Document::finish`] then reports all mistakes at once, including unknown
//! sections and keys.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::str::FromStr;

use derive_more::Display;
use ini::Ini;

/// An error at one position of a file.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{file}:{line}: [{section}] {key}: {problem}")]
pub struct Mistake {
    /// File name as passed to [`Document::parse`].
    pub file: String,
    /// Line number, starting at 1; the line of the section header when the key is missing, and 0
    /// when the section is missing too.
    pub line: usize,
    pub section: String,
    /// Key within the section; empty when the mistake concerns the section itself.
    pub key: String,
    /// Description with the expected value, without the position.
    pub problem: String,
}

/// A parsed file that collects mistakes while its values are read.
pub struct Document {
    file: String,
    text: String,
    ini: Ini,
    used: RefCell<BTreeSet<(String, String)>>,
    mistakes: RefCell<Vec<Mistake>>,
}

impl Document {
    /// Parses `text`; `file` is used in messages only.
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
        document.check_duplicates();
        Ok(document)
    }

    /// Records duplicate sections and keys, because only one of the values would take effect.
    fn check_duplicates(&self) {
        let mut seen = BTreeSet::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            if !section.is_empty() && !seen.insert((section, "")) {
                self.record_mistake(section, "", "the section stands twice");
            }
            for (key, _) in properties {
                if !seen.insert((section, key)) {
                    self.record_mistake(section, key, "the key stands twice");
                }
            }
        }
    }

    /// The section `name`. All keys of a missing section are absent.
    pub fn section<'a>(&'a self, name: &'a str) -> Section<'a> {
        self.used.borrow_mut().insert((name.to_owned(), String::new()));
        Section { document: self, name }
    }

    /// The names in section headers of the form `[prefix NAME]`, in file order.
    pub fn section_names(&self, prefix: &str) -> Vec<String> {
        self.ini
            .sections()
            .flatten()
            .filter_map(|name| name.strip_prefix(prefix)?.strip_prefix(' '))
            .map(|name| name.trim().to_owned())
            .collect()
    }

    /// The keys of `section` in file order; empty when the section is missing.
    pub fn keys(&self, section: &str) -> Vec<String> {
        let properties = self.ini.section(Some(section));
        properties
            .map(|entries| entries.iter().map(|(key, _)| key.to_owned()).collect())
            .unwrap_or_default()
    }

    /// Records a mistake found by a check across sections or keys.
    pub fn record_mistake(&self, section: &str, key: &str, problem: impl Into<String>) {
        self.mistakes.borrow_mut().push(Mistake {
            file: self.file.clone(),
            line: self.line(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.into(),
        });
    }

    /// Checks for unknown sections and keys, and returns all recorded mistakes in order of
    /// position.
    pub fn finish(self) -> Result<(), Vec<Mistake>> {
        let used = self.used.borrow().clone();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            if !used.contains(&(section.to_owned(), String::new())) {
                self.record_mistake(section, "", "unknown section");
                continue;
            }
            for (key, _) in properties {
                if !used.contains(&(section.to_owned(), key.to_owned())) {
                    self.record_mistake(section, key, "unknown key");
                }
            }
        }
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort();
        mistakes.dedup();
        if mistakes.is_empty() { Ok(()) } else { Err(mistakes) }
    }

    /// Line of `key` in `section`, or of the section header when the key is empty or absent; 0
    /// without the section.
    fn line(&self, section: &str, key: &str) -> usize {
        let mut header = 0;
        let mut in_section = section.is_empty();
        for (number, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                in_section = name.trim() == section;
                if in_section && header == 0 {
                    header = number + 1;
                }
            } else if in_section
                && !key.is_empty()
                && line.split_once('=').is_some_and(|(found_key, _)| found_key.trim() == key)
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
    /// The trimmed text of `key`, if present.
    pub fn text(&self, key: &str) -> Option<String> {
        self.document.used.borrow_mut().insert((self.name.to_owned(), key.to_owned()));
        let properties = self.document.ini.section(Some(self.name))?;
        properties.get(key).map(|value| value.trim().to_owned())
    }

    /// The value of `key`, or `default` when it is absent or invalid. An invalid value is recorded
    /// as a mistake.
    pub fn value_or<T: FromStr>(&self, key: &str, expected: &str, default: T) -> T {
        self.optional(key, expected).unwrap_or(default)
    }

    /// The value of `key`, if present. An invalid value is recorded as a mistake.
    pub fn optional<T: FromStr>(&self, key: &str, expected: &str) -> Option<T> {
        let text = self.text(key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.record_mistake(key, format!("found {text:?}, expected {expected}"));
        }
        value
    }

    /// The value of `key`. A missing or invalid value is recorded as a mistake.
    pub fn required<T: FromStr>(&self, key: &str, expected: &str) -> Option<T> {
        if self.text(key).is_none() {
            self.record_mistake(key, format!("missing, expected {expected}"));
            return None;
        }
        self.optional(key, expected)
    }

    /// The comma-separated values of `key`; empty when it is absent. Invalid items are recorded as
    /// mistakes and left out.
    pub fn list<T: FromStr>(&self, key: &str, expected: &str) -> Vec<T> {
        let text = self.text(key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items
            .filter_map(|item| {
                let value = item.parse().ok();
                if value.is_none() {
                    self.record_mistake(key, format!("found {item:?}, expected {expected}"));
                }
                value
            })
            .collect()
    }

    /// Records a mistake at `key` of this section.
    pub fn record_mistake(&self, key: &str, problem: impl Into<String>) {
        self.document.record_mistake(self.name, key, problem);
    }
}
