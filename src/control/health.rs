//! The health of members, and the in-flight limit of each.

use super::*;

impl Front {
    /// The weight of one push in a member's failure rate: the last dozen or two count.
    pub(super) const FAILURE_WEIGHT: f64 = 1.0 / 16.0;
    /// How long a member is ejected at first (some round trips and a reconnect), and at most.
    pub(super) const EJECTION_TICKS: [Ticks; 2] = [2_500, 10_000];
    /// Limits follow what is answered in time: each answer in time while at least half of a limit is in use
    /// raises it by this, divided by the zone's fronts; each late push multiplies it by
    /// `LIMIT_DECREASE_FACTOR`. A limit is this front's part of the zone's, which is at least two. A late
    /// fill lowers the limit of its cache less, the more fronts share the inbound link.
    pub(super) const LIMIT_INCREASE: f64 = 0.1;
    pub(super) const LIMIT_DECREASE_FACTOR: f64 = 0.9;
    /// While a smaller share of the answered pushes is late, limits rise four times as fast.
    pub(super) const LOW_LATE_RATE: f64 = 0.002;

    /// A member is compared with those of its peers that answered within this time: 2 s.
    const RECENT_ANSWER_TICKS: Ticks = 20_000;
    /// A member that answers after a longer silence is taken for restarted: 1 s.
    const SILENCE_TICKS: Ticks = 10_000;

    /// Lowers a member's in-flight limit after a late push; `filled` if it is the cache of a fill.
    pub(super) fn lower_limit(&mut self, member: MemberIndex, filled: bool) {
        let factor = if filled {
            Self::LIMIT_DECREASE_FACTOR.powf(1.0 / self.zone_fronts.sqrt())
        } else {
            Self::LIMIT_DECREASE_FACTOR
        };
        self.members[member].limit = (self.members[member].limit * factor).max(2.0 / self.zone_fronts);
    }

    /// The share of a member's in-flight limit that is in use.
    pub(super) fn limit_usage(&self, now: Ticks, member: MemberIndex) -> f64 {
        self.members[member].in_flight.mean(now, self.averaging_time) / self.members[member].limit
    }

    /// Learns from the result of a push: the health and the limits of its members, the age of the copy, the
    /// transfer time.
    pub(super) fn record_result(
        &mut self,
        now: Ticks,
        index: AccessIndex,
        target: PushTarget,
        result: &PushResult,
        effects: &mut dyn EffectSink,
    ) {
        let (cache, source) = target;
        let state = &mut self.accesses[index];
        let (access, sent_at) = (state.access, state.pushes[result.push].sent_at);
        // The push itself took longer than the whole soft limit.
        let late = now + state.pushes[0].sent_at > state.soft_limit_at + sent_at;
        let push = &mut state.pushes[result.push];
        match result.outcome {
            Outcome::Handled => {
                let in_time = now <= state.soft_limit_at;
                let increase = if self.late_rate < Self::LOW_LATE_RATE { 4.0 } else { 1.0 }
                    * Self::LIMIT_INCREASE
                    / self.zone_fronts;
                self.lost_rate -= self.lost_rate / 32.0;
                self.late_rate += (f64::from(u8::from(late)) - self.late_rate) / 32.0;
                let filled = matches!(result.cache_status, CacheStatus::Filled | CacheStatus::FilledByOrigin);
                // An answer says how old its copy is, whoever filled it, so a restarted front learns that
                // from the first one. Clocks differ: a time that is off by more than the refresh threshold,
                // in the future or older than the push accepted, counts as unknown; a smaller error moves a
                // refresh by as much.
                let fresh_time = self.offerings[access.offering].settings.fresh_time;
                let tolerance = (Self::REFRESH_THRESHOLD * fresh_time as f64) as Ticks;
                let reported_fill = result
                    .origin_sent_at
                    .filter(|&t| t <= now + tolerance && sent_at <= t + fresh_time + tolerance)
                    .map(|t| t.min(now));
                let filled_at = reported_fill.or(filled.then_some(now));
                if let Some((fill, filled_at)) =
                    self.fills.get_mut(&(access.object, access.part)).zip(filled_at)
                {
                    fill.filled_at = filled_at;
                }
                let offering = &mut self.offerings[access.offering];
                // Balanced where 1 push in 20 is overdue: the factor then grows as much as it shrinks.
                offering.overdue_factor =
                    (offering.overdue_factor * if push.overdue { 1.02 } else { 0.999 }).clamp(0.5, 2.0);
                let needs_fill = push.needs_fill;
                if access.kb == 0.0 || self.kb_per_tick == 0.0 {
                    self.record_transfer_time(access.offering, result.latency as f64);
                }
                if in_time
                    && needs_fill
                    && self.fills_in_flight.mean(now, self.averaging_time) >= 0.5 * self.fill_limit
                {
                    self.fill_limit += increase;
                }
                let work = self.work(access.offering);
                let likely_filled = filled || needs_fill && self.status_reporting != StatusReporting::All;
                for m in members_of(target) {
                    let busy = self.limit_usage(now, m) >= 0.5;
                    let member = &mut self.members[m];
                    member.answered_at = if likely_filled { now } else { member.answered_at };
                    member.throughput.add(
                        now,
                        Self::THROUGHPUT_AVERAGING_TICKS,
                        if m == cache || likely_filled { work } else { 0.0 },
                    );
                    member.limit += if in_time && busy { increase } else { 0.0 };
                }
                self.record_success(now, cache);
                if source != cache && (filled || self.status_reporting != StatusReporting::All) {
                    self.record_success(now, source);
                }
            }
            Outcome::TimedOut => self.lost_rate += (1.0 - self.lost_rate) / 32.0,
            Outcome::Withdrawn | Outcome::NeverSent => {}
            // Connections may break at all members alike. Only one that can't be established shows a dead
            // member.
            Outcome::Broken => self.record_failure(now, cache, 4.0 * Self::FAILURE_WEIGHT, effects),
            Outcome::Unreachable => {
                self.members[cache].unanswered_pushes = u32::MAX;
                self.record_failure(now, cache, 0.6, effects);
            }
            Outcome::Error | Outcome::Full | Outcome::Miss => {
                let source_is_origin = source != cache && self.members[source].role == Role::Origin;
                match result.cache_status {
                    // The origin refuses the fills of all parents alike until it gets fewer: the fill limit
                    // falls.
                    status
                        if status == CacheStatus::OriginFailed
                            || status == CacheStatus::SourceRefused && source_is_origin =>
                    {
                        self.fill_limit =
                            (self.fill_limit * Self::LIMIT_DECREASE_FACTOR).max(4.0 / self.zone_fronts);
                        self.origin_refused_at = now;
                    }
                    CacheStatus::SourceRefused | CacheStatus::SourceLost if source != cache => {
                        push.source_failed = true;
                        self.record_failure(now, source, 2.0 * Self::FAILURE_WEIGHT, effects);
                    }
                    CacheStatus::SourceLacks | CacheStatus::NoFillPlace => {}
                    // Once two caches have failed it, the access itself is at fault; it is not sent again.
                    _ if result.outcome == Outcome::Error && state.failed_twice() => {}
                    // Where caches don't report their status, a refusal may also come from the source.
                    _ if result.outcome == Outcome::Error
                        || result.outcome == Outcome::Full
                            && source != cache
                            && self.status_reporting != StatusReporting::All =>
                    {
                        members_of(target)
                            .for_each(|m| self.record_failure(now, m, 2.0 * Self::FAILURE_WEIGHT, effects));
                    }
                    _ if result.outcome == Outcome::Full => self.lower_limit(cache, false),
                    _ => {}
                }
            }
        }
    }

    /// Whether a member may be sent a push: it is not ejected and, on probation, has none in flight.
    pub(super) fn is_healthy(&self, now: Ticks, member: MemberIndex) -> bool {
        let state = &self.members[member];
        state.ejected_until <= now && (state.probation == 0 || state.in_flight.count == 0.0)
    }

    /// Records that a push naming a member failed or is overdue, and ejects the member if it is an outlier.
    ///
    /// Which of a push's members was at fault is seldom known, so the failure counts for each, and the member
    /// at fault becomes an outlier among its peers. It is ejected for a time, longer each time, and is then
    /// on probation with one push at a time. This covers silent, slow, failing and lost members: a member
    /// that fails fast attracts no load, and a member that recovers is used again. It may do harm where more
    /// than half of a role is unhealthy.
    pub(super) fn record_failure(
        &mut self,
        now: Ticks,
        member: MemberIndex,
        weight: f64,
        effects: &mut dyn EffectSink,
    ) {
        self.members[member].failure_rate += (1.0 - self.members[member].failure_rate) * weight;
        let state = &self.members[member];
        if state.ejected_until > now {
            return;
        }
        // Chance alone doesn't reach the threshold. Where caches report their status it is higher for parents
        // and the origin: an overdue push counts against its source, but only a fill counts as a success of
        // the source, not a hit. It also takes three successes, not one, to prove a source healthy.
        let only_fills_count = state.role != Role::Cache && self.status_reporting == StatusReporting::All;
        if self.failure_rate_excess(now, member) > if only_fills_count { 0.4 } else { 0.16 } {
            let probation = if state.role == Role::Cache { 1 } else { 3 };
            let state = &mut self.members[member];
            effects.log(format_args!(
                "{:?} {} ejected for {} ms",
                state.role,
                state.id,
                state.next_ejection / 10
            ));
            // Longer where many fronts share the load and so this one sends few pushes: an ejection must
            // avert some failures to be worth the pushes of its probation.
            (state.ejected_until, state.probation) =
                (now + (state.next_ejection as f64 * self.zone_fronts.sqrt()) as Ticks, probation);
            state.next_ejection = (state.next_ejection * 2).min(Self::EJECTION_TICKS[1]);
        }
    }

    /// By how much a member's failure rate exceeds twice the mean of the better half of its peers that
    /// answered lately. The peers of a cache are the caches of the zone, those of a source the parents and
    /// the origin.
    ///
    /// Only the better half counts, so that members that fail at once (of one kind, one cell, or two parents)
    /// don't hide each other; but a link or a load that is bad for all makes none of them an outlier.
    pub(super) fn failure_rate_excess(&self, now: Ticks, member: MemberIndex) -> f64 {
        let is_cache = self.members[member].role == Role::Cache;
        let set = if is_cache { &self.caches } else { &self.parents };
        let peers = set.iter().copied().chain(self.origin.filter(|_| !is_cache)).filter(|&m| m != member);
        let answering = peers
            .map(|m| &self.members[m])
            .filter(|m| m.throughput.updated_at + Self::RECENT_ANSWER_TICKS > now);
        let mut rates: ArrayVec<f64, 16> = answering.map(|m| m.failure_rate).take(16).collect();
        rates.sort_by(f64::total_cmp);
        let half = rates.len().div_ceil(2);
        self.members[member].failure_rate
            - 2.0 * (rates[..half].iter().sum::<f64>() / half.max(1) as f64).max(0.08)
    }

    /// Records an answer of a member. After a silence it is taken for just started, whatever the list says: a
    /// zone that comes back with empty caches must not get its whole load at once. The cost is a slow start
    /// for a member that only hung.
    pub(super) fn record_answer(&mut self, now: Ticks, member: MemberIndex) {
        let state = &mut self.members[member];
        if state.unanswered_pushes >= 3 && state.answered_at + Self::SILENCE_TICKS < now {
            state.started_at = state.started_at.max(Some(now));
            self.start_cold(now, member);
        }
        let state = &mut self.members[member];
        (state.answered_at, state.unanswered_pushes) = (now, 0);
    }

    /// Records a success of a member: on probation, it owes one less.
    pub(super) fn record_success(&mut self, now: Ticks, member: MemberIndex) {
        let state = &mut self.members[member];
        state.failure_rate *= 1.0 - Self::FAILURE_WEIGHT;
        if state.probation > 0 && state.ejected_until <= now {
            state.probation -= 1;
            state.failure_rate = if state.probation == 0 { 0.0 } else { state.failure_rate };
        }
        if state.failure_rate < 0.02 && state.probation == 0 {
            state.next_ejection = Self::EJECTION_TICKS[0].max(state.next_ejection - state.next_ejection / 16);
        }
        self.update_warm_throughput(now, member);
    }
}
