//! The status of each front and the progress of the rollout.

use super::{FrontState, Progress, Service, Status, Tally};

impl Service {
    pub fn fronts(&self) -> impl Iterator<Item = Status<'_>> {
        (0..self.fronts.len()).map(|index| self.status(index))
    }

    pub(super) fn status(&self, index: usize) -> Status<'_> {
        let f = &self.fronts[index];
        let target = self.target(index);
        let offered = f.offered.filter(|o| Some(o.0) == target);
        let state = match (target, &f.rejected, offered) {
            (Some(target), ..) if f.running == Some(target) => FrontState::Current,
            // The same content with an earlier number.
            (Some(target), ..)
                if self.trials.is_some() && f.running.is_some_and(|r| r.hash == target.hash) =>
            {
                FrontState::Current
            }
            (Some(target), Some((id, reason)), _) if *id == target => FrontState::Rejected(reason.clone()),
            (Some(_), _, Some((_, since)))
                if f.last_seen.max(since) < since + self.rules.response_timeout =>
            {
                FrontState::Offered
            }
            (Some(_), _, Some(_)) => FrontState::TimedOut,
            _ => FrontState::Waiting,
        };
        Status {
            front: &f.name,
            station: &f.station,
            connected: f.conn.is_some(),
            last_seen: f.last_seen,
            running: f.running,
            stored: f.stored,
            target,
            state,
            false_claim: f.false_claim,
            service_level: Some(f.service_level).filter(|s| !s.is_nan()),
            seal_key: f.seal_key,
        }
    }

    /// The rollout in progress or stopped, if any.
    pub fn progress(&self) -> Option<Progress> {
        let r = self.rollout.as_ref()?;
        let Tally { offered, running, rejected, timed_out, .. } = r.tally;
        Some(Progress {
            id: r.id,
            wave: r.wave,
            offered,
            running,
            rejected,
            timed_out,
            stopped: r.stopped.clone(),
        })
    }
}
