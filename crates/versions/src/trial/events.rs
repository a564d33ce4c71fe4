//! What happens at fronts, and time.

use super::experiment::Experiment;
use super::members::{Group, Member, SLOTS, Slot};
use super::{Change, ChangeState, Harm, MOST_REFUSED_EVERYWHERE, Step, Trials};
use crate::evidence::Counts;
use crate::{Id, Reason, Ticks};

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

    /// Counts it among the connected by what it runs.
    pub(super) fn count(&mut self, at: usize, connected: bool, runs: Option<Id>) {
        let lineage = runs.map_or(0, |id| self.lineage_of(&id));
        let m = &mut self.members[at];
        if m.connected
            && let Some(count) = self.lineages.get_mut(&m.lineage)
        {
            *count -= 1;
            if *count == 0 {
                self.lineages.remove(&m.lineage);
            }
        }
        (m.connected, m.runs, m.lineage) = (connected, runs, lineage);
        if connected {
            *self.lineages.entry(lineage).or_default() += 1;
        }
    }

    fn lineage_of(&self, id: &Id) -> u64 {
        let proven = self.proven.and_then(|key| self.contents.get(key));
        // What has come back to the content that is everyone's has all that this has, whatever its number.
        if let Some(proven) = proven.filter(|p| p.version.id.hash == id.hash) {
            return proven.lineage;
        }
        let known = self.contents.by_number(id.number).filter(|c| c.version.id.hash == id.hash);
        known.filter(|_| id.epoch == self.contents.epoch).map_or(0, |c| c.lineage)
    }

    /// A front has come, or come back: it has no part in anything.
    pub(crate) fn came(&mut self, now: Ticks, at: usize, station: &str, runs: Option<Id>) {
        if self.members.len() <= at {
            self.members.resize_with(at + 1, Member::default);
        }
        self.away(now, at);
        let next = self.stations.len() as u32;
        let station = *self.stations.entry(station.into()).or_insert(next);
        self.count(at, true, runs);
        let m = &mut self.members[at];
        (m.station, m.fast) = (station, false);
        m.restarted();
        self.steps.push(Step::Pace(at, self.rules.report_slow));
        self.aim(at);
        self.in_force(now);
    }

    /// Its connection has ended.
    pub(crate) fn gone(&mut self, now: Ticks, at: usize) {
        if self.members.get(at).is_some_and(|m| m.connected) {
            self.away(now, at);
            let runs = self.members[at].runs;
            self.count(at, false, runs);
            self.in_force(now);
            self.tend(now);
            for slot in SLOTS {
                self.judge(now, slot);
            }
        }
    }

    /// It leaves whatever it has a part in; that counts against the arm that it was in.
    fn away(&mut self, _now: Ticks, at: usize) {
        let there = self.members[at].connected;
        self.members[at].place = None;
        for slot in SLOTS {
            let seat = self.members[at].seats[slot as usize].take();
            let Some(experiment) = self.experiment(slot) else { continue };
            match seat.map(|s| s.group) {
                Some(group @ Group::Arm(arm)) => {
                    experiment.leave(at, group);
                    if let Some(arm) = experiment.arms.get_mut(arm) {
                        arm.gone += 1;
                    }
                }
                Some(Group::Control) => {
                    experiment.leave(at, Group::Control);
                    experiment.others_gone += 1;
                }
                None => experiment.others_gone += usize::from(there),
            }
        }
    }

    /// It runs this now.
    pub(crate) fn confirmed(&mut self, now: Ticks, at: usize, id: Id) {
        if self.members.get(at).is_some_and(|m| m.connected) {
            self.count(at, true, Some(id));
            self.aim(at);
            self.in_force(now);
        }
    }

    pub(crate) fn turned_down(&mut self, now: Ticks, at: usize, id: Id, why: &Reason) {
        let Some(m) = self.members.get_mut(at) else { return };
        m.refuse(id.hash);
        for slot in SLOTS {
            let Some(Group::Arm(arm)) = self.members[at].seat(slot).map(|s| s.group) else { continue };
            let content = self.experiment(slot).and_then(|e| e.arms.get(arm)).map(|a| a.content);
            if content.and_then(|key| self.contents.id(key)).is_none_or(|c| c.hash != id.hash) {
                continue;
            }
            if let Some(arm) = self.experiment(slot).and_then(|e| e.arms.get_mut(arm)) {
                arm.refused += 1;
                arm.first_refusal.get_or_insert_with(|| why.clone());
            }
            self.judge(now, slot);
        }
        self.refused_everywhere(now, id, why);
    }

    /// A front can't use what is on its way to everyone.
    fn refused_everywhere(&mut self, now: Ticks, id: Id, why: &Reason) {
        let proven = self.proven.and_then(|key| self.contents.id(key));
        if proven.is_none_or(|p| p.hash != id.hash) {
            return;
        }
        let has = |m: &&Member| m.connected && m.refused.contains(&id.hash);
        let (count, of) =
            (self.members.iter().filter(has).count(), self.members.iter().filter(|m| m.connected).count());
        if count as f64 <= self.refused.max(MOST_REFUSED_EVERYWHERE) * of as f64 {
            return;
        }
        let last = |c: &(&u64, &Change)| c.1.state == ChangeState::Everywhere;
        let on_its_way: Vec<u64> = self.changes.iter().filter(last).map(|c| *c.0).collect();
        for number in on_its_way.into_iter().rev() {
            self.take_out(now, number, Harm::Refused { count, of, first: why.clone() });
        }
    }

    /// What it answered, in all, since its process started.
    pub(crate) fn report(
        &mut self,
        now: Ticks,
        at: usize,
        running: Option<Id>,
        counts: Counts,
        sequence: u64,
    ) {
        let Some(m) = self.members.get_mut(at) else { return };
        let Some(sample) = m.report(now, running, counts, sequence) else { return };
        if m.place.is_none() {
            m.ordinary(now, sample);
        }
        let hash = running.map(|id| id.hash);
        for slot in SLOTS {
            let Some(group) = self.members[at].seat(slot).map(|s| s.group) else { continue };
            let Some(experiment) = self.experiment(slot) else { continue };
            let wanted = match group {
                Group::Control => experiment.control_hash,
                Group::Arm(arm) => {
                    let content = experiment.arms.get(arm).map(|a| a.content);
                    content.and_then(|key| self.contents.id(key)).map(|id| id.hash)
                }
            };
            if wanted.is_some() && wanted != hash || !self.members[at].sample(slot, sample) {
                continue;
            }
            if let Some(experiment) = self.experiment(slot) {
                experiment.fresh += 1;
                if experiment.fresh >= experiment.count() {
                    self.look(now, slot);
                }
            }
        }
    }

    fn look(&mut self, now: Ticks, slot: Slot) {
        let batch = match slot {
            Slot::Canary => self.canary.as_mut(),
            Slot::Wide => self.wide.as_mut(),
            Slot::Undo => None,
        };
        if let Some(batch) = batch {
            batch.experiment.look(now, &mut self.members);
            self.judge(now, slot);
        }
    }

    /// A little longer than the time between two reports: whoever has not reported by then is not waited for.
    fn patience(&self) -> Ticks {
        self.rules.report_fast + self.rules.report_fast / 5
    }

    pub(crate) fn due(&mut self, now: Ticks) {
        self.expire(now);
        self.in_force(now);
        self.advance(now);
        self.replace_slow(now);
        self.tend(now);
        for slot in SLOTS {
            let patience = self.patience();
            if self.experiment(slot).is_some_and(|e| now >= e.looked + patience) {
                self.look(now, slot);
            }
        }
        let (proven, head) = (self.proven, self.head);
        let batches = [&self.canary, &self.wide];
        let last = self.changes.last_key_value().and_then(|c| c.1.previous);
        let tried = |key| batches.iter().copied().flatten().any(|b| b.base == Some(key) || b.has(key));
        self.contents.prune(|key| [proven, head, last].contains(&Some(key)) || tried(key));
        if self.canary.is_some() || self.wide.is_some() {
            let patience = self.patience();
            let next =
                SLOTS.into_iter().filter_map(|s| self.experiment(s).map(|e| e.looked + patience)).min();
            next.into_iter().for_each(|at| self.steps.push(Step::Wake(at.max(now + 1))));
        }
    }

    /// Brings in others for fronts that are away.
    fn tend(&mut self, now: Ticks) {
        for slot in [Slot::Canary, Slot::Wide] {
            let batch = if slot == Slot::Canary { self.canary.take() } else { self.wide.take() };
            let Some(mut batch) = batch else { continue };
            // The greater experiment goes on without them.
            if slot == Slot::Canary
                || batch.experiment.control.is_empty()
                || batch.experiment.arms[0].fronts.is_empty()
            {
                self.fill(now, &mut batch);
            }
            let place = if slot == Slot::Canary { &mut self.canary } else { &mut self.wide };
            *place = Some(batch);
        }
    }

    /// A canary that has not taken what it was given in time is not waited for: another takes part as well.
    fn replace_slow(&mut self, now: Ticks) {
        let Some(batch) = &mut self.canary else { return };
        for arm in &mut batch.experiment.arms {
            let hash = self.contents.id(arm.content).map(|id| id.hash);
            for &at in &arm.fronts {
                let m = &mut self.members[at];
                let lacks = m.runs.map(|r| r.hash) != hash;
                let Some(seat) = &mut m.seats[Slot::Canary as usize] else { continue };
                let late = now >= seat.since + self.rules.gone_within && !seat.replaced;
                if lacks && late && arm.slow < arm.size {
                    (seat.replaced, arm.slow) = (true, arm.slow + 1);
                }
            }
        }
    }
}
