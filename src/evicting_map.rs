//! A map that can evict its oldest entries.

use std::collections::VecDeque;
use std::hash::Hash;

use rustc_hash::FxHashMap;

use crate::interface::Ticks;

/// A map whose entries carry a time, by which the oldest are evicted first.
pub struct EvictingMap<K, V> {
    map: FxHashMap<K, V>,
    /// Every key once, with the time that its entry had when it was queued. An entry may have become newer
    /// since: eviction queues it again instead of removing it.
    queue: VecDeque<(Ticks, K)>,
    time_of: fn(&V) -> Ticks,
}

impl<K: Copy + Eq + Hash, V> EvictingMap<K, V> {
    /// Makes an empty map; `time_of` gives the time of an entry.
    pub fn new(time_of: fn(&V) -> Ticks) -> Self {
        EvictingMap { map: FxHashMap::default(), queue: VecDeque::new(), time_of }
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.map.get(key)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.map.get_mut(key)
    }

    pub fn insert(&mut self, key: K, value: V) {
        let time = (self.time_of)(&value);
        if self.map.insert(key, value).is_none() {
            self.queue.push_back((time, key));
        }
    }

    /// Evicts the oldest entry while `should_evict(number of entries, oldest entry)` is true.
    pub fn evict_while(&mut self, should_evict: impl Fn(usize, &V) -> bool) {
        while let Some(&(queued_time, key)) = self.queue.front() {
            let value = &self.map[&key];
            if !should_evict(self.map.len(), value) {
                return;
            }
            self.queue.pop_front();
            let time = (self.time_of)(value);
            if time > queued_time {
                self.queue.push_back((time, key));
            } else {
                self.map.remove(&key);
            }
        }
    }
}
