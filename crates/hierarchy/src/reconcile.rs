//! Puts a desired shape, which is given as a whole in a file or a version, in place of the current one.
//!
//! Members number the changes that they announce, and a change never undoes one with a greater number. But a rollback
//! to an older version has to undo newer changes, and a file or version that no longer names a member has to end it. So
//! the desired shape is built on its own: what was in use before leaves no trace in it. The homes of objects are kept
//! beside the shape, by name, so that they move only where the members differ.
//!
//! The one exception is a desired shape that can't be used as a whole. A member of which no desired change can be in
//! force keeps the sources that it had until then, if it had any, until its own become usable.

use std::fmt;

use crate::shape::{ApplyOutcome, Change, ChangeKind, PendingChange, Shape, Standing};

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

/// The earlier changes of members that have none in force in the desired shape.
fn fallbacks(current: &Shape, desired: &Shape) -> Vec<Change> {
    let pending = desired.pending_changes();
    let is_fallback = |change: &Change| {
        let stamp = (change.incarnation, change.number);
        let older = |p: &PendingChange| p.member == change.member && stamp < (p.incarnation, p.number);
        change.kind != ChangeKind::Gone && pending.iter().any(older)
    };
    if pending.is_empty() {
        return Vec::new();
    }
    current.changes().into_iter().filter(is_fallback).collect()
}

/// The shape that takes the place of `current`, made of the changes that describe the desired one, and the outcome of
/// each of these.
pub fn replacement(current: &Shape, desired: &[Change]) -> (Shape, Vec<ApplyOutcome>) {
    let mut shape = Shape::new();
    let outcomes = desired.iter().map(|change| shape.apply(change)).collect();
    for change in fallbacks(current, &shape) {
        shape.apply(&change);
    }
    let differs = shape.members() != current.members();
    shape.revision = current.revision + u64::from(differs);
    (shape, outcomes)
}
