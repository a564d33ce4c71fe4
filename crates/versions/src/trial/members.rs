//! Fronts as trials see them: what each runs, what it is to have, and what it answers.

use crate::evidence::Counts;
use crate::{Id, Ticks};

use super::contents::Key;

/// Experiments that may be under way side by side; a front has a seat in each at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    Canary,
    Wide,
    Undo,
}

pub(super) const SLOTS: [Slot; 3] = [Slot::Canary, Slot::Wide, Slot::Undo];

/// Where a front stands in an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Group {
    Arm(usize),
    Control,
}

#[derive(Clone, Debug)]
pub(super) struct Seat {
    pub group: Group,
    /// Its long run before, which stays the same for as long as it sits there.
    pub baseline: Counts,
    /// Since the last look; none: it has not reported.
    pub sample: Option<Counts>,
    /// Since when it has its seat.
    pub since: Ticks,
    /// It was not there in time and another has taken part in its place; it is waited for no more.
    pub replaced: bool,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    running: Option<Id>,
    counts: Counts,
    sequence: u64,
    at: Ticks,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Member {
    pub station: u32,
    pub connected: bool,
    pub runs: Option<Id>,
    /// The latest batch that is in what it runs.
    pub lineage: u64,
    /// The content that it is to have; none: what is proven.
    pub place: Option<Key>,
    /// The greatest place that it was offered.
    pub offered: Option<(u64, u64)>,
    /// Contents that it turned down: it is never given them again.
    pub refused: Vec<[u8; 32]>,
    pub seats: [Option<Seat>; SLOTS.len()],
    /// It was told to report often.
    pub fast: bool,
    last: Option<Report>,
    /// When its counts contradicted themselves last.
    contradicts: Option<Ticks>,
    /// Its accesses on what was proven, in this span and the one before.
    spans: [Counts; 2],
    span_since: Ticks,
}

/// A baseline reaches back one to two of these: long against a trial, short against a day.
const SPAN: Ticks = 600_000;
/// Accesses a second that no front can have.
const MOST_A_SECOND: u64 = 1_000_000;
/// Some seconds of a front with ordinary traffic.
const LEAST_BASELINE: u64 = 4_000;
const SLACK: u64 = 16;
const MOST_REFUSED: usize = 16;

fn add(to: &mut Counts, more: Counts) {
    to.asked = to.asked.saturating_add(more.asked);
    to.answered = to.answered.saturating_add(more.answered);
}

impl Member {
    pub fn seat(&self, slot: Slot) -> Option<&Seat> {
        self.seats[slot as usize].as_ref()
    }

    pub fn has_seat(&self) -> bool {
        self.seats.iter().any(Option::is_some)
    }

    pub fn baseline(&self) -> Counts {
        let mut both = self.spans[0];
        add(&mut both, self.spans[1]);
        both
    }

    /// Whether its long run says something.
    pub fn known(&self) -> bool {
        self.baseline().asked >= LEAST_BASELINE
    }

    /// Whether its counts have not contradicted themselves lately.
    pub fn believed(&self, now: Ticks) -> bool {
        self.contradicts.is_none_or(|at| now >= at + SPAN)
    }

    pub fn sit(&mut self, slot: Slot, group: Group, now: Ticks) {
        let baseline = self.baseline();
        self.seats[slot as usize] = Some(Seat { group, baseline, sample: None, since: now, replaced: false });
    }

    pub fn refuse(&mut self, hash: [u8; 32]) {
        if !self.refused.contains(&hash) {
            if self.refused.len() == MOST_REFUSED {
                self.refused.remove(0);
            }
            self.refused.push(hash);
        }
    }

    /// Its process is another one: counts begin anew.
    pub fn restarted(&mut self) {
        self.last = None;
    }

    /// What it answered between the last report and this, with what it ran throughout; none where that can't be told.
    pub fn report(
        &mut self,
        now: Ticks,
        running: Option<Id>,
        counts: Counts,
        sequence: u64,
    ) -> Option<Counts> {
        let before = self.last;
        if before.is_some_and(|last| sequence <= last.sequence) {
            return None;
        }
        self.last = Some(Report { running, counts, sequence, at: now });
        let last = before?;
        // Reports that waited on their way come close together: a second more than has passed.
        let most = (now.saturating_sub(last.at) / 10_000 + 1).saturating_mul(MOST_A_SECOND);
        let grown = |before: u64, after: u64| after.checked_sub(before);
        let asked = grown(last.counts.asked, counts.asked).filter(|asked| *asked <= most);
        let answered = grown(last.counts.answered, counts.answered);
        // The two may have been read a moment apart: some more than there can be are no contradiction.
        let some = |asked: u64| asked.saturating_add(asked / 4).saturating_add(SLACK);
        let (Some(asked), Some(answered)) =
            (asked, answered.filter(|n| asked.is_some_and(|of| *n <= some(of))))
        else {
            self.contradicts = Some(now);
            return None;
        };
        let answered = answered.min(asked);
        (last.running == running && running == self.runs).then_some(Counts { asked, answered })
    }

    /// Accesses on what is everyone's count for its long run.
    pub fn ordinary(&mut self, now: Ticks, counts: Counts) {
        if now >= self.span_since + SPAN {
            self.spans = [Counts::default(), self.spans[0]];
            self.span_since = now;
        }
        add(&mut self.spans[0], counts);
    }

    /// Takes part with what it answered since the last look; says whether that is the first time since.
    pub fn sample(&mut self, slot: Slot, counts: Counts) -> bool {
        let Some(seat) = &mut self.seats[slot as usize] else { return false };
        let first = seat.sample.is_none();
        add(seat.sample.get_or_insert_default(), counts);
        first
    }
}
