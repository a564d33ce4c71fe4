//! What limits and budgets cost after a mass death, in virtual time: fronts of the very module before caches that work on
//! so much at once, at several loads. Seven in ten die and stay dead for ten seconds; then all die and are back a second
//! later. Beside the module as it is stand bounds of what could be had: fronts that lived and are told at once by how many
//! they share, and fronts that come back with all that they knew. Figures of this are simulated.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use doorgrade::*;
use fastrand::Rng;
use rayon::prelude::*;

use crate::{Figures, How};

const S: Tenths = 10_000;
const FRONTS: usize = 20;
const DEAD: usize = 14;
const CACHES: usize = 8;
/// Each works on so many at once, 40 ms each on the mean.
const AT_ONCE: usize = 4;
const WORK: f64 = 400.0;
const CAPACITY: f64 = (CACHES * AT_ONCE) as f64 / (WORK / S as f64);
const SOFT: Tenths = 4_000;
const MISS: f64 = 0.03;
const FILL: Tenths = 600;
const KILL: Tenths = 20 * S;
const BACK: Tenths = 30 * S;
const ALL: Tenths = 45 * S;
const END: Tenths = 55 * S;

#[derive(Clone, Copy, PartialEq)]
enum Known {
    AsItIs,
    /// Those that live are told at once, or so much later; those that come back have their whole state.
    AtOnce,
    After(Tenths),
}

#[derive(Default)]
struct Out {
    pushes: Vec<(AccessId, usize, bool, Tenths)>,
    ended: Vec<AccessId>,
    wakes: Vec<(Tenths, u64)>,
}

impl Outlet for Out {
    fn push(&mut self, p: &Push<'_>) {
        let cache = p.cache.strip_prefix("cache-").and_then(|n| n.parse().ok()).unwrap_or(CACHES);
        self.pushes.push((p.access, cache, p.cache != p.source, p.wait));
    }
    fn withdraw(&mut self, _: AccessId, _: usize) {}
    fn decline(&mut self, access: AccessId, _: Tenths) {
        self.ended.push(access);
    }
    fn give_up(&mut self, access: AccessId) {
        self.ended.push(access);
    }
    fn wake(&mut self, at: Tenths, key: u64) {
        self.wakes.push((at, key));
    }
    fn follow_list(&mut self) {}
    fn log(&mut self, _: std::fmt::Arguments<'_>) {}
}

enum What {
    Arrive,
    Answer(AccessId, usize, Outcome, Note, Tenths),
    Wake(u64),
}

/// When, a number, at which front and in which life.
struct Due(Tenths, u64, usize, u32, What);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

fn settings() -> Settings {
    let offering = Offering {
        soft: SOFT,
        stretch: 0.0,
        benefit: 1.0,
        effect: Effect::Idempotent,
        fresh: 0,
        uncacheable: false,
    };
    let cold = Cold { from: 0.2, lasts: 80_000, multiple: 3.0, window: 15_000 };
    Settings {
        offerings: vec![offering],
        zone: 0,
        crew: FRONTS as u32,
        parent_kind: None,
        origin_kind: Some(1),
        notes: Notes::All,
        may: Powers { joins: true, straight: true, cancels: false, second_copies: true },
        advice: 0,
        max_pushes: 4,
        weights: false,
        list_on_request: false,
        quantum: 1,
        flow_kb_per_s: 0.0,
        cold,
        parent_cold: cold,
        purge_done: 60_000,
    }
}

fn list() -> Vec<Member> {
    let member = |id: String, zone, kind| Member {
        id: id.into(),
        zone,
        kind,
        cell: 0,
        standing: Standing::Listed,
        weight: 1.0,
        started: None,
    };
    let mut all: Vec<_> = (0..CACHES).map(|n| member(format!("cache-{n}"), 0, 0)).collect();
    all.push(member("origin".into(), 1, 1));
    all
}

struct One {
    front: Front,
    life: u32,
    up: bool,
    /// Pushes of each open access, and when it was asked.
    open: HashMap<AccessId, (Tenths, usize, bool)>,
}

struct World {
    now: Tenths,
    rng: Rng,
    all: Vec<One>,
    caches: Vec<[Tenths; AT_ONCE]>,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
    next: AccessId,
    /// Offered, in time, declined, by tenth of a second.
    seconds: Vec<[f64; 3]>,
}

impl World {
    fn fresh(seed: u64, now: Tenths) -> Front {
        let mut front = Front::new(&settings(), seed);
        front.listed(now, &list(), true, &mut Out::default());
        front
    }

    fn put(&mut self, at: Tenths, n: usize, what: What) {
        self.number += 1;
        let life = self.all.get(n).map_or(0, |o| o.life);
        self.queue.push(Reverse(Due(at, self.number, n, life, what)));
    }

    fn count(&mut self, at: Tenths, what: usize) {
        if let Some(second) = self.seconds.get_mut((at / 1_000) as usize) {
            second[what] += 1.0;
        }
    }

    fn perform(&mut self, n: usize, out: Out) {
        let now = self.now;
        for id in out.ended {
            let Some(open) = self.all[n].open.get_mut(&id) else { continue };
            let at = open.0;
            if !std::mem::replace(&mut open.2, true) {
                self.count(at, 2);
            }
        }
        for (at, key) in out.wakes {
            self.put(at, n, What::Wake(key));
        }
        for (id, cache, filled, wait) in out.pushes {
            let push = self.all[n].open.get_mut(&id).map_or(0, |o| {
                o.1 += 1;
                o.1 - 1
            });
            let begins = now + 5;
            let (finish, miss) = if cache < CACHES {
                let place = self.caches[cache].iter_mut().min().expect("some");
                let work = -WORK * (1.0 - self.rng.f64()).ln();
                *place = begins.max(*place) + work as Tenths;
                (*place + 5, self.rng.f64() < MISS)
            } else {
                (begins + FILL, false)
            };
            let (finish, outcome, note) = match (miss, filled) {
                (false, _) => (finish, Outcome::Handled, Note::Hit),
                (true, true) => (finish + FILL, Outcome::Handled, Note::FilledByOrigin),
                (true, false) => (finish, Outcome::Miss, Note::Untold),
            };
            let (at, outcome) =
                if finish > now + wait { (now + wait, Outcome::TimedOut) } else { (finish, outcome) };
            self.put(at, n, What::Answer(id, push, outcome, note, at - now));
        }
    }

    fn step(&mut self, Due(at, _, n, life, what): Due, rate: f64) {
        self.now = at;
        if let What::Arrive = what {
            let gap = -(1.0 - self.rng.f64()).ln() / rate * S as f64;
            self.put(at + (gap as Tenths).max(1), 0, What::Arrive);
            let up: Vec<usize> = (0..FRONTS).filter(|&n| self.all[n].up).collect();
            let Some(&n) = self.rng.choice(&up) else { return };
            self.next += 1;
            let (id, object) = (self.next, self.rng.u64(0..5_000));
            self.count(at, 0);
            self.all[n].open.insert(id, (at, 0, false));
            let access =
                Access { id, offering: 0, object, part: 0, group: object % 100, kb: 0.0, until: at + 15_000 };
            let mut out = Out::default();
            self.all[n].front.access(at, &access, &mut out);
            return self.perform(n, out);
        }
        if self.all[n].life != life {
            return;
        }
        let mut out = Out::default();
        match what {
            What::Arrive => {}
            What::Wake(key) => self.all[n].front.due(at, key, &mut out),
            What::Answer(id, push, outcome, note, lag) => {
                let Some((asked, _, over)) = self.all[n].open.get_mut(&id) else { return };
                let (first, asked) = (!*over && outcome == Outcome::Handled, *asked);
                *over |= first;
                if first && at <= asked + SOFT {
                    self.count(asked, 1);
                }
                let ended = Ended { push, outcome, settled: first, lag, note, made: None };
                self.all[n].front.ended(at, id, &ended, &mut out);
            }
        }
        self.perform(n, out);
    }

    fn pass(&mut self, until: Tenths, rate: f64) {
        while self.queue.peek().is_some_and(|d| d.0.0 <= until) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.step(due, rate);
        }
        self.now = until;
    }

    /// It dies; what was asked of it is gone with it, and not counted: its clients see a broken connection.
    fn die(&mut self, n: usize) {
        let open: Vec<_> = self.all[n].open.drain().filter(|o| !o.1.2).map(|o| o.1.0).collect();
        open.into_iter().for_each(|at| self.count(at, 1));
        (self.all[n].up, self.all[n].life) = (false, self.all[n].life + 1);
    }

    fn back(&mut self, n: usize, known: Known) {
        let now = self.now;
        if known == Known::AsItIs {
            self.all[n].front = World::fresh(self.rng.u64(..), now);
        } else {
            // All that it knew; what it had out is known not to have come.
            let one = &mut self.all[n];
            let mut out = Out::default();
            one.front.stop(&mut out);
            one.front.forget_open(now);
        }
        (self.all[n].up, self.all[n].life) = (true, self.all[n].life + 1);
    }
}

/// Service in the five seconds after the death, and after the return of all; and of what was declined then.
fn one(seed: u64, load: f64, known: Known) -> [f64; 6] {
    let rng = Rng::with_seed(seed);
    let one = |n| One { front: World::fresh(seed ^ n as u64, 0), life: 0, up: true, open: HashMap::new() };
    let mut w = World {
        now: 0,
        rng,
        all: (0..FRONTS).map(one).collect(),
        caches: vec![[0; AT_ONCE]; CACHES],
        queue: BinaryHeap::new(),
        number: 0,
        next: 0,
        seconds: vec![[0.0; 3]; (END / 1_000) as usize + 20],
    };
    let rate = load * CAPACITY;
    w.put(1, 0, What::Arrive);
    w.pass(KILL, rate);
    (0..DEAD).for_each(|n| w.die(n));
    let told = match known {
        Known::AsItIs => None,
        Known::AtOnce => Some(KILL),
        Known::After(time) => Some(KILL + time),
    };
    if let Some(at) = told {
        w.pass(at, rate);
        (DEAD..FRONTS).for_each(|n| w.all[n].front.shared_by((FRONTS - DEAD) as f64));
    }
    w.pass(BACK, rate);
    (0..DEAD).for_each(|n| w.back(n, Known::AsItIs));
    (DEAD..FRONTS).for_each(|n| w.all[n].front.shared_by(FRONTS as f64));
    w.pass(ALL, rate);
    (0..FRONTS).for_each(|n| w.die(n));
    w.pass(ALL + S, rate);
    (0..FRONTS).for_each(|n| w.back(n, known));
    w.pass(END + 15_000, rate);
    let of = |from: Tenths, to: Tenths| {
        let some = &w.seconds[(from / 1_000) as usize..(to / 1_000) as usize];
        let sum = |what: usize| some.iter().map(|s| s[what]).sum::<f64>();
        (sum(1) / sum(0).max(1.0), sum(2) / sum(0).max(1.0))
    };
    let calm = of(10 * S, KILL);
    let (death, all) = (of(KILL, KILL + 5 * S), of(ALL + S, ALL + 6 * S));
    [calm.0, calm.1, death.0, death.1, all.0, all.1]
}

pub fn run(how: &How) -> Figures {
    let seeds = if how.quick { 4 } else { 30 };
    let mut figures = Figures::default();
    figures.put("simulated", true);
    figures.put("seeds", seeds);
    for load in [0.3, 0.5, 0.7, 0.85] {
        for (name, known) in
            [("as_it_is", Known::AsItIs), ("at_once", Known::AtOnce), ("after_6_s", Known::After(6 * S))]
        {
            let all: Vec<[f64; 6]> =
                (0..seeds).into_par_iter().map(|n| one(how.seed * 1_000 + n, load, known)).collect();
            for (at, figure) in ["calm", "calm_declined", "dead", "dead_declined", "all", "all_declined"]
                .into_iter()
                .enumerate()
            {
                let mean = all.iter().map(|a| a[at]).sum::<f64>() / seeds as f64;
                figures.ratio(&format!("{figure}_{}_{name}", (100.0 * load) as u32), mean);
            }
        }
    }
    figures
}
