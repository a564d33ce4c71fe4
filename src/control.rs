//! Every decision of a front. How to call it: make a [`Front`] from the settings, hand it each input as it
//! comes (`listed`, `access`, `ended`, `due`, `left`, `purged`, ...) with the time now; it answers through
//! the `Outlet`. The interface types are in `face.rs`. One front knows only what was handed to it.
//!
//! Ordinary path (docs/design.md): the object hashes to a cache of the zone, a miss is filled from its first
//! parent in a hash over all listed parents; copies no older than fresh time - ALPHA will do; below BETA of
//! the fresh time since the last fill seen, the cache serves its copy and renews it behind.

use arrayvec::ArrayVec;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::face::*;
use crate::fading::{Fading, Level};
use crate::hash;
use crate::oldest::OldestFirst;

const MOST_PUSHES: usize = 8; // kept for one access: a ninth would seldom be in time

/// What an access does next, left behind by each push: it is handed the push's result.
type Next = fn(&mut Front, Tenths, usize, &Ended, &mut dyn Outlet);

/// A source, whether it is asked only for what it holds, and which parent takes that over.
type Source = (usize, bool, Option<usize>);

struct Sent {
    to: (usize, usize), // the cache and the source; the cache itself where nothing is to be filled
    at: Tenths,
    ended: Option<Outcome>,
    overdue: bool,
    fill: bool, // expected to need a fill over the zone's link in
    source_failed: bool,
    kept: bool, // the source was asked only for what it holds
    next: Next,
}

struct Held {
    access: Access,
    work: f64,
    soft_at: Tenths,
    keen: f64, // how much of a limit it may use: more, the more benefit it brings for its work
    lacks: bool,
    rank: u8,
    renew: bool,
    sent: ArrayVec<Sent, MOST_PUSHES>,
    looked: bool,
    kept: bool,
    held: bool, // an old home is asked for what it holds
    done: bool,
}

impl Held {
    fn may_have_run(&self) -> impl Iterator<Item = &Sent> {
        self.sent.iter().filter(|s| !s.ended.is_some_and(Outcome::proves_unrun))
    }

    fn failed_twice(&self) -> bool {
        let failed = |s: &&Sent| s.ended == Some(Outcome::Error) && !s.source_failed;
        self.sent.iter().filter(failed).count() > 1
    }
}

struct Fill {
    at: Tenths,
    seen: Tenths,
}

struct Class {
    of: Offering,
    mean: f64,
    /// Stretches the time after which a push is overdue, so that a twentieth are in ordinary times.
    patience: f64,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum Role {
    #[default]
    Cache,
    Parent,
    Origin,
}

#[derive(Default)]
struct Peer {
    id: Box<str>,
    hash: u64,
    role: Role,
    zone: usize,
    cell: u64,
    weight: f64,
    gone: bool,
    started: Option<Tenths>,
    bad: f64, // share of the pushes naming it that went wrong or grew overdue, lately
    held_until: Tenths,
    held_for: Tenths,
    trial: u32, // good answers it still owes after it was left alone
    out: Level,
    answered: Tenths,
    hush: u32, // pushes that grew overdue since the last answer; the most where it can't be reached
    limit: f64,
    carries: Fading,
    spent: Fading,
}

pub struct Front {
    classes: Vec<Class>,
    zone: usize,
    kinds: [Option<usize>; 2],
    notes: Notes,
    may: Powers,
    max_pushes: usize,
    weights: bool,
    follow: bool,
    margin: Tenths,
    flow: f64,
    cold: [Cold; 2],
    purge_done: Tenths,
    rng: Rng,
    peers: Vec<Peer>,
    by_id: FxHashMap<Box<str>, usize>,
    caches: Vec<usize>,
    parents: Vec<usize>,
    origin: Option<usize>,
    held: Slab<Held>,
    places: FxHashMap<AccessId, usize>,
    fills: OldestFirst<(u64, u32), Fill>,
    purges: OldestFirst<(bool, u64), Tenths>, // of an object (true) or a group
    usual: [f64; 2], // what a warm cache, and a warm parent, of weight 1 carries for this front
    density: f64,
    spare_pushes: f64,
    lost: f64,
    late: f64, // share of the answered pushes that took longer than the soft limit, lately
    start_limit: f64,
    fill_limit: f64,
    refused_at: Tenths, // when the origin refused last, and when to ask it again
    probe_at: Tenths,
    filling: Level,
    over: f64, // counts of what is out are averaged over this
    crew: f64,
}

fn hops((cache, source): (usize, usize)) -> impl Iterator<Item = usize> {
    std::iter::once(cache).chain(Some(source).filter(move |&s| s != cache))
}

impl Front {
    pub fn new(s: &Settings, seed: u64) -> Self {
        // Until answers tell, half the soft limit: an estimate on the long side.
        let class = |o: &Offering| Class { of: o.clone(), mean: o.soft as f64 / 2.0, patience: 1.0 };
        // A guess that the answers soon correct: a score of pushes out at one cache, from all its fronts.
        let start_limit = 20.0 / f64::from(s.crew);
        Front {
            classes: s.offerings.iter().map(class).collect(),
            zone: s.zone,
            kinds: [s.parent_kind, s.origin_kind],
            notes: s.notes,
            may: s.may,
            max_pushes: s.max_pushes.min(MOST_PUSHES),
            weights: s.weights,
            follow: s.list_on_request,
            margin: 2 * s.quantum + 10, // one input to hear that a push ran out of time, one to answer
            flow: s.flow_kb_per_s / 10_000.0,
            cold: [s.cold, s.parent_cold],
            purge_done: s.purge_done,
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
            over: 500.0 * (f64::from(s.crew) - 1.0),
            crew: f64::from(s.crew),
        }
    }

    // ---- the list of members

    pub fn listed(&mut self, now: Tenths, members: &[Member], full: bool, out: &mut dyn Outlet) {
        if std::mem::take(&mut self.follow) {
            out.follow_list();
        }
        if full {
            self.peers.iter_mut().for_each(|p| p.gone = true);
        }
        for m in members {
            let role = match Some(m.kind) {
                k if k == self.kinds[0] => Role::Parent,
                k if k == self.kinds[1] => Role::Origin,
                _ if m.zone == self.zone => Role::Cache,
                _ => continue,
            };
            // Replacements must not grow the table: they take places of members gone and unasked for long.
            let old = |p: &Peer| p.gone && p.out.count == 0.0 && p.out.at + 600_000 < now;
            let known = self.by_id.get(&m.id).copied();
            let at = known.or_else(|| self.peers.iter().position(old)).unwrap_or(self.peers.len());
            if known.is_none() {
                let (id, hash, limit) = (m.id.clone(), hash::text(&m.id), self.start_limit);
                let new = Peer { id, hash, role, limit, held_for: Self::HOLDS[0], ..Peer::default() };
                if at < self.peers.len() {
                    self.by_id.remove(&self.peers[at].id);
                    self.peers[at] = new;
                } else {
                    self.peers.push(new);
                }
                self.by_id.insert(m.id.clone(), at);
            }
            let p = &mut self.peers[at];
            (p.zone, p.cell, p.gone) = (m.zone, m.cell, m.standing != Standing::Listed);
            p.weight = if self.weights && m.weight > 0.0 { m.weight } else { 1.0 };
            if m.started > p.started {
                (p.started, p.bad, p.held_until, p.trial) = (m.started, 0.0, now, 0);
                self.begin(now, at);
            }
        }
        let listed = |c: usize, role: Role| self.peers[c].role == role && !self.peers[c].gone;
        let of = |role: Role| (0..self.peers.len()).filter(|&c| listed(c, role)).collect::<Vec<_>>();
        (self.caches, self.parents, self.origin) =
            (of(Role::Cache), of(Role::Parent), of(Role::Origin).first().copied());
    }

    pub fn list_refused(&mut self, now: Tenths, out: &mut dyn Outlet) {
        // After a second or two, so that refused fronts don't return together.
        out.wake(now + 10_000 + self.rng.u64(0..10_000), u64::MAX);
    }

    pub fn access(&mut self, now: Tenths, a: &Access, out: &mut dyn Outlet) {
        let class = &mut self.classes[a.offering];
        let told = a.kb > 0.0 && self.flow > 0.0;
        let work = if told { a.kb / self.flow } else { class.mean };
        class.mean += (work - class.mean) / 64.0;
        let soft_at = now + class.of.soft + (class.of.stretch * work) as Tenths;
        let density = class.of.benefit / work.max(1.0);
        self.density += (density - self.density) * if self.density == 0.0 { 1.0 } else { 1.0 / 64.0 };
        // From half a limit to one and a half: under overload the lowest benefit for its work goes first.
        let keen = (0.5 + 0.5 * density / self.density).min(1.5);
        // Further pushes are paid from a fund, so that a shared trouble can't multiply the load.
        self.spare_pushes = (self.spare_pushes + 0.2).min(20.0);
        let (lacks, rank, renew) = self.remember(now, a);
        let (sent, looked, kept, held, done) = (ArrayVec::new(), false, false, false, false);
        let access = *a;
        let held = Held { access, work, soft_at, keen, lacks, rank, renew, sent, looked, kept, held, done };
        let place = self.held.insert(held);
        self.places.insert(a.id, place);
        self.route(now, place, out);
    }

    fn route(&mut self, now: Tenths, place: usize, out: &mut dyn Outlet) {
        let h = &self.held[place];
        let a = h.access;
        if h.sent.len() >= self.max_pushes || now + self.margin >= a.until {
            return self.finish(place, out);
        }
        let mean = self.classes[a.offering].mean;
        if self.classes[a.offering].of.uncacheable {
            let cache = if self.may.straight { self.origin } else { self.pick_cache(now, place, mean).ok() };
            return match cache.filter(|&c| self.may_repeat_at(now, place, c)).zip(self.origin) {
                Some((cache, origin)) => self.push(now, place, (cache, origin), Self::after_push, out),
                None => self.finish(place, out),
            };
        }
        let ways = out.ways(&a, h.soft_at);
        let named = self.pick_source(now, place, mean, &ways);
        let (source, held) = (named.map(|n| n.0), named.is_some_and(|n| n.1));
        let through = named.and_then(|n| n.2);
        // Exception to the ordinary path: a full link in feeds on itself, since fills that come too late are
        // not kept and are missed again. Fills have a limit of their own; from half of it on, or without a
        // source, an access first asks the cache what it holds, and is filled on a miss while there is room.
        // Covers a slow or crowded link, parent or origin, purges, cold zones, one-offs; costs a round trip.
        let filling = self.filling.mean(now, self.over) / self.fill_limit;
        // Where the origin refused within two seconds, one fill in 0.2 s a zone finds out if it still does.
        let refused = now < self.refused_at + 20_000;
        // A cold parent's budget is for what is surely missed, too.
        let cold = source.is_some_and(|s| self.cold_age(now, s).is_some());
        let tight = refused || cold || filling >= 0.5;
        let full = if refused { now < self.probe_at } else { filling >= self.held[place].keen };
        let picked = self.pick_cache(now, place, mean);
        // One just started holds nothing, and a look costs as much of its budget as a fill.
        let empty = |c| self.cold_age(now, c).is_some_and(|(_, age)| age < 0.5);
        let looked = self.held[place].looked || source.is_some() && picked.is_ok_and(empty);
        // Past the limit it is the origin, under a tenth of its own: slow parents lower the limit long before
        // they are told from the link. While the origin refuses, a parent gives no more than what it holds.
        let kept = looked && full && refused;
        let source = match looked && full {
            true if kept || held => source.filter(|&s| self.peers[s].role == Role::Parent),
            true if ways.given => None,
            true => self.origin.filter(|&o| self.well(now, o) && self.used(now, o) < 0.1),
            false => source,
        };
        (self.held[place].kept, self.held[place].held) = (kept, held);
        self.probe_at = if full || !looked { self.probe_at } else { now + (2_000.0 * self.crew) as Tenths };
        match (picked, source) {
            (Ok(cache), source) if !looked && (tight || source.is_none() || through.is_some()) => {
                self.held[place].looked = true;
                self.push(now, place, (cache, cache), Self::after_look, out)
            }
            // The new home takes the old one's copy over. Where it may not, that copy is looked for together
            // with the cache's own: a miss tells of both.
            (Ok(cache), Some(source)) if held => {
                self.push(now, place, (through.unwrap_or(cache), source), Self::after_look, out);
                self.held[place].looked = true;
            }
            (Ok(cache), Some(source)) => self.push(now, place, (cache, source), Self::after_push, out),
            // No cache of the zone is well, or all are cold: straight to the source, over the same link in.
            (Err(false), Some(s))
                if self.may.straight && !full && !held && self.may_repeat_at(now, place, s) =>
            {
                let from = if self.peers[s].role == Role::Parent { self.origin.unwrap_or(s) } else { s };
                self.push(now, place, (s, from), Self::after_push, out)
            }
            // The archive's account is spent, and will have room within the soft limit.
            (Ok(_), None) if ways.again.is_some_and(|at| at < self.latest(place)) => {
                let number = self.held[place].sent.len() as u64;
                out.wake(ways.again.map_or(now, |at| at.max(now + 1)), a.id << 4 | number);
            }
            _ => self.finish(place, out),
        }
    }

    /// Until when an access may wait for something before it is pushed.
    fn latest(&self, place: usize) -> Tenths {
        let h = &self.held[place];
        h.soft_at.min(h.access.until.saturating_sub(self.margin))
    }

    /// What a repeat of it may do. Nobody can know a repeat of what carries no mark.
    pub fn effect(&self, a: &Access) -> Effect {
        match self.classes[a.offering].of.effect {
            Effect::Deduplicated { .. } if !a.marked => Effect::Unrepeatable,
            effect => effect,
        }
    }

    /// Rule 2: after what may have run, unrepeatable goes nowhere, deduplicated only within group and window.
    fn may_repeat_at(&self, now: Tenths, place: usize, cache: usize) -> bool {
        let h = &self.held[place];
        let effect = self.effect(&h.access);
        now < self.begin_by(place)
            && h.may_have_run().all(|s| match effect {
                Effect::Idempotent => true,
                Effect::Unrepeatable => false,
                Effect::Deduplicated { within, .. } => {
                    let (a, b) = (&self.peers[s.to.0], &self.peers[cache]);
                    match within {
                        Group::All => true,
                        Group::Zone => a.zone == b.zone,
                        Group::Cell => (a.zone, a.cell, a.role) == (b.zone, b.cell, b.role),
                    }
                }
            })
    }

    /// Until when a further push may begin: while caches remember each one that may have run.
    fn begin_by(&self, place: usize) -> Tenths {
        let h = &self.held[place];
        match self.effect(&h.access) {
            Effect::Deduplicated { window, .. } => h.may_have_run().map(|s| s.at + window).min(),
            _ => None,
        }
        .unwrap_or(h.access.until)
    }

    /// The lowest rank's first in the object's order: weighted rendezvous, so lists move only what they must.
    fn first(&self, object: u64, set: &[usize], rank: impl Fn(usize) -> Option<u8>) -> Option<(u8, usize)> {
        let draw = |c: usize| -hash::unit(object, self.peers[c].hash).ln() / self.peers[c].weight;
        let ranked = set.iter().filter_map(|&c| Some((rank(c)?, draw(c), c)));
        ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(rank, _, c)| (rank, c))
    }

    /// The first cache in the object's order that is well, has room, and if cold stays within its budget.
    /// Where there is none: whether a well one was merely crowded.
    fn pick_cache(&self, now: Tenths, place: usize, mean: f64) -> Result<usize, bool> {
        let h = &self.held[place];
        let likes =
            self.caches.iter().map(|&c| &self.peers[c]).filter(|p| p.held_until <= now && p.trial == 0);
        let (all, weights) = likes.fold((1.0, 0.0), |(all, w), p| (all + p.out.count, w + p.weight));
        // Overload: what can't be answered in time is turned down before it takes up what could be.
        let crowded = |c: usize| self.used(now, c) >= h.keen;
        let best = self.first(h.access.object, &self.caches, |c| {
            if crowded(c) || !self.may_repeat_at(now, place, c) || !self.cold_room(now, c, mean) {
                return None;
            }
            let p = &self.peers[c];
            if h.sent.iter().any(|s| s.to.0 == c && s.to.1 != c && !s.source_failed) {
                return Some(3);
            }
            if !self.well(now, c) {
                // Nobody there: straight to the source, where that may be.
                return Some(2).filter(|_| p.hush < u32::MAX || !self.may.straight);
            }
            // Hashing with bounded loads: a cache with well over its share of unanswered work is passed over.
            // Covers slow and silent caches, hot objects, uneven hashing; costs second copies. A quarter over
            // its share and one push: less spills too much, more leaves hot caches late.
            let share = all * p.weight / f64::max(weights, p.weight);
            Some(u8::from(p.out.count > 1.25 * share + 1.0))
        });
        best.map(|b| b.1).ok_or_else(|| self.caches.iter().any(|&c| self.well(now, c) && crowded(c)))
    }

    /// The object's first parent in one hash over all listed parents; past it only where that one is ill,
    /// failed this access, is cold and over budget, or has more out than it answers in time. Then the origin,
    /// within its own limit, so that it outlives the loss of the parents.
    /// Where ways are given: the first of them that is fit and not tried.
    fn pick_source(&self, now: Tenths, place: usize, mean: f64, ways: &Ways) -> Option<Source> {
        let h = &self.held[place];
        if ways.given {
            let fit = |c: usize| self.well(now, c) && self.cold_room(now, c, mean) && self.used(now, c) < 1.0;
            let known = |key: u64| {
                let mut sources = self.parents.iter().copied().chain(self.origin);
                sources.find(|&c| self.peers[c].hash == key).filter(|&c| fit(c))
            };
            return ways.order.iter().find_map(|w| {
                let c = known(w.key)?;
                let through = match w.through {
                    Some(key) if self.may.straight => {
                        Some(known(key).filter(|&t| self.may_repeat_at(now, place, t))?)
                    }
                    _ => None,
                };
                // One that a push named in vain, but not where it was the cache that could not be asked.
                let vain = |s: &Sent| !matches!(s.ended, Some(Outcome::Unreachable | Outcome::Full));
                let tried = h.sent.iter().any(|s| s.to.1 == c && (w.kept_only || !s.kept) && vain(s));
                (!tried).then_some((c, w.kept_only, through))
            });
        }
        let best = self.first(h.access.object, &self.parents, |c| match c {
            _ if !self.cold_room(now, c, mean) => None,
            _ if h.sent.iter().any(|s| s.to.0 == c || s.to.1 == c) => Some(3),
            _ if !self.well(now, c) => Some(2),
            _ => Some(u8::from(self.used(now, c) >= 1.0)),
        });
        let origin = self.origin.filter(|&o| self.well(now, o) && self.used(now, o) < 1.0);
        let source = best.filter(|b| b.0 == 0).map(|b| b.1).or(origin).or(best.map(|b| b.1));
        source.map(|s| (s, false, None))
    }

    fn push(&mut self, now: Tenths, place: usize, to: (usize, usize), next: Next, out: &mut dyn Outlet) {
        let h = &self.held[place];
        let Held { access: a, lacks, rank, renew, .. } = *h;
        let kept_only = h.kept || h.held;
        let class = &self.classes[a.offering];
        let (work, uncacheable) = (class.mean.max(1.0), class.of.uncacheable);
        const ALPHA: Tenths = 0; // freshness threshold: the paper's basic case
        let mut age = class.of.fresh.saturating_sub(ALPHA);
        if let Some(purged) = self.purged_at(now, &a) {
            // Rule 5: from the first word on, nothing older than the purge; 0 would mean any age.
            let since = now.saturating_sub(purged).max(1);
            age = if age == 0 { since } else { age.min(since) };
        }
        if !uncacheable {
            // Overdue: four tenths of the soft limit and half as much again as sending should take, stretched
            // as this offering needs; before the soft limit, so that time is left to do better elsewhere.
            let soft = class.of.soft as f64;
            let overdue = class.patience * (0.4 * soft + 1.5 * h.work);
            let overdue = overdue.min(0.9 * (soft + class.of.stretch * h.work)) as Tenths;
            out.wake(now + overdue, a.id << 4 | h.sent.len() as u64);
        }
        let straight = self.peers[to.0].role != Role::Cache;
        let fill = !uncacheable && (straight || to.0 != to.1 && (h.looked || lacks));
        self.filling.add(now, self.over, f64::from(u8::from(fill)));
        for c in hops(to) {
            let leak = self.cold_budget(now, c).map_or(0.0, |b| Self::COLD_LEAK * b.0);
            let p = &mut self.peers[c];
            p.out.add(now, self.over, 1.0);
            p.spent = Fading { sum: p.spent.left(now, leak) + work, at: now };
        }
        let (ended, kept, begin_by) = (None, kept_only, self.begin_by(place));
        let sent = Sent { to, at: now, ended, overdue: false, fill, source_failed: false, kept, next };
        self.held[place].sent.push(sent);
        let (cache, source) = (&*self.peers[to.0].id, &*self.peers[to.1].id);
        let (wait, join) = (a.until - self.margin - now, self.may.joins && !uncacheable);
        out.push(&Push { access: a.id, cache, source, wait, begin_by, age, rank, join, renew, kept_only });
    }

    /// Retrieval threshold, a share of the fresh time: the cap; caches renew only in the last fifth.
    const BETA: f64 = 0.2;
    /// Some minutes of distinct parts at a front; a part that was dropped is taken for just filled.
    const MOST_FILLS: usize = 1 << 16;

    /// The design's estimate for this part: whether the zone's caches most likely lack it (not seen here for
    /// as long as copies are likely kept unused: a guess), its rank, and whether to renew it behind.
    fn remember(&mut self, now: Tenths, a: &Access) -> (bool, u8, bool) {
        let Offering { fresh, uncacheable, .. } = self.classes[a.offering].of;
        if uncacheable {
            return (false, 0, false);
        }
        let purged = self.purged_at(now, a).unwrap_or(0);
        let key = (a.object, a.part);
        if let Some(fill) = self.fills.get_mut(&key) {
            let left = (fill.at + fresh).saturating_sub(now);
            if fill.at < purged || (left == 0 && self.notes != Notes::All) {
                fill.at = now;
            }
            let seen = std::mem::replace(&mut fill.seen, now);
            return (seen + 50_000 < now, 2, fresh > 0 && (left as f64) < Self::BETA * fresh as f64);
        }
        self.fills.shed(|count, _| count >= Self::MOST_FILLS);
        self.fills.put(key, Fill { at: now, seen: now });
        // One-off objects must not displace what is wanted again: a first sight is kept at the lowest rank.
        (true, 1, false)
    }

    /// Known from before the start, or to others: when a part's copy was made, and asked for last. What this
    /// front has seen since its start stays; the first answer corrects what is wrong.
    pub fn recall(&mut self, now: Tenths, part: (u64, u32), made: Tenths, seen: Tenths) {
        if made <= now && self.fills.get(&part).is_none() {
            self.fills.shed(|count, _| count >= Self::MOST_FILLS);
            self.fills.put(part, Fill { at: made, seen: seen.min(now) });
        }
    }

    pub fn ended(&mut self, now: Tenths, id: AccessId, e: &Ended, out: &mut dyn Outlet) {
        let Some(&place) = self.places.get(&id) else { return };
        let Some(sent) = self.held[place].sent.get_mut(e.push).filter(|s| s.ended.is_none()) else {
            return;
        };
        sent.ended = Some(e.outcome);
        let Sent { to, next, .. } = *sent;
        self.filling.add(now, self.over, -f64::from(u8::from(sent.fill)));
        hops(to).for_each(|c| self.peers[c].out.add(now, self.over, -1.0));
        if matches!(e.outcome, Outcome::Handled | Outcome::Error | Outcome::Full | Outcome::Miss) {
            self.heard(now, to.0);
        }
        self.judge(now, place, to, e, out);
        let done = self.held[place].done;
        if e.settled && !done {
            self.close(place, out);
        } else if !done {
            next(self, now, place, e, out);
        }
        self.tidy(place);
    }

    fn after_look(&mut self, now: Tenths, place: usize, e: &Ended, out: &mut dyn Outlet) {
        match e.outcome {
            Outcome::Miss => self.route(now, place, out),
            _ => self.after_push(now, place, e, out),
        }
    }

    fn after_push(&mut self, now: Tenths, place: usize, e: &Ended, out: &mut dyn Outlet) {
        if self.held[place].sent.iter().any(|s| s.ended.is_none()) {
            return;
        }
        let cost = if e.outcome.proves_unrun() { 0.25 } else { 1.0 };
        let h = &self.held[place];
        if self.spare_pushes < cost || e.note == Note::OriginFailed || h.kept || h.failed_twice() {
            return self.finish(place, out);
        }
        self.spare_pushes -= cost;
        self.route(now, place, out);
    }

    /// A push is out longer than usual: it marks all it names; the access goes past those left alone.
    fn overdue(&mut self, now: Tenths, place: usize, number: usize, out: &mut dyn Outlet) {
        let h = &mut self.held[place];
        let (a, soft_at) = (h.access, h.soft_at);
        let last = h.sent.len() == number + 1;
        let Sent { to: to @ (cache, source), at, fill, .. } = h.sent[number];
        // Where an eighth of the pushes vanish though their caches answer others, an overdue one is taken for
        // lost: it marks nobody and is withdrawn. Where next to no answer is late, one out half of its
        // soft limit is stuck: it gets a second copy. Neither lowers a limit. Covers answers that never come.
        let lost = self.lost > 0.125 && self.peers[cache].answered > at;
        let half = (at + soft_at) / 2;
        let told = self.notes == Notes::All;
        let answers = |c: usize| self.peers[c].answered > at || told && c != cache && self.peers[c].bad < 0.3;
        let stuck = self.late < Self::QUICK && now >= half && hops(to).all(answers);
        if !std::mem::replace(&mut h.sent[number].overdue, true) && !lost {
            let silent = u32::from(self.peers[cache].answered < at);
            self.peers[cache].hush = self.peers[cache].hush.saturating_add(silent);
            hops(to).for_each(|c| self.mark(now, c, Self::MARK, out));
        }
        if now >= soft_at && !lost && !stuck {
            if fill && !hops(to).any(|c| self.stands_out(now, c) > 0.0) {
                // Four at least in a zone, to tell when fills are quick again.
                self.fill_limit = (self.fill_limit * Self::FALL).max(4.0 / self.crew);
            }
            hops(to).for_each(|c| self.lower(c, fill && c == cache));
        }
        let source_ill = source != cache && !self.well(now, source);
        let ill = lost || stuck || source_ill || !self.well(now, cache);
        let idempotent = self.classes[a.offering].of.effect == Effect::Idempotent;
        if ill && last && idempotent && self.spare_pushes >= 1.0 && self.may.second_copies {
            self.spare_pushes -= 1.0;
            self.held[place].sent[number].source_failed = source_ill;
            if self.may.cancels && (lost || !stuck) {
                out.withdraw(a.id, number);
            }
            self.route(now, place, out);
        } else if now < soft_at {
            let until = if now < half { half } else { soft_at };
            out.wake(until.min(now + (now - at).max(20)), a.id << 4 | number as u64);
        }
    }

    /// Ends the access at once: a decline where it may be said that a further try is harmless.
    fn finish(&mut self, place: usize, out: &mut dyn Outlet) {
        let h = &self.held[place];
        let harmless = match self.effect(&h.access) {
            Effect::Idempotent | Effect::Deduplicated { within: Group::All, .. } => true,
            _ => h.sent.iter().all(|s| s.ended.is_some_and(Outcome::proves_unrun)),
        };
        if harmless {
            // No advice to stay away goes with it, though clients might heed it: their own waits spread them,
            // and whoever comes back later finds less of the soft limit left.
            out.decline(h.access.id);
        } else {
            out.give_up(h.access.id);
        }
        self.close(place, out);
        self.tidy(place);
    }

    fn close(&mut self, place: usize, out: &mut dyn Outlet) {
        let h = &mut self.held[place];
        h.done = true;
        if self.may.cancels && self.classes[h.access.offering].of.effect == Effect::Idempotent {
            let out_still = (0..h.sent.len()).filter(|&n| h.sent[n].ended.is_none());
            out_still.for_each(|n| out.withdraw(h.access.id, n));
        }
    }

    fn tidy(&mut self, place: usize) {
        let ended = |h: &&Held| h.done && h.sent.iter().all(|s| s.ended.is_some());
        if let Some(h) = self.held.get(place).filter(ended) {
            self.places.remove(&h.access.id);
            self.held.remove(place);
        }
    }

    pub fn due(&mut self, now: Tenths, key: u64, out: &mut dyn Outlet) {
        if key == u64::MAX {
            return out.follow_list();
        }
        let Some(&place) = self.places.get(&(key >> 4)) else { return };
        let (h, number) = (&self.held[place], (key & 15) as usize);
        if !h.done && h.sent.get(number).is_some_and(|s| s.ended.is_none()) {
            self.overdue(now, place, number, out);
        } else if !h.done && number == h.sent.len() && h.sent.iter().all(|s| s.ended.is_some()) {
            self.route(now, place, out); // it has waited for a way
        }
    }

    pub fn left(&mut self, id: AccessId, out: &mut dyn Outlet) {
        let Some(&place) = self.places.get(&id) else { return };
        self.close(place, out);
        self.tidy(place);
    }

    /// A stream has started, and is the client's from now on.
    pub fn begun(&mut self, id: AccessId) {
        self.places.get(&id).into_iter().for_each(|&place| self.held[place].done = true);
    }

    /// The front is about to stop: what is still open ends now.
    pub fn stop(&mut self, out: &mut dyn Outlet) {
        let open: Vec<_> = self.held.iter().filter(|(_, h)| !h.done).map(|(place, _)| place).collect();
        open.into_iter().for_each(|place| self.finish(place, out));
    }

    pub fn purged(&mut self, now: Tenths, object: Option<u64>, group: u64, ago: Tenths) {
        // One up: both times were rounded down, and the bound must never reach behind the purge.
        let at = (now + 1).saturating_sub(ago);
        let key = (object.is_some(), object.unwrap_or(group));
        let latest = self.purges.get(&key).map_or(at, |&known| at.max(known));
        self.purges.put(key, latest);
        self.purges.shed(|_, &at| at + self.purge_done + 10 < now);
    }

    /// The latest purge that may still leave older copies about; past `purge_done` and a tick they are gone.
    fn purged_at(&self, now: Tenths, a: &Access) -> Option<Tenths> {
        let at = self.purges.get(&(true, a.object)).max(self.purges.get(&(false, a.group))).copied();
        at.filter(|at| now <= at + self.purge_done + 10)
    }

    // ---- health

    const MARK: f64 = 1.0 / 16.0; // of one push in a member's share of bad ones: the last dozen or two count
    /// How long a member is left alone at first (some round trips, a reconnect), and at the most.
    const HOLDS: [Tenths; 2] = [2_500, 10_000];
    /// Limits follow what is answered in time: each answer in time while half is in use raises it by a tenth
    /// over the crew, each late push lowers it by a tenth. They are this front's part of the zone's, which is
    /// two at least. A late fill says less of its cache, the more fronts share the link.
    const RAISE: f64 = 0.1;
    const FALL: f64 = 0.9;
    const QUICK: f64 = 0.002; // while fewer of the answered pushes are late, limits rise four times as fast

    fn lower(&mut self, c: usize, filled: bool) {
        let fall = if filled { Self::FALL.powf(1.0 / self.crew.sqrt()) } else { Self::FALL };
        self.peers[c].limit = (self.peers[c].limit * fall).max(2.0 / self.crew);
    }

    fn used(&self, now: Tenths, c: usize) -> f64 {
        self.peers[c].out.mean(now, self.over) / self.peers[c].limit
    }

    fn judge(&mut self, now: Tenths, place: usize, to: (usize, usize), e: &Ended, out: &mut dyn Outlet) {
        let (cache, source) = to;
        let h = &mut self.held[place];
        let (a, at) = (h.access, h.sent[e.push].at);
        let late = now + h.sent[0].at > h.soft_at + at;
        let sent = &mut h.sent[e.push];
        match e.outcome {
            Outcome::Handled => {
                let in_time = now <= h.soft_at;
                let raise = if self.late < Self::QUICK { 4.0 } else { 1.0 } * Self::RAISE / self.crew;
                self.lost -= self.lost / 32.0;
                self.late += (f64::from(u8::from(late)) - self.late) / 32.0;
                let filled = matches!(e.note, Note::Filled | Note::FilledByOrigin);
                // An answer says how old its copy is, whoever filled it: a restarted front learns it at once.
                // Clocks differ: what is off by more than the threshold's width, later than now or older than
                // what was asked for, counts as untold; less moves a renewal by as much.
                let fresh = self.classes[a.offering].of.fresh;
                let off = (Self::BETA * fresh as f64) as Tenths;
                let made = e.made.filter(|&m| m <= now + off && at <= m + fresh + off).map(|m| m.min(now));
                let known = made.or(filled.then_some(now));
                if let Some((fill, known)) = self.fills.get_mut(&(a.object, a.part)).zip(known) {
                    fill.at = known;
                }
                let class = &mut self.classes[a.offering];
                class.patience = (class.patience * if sent.overdue { 1.02 } else { 0.999 }).clamp(0.5, 2.0);
                if a.kb == 0.0 || self.flow == 0.0 {
                    class.mean += (e.lag as f64 - class.mean) / 64.0;
                }
                if in_time && sent.fill && self.filling.mean(now, self.over) >= 0.5 * self.fill_limit {
                    self.fill_limit += raise;
                }
                let mean = class.mean;
                let meant = filled || sent.fill && self.notes != Notes::All;
                for c in hops(to) {
                    let busy = self.used(now, c) >= 0.5;
                    let p = &mut self.peers[c];
                    p.answered = if meant { now } else { p.answered };
                    p.carries.count(now, Self::RATE_OVER, if c == cache || meant { mean } else { 0.0 });
                    p.limit += if in_time && busy { raise } else { 0.0 };
                }
                self.praise(now, cache);
                if source != cache && (filled || self.notes != Notes::All) {
                    self.praise(now, source);
                }
            }
            Outcome::TimedOut => self.lost += (1.0 - self.lost) / 32.0,
            Outcome::Withdrawn | Outcome::NeverSent => {}
            // Connections may break everywhere alike; only one that can't be made means a dead member.
            Outcome::Broken => self.mark(now, cache, 4.0 * Self::MARK, out),
            Outcome::Unreachable => {
                self.peers[cache].hush = u32::MAX;
                self.mark(now, cache, 0.6, out);
            }
            Outcome::Error | Outcome::Full | Outcome::Miss => {
                let origin = source != cache && self.peers[source].role == Role::Origin;
                match e.note {
                    // The origin refuses behind all parents alike until asked less: fills fall to a few.
                    n if n == Note::OriginFailed || n == Note::SourceRefused && origin => {
                        self.fill_limit = (self.fill_limit * Self::FALL).max(4.0 / self.crew);
                        self.refused_at = now;
                    }
                    Note::SourceRefused | Note::SourceLost if source != cache => {
                        sent.source_failed = true;
                        self.mark(now, source, 2.0 * Self::MARK, out);
                    }
                    Note::SourceLacks | Note::NoFillPlace => {}
                    // Failed by two caches, the access itself is at fault, and goes no further.
                    _ if e.outcome == Outcome::Error && h.failed_twice() => {}
                    // A refusal may be the source's, too, where that isn't told and one was named.
                    _ if e.outcome == Outcome::Error
                        || e.outcome == Outcome::Full && source != cache && self.notes != Notes::All =>
                    {
                        hops(to).for_each(|c| self.mark(now, c, 2.0 * Self::MARK, out));
                    }
                    _ if e.outcome == Outcome::Full => self.lower(cache, false),
                    _ => {}
                }
            }
        }
    }

    fn well(&self, now: Tenths, c: usize) -> bool {
        let p = &self.peers[c];
        p.held_until <= now && (p.trial == 0 || p.out.count == 0.0)
    }

    /// A push naming this member went wrong, or is overdue. Which hop was at fault is seldom told, so every
    /// one named is marked; the one at fault stands out, and is left alone a while, longer each time, then
    /// tried with one push at a time. Covers silent, slow, failing and lost members; a fast failer attracts
    /// nothing, and a recovered one is found again. May hurt where over half of a role is ill.
    fn mark(&mut self, now: Tenths, c: usize, weight: f64, out: &mut dyn Outlet) {
        self.peers[c].bad += (1.0 - self.peers[c].bad) * weight;
        let p = &self.peers[c];
        if p.held_until > now {
            return;
        }
        // Chance alone does not get there; marks stay on a told source though it was a hit. Three prove one.
        let told = p.role != Role::Cache && self.notes == Notes::All;
        if self.stands_out(now, c) > if told { 0.4 } else { 0.16 } {
            let trial = if p.role == Role::Cache { 1 } else { 3 };
            let p = &mut self.peers[c];
            out.log(format_args!("{:?} {} left alone for {} ms", p.role, p.id, p.held_for / 10));
            // Longer where this front asks rarely: a hold must spare some pushes to be worth a trial.
            (p.held_until, p.trial) = (now + (p.held_for as f64 * self.crew.sqrt()) as Tenths, trial);
            p.held_for = (p.held_for * 2).min(Self::HOLDS[1]);
        }
    }

    /// By how much a member's share of bad pushes is over twice that of the better half of its likes (caches
    /// of the zone; parents and origin) that answered lately: a kind, a cell or two parents struck at once
    /// don't hide each other, while a link or load that is bad for all makes nobody stand out.
    fn stands_out(&self, now: Tenths, c: usize) -> f64 {
        let cache = self.peers[c].role == Role::Cache;
        let set = if cache { &self.caches } else { &self.parents };
        let likes = set.iter().copied().chain(self.origin.filter(|_| !cache)).filter(|&o| o != c);
        let lately = likes.map(|o| &self.peers[o]).filter(|p| p.carries.at + 20_000 > now);
        let mut theirs: ArrayVec<f64, 16> = lately.map(|p| p.bad).take(16).collect();
        theirs.sort_by(f64::total_cmp);
        let half = theirs.len().div_ceil(2);
        self.peers[c].bad - 2.0 * (theirs[..half].iter().sum::<f64>() / half.max(1) as f64).max(0.08)
    }

    /// Answers again. After a second of silence it is taken for just started, whatever the list says: a zone
    /// that comes back cold must not be asked for all at once. Costs one that only hung a slow return.
    fn heard(&mut self, now: Tenths, c: usize) {
        let p = &mut self.peers[c];
        if p.hush >= 3 && p.answered + 10_000 < now {
            p.started = p.started.max(Some(now));
            self.begin(now, c);
        }
        let p = &mut self.peers[c];
        (p.answered, p.hush) = (now, 0);
    }

    fn praise(&mut self, now: Tenths, c: usize) {
        let p = &mut self.peers[c];
        p.bad *= 1.0 - Self::MARK;
        if p.trial > 0 && p.held_until <= now {
            p.trial -= 1;
            p.bad = if p.trial == 0 { 0.0 } else { p.bad };
        }
        if p.bad < 0.02 && p.trial == 0 {
            p.held_for = Self::HOLDS[0].max(p.held_for - p.held_for / 16);
        }
        self.learn_usual(now, c);
    }

    const RATE_OVER: f64 = 40_000.0; // a few dozen pushes, yet short enough to follow a surge
    /// Of a cold member's budget this part leaks away steadily, a fifth of a window's may come in a burst.
    const COLD_LEAK: f64 = 0.5;

    /// A member starts cold. Its budgets begin half used, or first pushes of all fronts push it over.
    fn begin(&mut self, now: Tenths, c: usize) {
        let longest = self.classes.iter().map(|c| c.mean).fold(0.0, f64::max);
        let spent = Fading { sum: self.rng.f64() * longest, at: now };
        (self.peers[c].limit, self.peers[c].spent) = (self.start_limit, spent);
    }

    /// Which cold figures go for a member, and its share of its cold time; none if it is warm.
    fn cold_age(&self, now: Tenths, c: usize) -> Option<(usize, f64)> {
        let p = &self.peers[c];
        let slot = [Role::Cache, Role::Parent].iter().position(|&r| r == p.role)?;
        let (since, lasts) = (now.saturating_sub(p.started?), self.cold[slot].lasts);
        (since < lasts).then(|| (slot, since as f64 / lasts as f64))
    }

    /// What warm members of a role answer for this front is its part of what such a member carries. Those not
    /// heard lately tell nothing: a zone that was lost must not forget its usual.
    fn learn_usual(&mut self, now: Tenths, c: usize) {
        let slot = usize::from(self.peers[c].role == Role::Parent);
        let set = if slot == 1 { &self.parents } else { &self.caches };
        let heard = |p: &Peer| p.carries.at + Self::RATE_OVER as Tenths > now && p.held_until <= now;
        let warm = |&&o: &&usize| heard(&self.peers[o]) && self.cold_age(now, o).is_none();
        let (rates, weights) = set.iter().filter(warm).fold((0.0, 0.0), |(r, w), &o| {
            (r + self.peers[o].carries.rate(now, Self::RATE_OVER), w + self.peers[o].weight)
        });
        if weights > 0.0 {
            self.usual[slot] = rates / weights;
        }
    }

    /// What this front may send a cold member at once, in transfers: `multiple` times its present share of
    /// what such a one usually carries for it; a tenth of a transfer a zone at least, so that it can begin.
    fn cold_budget(&self, now: Tenths, c: usize) -> Option<(f64, Tenths)> {
        let (slot, age) = self.cold_age(now, c)?;
        let set = &self.cold[slot];
        let carries = (self.usual[slot] * self.peers[c].weight).max(0.1 / self.crew);
        Some((set.multiple * (set.from + (1.0 - set.from) * age) * carries, set.window))
    }

    fn cold_room(&self, now: Tenths, c: usize, work: f64) -> bool {
        let Some((budget, window)) = self.cold_budget(now, c) else { return true };
        let level = self.peers[c].spent.left(now, Self::COLD_LEAK * budget);
        level == 0.0 || level + work <= 0.2 * budget * window as f64
    }
}
