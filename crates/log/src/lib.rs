//! Sets up `tracing` for all programs. Log events go to standard error, one per line, as text or as JSON; the level
//! can be changed while a program runs.
//!
//! Fields have the same names in every event, and wherever else they appear: `front` (the name of the instance, on
//! the span that encloses all events of a program), `member` (the id of a cache, a parent or the origin), `offering`,
//! `station`, `version`, `epoch`. An event whose level is disabled costs one comparison of integers: its message and
//! fields are not evaluated.
//!
//! A background thread writes the events, so that logging never blocks on a slow reader of standard error. Up to
//! [`MAX_QUEUED_EVENTS`] are queued; further ones are dropped and counted. A program calls [`finish`] before it exits.
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
    /// The same fields, with `timestamp`, `level`, `message`, and those of the span under `span`.
    Json,
}

/// Formats timestamps as Unix time in milliseconds with one decimal: the resolution of all times in this project.
struct UnixMillis;

impl FormatTime for UnixMillis {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let ticks = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() / 100;
        write!(w, "{}.{}", ticks / 10, ticks % 10)
    }
}

/// Enables this project's events at `level` and above, and those of other crates only from warnings on, since the
/// coroutine crate logs every file descriptor.
fn filter(level: LevelFilter) -> Targets {
    Targets::new().with_default(LevelFilter::WARN.min(level)).with_target("doorgrade", level)
}

/// The most events that may be queued to be written, of some 200 bytes each.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// How long an exiting program waits for its last events to be written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

static FILTER: OnceLock<reload::Handle<Targets, Registry>> = OnceLock::new();
static DROPPED_EVENTS: OnceLock<ErrorCounter> = OnceLock::new();
/// Dropping this guard writes the events that are still queued.
static WRITER_GUARD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Starts logging. A later call changes only the level, not the format.
pub fn start(level: LevelFilter, format: Format) {
    if FILTER.get().is_some() {
        return set_level(level);
    }
    let (filter, handle) = reload::Layer::new(filter(level));
    if FILTER.set(handle).is_err() {
        return;
    }
    let writer =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_EVENTS).thread_name("log");
    let (writer, guard) = writer.finish(std::io::stderr());
    let _ = DROPPED_EVENTS.set(writer.error_counter());
    *WRITER_GUARD.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
    let layer = tracing_subscriber::fmt::layer().with_writer(writer).with_timer(UnixMillis);
    let layer = layer.with_target(false).with_ansi(false);
    let layer: Box<dyn Layer<Registry> + Send + Sync> = match format {
        Format::Human => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).with_span_list(false).boxed(),
    };
    // Fails if a subscriber is already set, such as a test's: that one then receives the events.
    let _ = Registry::default().with(layer.with_filter(filter)).try_init();
}

pub fn set_level(level: LevelFilter) {
    if let Some(handle) = FILTER.get() {
        let _ = handle.reload(filter(level));
    }
}

/// Waits until the queued events are written, for at most [`FINISH_TIMEOUT`]. Events that are logged after this
/// call are lost.
pub fn finish() {
    let Some(guard) = WRITER_GUARD.lock().unwrap_or_else(PoisonError::into_inner).take() else { return };
    let (done, written) = mpsc::channel();
    // If the output is not read, dropping the guard may itself block, also while it prints that it timed out.
    let flusher = thread::Builder::new().name("log end".to_owned()).spawn(move || {
        drop(guard);
        let _ = done.send(());
    });
    if flusher.is_ok() {
        let _ = written.recv_timeout(FINISH_TIMEOUT);
    }
}

/// The number of events dropped so far because the queue was full.
pub fn dropped_events() -> usize {
    DROPPED_EVENTS.get().map_or(0, ErrorCounter::dropped_lines)
}
