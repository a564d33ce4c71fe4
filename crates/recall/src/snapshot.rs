//! The snapshot that a running front stores, and the checks before it is read after a restart.

use std::fmt;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

use crate::{Fill, Memory, Purge, Rules};

/// Format of the fields below. Later versions read earlier formats.
pub const FORMAT: u16 = 1;
/// Usual clock corrections within an hour are smaller than this.
const MAX_CLOCK_SKEW: Ticks = 10_000;

/// The contents of a memory, as stored on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub format: u16,
    /// The front's name.
    pub front: Box<str>,
    /// [`Rules::deployment_hash`] when it was taken.
    pub deployment_hash: u64,
    pub taken_at: Ticks,
    /// The latest incarnation of the front among its neighbours.
    pub incarnation: u64,
    pub rules: Rules,
    pub fills: Vec<Fill>,
    pub purges: Vec<Purge>,
}

/// Why a snapshot is not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotRejection {
    Format(u16),
    Front(Box<str>),
    Deployment,
    /// Taken this much later than now: the clock was set back, or the snapshot is from another machine.
    Future(Ticks),
    /// Taken this long ago: nothing in it can still be valid.
    Expired(Ticks),
}

impl fmt::Display for SnapshotRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotRejection::Format(format) => write!(f, "its format is {format}: expected {FORMAT}"),
            SnapshotRejection::Front(name) => write!(f, "it is {name}'s"),
            SnapshotRejection::Deployment => {
                f.write_str("it is of a deployment with other offerings or times")
            }
            SnapshotRejection::Future(by) => write!(f, "it was taken {} ms later than now", by / 10),
            SnapshotRejection::Expired(ago) => {
                write!(f, "it was taken {} ms ago, and nothing is true for so long", ago / 10)
            }
        }
    }
}

impl Snapshot {
    pub fn take(memory: &Memory, front: &str, incarnation: u64, now: Ticks) -> Snapshot {
        let (fills, purges) = memory.valid(now);
        let rules = memory.rules().clone();
        let deployment_hash = rules.deployment_hash();
        Snapshot {
            format: FORMAT,
            front: front.into(),
            deployment_hash,
            taken_at: now,
            incarnation,
            rules,
            fills,
            purges,
        }
    }

    /// Whether this front may read it; each entry is checked on import, too.
    pub fn check(&self, front: &str, rules: &Rules, now: Ticks) -> Result<(), SnapshotRejection> {
        if self.format != FORMAT {
            Err(SnapshotRejection::Format(self.format))
        } else if *self.front != *front {
            Err(SnapshotRejection::Front(self.front.clone()))
        } else if self.deployment_hash != rules.deployment_hash() {
            Err(SnapshotRejection::Deployment)
        } else if self.taken_at > now + MAX_CLOCK_SKEW {
            Err(SnapshotRejection::Future(self.taken_at - now))
        } else if self.taken_at + rules.max_lifetime() <= now {
            Err(SnapshotRejection::Expired(now - self.taken_at))
        } else {
            Ok(())
        }
    }
}
