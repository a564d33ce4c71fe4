//! The requests that this front owns, and those that its clients wait for.

mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorgrade::{Ticks, hash};

use crate::{
    FrontId, MAX_PUSHES, Outcome, Push, RecordView, RepeatPolicy, ReplicaRequest, ReplicaResponse,
    ReplicaSet, RequestId, RequestRecord, Roster, Term,
};

/// Interval at which an unanswered request to a replica is sent again: some round trips, even on a slow link.
const RETRY_INTERVAL: Ticks = 1_000;
/// Interval at which replicas are queried for the state of a request that another front owns; it adds at most
/// this much to a client's wait.
const WATCH_INTERVAL: Ticks = 500;
/// Delay, by rank, between the fronts that may take a request over: the next has heard of the first one's
/// claim by then; otherwise both claim it, and one is rejected.
const TAKEOVER_STAGGER: Ticks = 2_000;
/// Maximum number of claims at one time by one front; the others wait, so that replicas don't get all of them
/// at once.
const MAX_CLAIMS_IN_FLIGHT: usize = 64;
/// For how long after the client's deadline an entry is kept, to store its outcome at the replicas and to
/// answer retries.
const OUTCOME_RETENTION: Ticks = 100_000;

/// The result of a push.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PushOutcome {
    NotRun,
    Unknown,
    Responded(crate::Response),
}

/// An action for the shell to perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send this message to a replica; it may be lost.
    Send { to: FrontId, id: RequestId, request: ReplicaRequest },
    /// The request may be pushed: call `start_push` with the cache. `pushes`: earlier ones, of which some may
    /// have run, the first at most `push_age` ago.
    Resume { id: RequestId, pushes: Vec<Push>, push_age: Ticks, time_left: Ticks },
    /// A majority has stored that this push is intended: it is sent now or never.
    Push { id: RequestId, push: usize },
    /// The outcome is stored at a majority: report it to the clients that wait.
    Settled { id: RequestId, outcome: Outcome },
    /// The id belongs to a request with another fingerprint.
    IdConflict { id: RequestId },
    /// No majority of replicas has answered in time: nothing was pushed, and this front will not push it.
    NotReplicated { id: RequestId },
    /// The client's deadline has passed, and the outcome is not known.
    Undecided { id: RequestId },
}

/// The step that follows once a majority has stored the current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum NextStep {
    Resume,
    Push(usize),
    Settle,
}

/// The state of a request at this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Creating,
    Writing,
    /// Everything is stored; the decision module chooses the next step.
    Idle,
    /// Another front owns it.
    Watching,
    /// To be claimed when this front's turn comes.
    Waiting,
    Claiming,
    Settled,
}

/// A request that this front owns, waits for, or is about to take over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    replicas: ReplicaSet,
    record: RequestRecord,
    term: Term,
    version: u32,
    phase: Phase,
    next_step: NextStep,
    deadline: Ticks,
    /// When the first push was intended, or earlier.
    first_push_at: Ticks,
    started_at: Ticks,
    timer_at: Ticks,
    /// When the current claim was first sent.
    claimed_at: Ticks,
    /// Replicas that have stored the current state, or promised the current term.
    agreed_by: BTreeSet<FrontId>,
    /// Records in the replicas' other answers in this phase.
    views: BTreeMap<FrontId, RecordView>,
    /// Clients of this front wait for it.
    client_waiting: bool,
    /// `Undecided` was reported to them.
    timeout_reported: bool,
}

/// All requests that this front owns or waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    own: FrontId,
    incarnation: u64,
    roster: Roster,
    /// For how long a new request may lack a majority of replicas before `NotReplicated` is reported.
    creation_timeout: Ticks,
    entries: BTreeMap<RequestId, Entry>,
    timers: BTreeSet<(Ticks, RequestId)>,
    /// Fronts that this one considers dead.
    unreachable: BTreeSet<FrontId>,
    claim_queue: VecDeque<RequestId>,
    claims_in_flight: usize,
    /// The number of requests that this incarnation has created.
    created: u64,
}

impl Coordinator {
    pub fn new(own: FrontId, incarnation: u64, roster: Roster, creation_timeout: Ticks) -> Coordinator {
        Coordinator {
            own,
            incarnation,
            roster,
            creation_timeout,
            entries: BTreeMap::new(),
            timers: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            claim_queue: VecDeque::new(),
            claims_in_flight: 0,
            created: 0,
        }
    }

    pub fn phase(&self, id: RequestId) -> Option<Phase> {
        self.entries.get(&id).map(|e| e.phase)
    }

    pub fn record(&self, id: RequestId) -> Option<&RequestRecord> {
        self.entries.get(&id).map(|e| &e.record)
    }

    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// The number of requests that wait for other claims to end.
    pub fn queued(&self) -> usize {
        self.claim_queue.len()
    }

    /// When `on_timers` is to be called.
    pub fn next_timer(&self) -> Option<Ticks> {
        self.timers.first().map(|t| t.0)
    }

    fn set_timer(&mut self, id: RequestId, at: Ticks) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.timers.remove(&(entry.timer_at, id));
            entry.timer_at = at;
            self.timers.insert((at, id));
        }
    }

    fn forget(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.timers.remove(&(entry.timer_at, id));
        Some(entry)
    }

    fn enter_phase(&mut self, now: Ticks, id: RequestId, phase: Phase, next_step: NextStep) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.phase == Phase::Claiming {
            self.claims_in_flight -= 1;
        }
        if phase == Phase::Claiming {
            self.claims_in_flight += 1;
        }
        (entry.phase, entry.next_step) = (phase, next_step);
        entry.agreed_by.clear();
        entry.views.clear();
        self.set_timer(id, now);
    }

    // ---- accesses by clients

    /// An access with this id has arrived; `first_cache`: the cache that its first push goes to. False if the
    /// roster has too few fronts to replicate it.
    #[allow(clippy::too_many_arguments)]
    pub fn on_access(
        &mut self,
        now: Ticks,
        id: RequestId,
        fingerprint: u64,
        repeat_policy: RepeatPolicy,
        first_cache: u64,
        deadline: Ticks,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.record.fingerprint != fingerprint {
                effects.push(Effect::IdConflict { id });
            } else if let Some(outcome) =
                entry.record.outcome.clone().filter(|_| entry.phase == Phase::Settled)
            {
                effects.push(Effect::Settled { id, outcome });
            } else {
                (entry.client_waiting, entry.timeout_reported) = (true, false);
                entry.deadline = entry.deadline.max(deadline);
            }
            return true;
        }
        let Some(replicas) = self.roster.replicas(id) else { return false };
        self.created += 1;
        let creation_id = hash::text(&format!("{:x} {:x} {}", self.own, self.incarnation, self.created));
        let pushes = vec![Push { cache: first_cache, not_run: false }];
        let record = RequestRecord { creation_id, fingerprint, repeat_policy, pushes, outcome: None };
        let term = Term { number: 1, owner: self.own, incarnation: self.incarnation };
        self.entries.insert(
            id,
            Entry {
                replicas,
                record,
                term,
                version: 1,
                phase: Phase::Creating,
                next_step: NextStep::Push(0),
                deadline,
                first_push_at: now,
                started_at: now,
                timer_at: now,
                claimed_at: now,
                agreed_by: BTreeSet::new(),
                views: BTreeMap::new(),
                client_waiting: true,
                timeout_reported: false,
            },
        );
        self.timers.insert((now, id));
        self.on_timers(now, effects);
        true
    }

    /// The decision module wants to push the request to a cache. False: it may not be pushed, or not now.
    pub fn start_push(&mut self, now: Ticks, id: RequestId, cache: u64, effects: &mut Vec<Effect>) -> bool {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.phase == Phase::Idle) else { return false };
        let repeats_unrepeatable =
            entry.record.may_have_run() && entry.record.repeat_policy == RepeatPolicy::Unrepeatable;
        if repeats_unrepeatable || entry.record.pushes.len() >= MAX_PUSHES || now >= entry.deadline {
            return false;
        }
        if !entry.record.may_have_run() {
            entry.first_push_at = now;
        }
        entry.record.pushes.push(Push { cache, not_run: false });
        let push = entry.record.pushes.len() - 1;
        self.write(now, id, NextStep::Push(push), effects);
        true
    }

    /// A push has ended.
    pub fn on_push_end(
        &mut self,
        now: Ticks,
        id: RequestId,
        push: usize,
        outcome: PushOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        // A former owner reports nothing: the result is recorded by the current owner, if at all.
        if !matches!(entry.phase, Phase::Idle | Phase::Writing) || entry.next_step == NextStep::Settle {
            return;
        }
        match outcome {
            PushOutcome::Unknown => {}
            PushOutcome::NotRun => {
                if let Some(push) = entry.record.pushes.get_mut(push) {
                    push.not_run = true;
                }
            }
            PushOutcome::Responded(response) => {
                entry.record.outcome = Some(Outcome::Done(response));
                self.write(now, id, NextStep::Settle, effects);
            }
        }
    }

    /// The decision module makes no further push.
    pub fn finish(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.phase == Phase::Idle) else { return };
        entry.record.outcome =
            Some(if entry.record.may_have_run() { Outcome::MayHaveRun } else { Outcome::NotRun });
        self.write(now, id, NextStep::Settle, effects);
    }

    fn write(&mut self, now: Ticks, id: RequestId, next_step: NextStep, effects: &mut Vec<Effect>) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.version = entry.version.saturating_add(1);
        }
        self.enter_phase(now, id, Phase::Writing, next_step);
        self.on_timers(now, effects);
    }

    // ---- other fronts

    /// A front is considered dead, or reports that it is stopping: others take over the requests that it
    /// owns. `records`: what this front's replica stores.
    pub fn front_down<'a>(
        &mut self,
        now: Ticks,
        front: FrontId,
        records: impl Iterator<Item = (RequestId, &'a crate::StoredRecord)>,
        effects: &mut Vec<Effect>,
    ) {
        self.unreachable.insert(front);
        for (id, stored) in records {
            let owned_by_front = stored.promised.owner == front || stored.written.owner == front;
            if !owned_by_front || stored.record.outcome.is_some() || self.entries.contains_key(&id) {
                continue;
            }
            let Some(replicas) = self.roster.replicas(id) else { continue };
            let timer_at = now + TAKEOVER_STAGGER * replicas.rank(self.own);
            self.entries.insert(
                id,
                Entry {
                    replicas,
                    record: stored.record.clone(),
                    term: stored.promised.max(stored.written),
                    version: stored.version,
                    phase: Phase::Waiting,
                    next_step: NextStep::Resume,
                    deadline: stored.deadline,
                    first_push_at: stored.first_push_at,
                    started_at: now,
                    timer_at,
                    claimed_at: now,
                    agreed_by: BTreeSet::new(),
                    views: BTreeMap::new(),
                    client_waiting: false,
                    timeout_reported: true,
                },
            );
            self.timers.insert((timer_at, id));
        }
        let watched: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, e)| e.phase == Phase::Watching && e.term.owner == front)
            .map(|(id, _)| *id)
            .collect();
        for id in watched {
            self.wait_for_turn(now, id);
        }
        self.on_timers(now, effects);
    }

    pub fn front_up(&mut self, front: FrontId) {
        self.unreachable.remove(&front);
    }

    fn wait_for_turn(&mut self, now: Ticks, id: RequestId) {
        let Some(rank) = self.entries.get(&id).map(|e| e.replicas.rank(self.own)) else { return };
        self.enter_phase(now, id, Phase::Waiting, NextStep::Resume);
        self.set_timer(id, now + TAKEOVER_STAGGER * rank);
    }

    /// A replica has answered.
    pub fn on_response(
        &mut self,
        now: Ticks,
        from: FrontId,
        id: RequestId,
        response: ReplicaResponse,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.replicas.all().any(|f| f == from)) else {
            return;
        };
        match response {
            ReplicaResponse::Stored { creation_id, term, version } => {
                let awaiting_store = matches!(entry.phase, Phase::Creating | Phase::Writing);
                if awaiting_store
                    && (creation_id, term, version) == (entry.record.creation_id, entry.term, entry.version)
                {
                    entry.agreed_by.insert(from);
                    entry.views.remove(&from);
                    self.on_stored(now, id, effects);
                }
            }
            ReplicaResponse::Promised { term, view } => {
                if entry.phase == Phase::Claiming
                    && term == entry.term
                    && view.record.creation_id == entry.record.creation_id
                {
                    entry.agreed_by.insert(from);
                    entry.views.insert(from, view);
                    self.on_promised(now, id, effects);
                }
            }
            ReplicaResponse::Rejected { promised, view } => {
                self.on_rejected(now, from, id, promised, view, effects)
            }
            ReplicaResponse::Current { promised, view } => {
                self.on_current(now, from, id, promised, view, effects)
            }
            ReplicaResponse::Empty | ReplicaResponse::Full | ReplicaResponse::NotVoting => {}
        }
    }

    /// Goes on to the next step if a majority has stored the current stage.
    fn on_stored(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&id).filter(|e| e.replicas.majority(|f| e.agreed_by.contains(&f)))
        else {
            return;
        };
        let (next_step, in_time) = (entry.next_step, now < entry.deadline);
        match next_step {
            NextStep::Push(push) => {
                self.enter_phase(now, id, Phase::Idle, next_step);
                // After the client's deadline nothing is pushed: the request is known not to have run, unless
                // an earlier push did.
                if in_time {
                    effects.push(Effect::Push { id, push });
                } else {
                    self.on_push_end(now, id, push, PushOutcome::NotRun, effects);
                    self.finish(now, id, effects);
                }
            }
            NextStep::Resume => {
                self.enter_phase(now, id, Phase::Idle, next_step);
                self.resume(now, id, effects);
            }
            NextStep::Settle => self.settle(now, id, effects),
        }
    }

    fn resume(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&id) else { return };
        let (push_age, time_left) =
            (now.saturating_sub(entry.first_push_at), entry.deadline.saturating_sub(now));
        let may_push = match entry.record.repeat_policy {
            _ if time_left == 0 => false,
            _ if !entry.record.may_have_run() => true,
            RepeatPolicy::Idempotent => true,
            RepeatPolicy::Deduplicated { window } => push_age < window,
            RepeatPolicy::Unrepeatable => false,
        };
        if may_push {
            effects.push(Effect::Resume { id, pushes: entry.record.pushes.clone(), push_age, time_left });
        } else {
            self.finish(now, id, effects);
        }
    }

    fn settle(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        self.enter_phase(now, id, Phase::Settled, NextStep::Settle);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(outcome) = entry.record.outcome.clone().filter(|_| entry.client_waiting) {
            effects.push(Effect::Settled { id, outcome });
        }
        // Further accesses at this front get the outcome for a while; after that, the replicas are queried.
        let at = entry.deadline.max(now).saturating_add(OUTCOME_RETENTION);
        self.set_timer(id, at);
    }

    /// If a majority has promised, no write of an earlier term will reach a majority any more, and the latest
    /// that may have done so is among their answers.
    fn on_promised(&mut self, now: Ticks, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) =
            self.entries.get_mut(&id).filter(|e| e.replicas.majority(|f| e.agreed_by.contains(&f)))
        else {
            return;
        };
        let claimed_at = entry.claimed_at;
        let Some(view) = entry.views.values().max_by_key(|v| (v.written, v.version)).cloned() else {
            return;
        };
        let push_ages = entry.views.values().filter(|v| v.record.may_have_run()).map(|v| v.push_age);
        // The age that the replica reported, plus all the time since the claim was sent: never less than the
        // actual age.
        entry.first_push_at = push_ages.max().map_or(now, |push_age| claimed_at.saturating_sub(push_age));
        entry.version = entry.views.values().map(|v| v.version).max().unwrap_or(view.version);
        entry.record = view.record;
        let next_step = if entry.record.outcome.is_some() { NextStep::Settle } else { NextStep::Resume };
        self.write(now, id, next_step, effects);
    }

    fn on_rejected(
        &mut self,
        now: Ticks,
        from: FrontId,
        id: RequestId,
        promised: Term,
        view: RecordView,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        match entry.phase {
            Phase::Creating => {
                if view.record.fingerprint != entry.record.fingerprint {
                    let client_waiting = entry.client_waiting;
                    self.discard_own(id, effects);
                    self.forget(id);
                    if client_waiting {
                        effects.push(Effect::IdConflict { id });
                    }
                    return;
                }
                entry.views.insert(from, view);
                let majority_rejected = entry.replicas.blocked(|f| entry.views.contains_key(&f));
                // One replica stores this request, one stores another with the same id, and the third does
                // not answer: the request with the smaller creation id stays.
                let loses_tie = entry.views.values().any(|v| v.record.creation_id < entry.record.creation_id);
                let tie_lost = now >= entry.started_at + 4 * RETRY_INTERVAL && loses_tie;
                // A replica that stores this very request, but under another front's term, shows that it was
                // taken over.
                if majority_rejected
                    || tie_lost
                    || entry.views.values().any(|v| v.record.creation_id == entry.record.creation_id)
                {
                    self.discard_own(id, effects);
                    self.watch(now, id);
                    self.on_timers(now, effects);
                }
            }
            Phase::Writing if promised > entry.term => {
                entry.term = promised;
                self.watch(now, id);
            }
            Phase::Claiming if promised > entry.term => {
                entry.term = promised;
                // The front with the later term goes on if it is reachable; otherwise this front waits for
                // another turn.
                if self.unreachable.contains(&promised.owner) {
                    self.wait_for_turn(now, id);
                    let jitter = 1 + self.own % RETRY_INTERVAL;
                    self.set_timer(id, now + RETRY_INTERVAL + jitter);
                } else {
                    self.watch(now, id);
                }
            }
            _ => {}
        }
    }

    fn discard_own(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&id) else { return };
        let creation_id = entry.record.creation_id;
        effects.extend(entry.replicas.all().map(|to| Effect::Send {
            to,
            id,
            request: ReplicaRequest::Discard { creation_id },
        }));
    }

    fn watch(&mut self, now: Ticks, id: RequestId) {
        self.enter_phase(now, id, Phase::Watching, NextStep::Resume);
    }

    /// The state of a request that another front owns.
    fn on_current(
        &mut self,
        now: Ticks,
        from: FrontId,
        id: RequestId,
        promised: Term,
        view: RecordView,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.phase == Phase::Watching) else { return };
        if view.record.fingerprint != entry.record.fingerprint {
            return;
        }
        entry.term = entry.term.max(promised).max(view.written);
        // If this front claims the request later, it claims what the replicas store.
        if (view.written, view.version)
            > (entry.views.values().map(|v| (v.written, v.version)).max()).unwrap_or_default()
        {
            entry.record = RequestRecord { outcome: None, ..view.record.clone() };
            entry.version = view.version;
            entry.first_push_at = now.saturating_sub(view.push_age);
        }
        entry.views.insert(from, view);
        // The same state at a majority of replicas is final.
        let settled = || entry.views.iter().filter(|(_, v)| v.record.outcome.is_some());
        let majority_view = settled().find(|(_, v)| {
            let same = |f: FrontId| {
                entry
                    .views
                    .get(&f)
                    .is_some_and(|o| (o.written, o.version, &o.record) == (v.written, v.version, &v.record))
            };
            entry.replicas.majority(same)
        });
        if let Some(record) = majority_view.map(|(_, v)| v.record.clone()) {
            entry.record = record;
            return self.settle(now, id, effects);
        }
        if self.unreachable.contains(&entry.term.owner) {
            self.wait_for_turn(now, id);
        }
    }
}
