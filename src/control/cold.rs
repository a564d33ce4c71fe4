//! Slow start: how much a member that has just started may be sent.

use super::*;

impl Front {
    /// The time constant of throughput: long enough for a few dozen pushes, short enough to follow a surge.
    pub(super) const THROUGHPUT_AVERAGING_TICKS: f64 = 40_000.0;
    /// The share of a cold member's budget that may be sent at a steady rate.
    pub(super) const COLD_STEADY_SHARE: f64 = 0.5;
    /// The share of a cold member's budget for one window that may be sent in a burst.
    const COLD_BURST_SHARE: f64 = 0.2;

    /// Resets a member that has just started. Its cold budget begins at a random level of use, since
    /// otherwise the first pushes of all fronts together would overload it.
    pub(super) fn start_cold(&mut self, now: Ticks, member: MemberIndex) {
        let most_work = (0..self.offerings.len()).map(|o| self.work(o)).fold(0.0, f64::max);
        let cold_spent = DecayingSum { sum: self.rng.f64() * most_work, updated_at: now };
        (self.members[member].limit, self.members[member].cold_spent) = (self.initial_limit, cold_spent);
    }

    /// For a cold member: the index of its role in `cold_limits` and `warm_throughput`, and how much of its
    /// time in slow start has passed, from 0 to 1. None if it is warm.
    pub(super) fn cold_age(&self, now: Ticks, member: MemberIndex) -> Option<(usize, f64)> {
        let state = &self.members[member];
        let role_index = [Role::Cache, Role::Parent].iter().position(|&r| r == state.role)?;
        let (age, duration) = (now.saturating_sub(state.started_at?), self.cold_limits[role_index].duration);
        (age < duration).then(|| (role_index, age as f64 / duration as f64))
    }

    /// Updates the mean throughput of the warm members that have the role of this one. Members without a
    /// recent answer don't count: the loss of a zone must not change what is known of its normal load.
    pub(super) fn update_warm_throughput(&mut self, now: Ticks, member: MemberIndex) {
        let role_index = usize::from(self.members[member].role == Role::Parent);
        let same_role = if role_index == 1 { &self.parents } else { &self.caches };
        let answering = |m: &MemberState| {
            m.throughput.updated_at + Self::THROUGHPUT_AVERAGING_TICKS as Ticks > now
                && m.ejected_until <= now
        };
        let warm = |&&m: &&MemberIndex| answering(&self.members[m]) && self.cold_age(now, m).is_none();
        let (rates, weights) = same_role.iter().filter(warm).fold((0.0, 0.0), |(rates, weights), &m| {
            (
                rates + self.members[m].throughput.rate(now, Self::THROUGHPUT_AVERAGING_TICKS),
                weights + self.members[m].weight,
            )
        });
        self.warm_throughput[role_index] =
            if weights > 0.0 { rates / weights } else { self.warm_throughput[role_index] };
    }

    /// For a cold member: the multiple of a warm member's load that it may be sent; its budget, in
    /// accesses of mean work per tick; and the window, in ticks, within which more makes it
    /// fail.
    ///
    /// The budget is at least a tenth of a transfer for the whole zone, so that the member gets its first
    /// pushes.
    pub(super) fn cold_budget(&self, now: Ticks, member: MemberIndex) -> Option<(f64, f64, f64)> {
        let (role_index, age) = self.cold_age(now, member)?;
        let limits = &self.cold_limits[role_index];
        let least_load = 0.1 / self.zone_fronts / self.mean_transfer_time.max(1.0);
        let warm_load = (self.warm_throughput[role_index] * self.members[member].weight).max(least_load);
        let load_share = limits.load_multiple * (limits.initial_share + (1.0 - limits.initial_share) * age);
        Some((load_share, load_share * warm_load, limits.window as f64))
    }

    /// Whether an access may be sent to a member under its cold budget; always true for a warm one.
    ///
    /// The budget absorbs surges. It is not enough where hundreds of fronts see few accesses each: none of
    /// them knows the normal load, and one more access from each is too much. So only a sample of the
    /// accesses may be sent to a cold cache.
    pub(super) fn within_cold_budget(&self, now: Ticks, member: MemberIndex, state: &AccessState) -> bool {
        let Some((load_share, budget, window)) = self.cold_budget(now, member) else { return true };
        let spent = self.members[member].cold_spent.remaining(now, Self::COLD_STEADY_SHARE * budget);
        let fits = spent == 0.0
            || spent + self.work(state.access.offering) <= Self::COLD_BURST_SHARE * budget * window;
        fits && (self.members[member].role == Role::Parent
            || state.sample < Self::COLD_STEADY_SHARE * load_share)
    }
}
