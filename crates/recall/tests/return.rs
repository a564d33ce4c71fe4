//! Many restarted fronts fetch from few running ones, in virtual time. Messages are lost; providers are slow,
//! silent, or crash while they serve. No provider exceeds its rate, and all fronts get what there is.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade_recall::{Fill, Memory, PageFetcher, PageResponse, PageServer, Provider, Rules, Source};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Ticks = 10_000;
const START_TIME: Ticks = 1_000 * SECOND;
const PAGES_PER_SECOND: u32 = 50;

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 7_000 + n as u16)
}

struct Node {
    memory: Memory,
    fetcher: Option<PageFetcher>,
    server: PageServer,
    crashed: bool,
    silent: bool,
    served_at: Vec<Ticks>,
    done_at: Option<Ticks>,
}

#[derive(Clone)]
enum Message {
    PageRequest(u16),
    Page(u16, u16, Vec<Fill>),
    Busy(u16),
    Nothing(u16),
}

struct World {
    now: Ticks,
    rng: Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Ticks, u64)>>,
    messages: BTreeMap<u64, (usize, usize, Message)>,
    number: u64,
    loss_rate: f64,
    delay: Ticks,
}

fn fill(object: u64) -> Fill {
    Fill {
        offering: 0,
        object,
        part: 0,
        group: 0,
        made_at: START_TIME - object,
        requested_at: START_TIME - object,
    }
}

impl World {
    /// `running` fronts that remember `parts` fills, and `restarted` ones that remember nothing.
    fn new(seed: u64, running: usize, restarted: usize, parts: u64) -> World {
        let rules = Rules { fresh_times: vec![100 * SECOND], purge_done: 6 * SECOND, max_fills: 100_000 };
        let node = |n: usize| {
            let mut memory = Memory::new(rules.clone());
            (0..if n < running { parts } else { 0 }).for_each(|o| memory.record_fill(START_TIME, fill(o)));
            let fetcher = (n >= running).then(|| PageFetcher::new(&format!("n{n}"), START_TIME));
            let server = PageServer::new(PAGES_PER_SECOND, START_TIME);
            Node {
                memory,
                fetcher,
                server,
                crashed: false,
                silent: false,
                served_at: Vec::new(),
                done_at: None,
            }
        };
        World {
            now: START_TIME,
            rng: Rng::with_seed(seed),
            nodes: (0..running + restarted).map(node).collect(),
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            number: 0,
            loss_rate: 0.0,
            delay: 10,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.f64() < self.loss_rate || self.nodes[from].crashed {
            return;
        }
        self.number += 1;
        self.queue.push(Reverse((self.now + self.delay + self.rng.u64(0..10), self.number)));
        self.messages.insert(self.number, (from, to, message));
    }

    fn handle(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let node = &mut self.nodes[to];
        if node.crashed || node.silent {
            return;
        }
        match message {
            Message::PageRequest(page) => {
                let fetching = node.fetcher.as_ref().is_some_and(|f| !f.done);
                let page_response = if fetching {
                    PageResponse::Nothing
                } else {
                    node.server.serve(now, now, address(from), &node.memory, page)
                };
                let message = match page_response {
                    PageResponse::Page { pages, fills, .. } => {
                        node.served_at.push(now);
                        Message::Page(page, pages, fills)
                    }
                    PageResponse::Busy => Message::Busy(page),
                    PageResponse::Nothing => Message::Nothing(page),
                };
                self.send(to, from, message);
            }
            Message::Page(page, pages, fills) => {
                if node.fetcher.as_mut().is_some_and(|f| f.on_page(address(from), page, pages)) {
                    node.memory.import(now, Source::Neighbour, &fills, &[]);
                }
            }
            Message::Nothing(page) => {
                node.fetcher.iter_mut().for_each(|f| f.on_nothing(now, address(from), page))
            }
            Message::Busy(page) => node.fetcher.iter_mut().for_each(|f| f.on_busy(now, address(from), page)),
        }
    }

    fn step(&mut self, n: usize) {
        let now = self.now;
        // Membership detects crashed fronts, but not silent ones.
        let reachable = |&m: &usize| m != n && !self.nodes[m].crashed;
        let providers: Vec<Provider> = (0..self.nodes.len())
            .filter(reachable)
            .map(|m| Provider { address: address(m), same_station: m % 2 == n % 2 })
            .collect();
        let node = &mut self.nodes[n];
        let Some(fetcher) = node.fetcher.as_mut().filter(|_| !node.crashed) else { return };
        let requests = fetcher.poll(now, &providers);
        if fetcher.done && node.done_at.is_none() {
            node.done_at = Some(now);
        }
        for request in requests {
            self.send(n, usize::from(request.to.port() - 7_000), Message::PageRequest(request.page));
        }
    }

    fn run_for(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.now < end {
            // Each front polls a hundred times a second, as if driven by its membership timer or by messages.
            self.now += 100;
            while let Some(&Reverse((due_at, number))) = self.queue.peek().filter(|q| q.0.0 <= self.now) {
                self.queue.pop();
                let _ = due_at;
                if let Some((from, to, message)) = self.messages.remove(&number) {
                    self.handle(from, to, message);
                }
            }
            (0..self.nodes.len()).for_each(|n| self.step(n));
        }
    }

    fn imported_count(&self, n: usize) -> usize {
        self.nodes[n].memory.count(Source::Neighbour)
    }

    /// In no second does a provider serve more than its rate plus one second's burst.
    fn assert_rate_limit(&self) {
        for node in &self.nodes {
            for i in 0..node.served_at.len() {
                let second = node.served_at[i..].partition_point(|&t| t < node.served_at[i] + SECOND);
                assert!(second <= 2 * PAGES_PER_SECOND as usize, "{second} pages in a second");
            }
        }
    }
}

#[test]
fn seven_restarted_fronts_fetch_everything_from_three_within_a_second() {
    let mut world = World::new(1, 3, 7, 400);
    world.run_for(SECOND);
    (3..10).for_each(|n| assert_eq!(world.imported_count(n), 400, "n{n}"));
    assert!((3..10).all(|n| world.nodes[n].done_at.is_some()));
    world.assert_rate_limit();
    // The load is spread over all three.
    assert!(
        (0..3).all(|n| world.nodes[n].server.pages_served > 10),
        "{:?}",
        world.nodes.iter().map(|node| node.server.pages_served).collect::<Vec<_>>()
    );
}

#[test]
fn ninety_restarted_fronts_pass_on_what_one_running_front_knows() {
    let mut world = World::new(2, 1, 90, 400);
    world.run_for(10 * SECOND);
    let fewest = (1..91).map(|n| world.imported_count(n)).min();
    assert!(fewest >= Some(300), "{fewest:?} of 400");
    world.assert_rate_limit();
    let others: u64 = (1..91).map(|n| world.nodes[n].server.pages_served).sum();
    assert!(
        others > 4 * world.nodes[0].server.pages_served,
        "{others} and {}",
        world.nodes[0].server.pages_served
    );
}

#[test]
fn silent_or_crashing_providers_only_cost_time() {
    let mut world = World::new(3, 4, 4, 2_000);
    world.nodes[0].silent = true;
    world.run_for(SECOND / 20);
    world.nodes[1].crashed = true;
    world.run_for(5 * SECOND);
    (4..8).for_each(|n| assert_eq!(world.imported_count(n), 2_000, "n{n}"));
    world.assert_rate_limit();
}

#[test]
fn fetching_ends_if_no_front_remembers_anything() {
    let mut world = World::new(4, 0, 5, 0);
    world.run_for(15 * SECOND);
    assert!(
        world.nodes.iter().all(|node| node.done_at.is_some_and(|at| at <= START_TIME + 3 * SECOND)),
        "all started together"
    );
    // The same for a single front.
    let mut world = World::new(5, 0, 1, 0);
    world.run_for(6 * SECOND);
    assert!(world.nodes[0].done_at.is_some());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, rng_seed: RngSeed::Fixed(28), ..ProptestConfig::default() })]

    /// With any loss, delay, silence and crashes, fetching ends in time, within its limits, and yields only
    /// what was served.
    #[test]
    fn fetching_always_ends_within_its_limits(seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let (running, restarted) = (rng.usize(1..5), rng.usize(1..12));
        let mut world = World::new(seed, running, restarted, rng.u64(1..1_500));
        (world.loss_rate, world.delay) = (0.6 * rng.f64(), rng.u64(1..SECOND));
        for _ in 0..6 {
            let n = rng.usize(..running + restarted);
            match rng.u8(..3) {
                0 => world.nodes[n].crashed = true,
                1 => world.nodes[n].silent = !world.nodes[n].silent,
                _ => {}
            }
            world.run_for(rng.u64(0..2 * SECOND));
        }
        world.run_for(12 * SECOND);
        world.assert_rate_limit();
        for node in world.nodes.iter().filter(|node| !node.crashed && node.fetcher.is_some()) {
            prop_assert!(node.done_at.is_some());
            prop_assert!(node.memory.valid(world.now).0.iter().all(|f| *f == fill(f.object)));
        }
    }
}
