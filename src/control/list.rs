//! The list of members.

use super::*;

impl Front {
    pub fn member_list_received(
        &mut self,
        now: Ticks,
        members: &[Member],
        full: bool,
        out: &mut dyn EffectSink,
    ) {
        if std::mem::take(&mut self.follow) {
            out.request_member_list();
        }
        if full {
            self.peers.iter_mut().for_each(|p| p.gone = true);
        }
        for m in members {
            let role = match Some(m.kind) {
                k if k == self.kinds[0] => Role::Parent,
                k if k == self.kinds[1] => Role::Origin,
                _ if m.zone == self.zone => Role::Cache,
                _ => continue,
            };
            // Replacements must not grow the table: they take places of members gone and unasked for long.
            let old = |p: &Peer| p.gone && p.out.count == 0.0 && p.out.at + 600_000 < now;
            let known = self.by_id.get(&m.id).copied();
            let at = known.or_else(|| self.peers.iter().position(old)).unwrap_or(self.peers.len());
            if known.is_none() {
                let (id, hash, limit) = (m.id.clone(), hash::text(&m.id), self.start_limit);
                let new = Peer { id, hash, role, limit, held_for: Self::HOLDS[0], ..Peer::default() };
                if at < self.peers.len() {
                    self.by_id.remove(&self.peers[at].id);
                    self.peers[at] = new;
                } else {
                    self.peers.push(new);
                }
                self.by_id.insert(m.id.clone(), at);
            }
            let p = &mut self.peers[at];
            (p.zone, p.cell, p.gone) = (m.zone, m.cell, m.status != MemberStatus::Listed);
            p.weight = if self.weights && m.weight > 0.0 { m.weight } else { 1.0 };
            if m.started_at > p.started {
                (p.started, p.bad, p.held_until, p.trial) = (m.started_at, 0.0, now, 0);
                self.begin(now, at);
            }
        }
        let listed = |c: usize, role: Role| self.peers[c].role == role && !self.peers[c].gone;
        let of = |role: Role| (0..self.peers.len()).filter(|&c| listed(c, role)).collect::<Vec<_>>();
        (self.caches, self.parents, self.origin) =
            (of(Role::Cache), of(Role::Parent), of(Role::Origin).first().copied());
    }

    pub fn member_list_rejected(&mut self, now: Ticks, out: &mut dyn EffectSink) {
        // After a second or two, so that refused fronts don't return together.
        out.set_timer(now + 10_000 + self.rng.u64(0..10_000), u64::MAX);
    }
}
