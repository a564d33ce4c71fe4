//! A front that has come back asks those that lived for what they remember, page by page, from several in turn.
//!
//! The first pages have what was asked for last, so what matters most comes first. Those who come back together ask
//! different givers first, and who has got something gives it to the next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade::hash;

/// Pages that are out at once: one from each of some givers, so that no one of them is waited for.
const AT_ONCE: usize = 4;
/// A page that has not come in this time does not come from there: some round trips on a slow link.
const WITHIN: Ticks = 3_000;
/// Whoever did not give is left alone for so long.
const REST: Ticks = 10_000;
/// Later than this after its start, a front has seen for itself what matters.
const LONGEST: Ticks = 100_000;
/// With somebody to ask for so long, and nobody of them with anything, there is nothing to be had: all began together.
/// Some round trips, and some words of who else is there.
const NOTHING: Ticks = 20_000;
/// Nobody to ask for so long: then there is nobody.
const NOBODY: Ticks = 50_000;

/// A neighbour that may have memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Giver {
    pub at: SocketAddrV4,
    /// Of the same station: it sees what this front will see.
    pub near: bool,
}

/// To be asked of this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    pub to: SocketAddrV4,
    pub page: u16,
}

pub struct Asking {
    own: u64,
    begun: Ticks,
    /// When anybody could be asked last.
    anybody: Ticks,
    /// When anybody could be asked first.
    among: Option<Ticks>,
    /// Its first beginning: later than `LONGEST` and how long anything is true, it has seen for itself.
    first: Ticks,
    again: bool,
    /// They said that they have nothing.
    nothing: BTreeSet<SocketAddrV4>,
    next: u16,
    pages: Option<u16>,
    /// Pages that were asked for and did not come.
    missed: Vec<u16>,
    out: BTreeMap<u16, (SocketAddrV4, Ticks)>,
    resting: BTreeMap<SocketAddrV4, Ticks>,
    pub done: bool,
    pub came: u64,
    pub lost: u64,
}

impl Asking {
    pub fn new(name: &str, now: Ticks) -> Asking {
        Asking {
            own: hash::text(name),
            begun: now,
            anybody: now,
            among: None,
            first: now,
            again: false,
            nothing: BTreeSet::new(),
            next: 0,
            pages: None,
            missed: Vec::new(),
            out: BTreeMap::new(),
            resting: BTreeMap::new(),
            done: false,
            came: 0,
            lost: 0,
        }
    }

    /// Somebody is there that was not. Who ended with nothing asks again, for as long as anything may be true that others
    /// knew before its start: halves of a fleet that was cut meet, and a station comes back to reach.
    pub fn met(&mut self, now: Ticks, true_for: Ticks) {
        if self.done && self.came == 0 && now < self.first + true_for {
            (self.done, self.again) = (false, true);
            (self.begun, self.anybody, self.among) = (now, now, None);
        }
    }

    /// Whoever asks itself for the first time has nothing whole to give, unless it remembers something from its own
    /// snapshot: where all begin together, those that still have their disks give to those that have not.
    pub fn gives(&self, remembers: bool) -> bool {
        self.done || self.again || remembers
    }

    /// When a page is late. `step` is due then, when one has come, and whenever there may be others to ask.
    pub fn due(&self) -> Option<Ticks> {
        self.out.values().map(|o| o.1).min().filter(|_| !self.done)
    }

    /// Asks on, as far as may be, those that are there now.
    pub fn step(&mut self, now: Ticks, givers: &[Giver]) -> Vec<Asked> {
        if self.done {
            return Vec::new();
        }
        let late: Vec<u16> = self.out.iter().filter(|(_, o)| o.1 <= now).map(|(&page, _)| page).collect();
        for page in late {
            self.turned_down(now, page);
        }
        if !givers.is_empty() {
            self.anybody = now;
            self.among.get_or_insert(now);
        }
        let all_nothing = givers.iter().all(|g| self.nothing.contains(&g.at))
            && self.among.is_some_and(|since| since + NOTHING <= now);
        let whole = self.pages.is_some_and(|pages| self.next >= pages)
            && self.missed.is_empty()
            && self.out.is_empty();
        self.done = whole
            || now >= self.begun + LONGEST
            || now >= self.anybody + NOBODY
            || all_nothing && self.pages.is_none();
        let mut asks = Vec::new();
        while !self.done && self.out.len() < AT_ONCE {
            // Until one has come, nobody knows how many there are.
            let more = self.pages.is_none_or(|pages| self.next < pages);
            let first = self.pages.is_none() && !self.out.is_empty();
            let Some(page) = self.missed.pop().or_else(|| (more && !first).then_some(self.next)) else {
                break;
            };
            let Some(to) = self.whom(now, givers) else {
                if page != self.next {
                    self.missed.push(page);
                }
                break;
            };
            self.next = self.next.max(page + 1);
            self.out.insert(page, (to, now + WITHIN));
            asks.push(Asked { to, page });
        }
        asks
    }

    /// Not one that rests; last those that have said that they have nothing; near ones first, and not one that is asked
    /// already if there is another. Which of them is each front's own order, so that those who ask together ask
    /// different ones.
    fn whom(&self, now: Ticks, givers: &[Giver]) -> Option<SocketAddrV4> {
        let rests = |g: &&Giver| self.resting.get(&g.at).is_none_or(|&until| until <= now);
        let asked = |g: &Giver| self.out.values().filter(|o| o.0 == g.at).count();
        let draw = |g: &Giver| hash::unit(self.own, hash::text(&g.at.to_string()));
        let best = givers.iter().filter(rests).min_by(|a, b| {
            let rank = |g: &Giver| (self.nothing.contains(&g.at), !g.near, asked(g));
            rank(a).cmp(&rank(b)).then(draw(a).total_cmp(&draw(b)))
        });
        best.map(|g| g.at)
    }

    /// A page has come, from whom it was asked.
    pub fn given(&mut self, from: SocketAddrV4, page: u16, pages: u16) -> bool {
        let asked = self.out.get(&page).is_some_and(|o| o.0 == from);
        if asked {
            self.out.remove(&page);
            self.nothing.remove(&from);
            self.came += 1;
            // Of several pictures, the longest: what comes twice does no harm.
            self.pages = Some(self.pages.map_or(pages, |known| known.max(pages)));
        }
        asked
    }

    /// Whoever was asked for it has nothing, or asks itself.
    pub fn nothing(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        self.nothing.insert(from);
        self.busy(now, from, page);
    }

    /// Whoever was asked for it has too much to do.
    pub fn busy(&mut self, now: Ticks, from: SocketAddrV4, page: u16) {
        if self.out.get(&page).is_some_and(|o| o.0 == from) {
            self.turned_down(now, page);
        }
    }

    fn turned_down(&mut self, now: Ticks, page: u16) {
        if let Some((from, _)) = self.out.remove(&page) {
            self.lost += 1;
            self.resting.insert(from, now + REST);
            self.missed.push(page);
        }
    }
}
