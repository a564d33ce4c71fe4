//! A batch on a share of the fronts: all of it together, against a control group as large.

use super::batch::{LEAST_CONTROL, PLENTY};
use super::experiment::{Arm, Experiment, Purpose};
use super::members::{Group, Slot};
use super::{ChangeState, Stage, ThinTraffic, Trials};
use crate::Ticks;
use crate::evidence::Comparison;
use crate::service::Line;

impl Trials {
    pub(super) fn open_wide(&mut self, now: Ticks) {
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

    pub(super) fn judge_wide(&mut self, now: Ticks) {
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
            let plenty = batch.experiment.arms.iter().any(|a| a.undecided_after(PLENTY));
            if late && plenty {
                self.renew_wide(now);
            }
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

    /// It can't be told: perhaps by another control group, and by what its fronts do from here on.
    fn renew_wide(&mut self, now: Ticks) {
        let Some(mut batch) = self.wide.take() else { return };
        for at in std::mem::take(&mut batch.experiment.control) {
            self.members[at].seats[Slot::Wide as usize] = None;
            self.pace(at);
        }
        let control = batch.experiment.control_size;
        for arm in &mut batch.experiment.arms {
            arm.comparison = Comparison::new(self.settings(arm.size, control));
        }
        (batch.experiment.since, batch.experiment.looked) = (now, now);
        self.fill(now, &mut batch);
        self.wide = Some(batch);
    }
}
