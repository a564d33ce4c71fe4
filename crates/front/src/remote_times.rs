//! Converts times given by other machines' clocks to times of this process.
//!
//! This machine's wall clock may have been stepped since the start, to a right or a wrong time, or may have
//! been wrong at the start. Reported purges and starts must take effect all the same, so when the time is
//! uncertain, a purge is taken as more recent and a cache as colder.

use doorgrade::Ticks;
use rustc_hash::FxHashMap;

/// Synchronised clocks of different machines differ by less than this.
const MAX_CLOCK_DIFFERENCE: Ticks = 10_000;
/// Member lists are at most this late: a start that is reported live and looks older was stamped by a clock
/// that differs.
const MAX_LIST_DELAY: Ticks = 100_000;

/// How a report has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// With the configuration. `latest` is the latest time in it.
    Startup { latest: Ticks },
    /// By the feed, after a gap in the connection; nothing was known between `since` and now.
    CatchUp { since: Ticks },
    /// By the feed, as it happened.
    Live,
}

/// Converts times of other machines, and remembers the starts of members.
#[derive(Debug, Default)]
pub struct RemoteTimes {
    /// By how much this process's time is ahead of the wall clock, which may have been stepped.
    ahead: i64,
    /// For each member, the start last reported, and the same as a time of this process.
    starts: FxHashMap<u32, (Ticks, Ticks)>,
}

impl RemoteTimes {
    pub fn set_wall(&mut self, now: Ticks, unix: Ticks) {
        self.ahead = now as i64 - unix as i64;
    }

    /// The wall clock was right either at the start or now. No report lies in the future, so this is the
    /// later of both readings that does not.
    pub fn to_local(&self, now: Ticks, time: Ticks) -> Ticks {
        let shifted = time.saturating_add_signed(self.ahead);
        let past = |t: &Ticks| *t <= now + MAX_CLOCK_DIFFERENCE;
        [time, shifted].into_iter().filter(past).max().unwrap_or(now).min(now)
    }

    /// The earliest time at which something may have been purged.
    pub fn purged_at(&self, now: Ticks, at: Ticks, arrival: Arrival) -> Ticks {
        match arrival {
            // As if the latest event had happened just now: if the clock was wrong at the start, nothing
            // shows how old it is.
            Arrival::Startup { latest } => now.saturating_sub(latest.saturating_sub(at)),
            Arrival::CatchUp { since } => self.to_local(now, at).max(since).min(now),
            Arrival::Live => now,
        }
    }

    /// Converts the start of a member. The same start is converted only once, so that its result stays the same.
    pub fn started_at(&mut self, now: Ticks, member: u32, at: Ticks, arrival: Arrival) -> Ticks {
        if let Some(&(known, local)) = self.starts.get(&member)
            && known == at
        {
            return local;
        }
        let local = self.to_local(now, at);
        let local = match arrival {
            Arrival::Live if local + MAX_LIST_DELAY < now => now,
            _ => local,
        };
        self.starts.insert(member, (at, local));
        local
    }

    /// Keeps only the members that are still listed.
    pub fn retain(&mut self, keep: impl Fn(u32) -> bool) {
        self.starts.retain(|&member, _| keep(member));
    }
}
