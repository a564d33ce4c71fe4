//! The ids of requests that must not run again.
//!
//! By the protocol a client gives each request a new id, also when it repeats one. A request that comes under an id whose
//! request may have run, and may not simply run again, is a fault of its client: to start it would run it twice.

use std::collections::VecDeque;

use doorgrade::Ticks;
use rustc_hash::FxHashSet;

/// The most ids remembered; beyond it the oldest is forgotten.
const MAX_USED_IDS: usize = 1 << 14;

/// Remembers ids for a time.
#[derive(Debug)]
pub(super) struct UsedIds {
    ids: FxHashSet<u64>,
    /// The ids in the order in which they were added, and until when each is remembered.
    queue: VecDeque<(Ticks, u64)>,
    duration: Ticks,
}

impl UsedIds {
    /// Remembers each id for `duration`: for as long as its client may try the request again.
    pub(super) fn new(duration: Ticks) -> UsedIds {
        UsedIds { ids: FxHashSet::default(), queue: VecDeque::new(), duration }
    }

    pub(super) fn add(&mut self, now: Ticks, id: u64) {
        self.forget_old(now);
        if self.ids.insert(id) {
            self.queue.push_back((now.saturating_add(self.duration), id));
        }
        if self.ids.len() > MAX_USED_IDS {
            self.forget_oldest();
        }
    }

    pub(super) fn contains(&mut self, now: Ticks, id: u64) -> bool {
        self.forget_old(now);
        self.ids.contains(&id)
    }

    fn forget_old(&mut self, now: Ticks) {
        while self.queue.front().is_some_and(|(until, _)| *until < now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.queue.pop_front() {
            self.ids.remove(&id);
        }
    }
}
