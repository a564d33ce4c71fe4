//! The log: `tracing`, set up once for all programs. Lines go to standard error, for people or as JSON, one
//! object each; the level can be changed while it runs.
//!
//! Field names are the same in every line and everywhere else they appear: `front` (the instance's name, on the
//! span that all lines of a program stand in), `member` (a cache, parent or the archive, by its id), `offering`,
//! `station`, `version`, `epoch`. A line at a level that is off costs one comparison of a number in memory: what
//! it would say is not worked out.
//!
//! A thread of the log's own writes the lines, so that nobody who logs waits for whoever reads them. It keeps up to
//! [`KEPT_LINES`]; further ones are dropped and counted. A program calls [`finish`] before it ends.
#![forbid(unsafe_code)]

use std::fmt;
use std::sync::{Mutex, OnceLock, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use tracing::{self, level_filters::LevelFilter};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, reload};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `1764590000123.4  INFO serve{front="n1"}: text field=value`
    #[default]
    Human,
    /// The same fields, with `timestamp`, `level`, `message`, and the span's under `span`.
    Json,
}

/// Unix milliseconds and a tenth, as everywhere in this project.
struct Ticks;

impl FormatTime for Ticks {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() / 100;
        write!(w, "{}.{}", now / 10, now % 10)
    }
}

/// The project's own lines from a level on; of others' only warnings: the coroutine crate tells of every
/// descriptor.
fn filter(level: LevelFilter) -> Targets {
    Targets::new().with_default(LevelFilter::WARN.min(level)).with_target("doorgrade", level)
}

/// Lines that wait to be written at the most; of some 200 bytes each.
const KEPT_LINES: usize = 4_096;
/// How long a program that ends waits for its last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(200);

static LEVEL: OnceLock<reload::Handle<Targets, Registry>> = OnceLock::new();
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();
/// Writes what still waits once it is dropped.
static WRITER: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Starts the log. A later call only changes the level: the format is of the start.
pub fn start(level: LevelFilter, format: Format) {
    if LEVEL.get().is_some() {
        return set_level(level);
    }
    let (filter, handle) = reload::Layer::new(filter(level));
    if LEVEL.set(handle).is_err() {
        return;
    }
    let writer =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(KEPT_LINES).thread_name("log");
    let (writer, guard) = writer.finish(std::io::stderr());
    let _ = DROPPED.set(writer.error_counter());
    *WRITER.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_timer(Ticks);
    let lines = lines.with_target(false).with_ansi(false);
    let lines: Box<dyn Layer<Registry> + Send + Sync> = match format {
        Format::Human => lines.boxed(),
        Format::Json => lines.json().flatten_event(true).with_span_list(false).boxed(),
    };
    // Another log was set up already: a test's, which then has the lines.
    let _ = Registry::default().with(lines.with_filter(filter)).try_init();
}

pub fn set_level(level: LevelFilter) {
    if let Some(handle) = LEVEL.get() {
        let _ = handle.reload(filter(level));
    }
}

/// Writes what still waits, for [`LAST_LINES`] at the most. Lines that are logged afterwards are lost.
pub fn finish() {
    let Some(guard) = WRITER.lock().unwrap_or_else(PoisonError::into_inner).take() else { return };
    let (done, written) = mpsc::channel();
    // Where the lines are not read, dropping the guard may itself wait to say so.
    let last = thread::Builder::new().name("log end".to_owned()).spawn(move || {
        drop(guard);
        let _ = done.send(());
    });
    if last.is_ok() {
        let _ = written.recv_timeout(LAST_LINES);
    }
}

/// Lines dropped so far, since too many waited to be written.
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}
