//! The record of fills and purges, from which the age of cached copies is estimated.

use super::*;

impl Front {
    /// The share of the fresh time that is left of a copy when caches begin to refresh it. They accept no
    /// refresh earlier than in the last fifth.
    pub(super) const REFRESH_THRESHOLD: f64 = 0.2;
    /// Enough for the parts that a front sees within some minutes. A part whose record was evicted is taken
    /// for just filled at its next access.
    pub(super) const MAX_FILL_RECORDS: usize = 1 << 16;
    /// A copy that this front has seen no access to for this long is taken for evicted: 5 s.
    const UNUSED_COPY_TICKS: Ticks = 50_000;
    /// The most purges remembered that have had time to reach all caches: some 15 minutes at 18 a second.
    const MAX_PURGE_RECORDS: usize = 1 << 14;
    /// How much longer than `purge_propagation` each purge is remembered at least: 1 ms.
    const PURGE_MARGIN_TICKS: Ticks = 10;

    /// Records an access, and estimates the state of the zone's copies: whether the caches most likely have
    /// none, the rank to store one at, and whether to refresh it in the background.
    pub(super) fn record_access(&mut self, now: Ticks, access: &Access) -> (bool, u8, bool) {
        let Offering { fresh_time, uncacheable, .. } = self.offerings[access.offering].settings;
        if uncacheable {
            return (false, 0, false);
        }
        let purged_at = self.purged_at(access).unwrap_or(0);
        let key = (access.object, access.part);
        if let Some(fill) = self.fills.get_mut(&key) {
            let fresh_left = (fill.filled_at + fresh_time).saturating_sub(now);
            if fill.filled_at < purged_at
                || (fresh_left == 0 && self.status_reporting != StatusReporting::All)
            {
                fill.filled_at = now;
            }
            let last_access_at = std::mem::replace(&mut fill.last_access_at, now);
            return (
                last_access_at + Self::UNUSED_COPY_TICKS < now,
                2,
                fresh_time > 0 && (fresh_left as f64) < Self::REFRESH_THRESHOLD * fresh_time as f64,
            );
        }
        self.fills.evict_while(|count, _| count >= Self::MAX_FILL_RECORDS);
        self.fills.insert(key, FillRecord { filled_at: now, last_access_at: now });
        // At the first access, a copy is stored at the lowest rank: one-off objects must not displace those
        // that are requested repeatedly.
        (true, 1, false)
    }

    /// Takes over a fill record that was made before this front started or by another front: when the copy
    /// was made and when its part was last accessed. A record that this front made itself since its start
    /// stays; the first answer corrects what is wrong.
    pub fn restore_fill(&mut self, now: Ticks, part: (u64, u32), filled_at: Ticks, last_access_at: Ticks) {
        if filled_at <= now && self.fills.get(&part).is_none() {
            self.fills.evict_while(|count, _| count >= Self::MAX_FILL_RECORDS);
            self.fills.insert(part, FillRecord { filled_at, last_access_at: last_access_at.min(now) });
        }
    }

    /// An object, or else a group, was purged this long ago.
    pub fn purge_received(&mut self, now: Ticks, object: Option<u64>, group: u64, ago: Ticks) {
        // One tick later, since both times were rounded down: no copy from before the purge may be accepted.
        let purged_at = (now + 1).saturating_sub(ago);
        let key = (object.is_some(), object.unwrap_or(group));
        let latest = self.purges.get(&key).map_or(purged_at, |&known| purged_at.max(known));
        self.purges.insert(key, latest);
        self.purges.evict_while(|count, &at| {
            count > Self::MAX_PURGE_RECORDS && at + self.purge_propagation + Self::PURGE_MARGIN_TICKS < now
        });
    }

    /// The latest known purge of an access's object or group. It counts also once it has had time to reach all
    /// caches: one that hung or was cut off meanwhile may still have an older copy.
    pub(super) fn purged_at(&self, access: &Access) -> Option<Ticks> {
        let (object, group) = ((true, access.object), (false, access.group));
        self.purges.get(&object).max(self.purges.get(&group)).copied()
    }
}
