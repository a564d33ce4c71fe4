//! Connects the service to the trials: passes events to them and executes their effects.

use std::sync::Arc;

use super::{Denial, RemovalReason, Version};
use super::{
    Effect, PublishError, Response, RolloutMode, SavedChange, SavedRollout, SavedTrials, Service, Ticks,
};
use crate::message::ToFront;
use crate::trial::{Effect as TrialEffect, Trials};
use crate::{VersionId, delta};

/// A front that is silent for this many slow report intervals is treated as disconnected, even if its
/// connection was not closed.
const MISSED_REPORTS: u64 = 3;

impl Service {
    pub(super) fn start_trials(
        &mut self,
        now: Ticks,
        in_progress: Option<SavedRollout>,
        saved: Option<SavedTrials>,
    ) {
        let RolloutMode::Evidence(rules) = self.rules.rollout.clone() else { return };
        let newest = self.versions.last_key_value().map_or(0, |v| *v.0);
        let saved = saved.or_else(|| self.rollout_as_trial(in_progress.filter(|r| r.stopped.is_none())));
        let mut trials = Trials::new(
            rules,
            self.rules.max_service_drop,
            self.rules.max_rejected_share,
            self.epoch,
            newest,
        );
        let log_from = self.recovering_until.unwrap_or(now);
        trials.restore(log_from, &self.versions, self.base, saved);
        self.trials = Some(trials);
    }

    /// A rollout that was in progress in waves becomes a trial.
    fn rollout_as_trial(&self, saved: Option<SavedRollout>) -> Option<SavedTrials> {
        let number = saved?.id.number;
        let after = self.versions.get(&number)?;
        let before =
            self.base.and_then(|n| self.versions.get(&n)).map(|v| v.content.clone()).unwrap_or_default();
        let undo = delta::between(&after.content, &before);
        let change = SavedChange { number, note: after.note.clone(), undo, watched: false };
        let (epoch, proven, head) = (self.epoch, self.base, Some(number));
        Some(SavedTrials {
            epoch,
            reserved: self.last(),
            proven,
            head,
            changes: vec![change],
            settled: Vec::new(),
        })
    }

    /// Passes an event to the trials and executes the resulting effects.
    pub(super) fn on_trials(
        &mut self,
        now: Ticks,
        effects: &mut Vec<Effect>,
        event: impl FnOnce(&mut Trials),
    ) {
        if let Some(trials) = &mut self.trials {
            event(trials);
            self.apply_trial_effects(now, effects);
        }
    }

    pub(super) fn trial_connected(&mut self, now: Ticks, index: usize, effects: &mut Vec<Effect>) {
        let (station, running) = (self.fronts[index].station.clone(), self.fronts[index].running);
        self.on_trials(now, effects, |t| t.on_connected(now, index, &station, running));
    }

    pub(super) fn trials_on_timer(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        let RolloutMode::Evidence(rules) = &self.rules.rollout else { return };
        let silence = MISSED_REPORTS * rules.report_slow.max(self.rules.heartbeat_interval);
        // Fronts with a recent heartbeat only: each front is checked about as often as it is sent a heartbeat.
        let silent: Vec<_> = self
            .heartbeats
            .iter()
            .rev()
            .take_while(|d| d.0 >= now + self.rules.heartbeat_interval)
            .filter(|d| self.fronts[d.1].conn == Some(d.2) && now >= self.fronts[d.1].last_seen + silence)
            .map(|d| d.2)
            .collect();
        for conn in silent {
            effects.push(Effect::Close(conn));
            self.on_disconnected(now, conn, effects);
        }
        self.on_trials(now, effects, |t| t.on_timer(now));
    }

    /// Executes the effects of the trials; versions and state are stored before anything is offered.
    pub(super) fn apply_trial_effects(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        let Some(trials) = &mut self.trials else { return };
        let (trial_effects, dirty) = trials.take_effects();
        let mut base = None;
        for effect in &trial_effects {
            match effect {
                TrialEffect::Store(version) => self.store_version(version.clone(), effects),
                TrialEffect::SetBase(number) => base = Some(*number),
                _ => {}
            }
        }
        if let Some(base) = base {
            self.base = base;
            self.store_state(effects);
        }
        if dirty && let Some(trials) = &self.trials {
            effects.push(Effect::StoreTrials(trials.saved()));
        }
        for effect in trial_effects {
            match effect {
                TrialEffect::Store(_) | TrialEffect::SetBase(_) => {}
                TrialEffect::Offer(index) => self.offer_trial(now, index, effects),
                TrialEffect::SetReportInterval(index, interval) => {
                    if let Some(conn) = self.fronts[index].conn {
                        effects
                            .push(Effect::Send(conn, ToFront::SetReportInterval { millis: interval / 10 }));
                    }
                }
                TrialEffect::Log(event) => effects.push(Effect::Log(event)),
                TrialEffect::SetTimer(time) => self.set_timer(time, effects),
            }
        }
    }

    fn store_version(&mut self, version: Version, effects: &mut Vec<Effect>) {
        effects.push(Effect::Store(version.clone()));
        self.versions.insert(version.id.number, version);
        while self.versions.len() > self.rules.history {
            let needed = |n: &u64| self.trials.as_ref().is_some_and(|t| t.is_needed(*n));
            let Some(oldest) = self.versions.keys().copied().find(|n| !needed(n)) else { break };
            if let Some(removed) = self.versions.remove(&oldest) {
                effects.push(Effect::Delete(removed.id));
            }
        }
    }

    pub(super) fn offer_trial(&mut self, now: Ticks, index: usize, effects: &mut Vec<Effect>) {
        let (Some(target), None) = (self.target(index), self.superseded) else { return };
        let restored = self.recovering_until.is_some()
            && self.trials.as_ref().is_some_and(|t| t.target_is_restored(index));
        let front = &mut self.fronts[index];
        let Some(conn) = front.conn else { return };
        let up_to_date =
            front.running.is_some_and(|r| r.hash == target.hash || r.position() >= target.position());
        let already_offered = front.offered.is_some_and(|o| o.0 == target);
        // A front without a version may have run a later one. Versions published since this start are safe:
        // nothing later exists.
        let unknown = front.running.is_none() && restored;
        // A front never applies a content that it rejected.
        let rejected = front.rejected.as_ref().is_some_and(|r| r.0.hash == target.hash);
        if up_to_date || already_offered || unknown || rejected {
            return;
        }
        front.offered = Some((target, now));
        effects.push(Effect::Send(conn, ToFront::Offer { id: target }));
    }

    pub(super) fn publish_change(
        &mut self,
        now: Ticks,
        content: Arc<[u8]>,
        note: &str,
        expected_last: u64,
        effects: &mut Vec<Effect>,
    ) -> Result<VersionId, PublishError> {
        if self.keys.all().is_empty() {
            return Err(PublishError::NoKey);
        }
        let last = self.last();
        let against = match self.versions.get(&expected_last) {
            _ if expected_last == last => None,
            Some(version) => Some(version.content.clone()),
            None => return Err(PublishError::Conflict { last }),
        };
        let Some(trials) = &mut self.trials else { return Err(PublishError::NoSuchVersion) };
        let id = trials.publish(now, content, note, against)?;
        self.apply_trial_effects(now, effects);
        Ok(id)
    }

    pub(super) fn roll_back_trials(
        &mut self,
        now: Ticks,
        number: u64,
        content: Arc<[u8]>,
        effects: &mut Vec<Effect>,
    ) -> Result<VersionId, PublishError> {
        if let Some(by) = self.superseded {
            return Err(PublishError::Superseded { by });
        }
        if self.keys.all().is_empty() {
            return Err(PublishError::NoKey);
        }
        let note = format!("back to {number}");
        let id = self.trials.as_mut().and_then(|t| t.roll_back(now, content, &note));
        self.apply_trial_effects(now, effects);
        id.ok_or(PublishError::NoSuchVersion)
    }

    pub(super) fn remove_change(&mut self, now: Ticks, number: u64, effects: &mut Vec<Effect>) -> Response {
        if !self.trials.as_ref().is_some_and(|t| t.is_unsettled(number)) {
            return Response::Denied(Denial::NotInProgress(None));
        }
        self.on_trials(now, effects, |t| t.remove_change(now, number, RemovalReason::Manual));
        Response::Done
    }
}
