//! Many fronts with works in hand, in virtual time: words that are lost, late, doubled and cut off, fronts that die, stall,
//! lose their disks or get older copies of them, that take each other for gone rightly and wrongly, clients that come again
//! elsewhere. What must hold is counted at an archive that none of this is shared with.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use doorgrade::Ticks;
use doorgrade_custody::{
    Answer, Birth, Born, Do, Effect, Fate, Front, Hands, Kept, Knew, Lives, Name, Outcome, Place, Roster,
    Said, Seat,
};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: Ticks = 10_000;
const KEEP: Ticks = 60 * S;
const PATIENCE: Ticks = S;

#[derive(Clone)]
struct Disk {
    lives: Lives,
    works: BTreeMap<Name, Kept>,
}

enum What {
    Ask(Front, Name, doorgrade_custody::Ask),
    Said(Front, Name, Said),
    Born(Front, Born),
    Knew(Front, Knew),
    Due,
    /// Its life is told to those that have not written it down.
    Tell,
    /// A push reaches the archive, and its answer the front.
    Run(Name, usize),
    Answered(Name, usize, Fate),
    Client(Name, Effect, u64),
    Down(Front),
    Up(Front),
}

struct Due(Ticks, u64, usize, u32, What);

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

struct One {
    run: u32,
    up: bool,
    stalled: bool,
    kept: Vec<What>,
    hands: Hands,
    seat: Seat,
    birth: Birth,
    disk: Option<Disk>,
    older: Option<Disk>,
    /// The next time that it is due, as it was put.
    wakes: Option<Ticks>,
}

#[derive(Default, Debug)]
struct Archive {
    runs: u32,
    /// Told to clients, over all of them.
    done: u32,
    not_run: u32,
    may: u32,
    undecided: u32,
    unkept: u32,
    intents: u32,
    asked: u32,
}

struct World {
    now: Ticks,
    rng: Rng,
    all: Vec<One>,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
    archive: BTreeMap<Name, (Effect, Archive)>,
    loss: f64,
    delay: Ticks,
    cut: Vec<(usize, usize)>,
    /// How long the archive works, and how many of its answers are lost.
    work: Ticks,
    answers_lost: f64,
    /// The front that goes down before it does this effect, counted over all.
    dies_at: Option<u32>,
    effects: u32,
    died: Option<usize>,
}

fn front(n: usize) -> Front {
    1_000 + n as u64
}

fn index(front: Front) -> usize {
    (front - 1_000) as usize
}

fn roster(size: usize) -> Roster {
    let place = |n| Place { front: front(n), station: n as u64 % 3, machine: n as u64 };
    Roster { number: 1, places: (0..size).map(place).collect(), before: Vec::new() }
}

impl World {
    /// All of them are known to each other, and vote.
    fn new(seed: u64, size: usize) -> World {
        let lives =
            Lives { last: 1, whole: true, others: (0..size).map(|n| (front(n), (1, None))).collect() };
        let disk = Disk { lives, works: BTreeMap::new() };
        let mut world = World {
            now: 100 * S,
            rng: Rng::with_seed(seed),
            all: Vec::new(),
            queue: BinaryHeap::new(),
            number: 0,
            archive: BTreeMap::new(),
            loss: 0.0,
            delay: 20,
            cut: Vec::new(),
            work: 1_000,
            answers_lost: 0.0,
            dies_at: None,
            effects: 0,
            died: None,
        };
        for n in 0..size {
            let mut one = world.begin(n, size, Some(disk.clone()), 0);
            one.older = Some(disk.clone());
            world.all.push(one);
        }
        (0..size).for_each(|n| world.put(world.now, n, What::Tell));
        world.pass(S);
        assert!(world.all.iter().all(|o| o.seat.votes));
        world
    }

    fn begin(&self, n: usize, size: usize, disk: Option<Disk>, run: u32) -> One {
        let roster = roster(size);
        let found = disk.as_ref().map(|d| d.lives.clone());
        let birth = Birth::new(front(n), &roster.fronts(), self.now / 10, found, self.now, KEEP);
        let works = disk.as_ref().map(|d| d.works.clone()).unwrap_or_default();
        let kept = Disk { lives: birth.store(self.now), works: works.clone() };
        let seat = Seat::new(10_000, KEEP, works, false);
        let hands = Hands::new(front(n), birth.life, roster, PATIENCE);
        let (stalled, older, wakes) = (false, None, None);
        One { run, up: true, stalled, kept: Vec::new(), hands, seat, birth, disk: Some(kept), older, wakes }
    }

    fn put(&mut self, at: Ticks, n: usize, what: What) {
        self.number += 1;
        let run = self.all[n].run;
        self.queue.push(Reverse(Due(at, self.number, n, run, what)));
    }

    /// A word on its way: lost, doubled, late, or cut off. It finds whoever is there then.
    fn say(&mut self, from: usize, to: usize, what: impl Fn() -> What) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.f64() < self.loss / 4.0) {
            if from == to || self.rng.f64() >= self.loss {
                let late = if from == to { 1 } else { self.delay / 2 + self.rng.u64(0..=self.delay) };
                self.number += 1;
                self.queue.push(Reverse(Due(self.now + late, self.number, to, u32::MAX, what())));
            }
        }
    }

    fn tell_birth(&mut self, n: usize) {
        let born = Born { life: self.all[n].birth.life };
        for to in self.all[n].birth.tells() {
            self.say(n, index(to), || What::Born(front(n), born));
        }
    }

    fn perform(&mut self, n: usize, out: Vec<Do>) {
        for done in out {
            self.effects += 1;
            if self.dies_at == Some(self.effects) {
                self.died = Some(n);
                return self.kill(n);
            }
            let now = self.now;
            match done {
                Do::Say { to, name, ask } => {
                    self.say(n, index(to), || What::Ask(front(n), name, ask.clone()));
                }
                Do::Push { name, push } => {
                    // It may be stopped here, and go on much later: what is on its way is on its way.
                    let at = now + 1;
                    self.put(at, n, What::Run(name, push));
                }
                Do::Go { name, pushes, age, left } => {
                    let (effect, archive) = self.archive.get_mut(&name).expect("asked for");
                    archive.intents += 1;
                    let may = pushes.iter().any(|p| !p.unrun);
                    match effect {
                        Effect::Unrepeatable => assert!(!may, "it may have run, and is to be pushed again"),
                        Effect::Deduplicated { window } => assert!(!may || age < *window),
                        Effect::Idempotent => {}
                    }
                    assert!(left > 0);
                    let mut out = Vec::new();
                    self.all[n].hands.intend(now, name, 8, &mut out);
                    self.perform(n, out);
                }
                Do::Settled { name, outcome } => {
                    let archive = &mut self.archive.get_mut(&name).expect("asked for").1;
                    match outcome {
                        Outcome::Done(_) => archive.done += 1,
                        Outcome::NotRun => archive.not_run += 1,
                        Outcome::MayHaveRun => archive.may += 1,
                    }
                }
                Do::Other { .. } => panic!("nobody asked for anything else"),
                Do::Unkept { name } => self.archive.get_mut(&name).expect("asked for").1.unkept += 1,
                Do::Undecided { name } => self.archive.get_mut(&name).expect("asked for").1.undecided += 1,
            }
            if !self.all[n].up {
                return;
            }
        }
        let next = self.all[n].hands.next();
        if let Some(at) = next.filter(|at| self.all[n].wakes.is_none_or(|w| *at < w || w <= self.now)) {
            self.all[n].wakes = Some(at);
            self.put(at.max(self.now + 1), n, What::Due);
        }
    }

    fn kill(&mut self, n: usize) {
        let one = &mut self.all[n];
        (one.up, one.stalled, one.run) = (false, false, one.run + 1);
        one.kept.clear();
    }

    /// With its disk, without, or with an older copy of it.
    fn start(&mut self, n: usize, disk: Option<Disk>) {
        let (size, run, older) = (self.all.len(), self.all[n].run + 1, self.all[n].older.clone());
        self.all[n] = One { older, ..self.begin(n, size, disk, run) };
        self.put(self.now, n, What::Tell);
    }

    fn one(&mut self, n: usize, what: What) {
        let now = self.now;
        let mut out = Vec::new();
        let one = &mut self.all[n];
        let votes = one.birth.votes(now);
        one.seat.votes = votes;
        match what {
            What::Ask(from, name, ask) => {
                let (said, store) = one.seat.hear(now, name, ask);
                if let Some(disk) = one.disk.as_mut().filter(|_| store) {
                    match one.seat.get(name) {
                        Some(kept) => drop(disk.works.insert(name, kept.clone())),
                        None => drop(disk.works.remove(&name)),
                    }
                }
                self.say(n, index(from), || What::Said(front(n), name, said.clone()));
            }
            What::Said(from, name, said) => one.hands.heard(now, from, name, said, &mut out),
            What::Born(from, born) => {
                let knew = one.birth.heard(now, from, born);
                if let Some(disk) = &mut one.disk {
                    disk.lives = one.birth.store(now);
                }
                self.say(n, index(from), || What::Knew(front(n), knew));
            }
            What::Knew(from, knew) => {
                one.birth.answered(now, KEEP, from, knew);
                if let Some(disk) = &mut one.disk {
                    disk.lives = one.birth.store(now);
                }
            }
            What::Due => {
                one.wakes = None;
                one.hands.due(now, &mut out);
            }
            What::Tell => {
                if let Some(disk) = &mut one.disk {
                    disk.lives = one.birth.store(now);
                }
                self.tell_birth(n);
                self.put(now + S / 4, n, What::Tell);
            }
            What::Run(name, push) => {
                self.archive.get_mut(&name).expect("asked for").1.runs += 1;
                if self.rng.f64() >= self.answers_lost {
                    let answer = Answer { status: 200, body: Box::from(*b"done") };
                    self.put(now + self.work, n, What::Answered(name, push, Fate::Answered(answer)));
                } else {
                    self.put(now + self.work, n, What::Answered(name, push, Fate::Unknown));
                }
            }
            What::Answered(name, push, fate) => {
                let unknown = fate == Fate::Unknown;
                one.hands.ended(now, name, push, fate, &mut out);
                if unknown {
                    one.hands.finish(now, name, &mut out);
                }
            }
            What::Client(name, effect, print) => {
                let until = now + 5 * S;
                self.archive.entry(name).or_insert((effect, Archive::default())).1.asked += 1;
                self.all[n].hands.take(now, name, print, effect, 7, until, &mut out);
            }
            What::Down(who) => {
                let One { hands, seat, .. } = one;
                hands.down(now, who, seat.works(), &mut out);
            }
            What::Up(who) => one.hands.up(who),
        }
        self.perform(n, out);
    }

    fn pass(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|d| d.0.0 <= end) {
            let Some(Reverse(Due(at, _, n, run, what))) = self.queue.pop() else { break };
            self.now = at;
            let one = &mut self.all[n];
            // What is its own ends with it; what is on its way to it finds the next life.
            if !one.up || run != u32::MAX && run != one.run {
                // A push that has left is at the archive all the same.
                if let What::Run(name, _) = what {
                    self.archive.get_mut(&name).expect("asked for").1.runs += 1;
                }
                continue;
            }
            if one.stalled {
                one.kept.push(what);
                continue;
            }
            self.one(n, what);
        }
        self.now = end;
    }

    fn wake(&mut self, n: usize) {
        self.all[n].stalled = false;
        for what in std::mem::take(&mut self.all[n].kept) {
            if self.all[n].up {
                self.one(n, what);
            }
        }
    }

    fn ask(&mut self, n: usize, name: u128, effect: Effect) {
        self.put(self.now, n, What::Client(Name(name), effect, name as u64));
    }

    fn down(&mut self, who: usize) {
        for n in (0..self.all.len()).filter(|n| *n != who) {
            let at = self.now + self.rng.u64(0..S);
            self.put(at, n, What::Down(front(who)));
        }
    }

    /// At most one run of what may run once; nobody was told two things that can't both be so.
    fn check(&self) {
        for (name, (effect, a)) in &self.archive {
            if *effect == Effect::Unrepeatable {
                assert!(a.runs <= 1, "{name:?} ran {} times: {a:?}", a.runs);
            }
            let told = [a.done, a.not_run, a.may];
            assert!(told.iter().filter(|t| **t > 0).count() <= 1, "{name:?} {effect:?}: {a:?}");
            assert!(a.done == 0 || a.runs > 0, "{name:?}: done, and never ran");
            assert!(a.not_run == 0 || a.runs == 0, "{name:?}: told not run, and ran: {a:?}");
        }
    }
}

#[test]
fn a_work_is_pushed_once_known_and_its_end_is_told_to_whoever_comes_again() {
    let mut w = World::new(1, 6);
    w.ask(0, 7, Effect::Unrepeatable);
    w.pass(S / 2);
    let a = |w: &World| {
        let a = &w.archive[&Name(7)].1;
        (a.runs, a.done)
    };
    assert_eq!(a(&w), (1, 1));
    // At the same front, at another, at all of them at once.
    (0..6).for_each(|n| w.ask(n, 7, Effect::Unrepeatable));
    w.pass(S);
    assert_eq!(a(&w), (1, 7));
    // Long after, the name is free again.
    w.pass(2 * KEEP);
    (0..6).for_each(|n| drop(w.all[n].seat.tidy(w.now)));
    w.archive.clear();
    w.ask(3, 7, Effect::Unrepeatable);
    w.pass(S);
    assert_eq!(a(&w), (1, 1));
    w.check();
}

#[test]
fn the_same_name_with_another_body_is_refused() {
    let mut w = World::new(2, 6);
    w.ask(0, 7, Effect::Unrepeatable);
    w.pass(S / 2);
    for n in [0, 1] {
        let mut out = Vec::new();
        let until = w.now + S;
        w.all[n].hands.take(w.now, Name(7), 99, Effect::Unrepeatable, 7, until, &mut out);
        let asks: Vec<_> = out
            .iter()
            .filter_map(|d| match d {
                Do::Say { to, ask, .. } => Some((*to, ask.clone())),
                _ => None,
            })
            .collect();
        let mut said = Vec::new();
        for (to, ask) in asks {
            said.push((to, w.all[index(to)].seat.hear(w.now, Name(7), ask).0));
        }
        for (from, said) in said {
            w.all[n].hands.heard(w.now, from, Name(7), said, &mut out);
        }
        assert!(out.iter().any(|d| matches!(d, Do::Other { .. })), "front {n}: {out:?}");
    }
    assert_eq!(w.archive[&Name(7)].1.runs, 1);
}

/// The owner dies before each of its effects in turn; its client comes again elsewhere, before or after it is missed.
#[test]
fn an_owner_killed_at_each_step_leaves_one_run_or_none_and_one_word_of_it() {
    let (mut finished, mut unknown, mut not_run) = (0, 0, 0);
    for effect in [Effect::Unrepeatable, Effect::Deduplicated { window: 3 * S }, Effect::Idempotent] {
        for dies_at in 1..24 {
            for again in [0, S / 10, 2 * S] {
                for seed in 0..3 {
                    let mut w = World::new(seed, 6);
                    (w.dies_at, w.effects) = (Some(dies_at), 0);
                    w.ask(0, 7, effect);
                    w.pass(S / 4);
                    let Some(died) = w.died else { continue };
                    w.dies_at = None;
                    w.down(died);
                    w.pass(again);
                    let other = (died + 1 + w.rng.usize(..5)) % 6;
                    w.ask(other, 7, effect);
                    w.pass(10 * S);
                    w.check();
                    let a = &w.archive[&Name(7)].1;
                    assert!(
                        a.done + a.may + a.not_run + a.undecided + a.unkept > 0,
                        "nobody was told: {a:?}"
                    );
                    finished += u32::from(a.done > 0);
                    unknown += u32::from(a.may + a.undecided > 0);
                    not_run += u32::from(a.not_run > 0);
                    if effect == Effect::Idempotent && a.unkept == 0 {
                        assert!(a.done > 0, "dies at {dies_at}, again after {again}: {a:?}");
                    }
                }
            }
        }
    }
    assert!(finished > 100 && unknown > 10, "{finished} finished, {unknown} unknown, {not_run} not run");
}

#[test]
fn an_owner_stopped_just_before_its_push_runs_it_at_most_once_when_it_wakes() {
    for seed in 0..40 {
        let mut w = World::new(seed, 6);
        w.ask(0, 7, Effect::Unrepeatable);
        let steps = w.rng.u64(10..200);
        w.pass(steps);
        w.all[0].stalled = true;
        w.down(0);
        w.pass(S);
        w.ask(1, 7, Effect::Unrepeatable);
        w.pass(3 * S);
        w.wake(0);
        w.pass(10 * S);
        w.check();
    }
}

#[test]
fn halves_that_take_each_other_for_gone_agree_on_one_run() {
    for seed in 0..60 {
        let mut w = World::new(seed, 6);
        w.ask(0, 7, Effect::Unrepeatable);
        let steps = w.rng.u64(0..300);
        w.pass(steps);
        let half: Vec<bool> = (0..6).map(|_| w.rng.bool()).collect();
        for (a, b) in (0..6).flat_map(|a| (0..6).map(move |b| (a, b))) {
            if half[a] != half[b] {
                w.cut.push((a, b));
            }
        }
        for who in 0..6 {
            for n in (0..6).filter(|n| half[*n] != half[who]) {
                w.put(w.now + S / 2, n, What::Down(front(who)));
            }
        }
        (0..6).for_each(|n| w.ask(n, 7, Effect::Unrepeatable));
        w.pass(4 * S);
        w.cut.clear();
        (0..6).for_each(|n| w.ask(n, 7, Effect::Unrepeatable));
        w.pass(20 * S);
        w.check();
    }
}

#[test]
fn a_seat_without_its_disk_or_with_an_older_copy_has_no_vote_until_nothing_is_open() {
    for older in [false, true] {
        let mut w = World::new(3, 6);
        w.ask(0, 7, Effect::Unrepeatable);
        w.pass(S);
        // All seats of the work go down, two without what they knew; its owner is gone as well.
        let seats: Vec<usize> = roster(6).seats(Name(7)).unwrap().all().map(index).collect();
        let disk = w.all[seats[0]].disk.clone();
        w.kill(0);
        seats.iter().for_each(|&n| w.kill(n));
        w.pass(S / 10);
        w.start(seats[0], disk);
        for &n in &seats[1..] {
            let disk = w.all[n].older.clone().filter(|_| older);
            w.start(n, disk);
        }
        w.pass(2 * S);
        assert!(seats[1..].iter().all(|&n| !w.all[n].birth.votes(w.now)), "older: {older}");
        let asks = (0..6).find(|n| *n != 0 && !seats.contains(n)).unwrap();
        w.ask(asks, 7, Effect::Unrepeatable);
        w.pass(10 * S);
        let a = &w.archive[&Name(7)].1;
        assert_eq!((a.runs, a.done), (1, 1), "told to the first client, and not run again: {a:?}");
        assert!(a.unkept + a.undecided > 0, "{a:?}");
        w.check();
        w.pass(KEEP);
        assert!(seats.iter().all(|&n| w.all[n].birth.votes(w.now)), "then they vote again");
    }
}

#[test]
fn a_thousand_works_in_one_hand_are_taken_over_by_many_and_end() {
    let mut w = World::new(4, 6);
    w.work = 2 * S;
    (0..1_000).for_each(|n| w.ask(0, n, Effect::Idempotent));
    w.pass(S / 2);
    w.kill(0);
    w.down(0);
    w.pass(6 * S);
    let runs: Vec<u32> = w.archive.values().map(|a| a.1.runs).collect();
    assert!(runs.iter().all(|r| *r >= 2), "each was pushed again by whoever took it over");
    (0..1_000).for_each(|n| w.ask(1 + n as usize % 5, n, Effect::Idempotent));
    w.pass(5 * S);
    w.check();
    assert!(w.archive.values().all(|a| a.1.done == 1));
}

/// Whoever holds a key may say anything: nothing of it panics, fills a seat, or is kept beyond its bound.
#[test]
fn absurd_words_are_kept_within_bounds_or_not_at_all() {
    use doorgrade_custody::{Ask, Push, Term, Told, Work};
    let most = u64::MAX;
    let work = |pushes, body| Work {
        born: 1,
        print: 1,
        effect: Effect::Idempotent,
        pushes: vec![Push { to: 1, unrun: false }; pushes],
        outcome: Some(Outcome::Done(Answer { status: 200, body: vec![0; body].into() })),
    };
    let term = Term { number: u32::MAX, owner: most, life: most };
    let mut seat = Seat::new(2, KEEP, BTreeMap::new(), true);
    for bad in [work(9, 0), work(0, (16 << 10) + 1)] {
        assert_eq!(seat.hear(S, Name(1), Ask::Take { term, work: bad, left: 1 }), (Said::Full, false));
    }
    let told = Told { written: term, version: u32::MAX, work: work(1, 0), age: most, left: most };
    seat.hear(S, Name(1), Ask::Claim { term, told: told.clone() });
    seat.hear(S, Name(2), Ask::Write { term, version: u32::MAX, work: work(1, 0), left: most });
    assert_eq!(seat.hear(S, Name(3), Ask::Claim { term, told }).0, Said::Full);
    let mut hands = Hands::new(front(0), 1, roster(6), PATIENCE);
    let mut out = Vec::new();
    hands.down(S, most, seat.works(), &mut out);
    hands.due(S * 100, &mut out);
    let mut birth = Birth::new(front(0), &roster(6).fronts(), 1, None, S, KEEP);
    for n in 0..1_000 {
        birth.heard(S, 50_000 + n, Born { life: most });
    }
    birth.answered(S, KEEP, front(1), Knew { life: 1, before: Some(most), whole: true });
    assert!(birth.store(S).others.is_empty());
}

#[test]
fn works_that_wait_for_their_turn_are_queued_once() {
    let mut w = World::new(6, 6);
    w.work = 30 * S;
    (0..300).for_each(|n| w.ask(0, n, Effect::Idempotent));
    w.pass(S / 2);
    w.kill(0);
    // Nobody answers anybody: claims fill the room that there is, and stay.
    w.cut = (0..6).flat_map(|a| (0..6).map(move |b| (a, b))).collect();
    w.down(0);
    w.pass(3 * S);
    for one in &w.all[1..] {
        assert!(one.hands.queued() <= 300, "{} in the queue", one.hands.queued());
    }
}

fn random_run(seed: u64) {
    let mut w = World::new(seed, 6);
    w.loss = [0.0, 0.01, 0.2][w.rng.usize(..3)];
    w.delay = [10, 100, 1_000][w.rng.usize(..3)];
    w.work = [100, 1_000, 10_000][w.rng.usize(..3)];
    w.answers_lost = [0.0, 0.1, 0.5][w.rng.usize(..3)];
    let effects = [Effect::Unrepeatable, Effect::Unrepeatable, Effect::Idempotent];
    // One disk at a time is lost or old, and not before the one before has its vote again: more than one may forget.
    let mut forgetful: Option<usize> = None;
    for _ in 0..60 {
        let n = w.rng.usize(..6);
        let name = w.rng.u128(0..12);
        match w.rng.u8(..14) {
            0..=5 if w.all[n].up => w.ask(n, name, effects[name as usize % 3]),
            6 if w.all[n].up => {
                w.kill(n);
                w.down(n);
            }
            7 if !w.all[n].up => {
                let well = forgetful.is_none_or(|f| w.all[f].up && w.all[f].birth.votes(w.now));
                let disk = match w.rng.u8(..6) {
                    0 if well => None,
                    1 if well => w.all[n].older.clone(),
                    _ => w.all[n].disk.clone(),
                };
                if disk.is_none() || well {
                    forgetful = Some(n);
                }
                w.start(n, disk);
                (0..6).for_each(|m| w.put(w.now + S / 10, m, What::Up(front(n))));
            }
            8 if w.all[n].up && !w.all[n].stalled => {
                w.all[n].stalled = true;
                w.down(n);
            }
            9 if w.all[n].stalled => w.wake(n),
            // Taken for gone by somebody, wrongly.
            10 => {
                let who = w.rng.usize(..6);
                if who != n && w.all[n].up {
                    w.put(w.now, n, What::Down(front(who)));
                }
            }
            11 => {
                let (a, b) = (w.rng.usize(..6), w.rng.usize(..6));
                w.cut.push((a, b));
            }
            12 => w.cut.clear(),
            _ => {}
        }
        let time = w.rng.u64(0..S);
        w.pass(time);
        w.check();
    }
    w.cut.clear();
    (0..6).filter(|n| w.all[*n].stalled).collect::<Vec<_>>().into_iter().for_each(|n| w.wake(n));
    w.pass(30 * S);
    w.check();
}

/// A front tried to take a work in vain, and tries again; a seat that was stopped says yes to the first try, and it was taken
/// for a yes to the second. Found by some thousand random runs.
#[test]
fn a_late_yes_to_an_earlier_try_is_no_yes_to_a_later_one() {
    random_run(16750999581221910592);
}

/// It lost its disk, and was started once more on the new one before its time was over: it still has no vote.
#[test]
fn one_that_has_forgotten_does_not_come_to_know_by_another_start() {
    random_run(17360305723432299807);
}

/// An older copy was put back; the word that a later life was known got lost, and asked again nobody said so any more.
#[test]
fn a_life_that_was_known_is_told_however_often_it_is_asked_for() {
    random_run(77777611512087802);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_nothing_runs_twice_and_no_two_words_differ(seed in any::<u64>()) {
        random_run(seed);
    }
}
