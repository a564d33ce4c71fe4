//! Changes to a shape, the outcome of applying one, and members as a shape shows them.

use std::fmt;

use super::{MAX_MEMBERS, MAX_NAME_BYTES, MAX_SOURCES, MAX_TIERS};

/// Whether a member may be filled from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    InService,
    Draining,
}

/// The content of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeKind {
    /// The member's complete state. Tier 0 is nearest to the clients; the archive is in the highest tier and has no
    /// source.
    Present { tier: u8, standing: Standing, fills_from: Vec<Box<str>> },
    /// This incarnation and all earlier ones have ended.
    Gone,
}

/// A change to one member. Of two changes, the one with the greater `(incarnation, number)` is the newer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    pub member: Box<str>,
    pub incarnation: u64,
    pub number: u64,
    pub kind: ChangeKind,
}

/// Why a change was rejected. A rejected change has no effect on the shape, except that of two conflicting
/// changes the greater one is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    InvalidName,
    SelfSource,
    InvalidTier(u8),
    TooManySources(usize),
    /// Another change has the same incarnation and number. Which of the two is kept does not depend on the order
    /// in which they arrive.
    Conflict,
    /// This incarnation of the member, or a later one, has ended.
    IncarnationEnded {
        ended: u64,
    },
    /// The member is unknown, and tombstones of its incarnation have been dropped: it may have ended.
    IncarnationForgotten {
        up_to: u64,
    },
    TooManyMembers,
}

/// Why an accepted change is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingReason {
    /// It would close a cycle: the members of it, each filling from the next, the change's own member first.
    Cycle(Vec<Box<str>>),
    /// A source is in a lower tier than the member.
    LowerTier { source: Box<str>, tier: u8, own_tier: u8 },
    /// None of its sources is known and in service.
    NoSource(Vec<Box<str>>),
}

/// An accepted change that is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingChange {
    pub member: Box<str>,
    pub incarnation: u64,
    pub number: u64,
    pub reason: PendingReason,
}

/// The outcome of applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is the newest change of its member, and in force.
    Applied,
    /// It was known already.
    Duplicate,
    /// A newer change of the member is known: this is the newest one's incarnation and number.
    Superseded {
        incarnation: u64,
        number: u64,
    },
    /// It is the newest change of its member, but can't be in force yet.
    Pending(PendingReason),
    Rejected(Rejection),
}

/// A live member of a shape.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    pub name: &'a str,
    pub incarnation: u64,
    pub number: u64,
    pub tier: u8,
    pub standing: Standing,
    /// The sources in force; empty for the archive, and for a member that is cut off from all its sources.
    pub fills_from: Vec<&'a str>,
    /// Its newest change names no sources.
    pub root: bool,
    /// Its newest change is in force.
    pub newest_in_force: bool,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::InvalidName => {
                write!(f, "a name that is not 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'")
            }
            Rejection::SelfSource => f.write_str("it fills from itself"),
            Rejection::InvalidTier(tier) => write!(f, "tier {tier}: expected 0 to {}", MAX_TIERS - 1),
            Rejection::TooManySources(count) => {
                write!(f, "{count} sources: expected {MAX_SOURCES} at the most")
            }
            Rejection::Conflict => f.write_str("another change of the same incarnation and number was told"),
            Rejection::IncarnationEnded { ended } => write!(f, "incarnation {ended} of it has ended"),
            Rejection::IncarnationForgotten { up_to } => {
                write!(f, "the dead up to incarnation {up_to} are forgotten: expected a later incarnation")
            }
            Rejection::TooManyMembers => write!(f, "no room for more than {MAX_MEMBERS} members"),
        }
    }
}

impl fmt::Display for PendingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PendingReason::Cycle(cycle) => {
                f.write_str("it would close a ring: ")?;
                cycle.iter().try_for_each(|name| write!(f, "{name} -> "))?;
                f.write_str(cycle.first().map_or("", |n| n))
            }
            PendingReason::LowerTier { source, tier, own_tier } => {
                write!(f, "its source {source} stands in tier {tier}, below its own tier {own_tier}")
            }
            PendingReason::NoSource(sources) => {
                write!(f, "none of its sources is known and in service: {}", sources.join(", "))
            }
        }
    }
}
