//! What one that has just started may be sent.

use super::*;

impl Front {
    pub(super) const RATE_OVER: f64 = 40_000.0; // a few dozen pushes, yet short enough to follow a surge
    /// Of a cold member's budget this part leaks away steadily, a fifth of a window's may come in a burst.
    pub(super) const COLD_LEAK: f64 = 0.5;

    /// A member starts cold. Its budgets begin half used, or first pushes of all fronts push it over.
    pub(super) fn begin(&mut self, now: Ticks, c: usize) {
        let longest = self.classes.iter().map(|c| c.mean).fold(0.0, f64::max);
        let spent = Fading { sum: self.rng.f64() * longest, at: now };
        (self.peers[c].limit, self.peers[c].spent) = (self.start_limit, spent);
    }

    /// Which cold figures go for a member, and its share of its cold time; none if it is warm.
    pub(super) fn cold_age(&self, now: Ticks, c: usize) -> Option<(usize, f64)> {
        let p = &self.peers[c];
        let slot = [Role::Cache, Role::Parent].iter().position(|&r| r == p.role)?;
        let (since, lasts) = (now.saturating_sub(p.started?), self.cold[slot].duration);
        (since < lasts).then(|| (slot, since as f64 / lasts as f64))
    }

    /// What warm members of a role answer for this front is its part of what such a member carries. Those not
    /// heard lately tell nothing: a zone that was lost must not forget its usual.
    pub(super) fn learn_usual(&mut self, now: Ticks, c: usize) {
        let slot = usize::from(self.peers[c].role == Role::Parent);
        let set = if slot == 1 { &self.parents } else { &self.caches };
        let heard = |p: &Peer| p.carries.at + Self::RATE_OVER as Ticks > now && p.held_until <= now;
        let warm = |&&o: &&usize| heard(&self.peers[o]) && self.cold_age(now, o).is_none();
        let (rates, weights) = set.iter().filter(warm).fold((0.0, 0.0), |(r, w), &o| {
            (r + self.peers[o].carries.rate(now, Self::RATE_OVER), w + self.peers[o].weight)
        });
        self.usual[slot] = if weights > 0.0 { rates / weights } else { self.usual[slot] };
    }

    /// What this front may send a cold member at once, in transfers: `multiple` times its present share of
    /// what such a one usually carries for it; a tenth of a transfer a zone at least, so that it can begin.
    pub(super) fn cold_budget(&self, now: Ticks, c: usize) -> Option<(f64, f64, f64)> {
        let (slot, age) = self.cold_age(now, c)?;
        let set = &self.cold[slot];
        let carries = (self.usual[slot] * self.peers[c].weight).max(0.1 / self.crew);
        let share = set.load_multiple * (set.initial_share + (1.0 - set.initial_share) * age);
        Some((share, share * carries, set.window as f64))
    }

    /// Hundreds of fronts that see little each can't know what is usual, and one access more of each is too
    /// much: so only a part of the accesses may name a cold cache. The budget is for surges.
    pub(super) fn cold_room(&self, now: Ticks, c: usize, h: &Held) -> bool {
        let Some((share, budget, window)) = self.cold_budget(now, c) else { return true };
        let level = self.peers[c].spent.left(now, Self::COLD_LEAK * budget);
        let fits = level == 0.0 || level + self.classes[h.access.offering].mean <= 0.2 * budget * window;
        fits && (self.peers[c].role == Role::Parent || h.draw < Self::COLD_LEAK * share)
    }
}
