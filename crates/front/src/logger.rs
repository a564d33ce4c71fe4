//! A small logger to standard error: time, level, text.

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};

struct Logger;

impl Log for Logger {
    /// The coroutine crate tells of every descriptor; only its warnings are wanted.
    fn enabled(&self, of: &Metadata<'_>) -> bool {
        of.level() <= if of.target().starts_with("doorgrade") { log::max_level() } else { LevelFilter::Warn }
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let now = crate::clock::unix();
            let line = format!("{}.{} {:5} {}\n", now / 10, now % 10, record.level(), record.args());
            // Nobody is left to be told that the log can't be written.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Logs from the given level on; a second call changes only the level.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&Logger);
    log::set_max_level(level);
}
