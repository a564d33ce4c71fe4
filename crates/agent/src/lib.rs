//! The agent: instances of the program as its child processes, kept as people want them. What to do next is decided in
//! `doorgrade-fleet`; here processes are started, found, signalled and looked at, steps kept and people answered.
//!
//! - [`process`]: an instance as a process: started with a mark, found by it, told to end without mistaking another for it.
//! - [`probe`]: a look at an instance's door.
//! - [`journal`]: what is kept before it is done, on `doorgrade-store`.
//! - [`core`]: the one task that owns the machine and the journal.
//! - [`door`]: the socket where commands come; [`ask`]: what they ask, and the other end.
//! - [`serve`]: all of it together.
//!
//! Children outlive their agent: the next one finds them by their marks. The agent needs no rights beyond those of the
//! user whose instances they are.
#![forbid(unsafe_code)]

pub mod ask;
pub mod core;
pub mod door;
pub mod journal;
pub mod probe;
pub mod process;
pub mod serve;
