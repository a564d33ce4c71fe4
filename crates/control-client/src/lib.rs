//! The control side of a front: the exchange with the configuration service and with other fronts, and the state of it
//! that survives a restart.
//!
//! - [`configuration`]: follows the stream of configuration versions, checks and stores them, and has the instance
//!   apply them ([`configuration::Instance`]).
//! - [`neighbours`]: membership among fronts, and recall: what a front remembers is fetched from them after a restart.
//!   [`memory`] persists it.
//! - [`worker`]: a thread with its own runtime for either of them, with a stop signal.
//!
//! A front runs these beside its client traffic. An instance without client traffic runs the very same code, many in
//! one process: each part is a future ([`configuration::Follower::run`], [`neighbours::Exchange::run`]) that any
//! runtime can drive. Nothing here knows of clients; what the instance must do is passed in as a trait or a callback.
#![forbid(unsafe_code)]

pub mod configuration;
pub mod memory;
pub mod neighbours;
pub mod seal_keys;
pub mod worker;

use doorgrade_hierarchy::homes::SavedList;
use doorgrade_recall::{Fill, Purge};
pub use doorgrade_stream::clock;

/// An observation of an instance itself, to be remembered. Times are those of [`clock`].
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    Fill(Fill),
    Purge(Purge),
    /// All homes of objects, in place of those reported before.
    Homes(Vec<SavedList>),
}

/// Why a part of the control side does not start; the text names the block and, where there is one, the key.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// A setting can't be used; the operator has to correct that block.
    #[error("settings: block '{block}': {message}")]
    Settings { block: &'static str, message: String },
    /// The thread could not be started.
    #[error("{name}: {source}")]
    Thread { name: &'static str, source: std::io::Error },
}

impl From<SetupError> for String {
    fn from(error: SetupError) -> String {
        error.to_string()
    }
}
