//! Tables of remembered fills with other sizes and eviction policies, which are compared with the decision module's table
//! on the same accesses.

use std::collections::VecDeque;

use lru::LruCache;
use moka::sync::Cache;
use rustc_hash::{FxBuildHasher, FxHashMap};

/// Which entry a full table evicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// As the module does: a FIFO queue by time of fill. An entry at its head that was filled again since it was queued
    /// goes back to the end.
    OldestFill,
    LeastRecentlyUsed,
    /// TinyLFU: a sketch of access frequencies decides whether a new entry is admitted.
    FrequencySketch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableConfig {
    pub policy: EvictionPolicy,
    pub max_entries: usize,
}

pub enum Table {
    OldestFill { max_entries: usize, filled_at: FxHashMap<u32, u32>, queue: VecDeque<(u32, u32)> },
    LeastRecentlyUsed(LruCache<u32, (), FxBuildHasher>),
    FrequencySketch(Cache<u32, (), FxBuildHasher>),
}

impl Table {
    pub fn new(config: TableConfig) -> Table {
        let max_entries = config.max_entries.max(1);
        match config.policy {
            EvictionPolicy::OldestFill => {
                Table::OldestFill { max_entries, filled_at: FxHashMap::default(), queue: VecDeque::new() }
            }
            EvictionPolicy::LeastRecentlyUsed => {
                let size = std::num::NonZeroUsize::new(max_entries).unwrap_or(std::num::NonZeroUsize::MIN);
                Table::LeastRecentlyUsed(LruCache::with_hasher(size, FxBuildHasher))
            }
            EvictionPolicy::FrequencySketch => {
                let cache = Cache::builder().max_capacity(max_entries as u64);
                Table::FrequencySketch(cache.build_with_hasher(FxBuildHasher))
            }
        }
    }

    /// Whether the object is known at this access. If it was not, it is inserted, unless the policy does not admit it.
    pub fn access(&mut self, now: u32, object: u32) -> bool {
        match self {
            Table::OldestFill { max_entries, filled_at, queue } => {
                if filled_at.contains_key(&object) {
                    return true;
                }
                while filled_at.len() >= *max_entries {
                    let Some((queued_at, oldest)) = queue.pop_front() else { break };
                    match filled_at.get(&oldest) {
                        Some(&at) if at > queued_at => queue.push_back((at, oldest)),
                        _ => drop(filled_at.remove(&oldest)),
                    }
                }
                filled_at.insert(object, now);
                queue.push_back((now, object));
                false
            }
            Table::LeastRecentlyUsed(cache) => {
                let known = cache.get(&object).is_some();
                if !known {
                    cache.put(object, ());
                }
                known
            }
            Table::FrequencySketch(cache) => {
                let known = cache.get(&object).is_some();
                if !known {
                    cache.insert(object, ());
                }
                known
            }
        }
    }

    /// Records when the object's copy was filled, as a response reported it.
    pub fn fill_reported(&mut self, object: u32, at: u32) {
        if let Table::OldestFill { filled_at, .. } = self
            && let Some(entry) = filled_at.get_mut(&object)
        {
            *entry = at;
        }
    }
}
