//! Warnings before a certificate expires: weeks ahead, on given days and then daily. A warning depends only on the time
//! and on what this process has already reported, so that a restart repeats it and suppresses none.

use std::fmt;

use crate::{TICKS_PER_DAY, TICKS_PER_SECOND, Ticks};

/// Days before the expiry on which a warning is due. Six weeks outlast change freezes and holidays; in the last week
/// there is one each day.
pub const WARNING_DAYS: [u64; 10] = [42, 28, 14, 7, 6, 5, 4, 3, 2, 1];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warning {
    /// It expires in this time, and one of the warning days was reached.
    ExpiresIn(Ticks),
    /// It expired this long ago.
    ExpiredFor(Ticks),
    /// It becomes valid in this time.
    ValidIn(Ticks),
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let duration = |t: &Ticks| match (
            t / TICKS_PER_DAY,
            t / (3_600 * TICKS_PER_SECOND),
            t / (60 * TICKS_PER_SECOND),
        ) {
            (2.., ..) => format!("{} days", t / TICKS_PER_DAY),
            (_, 2.., _) => format!("{} hours", t / (3_600 * TICKS_PER_SECOND)),
            (.., minutes) => format!("{minutes} minutes"),
        };
        match self {
            Warning::ExpiresIn(left) => write!(f, "expires in {}", duration(left)),
            Warning::ExpiredFor(ago) => write!(f, "expired {} ago", duration(ago)),
            Warning::ValidIn(wait) => write!(f, "is good only in {}", duration(wait)),
        }
    }
}

/// The validity period of a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    pub not_before: Ticks,
    pub not_after: Ticks,
}

impl Validity {
    pub fn contains(&self, now: Ticks) -> bool {
        self.not_before <= now && now < self.not_after
    }

    /// How many warnings have become due: one for each of `WARNING_DAYS` reached, then one at the expiry and one for
    /// each day after it.
    fn warnings_due(&self, now: Ticks) -> u64 {
        let reached = |days: &&u64| now + **days * TICKS_PER_DAY >= self.not_after;
        let reached = WARNING_DAYS.iter().filter(reached).count() as u64;
        match now.checked_sub(self.not_after) {
            Some(ago) => WARNING_DAYS.len() as u64 + 1 + ago / TICKS_PER_DAY,
            None => reached,
        }
    }

    /// The warning that holds at this time, whether or not it was reported before.
    pub fn warning(&self, now: Ticks) -> Option<Warning> {
        if now < self.not_before {
            return Some(Warning::ValidIn(self.not_before - now));
        }
        match self.warnings_due(now) {
            0 => None,
            _ if now < self.not_after => Some(Warning::ExpiresIn(self.not_after - now)),
            _ => Some(Warning::ExpiredFor(now - self.not_after)),
        }
    }

    /// When the next warning is due.
    pub fn next_warning_at(&self, now: Ticks) -> Ticks {
        if now < self.not_before {
            return self.not_before;
        }
        if let Some(ago) = now.checked_sub(self.not_after) {
            return self.not_after + (ago / TICKS_PER_DAY + 1) * TICKS_PER_DAY;
        }
        let warnings = WARNING_DAYS.iter().map(|days| self.not_after.saturating_sub(days * TICKS_PER_DAY));
        warnings.filter(|at| *at > now).min().unwrap_or(self.not_after)
    }
}

/// One certificate, and the last warning that was reported of it.
#[derive(Clone, Debug)]
pub struct ExpiryWatch {
    pub validity: Validity,
    /// Whether it was not valid yet, and the number of warnings due.
    reported: Option<(bool, u64)>,
}

impl ExpiryWatch {
    pub fn new(validity: Validity) -> ExpiryWatch {
        ExpiryWatch { validity, reported: None }
    }

    /// The certificate was read again or replaced. One with the same validity period is not reported again.
    pub fn replace(&mut self, validity: Validity) {
        if validity != self.validity {
            *self = ExpiryWatch::new(validity);
        }
    }

    /// The warning to report now, each only once.
    pub fn take_warning(&mut self, now: Ticks) -> Option<Warning> {
        let warning = self.validity.warning(now)?;
        let stage = (matches!(warning, Warning::ValidIn(_)), self.validity.warnings_due(now));
        if self.reported == Some(stage) {
            return None;
        }
        self.reported = Some(stage);
        Some(warning)
    }
}
