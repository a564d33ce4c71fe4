//! The canary experiment of a batch: each change alone and all of them combined, and what follows from the
//! verdicts.

use std::sync::Arc;

use super::contents::ContentKey;
use super::experiment::{Arm, Experiment, Purpose};
use super::members::Slot;
use super::{ChangeState, Effect, MAX_BATCH, RemovalReason, Stage, ThinTraffic, Trials};
use crate::evidence::TestSettings;
use crate::service::LogEvent;
use crate::{Ticks, merge};

#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub changes: Vec<u64>,
    /// The content that the changes are applied to; `None` if nothing was published before.
    pub base: Option<ContentKey>,
    /// The base with all changes.
    pub content: ContentKey,
    pub generation: u64,
    pub experiment: Experiment,
    /// It passed its canary experiment and waits for the current wide experiment to end.
    pub passed: bool,
    /// Started while too few fronts had a baseline.
    baselines_missing: bool,
}

impl Batch {
    /// Whether a content belongs to one of its arms.
    pub fn has(&self, key: ContentKey) -> bool {
        self.content == key || self.experiment.arms.iter().any(|a| a.content == key)
    }

    /// The first change that is harmful alone.
    fn harmful_single(&self, max_rejected_share: f64) -> Option<(u64, RemovalReason)> {
        let lost_share = self.experiment.lost_share();
        let mut earlier_harmless = true;
        for arm in &self.experiment.arms {
            let Purpose::Single(number) = arm.purpose else { continue };
            if let Some(harm) = arm
                .harm(max_rejected_share, lost_share)
                .filter(|_| earlier_harmless || !arm.depends_on_earlier)
            {
                return Some((number, harm));
            }
            earlier_harmless &= arm.is_harmless();
        }
        None
    }

    pub(super) fn harm_of(
        &self,
        max_rejected_share: f64,
        of: impl Fn(Purpose) -> bool,
    ) -> Option<(Purpose, RemovalReason)> {
        let lost_share = self.experiment.lost_share();
        let arms = self.experiment.arms.iter().filter(|a| of(a.purpose));
        arms.filter_map(|a| Some((a.purpose, a.harm(max_rejected_share, lost_share)?))).next()
    }
}

/// Minimum number of fronts in an arm: a single one may be faulty, and one may disconnect.
const MIN_ARM: usize = 3;
/// Minimum size of the control group, if there are enough fronts. A smaller one shows too little of how fronts differ
/// without any change: 4 canaries were judged harmless after 1 s with 16 control fronts, and after 7.5 s with 4.
pub(super) const MIN_CONTROL: usize = 16;

/// An arm without a verdict after this many accesses is unlikely to reach one soon.
pub(super) const INCONCLUSIVE_ACCESSES: u64 = 20_000;

/// Changes merged into a base: each alone, and all of them.
struct MergedChanges {
    changes: Vec<u64>,
    /// The content with each change, and whether it also needed the changes before it.
    singles: Vec<(Arc<[u8]>, bool)>,
    combined_content: Arc<[u8]>,
}

fn as_interaction(harm: RemovalReason) -> RemovalReason {
    match harm {
        RemovalReason::ServiceDrop { thousandths, accesses } => {
            RemovalReason::Interaction { thousandths, accesses }
        }
        other => other,
    }
}

impl Trials {
    pub(super) fn settings(&self, arm: usize, control: usize) -> TestSettings {
        TestSettings {
            false_stop: self.rules.false_stop,
            tolerated_drop: self.tolerated_drop,
            min_fronts: arm.min(control).clamp(1, MIN_ARM),
        }
    }

    /// Starts whatever experiment can start.
    pub(super) fn advance(&mut self, now: Ticks) {
        if self.wide.is_none() && self.canary.as_ref().is_some_and(|c| c.passed) {
            self.open_wide(now);
        }
        if self.canary.is_none() && !self.queue.is_empty() {
            self.open_canary(now);
        }
    }

    // ---- the canary experiment

    fn open_canary(&mut self, now: Ticks) {
        let base = self.wide.as_ref().map(|w| w.content).or(self.proven);
        let seed = self.generation + 1;
        let pool = self.pool(now, base, seed);
        let (available, baselines_missing) =
            (pool.available(), pool.with_baseline() < pool.available().min(2 * MIN_CONTROL));
        // After a restart, fronts get a baseline within a few reports.
        if baselines_missing && now < self.baseline_deadline(now) {
            return;
        }
        self.baseline_deadline = None;
        let connected = self.members.iter().filter(|m| m.connected).count();
        // The number of fronts that may run an unproven content; the rest of the pool is the control group.
        let room = match &self.wide {
            Some(_) => available.saturating_sub(MIN_CONTROL.max(available / 3)),
            None => ((self.rules.share * connected as f64) as usize).min(available / 2),
        };
        if self.wide.is_some() && room < MIN_ARM {
            return;
        }
        let fits = |k: usize| if k == 1 { MIN_ARM } else { (k + 1) * MIN_ARM } <= room;
        let max_changes = (1..=MAX_BATCH).rev().find(|&k| fits(k)).unwrap_or(1);
        let alone = |n: &&u64| self.changes.get(n).is_some_and(|c| c.try_alone);
        let picked: Vec<u64> = match self.queue.first() {
            Some(first) if alone(&first) => vec![*first],
            _ => self.queue.iter().take_while(|n| !alone(n)).take(max_changes).copied().collect(),
        };
        let Some(MergedChanges { changes, singles, combined_content }) =
            self.merge_changes(now, base, &picked)
        else {
            return;
        };
        let generation = self.next_generation();
        let base_generation = base.map_or(0, |key| self.contents.generation(key));
        let arms = if changes.len() == 1 { 1 } else { changes.len() + 1 };
        let size = (room / arms).clamp(1, self.rules.canaries.max(1));
        let wanted = (arms * size).max(MIN_CONTROL);
        let control = wanted.min(available.saturating_sub(arms * size)).max(1);
        let settings = self.settings(size, control);
        let hash = base.and_then(|key| self.contents.id(key)).map(|id| id.hash);
        let mut experiment = Experiment::new(Slot::Canary, now, hash);
        experiment.control_size = control;
        experiment.others = connected;
        // Singles first, so that a front that moves from one of them to the combined content gets a greater
        // number.
        if changes.len() > 1 {
            for (number, (content, depends_on_earlier)) in changes.iter().zip(singles) {
                let key = self.contents.create(now, content, "", base_generation);
                let arm = Arm::new(Purpose::Single(*number), key, size, settings);
                experiment.arms.push(Arm { depends_on_earlier, ..arm });
            }
        }
        let content = self.content_key(now, &changes, combined_content, generation);
        let purpose = if changes.len() == 1 { Purpose::Single(changes[0]) } else { Purpose::Combined };
        experiment.arms.push(Arm::new(purpose, content, size, settings));
        for number in &changes {
            self.queue.remove(number);
            self.set_state(*number, ChangeState::Canary);
        }
        let mut batch =
            Batch { changes, base, content, generation, experiment, passed: false, baselines_missing };
        self.dirty = true;
        self.fill(now, &mut batch);
        let fronts = batch.experiment.arms.iter().map(|a| a.fronts.len()).sum();
        self.log(LogEvent::StageStarted { stage: Stage::Canary, changes: batch.changes.clone(), fronts });
        self.canary = Some(batch);
    }

    /// How long to wait for fronts to get a baseline.
    fn baseline_deadline(&mut self, now: Ticks) -> Ticks {
        let deadline = *self.baseline_deadline.get_or_insert(now + self.rules.evidence_timeout);
        self.effects.push(Effect::SetTimer((now + self.rules.report_fast).min(deadline)));
        deadline
    }

    /// Reuses the number that the change was published under if no front can run a later one; otherwise creates
    /// a new content.
    fn content_key(
        &mut self,
        now: Ticks,
        changes: &[u64],
        content: Arc<[u8]>,
        generation: u64,
    ) -> ContentKey {
        let newest = self.contents.newest;
        let same = self.contents.get(newest).is_some_and(|c| c.version.content == content);
        if changes == [newest] && same {
            self.contents.set_generation(newest, generation);
            return newest;
        }
        self.contents.create(now, content, "", generation)
    }

    /// Merges each change alone, and all of them, into the base. A change that can't be merged is removed.
    fn merge_changes(
        &mut self,
        now: Ticks,
        base: Option<ContentKey>,
        picked: &[u64],
    ) -> Option<MergedChanges> {
        let base: Arc<[u8]> = base.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let (mut changes, mut singles, mut combined_content) = (Vec::new(), Vec::new(), base.clone());
        for &number in picked {
            let Some(change) = self.changes.get(&number) else { continue };
            let (before, after) = (change.before.clone(), change.after.clone());
            let Ok(merged) = merge::merge(&before, &after, &combined_content) else {
                let before = changes.last().copied().unwrap_or(number);
                self.remove_change(now, number, RemovalReason::DependsOn { change: before });
                return None;
            };
            combined_content = merged.into();
            // A change that depends on another one in the batch can only be tried with it.
            let alone = merge::merge(&before, &after, &base);
            let single =
                alone.map_or_else(|_| (combined_content.clone(), true), |alone| (alone.into(), false));
            changes.push(number);
            singles.push(single);
        }
        (!changes.is_empty()).then_some(MergedChanges { changes, singles, combined_content })
    }

    pub(super) fn set_state(&mut self, number: u64, state: ChangeState) {
        if let Some(change) = self.changes.get_mut(&number) {
            change.state = state;
        }
    }

    pub(super) fn judge_canary(&mut self, now: Ticks) {
        let Some(batch) = &self.canary else { return };
        let single = |p| matches!(p, Purpose::Single(_));
        if let Some((number, harm)) = batch.harmful_single(self.max_rejected_share) {
            return self.remove_change(now, number, harm);
        }
        if batch.passed {
            return;
        }
        let arms = &batch.experiment.arms;
        let singles_pass = arms.iter().filter(|a| single(a.purpose)).all(|a| a.is_harmless());
        let combined = batch.harm_of(self.max_rejected_share, |p| p == Purpose::Combined);
        let prefixes = arms.iter().any(|a| matches!(a.purpose, Purpose::Prefix(_)));
        if prefixes {
            return self.judge_prefixes(now);
        }
        if let Some((_, harm)) = combined {
            if singles_pass {
                self.test_prefixes(now, harm);
            }
            return self.handle_thin_evidence(now);
        }
        if arms.iter().all(|a| a.is_harmless()) {
            if let Some(batch) = &mut self.canary {
                batch.passed = true;
            }
            return self.advance(now);
        }
        self.handle_thin_evidence(now);
    }

    /// All changes combined are harmful and none is alone: tries growing prefixes of the batch to find the
    /// first change that is harmful with those before it.
    fn test_prefixes(&mut self, now: Ticks, harm: RemovalReason) {
        let Some(batch) = &self.canary else { return };
        let (changes, base) = (batch.changes.clone(), batch.base);
        let Some(&last) = changes.last() else { return };
        if changes.len() == 2 {
            return self.remove_change(now, last, as_interaction(harm));
        }
        let Some(mut batch) = self.canary.take() else { return };
        self.release_fronts(&batch, Slot::Canary);
        let base_generation = base.map_or(0, |key| self.contents.generation(key));
        let size = batch.experiment.arms.first().map_or(1, |a| a.size);
        let settings = self.settings(size, batch.experiment.control_size);
        let mut experiment = Experiment::new(Slot::Canary, now, batch.experiment.control_hash);
        (experiment.control_size, experiment.others) =
            (batch.experiment.control_size, batch.experiment.others);
        for count in 2..changes.len() {
            let Some(MergedChanges { combined_content, .. }) =
                self.merge_changes(now, base, &changes[..count])
            else {
                return;
            };
            let key = self.contents.create(now, combined_content, "", base_generation);
            experiment.arms.push(Arm::new(Purpose::Prefix(count), key, size, settings));
        }
        batch.experiment = experiment;
        self.fill(now, &mut batch);
        self.canary = Some(batch);
    }

    fn judge_prefixes(&mut self, now: Ticks) {
        let Some(batch) = &self.canary else { return };
        let (lost_share, changes) = (batch.experiment.lost_share(), &batch.changes);
        for arm in &batch.experiment.arms {
            let Purpose::Prefix(count) = arm.purpose else { continue };
            if let Some(harm) = arm.harm(self.max_rejected_share, lost_share) {
                let number = changes[count - 1];
                return self.remove_change(now, number, as_interaction(harm));
            }
            if !arm.is_harmless() {
                return self.handle_thin_evidence(now);
            }
        }
        if let Some(&last) = changes.last() {
            // All changes but the last are harmless together.
            self.remove_change(now, last, RemovalReason::Interaction { thousandths: 0, accesses: 0 });
        }
    }

    /// After the time for evidence has run out: continues unproven if the settings say so.
    fn handle_thin_evidence(&mut self, now: Ticks) {
        let Some(batch) = &mut self.canary else { return };
        if now < batch.experiment.since + self.rules.evidence_timeout || batch.passed {
            return;
        }
        if let Some(harm) = unresponsive_arm(&batch.experiment, &self.members, &self.contents) {
            let number = match harm.0 {
                Purpose::Single(number) => Some(number),
                _ => batch.changes.last().copied(),
            };
            return number.into_iter().for_each(|n| self.remove_change(now, n, harm.1.clone()));
        }
        let inconclusive = batch.experiment.arms.iter().any(|a| a.is_inconclusive(INCONCLUSIVE_ACCESSES));
        if self.rules.thin_traffic == ThinTraffic::Wait && (batch.baselines_missing || inconclusive) {
            // Starts over: by now fronts may have baselines, or the chosen fronts, perhaps one with false
            // reports, make a verdict impossible.
            self.abandon(Slot::Canary);
            return self.advance(now);
        }
        if self.rules.thin_traffic == ThinTraffic::Continue {
            batch.passed = true;
            let changes = batch.changes.clone();
            self.mark_unproven(&changes);
            self.advance(now);
        }
    }

    pub(super) fn mark_unproven(&mut self, changes: &[u64]) {
        for &number in changes {
            if let Some(change) = self.changes.get_mut(&number).filter(|c| !c.unproven) {
                change.unproven = true;
                self.log(LogEvent::ContinuedUnproven { change: number });
            }
        }
    }
}

/// An arm most of whose fronts are connected but have not applied their content.
fn unresponsive_arm(
    experiment: &Experiment,
    members: &[super::members::Member],
    contents: &super::contents::Contents,
) -> Option<(Purpose, RemovalReason)> {
    experiment.arms.iter().find_map(|arm| {
        let hash = contents.id(arm.content)?.hash;
        let outdated = |index: &&usize| {
            members[**index].connected && members[**index].running.is_none_or(|r| r.hash != hash)
        };
        let count = arm.fronts.iter().filter(outdated).count();
        let harm = RemovalReason::FrontsLost { count, of: arm.assigned };
        (count >= MIN_ARM && 2 * count > arm.assigned).then_some((arm.purpose, harm))
    })
}
