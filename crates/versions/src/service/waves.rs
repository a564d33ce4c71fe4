//! Rollout in waves, and when it stops.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{
    Effect, FrontResponse, LogEvent, PublishError, Rollout, Service, StopReason, Tally, Ticks, Version, rank,
};
use crate::message::ToFront;
use crate::{MAX_CONTENT_BYTES, RejectionReason, VersionId};

impl Service {
    /// Whether a publication is allowed now.
    pub(super) fn may_publish(&self, bytes: usize, expected_last: u64) -> Result<(), PublishError> {
        if let Some(by) = self.superseded {
            return Err(PublishError::Superseded { by });
        }
        if let Some(trials) = &self.trials {
            return trials.may_publish(bytes);
        }
        if expected_last != self.last() {
            return Err(PublishError::Conflict { last: self.last() });
        }
        if let Some(r) = self.rollout.as_ref().filter(|r| r.stopped.is_none()) {
            return Err(PublishError::InProgress { id: r.id });
        }
        if bytes > MAX_CONTENT_BYTES {
            return Err(PublishError::TooLarge(bytes));
        }
        Ok(())
    }

    /// Publishes a new version. `expected_last`: the last number that the publisher has seen.
    pub fn publish(
        &mut self,
        now: Ticks,
        content: Arc<[u8]>,
        note: &str,
        expected_last: u64,
        effects: &mut Vec<Effect>,
    ) -> Result<VersionId, PublishError> {
        self.may_publish(content.len(), expected_last)?;
        if self.trials.is_some() {
            return self.publish_change(now, content, note, expected_last, effects);
        }
        let id = VersionId::of(self.epoch, self.last() + 1, &content);
        if self.keys.seal(&id).is_none() {
            return Err(PublishError::NoKey);
        }
        let version = Version { id, content, note: note.into(), published_at: now };
        effects.push(Effect::Store(version.clone()));
        self.versions.insert(id.number, version);
        self.first_published = self.first_published.min(id.number);
        let needed = |n: &u64| Some(*n) == self.base || *n == id.number;
        while self.versions.len() > self.rules.history
            && let Some(oldest) = self.versions.keys().copied().find(|n| !needed(n))
        {
            self.versions.remove(&oldest);
        }
        let (wave, tally) = (0, Tally::default());
        let canaries = self.canaries(id.number);
        let (answered_since, stopped, dropping_since) = (None, None, None);
        let since = now;
        self.rollout =
            Some(Rollout { id, wave, since, answered_since, tally, canaries, stopped, dropping_since });
        self.store_state(effects);
        self.open_wave(now, effects);
        Ok(id)
    }

    /// Undoes a publication that could not be stored. To be called before any of its offers is sent.
    pub fn withdraw(&mut self, id: VersionId) {
        if let Some(trials) = &mut self.trials {
            trials.withdraw(id.number);
            self.versions.remove(&id.number);
            return;
        }
        if self.rollout.as_ref().is_some_and(|r| r.id == id) {
            self.rollout = None;
            self.versions.remove(&id.number);
            for front in &mut self.fronts {
                front.offered = front.offered.filter(|o| o.0 != id);
                if front.response.0 == id.number {
                    (front.response, front.counted) = ((0, FrontResponse::NotOffered), false);
                }
            }
            self.pending_responses.retain(|a| a.2 != id);
        }
    }

    /// Publishes an older content under a new number. It skips the waves: every front that runs the bad version
    /// is offered it at once.
    pub fn roll_back(
        &mut self,
        now: Ticks,
        number: u64,
        effects: &mut Vec<Effect>,
    ) -> Result<VersionId, PublishError> {
        let content = self.versions.get(&number).ok_or(PublishError::NoSuchVersion)?.content.clone();
        if self.trials.is_some() {
            return self.roll_back_trials(now, number, content, effects);
        }
        self.stop(StopReason::Manual, effects);
        let note = format!("back to {number}");
        let id = self.publish(now, content, &note, self.last(), effects)?;
        if let Some(r) = &mut self.rollout {
            // The content was good before: no canaries are needed.
            (r.wave, r.since) = (self.rules.wave_shares.len(), now);
        }
        self.store_state(effects);
        (0..self.fronts.len()).for_each(|index| self.offer(now, index, effects));
        Ok(id)
    }

    pub fn stop(&mut self, reason: StopReason, effects: &mut Vec<Effect>) {
        if let Some(r) = self.rollout.as_mut().filter(|r| r.stopped.is_none()) {
            r.stopped = Some(reason.clone());
            let id = r.id;
            effects.push(Effect::Log(LogEvent::Stopped { id, reason }));
            self.store_state(effects);
        }
    }

    /// Chooses connected fronts of different stations.
    fn canaries(&self, number: u64) -> BTreeSet<Box<str>> {
        let (mut chosen, mut stations) = (BTreeSet::new(), BTreeSet::new());
        let start = rank(&number.to_string());
        let from_start = self.by_rank.range((start, 0)..).chain(self.by_rank.range(..(start, 0)));
        for (&(_, index), ()) in from_start {
            if chosen.len() >= self.rules.canaries {
                break;
            }
            let front = &self.fronts[index];
            if front.conn.is_some() && stations.insert(&front.station) {
                chosen.insert(front.name.clone());
            }
        }
        chosen
    }

    /// Whether a front is in the current or an earlier wave of the rollout.
    fn is_in_wave(&self, r: &Rollout, index: usize) -> bool {
        if r.canaries.contains(&self.fronts[index].name) {
            return true;
        }
        let Some(share) = r.wave.checked_sub(1).and_then(|w| self.rules.wave_shares.get(w)) else {
            return r.wave > self.rules.wave_shares.len();
        };
        let distance = self.fronts[index].rank.wrapping_sub(rank(&r.id.number.to_string()));
        *share >= 1.0 || (distance as f64) < share * u64::MAX as f64
    }

    /// The fronts that the current wave adds, found without visiting all fronts.
    fn fronts_of_wave(&self, r: &Rollout) -> Vec<usize> {
        let Some(wave) = r.wave.checked_sub(1) else {
            return r.canaries.iter().filter_map(|name| self.by_name.get(name).copied()).collect();
        };
        let share = |w: usize| self.rules.wave_shares.get(w).copied().unwrap_or(1.0);
        let before = wave.checked_sub(1).map_or(0.0, share);
        let start = rank(&r.id.number.to_string());
        let rank_at = |share: f64| start.wrapping_add((share.min(1.0) * u64::MAX as f64) as u64);
        let (from, to) = (rank_at(before), rank_at(share(wave)));
        let fronts: Vec<usize> = if from <= to && share(wave) - before < 1.0 {
            self.by_rank.range((from, 0)..(to, 0)).map(|(k, ())| k.1).collect()
        } else {
            let wrapped = self.by_rank.range((from, 0)..).chain(self.by_rank.range(..(to, 0)));
            wrapped.map(|(k, ())| k.1).collect()
        };
        fronts
    }

    fn open_wave(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        let Some(r) = &self.rollout else { return };
        let fronts = self.fronts_of_wave(r);
        let (id, wave, of) = (r.id, r.wave, self.rules.wave_shares.len());
        effects.push(Effect::Log(LogEvent::WaveStarted { id, wave, of, fronts: fronts.len() }));
        for index in fronts {
            self.offer(now, index, effects);
        }
        self.set_timer(now + self.rules.soak, effects);
    }

    /// Mean service level of all fronts that the publication was not offered to.
    pub(super) fn mean_of_others(&self) -> Option<f64> {
        let levels = &self.rollout.as_ref()?.tally.service;
        let count = self.service_levels.1.checked_sub(levels.count).filter(|&c| c > 0)?;
        Some((self.service_levels.0 - levels.current) / count as f64)
    }

    /// The version that a front is to run now.
    pub(super) fn target(&self, index: usize) -> Option<VersionId> {
        if self.superseded.is_some() {
            return None;
        }
        if let Some(trials) = &self.trials {
            return trials.target(index);
        }
        let base = self.base.and_then(|n| self.versions.get(&n)).map(|v| v.id);
        match &self.rollout {
            Some(r) if r.stopped.is_none() && self.is_in_wave(r, index) => Some(r.id),
            _ => base,
        }
    }

    pub(super) fn offer(&mut self, now: Ticks, index: usize, effects: &mut Vec<Effect>) {
        if self.trials.is_some() {
            return self.offer_trial(now, index, effects);
        }
        let Some(target) = self.target(index) else { return };
        let front = &mut self.fronts[index];
        let Some(conn) = front.conn else { return };
        let up_to_date = front.running.is_some_and(|r| r.position() >= target.position());
        let already_offered = front.offered.is_some_and(|o| o.0 == target);
        // A front without a version may have run a later one. Versions published since this start are safe:
        // nothing later exists.
        let unknown = front.running.is_none()
            && self.recovering_until.is_some()
            && target.number < self.first_published;
        if up_to_date || already_offered || unknown {
            return;
        }
        front.offered = Some((target, now));
        effects.push(Effect::Send(conn, ToFront::Offer { id: target }));
        self.pending_responses.push_back((now + self.rules.response_timeout, index, target));
        self.record_response(index, target, FrontResponse::Offered);
    }

    /// Updates how a front counts in the tally, if `id` is the version being published.
    pub(super) fn record_response(&mut self, index: usize, id: VersionId, response: FrontResponse) {
        let others = self.mean_of_others();
        let Some(r) = self.rollout.as_mut().filter(|r| r.id == id) else { return };
        let own = &mut self.fronts[index].response;
        let before = if own.0 == id.number { own.1 } else { FrontResponse::NotOffered };
        *own = (id.number, response);
        if before == response {
            return;
        }
        if before == FrontResponse::NotOffered {
            r.tally.offered += 1;
            let service_level = f64::from(self.fronts[index].service_level);
            if !service_level.is_nan() {
                let levels = &mut r.tally.service;
                (levels.before, levels.current) =
                    (levels.before + service_level, levels.current + service_level);
                levels.count += 1;
                if let Some(mean) = others {
                    (levels.others, levels.others_count) = (levels.others + mean, levels.others_count + 1);
                }
            }
            self.fronts[index].counted = !service_level.is_nan();
        }
        if let Some(count) = r.tally.count(before) {
            *count -= 1;
        }
        if let Some(count) = r.tally.count(response) {
            *count += 1;
        }
        if response == FrontResponse::Offered {
            r.answered_since = None;
        }
    }

    /// Decides whether the rollout continues or stops.
    pub(super) fn evaluate_rollout(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        while let Some(&(deadline, index, id)) = self.pending_responses.front() {
            let front = &self.fronts[index];
            let waiting = front.offered.is_some_and(|o| o.0 == id)
                && front.running != Some(id)
                && front.rejected.as_ref().is_none_or(|r| r.0 != id);
            if waiting && deadline > now {
                break;
            }
            self.pending_responses.pop_front();
            // A disconnected front has not responded either.
            let disconnected = front.conn.is_none() && front.response == (id.number, FrontResponse::Offered);
            if waiting || disconnected {
                self.record_response(index, id, FrontResponse::TimedOut);
            }
        }
        let Some(r) = self.rollout.as_ref().filter(|r| r.stopped.is_none()) else { return };
        let Tally { offered, running, rejected, timed_out, .. } = r.tally;
        let of = offered.max(1) as f64;
        if rejected as f64 > self.rules.max_rejected_share * of {
            let first = r.tally.first_rejection.clone().unwrap_or(RejectionReason::ConflictingContent);
            return self.stop(StopReason::Rejected { count: rejected, of: offered, first }, effects);
        }
        if timed_out as f64 > self.rules.max_timed_out_share * of {
            return self.stop(StopReason::TimedOut { count: timed_out, of: offered }, effects);
        }
        // Reports arrive seconds apart, so a general overload shows at one front first and at others later: a
        // drop counts only after it has lasted for half the soak time.
        let (drop, min_duration) = (self.service_drop(), self.rules.soak / 2);
        if let Some(r) = &mut self.rollout {
            r.dropping_since = drop.is_some().then(|| r.dropping_since.unwrap_or(now));
        }
        let dropping_since = self.rollout.as_ref().and_then(|r| r.dropping_since);
        if let Some(stop) = drop.filter(|_| dropping_since.is_some_and(|since| now >= since + min_duration)) {
            return self.stop(stop, effects);
        }
        // At least one front has to run the version, or nothing is known about it.
        let answered = running > 0 && running + rejected + timed_out >= offered;
        let r = self.rollout.as_mut().filter(|_| answered);
        let Some(r) = r else { return };
        let since = *r.answered_since.get_or_insert(now);
        // The soak time counts from the start of the wave too: the canaries are observed for as long as a
        // change needs to show, even if there are none.
        let soaked = now >= since + self.rules.soak && now >= r.since + self.rules.soak;
        if !soaked {
            let soaked_at = since.max(r.since) + self.rules.soak;
            return self.set_timer(soaked_at, effects);
        }
        if let Some(since) = dropping_since {
            return self.set_timer(since + min_duration, effects);
        }
        let Some(r) = &mut self.rollout else { return };
        if r.wave >= self.rules.wave_shares.len() {
            let id = r.id;
            self.base = Some(id.number);
            self.rollout = None;
            self.store_state(effects);
            effects.push(Effect::Log(LogEvent::Everywhere(id)));
        } else {
            (r.wave, r.since, r.answered_since) = (r.wave + 1, now, None);
            self.store_state(effects);
            self.open_wave(now, effects);
        }
    }

    /// The drop of the service level of the fronts that were offered the version, minus the drop of all others
    /// in the same time; `None` if it is tolerable.
    fn service_drop(&self) -> Option<StopReason> {
        let r = self.rollout.as_ref()?;
        let levels = &r.tally.service;
        let mean = |sum: f64| sum / levels.count.max(1) as f64;
        let (before, now) = (mean(levels.before), mean(levels.current));
        let others_count = levels.others_count.max(1) as f64;
        let others = self
            .mean_of_others()
            .filter(|_| levels.others_count > 0)
            .map_or(0.0, |now| now - levels.others / others_count);
        // Others that improve do not count against the version: only their drop is taken into account.
        let drop = before - now + others.min(0.0);
        let thousandths = |share: f64| (1e3 * share).round();
        let stop = StopReason::ServiceDrop {
            from: thousandths(before) as u32,
            to: thousandths(now) as u32,
            others: thousandths(others) as i32,
        };
        (drop > self.rules.max_service_drop).then_some(stop)
    }
}
