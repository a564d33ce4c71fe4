//! What a front writes down while it lives, and whether one that comes back may read it.

use std::fmt;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

use crate::{Fill, Memory, Purge, Rules};

/// Of what follows. A later one reads earlier ones.
pub const FORMAT: u16 = 1;
/// Clocks are set right by less than this in an ordinary hour.
const OFF: Ticks = 10_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub format: u16,
    /// Whose it is.
    pub front: Box<str>,
    /// Of the deployment that it was taken in.
    pub deployment: u64,
    pub taken: Ticks,
    /// The latest life of the front among its neighbours.
    pub life: u64,
    pub rules: Rules,
    pub fills: Vec<Fill>,
    pub purges: Vec<Purge>,
}

/// Why nothing of one is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    Format(u16),
    Front(Box<str>),
    Deployment,
    /// Taken so much later than now: the clock was set back, or it is another machine's.
    Future(Ticks),
    /// Taken so long ago that nothing in it can hold.
    Old(Ticks),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Format(format) => write!(f, "its format is {format}: expected {FORMAT}"),
            Refused::Front(name) => write!(f, "it is {name}'s"),
            Refused::Deployment => f.write_str("it is of a deployment with other offerings or times"),
            Refused::Future(by) => write!(f, "it was taken {} ms later than now", by / 10),
            Refused::Old(ago) => {
                write!(f, "it was taken {} ms ago, and nothing is true for so long", ago / 10)
            }
        }
    }
}

impl Snapshot {
    pub fn take(memory: &Memory, front: &str, life: u64, now: Ticks) -> Snapshot {
        let (fills, purges) = memory.all(now);
        let rules = memory.rules().clone();
        let deployment = rules.deployment();
        Snapshot { format: FORMAT, front: front.into(), deployment, taken: now, life, rules, fills, purges }
    }

    /// Whether this front may read it; each thing in it is then weighed by itself.
    pub fn check(&self, front: &str, rules: &Rules, now: Ticks) -> Result<(), Refused> {
        if self.format != FORMAT {
            Err(Refused::Format(self.format))
        } else if *self.front != *front {
            Err(Refused::Front(self.front.clone()))
        } else if self.deployment != rules.deployment() {
            Err(Refused::Deployment)
        } else if self.taken > now + OFF {
            Err(Refused::Future(self.taken - now))
        } else if self.taken + rules.longest() <= now {
            Err(Refused::Old(now - self.taken))
        } else {
            Ok(())
        }
    }
}
