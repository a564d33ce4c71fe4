//! The wide experiment: all changes of a batch combined, on a share of the fronts, compared with a control
//! group of the same size.

use super::batch::{INCONCLUSIVE_ACCESSES, MIN_CONTROL};
use super::experiment::{Arm, Experiment, Purpose};
use super::members::{Group, Slot};
use super::{ChangeState, Stage, ThinTraffic, Trials};
use crate::Ticks;
use crate::evidence::Comparison;
use crate::service::LogEvent;

impl Trials {
    pub(super) fn open_wide(&mut self, now: Ticks) {
        let Some(mut batch) = self.canary.take() else { return };
        let connected = self.members.iter().filter(|m| m.connected).count();
        let canary_fronts: Vec<usize> =
            batch.experiment.arms.iter().flat_map(|a| a.fronts.iter().copied()).collect();
        self.clear_slot(Slot::Canary);
        // All fronts that run any of its changes take part, so that no more than the share ever runs them.
        let size = ((self.rules.share * connected as f64) as usize).max(canary_fronts.len()).max(1);
        let control = size.max(MIN_CONTROL).min(connected.saturating_sub(size)).max(1);
        let hash = batch.base.and_then(|key| self.contents.id(key)).map(|id| id.hash);
        let mut experiment = Experiment::new(Slot::Wide, now, hash);
        let settings = self.settings(size, control);
        let mut arm = Arm::new(Purpose::Combined, batch.content, size, settings);
        (experiment.control_size, experiment.others) = (control, connected);
        arm.assigned = canary_fronts.len();
        for &index in &canary_fronts {
            let m = &mut self.members[index];
            m.assigned = Some(batch.content);
            m.enroll(Slot::Wide, Group::Arm(0), now);
            self.offer_target(index);
        }
        arm.fronts = canary_fronts;
        experiment.arms.push(arm);
        batch.experiment = experiment;
        for number in &batch.changes {
            self.set_state(*number, ChangeState::Wide);
        }
        self.fill(now, &mut batch);
        self.update_report_intervals();
        let fronts = batch.experiment.arms[0].fronts.len();
        self.log(LogEvent::StageStarted { stage: Stage::Wide, changes: batch.changes.clone(), fronts });
        self.wide = Some(batch);
        self.advance(now);
    }

    pub(super) fn judge_wide(&mut self, now: Ticks) {
        let Some(batch) = &self.wide else { return };
        if let Some((_, harm)) = batch.harm_of(self.max_rejected_share, |_| true) {
            return match batch.changes[..] {
                [number] => self.remove_change(now, number, harm),
                // Trying each change in a batch of its own shows which one is to blame.
                _ => self.retry_alone(now),
            };
        }
        let proven = batch.experiment.arms.iter().all(|a| a.is_harmless());
        let timed_out = now >= batch.experiment.since + self.rules.evidence_timeout;
        let passes = proven || timed_out && self.rules.thin_traffic == ThinTraffic::Continue;
        if !passes {
            let inconclusive = batch.experiment.arms.iter().any(|a| a.is_inconclusive(INCONCLUSIVE_ACCESSES));
            if timed_out && inconclusive {
                self.renew_wide(now);
            }
            return;
        }
        let Some(batch) = self.wide.take() else { return };
        if !proven {
            self.mark_unproven(&batch.changes);
        }
        self.clear_slot(Slot::Wide);
        self.members.iter_mut().filter(|m| m.assigned == Some(batch.content)).for_each(|m| m.assigned = None);
        let fronts = self.members.iter().filter(|m| m.connected).count();
        self.log(LogEvent::StageStarted { stage: Stage::Everywhere, changes: batch.changes.clone(), fronts });
        self.mark_proven(now, batch.content, batch.generation, batch.changes);
        self.update_report_intervals();
        self.advance(now);
    }

    /// The comparison is inconclusive: starts it over with another control group and new counts.
    fn renew_wide(&mut self, now: Ticks) {
        let Some(mut batch) = self.wide.take() else { return };
        for index in std::mem::take(&mut batch.experiment.control) {
            self.members[index].enrollments[Slot::Wide as usize] = None;
            self.update_report_interval(index);
        }
        let control = batch.experiment.control_size;
        for arm in &mut batch.experiment.arms {
            arm.comparison = Comparison::new(self.settings(arm.size, control));
        }
        (batch.experiment.since, batch.experiment.sampled_at) = (now, now);
        self.fill(now, &mut batch);
        self.wide = Some(batch);
    }
}
