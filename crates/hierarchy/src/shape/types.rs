//! Changes of a shape, what came of them, and members as they stand.

use std::fmt;

use super::{MOST_MEMBERS, MOST_NAME, MOST_SOURCES, MOST_TIERS};

/// Whether a member may be filled from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    InService,
    Draining,
}

/// What a change tells of its member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// Tier 0 is nearest to the clients, the archive stands in the highest and fills from nobody.
    Stands { tier: u8, standing: Standing, fills_from: Vec<Box<str>> },
    /// This incarnation, and any before it, has ended.
    Gone,
}

/// What is told of one member: the numbers say which of two changes is the newer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    pub member: Box<str>,
    pub incarnation: u64,
    pub number: u64,
    pub told: Told,
}

/// Why a change was not taken at all. It changes nothing else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    Name,
    Itself,
    Tier(u8),
    Sources(usize),
    /// Another change of the same number was told; which of the two stands does not depend on their order.
    Contradicts,
    /// Its incarnation, or a later one, has ended.
    Dead {
        ended: u64,
    },
    /// Nothing is known of it, and the dead of this incarnation are forgotten.
    Forgotten {
        up_to: u64,
    },
    Room,
}

/// Why a change that was taken in is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// The members of the ring it would close, each filling from the next; the first is its own.
    Ring(Vec<Box<str>>),
    LowerTier {
        source: Box<str>,
        tier: u8,
        own: u8,
    },
    /// None of its sources is known and in service.
    NoSource(Vec<Box<str>>),
}

/// A change that was taken in and is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aside {
    pub member: Box<str>,
    pub incarnation: u64,
    pub number: u64,
    pub why: Why,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It stands, and is in force.
    Taken,
    /// It was known.
    Known,
    /// Newer word of the member is known already (of another incarnation: that one).
    Late {
        incarnation: u64,
        number: u64,
    },
    /// It stands, but can't be in force yet.
    Aside(Why),
    Refused(Refusal),
}

/// One member as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    pub name: &'a str,
    pub incarnation: u64,
    pub number: u64,
    pub tier: u8,
    pub standing: Standing,
    /// In force; empty for the archive, and for a member cut off from all its sources.
    pub fills_from: Vec<&'a str>,
    /// It told of no sources.
    pub root: bool,
    /// Its newest change is in force.
    pub newest: bool,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Name => {
                write!(f, "a name that is not 1 to {MOST_NAME} letters, digits, '-', '_' or '.'")
            }
            Refusal::Itself => f.write_str("it fills from itself"),
            Refusal::Tier(tier) => write!(f, "tier {tier}: expected 0 to {}", MOST_TIERS - 1),
            Refusal::Sources(count) => write!(f, "{count} sources: expected {MOST_SOURCES} at the most"),
            Refusal::Contradicts => f.write_str("another change of the same incarnation and number was told"),
            Refusal::Dead { ended } => write!(f, "incarnation {ended} of it has ended"),
            Refusal::Forgotten { up_to } => {
                write!(f, "the dead up to incarnation {up_to} are forgotten: expected a later incarnation")
            }
            Refusal::Room => write!(f, "no room for more than {MOST_MEMBERS} members"),
        }
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Ring(ring) => {
                f.write_str("it would close a ring: ")?;
                ring.iter().try_for_each(|name| write!(f, "{name} -> "))?;
                f.write_str(ring.first().map_or("", |n| n))
            }
            Why::LowerTier { source, tier, own } => {
                write!(f, "its source {source} stands in tier {tier}, below its own tier {own}")
            }
            Why::NoSource(sources) => {
                write!(f, "none of its sources is known and in service: {}", sources.join(", "))
            }
        }
    }
}
