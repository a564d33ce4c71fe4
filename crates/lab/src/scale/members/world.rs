//! Members in virtual time: the very decisions of `crates/members`, on links between twelve regions. Every datagram is counted
//! as it would be on the wire, in the second in which it leaves or comes.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade_members::{Effect, MemberId, Members, Settings, seal};
use fastrand::Rng;
use rustix::time::{ClockId, clock_gettime};

pub const S: Ticks = 10_000;
/// The target's fleet. A small one has them all, too, as far as it reaches.
pub const SITES: usize = 44;
pub const ZONES: usize = 39;
pub const REGIONS: usize = 12;
/// Around each datagram: Ethernet takes more, but is not the operators' to pay for; IPv4, UDP, the kind and the seal.
pub const AROUND: usize = 20 + 8 + 1 + seal::SEAL_BYTES;
/// One way within a site, and between the regions that are farthest from each other: 10 and 150 ms there and back.
const NEAR: Ticks = 50;
const FAR: Ticks = 750;
const JITTER: Ticks = 50;
/// Of datagrams, on every link.
const LOST: f64 = 0.01;
/// Lives are milliseconds since 1970, and take as many bytes as these.
const EPOCH_MS: u64 = 1_790_000_000_000;

enum What {
    Said(Vec<u8>),
    Tick(u32),
}

struct Due {
    at: Ticks,
    number: u64,
    node: usize,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Bytes by second from the world's begin.
#[derive(Clone, Default)]
pub struct Bytes(pub Vec<u32>);

impl Bytes {
    pub fn add(&mut self, second: usize, bytes: usize) {
        if self.0.len() <= second {
            self.0.resize(second + 1, 0);
        }
        self.0[second] += bytes as u32;
    }

    /// In seconds `from..to`.
    pub fn sum(&self, from: usize, to: usize) -> u64 {
        let all = self.0.get(from.min(self.0.len())..to.min(self.0.len())).unwrap_or_default();
        all.iter().map(|&b| u64::from(b)).sum()
    }
}

pub struct Node {
    pub members: Option<Members>,
    run: u32,
    pub sent: Bytes,
    pub received: Bytes,
    /// Processor time of its calls, in nanoseconds.
    pub busy_ns: u64,
}

pub struct World {
    pub now: Ticks,
    begun: Ticks,
    rng: Rng,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
    /// So many regions, from the first on, hear nobody outside of them, and nobody hears them; 0 for none.
    pub cut: usize,
}

pub fn site(node: usize) -> usize {
    node % SITES
}

pub fn zone(node: usize) -> usize {
    site(node) % ZONES
}

pub fn region(node: usize) -> usize {
    zone(node) % REGIONS
}

pub fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, (node >> 16) as u8, (node >> 8) as u8, node as u8].into(), 7_460)
}

pub fn node_at(at: SocketAddrV4) -> usize {
    let [_, a, b, c] = at.ip().octets();
    usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
}

/// Names as long as operators give them.
pub fn identity(node: usize, at: SocketAddrV4, life: u64) -> MemberId {
    let (name, station) = (format!("front-{node:04}").into(), format!("site-{:02}", site(node)).into());
    MemberId { name, station, address: at, incarnation: EPOCH_MS + life, renewals: 0 }
}

pub fn settings(size: usize, seeds: Vec<SocketAddrV4>) -> Settings {
    Settings {
        seeds,
        expected_members: size as u32,
        probe_interval: Settings::DEFAULT_PROBE_INTERVAL,
        max_datagrams_per_second: Settings::DEFAULT_MAX_DATAGRAMS_PER_SECOND,
    }
}

/// This thread's own, so that a busy machine does not count.
pub fn processor_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

impl World {
    /// Nobody has started yet.
    pub fn new(seed: u64, size: usize) -> World {
        let node =
            || Node { members: None, run: 0, sent: Bytes::default(), received: Bytes::default(), busy_ns: 0 };
        let nodes = (0..size).map(|_| node()).collect();
        let (begun, queue) = (1_000 * S, BinaryHeap::new());
        World { now: begun, begun, rng: Rng::with_seed(seed), nodes, queue, number: 0, cut: 0 }
    }

    pub fn second(&self) -> usize {
        ((self.now - self.begun) / S) as usize
    }

    pub fn start(&mut self, node: usize) {
        let size = self.nodes.len();
        let seeds = [0, size / 2, size - 1].map(address).to_vec();
        let own = identity(node, address(node), self.now / 10);
        let one = &mut self.nodes[node];
        one.members = Some(Members::new(own, settings(size, seeds), self.rng.u64(..), self.now));
        one.run += 1;
        self.tick_later(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].members = None;
        self.nodes[node].run += 1;
    }

    fn put(&mut self, at: Ticks, node: usize, what: What) {
        self.number += 1;
        self.queue.push(Reverse(Due { at, number: self.number, node, what }));
    }

    fn tick_later(&mut self, node: usize) {
        if let Some(members) = &self.nodes[node].members {
            let (at, run) = (members.next_tick_at().max(self.now + 1), self.nodes[node].run);
            self.put(at, node, What::Tick(run));
        }
    }

    /// One way: regions lie on a ring.
    fn delay(&mut self, from: usize, to: usize) -> Ticks {
        let apart = region(from).abs_diff(region(to));
        let apart = apart.min(REGIONS - apart) as Ticks;
        NEAR + (FAR - NEAR) * apart / (REGIONS as Ticks / 2) + self.rng.u64(0..JITTER)
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        let within = |node: usize| region(node) < self.cut;
        to < self.nodes.len() && within(from) == within(to) && self.rng.f64() >= LOST
    }

    /// Calls one and sends what it says.
    fn call(&mut self, node: usize, call: impl FnOnce(&mut Members)) {
        let one = &mut self.nodes[node];
        let Some(members) = &mut one.members else { return };
        let before = processor_ns();
        call(members);
        let done = members.take_effects();
        one.busy_ns += processor_ns() - before;
        let second = self.second();
        for done in done {
            let Effect::Send { to, payload } = done else { continue };
            self.nodes[node].sent.add(second, payload.len() + AROUND);
            let to = node_at(to);
            if self.passes(node, to) {
                let at = self.now + self.delay(node, to);
                self.put(at, to, What::Said(payload));
            }
        }
    }

    pub fn pass(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|d| d.0.at <= end) {
            let Some(Reverse(Due { at, node, what, .. })) = self.queue.pop() else { break };
            self.now = at;
            match what {
                What::Said(said) => {
                    if self.nodes[node].members.is_some() {
                        let second = self.second();
                        self.nodes[node].received.add(second, said.len() + AROUND);
                        self.call(node, |members| members.receive(at, &said));
                    }
                }
                What::Tick(run) if run == self.nodes[node].run => {
                    self.call(node, |members| members.tick(at));
                    self.tick_later(node);
                }
                What::Tick(_) => {}
            }
        }
        self.now = end;
    }

    /// Of all pairs of those that run and can hear each other, the share that know each other's present lives; less one for each
    /// that is taken to be there and is not.
    pub fn known(&self) -> f64 {
        let within = |node: usize| region(node) < self.cut;
        let lives: Vec<Option<u64>> = self
            .nodes
            .iter()
            .map(|n| n.members.as_ref().map(|m| m.identity().effective_incarnation()))
            .collect();
        let (mut right, mut wrong, mut pairs) = (0usize, 0usize, 0usize);
        for (node, one) in self.nodes.iter().enumerate() {
            let Some(members) = &one.members else { continue };
            let reached = |other: usize| lives[other].is_some() && within(node) == within(other);
            pairs += (0..lives.len()).filter(|&other| other != node && reached(other)).count();
            for id in members.alive() {
                let other = node_at(id.address);
                match reached(other) && lives[other] == Some(id.effective_incarnation()) {
                    true => right += 1,
                    false => wrong += 1,
                }
            }
        }
        (right as f64 - wrong as f64) / (pairs.max(1) as f64)
    }
}
