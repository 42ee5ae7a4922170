//! Structured logging: one JSON object per line.
//!
//! A background thread writes the lines. Records that do not fit into its queue are dropped, and a
//! later line reports how many, so logging never blocks the caller. A program calls [`flush`] before it
//! ends, because the thread ends with it.

use std::io;
use std::mem;
use std::sync::mpsc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::Drain;
use slog::FnValue;
use slog::Logger;
use slog::PushFnValue;
use slog::Record;
use slog::o;
use slog_async::AsyncGuard;

/// Maximum time that [`flush`] waits: an output that nobody reads must not keep a program running.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Background threads of all loggers.
static WRITERS: Mutex<Vec<AsyncGuard>> = Mutex::new(Vec::new());

/// Waits until the lines of all loggers are written. Later ones are lost.
pub fn flush() {
    let writers = mem::take(&mut *WRITERS.lock());
    let (done, flushed) = mpsc::channel();
    std::thread::spawn(move || {
        drop(writers);
        // The caller may have stopped waiting.
        let _ = done.send(());
    });
    // After the timeout the rest is given up.
    let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
}

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
    let (drain, writer) =
        slog_async::Async::new(drain.filter_level(level).fuse()).build_with_guard();
    WRITERS.lock().push(writer);
    let drain = drain.fuse();
    Logger::root(drain, o!("program" => program, "id" => id.to_owned()))
}

/// A logger that discards all records, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
