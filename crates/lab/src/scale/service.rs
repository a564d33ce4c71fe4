//! The configuration service as a process of its own, with hollow followers and some real fronts over TLS in twelve regions.
//!
//! For each seed one service; fronts are added up to each size in turn. At each size: what connecting cost, a time at rest,
//! changes of one line and of a twentieth of the whole, and all fronts reconnecting after the service was killed and started
//! again. At the largest size a region is cut, a change made meanwhile, and the region healed. Processor time and memory
//! are the service's own, from /proc; bytes are counted by the links, both ways, TLS included.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use doorgrade_standins::Feed;
use fastrand::Rng;

use super::control_rig::{ControlRig, Operator, content, cpu_ms};
use super::hollow::{self, CONTROL_THREAD, Does, Threads};
use super::hollow_to_real::{Compared, compare};
use super::service_figures::{Size, report};
use super::{Budget, Context, Needs, Part, ScaleError};
use crate::rig::{self, Front, memory_mb};

/// What one real front and one hollow one hold, with their ends of TLS and of the links, at the most.
const REAL_BYTES: u64 = 40_000_000;
const HOLLOW_BYTES: u64 = 1_500_000;

pub(super) const PART: Part = Part {
    name: "service",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |size, quick| {
        let pace = if quick { &QUICK } else { &FULL };
        let at_once = if quick { 3 } else { 1 };
        let real = at_once * (pace.real + 1);
        Needs {
            processes: real,
            resident_bytes: real as u64 * REAL_BYTES + (at_once * size) as u64 * HOLLOW_BYTES,
        }
    },
    run,
};

/// Round trips of the regions, in milliseconds: 10 to 150.
const ROUND_TRIPS_MS: [u64; 12] = [10, 22, 36, 48, 60, 74, 86, 98, 112, 124, 136, 150];
/// Caches in a content, as the target has them.
const MEMBERS: usize = 250;
/// Of those, changed at once in the larger change.
const A_TWENTIETH: usize = MEMBERS / 20;
/// For all to come to be; more on a busy machine.
const WITHIN: Duration = Duration::from_secs(120);
/// Accesses that a hollow front says it had, all in time, each time that is set.
const SERVED: u64 = 200;

/// How long each measurement takes.
struct Pace {
    real: usize,
    /// A multiple of the 5 s after which a front says how it serves.
    rest_s: f64,
    /// Of each kind.
    changes: usize,
    change_each_s: Option<f64>,
    cut_s: f64,
    compare_s: f64,
    threads: usize,
}

const FULL: Pace = Pace {
    real: 20,
    rest_s: 15.0,
    changes: 8,
    change_each_s: None,
    cut_s: 120.0,
    compare_s: 60.0,
    threads: 2,
};
const QUICK: Pace = Pace {
    real: 3,
    rest_s: 5.0,
    changes: 2,
    change_each_s: Some(0.2),
    cut_s: 5.0,
    compare_s: 5.0,
    threads: 1,
};

/// One service with its fronts, while it lasts.
struct Run<'a> {
    pace: &'a Pace,
    /// Seconds between changes, on average.
    change_each_s: f64,
    budget: &'a Budget,
    rig: ControlRig,
    operator: Operator,
    feed: SocketAddr,
    threads: Threads,
    real: Vec<Front>,
    hollow: Vec<hollow::Running>,
    rng: Rng,
    /// Members that the next content has on their way out, from this one on.
    changed: usize,
}

fn region(n: usize) -> String {
    format!("region{n}")
}

impl Run<'_> {
    fn all(&self) -> u64 {
        (self.real.len() + self.hollow.len()) as u64
    }

    fn check(&self) -> Result<(), String> {
        self.budget.check().map_err(|e| e.to_string())
    }

    /// Adds hollow fronts up to a size, and waits until the service knows that all of them run what is everyone's.
    fn grow(&mut self, size: usize) -> Result<(), String> {
        let real = self.real.len();
        for n in self.hollow.len()..size {
            self.check()?;
            let files = self.rig.files(real + n, &region(n % ROUND_TRIPS_MS.len()), self.feed, "")?;
            let does = Does { stores: false };
            self.hollow.push(hollow::start(&files, does, self.threads.handle(), None)?);
        }
        self.all_run().map(drop)
    }

    fn all_run(&mut self) -> Result<Duration, String> {
        let all = self.all();
        self.operator.until("what is everyone's at each front", WITHIN, |t| {
            t.connected == all && t.current == all && t.publication.is_none()
        })
    }

    /// A content with so many members changed; seconds until each front has said that it runs it.
    fn change(&mut self, lines: usize) -> Result<(f64, usize), String> {
        self.changed = (self.changed + lines) % MEMBERS;
        let from = self.changed;
        let text = content(MEMBERS, |n| (n + MEMBERS - from) % MEMBERS < lines);
        let begun = Instant::now();
        let (id, refused) = self.operator.publish(&text)?;
        let all = self.all();
        self.operator.until("a change at each front", WITHIN, |t| t.current == all && t.base == Some(id))?;
        Ok((begun.elapsed().as_secs_f64(), refused))
    }

    /// All hollow ones say in their next reports that they served.
    fn serve(&self) {
        self.hollow.iter().for_each(|h| h.record.serve(SERVED, SERVED));
    }

    /// What passes in a time, and what the service takes of it: milliseconds and bytes.
    fn measured<T>(
        &mut self,
        during: impl FnOnce(&mut Self) -> Result<T, String>,
    ) -> Result<(f64, f64, f64, T), String> {
        let process = self.rig.process();
        let (cpu, bytes, begun) = (cpu_ms(process), self.rig.all_bytes(), Instant::now());
        let came = during(self)?;
        let seconds = begun.elapsed().as_secs_f64();
        Ok((cpu_ms(process) - cpu, (self.rig.all_bytes() - bytes) as f64, seconds, came))
    }

    fn rest(&mut self) -> Result<(), String> {
        let begun = Instant::now();
        while begun.elapsed().as_secs_f64() < self.pace.rest_s {
            self.check()?;
            self.serve();
            std::thread::sleep(Duration::from_millis(250));
        }
        Ok(())
    }

    /// Changes of so many lines, Poisson; the times until each was everywhere. What passes besides is taken off by the
    /// caller.
    fn changes(&mut self, lines: usize) -> Result<Vec<f64>, String> {
        let (mut next, begun, mut took) = (0.0, Instant::now(), Vec::new());
        for _ in 0..self.pace.changes {
            next -= self.change_each_s * (1.0 - self.rng.f64()).ln();
            while begun.elapsed().as_secs_f64() < next {
                self.check()?;
                std::thread::sleep(Duration::from_millis(10));
            }
            took.push(self.change(lines)?.0);
        }
        Ok(took)
    }

    /// The service is killed and comes back at once; milliseconds that the new one took, bytes, and seconds until all are
    /// back.
    fn reconnect(&mut self) -> Result<(f64, f64, f64), String> {
        let (bytes, begun) = (self.rig.all_bytes(), Instant::now());
        self.rig.restart()?;
        self.operator = self.rig.operator()?;
        self.all_run()?;
        let seconds = begun.elapsed().as_secs_f64();
        Ok((cpu_ms(self.rig.process()), (self.rig.all_bytes() - bytes) as f64, seconds))
    }

    /// A region is cut, a change made, and the region healed; seconds until it runs the change.
    fn cut(&mut self) -> Result<f64, String> {
        let cut = ROUND_TRIPS_MS.len() - 1;
        self.rig.cut(&region(cut));
        let begun = Instant::now();
        self.changed += 1;
        let from = self.changed;
        let (id, _) = self.operator.publish(&content(MEMBERS, |n| n == from % MEMBERS))?;
        while begun.elapsed().as_secs_f64() < self.pace.cut_s {
            self.check()?;
            self.serve();
            std::thread::sleep(Duration::from_millis(100));
        }
        let healed = Instant::now();
        self.rig.heal(&region(cut), ROUND_TRIPS_MS[cut]);
        let all = self.all();
        self.operator.until("the healed region on the change", 2 * WITHIN, |t| {
            t.connected == all && t.current == all && t.last >= id.number
        })?;
        Ok(healed.elapsed().as_secs_f64())
    }

    fn size(&mut self, size: usize, seed: u64) -> Result<Size, String> {
        let before = self.hollow.len();
        let (cpu, bytes, _, ()) = self.measured(|run| run.grow(size))?;
        let came = (self.hollow.len() - before) as f64;
        let mut found = Size {
            fronts: self.all() as usize,
            seed,
            connect_cpu_ms: cpu / came,
            connect_bytes: bytes / came,
            ..Size::default()
        };
        let (cpu, bytes, seconds, ()) = self.measured(Self::rest)?;
        (found.rest_cpu_ms_per_s, found.rest_bytes_per_s) = (cpu / seconds, bytes / seconds);
        let changes = self.pace.changes as f64;
        for (lines, of) in [(1, &mut found.line), (A_TWENTIETH, &mut found.twentieth)] {
            let (cpu, bytes, seconds, took) = self.measured(|run| run.changes(lines))?;
            of.cpu_ms = (cpu - found.rest_cpu_ms_per_s * seconds) / changes;
            of.bytes = (bytes - found.rest_bytes_per_s * seconds) / changes;
            of.everywhere_s = took.iter().copied().fold(0.0, f64::max);
            of.core_share = cpu / seconds / 1e3;
        }
        found.mb = memory_mb(self.rig.process())?;
        let (cpu, bytes, seconds) = self.reconnect()?;
        (found.reconnect_cpu_ms, found.reconnect_bytes, found.reconnect_s) = (cpu, bytes, seconds);
        Ok(found)
    }
}

/// All sizes under one seed, and how long a healed region took at the largest.
fn one(
    pace: &Pace,
    change_each_s: f64,
    budget: &Budget,
    program: &Path,
    sizes: &[usize],
    seed: u64,
) -> Result<(Vec<Size>, f64), String> {
    let feed = Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?;
    let mut rig = ControlRig::start(&format!("lab-service-{seed}"), program, seed)?;
    for (n, round_trip) in ROUND_TRIPS_MS.iter().enumerate() {
        rig.region(&region(n), *round_trip)?;
    }
    let operator = rig.operator()?;
    let threads = Threads::start(CONTROL_THREAD, pace.threads).map_err(|e| e.to_string())?;
    let (real, hollow, rng) = (Vec::new(), Vec::new(), Rng::with_seed(seed));
    let at = feed.address;
    let mut run =
        Run { pace, change_each_s, budget, rig, operator, feed: at, threads, real, hollow, rng, changed: 0 };
    for n in 0..pace.real {
        let needs = Needs { processes: 1, resident_bytes: REAL_BYTES };
        budget.check_start("a real front", needs).map_err(|e| e.to_string())?;
        let files = run.rig.files(n, &region(n % ROUND_TRIPS_MS.len()), at, "")?;
        run.real.push(run.rig.front(&files)?);
    }
    // A version that nobody could try would stay on trial.
    let real = pace.real as u64;
    run.operator.until("the real fronts", WITHIN, |t| t.connected == real)?;
    let (id, _) = run.operator.publish(&content(MEMBERS, |_| false))?;
    run.operator.until("the first version", WITHIN, |t| t.base == Some(id))?;
    let found = sizes.iter().map(|&size| run.size(size, seed)).collect::<Result<_, _>>()?;
    let healed = run.cut()?;
    Ok((found, healed))
}

/// Runs of a quick run are side by side, which moves times and not counts.
fn runs(context: &Context, pace: &Pace, program: &Path) -> Result<Vec<(Vec<Size>, f64)>, String> {
    let (sizes, budget, quick) = (context.sizes(), &*context.budget, context.options.quick);
    let each = pace.change_each_s.unwrap_or(context.options.change_each_s);
    let play = |seed: u64| one(pace, each, budget, program, &sizes, seed);
    if !quick {
        return context.seeds().into_iter().map(play).collect();
    }
    std::thread::scope(|scope| {
        let started: Vec<_> =
            context.seeds().into_iter().map(|seed| scope.spawn(move || play(seed))).collect();
        let ended = started.into_iter().map(|t| t.join().unwrap_or_else(|_| Err("a run panicked".into())));
        ended.collect()
    })
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    context.check()?;
    let pace = if context.options.quick { &QUICK } else { &FULL };
    let program = rig::program(context.options.front.clone()).map_err(|e| context.fault(e))?;
    let seed = context.options.seed;
    let compared: Compared = compare(&program, seed, pace.compare_s).map_err(|e| context.fault(e))?;
    context.check()?;
    let found = runs(context, pace, &program).map_err(|e| context.fault(e))?;
    context.check()?;
    report(context, &compared, &found, pace.real, pace.cut_s)
}
