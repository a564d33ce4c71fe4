//! Contents that are tried, proven or published: each has a number of its own, and a new one when fronts that run a later
//! number have to come back to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::service::Version;
use crate::{Id, Ticks};

/// Names a content for as long as it is kept; its number may grow.
pub(super) type Key = u64;

#[derive(Clone, Debug)]
pub(super) struct Content {
    pub version: Version,
    /// The latest batch of changes that is in it whole: of two contents the one with the greater has all that the other has.
    pub lineage: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Contents {
    pub epoch: u64,
    /// The greatest number that was given out, and how far numbers are reserved in the store.
    pub newest: u64,
    pub reserved: u64,
    kept: BTreeMap<Key, Content>,
    /// The contents of all numbers of what is kept.
    numbers: BTreeMap<u64, Key>,
}

/// Numbers reserved by one write: arms' contents are not stored, only that their numbers are used up.
const RESERVE: u64 = 64;
/// Contents that nothing needs any more are kept for deltas until there are so many, or so many bytes.
const MOST_KEPT: usize = 48;
const MOST_BYTES: usize = 64 << 20;

impl Contents {
    pub fn new(epoch: u64, newest: u64) -> Contents {
        Contents { epoch, newest, reserved: newest, ..Contents::default() }
    }

    /// What was reserved last was not stored.
    pub fn unreserve(&mut self) {
        self.reserved = self.reserved.min(self.newest);
    }

    /// Whether a write has to come before anything that was numbered since the last is offered.
    pub fn reserve(&mut self) -> bool {
        let short = self.newest >= self.reserved;
        if short {
            self.reserved = self.newest + RESERVE;
        }
        short
    }

    pub fn get(&self, key: Key) -> Option<&Content> {
        self.kept.get(&key)
    }

    pub fn id(&self, key: Key) -> Option<Id> {
        self.kept.get(&key).map(|c| c.version.id)
    }

    pub fn bytes(&self, key: Key) -> Option<Arc<[u8]>> {
        self.kept.get(&key).map(|c| c.version.content.clone())
    }

    pub fn lineage(&self, key: Key) -> u64 {
        self.kept.get(&key).map_or(0, |c| c.lineage)
    }

    pub fn by_number(&self, number: u64) -> Option<&Content> {
        self.numbers.get(&number).and_then(|key| self.kept.get(key))
    }

    /// By its hash: whatever it has been numbered, the same content is the same base.
    pub fn by_hash(&self, hash: &[u8; 32]) -> Option<&Content> {
        self.kept.values().rev().find(|c| c.version.id.hash == *hash)
    }

    pub fn put(&mut self, version: Version, lineage: u64) -> Key {
        let key = version.id.number;
        self.newest = self.newest.max(key);
        self.numbers.insert(key, key);
        self.kept.insert(key, Content { version, lineage });
        key
    }

    /// A content under a number that is later than all that fronts may run.
    pub fn make(&mut self, now: Ticks, content: Arc<[u8]>, note: &str, lineage: u64) -> Key {
        let id = Id::of(self.epoch, self.newest + 1, &content);
        self.put(Version { id, content, note: note.into(), at: now }, lineage)
    }

    /// The same content under a later number.
    pub fn restate(&mut self, key: Key) -> Option<&Version> {
        let content = self.kept.get_mut(&key)?;
        self.newest += 1;
        content.version.id.number = self.newest;
        self.numbers.insert(self.newest, key);
        Some(&content.version)
    }

    pub fn set_lineage(&mut self, key: Key, lineage: u64) {
        if let Some(content) = self.kept.get_mut(&key) {
            content.lineage = lineage;
        }
    }

    /// Drops the oldest of what nothing needs, where there is too much.
    pub fn prune(&mut self, needed: impl Fn(Key) -> bool) {
        let mut bytes: usize = self.kept.values().map(|c| c.version.content.len()).sum();
        while self.kept.len() > MOST_KEPT || bytes > MOST_BYTES {
            let Some(oldest) = self.kept.keys().copied().find(|k| !needed(*k)) else { break };
            bytes -= self.kept.remove(&oldest).map_or(0, |c| c.version.content.len());
            self.numbers.retain(|_, key| *key != oldest);
        }
    }

    pub fn clear(&mut self) {
        (self.kept, self.numbers) = Default::default();
    }
}
