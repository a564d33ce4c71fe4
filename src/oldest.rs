//! A map whose oldest entries can be shed first.

use std::collections::VecDeque;
use std::hash::Hash;

use rustc_hash::FxHashMap;

use crate::interface::Ticks;

pub struct OldestFirst<K, V> {
    map: FxHashMap<K, V>,
    /// Every key once, with its entry's time when it was queued.
    order: VecDeque<(Ticks, K)>,
    time: fn(&V) -> Ticks,
}

impl<K: Copy + Eq + Hash, V> OldestFirst<K, V> {
    pub fn by(time: fn(&V) -> Ticks) -> Self {
        OldestFirst { map: FxHashMap::default(), order: VecDeque::new(), time }
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.map.get(key)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.map.get_mut(key)
    }

    pub fn put(&mut self, key: K, value: V) {
        let time = (self.time)(&value);
        if self.map.insert(key, value).is_none() {
            self.order.push_back((time, key));
        }
    }

    /// Drops the oldest while `too_many(how many there are, the oldest)` says so.
    pub fn shed(&mut self, too_many: impl Fn(usize, &V) -> bool) {
        while let Some(&(queued, key)) = self.order.front() {
            let value = &self.map[&key];
            if !too_many(self.map.len(), value) {
                return;
            }
            self.order.pop_front();
            let time = (self.time)(value);
            if time > queued {
                self.order.push_back((time, key));
            } else {
                self.map.remove(&key);
            }
        }
    }
}
