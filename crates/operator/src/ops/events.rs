//! Events of one request in the logs of several processes.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Time before the first event of a request within which events of its endpoints are shown, in
/// milliseconds: several announcements, and an ejection.
const BEFORE_MS: i64 = 5_000;

/// Fields that every line has or that are shown apart.
const COMMON_FIELDS: [&str; 5] = ["msg", "level", "ts_ms", "id", "program"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time of day of the process that wrote it, in milliseconds since the Unix epoch.
    pub at_ms: i64,
    /// The line.
    pub line: Map<String, Value>,
}

impl Event {
    /// Reads a line. What a collector of logs writes before the JSON object is skipped.
    fn read(line: &str) -> Option<Self> {
        let object = line.get(line.find('{')?..)?;
        let Value::Object(line) = serde_json::from_str(object).ok()? else { return None };
        let at_ms = line.get("ts_ms")?.as_i64()?;
        Some(Self { at_ms, line })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.line.get(name)?.as_str()
    }

    /// The event in one line of text, with the time since `origin_ms`.
    pub fn text(&self, origin_ms: i64) -> String {
        let field = |name| self.field(name).unwrap_or("?");
        let mut text = format!(
            "{:>8.3} s  {} {}: {}",
            (self.at_ms - origin_ms) as f64 / 1_000.0,
            field("program"),
            field("id"),
            field("msg"),
        );
        for (name, value) in &self.line {
            if !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null() {
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text
    }
}

/// The events of `request`, and those of the endpoints it was sent to from shortly before, in
/// order of time.
pub fn of_request<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Vec<Event> {
    let mut events: Vec<Event> = lines.filter_map(Event::read).collect();
    events.sort_by_key(|event| event.at_ms);
    let own = |event: &&Event| event.field("request") == Some(request);
    let times = events.iter().filter(own).map(|event| event.at_ms);
    let Some(first) = times.clone().min() else { return Vec::new() };
    let window = first - BEFORE_MS..=times.max().unwrap_or(first);
    let endpoints: BTreeSet<String> = events
        .iter()
        .filter(own)
        .filter_map(|event| event.field("endpoint").map(str::to_owned))
        .collect();
    events.retain(|event| {
        let about_endpoint = event.field("request").is_none()
            && event.field("endpoint").is_some_and(|one| endpoints.contains(one))
            && window.contains(&event.at_ms);
        own(&event) || about_endpoint
    });
    events
}
