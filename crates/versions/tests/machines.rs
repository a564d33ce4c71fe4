//! Simulates fronts and a service in virtual time, with lost connections, fronts and services that die at any
//! point, full disks, damaged stores and bad versions of every kind. The invariants are checked after each
//! step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use doorgrade_versions::front::{self, Front, LogEvent as FrontEvent};
use doorgrade_versions::message::{Body, ToFront, ToService};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::service::{
    self, Denial, Filter, FrontState, LogEvent, PublishError, Request, Response, Role, Rules, Service,
    StopReason,
};
use doorgrade_versions::{RejectionReason, VersionId, delta};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: u64 = 10_000;
const START: u64 = 17_000_000_000_000;

fn keys() -> Keys {
    Keys::new(vec![(1, b"the key".to_vec())])
}

#[derive(Clone, Debug)]
enum Event {
    ToService(u64, ToService),
    ToFront(usize, u64, ToFront),
    /// An effect of one incarnation of a front is executed.
    Execute(usize, u32, front::Effect),
    Connected(usize, u32),
    ConnectFailed(usize, u32),
    /// The service notices that a connection was closed.
    ServiceSeesClose(u64),
    /// A front notices that its connection was closed.
    FrontSeesClose(usize, u64),
    FrontTimer(usize, u32),
    ServiceTimer(u32),
    Restart(usize),
}

#[derive(Default)]
struct Host {
    front: Option<Front>,
    incarnation: u32,
    conn: Option<u64>,
    last_good: Option<(VersionId, Seal, front::Content)>,
    staged: Option<(VersionId, u32)>,
    disk_full: bool,
    /// Whether its store is unreadable at the next start.
    disk_damaged: bool,
    log: Vec<FrontEvent>,
    starts: u32,
}

struct World {
    now: u64,
    rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queued: BTreeMap<u64, Event>,
    count: u64,
    hosts: Vec<Host>,
    service: Option<Service>,
    service_incarnation: u32,
    disk: service::StoredState,
    rules: Rules,
    next_conn: u64,
    conns: BTreeMap<u64, usize>,
    log: Vec<LogEvent>,
    /// Whether messages are sometimes duplicated or delayed.
    unreliable: bool,
    /// Effects of fronts executed so far, and at which of them the front dies.
    steps_executed: u32,
    dies_at_step: Option<u32>,
    /// Bytes of contents sent, and fronts admitted by second.
    content_bytes_sent: usize,
    admitted: BTreeMap<u64, u32>,
}

impl World {
    fn new(seed: u64, fronts: usize, rules: Rules) -> World {
        let mut world = World {
            now: START,
            rng: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            queued: BTreeMap::new(),
            count: 0,
            hosts: (0..fronts).map(|_| Host::default()).collect(),
            service: None,
            service_incarnation: 0,
            disk: service::StoredState::default(),
            rules,
            next_conn: 0,
            conns: BTreeMap::new(),
            log: Vec::new(),
            unreliable: false,
            steps_executed: 0,
            dies_at_step: None,
            content_bytes_sent: 0,
            admitted: BTreeMap::new(),
        };
        world.start_service();
        (0..fronts).for_each(|n| world.start_front(n));
        world
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + delay, self.count)));
        self.queued.insert(self.count, event);
    }

    fn start_service(&mut self) {
        let mut effects = Vec::new();
        self.service_incarnation += 1;
        let disk = self.disk.clone();
        self.service = Some(Service::start(self.now, self.rules.clone(), keys(), disk, &mut effects));
        self.execute_service_effects(effects);
    }

    fn kill_service(&mut self) {
        self.service = None;
        let open: Vec<_> = std::mem::take(&mut self.conns).into_iter().collect();
        open.into_iter().for_each(|(conn, n)| self.schedule(100, Event::FrontSeesClose(n, conn)));
    }

    fn start_front(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.incarnation += 1;
        host.starts += 1;
        let disk = match host.disk_damaged {
            true => front::StoredState::default(),
            false => front::StoredState { last_good: host.last_good.clone(), staged: host.staged },
        };
        // The stored version is checked like any other; it may be unreadable for this program.
        let usable = match &disk.last_good {
            Some((.., content)) => check(content),
            None => Ok(()),
        };
        let (mut effects, name) = (Vec::new(), format!("front-{n}"));
        let seed = n as u64 + 100 * u64::from(host.incarnation);
        let station = format!("station-{}", n % 3);
        let front = Front::start(self.now, seed, (&name, &station), keys(), disk, usable, &mut effects);
        self.hosts[n].front = Some(front);
        self.execute_front_effects(n, effects);
    }

    fn kill_front(&mut self, n: usize, restart_after: u64) {
        let host = &mut self.hosts[n];
        host.front = None;
        host.incarnation += 1;
        if let Some(conn) = host.conn.take()
            && self.conns.remove(&conn).is_some()
        {
            self.schedule(100, Event::ServiceSeesClose(conn));
        }
        self.schedule(restart_after, Event::Restart(n));
    }

    fn execute_front_effects(&mut self, n: usize, effects: Vec<front::Effect>) {
        let incarnation = self.hosts[n].incarnation;
        for effect in effects {
            let delay = 1 + self.rng.u64(0..200);
            match effect {
                front::Effect::Connect => {
                    let event = if self.service.is_some() {
                        Event::Connected(n, incarnation)
                    } else {
                        Event::ConnectFailed(n, incarnation)
                    };
                    self.schedule(delay, event);
                }
                front::Effect::Close => {
                    if let Some(conn) = self.hosts[n].conn.take()
                        && self.conns.remove(&conn).is_some()
                    {
                        self.schedule(delay, Event::ServiceSeesClose(conn));
                    }
                }
                front::Effect::Send(message) => {
                    let running = self.hosts[n].front.as_ref().map(Front::running);
                    match &message {
                        ToService::Running { id, .. } => {
                            assert_eq!(running, Some(Some(*id)), "the front claims to run another version")
                        }
                        ToService::Hello { running: reported, .. } => {
                            assert!(running.is_none_or(|r| r == reported.map(|t| t.0)));
                        }
                        _ => {}
                    }
                    if let Some(conn) = self.hosts[n].conn {
                        self.schedule(delay, Event::ToService(conn, message));
                    }
                }
                front::Effect::SetTimer(at) => {
                    self.schedule(at.saturating_sub(self.now), Event::FrontTimer(n, incarnation))
                }
                front::Effect::Log(event) => self.hosts[n].log.push(event),
                front::Effect::Unstage => self.hosts[n].staged = None,
                effect => self.schedule(delay, Event::Execute(n, incarnation, effect)),
            }
        }
    }

    fn execute_service_effects(&mut self, effects: Vec<service::Effect>) {
        for effect in effects {
            let delay = 1 + self.rng.u64(0..200);
            match effect {
                service::Effect::Send(conn, message) => {
                    let Some(&n) = self.conns.get(&conn) else { continue };
                    if let ToFront::Content { body, .. } = &message {
                        self.content_bytes_sent += match body {
                            Body::Full(all) => all.len(),
                            Body::Delta(steps) => steps
                                .iter()
                                .map(|s| match s {
                                    delta::Op::Copy { .. } => 16,
                                    delta::Op::Insert(bytes) => bytes.len(),
                                })
                                .sum(),
                        };
                    }
                    if matches!(message, ToFront::Welcome { .. }) {
                        *self.admitted.entry(self.now / SECOND).or_default() += 1;
                    }
                    if self.unreliable && self.rng.u8(0..8) == 0 {
                        self.schedule(
                            delay + self.rng.clone().u64(0..SECOND),
                            Event::ToFront(n, conn, message.clone()),
                        );
                    }
                    self.schedule(delay, Event::ToFront(n, conn, message));
                }
                service::Effect::Close(conn) => {
                    if let Some(n) = self.conns.remove(&conn) {
                        self.schedule(delay + 200, Event::FrontSeesClose(n, conn));
                    }
                }
                service::Effect::Store(version) => {
                    self.disk.versions.retain(|v| v.id.number != version.id.number);
                    self.disk.versions.push(version);
                }
                service::Effect::StoreState { epoch, base, rollout } => {
                    self.disk.versions.retain(|v| v.id.epoch == epoch);
                    (self.disk.epoch, self.disk.base, self.disk.rollout) = (epoch, base, rollout);
                }
                service::Effect::SetTimer(at) => {
                    let incarnation = self.service_incarnation;
                    self.schedule(at.saturating_sub(self.now).max(1), Event::ServiceTimer(incarnation));
                }
                service::Effect::Log(event) => self.log.push(event),
                service::Effect::StoreTrials(_) | service::Effect::Delete(_) => {
                    panic!("trials are stored although rollouts go in waves")
                }
            }
        }
    }

    fn on_front(&mut self, n: usize, act: impl FnOnce(&mut Front, u64, &mut Vec<front::Effect>)) {
        let mut effects = Vec::new();
        if let Some(front) = &mut self.hosts[n].front {
            act(front, self.now, &mut effects);
        }
        self.execute_front_effects(n, effects);
    }

    fn on_service<T>(
        &mut self,
        act: impl FnOnce(&mut Service, u64, &mut Vec<service::Effect>) -> T,
    ) -> Option<T> {
        let (mut effects, now) = (Vec::new(), self.now);
        let result = self.service.as_mut().map(|s| act(s, now, &mut effects));
        self.execute_service_effects(effects);
        result
    }

    fn execute(&mut self, n: usize, effect: front::Effect) {
        self.steps_executed += 1;
        if self.dies_at_step == Some(self.steps_executed) {
            return self.kill_front(n, SECOND);
        }
        match effect {
            front::Effect::Check(id, content) => {
                let result = check(&content);
                self.on_front(n, |f, now, effects| f.on_checked(now, id, result, effects));
            }
            front::Effect::Stage { id, crashes } => {
                if !self.hosts[n].disk_full {
                    self.hosts[n].staged = Some((id, crashes));
                }
                self.on_front(n, |f, now, effects| f.on_staged(now, id, effects));
            }
            front::Effect::Apply(id, content) => {
                let running = self.hosts[n].front.as_ref().and_then(Front::running);
                assert!(running.is_none_or(|r| r.position() < id.position()), "an older version is applied");
                match &content[..5] {
                    b"fatal" => self.kill_front(n, 2 * SECOND),
                    b"stuck" => {
                        let reason = RejectionReason::NotApplied("it does not go in".into());
                        self.on_front(n, |f, now, effects| f.on_applied(now, id, Err(reason), effects));
                    }
                    _ => self.on_front(n, |f, now, effects| f.on_applied(now, id, Ok(()), effects)),
                }
            }
            front::Effect::Store(id, seal, content) => {
                let disk_full = self.hosts[n].disk_full;
                if !disk_full {
                    (self.hosts[n].last_good, self.hosts[n].staged) = (Some((id, seal, content)), None);
                    self.hosts[n].disk_damaged = false;
                }
                self.on_front(n, |f, now, effects| f.on_stored(now, id, !disk_full, effects));
            }
            _ => {}
        }
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, number))) = self.events.pop() else { return false };
        let Some(event) = self.queued.remove(&number) else { return true };
        self.now = self.now.max(at);
        match event {
            Event::Connected(n, incarnation)
                if self.hosts[n].incarnation == incarnation && self.service.is_some() =>
            {
                self.next_conn += 1;
                let conn = self.next_conn;
                self.hosts[n].conn = Some(conn);
                self.conns.insert(conn, n);
                self.on_front(n, |f, now, effects| f.on_connected(now, effects));
            }
            Event::Connected(n, incarnation) | Event::ConnectFailed(n, incarnation)
                if self.hosts[n].incarnation == incarnation =>
            {
                self.on_front(n, |f, now, effects| f.on_disconnected(now, effects));
            }
            Event::ToService(conn, message) if self.conns.contains_key(&conn) => {
                self.on_service(|s, now, effects| s.on_message(now, conn, message, effects));
            }
            Event::ToFront(n, conn, message) if self.hosts[n].conn == Some(conn) => {
                self.on_front(n, |f, now, effects| f.on_message(now, message, effects));
            }
            Event::FrontSeesClose(n, conn) if self.hosts[n].conn == Some(conn) => {
                self.hosts[n].conn = None;
                self.on_front(n, |f, now, effects| f.on_disconnected(now, effects));
            }
            Event::ServiceSeesClose(conn) => {
                self.on_service(|s, now, effects| s.on_disconnected(now, conn, effects));
            }
            Event::Execute(n, incarnation, effect) if self.hosts[n].incarnation == incarnation => {
                self.execute(n, effect)
            }
            Event::FrontTimer(n, incarnation) if self.hosts[n].incarnation == incarnation => {
                self.on_front(n, |f, now, effects| f.on_timer(now, effects));
            }
            Event::ServiceTimer(incarnation) if self.service_incarnation == incarnation => {
                self.on_service(|s, now, effects| s.on_timer(now, effects));
            }
            Event::Restart(n) if self.hosts[n].front.is_none() => self.start_front(n),
            _ => {}
        }
        self.check();
        true
    }

    fn check(&self) {
        for host in &self.hosts {
            let Some(front) = &host.front else { continue };
            let Some(running) = front.running() else { continue };
            let good = GOOD.with(|g| g.borrow().contains(&running.hash));
            assert!(good, "a front runs a version that is not good");
        }
    }

    fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    fn publish(&mut self, content: &str) -> Result<VersionId, PublishError> {
        let bytes: Arc<[u8]> = content.as_bytes().into();
        if check(&bytes).is_ok() && bytes.starts_with(b"good") {
            GOOD.with(|g| g.borrow_mut().insert(*blake3_of(&bytes)));
        }
        let last = self.service.as_ref().map_or(0, Service::last);
        let result = self.on_service(|s, now, effects| s.publish(now, bytes, "", last, effects));
        result.unwrap_or(Err(PublishError::NoSuchVersion))
    }

    /// Runs until the rollout has ended, with time for fronts to connect.
    fn run_to_end(&mut self) {
        for _ in 0..600 {
            self.advance(SECOND);
            let progress = self.service.as_ref().and_then(Service::progress);
            if progress.is_none_or(|p| p.stopped.is_some()) {
                break;
            }
        }
    }

    fn running(&self, id: VersionId) -> usize {
        let of = |h: &&Host| h.front.as_ref().and_then(Front::running) == Some(id);
        self.hosts.iter().filter(of).count()
    }
}

thread_local! {
    static GOOD: std::cell::RefCell<std::collections::BTreeSet<[u8; 32]>> = Default::default();
}

fn blake3_of(bytes: &[u8]) -> Box<[u8; 32]> {
    Box::new(VersionId::of(0, 0, bytes).hash)
}

fn check(content: &[u8]) -> Result<(), RejectionReason> {
    match &content[..content.len().min(5)] {
        b"good " | b"fatal" | b"stuck" => Ok(()),
        b"later" => Err(RejectionReason::NeedsRestart("listen".into())),
        _ => Err(RejectionReason::Unusable("d.hcl:1:1: key 'bad': unknown key: expected 'good'?".into())),
    }
}

fn fast_rules() -> Rules {
    Rules { soak: 2 * SECOND, response_timeout: 10 * SECOND, ..Rules::default() }
}

#[test]
fn a_version_is_rolled_out_in_waves_to_all_fronts() {
    let mut w = World::new(1, 40, fast_rules());
    w.advance(5 * SECOND);
    let long: String = (0..2_000).map(|n| format!("line {n}\n")).collect();
    let first = w.publish(&format!("good one\n{long}")).unwrap();
    w.advance(SECOND);
    assert_eq!(w.running(first), 2, "the canaries first");
    w.run_to_end();
    assert_eq!(w.running(first), 40);
    assert!(matches!(w.log.last(), Some(LogEvent::Everywhere(id)) if *id == first));
    let full = std::mem::take(&mut w.content_bytes_sent);
    let second =
        w.publish(&format!("good one\n{}", long.replace("line 700\n", "line seven hundred\n"))).unwrap();
    w.run_to_end();
    assert_eq!(w.running(second), 40);
    assert!(
        w.content_bytes_sent * 100 < full,
        "{} bytes for one line, {full} for the full content",
        w.content_bytes_sent
    );
    let service = w.service.as_ref().unwrap();
    assert!(
        service.fronts().all(|f| f.state == FrontState::Current && f.stored && f.running == Some(second))
    );
    // A publisher that has not seen the last version is rejected.
    let stale = w.on_service(|s, now, effects| s.publish(now, b"good x"[..].into(), "", 1, effects)).unwrap();
    assert_eq!(stale, Err(PublishError::Conflict { last: 2 }));
}

#[test]
fn a_bad_version_of_each_kind_stops_at_the_canaries_with_its_reason() {
    for (content, reason) in [
        ("bad", "d.hcl:1:1: key 'bad': unknown key: expected 'good'?"),
        ("later", "it changes settings that need a restart: listen"),
        ("stuck", "it could not be applied: it does not go in"),
        ("fatal", "the front crashed on it 2 times"),
    ] {
        let mut w = World::new(
            2,
            30,
            Rules { max_timed_out_share: 0.9, response_timeout: 60 * SECOND, ..fast_rules() },
        );
        w.advance(5 * SECOND);
        let good = w.publish("good one").unwrap();
        w.run_to_end();
        let bad = w.publish(content).unwrap();
        w.run_to_end();
        let progress = w.service.as_ref().unwrap().progress().unwrap();
        let Some(StopReason::Rejected { first, .. }) = progress.stopped else {
            panic!("{content}: {progress:?}")
        };
        assert_eq!(first.to_string(), reason);
        assert!(progress.offered <= 2, "{content} was offered to {}", progress.offered);
        w.advance(10 * SECOND);
        assert_eq!((w.running(good), w.running(bad)), (30, 0));
        // A rollback gets a new number and is offered to all fronts with another version: here, all of them.
        let back = w.on_service(|s, now, effects| s.roll_back(now, 1, effects)).unwrap().unwrap();
        w.run_to_end();
        assert_eq!((back.number, w.running(back)), (3, 30), "{content}");
    }
}

#[test]
fn a_drop_of_the_service_level_stops_a_rollout_in_the_first_wave() {
    let mut w = World::new(3, 30, fast_rules());
    w.advance(5 * SECOND);
    w.publish("good one").unwrap();
    w.run_to_end();
    let report = |w: &mut World, harm: Option<VersionId>| {
        for _ in 0..6 {
            for n in 0..30 {
                let running = w.hosts[n].front.as_ref().and_then(Front::running);
                let share = if harm.is_some() && running == harm { 0.6 } else { 0.98 };
                w.on_front(n, |f, _, effects| f.report_service_level(share, effects));
            }
            w.advance(SECOND / 3);
        }
    };
    report(&mut w, None);
    let harmful = w.publish("good but harmful").unwrap();
    report(&mut w, Some(harmful));
    w.run_to_end();
    let progress = w.service.as_ref().unwrap().progress().unwrap();
    assert!(
        matches!(progress.stopped, Some(StopReason::ServiceDrop { from: 970.., to: ..900, .. })),
        "{progress:?}"
    );
    assert_eq!(w.running(harmful), 2);
}

#[test]
fn an_overload_of_all_fronts_stops_no_rollout() {
    let mut w = World::new(3, 30, fast_rules());
    w.advance(5 * SECOND);
    w.publish("good one").unwrap();
    w.run_to_end();
    let report = |w: &mut World, share: f32| {
        for _ in 0..6 {
            (0..30).for_each(|n| w.on_front(n, |f, _, effects| f.report_service_level(share, effects)));
            w.advance(SECOND / 3);
        }
    };
    report(&mut w, 0.98);
    let next = w.publish("good two").unwrap();
    report(&mut w, 0.6);
    w.run_to_end();
    assert_eq!((w.service.as_ref().unwrap().progress(), w.running(next)), (None, 30));
}

#[test]
fn a_service_that_restarts_in_the_first_wave_keeps_the_same_canaries() {
    for seed in 0..8 {
        let mut w = World::new(seed, 30, Rules { soak: 60 * SECOND, ..fast_rules() });
        w.advance(5 * SECOND);
        w.publish("good one").unwrap();
        w.run_to_end();
        let next = w.publish("good two").unwrap();
        w.advance(SECOND);
        let before = w.running(next);
        assert_eq!(before, 2);
        w.kill_service();
        w.advance(SECOND);
        w.start_service();
        w.advance(40 * SECOND);
        assert_eq!(w.running(next), before, "seed {seed}: other fronts run it");
    }
}

/// Guards against a true claim being treated as false, which the model check found: a front confirms the
/// previous version after the next one was published.
#[test]
fn a_late_confirmation_of_the_previous_version_is_no_false_claim() {
    let mut w = World::new(8, 1, fast_rules());
    w.advance(5 * SECOND);
    let first = w.publish("good one").unwrap();
    // The front has applied the first version but not confirmed it when the second is published.
    while w.hosts[0].front.as_ref().and_then(Front::running) != Some(first) {
        w.step();
    }
    w.on_service(|s, _, effects| s.stop(StopReason::Manual, effects));
    let second = w.publish("good two").unwrap();
    w.run_to_end();
    assert_eq!((first.number, w.running(second)), (1, 1));
    let false_claims = w.log.iter().filter(|l| matches!(l, LogEvent::FalseClaim { .. })).count();
    assert_eq!(false_claims, 0, "{:?}", w.log);
}

#[test]
fn a_version_that_could_not_be_stored_is_not_published() {
    let mut w = World::new(5, 4, fast_rules());
    w.advance(5 * SECOND);
    w.publish("good one").unwrap();
    w.run_to_end();
    let service = w.service.as_mut().unwrap();
    let mut effects = Vec::new();
    let id = service.publish(w.now, b"good two".as_slice().into(), "", 1, &mut effects).unwrap();
    service.withdraw(id);
    assert_eq!((service.last(), service.progress()), (1, None));
    let next = w.publish("good three").unwrap();
    w.run_to_end();
    assert_eq!((next.number, w.running(next)), (2, 4));
}

#[test]
fn a_denied_request_gets_the_reason() {
    let mut w = World::new(6, 3, Rules { soak: 600 * SECOND, ..fast_rules() });
    w.advance(5 * SECOND);
    let service = w.service.as_mut().unwrap();
    let mut ask = |role, request: Request| {
        service.handle_request(w.now, role, request, |_| Err("no".into()), &mut Vec::new())
    };
    let publish =
        |expected_last| Request::Publish { content: b"x".as_slice().into(), note: "".into(), expected_last };
    assert_eq!(ask(Role::Viewer, publish(0)), Response::Denied(Denial::ReadOnly));
    assert_eq!(ask(Role::Operator, publish(7)), Response::NotPublished(PublishError::Conflict { last: 0 }));
    assert_eq!(ask(Role::Operator, publish(0)), Response::Invalid("no".into()));
    assert_eq!(
        ask(Role::Operator, Request::Stop { number: 1 }),
        Response::Denied(Denial::NotInProgress(None))
    );
    assert_eq!(ask(Role::Operator, Request::TakeOver), Response::Denied(Denial::NotSuperseded));
    assert_eq!(ask(Role::Viewer, Request::Content { number: 3 }), Response::Denied(Denial::NoSuchVersion(3)));
    let Response::Status(totals) = ask(Role::Viewer, Request::Status) else { panic!() };
    assert_eq!((totals.fronts, totals.connected, totals.waiting, totals.last), (3, 3, 3, 0));
    let Response::Fronts { rows, more } =
        ask(Role::Viewer, Request::Fronts { after: "front-0".into(), filter: Filter::All })
    else {
        panic!()
    };
    let names: Vec<&str> = rows.iter().map(|r| &*r.front).collect();
    assert_eq!((names, more), (vec!["front-1", "front-2"], false));
}

#[test]
fn fronts_keep_their_version_while_the_service_is_down_or_restored_from_an_older_store() {
    let mut w = World::new(4, 30, fast_rules());
    w.advance(5 * SECOND);
    let one = w.publish("good one").unwrap();
    w.run_to_end();
    let copy = w.disk.clone();
    let two = w.publish("good two").unwrap();
    w.run_to_end();
    // The service returns after minutes with its store: nothing changes.
    w.kill_service();
    w.advance(180 * SECOND);
    assert_eq!(w.running(two), 30);
    assert!(w.hosts[0].log.iter().any(|l| matches!(l, FrontEvent::ServiceSilent(_))));
    w.start_service();
    w.advance(180 * SECOND);
    assert!(w.service.as_ref().unwrap().fronts().filter(|f| f.state == FrontState::Current).count() == 30);
    // It returns with an older copy of its store: its next number would be one that fronts know with other
    // content.
    w.kill_service();
    w.disk = copy;
    w.start_service();
    w.advance(180 * SECOND);
    let service = w.service.as_ref().unwrap();
    assert!(service.epoch() > two.epoch, "a new epoch");
    assert_eq!((w.running(two), w.running(one)), (30, 0), "nothing older is offered");
    let three = w.publish("good three").unwrap();
    w.run_to_end();
    assert_eq!(w.running(three), 30);
    // It returns without a store: fronts keep their version until the next publication.
    w.kill_service();
    w.disk = service::StoredState::default();
    w.advance(60 * SECOND);
    w.start_service();
    w.advance(180 * SECOND);
    assert_eq!(w.running(three), 30);
    let four = w.publish("good four").unwrap();
    w.run_to_end();
    assert_eq!(w.running(four), 30);
}

#[test]
fn a_front_without_a_store_is_not_offered_versions_of_an_older_copy_by_connecting_first() {
    let mut w = World::new(9, 6, fast_rules());
    w.advance(5 * SECOND);
    let one = w.publish("good one").unwrap();
    w.run_to_end();
    let copy = w.disk.clone();
    let two = w.publish("good two").unwrap();
    w.run_to_end();
    assert_eq!(w.running(two), 6);
    // All fronts and the service die; a front that lost its store is the first to connect to the service on
    // the older copy.
    w.kill_service();
    (0..6).for_each(|n| w.kill_front(n, 1_000 * SECOND));
    w.hosts[0].last_good = None;
    w.disk = copy.clone();
    w.start_service();
    w.start_front(0);
    w.advance(20 * SECOND);
    assert_eq!((w.running(one), w.running(two)), (0, 0), "it runs its own file");
    (1..6).for_each(|n| w.start_front(n));
    w.advance(180 * SECOND);
    assert_eq!((w.running(one), w.running(two)), (0, 5));
    let three = w.publish("good three").unwrap();
    w.run_to_end();
    assert_eq!(w.running(three), 6);
    // If no front has a later version, the older copy is used once all have had time to connect.
    w.kill_service();
    (0..6).for_each(|n| w.kill_front(n, 1_000 * SECOND));
    (0..6).for_each(|n| w.hosts[n].last_good = None);
    w.disk = copy;
    w.start_service();
    (0..6).for_each(|n| w.start_front(n));
    w.advance(50 * SECOND);
    assert_eq!(w.running(one), 0);
    w.advance(60 * SECOND);
    assert_eq!(w.running(one), 6);
}

#[test]
fn of_two_services_fronts_follow_the_later_epoch_and_the_other_steps_back() {
    let mut w = World::new(5, 12, fast_rules());
    w.advance(5 * SECOND);
    w.publish("good one").unwrap();
    w.run_to_end();
    let (older, disk) = (w.service.take().unwrap(), w.disk.clone());
    w.conns.clear();
    w.disk = service::StoredState::default();
    for n in 0..12 {
        let conn = w.hosts[n].conn.unwrap();
        w.schedule(100, Event::FrontSeesClose(n, conn));
    }
    w.start_service();
    w.advance(120 * SECOND);
    let two = w.publish("good two").unwrap();
    w.run_to_end();
    assert_eq!(w.running(two), 12);
    // Now the fronts connect to the first service, which kept running.
    w.kill_service();
    (w.service, w.disk) = (Some(older), disk);
    w.advance(180 * SECOND);
    assert!(w.log.iter().any(|l| matches!(l, LogEvent::Superseded { by } if *by == two.epoch)));
    assert_eq!(w.publish("good three"), Err(PublishError::Superseded { by: two.epoch }));
    assert_eq!(w.running(two), 12);
}

#[test]
fn a_false_claim_of_one_front_does_not_affect_others() {
    let mut w = World::new(6, 20, fast_rules());
    w.advance(5 * SECOND);
    let one = w.publish("good one").unwrap();
    w.run_to_end();
    let (conn, epoch) = (1_000, w.service.as_ref().unwrap().epoch());
    for id in [
        VersionId { number: 9, ..one },
        VersionId { epoch: u64::MAX, ..one },
        VersionId { hash: [7; 32], ..one },
    ] {
        let running = Some((id, Seal { key: 1, mac: [3; 32] }));
        let hello = ToService::Hello { front: "liar".into(), station: "x".into(), running };
        w.on_service(|s, now, effects| s.on_message(now, conn, hello, effects));
        w.on_service(|s, now, effects| {
            s.on_message(
                now,
                conn,
                ToService::Running { id: VersionId { number: 5, ..one }, stored: true },
                effects,
            )
        });
        w.on_service(|s, now, effects| s.on_disconnected(now, conn, effects));
    }
    let service = w.service.as_ref().unwrap();
    assert_eq!(service.epoch(), epoch);
    assert!(service.fronts().any(|f| f.front == "liar" && f.false_claim));
    assert!(w.log.iter().filter(|l| matches!(l, LogEvent::FalseClaim { .. })).count() >= 4);
    assert!(w.publish("good two").is_ok());
}

/// Kills a front at each step of taking a version, with a disk that works, is full, or is damaged.
#[test]
fn a_front_killed_at_any_step_restarts_on_a_good_version_and_ends_on_the_last() {
    let mut points = 0;
    for (full, damaged) in [(false, false), (true, false), (false, true)] {
        for point in 1..100 {
            let mut w = World::new(7, 1, fast_rules());
            w.advance(5 * SECOND);
            w.publish("good one").unwrap();
            w.run_to_end();
            (w.hosts[0].disk_full, w.hosts[0].disk_damaged) = (full, damaged);
            w.steps_executed = 0;
            w.dies_at_step = Some(point);
            let two = w.publish("good two").unwrap();
            w.advance(60 * SECOND);
            let died = w.hosts[0].starts > 1;
            assert_eq!(w.running(two), 1, "killed at step {point}");
            if !died {
                break;
            }
            points += 1;
        }
    }
    assert_eq!(points, 12, "checked, staged, applied, kept; three kinds of disk");
}

/// All fronts connect in the same second, and again after the service was down for three minutes.
#[test]
fn returning_fronts_are_admitted_at_the_configured_rate() {
    let rules = Rules { admissions_per_second: 100.0, ..fast_rules() };
    let mut w = World::new(8, 1_000, rules);
    w.advance(30 * SECOND);
    assert!(w.admitted.values().all(|&n| n <= 115), "{:?}", w.admitted);
    assert_eq!(w.service.as_ref().unwrap().fronts().count(), 1_000);
    w.kill_service();
    w.advance(180 * SECOND);
    w.start_service();
    w.admitted.clear();
    w.advance(300 * SECOND);
    assert!(w.admitted.values().all(|&n| n <= 115), "{:?}", w.admitted);
    assert_eq!(w.service.as_ref().unwrap().fronts().filter(|f| f.connected).count(), 1_000);
}

#[test]
fn altered_contents_and_invalid_seals_are_rejected() {
    let mut effects = Vec::new();
    let own = ("front", "station");
    let mut f = Front::start(START, 1, own, keys(), front::StoredState::default(), Ok(()), &mut effects);
    f.on_connected(START, &mut effects);
    let content: Arc<[u8]> = b"good one"[..].into();
    let id = VersionId::of(1, 1, &content);
    let seal = keys().seal(&id).unwrap();
    let tries = [
        (seal, Body::Full(b"good but altered"[..].into()), "its content does not match its hash"),
        (
            Seal { key: 9, ..seal },
            Body::Full(content.clone()),
            "its seal is not valid: key 9 is unknown, or did not make it",
        ),
        (
            Seal { mac: [0; 32], ..seal },
            Body::Full(content.clone()),
            "its seal is not valid: key 1 is unknown, or did not make it",
        ),
    ];
    for (number, (seal, body, reason)) in (1..).zip(tries) {
        // Each has its own number, since a rejected version is not fetched again.
        let id = if number == 1 { id } else { VersionId { number, ..id } };
        let seal = if number == 1 { seal } else { Seal { mac: keys().seal(&id).unwrap().mac, ..seal } };
        let seal = if number == 3 { Seal { mac: [0; 32], ..seal } } else { seal };
        effects.clear();
        f.on_message(START, ToFront::Offer { id }, &mut effects);
        f.on_message(START, ToFront::Content { id, seal, body }, &mut effects);
        let reported = effects.iter().find_map(|d| match d {
            front::Effect::Send(ToService::Rejected { reason, .. }) => Some(reason.to_string()),
            _ => None,
        });
        assert_eq!(reported.as_deref(), Some(reason));
        assert!(!effects.iter().any(|d| matches!(d, front::Effect::Check(..))));
        effects.clear();
        f.on_message(START, ToFront::Offer { id }, &mut effects);
        assert!(
            matches!(&effects[..], [front::Effect::Send(ToService::Rejected { .. })]),
            "rejected again, not fetched"
        );
    }
    // If a delta does not fit, the full content is requested; meanwhile the keys are rotated.
    f.set_keys(Keys::new(vec![(1, b"the key".to_vec()), (2, b"the next".to_vec())]));
    let id = VersionId { number: 7, ..id };
    let seal = Keys::new(vec![(2, b"the next".to_vec())]).seal(&id).unwrap();
    effects.clear();
    f.on_message(START, ToFront::Offer { id }, &mut effects);
    let steps = vec![delta::Op::Copy { from: u64::MAX, count: u64::MAX }];
    f.on_message(START, ToFront::Content { id, seal, body: Body::Delta(steps) }, &mut effects);
    f.on_message(START, ToFront::Content { id, seal, body: Body::Full(content) }, &mut effects);
    assert!(effects.iter().any(|d| matches!(d, front::Effect::Send(ToService::Fetch { base: None, .. }))));
    assert!(effects.iter().any(|d| matches!(d, front::Effect::Check(..))));
}

fn random_run(seed: u64) {
    let fronts = 1 + (seed % 7) as usize;
    let mut w = World::new(seed, fronts, Rules { max_timed_out_share: 0.5, ..fast_rules() });
    w.unreliable = true;
    let mut copy = w.disk.clone();
    for number in 0..60 {
        let n = w.rng.usize(0..fronts);
        match w.rng.u8(0..16) {
            0..=3 => {
                let kind = ["good", "good", "good", "bad", "fatal", "stuck", "later"][w.rng.usize(0..7)];
                let _ = w.publish(&format!("{kind} {seed} {number}"));
            }
            4 => {
                let back = w.service.as_ref().map_or(0, |s| s.last().saturating_sub(1));
                w.on_service(|s, now, effects| s.roll_back(now, back, effects).ok());
            }
            5 | 6 => {
                let after = w.rng.u64(1..20 * SECOND);
                if w.hosts[n].front.is_some() {
                    w.kill_front(n, after);
                }
            }
            7 => w.kill_service(),
            8 => w.hosts[n].disk_full = !w.hosts[n].disk_full,
            9 => w.hosts[n].disk_damaged = true,
            10 => copy = w.disk.clone(),
            11 if w.service.is_none() => {
                w.disk = [copy.clone(), service::StoredState::default()][w.rng.usize(0..2)].clone()
            }
            12 => {
                if let Some(conn) = w.hosts[n].conn
                    && w.conns.remove(&conn).is_some()
                {
                    w.schedule(50, Event::ServiceSeesClose(conn));
                    w.schedule(90, Event::FrontSeesClose(n, conn));
                }
            }
            _ => {}
        }
        if w.service.is_none() && w.rng.bool() {
            w.start_service();
        }
        let time = w.rng.u64(1..10 * SECOND);
        w.advance(time);
    }
    // All fronts can connect again and must converge.
    w.unreliable = false;
    if w.service.is_none() {
        w.start_service();
    }
    w.hosts.iter_mut().for_each(|h| h.disk_full = false);
    w.advance(600 * SECOND);
    w.on_service(|s, _, effects| s.stop(StopReason::Manual, effects));
    let mut last = w.publish(&format!("good {seed} last"));
    if matches!(last, Err(PublishError::Superseded { .. })) {
        // The service runs on a copy of its store from before it opened a new epoch, so that the superseding
        // service is its own past. It can't distinguish that from another service; an operator has to take
        // over.
        w.on_service(|s, _, effects| s.take_over(effects));
        last = w.publish(&format!("good {seed} last"));
    }
    let last = last.expect("it publishes again");
    w.run_to_end();
    w.advance(300 * SECOND);
    assert_eq!(w.running(last), fronts);
    let service = w.service.as_ref().unwrap();
    assert!(service.fronts().all(|f| f.state == FrontState::Current && f.running == Some(last)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_front_runs_a_bad_version_and_all_connected_fronts_converge(seed in any::<u64>()) {
        random_run(seed);
    }

    #[test]
    fn a_delta_gives_the_new_content_or_nothing(old in "[ab\n]{0,60}", new in "[ab\n]{0,60}", other in "[ab\n]{0,60}") {
        let steps = delta::between(old.as_bytes(), new.as_bytes());
        let applied = delta::apply(old.as_bytes(), &steps);
        prop_assert_eq!(applied.as_deref(), Some(new.as_bytes()));
        // On another base the result is arbitrary; the hash detects it.
        let _ = delta::apply(other.as_bytes(), &steps);
    }
}
