//! Settings, states and what is stored.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::delta::Delta;
use crate::{Reason, Ticks};

/// How a publication comes to everyone.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum RolloutMode {
    /// One at a time, in waves, each watched for a time.
    #[default]
    Waves,
    /// Overlapping, each stage as long as the evidence takes.
    Evidence(TrialRules),
}

/// What happens where there are too few accesses to tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ThinTraffic {
    #[default]
    Wait,
    /// Goes on, and says that it went on unproven.
    GoOn,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TrialRules {
    /// Fronts of each arm of the canary stage, of different stations.
    pub canaries: usize,
    /// Share of all connected fronts that a change may come to before it is proven.
    pub share: f64,
    /// How long a change is observed after it has come to everyone.
    pub watch: Ticks,
    /// Without a verdict by then evidence is too thin.
    pub evidence_within: Ticks,
    pub thin_traffic: ThinTraffic,
    /// Probability that one comparison stops a change that does no harm.
    pub false_stop: f64,
    /// Between reports of fronts on trial, and of all others.
    pub report_fast: Ticks,
    pub report_slow: Ticks,
    /// Changes that wait; one more is not published.
    pub most_queued: usize,
    /// A front on trial that has gone, or has not answered, is missing after so long.
    pub gone_within: Ticks,
}

impl Default for TrialRules {
    fn default() -> TrialRules {
        TrialRules {
            canaries: 8,
            share: 0.1,
            watch: 300_000,
            evidence_within: 100_000,
            thin_traffic: ThinTraffic::Wait,
            false_stop: 1e-4,
            report_fast: 5_000,
            report_slow: 50_000,
            most_queued: 1_000,
            gone_within: 6_000,
        }
    }
}

/// How far a batch of changes is.
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

/// Why a change was taken out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Harm {
    /// Fronts turned it down; what the first of them said.
    Refused {
        count: usize,
        of: usize,
        first: Reason,
    },
    /// Fronts went down on it, or did not answer.
    Missing {
        count: usize,
        of: usize,
    },
    /// Fronts with it answered so much less than those without, in thousandths of accesses.
    Dropped {
        thousandths: u32,
        accesses: u64,
    },
    /// Harmful only together with earlier changes that are there.
    Together {
        thousandths: u32,
        accesses: u64,
    },
    /// It builds on a change that was taken out.
    BuildsOn {
        change: u64,
    },
    /// It was undone by a change of hands: another content was made everyone's.
    RolledBack,
    ByHand,
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |thousandths: &u32| f64::from(*thousandths) / 10.0;
        match self {
            Harm::Refused { count, of, first } => write!(f, "{count} of {of} fronts turned it down: {first}"),
            Harm::Missing { count, of } => write!(f, "{count} of {of} fronts went down or did not answer"),
            Harm::Dropped { thousandths, accesses } => write!(
                f,
                "fronts with it answered {:.1}% less than those without, over {accesses} accesses",
                percent(thousandths)
            ),
            Harm::Together { thousandths, accesses } => write!(
                f,
                "together with earlier changes, fronts answered {:.1}% less, over {accesses} accesses",
                percent(thousandths)
            ),
            Harm::BuildsOn { change } => write!(f, "it builds on change {change}, which was taken out"),
            Harm::RolledBack => f.write_str("an older content was made everyone's"),
            Harm::ByHand => f.write_str("by hand"),
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
    TakenOut(Harm),
    /// In force without enough evidence.
    Unproven,
}

impl fmt::Display for ChangeState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeState::Queued => f.write_str("waits"),
            ChangeState::Canary => f.write_str("on trial at canaries"),
            ChangeState::Wide => f.write_str("on trial at a share of the fronts"),
            ChangeState::Everywhere => f.write_str("proven, on its way to everyone"),
            ChangeState::InForce => f.write_str("in force"),
            ChangeState::TakenOut(why) => write!(f, "taken out: {why}"),
            ChangeState::Unproven => f.write_str("in force, unproven"),
        }
    }
}

/// One change, for people and scripts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRow {
    pub number: u64,
    pub note: Box<str>,
    pub state: ChangeState,
}

/// A change that is not settled: `undo` leads from the content of its number to the content before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedChange {
    pub number: u64,
    pub note: Box<str>,
    pub undo: Delta,
    /// Everyone's already, and watched.
    pub watched: bool,
}

/// What survives a restart. A front may run anything up to `reserved`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedTrials {
    pub epoch: u64,
    pub reserved: u64,
    /// The numbers of what is everyone's and of the content with all changes.
    pub proven: Option<u64>,
    pub head: Option<u64>,
    pub changes: Vec<SavedChange>,
    /// What came of the last of those that are settled.
    pub settled: Vec<ChangeRow>,
}
