//! A change goes out: alone, from everyone, and with it only what builds on it.

use std::sync::Arc;

use super::batch::Batch;
use super::members::Slot;
use super::{ChangeRow, ChangeState, Harm, Step, Trials};
use crate::service::Line;
use crate::{Id, Ticks, merge};

impl Trials {
    /// Nobody has a seat in that experiment any more.
    pub(super) fn vacate(&mut self, slot: Slot) {
        self.members.iter_mut().for_each(|m| m.seats[slot as usize] = None);
    }

    pub(super) fn repace(&mut self) {
        (0..self.members.len()).for_each(|at| self.pace(at));
    }

    /// Whoever has one of its contents goes back to what it was laid on.
    pub(super) fn release(&mut self, batch: &Batch, slot: Slot) {
        self.vacate(slot);
        let back = self.wide.as_ref().map(|w| w.content).filter(|w| Some(*w) == batch.base);
        for at in 0..self.members.len() {
            if self.members[at].place.is_some_and(|key| batch.has(key)) {
                self.members[at].place = back;
                self.aim(at);
            }
        }
        self.repace();
    }

    /// A batch is given up; what is left of it waits to be tried anew.
    pub(super) fn abandon(&mut self, slot: Slot) {
        // What is laid on it first.
        if slot == Slot::Wide {
            self.abandon(Slot::Canary);
        }
        let batch = if slot == Slot::Wide { self.wide.take() } else { self.canary.take() };
        let Some(batch) = batch else { return };
        self.release(&batch, slot);
        for number in batch.changes {
            if let Some(change) = self.changes.get_mut(&number) {
                change.state = ChangeState::Queued;
                self.queue.insert(number);
            }
        }
        self.dirty = true;
    }

    pub(super) fn drop_batches(&mut self) {
        (self.canary, self.wide) = (None, None);
        for m in &mut self.members {
            (m.place, m.seats) = (None, Default::default());
        }
        self.repace();
    }

    /// The wide experiment's batch does harm and nobody can tell which of it: each is tried alone.
    pub(super) fn apart(&mut self, now: Ticks) {
        let Some(batch) = &self.wide else { return };
        for number in batch.changes.clone() {
            if let Some(change) = self.changes.get_mut(&number) {
                change.alone = true;
            }
        }
        self.abandon(Slot::Wide);
        self.advance(now);
    }

    /// It is settled; its content is in nothing that is made from now on.
    fn strike(&mut self, number: u64, why: Harm) -> Option<super::Change> {
        let change = self.changes.remove(&number)?;
        self.queue.remove(&number);
        self.spreads.iter_mut().for_each(|s| s.changes.retain(|c| *c != number));
        let state = ChangeState::TakenOut(why.clone());
        self.settle(ChangeRow { number, note: change.note.clone(), state });
        self.tell(Line::TakenOut { change: number, why });
        Some(change)
    }

    pub(crate) fn take_out(&mut self, now: Ticks, number: u64, why: Harm) {
        let Some(change) = self.strike(number, why) else { return };
        match change.state {
            ChangeState::Everywhere | ChangeState::InForce | ChangeState::Unproven => {
                self.undo(now, number, &change.before, &change.after);
            }
            _ => {
                for slot in [Slot::Wide, Slot::Canary] {
                    let batch = if slot == Slot::Wide { &self.wide } else { &self.canary };
                    if batch.as_ref().is_some_and(|b| b.changes.contains(&number)) {
                        self.abandon(slot);
                    }
                }
            }
        }
        self.mend_head(now, number);
        self.advance(now);
    }

    /// Everyone has it: what is everyone's from now on is without it, and without what builds on it.
    fn undo(&mut self, now: Ticks, number: u64, before: &Arc<[u8]>, after: &Arc<[u8]>) {
        self.abandon(Slot::Wide);
        let mut content = self.proven.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let mut gone = vec![(before.clone(), after.clone())];
        loop {
            // The latest first.
            let without = gone.iter().rev().try_fold(content.clone(), |content, (before, after)| {
                merge::take_out(before, after, &content).map(Arc::from)
            });
            if let Ok(without) = without {
                content = without;
                break;
            }
            let later = self.changes.range(number + 1..).rev().find(|c| everyones(&c.1.state)).map(|c| *c.0);
            let Some(struck) = later.and_then(|n| self.strike(n, Harm::BuildsOn { change: number })) else {
                // Nothing that is known builds on it: what was before it was good.
                content = before.clone();
                break;
            };
            gone.insert(1, (struck.before, struck.after));
        }
        let lineage = self.next_lineage();
        let key = self.contents.make(now, content, &format!("without {number}"), lineage);
        self.prove(now, key, lineage, Vec::new());
    }

    /// The head without what was taken out, and without what can't be laid on the rest any more.
    fn mend_head(&mut self, now: Ticks, out: u64) {
        let mut content = self.proven.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let pending: Vec<u64> =
            self.changes.iter().filter(|c| !everyones(&c.1.state)).map(|c| *c.0).collect();
        for number in pending {
            let Some(change) = self.changes.get(&number) else { continue };
            match merge::merge(&change.before, &change.after, &content) {
                Ok(all) => content = all.into(),
                Err(_) => {
                    let tried = |b: &Option<Batch>| b.as_ref().is_some_and(|b| b.changes.contains(&number));
                    if tried(&self.wide) {
                        self.abandon(Slot::Wide);
                    } else if tried(&self.canary) {
                        self.abandon(Slot::Canary);
                    }
                    self.strike(number, Harm::BuildsOn { change: out });
                }
            }
        }
        let hash = Id::of(0, 0, &content).hash;
        let is = |key: Option<u64>| key.and_then(|k| self.contents.id(k)).is_some_and(|id| id.hash == hash);
        if is(self.proven) {
            self.head = self.proven;
        } else if !is(self.head) {
            let key = self.contents.make(now, content, &format!("without {out}"), 0);
            self.head = Some(key);
            if let Some(content) = self.contents.get(key) {
                self.steps.push(Step::Keep(content.version.clone()));
            }
        }
        self.dirty = true;
    }
}

fn everyones(state: &ChangeState) -> bool {
    matches!(state, ChangeState::Everywhere | ChangeState::InForce | ChangeState::Unproven)
}
