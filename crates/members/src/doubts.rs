//! Since when others are doubted, so that no doubt lasts for ever.
//!
//! Only the member that doubts first ends a doubt: after a while it takes the other for down. It forgets to where it
//! was itself taken for dead meanwhile, has slept, or is gone; and whoever is doubted without hearing of it can't
//! contradict.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use foca::{Incarnation, Member, State};

use crate::Id;

struct Doubt {
    id: Id,
    incarnation: Incarnation,
    since: Ticks,
}

/// Who is doubted, by address.
#[derive(Default)]
pub(crate) struct Doubts(BTreeMap<SocketAddrV4, Doubt>);

impl Doubts {
    /// Takes over who is doubted now, and says whose doubt has lasted for `most`: they are to be taken for down.
    pub(crate) fn overdue<'a>(
        &mut self,
        now: Ticks,
        most: Ticks,
        members: impl Iterator<Item = &'a Member<Id>>,
    ) -> Vec<Member<Id>> {
        let mut before = std::mem::take(&mut self.0);
        for member in members.filter(|m| m.state() == State::Suspect) {
            let (id, incarnation) = (member.id(), member.incarnation());
            let known = before.remove(&id.at).filter(|d| d.id == *id && d.incarnation == incarnation);
            let since = known.map_or(now, |d| d.since);
            self.0.insert(id.at, Doubt { id: id.clone(), incarnation, since });
        }
        let overdue = self.0.values().filter(|d| d.since + most <= now);
        overdue.map(|d| Member::new(d.id.clone(), d.incarnation, State::Down)).collect()
    }
}
