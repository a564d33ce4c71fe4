//! One access: where it is sent next, and where a repeat of it may go.

use super::*;

impl AccessState {
    /// The pushes that may have run: all but those whose outcome proves the contrary.
    pub(super) fn possibly_run_pushes(&self) -> impl Iterator<Item = &SentPush> {
        self.pushes.iter().filter(|p| !p.outcome.is_some_and(Outcome::proves_unrun))
    }

    /// Two caches answered with an error of their own.
    pub(super) fn failed_twice(&self) -> bool {
        let failed = |p: &&SentPush| p.outcome == Some(Outcome::Error) && !p.source_failed;
        self.pushes.iter().filter(failed).count() > 1
    }
}

impl Front {
    /// For how long after the origin refused a request it is taken to refuse: 2 s.
    const ORIGIN_REFUSAL_TICKS: Ticks = 20_000;
    /// How often the fronts of a zone together find out, by one fill, whether the origin still refuses: in
    /// 0.2 s.
    const ORIGIN_PROBE_TICKS: f64 = 2_000.0;

    /// Takes on a new access: sends its first push, or ends it.
    pub fn access(&mut self, now: Ticks, access: &Access, effects: &mut dyn EffectSink) {
        let transfer_time = if access.kb > 0.0 && self.kb_per_tick > 0.0 {
            access.kb / self.kb_per_tick
        } else {
            self.offerings[access.offering].mean_transfer_time
        };
        self.record_transfer_time(access.offering, transfer_time);
        self.record_mean_access(access.offering);
        let offering = &self.offerings[access.offering];
        let soft_limit_at =
            now + offering.settings.soft_limit + (offering.settings.transfer_factor * transfer_time) as Ticks;
        let benefit_rate = self.benefit_rate(access.offering, transfer_time);
        self.record_benefit_rate(benefit_rate);
        // From half a limit to one and a half: under overload, the accesses with the lowest benefit for their
        // transfer time are rejected first.
        let limit_share = (0.5 + 0.5 * benefit_rate / self.mean_benefit_rate).min(1.5);
        // Each access earns a fifth of a retry: retries can't multiply the load when many pushes fail.
        self.retry_budget = (self.retry_budget + 0.2).min(20.0);
        let ((likely_miss, rank, refresh), sample) = (self.record_access(now, access), self.rng.f64());
        let (pushes, looked_up, avoid_origin, route_only_if_cached, done) =
            (ArrayVec::new(), false, false, false, false);
        let access = Access { deadline: access.deadline.min(self.shutdown_deadline), ..*access };
        let state = AccessState {
            access,
            transfer_time,
            soft_limit_at,
            limit_share,
            sample,
            likely_miss,
            rank,
            refresh,
            pushes,
            looked_up,
            avoid_origin,
            route_only_if_cached,
            done,
        };
        let index = self.accesses.insert(state);
        self.index_by_access.insert(access.id, index);
        self.dispatch(now, index, effects);
    }

    /// Sends the next push of an access, or ends the access if none can be sent.
    pub(super) fn dispatch(&mut self, now: Ticks, index: AccessIndex, effects: &mut dyn EffectSink) {
        let state = &self.accesses[index];
        let access = state.access;
        if state.pushes.len() >= self.max_pushes {
            return self.end_unserved(index, UnservedReason::OutOfPushes, effects);
        }
        if now + self.answer_margin >= access.deadline {
            return self.end_unserved(index, UnservedReason::OutOfTime, effects);
        }
        if self.offerings[access.offering].settings.uncacheable {
            let cache =
                if self.features.cache_bypass { self.origin } else { self.pick_cache(now, index).ok() };
            return match cache.filter(|&c| self.may_repeat_at(now, index, c)).zip(self.origin) {
                Some((cache, origin)) => {
                    self.send_push(now, index, (cache, origin), Self::after_push, effects)
                }
                None => self.end_unserved(index, UnservedReason::NoCache, effects),
            };
        }
        let routes = effects.fill_routes(&access, state.soft_limit_at);
        let choice = self.pick_source(now, index, &routes);
        let (source, route_only_if_cached) = (choice.map(|c| c.0), choice.is_some_and(|c| c.1));
        let via_parent = choice.and_then(|c| c.2);
        // Exception to the normal path: an overloaded inbound link stays overloaded, since fills that come
        // too late are not stored, and miss again. So fills have a limit of their own. From half of it on, or
        // without a source, an access is first looked up at its cache alone, and is filled only after a miss
        // and while the limit permits. This covers a slow or crowded link, parent or origin, purges, cold
        // zones and one-off objects; it costs a round trip.
        let fill_usage = self.fills_in_flight.mean(now, self.averaging_time) / self.fill_limit;
        let origin_refusing = now < self.origin_refused_at + Self::ORIGIN_REFUSAL_TICKS;
        // The budget of a cold parent, too, is only for what a lookup has missed.
        let source_cold = source.is_some_and(|s| self.cold_age(now, s).is_some());
        let fills_scarce = origin_refusing || source_cold || fill_usage >= 0.5;
        let fills_exhausted = if origin_refusing {
            now < self.origin_probe_at
        } else {
            fill_usage >= self.accesses[index].limit_share
        };
        let picked = self.pick_cache(now, index);
        // A cache that has just started holds nothing, and a lookup costs as much of its budget as a fill.
        let likely_empty = |c| self.cold_age(now, c).is_some_and(|(_, age)| age < 0.5);
        let looked_up = self.accesses[index].looked_up || source.is_some() && picked.is_ok_and(likely_empty);
        // While the origin refuses, a parent may serve only a copy that it holds. Otherwise, past the fill
        // limit, the access is filled from the origin, while that uses less than a tenth of its own limit:
        // slow parents lower the fill limit long before they can be distinguished from a slow link.
        let avoid_origin = looked_up && fills_exhausted && origin_refusing;
        let source = match looked_up && fills_exhausted {
            true if avoid_origin || route_only_if_cached => {
                source.filter(|&s| self.members[s].role == Role::Parent)
            }
            true if routes.hierarchical => None,
            true => self.origin.filter(|&o| self.is_healthy(now, o) && self.limit_usage(now, o) < 0.1),
            false => source,
        };
        (self.accesses[index].avoid_origin, self.accesses[index].route_only_if_cached) =
            (avoid_origin, route_only_if_cached);
        self.origin_probe_at = if fills_exhausted || !looked_up {
            self.origin_probe_at
        } else {
            now + (Self::ORIGIN_PROBE_TICKS * self.zone_fronts) as Ticks
        };
        match (picked, source) {
            (Ok(cache), source)
                if !looked_up && (fills_scarce || source.is_none() || via_parent.is_some()) =>
            {
                self.accesses[index].looked_up = true;
                self.send_push(now, index, (cache, cache), Self::after_lookup, effects)
            }
            // The object's new home takes over the copy of its former home. Where the push doesn't go through
            // a parent, it is also the lookup at the cache: a miss means that neither has a copy.
            (Ok(cache), Some(source)) if route_only_if_cached => {
                self.send_push(
                    now,
                    index,
                    (via_parent.unwrap_or(cache), source),
                    Self::after_lookup,
                    effects,
                );
                self.accesses[index].looked_up = true;
            }
            (Ok(cache), Some(source)) => {
                self.send_push(now, index, (cache, source), Self::after_push, effects)
            }
            // No cache of the zone is healthy, or all are cold: the access goes directly to the source, over
            // the same inbound link.
            (Err(false), Some(s))
                if self.features.cache_bypass
                    && !fills_exhausted
                    && !route_only_if_cached
                    && self.may_repeat_at(now, index, s) =>
            {
                let fill_source =
                    if self.members[s].role == Role::Parent { self.origin.unwrap_or(s) } else { s };
                self.send_push(now, index, (s, fill_source), Self::after_push, effects)
            }
            // The hierarchy's budget of fills from the origin is used up, but will permit one in time.
            (Ok(_), None) if routes.retry_at.is_some_and(|at| at < self.wait_deadline(index)) => {
                let number = self.accesses[index].pushes.len() as u64;
                effects.set_timer(routes.retry_at.map_or(now, |at| at.max(now + 1)), access.id << 4 | number);
            }
            (Err(true), _) => self.end_unserved(index, UnservedReason::Crowded, effects),
            (Err(false), _) => self.end_unserved(index, UnservedReason::NoCache, effects),
            (Ok(_), None) => self.end_unserved(index, UnservedReason::NoSource, effects),
        }
    }

    /// Until when an access may wait for a fill route before it is pushed.
    pub(super) fn wait_deadline(&self, index: AccessIndex) -> Ticks {
        let state = &self.accesses[index];
        state.soft_limit_at.min(state.access.deadline.saturating_sub(self.answer_margin))
    }

    /// The repeat policy of one access. Without an identifier, no cache can recognise a repeat of it.
    pub fn repeat_policy(&self, access: &Access) -> RepeatPolicy {
        match self.offerings[access.offering].settings.repeat_policy {
            RepeatPolicy::Deduplicated { .. } if !access.has_repeat_id => RepeatPolicy::Unrepeatable,
            policy => policy,
        }
    }

    /// Whether a push may be sent to this cache now, after the earlier ones that may have run: an
    /// unrepeatable access may not be sent again, a deduplicated one only within the group and the time that
    /// deduplicate it.
    pub(super) fn may_repeat_at(&self, now: Ticks, index: AccessIndex, cache: MemberIndex) -> bool {
        let state = &self.accesses[index];
        let policy = self.repeat_policy(&state.access);
        now < self.send_deadline(index)
            && state.possibly_run_pushes().all(|p| match policy {
                RepeatPolicy::Idempotent => true,
                RepeatPolicy::Unrepeatable => false,
                RepeatPolicy::Deduplicated { within, .. } => {
                    let (a, b) = (&self.members[p.target.0], &self.members[cache]);
                    match within {
                        Group::All => true,
                        Group::Zone => a.zone == b.zone,
                        Group::Cell => (a.zone, a.cell, a.role) == (b.zone, b.cell, b.role),
                    }
                }
            })
    }

    /// Until when a further push may be sent: as long as caches remember each earlier one that may have run.
    pub(super) fn send_deadline(&self, index: AccessIndex) -> Ticks {
        let state = &self.accesses[index];
        match self.repeat_policy(&state.access) {
            RepeatPolicy::Deduplicated { window, .. } => {
                state.possibly_run_pushes().map(|p| p.sent_at + window).min()
            }
            _ => None,
        }
        .unwrap_or(state.access.deadline)
    }
}
