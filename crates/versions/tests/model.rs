//! Every order of events of a small installation, looked at one by one: one front, one service, versions good and bad, a
//! connection that is cut, a front and a service that die at any point, stores that fail or are lost.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use doorgrade_versions::front::{self, Content, Front};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::service::{self, FrontState as Standing, Rules, SavedRollout, Service, Version};
use doorgrade_versions::{RejectionReason, VersionId};
use stateright::{Checker, Model, Property};

const START: u64 = 17_000_000_000_000;
const CONTENTS: [&[u8]; 3] = [b"good one", b"bad", b"good two"];

fn keys() -> Keys {
    Keys::new(vec![(1, b"the key".to_vec())])
}

fn usable(content: &[u8]) -> Result<(), RejectionReason> {
    if content == b"bad" { Err(RejectionReason::Unusable("bad".into())) } else { Ok(()) }
}

/// What the service's disk holds.
#[derive(Clone, Debug, Default)]
struct Disk {
    epoch: u64,
    versions: Vec<Version>,
    base: Option<u64>,
    rollout: Option<SavedRollout>,
}

/// How often what can go wrong still may: that bounds the search.
#[derive(Clone, Copy, Debug)]
struct Left {
    publish: usize,
    cuts: u8,
    front_deaths: u8,
    service_deaths: u8,
    lost_stores: u8,
    failed_writes: u8,
    ticks: u8,
}

#[derive(Clone, Debug)]
struct World {
    now: u64,
    front: Option<Front>,
    service: Option<Service>,
    /// The connection, if one is up, and what is on its way.
    conn: Option<u64>,
    next_conn: u64,
    to_service: VecDeque<ToService>,
    to_front: VecDeque<ToFront>,
    /// The front asked for a connection.
    wants: bool,
    shell: VecDeque<front::Effect>,
    good: Option<(VersionId, Seal, Content)>,
    staged: Option<(VersionId, u32)>,
    disk: Disk,
    front_wakes: Option<u64>,
    service_wakes: Option<u64>,
    left: Left,
    /// What broke a rule.
    broken: Option<&'static str>,
    died: bool,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Publish,
    Connect,
    ToService,
    ToFront,
    Shell { fails: bool },
    Cut,
    FrontDies,
    FrontStarts,
    ServiceDies { loses_store: bool },
    ServiceStarts,
    Tick,
}

impl World {
    fn new(left: Left) -> World {
        let mut world = World {
            now: START,
            front: None,
            service: None,
            conn: None,
            next_conn: 1,
            to_service: VecDeque::new(),
            to_front: VecDeque::new(),
            wants: false,
            shell: VecDeque::new(),
            good: None,
            staged: None,
            disk: Disk::default(),
            front_wakes: None,
            service_wakes: None,
            left,
            broken: None,
            died: false,
        };
        world.start_service();
        world.start_front();
        world
    }

    fn start_front(&mut self) {
        let found = front::StoredState { last_good: self.good.clone(), staged: self.staged };
        let usable = found.last_good.as_ref().map_or(Ok(()), |g| usable(&g.2));
        let mut out = Vec::new();
        self.front = Some(Front::start(self.now, 7, ("f", "s"), keys(), found, usable, &mut out));
        self.of_front(out);
    }

    fn start_service(&mut self) {
        let Disk { epoch, versions, base, rollout } = self.disk.clone();
        let found = service::StoredState { epoch, versions, base, rollout, trials: None };
        let rules = Rules { soak: 0, canaries: 1, wave_shares: vec![1.0], ..Rules::default() };
        let mut out = Vec::new();
        self.service = Some(Service::start(self.now, rules, keys(), found, &mut out));
        self.of_service(out);
    }

    fn of_front(&mut self, out: Vec<front::Effect>) {
        for each in out {
            match each {
                front::Effect::Connect => self.wants = true,
                front::Effect::Close => self.cut(false),
                front::Effect::Send(message) => {
                    let runs = self.front.as_ref().and_then(Front::running);
                    let told = match &message {
                        ToService::Running { id, .. } => Some(Some(*id)),
                        ToService::Hello { running: runs, .. } => Some(runs.map(|r| r.0)),
                        _ => None,
                    };
                    // While a step of the machine is taken it is in here still.
                    if told.is_some_and(|told| self.front.is_some() && told != runs) {
                        self.broken = Some("it claims what it does not run");
                    }
                    if self.conn.is_some() {
                        self.to_service.push_back(message);
                    }
                }
                front::Effect::SetTimer(at) => {
                    self.front_wakes = Some(self.front_wakes.map_or(at, |w| w.min(at)))
                }
                front::Effect::Unstage => self.staged = None,
                front::Effect::Log(_) => {}
                shell => self.shell.push_back(shell),
            }
        }
    }

    fn of_service(&mut self, out: Vec<service::Effect>) {
        for each in out {
            match each {
                service::Effect::Send(conn, message) => {
                    if self.conn == Some(conn) {
                        self.to_front.push_back(message);
                    }
                }
                service::Effect::Close(conn) => {
                    if self.conn == Some(conn) {
                        self.cut(true);
                    }
                }
                service::Effect::Store(version) => {
                    self.disk
                        .versions
                        .retain(|v| v.id.number != version.id.number || v.id.epoch != version.id.epoch);
                    self.disk.versions.push(version);
                }
                service::Effect::StoreState { epoch, base, rollout } => {
                    self.disk.versions.retain(|v| v.id.epoch == epoch);
                    (self.disk.epoch, self.disk.base, self.disk.rollout) = (epoch, base, rollout);
                }
                service::Effect::SetTimer(at) => {
                    self.service_wakes = Some(self.service_wakes.map_or(at, |w| w.min(at)))
                }
                service::Effect::Log(_) => {}
                // Only where rollouts are judged by evidence.
                service::Effect::StoreTrials(_) | service::Effect::Delete(_) => {
                    self.broken = Some("trials are stored where rollouts go in waves")
                }
            }
        }
    }

    /// The connection ends; `heard`: the front hears of it, or else it is the one who ended it.
    fn cut(&mut self, heard: bool) {
        let Some(conn) = self.conn.take() else { return };
        self.to_service.clear();
        self.to_front.clear();
        let (now, mut out) = (self.now, Vec::new());
        if let Some(service) = &mut self.service {
            service.on_disconnected(now, conn, &mut out);
        }
        self.of_service(out);
        let mut out = Vec::new();
        if let Some(front) = self.front.as_mut().filter(|_| heard) {
            front.on_disconnected(now, &mut out);
        }
        self.of_front(out);
    }

    fn shell(&mut self, fails: bool) {
        let Some(next) = self.shell.pop_front() else { return };
        let (now, mut out) = (self.now, Vec::new());
        let Some(front) = &mut self.front else { return };
        match next {
            front::Effect::Check(id, content) => front.on_checked(now, id, usable(&content), &mut out),
            front::Effect::Stage { id, crashes: falls } => {
                if !fails {
                    self.staged = Some((id, falls));
                }
                front.on_staged(now, id, &mut out);
            }
            front::Effect::Apply(id, _) => front.on_applied(now, id, Ok(()), &mut out),
            front::Effect::Store(id, seal, content) => {
                if !fails {
                    (self.good, self.staged) = (Some((id, seal, content)), None);
                }
                front.on_stored(now, id, !fails, &mut out);
            }
            _ => {}
        }
        self.of_front(out);
    }

    /// The front runs what is everyone's, the service knows, and it would after a crash.
    fn settled(&self) -> bool {
        let (Some(front), Some(service)) = (&self.front, &self.service) else { return false };
        let mut all = service.fronts();
        all.next().is_some_and(|s| {
            s.state == Standing::Current
                && s.stored
                && s.running == front.running()
                && s.target == front.running()
        })
    }
}

struct Small(Left);

impl Model for Small {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.0)]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let up = w.front.is_some() && w.service.is_some();
        let mut may = |when: bool, step: Step| {
            if when {
                steps.push(step);
            }
        };
        may(w.service.is_some() && w.left.publish < CONTENTS.len(), Step::Publish);
        may(w.wants && w.front.is_some(), Step::Connect);
        may(up && !w.to_service.is_empty(), Step::ToService);
        may(up && !w.to_front.is_empty(), Step::ToFront);
        may(!w.shell.is_empty() && w.front.is_some(), Step::Shell { fails: false });
        let writes = matches!(w.shell.front(), Some(front::Effect::Stage { .. } | front::Effect::Store(..)));
        may(writes && w.left.failed_writes > 0, Step::Shell { fails: true });
        may(w.conn.is_some() && w.left.cuts > 0, Step::Cut);
        may(w.front.is_some() && w.left.front_deaths > 0, Step::FrontDies);
        may(w.front.is_none(), Step::FrontStarts);
        may(w.service.is_some() && w.left.service_deaths > 0, Step::ServiceDies { loses_store: false });
        let loses = w.left.service_deaths > 0 && w.left.lost_stores > 0;
        may(w.service.is_some() && loses, Step::ServiceDies { loses_store: true });
        may(w.service.is_none(), Step::ServiceStarts);
        // Time goes on only where nothing else is left to do: it is never short.
        let quiet = w.to_service.is_empty() && w.to_front.is_empty() && w.shell.is_empty() && !w.wants;
        may(quiet && w.left.ticks > 0, Step::Tick);
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        let (now, mut out) = (w.now, Vec::new());
        match step {
            Step::Publish => {
                let service = w.service.as_mut()?;
                let content: Arc<[u8]> = CONTENTS[w.left.publish].into();
                let expects = service.last();
                let (mut out, stop) = (Vec::new(), service::StopReason::Manual);
                // A person who publishes over one that is under way stops it first.
                service.stop(stop, &mut out);
                service.publish(now, content, "", expects, &mut out).ok()?;
                w.left.publish += 1;
                w.of_service(out);
            }
            Step::Connect => {
                w.wants = false;
                let up = w.service.is_some();
                if up {
                    (w.conn, w.next_conn) = (Some(w.next_conn), w.next_conn + 1);
                }
                let front = w.front.as_mut()?;
                if up {
                    front.on_connected(now, &mut out)
                } else {
                    front.on_disconnected(now, &mut out)
                }
                w.of_front(out);
            }
            Step::ToService => {
                let (message, conn) = (w.to_service.pop_front()?, w.conn?);
                let mut out = Vec::new();
                w.service.as_mut()?.on_message(now, conn, message, &mut out);
                w.of_service(out);
            }
            Step::ToFront => {
                let message = w.to_front.pop_front()?;
                w.front.as_mut()?.on_message(now, message, &mut out);
                w.of_front(out);
            }
            Step::Shell { fails } => {
                w.left.failed_writes -= u8::from(fails);
                w.shell(fails);
            }
            Step::Cut => {
                w.left.cuts -= 1;
                w.cut(true);
            }
            Step::FrontDies => {
                w.left.front_deaths -= 1;
                (w.front, w.front_wakes, w.wants, w.died) = (None, None, false, true);
                w.shell.clear();
                w.cut(false);
            }
            Step::FrontStarts => w.start_front(),
            Step::ServiceDies { loses_store } => {
                w.left.service_deaths -= 1;
                if loses_store {
                    w.left.lost_stores -= 1;
                    w.disk = Disk::default();
                }
                (w.service, w.service_wakes, w.died) = (None, None, true);
                w.cut(true);
            }
            Step::ServiceStarts => w.start_service(),
            Step::Tick => {
                w.left.ticks -= 1;
                w.now = w.front_wakes.into_iter().chain(w.service_wakes).min()?.max(now + 1);
                let now = w.now;
                if w.front_wakes.take_if(|at| *at <= now).is_some() {
                    w.front.as_mut()?.on_timer(now, &mut out);
                    w.of_front(out);
                }
                if w.service_wakes.take_if(|at| *at <= now).is_some() {
                    let mut out = Vec::new();
                    w.service.as_mut()?.on_timer(now, &mut out);
                    w.of_service(out);
                }
            }
        }
        let runs = w.front.as_ref().and_then(Front::running);
        if runs.is_some_and(|id| *blake3::hash(b"bad").as_bytes() == id.hash) {
            w.broken = Some("it runs a version that is not good");
        }
        if w.good.as_ref().is_some_and(|g| usable(&g.2).is_err()) {
            w.broken = Some("a version that is not good is kept");
        }
        let before = last.front.as_ref().filter(|_| step != Step::FrontDies).and_then(Front::running);
        if before
            .is_some_and(|before| w.front.is_some() && runs.is_none_or(|r| r.position() < before.position()))
        {
            w.broken = Some("it went back to an older version");
        }
        if w.service.as_ref().is_some_and(|s| s.fronts().any(|s| s.false_claim)) {
            w.broken = Some("a true word was taken for a lie");
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is broken", |_, w: &World| w.broken.is_none()),
            Property::sometimes("the newest runs everywhere", |_, w: &World| {
                w.left.publish == CONTENTS.len() && w.settled()
            }),
            Property::sometimes("it settles after a death", |_, w: &World| w.died && w.settled()),
            Property::sometimes("a bad one is turned down and stops", |_, w: &World| {
                let stopped = w.service.as_ref().and_then(Service::progress).and_then(|p| p.stopped);
                matches!(stopped, Some(service::StopReason::Rejected { .. }))
            }),
        ]
    }
}

fn search(left: Left, depth: usize) -> usize {
    let checked = Small(left).checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    checked.assert_properties();
    checked.unique_state_count()
}

const NONE: Left = Left {
    publish: 0,
    cuts: 0,
    front_deaths: 0,
    service_deaths: 0,
    lost_stores: 0,
    failed_writes: 0,
    ticks: 2,
};

#[test]
fn whatever_order_things_come_in_no_rule_is_broken() {
    let found = search(Left { cuts: 1, front_deaths: 1, service_deaths: 1, failed_writes: 1, ..NONE }, 22);
    assert!(found > 100_000, "{found} states: the search has become small");
}

#[test]
fn a_service_that_loses_its_store_is_never_obeyed_with_old_numbers() {
    let found = search(Left { service_deaths: 1, lost_stores: 1, cuts: 1, ..NONE }, 26);
    assert!(found > 20_000, "{found} states: the search has become small");
}
