//! The list of members.

use super::*;

impl Front {
    /// A member that is neither in use nor listed for this long gives up its slot to a new one: 60 s.
    const UNLISTED_KEPT_TICKS: Ticks = 600_000;

    /// Takes over a list of members: all that there are (`full`), or those that have changed.
    pub fn member_list_received(
        &mut self,
        now: Ticks,
        members: &[Member],
        full: bool,
        effects: &mut dyn EffectSink,
    ) {
        if std::mem::take(&mut self.must_request_list) {
            effects.request_member_list();
        }
        if full {
            self.members.iter_mut().for_each(|m| m.unlisted = true);
        }
        for listed in members {
            let role = match Some(listed.kind) {
                kind if kind == self.upstream_kinds[0] => Role::Parent,
                kind if kind == self.upstream_kinds[1] => Role::Origin,
                _ if listed.zone == self.zone => Role::Cache,
                _ => continue,
            };
            // The slots of former members are reused, or replacements would make the table grow without
            // bound.
            let reusable = |m: &MemberState| {
                m.unlisted
                    && m.in_flight.count == 0.0
                    && m.in_flight.changed_at + Self::UNLISTED_KEPT_TICKS < now
            };
            let known = self.index_by_id.get(&listed.id).copied();
            let index =
                known.or_else(|| self.members.iter().position(reusable)).unwrap_or(self.members.len());
            if known.is_none() {
                let (id, id_hash, limit) = (listed.id.clone(), hash::text(&listed.id), self.initial_limit);
                let new = MemberState {
                    id,
                    id_hash,
                    role,
                    limit,
                    next_ejection: Self::EJECTION_TICKS[0],
                    ..MemberState::default()
                };
                if index < self.members.len() {
                    self.index_by_id.remove(&self.members[index].id);
                    self.members[index] = new;
                } else {
                    self.members.push(new);
                }
                self.index_by_id.insert(listed.id.clone(), index);
            }
            let member = &mut self.members[index];
            (member.zone, member.cell, member.unlisted) =
                (listed.zone, listed.cell, listed.status != MemberStatus::Listed);
            member.weight = if self.comparable_weights && listed.weight > 0.0 { listed.weight } else { 1.0 };
            if listed.started_at > member.started_at {
                (member.started_at, member.failure_rate, member.ejected_until, member.probation) =
                    (listed.started_at, 0.0, now, 0);
                self.start_cold(now, index);
            }
        }
        let is_listed =
            |m: MemberIndex, role: Role| self.members[m].role == role && !self.members[m].unlisted;
        let with_role =
            |role: Role| (0..self.members.len()).filter(|&m| is_listed(m, role)).collect::<Vec<_>>();
        (self.caches, self.parents, self.origin) =
            (with_role(Role::Cache), with_role(Role::Parent), with_role(Role::Origin).first().copied());
    }

    /// The request for the member list was rejected: it is repeated after a random delay of 1 to 2 s, so that
    /// rejected fronts don't all return together.
    pub fn member_list_rejected(&mut self, now: Ticks, effects: &mut dyn EffectSink) {
        effects.set_timer(now + 10_000 + self.rng.u64(0..10_000), MEMBER_LIST_TIMER);
    }
}
