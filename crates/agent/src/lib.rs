//! The agent runs many instances of the program on one machine, as its child processes. What to do next is decided by
//! the state machine in `doorgrade-fleet`; this package starts, finds, signals and probes processes, persists state,
//! and serves commands.
//!
//! - [`process`]: an instance as a process: started with a mark in its environment, found by that mark, and signalled
//!   without the risk of hitting another process that has got its id.
//! - [`probe`]: the health check of an instance.
//! - [`journal`]: what is persisted before it is acted upon, on `doorgrade-store`.
//! - [`core`]: the one task that owns the state machine and the journal.
//! - [`listener`]: the socket for commands; [`protocol`]: their requests and responses, and the client.
//! - [`serve`]: all of it together.
//!
//! Instances outlive their agent: the next one finds them by their marks. The agent needs no privileges beyond those of
//! the user that the instances run as.
#![forbid(unsafe_code)]

pub mod core;
pub mod journal;
pub mod listener;
pub mod probe;
pub mod process;
pub mod protocol;
pub mod serve;
