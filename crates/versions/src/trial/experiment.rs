//! An experiment under way: arms against one control group, and what came of each.

use crate::evidence::{Comparison, FrontKey, FrontSample, TestSettings, Verdict};
use crate::{Reason, Ticks};

use super::Harm;
use super::contents::Key;
use super::members::{Group, Member, Slot};

/// What an arm tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// This change alone.
    Single(u64),
    /// The first changes of the batch, that many.
    Prefix(usize),
    /// All of the batch.
    Combined,
}

#[derive(Clone, Debug)]
pub(super) struct Arm {
    pub purpose: Purpose,
    pub content: Key,
    /// It can't be tried without those before it: what they do is not its fault.
    pub builds: bool,
    /// How many fronts it is to have.
    pub size: usize,
    pub fronts: Vec<usize>,
    pub comparison: Comparison,
    /// Fronts that it was ever given to, and of these: gone, turned down, not there in time.
    pub given: usize,
    pub gone: usize,
    pub refused: usize,
    pub slow: usize,
    pub first_refusal: Option<Reason>,
}

impl Arm {
    pub fn new(purpose: Purpose, content: Key, size: usize, settings: TestSettings) -> Arm {
        Arm {
            purpose,
            content,
            builds: false,
            size,
            fronts: Vec::new(),
            comparison: Comparison::new(settings),
            given: 0,
            gone: 0,
            refused: 0,
            slow: 0,
            first_refusal: None,
        }
    }

    /// Whether fronts have shown that it does harm. `lost`: the share of all other fronts that have gone meanwhile.
    pub fn harm(&self, refused: f64, lost: f64) -> Option<Harm> {
        if self.refused as f64 > refused * self.given as f64 {
            let first = self.first_refusal.clone().unwrap_or(Reason::Contradicts);
            return Some(Harm::Refused { count: self.refused, of: self.given, first });
        }
        if self.gone >= 2 && tail(self.given, self.gone, lost) < MISSING_BY_CHANCE {
            return Some(Harm::Missing { count: self.gone, of: self.given });
        }
        match self.comparison.verdict() {
            Verdict::Harmful { drop, accesses } => {
                Some(Harm::Dropped { thousandths: (1e3 * drop.clamp(0.0, 1.0)).round() as u32, accesses })
            }
            _ => None,
        }
    }

    /// Whether nothing can be told though it was asked that much.
    pub fn undecided_after(&self, plenty: u64) -> bool {
        matches!(self.comparison.verdict(), Verdict::Undecided { accesses } if accesses >= plenty)
    }

    pub fn harmless(&self) -> bool {
        matches!(self.comparison.verdict(), Verdict::Harmless { .. })
    }
}

/// Fronts that go while others stay: less likely than this by chance, and what they were given is to blame.
const MISSING_BY_CHANCE: f64 = 1e-5;

/// Probability that of `of` fronts at least `count` go, where each goes with probability `p`.
fn tail(of: usize, count: usize, p: f64) -> f64 {
    let (p, mut sum) = (p.clamp(1e-9, 1.0 - 1e-9), 0.0);
    // From none on, each from the one before.
    let mut term = (1.0 - p).powi(of.min(i32::MAX as usize) as i32);
    for k in 0..count.min(of + 1) {
        sum += term;
        term *= (of - k) as f64 / (k + 1) as f64 * p / (1.0 - p);
    }
    (1.0 - sum).max(0.0)
}

#[derive(Clone, Debug)]
pub(super) struct Experiment {
    pub slot: Slot,
    pub arms: Vec<Arm>,
    pub control: Vec<usize>,
    pub control_size: usize,
    /// What the control group runs; none: whatever each runs.
    pub control_hash: Option<[u8; 32]>,
    /// Members that have reported since the last look.
    pub fresh: usize,
    pub looked: Ticks,
    pub since: Ticks,
    /// Connected fronts when it began, and how many have gone that are in no arm of it.
    pub others: usize,
    pub others_gone: usize,
}

impl Experiment {
    pub fn new(slot: Slot, now: Ticks, control_hash: Option<[u8; 32]>) -> Experiment {
        Experiment {
            slot,
            arms: Vec::new(),
            control: Vec::new(),
            control_size: 0,
            control_hash,
            fresh: 0,
            looked: now,
            since: now,
            others: 0,
            others_gone: 0,
        }
    }

    pub fn count(&self) -> usize {
        self.control.len() + self.arms.iter().map(|a| a.fronts.len()).sum::<usize>()
    }

    /// The share of fronts outside its arms that have gone: half a front more, so that it is never nothing.
    pub fn lost(&self) -> f64 {
        (self.others_gone as f64 + 0.5) / (self.others as f64 + 1.0)
    }

    /// Looks at what its members reported since the last time.
    pub fn look(&mut self, now: Ticks, members: &mut [Member]) {
        let slot = self.slot;
        let mut take = |fronts: &[usize]| -> Vec<(FrontKey, FrontSample)> {
            let seats = fronts.iter().filter_map(|&at| {
                let seat = members[at].seats[slot as usize].as_mut()?;
                let counts = seat.sample.take()?;
                Some((at, FrontSample { counts, baseline: seat.baseline }))
            });
            seats.collect()
        };
        let control = take(&self.control);
        for arm in &mut self.arms {
            let samples = take(&arm.fronts);
            arm.comparison.observe(&samples, &control);
        }
        (self.fresh, self.looked) = (0, now);
    }

    /// One of its members is in it no more.
    pub fn leave(&mut self, at: usize, group: Group) {
        match group {
            Group::Control => self.control.retain(|&m| m != at),
            Group::Arm(arm) => {
                if let Some(arm) = self.arms.get_mut(arm) {
                    arm.fronts.retain(|&m| m != at);
                }
            }
        }
    }
}
