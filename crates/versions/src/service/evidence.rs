//! Rollouts judged by evidence: what happens goes to the trials, and what they want done is done.

use std::sync::Arc;

use super::{Answer, Do, NotPublished, RolloutMode, Saved, SavedChange, SavedTrials, Service, Ticks};
use super::{Denied, Harm, Version};
use crate::message::ToFront;
use crate::trial::{Step, Trials};
use crate::{Id, delta};

/// A front that says nothing for so many of its reports has been cut off, though nobody has heard of the end.
const SILENCE: u64 = 3;

impl Service {
    pub(super) fn start_trials(&mut self, now: Ticks, under_way: Option<Saved>, saved: Option<SavedTrials>) {
        let RolloutMode::Evidence(rules) = self.rules.rollout.clone() else { return };
        let newest = self.versions.last_key_value().map_or(0, |v| *v.0);
        let saved = saved.or_else(|| self.under_way(under_way.filter(|r| r.stopped.is_none())));
        let mut trials = Trials::new(rules, self.rules.drop, self.rules.refused, self.epoch, newest);
        let tell_from = self.listens.unwrap_or(now);
        trials.restore(tell_from, &self.versions, self.base, saved);
        self.trials = Some(trials);
    }

    /// A publication that was under way in waves is tried anew.
    fn under_way(&self, saved: Option<Saved>) -> Option<SavedTrials> {
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

    /// Something happens that the trials are to know of.
    pub(super) fn on_trials(&mut self, now: Ticks, out: &mut Vec<Do>, event: impl FnOnce(&mut Trials)) {
        if let Some(trials) = &mut self.trials {
            event(trials);
            self.drain(now, out);
        }
    }

    pub(super) fn trial_came(&mut self, now: Ticks, at: usize, out: &mut Vec<Do>) {
        let (station, runs) = (self.fronts[at].station.clone(), self.fronts[at].runs);
        self.on_trials(now, out, |t| t.came(now, at, &station, runs));
    }

    pub(super) fn trials_due(&mut self, now: Ticks, out: &mut Vec<Do>) {
        let RolloutMode::Evidence(rules) = &self.rules.rollout else { return };
        let silence = SILENCE * rules.report_slow.max(self.rules.alive);
        // In the order in which they are due a word: each is looked at about as often as it is spoken to.
        let silent: Vec<_> = self
            .due
            .iter()
            .rev()
            .take_while(|d| d.0 >= now + self.rules.alive)
            .filter(|d| self.fronts[d.1].conn == Some(d.2) && now >= self.fronts[d.1].heard + silence)
            .map(|d| d.2)
            .collect();
        for conn in silent {
            out.push(Do::Close(conn));
            self.gone(now, conn, out);
        }
        self.on_trials(now, out, |t| t.due(now));
    }

    /// Does what the trials want: what is to be stored first, before anything of it is offered.
    pub(super) fn drain(&mut self, now: Ticks, out: &mut Vec<Do>) {
        let Some(trials) = &mut self.trials else { return };
        let (steps, dirty) = trials.take_steps();
        let mut base = None;
        for step in &steps {
            match step {
                Step::Keep(version) => self.keep(version.clone(), out),
                Step::Base(number) => base = Some(*number),
                _ => {}
            }
        }
        if let Some(base) = base {
            self.base = base;
            self.store_state(out);
        }
        if dirty && let Some(trials) = &self.trials {
            out.push(Do::StoreTrials(trials.saved()));
        }
        for step in steps {
            match step {
                Step::Keep(_) | Step::Base(_) => {}
                Step::Offer(at) => self.offer_trial(now, at, out),
                Step::Pace(at, every) => {
                    if let Some(conn) = self.fronts[at].conn {
                        out.push(Do::Send(conn, ToFront::ReportEvery { millis: every / 10 }));
                    }
                }
                Step::Tell(line) => out.push(Do::Tell(line)),
                Step::Wake(at) => self.wake(at, out),
            }
        }
    }

    fn keep(&mut self, version: Version, out: &mut Vec<Do>) {
        out.push(Do::Store(version.clone()));
        self.versions.insert(version.id.number, version);
        while self.versions.len() > self.rules.history {
            let needed = |n: &u64| self.trials.as_ref().is_some_and(|t| t.needs(*n));
            let Some(oldest) = self.versions.keys().copied().find(|n| !needed(n)) else { break };
            if let Some(gone) = self.versions.remove(&oldest) {
                out.push(Do::Forget(gone.id));
            }
        }
    }

    pub(super) fn offer_trial(&mut self, now: Ticks, at: usize, out: &mut Vec<Do>) {
        let (Some(goal), None) = (self.goal(at), self.superseded) else { return };
        let old = self.listens.is_some() && self.trials.as_ref().is_some_and(|t| t.goal_is_old(at));
        let front = &mut self.fronts[at];
        let Some(conn) = front.conn else { return };
        let has = front.runs.is_some_and(|r| r.hash == goal.hash || r.place() >= goal.place());
        let asked = front.offered.is_some_and(|o| o.0 == goal);
        // What it ran it can't say; of what is published from now on nobody ran anything later.
        let unknown = front.runs.is_none() && old;
        // It never starts on one that it turned down.
        let refused = front.turned_down.as_ref().is_some_and(|t| t.0.hash == goal.hash);
        if has || asked || unknown || refused {
            return;
        }
        front.offered = Some((goal, now));
        out.push(Do::Send(conn, ToFront::Offer { id: goal }));
    }

    pub(super) fn publish_change(
        &mut self,
        now: Ticks,
        content: Arc<[u8]>,
        note: &str,
        expects: u64,
        out: &mut Vec<Do>,
    ) -> Result<Id, NotPublished> {
        if self.keys.all().is_empty() {
            return Err(NotPublished::NoKey);
        }
        let last = self.last();
        let against = match self.versions.get(&expects) {
            _ if expects == last => None,
            Some(version) => Some(version.content.clone()),
            None => return Err(NotPublished::Expected { last }),
        };
        let Some(trials) = &mut self.trials else { return Err(NotPublished::NoSuchVersion) };
        let id = trials.publish(now, content, note, against)?;
        self.drain(now, out);
        Ok(id)
    }

    pub(super) fn roll_back_trials(
        &mut self,
        now: Ticks,
        number: u64,
        content: Arc<[u8]>,
        out: &mut Vec<Do>,
    ) -> Result<Id, NotPublished> {
        if let Some(by) = self.superseded {
            return Err(NotPublished::Superseded { by });
        }
        if self.keys.all().is_empty() {
            return Err(NotPublished::NoKey);
        }
        let note = format!("back to {number}");
        let made = self.trials.as_mut().and_then(|t| t.roll_back(now, content, &note));
        self.drain(now, out);
        made.ok_or(NotPublished::NoSuchVersion)
    }

    pub(super) fn take_out(&mut self, now: Ticks, number: u64, out: &mut Vec<Do>) -> Answer {
        if !self.trials.as_ref().is_some_and(|t| t.is_open(number)) {
            return Answer::Denied(Denied::OtherUnderWay(None));
        }
        self.on_trials(now, out, |t| t.take_out(now, number, Harm::ByHand));
        Answer::Done
    }
}
