//! What is remembered now, and what may be taken into it.

use std::collections::{BTreeSet, HashMap};

use doorgrade::Ticks;

use crate::{Fill, MOST_PURGES, Purge, Rules, Source, Tally, Why};

/// Clocks of one site differ by less; a time later than now by more is of a clock that was set back, or a lie.
const OFF: Ticks = 500;

type Key = (u16, u64, u32);

fn key(fill: &Fill) -> Key {
    (fill.offering, fill.object, fill.part)
}

#[derive(Clone)]
pub struct Memory {
    rules: Rules,
    fills: HashMap<Key, (Fill, Source)>,
    /// The same by when they were asked for.
    order: BTreeSet<(Ticks, Key)>,
    purges: HashMap<(Option<u64>, u16), Ticks>,
}

impl Memory {
    pub fn new(rules: Rules) -> Memory {
        Memory { rules, fills: HashMap::new(), order: BTreeSet::new(), purges: HashMap::new() }
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Whether a fill is of any use at this time. A purge ends what is older for good: once it is done no such copy is
    /// left, so whoever tells of one tells what is no longer so.
    fn holds(&self, now: Ticks, fill: &Fill) -> Result<(), Why> {
        let fresh = self.rules.fresh.get(usize::from(fill.offering)).copied().unwrap_or(0);
        let purged = |key| self.purges.get(&key).is_some_and(|&at| fill.made < at);
        if fresh == 0 {
            Err(Why::Foreign)
        } else if fill.made > now + OFF || fill.seen > now + OFF {
            Err(Why::Future)
        } else if fill.made + fresh <= now {
            Err(Why::Ended)
        } else if purged((Some(fill.object), fill.group)) || purged((None, fill.group)) {
            Err(Why::Purged)
        } else {
            Ok(())
        }
    }

    fn purge_holds(&self, now: Ticks, purge: &Purge) -> Result<(), Why> {
        if purge.at > now + OFF {
            Err(Why::Future)
        } else if purge.at + self.rules.purge_done <= now {
            Err(Why::Ended)
        } else {
            Ok(())
        }
    }

    /// The front has seen an answer itself.
    pub fn saw(&mut self, now: Ticks, fill: Fill) {
        if self.holds(now, &fill).is_ok() {
            self.put(fill, Source::Own);
        }
    }

    /// The front was told of a purge, by whoever tells it of them.
    pub fn purged(&mut self, now: Ticks, purge: Purge) {
        if self.purge_holds(now, &purge).is_ok() {
            self.keep(now, purge);
        }
    }

    fn put(&mut self, fill: Fill, source: Source) {
        if let Some((old, _)) = self.fills.insert(key(&fill), (fill, source)) {
            self.order.remove(&(old.seen, key(&old)));
        }
        self.order.insert((fill.seen, key(&fill)));
        while self.fills.len() > self.rules.most {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.fills.remove(&oldest);
        }
    }

    fn keep(&mut self, now: Ticks, purge: Purge) -> bool {
        let done = self.rules.purge_done;
        if self.purges.len() >= MOST_PURGES {
            self.purges.retain(|_, at| *at + done > now);
        }
        let room = self.purges.len() < MOST_PURGES;
        let known = self.purges.get(&(purge.object, purge.group)).copied();
        let later = known.is_none_or(|at| at < purge.at);
        if later && (room || known.is_some()) {
            self.purges.insert((purge.object, purge.group), purge.at);
        }
        later && room
    }

    /// Word of others, or of this front before its start: what of it holds is remembered, and is for the front to hear.
    /// Purges first: they end what else is told in the same breath.
    pub fn hear(
        &mut self,
        now: Ticks,
        source: Source,
        fills: &[Fill],
        purges: &[Purge],
    ) -> (Vec<Fill>, Vec<Purge>, Tally) {
        let mut tally = Tally::default();
        let mut news = (Vec::new(), Vec::new());
        for &purge in purges {
            match self.purge_holds(now, &purge) {
                Err(why) => tally.drop(why),
                Ok(()) if self.keep(now, purge) => {
                    tally.purges += 1;
                    news.1.push(purge);
                }
                Ok(()) => tally.drop(Why::Older),
            }
        }
        for fill in fills {
            // Asked for by another at a time of its clock: not later than now.
            let fill = Fill { seen: fill.seen.min(now), ..*fill };
            match self.weigh(now, source, &fill) {
                Err(why) => tally.drop(why),
                Ok(()) => {
                    self.put(fill, source);
                    tally.fills += 1;
                    news.0.push(fill);
                }
            }
        }
        (news.0, news.1, tally)
    }

    /// What the front has seen itself is not overruled, whatever time it is of; of second-hand words the one of who saw
    /// the part last goes, and of equal ones the younger copy.
    fn weigh(&self, now: Ticks, source: Source, fill: &Fill) -> Result<(), Why> {
        self.holds(now, fill)?;
        match self.fills.get(&key(fill)) {
            Some((_, Source::Own)) if source != Source::Own => Err(Why::Known),
            Some((known, _)) if (known.seen, known.made) >= (fill.seen, fill.made) => Err(Why::Older),
            Some(_) => Ok(()),
            // Only what was asked for later than all that is remembered would stay.
            None if self.fills.len() >= self.rules.most
                && self.order.first().is_some_and(|o| o.0 >= fill.seen) =>
            {
                Err(Why::Full)
            }
            None => Ok(()),
        }
    }

    /// All that holds now, what was asked for last first.
    pub fn all(&self, now: Ticks) -> (Vec<Fill>, Vec<Purge>) {
        let fills = self.order.iter().rev().filter_map(|(_, key)| Some(self.fills.get(key)?.0));
        let fills = fills.filter(|f| self.holds(now, f).is_ok()).collect();
        let purges = self.purges.iter().map(|(&(object, group), &at)| Purge { object, group, at });
        let mut purges: Vec<_> = purges.filter(|p| self.purge_holds(now, p).is_ok()).collect();
        purges.sort_by_key(|p| (std::cmp::Reverse(p.at), p.object, p.group));
        (fills, purges)
    }

    /// All parts that are known, over or not, from whom; those asked for last at the end.
    pub fn known(&self) -> impl Iterator<Item = (Fill, Source)> {
        self.order.iter().filter_map(|(_, key)| self.fills.get(key).copied())
    }

    /// The front was stopped: what it had seen itself is from before, as a snapshot is.
    pub fn slept(&mut self) {
        self.fills.values_mut().for_each(|f| f.1 = f.1.max(Source::Snapshot));
    }

    /// How many parts are known from whom, over or not.
    pub fn count(&self, source: Source) -> usize {
        self.fills.values().filter(|f| f.1 == source).count()
    }

    pub fn purges(&self) -> usize {
        self.purges.len()
    }
}
