//! Processor time of the decision module. A front is simulated in virtual time and its inputs are recorded; they are then
//! applied to a second front in the same state, and only the processor time of that is counted.

use doorgrade::{CacheStatus, Outcome, Ticks};
use rustix::time::{ClockId, clock_gettime};

use super::popularity::ZipfSampler;
use super::simulation::{
    self, CacheModel, CacheResponse, HOUR, Input, MemberCounts, NullSink, PURGE_PROPAGATION, SimulatedPush,
    Simulation,
};

/// Numbers of accesses: those of the warm-up, and those that are measured after it.
#[derive(Clone, Copy, Debug)]
pub struct AccessCounts {
    pub warm_up: u64,
    pub measured: u64,
}

impl AccessCounts {
    /// After the warm-up the table of fills is full and the in-flight limits are stable.
    pub const FULL: AccessCounts = AccessCounts { warm_up: 100_000, measured: 20_000 };
    /// After the warm-up the in-flight limits are stable.
    pub const QUICK: AccessCounts = AccessCounts { warm_up: 8_000, measured: 4_000 };
}

const OBJECTS: u32 = 91_000_000;
/// The share of accesses that a site's caches have to fill.
const MISS_SHARE: f64 = 0.25;

/// The thread's processor time, in microseconds.
pub fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Caches that miss at random, for `MISS_SHARE` of the pushes.
struct RandomMisses(fastrand::Rng);

impl CacheModel for RandomMisses {
    fn serve(&mut self, now: Ticks, push: &SimulatedPush) -> CacheResponse {
        let miss = self.0.f64() < MISS_SHARE;
        let outcome = if push.is_lookup && miss { Outcome::Miss } else { Outcome::Handled };
        let (cache_status, min_latency) = match (outcome, miss) {
            (Outcome::Miss, _) => (CacheStatus::SourceLacks, 50),
            (_, true) => (CacheStatus::Filled, 500),
            (_, false) => (CacheStatus::Hit, 100),
        };
        let age = if miss { 0 } else { self.0.u64(0..HOUR) };
        let filled_at = (outcome == Outcome::Handled).then(|| now.saturating_sub(age));
        CacheResponse {
            outcome,
            cache_status,
            filled_at,
            latency: min_latency + self.0.u64(0..2 * min_latency),
        }
    }
}

/// Microseconds of processor time in the decision module for an access with all of its further inputs.
pub fn access_us(members: MemberCounts, rate: f64, seed: u64, accesses: AccessCounts) -> Option<f64> {
    let mut sampler = ZipfSampler::new(OBJECTS, 0.9, seed)?;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut caches = RandomMisses(fastrand::Rng::with_seed(seed ^ 1));
    // Both fronts start at one hour, so that copies can be older than the fronts.
    let (mut simulated, mut measured) =
        (Simulation::new(members, seed, HOUR), simulation::front(members, seed, HOUR));
    simulated.record = Some(Vec::new());
    let (mut at, mut cpu_us, mut count) = (HOUR as f64, 0.0, 0);
    for n in 0..accesses.warm_up + accesses.measured {
        at += -(1.0 - rng.f64()).ln() * 10_000.0 / rate;
        simulated.access(at as Ticks, sampler.sample(), &mut caches);
        let Some(record) = simulated.record.as_mut().filter(|r| r.len() >= 4_096) else { continue };
        let cpu_before = thread_cpu_us();
        for (now, input) in record.iter() {
            simulation::apply(&mut measured, *now, input, &mut NullSink);
        }
        if n >= accesses.warm_up {
            cpu_us += thread_cpu_us() - cpu_before;
            count += record.iter().filter(|r| matches!(r.1, Input::Access(_))).count();
        }
        record.clear();
    }
    Some(cpu_us / count.max(1) as f64)
}

/// Microseconds of processor time in the decision module for a purge, at `rate` purges a second.
pub fn purge_us(rate: f64, seed: u64, purges: u64) -> f64 {
    let mut front = simulation::front(MemberCounts { own_zone: 6, other_zones: 0, parents: 1 }, seed, 1);
    let mut rng = fastrand::Rng::with_seed(seed);
    let times: Vec<(Ticks, u64)> = (0..purges)
        .map(|n| (PURGE_PROPAGATION + (n as f64 * 10_000.0 / rate) as Ticks, rng.u64(..)))
        .collect();
    let cpu_before = thread_cpu_us();
    for &(now, object) in &times {
        front.purge_received(now, Some(object), 0, 500);
    }
    (thread_cpu_us() - cpu_before) / purges as f64
}

/// A front that has received `purges` purges at one time.
pub fn front_with_purges(purges: u64) -> doorgrade::Front {
    let mut front = simulation::front(MemberCounts { own_zone: 6, other_zones: 0, parents: 1 }, 1, 1);
    for n in 0..purges {
        front.purge_received(PURGE_PROPAGATION, Some(n), 0, 500);
    }
    front
}

/// A front whose table of fills has `entries` entries.
pub fn front_with_fills(entries: u64) -> doorgrade::Front {
    let mut front = simulation::front(MemberCounts { own_zone: 6, other_zones: 0, parents: 1 }, 1, HOUR);
    for n in 0..entries {
        front.restore_fill(HOUR, (super::popularity::object(n as u32), 0), HOUR, HOUR);
    }
    front
}
