//! A front's side of configuration distribution: a version is offered, fetched, checked, staged, applied and
//! then confirmed or rejected.
//!
//! The caller passes in events and executes the returned [`Effect`]s. The front always runs and reports the version
//! that was applied last. A version is staged, with a crash counter, before it is applied, and is good once it was
//! applied. A front that crashes while applying a version finds it staged at its next start and runs the last good one
//! instead; after `MAX_CRASHES` such starts it rejects the version without trying it again. If the store fails,
//! versions are still applied, but not stored.

mod candidate;
mod types;

use fastrand::Rng;

use crate::delta;
use crate::message::{Body, ToFront, ToService};
use crate::seal::{Keys, Seal};
use crate::{MAX_CONTENT_BYTES, RejectionReason, Ticks, VersionId};

use candidate::{Candidate, CandidateState};
pub use types::{Content, Effect, LogEvent, StoredState};

#[derive(Clone, Debug)]
enum Connection {
    /// Reconnects at `retry_at`.
    Disconnected {
        retry_at: Ticks,
    },
    Connecting,
    Connected {
        last_received: Ticks,
        heartbeat_interval: Ticks,
    },
}

#[derive(Clone, Debug)]
pub struct Front {
    name: Box<str>,
    station: Box<str>,
    keys: Keys,
    rng: Rng,
    running: Option<(VersionId, Seal, Content)>,
    /// Whether the running version is stored and would be run again after a crash.
    stored: bool,
    candidate: Option<Candidate>,
    /// Offered while the candidate could not be replaced any more.
    next: Option<VersionId>,
    /// Recently rejected versions, so that a version that is offered again is not fetched again.
    rejected: Vec<(VersionId, RejectionReason)>,
    /// The version that was found staged at the start, and how often the front crashed while applying it.
    crashed: Option<(VersionId, u32)>,
    connection: Connection,
    backoff: Ticks,
    /// Whether the random delay within the longest backoff has been drawn.
    retry_spread: bool,
    silent_since: Option<Ticks>,
    silence_logged: bool,
    /// The earliest requested timer that has not fired.
    timer_at: Option<Ticks>,
    /// The report interval that the service requested on this connection.
    report_interval: Option<Ticks>,
    /// Sequence number of the last report.
    sequence: u64,
}

/// Starts with a version left staged after which it is rejected. One crash may be coincidence (a machine lost
/// at the wrong moment); a second one is blamed on the version.
pub const MAX_CRASHES: u32 = 2;
/// A service offers one version at a time, and rarely a second one before the first is withdrawn.
const MAX_REMEMBERED_REJECTIONS: usize = 8;
/// Backoff between connection attempts: from half a second, doubling up to a minute. The longest one limits the
/// rate at which a whole fleet returns to a service.
const BACKOFF_RANGE: [Ticks; 2] = [5_000, 600_000];
/// The connection is considered lost after this many heartbeat intervals without a message.
const MISSED_HEARTBEATS: u64 = 3;
/// A content that has not arrived in this time is requested again; a connection that needs longer is unusable.
const FETCH_TIMEOUT: Ticks = 300_000;
/// Silence of the service is logged after this time.
const LOG_SILENCE_AFTER: Ticks = 600_000;
/// Limits of the report interval. A quarter of a second is enough for a trial and costs about 500 bytes per
/// second.
pub const REPORT_INTERVAL_RANGE: [Ticks; 2] = [2_500, 300_000];

impl Front {
    /// Starts with what was found in the store. The caller checks the last good version as any other and runs
    /// it before anything else; `usable` is the result of that check.
    pub fn start(
        now: Ticks,
        seed: u64,
        (name, station): (&str, &str),
        keys: Keys,
        stored: StoredState,
        usable: Result<(), RejectionReason>,
        effects: &mut Vec<Effect>,
    ) -> Front {
        let running = match usable {
            Ok(()) => stored.last_good,
            Err(reason) => {
                effects.push(Effect::Log(LogEvent::StoredVersionUnusable(reason)));
                None
            }
        };
        let mut front = Front {
            name: name.into(),
            station: station.into(),
            keys,
            rng: Rng::with_seed(seed),
            stored: running.is_some(),
            running,
            candidate: None,
            next: None,
            rejected: Vec::new(),
            crashed: None,
            connection: Connection::Connecting,
            backoff: BACKOFF_RANGE[0],
            retry_spread: false,
            silent_since: Some(now),
            silence_logged: false,
            timer_at: None,
            report_interval: None,
            sequence: 0,
        };
        if let Some((id, crashes)) = stored.staged {
            let crashes = crashes + 1;
            front.crashed = Some((id, crashes));
            if crashes >= MAX_CRASHES {
                front.remember_rejection(id, RejectionReason::CrashLoop(crashes));
                effects.push(Effect::Log(LogEvent::Rejected(id, RejectionReason::CrashLoop(crashes))));
            }
        }
        effects.push(Effect::Connect);
        front
    }

    pub fn running(&self) -> Option<VersionId> {
        self.running.as_ref().map(|r| r.0)
    }

    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
        // A seal that could not be verified may be valid with the new keys.
        self.rejected.retain(|r| !matches!(r.1, RejectionReason::InvalidSeal(_)));
    }

    // ---- connection

    pub fn on_connected(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        // Until the service announces its heartbeat interval, it has as long as for a content.
        self.connection = Connection::Connected {
            last_received: now,
            heartbeat_interval: FETCH_TIMEOUT / MISSED_HEARTBEATS,
        };
        let running = self.running.as_ref().map(|r| (r.0, r.1));
        let hello = ToService::Hello { front: self.name.clone(), station: self.station.clone(), running };
        effects.push(Effect::Send(hello));
        self.set_timer(now + FETCH_TIMEOUT, effects);
    }

    /// The connection was lost or could not be established.
    pub fn on_disconnected(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        // All fronts may have lost the service together. While the backoff grows, it doubles with jitter. At
        // the longest backoff a front draws a random delay within it once and then retries periodically, so
        // that fronts return evenly spread over one backoff period whenever the service comes back.
        let longest = BACKOFF_RANGE[1];
        let delay = match self.backoff {
            backoff if backoff < longest => backoff / 2 + self.rng.u64(0..=backoff),
            _ if !std::mem::replace(&mut self.retry_spread, true) => self.rng.u64(0..=longest),
            _ => longest - longest / 40 + self.rng.u64(0..=longest / 20),
        };
        let retry_at = now + delay;
        self.backoff = (2 * self.backoff).min(longest);
        self.disconnect(now, retry_at, effects);
    }

    fn disconnect(&mut self, now: Ticks, retry_at: Ticks, effects: &mut Vec<Effect>) {
        self.connection = Connection::Disconnected { retry_at };
        self.silent_since.get_or_insert(now);
        // A fetch in progress is dropped; a content that has arrived is processed without the service.
        if matches!(self.candidate, Some(Candidate { state: CandidateState::Fetching { .. }, .. })) {
            self.candidate = None;
        }
        self.next = None;
        if self.report_interval.take().is_some() {
            effects.push(Effect::SetReportInterval { interval: None });
        }
        self.set_timer(retry_at, effects);
    }

    fn set_timer(&mut self, at: Ticks, effects: &mut Vec<Effect>) {
        if self.timer_at.is_none_or(|timer| at < timer) {
            self.timer_at = Some(at);
            effects.push(Effect::SetTimer(at));
        }
    }

    pub fn on_timer(&mut self, now: Ticks, effects: &mut Vec<Effect>) {
        if self.timer_at.is_some_and(|timer| timer > now) {
            return;
        }
        self.timer_at = None;
        match self.connection {
            Connection::Disconnected { retry_at } if now >= retry_at => {
                self.connection = Connection::Connecting;
                effects.push(Effect::Connect);
            }
            Connection::Connected { last_received, heartbeat_interval }
                if now >= last_received + MISSED_HEARTBEATS * heartbeat_interval =>
            {
                effects.push(Effect::Close);
                self.on_disconnected(now, effects);
            }
            Connection::Connected { last_received, heartbeat_interval } => {
                self.set_timer(last_received + MISSED_HEARTBEATS * heartbeat_interval, effects)
            }
            Connection::Disconnected { retry_at } => self.set_timer(retry_at, effects),
            Connection::Connecting => {}
        }
        if let Some(Candidate { id, state: CandidateState::Fetching { attempts }, since }) = &self.candidate {
            let (id, attempts, deadline) = (*id, attempts + 1, since + FETCH_TIMEOUT);
            if now >= deadline {
                self.fetch(now, id, attempts, effects);
            } else {
                self.set_timer(deadline, effects);
            }
        }
        if let Some(since) =
            self.silent_since.filter(|&since| now >= since + LOG_SILENCE_AFTER && !self.silence_logged)
        {
            self.silence_logged = true;
            effects.push(Effect::Log(LogEvent::ServiceSilent(now - since)));
        }
    }

    // ---- messages from the service

    pub fn on_message(&mut self, now: Ticks, message: ToFront, effects: &mut Vec<Effect>) {
        let Connection::Connected { last_received, heartbeat_interval } = &mut self.connection else {
            return;
        };
        *last_received = now;
        if let ToFront::Welcome { heartbeat_interval: promised } = &message {
            *heartbeat_interval = (*promised).clamp(1_000, FETCH_TIMEOUT);
            let at = now + MISSED_HEARTBEATS * *heartbeat_interval;
            self.set_timer(at, effects);
        }
        if !matches!(message, ToFront::RetryLater { .. }) {
            (self.backoff, self.retry_spread) = (BACKOFF_RANGE[0], false);
            self.silent_since = None;
            if std::mem::take(&mut self.silence_logged) {
                effects.push(Effect::Log(LogEvent::ServiceBack));
            }
        }
        match message {
            ToFront::Welcome { .. } | ToFront::Heartbeat => {}
            ToFront::SetReportInterval { millis } => {
                self.report_interval =
                    Some(millis.saturating_mul(10).clamp(REPORT_INTERVAL_RANGE[0], REPORT_INTERVAL_RANGE[1]));
                effects.push(Effect::SetReportInterval { interval: self.report_interval });
            }
            ToFront::RetryLater { delay } => {
                effects.push(Effect::Close);
                // Adds a little jitter to the requested delay, so that no front returns before its turn.
                let delay = delay.min(10 * BACKOFF_RANGE[1]);
                let retry_at = now + delay + self.rng.u64(0..=500);
                self.disconnect(now, retry_at, effects);
            }
            ToFront::Offer { id } => self.on_offer(now, id, effects),
            ToFront::Content { id, seal, body } => {
                let fetching =
                    |c: &Candidate| c.id == id && matches!(c.state, CandidateState::Fetching { .. });
                if !self.candidate.as_ref().is_some_and(fetching) {
                    return;
                }
                if !self.keys.verify(&id, &seal) {
                    return self.reject(now, id, RejectionReason::InvalidSeal(seal.key), effects);
                }
                self.on_content(now, id, seal, body, effects);
            }
        }
    }

    fn on_offer(&mut self, now: Ticks, id: VersionId, effects: &mut Vec<Effect>) {
        if let Some((running, ..)) = &self.running {
            if *running == id {
                return effects.push(Effect::Send(ToService::Running { id, stored: self.stored }));
            }
            if id.position() <= running.position() {
                let same = id.position() == running.position();
                let reason =
                    if same { RejectionReason::ConflictingContent } else { RejectionReason::Outdated };
                effects.push(Effect::Log(LogEvent::Rejected(id, reason.clone())));
                return effects.push(Effect::Send(ToService::Rejected { id, reason }));
            }
        }
        if let Some((_, reason)) = self.rejected.iter().find(|r| r.0 == id) {
            return effects.push(Effect::Send(ToService::Rejected { id, reason: reason.clone() }));
        }
        match &self.candidate {
            Some(c) if c.id == id => {}
            // A version that is past fetching is not interrupted; the latest one offered in the meantime comes next.
            Some(c) if !matches!(c.state, CandidateState::Fetching { .. }) => {
                if self.next.is_none_or(|n| n.position() < id.position()) {
                    self.next = Some(id);
                }
            }
            Some(c) if id.position() < c.id.position() => {}
            _ => self.fetch(now, id, 0, effects),
        }
    }

    fn fetch(&mut self, now: Ticks, id: VersionId, attempts: u32, effects: &mut Vec<Effect>) {
        self.candidate = Some(Candidate { id, state: CandidateState::Fetching { attempts }, since: now });
        // If a delta did not fit, the full content is requested.
        let base = self.running().filter(|_| attempts == 0);
        effects.push(Effect::Send(ToService::Fetch { id, base }));
        self.set_timer(now + FETCH_TIMEOUT, effects);
    }

    fn on_content(&mut self, now: Ticks, id: VersionId, seal: Seal, body: Body, effects: &mut Vec<Effect>) {
        let full = matches!(body, Body::Full(_));
        let content: Option<Content> = match body {
            Body::Full(content) => Some(content),
            Body::Delta(delta) => {
                self.running.as_ref().and_then(|r| delta::apply(&r.2, &delta)).map(Into::into)
            }
        };
        if let Some(size) = content.as_ref().map(|c| c.len()).filter(|&size| size > MAX_CONTENT_BYTES) {
            return self.reject(now, id, RejectionReason::TooLarge(size as u64), effects);
        }
        match content.filter(|c| *blake3::hash(c).as_bytes() == id.hash) {
            Some(content) => {
                let state = CandidateState::Checking(seal, content.clone());
                self.candidate = Some(Candidate { id, state, since: now });
                effects.push(Effect::Check(id, content));
            }
            // The delta may have been made against another base: request the full content.
            None if !full => self.fetch(now, id, 1, effects),
            None => self.reject(now, id, RejectionReason::HashMismatch, effects),
        }
    }

    /// Reports counters since the process started: accesses that ended, and those of them that were answered
    /// within the soft limit. Does nothing unless the service has requested reports.
    pub fn report(&mut self, accesses: u64, answered: u64, effects: &mut Vec<Effect>) {
        if self.report_interval.is_some() {
            self.sequence += 1;
            let (running, sequence) = (self.running(), self.sequence);
            self.send(ToService::Report { running, accesses, answered, sequence }, effects);
        }
    }

    /// Reports the front's service level; called periodically.
    pub fn report_service_level(&mut self, share: f32, effects: &mut Vec<Effect>) {
        self.send(ToService::ServiceLevel { share }, effects);
    }

    fn send(&mut self, message: ToService, effects: &mut Vec<Effect>) {
        if matches!(self.connection, Connection::Connected { .. }) {
            effects.push(Effect::Send(message));
        }
    }
}
