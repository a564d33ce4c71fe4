//! Whom to ask for others, and when: seeds, and those once known that are missing.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use fastrand::Rng;

/// The first pause: some round trips.
const FIRST: Ticks = 5_000;
/// The longest one: a cut that is healed is noticed within some of them. A fleet of 1,000 that all seek at this pace
/// ask 100 times a second, all over it.
const LAST: Ticks = 100_000;
/// One answer names some thirty others. A newcomer that learns of somebody asks on at this pace, those that are there, too,
/// until a second brings no news.
const QUICK: Ticks = 2_500;
const NEWS: Ticks = 10_000;
/// For so long it is a newcomer; later, word of changes comes by itself, and all would ask because of one.
const NEWCOMER: Ticks = 300_000;
/// Addresses remembered beyond the seeds: the fleet that there was, and then some.
const MOST: usize = 4_096;

pub(crate) struct Seek {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    known: BTreeSet<SocketAddrV4>,
    pause: Ticks,
    begun: Ticks,
    /// Until when it asks quickly.
    news: Ticks,
    pub(crate) due: Ticks,
}

impl Seek {
    pub(crate) fn new(own: SocketAddrV4, seeds: &[SocketAddrV4], now: Ticks, rng: &mut Rng) -> Seek {
        let seeds = seeds.iter().copied().filter(|s| *s != own).collect();
        // Those that start together do not ask together.
        let due = now + rng.u64(0..FIRST);
        Seek { own, seeds, known: BTreeSet::new(), pause: FIRST, begun: now, news: now, due }
    }

    /// One is there that was not.
    pub(crate) fn met(&mut self, now: Ticks, at: SocketAddrV4) {
        if at != self.own && self.known.len() < MOST {
            self.known.insert(at);
        }
        if now < self.begun + NEWCOMER {
            (self.news, self.due) = (now + NEWS, self.due.min(now + QUICK));
        } else {
            // Others that are missed may be back as well; with nobody missing nothing is asked.
            self.hurry(now);
        }
    }

    /// As at the start: something has happened that makes haste worth while.
    pub(crate) fn anew(&mut self, now: Ticks, rng: &mut Rng) {
        (self.pause, self.begun, self.due) = (FIRST, now, now + rng.u64(0..FIRST));
    }

    /// One is missed that was there.
    pub(crate) fn hurry(&mut self, now: Ticks) {
        self.pause = FIRST;
        self.due = self.due.min(now + FIRST);
    }

    /// One that is not here now, by chance; a seed as often as all the others together.
    pub(crate) fn whom(
        &mut self,
        now: Ticks,
        here: &BTreeSet<SocketAddrV4>,
        rng: &mut Rng,
    ) -> Option<SocketAddrV4> {
        if now < self.due {
            return None;
        }
        // Between half and one and a half of the pause: askers spread, however they began.
        let pause = if now < self.news { QUICK } else { self.pause };
        self.due = now + pause / 2 + rng.u64(0..=pause);
        self.pause = (self.pause * 2).min(LAST);
        if now < self.news && rng.bool() {
            return rng.choice(here).copied();
        }
        let missing = |at: &&SocketAddrV4| !here.contains(at);
        let seeds: Vec<_> = self.seeds.iter().filter(missing).collect();
        let others: Vec<_> = self.known.iter().filter(missing).collect();
        let set = if others.is_empty() || !seeds.is_empty() && rng.bool() { seeds } else { others };
        rng.choice(set).copied()
    }
}
