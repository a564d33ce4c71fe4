//! A batch of changes on its way: the canary experiment, the wide one, and what follows from their verdicts.

use std::sync::Arc;

use super::contents::Key;
use super::experiment::{Arm, Experiment, Purpose};
use super::members::{Group, Slot};
use super::{ChangeState, Harm, MOST_BATCH, Stage, ThinTraffic, Trials};
use crate::evidence::TestSettings;
use crate::service::Line;
use crate::{Tenths, merge};

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
}

impl Batch {
    /// Whether a content is one of its arms'.
    pub fn has(&self, key: Key) -> bool {
        self.content == key || self.experiment.arms.iter().any(|a| a.content == key)
    }

    fn purpose_harm(&self, refused: f64, of: impl Fn(Purpose) -> bool) -> Option<(Purpose, Harm)> {
        let lost = self.experiment.lost();
        let arms = self.experiment.arms.iter().filter(|a| of(a.purpose));
        arms.filter_map(|a| Some((a.purpose, a.harm(refused, lost)?))).next()
    }
}

/// Fewer fronts in an arm show nothing: one alone may be out of order, and one may go.
const LEAST_ARM: usize = 3;
/// Fronts of the control group, if there are any: with fewer it shows too little of how fronts differ by themselves
/// (by trial runs, 4 canaries beside 16: harmless after 1 s, beside 4: after 7.5 s).
const LEAST_CONTROL: usize = 16;

/// Changes laid on a base: each alone, and all of them.
struct Laid {
    changes: Vec<u64>,
    singles: Vec<Arc<[u8]>>,
    whole: Arc<[u8]>,
}

fn together(harm: Harm) -> Harm {
    match harm {
        Harm::Dropped { thousandths, accesses } => Harm::Together { thousandths, accesses },
        other => other,
    }
}

impl Trials {
    fn settings(&self, arm: usize, control: usize) -> TestSettings {
        TestSettings {
            false_stop: self.rules.false_stop,
            tolerated_drop: self.drop,
            least_fronts: arm.min(control).clamp(1, LEAST_ARM),
        }
    }

    /// Whatever can begin begins.
    pub(super) fn advance(&mut self, now: Tenths) {
        if self.wide.is_none() && self.canary.as_ref().is_some_and(|c| c.passed) {
            self.open_wide(now);
        }
        if self.canary.is_none() && !self.queue.is_empty() {
            self.open_canary(now);
        }
    }

    // ---- the canary experiment

    fn open_canary(&mut self, now: Tenths) {
        let base = self.wide.as_ref().map(|w| w.content).or(self.proven);
        let seed = self.lineage + 1;
        let there = self.pool(base, seed).left();
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
            for (number, content) in changes.iter().zip(singles) {
                let key = self.contents.make(now, content, "", below);
                experiment.arms.push(Arm::new(Purpose::Single(*number), key, size, settings));
            }
        }
        let content = self.whole(now, &changes, whole, lineage);
        let purpose = if changes.len() == 1 { Purpose::Single(changes[0]) } else { Purpose::Combined };
        experiment.arms.push(Arm::new(purpose, content, size, settings));
        for number in &changes {
            self.queue.remove(number);
            self.set_state(*number, ChangeState::Canary);
        }
        let mut batch = Batch { changes, base, content, lineage, experiment, passed: false };
        self.dirty = true;
        self.fill(now, &mut batch);
        let fronts = batch.experiment.arms.iter().map(|a| a.fronts.len()).sum();
        self.tell(Line::Trial { stage: Stage::Canary, changes: batch.changes.clone(), fronts });
        self.canary = Some(batch);
    }

    /// The number that a change was published under can be its content's where no front can run a later one.
    fn whole(&mut self, now: Tenths, changes: &[u64], content: Arc<[u8]>, lineage: u64) -> Key {
        let newest = self.contents.newest;
        let same = self.contents.get(newest).is_some_and(|c| c.version.content == content);
        if changes == [newest] && same {
            self.contents.set_lineage(newest, lineage);
            return newest;
        }
        self.contents.make(now, content, "", lineage)
    }

    /// Each change alone on the base, and all of them. What can't be laid on it goes out.
    fn lay(&mut self, now: Tenths, base: Option<Key>, picked: &[u64]) -> Option<Laid> {
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
            let single = merge::merge(&before, &after, &base).map_or_else(|_| whole.clone(), Into::into);
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

    pub(super) fn judge_canary(&mut self, now: Tenths) {
        let Some(batch) = &self.canary else { return };
        let single = |p| matches!(p, Purpose::Single(_));
        if let Some((Purpose::Single(number), harm)) = batch.purpose_harm(self.refused, single) {
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
    fn split(&mut self, now: Tenths, harm: Harm) {
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

    fn judge_prefixes(&mut self, now: Tenths) {
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
    fn thin(&mut self, now: Tenths) {
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
        if self.rules.thin_traffic == ThinTraffic::GoOn {
            batch.passed = true;
            let changes = batch.changes.clone();
            self.unproven(&changes);
            self.advance(now);
        }
    }

    fn unproven(&mut self, changes: &[u64]) {
        for &number in changes {
            if let Some(change) = self.changes.get_mut(&number).filter(|c| !c.unproven) {
                change.unproven = true;
                self.tell(Line::WentOnUnproven { change: number });
            }
        }
    }

    // ---- the wide experiment

    fn open_wide(&mut self, now: Tenths) {
        let Some(mut batch) = self.canary.take() else { return };
        let connected = self.members.iter().filter(|m| m.connected).count();
        let tried: Vec<usize> = batch.experiment.arms.iter().flat_map(|a| a.fronts.iter().copied()).collect();
        self.vacate(Slot::Canary);
        // All that have any of it are in it, so that no more than the share ever had.
        let size = ((self.rules.share * connected as f64) as usize).max(tried.len()).max(1);
        let control = size.max(LEAST_CONTROL).min(connected.saturating_sub(size)).max(1);
        let hash = batch.base.and_then(|key| self.contents.id(key)).map(|id| id.hash);
        let mut experiment = Experiment::new(Slot::Wide, now, hash);
        let settings = self.settings(size, control);
        let mut arm = Arm::new(Purpose::Combined, batch.content, size, settings);
        (experiment.control_size, experiment.others) = (control, connected);
        arm.given = tried.len();
        for &at in &tried {
            let m = &mut self.members[at];
            m.place = Some(batch.content);
            m.sit(Slot::Wide, Group::Arm(0), now);
            self.aim(at);
        }
        arm.fronts = tried;
        experiment.arms.push(arm);
        batch.experiment = experiment;
        for number in &batch.changes {
            self.set_state(*number, ChangeState::Wide);
        }
        self.fill(now, &mut batch);
        self.repace();
        let fronts = batch.experiment.arms[0].fronts.len();
        self.tell(Line::Trial { stage: Stage::Wide, changes: batch.changes.clone(), fronts });
        self.wide = Some(batch);
        self.advance(now);
    }

    pub(super) fn judge_wide(&mut self, now: Tenths) {
        let Some(batch) = &self.wide else { return };
        if let Some((_, harm)) = batch.purpose_harm(self.refused, |_| true) {
            return match batch.changes[..] {
                [number] => self.take_out(now, number, harm),
                // Whose fault it is shows when each is tried in a batch of its own.
                _ => self.apart(now),
            };
        }
        let proven = batch.experiment.arms.iter().all(|a| a.harmless());
        let late = now >= batch.experiment.since + self.rules.evidence_within;
        let goes_on = proven || late && self.rules.thin_traffic == ThinTraffic::GoOn;
        if !goes_on {
            return;
        }
        let Some(batch) = self.wide.take() else { return };
        if !proven {
            self.unproven(&batch.changes);
        }
        self.vacate(Slot::Wide);
        self.members.iter_mut().filter(|m| m.place == Some(batch.content)).for_each(|m| m.place = None);
        let fronts = self.members.iter().filter(|m| m.connected).count();
        self.tell(Line::Trial { stage: Stage::Everywhere, changes: batch.changes.clone(), fronts });
        self.prove(now, batch.content, batch.lineage, batch.changes);
        self.repace();
        self.advance(now);
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
