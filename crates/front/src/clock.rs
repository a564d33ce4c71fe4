//! Time, as the control side reads it too; and what is to happen when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doorgrade::Ticks;

pub use doorgrade_control_client::clock::{load_test_offset, now, unix};

/// Things to do later, the earliest first, in the order asked where times are equal.
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Ticks, u64, T)>>,
    asked: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), asked: 0 }
    }
}

impl<T: Ord> Timers<T> {
    pub fn set(&mut self, at: Ticks, what: T) {
        self.asked += 1;
        self.heap.push(Reverse((at, self.asked, what)));
    }

    pub fn next(&self) -> Option<Ticks> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub fn due(&mut self, now: Ticks) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., what))| what)
    }
}
