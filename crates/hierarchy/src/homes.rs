//! At which member of a tier an object's fills meet, and how a change of the list is handed over.
//!
//! **The pick** is the design's: the object's first member in one weighted rendezvous hash over all members of
//! the tier. **What moves** when the list changes follows in closed form, without a look at any object
//! ([`moved`]), beside the least that any rule could move while it gives each member its share ([`least`]).
//!
//! **Hand-over.** Moved objects go to their new home one after the other: each has its own moment in the
//! hand-over, drawn by hash, so that all fronts agree without a word. Before it the old home stays its home.
//! From then on the new one is, but for a good while the old one is asked first for what it holds, so that nothing
//! is fetched anew that is there already; copies that grow old there are fetched anew through the new home, as they
//! would have been anyway. A member that starts cold takes objects in the same
//! measure as it grows warm. An old home that is gone has nothing to give: its objects go at once, and what
//! that costs the archive is the shield's matter. A second change in the middle begins a hand-over from what
//! stood then, moved or not; each ends by its own time, and the oldest makes room when there are too many.

use std::fmt;

use arrayvec::ArrayVec;
use doorgrade::{Ticks, hash};
use serde::{Deserialize, Serialize};

/// Lists that may be in use at once: the newest, and what it and those before it took over from. With more the
/// oldest goes, and what only it knew to be held somewhere is fetched anew.
pub const MOST_LISTS: usize = 8;
/// Changes that come within this part of a hand-over are one: a tier is told member by member.
const TOGETHER: u64 = 50;

/// For how many times the spread an old home is asked for what it holds, after an object has gone. Objects that are
/// asked for seldom come to their new home only then; what it costs them is one round trip, once. At that rate of
/// access a font cache or a parent is likely to have dropped its copy, too.
const LINGER: u64 = 20;

/// One member of a tier, as far as homes go by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Home {
    /// The hash of its name.
    pub key: u64,
    pub weight: f64,
    /// The part of its full capacity that it starts with; 1 for one that is warm.
    pub from: f64,
}

impl Home {
    pub fn named(name: &str, weight: f64) -> Home {
        Home { key: hash::text(name), weight, from: 1.0 }
    }

    fn draw(&self, object: u64) -> f64 {
        -hash::unit(object, self.key).ln() / self.weight
    }
}

/// The object's first in a list.
pub fn first(list: &[Home], object: u64) -> Option<&Home> {
    second(list, object, None)
}

/// The object's first in a list but for one member: who stands in for it.
pub fn second(list: &[Home], object: u64, but: Option<u64>) -> Option<&Home> {
    let drawn = list.iter().filter(|h| Some(h.key) != but).map(|h| (h.draw(object), h));
    drawn.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.key.cmp(&b.1.key))).map(|(_, h)| h)
}

fn weights(old: &[Home], new: &[Home]) -> Vec<(f64, f64)> {
    let of = |list: &[Home], key| list.iter().find(|h| h.key == key).map_or(0.0, |h| h.weight);
    let gone = old.iter().filter(|o| new.iter().all(|n| n.key != o.key));
    let mut pairs: Vec<_> = new.iter().map(|n| (of(old, n.key), n.weight)).collect();
    pairs.extend(gone.map(|o| (o.weight, 0.0)));
    pairs
}

/// The share of all objects whose home differs between two lists. An object stays with a member that wins its
/// draw under both sets of weights, and does so with 1 over the sum of what each rival weighs against it in
/// whichever list it weighs more.
pub fn moved(old: &[Home], new: &[Home]) -> f64 {
    let pairs = weights(old, new);
    let stays = |&(a, b): &(f64, f64)| {
        if a <= 0.0 || b <= 0.0 {
            return 0.0;
        }
        1.0 / pairs.iter().map(|&(x, y)| (x / a).max(y / b)).sum::<f64>()
    };
    (1.0 - pairs.iter().map(stays).sum::<f64>()).max(0.0)
}

/// The least share that has to move so that each member has its part of the new list: what the members gain.
pub fn least(old: &[Home], new: &[Home]) -> f64 {
    let pairs = weights(old, new);
    let (was, is) = pairs.iter().fold((0.0, 0.0), |(w, i), p| (w + p.0, i + p.1));
    if was <= 0.0 || is <= 0.0 {
        return if was == is { 0.0 } else { 1.0 };
    }
    pairs.iter().map(|&(a, b)| (b / is - a / was).max(0.0)).sum()
}

#[derive(Clone, Debug)]
struct List {
    homes: Vec<Home>,
    begun: Ticks,
    /// How long objects take to go.
    spread: Ticks,
    /// Tells the moments of this hand-over from those of others; the same at all fronts.
    salt: u64,
}

impl List {
    /// The moment at which an object goes to its home in this list.
    fn due(&self, object: u64, home: &Home) -> Ticks {
        let part = ripened(hash::unit(object, self.salt), home.from);
        self.begun + (part * self.spread as f64) as Ticks
    }

    fn over(&self, now: Ticks) -> bool {
        now >= self.begun + (1 + LINGER) * self.spread
    }
}

/// Of a list alone: a front that has just started knows no other.
fn salt(homes: &[Home]) -> u64 {
    homes.iter().fold(0u64, |salt, h| salt.rotate_left(5) ^ h.key)
}

fn same(a: &[Home], b: &[Home]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(a, b)| (a.key, a.weight) == (b.key, b.weight))
}

/// When, in parts of the time in which a member grows from part `from` of its capacity to all of it, it has
/// taken the given share of its objects, if it takes them in proportion to its capacity.
fn ripened(share: f64, from: f64) -> f64 {
    let grows = 1.0 - from;
    if grows < 1e-9 {
        return share;
    }
    // from * x + grows * x^2 / 2 = share * (from + grows / 2)
    ((from * from + 2.0 * grows * share * (from + grows / 2.0)).sqrt() - from) / grows
}

/// One list as it is written down. Times are whoever's who writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub begun: Ticks,
    pub spread: Ticks,
    /// Key, weight, and the part of its capacity that it began with.
    pub homes: Vec<(u64, f64, f64)>,
}

/// Why nothing was made of what was remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRecalled {
    /// Nothing was handed over, or it is over.
    Nothing,
    /// Written so long ago that the old homes have dropped what they held.
    Old,
    Future,
    /// No list that this front could have written.
    Foreign,
    /// This front has seen a hand-over itself, or has no list yet.
    Known,
}

impl fmt::Display for NotRecalled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotRecalled::Nothing => "no hand-over was under way",
            NotRecalled::Old => "it was written too long ago",
            NotRecalled::Future => "it is from the future",
            NotRecalled::Foreign => "it is no list of homes",
            NotRecalled::Known => "one has begun since the start",
        })
    }
}

/// A week: no hand-over is told to take as long.
const MOST_SPREAD: Ticks = 7 * 24 * 36_000_000;
/// Clocks of one machine are set right by less than this.
const OFF: Ticks = 10_000;

/// Where an object's fill goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Way {
    /// The keys of old homes to be asked for what they hold, the latest first.
    pub holders: ArrayVec<u64, MOST_LISTS>,
    pub home: Option<u64>,
    /// It has been the home for less than the hand-over lasts: it will not hold the object.
    pub fresh: bool,
}

/// What a change of the list comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub moved: f64,
    pub least: f64,
    /// The hand-over has ended by this time.
    pub until: Ticks,
}

/// The homes of one tier.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    /// The newest first.
    lists: ArrayVec<List, MOST_LISTS>,
}

impl Homes {
    /// The tier's members are these from now on. The first list is taken as it is.
    pub fn list(&mut self, now: Ticks, mut homes: Vec<Home>, spread: Ticks) -> Option<Change> {
        homes.retain(|h| h.weight > 0.0 && h.weight.is_finite());
        homes.sort_by_key(|h| h.key);
        homes.dedup_by_key(|h| h.key);
        self.tidy(now);
        let old = self.lists.first().map(|l| &l.homes);
        if old.is_some_and(|o| same(o, &homes)) {
            return None;
        }
        let salt = salt(&homes);
        let begins = old.is_some_and(|o| !o.is_empty());
        let change = Change {
            moved: old.map_or(0.0, |o| moved(o, &homes)),
            least: old.map_or(0.0, |o| least(o, &homes)),
            until: if begins { now + (1 + LINGER) * spread } else { now },
        };
        if !begins {
            // Nobody held anything, or nobody knows of it.
            self.lists.clear();
        }
        let newest = self.lists.first().filter(|_| self.lists.len() > 1);
        if newest.is_some_and(|l| now < l.begun + l.spread / TOGETHER) {
            self.lists.remove(0);
        }
        if self.lists.is_full() {
            self.lists.pop();
        }
        self.lists.insert(0, List { homes, begun: now, spread, salt });
        Some(change)
    }

    /// What is to be known again after a restart, the newest first.
    pub fn kept(&self) -> Vec<Kept> {
        let homes = |l: &List| l.homes.iter().map(|h| (h.key, h.weight, h.from)).collect();
        self.lists.iter().map(|l| Kept { begun: l.begun, spread: l.spread, homes: homes(l) }).collect()
    }

    /// Known from before the start, written at `taken`: once the first list after it has been told. A hand-over that had
    /// begun goes on as it would have; where the list has changed while this front was away, one begins from what it knew.
    /// What it has seen itself stays.
    pub fn recall(&mut self, now: Ticks, taken: Ticks, kept: &[Kept]) -> Result<usize, NotRecalled> {
        let [current] = &self.lists[..] else { return Err(NotRecalled::Known) };
        let Some(newest) = kept.first() else { return Err(NotRecalled::Nothing) };
        if taken > now + OFF || kept.iter().any(|k| k.begun > now + OFF) {
            return Err(NotRecalled::Future);
        }
        if taken.saturating_add(LINGER * current.spread) <= now {
            return Err(NotRecalled::Old);
        }
        let fit = |h: &(u64, f64, f64)| h.1 > 0.0 && h.1.is_finite() && (0.0..=1.0).contains(&h.2);
        let fits = |k: &Kept| {
            !k.homes.is_empty()
                && k.spread <= MOST_SPREAD
                && k.homes.iter().all(fit)
                && k.homes.is_sorted_by(|a, b| a.0 < b.0)
        };
        if kept.len() > MOST_LISTS || !kept.iter().all(fits) || !kept.is_sorted_by(|a, b| a.begun >= b.begun)
        {
            return Err(NotRecalled::Foreign);
        }
        let list = |k: &Kept| {
            let homes: Vec<Home> =
                k.homes.iter().map(|&(key, weight, from)| Home { key, weight, from }).collect();
            List { salt: salt(&homes), homes, begun: k.begun.min(now), spread: k.spread }
        };
        let goes_on = newest.homes.len() == current.homes.len()
            && newest.homes.iter().zip(&current.homes).all(|(a, b)| (a.0, a.1) == (b.key, b.weight));
        let mut lists: ArrayVec<List, MOST_LISTS> = ArrayVec::new();
        if !goes_on {
            lists.push(current.clone());
        }
        lists.extend(kept.iter().map(list).take(MOST_LISTS - lists.len()));
        self.lists = lists;
        self.tidy(now);
        if self.handing_over(now) { Ok(self.lists.len()) } else { Err(NotRecalled::Nothing) }
    }

    /// Drops what came before a hand-over that is over.
    pub fn tidy(&mut self, now: Ticks) {
        if let Some(over) = self.lists.iter().position(|l| l.over(now)) {
            self.lists.truncate(over + 1);
        }
    }

    pub fn handing_over(&self, now: Ticks) -> bool {
        self.lists.len() > 1 && !self.lists[0].over(now)
    }

    /// Homes of the newest list.
    pub fn newest(&self) -> &[Home] {
        self.lists.first().map_or(&[], |l| &l.homes)
    }

    /// Where an object's fill goes; `alive` says of a member's key whether it may still be asked.
    pub fn way(&self, now: Ticks, object: u64, alive: impl Fn(u64) -> bool) -> Way {
        let mut way = Way::default();
        // Until when an older list's home can have been the object's.
        let mut left = now;
        for (n, list) in self.lists.iter().enumerate() {
            let Some(home) = first(&list.homes, object) else { continue };
            let last = n + 1 == self.lists.len() || list.over(now);
            let due = if last { 0 } else { list.due(object, home) };
            match way.home {
                None if n > 0 && !alive(home.key) => continue,
                // Not its turn yet, while an old home still serves.
                None if due > now && self.old_serves(n, object, &alive) => continue,
                None => way.home = Some(home.key),
                // The next change came before its turn: it never went there.
                Some(_) if due >= left => continue,
                Some(now_home) if now_home != home.key => {
                    way.fresh = true;
                    if alive(home.key) && !way.holders.contains(&home.key) {
                        way.holders.push(home.key);
                    }
                }
                Some(_) => {}
            }
            if last || now >= due + LINGER * list.spread {
                break;
            }
            left = due.min(now);
        }
        way
    }

    fn old_serves(&self, n: usize, object: u64, alive: impl Fn(u64) -> bool) -> bool {
        self.lists[n + 1..].iter().filter_map(|l| first(&l.homes, object)).any(|h| alive(h.key))
    }
}
