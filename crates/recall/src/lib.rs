//! What a front remembers over its death, and what of it still holds.
//!
//! A front that comes back knows nothing: it takes every copy for young. What it knew stands in a snapshot of its own
//! ([`Snapshot`]), and neighbours that lived know as much ([`Asking`], [`Giving`]). [`Memory`] decides of each thing that is
//! remembered whether it is worth keeping, for how long it is true, what ends it sooner, and how second-hand word meets
//! what the front has seen itself: it never overrules that.
//!
//! | kind | true until | ended sooner by | kept | taken from others |
//! | --- | --- | --- | --- | --- |
//! | when a part's copy was made | its fresh time is over | a purge of it or its group since | yes | yes: a false one moves a renewal, until the first answer |
//! | that a part or group was purged | purges are done | | yes | yes, as far as it can be so: it only asks for younger copies |
//!
//! What it can't know: what happened while nobody watched. What can't be shown to hold still is dropped and counted
//! ([`Tally`]). Times are the front's; when a copy was made is the origin's word, the same at all fronts.
#![forbid(unsafe_code)]

mod asking;
mod giving;
mod memory;
mod snapshot;

use std::fmt;

use doorgrade::Ticks;
use serde::{Deserialize, Serialize};

pub use asking::{Asked, Asking, Giver};
pub use giving::{Gave, Giving, PAGE};
pub use memory::Memory;
pub use snapshot::{Refused, Snapshot};

/// When the copy of a part was made, that caches hold now as far as anybody knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fill {
    pub offering: u16,
    pub object: u64,
    pub part: u32,
    pub group: u16,
    pub made: Ticks,
    /// When it was asked for last.
    pub seen: Ticks,
}

/// All that was made before is not to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purge {
    /// Of the whole group where there is none.
    pub object: Option<u64>,
    pub group: u16,
    pub at: Ticks,
}

/// What the deployment says of how long things are true.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// By offering; 0: until it is purged, and then there is nothing to remember.
    pub fresh: Vec<Ticks>,
    pub purge_done: Ticks,
    /// Parts remembered at the most; the one asked for longest ago goes first.
    pub most: usize,
}

/// Purges remembered at the most. More within the time in which they act are a flood, of which the feed tells anew.
pub const MOST_PURGES: usize = 4_096;

impl Rules {
    /// Of offerings in the same order with the same times. What is remembered under others means nothing here.
    pub fn deployment(&self) -> u64 {
        let all = self.fresh.iter().chain([&self.purge_done]);
        all.fold(1, |hash, &t| doorgrade::hash::text(&format!("{hash:x} {t}")))
    }

    /// The longest that anything is true.
    pub fn longest(&self) -> Ticks {
        self.fresh.iter().copied().max().unwrap_or(0).max(self.purge_done)
    }
}

/// From whom something is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// The front itself, since its start.
    Own,
    Snapshot,
    Neighbour,
}

/// Why something was not taken, or is believed no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Why {
    /// It is true no more: older than its fresh time, or the purge is done.
    Ended,
    /// A purge since.
    Purged,
    /// Of a time that has not come.
    Future,
    /// Of no offering of this deployment, or of one for which nothing is remembered.
    Foreign,
    /// The front has seen it itself.
    Known,
    /// Another told a later time.
    Older,
    /// More than may be remembered.
    Full,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Ended => "over",
            Why::Purged => "purged since",
            Why::Future => "from the future",
            Why::Foreign => "of no offering here",
            Why::Known => "seen itself meanwhile",
            Why::Older => "older than what is known",
            Why::Full => "too many",
        })
    }
}

/// How many of a kind were taken, and why the others were not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub fills: u64,
    pub purges: u64,
    pub dropped: std::collections::BTreeMap<Why, u64>,
}

impl Tally {
    pub(crate) fn drop(&mut self, why: Why) {
        *self.dropped.entry(why).or_default() += 1;
    }

    pub fn add(&mut self, other: &Tally) {
        (self.fills, self.purges) = (self.fills + other.fills, self.purges + other.purges);
        other.dropped.iter().for_each(|(why, count)| *self.dropped.entry(*why).or_default() += count);
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} parts and {} purges taken", self.fills, self.purges)?;
        for (n, (why, count)) in self.dropped.iter().enumerate() {
            write!(f, "{}{count} {why}", if n == 0 { "; dropped: " } else { ", " })?;
        }
        Ok(())
    }
}
