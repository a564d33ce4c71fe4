//! The version that a front is about to run: checked, staged, applied and stored, or rejected.

use super::{Content, Effect, Front, LogEvent, MAX_REMEMBERED_REJECTIONS};
use crate::message::ToService;
use crate::seal::Seal;
use crate::{RejectionReason, Ticks, VersionId};

/// Progress of a candidate version.
#[derive(Clone, Debug)]
pub(super) enum CandidateState {
    Fetching { attempts: u32 },
    Checking(Seal, Content),
    Staging(Seal, Content),
    Applying(Seal, Content),
    Storing,
}

/// A version that was offered, and since when it has been in its state.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub id: VersionId,
    pub state: CandidateState,
    pub since: Ticks,
}

/// Results of effects.
impl Front {
    /// The result of a check; ignored if the version is no longer the candidate.
    pub fn on_checked(
        &mut self,
        now: Ticks,
        id: VersionId,
        result: Result<(), RejectionReason>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((seal, content)) =
            self.content_at(id, |state| matches!(state, CandidateState::Checking(..)))
        else {
            return;
        };
        if let Err(reason) = result {
            return self.reject(now, id, reason, effects);
        }
        let crashes = self.crashed.filter(|c| c.0 == id).map_or(0, |c| c.1);
        self.candidate = Some(Candidate { id, state: CandidateState::Staging(seal, content), since: now });
        effects.push(Effect::Stage { id, crashes });
    }

    /// The version was staged, or staging failed: then a crash while it is applied is not counted.
    pub fn on_staged(&mut self, now: Ticks, id: VersionId, effects: &mut Vec<Effect>) {
        let Some((seal, content)) = self.content_at(id, |state| matches!(state, CandidateState::Staging(..)))
        else {
            return;
        };
        self.candidate =
            Some(Candidate { id, state: CandidateState::Applying(seal, content.clone()), since: now });
        effects.push(Effect::Apply(id, content));
    }

    /// The version was applied, or could not be applied.
    pub fn on_applied(
        &mut self,
        now: Ticks,
        id: VersionId,
        result: Result<(), RejectionReason>,
        effects: &mut Vec<Effect>,
    ) {
        let Some((seal, content)) =
            self.content_at(id, |state| matches!(state, CandidateState::Applying(..)))
        else {
            return;
        };
        if let Err(reason) = result {
            return self.reject(now, id, reason, effects);
        }
        self.running = Some((id, seal, content.clone()));
        self.stored = false;
        self.crashed = None;
        self.candidate = Some(Candidate { id, state: CandidateState::Storing, since: now });
        effects.push(Effect::Log(LogEvent::Running(id)));
        effects.push(Effect::Store(id, seal, content));
    }

    /// The version was stored, or storing failed: then a restart begins with the previous one.
    pub fn on_stored(&mut self, now: Ticks, id: VersionId, stored: bool, effects: &mut Vec<Effect>) {
        if !matches!(&self.candidate, Some(c) if c.id == id && matches!(c.state, CandidateState::Storing)) {
            return;
        }
        self.stored = stored;
        if !stored {
            effects.push(Effect::Log(LogEvent::NotStored(id)));
        }
        self.send(ToService::Running { id, stored }, effects);
        // Restarts the reports, so that accesses are counted for this version from here on.
        if self.report_interval.is_some() {
            effects.push(Effect::SetReportInterval { interval: self.report_interval });
        }
        self.next_candidate(now, effects);
    }

    fn content_at(&self, id: VersionId, state: impl Fn(&CandidateState) -> bool) -> Option<(Seal, Content)> {
        let candidate = self.candidate.as_ref().filter(|c| c.id == id && state(&c.state))?;
        match &candidate.state {
            CandidateState::Checking(seal, content)
            | CandidateState::Staging(seal, content)
            | CandidateState::Applying(seal, content) => Some((*seal, content.clone())),
            CandidateState::Fetching { .. } | CandidateState::Storing => None,
        }
    }

    pub(super) fn reject(
        &mut self,
        now: Ticks,
        id: VersionId,
        reason: RejectionReason,
        effects: &mut Vec<Effect>,
    ) {
        let staged = matches!(&self.candidate, Some(c) if matches!(c.state, CandidateState::Applying(..)));
        if staged {
            effects.push(Effect::Unstage);
        }
        self.remember_rejection(id, reason.clone());
        effects.push(Effect::Log(LogEvent::Rejected(id, reason.clone())));
        self.send(ToService::Rejected { id, reason }, effects);
        self.next_candidate(now, effects);
    }

    pub(super) fn remember_rejection(&mut self, id: VersionId, reason: RejectionReason) {
        if self.rejected.len() == MAX_REMEMBERED_REJECTIONS {
            self.rejected.remove(0);
        }
        self.rejected.push((id, reason));
    }

    pub(super) fn next_candidate(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        self.candidate = None;
        if let Some(next) = self.next.take() {
            self.on_offer(now, next, effects);
        }
    }
}
