//! The process's clock, shared with the control client, and a timer queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doorgrade::Ticks;

pub use doorgrade_control_client::clock::{load_test_offset, now, unix};

/// A queue of timers, ordered by time, then by when they were set.
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Ticks, u64, T)>>,
    sequence: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: Ticks, timer: T) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, timer)));
    }

    pub fn next(&self) -> Option<Ticks> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub fn pop_due(&mut self, now: Ticks) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., timer))| timer)
    }
}
