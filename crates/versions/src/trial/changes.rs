//! Changes as they are published, made everyone's, and known to be in force.

use std::sync::Arc;

use super::{Change, ChangeRow, ChangeState, Harm, Spread, Step, Trials};
use crate::service::{Line, NotPublished};
use crate::{Id, MOST_CONTENT, Ticks, delta, merge};

/// Bytes of contents that wait: a content's is shared by the change that made it and the next.
const MOST_WAITING: usize = 512 << 20;

impl Trials {
    /// Whether anything may be published now: against the head, or against another content that is kept.
    pub(crate) fn may_publish(&self, bytes: usize) -> Result<(), NotPublished> {
        if bytes > MOST_CONTENT {
            return Err(NotPublished::TooLong(bytes));
        }
        let waiting = self.queue.len();
        let waits: usize = self.queue.iter().filter_map(|n| self.changes.get(n)).map(|c| c.after.len()).sum();
        if waiting >= self.rules.most_queued || waits + bytes > MOST_WAITING {
            return Err(NotPublished::QueueFull { waiting });
        }
        Ok(())
    }

    /// `against`: the content that whoever publishes has changed; none: the head, and what is published replaces it.
    pub(crate) fn publish(
        &mut self,
        now: Ticks,
        content: Arc<[u8]>,
        note: &str,
        against: Option<Arc<[u8]>>,
    ) -> Result<Id, NotPublished> {
        self.may_publish(content.len())?;
        let before = self.head.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let after: Arc<[u8]> = match against {
            None => content,
            Some(base) => merge::merge(&base, &before, &content)
                .map_err(|_| NotPublished::Expected { last: self.head() })?
                .into(),
        };
        if after.len() > MOST_CONTENT {
            return Err(NotPublished::TooLong(after.len()));
        }
        let key = self.contents.make(now, after.clone(), note, 0);
        let Some(version) = self.contents.get(key).map(|c| c.version.clone()) else {
            return Err(NotPublished::NoSuchVersion);
        };
        let id = version.id;
        let change = Change {
            id,
            note: note.into(),
            undo: delta::between(&after, &before),
            before,
            after,
            state: ChangeState::Queued,
            alone: false,
            unproven: false,
            previous: self.head,
            watched_until: None,
        };
        self.changes.insert(id.number, change);
        self.queue.insert(id.number);
        self.head = Some(key);
        self.dirty = true;
        self.steps.extend([Step::Keep(version), Step::Wake(now)]);
        Ok(id)
    }

    /// It could not be stored: nothing of it has been offered to anybody.
    pub(crate) fn withdraw(&mut self, number: u64) {
        if let Some(change) = self.changes.remove(&number) {
            self.queue.remove(&number);
            self.head = change.previous;
            self.steps.clear();
            self.contents.unreserve();
            self.dirty = true;
        }
    }

    /// A content that was good before becomes everyone's at once, in place of all that is not settled.
    pub(crate) fn roll_back(&mut self, now: Ticks, content: Arc<[u8]>, note: &str) -> Option<Id> {
        self.drop_batches();
        for (number, change) in std::mem::take(&mut self.changes) {
            let state = ChangeState::TakenOut(Harm::RolledBack);
            self.settle(ChangeRow { number, note: change.note, state });
            self.tell(Line::TakenOut { change: number, why: Harm::RolledBack });
        }
        self.queue.clear();
        self.spreads.clear();
        let before = self.proven.and_then(|key| self.contents.bytes(key)).unwrap_or_default();
        let lineage = self.next_lineage();
        let key = self.contents.make(now, content.clone(), note, lineage);
        let id = self.contents.id(key)?;
        let change = Change {
            id,
            note: note.into(),
            undo: delta::between(&content, &before),
            before,
            after: content,
            state: ChangeState::Everywhere,
            alone: false,
            unproven: false,
            previous: None,
            watched_until: None,
        };
        self.changes.insert(id.number, change);
        self.prove(now, key, lineage, vec![id.number]);
        self.head = Some(key);
        Some(id)
    }

    /// From now on everyone is to have this content.
    pub(super) fn prove(&mut self, now: Ticks, key: u64, lineage: u64, changes: Vec<u64>) {
        self.proven = Some(key);
        if let Some(content) = self.contents.get(key) {
            let version = content.version.clone();
            self.steps.extend([Step::Base(Some(version.id.number)), Step::Keep(version)]);
        }
        for number in &changes {
            if let Some(change) = self.changes.get_mut(number) {
                change.state = ChangeState::Everywhere;
            }
        }
        self.dirty = true;
        self.spreads.push_back(Spread { lineage, changes, not_before: now });
        for at in 0..self.members.len() {
            // Whoever ran this content before it was everyone's has all that is in it.
            let m = &self.members[at];
            self.count(at, m.connected, m.runs);
            if self.members[at].place.is_none() {
                self.aim(at);
            }
        }
        self.in_force(now);
    }

    /// Whether what is on its way to everyone has come to every connected front.
    pub(super) fn in_force(&mut self, now: Ticks) {
        let least = self.lineages.first_key_value().map_or(u64::MAX, |l| *l.0);
        let mut at = 0;
        while let Some(spread) = self.spreads.get(at) {
            if spread.lineage > least || now < spread.not_before {
                at += 1;
                continue;
            }
            let Some(spread) = self.spreads.remove(at) else { break };
            for number in spread.changes {
                let Some(change) = self.changes.get_mut(&number) else { continue };
                change.state = if change.unproven { ChangeState::Unproven } else { ChangeState::InForce };
                change.watched_until = Some(now + self.rules.watch);
                let id = change.id;
                self.tell(Line::InForce(id));
            }
        }
    }

    /// Changes that have been observed for long enough are settled.
    pub(super) fn expire(&mut self, now: Ticks) {
        let over = |c: &Change| c.watched_until.is_some_and(|at| at <= now);
        let done: Vec<u64> = self.changes.iter().filter(|c| over(c.1)).map(|c| *c.0).collect();
        for number in done {
            if let Some(Change { note, state, .. }) = self.changes.remove(&number) {
                self.settle(ChangeRow { number, note, state });
            }
        }
    }
}
