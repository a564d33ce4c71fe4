//! Four fronts and a service for the model check of overlapping rollouts: rounds, faults, and the expected
//! final state.

mod steps;

use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

use doorgrade_versions::front::{self, Front};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::service::{self, LogEvent, RolloutMode, Rules, Service, StoredState, TrialRules};
use doorgrade_versions::{RejectionReason, VersionId};

const START: u64 = 17_000_000_000_000;
const FRONTS: usize = 4;
const ROUND: u64 = 5_000;
/// Accesses of a front per round: the plausible maximum, so that two rounds are enough evidence.
const ACCESSES_PER_ROUND: u64 = 400_000;
/// Maximum number of rounds until the world is quiet: five minutes.
const MAX_ROUNDS: usize = 600;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    Kill(usize),
    Disconnect(usize),
    Service,
    ServiceOnOlderStore,
    ServiceWithoutStore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Round,
    Publish,
    RollBack,
    Fault(Fault),
    /// Delivers the messages in flight to one front, and its replies to the service.
    Deliver(usize),
}

/// A bug that is injected to prove that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    DropsOffersAfterRemoval,
    ConfirmsWithoutRunning,
    RunsLowerNumber,
    HidesHarm,
}

#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub rounds: u8,
    pub faults: u8,
    pub roll_backs: u8,
    pub deliveries: u8,
}

pub struct Small {
    pub publications: &'static [&'static str],
    pub faults: &'static [Fault],
    pub budget: Budget,
    pub bug: Bug,
}

#[derive(Clone, Debug)]
pub struct Host {
    front: Option<Front>,
    conn: Option<u64>,
    wants_connection: bool,
    timer_at: Option<u64>,
    last_good: Option<(VersionId, Seal, front::Content)>,
    staged: Option<(VersionId, u32)>,
    /// The content that its accesses are answered with, whatever it reports.
    content: Option<front::Content>,
    pub to_front: VecDeque<ToFront>,
    to_service: VecDeque<ToService>,
    rejected: BTreeSet<[u8; 32]>,
    highest: (u64, u64),
    counts: (u64, u64),
    reports: bool,
}

/// Changes that were published (number, and the line that each wrote), reported in force and removed.
#[derive(Clone, Debug, Default)]
pub struct Reported {
    published: Vec<(u64, String)>,
    in_force: Vec<u64>,
    removed: Vec<u64>,
}

#[derive(Clone, Debug)]
pub struct World {
    now: u64,
    pub hosts: Vec<Host>,
    pub service: Option<Service>,
    service_timer_at: Option<u64>,
    next_conn: u64,
    disk: StoredState,
    older_disk: StoredState,
    bug: Bug,
    pub budget: Budget,
    /// Number of changes published so far.
    pub published_count: usize,
    pub reported: Reported,
    store_lost: bool,
    /// Set while a service that lost its whole store has nothing to offer, until the next publication.
    empty: bool,
    rolled_back: bool,
    pub violation: Option<String>,
    pub verdict: Option<Result<(), String>>,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

fn keys() -> Keys {
    Keys::new(vec![(1, b"the key".to_vec())])
}

fn has(content: &[u8], token: &str) -> bool {
    String::from_utf8_lossy(content).lines().any(|line| line == token)
}

fn usable(content: &[u8]) -> Result<(), RejectionReason> {
    let bad = String::from_utf8_lossy(content).contains("refuse");
    if bad { Err(RejectionReason::Unusable("refuse".into())) } else { Ok(()) }
}

fn first() -> String {
    (0..12).map(|n| format!("member {n} = 0\n")).collect()
}

impl World {
    /// All fronts have a baseline, and a first content is in force.
    pub fn settled(bug: Bug, budget: Budget) -> World {
        let host = Host {
            front: None,
            conn: None,
            wants_connection: false,
            timer_at: None,
            last_good: None,
            staged: None,
            content: None,
            to_front: VecDeque::new(),
            to_service: VecDeque::new(),
            rejected: BTreeSet::new(),
            highest: (0, 0),
            counts: (0, 0),
            reports: false,
        };
        let mut w = World {
            now: START,
            hosts: vec![host; FRONTS],
            service: None,
            service_timer_at: None,
            next_conn: 1,
            disk: StoredState::default(),
            older_disk: StoredState::default(),
            bug: Bug::None,
            budget,
            published_count: 0,
            reported: Reported::default(),
            store_lost: false,
            empty: false,
            rolled_back: false,
            violation: None,
            verdict: None,
        };
        w.start_service();
        (0..FRONTS).for_each(|n| w.start_front(n));
        (0..20).for_each(|_| w.round());
        w.publish_content(first(), "member 0 = 0");
        for _ in 0..140 {
            w.round();
        }
        assert_eq!(w.reported.in_force.len(), 1, "the first is in force: {:?}", w.reported);
        w.older_disk = w.disk.clone();
        w.bug = bug;
        w
    }

    fn start_service(&mut self) {
        let trial = TrialRules { canaries: 1, share: 0.25, ..TrialRules::default() };
        let rules = Rules {
            rollout: RolloutMode::Evidence(trial),
            admissions_per_second: 10_000.0,
            recovery_delay: 20_000,
            ..Rules::default()
        };
        let mut effects = Vec::new();
        self.service = Some(Service::start(self.now, rules, keys(), self.disk.clone(), &mut effects));
        self.execute_service_effects(effects);
    }

    fn start_front(&mut self, n: usize) {
        let host = &self.hosts[n];
        let stored = front::StoredState { last_good: host.last_good.clone(), staged: host.staged };
        let content = stored.last_good.as_ref().map(|g| g.2.clone());
        let check = content.as_ref().map_or(Ok(()), |c| usable(c));
        let (name, station) = (format!("front-{n}"), format!("station-{}", n % 2));
        let mut effects = Vec::new();
        let front = Front::start(self.now, n as u64, (&name, &station), keys(), stored, check, &mut effects);
        let host = &mut self.hosts[n];
        (host.front, host.content, host.counts) = (Some(front), content, (0, 0));
        self.execute_front_effects(n, effects);
    }

    fn fail(&mut self, reason: &str) {
        self.violation.get_or_insert_with(|| reason.to_owned());
    }

    // ---- effects; those of a front are executed at once

    fn execute_front_effects(&mut self, n: usize, effects: Vec<front::Effect>) {
        let mut pending = VecDeque::from(effects);
        while let Some(effect) = pending.pop_front() {
            let (now, mut more) = (self.now, Vec::new());
            let host = &mut self.hosts[n];
            match effect {
                front::Effect::Connect => host.wants_connection = true,
                front::Effect::Close => self.disconnect(n, false),
                front::Effect::Send(message) => {
                    if let ToService::Rejected { id, .. } = &message {
                        host.rejected.insert(id.hash);
                    }
                    if host.conn.is_some() {
                        host.to_service.push_back(message);
                    }
                }
                front::Effect::SetTimer(at) => {
                    host.timer_at = Some(host.timer_at.map_or(at, |timer| timer.min(at)))
                }
                front::Effect::Unstage => host.staged = None,
                front::Effect::Log(_) => {}
                front::Effect::SetReportInterval { interval } => host.reports = interval.is_some(),
                front::Effect::Check(id, content) => {
                    let result = usable(&content);
                    if let Some(front) = &mut host.front {
                        front.on_checked(now, id, result, &mut more);
                    }
                }
                front::Effect::Stage { id, crashes } => {
                    host.staged = Some((id, crashes));
                    if let Some(front) = &mut host.front {
                        front.on_staged(now, id, &mut more);
                    }
                }
                front::Effect::Apply(id, content) => {
                    let only_confirms = self.bug == Bug::ConfirmsWithoutRunning && n == 0;
                    if !only_confirms {
                        host.content = Some(content);
                    }
                    if let Some(front) = &mut host.front {
                        front.on_applied(now, id, Ok(()), &mut more);
                    }
                    let (lower, rejected) = (id.position() < host.highest, host.rejected.contains(&id.hash));
                    host.highest = host.highest.max(id.position());
                    if lower {
                        self.fail("it went to a lower number");
                    }
                    if rejected {
                        self.fail("it applies a content that it rejected");
                    }
                }
                front::Effect::Store(id, seal, content) => {
                    (host.last_good, host.staged) = (Some((id, seal, content)), None);
                    if let Some(front) = &mut host.front {
                        front.on_stored(now, id, true, &mut more);
                    }
                }
            }
            pending.extend(more);
        }
    }

    fn execute_service_effects(&mut self, effects: Vec<service::Effect>) {
        for effect in effects {
            match effect {
                service::Effect::Send(conn, message) => {
                    let Some(n) = self.hosts.iter().position(|h| h.conn == Some(conn)) else { continue };
                    let removal = !self.reported.removed.is_empty();
                    let offer = matches!(message, ToFront::Offer { .. });
                    if !(self.bug == Bug::DropsOffersAfterRemoval && removal && offer) {
                        self.hosts[n].to_front.push_back(message);
                    }
                }
                service::Effect::Close(conn) => {
                    if let Some(n) = self.hosts.iter().position(|h| h.conn == Some(conn)) {
                        self.disconnect(n, true);
                    }
                }
                service::Effect::Store(version) => {
                    self.disk.versions.retain(|v| v.id.position() != version.id.position());
                    self.disk.versions.push(version);
                }
                service::Effect::StoreState { epoch, base, rollout } => {
                    self.disk.versions.retain(|v| v.id.epoch == epoch);
                    (self.disk.epoch, self.disk.base, self.disk.rollout) = (epoch, base, rollout);
                }
                service::Effect::StoreTrials(trials) => self.disk.trials = Some(trials),
                service::Effect::Delete(id) => self.disk.versions.retain(|v| v.id != id),
                service::Effect::SetTimer(at) => {
                    self.service_timer_at = Some(self.service_timer_at.map_or(at, |timer| timer.min(at)));
                }
                service::Effect::Log(LogEvent::InForce(id)) => self.in_force(id),
                service::Effect::Log(LogEvent::ChangeRemoved { change, .. }) => {
                    self.reported.removed.push(change)
                }
                service::Effect::Log(_) => {}
            }
        }
    }

    fn in_force(&mut self, id: VersionId) {
        self.reported.in_force.push(id.number);
        let Some(token) = self.token(id.number) else { return };
        let lacks = |h: &Host| h.conn.is_some() && !h.content.as_ref().is_some_and(|c| has(c, &token));
        if self.hosts.iter().any(lacks) {
            self.fail("reported in force while a connected front lacks it");
        }
    }

    fn token(&self, number: u64) -> Option<String> {
        // A service without its store starts its numbers over: the latest change with that number is meant.
        self.reported.published.iter().rev().find(|p| p.0 == number).map(|p| p.1.clone())
    }

    /// Closes a connection. `front_notices`: the front is notified; otherwise it closed the connection
    /// itself.
    fn disconnect(&mut self, n: usize, front_notices: bool) {
        let now = self.now;
        let host = &mut self.hosts[n];
        let Some(conn) = host.conn.take() else { return };
        (host.to_front, host.to_service) = Default::default();
        let (mut effects, mut service_effects) = (Vec::new(), Vec::new());
        if let Some(front) = host.front.as_mut().filter(|_| front_notices) {
            front.on_disconnected(now, &mut effects);
        }
        if let Some(service) = &mut self.service {
            service.on_disconnected(now, conn, &mut service_effects);
        }
        self.execute_service_effects(service_effects);
        self.execute_front_effects(n, effects);
    }
}
