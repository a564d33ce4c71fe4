//! Times that others tell, by the clocks of their machines, as times of this process.
//!
//! This machine's wall clock may have been stepped since the start, rightly or wrongly, or have stood wrong then. What is
//! told of purges and starts has to bind all the same, so a doubt makes a purge younger and a cache colder.

use doorgrade::Ticks;
use rustc_hash::FxHashMap;

/// Clocks of machines that are kept right differ by less.
const CLOSE: Ticks = 10_000;
/// Lists run behind by less: a start that is told as it comes and looks older was told by another clock.
const LISTS_BEHIND: Ticks = 100_000;

/// How word has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// With the configuration. The latest time in it.
    AtStart { latest: Ticks },
    /// By the feed, after a time without word; until then there was nothing of it.
    Behind { since: Ticks },
    /// By the feed, as it happened.
    AsItHappens,
}

/// Readings of others' times.
#[derive(Debug, Default)]
pub struct Stamps {
    /// By how much this process's time is ahead of the wall clock, which was stepped.
    ahead: i64,
    /// Of each member, the start that was told last, and when that was by this process's time.
    starts: FxHashMap<u32, (Ticks, Ticks)>,
}

impl Stamps {
    pub fn set_wall(&mut self, now: Ticks, unix: Ticks) {
        self.ahead = now as i64 - unix as i64;
    }

    /// Either the wall clock was right at the start, or it is now. Nothing that is told lies in the future: of both
    /// readings the later one that does not.
    pub fn local(&self, now: Ticks, stamp: Ticks) -> Ticks {
        let moved = stamp.saturating_add_signed(self.ahead);
        let past = |t: &Ticks| *t <= now + CLOSE;
        [stamp, moved].into_iter().filter(past).max().unwrap_or(now).min(now)
    }

    /// When something was purged, at the earliest.
    pub fn purged(&self, now: Ticks, at: Ticks, told: Told) -> Ticks {
        match told {
            // As if the latest were of just now: nothing tells whether it is, where the clock stood wrong.
            Told::AtStart { latest } => now.saturating_sub(latest.saturating_sub(at)),
            Told::Behind { since } => self.local(now, at).max(since).min(now),
            Told::AsItHappens => now,
        }
    }

    /// When a member started.
    pub fn started(&mut self, now: Ticks, member: u32, at: Ticks, told: Told) -> Ticks {
        if let Some(&(known, local)) = self.starts.get(&member)
            && known == at
        {
            return local;
        }
        let local = self.local(now, at);
        let local = match told {
            Told::AsItHappens if local + LISTS_BEHIND < now => now,
            _ => local,
        };
        self.starts.insert(member, (at, local));
        local
    }

    /// Members that are not listed any more.
    pub fn forget(&mut self, keep: impl Fn(u32) -> bool) {
        self.starts.retain(|&member, _| keep(member));
    }
}
