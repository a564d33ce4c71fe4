//! Events for the log and for watchers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::instance::{Exit, Phase};
use crate::order::Operation;
use crate::{Process, Run, Ticks};

/// An event for the log, and for clients that watch the agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogEvent {
    Ordered {
        number: u64,
        by: Box<str>,
        operation: Operation,
        target_count: usize,
    },
    Completed {
        number: u64,
        operation: Operation,
    },
    /// An instance did not come back, so the restart goes no further.
    Halted {
        number: u64,
        operation: Operation,
        name: Box<str>,
    },
    PhaseChanged {
        name: Box<str>,
        run: Run,
        phase: Phase,
    },
    Exited {
        name: Box<str>,
        run: Run,
        exit: Exit,
        failures: u32,
    },
    NotStarted {
        name: Box<str>,
        run: Run,
        reason: Box<str>,
    },
    Quarantined {
        name: Box<str>,
        failures: u32,
    },
    /// A process of an earlier run, or of a duplicate start.
    UnexpectedProcess {
        name: Box<str>,
        run: Run,
        process: Process,
    },
    /// Taken over from an earlier agent.
    Adopted {
        name: Box<str>,
        run: Run,
        process: Process,
    },
    BudgetExhausted {
        station: Box<str>,
        until: Ticks,
    },
    JournalFailed {
        name: Box<str>,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::Ordered { number, by, operation, target_count } => {
                write!(f, "order {number} by {by}: {operation} of {target_count} instances")
            }
            LogEvent::Completed { number, operation } => write!(f, "order {number}: {operation} is done"),
            LogEvent::Halted { number, operation, name } => {
                write!(
                    f,
                    "order {number}: {operation} stops, {name} does not come back; what was not begun stays as it is"
                )
            }
            LogEvent::PhaseChanged { name, run, phase } => write!(f, "{name}, run {run}: {phase}"),
            LogEvent::Exited { name, run, exit, failures: 0 } => {
                write!(f, "{name}, run {run}: ended ({exit})")
            }
            LogEvent::Exited { name, run, exit, failures } => {
                write!(f, "{name}, run {run}: died ({exit}), {failures} in a row came to nothing")
            }
            LogEvent::NotStarted { name, run, reason } => {
                write!(f, "{name}, run {run}: could not be started: {reason}")
            }
            LogEvent::Quarantined { name, failures } => {
                write!(
                    f,
                    "{name}: set aside after {failures} starts in a row that came to nothing: look at its log, then order its start"
                )
            }
            LogEvent::UnexpectedProcess { name, run, process } => {
                write!(
                    f,
                    "{name}, run {run}: process {} is nobody's any more, and is told to end",
                    process.id
                )
            }
            LogEvent::Adopted { name, run, process } => {
                write!(f, "{name}, run {run}: process {} was running already and is taken over", process.id)
            }
            LogEvent::BudgetExhausted { station, .. } => {
                write!(
                    f,
                    "{station}: its restarts are spent; the next one waits. `fleet restore` gives it new ones"
                )
            }
            LogEvent::JournalFailed { name } => write!(f, "{name}: what was begun could not be kept"),
        }
    }
}
