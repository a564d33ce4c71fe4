//! Contents that are on trial, proven or published. Each has its own number, and gets a new one when fronts
//! that run a later number have to return to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::service::Version;
use crate::{Ticks, VersionId};

/// Identifies a content for as long as it is kept, while its number may grow.
pub(super) type ContentKey = u64;

#[derive(Clone, Debug)]
pub(super) struct Content {
    pub version: Version,
    /// The latest batch of changes that is completely included: of two contents the one with the greater
    /// generation includes all that the other does.
    pub generation: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Contents {
    pub epoch: u64,
    /// The greatest number issued, and up to which number the store has them reserved.
    pub newest: u64,
    pub reserved: u64,
    kept: BTreeMap<ContentKey, Content>,
    /// All numbers of the kept contents.
    numbers: BTreeMap<u64, ContentKey>,
}

/// Numbers reserved by one write: contents of arms are not stored, only that their numbers are used up.
const RESERVED_NUMBERS: u64 = 64;
/// Limits of the contents and bytes that are kept for deltas although nothing else needs them.
const MAX_KEPT: usize = 48;
const MAX_KEPT_BYTES: usize = 64 << 20;

impl Contents {
    pub fn new(epoch: u64, newest: u64) -> Contents {
        Contents { epoch, newest, reserved: newest, ..Contents::default() }
    }

    /// Drops a reservation that could not be stored.
    pub fn release_reservation(&mut self) {
        self.reserved = self.reserved.min(self.newest);
    }

    /// Whether the reservation was used up and has been extended: it has to be stored before newly numbered
    /// contents are offered.
    pub fn reserve(&mut self) -> bool {
        let exhausted = self.newest >= self.reserved;
        if exhausted {
            self.reserved = self.newest + RESERVED_NUMBERS;
        }
        exhausted
    }

    pub fn get(&self, key: ContentKey) -> Option<&Content> {
        self.kept.get(&key)
    }

    pub fn id(&self, key: ContentKey) -> Option<VersionId> {
        self.kept.get(&key).map(|c| c.version.id)
    }

    pub fn bytes(&self, key: ContentKey) -> Option<Arc<[u8]>> {
        self.kept.get(&key).map(|c| c.version.content.clone())
    }

    pub fn generation(&self, key: ContentKey) -> u64 {
        self.kept.get(&key).map_or(0, |c| c.generation)
    }

    pub fn by_number(&self, number: u64) -> Option<&Content> {
        self.numbers.get(&number).and_then(|key| self.kept.get(key))
    }

    /// Finds a content by hash: the same content is the same base, whatever its number.
    pub fn by_hash(&self, hash: &[u8; 32]) -> Option<&Content> {
        self.kept.values().rev().find(|c| c.version.id.hash == *hash)
    }

    pub fn insert(&mut self, version: Version, generation: u64) -> ContentKey {
        let key = version.id.number;
        self.newest = self.newest.max(key);
        self.numbers.insert(key, key);
        self.kept.insert(key, Content { version, generation });
        key
    }

    /// Creates a content under a later number than any front may run.
    pub fn create(&mut self, now: Ticks, content: Arc<[u8]>, note: &str, generation: u64) -> ContentKey {
        let id = VersionId::of(self.epoch, self.newest + 1, &content);
        self.insert(Version { id, content, note: note.into(), published_at: now }, generation)
    }

    /// Gives a content a later number.
    pub fn renumber(&mut self, key: ContentKey) -> Option<&Version> {
        let content = self.kept.get_mut(&key)?;
        self.newest += 1;
        content.version.id.number = self.newest;
        self.numbers.insert(self.newest, key);
        Some(&content.version)
    }

    pub fn set_generation(&mut self, key: ContentKey, generation: u64) {
        if let Some(content) = self.kept.get_mut(&key) {
            content.generation = generation;
        }
    }

    /// Drops the oldest unneeded contents while there are too many.
    pub fn prune(&mut self, needed: impl Fn(ContentKey) -> bool) {
        let mut bytes: usize = self.kept.values().map(|c| c.version.content.len()).sum();
        while self.kept.len() > MAX_KEPT || bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.kept.keys().copied().find(|k| !needed(*k)) else { break };
            bytes -= self.kept.remove(&oldest).map_or(0, |c| c.version.content.len());
            self.numbers.retain(|_, key| *key != oldest);
        }
    }

    pub fn clear(&mut self) {
        (self.kept, self.numbers) = Default::default();
    }
}
