//! Removing a change from all fronts, together with the changes that depend on it and no others.

use std::sync::Arc;

use super::batch::Batch;
use super::members::Slot;
use super::{ChangeRow, ChangeState, Effect, RemovalReason, Trials};
use crate::service::LogEvent;
use crate::{Ticks, VersionId, merge};

impl Trials {
    /// Ends all enrollments in an experiment.
    pub(super) fn clear_slot(&mut self, slot: Slot) {
        self.members.iter_mut().for_each(|m| m.enrollments[slot as usize] = None);
    }

    pub(super) fn update_report_intervals(&mut self) {
        (0..self.members.len()).for_each(|index| self.update_report_interval(index));
    }

    /// Fronts that run one of the batch's contents return to its base.
    pub(super) fn release_fronts(&mut self, batch: &Batch, slot: Slot) {
        self.clear_slot(slot);
        let back = self.wide.as_ref().map(|w| w.content).filter(|w| Some(*w) == batch.base);
        for index in 0..self.members.len() {
            if self.members[index].assigned.is_some_and(|key| batch.has(key)) {
                self.members[index].assigned = back;
                self.offer_target(index);
            }
        }
        self.update_report_intervals();
    }

    /// Gives up a batch; its remaining changes are queued again.
    pub(super) fn abandon(&mut self, slot: Slot) {
        // First the batch that is based on it.
        if slot == Slot::Wide {
            self.abandon(Slot::Canary);
        }
        let batch = if slot == Slot::Wide { self.wide.take() } else { self.canary.take() };
        let Some(batch) = batch else { return };
        self.release_fronts(&batch, slot);
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
            (m.assigned, m.enrollments) = (None, Default::default());
        }
        self.update_report_intervals();
    }

    /// The batch of the wide experiment is harmful and it is not clear which change is to blame: each is tried alone.
    pub(super) fn retry_alone(&mut self, now: Ticks) {
        let Some(batch) = &self.wide else { return };
        for number in batch.changes.clone() {
            if let Some(change) = self.changes.get_mut(&number) {
                change.try_alone = true;
            }
        }
        self.abandon(Slot::Wide);
        self.advance(now);
    }

    /// Settles a change as removed; contents created from now on do not include it.
    fn drop_change(&mut self, number: u64, reason: RemovalReason) -> Option<super::Change> {
        let change = self.changes.remove(&number)?;
        self.queue.remove(&number);
        self.propagations.iter_mut().for_each(|p| p.changes.retain(|c| *c != number));
        let state = ChangeState::Removed(reason.clone());
        self.settle(ChangeRow { number, note: change.note.clone(), state });
        self.log(LogEvent::ChangeRemoved { change: number, reason });
        Some(change)
    }

    pub(crate) fn remove_change(&mut self, now: Ticks, number: u64, reason: RemovalReason) {
        let Some(change) = self.drop_change(number, reason) else { return };
        match change.state {
            ChangeState::Everywhere | ChangeState::InForce | ChangeState::Unproven => {
                self.revert(now, number, &change.before, &change.after);
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
        self.rebuild_head(now, number);
        self.advance(now);
    }

    /// Creates a new proven content without a change that all fronts have, and without changes that depend on
    /// it.
    fn revert(&mut self, now: Ticks, number: u64, before: &Arc<[u8]>, after: &Arc<[u8]>) {
        self.abandon(Slot::Wide);
        let mut content = self.proven.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let mut reverted = vec![(before.clone(), after.clone())];
        loop {
            // Latest change first.
            let without = reverted.iter().rev().try_fold(content.clone(), |content, (before, after)| {
                merge::revert(before, after, &content).map(Arc::from)
            });
            if let Ok(without) = without {
                content = without;
                break;
            }
            let later =
                self.changes.range(number + 1..).rev().find(|c| is_everywhere(&c.1.state)).map(|c| *c.0);
            let Some(dropped) =
                later.and_then(|n| self.drop_change(n, RemovalReason::DependsOn { change: number }))
            else {
                // No known change depends on it: returns to the content before it, which was good.
                content = before.clone();
                break;
            };
            reverted.insert(1, (dropped.before, dropped.after));
        }
        let generation = self.next_generation();
        let key = self.contents.create(now, content, &format!("without {number}"), generation);
        self.mark_proven(now, key, generation, Vec::new());
    }

    /// Rebuilds the head without the removed change, and without changes that no longer merge.
    fn rebuild_head(&mut self, now: Ticks, removed: u64) {
        let mut content = self.proven.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let pending: Vec<u64> =
            self.changes.iter().filter(|c| !is_everywhere(&c.1.state)).map(|c| *c.0).collect();
        for number in pending {
            let Some(change) = self.changes.get(&number) else { continue };
            match merge::merge(&change.before, &change.after, &content) {
                Ok(merged) => content = merged.into(),
                Err(_) => {
                    let contains =
                        |b: &Option<Batch>| b.as_ref().is_some_and(|b| b.changes.contains(&number));
                    if contains(&self.wide) {
                        self.abandon(Slot::Wide);
                    } else if contains(&self.canary) {
                        self.abandon(Slot::Canary);
                    }
                    self.drop_change(number, RemovalReason::DependsOn { change: removed });
                }
            }
        }
        let hash = VersionId::of(0, 0, &content).hash;
        let has_content =
            |key: Option<u64>| key.and_then(|k| self.contents.id(k)).is_some_and(|id| id.hash == hash);
        if has_content(self.proven) {
            self.head = self.proven;
        } else if !has_content(self.head) {
            let key = self.contents.create(now, content, &format!("without {removed}"), 0);
            self.head = Some(key);
            if let Some(content) = self.contents.get(key) {
                self.effects.push(Effect::Store(content.version.clone()));
            }
        }
        self.dirty = true;
    }
}

fn is_everywhere(state: &ChangeState) -> bool {
    matches!(state, ChangeState::Everywhere | ChangeState::InForce | ChangeState::Unproven)
}
