//! Four fronts and a service, for the model check of overlapping rollouts: what a round is, what may befall them, and how
//! it is to be once quiet.

mod play;

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
/// Accesses a round: as many as there may be, so that two rounds are evidence enough.
const ASKED: u64 = 400_000;
/// Rounds until it is quiet, at most: five minutes.
const MOST_ROUNDS: usize = 600;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    Kill(usize),
    Cut(usize),
    Service,
    ServiceOnOlderStore,
    ServiceWithoutStore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Round,
    Publish,
    RollBack,
    Befalls(Fault),
    /// What is on its way to one front reaches it, and its answers the service.
    Deliver(usize),
}

/// What is made wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    None,
    DeafAfterWithdrawal,
    ConfirmsWithoutRunning,
    GoesBack,
    HidesHarm,
}

#[derive(Clone, Copy, Debug)]
pub struct Left {
    pub rounds: u8,
    pub faults: u8,
    pub roll_backs: u8,
    pub deliveries: u8,
}

pub struct Small {
    pub publications: &'static [&'static str],
    pub faults: &'static [Fault],
    pub left: Left,
    pub plant: Plant,
}

#[derive(Clone, Debug)]
pub struct Host {
    front: Option<Front>,
    conn: Option<u64>,
    wants: bool,
    wakes: Option<u64>,
    good: Option<(VersionId, Seal, front::Content)>,
    staged: Option<(VersionId, u32)>,
    /// What its accesses are answered by, whatever it says.
    content: Option<front::Content>,
    pub to_front: VecDeque<ToFront>,
    to_service: VecDeque<ToService>,
    refused: BTreeSet<[u8; 32]>,
    highest: (u64, u64),
    counts: (u64, u64),
    reports: bool,
}

/// What people were told, and of a change: its number and the line that it wrote.
#[derive(Clone, Debug, Default)]
pub struct Told {
    published: Vec<(u64, String)>,
    in_force: Vec<u64>,
    taken_out: Vec<u64>,
}

#[derive(Clone, Debug)]
pub struct World {
    now: u64,
    pub hosts: Vec<Host>,
    pub service: Option<Service>,
    service_wakes: Option<u64>,
    next_conn: u64,
    disk: StoredState,
    older: StoredState,
    plant: Plant,
    pub left: Left,
    /// How many were published.
    pub next: usize,
    pub told: Told,
    store_lost: bool,
    /// Nothing was published since a service lost its store whole: it has nothing to give until somebody publishes.
    empty: bool,
    rolled_back: bool,
    pub broken: Option<String>,
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
    /// All fronts are known by their long run, and a first content is everyone's.
    pub fn settled(plant: Plant, left: Left) -> World {
        let host = Host {
            front: None,
            conn: None,
            wants: false,
            wakes: None,
            good: None,
            staged: None,
            content: None,
            to_front: VecDeque::new(),
            to_service: VecDeque::new(),
            refused: BTreeSet::new(),
            highest: (0, 0),
            counts: (0, 0),
            reports: false,
        };
        let mut w = World {
            now: START,
            hosts: vec![host; FRONTS],
            service: None,
            service_wakes: None,
            next_conn: 1,
            disk: StoredState::default(),
            older: StoredState::default(),
            plant: Plant::None,
            left,
            next: 0,
            told: Told::default(),
            store_lost: false,
            empty: false,
            rolled_back: false,
            broken: None,
            verdict: None,
        };
        w.start_service();
        (0..FRONTS).for_each(|n| w.start_front(n));
        (0..20).for_each(|_| w.round());
        w.publish_content(first(), "member 0 = 0");
        for _ in 0..140 {
            w.round();
        }
        assert_eq!(w.told.in_force.len(), 1, "the first is in force: {:?}", w.told);
        w.older = w.disk.clone();
        w.plant = plant;
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
        let mut out = Vec::new();
        self.service = Some(Service::start(self.now, rules, keys(), self.disk.clone(), &mut out));
        self.of_service(out);
    }

    fn start_front(&mut self, n: usize) {
        let host = &self.hosts[n];
        let found = front::StoredState { last_good: host.good.clone(), staged: host.staged };
        let content = found.last_good.as_ref().map(|g| g.2.clone());
        let may = content.as_ref().map_or(Ok(()), |c| usable(c));
        let (name, station) = (format!("front-{n}"), format!("station-{}", n % 2));
        let mut out = Vec::new();
        let front = Front::start(self.now, n as u64, (&name, &station), keys(), found, may, &mut out);
        let host = &mut self.hosts[n];
        (host.front, host.content, host.counts) = (Some(front), content, (0, 0));
        self.of_front(n, out);
    }

    fn breaks(&mut self, why: &str) {
        self.broken.get_or_insert_with(|| why.to_owned());
    }

    // ---- what the machines want done; a front's shell does it at once

    fn of_front(&mut self, n: usize, out: Vec<front::Effect>) {
        let mut todo = VecDeque::from(out);
        while let Some(each) = todo.pop_front() {
            let (now, mut more) = (self.now, Vec::new());
            let host = &mut self.hosts[n];
            match each {
                front::Effect::Connect => host.wants = true,
                front::Effect::Close => self.cut(n, false),
                front::Effect::Send(message) => {
                    if let ToService::Rejected { id, .. } = &message {
                        host.refused.insert(id.hash);
                    }
                    if host.conn.is_some() {
                        host.to_service.push_back(message);
                    }
                }
                front::Effect::SetTimer(at) => host.wakes = Some(host.wakes.map_or(at, |w| w.min(at))),
                front::Effect::Unstage => host.staged = None,
                front::Effect::Log(_) => {}
                front::Effect::SetReportInterval { interval: every } => host.reports = every.is_some(),
                front::Effect::Check(id, content) => {
                    let result = usable(&content);
                    if let Some(front) = &mut host.front {
                        front.on_checked(now, id, result, &mut more);
                    }
                }
                front::Effect::Stage { id, crashes: falls } => {
                    host.staged = Some((id, falls));
                    if let Some(front) = &mut host.front {
                        front.on_staged(now, id, &mut more);
                    }
                }
                front::Effect::Apply(id, content) => {
                    let only_says_so = self.plant == Plant::ConfirmsWithoutRunning && n == 0;
                    if !only_says_so {
                        host.content = Some(content);
                    }
                    if let Some(front) = &mut host.front {
                        front.on_applied(now, id, Ok(()), &mut more);
                    }
                    let (lower, refused) = (id.position() < host.highest, host.refused.contains(&id.hash));
                    host.highest = host.highest.max(id.position());
                    if lower {
                        self.breaks("it went to a lower number");
                    }
                    if refused {
                        self.breaks("it starts on what it turned down");
                    }
                }
                front::Effect::Store(id, seal, content) => {
                    (host.good, host.staged) = (Some((id, seal, content)), None);
                    if let Some(front) = &mut host.front {
                        front.on_stored(now, id, true, &mut more);
                    }
                }
            }
            todo.extend(more);
        }
    }

    fn of_service(&mut self, out: Vec<service::Effect>) {
        for each in out {
            match each {
                service::Effect::Send(conn, message) => {
                    let Some(n) = self.hosts.iter().position(|h| h.conn == Some(conn)) else { continue };
                    let withdrawn = !self.told.taken_out.is_empty();
                    let offer = matches!(message, ToFront::Offer { .. });
                    if !(self.plant == Plant::DeafAfterWithdrawal && withdrawn && offer) {
                        self.hosts[n].to_front.push_back(message);
                    }
                }
                service::Effect::Close(conn) => {
                    if let Some(n) = self.hosts.iter().position(|h| h.conn == Some(conn)) {
                        self.cut(n, true);
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
                    self.service_wakes = Some(self.service_wakes.map_or(at, |w| w.min(at)));
                }
                service::Effect::Log(LogEvent::InForce(id)) => self.in_force(id),
                service::Effect::Log(LogEvent::ChangeRemoved { change, .. }) => {
                    self.told.taken_out.push(change)
                }
                service::Effect::Log(_) => {}
            }
        }
    }

    fn in_force(&mut self, id: VersionId) {
        self.told.in_force.push(id.number);
        let Some(token) = self.token(id.number) else { return };
        let lacks = |h: &Host| h.conn.is_some() && !h.content.as_ref().is_some_and(|c| has(c, &token));
        if self.hosts.iter().any(lacks) {
            self.breaks("told in force while a connected front lacks it");
        }
    }

    fn token(&self, number: u64) -> Option<String> {
        // A service without its store begins anew with its numbers: the latest of that number is meant.
        self.told.published.iter().rev().find(|p| p.0 == number).map(|p| p.1.clone())
    }

    /// The connection ends; `heard`: the front hears of it, or else it is the one who ended it.
    fn cut(&mut self, n: usize, heard: bool) {
        let now = self.now;
        let host = &mut self.hosts[n];
        let Some(conn) = host.conn.take() else { return };
        (host.to_front, host.to_service) = Default::default();
        let (mut out, mut of_service) = (Vec::new(), Vec::new());
        if let Some(front) = host.front.as_mut().filter(|_| heard) {
            front.on_disconnected(now, &mut out);
        }
        if let Some(service) = &mut self.service {
            service.on_disconnected(now, conn, &mut of_service);
        }
        self.of_service(of_service);
        self.of_front(n, out);
    }
}
