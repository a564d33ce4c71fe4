//! What a front and the service say to each other. How it goes over a connection is the shells' matter.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delta::Delta;
use crate::seal::Seal;
use crate::{Id, Reason};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToService {
    /// The first word on a connection.
    Hello {
        front: Box<str>,
        station: Box<str>,
        /// With its seal, which proves it: a front can't make one.
        runs: Option<(Id, Seal)>,
    },
    /// Asks for a version's content; as a delta if it has a base.
    Ask {
        id: Id,
        base: Option<Id>,
    },
    /// It runs this version; `stored`: and would after a crash.
    Runs {
        id: Id,
        stored: bool,
    },
    TurnedDown {
        id: Id,
        why: Reason,
    },
    /// What share of the benefit asked for it had within the soft limit, lately; also says that it lives.
    Serves {
        share: f32,
    },
    /// Counts since the process started: accesses that ended, and of those answered within the soft limit. Sent only where
    /// the service has asked for it (`ReportEvery`).
    Report {
        /// What it runs at that moment.
        running: Option<Id>,
        asked: u64,
        answered: u64,
        /// Grows by one with each report of a process: one that is late or doubled is told by it.
        sequence: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToFront {
    /// It is heard; something is said at least this often.
    Welcome {
        every: u64,
    },
    /// Too many come at once: come back after this time.
    Later {
        after: u64,
    },
    Offer {
        id: Id,
    },
    Content {
        id: Id,
        seal: Seal,
        body: Body,
    },
    /// Nothing new.
    Alive,
    /// Report now and then this often, until the connection ends. The front keeps it within its own bounds.
    ReportEvery {
        millis: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Whole(Arc<[u8]>),
    /// Against the base that was asked for.
    Delta(Delta),
}
