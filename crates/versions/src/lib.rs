//! Configuration that is streamed in numbered versions. Decides, without I/O, clock, threads or chance but a seed:
//!
//! - [`front`]: what a front does with a version it is offered, from the offer to the confirmation or the refusal;
//!   what it runs after a crash; when it connects again. It runs the last good version, whatever happens.
//! - [`service`]: which front is to have which version now; publication in waves that stops by itself; what each
//!   front has, wants and said; who lags, who is silent, who says what can't be; how fast returning fronts come in.
//! - [`evidence`]: whether fronts with a change answer less than those without it. [`merge`]: changes laid on each other
//!   or taken out.
//! - [`trial`]: changes that overlap, each judged by what the fronts that have it answer against those that have not.
//! - [`delta`], [`seal`]: a change against a version that the other side has; a content bound to its number.
//!
//! A version's place is its epoch and its number: a service that has lost its store, or found an older copy of it,
//! opens a new epoch, which is greater than any it has heard of. The same place with other content is never taken.
//! A front can't know whether a version is wise, only whether it can be read and applied; a service can't know
//! what a front runs, only what it says. Times are whole tenths of a millisecond and are handed in.
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

/// Longer contents are refused before they are read: some 100,000 members of a hierarchy.
pub const MOST_CONTENT: usize = 32 << 20;
pub const MOST_NAME: usize = 64;

/// A version's place and the hash of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    pub epoch: u64,
    pub number: u64,
    pub hash: [u8; 32],
}

impl Id {
    pub fn of(epoch: u64, number: u64, content: &[u8]) -> Id {
        Id { epoch, number, hash: *blake3::hash(content).as_bytes() }
    }

    pub fn place(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Id { epoch, number, hash } = self;
        write!(f, "{epoch}.{number}-{:02x}{:02x}{:02x}{:02x}", hash[0], hash[1], hash[2], hash[3])
    }
}

/// Why a front turned a version down. It stands in the log, at the service and before whoever published, as worded here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// As whoever checked it words it: file, line, key, and what was expected.
    Unusable(Box<str>),
    /// It would need a restart; the keys that it changes.
    NeedsRestart(Box<str>),
    /// It could be read, but not be applied.
    NotApplied(Box<str>),
    /// The front has gone down on it that often.
    Fatal(u32),
    /// Another content is known under this number.
    Contradicts,
    /// The front has a later one.
    Older,
    /// Its content is not what its hash says.
    Altered,
    /// Nobody whose key is known vouches for it.
    Unsealed(u32),
    TooLong(u64),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Unusable(why) => f.write_str(why),
            Reason::NeedsRestart(keys) => write!(f, "it changes what is only taken at a start: {keys}"),
            Reason::NotApplied(why) => write!(f, "it could not be applied: {why}"),
            Reason::Fatal(times) => write!(f, "the front went down on it {times} times"),
            Reason::Contradicts => f.write_str("another content is known under its number"),
            Reason::Older => f.write_str("the front has a later one: expected a new number, also to go back"),
            Reason::Altered => f.write_str("its content is not what its hash says"),
            Reason::Unsealed(key) => {
                write!(f, "its seal is not good: key {key} is unknown, or did not make it")
            }
            Reason::TooLong(bytes) => write!(f, "{bytes} bytes: expected {MOST_CONTENT} at most"),
        }
    }
}
