//! Structured logging: one JSON object per line.
//!
//! A background thread writes the lines. Records that do not fit into its queue are dropped, and a
//! later line reports how many, so logging never blocks the caller.

use std::io;

use slog::Drain;
use slog::FnValue;
use slog::Logger;
use slog::PushFnValue;
use slog::Record;
use slog::o;

/// A logger that writes JSON lines to standard error. Every line contains `program` and `id`.
pub fn json(program: &'static str, id: &str, level: slog::Level) -> Logger {
    json_to(io::LineWriter::new(io::stderr()), program, id, level)
}

/// Like [`json`], but writes to `output`.
pub fn json_to(
    output: impl io::Write + Send + 'static,
    program: &'static str,
    id: &str,
    level: slog::Level,
) -> Logger {
    let drain = slog_json::Json::new(output)
        .set_newlines(true)
        .set_flush(true)
        .add_key_value(o!(
            "ts_ms" => FnValue(|_| crate::time::unix_millis()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &Record<'_>, serializer| serializer.emit(record.msg())),
        ))
        .build()
        .fuse();
    let drain = slog_async::Async::new(drain.filter_level(level).fuse()).build().fuse();
    Logger::root(drain, o!("program" => program, "id" => id.to_owned()))
}

/// A logger that discards all records, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
