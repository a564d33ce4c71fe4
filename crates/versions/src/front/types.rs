//! What a front's side asks of its shell, and what it is handed at its start.

use std::sync::Arc;

use crate::message::ToService;
use crate::seal::Seal;
use crate::{Id, Reason, Ticks};

/// The bytes of a version.
pub type Content = Arc<[u8]>;

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Connect,
    Close,
    Send(ToService),
    /// Say whether it can be used, and why not: [`super::Front::checked`].
    Check(Id, Content),
    /// Answered by [`super::Front::staged`], whatever came of it. `falls`: how often the front went down on it.
    Stage {
        id: Id,
        falls: u32,
    },
    /// Answered by [`super::Front::applied`].
    Apply(Id, Content),
    /// Answered by [`super::Front::kept`], whatever came of it. What was staged is no more.
    Keep(Id, Seal, Content),
    /// Nothing is staged any more; unanswered.
    Unstage,
    /// Call [`super::Front::due`] then.
    Wake(Ticks),
    Tell(Line),
    /// Call [`super::Front::report`] now and then each `every`, in place of what was asked before; none: no more.
    Report {
        every: Option<Ticks>,
    },
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    Runs(Id),
    TurnedDown(Id, Reason),
    /// The service says nothing, or can't be reached, since so long.
    Silent(Ticks),
    Back,
    /// What was kept could not be used; it runs its own file.
    OwnFile(Reason),
    NotStored(Id),
}

/// What a start finds in the store.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub good: Option<(Id, Seal, Content)>,
    /// A version that was being applied when the front went down, and how often it was before.
    pub staged: Option<(Id, u32)>,
}
