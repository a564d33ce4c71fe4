//! Fronts that come back after the service of versions was away: both machines as they are, in virtual time and
//! without sockets. What counts is first words, which cost the service most. The baseline is reckoned, not played: fronts
//! without jitter lost their connections in one moment and try again each second, so all come in one second to a
//! service that lets everybody in.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use doorgrade_versions::front::{self, Front};
use doorgrade_versions::message::{ToFront, ToService};
use doorgrade_versions::seal::Keys;
use doorgrade_versions::service::{self, Rules, Service};
use fastrand::Rng;

use crate::{Figures, RunArgs};

const SECOND: u64 = 10_000;
const AWAY: u64 = 180 * SECOND;

enum Event {
    Connects(usize),
    Says(u64, ToService),
    Told(usize, u64, ToFront),
    FrontDue(usize),
    ServiceDue,
}

struct World {
    now: u64,
    rng: Rng,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, Event>,
    count: u64,
    fronts: Vec<Front>,
    conns: Vec<Option<u64>>,
    of_conn: BTreeMap<u64, usize>,
    next_conn: u64,
    service: Option<Service>,
    /// First words by the second since the service came back.
    words: BTreeMap<u64, u64>,
    welcome: usize,
    back_at: u64,
}

impl World {
    fn at(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((self.now + after, self.count)));
        self.what.insert(self.count, event);
    }

    fn do_front(&mut self, n: usize, out: Vec<front::Effect>) {
        for each in out {
            let lag = 1 + self.rng.u64(0..100);
            match each {
                front::Effect::Connect => self.at(lag, Event::Connects(n)),
                front::Effect::Close => {
                    if let Some(conn) = self.conns[n].take() {
                        self.of_conn.remove(&conn);
                        let mut out = Vec::new();
                        self.service.iter_mut().for_each(|s| s.on_disconnected(self.now, conn, &mut out));
                        self.do_service(out);
                    }
                }
                front::Effect::Send(message) => {
                    if let Some(conn) = self.conns[n] {
                        self.at(lag, Event::Says(conn, message));
                    }
                }
                front::Effect::SetTimer(at) => self.at(at.saturating_sub(self.now), Event::FrontDue(n)),
                _ => {}
            }
        }
    }

    fn do_service(&mut self, out: Vec<service::Effect>) {
        for each in out {
            let lag = 1 + self.rng.u64(0..100);
            match each {
                service::Effect::Send(conn, message) => {
                    let Some(&n) = self.of_conn.get(&conn) else { continue };
                    self.welcome += usize::from(matches!(message, ToFront::Welcome { .. }));
                    self.at(lag, Event::Told(n, conn, message));
                }
                service::Effect::SetTimer(at) => {
                    self.at(at.saturating_sub(self.now).max(1), Event::ServiceDue)
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, until: u64) -> bool {
        let Some(&Reverse((at, number))) = self.heap.peek().filter(|Reverse((at, _))| *at <= until) else {
            self.now = until;
            return false;
        };
        self.heap.pop();
        self.now = self.now.max(at);
        let now = self.now;
        match self.what.remove(&number) {
            Some(Event::Connects(n)) => {
                let mut out = Vec::new();
                if self.service.is_some() {
                    self.next_conn += 1;
                    (self.conns[n], _) = (Some(self.next_conn), self.of_conn.insert(self.next_conn, n));
                    self.fronts[n].on_connected(now, &mut out);
                } else {
                    self.fronts[n].on_disconnected(now, &mut out);
                }
                self.do_front(n, out);
            }
            Some(Event::Says(conn, message)) if self.of_conn.contains_key(&conn) => {
                if matches!(message, ToService::Hello { .. }) && now >= self.back_at {
                    *self.words.entry((now - self.back_at) / SECOND).or_default() += 1;
                }
                let mut out = Vec::new();
                self.service.iter_mut().for_each(|s| s.on_message(now, conn, message.clone(), &mut out));
                self.do_service(out);
            }
            Some(Event::Told(n, conn, message)) if self.conns[n] == Some(conn) => {
                let mut out = Vec::new();
                self.fronts[n].on_message(now, message, &mut out);
                self.do_front(n, out);
            }
            Some(Event::FrontDue(n)) => {
                let mut out = Vec::new();
                self.fronts[n].on_timer(now, &mut out);
                self.do_front(n, out);
            }
            Some(Event::ServiceDue) => {
                let mut out = Vec::new();
                self.service.iter_mut().for_each(|s| s.on_timer(now, &mut out));
                self.do_service(out);
            }
            _ => {}
        }
        true
    }
}

pub fn run(how: &RunArgs, figures: &mut Figures) {
    let count = if how.quick { 2_000 } else { 10_000 };
    let keys = || Keys::new(vec![(1, b"a key".to_vec())]);
    let start = 17_000_000_000_000;
    let mut w = World {
        now: start,
        rng: Rng::with_seed(how.seed),
        heap: BinaryHeap::new(),
        what: BTreeMap::new(),
        count: 0,
        fronts: Vec::new(),
        conns: vec![None; count],
        of_conn: BTreeMap::new(),
        next_conn: 0,
        service: None,
        words: BTreeMap::new(),
        welcome: 0,
        back_at: u64::MAX,
    };
    let mut out = Vec::new();
    w.service =
        Some(Service::start(start, Rules::default(), keys(), service::StoredState::default(), &mut out));
    w.do_service(out);
    for n in 0..count {
        let mut out = Vec::new();
        let (name, station) = (format!("front-{n}"), format!("station-{}", n % 50));
        let found = front::StoredState::default();
        let seed = how.seed.wrapping_mul(1 << 20).wrapping_add(n as u64);
        w.fronts.push(Front::start(start, seed, (&name, &station), keys(), found, Ok(()), &mut out));
        w.do_front(n, out);
    }
    while w.step(start + 120 * SECOND) {}
    // It is gone for three minutes; all connections end in the same moment.
    w.service = None;
    w.of_conn.clear();
    for n in 0..count {
        let mut out = Vec::new();
        if w.conns[n].take().is_some() {
            w.fronts[n].on_disconnected(w.now, &mut out);
        }
        w.do_front(n, out);
    }
    let back = w.now + AWAY;
    while w.step(back) {}
    (w.back_at, w.welcome) = (back, 0);
    let mut out = Vec::new();
    w.service =
        Some(Service::start(back, Rules::default(), keys(), service::StoredState::default(), &mut out));
    w.do_service(out);
    while w.welcome < count && w.now < back + 3_600 * SECOND {
        if !w.step(back + 3_600 * SECOND) {
            break;
        }
    }
    let recovery = ((w.now - back) as f64 / SECOND as f64).max(1.0);
    let words: u64 = w.words.values().sum();
    let peak = w.words.values().copied().max().unwrap_or(0) as f64;
    figures.put("virtual_fronts", count);
    figures.put("back", w.welcome);
    figures.put_rounded("recovery_s", recovery);
    figures.put("first_words", words);
    figures.put("busiest_second", peak);
    figures.put_rounded("reconnect_peak_ratio", peak / (words as f64 / recovery));
    // All of them in the one second after its return, over the same mean.
    figures.put_rounded("reckoned_baseline_peak_ratio", count as f64 / (count as f64 / recovery));
}
