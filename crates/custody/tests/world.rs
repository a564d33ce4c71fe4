//! Many fronts with requests in progress, in virtual time. Messages are lost, late, duplicated or cut off;
//! fronts crash, pause, lose their disks or get older copies of them, and consider each other dead, rightly
//! and wrongly; clients retry at other fronts. The invariants are checked against counters at the origin,
//! which shares nothing with the fronts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use doorgrade::Ticks;
use doorgrade_custody::{
    Candidate, Coordinator, Effect, FrontId, Outcome, PushOutcome, RepeatPolicy, Replica, ReplicaResponse,
    RequestId, Response, RestartCheck, Roster, StartAck, StartNotice, StoredIncarnations, StoredRecord,
};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Ticks = 10_000;
const RETENTION: Ticks = 60 * SECOND;
const CREATION_TIMEOUT: Ticks = SECOND;

#[derive(Clone)]
struct Disk {
    incarnations: StoredIncarnations,
    records: BTreeMap<RequestId, StoredRecord>,
}

enum Event {
    ReplicaRequest(FrontId, RequestId, doorgrade_custody::ReplicaRequest),
    ReplicaResponse(FrontId, RequestId, ReplicaResponse),
    StartNotice(FrontId, StartNotice),
    StartAck(FrontId, StartAck),
    Timer,
    /// The front announces its incarnation to those that have not acknowledged it.
    AnnounceStart,
    /// A push reaches the origin; `PushEnded`: its response reaches the front.
    PushArrives(RequestId, usize),
    PushEnded(RequestId, usize, PushOutcome),
    Access(RequestId, RepeatPolicy, u64),
    FrontDown(FrontId),
    FrontUp(FrontId),
}

struct Scheduled(Ticks, u64, usize, u32, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Node {
    generation: u32,
    up: bool,
    paused: bool,
    held_events: Vec<Event>,
    coordinator: Coordinator,
    replica: Replica,
    restart_check: RestartCheck,
    disk: Option<Disk>,
    older_disk: Option<Disk>,
    /// When the scheduled `Timer` event is due.
    timer_at: Option<Ticks>,
}

#[derive(Default, Debug)]
struct Stats {
    runs: u32,
    /// Outcomes reported to clients, over all fronts.
    completed: u32,
    not_run: u32,
    may_have_run: u32,
    undecided: u32,
    not_replicated: u32,
    resumed: u32,
    accesses: u32,
}

struct World {
    now: Ticks,
    rng: Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
    stats: BTreeMap<RequestId, (RepeatPolicy, Stats)>,
    loss_rate: f64,
    delay: Ticks,
    partitioned: Vec<(usize, usize)>,
    /// How long the origin takes for a push, and the share of its responses that is lost.
    run_time: Ticks,
    response_loss_rate: f64,
    /// The effect, counted over all fronts, before which its front crashes.
    crash_at: Option<u32>,
    effect_count: u32,
    crashed: Option<usize>,
}

fn front(n: usize) -> FrontId {
    1_000 + n as u64
}

fn index(front: FrontId) -> usize {
    (front - 1_000) as usize
}

fn roster(size: usize) -> Roster {
    let candidate = |n| Candidate { front: front(n), station: n as u64 % 3, machine: n as u64 };
    Roster { version: 1, candidates: (0..size).map(candidate).collect(), previous: Vec::new() }
}

impl World {
    /// All fronts know each other's incarnations, and vote.
    fn new(seed: u64, size: usize) -> World {
        let incarnations = StoredIncarnations {
            own_latest: 1,
            complete: true,
            peers: (0..size).map(|n| (front(n), (1, None))).collect(),
        };
        let disk = Disk { incarnations, records: BTreeMap::new() };
        let mut world = World {
            now: 100 * SECOND,
            rng: Rng::with_seed(seed),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            number: 0,
            stats: BTreeMap::new(),
            loss_rate: 0.0,
            delay: 20,
            partitioned: Vec::new(),
            run_time: 1_000,
            response_loss_rate: 0.0,
            crash_at: None,
            effect_count: 0,
            crashed: None,
        };
        for n in 0..size {
            let mut node = world.new_node(n, size, Some(disk.clone()), 0);
            node.older_disk = Some(disk.clone());
            world.nodes.push(node);
        }
        (0..size).for_each(|n| world.schedule(world.now, n, Event::AnnounceStart));
        world.run_for(SECOND);
        assert!(world.nodes.iter().all(|node| node.replica.votes));
        world
    }

    fn new_node(&self, n: usize, size: usize, disk: Option<Disk>, generation: u32) -> Node {
        let roster = roster(size);
        let stored = disk.as_ref().map(|d| d.incarnations.clone());
        let restart_check =
            RestartCheck::new(front(n), &roster.fronts(), self.now / 10, stored, self.now, RETENTION);
        let records = disk.as_ref().map(|d| d.records.clone()).unwrap_or_default();
        let disk = Disk { incarnations: restart_check.to_store(self.now), records: records.clone() };
        let replica = Replica::new(10_000, RETENTION, records, false);
        let coordinator = Coordinator::new(front(n), restart_check.incarnation, roster, CREATION_TIMEOUT);
        let (paused, older_disk, timer_at) = (false, None, None);
        Node {
            generation,
            up: true,
            paused,
            held_events: Vec::new(),
            coordinator,
            replica,
            restart_check,
            disk: Some(disk),
            older_disk,
            timer_at,
        }
    }

    fn schedule(&mut self, at: Ticks, n: usize, event: Event) {
        self.number += 1;
        let generation = self.nodes[n].generation;
        self.queue.push(Reverse(Scheduled(at, self.number, n, generation, event)));
    }

    /// A message in transit: lost, duplicated, late or cut off. It reaches whichever incarnation is running
    /// then.
    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        if self.partitioned.contains(&(from, to)) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.f64() < self.loss_rate / 4.0) {
            if from == to || self.rng.f64() >= self.loss_rate {
                let latency = if from == to { 1 } else { self.delay / 2 + self.rng.u64(0..=self.delay) };
                self.number += 1;
                self.queue.push(Reverse(Scheduled(self.now + latency, self.number, to, u32::MAX, event())));
            }
        }
    }

    fn announce_start(&mut self, n: usize) {
        let notice = StartNotice { incarnation: self.nodes[n].restart_check.incarnation };
        for to in self.nodes[n].restart_check.unacknowledged() {
            self.send(n, index(to), || Event::StartNotice(front(n), notice));
        }
    }

    fn perform(&mut self, n: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.effect_count += 1;
            if self.crash_at == Some(self.effect_count) {
                self.crashed = Some(n);
                return self.crash(n);
            }
            let now = self.now;
            match effect {
                Effect::Send { to, id, request } => {
                    self.send(n, index(to), || Event::ReplicaRequest(front(n), id, request.clone()));
                }
                Effect::Push { id, push } => {
                    // The front may pause from here on: a push that has left still arrives.
                    let at = now + 1;
                    self.schedule(at, n, Event::PushArrives(id, push));
                }
                Effect::Resume { id, pushes, push_age, time_left } => {
                    let (policy, stats) = self.stats.get_mut(&id).expect("the request was accessed");
                    stats.resumed += 1;
                    let may_have_run = pushes.iter().any(|p| !p.not_run);
                    match policy {
                        RepeatPolicy::Unrepeatable => {
                            assert!(!may_have_run, "pushed again although it may have run")
                        }
                        RepeatPolicy::Deduplicated { window } => assert!(!may_have_run || push_age < *window),
                        RepeatPolicy::Idempotent => {}
                    }
                    assert!(time_left > 0);
                    let mut effects = Vec::new();
                    self.nodes[n].coordinator.start_push(now, id, 8, &mut effects);
                    self.perform(n, effects);
                }
                Effect::Settled { id, outcome } => {
                    let stats = &mut self.stats.get_mut(&id).expect("the request was accessed").1;
                    match outcome {
                        Outcome::Done(_) => stats.completed += 1,
                        Outcome::NotRun => stats.not_run += 1,
                        Outcome::MayHaveRun => stats.may_have_run += 1,
                    }
                }
                Effect::IdConflict { .. } => panic!("all accesses have the same fingerprint"),
                Effect::NotReplicated { id } => {
                    self.stats.get_mut(&id).expect("the request was accessed").1.not_replicated += 1
                }
                Effect::Undecided { id } => {
                    self.stats.get_mut(&id).expect("the request was accessed").1.undecided += 1
                }
            }
            if !self.nodes[n].up {
                return;
            }
        }
        let next = self.nodes[n].coordinator.next_timer();
        if let Some(at) =
            next.filter(|at| self.nodes[n].timer_at.is_none_or(|set| *at < set || set <= self.now))
        {
            self.nodes[n].timer_at = Some(at);
            self.schedule(at.max(self.now + 1), n, Event::Timer);
        }
    }

    fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.up, node.paused, node.generation) = (false, false, node.generation + 1);
        node.held_events.clear();
    }

    /// With its disk, without it, or with an older copy of it.
    fn restart(&mut self, n: usize, disk: Option<Disk>) {
        let (size, generation, older_disk) =
            (self.nodes.len(), self.nodes[n].generation + 1, self.nodes[n].older_disk.clone());
        self.nodes[n] = Node { older_disk, ..self.new_node(n, size, disk, generation) };
        self.schedule(self.now, n, Event::AnnounceStart);
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = self.now;
        let mut effects = Vec::new();
        let node = &mut self.nodes[n];
        let votes = node.restart_check.may_vote(now);
        node.replica.votes = votes;
        match event {
            Event::ReplicaRequest(from, id, request) => {
                let (response, store) = node.replica.handle(now, id, request);
                if let Some(disk) = node.disk.as_mut().filter(|_| store) {
                    match node.replica.get(id) {
                        Some(stored) => drop(disk.records.insert(id, stored.clone())),
                        None => drop(disk.records.remove(&id)),
                    }
                }
                self.send(n, index(from), || Event::ReplicaResponse(front(n), id, response.clone()));
            }
            Event::ReplicaResponse(from, id, response) => {
                node.coordinator.on_response(now, from, id, response, &mut effects)
            }
            Event::StartNotice(from, notice) => {
                let ack = node.restart_check.on_start_notice(now, from, notice);
                if let Some(disk) = &mut node.disk {
                    disk.incarnations = node.restart_check.to_store(now);
                }
                self.send(n, index(from), || Event::StartAck(front(n), ack));
            }
            Event::StartAck(from, ack) => {
                node.restart_check.on_start_ack(now, RETENTION, from, ack);
                if let Some(disk) = &mut node.disk {
                    disk.incarnations = node.restart_check.to_store(now);
                }
            }
            Event::Timer => {
                node.timer_at = None;
                node.coordinator.on_timers(now, &mut effects);
            }
            Event::AnnounceStart => {
                if let Some(disk) = &mut node.disk {
                    disk.incarnations = node.restart_check.to_store(now);
                }
                self.announce_start(n);
                self.schedule(now + SECOND / 4, n, Event::AnnounceStart);
            }
            Event::PushArrives(id, push) => {
                self.stats.get_mut(&id).expect("the request was accessed").1.runs += 1;
                if self.rng.f64() >= self.response_loss_rate {
                    let response = Response { status: 200, body: Box::from(*b"done") };
                    self.schedule(
                        now + self.run_time,
                        n,
                        Event::PushEnded(id, push, PushOutcome::Responded(response)),
                    );
                } else {
                    self.schedule(now + self.run_time, n, Event::PushEnded(id, push, PushOutcome::Unknown));
                }
            }
            Event::PushEnded(id, push, outcome) => {
                let unknown = outcome == PushOutcome::Unknown;
                node.coordinator.on_push_end(now, id, push, outcome, &mut effects);
                if unknown {
                    node.coordinator.finish(now, id, &mut effects);
                }
            }
            Event::Access(id, policy, fingerprint) => {
                let deadline = now + 5 * SECOND;
                self.stats.entry(id).or_insert((policy, Stats::default())).1.accesses += 1;
                self.nodes[n].coordinator.on_access(now, id, fingerprint, policy, 7, deadline, &mut effects);
            }
            Event::FrontDown(suspect) => {
                let Node { coordinator, replica, .. } = node;
                coordinator.front_down(now, suspect, replica.records(), &mut effects);
            }
            Event::FrontUp(suspect) => node.coordinator.front_up(suspect),
        }
        self.perform(n, effects);
    }

    fn run_for(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|d| d.0.0 <= end) {
            let Some(Reverse(Scheduled(at, _, n, generation, event))) = self.queue.pop() else { break };
            self.now = at;
            let node = &mut self.nodes[n];
            // A front's own events end with its incarnation; messages to it reach the next one.
            if !node.up || generation != u32::MAX && generation != node.generation {
                // A push that has left reaches the origin all the same.
                if let Event::PushArrives(id, _) = event {
                    self.stats.get_mut(&id).expect("the request was accessed").1.runs += 1;
                }
                continue;
            }
            if node.paused {
                node.held_events.push(event);
                continue;
            }
            self.handle(n, event);
        }
        self.now = end;
    }

    fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        for event in std::mem::take(&mut self.nodes[n].held_events) {
            if self.nodes[n].up {
                self.handle(n, event);
            }
        }
    }

    fn access(&mut self, n: usize, id: u128, policy: RepeatPolicy) {
        self.schedule(self.now, n, Event::Access(RequestId(id), policy, id as u64));
    }

    fn report_down(&mut self, suspect: usize) {
        for n in (0..self.nodes.len()).filter(|n| *n != suspect) {
            let at = self.now + self.rng.u64(0..SECOND);
            self.schedule(at, n, Event::FrontDown(front(suspect)));
        }
    }

    /// What may run only once has run at most once, and no client was told an outcome that contradicts
    /// another.
    fn check_invariants(&self) {
        for (id, (policy, stats)) in &self.stats {
            if *policy == RepeatPolicy::Unrepeatable {
                assert!(stats.runs <= 1, "{id:?} ran {} times: {stats:?}", stats.runs);
            }
            let outcomes = [stats.completed, stats.not_run, stats.may_have_run];
            assert!(outcomes.iter().filter(|count| **count > 0).count() <= 1, "{id:?} {policy:?}: {stats:?}");
            assert!(stats.completed == 0 || stats.runs > 0, "{id:?}: completed, but never ran");
            assert!(stats.not_run == 0 || stats.runs == 0, "{id:?}: reported as not run, but ran: {stats:?}");
        }
    }
}

#[test]
fn a_request_runs_once_and_retries_get_its_outcome() {
    let mut w = World::new(1, 6);
    w.access(0, 7, RepeatPolicy::Unrepeatable);
    w.run_for(SECOND / 2);
    let a = |w: &World| {
        let a = &w.stats[&RequestId(7)].1;
        (a.runs, a.completed)
    };
    assert_eq!(a(&w), (1, 1));
    // At the same front, at another, at all of them at once.
    (0..6).for_each(|n| w.access(n, 7, RepeatPolicy::Unrepeatable));
    w.run_for(SECOND);
    assert_eq!(a(&w), (1, 7));
    // After the retention time the id is free again.
    w.run_for(2 * RETENTION);
    (0..6).for_each(|n| drop(w.nodes[n].replica.remove_expired(w.now)));
    w.stats.clear();
    w.access(3, 7, RepeatPolicy::Unrepeatable);
    w.run_for(SECOND);
    assert_eq!(a(&w), (1, 1));
    w.check_invariants();
}

#[test]
fn the_same_id_with_another_body_is_rejected() {
    let mut w = World::new(2, 6);
    w.access(0, 7, RepeatPolicy::Unrepeatable);
    w.run_for(SECOND / 2);
    for n in [0, 1] {
        let mut effects = Vec::new();
        let deadline = w.now + SECOND;
        w.nodes[n].coordinator.on_access(
            w.now,
            RequestId(7),
            99,
            RepeatPolicy::Unrepeatable,
            7,
            deadline,
            &mut effects,
        );
        let requests: Vec<_> = effects
            .iter()
            .filter_map(|effect| match effect {
                Effect::Send { to, request, .. } => Some((*to, request.clone())),
                _ => None,
            })
            .collect();
        let mut responses = Vec::new();
        for (to, request) in requests {
            responses.push((to, w.nodes[index(to)].replica.handle(w.now, RequestId(7), request).0));
        }
        for (from, response) in responses {
            w.nodes[n].coordinator.on_response(w.now, from, RequestId(7), response, &mut effects);
        }
        assert!(effects.iter().any(|e| matches!(e, Effect::IdConflict { .. })), "front {n}: {effects:?}");
    }
    assert_eq!(w.stats[&RequestId(7)].1.runs, 1);
}

/// The owner crashes before each of its effects in turn; its client retries elsewhere, before or after the
/// failure is detected.
#[test]
fn an_owner_that_crashes_at_any_step_leaves_at_most_one_run_and_one_outcome() {
    let (mut finished, mut unknown, mut not_run) = (0, 0, 0);
    for policy in [
        RepeatPolicy::Unrepeatable,
        RepeatPolicy::Deduplicated { window: 3 * SECOND },
        RepeatPolicy::Idempotent,
    ] {
        for crash_at in 1..24 {
            for retry_after in [0, SECOND / 10, 2 * SECOND] {
                for seed in 0..3 {
                    let mut w = World::new(seed, 6);
                    (w.crash_at, w.effect_count) = (Some(crash_at), 0);
                    w.access(0, 7, policy);
                    w.run_for(SECOND / 4);
                    let Some(crashed) = w.crashed else { continue };
                    w.crash_at = None;
                    w.report_down(crashed);
                    w.run_for(retry_after);
                    let other = (crashed + 1 + w.rng.usize(..5)) % 6;
                    w.access(other, 7, policy);
                    w.run_for(10 * SECOND);
                    w.check_invariants();
                    let a = &w.stats[&RequestId(7)].1;
                    assert!(
                        a.completed + a.may_have_run + a.not_run + a.undecided + a.not_replicated > 0,
                        "no client got an answer: {a:?}"
                    );
                    finished += u32::from(a.completed > 0);
                    unknown += u32::from(a.may_have_run + a.undecided > 0);
                    not_run += u32::from(a.not_run > 0);
                    if policy == RepeatPolicy::Idempotent && a.not_replicated == 0 {
                        assert!(a.completed > 0, "crash at {crash_at}, retry after {retry_after}: {a:?}");
                    }
                }
            }
        }
    }
    assert!(finished > 100 && unknown > 10, "{finished} finished, {unknown} unknown, {not_run} not run");
}

#[test]
fn an_owner_paused_just_before_its_push_runs_it_at_most_once_after_resuming() {
    for seed in 0..40 {
        let mut w = World::new(seed, 6);
        w.access(0, 7, RepeatPolicy::Unrepeatable);
        let steps = w.rng.u64(10..200);
        w.run_for(steps);
        w.nodes[0].paused = true;
        w.report_down(0);
        w.run_for(SECOND);
        w.access(1, 7, RepeatPolicy::Unrepeatable);
        w.run_for(3 * SECOND);
        w.resume(0);
        w.run_for(10 * SECOND);
        w.check_invariants();
    }
}

#[test]
fn partitions_that_consider_each_other_dead_agree_on_one_run() {
    for seed in 0..60 {
        let mut w = World::new(seed, 6);
        w.access(0, 7, RepeatPolicy::Unrepeatable);
        let steps = w.rng.u64(0..300);
        w.run_for(steps);
        let half: Vec<bool> = (0..6).map(|_| w.rng.bool()).collect();
        for (a, b) in (0..6).flat_map(|a| (0..6).map(move |b| (a, b))) {
            if half[a] != half[b] {
                w.partitioned.push((a, b));
            }
        }
        for suspect in 0..6 {
            for n in (0..6).filter(|n| half[*n] != half[suspect]) {
                w.schedule(w.now + SECOND / 2, n, Event::FrontDown(front(suspect)));
            }
        }
        (0..6).for_each(|n| w.access(n, 7, RepeatPolicy::Unrepeatable));
        w.run_for(4 * SECOND);
        w.partitioned.clear();
        (0..6).for_each(|n| w.access(n, 7, RepeatPolicy::Unrepeatable));
        w.run_for(20 * SECOND);
        w.check_invariants();
    }
}

#[test]
fn a_replica_without_its_disk_or_with_an_older_copy_has_no_vote_until_retention_is_over() {
    for older_disk in [false, true] {
        let mut w = World::new(3, 6);
        w.access(0, 7, RepeatPolicy::Unrepeatable);
        w.run_for(SECOND);
        // All replicas of the request go down, two of them lose what they stored, and its owner is gone as
        // well.
        let replicas: Vec<usize> = roster(6).replicas(RequestId(7)).unwrap().all().map(index).collect();
        let disk = w.nodes[replicas[0]].disk.clone();
        w.crash(0);
        replicas.iter().for_each(|&n| w.crash(n));
        w.run_for(SECOND / 10);
        w.restart(replicas[0], disk);
        for &n in &replicas[1..] {
            let disk = w.nodes[n].older_disk.clone().filter(|_| older_disk);
            w.restart(n, disk);
        }
        w.run_for(2 * SECOND);
        assert!(
            replicas[1..].iter().all(|&n| !w.nodes[n].restart_check.may_vote(w.now)),
            "older copy: {older_disk}"
        );
        let client_front = (0..6).find(|n| *n != 0 && !replicas.contains(n)).unwrap();
        w.access(client_front, 7, RepeatPolicy::Unrepeatable);
        w.run_for(10 * SECOND);
        let a = &w.stats[&RequestId(7)].1;
        assert_eq!((a.runs, a.completed), (1, 1), "reported to the first client, and not run again: {a:?}");
        assert!(a.not_replicated + a.undecided > 0, "{a:?}");
        w.check_invariants();
        w.run_for(RETENTION);
        assert!(replicas.iter().all(|&n| w.nodes[n].restart_check.may_vote(w.now)), "then they vote again");
    }
}

#[test]
fn a_thousand_requests_of_one_owner_are_taken_over_by_many_and_complete() {
    let mut w = World::new(4, 6);
    w.run_time = 2 * SECOND;
    (0..1_000).for_each(|n| w.access(0, n, RepeatPolicy::Idempotent));
    w.run_for(SECOND / 2);
    w.crash(0);
    w.report_down(0);
    w.run_for(6 * SECOND);
    let runs: Vec<u32> = w.stats.values().map(|a| a.1.runs).collect();
    assert!(runs.iter().all(|r| *r >= 2), "each was pushed again by whoever took it over");
    (0..1_000).for_each(|n| w.access(1 + n as usize % 5, n, RepeatPolicy::Idempotent));
    w.run_for(5 * SECOND);
    w.check_invariants();
    assert!(w.stats.values().all(|a| a.1.completed == 1));
}

/// Messages from a holder of a valid key may contain anything: none causes a panic, fills a replica, or is
/// stored beyond the limits.
#[test]
fn absurd_messages_are_bounded_or_rejected() {
    use doorgrade_custody::{Push, RecordView, ReplicaRequest, RequestRecord, Term};
    let max = u64::MAX;
    let record = |pushes, body| RequestRecord {
        creation_id: 1,
        fingerprint: 1,
        repeat_policy: RepeatPolicy::Idempotent,
        pushes: vec![Push { cache: 1, not_run: false }; pushes],
        outcome: Some(Outcome::Done(Response { status: 200, body: vec![0; body].into() })),
    };
    let term = Term { number: u32::MAX, owner: max, incarnation: max };
    let mut replica = Replica::new(2, RETENTION, BTreeMap::new(), true);
    for bad in [record(9, 0), record(0, (16 << 10) + 1)] {
        assert_eq!(
            replica.handle(SECOND, RequestId(1), ReplicaRequest::Create { term, record: bad, time_left: 1 }),
            (ReplicaResponse::Full, false)
        );
    }
    let view =
        RecordView { written: term, version: u32::MAX, record: record(1, 0), push_age: max, time_left: max };
    replica.handle(SECOND, RequestId(1), ReplicaRequest::Claim { term, view: view.clone() });
    replica.handle(
        SECOND,
        RequestId(2),
        ReplicaRequest::Write { term, version: u32::MAX, record: record(1, 0), time_left: max },
    );
    assert_eq!(
        replica.handle(SECOND, RequestId(3), ReplicaRequest::Claim { term, view }).0,
        ReplicaResponse::Full
    );
    let mut coordinator = Coordinator::new(front(0), 1, roster(6), CREATION_TIMEOUT);
    let mut effects = Vec::new();
    coordinator.front_down(SECOND, max, replica.records(), &mut effects);
    coordinator.on_timers(SECOND * 100, &mut effects);
    let mut restart_check = RestartCheck::new(front(0), &roster(6).fronts(), 1, None, SECOND, RETENTION);
    for n in 0..1_000 {
        restart_check.on_start_notice(SECOND, 50_000 + n, StartNotice { incarnation: max });
    }
    restart_check.on_start_ack(
        SECOND,
        RETENTION,
        front(1),
        StartAck { incarnation: 1, previous: Some(max), complete: true },
    );
    assert!(restart_check.to_store(SECOND).peers.is_empty());
}

#[test]
fn requests_that_wait_to_be_claimed_are_queued_once() {
    let mut w = World::new(6, 6);
    w.run_time = 30 * SECOND;
    (0..300).for_each(|n| w.access(0, n, RepeatPolicy::Idempotent));
    w.run_for(SECOND / 2);
    w.crash(0);
    // No message arrives any more: claims take up all slots and stay.
    w.partitioned = (0..6).flat_map(|a| (0..6).map(move |b| (a, b))).collect();
    w.report_down(0);
    w.run_for(3 * SECOND);
    for node in &w.nodes[1..] {
        assert!(node.coordinator.queued() <= 300, "{} queued", node.coordinator.queued());
    }
}

fn random_run(seed: u64) {
    let mut w = World::new(seed, 6);
    w.loss_rate = [0.0, 0.01, 0.2][w.rng.usize(..3)];
    w.delay = [10, 100, 1_000][w.rng.usize(..3)];
    w.run_time = [100, 1_000, 10_000][w.rng.usize(..3)];
    w.response_loss_rate = [0.0, 0.1, 0.5][w.rng.usize(..3)];
    let policies = [RepeatPolicy::Unrepeatable, RepeatPolicy::Unrepeatable, RepeatPolicy::Idempotent];
    // One disk at a time is lost or old, and only once the previous such front votes again: the protocol does
    // not cover two at the same time.
    let mut recovering: Option<usize> = None;
    for _ in 0..60 {
        let n = w.rng.usize(..6);
        let id = w.rng.u128(0..12);
        match w.rng.u8(..14) {
            0..=5 if w.nodes[n].up => w.access(n, id, policies[id as usize % 3]),
            6 if w.nodes[n].up => {
                w.crash(n);
                w.report_down(n);
            }
            7 if !w.nodes[n].up => {
                let recovered =
                    recovering.is_none_or(|f| w.nodes[f].up && w.nodes[f].restart_check.may_vote(w.now));
                let disk = match w.rng.u8(..6) {
                    0 if recovered => None,
                    1 if recovered => w.nodes[n].older_disk.clone(),
                    _ => w.nodes[n].disk.clone(),
                };
                if disk.is_none() || recovered {
                    recovering = Some(n);
                }
                w.restart(n, disk);
                (0..6).for_each(|m| w.schedule(w.now + SECOND / 10, m, Event::FrontUp(front(n))));
            }
            8 if w.nodes[n].up && !w.nodes[n].paused => {
                w.nodes[n].paused = true;
                w.report_down(n);
            }
            9 if w.nodes[n].paused => w.resume(n),
            // Wrongly reported as dead, to one front.
            10 => {
                let suspect = w.rng.usize(..6);
                if suspect != n && w.nodes[n].up {
                    w.schedule(w.now, n, Event::FrontDown(front(suspect)));
                }
            }
            11 => {
                let (a, b) = (w.rng.usize(..6), w.rng.usize(..6));
                w.partitioned.push((a, b));
            }
            12 => w.partitioned.clear(),
            _ => {}
        }
        let time = w.rng.u64(0..SECOND);
        w.run_for(time);
        w.check_invariants();
    }
    w.partitioned.clear();
    (0..6).filter(|n| w.nodes[*n].paused).collect::<Vec<_>>().into_iter().for_each(|n| w.resume(n));
    w.run_for(30 * SECOND);
    w.check_invariants();
}

/// A front failed to create a request and tries again; a paused replica acknowledges the first try, and that
/// was counted for the second.
#[test]
fn a_late_acknowledgement_of_an_earlier_try_does_not_count_for_a_later_one() {
    random_run(16750999581221910592);
}

/// A front lost its disk, and was restarted on the new one before the retention time was over: it must not
/// vote yet.
#[test]
fn a_front_that_has_forgotten_stays_without_a_vote_after_another_restart() {
    random_run(17360305723432299807);
}

/// An older copy of a disk was restored; the acknowledgement that reported a later incarnation got lost, and
/// when asked again nobody reported it.
#[test]
fn a_known_incarnation_is_reported_however_often_it_is_asked_for() {
    random_run(77777611512087802);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_random_run_runs_a_request_twice_or_reports_two_outcomes(seed in any::<u64>()) {
        random_run(seed);
    }
}
