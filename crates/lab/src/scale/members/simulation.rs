//! Discrete-event simulation of the membership protocol: the state machine of `crates/members` over links with delay, jitter
//! and loss between twelve regions. Each datagram is counted with the bytes it has on the wire, in the second in which it
//! is sent or received.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;

use doorgrade::Ticks;
use doorgrade_members::{Effect, MemberId, Members, Settings, seal};
use fastrand::Rng;
use rustix::time::{ClockId, clock_gettime};

pub const SECOND: Ticks = 10_000;
/// Sites, zones and regions of the target fleet. A smaller fleet fills them in the same order.
pub const SITES: usize = 44;
pub const ZONES: usize = 39;
pub const REGIONS: usize = 12;
/// Bytes of each datagram beside its payload: the headers of IPv4 and UDP, the kind and the seal. Ethernet is left out, since
/// operators don't pay for its bytes.
pub const DATAGRAM_OVERHEAD: usize = 20 + 8 + 1 + seal::SEAL_BYTES;
/// One-way delays within a region and between the two most distant regions: round trips of 10 and 150 ms.
const MIN_DELAY: Ticks = 50;
const MAX_DELAY: Ticks = 750;
const JITTER: Ticks = 50;
/// Share of datagrams lost, on every link.
const LOSS_RATE: f64 = 0.01;
/// Incarnations are milliseconds since 1970 in production, so the encoding of these has the same length.
const EPOCH_MS: u64 = 1_790_000_000_000;

enum EventKind {
    Datagram(Vec<u8>),
    /// With the generation of the process that set the timer.
    Tick(u32),
}

struct ScheduledEvent {
    at: Ticks,
    /// Orders events of the same time.
    number: u64,
    node: usize,
    kind: EventKind,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Bytes in each second since the start of the simulation.
#[derive(Clone, Default)]
pub struct BytesPerSecond(pub Vec<u32>);

impl BytesPerSecond {
    pub fn add(&mut self, second: usize, bytes: usize) {
        if self.0.len() <= second {
            self.0.resize(second + 1, 0);
        }
        self.0[second] += bytes as u32;
    }

    /// The total of seconds `from..to`.
    pub fn sum(&self, from: usize, to: usize) -> u64 {
        let all = self.0.get(from.min(self.0.len())..to.min(self.0.len())).unwrap_or_default();
        all.iter().map(|&b| u64::from(b)).sum()
    }
}

pub struct Node {
    /// None while the process is not running.
    pub members: Option<Members>,
    /// Incremented by each start and kill, so that timers of an earlier process are ignored.
    generation: u32,
    pub sent: BytesPerSecond,
    pub received: BytesPerSecond,
    /// Processor time of the calls to the state machine, in nanoseconds.
    pub cpu_ns: u64,
}

pub struct Simulation {
    pub now: Ticks,
    started_at: Ticks,
    rng: Rng,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    number: u64,
    /// Number of regions, from the first on, that are partitioned from all others; 0 without a partition.
    pub isolated_regions: usize,
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

/// Names have the length of those that operators give.
pub fn identity(node: usize, at: SocketAddrV4, incarnation: u64) -> MemberId {
    let (name, station) = (format!("front-{node:04}").into(), format!("site-{:02}", site(node)).into());
    MemberId { name, station, address: at, incarnation: EPOCH_MS + incarnation, renewals: 0 }
}

pub fn settings(size: usize, seeds: Vec<SocketAddrV4>) -> Settings {
    Settings {
        seeds,
        expected_members: size as u32,
        probe_interval: Settings::DEFAULT_PROBE_INTERVAL,
        max_datagrams_per_second: Settings::DEFAULT_MAX_DATAGRAMS_PER_SECOND,
    }
}

/// Processor time of this thread alone, so that other load on the machine doesn't count.
pub fn thread_cpu_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

impl Simulation {
    /// No member is started yet.
    pub fn new(seed: u64, size: usize) -> Simulation {
        let node = || Node {
            members: None,
            generation: 0,
            sent: BytesPerSecond::default(),
            received: BytesPerSecond::default(),
            cpu_ns: 0,
        };
        let nodes = (0..size).map(|_| node()).collect();
        let (started_at, queue) = (1_000 * SECOND, BinaryHeap::new());
        Simulation {
            now: started_at,
            started_at,
            rng: Rng::with_seed(seed),
            nodes,
            queue,
            number: 0,
            isolated_regions: 0,
        }
    }

    pub fn current_second(&self) -> usize {
        ((self.now - self.started_at) / SECOND) as usize
    }

    pub fn start(&mut self, node: usize) {
        let size = self.nodes.len();
        let seeds = [0, size / 2, size - 1].map(address).to_vec();
        let own = identity(node, address(node), self.now / 10);
        let state = &mut self.nodes[node];
        state.members = Some(Members::new(own, settings(size, seeds), self.rng.u64(..), self.now));
        state.generation += 1;
        self.schedule_tick(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].members = None;
        self.nodes[node].generation += 1;
    }

    fn schedule(&mut self, at: Ticks, node: usize, kind: EventKind) {
        self.number += 1;
        self.queue.push(Reverse(ScheduledEvent { at, number: self.number, node, kind }));
    }

    fn schedule_tick(&mut self, node: usize) {
        if let Some(members) = &self.nodes[node].members {
            let (at, generation) = (members.next_tick_at().max(self.now + 1), self.nodes[node].generation);
            self.schedule(at, node, EventKind::Tick(generation));
        }
    }

    /// One-way delay. It grows with the distance of the regions, which are placed on a circle.
    fn delay(&mut self, from: usize, to: usize) -> Ticks {
        let distance = region(from).abs_diff(region(to));
        let distance = distance.min(REGIONS - distance) as Ticks;
        MIN_DELAY + (MAX_DELAY - MIN_DELAY) * distance / (REGIONS as Ticks / 2) + self.rng.u64(0..JITTER)
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_isolated = |node: usize| region(node) < self.isolated_regions;
        to < self.nodes.len() && is_isolated(from) == is_isolated(to) && self.rng.f64() >= LOSS_RATE
    }

    /// Calls a member's state machine and sends the datagrams among its effects.
    fn call(&mut self, node: usize, call: impl FnOnce(&mut Members)) {
        let state = &mut self.nodes[node];
        let Some(members) = &mut state.members else { return };
        let before = thread_cpu_ns();
        call(members);
        let effects = members.take_effects();
        state.cpu_ns += thread_cpu_ns() - before;
        let second = self.current_second();
        for effect in effects {
            let Effect::Send { to, payload } = effect else { continue };
            self.nodes[node].sent.add(second, payload.len() + DATAGRAM_OVERHEAD);
            let to = node_at(to);
            if self.is_delivered(node, to) {
                let at = self.now + self.delay(node, to);
                self.schedule(at, to, EventKind::Datagram(payload));
            }
        }
    }

    /// Processes the events of a span of virtual time.
    pub fn advance(&mut self, duration: Ticks) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|d| d.0.at <= end) {
            let Some(Reverse(ScheduledEvent { at, node, kind, .. })) = self.queue.pop() else { break };
            self.now = at;
            match kind {
                EventKind::Datagram(datagram) => {
                    if self.nodes[node].members.is_some() {
                        let second = self.current_second();
                        self.nodes[node].received.add(second, datagram.len() + DATAGRAM_OVERHEAD);
                        self.call(node, |members| members.receive(at, &datagram));
                    }
                }
                EventKind::Tick(generation) if generation == self.nodes[node].generation => {
                    self.call(node, |members| members.tick(at));
                    self.schedule_tick(node);
                }
                EventKind::Tick(_) => {}
            }
        }
        self.now = end;
    }

    /// The share of pairs of running members that can reach each other in which one lists the current incarnation of the
    /// other as alive. Each member that is wrongly listed as alive is subtracted.
    pub fn known_share(&self) -> f64 {
        let is_isolated = |node: usize| region(node) < self.isolated_regions;
        let incarnations: Vec<Option<u64>> = self
            .nodes
            .iter()
            .map(|n| n.members.as_ref().map(|m| m.identity().effective_incarnation()))
            .collect();
        let (mut correct, mut wrong, mut pairs) = (0usize, 0usize, 0usize);
        for (node, state) in self.nodes.iter().enumerate() {
            let Some(members) = &state.members else { continue };
            let is_reachable =
                |other: usize| incarnations[other].is_some() && is_isolated(node) == is_isolated(other);
            pairs += (0..incarnations.len()).filter(|&other| other != node && is_reachable(other)).count();
            for id in members.alive() {
                let other = node_at(id.address);
                match is_reachable(other) && incarnations[other] == Some(id.effective_incarnation()) {
                    true => correct += 1,
                    false => wrong += 1,
                }
            }
        }
        (correct as f64 - wrong as f64) / (pairs.max(1) as f64)
    }
}
