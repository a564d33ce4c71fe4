//! From a shape as it is to one as it is wanted, for shapes that come whole and in versions.
//!
//! Changes that members tell are numbered by them, and an older number never undoes a newer one. Whoever goes back to
//! an older version wants just that. So a version's shape is read on its own, and what leads there from the shape in
//! use is told anew: a member that is to change tells it under the next number, one that is not wanted any more has
//! ended, one that had ended starts once more. Where nothing differs nothing is told, so that objects stay at home.

use std::collections::BTreeMap;
use std::fmt;

use crate::shape::{Aside, Change, Shape, Standing, Told};

/// Why a shape that can be read would do harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Harm {
    /// A change of it could not be in force: it closes a ring, fills from below, or from nobody known.
    Aside(Aside),
    /// Fills through it could never end at the archive.
    CutOff(Box<str>),
    /// Nobody of the tier that font caches are to fill from is in service.
    EmptyTier(u8),
    /// A member's numbers leave no room for a later change.
    Spent(Box<str>),
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Harm::Aside(aside) => write!(f, "member '{}': {}", aside.member, aside.why),
            Harm::CutOff(member) => {
                write!(f, "member '{member}': no way leads from it to a member that fills from nobody")
            }
            Harm::EmptyTier(tier) => {
                write!(f, "tier {tier}: expected at least one member in service, font caches fill from there")
            }
            Harm::Spent(member) => {
                write!(
                    f,
                    "member '{member}': its incarnation is the greatest there is: expected a smaller one"
                )
            }
        }
    }
}

/// What is wrong with a shape as a whole; `tier`: that from which font caches fill. At most `most` of it is told.
pub fn harms(wanted: &Shape, tier: u8, most: usize) -> Vec<Harm> {
    let asides = wanted.asides().into_iter().map(Harm::Aside);
    let members = wanted.members();
    let serves = members.iter().any(|m| m.tier == tier && m.standing == Standing::InService);
    let empty = (!serves).then_some(Harm::EmptyTier(tier));
    // Whoever drains is not asked any more, wherever it would fill from.
    let asked = |name: &&str| wanted.member(name).is_some_and(|m| m.standing == Standing::InService);
    // Whose own change is not in force was named for that.
    let as_told = |name: &&str| wanted.member(name).is_some_and(|m| m.newest);
    let cut_off =
        wanted.cut_off().into_iter().filter(asked).filter(as_told).map(|name| Harm::CutOff(name.into()));
    let spent = members.iter().filter(|m| m.incarnation == u64::MAX || m.number == u64::MAX);
    let spent = spent.map(|m| Harm::Spent(m.name.into()));
    empty.into_iter().chain(asides).chain(cut_off).chain(spent).take(most).collect()
}

/// The newest word of each live member.
fn newest(shape: &Shape) -> BTreeMap<Box<str>, Change> {
    // They come in the order of their numbers, so the last of a member is its newest.
    let live = shape.changes().into_iter().filter(|c| c.told != Told::Gone);
    live.map(|c| (c.member.clone(), c)).collect()
}

/// What is to be told to `now` so that its members stand as in `wanted`.
pub fn aim(now: &Shape, wanted: &Shape) -> Vec<Change> {
    let (mut has, wants) = (newest(now), newest(wanted));
    let mut changes = Vec::new();
    for (member, want) in wants {
        let (incarnation, number) = match has.remove(&member) {
            Some(old) if old.told == want.told => continue,
            // A later start of it, as its own numbers say.
            Some(old) if want.incarnation > old.incarnation => {
                (want.incarnation.max(now.free_incarnation(&member)), want.number)
            }
            Some(old) if old.number < u64::MAX => (old.incarnation, old.number + 1),
            Some(old) => (old.incarnation.saturating_add(1).max(now.free_incarnation(&member)), 0),
            None => (want.incarnation.max(now.free_incarnation(&member)), want.number),
        };
        changes.push(Change { member, incarnation, number, told: want.told });
    }
    // The end of those not wanted comes last: nobody's only source goes before the next one is named.
    changes.extend(has.into_values().map(|old| Change { number: 0, told: Told::Gone, ..old }));
    changes
}
