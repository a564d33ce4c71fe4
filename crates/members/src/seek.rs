//! Whom to ask for others, and when: seeds, and those once known that are missing.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use doorgrade::Tenths;
use fastrand::Rng;

/// The first pause: some round trips.
const FIRST: Tenths = 5_000;
/// The longest one: a cut that is healed is noticed within some of them. A fleet of 1,000 that all seek at this pace
/// ask 100 times a second, all over it.
const LAST: Tenths = 100_000;
/// Addresses remembered beyond the seeds: the fleet that there was, and then some.
const MOST: usize = 4_096;

pub(crate) struct Seek {
    own: SocketAddrV4,
    seeds: Vec<SocketAddrV4>,
    known: BTreeSet<SocketAddrV4>,
    pause: Tenths,
    pub(crate) due: Tenths,
}

impl Seek {
    pub(crate) fn new(own: SocketAddrV4, seeds: &[SocketAddrV4], now: Tenths, rng: &mut Rng) -> Seek {
        let seeds = seeds.iter().copied().filter(|s| *s != own).collect();
        // Those that start together do not ask together.
        let due = now + rng.u64(0..FIRST);
        Seek { own, seeds, known: BTreeSet::new(), pause: FIRST, due }
    }

    pub(crate) fn met(&mut self, at: SocketAddrV4) {
        if at != self.own && self.known.len() < MOST {
            self.known.insert(at);
        }
    }

    /// As at the start: something has happened that makes haste worth while.
    pub(crate) fn anew(&mut self, now: Tenths, rng: &mut Rng) {
        (self.pause, self.due) = (FIRST, now + rng.u64(0..FIRST));
    }

    /// One is missed that was there.
    pub(crate) fn hurry(&mut self, now: Tenths) {
        self.pause = FIRST;
        self.due = self.due.min(now + FIRST);
    }

    /// One that is not here now, by chance; a seed as often as all the others together.
    pub(crate) fn whom(
        &mut self,
        now: Tenths,
        here: &BTreeSet<SocketAddrV4>,
        rng: &mut Rng,
    ) -> Option<SocketAddrV4> {
        if now < self.due {
            return None;
        }
        // Between half and one and a half of the pause: askers spread, however they began.
        self.due = now + self.pause / 2 + rng.u64(0..=self.pause);
        self.pause = (self.pause * 2).min(LAST);
        let missing = |at: &&SocketAddrV4| !here.contains(at);
        let seeds: Vec<_> = self.seeds.iter().filter(missing).collect();
        let others: Vec<_> = self.known.iter().filter(missing).collect();
        let set = if others.is_empty() || !seeds.is_empty() && rng.bool() { seeds } else { others };
        rng.choice(set).copied()
    }
}
