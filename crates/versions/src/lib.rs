//! Decisions about configuration that is distributed in numbered versions. The code has no I/O, no clock, no
//! threads, and takes randomness only from a seed:
//!
//! - [`front`]: a front's side: what it does with an offered version until it confirms or rejects it, what it runs
//!   after a crash, and when it reconnects. It runs the last good version, whatever happens.
//! - [`service`]: the control service's side: which front is to have which version now, rollout in waves that stops
//!   automatically, the state of each front, and how fast reconnecting fronts are admitted.
//! - [`evidence`]: a statistical test whether fronts with a change answer fewer accesses than those without it.
//!   [`merge`]: three-way merges of changes, and reverting one change.
//! - [`trial`]: overlapping changes, each judged by comparing the fronts that run it with a control group.
//! - [`delta`], [`seal`]: a change encoded against a version that the other side has; a MAC that binds a
//!   content to its version number.
//!
//! A version's position is its epoch and its number. A service that has lost its store, or finds an older copy of it,
//! opens a new epoch, greater than any that fronts have reported. A position that is already known with other content
//! is never accepted. A front can't know whether a version is sensible, only whether it can be read and applied; a
//! service can't know what a front runs, only what the front reports. Times are given as [`Ticks`] by the caller.
#![forbid(unsafe_code)]

pub mod delta;
pub mod evidence;
pub mod front;
pub mod merge;
pub mod message;
pub mod seal;
pub mod service;
pub mod trial;

use std::fmt;

use serde::{Deserialize, Serialize};

/// A time or a span in units of 0.1 ms.
pub type Ticks = u64;

/// Larger contents are rejected before they are read. Enough for about 100,000 members of a hierarchy.
pub const MAX_CONTENT_BYTES: usize = 32 << 20;
/// A longer name of a front or a station is rejected.
pub const MAX_NAME_BYTES: usize = 64;

/// A version's position and the hash of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId {
    pub epoch: u64,
    pub number: u64,
    pub hash: [u8; 32],
}

impl VersionId {
    pub fn of(epoch: u64, number: u64, content: &[u8]) -> VersionId {
        VersionId { epoch, number, hash: *blake3::hash(content).as_bytes() }
    }

    /// Versions are ordered by epoch, then by number.
    pub fn position(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let VersionId { epoch, number, hash } = self;
        write!(f, "{epoch}.{number}-{:02x}{:02x}{:02x}{:02x}", hash[0], hash[1], hash[2], hash[3])
    }
}

/// Why a front rejected a version. The texts are shown in logs, by the service and to the publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectionReason {
    /// The validator's message: file, line, key, and what was expected.
    Unusable(Box<str>),
    /// The change needs a restart; the keys that it changes.
    NeedsRestart(Box<str>),
    /// It was valid, but could not be applied.
    NotApplied(Box<str>),
    /// The front crashed this many times while applying it.
    CrashLoop(u32),
    /// The front knows another content at this position.
    ConflictingContent,
    /// The front runs a later version.
    Outdated,
    /// The content does not match the hash.
    HashMismatch,
    /// The seal was not made with a known key; the key's number.
    InvalidSeal(u32),
    TooLarge(u64),
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectionReason::Unusable(reason) => f.write_str(reason),
            RejectionReason::NeedsRestart(keys) => {
                write!(f, "it changes settings that need a restart: {keys}")
            }
            RejectionReason::NotApplied(reason) => write!(f, "it could not be applied: {reason}"),
            RejectionReason::CrashLoop(times) => write!(f, "the front crashed on it {times} times"),
            RejectionReason::ConflictingContent => f.write_str("another content is known for its number"),
            RejectionReason::Outdated => {
                f.write_str("the front runs a later version: expected a new number, also to roll back")
            }
            RejectionReason::HashMismatch => f.write_str("its content does not match its hash"),
            RejectionReason::InvalidSeal(key) => {
                write!(f, "its seal is not valid: key {key} is unknown, or did not make it")
            }
            RejectionReason::TooLarge(bytes) => {
                write!(f, "{bytes} bytes: expected {MAX_CONTENT_BYTES} at most")
            }
        }
    }
}
