//! Both machines in virtual time, with fronts whose accesses are drawn from a seed and whose share answered depends on the
//! content that they run; what must never be is checked as it happens.
//!
//! A content is lines `member N = ...`; a change writes one of them. In a line: `cK;` says which change wrote it,
//! `harm=0.1` takes that share of the answers away, `pair` does where two lines have it, `later=0.1` does ten seconds after the
//! front took it, `refuse` is turned down, `fatal` brings the front down.
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
/// Within this time after a withdrawal no connected front runs what was withdrawn.
pub const BOUND: u64 = 5 * SECOND;
const LINES: usize = 250;

pub fn keys() -> Keys {
    Keys::new(vec![(1, b"the key".to_vec())])
}

#[derive(Clone, Debug)]
enum Event {
    ToService(u64, ToService),
    ToFront(usize, u64, ToFront),
    Shell(usize, u32, front::Effect),
    Up(usize, u32),
    Refused(usize, u32),
    Gone(u64),
    Cut(usize, u64),
    FrontDue(usize, u32),
    ServiceDue(u32),
    Restart(usize),
    Report(usize, u32, u32),
    Heal(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Effects {
    harm: f64,
    later: f64,
    refuse: bool,
    fatal: bool,
}

/// A front with its shell, its store and its accesses.
pub struct Host {
    pub front: Option<Front>,
    life: u32,
    pub conn: Option<u64>,
    /// Since when the service has it connected.
    pub since: u64,
    good: Option<(VersionId, Seal, front::Content)>,
    staged: Option<(VersionId, u32)>,
    effects: Effects,
    took: u64,
    pub content: Option<Arc<[u8]>>,
    share: f64,
    rate: f64,
    latency: u64,
    asked: u64,
    answered: u64,
    counted: u64,
    /// Its timer for reports: only the last one counts.
    timer: u32,
    every: Option<u64>,
    /// Versions that it took into use.
    pub applied: u64,
    /// It neither reads nor writes nor serves.
    pub stopped: bool,
    held: Vec<Event>,
    /// Multiplies what it says it has answered.
    pub lies: Option<f64>,
    /// Says everything twice, and now and then late or not at all.
    pub unruly: bool,
    /// Connections can't be made.
    pub cut_off: bool,
    last_sent: u64,
    last_heard: u64,
}

pub struct World {
    pub now: u64,
    pub rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, Event>,
    count: u64,
    pub hosts: Vec<Host>,
    pub service: Option<Service>,
    service_life: u32,
    pub found: StoredState,
    pub rules: Rules,
    next_conn: u64,
    conns: BTreeMap<u64, usize>,
    pub lines: Vec<(u64, LogEvent)>,
    /// All accesses of all fronts lose this share of answers.
    pub storm: f64,
    /// By the number of a change: when it was published, and its token.
    pub published: BTreeMap<u64, (u64, String)>,
    pub in_force: BTreeMap<u64, u64>,
    pub taken_out: BTreeMap<u64, (u64, RemovalReason)>,
    /// The fronts that ever ran a change, by its token.
    pub reach: BTreeMap<String, BTreeSet<usize>>,
    /// Of a token: whose reach is looked at.
    watched: Vec<String>,
    edits: u64,
    /// Services that were started anew.
    pub epochs: u64,
    /// Kill the service at that many stored states from now.
    pub dies_at: Option<u32>,
    pub stores: u32,
    checked: u64,
    /// Effects of contents, by their hashes.
    known: BTreeMap<[u8; 32], Effects>,
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

fn effects(content: &[u8]) -> Effects {
    let text = String::from_utf8_lossy(content);
    let value = |key: &str| -> f64 {
        text.split(key).skip(1).filter_map(|rest| rest.split([' ', '\n']).next()?.parse::<f64>().ok()).sum()
    };
    let pairs = text.matches("pair").count();
    Effects {
        harm: value("harm=") + if pairs >= 2 { 0.1 } else { 0.0 },
        later: value("later="),
        refuse: text.contains("refuse"),
        fatal: text.contains("fatal"),
    }
}

/// A number of answers, nearly as a binomial distribution gives it.
fn drawn(rng: &mut Rng, of: u64, share: f64) -> u64 {
    let share = share.clamp(0.0, 1.0);
    if of < 40 {
        return (0..of).filter(|_| rng.f64() < share).count() as u64;
    }
    let normal = (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    let n = of as f64;
    (n * share + normal * (n * share * (1.0 - share)).sqrt()).round().clamp(0.0, n) as u64
}

impl World {
    /// With fronts at a tenth as many stations, 930 accesses a second each, and round trips of 10 to 150 ms.
    pub fn new(seed: u64, fronts: usize, rules: Rules) -> World {
        let mut rng = Rng::with_seed(seed);
        let host = |rng: &mut Rng| Host {
            front: None,
            life: 0,
            conn: None,
            since: 0,
            good: None,
            staged: None,
            effects: Effects::default(),
            took: 0,
            content: None,
            share: 0.97 + 0.02 * rng.f64(),
            rate: 930.0,
            latency: 50 + rng.u64(0..700),
            asked: 0,
            answered: 0,
            counted: START,
            timer: 0,
            every: None,
            applied: 0,
            stopped: false,
            held: Vec::new(),
            lies: None,
            unruly: false,
            cut_off: false,
            last_sent: 0,
            last_heard: 0,
        };
        let hosts = (0..fronts).map(|_| host(&mut rng)).collect();
        let mut world = World {
            now: START,
            rng,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            count: 0,
            hosts,
            service: None,
            service_life: 0,
            found: StoredState::default(),
            rules,
            next_conn: 0,
            conns: BTreeMap::new(),
            lines: Vec::new(),
            storm: 0.0,
            published: BTreeMap::new(),
            in_force: BTreeMap::new(),
            taken_out: BTreeMap::new(),
            reach: BTreeMap::new(),
            watched: Vec::new(),
            edits: 0,
            epochs: 0,
            dies_at: None,
            stores: 0,
            checked: START,
            known: BTreeMap::new(),
            tokens: BTreeMap::new(),
        };
        world.start_service();
        (0..fronts).for_each(|n| world.start_front(n));
        world
    }

    /// One where a first content is everyone's, known, and each front has a long run.
    pub fn settled(seed: u64, fronts: usize, rules: Rules) -> World {
        let mut world = World::new(seed, fronts, rules);
        // Each is known by its long run before anything is tried.
        world.pass(40 * SECOND);
        let first: String = (0..LINES).map(|n| format!("member {n} = 0\n")).collect();
        let first = format!("{first}end c0;\n");
        let id = world.publish_content(&first, "c0;", 0).expect("the first is published");
        world.pass(40 * SECOND);
        assert!(world.in_force.contains_key(&id.number), "{:?}", world.lines.last());
        world
    }

    pub fn set_rate(&mut self, rate: f64) {
        for n in 0..self.hosts.len() {
            self.count_accesses(n);
            self.hosts[n].rate = rate;
        }
    }

    fn at(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + after, self.count)));
        self.what.insert(self.count, event);
    }

    // ---- starts, ends

    pub fn start_service(&mut self) {
        let mut out = Vec::new();
        self.service_life += 1;
        let found = self.found.clone();
        self.service = Some(Service::start(self.now, self.rules.clone(), keys(), found, &mut out));
        self.do_service(out);
    }

    pub fn kill_service(&mut self) {
        self.service = None;
        let open: Vec<_> = std::mem::take(&mut self.conns).into_iter().collect();
        open.into_iter().for_each(|(conn, n)| self.at(100, Event::Cut(n, conn)));
    }

    fn start_front(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.life += 1;
        (host.asked, host.answered, host.counted, host.every) = (0, 0, self.now, None);
        let found = front::StoredState { last_good: host.good.clone(), staged: host.staged };
        host.content = found.last_good.as_ref().map(|g| g.2.clone());
        host.effects = host.content.as_ref().map(|c| effects(c)).unwrap_or_default();
        host.took = self.now;
        let (mut out, name) = (Vec::new(), format!("front-{n}"));
        let seed = n as u64 + 1_000 * u64::from(host.life);
        let station = format!("station-{}", n % (self.hosts.len() / 10).max(3));
        let front = Front::start(self.now, seed, (&name, &station), keys(), found, Ok(()), &mut out);
        self.hosts[n].front = Some(front);
        self.do_front(n, out);
    }

    pub fn kill_front(&mut self, n: usize, back_after: u64) {
        self.lose_front(n);
        self.at(back_after, Event::Restart(n));
    }

    fn lose_front(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        host.front = None;
        host.life += 1;
        host.held.clear();
        if let Some(conn) = host.conn.take() {
            self.conns.remove(&conn);
            self.at(100, Event::Gone(conn));
        }
    }

    /// Its connection is lost and can't be made for so long.
    pub fn cut_front(&mut self, n: usize, heal_after: u64) {
        self.hosts[n].cut_off = true;
        if let Some(conn) = self.hosts[n].conn
            && self.conns.remove(&conn).is_some()
        {
            self.at(50, Event::Gone(conn));
            self.at(90, Event::Cut(n, conn));
        }
        self.at(heal_after, Event::Heal(n));
    }

    /// As SIGSTOP and SIGCONT: what comes meanwhile waits.
    pub fn stop_front(&mut self, n: usize) {
        self.count_accesses(n);
        self.hosts[n].stopped = true;
    }

    pub fn continue_front(&mut self, n: usize) {
        self.hosts[n].stopped = false;
        self.hosts[n].counted = self.now;
        // The bound runs from when it can be heard again.
        if self.hosts[n].since > 0 {
            self.hosts[n].since = self.now;
        }
        let held = std::mem::take(&mut self.hosts[n].held);
        held.into_iter().for_each(|event| self.at(1, event));
    }

    // ---- accesses

    fn count_accesses(&mut self, n: usize) {
        let (now, storm) = (self.now, self.storm);
        let host = &mut self.hosts[n];
        let seconds = now.saturating_sub(host.counted) as f64 / SECOND as f64;
        host.counted = now;
        if host.front.is_none() || host.stopped {
            return;
        }
        let asked = (host.rate * seconds + self.rng.f64()) as u64;
        let later = if now >= host.took + 10 * SECOND { host.effects.later } else { 0.0 };
        let share = host.share - host.effects.harm - later - storm;
        host.asked += asked;
        host.answered += drawn(&mut self.rng, asked, share);
    }

    /// From now on all fronts lose this share of their answers.
    pub fn set_storm(&mut self, storm: f64) {
        (0..self.hosts.len()).for_each(|n| self.count_accesses(n));
        self.storm = storm;
    }

    // ---- what the machines want

    fn do_front(&mut self, n: usize, out: Vec<front::Effect>) {
        let life = self.hosts[n].life;
        for each in out {
            let lag = self.hosts[n].latency + self.rng.u64(0..20);
            match each {
                front::Effect::Connect => {
                    let reachable = self.service.is_some() && !self.hosts[n].cut_off;
                    let event = if reachable { Event::Up(n, life) } else { Event::Refused(n, life) };
                    self.at(2 * lag, event);
                }
                front::Effect::Close => {
                    if let Some(conn) = self.hosts[n].conn.take()
                        && self.conns.remove(&conn).is_some()
                    {
                        self.at(lag, Event::Gone(conn));
                    }
                }
                front::Effect::Send(message) => {
                    let Some(conn) = self.hosts[n].conn else { continue };
                    let at = (self.now + lag).max(self.hosts[n].last_sent);
                    self.hosts[n].last_sent = at;
                    let report = matches!(message, ToService::Report { .. });
                    if self.hosts[n].unruly && report {
                        match self.rng.u8(0..4) {
                            0 => continue,
                            1 => {
                                let late = at - self.now + self.rng.u64(0..SECOND);
                                self.at(late, Event::ToService(conn, message.clone()));
                            }
                            _ => {}
                        }
                    }
                    self.at(at - self.now, Event::ToService(conn, message));
                }
                front::Effect::SetTimer(at) => self.at(at.saturating_sub(self.now), Event::FrontDue(n, life)),
                front::Effect::Log(_) => {}
                front::Effect::Unstage => self.hosts[n].staged = None,
                front::Effect::SetReportInterval { interval: every } => {
                    self.hosts[n].timer += 1;
                    self.hosts[n].every = every;
                    let timer = self.hosts[n].timer;
                    if every.is_some() {
                        self.at(0, Event::Report(n, life, timer));
                    }
                }
                shell => {
                    let work = self.rng.u64(10..50);
                    self.at(work, Event::Shell(n, life, shell));
                }
            }
        }
    }

    fn do_service(&mut self, out: Vec<service::Effect>) {
        for each in out {
            match each {
                service::Effect::Send(conn, message) => {
                    let Some(&n) = self.conns.get(&conn) else { continue };
                    if let ToFront::Offer { id } = &message {
                        let runs = self.hosts[n].front.as_ref().and_then(Front::running);
                        assert!(
                            runs.is_none_or(|r| r.position() < id.position()),
                            "a lower number is offered"
                        );
                    }
                    let at = (self.now + self.hosts[n].latency + self.rng.u64(0..20))
                        .max(self.hosts[n].last_heard);
                    self.hosts[n].last_heard = at;
                    self.at(at - self.now, Event::ToFront(n, conn, message));
                }
                service::Effect::Close(conn) => {
                    if let Some(n) = self.conns.remove(&conn) {
                        self.at(700, Event::Cut(n, conn));
                    }
                }
                service::Effect::Store(version) => {
                    self.found.versions.retain(|v| v.id.number != version.id.number);
                    self.found.versions.push(version);
                }
                service::Effect::StoreState { epoch, base, rollout } => {
                    self.found.versions.retain(|v| v.id.epoch == epoch);
                    (self.found.epoch, self.found.base, self.found.rollout) = (epoch, base, rollout);
                }
                service::Effect::StoreTrials(saved) => {
                    self.found.trials = Some(saved);
                    self.stores += 1;
                    if self.dies_at == Some(self.stores) {
                        // What came after this in the same step is lost with it.
                        self.kill_service();
                        return;
                    }
                }
                service::Effect::Delete(id) => self.found.versions.retain(|v| v.id != id),
                service::Effect::SetTimer(at) => {
                    let life = self.service_life;
                    self.at(at.saturating_sub(self.now).max(1), Event::ServiceDue(life));
                }
                service::Effect::Log(line) => self.told(line),
            }
        }
    }

    fn told(&mut self, line: LogEvent) {
        match &line {
            LogEvent::InForce(id) => {
                self.in_force.entry(id.number).or_insert(self.now);
                if let Some((_, token)) = self.published.get(&id.number) {
                    for &n in self.conns.values() {
                        let host = &self.hosts[n];
                        let content = host.content.as_ref().filter(|_| host.front.is_some());
                        let has =
                            content.is_some_and(|c| String::from_utf8_lossy(c).contains(token.as_str()));
                        // One that is connected and has not said its first word is not known yet.
                        let heard = host.since > 0;
                        assert!(
                            has || !heard || host.front.is_none(),
                            "{id} told in force while front {n}, connected, lacks it: it runs {:?}, the service has it at {:?}; {}",
                            host.front.as_ref().and_then(Front::running),
                            self.service.as_ref().and_then(|s| s
                                .fronts()
                                .find(|f| f.front == format!("front-{n}"))
                                .map(|f| (f.connected, f.running, f.state))),
                            self.story()
                        );
                    }
                }
            }
            LogEvent::ChangeRemoved { change, reason: why } => {
                self.taken_out.entry(*change).or_insert((self.now, why.clone()));
            }
            _ => {}
        }
        self.lines.push((self.now, line));
    }

    pub fn on_front(&mut self, n: usize, act: impl FnOnce(&mut Front, u64, &mut Vec<front::Effect>)) {
        let mut out = Vec::new();
        if let Some(front) = &mut self.hosts[n].front {
            act(front, self.now, &mut out);
        }
        self.do_front(n, out);
    }

    pub fn on_service<T>(
        &mut self,
        act: impl FnOnce(&mut Service, u64, &mut Vec<service::Effect>) -> T,
    ) -> Option<T> {
        let (mut out, now) = (Vec::new(), self.now);
        let result = self.service.as_mut().map(|s| act(s, now, &mut out));
        self.do_service(out);
        result
    }

    fn shell(&mut self, n: usize, asked: front::Effect) {
        match asked {
            front::Effect::Check(id, content) => {
                let refuse = self.effects_of(&id, &content).refuse;
                let result = if refuse { Err(RejectionReason::Unusable("refused".into())) } else { Ok(()) };
                self.on_front(n, |f, now, out| f.on_checked(now, id, result, out));
            }
            front::Effect::Stage { id, crashes: falls } => {
                self.hosts[n].staged = Some((id, falls));
                self.on_front(n, |f, now, out| f.on_staged(now, id, out));
            }
            front::Effect::Apply(id, content) => {
                let runs = self.hosts[n].front.as_ref().and_then(Front::running);
                assert!(runs.is_none_or(|r| r.position() < id.position()), "an older version is applied");
                let effects = self.effects_of(&id, &content);
                if effects.fatal {
                    return self.kill_front(n, 2 * SECOND);
                }
                self.count_accesses(n);
                let host = &mut self.hosts[n];
                (host.effects, host.took, host.content) = (effects, self.now, Some(content.clone()));
                self.hosts[n].applied += 1;
                self.reached(n, &id);
                self.on_front(n, |f, now, out| f.on_applied(now, id, Ok(()), out));
            }
            front::Effect::Store(id, seal, content) => {
                (self.hosts[n].good, self.hosts[n].staged) = (Some((id, seal, content)), None);
                self.on_front(n, |f, now, out| f.on_stored(now, id, true, out));
            }
            _ => {}
        }
    }

    fn effects_of(&mut self, id: &VersionId, content: &[u8]) -> Effects {
        *self.known.entry(id.hash).or_insert_with(|| effects(content))
    }

    fn reached(&mut self, n: usize, id: &VersionId) {
        let Some(content) = &self.hosts[n].content else { return };
        let watched = &self.watched;
        let tokens = self.tokens.entry(id.hash).or_insert_with(|| {
            let text = String::from_utf8_lossy(content);
            // Long settled ones are in everything.
            (watched.len().saturating_sub(40)..watched.len())
                .filter(|t| text.contains(watched[*t].as_str()))
                .collect()
        });
        for token in tokens.iter() {
            self.reach.entry(self.watched[*token].clone()).or_default().insert(n);
        }
    }

    // ---- time

    fn stopped(&self, event: &Event) -> Option<usize> {
        let n = match event {
            Event::ToFront(n, ..)
            | Event::Shell(n, ..)
            | Event::Up(n, _)
            | Event::Refused(n, _)
            | Event::Cut(n, _)
            | Event::FrontDue(n, _)
            | Event::Report(n, ..) => *n,
            _ => return None,
        };
        self.hosts[n].stopped.then_some(n)
    }

    pub fn step(&mut self) -> bool {
        let Some(Reverse((at, number))) = self.events.pop() else { return false };
        let Some(event) = self.what.remove(&number) else { return true };
        self.now = self.now.max(at);
        if let Some(n) = self.stopped(&event) {
            self.hosts[n].held.push(event);
            return true;
        }
        match event {
            Event::Up(n, life)
                if self.hosts[n].life == life && self.service.is_some() && !self.hosts[n].cut_off =>
            {
                self.next_conn += 1;
                let conn = self.next_conn;
                (self.hosts[n].conn, self.hosts[n].since) = (Some(conn), 0);
                self.conns.insert(conn, n);
                self.on_front(n, |f, now, out| f.on_connected(now, out));
            }
            Event::Up(n, life) | Event::Refused(n, life) if self.hosts[n].life == life => {
                self.on_front(n, |f, now, out| f.on_disconnected(now, out));
            }
            Event::ToService(conn, message) if self.conns.contains_key(&conn) => {
                if matches!(message, ToService::Hello { .. }) {
                    let n = self.conns[&conn];
                    self.hosts[n].since = self.now;
                }
                self.on_service(|s, now, out| s.on_message(now, conn, message, out));
            }
            Event::ToFront(n, conn, message) if self.hosts[n].conn == Some(conn) => {
                self.on_front(n, |f, now, out| f.on_message(now, message, out));
            }
            Event::Cut(n, conn) if self.hosts[n].conn == Some(conn) => {
                self.hosts[n].conn = None;
                self.on_front(n, |f, now, out| f.on_disconnected(now, out));
            }
            Event::Gone(conn) => {
                self.on_service(|s, now, out| s.on_disconnected(now, conn, out));
            }
            Event::Shell(n, life, asked) if self.hosts[n].life == life => self.shell(n, asked),
            Event::FrontDue(n, life) if self.hosts[n].life == life => {
                self.on_front(n, |f, now, out| f.on_timer(now, out));
            }
            Event::ServiceDue(life) if self.service_life == life => {
                self.on_service(|s, now, out| s.on_timer(now, out));
            }
            Event::Restart(n) if self.hosts[n].front.is_none() => self.start_front(n),
            Event::Heal(n) => self.hosts[n].cut_off = false,
            Event::Report(n, life, timer) if self.hosts[n].life == life && self.hosts[n].timer == timer => {
                self.count_accesses(n);
                let (asked, mut answered) = (self.hosts[n].asked, self.hosts[n].answered);
                if let Some(lie) = self.hosts[n].lies {
                    answered = (answered as f64 * lie) as u64;
                }
                self.on_front(n, |f, _, out| f.report(asked, answered, out));
                if let Some(every) = self.hosts[n].every {
                    self.at(every, Event::Report(n, life, timer));
                }
            }
            _ => {}
        }
        if self.now >= self.checked + SECOND {
            self.checked = self.now;
            self.check_withdrawn();
        }
        true
    }

    fn check_withdrawn(&self) {
        for (number, (at, why)) in &self.taken_out {
            let Some((_, token)) = self.published.get(number) else { continue };
            // Nobody is given it anew: looked at for a minute.
            if self.now < at + BOUND || self.now > at + 60 * SECOND {
                continue;
            }
            for &n in self.conns.values() {
                let host = &self.hosts[n];
                if host.stopped || host.since == 0 || self.now < host.since + BOUND {
                    continue;
                }
                let runs = host.content.as_ref().filter(|_| host.front.is_some());
                let has = runs.is_some_and(|c| String::from_utf8_lossy(c).contains(token.as_str()));
                assert!(
                    !has,
                    "front {n}, connected, runs change {number}, taken out {why:?} {} ago: it runs {:?}, {}",
                    self.now - at,
                    host.front.as_ref().and_then(Front::running),
                    self.story()
                );
            }
        }
    }

    pub fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Until it holds, or a time is over.
    pub fn until(&mut self, time: u64, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.pass(SECOND / 20);
        }
        holds(self)
    }

    // ---- publications

    pub fn publish_content(
        &mut self,
        content: &str,
        token: &str,
        expects: u64,
    ) -> Result<VersionId, PublishError> {
        let bytes: Arc<[u8]> = content.as_bytes().into();
        let result = self.on_service(|s, now, out| s.publish(now, bytes, token, expects, out));
        let result = result.unwrap_or(Err(PublishError::NoSuchVersion));
        if let Ok(id) = &result {
            self.published.insert(id.number, (self.now, token.into()));
            self.watched.push(token.into());
        }
        result
    }

    pub fn head(&self) -> String {
        let service = self.service.as_ref().expect("the service runs");
        let head = service.version(service.last()).map(|v| v.content.clone()).unwrap_or_default();
        String::from_utf8_lossy(&head).into_owned()
    }

    /// The newest content with one more line written: `what` is its effect.
    pub fn change(&mut self, what: &str) -> Result<VersionId, PublishError> {
        let line = (2 * self.edits as usize) % LINES;
        self.change_line(line, what)
    }

    pub fn change_line(&mut self, line: usize, what: &str) -> Result<VersionId, PublishError> {
        self.edits += 1;
        let token = format!("c{};", self.edits);
        let mut content = String::new();
        for (n, old) in self.head().lines().enumerate() {
            match n == line {
                true => content += &format!("member {n} = {token} {what}\n"),
                false => content += &format!("{old}\n"),
            }
        }
        if !content.contains(&token) {
            // A service that lost its store has nothing to change.
            content += &format!("member {line} = {token} {what}\n");
        }
        let last = self.service.as_ref().map_or(0, Service::last);
        self.publish_content(&content, &token, last)
    }

    pub fn state(&self, number: u64) -> Option<ChangeState> {
        let mut service = self.service.clone()?;
        let (role, mut out) = (service::Role::Viewer, Vec::new());
        match service.handle_request(self.now, role, service::Request::Changes, |_| Ok(()), &mut out) {
            service::Response::Changes(rows) => {
                rows.into_iter().find(|r| r.number == number).map(|r| r.state)
            }
            _ => None,
        }
    }

    /// Seconds from its publication until it was told in force.
    pub fn took(&self, number: u64) -> Option<f64> {
        let at = self.in_force.get(&number)?;
        Some((at - self.published.get(&number)?.0) as f64 / SECOND as f64)
    }

    pub fn reach_of(&self, number: u64) -> usize {
        self.published.get(&number).and_then(|p| self.reach.get(&p.1)).map_or(0, BTreeSet::len)
    }

    /// What has been told lately, for whoever looks why a test fails.
    pub fn story(&self) -> String {
        let since = |at: u64| (at - START) as f64 / SECOND as f64;
        let lines =
            self.lines.iter().rev().take(12).rev().map(|(at, line)| format!("{:.2} {line:?}", since(*at)));
        let open = self.published.keys().filter(|n| !self.in_force.contains_key(n));
        let open: Vec<_> = open.map(|n| (*n, self.state(*n))).collect();
        format!("at {:.2}: {}\nopen: {open:?}", since(self.now), lines.collect::<Vec<_>>().join("\n"))
    }

    /// Whether a front runs a content that holds the change's line.
    pub fn has(&self, n: usize, number: u64) -> bool {
        let Some((_, token)) = self.published.get(&number) else { return false };
        let host = &self.hosts[n];
        let content = host.content.as_ref().filter(|_| host.front.is_some());
        content.is_some_and(|c| String::from_utf8_lossy(c).contains(token.as_str()))
    }

    /// A content in place of the head.
    pub fn publish_text(&mut self, content: &str) -> Result<VersionId, PublishError> {
        let last = self.service.as_ref().map_or(0, Service::last);
        self.publish_content(content, content.trim_end(), last)
    }

    /// Fronts whose running content holds the change's line.
    pub fn having(&self, number: u64) -> usize {
        (0..self.hosts.len()).filter(|&n| self.has(n, number)).count()
    }
}

/// The value that this share of the values is at most.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(at - 1).copied().unwrap_or(f64::NAN)
}
