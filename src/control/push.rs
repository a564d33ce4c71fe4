//! A push from when it is sent, and what follows when it is overdue or has ended.

use super::*;

impl Front {
    /// Sends a push of an access. `on_end` continues the access if the push ends without completing it.
    pub(super) fn send_push(
        &mut self,
        now: Ticks,
        index: AccessIndex,
        target: PushTarget,
        on_end: PushEndHandler,
        effects: &mut dyn EffectSink,
    ) {
        let state = &self.accesses[index];
        let AccessState { access, likely_miss, rank, refresh, .. } = *state;
        let only_if_cached = state.avoid_origin || state.route_only_if_cached;
        let offering = &self.offerings[access.offering];
        let (work, uncacheable) = (self.work(access.offering), offering.settings.uncacheable);
        const FRESHNESS_MARGIN: Ticks = 0; // copies serve up to the end of their fresh time
        let mut max_age = offering.settings.fresh_time.saturating_sub(FRESHNESS_MARGIN);
        if let Some(purged_at) = self.purged_at(&access) {
            // Once this front knows of a purge, it accepts nothing older. At least 1, since 0 would mean any
            // age.
            let since = now.saturating_sub(purged_at).max(1);
            max_age = if max_age == 0 { since } else { max_age.min(since) };
        }
        if !uncacheable {
            // A push is overdue after four tenths of the soft limit and one and a half times its transfer
            // time, scaled by what this offering needs; but always before the soft limit, so that time is
            // left to send the access elsewhere.
            let soft_limit = offering.settings.soft_limit as f64;
            let overdue_after = offering.overdue_factor * (0.4 * soft_limit + 1.5 * state.transfer_time);
            let overdue_after = overdue_after
                .min(0.9 * (soft_limit + offering.settings.transfer_factor * state.transfer_time))
                as Ticks;
            effects.set_timer(now + overdue_after, access.id << 4 | state.pushes.len() as u64);
        }
        let bypasses_cache = self.members[target.0].role != Role::Cache;
        let needs_fill =
            !uncacheable && (bypasses_cache || target.0 != target.1 && (state.looked_up || likely_miss));
        self.fills_in_flight.add(now, self.averaging_time, f64::from(u8::from(needs_fill)));
        for m in members_of(target) {
            let leak_rate = self.cold_budget(now, m).map_or(0.0, |b| Self::COLD_STEADY_SHARE * b.1);
            let member = &mut self.members[m];
            member.in_flight.add(now, self.averaging_time, 1.0);
            member.cold_spent =
                DecayingSum { sum: member.cold_spent.remaining(now, leak_rate) + work, updated_at: now };
        }
        let (outcome, send_deadline, counted) = (None, self.send_deadline(index), true);
        let (sent_at, overdue, source_failed) = (now, false, false);
        let push = SentPush {
            target,
            sent_at,
            outcome,
            overdue,
            needs_fill,
            counted,
            source_failed,
            only_if_cached,
            on_end,
        };
        self.accesses[index].pushes.push(push);
        let (cache, source) = (&*self.members[target.0].id, &*self.members[target.1].id);
        let (timeout, join_fill) =
            (access.deadline - self.answer_margin - now, self.features.join_fills && !uncacheable);
        effects.push(&Push {
            access: access.id,
            cache,
            source,
            timeout,
            send_deadline,
            max_age,
            rank,
            join_fill,
            refresh,
            only_if_cached,
        });
    }

    /// Takes the result of a push, and sends the next push of its access if one is needed.
    pub fn push_ended(
        &mut self,
        now: Ticks,
        id: AccessId,
        result: &PushResult,
        effects: &mut dyn EffectSink,
    ) {
        let Some(&index) = self.index_by_access.get(&id) else { return };
        let Some(push) = self.accesses[index].pushes.get_mut(result.push).filter(|p| p.outcome.is_none())
        else {
            return;
        };
        push.outcome = Some(result.outcome);
        let SentPush { target, on_end, .. } = *push;
        self.uncount_in_flight(now, index, result.push);
        if matches!(result.outcome, Outcome::Handled | Outcome::Error | Outcome::Full | Outcome::Miss) {
            self.record_answer(now, target.0);
        }
        self.record_result(now, index, target, result, effects);
        let done = self.accesses[index].done;
        if result.access_done && !done {
            self.mark_done(index, effects);
        } else if !done {
            on_end(self, now, index, result, effects);
        }
        self.remove_if_finished(index);
    }

    /// Takes a push out of the in-flight counts: it has ended, or it hangs and puts no load on its members.
    pub(super) fn uncount_in_flight(&mut self, now: Ticks, index: AccessIndex, number: usize) {
        let push = &mut self.accesses[index].pushes[number];
        if std::mem::take(&mut push.counted) {
            self.fills_in_flight.add(now, self.averaging_time, -f64::from(u8::from(push.needs_fill)));
            members_of(push.target)
                .for_each(|m| self.members[m].in_flight.add(now, self.averaging_time, -1.0));
        }
    }

    /// After a lookup: a miss leads to the next push and costs none of the retry budget.
    pub(super) fn after_lookup(
        &mut self,
        now: Ticks,
        index: AccessIndex,
        result: &PushResult,
        effects: &mut dyn EffectSink,
    ) {
        match result.outcome {
            Outcome::Miss => self.dispatch(now, index, effects),
            _ => self.after_push(now, index, result, effects),
        }
    }

    /// After a push that failed: sends the access again, or ends it if that would be in vain. Does nothing
    /// while another of its pushes is in flight.
    pub(super) fn after_push(
        &mut self,
        now: Ticks,
        index: AccessIndex,
        result: &PushResult,
        effects: &mut dyn EffectSink,
    ) {
        if self.accesses[index].pushes.iter().any(|p| p.outcome.is_none()) {
            return;
        }
        let cost = if result.outcome.proves_unrun() { 0.25 } else { 1.0 };
        let state = &self.accesses[index];
        let reason = match result.cache_status {
            _ if self.retry_budget < cost => Some(UnservedReason::NoSparePushes),
            CacheStatus::OriginFailed => Some(UnservedReason::OriginFailed),
            _ if state.avoid_origin => Some(UnservedReason::NotHeld),
            _ if state.failed_twice() => Some(UnservedReason::FailedTwice),
            _ => None,
        };
        if let Some(reason) = reason {
            return self.end_unserved(index, reason, effects);
        }
        self.retry_budget -= cost;
        self.dispatch(now, index, effects);
    }

    /// A push is in flight for longer than usual. This counts against all members that it names. If one of
    /// them is unhealthy, or the push is lost or stuck, the access is sent again.
    pub(super) fn push_overdue(
        &mut self,
        now: Ticks,
        index: AccessIndex,
        number: usize,
        effects: &mut dyn EffectSink,
    ) {
        let state = &mut self.accesses[index];
        // Twice the time from the first push to the end of the soft limit.
        let (access, soft_limit_at, twice_soft_limit_at) =
            (state.access, state.soft_limit_at, 2 * state.soft_limit_at - state.pushes[0].sent_at);
        if now >= twice_soft_limit_at {
            // Few answers are late, and the cache has given others since. So the load is not the cause: the
            // request or its connection hangs, and the push need not use up capacity until it times out.
            // Under overload, where all answers are late, it goes on counting.
            if self.late_rate < 0.125
                && self.members[state.pushes[number].target.0].throughput.updated_at
                    > state.pushes[number].sent_at
            {
                self.uncount_in_flight(now, index, number);
            }
            return;
        }
        let is_last = state.pushes.len() == number + 1;
        let SentPush { target: target @ (cache, source), sent_at, needs_fill, .. } = state.pushes[number];
        // Where an eighth of the pushes vanish while their caches answer others, an overdue push is taken for
        // lost: it counts against no member and is withdrawn. Where next to no answer is late, a push that
        // has used half of its soft limit is taken for stuck: the access is sent a second time. Neither
        // lowers a limit. This covers answers that never come.
        let lost = self.lost_rate > 0.125 && self.members[cache].answered_at > sent_at;
        let halfway = (sent_at + soft_limit_at) / 2;
        let status_reported = self.status_reporting == StatusReporting::All;
        let seems_healthy = |m: MemberIndex| {
            self.members[m].answered_at > sent_at
                || status_reported && m != cache && self.members[m].failure_rate < 0.3
        };
        let stuck =
            self.late_rate < Self::LOW_LATE_RATE && now >= halfway && members_of(target).all(seems_healthy);
        if !std::mem::replace(&mut state.pushes[number].overdue, true) && !lost {
            let unanswered = u32::from(self.members[cache].answered_at < sent_at);
            self.members[cache].unanswered_pushes =
                self.members[cache].unanswered_pushes.saturating_add(unanswered);
            members_of(target).for_each(|m| self.record_failure(now, m, Self::FAILURE_WEIGHT, effects));
        }
        if now >= soft_limit_at && !lost && !stuck {
            if needs_fill && !members_of(target).any(|m| self.failure_rate_excess(now, m) > 0.0) {
                // At least four fills in the zone, so that it shows when fills are fast again.
                self.fill_limit = (self.fill_limit * Self::LIMIT_DECREASE_FACTOR).max(4.0 / self.zone_fronts);
            }
            members_of(target).for_each(|m| self.lower_limit(m, needs_fill && m == cache));
        }
        let source_unhealthy = source != cache && !self.is_healthy(now, source);
        let send_again = lost || stuck || source_unhealthy || !self.is_healthy(now, cache);
        let idempotent = self.offerings[access.offering].settings.repeat_policy == RepeatPolicy::Idempotent;
        if send_again && is_last && idempotent && self.retry_budget >= 1.0 && self.features.hedged_pushes {
            self.retry_budget -= 1.0;
            self.accesses[index].pushes[number].source_failed = source_unhealthy;
            if self.features.cancel_pushes && (lost || !stuck) {
                effects.cancel_push(access.id, number);
            }
            self.dispatch(now, index, effects);
        } else {
            // Checks again once it has been in flight for twice as long as now, at the latest when half of
            // its soft limit is used, and then when the soft limit ends.
            let latest = if now < halfway { halfway } else { soft_limit_at };
            let next_check_at = if now < soft_limit_at {
                latest.min(now + (now - sent_at).max(20))
            } else {
                twice_soft_limit_at
            };
            effects.set_timer(next_check_at, access.id << 4 | number as u64);
        }
    }

    /// Ends an access without a response: declined if the client may safely send it again, otherwise given
    /// up.
    pub(super) fn end_unserved(
        &mut self,
        index: AccessIndex,
        reason: UnservedReason,
        effects: &mut dyn EffectSink,
    ) {
        let state = &self.accesses[index];
        let safe_to_repeat = match self.repeat_policy(&state.access) {
            RepeatPolicy::Idempotent | RepeatPolicy::Deduplicated { within: Group::All, .. } => true,
            _ => state.pushes.iter().all(|p| p.outcome.is_some_and(Outcome::proves_unrun)),
        };
        if safe_to_repeat {
            // It gives no time to wait before a retry, though clients might obey one: their own backoff
            // spreads them, and a client that comes back later has less of its soft limit left.
            effects.decline(state.access.id, reason);
        } else {
            effects.give_up(state.access.id, reason);
        }
        self.mark_done(index, effects);
        self.remove_if_finished(index);
    }

    /// Marks an access as done and cancels its pushes in flight, if it is idempotent.
    pub(super) fn mark_done(&mut self, index: AccessIndex, effects: &mut dyn EffectSink) {
        let state = &mut self.accesses[index];
        state.done = true;
        if self.features.cancel_pushes
            && self.offerings[state.access.offering].settings.repeat_policy == RepeatPolicy::Idempotent
        {
            let in_flight = (0..state.pushes.len()).filter(|&n| state.pushes[n].outcome.is_none());
            in_flight.for_each(|n| effects.cancel_push(state.access.id, n));
        }
    }

    /// Removes the state of an access that is done and has no push in flight.
    pub(super) fn remove_if_finished(&mut self, index: AccessIndex) {
        let finished = |s: &&AccessState| s.done && s.pushes.iter().all(|p| p.outcome.is_some());
        if let Some(state) = self.accesses.get(index).filter(finished) {
            self.index_by_access.remove(&state.access.id);
            self.accesses.remove(index);
        }
    }

    /// A timer set by [`EffectSink::set_timer`] has fired.
    pub fn timer_fired(&mut self, now: Ticks, key: u64, effects: &mut dyn EffectSink) {
        if key == MEMBER_LIST_TIMER {
            return effects.request_member_list();
        }
        let Some(&index) = self.index_by_access.get(&(key >> 4)) else { return };
        let (state, number) = (&self.accesses[index], (key & 15) as usize);
        if !state.done && state.pushes.get(number).is_some_and(|p| p.outcome.is_none()) {
            self.push_overdue(now, index, number, effects);
        } else if !state.done
            && number == state.pushes.len()
            && state.pushes.iter().all(|p| p.outcome.is_some())
        {
            self.dispatch(now, index, effects); // it has waited for a fill route
        }
    }

    /// The client has left: the access needs no response any more.
    pub fn client_left(&mut self, id: AccessId, effects: &mut dyn EffectSink) {
        let Some(&index) = self.index_by_access.get(&id) else { return };
        self.mark_done(index, effects);
        self.remove_if_finished(index);
    }

    /// The response has started to stream to the client: no further push is needed.
    pub fn stream_started(&mut self, id: AccessId) {
        self.index_by_access.get(&id).into_iter().for_each(|&index| self.accesses[index].done = true);
    }

    /// The front shuts down at this time: no push is sent or waited for after it.
    pub fn set_shutdown_deadline(&mut self, at: Ticks) {
        self.shutdown_deadline = at;
        self.accesses.iter_mut().for_each(|(_, s)| s.access.deadline = s.access.deadline.min(at));
    }

    /// The front stops now: ends every access that isn't done.
    pub fn stop(&mut self, effects: &mut dyn EffectSink) {
        let open: Vec<_> = self.accesses.iter().filter(|(_, s)| !s.done).map(|(index, _)| index).collect();
        open.into_iter().for_each(|index| self.end_unserved(index, UnservedReason::FrontEnds, effects));
    }
}
