//! The fills and purges that a front remembers over a restart, and which of them are still valid.
//!
//! A restarted front without these entries would treat every copy as young. Its entries from before are in its
//! own snapshot ([`Snapshot`]), and running neighbours have about the same ones ([`PageFetcher`],
//! [`PageServer`]). [`Memory`] decides for each entry whether it is worth keeping, for how long it is valid and
//! what ends it sooner. Imported entries never overrule those that the front has seen itself.
//!
//! | entry | valid until | ended sooner by | kept in snapshots | taken from neighbours |
//! | --- | --- | --- | --- | --- |
//! | when the copy of a part was made | its fresh time is over | a later purge of the part or its group | yes | yes: a false one shifts a refresh, until the first answer |
//! | that a part or group was purged | the purge is done | | yes | yes, as far as its time is possible: it only asks for younger copies |
//!
//! A front has no record of what happened while it was not running. An entry that can't be shown to be valid is
//! dropped and counted ([`ImportStats`]). Times are those of the front; when a copy was made is the origin's
//! statement, and the same at all fronts.
#![forbid(unsafe_code)]

mod fetcher;
mod memory;
mod server;
mod snapshot;

use std::fmt;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

pub use fetcher::{PageFetcher, PageRequest, Provider};
pub use memory::Memory;
pub use server::{FILLS_PER_PAGE, PageResponse, PageServer};
pub use snapshot::{Snapshot, SnapshotRejection};

/// When the copy of a part was made that caches hold now, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fill {
    pub offering: u16,
    pub object: u64,
    pub part: u32,
    pub group: u16,
    pub made_at: Ticks,
    /// When it was last requested.
    pub requested_at: Ticks,
}

/// No copy made before `at` may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purge {
    /// None: the whole group.
    pub object: Option<u64>,
    pub group: u16,
    pub at: Ticks,
}

/// How long entries are valid, by the deployment's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// By offering. 0: fresh until purged, and there is nothing to remember.
    pub fresh_times: Vec<Ticks>,
    pub purge_done: Ticks,
    /// Maximum number of remembered fills; the one requested longest ago is removed first.
    pub max_fills: usize,
}

/// Maximum number of remembered purges. A flood with more of them at a time is sent again by the feed.
pub const MAX_PURGES: usize = 4_096;

impl Rules {
    /// Identifies the offerings' order and times. What was remembered under others has no meaning here.
    pub fn deployment_hash(&self) -> u64 {
        let all_times = self.fresh_times.iter().chain([&self.purge_done]);
        all_times.fold(1, |hash, &t| doorgrade::hash::text(&format!("{hash:x} {t}")))
    }

    /// The longest time for which any entry is valid.
    pub fn max_lifetime(&self) -> Ticks {
        self.fresh_times.iter().copied().max().unwrap_or(0).max(self.purge_done)
    }
}

/// Where an entry comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// Seen by the front itself since its start.
    Own,
    Snapshot,
    Neighbour,
}

/// Why an entry was not imported, or is no longer valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DropReason {
    /// Older than its fresh time, or the purge is done.
    Expired,
    /// Purged since then.
    Purged,
    /// Its time is in the future.
    Future,
    /// Not an offering of this deployment, or one for which nothing is remembered.
    UnknownOffering,
    /// The front has seen this part itself.
    SeenLocally,
    /// Another source has a later time.
    Outdated,
    /// More than can be remembered.
    Full,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::Expired => "over",
            DropReason::Purged => "purged since",
            DropReason::Future => "from the future",
            DropReason::UnknownOffering => "of no offering here",
            DropReason::SeenLocally => "seen itself meanwhile",
            DropReason::Outdated => "older than what is known",
            DropReason::Full => "too many",
        })
    }
}

/// How many entries of each kind were imported, and why others were dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ImportStats {
    pub fills: u64,
    pub purges: u64,
    pub dropped: std::collections::BTreeMap<DropReason, u64>,
}

impl ImportStats {
    pub(crate) fn count_dropped(&mut self, reason: DropReason) {
        *self.dropped.entry(reason).or_default() += 1;
    }

    pub fn merge(&mut self, other: &ImportStats) {
        (self.fills, self.purges) = (self.fills + other.fills, self.purges + other.purges);
        other.dropped.iter().for_each(|(reason, count)| *self.dropped.entry(*reason).or_default() += count);
    }
}

impl fmt::Display for ImportStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} parts and {} purges taken", self.fills, self.purges)?;
        for (n, (reason, count)) in self.dropped.iter().enumerate() {
            write!(f, "{}{count} {reason}", if n == 0 { "; dropped: " } else { ", " })?;
        }
        Ok(())
    }
}
