//! Operators' orders, and the reasons for which they are rejected.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::DesiredState;

/// What an order does with its instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Operation {
    Start,
    Drain,
    Stop,
    /// Drains, stops and starts each again, as many at once as the station's pace allows; halts at the first
    /// that does not come back.
    Restart,
    /// Starts all of these that should run but do not, at the station's pace, with failure counts and budget
    /// reset.
    Restore,
}

impl Operation {
    /// The desired state after the order; none: it stays as it is.
    pub fn desired_state(self) -> Option<DesiredState> {
        match self {
            Operation::Start | Operation::Restart => Some(DesiredState::Running),
            Operation::Drain => Some(DesiredState::Drained),
            Operation::Stop => Some(DesiredState::Stopped),
            Operation::Restore => None,
        }
    }

    /// Takes instances away from clients, at least for a while.
    pub fn reduces_capacity(self) -> bool {
        matches!(self, Operation::Drain | Operation::Stop | Operation::Restart)
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Start => "start",
            Operation::Drain => "drain",
            Operation::Stop => "stop",
            Operation::Restart => "restart",
            Operation::Restore => "restore",
        })
    }
}

/// An operation on some instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    pub by: Box<str>,
    pub operation: Operation,
    /// The instances, each with the revision that the sender has seen; none: any.
    pub targets: Vec<(Box<str>, Option<u64>)>,
    /// The names of stations whose last serving instance may be taken away.
    pub force: BTreeSet<Box<str>>,
}

/// Ten times more than any station has.
pub const MAX_TARGETS: usize = 10_000;

/// Why an order is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRejection {
    NoTargets,
    TooManyTargets(usize),
    UnknownInstance(Box<str>),
    /// Another sender has changed its desired state since this one read it.
    Changed {
        name: Box<str>,
        by: Box<str>,
        order: u64,
        desired: DesiredState,
        revision: u64,
    },
    /// It would leave a station without a serving instance.
    LastServing {
        station: Box<str>,
    },
    /// It has received SIGTERM and is exiting; only a start, after its exit, can be ordered.
    AlreadyStopping(Box<str>),
    /// The desired state can't be persisted, so it would be lost with the agent.
    JournalUnavailable(Box<str>),
    /// Another agent has replaced this one.
    Replaced {
        term: u64,
    },
}

impl fmt::Display for OrderRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderRejection::NoTargets => f.write_str("no instance is named: expected one at least"),
            OrderRejection::TooManyTargets(count) => {
                write!(f, "{count} instances: expected {MAX_TARGETS} at most")
            }
            OrderRejection::UnknownInstance(name) => {
                write!(f, "instance '{name}' is unknown: look at `fleet status`")
            }
            OrderRejection::Changed { name, by, order, desired, revision } => write!(
                f,
                "instance '{name}' was changed since you looked: order {order} by {by} wants it {desired} (revision {revision}); \
                 look again, then order again"
            ),
            OrderRejection::LastServing { station } => write!(
                f,
                "station '{station}' would be left without a serving instance: start another first, or force it by the station's name"
            ),
            OrderRejection::AlreadyStopping(name) => {
                write!(
                    f,
                    "instance '{name}' has had its SIGTERM and ends, that can't be taken back: order its start, it begins after"
                )
            }
            OrderRejection::JournalUnavailable(reason) => {
                write!(f, "the journal can't be written ({reason}): nothing is begun that would be forgotten")
            }
            OrderRejection::Replaced { term } => {
                write!(f, "another agent, of term {term}, has taken this one's place: ask that one")
            }
        }
    }
}

/// The progress of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub number: u64,
    pub by: Box<str>,
    pub operation: Operation,
    pub ordered_at: u64,
    pub target_count: usize,
    pub done: usize,
    /// The number of instances that a later order covers.
    pub superseded: usize,
    /// Those that are quarantined or did not come back.
    pub failed: Vec<Box<str>>,
    pub pending: Vec<Box<str>>,
    pub halted: bool,
}

impl Progress {
    pub fn is_finished(&self) -> bool {
        self.halted || self.pending.is_empty()
    }
}
