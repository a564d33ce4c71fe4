//! What is told to the log, and to whoever watches.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::instance::{Exit, Phase};
use crate::order::What;
use crate::{Process, Run, Ticks};

/// A line for the log, and for whoever watches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    Ordered {
        number: u64,
        by: Box<str>,
        what: What,
        of: usize,
    },
    Done {
        number: u64,
        what: What,
    },
    /// The first that did not come back.
    Halted {
        number: u64,
        what: What,
        name: Box<str>,
    },
    Phase {
        name: Box<str>,
        run: Run,
        phase: Phase,
    },
    Ended {
        name: Box<str>,
        run: Run,
        exit: Exit,
        failures: u32,
    },
    NotStarted {
        name: Box<str>,
        run: Run,
        why: Box<str>,
    },
    SetAside {
        name: Box<str>,
        failures: u32,
    },
    /// A process of an earlier run, or of a second start, that nobody wants.
    Stray {
        name: Box<str>,
        run: Run,
        process: Process,
    },
    /// Taken over from an agent before this one.
    Adopted {
        name: Box<str>,
        run: Run,
        process: Process,
    },
    NoBudget {
        station: Box<str>,
        until: Ticks,
    },
    NotKept {
        name: Box<str>,
    },
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Line::Ordered { number, by, what, of } => {
                write!(f, "order {number} by {by}: {what} of {of} instances")
            }
            Line::Done { number, what } => write!(f, "order {number}: {what} is done"),
            Line::Halted { number, what, name } => {
                write!(
                    f,
                    "order {number}: {what} stops, {name} does not come back; what was not begun stays as it is"
                )
            }
            Line::Phase { name, run, phase } => write!(f, "{name}, run {run}: {phase}"),
            Line::Ended { name, run, exit, failures: 0 } => write!(f, "{name}, run {run}: ended ({exit})"),
            Line::Ended { name, run, exit, failures } => {
                write!(f, "{name}, run {run}: died ({exit}), {failures} in a row came to nothing")
            }
            Line::NotStarted { name, run, why } => {
                write!(f, "{name}, run {run}: could not be started: {why}")
            }
            Line::SetAside { name, failures } => {
                write!(
                    f,
                    "{name}: set aside after {failures} starts in a row that came to nothing: look at its log, then order its start"
                )
            }
            Line::Stray { name, run, process } => {
                write!(
                    f,
                    "{name}, run {run}: process {} is nobody's any more, and is told to end",
                    process.id
                )
            }
            Line::Adopted { name, run, process } => {
                write!(f, "{name}, run {run}: process {} was running already and is taken over", process.id)
            }
            Line::NoBudget { station, .. } => {
                write!(
                    f,
                    "{station}: its restarts are spent; the next one waits. `fleet restore` gives it new ones"
                )
            }
            Line::NotKept { name } => write!(f, "{name}: what was begun could not be kept"),
        }
    }
}
