//! What the module's decisions cost: a front is played in virtual time and all that it is handed is kept; a second one,
//! in the same state, is then handed the same, while only its thread's processor time is counted.

use doorgrade::{CacheStatus, Outcome, Ticks};
use rustix::time::{ClockId, clock_gettime};

use super::play::{self, Answer, HOUR, Input, Members, Nowhere, PURGE_DONE, Play, Pushed, World};
use super::popularity::Draws;

/// How many accesses are played before those that are counted, and how many are counted.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub before: u64,
    pub counted: u64,
}

impl Load {
    /// The table of fills is full by then, and limits have found their heights.
    pub const FULL: Load = Load { before: 100_000, counted: 20_000 };
    /// Limits have found their heights.
    pub const QUICK: Load = Load { before: 8_000, counted: 4_000 };
}

const OBJECTS: u32 = 91_000_000;
/// Of those that fall short of it: a share of accesses that a site's caches have to fill.
const MISSES: f64 = 0.25;

/// The thread's processor time, in microseconds.
pub fn thread_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Caches that have to fill a part of what they are asked for.
struct Misses(fastrand::Rng);

impl World for Misses {
    fn serve(&mut self, now: Ticks, push: &Pushed) -> Answer {
        let miss = self.0.f64() < MISSES;
        let outcome = if push.look && miss { Outcome::Miss } else { Outcome::Handled };
        let (note, lag) = match (outcome, miss) {
            (Outcome::Miss, _) => (CacheStatus::SourceLacks, 50),
            (_, true) => (CacheStatus::Filled, 500),
            (_, false) => (CacheStatus::Hit, 100),
        };
        let age = if miss { 0 } else { self.0.u64(0..HOUR) };
        let made = (outcome == Outcome::Handled).then(|| now.saturating_sub(age));
        Answer { outcome, note, made, lag: lag + self.0.u64(0..2 * lag) }
    }
}

/// Microseconds of processor time in the module for each access, with all that follows from it.
pub fn access_us(members: Members, rate: f64, seed: u64, load: Load) -> Option<f64> {
    let mut draws = Draws::new(OBJECTS, 0.9, seed)?;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = Misses(fastrand::Rng::with_seed(seed ^ 1));
    // Both begin an hour in: copies may be older than the front.
    let (mut played, mut measured) = (Play::new(members, seed, HOUR), play::front(members, seed, HOUR));
    played.record = Some(Vec::new());
    let (mut at, mut used, mut counted) = (HOUR as f64, 0.0, 0);
    for n in 0..load.before + load.counted {
        at += -(1.0 - rng.f64()).ln() * 10_000.0 / rate;
        played.access(at as Ticks, draws.rank(), &mut world);
        let Some(record) = played.record.as_mut().filter(|r| r.len() >= 4_096) else { continue };
        let begun = thread_us();
        for (now, input) in record.iter() {
            play::hand(&mut measured, *now, input, &mut Nowhere);
        }
        if n >= load.before {
            used += thread_us() - begun;
            counted += record.iter().filter(|r| matches!(r.1, Input::Access(_))).count();
        }
        record.clear();
    }
    Some(used / counted.max(1) as f64)
}

/// Microseconds of processor time in the module for each purge, at so many a second.
pub fn purge_us(rate: f64, seed: u64, purges: u64) -> f64 {
    let mut front = play::front(Members { near: 6, far: 0, parents: 1 }, seed, 1);
    let mut rng = fastrand::Rng::with_seed(seed);
    let times: Vec<(Ticks, u64)> =
        (0..purges).map(|n| (PURGE_DONE + (n as f64 * 10_000.0 / rate) as Ticks, rng.u64(..))).collect();
    let begun = thread_us();
    for &(now, object) in &times {
        front.purge_received(now, Some(object), 0, 500);
    }
    (thread_us() - begun) / purges as f64
}

/// What a front is handed in a purge: the same as `purge_us`, for whoever wants its state.
pub fn purged_front(purges: u64) -> doorgrade::Front {
    let mut front = play::front(Members { near: 6, far: 0, parents: 1 }, 1, 1);
    for n in 0..purges {
        front.purge_received(PURGE_DONE, Some(n), 0, 500);
    }
    front
}

/// A front whose table of fills is full.
pub fn full_front(entries: u64) -> doorgrade::Front {
    let mut front = play::front(Members { near: 6, far: 0, parents: 1 }, 1, HOUR);
    for n in 0..entries {
        front.restore_fill(HOUR, (super::popularity::object(n as u32), 0), HOUR, HOUR);
    }
    front
}
