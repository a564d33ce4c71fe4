//! A batch of changes at its canaries: each alone and all of them together, and what follows from the verdicts.

use std::sync::Arc;

use super::contents::Key;
use super::experiment::{Arm, Experiment, Purpose};
use super::members::Slot;
use super::{ChangeState, Harm, MOST_BATCH, Stage, Step, ThinTraffic, Trials};
use crate::evidence::TestSettings;
use crate::service::Line;
use crate::{Ticks, merge};

#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub changes: Vec<u64>,
    /// What it is laid on; none: nothing was published before.
    pub base: Option<Key>,
    /// All of it.
    pub content: Key,
    pub lineage: u64,
    pub experiment: Experiment,
    /// Its canary experiment is over; it waits for the wide one before it.
    pub passed: bool,
    /// Begun when too few fronts were known by their long run.
    blind: bool,
}

impl Batch {
    /// Whether a content is one of its arms'.
    pub fn has(&self, key: Key) -> bool {
        self.content == key || self.experiment.arms.iter().any(|a| a.content == key)
    }

    /// The first change that does harm by itself.
    fn harmful_single(&self, refused: f64) -> Option<(u64, Harm)> {
        let lost = self.experiment.lost();
        let mut before = true;
        for arm in &self.experiment.arms {
            let Purpose::Single(number) = arm.purpose else { continue };
            if let Some(harm) = arm.harm(refused, lost).filter(|_| before || !arm.builds) {
                return Some((number, harm));
            }
            before &= arm.harmless();
        }
        None
    }

    pub(super) fn purpose_harm(&self, refused: f64, of: impl Fn(Purpose) -> bool) -> Option<(Purpose, Harm)> {
        let lost = self.experiment.lost();
        let arms = self.experiment.arms.iter().filter(|a| of(a.purpose));
        arms.filter_map(|a| Some((a.purpose, a.harm(refused, lost)?))).next()
    }
}

/// Fewer fronts in an arm show nothing: one alone may be out of order, and one may go.
const LEAST_ARM: usize = 3;
/// Fronts of the control group, if there are any: with fewer it shows too little of how fronts differ by themselves
/// (by trial runs, 4 canaries beside 16: harmless after 1 s, beside 4: after 7.5 s).
pub(super) const LEAST_CONTROL: usize = 16;

/// An arm that has been asked so much and shows nothing yet will not soon.
pub(super) const PLENTY: u64 = 20_000;

/// Changes laid on a base: each alone, and all of them.
struct Laid {
    changes: Vec<u64>,
    /// With whether it had to be laid on those before it, too.
    singles: Vec<(Arc<[u8]>, bool)>,
    whole: Arc<[u8]>,
}

fn together(harm: Harm) -> Harm {
    match harm {
        Harm::Dropped { thousandths, accesses } => Harm::Together { thousandths, accesses },
        other => other,
    }
}

impl Trials {
    pub(super) fn settings(&self, arm: usize, control: usize) -> TestSettings {
        TestSettings {
            false_stop: self.rules.false_stop,
            tolerated_drop: self.drop,
            least_fronts: arm.min(control).clamp(1, LEAST_ARM),
        }
    }

    /// Whatever can begin begins.
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
        let seed = self.lineage + 1;
        let pool = self.pool(now, base, seed);
        let (there, blind) = (pool.left(), pool.known() < pool.left().min(2 * LEAST_CONTROL));
        // After a start fronts are known within some reports of theirs.
        if blind && now < self.waits_until(now) {
            return;
        }
        self.known_by = None;
        let connected = self.members.iter().filter(|m| m.connected).count();
        // So many fronts may have what is not proven; the others of the pool are the control group.
        let room = match &self.wide {
            Some(_) => there.saturating_sub(LEAST_CONTROL.max(there / 3)),
            None => ((self.rules.share * connected as f64) as usize).min(there / 2),
        };
        if self.wide.is_some() && room < LEAST_ARM {
            return;
        }
        let fits = |k: usize| if k == 1 { LEAST_ARM } else { (k + 1) * LEAST_ARM } <= room;
        let most = (1..=MOST_BATCH).rev().find(|&k| fits(k)).unwrap_or(1);
        let alone = |n: &&u64| self.changes.get(n).is_some_and(|c| c.alone);
        let picked: Vec<u64> = match self.queue.first() {
            Some(first) if alone(&first) => vec![*first],
            _ => self.queue.iter().take_while(|n| !alone(n)).take(most).copied().collect(),
        };
        let Some(Laid { changes, singles, whole }) = self.lay(now, base, &picked) else { return };
        let lineage = self.next_lineage();
        let below = base.map_or(0, |key| self.contents.lineage(key));
        let arms = if changes.len() == 1 { 1 } else { changes.len() + 1 };
        let size = (room / arms).clamp(1, self.rules.canaries.max(1));
        let wanted = (arms * size).max(LEAST_CONTROL);
        let control = wanted.min(there.saturating_sub(arms * size)).max(1);
        let settings = self.settings(size, control);
        let hash = base.and_then(|key| self.contents.id(key)).map(|id| id.hash);
        let mut experiment = Experiment::new(Slot::Canary, now, hash);
        experiment.control_size = control;
        experiment.others = connected;
        // Single ones first: whoever goes from one of them to all together goes to a greater number.
        if changes.len() > 1 {
            for (number, (content, builds)) in changes.iter().zip(singles) {
                let key = self.contents.make(now, content, "", below);
                let arm = Arm::new(Purpose::Single(*number), key, size, settings);
                experiment.arms.push(Arm { builds, ..arm });
            }
        }
        let content = self.whole(now, &changes, whole, lineage);
        let purpose = if changes.len() == 1 { Purpose::Single(changes[0]) } else { Purpose::Combined };
        experiment.arms.push(Arm::new(purpose, content, size, settings));
        for number in &changes {
            self.queue.remove(number);
            self.set_state(*number, ChangeState::Canary);
        }
        let mut batch = Batch { changes, base, content, lineage, experiment, passed: false, blind };
        self.dirty = true;
        self.fill(now, &mut batch);
        let fronts = batch.experiment.arms.iter().map(|a| a.fronts.len()).sum();
        self.tell(Line::Trial { stage: Stage::Canary, changes: batch.changes.clone(), fronts });
        self.canary = Some(batch);
    }

    /// Until when fronts may still become known by their long run.
    fn waits_until(&mut self, now: Ticks) -> Ticks {
        let until = *self.known_by.get_or_insert(now + self.rules.evidence_within);
        self.steps.push(Step::Wake((now + self.rules.report_fast).min(until)));
        until
    }

    /// The number that a change was published under can be its content's where no front can run a later one.
    fn whole(&mut self, now: Ticks, changes: &[u64], content: Arc<[u8]>, lineage: u64) -> Key {
        let newest = self.contents.newest;
        let same = self.contents.get(newest).is_some_and(|c| c.version.content == content);
        if changes == [newest] && same {
            self.contents.set_lineage(newest, lineage);
            return newest;
        }
        self.contents.make(now, content, "", lineage)
    }

    /// Each change alone on the base, and all of them. What can't be laid on it goes out.
    fn lay(&mut self, now: Ticks, base: Option<Key>, picked: &[u64]) -> Option<Laid> {
        let base: Arc<[u8]> = base.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let (mut changes, mut singles, mut whole) = (Vec::new(), Vec::new(), base.clone());
        for &number in picked {
            let Some(change) = self.changes.get(&number) else { continue };
            let (before, after) = (change.before.clone(), change.after.clone());
            let Ok(all) = merge::merge(&before, &after, &whole) else {
                let before = changes.last().copied().unwrap_or(number);
                self.take_out(now, number, Harm::BuildsOn { change: before });
                return None;
            };
            whole = all.into();
            // One that builds on another of the batch can only be tried with it.
            let alone = merge::merge(&before, &after, &base);
            let single = alone.map_or_else(|_| (whole.clone(), true), |alone| (alone.into(), false));
            changes.push(number);
            singles.push(single);
        }
        (!changes.is_empty()).then_some(Laid { changes, singles, whole })
    }

    pub(super) fn set_state(&mut self, number: u64, state: ChangeState) {
        if let Some(change) = self.changes.get_mut(&number) {
            change.state = state;
        }
    }

    pub(super) fn judge_canary(&mut self, now: Ticks) {
        let Some(batch) = &self.canary else { return };
        let single = |p| matches!(p, Purpose::Single(_));
        if let Some((number, harm)) = batch.harmful_single(self.refused) {
            return self.take_out(now, number, harm);
        }
        if batch.passed {
            return;
        }
        let arms = &batch.experiment.arms;
        let singles_pass = arms.iter().filter(|a| single(a.purpose)).all(|a| a.harmless());
        let combined = batch.purpose_harm(self.refused, |p| p == Purpose::Combined);
        let prefixes = arms.iter().any(|a| matches!(a.purpose, Purpose::Prefix(_)));
        if prefixes {
            return self.judge_prefixes(now);
        }
        if let Some((_, harm)) = combined {
            if singles_pass {
                self.split(now, harm);
            }
            return self.thin(now);
        }
        if arms.iter().all(|a| a.harmless()) {
            if let Some(batch) = &mut self.canary {
                batch.passed = true;
            }
            return self.advance(now);
        }
        self.thin(now);
    }

    /// All together do harm and none alone: the first that does with those before it is to be found.
    fn split(&mut self, now: Ticks, harm: Harm) {
        let Some(batch) = &self.canary else { return };
        let (changes, base) = (batch.changes.clone(), batch.base);
        let Some(&last) = changes.last() else { return };
        if changes.len() == 2 {
            return self.take_out(now, last, together(harm));
        }
        let Some(mut batch) = self.canary.take() else { return };
        self.release(&batch, Slot::Canary);
        let below = base.map_or(0, |key| self.contents.lineage(key));
        let size = batch.experiment.arms.first().map_or(1, |a| a.size);
        let settings = self.settings(size, batch.experiment.control_size);
        let mut experiment = Experiment::new(Slot::Canary, now, batch.experiment.control_hash);
        (experiment.control_size, experiment.others) =
            (batch.experiment.control_size, batch.experiment.others);
        for count in 2..changes.len() {
            let Some(Laid { whole, .. }) = self.lay(now, base, &changes[..count]) else { return };
            let key = self.contents.make(now, whole, "", below);
            experiment.arms.push(Arm::new(Purpose::Prefix(count), key, size, settings));
        }
        batch.experiment = experiment;
        self.fill(now, &mut batch);
        self.canary = Some(batch);
    }

    fn judge_prefixes(&mut self, now: Ticks) {
        let Some(batch) = &self.canary else { return };
        let (lost, changes) = (batch.experiment.lost(), &batch.changes);
        for arm in &batch.experiment.arms {
            let Purpose::Prefix(count) = arm.purpose else { continue };
            if let Some(harm) = arm.harm(self.refused, lost) {
                let number = changes[count - 1];
                return self.take_out(now, number, together(harm));
            }
            if !arm.harmless() {
                return self.thin(now);
            }
        }
        if let Some(&last) = changes.last() {
            // All but the last together do none.
            self.take_out(now, last, Harm::Together { thousandths: 0, accesses: 0 });
        }
    }

    /// Where the time for evidence is over: goes on unproven, if the setting says so.
    fn thin(&mut self, now: Ticks) {
        let Some(batch) = &mut self.canary else { return };
        if now < batch.experiment.since + self.rules.evidence_within || batch.passed {
            return;
        }
        if let Some(harm) = silent(&batch.experiment, &self.members, &self.contents) {
            let number = match harm.0 {
                Purpose::Single(number) => Some(number),
                _ => batch.changes.last().copied(),
            };
            return number.into_iter().for_each(|n| self.take_out(now, n, harm.1.clone()));
        }
        let plenty = batch.experiment.arms.iter().any(|a| a.undecided_after(PLENTY));
        if self.rules.thin_traffic == ThinTraffic::Wait && (batch.blind || plenty) {
            // Perhaps they are known by now; or it is its fronts, or one that lies, that nothing can be told by.
            self.abandon(Slot::Canary);
            return self.advance(now);
        }
        if self.rules.thin_traffic == ThinTraffic::GoOn {
            batch.passed = true;
            let changes = batch.changes.clone();
            self.unproven(&changes);
            self.advance(now);
        }
    }

    pub(super) fn unproven(&mut self, changes: &[u64]) {
        for &number in changes {
            if let Some(change) = self.changes.get_mut(&number).filter(|c| !c.unproven) {
                change.unproven = true;
                self.tell(Line::WentOnUnproven { change: number });
            }
        }
    }
}

/// An arm most of whose fronts are connected and have not taken what they were given.
fn silent(
    experiment: &Experiment,
    members: &[super::members::Member],
    contents: &super::contents::Contents,
) -> Option<(Purpose, Harm)> {
    experiment.arms.iter().find_map(|arm| {
        let hash = contents.id(arm.content)?.hash;
        let lacks =
            |at: &&usize| members[**at].connected && members[**at].runs.is_none_or(|r| r.hash != hash);
        let count = arm.fronts.iter().filter(lacks).count();
        let harm = Harm::Missing { count, of: arm.given };
        (count >= LEAST_ARM && 2 * count > arm.given).then_some((arm.purpose, harm))
    })
}
