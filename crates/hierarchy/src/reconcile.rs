//! Changes that lead from a current shape to a desired one, for shapes that are given as a whole, in versions.
//!
//! Members number the changes that they announce, and a change never undoes one with a greater number. But a rollback
//! to an older version has to undo newer changes. So a version's shape is built on its own, and the differences from
//! the current shape are expressed as new changes: a member that differs gets its next number, one that is no longer
//! wanted has ended, and one that had ended starts a new incarnation. A member that does not differ gets no change, so
//! that its objects keep their homes.

use std::collections::BTreeMap;
use std::fmt;

use crate::shape::{Change, ChangeKind, PendingChange, Shape, Standing};

/// A fault of a well-formed shape that would do harm in service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShapeFault {
    /// A change of it could not be in force.
    Pending(PendingChange),
    /// Fills through this member could never end at the archive.
    CutOff(Box<str>),
    /// No member of the tier that the stations' caches fill from is in service.
    EmptyTier(u8),
    /// The member's incarnation or number is the greatest possible, which leaves none for a later change.
    NumbersExhausted(Box<str>),
}

impl fmt::Display for ShapeFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ShapeFault::Pending(pending) => write!(f, "member '{}': {}", pending.member, pending.reason),
            ShapeFault::CutOff(member) => {
                write!(f, "member '{member}': no way leads from it to a member that fills from nobody")
            }
            ShapeFault::EmptyTier(tier) => {
                write!(f, "tier {tier}: expected at least one member in service, font caches fill from there")
            }
            ShapeFault::NumbersExhausted(member) => {
                write!(
                    f,
                    "member '{member}': its incarnation is the greatest there is: expected a smaller one"
                )
            }
        }
    }
}

/// The first `max` faults of a desired shape. `tier` is the one that the stations' caches fill from.
pub fn faults(desired: &Shape, tier: u8, max: usize) -> Vec<ShapeFault> {
    let pending = desired.pending_changes().into_iter().map(ShapeFault::Pending);
    let members = desired.members();
    let tier_in_service = members.iter().any(|m| m.tier == tier && m.standing == Standing::InService);
    let empty = (!tier_in_service).then_some(ShapeFault::EmptyTier(tier));
    // No member fills from a draining member, so its own sources don't matter.
    let in_service = |name: &&str| desired.member(name).is_some_and(|m| m.standing == Standing::InService);
    // A member whose own change is pending is reported for that already.
    let not_pending = |name: &&str| desired.member(name).is_some_and(|m| m.newest_in_force);
    let cut_off = desired
        .cut_off()
        .into_iter()
        .filter(in_service)
        .filter(not_pending)
        .map(|name| ShapeFault::CutOff(name.into()));
    let exhausted = members.iter().filter(|m| m.incarnation == u64::MAX || m.number == u64::MAX);
    let exhausted = exhausted.map(|m| ShapeFault::NumbersExhausted(m.name.into()));
    empty.into_iter().chain(pending).chain(cut_off).chain(exhausted).take(max).collect()
}

/// The newest change of each live member.
fn newest_changes(shape: &Shape) -> BTreeMap<Box<str>, Change> {
    // `changes` sorts them by number, so that the last one of a member is its newest.
    let live = shape.changes().into_iter().filter(|c| c.kind != ChangeKind::Gone);
    live.map(|c| (c.member.clone(), c)).collect()
}

/// The changes that make the members of `current` equal to those of `desired`.
pub fn reconcile(current: &Shape, desired: &Shape) -> Vec<Change> {
    let (mut existing, wanted) = (newest_changes(current), newest_changes(desired));
    let mut changes = Vec::new();
    for (member, new) in wanted {
        let (incarnation, number) = match existing.remove(&member) {
            Some(old) if old.kind == new.kind => continue,
            // The desired shape itself has a later incarnation of the member.
            Some(old) if new.incarnation > old.incarnation => {
                (new.incarnation.max(current.free_incarnation(&member)), new.number)
            }
            Some(old) if old.number < u64::MAX => (old.incarnation, old.number + 1),
            Some(old) => (old.incarnation.saturating_add(1).max(current.free_incarnation(&member)), 0),
            None => (new.incarnation.max(current.free_incarnation(&member)), new.number),
        };
        changes.push(Change { member, incarnation, number, kind: new.kind });
    }
    // Unwanted members end last, so that no member loses its only source before its next one is known.
    changes.extend(existing.into_values().map(|old| Change { number: 0, kind: ChangeKind::Gone, ..old }));
    changes
}
