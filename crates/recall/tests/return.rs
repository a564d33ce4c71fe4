//! Many that come back ask few that lived, in virtual time: pages are lost, givers are slow, silent, or die while they
//! give; nobody is asked too much, and all get what there is.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade_recall::{Asking, Fill, Gave, Giver, Giving, Memory, Rules, Source};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: Ticks = 10_000;
const NOW: Ticks = 1_000 * S;
const PAGES: u32 = 50;

fn at(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 7_000 + n as u16)
}

struct One {
    memory: Memory,
    asking: Option<Asking>,
    giving: Giving,
    dead: bool,
    silent: bool,
    given_at: Vec<Ticks>,
    done_at: Option<Ticks>,
}

#[derive(Clone)]
enum Word {
    Ask(u16),
    Page(u16, u16, Vec<Fill>),
    Busy(u16),
    Nothing(u16),
}

struct World {
    now: Ticks,
    rng: Rng,
    all: Vec<One>,
    queue: BinaryHeap<Reverse<(Ticks, u64)>>,
    words: BTreeMap<u64, (usize, usize, Word)>,
    number: u64,
    loss: f64,
    delay: Ticks,
}

fn fill(object: u64) -> Fill {
    Fill { offering: 0, object, part: 0, group: 0, made: NOW - object, seen: NOW - object }
}

impl World {
    /// So many that lived and know so many parts, and so many that come back.
    fn new(seed: u64, lived: usize, back: usize, parts: u64) -> World {
        let rules = Rules { fresh: vec![100 * S], purge_done: 6 * S, most: 100_000 };
        let one = |n: usize| {
            let mut memory = Memory::new(rules.clone());
            (0..if n < lived { parts } else { 0 }).for_each(|o| memory.saw(NOW, fill(o)));
            let asking = (n >= lived).then(|| Asking::new(&format!("n{n}"), NOW));
            let giving = Giving::new(PAGES, NOW);
            One { memory, asking, giving, dead: false, silent: false, given_at: Vec::new(), done_at: None }
        };
        World {
            now: NOW,
            rng: Rng::with_seed(seed),
            all: (0..lived + back).map(one).collect(),
            queue: BinaryHeap::new(),
            words: BTreeMap::new(),
            number: 0,
            loss: 0.0,
            delay: 10,
        }
    }

    fn say(&mut self, from: usize, to: usize, word: Word) {
        if self.rng.f64() < self.loss || self.all[from].dead {
            return;
        }
        self.number += 1;
        self.queue.push(Reverse((self.now + self.delay + self.rng.u64(0..10), self.number)));
        self.words.insert(self.number, (from, to, word));
    }

    fn hear(&mut self, from: usize, to: usize, word: Word) {
        let now = self.now;
        let one = &mut self.all[to];
        if one.dead || one.silent {
            return;
        }
        match word {
            Word::Ask(page) => {
                let asks = one.asking.as_ref().is_some_and(|a| !a.done);
                let gave =
                    if asks { Gave::Nothing } else { one.giving.page(now, now, at(from), &one.memory, page) };
                let answer = match gave {
                    Gave::Page { pages, fills, .. } => {
                        one.given_at.push(now);
                        Word::Page(page, pages, fills)
                    }
                    Gave::Busy => Word::Busy(page),
                    Gave::Nothing => Word::Nothing(page),
                };
                self.say(to, from, answer);
            }
            Word::Page(page, pages, fills) => {
                if one.asking.as_mut().is_some_and(|a| a.given(at(from), page, pages)) {
                    one.memory.hear(now, Source::Neighbour, &fills, &[]);
                }
            }
            Word::Nothing(page) => one.asking.iter_mut().for_each(|a| a.nothing(now, at(from), page)),
            Word::Busy(page) => one.asking.iter_mut().for_each(|a| a.busy(now, at(from), page)),
        }
    }

    fn step(&mut self, n: usize) {
        let now = self.now;
        // Membership knows the dead, not the silent.
        let here = |&m: &usize| m != n && !self.all[m].dead;
        let givers: Vec<Giver> =
            (0..self.all.len()).filter(here).map(|m| Giver { at: at(m), near: m % 2 == n % 2 }).collect();
        let one = &mut self.all[n];
        let Some(asking) = one.asking.as_mut().filter(|_| !one.dead) else { return };
        let asks = asking.step(now, &givers);
        if asking.done && one.done_at.is_none() {
            one.done_at = Some(now);
        }
        for asked in asks {
            self.say(n, usize::from(asked.to.port() - 7_000), Word::Ask(asked.page));
        }
    }

    fn pass(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.now < end {
            // Each looks a hundred times a second, as its members' timer has it or a word comes.
            self.now += 100;
            while let Some(&Reverse((due, number))) = self.queue.peek().filter(|q| q.0.0 <= self.now) {
                self.queue.pop();
                let _ = due;
                if let Some((from, to, word)) = self.words.remove(&number) {
                    self.hear(from, to, word);
                }
            }
            (0..self.all.len()).for_each(|n| self.step(n));
        }
    }

    fn knows(&self, n: usize) -> usize {
        self.all[n].memory.count(Source::Neighbour)
    }

    /// No giver gives more in any second than it may, a second's worth at once beside it.
    fn within_bounds(&self) {
        for one in &self.all {
            for i in 0..one.given_at.len() {
                let second = one.given_at[i..].partition_point(|&t| t < one.given_at[i] + S);
                assert!(second <= 2 * PAGES as usize, "{second} pages in a second");
            }
        }
    }
}

#[test]
fn seven_that_come_back_have_all_from_three_within_a_second() {
    let mut world = World::new(1, 3, 7, 400);
    world.pass(S);
    (3..10).for_each(|n| assert_eq!(world.knows(n), 400, "n{n}"));
    assert!((3..10).all(|n| world.all[n].done_at.is_some()));
    world.within_bounds();
    // Spread over all three.
    assert!(
        (0..3).all(|n| world.all[n].giving.given > 10),
        "{:?}",
        world.all.iter().map(|o| o.giving.given).collect::<Vec<_>>()
    );
}

#[test]
fn ninety_from_one_who_lived_is_passed_on_by_those_that_are_back() {
    let mut world = World::new(2, 1, 90, 400);
    world.pass(10 * S);
    let most = (1..91).map(|n| world.knows(n)).min();
    assert!(most >= Some(300), "{most:?} of 400");
    world.within_bounds();
    let others: u64 = (1..91).map(|n| world.all[n].giving.given).sum();
    assert!(others > 4 * world.all[0].giving.given, "{others} and {}", world.all[0].giving.given);
}

#[test]
fn givers_that_are_silent_or_die_while_they_give_cost_time_alone() {
    let mut world = World::new(3, 4, 4, 2_000);
    world.all[0].silent = true;
    world.pass(S / 20);
    world.all[1].dead = true;
    world.pass(5 * S);
    (4..8).for_each(|n| assert_eq!(world.knows(n), 2_000, "n{n}"));
    world.within_bounds();
}

#[test]
fn with_nobody_that_knows_anything_it_ends() {
    let mut world = World::new(4, 0, 5, 0);
    world.pass(15 * S);
    assert!(world.all.iter().all(|o| o.done_at.is_some_and(|at| at <= NOW + 3 * S)), "all began together");
    // And so it does alone.
    let mut world = World::new(5, 0, 1, 0);
    world.pass(6 * S);
    assert!(world.all[0].done_at.is_some());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// Any loss, delay, silence and death: it ends in its time, within bounds, with nothing but what was given.
    #[test]
    fn whatever_happens_it_ends_within_bounds(seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let (lived, back) = (rng.usize(1..5), rng.usize(1..12));
        let mut world = World::new(seed, lived, back, rng.u64(1..1_500));
        (world.loss, world.delay) = (0.6 * rng.f64(), rng.u64(1..S));
        for _ in 0..6 {
            let n = rng.usize(..lived + back);
            match rng.u8(..3) {
                0 => world.all[n].dead = true,
                1 => world.all[n].silent = !world.all[n].silent,
                _ => {}
            }
            world.pass(rng.u64(0..2 * S));
        }
        world.pass(12 * S);
        world.within_bounds();
        for one in world.all.iter().filter(|o| !o.dead && o.asking.is_some()) {
            prop_assert!(one.done_at.is_some());
            prop_assert!(one.memory.all(world.now).0.iter().all(|f| *f == fill(f.object)));
        }
    }
}
