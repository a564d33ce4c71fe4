//! Settings, states and stored records of trials.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::delta::Delta;
use crate::{RejectionReason, Ticks};

/// How a publication is rolled out.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum RolloutMode {
    /// One publication at a time, in waves, each observed for some time.
    #[default]
    Waves,
    /// Overlapping publications; each stage lasts until there is enough evidence.
    Evidence(TrialRules),
}

/// What to do if there are too few accesses for a verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ThinTraffic {
    #[default]
    Wait,
    /// Continue, and report the change as unproven.
    Continue,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TrialRules {
    /// Fronts in each arm of the canary stage, from different stations.
    pub canaries: usize,
    /// Share of all connected fronts that may run an unproven change.
    pub share: f64,
    /// How long a change is observed after it has reached all fronts.
    pub watch: Ticks,
    /// Without a verdict after this time the evidence is considered too thin.
    pub evidence_timeout: Ticks,
    pub thin_traffic: ThinTraffic,
    /// Probability that one comparison stops a harmless change.
    pub false_stop: f64,
    /// Report interval of fronts in an experiment, and of all others.
    pub report_fast: Ticks,
    pub report_slow: Ticks,
    /// Limit of the changes that wait for their trial.
    pub max_queued: usize,
    /// A canary that has not applied its version after this time is replaced.
    pub response_timeout: Ticks,
}

impl Default for TrialRules {
    fn default() -> TrialRules {
        TrialRules {
            canaries: 8,
            share: 0.1,
            watch: 300_000,
            evidence_timeout: 100_000,
            thin_traffic: ThinTraffic::Wait,
            false_stop: 1e-4,
            report_fast: 5_000,
            report_slow: 50_000,
            max_queued: 1_000,
            response_timeout: 6_000,
        }
    }
}

/// Stage of a batch of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    Canary,
    Wide,
    Everywhere,
}

impl Stage {
    pub fn name(self) -> &'static str {
        match self {
            Stage::Canary => "canary",
            Stage::Wide => "wide",
            Stage::Everywhere => "everywhere",
        }
    }
}

/// Why a change was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemovalReason {
    /// Fronts rejected it; `first` is the first rejection.
    Rejected {
        count: usize,
        of: usize,
        first: RejectionReason,
    },
    /// Fronts went down while running it, or did not respond.
    FrontsLost {
        count: usize,
        of: usize,
    },
    /// Fronts with it answered a smaller share of their accesses than those without, by this many thousandths.
    ServiceDrop {
        thousandths: u32,
        accesses: u64,
    },
    /// Harmful only in combination with earlier changes.
    Interaction {
        thousandths: u32,
        accesses: u64,
    },
    /// It depends on a change that was removed.
    DependsOn {
        change: u64,
    },
    /// An operator rolled back to another content.
    RolledBack,
    Manual,
}

impl fmt::Display for RemovalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |thousandths: &u32| f64::from(*thousandths) / 10.0;
        match self {
            RemovalReason::Rejected { count, of, first } => {
                write!(f, "{count} of {of} fronts turned it down: {first}")
            }
            RemovalReason::FrontsLost { count, of } => {
                write!(f, "{count} of {of} fronts went down or did not answer")
            }
            RemovalReason::ServiceDrop { thousandths, accesses } => write!(
                f,
                "fronts with it answered {:.1}% less than those without, over {accesses} accesses",
                percent(thousandths)
            ),
            RemovalReason::Interaction { thousandths, accesses } => write!(
                f,
                "together with earlier changes, fronts answered {:.1}% less, over {accesses} accesses",
                percent(thousandths)
            ),
            RemovalReason::DependsOn { change } => {
                write!(f, "it builds on change {change}, which was taken out")
            }
            RemovalReason::RolledBack => f.write_str("rolled back to an older content"),
            RemovalReason::Manual => f.write_str("by hand"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChangeState {
    Queued,
    Canary,
    Wide,
    Everywhere,
    InForce,
    Removed(RemovalReason),
    /// In force without enough evidence.
    Unproven,
}

impl fmt::Display for ChangeState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeState::Queued => f.write_str("waits"),
            ChangeState::Canary => f.write_str("on trial at canaries"),
            ChangeState::Wide => f.write_str("on trial at a share of the fronts"),
            ChangeState::Everywhere => f.write_str("proven, on its way to all fronts"),
            ChangeState::InForce => f.write_str("in force"),
            ChangeState::Removed(reason) => write!(f, "taken out: {reason}"),
            ChangeState::Unproven => f.write_str("in force, unproven"),
        }
    }
}

/// One change, as listed for people and scripts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRow {
    pub number: u64,
    pub note: Box<str>,
    pub state: ChangeState,
}

/// An unsettled change. `undo` is the delta from the content with its number to the content before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedChange {
    pub number: u64,
    pub note: Box<str>,
    pub undo: Delta,
    /// Already rolled out to all fronts and being observed.
    pub watched: bool,
}

/// The state of trials that survives a restart. A front may run any number up to `reserved`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedTrials {
    pub epoch: u64,
    pub reserved: u64,
    /// The numbers of the proven content and of the content with all changes.
    pub proven: Option<u64>,
    pub head: Option<u64>,
    pub changes: Vec<SavedChange>,
    /// Outcomes of the most recently settled changes.
    pub settled: Vec<ChangeRow>,
}
