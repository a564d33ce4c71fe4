//! Timers: retries of messages to replicas, claims, and what ends at the client's deadline.

use doorgrade::Ticks;

use super::{
    Coordinator, Effect, MAX_CLAIMS_IN_FLIGHT, NextStep, OUTCOME_RETENTION, Phase, RETRY_INTERVAL,
    WATCH_INTERVAL,
};
use crate::{RecordView, ReplicaRequest, RequestId, Term};

impl Coordinator {
    /// To be called when the earliest timer has expired; also starts queued claims.
    pub fn on_timers(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        while let Some(&(at, id)) = self.timers.first().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, id));
            self.on_timer_of(now, id, effects);
        }
        while self.claims_in_flight < MAX_CLAIMS_IN_FLIGHT {
            let Some(id) = self.claim_queue.pop_front() else { break };
            if self.phase(id) == Some(Phase::Waiting) {
                self.claim(now, id, effects);
            }
        }
    }

    fn on_timer_of(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let past_deadline = now >= entry.deadline;
        if past_deadline
            && entry.client_waiting
            && !entry.timeout_reported
            && entry.phase != Phase::Settled
            && entry.phase != Phase::Idle
        {
            entry.timeout_reported = true;
            effects.push(Effect::Undecided { id });
        }
        let retention_over = now >= entry.deadline.saturating_add(OUTCOME_RETENTION);
        match entry.phase {
            Phase::Settled => drop(self.forget(id)),
            Phase::Creating if now >= entry.started_at + self.creation_timeout || past_deadline => {
                let reported = entry.timeout_reported;
                self.discard_own(id, effects);
                self.forget(id);
                if !reported {
                    effects.push(Effect::NotReplicated { id });
                }
            }
            Phase::Watching if past_deadline => drop(self.forget(id)),
            _ if retention_over => {
                self.enter_phase(now, id, Phase::Idle, NextStep::Resume);
                self.forget(id);
            }
            // The decision module ends it on its own; what it does not end is ended here.
            Phase::Idle if past_deadline => self.finish(now, id, effects),
            Phase::Idle => {
                let at = entry.deadline;
                self.set_timer(id, at);
            }
            Phase::Waiting => {
                // Queued once: it stays in the queue until a claim can be made or the retention time is over.
                let at = entry.deadline.max(now).saturating_add(OUTCOME_RETENTION);
                self.claim_queue.push_back(id);
                self.set_timer(id, at);
            }
            Phase::Creating | Phase::Writing | Phase::Claiming | Phase::Watching => {
                self.send_to_replicas(now, id, effects)
            }
        }
    }

    fn claim(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        let (own, incarnation) = (self.own, self.incarnation);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.claimed_at = now;
        let written = entry.term;
        entry.term = Term { number: written.number.max(1).saturating_add(1), owner: own, incarnation };
        self.enter_phase(now, id, Phase::Claiming, NextStep::Resume);
        self.send_to_replicas(now, id, effects);
    }

    /// Sends the message of the current phase to all replicas that have not agreed, and sets the timer to
    /// repeat it.
    fn send_to_replicas(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&id) else { return };
        let (term, version, time_left) = (entry.term, entry.version, entry.deadline.saturating_sub(now));
        let record = || entry.record.clone();
        for to in entry.replicas.all().filter(|f| !entry.agreed_by.contains(f)) {
            let request = match entry.phase {
                Phase::Creating => ReplicaRequest::Create { term, record: record(), time_left },
                Phase::Writing => ReplicaRequest::Write { term, version, record: record(), time_left },
                Phase::Claiming => {
                    // Under no term: a replica without a record need not know who wrote it.
                    let written = Term { number: 0, owner: 0, incarnation: 0 };
                    let push_age = now.saturating_sub(entry.first_push_at);
                    ReplicaRequest::Claim {
                        term,
                        view: RecordView { written, version: 0, record: record(), push_age, time_left },
                    }
                }
                Phase::Watching => ReplicaRequest::Read,
                Phase::Idle | Phase::Waiting | Phase::Settled => continue,
            };
            effects.push(Effect::Send { to, id, request });
        }
        let interval = if entry.phase == Phase::Watching { WATCH_INTERVAL } else { RETRY_INTERVAL };
        self.set_timer(id, now + interval);
    }
}
