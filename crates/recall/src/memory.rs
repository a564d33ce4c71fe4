//! The remembered fills and purges, and which entries may be imported.

use std::collections::{BTreeSet, HashMap};

use doorgrade::Ticks;

use crate::{DropReason, Fill, ImportStats, MAX_PURGES, Purge, Rules, Source};

/// Clocks of one site differ by less than this. A time further in the future comes from a clock that was set
/// back, or is false.
const MAX_CLOCK_SKEW: Ticks = 500;

type Key = (u16, u64, u32);

fn key(fill: &Fill) -> Key {
    (fill.offering, fill.object, fill.part)
}

/// The fills and purges that a front remembers.
#[derive(Clone)]
pub struct Memory {
    rules: Rules,
    fills: HashMap<Key, (Fill, Source)>,
    /// The same fills by the time of the last request.
    by_request_time: BTreeSet<(Ticks, Key)>,
    purges: HashMap<(Option<u64>, u16), Ticks>,
}

impl Memory {
    pub fn new(rules: Rules) -> Memory {
        Memory { rules, fills: HashMap::new(), by_request_time: BTreeSet::new(), purges: HashMap::new() }
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Whether a fill is valid at this time. A purge ends older ones for good: once it is done no such copy
    /// is left, so a front that reports one is out of date.
    fn check_fill(&self, now: Ticks, fill: &Fill) -> Result<(), DropReason> {
        let fresh = self.rules.fresh_times.get(usize::from(fill.offering)).copied().unwrap_or(0);
        let purged = |key| self.purges.get(&key).is_some_and(|&at| fill.made_at < at);
        if fresh == 0 {
            Err(DropReason::UnknownOffering)
        } else if fill.made_at > now + MAX_CLOCK_SKEW || fill.requested_at > now + MAX_CLOCK_SKEW {
            Err(DropReason::Future)
        } else if fill.made_at + fresh <= now {
            Err(DropReason::Expired)
        } else if purged((Some(fill.object), fill.group)) || purged((None, fill.group)) {
            Err(DropReason::Purged)
        } else {
            Ok(())
        }
    }

    fn check_purge(&self, now: Ticks, purge: &Purge) -> Result<(), DropReason> {
        if purge.at > now + MAX_CLOCK_SKEW {
            Err(DropReason::Future)
        } else if purge.at + self.rules.purge_done <= now {
            Err(DropReason::Expired)
        } else {
            Ok(())
        }
    }

    /// The front has seen a response itself.
    pub fn record_fill(&mut self, now: Ticks, fill: Fill) {
        if self.check_fill(now, &fill).is_ok() {
            self.insert_fill(fill, Source::Own);
        }
    }

    /// The front received a purge from its feed.
    pub fn record_purge(&mut self, now: Ticks, purge: Purge) {
        if self.check_purge(now, &purge).is_ok() {
            self.insert_purge(now, purge);
        }
    }

    fn insert_fill(&mut self, fill: Fill, source: Source) {
        if let Some((old, _)) = self.fills.insert(key(&fill), (fill, source)) {
            self.by_request_time.remove(&(old.requested_at, key(&old)));
        }
        self.by_request_time.insert((fill.requested_at, key(&fill)));
        while self.fills.len() > self.rules.max_fills {
            let Some((_, oldest)) = self.by_request_time.pop_first() else { break };
            self.fills.remove(&oldest);
        }
    }

    fn insert_purge(&mut self, now: Ticks, purge: Purge) -> bool {
        let done = self.rules.purge_done;
        if self.purges.len() >= MAX_PURGES {
            self.purges.retain(|_, at| *at + done > now);
        }
        let room = self.purges.len() < MAX_PURGES;
        let known = self.purges.get(&(purge.object, purge.group)).copied();
        let newer = known.is_none_or(|at| at < purge.at);
        if newer && (room || known.is_some()) {
            self.purges.insert((purge.object, purge.group), purge.at);
        }
        newer && room
    }

    /// Takes entries of other fronts, or of this one before its restart: those that are valid are remembered,
    /// and returned for the front to use. Purges come first, since they end fills of the same import.
    pub fn import(
        &mut self,
        now: Ticks,
        source: Source,
        fills: &[Fill],
        purges: &[Purge],
    ) -> (Vec<Fill>, Vec<Purge>, ImportStats) {
        let mut stats = ImportStats::default();
        let mut imported = (Vec::new(), Vec::new());
        for &purge in purges {
            match self.check_purge(now, &purge) {
                Err(reason) => stats.count_dropped(reason),
                Ok(()) if self.insert_purge(now, purge) => {
                    stats.purges += 1;
                    imported.1.push(purge);
                }
                Ok(()) => stats.count_dropped(DropReason::Outdated),
            }
        }
        for fill in fills {
            // The request time is by another front's clock: not later than now.
            let fill = Fill { requested_at: fill.requested_at.min(now), ..*fill };
            match self.check_import(now, source, &fill) {
                Err(reason) => stats.count_dropped(reason),
                Ok(()) => {
                    self.insert_fill(fill, source);
                    stats.fills += 1;
                    imported.0.push(fill);
                }
            }
        }
        (imported.0, imported.1, stats)
    }

    /// A fill that the front has seen itself is never overruled, whatever its time. Of imported ones the part
    /// requested last stays; if these are equal, the younger copy.
    fn check_import(&self, now: Ticks, source: Source, fill: &Fill) -> Result<(), DropReason> {
        self.check_fill(now, fill)?;
        match self.fills.get(&key(fill)) {
            Some((_, Source::Own)) if source != Source::Own => Err(DropReason::SeenLocally),
            Some((known, _)) if (known.requested_at, known.made_at) >= (fill.requested_at, fill.made_at) => {
                Err(DropReason::Outdated)
            }
            Some(_) => Ok(()),
            // Would be removed at once, unless it was requested later than some remembered fill.
            None if self.fills.len() >= self.rules.max_fills
                && self.by_request_time.first().is_some_and(|o| o.0 >= fill.requested_at) =>
            {
                Err(DropReason::Full)
            }
            None => Ok(()),
        }
    }

    /// All valid entries, with the fills requested last first.
    pub fn valid(&self, now: Ticks) -> (Vec<Fill>, Vec<Purge>) {
        let fills = self.by_request_time.iter().rev().filter_map(|(_, key)| Some(self.fills.get(key)?.0));
        let fills = fills.filter(|f| self.check_fill(now, f).is_ok()).collect();
        let purges = self.purges.iter().map(|(&(object, group), &at)| Purge { object, group, at });
        let mut purges: Vec<_> = purges.filter(|p| self.check_purge(now, p).is_ok()).collect();
        purges.sort_by_key(|p| (std::cmp::Reverse(p.at), p.object, p.group));
        (fills, purges)
    }

    /// All fills and their sources, valid or not; those requested last come last.
    pub fn entries(&self) -> impl Iterator<Item = (Fill, Source)> {
        self.by_request_time.iter().filter_map(|(_, key)| self.fills.get(key).copied())
    }

    /// To be called after a pause: entries that the front had seen itself count as if from a snapshot.
    pub fn demote_own(&mut self) {
        self.fills.values_mut().for_each(|f| f.1 = f.1.max(Source::Snapshot));
    }

    /// The number of fills from this source, valid or not.
    pub fn count(&self, source: Source) -> usize {
        self.fills.values().filter(|f| f.1 == source).count()
    }

    pub fn purge_count(&self) -> usize {
        self.purges.len()
    }
}
