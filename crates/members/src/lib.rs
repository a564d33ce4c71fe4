//! Who is there: the fronts of a fleet, found by seeds, missed by SWIM, met again after a death, a stall or a cut.
//!
//! Handed datagrams and the time; gives back datagrams and what has changed ([`Members`]). Detection is the crate
//! `foca`'s; what is decided here is around it:
//!
//! - **Incarnations.** A name at an address is one member over its lives. A later life wins over an earlier one, and one
//!   that was taken for dead comes back as a later one (`Id`).
//! - **Waking.** A process that was stopped believes that it never slept: its timers are all due at once, and would
//!   accuse whoever did not answer meanwhile. A gap in time longer than any sleep of its own is taken for a stall:
//!   all that it believed is dropped before any of it is acted upon, it comes back as a later life, and it says that
//!   it doubts until somebody has answered (`Standing::Doubts`).
//! - **Words.** No more than a stated number of datagrams leaves it in a second, whatever happens (`words.rs`).
//! - **Seeking.** Who is not among others asks seeds and those it once knew, one at a time, ever more slowly; who is
//!   among others still asks one that is missing now and then, so that halves that were cut apart meet (`seek.rs`).
//! - **Seals.** A datagram is under a key that the operators gave, made for the address that it goes to (`seal.rs`).
//!
//! What it can't know: whether one that does not answer is dead, stalled or cut off. `Down` is a belief.
#![forbid(unsafe_code)]

mod detection;
mod doubts;
mod id;
mod members;
pub mod seal;
mod seek;
mod settings;
mod types;
mod words;

pub use id::{Id, MOST_NAME};
pub use words::Words;

pub use members::Members;
pub use settings::Settings;
pub use types::{Effect, Event, Seen, Standing, State};
