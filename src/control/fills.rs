//! Fills and purges remembered: the design's estimate.

use super::*;

impl Front {
    /// Retrieval threshold, a share of the fresh time: the cap; caches renew only in the last fifth.
    pub(super) const BETA: f64 = 0.2;
    /// Some minutes of distinct parts at a front; a part that was dropped is taken for just filled.
    pub(super) const MOST_FILLS: usize = 1 << 16;

    /// The design's estimate for this part: whether the zone's caches most likely lack it (not seen here for
    /// as long as copies are likely kept unused: a guess), its rank, and whether to renew it behind.
    pub(super) fn remember(&mut self, now: Ticks, a: &Access) -> (bool, u8, bool) {
        let Offering { fresh_time: fresh, uncacheable, .. } = self.classes[a.offering].of;
        if uncacheable {
            return (false, 0, false);
        }
        let purged = self.purged_at(now, a).unwrap_or(0);
        let key = (a.object, a.part);
        if let Some(fill) = self.fills.get_mut(&key) {
            let left = (fill.at + fresh).saturating_sub(now);
            if fill.at < purged || (left == 0 && self.notes != StatusReporting::All) {
                fill.at = now;
            }
            let seen = std::mem::replace(&mut fill.seen, now);
            return (seen + 50_000 < now, 2, fresh > 0 && (left as f64) < Self::BETA * fresh as f64);
        }
        self.fills.shed(|count, _| count >= Self::MOST_FILLS);
        self.fills.put(key, Fill { at: now, seen: now });
        // One-off objects must not displace what is wanted again: a first sight is kept at the lowest rank.
        (true, 1, false)
    }

    /// Known from before the start, or to others: when a part's copy was made, and asked for last. What this
    /// front has seen since its start stays; the first answer corrects what is wrong.
    pub fn restore_fill(&mut self, now: Ticks, part: (u64, u32), made: Ticks, seen: Ticks) {
        if made <= now && self.fills.get(&part).is_none() {
            self.fills.shed(|count, _| count >= Self::MOST_FILLS);
            self.fills.put(part, Fill { at: made, seen: seen.min(now) });
        }
    }

    pub fn purge_received(&mut self, now: Ticks, object: Option<u64>, group: u64, ago: Ticks) {
        // One up: both times were rounded down, and the bound must never reach behind the purge.
        let at = (now + 1).saturating_sub(ago);
        let key = (object.is_some(), object.unwrap_or(group));
        let latest = self.purges.get(&key).map_or(at, |&known| at.max(known));
        self.purges.put(key, latest);
        self.purges.shed(|_, &at| at + self.purge_done + 10 < now);
    }

    /// The latest purge that may still leave older copies about; past `purge_done` and a tick they are gone.
    pub(super) fn purged_at(&self, now: Ticks, a: &Access) -> Option<Ticks> {
        let at = self.purges.get(&(true, a.object)).max(self.purges.get(&(false, a.group))).copied();
        at.filter(|at| now <= at + self.purge_done + 10)
    }
}
