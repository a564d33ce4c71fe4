//! State that survives a restart: unsettled changes and the proven content. Contents of arms do not: fronts
//! that run one are offered the proven content under a later number than any that was issued.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Change, ChangeState, Propagation, SavedChange, SavedTrials, Trials};
use crate::service::Version;
use crate::{Ticks, delta};

/// Limit of the stored settled changes: publishers that wait for an outcome request it again within minutes.
const MAX_SAVED: usize = 100;

impl Trials {
    pub(crate) fn saved(&self) -> SavedTrials {
        let number = |key: Option<u64>| key.and_then(|k| self.contents.id(k)).map(|id| id.number);
        let change = |(&number, c): (&u64, &Change)| SavedChange {
            number,
            note: c.note.clone(),
            undo: c.undo.clone(),
            watched: matches!(
                c.state,
                ChangeState::Everywhere | ChangeState::InForce | ChangeState::Unproven
            ),
        };
        SavedTrials {
            epoch: self.contents.epoch,
            reserved: self.contents.reserved,
            proven: number(self.proven),
            head: number(self.head),
            changes: self.changes.iter().map(change).collect(),
            settled: self.settled.iter().rev().take(MAX_SAVED).rev().cloned().collect(),
        }
    }

    /// Restores stored state. Fronts that report the proven content have it; all others must report first.
    pub(crate) fn restore(
        &mut self,
        log_from: Ticks,
        versions: &BTreeMap<u64, Version>,
        base: Option<u64>,
        saved: Option<SavedTrials>,
    ) {
        let saved = saved.filter(|s| s.epoch == self.contents.epoch).unwrap_or(SavedTrials {
            epoch: self.contents.epoch,
            proven: base,
            head: base,
            ..SavedTrials::default()
        });
        self.contents.newest = self.contents.newest.max(saved.reserved);
        self.contents.reserved = self.contents.newest;
        let generation = self.next_generation();
        let mut restore_content = |number: Option<u64>, generation| {
            let version = versions.get(&number?)?.clone();
            Some(self.contents.insert(version, generation))
        };
        self.proven = restore_content(saved.proven, generation);
        self.head = if saved.head == saved.proven { self.proven } else { restore_content(saved.head, 0) };
        self.head = self.head.or(self.proven);
        self.settled = saved.settled.into();
        let mut restored_changes = Vec::new();
        for change in saved.changes {
            let Some(version) = versions.get(&change.number) else { continue };
            let Some(before) = delta::apply(&version.content, &change.undo) else { continue };
            let state = if change.watched { ChangeState::Everywhere } else { ChangeState::Queued };
            if change.watched {
                restored_changes.push(change.number);
            } else {
                self.queue.insert(change.number);
            }
            let restored = Change {
                id: version.id,
                note: change.note,
                before: Arc::from(before),
                after: version.content.clone(),
                undo: change.undo,
                state,
                try_alone: false,
                unproven: false,
                previous: None,
                watched_until: None,
            };
            self.changes.insert(change.number, restored);
        }
        if !restored_changes.is_empty() {
            self.propagations.push_back(Propagation { generation, changes: restored_changes, log_from });
        }
        self.restored_generation = generation;
        self.dirty = true;
    }

    /// Starts over in another epoch, with no change on trial.
    pub(crate) fn reset(&mut self, epoch: u64, newest: u64) {
        self.drop_batches();
        self.changes.clear();
        self.queue.clear();
        self.propagations.clear();
        self.contents.clear();
        (self.contents.epoch, self.contents.newest, self.contents.reserved) = (epoch, newest, newest);
        (self.proven, self.head) = (None, None);
        self.dirty = true;
    }
}
