//! A running experiment: arms compared with one control group, and their results.

use crate::evidence::{Comparison, FrontKey, FrontSample, TestSettings, Verdict};
use crate::{RejectionReason, Ticks};

use super::RemovalReason;
use super::contents::ContentKey;
use super::members::{Group, Member, Slot};

/// The changes that an arm tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// One change alone.
    Single(u64),
    /// The first changes of the batch, up to this count.
    Prefix(usize),
    /// All changes of the batch.
    Combined,
}

#[derive(Clone, Debug)]
pub(super) struct Arm {
    pub purpose: Purpose,
    pub content: ContentKey,
    /// It can't be tried without the changes before it, and is not to blame for their effects.
    pub depends_on_earlier: bool,
    /// How many fronts it should have.
    pub size: usize,
    pub fronts: Vec<usize>,
    pub comparison: Comparison,
    /// Fronts that were ever assigned to it; and how many of these disconnected, rejected it, or did not apply
    /// it in time.
    pub assigned: usize,
    pub lost: usize,
    pub rejected: usize,
    pub slow: usize,
    pub first_rejection: Option<RejectionReason>,
}

impl Arm {
    pub fn new(purpose: Purpose, content: ContentKey, size: usize, settings: TestSettings) -> Arm {
        Arm {
            purpose,
            content,
            depends_on_earlier: false,
            size,
            fronts: Vec::new(),
            comparison: Comparison::new(settings),
            assigned: 0,
            lost: 0,
            rejected: 0,
            slow: 0,
            first_rejection: None,
        }
    }

    /// The harm that its fronts have shown, if any. `lost_share`: the share of all other fronts that have
    /// disconnected since the start.
    pub fn harm(&self, max_rejected_share: f64, lost_share: f64) -> Option<RemovalReason> {
        if self.rejected as f64 > max_rejected_share * self.assigned as f64 {
            let first = self.first_rejection.clone().unwrap_or(RejectionReason::ConflictingContent);
            return Some(RemovalReason::Rejected { count: self.rejected, of: self.assigned, first });
        }
        if self.lost >= 2 && binomial_tail(self.assigned, self.lost, lost_share) < LOSS_SIGNIFICANCE {
            return Some(RemovalReason::FrontsLost { count: self.lost, of: self.assigned });
        }
        match self.comparison.verdict() {
            Verdict::Harmful { drop, accesses } => Some(RemovalReason::ServiceDrop {
                thousandths: (1e3 * drop.clamp(0.0, 1.0)).round() as u32,
                accesses,
            }),
            _ => None,
        }
    }

    /// Whether there is no verdict after this many accesses.
    pub fn is_inconclusive(&self, min_accesses: u64) -> bool {
        matches!(self.comparison.verdict(), Verdict::Undecided { accesses } if accesses >= min_accesses)
    }

    pub fn is_harmless(&self) -> bool {
        matches!(self.comparison.verdict(), Verdict::Harmless { .. })
    }
}

/// If the probability that so many fronts of an arm disconnect by chance is below this, the arm's content is
/// to blame.
const LOSS_SIGNIFICANCE: f64 = 1e-5;

/// Probability that at least `count` of `of` fronts disconnect if each does so with probability `p`.
fn binomial_tail(of: usize, count: usize, p: f64) -> f64 {
    let (p, mut sum) = (p.clamp(1e-9, 1.0 - 1e-9), 0.0);
    // Terms of the binomial distribution from zero on, each computed from the one before.
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
    /// The content that the control group runs; `None` if each runs whatever it has.
    pub control_hash: Option<[u8; 32]>,
    /// Members that have reported since the last sample.
    pub reported: usize,
    pub sampled_at: Ticks,
    pub since: Ticks,
    /// Connected fronts when it began, and how many outside its arms have disconnected since.
    pub others: usize,
    pub others_lost: usize,
}

impl Experiment {
    pub fn new(slot: Slot, now: Ticks, control_hash: Option<[u8; 32]>) -> Experiment {
        Experiment {
            slot,
            arms: Vec::new(),
            control: Vec::new(),
            control_size: 0,
            control_hash,
            reported: 0,
            sampled_at: now,
            since: now,
            others: 0,
            others_lost: 0,
        }
    }

    pub fn count(&self) -> usize {
        self.control.len() + self.arms.iter().map(|a| a.fronts.len()).sum::<usize>()
    }

    /// The share of fronts outside its arms that have disconnected, counting half a front more so that it is
    /// never zero.
    pub fn lost_share(&self) -> f64 {
        (self.others_lost as f64 + 0.5) / (self.others as f64 + 1.0)
    }

    /// Evaluates the reports of its members since the last sample.
    pub fn take_samples(&mut self, now: Ticks, members: &mut [Member]) {
        let slot = self.slot;
        let mut samples_of = |fronts: &[usize]| -> Vec<(FrontKey, FrontSample)> {
            let enrollments = fronts.iter().filter_map(|&index| {
                let enrollment = members[index].enrollments[slot as usize].as_mut()?;
                let counts = enrollment.sample.take()?;
                Some((index, FrontSample { counts, baseline: enrollment.baseline }))
            });
            enrollments.collect()
        };
        let control = samples_of(&self.control);
        for arm in &mut self.arms {
            let samples = samples_of(&arm.fronts);
            arm.comparison.observe(&samples, &control);
        }
        (self.reported, self.sampled_at) = (0, now);
    }

    /// Removes a member.
    pub fn leave(&mut self, index: usize, group: Group) {
        match group {
            Group::Control => self.control.retain(|&m| m != index),
            Group::Arm(arm) => {
                if let Some(arm) = self.arms.get_mut(arm) {
                    arm.fronts.retain(|&m| m != index);
                }
            }
        }
    }
}
