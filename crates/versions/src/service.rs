//! The service's side of configuration distribution: the state of each front, rollout in waves, and admission
//! of connecting fronts.
//!
//! **Targets.** Every front has a rank, the hash of its name. A publication goes to a few canaries of different
//! stations first, then to growing shares of all ranks, starting at a rank derived from the version number,
//! then to all. A front is offered its current target, and never an older version than it runs.
//!
//! **Stopping.** A rollout stops when rejections, missing responses or a drop of the service level among the fronts
//! that were offered the version exceed a limit. Then it is offered to no further front. Fronts that run it continue to
//! do so until a version with a new number is published to them, which may be the earlier good content.
//!
//! **Cost.** A publication costs work only for the fronts of the current wave, and an event only for the front
//! it is about. Everything about many fronts is kept as counters.

mod evidence;
mod fronts;
mod requests;
mod status;
mod types;
mod waves;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub use crate::trial::{
    ChangeRow, ChangeState, RemovalReason, RolloutMode, SavedChange, SavedTrials, Stage, ThinTraffic,
    TrialRules,
};
pub use requests::{Denial, Filter, FrontRow, Request, Response, Role, Totals, VersionSummary};
use rustc_hash::FxHashMap;
pub use types::{
    Effect, FrontState, LogEvent, Progress, PublishError, Rules, SavedRollout, Status, StopReason,
    StoredState, Version,
};

use crate::delta;
use crate::message::ToFront;
use crate::seal::Keys;
use crate::trial::Trials;
use crate::{RejectionReason, Ticks, VersionId};

/// Identifies a connection of a front; assigned by the caller.
pub type ConnectionId = u64;

#[derive(Clone, Debug)]
struct Front {
    name: Box<str>,
    station: Box<str>,
    rank: u64,
    conn: Option<ConnectionId>,
    last_seen: Ticks,
    running: Option<VersionId>,
    stored: bool,
    offered: Option<(VersionId, Ticks)>,
    rejected: Option<(VersionId, RejectionReason)>,
    /// The number of a publication, and how the front counts in that publication's tally.
    response: (u64, FrontResponse),
    false_claim: bool,
    /// Whether the front's service level is included in that tally.
    counted: bool,
    /// Number of the key that sealed the running version; then the version that was sent last, with its key
    /// number.
    seal_key: Option<u32>,
    sent: Option<(VersionId, u32)>,
    /// Moving average of the share of requested benefit that the front serves; NaN until it has reported.
    service_level: f32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrontResponse {
    NotOffered,
    Offered,
    Running,
    Rejected,
    TimedOut,
}

#[derive(Clone, Debug, Default)]
struct Tally {
    offered: usize,
    running: usize,
    rejected: usize,
    timed_out: usize,
    first_rejection: Option<RejectionReason>,
    service: ServiceLevels,
}

/// Service levels of the fronts that a publication was offered to: their sums when each was offered it
/// (`before`) and now; and the sum of the mean level of all other fronts at those moments (`others`), where it
/// was known.
#[derive(Clone, Debug, Default)]
struct ServiceLevels {
    before: f64,
    current: f64,
    count: usize,
    others: f64,
    others_count: usize,
}

impl Tally {
    fn count(&mut self, response: FrontResponse) -> Option<&mut usize> {
        match response {
            FrontResponse::NotOffered | FrontResponse::Offered => None,
            FrontResponse::Running => Some(&mut self.running),
            FrontResponse::Rejected => Some(&mut self.rejected),
            FrontResponse::TimedOut => Some(&mut self.timed_out),
        }
    }
}

#[derive(Clone, Debug)]
struct Rollout {
    id: VersionId,
    wave: usize,
    since: Ticks,
    /// Since when all fronts of the wave have responded.
    answered_since: Option<Ticks>,
    tally: Tally,
    canaries: BTreeSet<Box<str>>,
    stopped: Option<StopReason>,
    /// Since when the service level of the fronts that were offered it has been too low.
    dropping_since: Option<Ticks>,
}

/// A computed delta with the hashes of its old and new content.
type CachedDelta = ([u8; 32], [u8; 32], Arc<Vec<delta::Op>>);

#[derive(Clone, Debug)]
pub struct Service {
    rules: Rules,
    keys: Keys,
    epoch: u64,
    versions: BTreeMap<u64, Version>,
    /// The version that all fronts outside the rollout are to run.
    base: Option<u64>,
    rollout: Option<Rollout>,
    fronts: Vec<Front>,
    by_name: FxHashMap<Box<str>, usize>,
    by_conn: FxHashMap<ConnectionId, usize>,
    by_rank: BTreeMap<(u64, usize), ()>,
    /// When the next heartbeat is due to each connected front, in order.
    heartbeats: VecDeque<(Ticks, usize, ConnectionId)>,
    /// Offers that are not answered yet, with their deadlines, in order.
    pending_responses: VecDeque<(Ticks, usize, VersionId)>,
    /// When the next front may be admitted, and when each delayed front is to return.
    next_admission: f64,
    admissions: FxHashMap<Box<str>, Ticks>,
    superseded: Option<u64>,
    /// While set, the store may turn out to be an older copy: fronts that reconnect until then would reveal it.
    recovering_until: Option<Ticks>,
    /// The first number published since the start.
    first_published: u64,
    /// The earliest requested timer that has not fired; there is only one timer.
    timer_at: Option<Ticks>,
    /// Recently computed deltas, newest first.
    deltas: VecDeque<CachedDelta>,
    /// Sum and count of the service levels of all fronts that have reported one.
    service_levels: (f64, usize),
    /// Present if rollouts are judged by evidence.
    trials: Option<Trials>,
    /// Numbers up to this one may have been issued by trials, whose contents are not all stored.
    reserved: u64,
}

fn rank(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk::<8>().unwrap_or(&[0; 8]))
}

/// Cached deltas: enough for two publications, for fronts that missed one.
const MAX_DELTAS: usize = 8;
/// With overlapping trials: two batches of nine arms, each against the proven content and the one before, in
/// both directions.
const MAX_DELTAS_OF_TRIALS: usize = 64;

impl Service {
    /// `stored.epoch` 0 means that there was no store: a new epoch is opened.
    pub fn start(
        now: Ticks,
        rules: Rules,
        keys: Keys,
        stored: StoredState,
        effects: &mut Vec<Effect>,
    ) -> Service {
        let fresh = stored.epoch == 0;
        let recovering_until = (!stored.versions.is_empty()).then_some(now + rules.recovery_delay);
        let mut service = Service {
            rules,
            keys,
            epoch: if fresh { now.max(1) } else { stored.epoch },
            versions: stored.versions.into_iter().map(|v| (v.id.number, v)).collect(),
            base: stored.base,
            rollout: None,
            fronts: Vec::new(),
            by_name: FxHashMap::default(),
            by_conn: FxHashMap::default(),
            by_rank: BTreeMap::new(),
            heartbeats: VecDeque::new(),
            pending_responses: VecDeque::new(),
            next_admission: now as f64,
            admissions: FxHashMap::default(),
            superseded: None,
            recovering_until,
            first_published: u64::MAX,
            timer_at: None,
            deltas: VecDeque::new(),
            service_levels: (0.0, 0),
            trials: None,
            reserved: stored.trials.as_ref().filter(|t| t.epoch == stored.epoch).map_or(0, |t| t.reserved),
        };
        if let RolloutMode::Evidence(_) = service.rules.rollout {
            service.start_trials(now, stored.rollout, stored.trials);
        } else {
            service.restore_rollout(now, stored.rollout);
        }
        if fresh {
            service.store_state(effects);
        }
        service.apply_trial_effects(now, effects);
        service.set_timer(now + service.rules.heartbeat_interval, effects);
        recovering_until.into_iter().for_each(|at| service.set_timer(at, effects));
        service
    }

    fn restore_rollout(&mut self, now: Ticks, saved: Option<SavedRollout>) {
        self.rollout = saved.map(|saved| Rollout {
            id: saved.id,
            wave: saved.wave,
            since: now,
            answered_since: None,
            tally: Tally::default(),
            canaries: saved.canaries,
            stopped: saved.stopped,
            dropping_since: None,
        });
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The last published number; if rollouts are judged by evidence, the number of the content with all
    /// changes.
    pub fn last(&self) -> u64 {
        match &self.trials {
            Some(trials) => trials.head(),
            None => self.versions.last_key_value().map_or(0, |v| *v.0).max(self.reserved),
        }
    }

    pub fn version(&self, number: u64) -> Option<&Version> {
        self.versions.get(&number)
    }

    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.values()
    }

    fn store_state(&self, effects: &mut Vec<Effect>) {
        let rollout = self.rollout.as_ref();
        let rollout = rollout.map(|r| SavedRollout {
            id: r.id,
            wave: r.wave,
            canaries: r.canaries.clone(),
            stopped: r.stopped.clone(),
        });
        effects.push(Effect::StoreState { epoch: self.epoch, base: self.base, rollout });
    }

    // ---- timers

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
        if self.recovering_until.is_some_and(|at| at <= now) {
            self.recovering_until = None;
            (0..self.fronts.len()).for_each(|index| self.offer(now, index, effects));
        }
        while let Some(&(at, front, conn)) = self.heartbeats.front() {
            if at > now {
                break;
            }
            self.heartbeats.pop_front();
            if self.fronts[front].conn == Some(conn) {
                effects.push(Effect::Send(conn, ToFront::Heartbeat));
                self.heartbeats.push_back((now + self.rules.heartbeat_interval, front, conn));
            }
        }
        self.admissions.retain(|_, admitted_at| *admitted_at + 600_000 > now);
        self.trials_on_timer(now, effects);
        self.evaluate_rollout(now, effects);
        self.set_timer(now + self.rules.heartbeat_interval / 4, effects);
        self.recovering_until.into_iter().for_each(|at| self.set_timer(at, effects));
    }
}
