//! What survives a restart: changes that are not settled, and what is everyone's. Arms don't: fronts that run one are given
//! what is proven, under a number later than any that was given out.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Change, ChangeState, SavedChange, SavedTrials, Spread, Trials};
use crate::service::Version;
use crate::{Ticks, delta};

/// Settled changes that are stored: whoever waits for one asks again within minutes.
const MOST_SAVED: usize = 100;

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
            settled: self.settled.iter().rev().take(MOST_SAVED).rev().cloned().collect(),
        }
    }

    /// Goes on with what a store had. Whoever has said that it runs what is proven has it; all others are to be heard.
    pub(crate) fn restore(
        &mut self,
        tell_from: Ticks,
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
        let lineage = self.next_lineage();
        let mut keep = |number: Option<u64>, lineage| {
            let version = versions.get(&number?)?.clone();
            Some(self.contents.put(version, lineage))
        };
        self.proven = keep(saved.proven, lineage);
        self.head = if saved.head == saved.proven { self.proven } else { keep(saved.head, 0) };
        self.head = self.head.or(self.proven);
        self.settled = saved.settled.into();
        let mut spread = Vec::new();
        for change in saved.changes {
            let Some(version) = versions.get(&change.number) else { continue };
            let Some(before) = delta::apply(&version.content, &change.undo) else { continue };
            let state = if change.watched { ChangeState::Everywhere } else { ChangeState::Queued };
            if change.watched {
                spread.push(change.number);
            } else {
                self.queue.insert(change.number);
            }
            let made = Change {
                id: version.id,
                note: change.note,
                before: Arc::from(before),
                after: version.content.clone(),
                undo: change.undo,
                state,
                alone: false,
                unproven: false,
                previous: None,
                watched_until: None,
            };
            self.changes.insert(change.number, made);
        }
        if !spread.is_empty() {
            self.spreads.push_back(Spread { lineage, changes: spread, not_before: tell_from });
        }
        self.restored = lineage;
        self.dirty = true;
    }

    /// All is numbered anew, in another epoch: nothing that was on trial is any more.
    pub(crate) fn reset(&mut self, epoch: u64, newest: u64) {
        self.drop_batches();
        self.changes.clear();
        self.queue.clear();
        self.spreads.clear();
        self.contents.clear();
        (self.contents.epoch, self.contents.newest, self.contents.reserved) = (epoch, newest, newest);
        (self.proven, self.head) = (None, None);
        self.dirty = true;
    }
}
