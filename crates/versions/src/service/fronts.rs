//! Connections and messages of fronts.

use super::{ConnectionId, Effect, Front, FrontResponse, LogEvent, Rollout, Service, Ticks, Version, rank};
use crate::VersionId;
use crate::delta;
use crate::message::{Body, ToFront, ToService};
use crate::seal::Seal;
use std::sync::Arc;

use super::{MAX_DELTAS, MAX_DELTAS_OF_TRIALS};
use crate::evidence::Counts;
use crate::trial::Trials;

impl Service {
    /// A front's first message. The caller closes connections that begin with another message.
    fn hello(
        &mut self,
        now: Ticks,
        conn: ConnectionId,
        name: &str,
        station: &str,
        running: Option<(VersionId, Seal)>,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.by_name.get(name).copied();
        if !Service::is_valid_name(name)
            || !Service::is_valid_name(station)
            || known.is_none() && self.fronts.len() >= self.rules.max_fronts
        {
            return effects.push(Effect::Close(conn));
        }
        if let Some(delay) = self.admission_delay(now, name) {
            effects.push(Effect::Send(conn, ToFront::RetryLater { delay }));
            return effects.push(Effect::Close(conn));
        }
        let index = known.unwrap_or_else(|| {
            let (index, rank) = (self.fronts.len(), rank(name));
            self.fronts.push(Front {
                name: name.into(),
                station: station.into(),
                rank,
                conn: None,
                last_seen: now,
                running: None,
                stored: false,
                offered: None,
                rejected: None,
                response: (0, FrontResponse::NotOffered),
                false_claim: false,
                counted: false,
                seal_key: None,
                sent: None,
                service_level: f32::NAN,
            });
            self.by_name.insert(name.into(), index);
            self.by_rank.insert((rank, index), ());
            index
        });
        // The newer of two connections with the same name is used: the peer of the older one is gone, or soon
        // will be.
        if let Some(old) = self.fronts[index].conn.replace(conn) {
            self.by_conn.remove(&old);
            effects.push(Effect::Close(old));
        }
        self.by_conn.insert(conn, index);
        self.heartbeats.push_back((now + self.rules.heartbeat_interval, index, conn));
        effects
            .push(Effect::Send(conn, ToFront::Welcome { heartbeat_interval: self.rules.heartbeat_interval }));
        let front = &mut self.fronts[index];
        (front.last_seen, front.offered, front.rejected) = (now, None, None);
        front.running = running.map(|r| r.0);
        front.seal_key = running.map(|r| r.1.key);
        if let Some((id, seal)) = running {
            self.check_claim(index, id, &seal, effects);
            self.record_response(index, id, FrontResponse::Running);
        }
        self.add_canary(index, effects);
        self.offer(now, index, effects);
        self.trial_connected(now, index, effects);
    }

    /// How long a front has to wait to be admitted; `None` if it is admitted now.
    fn admission_delay(&mut self, now: Ticks, name: &str) -> Option<Ticks> {
        let interval = 10_000.0 / self.rules.admissions_per_second.max(1e-3);
        if let Some(&admitted_at) = self.admissions.get(name) {
            if now + 500 >= admitted_at {
                self.admissions.remove(name);
                return None;
            }
            return Some(admitted_at - now);
        }
        self.next_admission = self.next_admission.max(now as f64);
        let admitted_at = self.next_admission;
        self.next_admission += interval;
        // Allows a burst of a tenth of a second.
        if admitted_at <= now as f64 + 1_000.0 {
            return None;
        }
        if self.admissions.len() >= self.rules.max_fronts {
            self.admissions.clear();
        }
        self.admissions.insert(name.into(), admitted_at as Ticks);
        Some(admitted_at as Ticks - now)
    }

    /// If there were too few canaries at publication, fronts that connect early are added.
    fn add_canary(&mut self, index: usize, effects: &mut Vec<Effect>) {
        let (wanted, station) = (self.rules.canaries, &self.fronts[index].station);
        let Some(r) = self.rollout.as_mut().filter(|r| r.wave == 0 && r.canaries.len() < wanted) else {
            return;
        };
        let station_of = |name: &str| self.by_name.get(name).map(|&index| &self.fronts[index].station);
        if r.canaries.iter().all(|name| station_of(name) != Some(station)) {
            r.canaries.insert(self.fronts[index].name.clone());
            self.store_state(effects);
        }
    }

    /// Checks the version that a connecting front claims to run. A version that this service does not know but
    /// whose seal is valid comes from the service's own past or from another service; a front can't forge it.
    fn check_claim(&mut self, index: usize, running: VersionId, seal: &Seal, effects: &mut Vec<Effect>) {
        let known = self.versions.get(&running.number).is_some_and(|v| v.id == running);
        let pruned = self.versions.first_key_value().is_some_and(|v| running.number < *v.0);
        let unknown = running.epoch > self.epoch || running.epoch == self.epoch && !known && !pruned;
        let issued = |t: &Trials| t.may_have_issued(running.number);
        let may_be_trial = running.epoch == self.epoch
            && self.trials.as_ref().map_or(running.number <= self.reserved, issued);
        if !unknown || may_be_trial && self.keys.verify(&running, seal) {
            return;
        }
        if !self.keys.verify(&running, seal) {
            return self.log_false_claim(index, running, effects);
        }
        if running.epoch == self.epoch || self.versions.is_empty() {
            return self.new_epoch(running, effects);
        }
        // Another service with a later epoch is active: this one steps back.
        if self.superseded.is_none_or(|by| by < running.epoch) {
            self.superseded = Some(running.epoch);
            effects.push(Effect::Log(LogEvent::Superseded { by: running.epoch }));
        }
    }

    fn log_false_claim(&mut self, index: usize, id: VersionId, effects: &mut Vec<Effect>) {
        let front = &mut self.fronts[index];
        front.false_claim = true;
        effects.push(Effect::Log(LogEvent::FalseClaim { front: front.name.clone(), id }));
    }

    /// Takes over at an operator's request: the later service no longer exists, or was this one before its
    /// store was replaced by an older copy. Continues in a later epoch.
    pub fn take_over(&mut self, effects: &mut Vec<Effect>) {
        if let Some(epoch) = self.superseded.take() {
            self.new_epoch(VersionId { epoch, number: 0, hash: [0; 32] }, effects);
        }
    }

    /// Renumbers everything in an epoch later than any reported. The history is kept, but nothing of it is
    /// offered, since fronts run later versions: only an operator can decide what they are to run.
    fn new_epoch(&mut self, because: VersionId, effects: &mut Vec<Effect>) {
        self.epoch = self.epoch.max(because.epoch) + 1;
        effects.push(Effect::Log(LogEvent::NewEpoch { epoch: self.epoch, because }));
        (self.base, self.rollout, self.first_published, self.reserved) = (None, None, u64::MAX, 0);
        let old = std::mem::take(&mut self.versions);
        for (number, version) in (1..).zip(old.into_values()) {
            let version = Version { id: VersionId { epoch: self.epoch, number, ..version.id }, ..version };
            effects.push(Effect::Store(version.clone()));
            self.versions.insert(number, version);
        }
        self.fronts.iter_mut().for_each(|f| (f.offered, f.response) = (None, (0, FrontResponse::NotOffered)));
        self.pending_responses.clear();
        self.store_state(effects);
        if let Some(trials) = &mut self.trials {
            trials.reset(self.epoch, self.versions.len() as u64);
        }
    }

    pub fn on_message(
        &mut self,
        now: Ticks,
        conn: ConnectionId,
        message: ToService,
        effects: &mut Vec<Effect>,
    ) {
        if let ToService::Hello { front, station, running } = message {
            return self.hello(now, conn, &front, &station, running, effects);
        }
        let Some(&index) = self.by_conn.get(&conn) else { return effects.push(Effect::Close(conn)) };
        self.fronts[index].last_seen = now;
        match message {
            ToService::Hello { .. } => {}
            ToService::Fetch { id, base } => self.send_content(index, conn, id, base, effects),
            ToService::Running { id, stored } => {
                let offered = self.fronts[index].offered.is_some_and(|o| o.0 == id);
                let before = self.fronts[index].running == Some(id);
                // It may have been offered another version while it was still applying this one.
                let sent = self.fronts[index].sent.is_some_and(|s| s.0 == id);
                if !offered && !before && !sent {
                    // It was never offered this version.
                    return self.log_false_claim(index, id, effects);
                }
                let front = &mut self.fronts[index];
                (front.running, front.stored, front.rejected) = (Some(id), stored, None);
                front.seal_key = front.sent.filter(|sent| sent.0 == id).map(|sent| sent.1).or(front.seal_key);
                self.record_response(index, id, FrontResponse::Running);
                self.offer(now, index, effects);
                self.on_trials(now, effects, |t| t.on_confirmed(now, index, id));
            }
            ToService::Rejected { id, reason } => {
                if self.fronts[index].offered.is_some_and(|o| o.0 == id) {
                    let front = self.fronts[index].name.clone();
                    effects.push(Effect::Log(LogEvent::Rejected { front, id, reason: reason.clone() }));
                    self.fronts[index].rejected = Some((id, reason.clone()));
                    self.record_response(index, id, FrontResponse::Rejected);
                    if let Some(r) = self.rollout.as_mut().filter(|r| r.id == id) {
                        r.tally.first_rejection.get_or_insert(reason.clone());
                    }
                    self.on_trials(now, effects, |t| t.on_rejected(now, index, id, &reason));
                }
            }
            ToService::ServiceLevel { share } if share.is_finite() => {
                let front = &mut self.fronts[index];
                let (share, before) = (share.clamp(0.0, 1.0), front.service_level);
                // Averages several reports, since a single one is noisy.
                front.service_level = if before.is_nan() { share } else { 0.7 * before + 0.3 * share };
                let (level, response) = (f64::from(front.service_level), front.response);
                if before.is_nan() {
                    self.service_levels = (self.service_levels.0 + level, self.service_levels.1 + 1);
                } else {
                    let change = level - f64::from(before);
                    self.service_levels.0 += change;
                    let offered = |r: &&mut Rollout| {
                        response.0 == r.id.number && response.1 != FrontResponse::NotOffered
                    };
                    if let Some(r) = self.rollout.as_mut().filter(offered).filter(|_| front.counted) {
                        r.tally.service.current += change;
                    }
                }
            }
            ToService::ServiceLevel { .. } => {}
            ToService::Report { running, accesses, answered, sequence } => {
                let counts = Counts { accesses, answered };
                self.on_trials(now, effects, |t| t.on_report(now, index, running, counts, sequence));
            }
        }
        self.evaluate_rollout(now, effects);
    }

    fn send_content(
        &mut self,
        index: usize,
        conn: ConnectionId,
        id: VersionId,
        base: Option<VersionId>,
        effects: &mut Vec<Effect>,
    ) {
        let version = self.versions.get(&id.number).filter(|v| v.id == id).map(|v| v.content.clone());
        let on_trial = || self.trials.as_ref().and_then(|t| t.content(&id));
        let Some(content) = version.or_else(on_trial) else { return };
        let Some(seal) = self.keys.seal(&id) else { return };
        // The same content is the same base, whatever its number.
        let content_by_hash = |hash: [u8; 32]| {
            let kept = || self.versions.values().rev().find(|v| v.id.hash == hash).map(|v| v.content.clone());
            self.trials.as_ref().and_then(|t| t.base(&hash)).or_else(kept)
        };
        let max_deltas = if self.trials.is_some() { MAX_DELTAS_OF_TRIALS } else { MAX_DELTAS };
        let body = match base.and_then(|b| Some((b.hash, content_by_hash(b.hash)?))) {
            Some((hash, old)) => {
                let cached = self.deltas.iter().find(|d| d.0 == hash && d.1 == id.hash).map(|d| d.2.clone());
                let delta = cached.unwrap_or_else(|| {
                    let computed = Arc::new(delta::between(&old, &content));
                    self.deltas.truncate(max_deltas - 1);
                    self.deltas.push_front((hash, id.hash, computed.clone()));
                    computed
                });
                Body::Delta((*delta).clone())
            }
            None => Body::Full(content),
        };
        self.fronts[index].sent = Some((id, seal.key));
        effects.push(Effect::Send(conn, ToFront::Content { id, seal, body }));
    }

    /// A connection was closed.
    pub fn on_disconnected(&mut self, now: Ticks, conn: ConnectionId, effects: &mut Vec<Effect>) {
        if let Some(index) = self.by_conn.remove(&conn) {
            // The running version stays as last reported until the front reports another.
            self.fronts[index].conn = None;
            self.on_trials(now, effects, |t| t.on_disconnected(now, index));
            self.evaluate_rollout(now, effects);
        }
    }
}
