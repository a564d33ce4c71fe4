//! What can be asked of a service: how each front stands, and how far a publication is.

use super::{Progress, Service, State, Status, Tally};

impl Service {
    pub fn fronts(&self) -> impl Iterator<Item = Status<'_>> {
        (0..self.fronts.len()).map(|at| self.status(at))
    }

    pub(super) fn status(&self, at: usize) -> Status<'_> {
        let f = &self.fronts[at];
        let goal = self.goal(at);
        let waits = f.offered.filter(|o| Some(o.0) == goal);
        let state = match (goal, &f.turned_down, waits) {
            (Some(goal), ..) if f.runs == Some(goal) => State::Current,
            // The same content under an earlier number.
            (Some(goal), ..) if self.trials.is_some() && f.runs.is_some_and(|r| r.hash == goal.hash) => {
                State::Current
            }
            (Some(goal), Some((id, why)), _) if *id == goal => State::TurnedDown(why.clone()),
            (Some(_), _, Some((_, since))) if f.heard.max(since) < since + self.rules.answer_within => {
                State::Offered
            }
            (Some(_), _, Some(_)) => State::Missing,
            _ => State::Waiting,
        };
        Status {
            front: &f.name,
            station: &f.station,
            connected: f.conn.is_some(),
            heard: f.heard,
            runs: f.runs,
            stored: f.stored,
            goal,
            state,
            lies: f.lies,
            serves: Some(f.serves).filter(|s| !s.is_nan()),
            sealed: f.sealed,
        }
    }

    /// The publication under way or stopped: its id, wave, how many it went to, run it, turned it down, are missing.
    pub fn progress(&self) -> Option<Progress> {
        let r = self.rollout.as_ref()?;
        let Tally { went, runs, refused, missing, .. } = r.tally;
        Some(Progress { id: r.id, wave: r.wave, went, runs, refused, missing, stopped: r.stopped.clone() })
    }
}
