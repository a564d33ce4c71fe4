//! The control service as a program, and a client for operators' commands. Decisions are made in `doorgrade-versions`
//! and `doorgrade-trust`; this package handles connections, storage and logging.
//!
//! - [`settings`]: reads the operators' file and converts it for the other modules.
//! - [`event_loop`]: the task that owns the state machine and the store; the other tasks send it events.
//! - [`acceptor`]: the listeners for fronts and for operators, and a task for each connection.
//! - [`serve`]: starts and stops all of them.
//! - [`operator_client`]: the client side of an operator's connection, for commands.
#![forbid(unsafe_code)]

pub mod acceptor;
pub mod event_loop;
pub mod operator_client;
pub mod serve;
pub mod settings;
