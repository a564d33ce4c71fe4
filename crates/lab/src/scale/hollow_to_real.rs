//! Whether a hollow instance stands for a real one: twenty of each on the same day, in one fleet. They follow the same
//! service, are members of one another, and read the same feed; what each kind costs for control stands side by side.
//!
//! Bytes are counted by the links, which share no code with either. Processor time is that of the threads that do the
//! control side's work: `versions` and `neighbours` in each real process, and this process's threads of hollow ones. The
//! feed is read by the main thread of a front, with all else that it does, and is left out on both sides.

use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use doorgrade_standins::Feed;
use doorgrade_standins::ports::free_address;
use fastrand::Rng;

use super::control_rig::{ControlRig, content};
use super::hollow::{self, CONTROL_THREAD, Does, FEED_THREAD, Threads};
use crate::rig::{self, Front, thread_cpu_ms};

/// Of each kind.
pub const OF_EACH: usize = 20;
/// Where both kinds are, so that their bytes are counted apart. The round trip is one inside a region.
const REGIONS: [&str; 2] = ["real", "hollow"];
const ROUND_TRIP_MS: u64 = 10;
/// As the target has them.
const MEMBERS: usize = 250;
const CHANGE_EACH_S: f64 = 2.0;
const PURGE_EACH: Duration = Duration::from_micros(1_000_000 / 18);
/// Threads of a real front that are its control side.
const REAL_THREADS: [&str; 2] = ["versions", "neighbours"];
/// For all to have connected and found one another.
const WITHIN: Duration = Duration::from_secs(60);

/// What one of a kind costs, on average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub stream_bytes_per_s: f64,
    pub datagram_bytes_per_s: f64,
    pub cpu_ms_per_s: f64,
}

impl Cost {
    pub fn bytes_per_s(&self) -> f64 {
        self.stream_bytes_per_s + self.datagram_bytes_per_s
    }
}

/// Both kinds over the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Compared {
    pub real: Cost,
    pub hollow: Cost,
    pub seconds: f64,
    pub changes: usize,
    pub purges: u64,
    /// Purges that a hollow one took, on average.
    pub purges_taken: f64,
}

impl Compared {
    pub fn bytes(&self) -> f64 {
        self.hollow.bytes_per_s() / self.real.bytes_per_s()
    }

    pub fn cpu(&self) -> f64 {
        self.hollow.cpu_ms_per_s / self.real.cpu_ms_per_s
    }
}

struct Sum {
    streams: usize,
    datagrams: usize,
    cpu_ms: f64,
}

impl Sum {
    fn cost(&self, before: &Sum, seconds: f64) -> Cost {
        let each = |now: f64, before: f64| (now - before) / seconds / OF_EACH as f64;
        Cost {
            stream_bytes_per_s: each(self.streams as f64, before.streams as f64),
            datagram_bytes_per_s: each(self.datagrams as f64, before.datagrams as f64),
            cpu_ms_per_s: each(self.cpu_ms, before.cpu_ms),
        }
    }
}

struct Day {
    rig: ControlRig,
    real: Vec<Front>,
    hollow: Vec<hollow::Running>,
}

/// What a fleet of both kinds says of its neighbours. Datagrams pass the links, which know each by its name.
fn neighbours(rig: &ControlRig, all: usize) -> Result<Vec<(SocketAddrV4, SocketAddrV4)>, String> {
    let own = (0..all).map(|_| free_address());
    let reach = |(n, own): (usize, std::net::SocketAddr)| {
        let at = rig.links.udp_proxy(&member(n), own).map_err(text)?;
        Ok((own.to_string().parse().map_err(text)?, at.to_string().parse().map_err(text)?))
    };
    own.enumerate().map(reach).collect()
}

fn text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// The `n`th one's datagrams, among the links.
fn member(n: usize) -> String {
    format!("f{n}")
}

impl Day {
    fn start(program: &Path, seed: u64, feed: &Feed, threads: &mut [Threads; 2]) -> Result<Day, String> {
        let mut rig = ControlRig::start(&format!("lab-hollow-{seed}"), program, seed)?;
        REGIONS.iter().try_for_each(|name| rig.region(name, ROUND_TRIP_MS))?;
        let at = neighbours(&rig, 2 * OF_EACH)?;
        let (mut real, mut hollow) = (Vec::new(), Vec::new());
        for n in 0..2 * OF_EACH {
            // One of each in turn, so that neither kind comes first.
            let region = REGIONS[n % 2];
            let ((listen, address), seeds) = (at[n], [at[0].1, at[1].1]);
            let more = format!(
                "neighbours {{\n  enabled = true\n  listen = \"{listen}\"\n  address = \"{address}\"\n  \
                 seeds = [\"{}\", \"{}\"]\n  station = \"{region}\"\n  seal_keys = \"seal-keys.hcl\"\n  \
                 about = {}\n}}\nrecall {{\n  enabled = true\n  store = \"recall-{n}.redb\"\n}}\n",
                seeds[0],
                seeds[1],
                2 * OF_EACH
            );
            let files = rig.files(n, region, feed.address, &more)?;
            if n % 2 == 0 {
                real.push(rig.front(&files)?);
            } else {
                let [control, feeds] = threads;
                hollow.push(hollow::start(
                    &files,
                    Does { stores: true },
                    control.handle(),
                    Some(feeds.handle()),
                )?);
            }
        }
        Ok(Day { rig, real, hollow })
    }

    /// What each kind has taken so far.
    fn sums(&self) -> [Sum; 2] {
        let datagrams = |kind: usize| {
            (0..OF_EACH).map(|n| self.rig.links.sent_by(&member(2 * n + kind)).bytes).sum::<usize>()
        };
        let threads =
            |front: &Front| REAL_THREADS.iter().map(|t| thread_cpu_ms(front.process_id(), t)).sum::<f64>();
        let cpu = [self.real.iter().map(threads).sum(), thread_cpu_ms(std::process::id(), CONTROL_THREAD)];
        [0, 1].map(|kind| Sum {
            streams: self.rig.bytes(REGIONS[kind]),
            datagrams: datagrams(kind),
            cpu_ms: cpu[kind],
        })
    }
}

/// A day of so many seconds.
pub fn compare(program: &Path, seed: u64, seconds: f64) -> Result<Compared, String> {
    let feed = Feed::start("127.0.0.1:0").map_err(text)?;
    let start = |name, count| Threads::start(name, count).map_err(text);
    let mut threads = [start(CONTROL_THREAD, 1)?, start(FEED_THREAD, 1)?];
    let day = Day::start(program, seed, &feed, &mut threads)?;
    let mut operator = day.rig.operator()?;
    let all = 2 * OF_EACH as u64;
    operator.until("each front", WITHIN, |t| t.connected == all)?;
    // The first content is whole; what costs on an ordinary day are changes of it.
    let (first, _) = operator.publish(&content(MEMBERS, |_| false))?;
    operator.until("the first version", WITHIN, |t| t.current == all && t.base == Some(first))?;
    std::thread::sleep(Duration::from_secs(5));

    let mut rng = Rng::with_seed(seed);
    let (before, begun) = (day.sums(), Instant::now());
    let (mut changes, mut purges, mut next) = (0, 0, 0.0);
    while begun.elapsed().as_secs_f64() < seconds {
        if begun.elapsed().as_secs_f64() >= next {
            let changed = rng.usize(..MEMBERS);
            operator.publish(&content(MEMBERS, |n| n == changed))?;
            changes += 1;
            // Poisson: pauses are exponential.
            next += -CHANGE_EACH_S * (1.0 - rng.f64()).ln();
        }
        let due = (begun.elapsed().as_secs_f64() / PURGE_EACH.as_secs_f64()) as u64;
        while purges < due {
            purges += 1;
            feed.publish_purge(1 + purges, rng.u64(..), doorgrade_standins::unix_ms());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let (after, seconds) = (day.sums(), begun.elapsed().as_secs_f64());
    let taken: u64 = day.hollow.iter().map(|h| h.record.purges.load(Ordering::Relaxed)).sum();
    let [real, hollow] = [0, 1].map(|kind| after[kind].cost(&before[kind], seconds));
    let purges_taken = taken as f64 / OF_EACH as f64;
    Ok(Compared { real, hollow, seconds, changes, purges, purges_taken })
}

/// The program beside this one, unless another is named.
pub fn program(named: Option<std::path::PathBuf>) -> Result<std::path::PathBuf, String> {
    rig::program(named)
}
