//! Time: the system's Unix clock in tenths of a millisecond, never backwards.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use doorgrade::Tenths;

/// By how much this process is to take the clock for off, in tests.
static OFF: AtomicI64 = AtomicI64::new(0);

/// The system's Unix clock as it stands.
pub fn unix() -> Tenths {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let unix = u64::try_from(since.as_micros() / 100).unwrap_or(u64::MAX);
    unix.saturating_add_signed(OFF.load(Ordering::Relaxed))
}

/// In a test's environment: a file with the milliseconds by which the clock is off. Read at the start and at SIGHUP.
const OFF_FILE: &str = "DOORGRADE_CLOCK_OFF";

/// Takes over what a test says of the clock, if one does.
pub fn heed_tests() {
    let Some(file) = std::env::var_os(OFF_FILE) else { return };
    let told = std::fs::read_to_string(&file).ok().and_then(|text| text.trim().parse::<i64>().ok());
    let ms = told.unwrap_or(0);
    if OFF.swap(ms.saturating_mul(10), Ordering::Relaxed) != ms.saturating_mul(10) {
        tracing::warn!("{OFF_FILE}: the clock is taken to be {ms} ms off; this is for tests");
    }
}

/// A clock that goes on from where it was when the system's is set back.
#[derive(Default)]
pub struct Clock {
    last: Tenths,
    /// Set back by more than a moment, the system's clock is followed from where it had been: timers must go
    /// on.
    pub ahead: Tenths,
}

impl Clock {
    const MOMENT: Tenths = 10_000;

    pub fn now(&mut self) -> Tenths {
        self.follow(unix())
    }

    pub fn follow(&mut self, unix: Tenths) -> Tenths {
        let behind = self.last.saturating_sub(unix + self.ahead);
        if behind > Self::MOMENT {
            self.ahead += behind;
        }
        self.last = self.last.max(unix + self.ahead);
        self.last
    }
}
