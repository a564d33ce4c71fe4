//! Events of fronts, and timers.

use super::experiment::Experiment;
use super::members::{Group, Member, SLOTS, Slot};
use super::{Change, ChangeState, Effect, MAX_REJECTED_SHARE_EVERYWHERE, RemovalReason, Trials};
use crate::evidence::Counts;
use crate::{RejectionReason, Ticks, VersionId};

impl Trials {
    fn experiment(&mut self, slot: Slot) -> Option<&mut Experiment> {
        let batch = match slot {
            Slot::Canary => self.canary.as_mut(),
            Slot::Wide => self.wide.as_mut(),
            Slot::Undo => None,
        };
        batch.map(|b| &mut b.experiment)
    }

    fn judge(&mut self, now: Ticks, slot: Slot) {
        match slot {
            Slot::Canary => self.judge_canary(now),
            Slot::Wide => self.judge_wide(now),
            Slot::Undo => {}
        }
    }

    /// Updates a front's running version and the number of connected fronts by generation.
    pub(super) fn track(&mut self, index: usize, connected: bool, running: Option<VersionId>) {
        let generation = running.map_or(0, |id| self.generation_of(&id));
        let m = &mut self.members[index];
        if m.connected
            && let Some(count) = self.generations.get_mut(&m.generation)
        {
            *count -= 1;
            if *count == 0 {
                self.generations.remove(&m.generation);
            }
        }
        (m.connected, m.running, m.generation) = (connected, running, generation);
        if connected {
            *self.generations.entry(generation).or_default() += 1;
        }
    }

    fn generation_of(&self, id: &VersionId) -> u64 {
        let proven = self.proven.and_then(|key| self.contents.get(key));
        // A front that returned to the proven content has all that it includes, whatever its number.
        if let Some(proven) = proven.filter(|p| p.version.id.hash == id.hash) {
            return proven.generation;
        }
        let known = self.contents.by_number(id.number).filter(|c| c.version.id.hash == id.hash);
        known.filter(|_| id.epoch == self.contents.epoch).map_or(0, |c| c.generation)
    }

    /// A front has connected, or reconnected: it starts outside all experiments.
    pub(crate) fn on_connected(
        &mut self,
        now: Ticks,
        index: usize,
        station: &str,
        running: Option<VersionId>,
    ) {
        if self.members.len() <= index {
            self.members.resize_with(index + 1, Member::default);
        }
        self.leave_experiments(now, index);
        let next = self.stations.len() as u32;
        let station = *self.stations.entry(station.into()).or_insert(next);
        self.track(index, true, running);
        let m = &mut self.members[index];
        (m.station, m.fast_reports) = (station, false);
        m.reset_counts();
        self.effects.push(Effect::SetReportInterval(index, self.rules.report_slow));
        self.offer_target(index);
        self.check_in_force(now);
    }

    /// A front has disconnected.
    pub(crate) fn on_disconnected(&mut self, now: Ticks, index: usize) {
        if self.members.get(index).is_some_and(|m| m.connected) {
            self.leave_experiments(now, index);
            let running = self.members[index].running;
            self.track(index, false, running);
            self.check_in_force(now);
            self.refill_experiments(now);
            for slot in SLOTS {
                self.judge(now, slot);
            }
        }
    }

    /// Removes a front from all experiments; that counts against its arm.
    fn leave_experiments(&mut self, _now: Ticks, index: usize) {
        let connected = self.members[index].connected;
        self.members[index].assigned = None;
        for slot in SLOTS {
            let enrollment = self.members[index].enrollments[slot as usize].take();
            let Some(experiment) = self.experiment(slot) else { continue };
            match enrollment.map(|e| e.group) {
                Some(group @ Group::Arm(arm)) => {
                    experiment.leave(index, group);
                    if let Some(arm) = experiment.arms.get_mut(arm) {
                        arm.lost += 1;
                    }
                }
                Some(Group::Control) => {
                    experiment.leave(index, Group::Control);
                    experiment.others_lost += 1;
                }
                None => experiment.others_lost += usize::from(connected),
            }
        }
    }

    /// A front has confirmed that it runs this version.
    pub(crate) fn on_confirmed(&mut self, now: Ticks, index: usize, id: VersionId) {
        if self.members.get(index).is_some_and(|m| m.connected) {
            self.track(index, true, Some(id));
            self.offer_target(index);
            self.check_in_force(now);
        }
    }

    pub(crate) fn on_rejected(&mut self, now: Ticks, index: usize, id: VersionId, reason: &RejectionReason) {
        let Some(m) = self.members.get_mut(index) else { return };
        m.remember_rejection(id.hash);
        for slot in SLOTS {
            let Some(Group::Arm(arm)) = self.members[index].enrollment(slot).map(|e| e.group) else {
                continue;
            };
            let content = self.experiment(slot).and_then(|e| e.arms.get(arm)).map(|a| a.content);
            if content.and_then(|key| self.contents.id(key)).is_none_or(|c| c.hash != id.hash) {
                continue;
            }
            if let Some(arm) = self.experiment(slot).and_then(|e| e.arms.get_mut(arm)) {
                arm.rejected += 1;
                arm.first_rejection.get_or_insert_with(|| reason.clone());
            }
            self.judge(now, slot);
        }
        self.remove_widely_rejected(now, id, reason);
    }

    /// Removes proven changes that too many fronts reject.
    fn remove_widely_rejected(&mut self, now: Ticks, id: VersionId, reason: &RejectionReason) {
        let proven = self.proven.and_then(|key| self.contents.id(key));
        if proven.is_none_or(|p| p.hash != id.hash) {
            return;
        }
        let rejects = |m: &&Member| m.connected && m.rejected.contains(&id.hash);
        let (count, of) = (
            self.members.iter().filter(rejects).count(),
            self.members.iter().filter(|m| m.connected).count(),
        );
        if count as f64 <= self.max_rejected_share.max(MAX_REJECTED_SHARE_EVERYWHERE) * of as f64 {
            return;
        }
        let propagating = |c: &(&u64, &Change)| c.1.state == ChangeState::Everywhere;
        let numbers: Vec<u64> = self.changes.iter().filter(propagating).map(|c| *c.0).collect();
        for number in numbers.into_iter().rev() {
            self.remove_change(now, number, RemovalReason::Rejected { count, of, first: reason.clone() });
        }
    }

    /// A front has reported its counters since the start of its process.
    pub(crate) fn on_report(
        &mut self,
        now: Ticks,
        index: usize,
        running: Option<VersionId>,
        counts: Counts,
        sequence: u64,
    ) {
        let Some(m) = self.members.get_mut(index) else { return };
        let Some(sample) = m.report(now, running, counts, sequence) else { return };
        if m.assigned.is_none() {
            m.add_to_baseline(now, sample);
        }
        let hash = running.map(|id| id.hash);
        for slot in SLOTS {
            let Some(group) = self.members[index].enrollment(slot).map(|e| e.group) else { continue };
            let Some(experiment) = self.experiment(slot) else { continue };
            let expected = match group {
                Group::Control => experiment.control_hash,
                Group::Arm(arm) => {
                    let content = experiment.arms.get(arm).map(|a| a.content);
                    content.and_then(|key| self.contents.id(key)).map(|id| id.hash)
                }
            };
            if expected.is_some() && expected != hash || !self.members[index].sample(slot, sample) {
                continue;
            }
            if let Some(experiment) = self.experiment(slot) {
                experiment.reported += 1;
                if experiment.reported >= experiment.count() {
                    self.take_samples(now, slot);
                }
            }
        }
    }

    fn take_samples(&mut self, now: Ticks, slot: Slot) {
        let batch = match slot {
            Slot::Canary => self.canary.as_mut(),
            Slot::Wide => self.wide.as_mut(),
            Slot::Undo => None,
        };
        if let Some(batch) = batch {
            batch.experiment.take_samples(now, &mut self.members);
            self.judge(now, slot);
        }
    }

    /// Slightly longer than the interval between two reports: members that have not reported by then are not
    /// waited for.
    fn sample_timeout(&self) -> Ticks {
        self.rules.report_fast + self.rules.report_fast / 5
    }

    pub(crate) fn on_timer(&mut self, now: Ticks) {
        self.settle_watched(now);
        self.check_in_force(now);
        self.advance(now);
        self.replace_slow(now);
        self.refill_experiments(now);
        for slot in SLOTS {
            let timeout = self.sample_timeout();
            if self.experiment(slot).is_some_and(|e| now >= e.sampled_at + timeout) {
                self.take_samples(now, slot);
            }
        }
        let (proven, head) = (self.proven, self.head);
        let batches = [&self.canary, &self.wide];
        let previous_head = self.changes.last_key_value().and_then(|c| c.1.previous);
        let in_use = |key| batches.iter().copied().flatten().any(|b| b.base == Some(key) || b.has(key));
        self.contents.prune(|key| [proven, head, previous_head].contains(&Some(key)) || in_use(key));
        if self.canary.is_some() || self.wide.is_some() {
            let timeout = self.sample_timeout();
            let next =
                SLOTS.into_iter().filter_map(|s| self.experiment(s).map(|e| e.sampled_at + timeout)).min();
            next.into_iter().for_each(|time| self.effects.push(Effect::SetTimer(time.max(now + 1))));
        }
    }

    /// Replaces fronts that have disconnected.
    fn refill_experiments(&mut self, now: Ticks) {
        for slot in [Slot::Canary, Slot::Wide] {
            let batch = if slot == Slot::Canary { self.canary.take() } else { self.wide.take() };
            let Some(mut batch) = batch else { continue };
            // The wide experiment continues without them.
            if slot == Slot::Canary
                || batch.experiment.control.is_empty()
                || batch.experiment.arms[0].fronts.is_empty()
            {
                self.fill(now, &mut batch);
            }
            let running_batch = if slot == Slot::Canary { &mut self.canary } else { &mut self.wide };
            *running_batch = Some(batch);
        }
    }

    /// Stops waiting for canaries that have not applied their content in time: another front is enrolled for
    /// each.
    fn replace_slow(&mut self, now: Ticks) {
        let Some(batch) = &mut self.canary else { return };
        for arm in &mut batch.experiment.arms {
            let hash = self.contents.id(arm.content).map(|id| id.hash);
            for &index in &arm.fronts {
                let m = &mut self.members[index];
                let outdated = m.running.map(|r| r.hash) != hash;
                let Some(enrollment) = &mut m.enrollments[Slot::Canary as usize] else { continue };
                let late = now >= enrollment.since + self.rules.response_timeout && !enrollment.replaced;
                if outdated && late && arm.slow < arm.size {
                    (enrollment.replaced, arm.slow) = (true, arm.slow + 1);
                }
            }
        }
    }
}
