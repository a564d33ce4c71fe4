//! The choice of a cache and of a source.

use super::*;

impl Front {
    /// Picks the member with the lowest `preference` (members without one are left out); among several, the
    /// one that the object hashes to. Weighted rendezvous hashing: a change of the set moves only the objects
    /// that it must.
    pub(super) fn pick_by_hash(
        &self,
        object: u64,
        set: &[MemberIndex],
        preference: impl Fn(MemberIndex) -> Option<u8>,
    ) -> Option<(u8, MemberIndex)> {
        let score =
            |m: MemberIndex| -hash::unit(object, self.members[m].id_hash).ln() / self.members[m].weight;
        let candidates = set.iter().filter_map(|&m| Some((preference(m)?, score(m), m)));
        candidates
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(preference, _, m)| (preference, m))
    }

    /// The first cache in the object's hash order that is healthy, below its in-flight limit and, if it is
    /// cold, within its budget. If there is none, an unhealthy cache is picked; if there is none of these
    /// either, a cache that has already had a push of this access.
    ///
    /// `Err(true)` if there is none because healthy caches are at their limits, `Err(false)` otherwise.
    pub(super) fn pick_cache(&self, now: Ticks, index: AccessIndex) -> Result<MemberIndex, bool> {
        let state = &self.accesses[index];
        let in_rotation = self
            .caches
            .iter()
            .map(|&c| &self.members[c])
            .filter(|m| m.ejected_until <= now && m.probation == 0);
        let (all, weights) =
            in_rotation.fold((1.0, 0.0), |(all, weights), m| (all + m.in_flight.count, weights + m.weight));
        // Under overload, an access that can't be answered in time is rejected before it uses capacity that
        // others could use in time.
        let crowded = |c: MemberIndex| self.limit_usage(now, c) >= state.limit_share;
        let best = self.pick_by_hash(state.access.object, &self.caches, |c| {
            if crowded(c) || !self.may_repeat_at(now, index, c) || !self.within_cold_budget(now, c, state) {
                return None;
            }
            let cache = &self.members[c];
            if state.pushes.iter().any(|p| p.target.0 == c && p.target.1 != c && !p.source_failed) {
                return Some(3);
            }
            if !self.is_healthy(now, c) {
                // A cache that can't be connected to is left out if the access may bypass the caches.
                return Some(2).filter(|_| cache.unanswered_pushes < u32::MAX || !self.features.cache_bypass);
            }
            // Consistent hashing with bounded loads: a cache with more than its share of the pushes in flight
            // is passed over. This covers slow and silent caches, popular objects and uneven hashing; it
            // costs second copies. The bound is a quarter above its share, and one push: a lower one moves
            // too many objects, a higher one leaves overloaded caches late.
            let share = all * cache.weight / f64::max(weights, cache.weight);
            Some(u8::from(cache.in_flight.count > 1.25 * share + 1.0))
        });
        best.map(|b| b.1).ok_or_else(|| self.caches.iter().any(|&c| self.is_healthy(now, c) && crowded(c)))
    }

    /// The source for a fill. With a hierarchy: the first of its fill routes that can be used and has not
    /// been tried.
    ///
    /// Without one: the parent that the object hashes to, in the same way at every front. Another parent
    /// takes its place only if that one is unhealthy, has failed this access, is cold and over its budget, or
    /// is at its in-flight limit. If no parent is fit, the origin comes next, within its own in-flight limit,
    /// so that it survives the loss of the parents; then a parent that is less than fit.
    pub(super) fn pick_source(
        &self,
        now: Ticks,
        index: AccessIndex,
        routes: &FillRoutes,
    ) -> Option<SourceChoice> {
        let state = &self.accesses[index];
        if routes.hierarchical {
            let usable = |m: MemberIndex| {
                self.is_healthy(now, m)
                    && self.within_cold_budget(now, m, state)
                    && self.limit_usage(now, m) < 1.0
            };
            let find_usable = |key: u64| {
                let mut sources = self.parents.iter().copied().chain(self.origin);
                sources.find(|&m| self.members[m].id_hash == key).filter(|&m| usable(m))
            };
            return routes.order.iter().find_map(|route| {
                let source = find_usable(route.key)?;
                let via_parent = match route.via_parent {
                    Some(key) if self.features.cache_bypass => {
                        Some(find_usable(key).filter(|&m| self.may_repeat_at(now, index, m))?)
                    }
                    _ => None,
                };
                // A push that its cache didn't accept says nothing about its source.
                let reached_cache =
                    |p: &SentPush| !matches!(p.outcome, Some(Outcome::Unreachable | Outcome::Full));
                let tried = state.pushes.iter().any(|p| {
                    p.target.1 == source && (route.only_if_cached || !p.only_if_cached) && reached_cache(p)
                });
                (!tried).then_some((source, route.only_if_cached, via_parent))
            });
        }
        let best = self.pick_by_hash(state.access.object, &self.parents, |m| match m {
            _ if !self.within_cold_budget(now, m, state) => None,
            _ if state.pushes.iter().any(|p| p.target.0 == m || p.target.1 == m) => Some(3),
            _ if !self.is_healthy(now, m) => Some(2),
            _ => Some(u8::from(self.limit_usage(now, m) >= 1.0)),
        });
        let origin = self.origin.filter(|&o| self.is_healthy(now, o) && self.limit_usage(now, o) < 1.0);
        let source = best.filter(|b| b.0 == 0).map(|b| b.1).or(origin).or(best.map(|b| b.1));
        source.map(|s| (s, false, None))
    }
}
