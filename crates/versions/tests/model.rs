//! Checks every order of events of a small installation: one front, one service, good and bad versions, a
//! connection that is lost, a front and a service that die at any point, and stores that fail or are lost.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use doorgrade_versions::front::{self, Content, Front};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::service::{self, FrontState, Rules, SavedRollout, Service, Version};
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

/// The contents of the service's disk.
#[derive(Clone, Debug, Default)]
struct Disk {
    epoch: u64,
    versions: Vec<Version>,
    base: Option<u64>,
    rollout: Option<SavedRollout>,
}

/// How many events of each kind may still happen; bounds the search.
#[derive(Clone, Copy, Debug)]
struct Budget {
    publish: usize,
    disconnects: u8,
    front_crashes: u8,
    service_crashes: u8,
    lost_stores: u8,
    failed_writes: u8,
    ticks: u8,
}

#[derive(Clone, Debug)]
struct World {
    now: u64,
    front: Option<Front>,
    service: Option<Service>,
    /// The connection, if any, and the messages in flight.
    conn: Option<u64>,
    next_conn: u64,
    to_service: VecDeque<ToService>,
    to_front: VecDeque<ToFront>,
    /// Whether the front has requested a connection.
    wants_connection: bool,
    pending_effects: VecDeque<front::Effect>,
    last_good: Option<(VersionId, Seal, Content)>,
    staged: Option<(VersionId, u32)>,
    disk: Disk,
    front_timer_at: Option<u64>,
    service_timer_at: Option<u64>,
    budget: Budget,
    /// The invariant that was violated, if any.
    violation: Option<&'static str>,
    crashed: bool,
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
    ExecuteEffect { fails: bool },
    Disconnect,
    FrontCrashes,
    FrontStarts,
    ServiceCrashes { loses_store: bool },
    ServiceStarts,
    Tick,
}

impl World {
    fn new(budget: Budget) -> World {
        let mut world = World {
            now: START,
            front: None,
            service: None,
            conn: None,
            next_conn: 1,
            to_service: VecDeque::new(),
            to_front: VecDeque::new(),
            wants_connection: false,
            pending_effects: VecDeque::new(),
            last_good: None,
            staged: None,
            disk: Disk::default(),
            front_timer_at: None,
            service_timer_at: None,
            budget,
            violation: None,
            crashed: false,
        };
        world.start_service();
        world.start_front();
        world
    }

    fn start_front(&mut self) {
        let stored = front::StoredState { last_good: self.last_good.clone(), staged: self.staged };
        let usable = stored.last_good.as_ref().map_or(Ok(()), |g| usable(&g.2));
        let mut effects = Vec::new();
        self.front = Some(Front::start(self.now, 7, ("f", "s"), keys(), stored, usable, &mut effects));
        self.execute_front_effects(effects);
    }

    fn start_service(&mut self) {
        let Disk { epoch, versions, base, rollout } = self.disk.clone();
        let stored = service::StoredState { epoch, versions, base, rollout, trials: None };
        let rules = Rules { soak: 0, canaries: 1, wave_shares: vec![1.0], ..Rules::default() };
        let mut effects = Vec::new();
        self.service = Some(Service::start(self.now, rules, keys(), stored, &mut effects));
        self.execute_service_effects(effects);
    }

    fn execute_front_effects(&mut self, effects: Vec<front::Effect>) {
        for effect in effects {
            match effect {
                front::Effect::Connect => self.wants_connection = true,
                front::Effect::Close => self.disconnect(false),
                front::Effect::Send(message) => {
                    let running = self.front.as_ref().and_then(Front::running);
                    let claimed = match &message {
                        ToService::Running { id, .. } => Some(Some(*id)),
                        ToService::Hello { running, .. } => Some(running.map(|r| r.0)),
                        _ => None,
                    };
                    // During its start the front is not in the world yet.
                    if claimed.is_some_and(|claimed| self.front.is_some() && claimed != running) {
                        self.violation = Some("a front claims a version that it does not run");
                    }
                    if self.conn.is_some() {
                        self.to_service.push_back(message);
                    }
                }
                front::Effect::SetTimer(at) => {
                    self.front_timer_at = Some(self.front_timer_at.map_or(at, |timer| timer.min(at)))
                }
                front::Effect::Unstage => self.staged = None,
                front::Effect::Log(_) => {}
                effect => self.pending_effects.push_back(effect),
            }
        }
    }

    fn execute_service_effects(&mut self, effects: Vec<service::Effect>) {
        for effect in effects {
            match effect {
                service::Effect::Send(conn, message) => {
                    if self.conn == Some(conn) {
                        self.to_front.push_back(message);
                    }
                }
                service::Effect::Close(conn) => {
                    if self.conn == Some(conn) {
                        self.disconnect(true);
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
                    self.service_timer_at = Some(self.service_timer_at.map_or(at, |timer| timer.min(at)))
                }
                service::Effect::Log(_) => {}
                // Only used if rollouts are judged by evidence.
                service::Effect::StoreTrials(_) | service::Effect::Delete(_) => {
                    self.violation = Some("trials are stored although rollouts go in waves")
                }
            }
        }
    }

    /// Closes the connection. `front_notices`: the front is notified; otherwise it closed the connection
    /// itself.
    fn disconnect(&mut self, front_notices: bool) {
        let Some(conn) = self.conn.take() else { return };
        self.to_service.clear();
        self.to_front.clear();
        let (now, mut effects) = (self.now, Vec::new());
        if let Some(service) = &mut self.service {
            service.on_disconnected(now, conn, &mut effects);
        }
        self.execute_service_effects(effects);
        let mut effects = Vec::new();
        if let Some(front) = self.front.as_mut().filter(|_| front_notices) {
            front.on_disconnected(now, &mut effects);
        }
        self.execute_front_effects(effects);
    }

    fn execute_next(&mut self, fails: bool) {
        let Some(next) = self.pending_effects.pop_front() else { return };
        let (now, mut effects) = (self.now, Vec::new());
        let Some(front) = &mut self.front else { return };
        match next {
            front::Effect::Check(id, content) => front.on_checked(now, id, usable(&content), &mut effects),
            front::Effect::Stage { id, crashes } => {
                if !fails {
                    self.staged = Some((id, crashes));
                }
                front.on_staged(now, id, &mut effects);
            }
            front::Effect::Apply(id, _) => front.on_applied(now, id, Ok(()), &mut effects),
            front::Effect::Store(id, seal, content) => {
                if !fails {
                    (self.last_good, self.staged) = (Some((id, seal, content)), None);
                }
                front.on_stored(now, id, !fails, &mut effects);
            }
            _ => {}
        }
        self.execute_front_effects(effects);
    }

    /// The front runs its target and would after a crash, and the service knows it.
    fn settled(&self) -> bool {
        let (Some(front), Some(service)) = (&self.front, &self.service) else { return false };
        let mut all = service.fronts();
        all.next().is_some_and(|s| {
            s.state == FrontState::Current
                && s.stored
                && s.running == front.running()
                && s.target == front.running()
        })
    }
}

struct Small(Budget);

impl Model for Small {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.0)]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let up = w.front.is_some() && w.service.is_some();
        let mut add_if = |when: bool, step: Step| {
            if when {
                steps.push(step);
            }
        };
        add_if(w.service.is_some() && w.budget.publish < CONTENTS.len(), Step::Publish);
        add_if(w.wants_connection && w.front.is_some(), Step::Connect);
        add_if(up && !w.to_service.is_empty(), Step::ToService);
        add_if(up && !w.to_front.is_empty(), Step::ToFront);
        add_if(!w.pending_effects.is_empty() && w.front.is_some(), Step::ExecuteEffect { fails: false });
        let writes =
            matches!(w.pending_effects.front(), Some(front::Effect::Stage { .. } | front::Effect::Store(..)));
        add_if(writes && w.budget.failed_writes > 0, Step::ExecuteEffect { fails: true });
        add_if(w.conn.is_some() && w.budget.disconnects > 0, Step::Disconnect);
        add_if(w.front.is_some() && w.budget.front_crashes > 0, Step::FrontCrashes);
        add_if(w.front.is_none(), Step::FrontStarts);
        add_if(
            w.service.is_some() && w.budget.service_crashes > 0,
            Step::ServiceCrashes { loses_store: false },
        );
        let may_lose_store = w.budget.service_crashes > 0 && w.budget.lost_stores > 0;
        add_if(w.service.is_some() && may_lose_store, Step::ServiceCrashes { loses_store: true });
        add_if(w.service.is_none(), Step::ServiceStarts);
        // Time advances only when nothing else is pending.
        let quiet = w.to_service.is_empty()
            && w.to_front.is_empty()
            && w.pending_effects.is_empty()
            && !w.wants_connection;
        add_if(quiet && w.budget.ticks > 0, Step::Tick);
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        let (now, mut effects) = (w.now, Vec::new());
        match step {
            Step::Publish => {
                let service = w.service.as_mut()?;
                let content: Arc<[u8]> = CONTENTS[w.budget.publish].into();
                let expected_last = service.last();
                let (mut effects, stop) = (Vec::new(), service::StopReason::Manual);
                // An operator who publishes during a rollout stops it first.
                service.stop(stop, &mut effects);
                service.publish(now, content, "", expected_last, &mut effects).ok()?;
                w.budget.publish += 1;
                w.execute_service_effects(effects);
            }
            Step::Connect => {
                w.wants_connection = false;
                let up = w.service.is_some();
                if up {
                    (w.conn, w.next_conn) = (Some(w.next_conn), w.next_conn + 1);
                }
                let front = w.front.as_mut()?;
                if up {
                    front.on_connected(now, &mut effects)
                } else {
                    front.on_disconnected(now, &mut effects)
                }
                w.execute_front_effects(effects);
            }
            Step::ToService => {
                let (message, conn) = (w.to_service.pop_front()?, w.conn?);
                let mut effects = Vec::new();
                w.service.as_mut()?.on_message(now, conn, message, &mut effects);
                w.execute_service_effects(effects);
            }
            Step::ToFront => {
                let message = w.to_front.pop_front()?;
                w.front.as_mut()?.on_message(now, message, &mut effects);
                w.execute_front_effects(effects);
            }
            Step::ExecuteEffect { fails } => {
                w.budget.failed_writes -= u8::from(fails);
                w.execute_next(fails);
            }
            Step::Disconnect => {
                w.budget.disconnects -= 1;
                w.disconnect(true);
            }
            Step::FrontCrashes => {
                w.budget.front_crashes -= 1;
                (w.front, w.front_timer_at, w.wants_connection, w.crashed) = (None, None, false, true);
                w.pending_effects.clear();
                w.disconnect(false);
            }
            Step::FrontStarts => w.start_front(),
            Step::ServiceCrashes { loses_store } => {
                w.budget.service_crashes -= 1;
                if loses_store {
                    w.budget.lost_stores -= 1;
                    w.disk = Disk::default();
                }
                (w.service, w.service_timer_at, w.crashed) = (None, None, true);
                w.disconnect(true);
            }
            Step::ServiceStarts => w.start_service(),
            Step::Tick => {
                w.budget.ticks -= 1;
                w.now = w.front_timer_at.into_iter().chain(w.service_timer_at).min()?.max(now + 1);
                let now = w.now;
                if w.front_timer_at.take_if(|at| *at <= now).is_some() {
                    w.front.as_mut()?.on_timer(now, &mut effects);
                    w.execute_front_effects(effects);
                }
                if w.service_timer_at.take_if(|at| *at <= now).is_some() {
                    let mut effects = Vec::new();
                    w.service.as_mut()?.on_timer(now, &mut effects);
                    w.execute_service_effects(effects);
                }
            }
        }
        let running = w.front.as_ref().and_then(Front::running);
        if running.is_some_and(|id| *blake3::hash(b"bad").as_bytes() == id.hash) {
            w.violation = Some("a front runs a bad version");
        }
        if w.last_good.as_ref().is_some_and(|g| usable(&g.2).is_err()) {
            w.violation = Some("a bad version is stored as good");
        }
        let before = last.front.as_ref().filter(|_| step != Step::FrontCrashes).and_then(Front::running);
        if before.is_some_and(|before| {
            w.front.is_some() && running.is_none_or(|r| r.position() < before.position())
        }) {
            w.violation = Some("it went back to an older version");
        }
        if w.service.as_ref().is_some_and(|s| s.fronts().any(|s| s.false_claim)) {
            w.violation = Some("a true claim is treated as false");
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is violated", |_, w: &World| w.violation.is_none()),
            Property::sometimes("the newest version is running", |_, w: &World| {
                w.budget.publish == CONTENTS.len() && w.settled()
            }),
            Property::sometimes("it settles after a crash", |_, w: &World| w.crashed && w.settled()),
            Property::sometimes("a bad version is rejected and its rollout stops", |_, w: &World| {
                let stopped = w.service.as_ref().and_then(Service::progress).and_then(|p| p.stopped);
                matches!(stopped, Some(service::StopReason::Rejected { .. }))
            }),
        ]
    }
}

fn search(budget: Budget, depth: usize) -> usize {
    let checked = Small(budget).checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    checked.assert_properties();
    checked.unique_state_count()
}

const NONE: Budget = Budget {
    publish: 0,
    disconnects: 0,
    front_crashes: 0,
    service_crashes: 0,
    lost_stores: 0,
    failed_writes: 0,
    ticks: 2,
};

#[test]
fn no_invariant_is_violated_in_any_order_of_events() {
    let stored =
        search(Budget { disconnects: 1, front_crashes: 1, service_crashes: 1, failed_writes: 1, ..NONE }, 22);
    assert!(stored > 100_000, "{stored} states: the search has become small");
}

#[test]
fn old_numbers_of_a_service_that_lost_its_store_are_never_accepted() {
    let stored = search(Budget { service_crashes: 1, lost_stores: 1, disconnects: 1, ..NONE }, 26);
    assert!(stored > 20_000, "{stored} states: the search has become small");
}
