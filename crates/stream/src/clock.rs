//! Time, in tenths of a millisecond.
//!
//! All that is waited for is a span of the monotonic clock. It is counted from the Unix time at which this process
//! looked first, so that times that others tell can be compared with it; the wall clock may be stepped afterwards.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use doorgrade_versions::Ticks;

/// By how much this process is to take the wall clock for off, in tests.
static OFF: AtomicI64 = AtomicI64::new(0);

/// The system's Unix clock as it stands. It may be stepped at any time.
pub fn unix() -> Ticks {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix = u64::try_from(since.as_micros() / 100).unwrap_or(u64::MAX);
    unix.saturating_add_signed(OFF.load(Ordering::Relaxed))
}

/// The time as this process counts it: it never jumps, and never goes back.
pub fn now() -> Ticks {
    static START: OnceLock<(Instant, Ticks)> = OnceLock::new();
    let (started, unix) = START.get_or_init(|| (Instant::now(), unix()));
    let since = u64::try_from(started.elapsed().as_micros() / 100).unwrap_or(u64::MAX);
    unix.saturating_add(since)
}

/// In a test's environment: a file with the milliseconds by which the wall clock is off. Read at the start and at SIGHUP.
const OFF_FILE: &str = "DOORGRADE_CLOCK_OFF";

/// Takes over what a test says of the wall clock, if one does.
pub fn heed_tests() {
    let Some(file) = std::env::var_os(OFF_FILE) else { return };
    let told = std::fs::read_to_string(&file).ok().and_then(|text| text.trim().parse::<i64>().ok());
    let ms = told.unwrap_or(0);
    if OFF.swap(ms.saturating_mul(10), Ordering::Relaxed) != ms.saturating_mul(10) {
        tracing::warn!("{OFF_FILE}: the clock is taken to be {ms} ms off; this is for tests");
    }
}
