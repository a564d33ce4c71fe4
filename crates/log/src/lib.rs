//! The log: `tracing`, set up once for all programs. Lines go to standard error, for people or as JSON, one
//! object each; the level can be changed while it runs.
//!
//! Field names are the same in every line and everywhere else they appear: `front` (the instance's name, on the
//! span that all lines of a program stand in), `member` (a cache, parent or the archive, by its id), `offering`,
//! `station`, `version`, `epoch`. A line at a level that is off costs one comparison of a number in memory: what
//! it would say is not worked out.
#![forbid(unsafe_code)]

use std::fmt;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

pub use tracing::{self, level_filters::LevelFilter};
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
struct Tenths;

impl FormatTime for Tenths {
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

static LEVEL: OnceLock<reload::Handle<Targets, Registry>> = OnceLock::new();

/// Starts the log. A later call only changes the level: the format is of the start.
pub fn start(level: LevelFilter, format: Format) {
    if LEVEL.get().is_some() {
        return set_level(level);
    }
    let (filter, handle) = reload::Layer::new(filter(level));
    if LEVEL.set(handle).is_err() {
        return;
    }
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_timer(Tenths);
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
