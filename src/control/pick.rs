//! Which cache and which source.

use super::*;

impl Front {
    /// The lowest rank's first in the object's order: weighted rendezvous, so lists move only what they must.
    pub(super) fn first(
        &self,
        object: u64,
        set: &[usize],
        rank: impl Fn(usize) -> Option<u8>,
    ) -> Option<(u8, usize)> {
        let draw = |c: usize| -hash::unit(object, self.peers[c].hash).ln() / self.peers[c].weight;
        let ranked = set.iter().filter_map(|&c| Some((rank(c)?, draw(c), c)));
        ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(rank, _, c)| (rank, c))
    }

    /// The first cache in the object's order that is well, has room, and if cold stays within its budget.
    /// Where there is none: whether a well one was merely crowded.
    pub(super) fn pick_cache(&self, now: Ticks, place: usize) -> Result<usize, bool> {
        let h = &self.held[place];
        let likes =
            self.caches.iter().map(|&c| &self.peers[c]).filter(|p| p.held_until <= now && p.trial == 0);
        let (all, weights) = likes.fold((1.0, 0.0), |(all, w), p| (all + p.out.count, w + p.weight));
        // Overload: what can't be answered in time is turned down before it takes up what could be.
        let crowded = |c: usize| self.used(now, c) >= h.keen;
        let best = self.first(h.access.object, &self.caches, |c| {
            if crowded(c) || !self.may_repeat_at(now, place, c) || !self.cold_room(now, c, h) {
                return None;
            }
            let p = &self.peers[c];
            if h.sent.iter().any(|s| s.to.0 == c && s.to.1 != c && !s.source_failed) {
                return Some(3);
            }
            if !self.well(now, c) {
                // Nobody there: straight to the source, where that may be.
                return Some(2).filter(|_| p.hush < u32::MAX || !self.may.cache_bypass);
            }
            // Hashing with bounded loads: a cache with well over its share of unanswered work is passed over.
            // Covers slow and silent caches, hot objects, uneven hashing; costs second copies. A quarter over
            // its share and one push: less spills too much, more leaves hot caches late.
            let share = all * p.weight / f64::max(weights, p.weight);
            Some(u8::from(p.out.count > 1.25 * share + 1.0))
        });
        best.map(|b| b.1).ok_or_else(|| self.caches.iter().any(|&c| self.well(now, c) && crowded(c)))
    }

    /// The object's first parent in one hash over all listed parents; past it only where that one is ill,
    /// failed this access, is cold and over budget, or has more out than it answers in time. Then the origin,
    /// within its own limit, so that it outlives the loss of the parents.
    /// Where ways are given: the first of them that is fit and not tried.
    pub(super) fn pick_source(&self, now: Ticks, place: usize, ways: &FillRoutes) -> Option<Source> {
        let h = &self.held[place];
        if ways.hierarchical {
            let fit = |c: usize| self.well(now, c) && self.cold_room(now, c, h) && self.used(now, c) < 1.0;
            let known = |key: u64| {
                let mut sources = self.parents.iter().copied().chain(self.origin);
                sources.find(|&c| self.peers[c].hash == key).filter(|&c| fit(c))
            };
            return ways.order.iter().find_map(|w| {
                let c = known(w.key)?;
                let through = match w.via_parent {
                    Some(key) if self.may.cache_bypass => {
                        Some(known(key).filter(|&t| self.may_repeat_at(now, place, t))?)
                    }
                    _ => None,
                };
                // One that a push named in vain, but not where it was the cache that could not be asked.
                let vain = |s: &Sent| !matches!(s.ended, Some(Outcome::Unreachable | Outcome::Full));
                let tried = h.sent.iter().any(|s| s.to.1 == c && (w.only_if_cached || !s.kept) && vain(s));
                (!tried).then_some((c, w.only_if_cached, through))
            });
        }
        let best = self.first(h.access.object, &self.parents, |c| match c {
            _ if !self.cold_room(now, c, h) => None,
            _ if h.sent.iter().any(|s| s.to.0 == c || s.to.1 == c) => Some(3),
            _ if !self.well(now, c) => Some(2),
            _ => Some(u8::from(self.used(now, c) >= 1.0)),
        });
        let origin = self.origin.filter(|&o| self.well(now, o) && self.used(now, o) < 1.0);
        let source = best.filter(|b| b.0 == 0).map(|b| b.1).or(origin).or(best.map(|b| b.1));
        source.map(|s| (s, false, None))
    }
}
