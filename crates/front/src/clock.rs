//! The process's clock, shared with the control client, and a timer queue.

use std::collections::BTreeMap;

use doorgrade::Ticks;

pub use doorgrade_control_client::clock::{load_test_offset, now, unix};

/// Identifies a timer that was set: when it fires, and the number of timers set before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(Ticks, u64);

/// A queue of timers, ordered by time, then by when they were set.
pub struct Timers<T> {
    queue: BTreeMap<TimerId, T>,
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { queue: BTreeMap::new(), sequence: 0 }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: Ticks, timer: T) -> TimerId {
        self.sequence += 1;
        let id = TimerId(at, self.sequence);
        self.queue.insert(id, timer);
        id
    }

    /// Takes a timer out. Does nothing if it has fired.
    pub fn cancel(&mut self, id: TimerId) {
        self.queue.remove(&id);
    }

    /// How many timers are set.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub fn next(&self) -> Option<Ticks> {
        self.queue.first_key_value().map(|(TimerId(at, _), _)| *at)
    }

    pub fn pop_due(&mut self, now: Ticks) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, timer)| timer)
    }
}
