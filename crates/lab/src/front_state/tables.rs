//! Tables of remembered fills of other sizes and other rules, to be held against the module's own on the same accesses.

use std::collections::VecDeque;

use lru::LruCache;
use moka::sync::Cache;
use rustc_hash::{FxBuildHasher, FxHashMap};

/// What goes when a table is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The module's: the fill made longest ago, looked at when it comes to the head of the queue.
    OldestFill,
    /// What was used longest ago.
    LeastRecentlyUsed,
    /// A sketch of how often each was asked for decides whether a newcomer is let in (TinyLFU).
    FrequencySketch,
}

/// A rule and how many entries there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Variant {
    pub rule: Rule,
    pub entries: usize,
}

pub enum Table {
    OldestFill { entries: usize, made: FxHashMap<u32, u32>, queue: VecDeque<(u32, u32)> },
    LeastRecentlyUsed(LruCache<u32, (), FxBuildHasher>),
    FrequencySketch(Cache<u32, (), FxBuildHasher>),
}

impl Table {
    pub fn new(variant: Variant) -> Table {
        let entries = variant.entries.max(1);
        match variant.rule {
            Rule::OldestFill => {
                Table::OldestFill { entries, made: FxHashMap::default(), queue: VecDeque::new() }
            }
            Rule::LeastRecentlyUsed => {
                let size = std::num::NonZeroUsize::new(entries).unwrap_or(std::num::NonZeroUsize::MIN);
                Table::LeastRecentlyUsed(LruCache::with_hasher(size, FxBuildHasher))
            }
            Rule::FrequencySketch => {
                let cache = Cache::builder().max_capacity(entries as u64);
                Table::FrequencySketch(cache.build_with_hasher(FxBuildHasher))
            }
        }
    }

    /// Whether the object is known, at an access of it. It is from then on, unless the table turns it away.
    pub fn access(&mut self, now: u32, object: u32) -> bool {
        match self {
            Table::OldestFill { entries, made, queue } => {
                if made.contains_key(&object) {
                    return true;
                }
                while made.len() >= *entries {
                    let Some((queued, oldest)) = queue.pop_front() else { break };
                    match made.get(&oldest) {
                        Some(&at) if at > queued => queue.push_back((at, oldest)),
                        _ => drop(made.remove(&oldest)),
                    }
                }
                made.insert(object, now);
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

    /// An answer says when the object's copy was made.
    pub fn told(&mut self, object: u32, at: u32) {
        if let Table::OldestFill { made, .. } = self
            && let Some(known) = made.get_mut(&object)
        {
            *known = at;
        }
    }
}
