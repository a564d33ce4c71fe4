//! Every decision of a front. How to call it: make a [`Front`] from the settings, hand it each input as it comes
//! (`listed`, `access`, `ended`, `due`, `left`, `purged`, ...) with the time now; it answers through the `Outlet`.
//! The interface types are in `face.rs`. One front knows only what was handed to it; nothing is shared.
//!
//! Ordinary path (docs/design.md): the object hashes to a cache of the zone, a miss is filled from the object's
//! first parent in a hash over all listed parents; copies no older than fresh time - ALPHA will do; once less than
//! BETA of the fresh time is left since the last fill seen, the cache serves its copy and renews it behind.

use std::collections::VecDeque;
use std::hash::Hasher;

use arrayvec::ArrayVec;
use fastrand::Rng;
use rustc_hash::{FxHashMap, FxHasher};
use slab::Slab;

use crate::face::*;

/// Retrieval threshold, a share of the fresh time: the cap, since caches renew only in a copy's last fifth.
const BETA: f64 = 0.2;
/// Freshness threshold: the paper's basic case.
const ALPHA: Tenths = 0;

/// Pushes kept for one access; no settings seen allow more, and a sixth seldom helps.
const MOST_PUSHES: usize = 8;

/// What an access does next: once when a push ends, once when it is out longer than is usual.
#[derive(Clone, Copy)]
struct Next {
    ended: fn(&mut Front, Tenths, usize, &Ended<'_>, &mut dyn Outlet),
    overdue: fn(&mut Front, Tenths, usize, usize, &mut dyn Outlet),
}

const READ: Next = Next { ended: Front::read_ended, overdue: Front::read_overdue };
const WRITE: Next = Next { ended: Front::write_ended, overdue: |_, _, _, _, _| {} };

struct Sent {
    cache: usize,
    source: usize,
    at: Tenths,
    work: f64,
    out: bool,
    overdue: bool,
    /// Expected to need a fill over the zone's link in.
    fill: bool,
    /// It went wrong behind the cache, which may be asked again with another source.
    source_failed: bool,
    next: Next,
}

struct Held {
    access: Access,
    work: f64,
    soft_at: Tenths,
    density: f64,
    sent: ArrayVec<Sent, MOST_PUSHES>,
    done: bool,
    looked: bool,
    may_have_run: Option<(usize, Tenths)>,
}

/// What is remembered of one part of one object.
struct Fill {
    at: Tenths,
    queued: Tenths,
    seen: Tenths,
}

struct Class {
    soft: f64,
    stretch: f64,
    benefit: f64,
    effect: Effect,
    fresh: Tenths,
    uncacheable: bool,
    /// Mean sending time as seen, in tenths.
    mean: f64,
    /// Stretches the time after which a push is overdue, so that a twentieth are in ordinary times.
    patience: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Cache,
    Parent,
    Origin,
    Elsewhere,
}

struct Peer {
    id: Box<str>,
    hash: u64,
    role: Role,
    zone: usize,
    cell: u64,
    weight: f64,
    standing: Standing,
    started: Option<Tenths>,
    /// Share of the pushes naming it that went wrong or grew overdue, lately.
    bad: f64,
    held_until: Tenths,
    held_for: Tenths,
    /// Good answers it still owes after it was left alone.
    trial: u32,
    lost: bool,
    out: u32,
    out_work: f64,
    answered: Tenths,
    /// Pushes that grew overdue since the last answer.
    hush: u32,
    /// How many of this front's pushes it may hold at once.
    limit: f64,
    rate: Decaying,
    spent: Decaying,
}

/// A sum that fades: for rates, exponentially; for budgets, by a steady leak.
#[derive(Default)]
struct Decaying {
    sum: f64,
    at: Tenths,
}

impl Decaying {
    /// Time over which a rate is averaged: long enough for a few dozen pushes, short enough to follow a surge.
    const OVER: f64 = 40_000.0;

    fn rate(&self, now: Tenths) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / Self::OVER).exp() / Self::OVER
    }
    fn count(&mut self, now: Tenths, work: f64) {
        self.sum = self.rate(now) * Self::OVER + work;
        self.at = now;
    }
    fn leak(&mut self, now: Tenths, per_tenth: f64) -> f64 {
        self.sum = (self.sum - now.saturating_sub(self.at) as f64 * per_tenth).max(0.0);
        self.at = now;
        self.sum
    }
}

pub struct Front {
    classes: Vec<Class>,
    zone: usize,
    parent_kind: Option<usize>,
    origin_kind: Option<usize>,
    notes: Notes,
    joins: bool,
    straight: bool,
    cancels: bool,
    second_copies: bool,
    advice: Tenths,
    max_pushes: usize,
    weights: bool,
    follow: bool,
    margin: Tenths,
    flow: f64,
    cold: Cold,
    parent_cold: Cold,
    purge_done: Tenths,
    rng: Rng,
    peers: Vec<Peer>,
    by_id: FxHashMap<Box<str>, usize>,
    caches: Vec<usize>,
    parents: Vec<usize>,
    origin: Option<usize>,
    held: Slab<Held>,
    places: FxHashMap<AccessId, usize>,
    fills: FxHashMap<(u64, u32), Fill>,
    fill_order: VecDeque<(u64, u32)>,
    purged_objects: FxHashMap<u64, Tenths>,
    purged_groups: FxHashMap<u64, Tenths>,
    purge_order: VecDeque<(Tenths, u64)>,
    usual: [f64; 2],
    spare_pushes: f64,
    density: f64,
    start_limit: f64,
    fill_limit: f64,
    fills_out: f64,
}

fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Weighted rendezvous: the lowest draw is the first choice; a list change moves only what it must.
fn draw(object: u64, peer: &Peer, weight: f64) -> f64 {
    let unit = (mix(object, peer.hash) >> 11) as f64 / (1u64 << 53) as f64;
    -(unit.max(1e-18)).ln() / weight.max(1e-6)
}

impl Front {
    pub fn new(s: &Settings, seed: u64) -> Self {
        let classes = s.offerings.iter().map(|o| Class {
            soft: o.soft as f64,
            stretch: o.stretch,
            benefit: o.benefit,
            effect: o.effect,
            fresh: o.fresh,
            uncacheable: o.uncacheable,
            // Until answers tell: half the soft limit, so that first estimates err on the long side.
            mean: o.soft as f64 / 2.0,
            patience: 1.0,
        });
        Front {
            classes: classes.collect(),
            zone: s.zone,
            parent_kind: s.parent_kind,
            origin_kind: s.origin_kind,
            notes: s.notes,
            joins: s.joins,
            straight: s.straight,
            cancels: s.cancels,
            second_copies: s.second_copies,
            advice: s.advice,
            max_pushes: s.max_pushes.min(MOST_PUSHES),
            weights: s.weights,
            follow: s.list_on_request,
            // Two inputs: one to hear that a push ran out of time, one to answer.
            margin: 2 * s.quantum + 10,
            flow: s.flow_kb_per_s / 10_000.0,
            cold: s.cold,
            parent_cold: s.parent_cold,
            purge_done: s.purge_done,
            rng: Rng::with_seed(seed),
            peers: Vec::new(),
            by_id: FxHashMap::default(),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            held: Slab::new(),
            places: FxHashMap::default(),
            fills: FxHashMap::default(),
            fill_order: VecDeque::new(),
            purged_objects: FxHashMap::default(),
            purged_groups: FxHashMap::default(),
            purge_order: VecDeque::new(),
            usual: [0.0; 2],
            spare_pushes: 10.0,
            density: 0.0,
            fill_limit: 2.0 * START_LIMIT / f64::from(s.crew),
            fills_out: 0.0,
            start_limit: START_LIMIT / f64::from(s.crew),
        }
    }

    pub fn knows_offering(&self, offering: usize) -> bool {
        offering < self.classes.len()
    }

    // ---- the list of members

    pub fn listed(&mut self, now: Tenths, members: &[Member], full: bool, out: &mut dyn Outlet) {
        if self.follow {
            self.follow = false;
            out.follow_list();
        }
        if full {
            self.peers.iter_mut().for_each(|p| p.standing = Standing::Gone);
        }
        for m in members {
            let role = match Some(m.kind) {
                k if k == self.parent_kind => Role::Parent,
                k if k == self.origin_kind => Role::Origin,
                _ if m.zone == self.zone => Role::Cache,
                _ => Role::Elsewhere,
            };
            let at = *self.by_id.entry(m.id.clone()).or_insert_with(|| {
                let mut hasher = FxHasher::default();
                hasher.write(m.id.as_bytes());
                self.peers.push(Peer {
                    id: m.id.clone(),
                    hash: hasher.finish(),
                    role,
                    zone: m.zone,
                    cell: m.cell,
                    weight: 1.0,
                    standing: m.standing,
                    started: m.started,
                    bad: 0.0,
                    held_until: 0,
                    held_for: FIRST_HOLD,
                    trial: 0,
                    lost: false,
                    out: 0,
                    out_work: 0.0,
                    answered: 0,
                    hush: 0,
                    limit: self.start_limit,
                    rate: Decaying::default(),
                    spent: Decaying::default(),
                });
                self.peers.len() - 1
            });
            let p = &mut self.peers[at];
            p.standing = m.standing;
            p.weight = if self.weights && m.weight > 0.0 { m.weight } else { 1.0 };
            if m.started > p.started {
                // It runs again: what was held against it was about the process before.
                (p.started, p.bad, p.held_until, p.trial, p.lost) = (m.started, 0.0, now, 0, false);
                p.limit = self.start_limit;
                p.spent = Decaying::default();
            }
        }
        let of = |role: Role| {
            let listed = |(_, p): &(usize, &Peer)| p.role == role && p.standing == Standing::Listed;
            self.peers.iter().enumerate().filter(listed).map(|(i, _)| i).collect::<Vec<_>>()
        };
        (self.caches, self.parents, self.origin) =
            (of(Role::Cache), of(Role::Parent), of(Role::Origin).first().copied());
    }

    pub fn list_refused(&mut self, now: Tenths, out: &mut dyn Outlet) {
        // Asked again after a second or two, spread so that refused fronts don't return together.
        out.wake(now + 10_000 + self.rng.u64(0..10_000), u64::MAX);
    }

    // ---- an access

    pub fn access(&mut self, now: Tenths, a: &Access, out: &mut dyn Outlet) {
        let class = &mut self.classes[a.offering];
        if a.kb > 0.0 && self.flow > 0.0 {
            class.mean += (a.kb / self.flow - class.mean) / 64.0;
        }
        let work = if a.kb > 0.0 && self.flow > 0.0 { a.kb / self.flow } else { class.mean };
        let soft_at = now + (class.soft + class.stretch * work) as Tenths;
        let density = class.benefit / work.max(1.0);
        self.density += (density - self.density) * if self.density == 0.0 { 1.0 } else { 1.0 / 64.0 };
        // Further pushes are paid from a fund that grows with the accesses, so that a shared trouble can't
        // multiply the load: a fifth of an access for each, saved up for twenty at most.
        self.spare_pushes = (self.spare_pushes + 0.2).min(20.0);
        let held = Held {
            access: *a,
            work,
            soft_at,
            density,
            sent: ArrayVec::new(),
            done: false,
            looked: false,
            may_have_run: None,
        };
        let place = self.held.insert(held);
        self.places.insert(a.id, place);
        self.route(now, place, out);
    }

    /// Sends the access on, or ends it where nothing can take it in time.
    fn route(&mut self, now: Tenths, place: usize, out: &mut dyn Outlet) {
        let h = &self.held[place];
        let (a, tried) = (h.access, h.sent.len());
        if tried >= self.max_pushes || now + self.margin >= a.until {
            return self.finish(place, out);
        }
        let pick = if self.classes[a.offering].uncacheable {
            self.pick_for_write(now, place)
        } else {
            self.pick_for_read(now, place)
        };
        match pick {
            Some((cache, source)) => self.push(now, place, cache, source, out),
            None => self.finish(place, out),
        }
    }

    fn pick_for_write(&mut self, now: Tenths, place: usize) -> Option<(usize, usize)> {
        let origin = self.origin?;
        if self.straight {
            return self.may_repeat_at(now, place, origin).then_some((origin, origin));
        }
        self.pick_cache(now, place).ok().map(|cache| (cache, origin))
    }

    fn pick_for_read(&mut self, now: Tenths, place: usize) -> Option<(usize, usize)> {
        let source = self.pick_source(now, place);
        match self.pick_cache(now, place) {
            Ok(cache)
                if self.fills_out >= self.fill_limit * self.keen(place) && self.lacks(now, place)
                    || self.fills_out >= 0.5 * self.fill_limit && !self.held[place].looked =>
            {
                self.held[place].looked = true;
                // The link in is full: only what the cache holds can be had in time.
                return Some((cache, cache));
            }
            Ok(cache) => return Some((cache, source.unwrap_or(cache))),
            Err(crowded) if crowded => return None,
            Err(_) => {}
        }
        // No cache of the zone can take it: straight to the source, where that is allowed.
        let source = source.filter(|_| self.straight)?;
        let from = if self.peers[source].role == Role::Parent { self.origin? } else { source };
        self.may_repeat_at(now, place, source).then_some((source, from))
    }

    /// Rule 2 for deduplicated accesses: repeats stay in the group, and within the window.
    fn may_repeat_at(&self, now: Tenths, place: usize, cache: usize) -> bool {
        let h = &self.held[place];
        let Some((first, at)) = h.may_have_run else { return true };
        match self.classes[h.access.offering].effect {
            Effect::Idempotent => true,
            Effect::Unrepeatable => false,
            Effect::Deduplicated { within, window } => {
                let (a, b) = (&self.peers[first], &self.peers[cache]);
                let known = match within {
                    Group::All => true,
                    Group::Zone => a.zone == b.zone,
                    Group::Cell => {
                        first == cache || (a.zone == b.zone && a.cell == b.cell && a.role == b.role)
                    }
                };
                known && now < at + window
            }
        }
    }

    /// How much of a limit this access may use: more, the more benefit it brings for its work.
    fn keen(&self, place: usize) -> f64 {
        (0.6 + 0.4 * self.held[place].density / self.density).min(1.25)
    }

    /// Whether the zone's caches most likely lack it: not seen here for long, or never.
    fn lacks(&self, now: Tenths, place: usize) -> bool {
        let a = &self.held[place].access;
        self.fills.get(&(a.object, a.part)).is_none_or(|f| f.seen + KEPT_FOR < now)
    }

    /// The first cache in the object's order that is well, has room, and if cold stays within its budget.
    fn pick_cache(&mut self, now: Tenths, place: usize) -> Result<usize, bool> {
        let mut crowded = false;
        let object = self.held[place].access.object;
        let mean = self.classes[self.held[place].access.offering].mean;
        let (mut all, mut weights) = (mean, 0.0);
        for &c in &self.caches {
            let p = &self.peers[c];
            if p.held_until <= now && p.trial == 0 {
                all += p.out_work;
                weights += p.weight;
            }
        }
        let mut best: Option<(u8, f64, usize)> = None;
        for at in 0..self.caches.len() {
            let c = self.caches[at];
            if !self.may_repeat_at(now, place, c) || !self.cold_room(now, c, mean) {
                continue;
            }
            let p = &self.peers[c];
            // Overload: what can't be answered in time is turned down before it takes up what could be, lowest
            // benefit for its work first.
            if f64::from(p.out) >= p.limit * self.keen(place) {
                crowded |= self.well(now, c);
                continue;
            }
            // Hashing with bounded loads: a cache whose unanswered work is well over its share of all is passed
            // over. Covers slow and silent caches, hot objects and uneven hashing; costs second copies.
            let share = all * p.weight / f64::max(weights, p.weight);
            let rank =
                if self.held[place].sent.iter().any(|s| s.cache == c && s.source != c && !s.source_failed) {
                    3
                } else if !self.well(now, c) {
                    2
                } else {
                    u8::from(p.out_work + mean > 1.25 * share + 2.0 * mean)
                };
            let this = (rank, draw(object, p, p.weight), c);
            if best.is_none_or(|b| (this.0, this.1) < (b.0, b.1)) {
                best = Some(this);
            }
        }
        best.map(|b| b.2).ok_or(crowded)
    }

    /// The object's first parent in one hash over all listed parents, the same at every front; past it only where
    /// that one is ill, failed this access, or is cold and over budget. Then the origin.
    fn pick_source(&mut self, now: Tenths, place: usize) -> Option<usize> {
        let object = self.held[place].access.object;
        let mean = self.classes[self.held[place].access.offering].mean;
        let mut best: Option<(u8, f64, usize)> = None;
        for at in 0..self.parents.len() {
            let c = self.parents[at];
            if !self.cold_room(now, c, mean) {
                continue;
            }
            let p = &self.peers[c];
            let tried = self.held[place].sent.iter().any(|s| s.source == c || s.cache == c);
            let rank = if tried { 3 } else { u8::from(!self.well(now, c)) * 2 };
            let this = (rank, draw(object, p, p.weight), c);
            if best.is_none_or(|b| (this.0, this.1) < (b.0, b.1)) {
                best = Some(this);
            }
        }
        // The origin is for when no parent will do, and takes no more at a time than it has answered in time, so
        // that it outlives the loss of the parents.
        let fits = |o: &usize| self.well(now, *o) && f64::from(self.peers[*o].out) < self.peers[*o].limit;
        let origin = self.origin.filter(fits);
        match best {
            Some((rank, _, c)) if rank < 2 || origin.is_none() => Some(c),
            _ => origin,
        }
    }

    fn push(&mut self, now: Tenths, place: usize, cache: usize, source: usize, out: &mut dyn Outlet) {
        let a = self.held[place].access;
        let again = !self.held[place].sent.is_empty();
        let class = &self.classes[a.offering];
        let (mean, fresh, uncacheable) = (class.mean, class.fresh, class.uncacheable);
        let mut age = fresh.saturating_sub(ALPHA);
        if let Some(purged) = self.purged_at(now, &a) {
            // Rule 5: from the first word on, nothing older than the purge; 0 would mean any age.
            let since = now.saturating_sub(purged).max(1);
            age = if age == 0 { since } else { age.min(since) };
        }
        let fill = cache != source && (self.held[place].looked || self.lacks(now, place));
        self.fills_out += f64::from(u8::from(fill));
        let (seen, renew) = if uncacheable { (false, false) } else { self.freshness(now, &a, again) };
        // One-off objects must not displace what is wanted again: a first sight is kept at the lowest rank.
        let rank = if uncacheable { 0 } else { 1 + u8::from(seen) };
        let h = &mut self.held[place];
        let wait = a.until - self.margin - now;
        let number = h.sent.len();
        // Overdue: four tenths of the soft limit and half as much again as sending should take, stretched as this
        // offering needs; before the soft limit, so that there is time left to do better elsewhere.
        let class = &self.classes[a.offering];
        let patience = class.patience * (0.4 * class.soft + 1.5 * h.work);
        let patience = patience.min(0.9 * (class.soft + class.stretch * h.work)) as Tenths;
        let next = if uncacheable { WRITE } else { READ };
        h.sent.push(Sent {
            cache,
            source,
            at: now,
            work: mean,
            out: true,
            overdue: false,
            fill,
            source_failed: false,
            next,
        });
        for c in [Some(cache), Some(source).filter(|&s| s != cache)].into_iter().flatten() {
            let p = &mut self.peers[c];
            p.out += 1;
            p.out_work += mean;
            p.spent.sum += mean;
        }
        out.push(&Push {
            access: a.id,
            cache: &self.peers[cache].id,
            source: &self.peers[source].id,
            wait,
            age,
            rank,
            join: self.joins && !uncacheable,
            renew,
        });
        if !uncacheable {
            out.wake(now + patience, a.id << 4 | number as u64);
        }
    }

    /// The design's estimate for this part: whether it was seen before, and whether to renew it behind.
    fn freshness(&mut self, now: Tenths, a: &Access, again: bool) -> (bool, bool) {
        let fresh = self.classes[a.offering].fresh;
        let purged = self.purged_at(now, a).unwrap_or(0);
        let reported = self.notes == Notes::All;
        let key = (a.object, a.part);
        if let Some(fill) = self.fills.get_mut(&key) {
            let left = (fill.at + fresh).saturating_sub(now);
            if fill.at < purged || (left == 0 && !reported) {
                fill.at = now;
            }
            fill.seen = now;
            return (!again, fresh > 0 && (left as f64) < BETA * fresh as f64);
        }
        // Room for some minutes of distinct parts at a front; a part that was dropped is taken for just filled.
        const MOST_FILLS: usize = 1 << 16;
        while self.fills.len() >= MOST_FILLS {
            let Some(oldest) = self.fill_order.pop_front() else { break };
            match self.fills.get_mut(&oldest) {
                Some(f) if f.at > f.queued => {
                    f.queued = f.at;
                    self.fill_order.push_back(oldest);
                }
                _ => drop(self.fills.remove(&oldest)),
            }
        }
        self.fills.insert(key, Fill { at: now, queued: now, seen: now });
        self.fill_order.push_back(key);
        (false, false)
    }

    // ---- what comes back

    pub fn ended(&mut self, now: Tenths, id: AccessId, _cache: &str, e: &Ended<'_>, out: &mut dyn Outlet) {
        let Some(&place) = self.places.get(&id) else { return };
        let Some(sent) = self.held[place].sent.get_mut(e.push) else { return };
        if !std::mem::replace(&mut sent.out, false) {
            return;
        }
        let (cache, source, work, at, next) = (sent.cache, sent.source, sent.work, sent.at, sent.next);
        self.fills_out -= f64::from(u8::from(sent.fill));
        for c in [Some(cache), Some(source).filter(|&s| s != cache)].into_iter().flatten() {
            let p = &mut self.peers[c];
            p.out = p.out.saturating_sub(1);
            p.out_work = (p.out_work - work).max(0.0);
        }
        self.judge(now, place, cache, source, e, out);
        let h = &mut self.held[place];
        if !e.outcome.proves_unrun() {
            h.may_have_run.get_or_insert((cache, at));
        }
        if e.settled && !h.done {
            h.done = true;
            self.withdraw_rest(place, out);
        }
        if !self.held[place].done {
            (next.ended)(self, now, place, e, out);
        }
        self.tidy(place);
    }

    fn read_ended(&mut self, now: Tenths, place: usize, e: &Ended<'_>, out: &mut dyn Outlet) {
        if self.held[place].sent.iter().any(|s| s.out) {
            return;
        }
        let last = &self.held[place].sent[e.push];
        if e.outcome == Outcome::Miss && last.source == last.cache {
            // Looked, and the cache it belongs to does not have it: a fill, if one may be had.
            if self.fills_out >= self.fill_limit * self.keen(place) {
                return self.finish(place, out);
            }
            return self.route(now, place, out);
        }
        let cost = if e.outcome.proves_unrun() { 0.25 } else { 1.0 };
        if self.spare_pushes < cost {
            return self.finish(place, out);
        }
        self.spare_pushes -= cost;
        self.route(now, place, out);
    }

    fn write_ended(&mut self, now: Tenths, place: usize, _: &Ended<'_>, out: &mut dyn Outlet) {
        let h = &self.held[place];
        let unrepeatable = self.classes[h.access.offering].effect == Effect::Unrepeatable;
        if h.sent.iter().any(|s| s.out)
            || (unrepeatable && h.may_have_run.is_some())
            || self.spare_pushes < 1.0
        {
            return self.finish(place, out);
        }
        self.spare_pushes -= 1.0;
        self.route(now, place, out);
    }

    /// A push is out longer than is usual. Silence of the whole cache since then speaks against the cache; if
    /// others came back from it meanwhile, the way to the source may be at fault.
    fn read_overdue(&mut self, now: Tenths, place: usize, number: usize, out: &mut dyn Outlet) {
        let h = &mut self.held[place];
        let id = h.access.id;
        let Sent { cache, source, at, .. } = h.sent[number];
        let first = !std::mem::replace(&mut h.sent[number].overdue, true);
        let idempotent = self.classes[h.access.offering].effect == Effect::Idempotent;
        if first {
            let class = &mut self.classes[self.held[place].access.offering];
            class.patience = (class.patience * 1.02).min(2.0);
            self.peers[cache].hush += u32::from(self.peers[cache].answered < at);
            // Three in a row with nothing back, while others answer: silence, and a sharper sign than lateness.
            let others = self.caches.iter().any(|&c| c != cache && self.peers[c].answered > at);
            let silent = self.peers[cache].hush >= 3 && others;
            self.count(now, cache, if silent { 0.5 } else { BAD_GAIN }, out);
            if source != cache {
                self.count(now, source, BAD_GAIN, out);
            }
        }
        if now >= self.held[place].soft_at {
            if self.held[place].sent[number].fill {
                self.fill_limit = (self.fill_limit * LIMIT_DOWN).max(LEAST_LIMIT);
            }
            for c in [cache, source] {
                self.peers[c].limit = (self.peers[c].limit * LIMIT_DOWN).max(LEAST_LIMIT);
            }
        }
        let source_ill = !self.well(now, source);
        let ill = source_ill || !self.well(now, cache);
        let last = self.held[place].sent.len() == number + 1;
        if ill && last && idempotent && self.spare_pushes >= 1.0 && self.second_copies {
            self.spare_pushes -= 1.0;
            self.held[place].sent[number].source_failed = source_ill;
            if self.cancels {
                out.withdraw(id, number);
            }
            return self.route(now, place, out);
        }
        if now < self.held[place].soft_at {
            let again = self.held[place].soft_at.min(now + (now - at).max(20));
            out.wake(again, id << 4 | number as u64);
        }
    }

    /// Ends the access at once: a decline where it may be said that a further try is harmless.
    fn finish(&mut self, place: usize, out: &mut dyn Outlet) {
        let h = &mut self.held[place];
        h.done = true;
        let unrun = h.may_have_run.is_none() && h.sent.iter().all(|s| !s.out);
        let harmless = match self.classes[h.access.offering].effect {
            Effect::Idempotent | Effect::Deduplicated { within: Group::All, .. } => true,
            _ => unrun,
        };
        if harmless {
            // Clients that heed it come back spread over the second half of what they would wait at most.
            let advice =
                if self.advice > 0 { self.advice / 2 + self.rng.u64(0..=self.advice / 2) } else { 0 };
            out.decline(h.access.id, advice);
        } else {
            out.give_up(h.access.id);
        }
        self.withdraw_rest(place, out);
        self.tidy(place);
    }

    fn withdraw_rest(&mut self, place: usize, out: &mut dyn Outlet) {
        let h = &self.held[place];
        if self.cancels && self.classes[h.access.offering].effect == Effect::Idempotent {
            for (number, _) in h.sent.iter().enumerate().filter(|(_, s)| s.out) {
                out.withdraw(h.access.id, number);
            }
        }
    }

    fn tidy(&mut self, place: usize) {
        let Some(h) = self.held.get(place) else { return };
        if h.done && h.sent.iter().all(|s| !s.out) {
            self.places.remove(&h.access.id);
            self.held.remove(place);
        }
    }

    pub fn due(&mut self, now: Tenths, key: u64, out: &mut dyn Outlet) {
        if key == u64::MAX {
            return out.follow_list();
        }
        let Some(&place) = self.places.get(&(key >> 4)) else { return };
        let number = (key & 15) as usize;
        let h = &self.held[place];
        match h.sent.get(number) {
            Some(sent) if sent.out && !h.done => (sent.next.overdue)(self, now, place, number, out),
            _ => {}
        }
    }

    pub fn left(&mut self, id: AccessId) {
        let Some(&place) = self.places.get(&id) else { return };
        self.held[place].done = true;
        self.tidy(place);
    }

    /// A stream has started: it belongs to the client from now on.
    pub fn begun(&mut self, now: Tenths, id: AccessId, _cache: &str, push: usize) {
        let Some(&place) = self.places.get(&id) else { return };
        if let Some(sent) = self.held[place].sent.get(push) {
            self.peers[sent.cache].answered = now;
            self.held[place].done = true;
        }
    }

    pub fn probed(&mut self, now: Tenths, cache: &str, outcome: Outcome, _report: &[f64]) {
        if let (Some(&c), Outcome::Handled) = (self.by_id.get(cache), outcome) {
            self.peers[c].answered = now;
        }
    }

    // ---- purges

    pub fn purged(&mut self, now: Tenths, object: Option<u64>, group: u64, ago: Tenths) {
        // One up: both times were rounded down, and the bound must never reach behind the purge.
        let at = (now + 1).saturating_sub(ago);
        let entry = match object {
            Some(object) => {
                self.purge_order.push_back((at, object));
                self.purged_objects.entry(object).or_insert(at)
            }
            None => self.purged_groups.entry(group).or_insert(at),
        };
        *entry = (*entry).max(at);
        while let Some(&(at, object)) = self.purge_order.front().filter(|p| p.0 + self.purge_done < now) {
            self.purge_order.pop_front();
            if self.purged_objects.get(&object) == Some(&at) {
                self.purged_objects.remove(&object);
            }
        }
    }

    /// The latest purge that may still leave older copies about.
    fn purged_at(&self, now: Tenths, a: &Access) -> Option<Tenths> {
        let object = self.purged_objects.get(&a.object).copied();
        let at = object.max(self.purged_groups.get(&a.group).copied())?;
        // Past purge_done every copy is gone; a tick more for the rounding.
        (now <= at + self.purge_done + 10).then_some(at)
    }

    // ---- health

    fn judge(
        &mut self,
        now: Tenths,
        place: usize,
        cache: usize,
        source: usize,
        e: &Ended<'_>,
        out: &mut dyn Outlet,
    ) {
        match e.outcome {
            Outcome::Handled => {
                let a = self.held[place].access;
                let filled = matches!(e.note, Note::Filled | Note::FilledByOrigin);
                if filled && let Some(fill) = self.fills.get_mut(&(a.object, a.part)) {
                    fill.at = now;
                }
                self.praise(now, cache);
                if source != cache && (filled || self.notes != Notes::All) {
                    self.praise(now, source);
                } else if source != cache && self.held[place].sent[e.push].overdue {
                    // It was a hit after all: the mark against the source is taken back.
                    let p = &mut self.peers[source];
                    p.bad = ((p.bad - BAD_GAIN) / (1.0 - BAD_GAIN)).max(0.0);
                }
                let in_time = now <= self.held[place].soft_at;
                let mean = self.classes[a.offering].mean;
                if in_time && self.held[place].sent[e.push].fill && self.fills_out >= 0.5 * self.fill_limit {
                    self.fill_limit += LIMIT_UP;
                }
                for c in [Some(cache), Some(source).filter(|&s| s != cache)].into_iter().flatten() {
                    let p = &mut self.peers[c];
                    p.rate.count(now, mean);
                    if in_time && f64::from(p.out) >= 0.5 * p.limit {
                        p.limit += LIMIT_UP;
                    }
                }
                let class = &mut self.classes[a.offering];
                if !self.held[place].sent[e.push].overdue {
                    class.patience = (class.patience * 0.999).max(0.5);
                }
                if a.kb == 0.0 || self.flow == 0.0 {
                    class.mean += (e.lag as f64 - class.mean) / 64.0;
                }
            }
            Outcome::Withdrawn | Outcome::NeverSent | Outcome::TimedOut => {}
            Outcome::Unreachable | Outcome::Broken => {
                self.peers[cache].lost = true;
                self.count(now, cache, 0.6, out);
            }
            Outcome::Error | Outcome::Full | Outcome::Miss => {
                let p = &mut self.peers[cache];
                (p.answered, p.hush) = (now, 0);
                match e.note {
                    Note::SourceRefused | Note::SourceLost | Note::OriginFailed if source != cache => {
                        self.held[place].sent[e.push].source_failed = true;
                        self.count(now, source, 2.0 * BAD_GAIN, out);
                    }
                    Note::SourceLacks | Note::NoFillPlace => {}
                    _ if e.outcome == Outcome::Error => {
                        self.count(now, cache, 2.0 * BAD_GAIN, out);
                        if source != cache {
                            self.count(now, source, 2.0 * BAD_GAIN, out);
                        }
                    }
                    _ if e.outcome == Outcome::Full => {
                        p.limit = (f64::from(p.out) * 0.9).clamp(LEAST_LIMIT, p.limit);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Fit for ordinary pushes: not left alone, or on trial with no push out to tell yet.
    fn well(&self, now: Tenths, c: usize) -> bool {
        let p = &self.peers[c];
        p.held_until <= now && (p.trial == 0 || p.out == 0)
    }

    /// A push naming this member went wrong, or is overdue. Which hop was at fault is seldom told, so every one
    /// named is marked; the one at fault stands out from the others of its role, and is left alone for a while,
    /// longer each time, then tried with one push at a time. Where all are equally bad the cause is shared (link,
    /// origin, overload) and nobody is. Covers silent, slow, failing and lost members; a fast failer attracts
    /// nothing, and a recovered one is found again. May hurt where half of a role is ill: they hide each other.
    fn count(&mut self, now: Tenths, c: usize, weight: f64, out: &mut dyn Outlet) {
        self.peers[c].bad += (1.0 - self.peers[c].bad) * weight;
        let p = &self.peers[c];
        if p.held_until > now {
            return;
        }
        let set = if p.role == Role::Parent { &self.parents } else { &self.caches };
        let (mut sum, mut others) = (0.0, 0.0);
        for &other in set.iter().filter(|&&o| o != c) {
            sum += self.peers[other].bad;
            others += 1.0;
        }
        // Twice the others' share and an eighth: a silent parent shows in the missed share of its pushes only,
        // about a third; chance alone does not get there (four deviations at this gain).
        let told = p.role != Role::Cache && self.notes == Notes::All;
        if p.bad > if told { 0.32 } else { 0.16 } + 2.0 * f64::max(sum / f64::max(others, 1.0), 0.08) {
            let p = &mut self.peers[c];
            p.held_until = now + p.held_for;
            p.held_for = (p.held_for * 2).min(LONGEST_HOLD);
            // Where hits can't be told from fills, a source proves itself only by several good answers.
            p.trial = if p.role == Role::Cache || self.notes == Notes::All { 1 } else { 6 };
            let role = ["cache", "parent", "origin"][(p.role as usize).min(2)];
            out.log(format_args!("{role} {} left alone for {} ms", p.id, (p.held_until - now) / 10));
        }
    }

    fn praise(&mut self, now: Tenths, c: usize) {
        let p = &mut self.peers[c];
        (p.answered, p.hush) = (now, 0);
        p.bad *= 1.0 - BAD_GAIN;
        if p.trial > 0 && p.held_until <= now {
            p.trial -= 1;
            if p.lost {
                // It was unreachable and is back before the list says so: most likely a fresh start.
                p.started = p.started.max(Some(now));
                p.spent = Decaying::default();
                p.lost = false;
            }
            if p.trial == 0 {
                p.bad = 0.0;
            }
        }
        if p.bad < 0.02 && p.trial == 0 {
            p.held_for = FIRST_HOLD.max(p.held_for - p.held_for / 16);
        }
    }

    // ---- cold starts

    /// Whether one more push of this mean sending time keeps a cold member within this front's part. What the
    /// warm ones of its role are sent by this front, is this front's part of what such a member carries; the cold
    /// one may get `multiple` times its present share of that. Needs no unit, no count of fronts and no capacity.
    fn cold_room(&mut self, now: Tenths, c: usize, work: f64) -> bool {
        let p = &self.peers[c];
        let (set, peers, slot) = match p.role {
            Role::Parent => (self.parent_cold, &self.parents, 1),
            Role::Cache => (self.cold, &self.caches, 0),
            _ => return true,
        };
        let age = match p.started {
            Some(t) if now < t + set.lasts => now.saturating_sub(t) as f64 / set.lasts as f64,
            _ => return true,
        };
        let (mut sum, mut weights) = (0.0, 0.0);
        for &other in peers {
            let o = &self.peers[other];
            if o.started.is_none_or(|t| t + set.lasts <= now) && o.held_until <= now {
                sum += o.rate.rate(now);
                weights += o.weight;
            }
        }
        if weights > 0.0 {
            self.usual[slot] = sum / weights;
        }
        // At least a tenth of a transfer, so that a front that has seen nothing yet can begin.
        let carries = f64::max(self.usual[slot] * p.weight, 0.1);
        // Seven tenths of the budget, in all: six leak steadily, one may come in a burst.
        let budget = set.multiple * (set.from + (1.0 - set.from) * age) * carries;
        let burst = 0.1 * budget * set.window as f64;
        let p = &mut self.peers[c];
        let level = p.spent.leak(now, 0.6 * budget);
        level == 0.0 || level + work <= burst
    }
}

/// How long a member is left alone at first: some round trips and a reconnect; and at the most, so that one that
/// recovers is found within a few seconds.
const FIRST_HOLD: Tenths = 5_000;
const LONGEST_HOLD: Tenths = 40_000;

/// Weight of one push in a member's share of bad ones: the last dozen or two count.
const BAD_GAIN: f64 = 1.0 / 16.0;
const START_LIMIT: f64 = 20.0;
const LEAST_LIMIT: f64 = 2.0;
const LIMIT_UP: f64 = 0.1;
const LIMIT_DOWN: f64 = 0.9;
/// How long a copy is taken to be kept unused.
const KEPT_FOR: Tenths = 150_000;
