//! Settings, effects, log events, versions and errors of the service.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ConnectionId, RemovalReason, RolloutMode, SavedTrials, Stage};
use crate::message::ToFront;
use crate::{RejectionReason, Ticks, VersionId};

#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Fronts admitted per second when many connect at once.
    pub admissions_per_second: f64,
    /// A message is sent to each front at least this often.
    pub heartbeat_interval: Ticks,
    /// A front must respond to an offer within this time.
    pub response_timeout: Ticks,
    /// How long a wave is observed after all its fronts have responded.
    pub soak: Ticks,
    pub canaries: usize,
    /// Cumulative shares of all fronts for the waves after the canaries; the last is 1.
    pub wave_shares: Vec<f64>,
    /// A rollout stops when a greater share of the fronts that were offered the version rejected it, or did not
    /// respond.
    pub max_rejected_share: f64,
    pub max_timed_out_share: f64,
    /// A rollout also stops when the service level of these fronts has dropped by more than this since they
    /// were offered it, minus the drop of all other fronts in that time: a general overload is not the
    /// version's fault.
    pub max_service_drop: f64,
    pub max_fronts: usize,
    /// Number of versions kept, for deltas and rollbacks.
    pub history: usize,
    /// After starting with a non-empty store, the service waits this long before it offers anything to fronts that run
    /// nothing: the store may be an older copy, so fronts that ran later versions must report first.
    pub recovery_delay: Ticks,
    pub rollout: RolloutMode,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            admissions_per_second: 200.0,
            heartbeat_interval: 50_000,
            response_timeout: 300_000,
            // Long enough for a change to show in the service level of some hundred accesses per front.
            soak: 300_000,
            canaries: 2,
            wave_shares: vec![0.1, 0.5, 1.0],
            max_rejected_share: 0.0,
            max_timed_out_share: 0.2,
            max_service_drop: 0.03,
            max_fronts: 200_000,
            history: 64,
            // The longest backoff of a front: every live front has reconnected by then.
            recovery_delay: 600_000,
            rollout: RolloutMode::Waves,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send(ConnectionId, ToFront),
    Close(ConnectionId),
    /// Store the version before any front is offered it.
    Store(Version),
    /// Store the epoch, the base or the progress of the rollout, which has changed.
    StoreState {
        epoch: u64,
        base: Option<u64>,
        rollout: Option<SavedRollout>,
    },
    SetTimer(Ticks),
    Log(LogEvent),
    /// Store the state of the trials, in a separate record.
    StoreTrials(SavedTrials),
    /// Delete a version that is not needed any more from the store.
    Delete(VersionId),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogEvent {
    WaveStarted {
        id: VersionId,
        wave: usize,
        of: usize,
        fronts: usize,
    },
    Stopped {
        id: VersionId,
        reason: StopReason,
    },
    Everywhere(VersionId),
    Rejected {
        front: Box<str>,
        id: VersionId,
        reason: RejectionReason,
    },
    /// A front claims to run a version that it can't have.
    FalseClaim {
        front: Box<str>,
        id: VersionId,
    },
    /// Fronts run versions that this service does not know: it lost its store or started with an older copy.
    NewEpoch {
        epoch: u64,
        because: VersionId,
    },
    /// Another service with a later epoch is active; this one publishes nothing.
    Superseded {
        by: u64,
    },
    /// A stage of a trial begins for these changes, on this many fronts.
    StageStarted {
        stage: Stage,
        changes: Vec<u64>,
        fronts: usize,
    },
    /// A change was removed, or is being removed, from all fronts.
    ChangeRemoved {
        change: u64,
        reason: RemovalReason,
    },
    /// Every connected front has confirmed a content that includes this change and all before it.
    InForce(VersionId),
    /// The service level of all fronts has dropped since these changes: each is tried without.
    UnderObservation {
        changes: Vec<u64>,
    },
    /// Too few accesses for a verdict; continued because the settings say so.
    ContinuedUnproven {
        change: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub id: VersionId,
    pub content: Arc<[u8]>,
    pub note: Box<str>,
    pub published_at: Ticks,
}

/// The part of a rollout that survives a restart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedRollout {
    pub id: VersionId,
    pub wave: usize,
    /// By name, so that the same fronts are the canaries after a restart.
    pub canaries: BTreeSet<Box<str>>,
    pub stopped: Option<StopReason>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    Rejected {
        count: usize,
        of: usize,
        first: RejectionReason,
    },
    TimedOut {
        count: usize,
        of: usize,
    },
    /// Service levels in thousandths; `others`: the change of all other fronts' level in the same time.
    ServiceDrop {
        from: u32,
        to: u32,
        others: i32,
    },
    Manual,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishError {
    /// Another version was published since the one that the caller has seen.
    Conflict {
        last: u64,
    },
    InProgress {
        id: VersionId,
    },
    TooLarge(usize),
    NoSuchVersion,
    NoKey,
    Superseded {
        by: u64,
    },
    /// Too many changes are waiting for their trial.
    QueueFull {
        waiting: usize,
    },
}

/// The last known state of a front in relation to its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FrontState {
    /// It runs its target.
    Current,
    /// It was offered its target and has not responded yet.
    Offered,
    Rejected(RejectionReason),
    /// It has not responded in time.
    TimedOut,
    /// Nothing was published yet, or the front is waiting for its wave.
    Waiting,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Status<'a> {
    pub front: &'a str,
    pub station: &'a str,
    pub connected: bool,
    pub last_seen: Ticks,
    pub running: Option<VersionId>,
    pub stored: bool,
    pub target: Option<VersionId>,
    pub state: FrontState,
    pub false_claim: bool,
    /// Share of the requested benefit that it serves; `None` until it has reported.
    pub service_level: Option<f32>,
    /// Number of the key that sealed the running version.
    pub seal_key: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub id: VersionId,
    pub wave: usize,
    pub offered: usize,
    pub running: usize,
    pub rejected: usize,
    pub timed_out: usize,
    pub stopped: Option<StopReason>,
}

/// The content of a service's store at its start.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    pub epoch: u64,
    pub versions: Vec<Version>,
    pub base: Option<u64>,
    pub rollout: Option<SavedRollout>,
    pub trials: Option<SavedTrials>,
}
