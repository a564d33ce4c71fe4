//! The service of versions as a program, and whoever asks it something. Decisions are `doorgrade-versions`' and
//! `doorgrade-trust`'s; here connections are made, read and written, records stored and lines told.
//!
//! - [`settings`]: the operators' file made into what the rest needs.
//! - [`core`]: the one task that owns the machine and the store; all else sends it what happened.
//! - [`door`]: the listeners for fronts and for operators, and a task for each connection.
//! - [`serve`]: all of it together, until it is told to stop.
//! - [`ask`]: the other end of the operators' door, for commands.
#![forbid(unsafe_code)]

pub mod ask;
pub mod core;
pub mod door;
pub mod serve;
pub mod settings;
