//! Fronts as trials see them: what each runs, what it is to run, and what it reports.

use crate::evidence::Counts;
use crate::{Ticks, VersionId};

use super::contents::ContentKey;

/// Experiments that may run at the same time; a front can be enrolled in each once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    Canary,
    Wide,
    Undo,
}

pub(super) const SLOTS: [Slot; 3] = [Slot::Canary, Slot::Wide, Slot::Undo];

/// The group of a front in an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Group {
    Arm(usize),
    Control,
}

#[derive(Clone, Debug)]
pub(super) struct Enrollment {
    pub group: Group,
    /// Its baseline from before the experiment, which stays the same for as long as it is enrolled.
    pub baseline: Counts,
    /// Counts since the last sample; `None` if it has not reported.
    pub sample: Option<Counts>,
    /// Since when it has been enrolled.
    pub since: Ticks,
    /// It did not apply its content in time; another front was enrolled instead and it is not waited for.
    pub replaced: bool,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    running: Option<VersionId>,
    counts: Counts,
    sequence: u64,
    received_at: Ticks,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Member {
    pub station: u32,
    pub connected: bool,
    pub running: Option<VersionId>,
    /// Generation of the running content.
    pub generation: u64,
    /// The content that it is to run; `None`: the proven one.
    pub assigned: Option<ContentKey>,
    /// The greatest position (epoch, number) that it was offered.
    pub offered: Option<(u64, u64)>,
    /// Contents that it rejected: it is never assigned them again.
    pub rejected: Vec<[u8; 32]>,
    pub enrollments: [Option<Enrollment>; SLOTS.len()],
    /// Whether it was requested to report at the fast interval.
    pub fast_reports: bool,
    last_report: Option<Report>,
    /// When its counters were last inconsistent.
    last_inconsistency: Option<Ticks>,
    /// Its accesses on the proven content, in the current baseline period and the one before.
    spans: [Counts; 2],
    span_since: Ticks,
}

/// A baseline covers one to two of these periods: long compared with a trial, short compared with a day.
const BASELINE_SPAN: Ticks = 600_000;
/// Plausibility limit of a front's accesses per second.
const MAX_ACCESSES_PER_SECOND: u64 = 1_000_000;
/// Minimum accesses of a usable baseline: a few seconds of ordinary traffic.
const MIN_BASELINE_ACCESSES: u64 = 4_000;
/// Accesses by which the two counters of a report may differ, since they are not read at the same moment.
const READ_SKEW_ACCESSES: u64 = 16;
/// Limit of the rejected contents that are remembered for each front.
const MAX_REJECTED: usize = 16;

fn add(to: &mut Counts, more: Counts) {
    to.accesses = to.accesses.saturating_add(more.accesses);
    to.answered = to.answered.saturating_add(more.answered);
}

impl Member {
    pub fn enrollment(&self, slot: Slot) -> Option<&Enrollment> {
        self.enrollments[slot as usize].as_ref()
    }

    pub fn is_enrolled(&self) -> bool {
        self.enrollments.iter().any(Option::is_some)
    }

    pub fn baseline(&self) -> Counts {
        let mut both = self.spans[0];
        add(&mut both, self.spans[1]);
        both
    }

    /// Whether its baseline has enough accesses.
    pub fn has_baseline(&self) -> bool {
        self.baseline().accesses >= MIN_BASELINE_ACCESSES
    }

    /// Whether its counters have been consistent lately.
    pub fn is_trusted(&self, now: Ticks) -> bool {
        self.last_inconsistency.is_none_or(|time| now >= time + BASELINE_SPAN)
    }

    pub fn enroll(&mut self, slot: Slot, group: Group, now: Ticks) {
        let baseline = self.baseline();
        self.enrollments[slot as usize] =
            Some(Enrollment { group, baseline, sample: None, since: now, replaced: false });
    }

    pub fn remember_rejection(&mut self, hash: [u8; 32]) {
        if !self.rejected.contains(&hash) {
            if self.rejected.len() == MAX_REJECTED {
                self.rejected.remove(0);
            }
            self.rejected.push(hash);
        }
    }

    /// Forgets the last report: the front's process was restarted and its counters begin anew.
    pub fn reset_counts(&mut self) {
        self.last_report = None;
    }

    /// The counts between the last report and this one, if it ran the same version throughout and the counters
    /// are consistent.
    pub fn report(
        &mut self,
        now: Ticks,
        running: Option<VersionId>,
        counts: Counts,
        sequence: u64,
    ) -> Option<Counts> {
        let before = self.last_report;
        if before.is_some_and(|last| sequence <= last.sequence) {
            return None;
        }
        self.last_report = Some(Report { running, counts, sequence, received_at: now });
        let last = before?;
        // Delayed reports arrive close together: allows one second more than has passed.
        let max_accesses =
            (now.saturating_sub(last.received_at) / 10_000 + 1).saturating_mul(MAX_ACCESSES_PER_SECOND);
        let growth = |before: u64, after: u64| after.checked_sub(before);
        let accesses =
            growth(last.counts.accesses, counts.accesses).filter(|accesses| *accesses <= max_accesses);
        let answered = growth(last.counts.answered, counts.answered);
        // The two counters may have been read at slightly different times: a small excess is not an
        // inconsistency.
        let plausible =
            |accesses: u64| accesses.saturating_add(accesses / 4).saturating_add(READ_SKEW_ACCESSES);
        let (Some(accesses), Some(answered)) =
            (accesses, answered.filter(|n| accesses.is_some_and(|of| *n <= plausible(of))))
        else {
            self.last_inconsistency = Some(now);
            return None;
        };
        let answered = answered.min(accesses);
        (last.running == running && running == self.running).then_some(Counts { accesses, answered })
    }

    /// Adds accesses on the proven content to the baseline.
    pub fn add_to_baseline(&mut self, now: Ticks, counts: Counts) {
        if now >= self.span_since + BASELINE_SPAN {
            self.spans = [Counts::default(), self.spans[0]];
            self.span_since = now;
        }
        add(&mut self.spans[0], counts);
    }

    /// Adds counts to the sample of an experiment; returns whether they are the first since the last sample.
    pub fn sample(&mut self, slot: Slot, counts: Counts) -> bool {
        let Some(enrollment) = &mut self.enrollments[slot as usize] else { return false };
        let first = enrollment.sample.is_none();
        add(enrollment.sample.get_or_insert_default(), counts);
        first
    }
}
