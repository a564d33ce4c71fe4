//! Every decision of a front. How to call it: make a [`Front`] from the settings, hand it each input as it
//! comes (`listed`, `access`, `ended`, `due`, `left`, `purged`, ...) with the time now; it answers through
//! the `EffectSink`. The interface types are in `interface.rs`. One front knows only what was handed to it.
//!
//! Ordinary path (docs/design.md): the object hashes to a cache of the zone, a miss is filled from its first
//! parent in a hash over all listed parents; copies no older than fresh time - ALPHA will do; below BETA of
//! the fresh time since the last fill seen, the cache serves its copy and renews it behind.

mod access;
mod cold;
mod fills;
mod health;
mod list;
mod pick;
mod push;

use arrayvec::ArrayVec;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::fading::{Fading, Level};
use crate::hash;
use crate::interface::*;
use crate::oldest::OldestFirst;
use crate::state::*;

pub struct Front {
    classes: Vec<Class>,
    zone: usize,
    kinds: [Option<usize>; 2],
    notes: StatusReporting,
    may: Features,
    max_pushes: usize,
    weights: bool,
    follow: bool,
    margin: Ticks,
    flow: f64,
    cold: [ColdLimits; 2],
    purge_done: Ticks,
    rng: Rng,
    peers: Vec<Peer>,
    by_id: FxHashMap<Box<str>, usize>,
    caches: Vec<usize>,
    parents: Vec<usize>,
    origin: Option<usize>,
    held: Slab<Held>,
    places: FxHashMap<AccessId, usize>,
    fills: OldestFirst<(u64, u32), Fill>,
    purges: OldestFirst<(bool, u64), Ticks>, // of an object (true) or a group
    usual: [f64; 2], // what a warm cache, and a warm parent, of weight 1 carries for this front
    density: f64,
    spare_pushes: f64,
    lost: f64,
    late: f64, // share of the answered pushes that took longer than the soft limit, lately
    start_limit: f64,
    fill_limit: f64,
    refused_at: Ticks, // when the origin refused last, and when to ask it again
    probe_at: Ticks,
    filling: Level,
    over: f64, // counts of what is out are averaged over this
    crew: f64,
    end_by: Ticks, // this front ends: nothing is open from then on
}

fn hops((cache, source): (usize, usize)) -> impl Iterator<Item = usize> {
    std::iter::once(cache).chain(Some(source).filter(move |&s| s != cache))
}
impl Front {
    pub fn new(s: &Settings, seed: u64) -> Self {
        // Until answers tell, half the soft limit: an estimate on the long side.
        let class = |o: &Offering| Class { of: o.clone(), mean: o.soft_limit as f64 / 2.0, patience: 1.0 };
        // A guess that the answers soon correct: a score of pushes out at one cache, from all its fronts.
        let start_limit = 20.0 / f64::from(s.zone_fronts);
        Front {
            classes: s.offerings.iter().map(class).collect(),
            zone: s.zone,
            kinds: [s.parent_kind, s.origin_kind],
            notes: s.status_reporting,
            may: s.features,
            max_pushes: s.max_pushes.min(MOST_PUSHES),
            weights: s.comparable_weights,
            follow: s.list_on_request,
            // One input to hear that a push ran out of time, one to answer
            margin: 2 * s.min_input_interval + 10,
            flow: s.flow_kb_per_s / 10_000.0,
            cold: [s.cold, s.parent_cold],
            purge_done: s.purge_propagation,
            rng: Rng::with_seed(seed),
            peers: Vec::new(),
            by_id: FxHashMap::default(),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            held: Slab::new(),
            places: FxHashMap::default(),
            fills: OldestFirst::by(|f| f.at),
            purges: OldestFirst::by(|&at| at),
            usual: [0.0; 2],
            density: 0.0,
            spare_pushes: 10.0,
            lost: 0.0,
            late: 0.0,
            start_limit,
            fill_limit: 2.0 * start_limit,
            refused_at: 0,
            probe_at: 0,
            filling: Level::default(),
            // 50 ms for each further front: a count of its own few accesses is chance, an average is not.
            over: 500.0 * (f64::from(s.zone_fronts) - 1.0),
            crew: f64::from(s.zone_fronts),
            end_by: Ticks::MAX,
        }
    }
}
