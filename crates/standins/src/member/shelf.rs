//! The copies that a member keeps; the one used longest ago goes first.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// What is held of one path.
#[derive(Clone)]
pub struct Copy {
    pub bytes: Arc<Vec<u8>>,
    /// Milliseconds of the Unix clock.
    pub made_at: u64,
}

/// Copies by path.
#[derive(Default)]
pub struct Shelf {
    pub copies: HashMap<String, Copy>,
    /// Oldest use first; a path may stand here again, later uses count.
    uses: VecDeque<(String, u64)>,
    last: HashMap<String, u64>,
    clock: u64,
}

impl Shelf {
    /// What is held of it; counts as a use.
    pub fn get(&mut self, path: &str) -> Option<Copy> {
        let copy = self.copies.get(path).cloned()?;
        self.touch(path);
        Some(copy)
    }

    fn touch(&mut self, path: &str) {
        self.clock += 1;
        self.last.insert(path.to_owned(), self.clock);
        self.uses.push_back((path.to_owned(), self.clock));
    }

    /// Keeps it, and drops those used longest ago beyond `keeps`.
    pub fn put(&mut self, path: &str, copy: Copy, keeps: usize) {
        self.copies.insert(path.to_owned(), copy);
        self.touch(path);
        while self.copies.len() > keeps || self.uses.len() > 4 * keeps + 64 {
            let Some((oldest, at)) = self.uses.pop_front() else { break };
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
                self.copies.remove(&oldest);
            }
        }
    }
}
