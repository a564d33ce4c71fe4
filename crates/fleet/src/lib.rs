//! Keeps many instances of the program in the state that operators want. Decides without I/O, clock, threads
//! or randomness other than a seed:
//!
//! - [`instance`]: the state of one instance, derived from reports: exits, checks, the process table. Each
//!   report may come late, twice, wrong or not at all, so each names the start of the instance that it is
//!   about.
//! - [`order`]: the orders of operators. An order names the state that its sender has seen; of two conflicting
//!   orders one wins, and the other is rejected with the winner's sender and content.
//! - [`pace`]: how many instances may be down or cold at once, when one that died is started again, and when
//!   it is not started again.
//! - [`fleet`]: all instances of one agent: the desired state against the observed state, and the steps from
//!   one to the other.
//!
//! **Steps are idempotent.** A step is persisted before it is taken, with the start that it is for; if its
//! outcome is unknown, the processes are looked up before it is tried again. So an agent may crash at any
//! point, and the next one neither starts an instance twice nor forgets one.
//!
//! The module knows only what is reported: not whether an instance serves well, only whether it answers.
//! Times are in units of 0.1 ms, are passed in, and never run backwards in this module, even if the clock is set back.
#![forbid(unsafe_code)]

pub mod fleet;
pub mod instance;
pub mod order;
pub mod pace;

use serde::{Deserialize, Serialize};

pub use fleet::{Effect, Fleet, LogEvent};
pub use instance::{Check, DesiredState, Exit, Phase};
pub use order::{Operation, Order, OrderRejection};
pub use pace::PaceRules;

/// A time or a span in units of 0.1 ms.
pub type Ticks = u64;
pub const TICKS_PER_SECOND: Ticks = 10_000;

/// The number of an instance's start; increases with each.
pub type Run = u64;

/// Identifies a process. Process ids are reused, so it includes the start time as the kernel reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    pub id: u32,
    /// In kernel clock ticks since boot.
    pub start_time: u64,
}

/// Longest name of an instance, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Names appear in logs, environments and tables.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_LEN && name.bytes().all(allowed)
}
