//! Measures how fronts reconnect after the configuration service was down for three minutes: how long until all are back,
//! and how many `Hello` messages, which cost the service most, arrive in the busiest second relative to the mean. The
//! real state machines of the fronts and of the service run in virtual time, without sockets. The baseline is computed,
//! not simulated: without jitter, fronts that lost their connections at the same moment and retry every second would all
//! arrive in the same second at a service that admits everybody.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use doorgrade_versions::front::{self, Front};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::seal::Keys;
use doorgrade_versions::service::{self, Rules, Service};
use fastrand::Rng;

use crate::{Figures, RunArgs};

const SECOND: u64 = 10_000;
const OUTAGE: u64 = 180 * SECOND;

enum Event {
    /// A front, by its index, opens a connection.
    Connect(usize),
    /// A message on a connection arrives at the service.
    AtService(u64, ToService),
    /// A message on a connection arrives at a front.
    AtFront(usize, u64, ToFront),
    FrontTimer(usize),
    ServiceTimer,
}

struct Simulation {
    now: u64,
    rng: Rng,
    /// Time and number of each event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// By their numbers.
    events: BTreeMap<u64, Event>,
    event_count: u64,
    fronts: Vec<Front>,
    /// The connection of each front.
    connections: Vec<Option<u64>>,
    front_of_connection: BTreeMap<u64, usize>,
    last_connection: u64,
    service: Option<Service>,
    /// `Hello` messages by the second since the service came back.
    hellos: BTreeMap<u64, u64>,
    welcomes: usize,
    /// When the service came back.
    restarted_at: u64,
}

impl Simulation {
    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((self.now + delay, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    fn apply_front_effects(&mut self, n: usize, effects: Vec<front::Effect>) {
        for effect in effects {
            let latency = 1 + self.rng.u64(0..100);
            match effect {
                front::Effect::Connect => self.schedule(latency, Event::Connect(n)),
                front::Effect::Close => {
                    if let Some(connection) = self.connections[n].take() {
                        self.front_of_connection.remove(&connection);
                        let mut effects = Vec::new();
                        self.service
                            .iter_mut()
                            .for_each(|s| s.on_disconnected(self.now, connection, &mut effects));
                        self.apply_service_effects(effects);
                    }
                }
                front::Effect::Send(message) => {
                    if let Some(connection) = self.connections[n] {
                        self.schedule(latency, Event::AtService(connection, message));
                    }
                }
                front::Effect::SetTimer(at) => {
                    self.schedule(at.saturating_sub(self.now), Event::FrontTimer(n))
                }
                _ => {}
            }
        }
    }

    fn apply_service_effects(&mut self, effects: Vec<service::Effect>) {
        for effect in effects {
            let latency = 1 + self.rng.u64(0..100);
            match effect {
                service::Effect::Send(connection, message) => {
                    let Some(&n) = self.front_of_connection.get(&connection) else { continue };
                    self.welcomes += usize::from(matches!(message, ToFront::Welcome { .. }));
                    self.schedule(latency, Event::AtFront(n, connection, message));
                }
                service::Effect::SetTimer(at) => {
                    self.schedule(at.saturating_sub(self.now).max(1), Event::ServiceTimer)
                }
                _ => {}
            }
        }
    }

    /// Handles the next event until the deadline; false if there is none.
    fn step(&mut self, deadline: u64) -> bool {
        let Some(&Reverse((at, number))) = self.queue.peek().filter(|Reverse((at, _))| *at <= deadline)
        else {
            self.now = deadline;
            return false;
        };
        self.queue.pop();
        self.now = self.now.max(at);
        let now = self.now;
        match self.events.remove(&number) {
            Some(Event::Connect(n)) => {
                let mut effects = Vec::new();
                if self.service.is_some() {
                    self.last_connection += 1;
                    (self.connections[n], _) = (
                        Some(self.last_connection),
                        self.front_of_connection.insert(self.last_connection, n),
                    );
                    self.fronts[n].on_connected(now, &mut effects);
                } else {
                    self.fronts[n].on_disconnected(now, &mut effects);
                }
                self.apply_front_effects(n, effects);
            }
            Some(Event::AtService(connection, message))
                if self.front_of_connection.contains_key(&connection) =>
            {
                if matches!(message, ToService::Hello { .. }) && now >= self.restarted_at {
                    *self.hellos.entry((now - self.restarted_at) / SECOND).or_default() += 1;
                }
                let mut effects = Vec::new();
                self.service
                    .iter_mut()
                    .for_each(|s| s.on_message(now, connection, message.clone(), &mut effects));
                self.apply_service_effects(effects);
            }
            Some(Event::AtFront(n, connection, message)) if self.connections[n] == Some(connection) => {
                let mut effects = Vec::new();
                self.fronts[n].on_message(now, message, &mut effects);
                self.apply_front_effects(n, effects);
            }
            Some(Event::FrontTimer(n)) => {
                let mut effects = Vec::new();
                self.fronts[n].on_timer(now, &mut effects);
                self.apply_front_effects(n, effects);
            }
            Some(Event::ServiceTimer) => {
                let mut effects = Vec::new();
                self.service.iter_mut().for_each(|s| s.on_timer(now, &mut effects));
                self.apply_service_effects(effects);
            }
            _ => {}
        }
        true
    }
}

pub fn run(run_args: &RunArgs, figures: &mut Figures) {
    let count = if run_args.quick { 2_000 } else { 10_000 };
    let keys = || Keys::new(vec![(1, b"a key".to_vec())]);
    let start = 17_000_000_000_000;
    let mut simulation = Simulation {
        now: start,
        rng: Rng::with_seed(run_args.seed),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        event_count: 0,
        fronts: Vec::new(),
        connections: vec![None; count],
        front_of_connection: BTreeMap::new(),
        last_connection: 0,
        service: None,
        hellos: BTreeMap::new(),
        welcomes: 0,
        restarted_at: u64::MAX,
    };
    let mut effects = Vec::new();
    simulation.service =
        Some(Service::start(start, Rules::default(), keys(), service::StoredState::default(), &mut effects));
    simulation.apply_service_effects(effects);
    for n in 0..count {
        let mut effects = Vec::new();
        let (name, station) = (format!("front-{n}"), format!("station-{}", n % 50));
        let stored = front::StoredState::default();
        let seed = run_args.seed.wrapping_mul(1 << 20).wrapping_add(n as u64);
        simulation.fronts.push(Front::start(
            start,
            seed,
            (&name, &station),
            keys(),
            stored,
            Ok(()),
            &mut effects,
        ));
        simulation.apply_front_effects(n, effects);
    }
    while simulation.step(start + 120 * SECOND) {}
    // The service goes down; all connections end at the same moment.
    simulation.service = None;
    simulation.front_of_connection.clear();
    for n in 0..count {
        let mut effects = Vec::new();
        if simulation.connections[n].take().is_some() {
            simulation.fronts[n].on_disconnected(simulation.now, &mut effects);
        }
        simulation.apply_front_effects(n, effects);
    }
    let restarted_at = simulation.now + OUTAGE;
    while simulation.step(restarted_at) {}
    (simulation.restarted_at, simulation.welcomes) = (restarted_at, 0);
    let mut effects = Vec::new();
    simulation.service = Some(Service::start(
        restarted_at,
        Rules::default(),
        keys(),
        service::StoredState::default(),
        &mut effects,
    ));
    simulation.apply_service_effects(effects);
    while simulation.welcomes < count && simulation.now < restarted_at + 3_600 * SECOND {
        if !simulation.step(restarted_at + 3_600 * SECOND) {
            break;
        }
    }
    let recovery_s = ((simulation.now - restarted_at) as f64 / SECOND as f64).max(1.0);
    let hellos: u64 = simulation.hellos.values().sum();
    let peak = simulation.hellos.values().copied().max().unwrap_or(0) as f64;
    figures.put("virtual_fronts", count);
    figures.put("back", simulation.welcomes);
    figures.put_rounded("recovery_s", recovery_s);
    figures.put("first_words", hellos);
    figures.put("busiest_second", peak);
    figures.put_rounded("reconnect_peak_ratio", peak / (hellos as f64 / recovery_s));
    // All of them in the first second after the restart, relative to the same mean.
    figures.put_rounded("reckoned_baseline_peak_ratio", count as f64 / (count as f64 / recovery_s));
}
