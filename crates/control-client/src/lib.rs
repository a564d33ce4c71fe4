//! The control side of a front: what it exchanges with the configuration service and with other fronts, and what of
//! that survives a restart.
//!
//! - [`configuration`]: follows the stream of configuration versions, checks and stores them, and has the instance
//!   bring them into use ([`configuration::Instance`]).
//! - [`neighbours`]: membership among fronts, and what is recalled from them; [`memory`] is its disk.
//! - [`worker`]: a thread with a runtime for either, which can be told to stop.
//!
//! A front runs these beside its client traffic. An instance without client traffic runs the very same code, many in
//! one process: each part is a future ([`configuration::Follower::run`], [`neighbours::Neighbours::run`]) that any
//! runtime can drive. Nothing here knows of clients; what the instance must do is handed in as a trait or a callback.
#![forbid(unsafe_code)]

pub mod configuration;
pub mod memory;
pub mod neighbours;
pub mod seal_keys;
pub mod worker;

use doorgrade_hierarchy::homes::SavedList;
use doorgrade_recall::{Fill, Purge};
pub use doorgrade_stream::clock;

/// What an instance has seen itself, for whoever remembers it. Times are those of [`clock`].
#[derive(Clone, Debug, PartialEq)]
pub enum Learned {
    Fill(Fill),
    Purge(Purge),
    Homes(Vec<SavedList>),
}

/// Why a part of the control side does not start; the text names the block and, where there is one, the key.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// A setting can't be used as it stands; the operator mends that block.
    #[error("settings: block '{block}': {what}")]
    Settings { block: &'static str, what: String },
    /// The system gives no thread.
    #[error("{name}: {source}")]
    Thread { name: &'static str, source: std::io::Error },
}

impl From<SetupError> for String {
    fn from(error: SetupError) -> String {
        error.to_string()
    }
}
