//! What people ask for, and why they don't get it.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Want;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum What {
    Start,
    Drain,
    Stop,
    /// Each is drained, stopped and started again, as many at once as the station's pace allows; stops at the first
    /// that does not come back.
    Restart,
    /// Whatever of these is wanted running and does not run is started, at the station's pace, with all patience anew.
    Restore,
}

impl What {
    /// What is wanted from then on; none where that stays as it is.
    pub fn want(self) -> Option<Want> {
        match self {
            What::Start | What::Restart => Some(Want::Running),
            What::Drain => Some(Want::Drained),
            What::Stop => Some(Want::Stopped),
            What::Restore => None,
        }
    }

    /// It takes instances away from clients, if only for a while.
    pub fn takes_away(self) -> bool {
        matches!(self, What::Drain | What::Stop | What::Restart)
    }
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            What::Start => "start",
            What::Drain => "drain",
            What::Stop => "stop",
            What::Restart => "restart",
            What::Restore => "restore",
        })
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    pub by: Box<str>,
    pub what: What,
    /// Instances, with the revision of each that whoever orders has seen; none: whatever it is.
    pub targets: Vec<(Box<str>, Option<u64>)>,
    /// Stations, by name, whose last serving instance may be taken away.
    pub force: BTreeSet<Box<str>>,
}

/// More than any station has, times ten.
pub const MOST_TARGETS: usize = 10_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    NoTargets,
    TooMany(usize),
    NoSuch(Box<str>),
    /// Somebody else has changed what is wanted of it since it was looked at.
    Changed {
        name: Box<str>,
        by: Box<str>,
        order: u64,
        want: Want,
        revision: u64,
    },
    /// It would leave a station without a serving instance.
    LastOf {
        station: Box<str>,
    },
    /// It has had its SIGTERM, and ends: it can only be started after that.
    Ends(Box<str>),
    /// What is wanted can't be kept, so it would be forgotten with the agent.
    NotKept(Box<str>),
    /// Another agent has taken this one's place.
    Replaced {
        term: u64,
    },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NoTargets => f.write_str("no instance is named: expected one at least"),
            Refused::TooMany(count) => write!(f, "{count} instances: expected {MOST_TARGETS} at most"),
            Refused::NoSuch(name) => write!(f, "instance '{name}' is unknown: look at `fleet status`"),
            Refused::Changed { name, by, order, want, revision } => write!(
                f,
                "instance '{name}' was changed since you looked: order {order} by {by} wants it {want} (revision {revision}); \
                 look again, then order again"
            ),
            Refused::LastOf { station } => write!(
                f,
                "station '{station}' would be left without a serving instance: start another first, or force it by the station's name"
            ),
            Refused::Ends(name) => {
                write!(
                    f,
                    "instance '{name}' has had its SIGTERM and ends, that can't be taken back: order its start, it begins after"
                )
            }
            Refused::NotKept(why) => {
                write!(f, "the journal can't be written ({why}): nothing is begun that would be forgotten")
            }
            Refused::Replaced { term } => {
                write!(f, "another agent, of term {term}, has taken this one's place: ask that one")
            }
        }
    }
}

/// How an order is doing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub number: u64,
    pub by: Box<str>,
    pub what: What,
    pub at: u64,
    pub of: usize,
    pub done: usize,
    /// Somebody has since ordered something else of them.
    pub overtaken: usize,
    /// They were set aside, or did not come back.
    pub failed: Vec<Box<str>>,
    pub waits_for: Vec<Box<str>>,
    pub halted: bool,
}

impl Progress {
    pub fn over(&self) -> bool {
        self.halted || self.waits_for.is_empty()
    }
}
