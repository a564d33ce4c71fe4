//! Every order of events of the smallest configuration, checked exhaustively: three fronts, all of them
//! replicas, one unrepeatable request, its client, and the client's retry at another front. Messages arrive
//! in any order, late, twice or never; any front may consider any other dead at any time; fronts crash and
//! restart with or without their disks. The decisions are those of the crate; runs are counted at an origin
//! that is independent of them.

use std::collections::BTreeMap;

use doorgrade::Ticks;
use doorgrade_custody::{
    Candidate, Coordinator, Effect, FrontId, Outcome, PushOutcome, RepeatPolicy, Replica, ReplicaRequest,
    ReplicaResponse, RequestId, Response, Roster, StoredRecord,
};
use stateright::{Checker, Model, Property};

const SECOND: Ticks = 10_000;
const ID: RequestId = RequestId(7);
const RETENTION: Ticks = 1_000 * SECOND;

/// Faults of the shell around the decisions, which the search has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The push is sent along with the messages that store it as intended, before a majority has stored them.
    PushesBeforeMajority,
    /// A front that has lost its disk votes as if it had not.
    VotesAfterDataLoss,
    /// A replica acknowledges a change before its disk has it.
    AnswersBeforeStored,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    ReplicaRequest(usize, usize, ReplicaRequest),
    ReplicaResponse(usize, usize, ReplicaResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    coordinator: Coordinator,
    replica: Replica,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    clients: u8,
    reports: u8,
    crashes: u8,
    disk_losses: u8,
    duplicates: u8,
    ticks: u8,
    lost_replies: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Ticks,
    nodes: Vec<Option<Node>>,
    incarnations: [u64; 3],
    disks: [BTreeMap<RequestId, StoredRecord>; 3],
    has_forgotten: [bool; 3],
    messages: Vec<Message>,
    /// Pushes in transit, and responses in transit to an incarnation of a front.
    pushes: Vec<(usize, u64, usize)>,
    responses: Vec<(usize, u64, usize)>,
    runs: u8,
    /// Done, not run, may have run: how often clients were told each.
    reported: [u8; 3],
    taken_over: bool,
    budget: Budget,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Access(usize),
    Deliver(usize),
    Duplicate(usize),
    PushRuns(usize),
    DeliverPushResponse(usize),
    LosePushResponse(usize),
    ReportDown(usize, usize),
    Crash(usize),
    Restart(usize, bool),
    Tick,
}

fn front(n: usize) -> FrontId {
    1 + n as FrontId
}

fn index(front: FrontId) -> usize {
    front as usize - 1
}

fn roster() -> Roster {
    let candidate = |n| Candidate { front: front(n), station: n as u64, machine: n as u64 };
    Roster { version: 1, candidates: (0..3).map(candidate).collect(), previous: Vec::new() }
}

struct SmallModel(Budget, Fault);

impl World {
    fn new_node(&self, n: usize, votes: bool) -> Node {
        let coordinator = Coordinator::new(front(n), self.incarnations[n], roster(), 1_000 * SECOND);
        Node { coordinator, replica: Replica::new(100, RETENTION, self.disks[n].clone(), votes) }
    }

    fn ask_replica(&mut self, n: usize, request: ReplicaRequest, fault: Fault) -> Option<ReplicaResponse> {
        let now = self.now;
        let node = self.nodes[n].as_mut()?;
        let (response, store) = node.replica.handle(now, ID, request);
        if store && fault != Fault::AnswersBeforeStored {
            match node.replica.get(ID) {
                Some(stored) => drop(self.disks[n].insert(ID, stored.clone())),
                None => drop(self.disks[n].remove(&ID)),
            }
        }
        Some(response)
    }

    fn perform(&mut self, n: usize, effects: Vec<Effect>, fault: Fault) {
        let mut effects: std::collections::VecDeque<Effect> = effects.into();
        while let Some(effect) = effects.pop_front() {
            let now = self.now;
            let mut new_effects = Vec::new();
            match effect {
                // A front's own replica answers at once.
                Effect::Send { to, request, .. } if to == front(n) => {
                    if let Some((response, node)) =
                        self.ask_replica(n, request, fault).zip(self.nodes[n].as_mut())
                    {
                        node.coordinator.on_response(now, to, ID, response, &mut new_effects);
                    }
                }
                Effect::Send { to, request, .. } => {
                    let pushes_now = matches!(&request, ReplicaRequest::Create { .. })
                        && fault == Fault::PushesBeforeMajority;
                    if pushes_now && !self.pushes.iter().any(|p| p.0 == n) {
                        self.pushes.push((n, self.incarnations[n], 0));
                    }
                    let message = Message::ReplicaRequest(n, index(to), request);
                    if !self.messages.contains(&message) {
                        self.messages.push(message);
                    }
                }
                Effect::Push { push, .. } => {
                    if fault != Fault::PushesBeforeMajority {
                        self.pushes.push((n, self.incarnations[n], push));
                    }
                }
                Effect::Resume { .. } => {
                    self.taken_over = true;
                    if let Some(node) = self.nodes[n].as_mut() {
                        node.coordinator.start_push(now, ID, 9, &mut new_effects);
                    }
                    if fault == Fault::PushesBeforeMajority {
                        self.pushes.push((n, self.incarnations[n], 1));
                    }
                }
                Effect::Settled { outcome, .. } => {
                    let kind = match outcome {
                        Outcome::Done(_) => 0,
                        Outcome::NotRun => 1,
                        Outcome::MayHaveRun => 2,
                    };
                    self.reported[kind] += 1;
                }
                Effect::IdConflict { .. } | Effect::NotReplicated { .. } | Effect::Undecided { .. } => {}
            }
            // In the order in which they arise.
            new_effects.into_iter().rev().for_each(|d| effects.push_front(d));
        }
        self.messages.sort_by_key(|w| format!("{w:?}"));
    }

    fn drive(&mut self, n: usize, fault: Fault, input: impl FnOnce(&mut Node, Ticks, &mut Vec<Effect>)) {
        let (now, mut effects) = (self.now, Vec::new());
        if let Some(node) = &mut self.nodes[n] {
            input(node, now, &mut effects);
        }
        self.perform(n, effects, fault);
    }
}

impl Model for SmallModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: 100 * SECOND,
            nodes: Vec::new(),
            incarnations: [1; 3],
            disks: Default::default(),
            has_forgotten: [false; 3],
            messages: Vec::new(),
            pushes: Vec::new(),
            responses: Vec::new(),
            runs: 0,
            reported: [0; 3],
            taken_over: false,
            budget: self.0,
        };
        world.nodes = (0..3).map(|n| Some(world.new_node(n, true))).collect();
        vec![world]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let budget = &w.budget;
        // The first client comes to the first front, and the retry to the second, at any time.
        if budget.clients > 0 {
            let n = usize::from(self.0.clients - budget.clients);
            if w.nodes[n].is_some() {
                steps.push(Step::Access(n));
            }
        }
        for (n, message) in w.messages.iter().enumerate() {
            let (Message::ReplicaRequest(_, to, _) | Message::ReplicaResponse(_, to, _)) = message;
            if w.nodes[*to].is_some() {
                steps.push(Step::Deliver(n));
                if budget.duplicates > 0 {
                    steps.push(Step::Duplicate(n));
                }
            }
        }
        steps.extend((0..w.pushes.len()).map(Step::PushRuns));
        for n in 0..w.responses.len() {
            steps.push(Step::DeliverPushResponse(n));
            if budget.lost_replies > 0 {
                steps.push(Step::LosePushResponse(n));
            }
        }
        for n in 0..3 {
            if w.nodes[n].is_none() {
                steps.push(Step::Restart(n, true));
                if budget.disk_losses > 0 {
                    steps.push(Step::Restart(n, false));
                }
                continue;
            }
            if budget.crashes > 0 {
                steps.push(Step::Crash(n));
            }
            if budget.reports > 0 {
                steps.extend(
                    (0..2).filter(|suspect| *suspect != n).map(|suspect| Step::ReportDown(n, suspect)),
                );
            }
        }
        if budget.ticks > 0 {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let (mut w, fault) = (last.clone(), self.1);
        match step {
            Step::Access(n) => {
                w.budget.clients -= 1;
                let deadline = w.now + 500 * SECOND;
                w.drive(n, fault, |node, now, effects| {
                    node.coordinator.on_access(now, ID, 1, RepeatPolicy::Unrepeatable, 9, deadline, effects);
                });
            }
            Step::Deliver(at) | Step::Duplicate(at) => {
                let message = w.messages[at].clone();
                if step == Step::Deliver(at) {
                    w.messages.remove(at);
                } else {
                    w.budget.duplicates -= 1;
                }
                match message {
                    Message::ReplicaRequest(from, to, request) => {
                        if let Some(response) = w.ask_replica(to, request, fault) {
                            let message = Message::ReplicaResponse(to, from, response);
                            if !w.messages.contains(&message) {
                                w.messages.push(message);
                            }
                        }
                        w.messages.sort_by_key(|w| format!("{w:?}"));
                    }
                    Message::ReplicaResponse(from, to, response) => {
                        w.drive(to, fault, |node, now, effects| {
                            node.coordinator.on_response(now, front(from), ID, response, effects)
                        });
                    }
                }
            }
            Step::PushRuns(at) => {
                let (n, incarnation, push) = w.pushes.remove(at);
                w.runs += 1;
                w.responses.push((n, incarnation, push));
            }
            Step::DeliverPushResponse(at) | Step::LosePushResponse(at) => {
                let (n, incarnation, push) = w.responses.remove(at);
                let outcome = if step == Step::DeliverPushResponse(at) {
                    PushOutcome::Responded(Response { status: 200, body: Box::default() })
                } else {
                    w.budget.lost_replies -= 1;
                    PushOutcome::Unknown
                };
                if w.incarnations[n] == incarnation && w.nodes[n].is_some() {
                    w.drive(n, fault, |node, now, effects| {
                        let unknown = outcome == PushOutcome::Unknown;
                        node.coordinator.on_push_end(now, ID, push, outcome, effects);
                        if unknown {
                            node.coordinator.finish(now, ID, effects);
                        }
                    });
                }
            }
            Step::ReportDown(n, suspect) => {
                w.budget.reports -= 1;
                w.drive(n, fault, |node, now, effects| {
                    let Node { coordinator, replica } = node;
                    coordinator.front_down(now, front(suspect), replica.records(), effects);
                });
            }
            Step::Crash(n) => {
                w.budget.crashes -= 1;
                w.nodes[n] = None;
            }
            Step::Restart(n, disk_kept) => {
                w.incarnations[n] += 1;
                if !disk_kept {
                    w.budget.disk_losses -= 1;
                    w.disks[n].clear();
                    w.has_forgotten[n] = true;
                }
                let votes = !w.has_forgotten[n] || fault == Fault::VotesAfterDataLoss;
                w.nodes[n] = Some(w.new_node(n, votes));
            }
            Step::Tick => {
                w.budget.ticks -= 1;
                w.now += 2_000;
                (0..3).for_each(|n| {
                    w.drive(n, fault, |node, now, effects| node.coordinator.on_timers(now, effects))
                });
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the request runs at most once", |_, w: &World| w.runs <= 1),
            Property::always("no client is told two outcomes", |_, w: &World| {
                w.reported.iter().filter(|t| **t > 0).count() <= 1
            }),
            Property::always("the reported outcome is true", |_, w: &World| {
                (w.reported[0] == 0 || w.runs > 0) && (w.reported[1] == 0 || w.runs == 0)
            }),
        ]
    }
}

const BUDGET: Budget =
    Budget { clients: 2, reports: 1, crashes: 0, disk_losses: 0, duplicates: 0, ticks: 1, lost_replies: 0 };

fn search(budget: Budget, fault: Fault, depth: usize) -> (usize, bool) {
    let checked = SmallModel(budget, fault).checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    let always =
        ["the request runs at most once", "no client is told two outcomes", "the reported outcome is true"];
    let broken = always.into_iter().any(|name| checked.discovery(name).is_some());
    if fault == Fault::None {
        for name in always {
            checked.assert_no_discovery(name);
        }
    }
    (checked.unique_state_count(), broken)
}

#[test]
fn a_request_runs_once_for_any_message_order_and_any_failure_suspicion() {
    let (found, _) = search(BUDGET, Fault::None, 10);
    assert!(found > 20_000, "{found} states: the search covers too little");
}

#[test]
fn crashes_lost_disks_and_lost_responses_cause_no_second_run() {
    let budget = Budget { crashes: 1, disk_losses: 1, lost_replies: 1, ..BUDGET };
    let (found, _) = search(budget, Fault::None, 8);
    assert!(found > 20_000, "{found} states: the search covers too little");
}

#[test]
fn each_injected_fault_is_found() {
    let no_timeouts = Budget { reports: 0, ticks: 0, ..BUDGET };
    let with_crash = Budget { crashes: 1, disk_losses: 1, ..no_timeouts };
    for (fault, budget, depth) in [
        (Fault::PushesBeforeMajority, BUDGET, 8),
        (Fault::VotesAfterDataLoss, with_crash, 12),
        (Fault::AnswersBeforeStored, with_crash, 12),
    ] {
        let (states, broken) = search(budget, fault, depth);
        assert!(broken, "{fault:?}: not found in {states} states");
    }
}
