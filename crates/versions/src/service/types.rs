//! What a service is told, says and keeps: settings, lines, versions, refusals.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Conn, Harm, RolloutMode, SavedTrials, Stage};
use crate::message::ToFront;
use crate::{Id, Reason, Ticks};

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Fronts let in a second when many come at once.
    pub admit: f64,
    /// Something is said to each front at least this often.
    pub alive: Ticks,
    /// A front that was offered a version has to answer in this time.
    pub answer_within: Ticks,
    /// How long a wave that has answered is watched before the next.
    pub soak: Ticks,
    pub canaries: usize,
    /// Shares of all fronts that the waves after the canaries bring it to; the last is 1.
    pub shares: Vec<f64>,
    /// A publication stops when a greater share of those it went to turned it down, or did not answer.
    pub refused: f64,
    pub missing: f64,
    /// ... or when their service has fallen by more than this against what it was when it came to them, less what
    /// that of all others has fallen meanwhile: a storm is not the version's fault.
    pub drop: f64,
    pub most_fronts: usize,
    /// Contents kept, for deltas and for going back.
    pub history: usize,
    /// A service that starts on what it finds in its store offers nothing for so long to fronts that run nothing: the
    /// store may be an older copy, and whoever ran what came after it has to be heard first.
    pub listen: Ticks,
    pub rollout: RolloutMode,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            // A guess, until the transport is there to be measured.
            admit: 200.0,
            alive: 50_000,
            answer_within: 300_000,
            // Long enough for a change to show in the service of some hundred accesses a front.
            soak: 300_000,
            canaries: 2,
            shares: vec![0.1, 0.5, 1.0],
            refused: 0.0,
            missing: 0.2,
            drop: 0.03,
            most_fronts: 200_000,
            history: 64,
            // The longest pause between a front's tries: whoever lives has come by then.
            listen: 600_000,
            rollout: RolloutMode::Waves,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Send(Conn, ToFront),
    Close(Conn),
    /// Before anything of it is offered, the version is to be on the disk.
    Store(Version),
    /// The epoch changes, or how far a publication is.
    StoreState {
        epoch: u64,
        base: Option<u64>,
        rollout: Option<Saved>,
    },
    Wake(Ticks),
    Tell(Line),
    /// What survives a restart where rollouts are judged by evidence; beside the state, in a record of its own.
    StoreTrials(SavedTrials),
    /// A version that nothing needs any more is to leave the store.
    Forget(Id),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    Wave {
        id: Id,
        wave: usize,
        of: usize,
        fronts: usize,
    },
    Stopped {
        id: Id,
        why: Stop,
    },
    Everywhere(Id),
    TurnedDown {
        front: Box<str>,
        id: Id,
        why: Reason,
    },
    /// A front says what can't be.
    Lies {
        front: Box<str>,
        id: Id,
    },
    /// Fronts have what this service does not know: it lost its store, or found an old one.
    NewEpoch {
        epoch: u64,
        because: Id,
    },
    /// Another service, of a later epoch, is about; this one publishes nothing.
    Superseded {
        by: u64,
    },
    /// A stage of trials begins, on so many fronts, for these changes.
    Trial {
        stage: Stage,
        changes: Vec<u64>,
        fronts: usize,
    },
    /// A change is in nobody's configuration any more, or on its way out of it.
    TakenOut {
        change: u64,
        why: Harm,
    },
    /// Every connected front has confirmed what this change, and all before it, came to.
    InForce(Id),
    /// Everyone's service has fallen since these changes came: each is tried without.
    UnderWatch {
        changes: Vec<u64>,
    },
    /// Too few accesses to tell; the setting says that it goes on.
    WentOnUnproven {
        change: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub id: Id,
    pub content: Arc<[u8]>,
    pub note: Box<str>,
    pub at: Ticks,
}

/// What of a publication survives a restart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    pub id: Id,
    pub wave: usize,
    /// By name: after a restart nobody else is to go first.
    pub canaries: BTreeSet<Box<str>>,
    pub stopped: Option<Stop>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stop {
    Refused {
        count: usize,
        of: usize,
        first: Reason,
    },
    Missing {
        count: usize,
        of: usize,
    },
    /// In thousandths of the benefit; `others`: by how much that of all others changed meanwhile.
    Dropped {
        from: u32,
        to: u32,
        others: i32,
    },
    ByHand,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotPublished {
    /// Somebody else has published since.
    Expected {
        last: u64,
    },
    UnderWay {
        id: Id,
    },
    TooLong(usize),
    NoSuchVersion,
    NoKey,
    Superseded {
        by: u64,
    },
    /// So many changes wait for their trial.
    QueueFull {
        waiting: usize,
    },
}

/// What a front was last known to be doing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// It runs what it is its turn to have.
    Current,
    /// It was offered a version and has not answered yet.
    Offered,
    TurnedDown(Reason),
    /// It has not answered in time.
    Missing,
    /// Nothing was published yet, or it waits for its wave.
    Waiting,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Status<'a> {
    pub front: &'a str,
    pub station: &'a str,
    pub connected: bool,
    pub heard: Ticks,
    pub runs: Option<Id>,
    pub stored: bool,
    pub goal: Option<Id>,
    pub state: State,
    pub lies: bool,
    /// What share of the benefit asked for it serves; none until it has said so.
    pub serves: Option<f32>,
    /// The key that sealed what it runs.
    pub sealed: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub id: Id,
    pub wave: usize,
    pub went: usize,
    pub runs: usize,
    pub refused: usize,
    pub missing: usize,
    pub stopped: Option<Stop>,
}

/// What a service finds in its store.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub epoch: u64,
    pub versions: Vec<Version>,
    pub base: Option<u64>,
    pub rollout: Option<Saved>,
    pub trials: Option<SavedTrials>,
}
