//! The home of an object, the member of a tier through which its fills go, and the handover of objects when the
//! members of the tier change.
//!
//! **The home** is the member that the object ranks first by weighted rendezvous hashing over all members of the
//! tier. **Which share moves** when the members change follows in closed form, without looking at objects
//! ([`moved_share`]); [`min_moved_share`] is the least that any rule could move while giving each member its share.
//!
//! **Handover.** Objects move to their new homes one after the other. Each has its own time within the handover,
//! determined by a hash, so that all fronts agree without communication. Before that time, its old home stays its home.
//! From then on the new one is its home, but for a good while the old home is tried first for a copy that it may hold,
//! so that nothing is fetched again that is there already; copies that become stale there are fetched through the new
//! home, as they would have been anyway. A member that starts cold takes over objects at a rate proportional to its
//! growing capacity. An old home that is gone has nothing to give: its objects move at once, and the load that this
//! puts on the archive is limited by the shield. A change in the middle of a handover starts another one from the state
//! then reached. Each ends at its own time, and the oldest is dropped if there are too many.

use std::fmt;

use arrayvec::ArrayVec;
use doorgrade::{Ticks, hash};
use serde::{Deserialize, Serialize};

/// Member lists in use at once: the newest, and those that its objects are handed over from. When there are more,
/// the oldest is dropped, and objects that only its homes hold are fetched again.
pub const MAX_LISTS: usize = 8;
/// Changes within 1 / `MERGE_DIVISOR` of a handover's duration are merged into one, since the changes of a tier arrive
/// member by member.
const MERGE_DIVISOR: u64 = 50;

/// How long an old home is still tried for its copy after an object has moved, as a multiple of the handover's
/// duration. Objects with few accesses come to their new home only in this time, at the cost of one round trip each. If
/// an object has no access in this time, a cache or a parent has probably dropped its copy anyway.
const LINGER_FACTOR: u64 = 20;

/// A member of a tier as a possible home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Home {
    /// The hash of its name.
    pub key: u64,
    pub weight: f64,
    /// The fraction of its full capacity that it starts with; 1 if it is warm.
    pub initial_capacity: f64,
}

impl Home {
    /// A warm member with this name.
    pub fn named(name: &str, weight: f64) -> Home {
        Home { key: hash::text(name), weight, initial_capacity: 1.0 }
    }

    /// Its rendezvous hash for an object, by weight: the lowest wins.
    fn score(&self, object: u64) -> f64 {
        -hash::unit(object, self.key).ln() / self.weight
    }
}

/// The home of an object among the given members.
pub fn home_of(list: &[Home], object: u64) -> Option<&Home> {
    home_without(list, object, None)
}

/// The home of an object if one member is left out: the object's second choice if that member is its home.
pub fn home_without(list: &[Home], object: u64, excluded: Option<u64>) -> Option<&Home> {
    let scored = list.iter().filter(|h| Some(h.key) != excluded).map(|h| (h.score(object), h));
    scored.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.key.cmp(&b.1.key))).map(|(_, h)| h)
}

/// The old and the new weight of each member; 0 where it is not in the list.
fn weight_pairs(old: &[Home], new: &[Home]) -> Vec<(f64, f64)> {
    let weight_in = |list: &[Home], key| list.iter().find(|h| h.key == key).map_or(0.0, |h| h.weight);
    let removed = old.iter().filter(|o| new.iter().all(|n| n.key != o.key));
    let mut pairs: Vec<_> = new.iter().map(|n| (weight_in(old, n.key), n.weight)).collect();
    pairs.extend(removed.map(|o| (o.weight, 0.0)));
    pairs
}

/// The share of all objects whose home differs between two lists. An object stays with a member that has the lowest
/// score under both sets of weights. The probability of that is 1 over the sum, over all members, of the greater of
/// their two weights relative to this member's.
pub fn moved_share(old: &[Home], new: &[Home]) -> f64 {
    let pairs = weight_pairs(old, new);
    let staying = |&(a, b): &(f64, f64)| {
        if a <= 0.0 || b <= 0.0 {
            return 0.0;
        }
        1.0 / pairs.iter().map(|&(x, y)| (x / a).max(y / b)).sum::<f64>()
    };
    (1.0 - pairs.iter().map(staying).sum::<f64>()).max(0.0)
}

/// The least share that has to move so that each member has its share of the new list: the sum of all gains.
pub fn min_moved_share(old: &[Home], new: &[Home]) -> f64 {
    let pairs = weight_pairs(old, new);
    let (old_total, new_total) = pairs.iter().fold((0.0, 0.0), |(o, n), p| (o + p.0, n + p.1));
    if old_total <= 0.0 || new_total <= 0.0 {
        return if old_total == new_total { 0.0 } else { 1.0 };
    }
    pairs.iter().map(|&(a, b)| (b / new_total - a / old_total).max(0.0)).sum()
}

/// The members of a tier from some time on, and the handover to them.
#[derive(Clone, Debug)]
struct MemberList {
    homes: Vec<Home>,
    started_at: Ticks,
    /// How long objects take to move.
    duration: Ticks,
    /// Makes the times at which objects move independent of those in other handovers; the same on all fronts.
    seed: u64,
}

impl MemberList {
    /// When an object moves to its home in this list.
    fn moves_at(&self, object: u64, home: &Home) -> Ticks {
        let part = time_fraction(hash::unit(object, self.seed), home.initial_capacity);
        self.started_at + (part * self.duration as f64) as Ticks
    }

    fn is_finished(&self, now: Ticks) -> bool {
        now >= self.started_at + (1 + LINGER_FACTOR) * self.duration
    }
}

/// Depends on the list alone: a front that has just started knows no other.
fn seed(homes: &[Home]) -> u64 {
    homes.iter().fold(0u64, |seed, h| seed.rotate_left(5) ^ h.key)
}

fn same_members(a: &[Home], b: &[Home]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| (a.key, a.weight) == (b.key, b.weight))
}

/// When a member has taken over the given share of its objects, as a fraction of the time in which its capacity grows
/// from `initial_capacity` to 1, if it takes them over in proportion to its capacity.
fn time_fraction(share: f64, initial_capacity: f64) -> f64 {
    let growth = 1.0 - initial_capacity;
    if growth < 1e-9 {
        return share;
    }
    // Solves initial_capacity * x + growth * x^2 / 2 = share * (initial_capacity + growth / 2) for x.
    ((initial_capacity * initial_capacity + 2.0 * growth * share * (initial_capacity + growth / 2.0)).sqrt()
        - initial_capacity)
        / growth
}

/// A member list as it is stored. Its times are by the clock of the process that stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedList {
    pub started_at: Ticks,
    pub duration: Ticks,
    /// Key, weight and initial capacity of each member.
    pub homes: Vec<(u64, f64, f64)>,
}

/// Why saved lists were not restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreError {
    /// Nothing was being handed over, or the handover has ended.
    NoHandover,
    /// Saved so long ago that the old homes have dropped their copies.
    TooOld,
    FromFuture,
    /// Not a list that a front could have saved.
    Invalid,
    /// This front has seen a handover since its start, or has no list yet.
    AlreadyKnown,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RestoreError::NoHandover => "no handover was in progress",
            RestoreError::TooOld => "it was saved too long ago",
            RestoreError::FromFuture => "its time is in the future",
            RestoreError::Invalid => "it is not a valid list of homes",
            RestoreError::AlreadyKnown => "another handover has begun since the start",
        })
    }
}

/// A week: no handover is configured to take longer.
const MAX_DURATION: Ticks = 7 * 24 * 36_000_000;
/// Corrections of one machine's clock are smaller than this.
const MAX_CLOCK_STEP: Ticks = 10_000;

/// The homes of an object at some time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeRoute {
    /// The keys of old homes to be tried for their copy, the latest first.
    pub old_homes: ArrayVec<u64, MAX_LISTS>,
    pub home: Option<u64>,
    /// The object has moved to its home so recently that old homes are still tried: the home probably does not hold it
    /// yet.
    pub recently_moved: bool,
}

/// The effect of a new list of members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HomesChange {
    pub moved_share: f64,
    pub min_moved_share: f64,
    /// When the handover has ended.
    pub ends_at: Ticks,
}

/// The homes of one tier.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    /// The newest first.
    lists: ArrayVec<MemberList, MAX_LISTS>,
}

impl Homes {
    /// Sets the members of the tier. The first list takes effect at once; none if nothing changes.
    pub fn set_members(&mut self, now: Ticks, mut homes: Vec<Home>, duration: Ticks) -> Option<HomesChange> {
        homes.retain(|h| h.weight > 0.0 && h.weight.is_finite());
        homes.sort_by_key(|h| h.key);
        homes.dedup_by_key(|h| h.key);
        self.drop_finished(now);
        let old = self.lists.first().map(|l| &l.homes);
        if old.is_some_and(|o| same_members(o, &homes)) {
            return None;
        }
        let seed = seed(&homes);
        let starts_handover = old.is_some_and(|o| !o.is_empty());
        let change = HomesChange {
            moved_share: old.map_or(0.0, |o| moved_share(o, &homes)),
            min_moved_share: old.map_or(0.0, |o| min_moved_share(o, &homes)),
            ends_at: if starts_handover { now + (1 + LINGER_FACTOR) * duration } else { now },
        };
        if !starts_handover {
            // There is no known member to hand over from.
            self.lists.clear();
        }
        let newest = self.lists.first().filter(|_| self.lists.len() > 1);
        if newest.is_some_and(|l| now < l.started_at + l.duration / MERGE_DIVISOR) {
            self.lists.remove(0);
        }
        if self.lists.is_full() {
            self.lists.pop();
        }
        self.lists.insert(0, MemberList { homes, started_at: now, duration, seed });
        Some(change)
    }

    /// The lists in the form that `restore` takes after a restart, the newest first.
    pub fn save(&self) -> Vec<SavedList> {
        let homes = |l: &MemberList| l.homes.iter().map(|h| (h.key, h.weight, h.initial_capacity)).collect();
        self.lists
            .iter()
            .map(|l| SavedList { started_at: l.started_at, duration: l.duration, homes: homes(l) })
            .collect()
    }

    /// Restores lists from before a restart, saved at `saved_at`, once the first list after it has been set. A
    /// handover in progress goes on as if there had been no restart. If the members changed in the meantime, a
    /// handover starts from those saved. What this front has seen since its start has precedence. Gives the number
    /// of lists now known.
    pub fn restore(
        &mut self,
        now: Ticks,
        saved_at: Ticks,
        saved: &[SavedList],
    ) -> Result<usize, RestoreError> {
        let [current] = &self.lists[..] else { return Err(RestoreError::AlreadyKnown) };
        let Some(newest) = saved.first() else { return Err(RestoreError::NoHandover) };
        if saved_at > now + MAX_CLOCK_STEP || saved.iter().any(|s| s.started_at > now + MAX_CLOCK_STEP) {
            return Err(RestoreError::FromFuture);
        }
        if saved_at.saturating_add(LINGER_FACTOR * current.duration) <= now {
            return Err(RestoreError::TooOld);
        }
        let is_valid_home = |h: &(u64, f64, f64)| h.1 > 0.0 && h.1.is_finite() && (0.0..=1.0).contains(&h.2);
        let is_valid = |s: &SavedList| {
            !s.homes.is_empty()
                && s.duration <= MAX_DURATION
                && s.homes.iter().all(is_valid_home)
                && s.homes.is_sorted_by(|a, b| a.0 < b.0)
        };
        if saved.len() > MAX_LISTS
            || !saved.iter().all(is_valid)
            || !saved.is_sorted_by(|a, b| a.started_at >= b.started_at)
        {
            return Err(RestoreError::Invalid);
        }
        let list = |s: &SavedList| {
            let homes: Vec<Home> = s
                .homes
                .iter()
                .map(|&(key, weight, initial_capacity)| Home { key, weight, initial_capacity })
                .collect();
            MemberList { seed: seed(&homes), homes, started_at: s.started_at.min(now), duration: s.duration }
        };
        let unchanged = newest.homes.len() == current.homes.len()
            && newest.homes.iter().zip(&current.homes).all(|(a, b)| (a.0, a.1) == (b.key, b.weight));
        let mut lists: ArrayVec<MemberList, MAX_LISTS> = ArrayVec::new();
        if !unchanged {
            lists.push(current.clone());
        }
        lists.extend(saved.iter().map(list).take(MAX_LISTS - lists.len()));
        self.lists = lists;
        self.drop_finished(now);
        if self.in_handover(now) { Ok(self.lists.len()) } else { Err(RestoreError::NoHandover) }
    }

    /// Drops the lists that came before a finished handover.
    pub fn drop_finished(&mut self, now: Ticks) {
        if let Some(finished) = self.lists.iter().position(|l| l.is_finished(now)) {
            self.lists.truncate(finished + 1);
        }
    }

    /// Whether old homes are still tried for copies.
    pub fn in_handover(&self, now: Ticks) -> bool {
        self.lists.len() > 1 && !self.lists[0].is_finished(now)
    }

    /// The members of the newest list.
    pub fn newest(&self) -> &[Home] {
        self.lists.first().map_or(&[], |l| &l.homes)
    }

    /// The homes of an object now; `alive` is whether the member with a key can still be reached.
    pub fn route(&self, now: Ticks, object: u64, alive: impl Fn(u64) -> bool) -> HomeRoute {
        let mut route = HomeRoute::default();
        // When the object left the homes of older lists: a home that it would have moved to only later was never its
        // home.
        let mut left_at = now;
        for (n, list) in self.lists.iter().enumerate() {
            let Some(home) = home_of(&list.homes, object) else { continue };
            let last = n + 1 == self.lists.len() || list.is_finished(now);
            let moves_at = if last { 0 } else { list.moves_at(object, home) };
            match route.home {
                None if n > 0 && !alive(home.key) => continue,
                // The object has not moved yet, and an old home is still alive.
                None if moves_at > now && self.any_older_home_alive(n, object, &alive) => continue,
                None => route.home = Some(home.key),
                // The next change came before its time to move: this was never its home.
                Some(_) if moves_at >= left_at => continue,
                Some(current) if current != home.key => {
                    route.recently_moved = true;
                    if alive(home.key) && !route.old_homes.contains(&home.key) {
                        route.old_homes.push(home.key);
                    }
                }
                Some(_) => {}
            }
            if last || now >= moves_at + LINGER_FACTOR * list.duration {
                break;
            }
            left_at = moves_at.min(now);
        }
        route
    }

    /// Whether the object's home is alive in any list older than the one at index `n`.
    fn any_older_home_alive(&self, n: usize, object: u64, alive: impl Fn(u64) -> bool) -> bool {
        self.lists[n + 1..].iter().filter_map(|l| home_of(&l.homes, object)).any(|h| alive(h.key))
    }
}
