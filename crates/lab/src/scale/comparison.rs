//! Whether a control-only front costs as much control traffic and processor time as a real one, which is the baseline. Twenty
//! of each kind form one fleet: they follow the same configuration service, are members of the same group and read the same
//! feed, with changes and purges at the target's rates and without faults.
//!
//! Bytes are counted by the links, which share no code with either kind. Processor time is that of the threads that do the
//! control work: `versions` and `neighbours` in each real process, and the threads of control-only fronts in this one. The
//! feed is left out on both sides, since a front reads it in its main thread together with all other work.

use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use doorgrade_standins::Feed;
use doorgrade_standins::ports::free_address;
use fastrand::Rng;

use super::control_only::{
    self, CONTROL_THREAD, ControlOnlyFront, FEED_THREAD, RuntimeThreads, StartOptions,
};
use super::control_rig::{ControlRig, content};
use crate::rig::{self, Front, thread_cpu_ms};

/// Fronts of each kind.
pub const FRONTS_PER_KIND: usize = 20;
/// Each kind has its own region, so that the links count its bytes separately. The round trip is that within a region.
const REGIONS: [&str; 2] = ["real", "hollow"];
const ROUND_TRIP_MS: u64 = 10;
/// Members, changes and purges of the target.
const MEMBERS: usize = 250;
const MEAN_CHANGE_INTERVAL_S: f64 = 2.0;
const PURGE_INTERVAL: Duration = Duration::from_micros(1_000_000 / 18);
/// The threads of a real front that do control work.
const REAL_THREADS: [&str; 2] = ["versions", "neighbours"];
/// Timeout of each wait.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The mean control cost of one front of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrontCost {
    pub stream_bytes_per_s: f64,
    pub datagram_bytes_per_s: f64,
    pub cpu_ms_per_s: f64,
}

impl FrontCost {
    pub fn bytes_per_s(&self) -> f64 {
        self.stream_bytes_per_s + self.datagram_bytes_per_s
    }
}

/// The costs of both kinds over the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Comparison {
    pub real: FrontCost,
    pub control_only: FrontCost,
    pub seconds: f64,
    pub changes: usize,
    pub purges: u64,
    /// Mean number of purges received by a control-only front.
    pub purges_received: f64,
}

impl Comparison {
    /// Bytes of a control-only front relative to those of a real one.
    pub fn bytes_ratio(&self) -> f64 {
        self.control_only.bytes_per_s() / self.real.bytes_per_s()
    }

    /// Processor time of a control-only front relative to that of a real one.
    pub fn cpu_ratio(&self) -> f64 {
        self.control_only.cpu_ms_per_s / self.real.cpu_ms_per_s
    }
}

/// Totals of all fronts of a kind since their start.
struct KindTotals {
    stream_bytes: usize,
    datagram_bytes: usize,
    cpu_ms: f64,
}

impl KindTotals {
    fn cost(&self, before: &KindTotals, seconds: f64) -> FrontCost {
        let rate = |now: f64, before: f64| (now - before) / seconds / FRONTS_PER_KIND as f64;
        FrontCost {
            stream_bytes_per_s: rate(self.stream_bytes as f64, before.stream_bytes as f64),
            datagram_bytes_per_s: rate(self.datagram_bytes as f64, before.datagram_bytes as f64),
            cpu_ms_per_s: rate(self.cpu_ms, before.cpu_ms),
        }
    }
}

/// The fronts of both kinds, with their rig.
struct Fleet {
    rig: ControlRig,
    real: Vec<Front>,
    control_only: Vec<ControlOnlyFront>,
}

/// For each front the address that it listens on and that of the link through which its datagrams reach it.
fn allocate_addresses(rig: &ControlRig, count: usize) -> Result<Vec<(SocketAddrV4, SocketAddrV4)>, String> {
    let listen = (0..count).map(|_| free_address());
    let with_link = |(n, listen): (usize, std::net::SocketAddr)| {
        let link = rig.links.udp_proxy(&link_name(n), listen).map_err(to_text)?;
        Ok((listen.to_string().parse().map_err(to_text)?, link.to_string().parse().map_err(to_text)?))
    };
    listen.enumerate().map(with_link).collect()
}

fn to_text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

/// The name by which the links know the `n`th front.
fn link_name(n: usize) -> String {
    format!("f{n}")
}

impl Fleet {
    fn start(
        program: &Path,
        seed: u64,
        feed: &Feed,
        threads: &mut [RuntimeThreads; 2],
    ) -> Result<Fleet, String> {
        let mut rig = ControlRig::start(&format!("lab-hollow-{seed}"), program, seed)?;
        REGIONS.iter().try_for_each(|name| rig.add_region(name, ROUND_TRIP_MS))?;
        let addresses = allocate_addresses(&rig, 2 * FRONTS_PER_KIND)?;
        let (mut real, mut control_only) = (Vec::new(), Vec::new());
        for n in 0..2 * FRONTS_PER_KIND {
            // The kinds alternate, so that neither starts earlier.
            let region = REGIONS[n % 2];
            let ((listen, address), seeds) = (addresses[n], [addresses[0].1, addresses[1].1]);
            let more_settings = format!(
                "neighbours {{\n  enabled = true\n  listen = \"{listen}\"\n  address = \"{address}\"\n  \
                 seeds = [\"{}\", \"{}\"]\n  station = \"{region}\"\n  seal_keys = \"seal-keys.hcl\"\n  \
                 about = {}\n}}\nrecall {{\n  enabled = true\n  store = \"recall-{n}.redb\"\n}}\n",
                seeds[0],
                seeds[1],
                2 * FRONTS_PER_KIND
            );
            let files = rig.write_front_files(n, region, feed.address, &more_settings)?;
            if n % 2 == 0 {
                real.push(rig.start_front(&files)?);
            } else {
                let [control, feeds] = threads;
                control_only.push(control_only::start(
                    &files,
                    StartOptions { store_versions: true },
                    control.next_handle(),
                    Some(feeds.next_handle()),
                )?);
            }
        }
        Ok(Fleet { rig, real, control_only })
    }

    /// The totals of each kind so far.
    fn totals(&self) -> [KindTotals; 2] {
        let datagrams = |kind: usize| {
            (0..FRONTS_PER_KIND)
                .map(|n| self.rig.links.sent_by(&link_name(2 * n + kind)).bytes)
                .sum::<usize>()
        };
        let control_cpu_ms =
            |front: &Front| REAL_THREADS.iter().map(|t| thread_cpu_ms(front.process_id(), t)).sum::<f64>();
        let cpu =
            [self.real.iter().map(control_cpu_ms).sum(), thread_cpu_ms(std::process::id(), CONTROL_THREAD)];
        [0, 1].map(|kind| KindTotals {
            stream_bytes: self.rig.region_bytes(REGIONS[kind]),
            datagram_bytes: datagrams(kind),
            cpu_ms: cpu[kind],
        })
    }
}

/// Runs the comparison for a number of seconds.
pub fn compare(program: &Path, seed: u64, seconds: f64) -> Result<Comparison, String> {
    let feed = Feed::start("127.0.0.1:0").map_err(to_text)?;
    let start_threads = |name, count| RuntimeThreads::start(name, count).map_err(to_text);
    let mut threads = [start_threads(CONTROL_THREAD, 1)?, start_threads(FEED_THREAD, 1)?];
    let fleet = Fleet::start(program, seed, &feed, &mut threads)?;
    let mut operator = fleet.rig.connect_operator()?;
    let all = 2 * FRONTS_PER_KIND as u64;
    operator.wait_until("all fronts to connect", TIMEOUT, |t| t.connected == all)?;
    // The first content is transferred as a whole. Only changes of it are measured.
    let (first, _) = operator.publish(&content(MEMBERS, |_| false))?;
    operator.wait_until("the first version on all fronts", TIMEOUT, |t| {
        t.current == all && t.base == Some(first)
    })?;
    std::thread::sleep(Duration::from_secs(5));

    let mut rng = Rng::with_seed(seed);
    let (before, began_at) = (fleet.totals(), Instant::now());
    let (mut changes, mut purges, mut next_change_s) = (0, 0, 0.0);
    while began_at.elapsed().as_secs_f64() < seconds {
        if began_at.elapsed().as_secs_f64() >= next_change_s {
            let changed = rng.usize(..MEMBERS);
            operator.publish(&content(MEMBERS, |n| n == changed))?;
            changes += 1;
            // Exponential intervals make a Poisson process.
            next_change_s += -MEAN_CHANGE_INTERVAL_S * (1.0 - rng.f64()).ln();
        }
        let expected_purges = (began_at.elapsed().as_secs_f64() / PURGE_INTERVAL.as_secs_f64()) as u64;
        while purges < expected_purges {
            purges += 1;
            feed.publish_purge(1 + purges, rng.u64(..), doorgrade_standins::unix_ms());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let (after, seconds) = (fleet.totals(), began_at.elapsed().as_secs_f64());
    let received: u64 =
        fleet.control_only.iter().map(|front| front.record.purges.load(Ordering::Relaxed)).sum();
    let [real, control_only] = [0, 1].map(|kind| after[kind].cost(&before[kind], seconds));
    let purges_received = received as f64 / FRONTS_PER_KIND as f64;
    Ok(Comparison { real, control_only, seconds, changes, purges, purges_received })
}

/// The front's program: the one given, or the one beside this program.
pub fn program(named: Option<std::path::PathBuf>) -> Result<std::path::PathBuf, String> {
    rig::program(named)
}
