//! How long members have been suspect, so that no suspicion lasts for ever.
//!
//! In SWIM only the member that first suspected another ends the suspicion: after a timeout it declares the other one
//! down. It fails to do so if it was itself declared down in the meantime, has stalled, or is gone; and a suspect that
//! never learns of the suspicion can't refute it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use foca::{Incarnation, Member, State};

use crate::MemberId;

struct Suspicion {
    id: MemberId,
    /// SWIM's own counter, which a member raises to refute a suspicion.
    incarnation: Incarnation,
    since: Ticks,
}

/// The suspect members, by address.
#[derive(Default)]
pub(crate) struct Suspicions(BTreeMap<SocketAddrV4, Suspicion>);

impl Suspicions {
    /// Updates the set from the present members, and returns those that have been suspect for `max_age`, as `Down`.
    pub(crate) fn expired<'a>(
        &mut self,
        now: Ticks,
        max_age: Ticks,
        members: impl Iterator<Item = &'a Member<MemberId>>,
    ) -> Vec<Member<MemberId>> {
        let mut previous = std::mem::take(&mut self.0);
        for member in members.filter(|m| m.state() == State::Suspect) {
            let (id, incarnation) = (member.id(), member.incarnation());
            let known = previous.remove(&id.address).filter(|s| s.id == *id && s.incarnation == incarnation);
            let since = known.map_or(now, |s| s.since);
            self.0.insert(id.address, Suspicion { id: id.clone(), incarnation, since });
        }
        let expired = self.0.values().filter(|s| s.since + max_age <= now);
        expired.map(|s| Member::new(s.id.clone(), s.incarnation, State::Down)).collect()
    }
}
