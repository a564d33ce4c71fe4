//! All of it together, for one front: which sources an access may name now, and in which order.
//!
//! It is told of changes of shape, of the list of members that the front may reach, and of each push and its
//! end; before a push it answers with [`Ways`]. The module decides among them by what it knows of health, limits
//! and cold budgets; it never names one that is not among them. In the ordinary case these are the object's home,
//! then its second home in case the first is unfit, then the archive.

use arrayvec::ArrayVec;
use doorgrade::{
    Access, AccessId, CacheStatus, FillRoute, FillRoutes, Member, MemberStatus as Listed, Outcome,
    PushResult, Ticks, hash,
};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::homes::{self, Home, Homes};
use crate::shape::{Change, Heard, Shape, Standing};
use crate::shield::{Came, Shield, Verdict};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// The tier whose members are named as sources.
    pub tier: u8,
    /// How long objects take to go to their new homes.
    pub spread: Ticks,
    /// The part of its capacity that a member starts with, and how long it takes to have all of it.
    pub cold_from: f64,
    pub cold_lasts: Ticks,
    /// Fronts of this station.
    pub crew: u32,
    pub shield: bool,
}

/// What became of the list of homes.
pub type Moved = homes::Change;

struct Known {
    listed: bool,
    started: Option<Ticks>,
    weight: f64,
}

struct Booked {
    parent: Option<u64>,
    likelihood: f64,
}

/// What is kept of one access while it is open.
#[derive(Default)]
struct Open {
    object: u64,
    /// The push by which its new home takes it over, and that home.
    hands: Option<(usize, u64)>,
    home: Option<u64>,
    /// How likely a fill through its home reaches the archive.
    likelihood: f64,
    waits: f64,
    /// By the number of the push; the module makes no more for one access.
    booked: ArrayVec<(usize, Booked), 8>,
}

/// Objects remembered as taken over; one that is forgotten is handed over once more, which costs a round trip.
const MOST_HANDED: usize = 1 << 16;

pub struct Guide {
    rules: Rules,
    shape: Shape,
    homes: Homes,
    shield: Shield,
    /// Whom the front may reach, by the hash of its id.
    known: FxHashMap<u64, Known>,
    /// Members of the shape whose fills can't end at the archive: they give what they hold.
    cut_off: FxHashSet<u64>,
    /// Members that fill from nobody.
    roots: Vec<u64>,
    open: FxHashMap<AccessId, Open>,
    /// Objects that their new homes have taken over, and by whom.
    handed: FxHashMap<u64, u64>,
    depth: usize,
    /// Fills turned back because they had come round in a ring.
    pub rings: u64,
}

impl Guide {
    pub fn new(rules: Rules, now: Ticks) -> Guide {
        Guide {
            rules,
            shape: Shape::new(),
            homes: Homes::default(),
            shield: Shield::new(rules.crew, now),
            known: FxHashMap::default(),
            cut_off: FxHashSet::default(),
            roots: Vec::new(),
            open: FxHashMap::default(),
            handed: FxHashMap::default(),
            depth: 1,
            rings: 0,
        }
    }

    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    pub fn shield(&self) -> &Shield {
        &self.shield
    }

    /// How many members may pass a fill on.
    pub fn depth(&self) -> usize {
        self.depth
    }

    /// Changes of shape, from wherever they come.
    pub fn hear(&mut self, now: Ticks, changes: &[Change]) -> (Vec<Heard>, Option<Moved>) {
        let heard = changes.iter().map(|c| self.shape.hear(c)).collect();
        self.cut_off = self.shape.cut_off().into_iter().map(hash::text).collect();
        let roots = self.shape.members().into_iter().filter(|m| m.root && m.standing == Standing::InService);
        self.roots = roots.map(|m| hash::text(m.name)).collect();
        // A font cache below the lowest member passes fills on, too.
        self.depth = self.shape.depth() + 1;
        (heard, self.settle(now))
    }

    /// The list of members that can be reached, or what has changed of it.
    pub fn listed(&mut self, now: Ticks, members: &[Member], whole: bool) -> Option<Moved> {
        if whole {
            self.known.values_mut().for_each(|k| k.listed = false);
        }
        for m in members {
            let listed = m.status == Listed::Listed;
            let weight = if m.weight > 0.0 { m.weight } else { 1.0 };
            let key = hash::text(&m.id);
            let before = self.known.insert(key, Known { listed, started: m.started_at, weight });
            if before.is_some_and(|b| b.started != m.started_at) {
                // Back, and empty: what it had taken over it has lost.
                self.handed.retain(|_, home| *home != key);
            }
        }
        // Only those of the shape are kept when they are gone: the table is bounded by both lists.
        let in_shape: FxHashSet<u64> = self.shape.members().iter().map(|m| hash::text(m.name)).collect();
        self.known.retain(|key, k| k.listed || in_shape.contains(key));
        self.settle(now)
    }

    fn settle(&mut self, now: Ticks) -> Option<Moved> {
        let cold = |k: &Known| k.started.is_some_and(|at| now < at + self.rules.cold_lasts);
        let (mut list, mut spread) = (Vec::new(), self.rules.spread);
        for m in self.shape.members() {
            if m.tier != self.rules.tier || m.standing != Standing::InService {
                continue;
            }
            let key = hash::text(m.name);
            let Some(known) = self.known.get(&key).filter(|k| k.listed) else { continue };
            let from = if cold(known) { self.rules.cold_from.clamp(0.0, 1.0) } else { 1.0 };
            if cold(known) {
                spread = spread.max(self.rules.cold_lasts);
            }
            list.push(Home { key, weight: known.weight, from });
        }
        self.homes.list(now, list, spread)
    }

    /// What is to be known of homes after a restart.
    pub fn kept(&self) -> Vec<homes::Kept> {
        self.homes.kept()
    }

    /// From before the start, once shape and list have been told: how many lists of homes are known now.
    pub fn recall(
        &mut self,
        now: Ticks,
        taken: Ticks,
        kept: &[homes::Kept],
    ) -> Result<usize, homes::NotRecalled> {
        self.homes.recall(now, taken, kept)
    }

    fn alive(&self, key: u64) -> bool {
        self.known.get(&key).is_some_and(|k| k.listed)
    }

    /// The sources that an access may be filled from now. `until`: its soft limit.
    pub fn ways(&mut self, now: Ticks, a: &Access, until: Ticks) -> FillRoutes {
        if self.shape.is_empty() {
            return FillRoutes::default();
        }
        self.homes.tidy(now);
        if !self.homes.handing_over(now) {
            self.handed.clear();
        }
        let mut found = self.homes.way(now, a.object, |key| self.alive(key));
        if found.home.is_some() && self.handed.get(&a.object).copied() == found.home {
            // It has taken the object over: it is a home like any other.
            (found.holders, found.fresh) = Default::default();
        }
        let mut ways = FillRoutes { hierarchical: true, ..FillRoutes::default() };
        let mut put = |key, kept_only, through| {
            let way = FillRoute { key, only_if_cached: kept_only, via_parent: through };
            if !ways.order.contains(&way) {
                let _ = ways.order.try_push(way);
            }
        };
        if let Some(home) = found.home {
            // Its new home takes it over; while that has no room for it, it is had where it is.
            found.holders.iter().for_each(|&h| put(h, true, Some(home)));
        }
        let mut add = |key, kept_only| put(key, kept_only, None);
        found.holders.iter().for_each(|&h| add(h, true));
        let cut_off = found.home.is_none_or(|h| self.cut_off.contains(&h));
        let likelihood = match found.home {
            Some(home) if !found.fresh && !cut_off => self.shield.likelihood(home),
            _ => 1.0,
        };
        let open = self.open.entry(a.id).or_default();
        (open.object, open.home, open.likelihood) = (a.object, found.home, likelihood);
        let queued = open.waits > 0.0;
        self.shield.waited(std::mem::take(&mut open.waits));
        let verdict = match self.rules.shield {
            true => self.shield.ask(now, likelihood, until, queued),
            false => Verdict::Go,
        };
        // What a home holds is had at no cost to the archive, whatever the account says.
        if verdict != Verdict::Go || cut_off {
            found.home.iter().for_each(|&h| add(h, true));
        }
        if verdict == Verdict::Go {
            found.home.filter(|_| !cut_off).iter().for_each(|&h| add(h, false));
            // The home may be unfit: the latest of the old ones knows the object best, then its second home.
            let old = found.holders.first().copied();
            let second = homes::second(self.homes.newest(), a.object, found.home).map(|h| h.key);
            let fit = |key: &u64| !self.cut_off.contains(key);
            [old, second].into_iter().flatten().filter(fit).for_each(|key| add(key, false));
            self.roots.iter().for_each(|&root| add(root, false));
        }
        if let Verdict::Wait(at) = verdict {
            open.waits = likelihood;
            self.shield.waits(likelihood);
            ways.retry_at = Some(at);
        }
        ways
    }

    /// A push has gone out.
    pub fn pushed(&mut self, now: Ticks, access: AccessId, push: usize, cache: u64, source: u64, kept: bool) {
        let root = |key: &u64| self.roots.contains(key);
        let Some(open) = self.open.get_mut(&access) else { return };
        if kept && self.known.contains_key(&cache) {
            open.hands = Some((push, cache));
        }
        if kept || cache == source {
            return;
        }
        // Straight to a parent, it is that which passes the fill on.
        let parent = if root(&source) && self.known.contains_key(&cache) { cache } else { source };
        // Whoever is not its home will not hold it.
        let likelihood = if Some(parent) == open.home { open.likelihood } else { 1.0 };
        self.shield.book(now, likelihood);
        let parent = Some(parent).filter(|p| !root(p));
        let _ = open.booked.try_push((push, Booked { parent, likelihood }));
    }

    /// A push has ended; `late`: after its access's soft limit, `renews`: it had the cache renew its copy behind.
    pub fn ended(&mut self, now: Ticks, access: AccessId, e: &PushResult, late: bool, renews: bool) {
        let Some(open) = self.open.get_mut(&access) else { return };
        if let Some((_, home)) = open.hands.filter(|h| h.0 == e.push && e.outcome == Outcome::Handled) {
            if self.handed.len() >= MOST_HANDED {
                self.handed.clear();
            }
            self.handed.insert(open.object, home);
        }
        let Some(at) = open.booked.iter().position(|b| b.0 == e.push) else { return };
        let (_, Booked { parent, likelihood }) = open.booked.swap_remove(at);
        let came = match (e.outcome, e.cache_status) {
            (Outcome::Handled, CacheStatus::FilledByOrigin) if late => Came::Late,
            (Outcome::Handled, CacheStatus::FilledByOrigin) => Came::FromArchive,
            (Outcome::Handled, CacheStatus::Filled) if parent.is_none() && late => Came::Late,
            (Outcome::Handled, CacheStatus::Filled) if parent.is_none() => Came::FromArchive,
            (Outcome::Handled, CacheStatus::Filled | CacheStatus::Joined) => Came::FromElsewhere,
            (Outcome::Handled, CacheStatus::Hit | CacheStatus::Stale) if !renews => Came::FromElsewhere,
            (_, CacheStatus::OriginFailed) => Came::Refused,
            (_, CacheStatus::SourceRefused) if parent.is_none() => Came::Refused,
            (Outcome::Full | Outcome::Unreachable | Outcome::NeverSent, _) => Came::FromElsewhere,
            _ => Came::Untold,
        };
        self.shield.ended(now, parent, likelihood, came);
    }

    /// An access is over, and so is whatever is still out for it.
    pub fn done(&mut self, now: Ticks, access: AccessId) {
        let Some(open) = self.open.remove(&access) else { return };
        self.shield.waited(open.waits);
        for (_, Booked { parent, likelihood }) in open.booked {
            self.shield.ended(now, parent, likelihood, Came::Untold);
        }
    }

    /// Accesses that it keeps something of.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}
