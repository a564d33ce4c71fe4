//! The cost of the configuration service by the number of fronts: processor time, memory and bytes. The service is a process
//! of its own; control-only fronts and some real ones follow it over TLS from twelve regions.
//!
//! Each seed has one service, to which fronts are added up to each size in turn. The measurements at each size are the new
//! connections, a time at rest, which is the baseline, changes of one member and of a twentieth of all, and the reconnection
//! of all fronts after the service was killed and started again. At the largest size one region is partitioned from the
//! service, a change is published, and the partition ends. Processor time and memory are those of the service, from /proc.
//! Bytes are counted by the links, in both directions and with TLS.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use doorgrade_standins::Feed;
use fastrand::Rng;

use super::comparison::{Comparison, compare};
use super::control_only::{self, CONTROL_THREAD, ControlOnlyFront, RuntimeThreads, StartOptions};
use super::control_rig::{ControlRig, Operator, content, cpu_ms};
use super::service_figures::{SizeResult, report};
use super::{Budget, Context, Needs, Part, ScaleError};
use crate::rig::{self, Front, memory_mb};

/// Upper bounds of the memory for one front of each kind, with both ends of its TLS connection and its link.
const REAL_FRONT_BYTES: u64 = 40_000_000;
const CONTROL_ONLY_FRONT_BYTES: u64 = 1_500_000;

pub(super) const PART: Part = Part {
    name: "service",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |size, quick| {
        let schedule = if quick { &QUICK } else { &FULL };
        let parallel_runs = if quick { 3 } else { 1 };
        let processes = parallel_runs * (schedule.real_fronts + 1);
        Needs {
            processes,
            resident_bytes: processes as u64 * REAL_FRONT_BYTES
                + (parallel_runs * size) as u64 * CONTROL_ONLY_FRONT_BYTES,
        }
    },
    run,
};

/// Round trips between the regions and the service.
const ROUND_TRIPS_MS: [u64; 12] = [10, 22, 36, 48, 60, 74, 86, 98, 112, 124, 136, 150];
/// Caches in a content: those of the target.
const MEMBERS: usize = 250;
/// Members that the larger change affects.
const TWENTIETH_OF_MEMBERS: usize = MEMBERS / 20;
/// Timeout of each wait, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Accesses, all answered in time, that each call of `add_accesses` adds to the counts of a control-only front.
const ACCESSES_PER_CALL: u64 = 200;

/// Fronts, durations and counts of the measurements of a run.
struct Schedule {
    real_fronts: usize,
    /// A multiple of the 5 s after which a front reports its access counts.
    rest_s: f64,
    /// Changes of each kind.
    changes: usize,
    /// Mean seconds between changes; without it, that of the options applies.
    change_each_s: Option<f64>,
    partition_s: f64,
    comparison_s: f64,
    /// Threads that run the control-only fronts.
    threads: usize,
}

const FULL: Schedule = Schedule {
    real_fronts: 20,
    rest_s: 15.0,
    changes: 8,
    change_each_s: None,
    partition_s: 120.0,
    comparison_s: 60.0,
    threads: 2,
};
const QUICK: Schedule = Schedule {
    real_fronts: 3,
    rest_s: 5.0,
    changes: 2,
    change_each_s: Some(0.2),
    partition_s: 5.0,
    comparison_s: 5.0,
    threads: 1,
};

/// A running service with its fronts.
struct ServiceRun<'a> {
    schedule: &'a Schedule,
    /// Mean seconds between changes.
    change_each_s: f64,
    budget: &'a Budget,
    rig: ControlRig,
    operator: Operator,
    feed: SocketAddr,
    threads: RuntimeThreads,
    real: Vec<Front>,
    control_only: Vec<ControlOnlyFront>,
    rng: Rng,
    /// The first of the members that are draining in the latest content.
    first_changed: usize,
}

fn region(n: usize) -> String {
    format!("region{n}")
}

impl ServiceRun<'_> {
    fn front_count(&self) -> u64 {
        (self.real.len() + self.control_only.len()) as u64
    }

    fn check(&self) -> Result<(), String> {
        self.budget.check().map_err(|e| e.to_string())
    }

    /// Adds control-only fronts up to a size, and waits until all fronts run the version in force.
    fn add_fronts(&mut self, size: usize) -> Result<(), String> {
        let real = self.real.len();
        for n in self.control_only.len()..size {
            self.check()?;
            let files =
                self.rig.write_front_files(real + n, &region(n % ROUND_TRIPS_MS.len()), self.feed, "")?;
            let options = StartOptions { store_versions: false };
            self.control_only.push(control_only::start(&files, options, self.threads.next_handle(), None)?);
        }
        self.wait_until_all_current().map(drop)
    }

    fn wait_until_all_current(&mut self) -> Result<Duration, String> {
        let all = self.front_count();
        self.operator.wait_until("the version in force on all fronts", TIMEOUT, |t| {
            t.connected == all && t.current == all && t.publication.is_none()
        })
    }

    /// Publishes a content in which this number of members is draining. Returns the seconds until all fronts had reported that
    /// they run it, and the rejected attempts.
    fn publish_change(&mut self, members: usize) -> Result<(f64, usize), String> {
        self.first_changed = (self.first_changed + members) % MEMBERS;
        let from = self.first_changed;
        let text = content(MEMBERS, |n| (n + MEMBERS - from) % MEMBERS < members);
        let began_at = Instant::now();
        let (id, rejected) = self.operator.publish(&text)?;
        let all = self.front_count();
        self.operator
            .wait_until("a change on all fronts", TIMEOUT, |t| t.current == all && t.base == Some(id))?;
        Ok((began_at.elapsed().as_secs_f64(), rejected))
    }

    /// Adds to the counts that the control-only fronts report.
    fn add_accesses(&self) {
        self.control_only
            .iter()
            .for_each(|front| front.record.add_accesses(ACCESSES_PER_CALL, ACCESSES_PER_CALL));
    }

    /// Measures an action: the service's processor time in milliseconds, its bytes, the seconds, and the action's result.
    fn measure<T>(
        &mut self,
        action: impl FnOnce(&mut Self) -> Result<T, String>,
    ) -> Result<(f64, f64, f64, T), String> {
        let process = self.rig.process_id();
        let (cpu, bytes, began_at) = (cpu_ms(process), self.rig.total_bytes(), Instant::now());
        let result = action(self)?;
        let seconds = began_at.elapsed().as_secs_f64();
        Ok((cpu_ms(process) - cpu, (self.rig.total_bytes() - bytes) as f64, seconds, result))
    }

    /// Lets time pass without changes.
    fn rest(&mut self) -> Result<(), String> {
        let began_at = Instant::now();
        while began_at.elapsed().as_secs_f64() < self.schedule.rest_s {
            self.check()?;
            self.add_accesses();
            std::thread::sleep(Duration::from_millis(250));
        }
        Ok(())
    }

    /// Publishes changes of this number of members as a Poisson process. Returns for each the seconds until all fronts ran it.
    /// The caller subtracts the cost at rest.
    fn publish_changes(&mut self, members: usize) -> Result<Vec<f64>, String> {
        let (mut next_s, began_at, mut durations) = (0.0, Instant::now(), Vec::new());
        for _ in 0..self.schedule.changes {
            next_s -= self.change_each_s * (1.0 - self.rng.f64()).ln();
            while began_at.elapsed().as_secs_f64() < next_s {
                self.check()?;
                std::thread::sleep(Duration::from_millis(10));
            }
            durations.push(self.publish_change(members)?.0);
        }
        Ok(durations)
    }

    /// Kills the service and starts it again at once. Returns the processor time of the new process in milliseconds, the bytes, and
    /// the seconds until all fronts are connected and current.
    fn reconnect(&mut self) -> Result<(f64, f64, f64), String> {
        let (bytes, began_at) = (self.rig.total_bytes(), Instant::now());
        self.rig.restart()?;
        self.operator = self.rig.connect_operator()?;
        self.wait_until_all_current()?;
        let seconds = began_at.elapsed().as_secs_f64();
        Ok((cpu_ms(self.rig.process_id()), (self.rig.total_bytes() - bytes) as f64, seconds))
    }

    /// Partitions a region from the service, publishes a change and ends the partition. Returns the seconds from its end until
    /// the region runs the change.
    fn partition_region(&mut self) -> Result<f64, String> {
        let region_index = ROUND_TRIPS_MS.len() - 1;
        self.rig.partition(&region(region_index));
        let began_at = Instant::now();
        self.first_changed += 1;
        let from = self.first_changed;
        let (id, _) = self.operator.publish(&content(MEMBERS, |n| n == from % MEMBERS))?;
        while began_at.elapsed().as_secs_f64() < self.schedule.partition_s {
            self.check()?;
            self.add_accesses();
            std::thread::sleep(Duration::from_millis(100));
        }
        let healed_at = Instant::now();
        self.rig.heal(&region(region_index), ROUND_TRIPS_MS[region_index]);
        let all = self.front_count();
        self.operator.wait_until("the change in the healed region", 2 * TIMEOUT, |t| {
            t.connected == all && t.current == all && t.last >= id.number
        })?;
        Ok(healed_at.elapsed().as_secs_f64())
    }

    /// All measurements at one size.
    fn measure_size(&mut self, size: usize, seed: u64) -> Result<SizeResult, String> {
        let before = self.control_only.len();
        let (cpu, bytes, _, ()) = self.measure(|run| run.add_fronts(size))?;
        let added = (self.control_only.len() - before) as f64;
        let mut result = SizeResult {
            fronts: self.front_count() as usize,
            seed,
            connect_cpu_ms: cpu / added,
            connect_bytes: bytes / added,
            ..SizeResult::default()
        };
        let (cpu, bytes, seconds, ()) = self.measure(Self::rest)?;
        (result.rest_cpu_ms_per_s, result.rest_bytes_per_s) = (cpu / seconds, bytes / seconds);
        let changes = self.schedule.changes as f64;
        for (members, cost) in [(1, &mut result.line), (TWENTIETH_OF_MEMBERS, &mut result.twentieth)] {
            let (cpu, bytes, seconds, durations) = self.measure(|run| run.publish_changes(members))?;
            cost.cpu_ms = (cpu - result.rest_cpu_ms_per_s * seconds) / changes;
            cost.bytes = (bytes - result.rest_bytes_per_s * seconds) / changes;
            cost.everywhere_s = durations.iter().copied().fold(0.0, f64::max);
            cost.core_share = cpu / seconds / 1e3;
        }
        result.mb = memory_mb(self.rig.process_id())?;
        let (cpu, bytes, seconds) = self.reconnect()?;
        (result.reconnect_cpu_ms, result.reconnect_bytes, result.reconnect_s) = (cpu, bytes, seconds);
        Ok(result)
    }
}

/// Runs all sizes with one seed. Returns their results, and the seconds that a healed region took at the largest size.
fn run_seed(
    schedule: &Schedule,
    change_each_s: f64,
    budget: &Budget,
    program: &Path,
    sizes: &[usize],
    seed: u64,
) -> Result<(Vec<SizeResult>, f64), String> {
    let feed = Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?;
    let mut rig = ControlRig::start(&format!("lab-service-{seed}"), program, seed)?;
    for (n, round_trip) in ROUND_TRIPS_MS.iter().enumerate() {
        rig.add_region(&region(n), *round_trip)?;
    }
    let operator = rig.connect_operator()?;
    let threads = RuntimeThreads::start(CONTROL_THREAD, schedule.threads).map_err(|e| e.to_string())?;
    let (real, control_only, rng) = (Vec::new(), Vec::new(), Rng::with_seed(seed));
    let feed_address = feed.address;
    let mut run = ServiceRun {
        schedule,
        change_each_s,
        budget,
        rig,
        operator,
        feed: feed_address,
        threads,
        real,
        control_only,
        rng,
        first_changed: 0,
    };
    for n in 0..schedule.real_fronts {
        let needs = Needs { processes: 1, resident_bytes: REAL_FRONT_BYTES };
        budget.check_start("a real front", needs).map_err(|e| e.to_string())?;
        let files = run.rig.write_front_files(n, &region(n % ROUND_TRIPS_MS.len()), feed_address, "")?;
        run.real.push(run.rig.start_front(&files)?);
    }
    // Without a connected front, the first version would stay on trial.
    let real = schedule.real_fronts as u64;
    run.operator.wait_until("the real fronts to connect", TIMEOUT, |t| t.connected == real)?;
    let (id, _) = run.operator.publish(&content(MEMBERS, |_| false))?;
    run.operator.wait_until("the first version", TIMEOUT, |t| t.base == Some(id))?;
    let results = sizes.iter().map(|&size| run.measure_size(size, seed)).collect::<Result<_, _>>()?;
    let healed = run.partition_region()?;
    Ok((results, healed))
}

/// The seeds of a quick run are run in parallel, which changes times but not byte counts.
fn run_seeds(
    context: &Context,
    schedule: &Schedule,
    program: &Path,
) -> Result<Vec<(Vec<SizeResult>, f64)>, String> {
    let (sizes, budget, quick) = (context.sizes(), &*context.budget, context.options.quick);
    let change_each_s = schedule.change_each_s.unwrap_or(context.options.change_each_s);
    let run_one = |seed: u64| run_seed(schedule, change_each_s, budget, program, &sizes, seed);
    if !quick {
        return context.seeds().into_iter().map(run_one).collect();
    }
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            context.seeds().into_iter().map(|seed| scope.spawn(move || run_one(seed))).collect();
        let results = threads.into_iter().map(|t| t.join().unwrap_or_else(|_| Err("a run panicked".into())));
        results.collect()
    })
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    context.check()?;
    let schedule = if context.options.quick { &QUICK } else { &FULL };
    let program = rig::program(context.options.front.clone()).map_err(|e| context.part_error(e))?;
    let seed = context.options.seed;
    let compared: Comparison =
        compare(&program, seed, schedule.comparison_s).map_err(|e| context.part_error(e))?;
    context.check()?;
    let results = run_seeds(context, schedule, &program).map_err(|e| context.part_error(e))?;
    context.check()?;
    report(context, &compared, &results, schedule.real_fronts, schedule.partition_s)
}
