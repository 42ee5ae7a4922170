//! Collects the events of one request from the logs of several processes.

use std::collections::BTreeSet;

use serde_json::Map;
use serde_json::Value;

/// Events of an endpoint are shown from this time before the first event of the request on: long
/// enough to contain several announcements and an ejection.
const LOOKBACK_MS: i64 = 5_000;

/// Fields that [`Event::text`] puts at the start of the line or leaves out.
const COMMON_FIELDS: [&str; 5] = ["msg", "level", "ts_ms", "id", "program"];

/// A log line with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Wall-clock time of the process that wrote the line, in milliseconds since the Unix epoch.
    pub at_ms: i64,
    /// All fields of the line.
    pub line: Map<String, Value>,
}

impl Event {
    /// Parses a line. A prefix before the JSON object, as log collectors add it, is skipped.
    /// Returns `None` for a line without a valid object or time.
    fn read(line: &str) -> Option<Self> {
        let object = line.get(line.find('{')?..)?;
        let Value::Object(line) = serde_json::from_str(object).ok()? else { return None };
        let at_ms = line.get("ts_ms")?.as_i64()?;
        Some(Self { at_ms, line })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.line.get(name)?.as_str()
    }

    /// Formats the event as one line that starts with the time since `origin_ms`.
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

/// Returns the events of `request` in order of time. Included are events of the endpoints that it was
/// sent to, if they belong to no request, from [`LOOKBACK_MS`] before its first event to its last.
pub fn of_request<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Vec<Event> {
    let mut events: Vec<Event> = lines.filter_map(Event::read).collect();
    events.sort_by_key(|event| event.at_ms);
    let is_of_request = |event: &&Event| event.field("request") == Some(request);
    let times = events.iter().filter(is_of_request).map(|event| event.at_ms);
    let Some(first) = times.clone().min() else { return Vec::new() };
    let window = first - LOOKBACK_MS..=times.max().unwrap_or(first);
    let endpoints: BTreeSet<String> = events
        .iter()
        .filter(is_of_request)
        .filter_map(|event| event.field("endpoint").map(str::to_owned))
        .collect();
    events.retain(|event| {
        let concerns_endpoint = event.field("request").is_none()
            && event.field("endpoint").is_some_and(|endpoint| endpoints.contains(endpoint))
            && window.contains(&event.at_ms);
        is_of_request(&event) || concerns_endpoint
    });
    events
}
