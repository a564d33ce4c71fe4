//! Many instances of the program, kept as people want them. Decides, without I/O, clock, threads or chance but a seed:
//!
//! - [`instance`]: where one instance stands, out of what is told of it: exits, checks, the process table. Each of these may
//!   come late, twice, wrong or not at all, so each says which start of the instance it speaks of.
//! - [`order`]: what people ask for. An order names the state that its giver has seen; of two that conflict one wins and the
//!   other is told by whom and what.
//! - [`pace`]: how many may be down, or cold, at once; when one that died is started again, and when it is set aside.
//! - [`fleet`]: all of it together, for the instances of one agent: state as wanted against state as seen, and the steps
//!   that lead from one to the other.
//!
//! **A step is safe to repeat.** What is about to be done is kept before it is done, with the start that it is for; a step
//! whose outcome is not known is looked at before it is tried again. So an agent may die at any point, and whoever
//! comes after it neither starts an instance twice nor forgets one.
//!
//! It knows only what it was told. It can't know whether an instance serves well, only whether it answers. Times are whole
//! tenths of a millisecond and are handed in; they never run backwards in here, whatever the clock does.
#![forbid(unsafe_code)]

pub mod fleet;
pub mod instance;
pub mod order;
pub mod pace;

use serde::{Deserialize, Serialize};

pub use fleet::{Do, Fleet, Line};
pub use instance::{Check, Exit, Phase, Want};
pub use order::{Order, Refused, What};
pub use pace::Rules;

/// The name that [`instance`] had; the lab still uses it.
#[doc(hidden)]
pub use instance as life;

/// A time or a span in units of 0.1 ms.
pub type Ticks = u64;
pub const TICKS_PER_SECOND: Ticks = 10_000;

/// Which start of an instance; grows with each.
pub type Run = u64;

/// A process by what can't be taken for another: ids are used again, so it has the moment at which the kernel says
/// that it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    pub id: u32,
    /// In the kernel's ticks since it was booted.
    pub born: u64,
}

pub const MOST_NAME: usize = 64;

/// Names stand in logs, environments and tables.
pub fn fits(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MOST_NAME && name.bytes().all(plain)
}
