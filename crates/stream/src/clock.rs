//! The time, in ticks of 0.1 ms.
//!
//! All timeouts are measured on the monotonic clock. It is offset by the Unix time at its first reading in this
//! process, so that it can be compared with times that other processes report; later steps of the wall clock have no
//! effect on it.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use doorgrade_versions::Ticks;

/// An offset in ticks that tests add to the wall clock of this process.
static TEST_OFFSET: AtomicI64 = AtomicI64::new(0);

/// The system's current Unix time. It may be stepped at any time.
pub fn unix() -> Ticks {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix = u64::try_from(since_epoch.as_micros() / 100).unwrap_or(u64::MAX);
    unix.saturating_add_signed(TEST_OFFSET.load(Ordering::Relaxed))
}

/// The time on this process's monotonic clock, which never jumps and never goes back.
pub fn now() -> Ticks {
    static START: OnceLock<(Instant, Ticks)> = OnceLock::new();
    let (started, unix) = START.get_or_init(|| (Instant::now(), unix()));
    let elapsed = u64::try_from(started.elapsed().as_micros() / 100).unwrap_or(u64::MAX);
    unix.saturating_add(elapsed)
}

/// The environment variable in which a test names a file with the wall clock's offset in milliseconds. The file is read
/// at startup and at SIGHUP.
const TEST_OFFSET_VARIABLE: &str = "DOORGRADE_CLOCK_OFF";

/// Applies the wall clock offset that a test has set, if there is one.
pub fn load_test_offset() {
    let Some(file) = std::env::var_os(TEST_OFFSET_VARIABLE) else { return };
    let offset = std::fs::read_to_string(&file).ok().and_then(|text| text.trim().parse::<i64>().ok());
    let ms = offset.unwrap_or(0);
    if TEST_OFFSET.swap(ms.saturating_mul(10), Ordering::Relaxed) != ms.saturating_mul(10) {
        tracing::warn!("{TEST_OFFSET_VARIABLE}: the clock is taken to be {ms} ms off; this is for tests");
    }
}
