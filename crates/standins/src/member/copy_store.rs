//! The copies that a member stores, with LRU eviction.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A copy of the object at one path.
#[derive(Clone)]
pub struct StoredCopy {
    pub bytes: Arc<Vec<u8>>,
    /// Milliseconds of the Unix clock.
    pub made_at_ms: u64,
}

/// Copies by path.
#[derive(Default)]
pub struct CopyStore {
    pub copies: HashMap<String, StoredCopy>,
    /// Each use as a path and a time, in order. An entry is obsolete if its path has been used later.
    uses: VecDeque<(String, u64)>,
    last_use: HashMap<String, u64>,
    /// A counter of uses.
    clock: u64,
}

impl CopyStore {
    /// The copy of a path; counts as a use.
    pub fn get(&mut self, path: &str) -> Option<StoredCopy> {
        let copy = self.copies.get(path).cloned()?;
        self.touch(path);
        Some(copy)
    }

    fn touch(&mut self, path: &str) {
        self.clock += 1;
        self.last_use.insert(path.to_owned(), self.clock);
        self.uses.push_back((path.to_owned(), self.clock));
    }

    /// Stores a copy, and evicts the least recently used ones beyond `max_copies`.
    pub fn put(&mut self, path: &str, copy: StoredCopy, max_copies: usize) {
        self.copies.insert(path.to_owned(), copy);
        self.touch(path);
        while self.copies.len() > max_copies || self.uses.len() > 4 * max_copies + 64 {
            let Some((oldest, at)) = self.uses.pop_front() else { break };
            if self.last_use.get(&oldest) == Some(&at) {
                self.last_use.remove(&oldest);
                self.copies.remove(&oldest);
            }
        }
    }
}
