//! The effects that a front requests from its caller, its log events, and its stored state.

use std::sync::Arc;

use crate::message::ToService;
use crate::seal::Seal;
use crate::{RejectionReason, Ticks, VersionId};

/// The content of a version.
pub type Content = Arc<[u8]>;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Connect,
    Close,
    Send(ToService),
    /// Check whether the content is usable; the result goes to [`super::Front::on_checked`].
    Check(VersionId, Content),
    /// Followed by [`super::Front::on_staged`] whether or not it succeeded. `crashes`: how often the front
    /// crashed while applying this version.
    Stage {
        id: VersionId,
        crashes: u32,
    },
    /// Followed by [`super::Front::on_applied`].
    Apply(VersionId, Content),
    /// Store this version as the last good one and clear the staged one. Followed by
    /// [`super::Front::on_stored`] whether or not it succeeded.
    Store(VersionId, Seal, Content),
    /// Clear the staged version; there is no result.
    Unstage,
    /// Call [`super::Front::on_timer`] at this time.
    SetTimer(Ticks),
    Log(LogEvent),
    /// Call [`super::Front::report`] now and then at this interval, replacing the previous one; `None`: stop.
    SetReportInterval {
        interval: Option<Ticks>,
    },
}

/// An event to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    Running(VersionId),
    Rejected(VersionId, RejectionReason),
    /// The service has been silent or unreachable for this long.
    ServiceSilent(Ticks),
    ServiceBack,
    /// The stored version was unusable; the front runs its own configuration file.
    StoredVersionUnusable(RejectionReason),
    NotStored(VersionId),
}

/// The content of a front's store at its start.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    pub last_good: Option<(VersionId, Seal, Content)>,
    /// A version that was being applied when the front went down, and how often the front had crashed on it
    /// before.
    pub staged: Option<(VersionId, u32)>,
}
