//! The version on its way to being what a front runs: checked, staged, applied, kept, or turned down.

use super::{Content, Effect, Front, Line, MOST_REFUSED};
use crate::message::ToService;
use crate::seal::Seal;
use crate::{Id, Reason, Ticks};

/// How far it has come.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Asked { tries: u32 },
    Checking(Seal, Content),
    Staging(Seal, Content),
    Applying(Seal, Content),
    Keeping,
}

/// A version that was offered, and since when it stands at its step.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub id: Id,
    pub step: Step,
    pub since: Ticks,
}

/// What the shell answers.
impl Front {
    /// What the check came to; of a version that is no more the candidate it means nothing.
    pub fn checked(&mut self, now: Ticks, id: Id, result: Result<(), Reason>, out: &mut Vec<Effect>) {
        let Some((seal, content)) = self.at(id, |s| matches!(s, Step::Checking(..))) else { return };
        if let Err(why) = result {
            return self.turn_down(now, id, why, out);
        }
        let falls = self.fell.filter(|f| f.0 == id).map_or(0, |f| f.1);
        self.candidate = Some(Candidate { id, step: Step::Staging(seal, content), since: now });
        out.push(Effect::Stage { id, falls });
    }

    /// It is staged, or could not be: then a crash while it is applied is not counted.
    pub fn staged(&mut self, now: Ticks, id: Id, out: &mut Vec<Effect>) {
        let Some((seal, content)) = self.at(id, |s| matches!(s, Step::Staging(..))) else { return };
        self.candidate = Some(Candidate { id, step: Step::Applying(seal, content.clone()), since: now });
        out.push(Effect::Apply(id, content));
    }

    /// It is in use, or could not be taken.
    pub fn applied(&mut self, now: Ticks, id: Id, result: Result<(), Reason>, out: &mut Vec<Effect>) {
        let Some((seal, content)) = self.at(id, |s| matches!(s, Step::Applying(..))) else { return };
        if let Err(why) = result {
            return self.turn_down(now, id, why, out);
        }
        self.runs = Some((id, seal, content.clone()));
        self.stored = false;
        self.fell = None;
        self.candidate = Some(Candidate { id, step: Step::Keeping, since: now });
        out.push(Effect::Tell(Line::Runs(id)));
        out.push(Effect::Keep(id, seal, content));
    }

    /// It stands in the store, or could not be stored: then a restart begins with the one before.
    pub fn kept(&mut self, now: Ticks, id: Id, stored: bool, out: &mut Vec<Effect>) {
        if !matches!(&self.candidate, Some(c) if c.id == id && matches!(c.step, Step::Keeping)) {
            return;
        }
        self.stored = stored;
        if !stored {
            out.push(Effect::Tell(Line::NotStored(id)));
        }
        self.say(ToService::Runs { id, stored }, out);
        // Where it is counted what it serves with this version, from here on.
        if self.report_every.is_some() {
            out.push(Effect::Report { every: self.report_every });
        }
        self.go_on(now, out);
    }

    fn at(&self, id: Id, step: impl Fn(&Step) -> bool) -> Option<(Seal, Content)> {
        let candidate = self.candidate.as_ref().filter(|c| c.id == id && step(&c.step))?;
        match &candidate.step {
            Step::Checking(seal, content) | Step::Staging(seal, content) | Step::Applying(seal, content) => {
                Some((*seal, content.clone()))
            }
            Step::Asked { .. } | Step::Keeping => None,
        }
    }

    pub(super) fn turn_down(&mut self, now: Ticks, id: Id, why: Reason, out: &mut Vec<Effect>) {
        let staged = matches!(&self.candidate, Some(c) if matches!(c.step, Step::Applying(..)));
        if staged {
            out.push(Effect::Unstage);
        }
        self.remember(id, why.clone());
        out.push(Effect::Tell(Line::TurnedDown(id, why.clone())));
        self.say(ToService::TurnedDown { id, why }, out);
        self.go_on(now, out);
    }

    pub(super) fn remember(&mut self, id: Id, why: Reason) {
        if self.refused.len() == MOST_REFUSED {
            self.refused.remove(0);
        }
        self.refused.push((id, why));
    }

    pub(super) fn go_on(&mut self, now: Ticks, out: &mut Vec<Effect>) {
        self.candidate = None;
        if let Some(next) = self.next.take() {
            self.offered(now, next, out);
        }
    }
}
