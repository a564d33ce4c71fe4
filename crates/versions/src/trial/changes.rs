//! Changes outside their experiments: published, proven, in force and settled.

use std::sync::Arc;

use super::{Change, ChangeRow, ChangeState, Effect, Propagation, RemovalReason, Trials};
use crate::service::{LogEvent, PublishError};
use crate::{MAX_CONTENT_BYTES, Ticks, VersionId, delta, merge};

/// Limit of the bytes of queued contents. A content is shared by the change that created it and the next one.
const MAX_QUEUED_BYTES: usize = 512 << 20;

impl Trials {
    /// Whether a publication is allowed now; the same for an edit of the head and of an older content.
    pub(crate) fn may_publish(&self, bytes: usize) -> Result<(), PublishError> {
        if bytes > MAX_CONTENT_BYTES {
            return Err(PublishError::TooLarge(bytes));
        }
        let waiting = self.queue.len();
        let queued_bytes: usize =
            self.queue.iter().filter_map(|n| self.changes.get(n)).map(|c| c.after.len()).sum();
        if waiting >= self.rules.max_queued || queued_bytes + bytes > MAX_QUEUED_BYTES {
            return Err(PublishError::QueueFull { waiting });
        }
        Ok(())
    }

    /// `against`: the content that the publisher edited; `None` if it was the head, which the new content then
    /// replaces.
    pub(crate) fn publish(
        &mut self,
        now: Ticks,
        content: Arc<[u8]>,
        note: &str,
        against: Option<Arc<[u8]>>,
    ) -> Result<VersionId, PublishError> {
        self.may_publish(content.len())?;
        let before = self.head.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let after: Arc<[u8]> = match against {
            None => content,
            Some(base) => merge::merge(&base, &before, &content)
                .map_err(|_| PublishError::Conflict { last: self.head() })?
                .into(),
        };
        if after.len() > MAX_CONTENT_BYTES {
            return Err(PublishError::TooLarge(after.len()));
        }
        let key = self.contents.create(now, after.clone(), note, 0);
        let Some(version) = self.contents.get(key).map(|c| c.version.clone()) else {
            return Err(PublishError::NoSuchVersion);
        };
        let id = version.id;
        let change = Change {
            id,
            note: note.into(),
            undo: delta::between(&after, &before),
            before,
            after,
            state: ChangeState::Queued,
            try_alone: false,
            unproven: false,
            previous: self.head,
            watched_until: None,
        };
        self.changes.insert(id.number, change);
        self.queue.insert(id.number);
        self.head = Some(key);
        self.dirty = true;
        self.effects.extend([Effect::Store(version), Effect::SetTimer(now)]);
        Ok(id)
    }

    /// Undoes a publication that could not be stored; nothing of it has been offered to anybody.
    pub(crate) fn withdraw(&mut self, number: u64) {
        if let Some(change) = self.changes.remove(&number) {
            self.queue.remove(&number);
            self.head = change.previous;
            self.effects.clear();
            self.contents.release_reservation();
            self.dirty = true;
        }
    }

    /// Makes an earlier content the proven one at once, in place of everything that is not settled.
    pub(crate) fn roll_back(&mut self, now: Ticks, content: Arc<[u8]>, note: &str) -> Option<VersionId> {
        self.drop_batches();
        for (number, change) in std::mem::take(&mut self.changes) {
            let state = ChangeState::Removed(RemovalReason::RolledBack);
            self.settle(ChangeRow { number, note: change.note, state });
            self.log(LogEvent::ChangeRemoved { change: number, reason: RemovalReason::RolledBack });
        }
        self.queue.clear();
        self.propagations.clear();
        let before = self.proven.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let generation = self.next_generation();
        let key = self.contents.create(now, content.clone(), note, generation);
        let id = self.contents.id(key)?;
        let change = Change {
            id,
            note: note.into(),
            undo: delta::between(&content, &before),
            before,
            after: content,
            state: ChangeState::Everywhere,
            try_alone: false,
            unproven: false,
            previous: None,
            watched_until: None,
        };
        self.changes.insert(id.number, change);
        self.mark_proven(now, key, generation, vec![id.number]);
        self.head = Some(key);
        Some(id)
    }

    /// From now on all fronts are to run this content.
    pub(super) fn mark_proven(&mut self, now: Ticks, key: u64, generation: u64, changes: Vec<u64>) {
        self.proven = Some(key);
        if let Some(content) = self.contents.get(key) {
            let version = content.version.clone();
            self.effects.extend([Effect::SetBase(Some(version.id.number)), Effect::Store(version)]);
        }
        for number in &changes {
            if let Some(change) = self.changes.get_mut(number) {
                change.state = ChangeState::Everywhere;
            }
        }
        self.dirty = true;
        self.propagations.push_back(Propagation { generation, changes, log_from: now });
        for index in 0..self.members.len() {
            // A front that already ran this content has everything that is in it.
            let m = &self.members[index];
            self.track(index, m.connected, m.running);
            if self.members[index].assigned.is_none() {
                self.offer_target(index);
            }
        }
        self.check_in_force(now);
    }

    /// Reports batches as in force that every connected front has confirmed.
    pub(super) fn check_in_force(&mut self, now: Ticks) {
        let oldest = self.generations.first_key_value().map_or(u64::MAX, |l| *l.0);
        let mut next = 0;
        while let Some(propagation) = self.propagations.get(next) {
            if propagation.generation > oldest || now < propagation.log_from {
                next += 1;
                continue;
            }
            let Some(propagation) = self.propagations.remove(next) else { break };
            for number in propagation.changes {
                let Some(change) = self.changes.get_mut(&number) else { continue };
                change.state = if change.unproven { ChangeState::Unproven } else { ChangeState::InForce };
                change.watched_until = Some(now + self.rules.watch);
                let id = change.id;
                self.log(LogEvent::InForce(id));
            }
        }
    }

    /// Settles changes that have been observed for long enough.
    pub(super) fn settle_watched(&mut self, now: Ticks) {
        let over = |c: &Change| c.watched_until.is_some_and(|until| until <= now);
        let done: Vec<u64> = self.changes.iter().filter(|c| over(c.1)).map(|c| *c.0).collect();
        for number in done {
            if let Some(Change { note, state, .. }) = self.changes.remove(&number) {
                self.settle(ChangeRow { number, note, state });
            }
        }
    }
}
