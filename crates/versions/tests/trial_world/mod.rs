//! Simulates fronts and a service in virtual time. Accesses are drawn from a seed, and the share answered
//! depends on the content that a front runs. Invariants are checked as events happen.
//!
//! A content consists of lines `member N = ...`; a change writes one of them. In a line, `cK;` tells which
//! change wrote it, `harm=0.1` reduces the answered share by that much, `pair` does so if two lines have it,
//! `later=0.1` does so ten seconds after the front applied it, `refuse` is rejected, and `fatal` crashes the
//! front.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use doorgrade_versions::front::{self, Front};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::service::{
    self, ChangeState, LogEvent, PublishError, RemovalReason, RolloutMode, Rules, Service, StoredState,
    TrialRules,
};
use doorgrade_versions::{RejectionReason, VersionId};
use fastrand::Rng;

pub const SECOND: u64 = 10_000;
pub const START: u64 = 17_000_000_000_000;
/// A removed change must not run on any connected front after this time.
pub const REMOVAL_DEADLINE: u64 = 5 * SECOND;
const LINES: usize = 250;

pub fn keys() -> Keys {
    Keys::new(vec![(1, b"the key".to_vec())])
}

#[derive(Clone, Debug)]
enum Event {
    ToService(u64, ToService),
    ToFront(usize, u64, ToFront),
    Execute(usize, u32, front::Effect),
    Connected(usize, u32),
    ConnectFailed(usize, u32),
    ServiceSeesClose(u64),
    FrontSeesClose(usize, u64),
    FrontTimer(usize, u32),
    ServiceTimer(u32),
    Restart(usize),
    Report(usize, u32, u32),
    ConnectivityRestored(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Behavior {
    harm: f64,
    delayed_harm: f64,
    refuse: bool,
    fatal: bool,
}

/// A front with its store, its connection and its accesses.
pub struct Host {
    pub front: Option<Front>,
    incarnation: u32,
    pub conn: Option<u64>,
    /// Since when the service considers it connected.
    pub connected_since: u64,
    last_good: Option<(VersionId, Seal, front::Content)>,
    staged: Option<(VersionId, u32)>,
    behavior: Behavior,
    applied_at: u64,
    pub content: Option<Arc<[u8]>>,
    share: f64,
    rate: f64,
    latency: u64,
    accesses: u64,
    answered: u64,
    counted_until: u64,
    /// Number of its current report timer; earlier ones are ignored.
    timer: u32,
    report_interval: Option<u64>,
    /// Number of versions applied.
    pub applied: u64,
    /// A paused process neither reads, writes nor serves.
    pub paused: bool,
    held_events: Vec<Event>,
    /// Factor applied to the answered accesses that it reports.
    pub misreports: Option<f64>,
    /// Whether its reports are sometimes lost, duplicated or delayed.
    pub unreliable: bool,
    /// Whether connecting fails.
    pub unreachable: bool,
    last_send_arrival: u64,
    last_receive_arrival: u64,
}

pub struct World {
    pub now: u64,
    pub rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queued: BTreeMap<u64, Event>,
    count: u64,
    pub hosts: Vec<Host>,
    pub service: Option<Service>,
    service_incarnation: u32,
    pub disk: StoredState,
    pub rules: Rules,
    next_conn: u64,
    conns: BTreeMap<u64, usize>,
    pub log: Vec<(u64, LogEvent)>,
    /// Share of answers that all fronts lose.
    pub overload: f64,
    /// Time of publication and token by change number.
    pub published: BTreeMap<u64, (u64, String)>,
    pub in_force: BTreeMap<u64, u64>,
    pub removed: BTreeMap<u64, (u64, RemovalReason)>,
    /// The fronts that ever ran a change, by its token.
    pub reach: BTreeMap<String, BTreeSet<usize>>,
    /// Tokens whose reach is recorded.
    tracked_tokens: Vec<String>,
    changes_made: u64,
    /// Number of service restarts.
    pub epochs: u64,
    /// Kills the service when this number of states has been stored.
    pub dies_at_store: Option<u32>,
    pub stores: u32,
    last_check: u64,
    /// Behavior of contents by hash.
    behaviors: BTreeMap<[u8; 32], Behavior>,
    tokens: BTreeMap<[u8; 32], Vec<usize>>,
}

pub fn evidence(trial: TrialRules) -> Rules {
    Rules {
        rollout: RolloutMode::Evidence(trial),
        admissions_per_second: 10_000.0,
        recovery_delay: 2 * SECOND,
        ..Rules::default()
    }
}

fn behavior(content: &[u8]) -> Behavior {
    let text = String::from_utf8_lossy(content);
    let value = |key: &str| -> f64 {
        text.split(key).skip(1).filter_map(|rest| rest.split([' ', '\n']).next()?.parse::<f64>().ok()).sum()
    };
    let pairs = text.matches("pair").count();
    Behavior {
        harm: value("harm=") + if pairs >= 2 { 0.1 } else { 0.0 },
        delayed_harm: value("later="),
        refuse: text.contains("refuse"),
        fatal: text.contains("fatal"),
    }
}

/// Samples a binomial distribution, approximately.
fn sample_binomial(rng: &mut Rng, count: u64, share: f64) -> u64 {
    let share = share.clamp(0.0, 1.0);
    if count < 40 {
        return (0..count).filter(|_| rng.f64() < share).count() as u64;
    }
    let normal = (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    let n = count as f64;
    (n * share + normal * (n * share * (1.0 - share)).sqrt()).round().clamp(0.0, n) as u64
}

impl World {
    /// Fronts at a tenth as many stations, with 930 accesses per second each and round trips of 10 to 150 ms.
    pub fn new(seed: u64, fronts: usize, rules: Rules) -> World {
        let mut rng = Rng::with_seed(seed);
        let host = |rng: &mut Rng| Host {
            front: None,
            incarnation: 0,
            conn: None,
            connected_since: 0,
            last_good: None,
            staged: None,
            behavior: Behavior::default(),
            applied_at: 0,
            content: None,
            share: 0.97 + 0.02 * rng.f64(),
            rate: 930.0,
            latency: 50 + rng.u64(0..700),
            accesses: 0,
            answered: 0,
            counted_until: START,
            timer: 0,
            report_interval: None,
            applied: 0,
            paused: false,
            held_events: Vec::new(),
            misreports: None,
            unreliable: false,
            unreachable: false,
            last_send_arrival: 0,
            last_receive_arrival: 0,
        };
        let hosts = (0..fronts).map(|_| host(&mut rng)).collect();
        let mut world = World {
            now: START,
            rng,
            events: BinaryHeap::new(),
            queued: BTreeMap::new(),
            count: 0,
            hosts,
            service: None,
            service_incarnation: 0,
            disk: StoredState::default(),
            rules,
            next_conn: 0,
            conns: BTreeMap::new(),
            log: Vec::new(),
            overload: 0.0,
            published: BTreeMap::new(),
            in_force: BTreeMap::new(),
            removed: BTreeMap::new(),
            reach: BTreeMap::new(),
            tracked_tokens: Vec::new(),
            changes_made: 0,
            epochs: 0,
            dies_at_store: None,
            stores: 0,
            last_check: START,
            behaviors: BTreeMap::new(),
            tokens: BTreeMap::new(),
        };
        world.start_service();
        (0..fronts).for_each(|n| world.start_front(n));
        world
    }

    /// A world in which a first content is in force and each front has a baseline.
    pub fn settled(seed: u64, fronts: usize, rules: Rules) -> World {
        let mut world = World::new(seed, fronts, rules);
        // Gives each front a baseline before anything is tried.
        world.advance(40 * SECOND);
        let first: String = (0..LINES).map(|n| format!("member {n} = 0\n")).collect();
        let first = format!("{first}end c0;\n");
        let id = world.publish_content(&first, "c0;", 0).expect("the first is published");
        world.advance(40 * SECOND);
        assert!(world.in_force.contains_key(&id.number), "{:?}", world.log.last());
        world
    }

    pub fn set_rate(&mut self, rate: f64) {
        for n in 0..self.hosts.len() {
            self.count_accesses(n);
            self.hosts[n].rate = rate;
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + delay, self.count)));
        self.queued.insert(self.count, event);
    }

    // ---- starts and ends of processes

    pub fn start_service(&mut self) {
        let mut effects = Vec::new();
        self.service_incarnation += 1;
        let disk = self.disk.clone();
        self.service = Some(Service::start(self.now, self.rules.clone(), keys(), disk, &mut effects));
        self.execute_service_effects(effects);
    }

    pub fn kill_service(&mut self) {
        self.service = None;
        let open: Vec<_> = std::mem::take(&mut self.conns).into_iter().collect();
        open.into_iter().for_each(|(conn, n)| self.schedule(100, Event::FrontSeesClose(n, conn)));
    }

    fn start_front(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.incarnation += 1;
        (host.accesses, host.answered, host.counted_until, host.report_interval) = (0, 0, self.now, None);
        let disk = front::StoredState { last_good: host.last_good.clone(), staged: host.staged };
        host.content = disk.last_good.as_ref().map(|g| g.2.clone());
        host.behavior = host.content.as_ref().map(|c| behavior(c)).unwrap_or_default();
        host.applied_at = self.now;
        let (mut effects, name) = (Vec::new(), format!("front-{n}"));
        let seed = n as u64 + 1_000 * u64::from(host.incarnation);
        let station = format!("station-{}", n % (self.hosts.len() / 10).max(3));
        let front = Front::start(self.now, seed, (&name, &station), keys(), disk, Ok(()), &mut effects);
        self.hosts[n].front = Some(front);
        self.execute_front_effects(n, effects);
    }

    pub fn kill_front(&mut self, n: usize, restart_after: u64) {
        self.stop_front_process(n);
        self.schedule(restart_after, Event::Restart(n));
    }

    fn stop_front_process(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.front = None;
        host.incarnation += 1;
        host.held_events.clear();
        if let Some(conn) = host.conn.take() {
            self.conns.remove(&conn);
            self.schedule(100, Event::ServiceSeesClose(conn));
        }
    }

    /// Closes a front's connection and lets reconnects fail for this time.
    pub fn disconnect_front(&mut self, n: usize, reconnect_after: u64) {
        self.hosts[n].unreachable = true;
        if let Some(conn) = self.hosts[n].conn
            && self.conns.remove(&conn).is_some()
        {
            self.schedule(50, Event::ServiceSeesClose(conn));
            self.schedule(90, Event::FrontSeesClose(n, conn));
        }
        self.schedule(reconnect_after, Event::ConnectivityRestored(n));
    }

    /// Pauses a front as with SIGSTOP; its events are held until it resumes.
    pub fn pause_front(&mut self, n: usize) {
        self.count_accesses(n);
        self.hosts[n].paused = true;
    }

    pub fn resume_front(&mut self, n: usize) {
        self.hosts[n].paused = false;
        self.hosts[n].counted_until = self.now;
        // The deadline for removals starts when it can receive messages again.
        if self.hosts[n].connected_since > 0 {
            self.hosts[n].connected_since = self.now;
        }
        let held_events = std::mem::take(&mut self.hosts[n].held_events);
        held_events.into_iter().for_each(|event| self.schedule(1, event));
    }

    // ---- accesses

    fn count_accesses(&mut self, n: usize) {
        let (now, overload) = (self.now, self.overload);
        let host = &mut self.hosts[n];
        let seconds = now.saturating_sub(host.counted_until) as f64 / SECOND as f64;
        host.counted_until = now;
        if host.front.is_none() || host.paused {
            return;
        }
        let accesses = (host.rate * seconds + self.rng.f64()) as u64;
        let delayed_harm =
            if now >= host.applied_at + 10 * SECOND { host.behavior.delayed_harm } else { 0.0 };
        let share = host.share - host.behavior.harm - delayed_harm - overload;
        host.accesses += accesses;
        host.answered += sample_binomial(&mut self.rng, accesses, share);
    }

    /// From now on all fronts lose this share of their answers.
    pub fn set_overload(&mut self, overload: f64) {
        (0..self.hosts.len()).for_each(|n| self.count_accesses(n));
        self.overload = overload;
    }

    // ---- effects

    fn execute_front_effects(&mut self, n: usize, effects: Vec<front::Effect>) {
        let incarnation = self.hosts[n].incarnation;
        for effect in effects {
            let delay = self.hosts[n].latency + self.rng.u64(0..20);
            match effect {
                front::Effect::Connect => {
                    let reachable = self.service.is_some() && !self.hosts[n].unreachable;
                    let event = if reachable {
                        Event::Connected(n, incarnation)
                    } else {
                        Event::ConnectFailed(n, incarnation)
                    };
                    self.schedule(2 * delay, event);
                }
                front::Effect::Close => {
                    if let Some(conn) = self.hosts[n].conn.take()
                        && self.conns.remove(&conn).is_some()
                    {
                        self.schedule(delay, Event::ServiceSeesClose(conn));
                    }
                }
                front::Effect::Send(message) => {
                    let Some(conn) = self.hosts[n].conn else { continue };
                    let at = (self.now + delay).max(self.hosts[n].last_send_arrival);
                    self.hosts[n].last_send_arrival = at;
                    let report = matches!(message, ToService::Report { .. });
                    if self.hosts[n].unreliable && report {
                        match self.rng.u8(0..4) {
                            0 => continue,
                            1 => {
                                let late = at - self.now + self.rng.u64(0..SECOND);
                                self.schedule(late, Event::ToService(conn, message.clone()));
                            }
                            _ => {}
                        }
                    }
                    self.schedule(at - self.now, Event::ToService(conn, message));
                }
                front::Effect::SetTimer(at) => {
                    self.schedule(at.saturating_sub(self.now), Event::FrontTimer(n, incarnation))
                }
                front::Effect::Log(_) => {}
                front::Effect::Unstage => self.hosts[n].staged = None,
                front::Effect::SetReportInterval { interval } => {
                    self.hosts[n].timer += 1;
                    self.hosts[n].report_interval = interval;
                    let timer = self.hosts[n].timer;
                    if interval.is_some() {
                        self.schedule(0, Event::Report(n, incarnation, timer));
                    }
                }
                effect => {
                    let duration = self.rng.u64(10..50);
                    self.schedule(duration, Event::Execute(n, incarnation, effect));
                }
            }
        }
    }

    fn execute_service_effects(&mut self, effects: Vec<service::Effect>) {
        for effect in effects {
            match effect {
                service::Effect::Send(conn, message) => {
                    let Some(&n) = self.conns.get(&conn) else { continue };
                    if let ToFront::Offer { id } = &message {
                        let running = self.hosts[n].front.as_ref().and_then(Front::running);
                        assert!(
                            running.is_none_or(|r| r.position() < id.position()),
                            "a lower number is offered"
                        );
                    }
                    let at = (self.now + self.hosts[n].latency + self.rng.u64(0..20))
                        .max(self.hosts[n].last_receive_arrival);
                    self.hosts[n].last_receive_arrival = at;
                    self.schedule(at - self.now, Event::ToFront(n, conn, message));
                }
                service::Effect::Close(conn) => {
                    if let Some(n) = self.conns.remove(&conn) {
                        self.schedule(700, Event::FrontSeesClose(n, conn));
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
                service::Effect::StoreTrials(saved) => {
                    self.disk.trials = Some(saved);
                    self.stores += 1;
                    if self.dies_at_store == Some(self.stores) {
                        // Later effects of the same event are lost with the service.
                        self.kill_service();
                        return;
                    }
                }
                service::Effect::Delete(id) => self.disk.versions.retain(|v| v.id != id),
                service::Effect::SetTimer(at) => {
                    let incarnation = self.service_incarnation;
                    self.schedule(at.saturating_sub(self.now).max(1), Event::ServiceTimer(incarnation));
                }
                service::Effect::Log(event) => self.on_log_event(event),
            }
        }
    }

    fn on_log_event(&mut self, event: LogEvent) {
        match &event {
            LogEvent::InForce(id) => {
                self.in_force.entry(id.number).or_insert(self.now);
                if let Some((_, token)) = self.published.get(&id.number) {
                    for &n in self.conns.values() {
                        let host = &self.hosts[n];
                        let content = host.content.as_ref().filter(|_| host.front.is_some());
                        let has =
                            content.is_some_and(|c| String::from_utf8_lossy(c).contains(token.as_str()));
                        // A connected front that has not sent its first message is not known yet.
                        let known = host.connected_since > 0;
                        assert!(
                            has || !known || host.front.is_none(),
                            "{id} reported in force while front {n}, connected, lacks it: it runs {:?}, the service has it at {:?}; {}",
                            host.front.as_ref().and_then(Front::running),
                            self.service.as_ref().and_then(|s| s
                                .fronts()
                                .find(|f| f.front == format!("front-{n}"))
                                .map(|f| (f.connected, f.running, f.state))),
                            self.recent_events()
                        );
                    }
                }
            }
            LogEvent::ChangeRemoved { change, reason } => {
                self.removed.entry(*change).or_insert((self.now, reason.clone()));
            }
            _ => {}
        }
        self.log.push((self.now, event));
    }

    pub fn on_front(&mut self, n: usize, act: impl FnOnce(&mut Front, u64, &mut Vec<front::Effect>)) {
        let mut effects = Vec::new();
        if let Some(front) = &mut self.hosts[n].front {
            act(front, self.now, &mut effects);
        }
        self.execute_front_effects(n, effects);
    }

    pub fn on_service<T>(
        &mut self,
        act: impl FnOnce(&mut Service, u64, &mut Vec<service::Effect>) -> T,
    ) -> Option<T> {
        let (mut effects, now) = (Vec::new(), self.now);
        let result = self.service.as_mut().map(|s| act(s, now, &mut effects));
        self.execute_service_effects(effects);
        result
    }

    fn execute(&mut self, n: usize, effect: front::Effect) {
        match effect {
            front::Effect::Check(id, content) => {
                let refuse = self.behavior_of(&id, &content).refuse;
                let result = if refuse { Err(RejectionReason::Unusable("refused".into())) } else { Ok(()) };
                self.on_front(n, |f, now, effects| f.on_checked(now, id, result, effects));
            }
            front::Effect::Stage { id, crashes } => {
                self.hosts[n].staged = Some((id, crashes));
                self.on_front(n, |f, now, effects| f.on_staged(now, id, effects));
            }
            front::Effect::Apply(id, content) => {
                let running = self.hosts[n].front.as_ref().and_then(Front::running);
                assert!(running.is_none_or(|r| r.position() < id.position()), "an older version is applied");
                let behavior = self.behavior_of(&id, &content);
                if behavior.fatal {
                    return self.kill_front(n, 2 * SECOND);
                }
                self.count_accesses(n);
                let host = &mut self.hosts[n];
                (host.behavior, host.applied_at, host.content) = (behavior, self.now, Some(content.clone()));
                self.hosts[n].applied += 1;
                self.record_reach(n, &id);
                self.on_front(n, |f, now, effects| f.on_applied(now, id, Ok(()), effects));
            }
            front::Effect::Store(id, seal, content) => {
                (self.hosts[n].last_good, self.hosts[n].staged) = (Some((id, seal, content)), None);
                self.on_front(n, |f, now, effects| f.on_stored(now, id, true, effects));
            }
            _ => {}
        }
    }

    fn behavior_of(&mut self, id: &VersionId, content: &[u8]) -> Behavior {
        *self.behaviors.entry(id.hash).or_insert_with(|| behavior(content))
    }

    fn record_reach(&mut self, n: usize, id: &VersionId) {
        let Some(content) = &self.hosts[n].content else { return };
        let tracked_tokens = &self.tracked_tokens;
        let tokens = self.tokens.entry(id.hash).or_insert_with(|| {
            let text = String::from_utf8_lossy(content);
            // Changes that were settled long ago are in all contents.
            (tracked_tokens.len().saturating_sub(40)..tracked_tokens.len())
                .filter(|t| text.contains(tracked_tokens[*t].as_str()))
                .collect()
        });
        for token in tokens.iter() {
            self.reach.entry(self.tracked_tokens[*token].clone()).or_default().insert(n);
        }
    }

    // ---- time

    fn paused_front(&self, event: &Event) -> Option<usize> {
        let n = match event {
            Event::ToFront(n, ..)
            | Event::Execute(n, ..)
            | Event::Connected(n, _)
            | Event::ConnectFailed(n, _)
            | Event::FrontSeesClose(n, _)
            | Event::FrontTimer(n, _)
            | Event::Report(n, ..) => *n,
            _ => return None,
        };
        self.hosts[n].paused.then_some(n)
    }

    pub fn step(&mut self) -> bool {
        let Some(Reverse((at, number))) = self.events.pop() else { return false };
        let Some(event) = self.queued.remove(&number) else { return true };
        self.now = self.now.max(at);
        if let Some(n) = self.paused_front(&event) {
            self.hosts[n].held_events.push(event);
            return true;
        }
        match event {
            Event::Connected(n, incarnation)
                if self.hosts[n].incarnation == incarnation
                    && self.service.is_some()
                    && !self.hosts[n].unreachable =>
            {
                self.next_conn += 1;
                let conn = self.next_conn;
                (self.hosts[n].conn, self.hosts[n].connected_since) = (Some(conn), 0);
                self.conns.insert(conn, n);
                self.on_front(n, |f, now, effects| f.on_connected(now, effects));
            }
            Event::Connected(n, incarnation) | Event::ConnectFailed(n, incarnation)
                if self.hosts[n].incarnation == incarnation =>
            {
                self.on_front(n, |f, now, effects| f.on_disconnected(now, effects));
            }
            Event::ToService(conn, message) if self.conns.contains_key(&conn) => {
                if matches!(message, ToService::Hello { .. }) {
                    let n = self.conns[&conn];
                    self.hosts[n].connected_since = self.now;
                }
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
            Event::ConnectivityRestored(n) => self.hosts[n].unreachable = false,
            Event::Report(n, incarnation, timer)
                if self.hosts[n].incarnation == incarnation && self.hosts[n].timer == timer =>
            {
                self.count_accesses(n);
                let (accesses, mut answered) = (self.hosts[n].accesses, self.hosts[n].answered);
                if let Some(factor) = self.hosts[n].misreports {
                    answered = (answered as f64 * factor) as u64;
                }
                self.on_front(n, |f, _, effects| f.report(accesses, answered, effects));
                if let Some(interval) = self.hosts[n].report_interval {
                    self.schedule(interval, Event::Report(n, incarnation, timer));
                }
            }
            _ => {}
        }
        if self.now >= self.last_check + SECOND {
            self.last_check = self.now;
            self.check_removed();
        }
        true
    }

    fn check_removed(&self) {
        for (number, (at, reason)) in &self.removed {
            let Some((_, token)) = self.published.get(number) else { continue };
            // It is not offered again; checks for a minute.
            if self.now < at + REMOVAL_DEADLINE || self.now > at + 60 * SECOND {
                continue;
            }
            for &n in self.conns.values() {
                let host = &self.hosts[n];
                if host.paused
                    || host.connected_since == 0
                    || self.now < host.connected_since + REMOVAL_DEADLINE
                {
                    continue;
                }
                let running = host.content.as_ref().filter(|_| host.front.is_some());
                let has = running.is_some_and(|c| String::from_utf8_lossy(c).contains(token.as_str()));
                assert!(
                    !has,
                    "front {n}, connected, runs change {number}, removed {reason:?} {} ago: it runs {:?}, {}",
                    self.now - at,
                    host.front.as_ref().and_then(Front::running),
                    self.recent_events()
                );
            }
        }
    }

    pub fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Advances until a condition is met or the time is over; returns whether it is met.
    pub fn advance_until(&mut self, time: u64, condition: impl Fn(&World) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.advance(SECOND / 20);
        }
        condition(self)
    }

    // ---- publications

    pub fn publish_content(
        &mut self,
        content: &str,
        token: &str,
        expected_last: u64,
    ) -> Result<VersionId, PublishError> {
        let bytes: Arc<[u8]> = content.as_bytes().into();
        let result = self.on_service(|s, now, effects| s.publish(now, bytes, token, expected_last, effects));
        let result = result.unwrap_or(Err(PublishError::NoSuchVersion));
        if let Ok(id) = &result {
            self.published.insert(id.number, (self.now, token.into()));
            self.tracked_tokens.push(token.into());
        }
        result
    }

    pub fn head(&self) -> String {
        let service = self.service.as_ref().expect("the service runs");
        let head = service.version(service.last()).map(|v| v.content.clone()).unwrap_or_default();
        String::from_utf8_lossy(&head).into_owned()
    }

    /// Publishes the head with one more line changed; `what` is its effect.
    pub fn change(&mut self, what: &str) -> Result<VersionId, PublishError> {
        let line = (2 * self.changes_made as usize) % LINES;
        self.change_line(line, what)
    }

    pub fn change_line(&mut self, line: usize, what: &str) -> Result<VersionId, PublishError> {
        self.changes_made += 1;
        let token = format!("c{};", self.changes_made);
        let mut content = String::new();
        for (n, old) in self.head().lines().enumerate() {
            match n == line {
                true => content += &format!("member {n} = {token} {what}\n"),
                false => content += &format!("{old}\n"),
            }
        }
        if !content.contains(&token) {
            // A service that lost its store has no line to change.
            content += &format!("member {line} = {token} {what}\n");
        }
        let last = self.service.as_ref().map_or(0, Service::last);
        self.publish_content(&content, &token, last)
    }

    pub fn state(&self, number: u64) -> Option<ChangeState> {
        let mut service = self.service.clone()?;
        let (role, mut effects) = (service::Role::Viewer, Vec::new());
        match service.handle_request(self.now, role, service::Request::Changes, |_| Ok(()), &mut effects) {
            service::Response::Changes(rows) => {
                rows.into_iter().find(|r| r.number == number).map(|r| r.state)
            }
            _ => None,
        }
    }

    /// Seconds from a change's publication until it was reported in force.
    pub fn seconds_to_in_force(&self, number: u64) -> Option<f64> {
        let at = self.in_force.get(&number)?;
        Some((at - self.published.get(&number)?.0) as f64 / SECOND as f64)
    }

    pub fn reach_of(&self, number: u64) -> usize {
        self.published.get(&number).and_then(|p| self.reach.get(&p.1)).map_or(0, BTreeSet::len)
    }

    /// The latest log events and open changes, for the message of a failed assertion.
    pub fn recent_events(&self) -> String {
        let since = |at: u64| (at - START) as f64 / SECOND as f64;
        let log =
            self.log.iter().rev().take(12).rev().map(|(at, event)| format!("{:.2} {event:?}", since(*at)));
        let open = self.published.keys().filter(|n| !self.in_force.contains_key(n));
        let open: Vec<_> = open.map(|n| (*n, self.state(*n))).collect();
        format!("at {:.2}: {}\nopen: {open:?}", since(self.now), log.collect::<Vec<_>>().join("\n"))
    }

    /// Whether a front runs a content that includes the change.
    pub fn front_has(&self, n: usize, number: u64) -> bool {
        let Some((_, token)) = self.published.get(&number) else { return false };
        let host = &self.hosts[n];
        let content = host.content.as_ref().filter(|_| host.front.is_some());
        content.is_some_and(|c| String::from_utf8_lossy(c).contains(token.as_str()))
    }

    /// Publishes a content that replaces the head.
    pub fn publish_text(&mut self, content: &str) -> Result<VersionId, PublishError> {
        let last = self.service.as_ref().map_or(0, Service::last);
        self.publish_content(content, content.trim_end(), last)
    }

    /// Number of fronts that run a content that includes the change.
    pub fn count_with(&self, number: u64) -> usize {
        (0..self.hosts.len()).filter(|&n| self.front_has(n, number)).count()
    }
}

/// The value that this share of the values does not exceed.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(at - 1).copied().unwrap_or(f64::NAN)
}
