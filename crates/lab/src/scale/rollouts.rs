//! Overlapping rollouts by evidence: whether a change is in force at all fronts within 5 s, how many fronts a harmful change
//! reaches before it is stopped, and how often a harmless one is stopped. Changes arrive as a Poisson process at a fleet of up
//! to a thousand control-only fronts and twenty real ones in twelve regions.
//!
//! Faults: harmful changes of several kinds among them, and a period in which a share of accesses fails at all fronts alike.
//! The baselines, in the same run, are a rollout in waves, and a publication to all fronts at once without a trial.
//!
//! What happened at the fronts is taken from their own records: those of control-only fronts, and the logs of real ones.

mod content;
mod control_only;
mod plan;
mod records;
mod region;
mod rig;

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use doorgrade_stream::clock::now;
use doorgrade_versions::Ticks;
use doorgrade_versions::service::{LogEvent, Request, Response};

use super::{Context, Needs, Part, ScaleError};
use crate::rig::{AccessResult, LoadResult, PlannedAccess, cpu_ms, memory_mb, run_load, thread_cpu_ms};
use content::Harm;
use plan::Plan;
use records::{Published, Records, quantile};
use rig::{CLASSES, Rig};

const REAL_FRONTS: usize = 20;
/// Accesses per second at each real front: as many as one machine can generate beside a thousand control-only fronts, which
/// report the target's 930.
const ACCESSES_PER_S: f64 = 40.0;
const CLIENTS_PER_FRONT: usize = 6;
/// The thread of a front that follows the configuration service.
const VERSIONS_THREAD: &str = "versions";
/// The window over which the highest rate of bytes is taken.
const WINDOW_S: usize = 30;

pub(super) const PART: Part = Part {
    name: "rollouts",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 300],
    // Twenty fronts of about 30 MB each, the service, and half a megabyte for each control-only front.
    needs: |control_only, _| Needs {
        processes: REAL_FRONTS + 1,
        resident_bytes: 1_000_000_000 + control_only as u64 * 500_000,
    },
    run,
};

/// The observations of a run of changes.
struct RunResult {
    published: Vec<Published>,
    rejected: usize,
    events: Vec<(Ticks, LogEvent)>,
    /// Bytes of each connection so far, at each second, and the index of the second in which the first change was published.
    bytes: Vec<Vec<u64>>,
    changes_from: usize,
    load_results: Vec<LoadResult>,
    /// Processor time of a real front's `versions` thread and of the service, relative to the elapsed time.
    front_core_share: f64,
    service_core_share: f64,
    service_mb: f64,
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let program: PathBuf =
        crate::rig::program(context.options.front.clone()).map_err(|e| context.part_error(e))?;
    let control_only = context.sizes().into_iter().max().unwrap_or(0);
    let plan = Plan::new(context.options.seed, context.options.quick, context.options.change_each_s);
    context
        .budget
        .check_start("rollouts", Needs { processes: REAL_FRONTS + 1, resident_bytes: 1_000_000_000 })?;
    let rig = start(context, "evidence", &program, "  rollout = \"evidence\"", control_only)?;
    let mb_before = memory_mb(std::process::id()).map_err(|e| context.part_error(e))?;
    let result = play_changes(context, &rig, &plan).map_err(|e| context.part_error(e))?;
    put_figures(context, &rig, &plan, &result, mb_before);
    rig.stop();
    context.check()?;
    waves(context, &program, control_only)?;
    all_at_once(context, &program, control_only)
}

/// Starts a service with these publication settings and all fronts, and publishes the initial content.
fn start(
    context: &mut Context,
    name: &str,
    program: &Path,
    publication: &str,
    control_only: usize,
) -> Result<Rig, ScaleError> {
    let mut rig =
        Rig::start(name, program, publication, context.options.seed).map_err(|e| context.part_error(e))?;
    for _ in 0..REAL_FRONTS {
        context.check()?;
        rig.start_real(program, REAL_FRONTS).map_err(|e| context.part_error(e))?;
    }
    let empty_mb = memory_mb(std::process::id()).map_err(|e| context.part_error(e))?;
    rig.start_control_only(control_only).map_err(|e| context.part_error(e))?;
    let mut client = rig.client().map_err(|e| context.part_error(e))?;
    let all = (REAL_FRONTS + control_only) as u64;
    rig.wait_until(&mut client, "all fronts to connect", Duration::from_secs(90), |t| t.connected == all)
        .map_err(|e| context.part_error(e))?;
    // The initial content, without any change.
    let first = rig.publish(&mut client, &content::initial(), 0).map_err(|e| context.part_error(e))?;
    let Response::Published(first) = first else { return Err(context.part_error(format!("{first:?}"))) };
    rig.wait_until(&mut client, "the initial content on all fronts", Duration::from_secs(180), |t| {
        t.current == all && t.base.is_some_and(|base| base.hash == first.hash)
    })
    .map_err(|e| context.part_error(e))?;
    let mb = memory_mb(std::process::id()).map_err(|e| context.part_error(e))? - empty_mb;
    if name == "evidence" {
        context.put("real_fronts", REAL_FRONTS);
        context.put("hollow_fronts", control_only);
        context.put_rounded("front_control_mb", mb / control_only.max(1) as f64);
    }
    Ok(rig)
}

/// Publishes the planned changes under load, and records what happens.
fn play_changes(context: &Context, rig: &Rig, plan: &Plan) -> Result<RunResult, String> {
    let mut client = rig.client()?;
    let events = Arc::new(Mutex::new(Vec::new()));
    let mut watcher = rig.client()?;
    match rig.runtime.block_on(watcher.request(&Request::Watch))? {
        Response::Watching => {}
        other => return Err(format!("the service: unexpected response to a watch request: {other:?}")),
    }
    let sink = events.clone();
    let watching = rig.runtime.spawn(async move {
        while let Ok(event) = watcher.next_log_event().await {
            sink.lock().unwrap_or_else(PoisonError::into_inner).push((now(), event));
        }
    });
    let load_threads = start_load(rig, plan);
    let (mut published, mut rejected, mut bytes) = (Vec::new(), 0, Vec::new());
    let began_at = Instant::now();
    let cpu_usage = |rig: &Rig| {
        let fronts: f64 = rig.fronts.iter().map(|f| thread_cpu_ms(f.process_id(), VERSIONS_THREAD)).sum();
        (fronts / REAL_FRONTS as f64, cpu_ms(rig.service_id()), Instant::now())
    };
    let (mut before, mut changes_from, mut next) = (cpu_usage(rig), 0, 0);
    while began_at.elapsed().as_secs_f64() < plan.duration_s {
        context.check().map_err(|e| e.to_string())?;
        let at_s = began_at.elapsed().as_secs_f64();
        if bytes.len() as f64 <= at_s {
            bytes.push(rig.connection_bytes());
        }
        rig.shared.overload_permille.store(plan.overload_permille(at_s), Ordering::Relaxed);
        let Some(change) = plan.changes.get(next).filter(|change| change.at_s <= at_s) else {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        if next == 0 {
            (before, changes_from) = (cpu_usage(rig), bytes.len());
        }
        next += 1;
        let (number, latest) = rig.latest_content(&mut client)?;
        let (at, text) = (now(), content::changed(&latest, change.change, change.harm));
        match rig.publish(&mut client, &text, number)? {
            Response::Published(id) => {
                published.push(Published { change: change.change, number: id.number, at })
            }
            _ => rejected += 1,
        }
    }
    let after = cpu_usage(rig);
    let elapsed_ms = after.2.duration_since(before.2).as_secs_f64() * 1e3;
    let (front_core_share, service_core_share) =
        ((after.0 - before.0) / elapsed_ms, (after.1 - before.1) / elapsed_ms);
    let service_mb = memory_mb(rig.service_id())?;
    watching.abort();
    let load_results = load_threads.into_iter().filter_map(|l| l.join().ok()).collect();
    let events = std::mem::take(&mut *events.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(RunResult {
        published,
        rejected,
        events,
        bytes,
        changes_from,
        load_results,
        front_core_share,
        service_core_share,
        service_mb,
    })
}

/// Starts a thread for each real front that generates its load for the whole plan.
fn start_load(rig: &Rig, plan: &Plan) -> Vec<std::thread::JoinHandle<LoadResult>> {
    let start = Instant::now();
    let threads = rig.fronts.iter().enumerate().map(|(n, front)| {
        let (address, count) = (front.address, (plan.duration_s * ACCESSES_PER_S) as usize);
        let mut rng = fastrand::Rng::with_seed(plan.seed ^ n as u64);
        let planned = move |k: usize| PlannedAccess {
            at_ms: (k as f64 + rng.f64()) * 1e3 / ACCESSES_PER_S,
            class: 0,
            key: rng.u64(1..200),
        };
        let accesses: Vec<PlannedAccess> = (0..count).map(planned).collect();
        std::thread::spawn(move || run_load(address, &accesses, &CLASSES, start, CLIENTS_PER_FRONT))
    });
    threads.collect()
}

/// Records all figures of the run.
fn put_figures(context: &mut Context, rig: &Rig, plan: &Plan, result: &RunResult, mb_before: f64) {
    let records = Records(rig.records());
    let RunResult { published, events, bytes, load_results, .. } = result;
    let removed_at = |number: u64| {
        events.iter().find_map(|(at, event)| match event {
            LogEvent::ChangeRemoved { change, .. } if *change == number => Some(*at),
            _ => None,
        })
    };
    let harm = |change: usize| plan.changes.iter().find(|c| c.change == change).and_then(|c| c.harm);
    let (harmful, harmless): (Vec<_>, Vec<_>) = published.iter().partition(|p| harm(p.change).is_some());
    let times_to_all: Vec<f64> = harmless.iter().filter_map(|p| records.time_to_all(p)).collect();
    context.put_rounded("change_everywhere_p50_s", quantile(&times_to_all, 0.5));
    context.put_rounded("change_everywhere_p99_s", quantile(&times_to_all, 0.99));
    context.put_rounded("change_everywhere_max_s", quantile(&times_to_all, 1.0));
    context.put("changes_never_everywhere", harmless.len() - times_to_all.len());
    context.put("changes_published", published.len());
    context.put("changes_refused", result.rejected);

    let stopped: Vec<_> = harmful.iter().filter_map(|p| Some((p, removed_at(p.number)?))).collect();
    context.put("harmful_published", harmful.len());
    context.put("harmful_stopped", stopped.len());
    let reach = |late: bool| {
        let shares = harmful.iter().filter_map(|p| match harm(p.change)? {
            Harm::Late { .. } => late.then(|| records.reach(&[p.change])),
            Harm::Together { with, .. } => (!late).then(|| records.reach(&[p.change, with])),
            _ => (!late).then(|| records.reach(&[p.change])),
        });
        shares.fold(0.0, f64::max)
    };
    context.put_rounded("harmful_reach", reach(false));
    // Its harm starts only after the trial, so no trial can keep it from reaching all fronts.
    context.put_rounded("harmful_late_reach", reach(true));
    let removal_times: Vec<Option<f64>> =
        stopped.iter().map(|(p, at)| records.removed_after(p.change, *at)).collect();
    context.put("harmful_still_somewhere", removal_times.iter().filter(|u| u.is_none()).count());
    context.put_rounded("harmful_undone_max_s", removal_times.into_iter().flatten().fold(0.0, f64::max));
    let false_stops = harmless.iter().filter(|p| removed_at(p.number).is_some()).count();
    context.put("false_stops", false_stops);
    let premature = events.iter().filter(|(at, event)| match event {
        LogEvent::InForce(id) => published
            .iter()
            .find(|p| p.number == id.number)
            .is_some_and(|p| records.count_without(p.change, *at) > 0),
        _ => false,
    });
    context.put("in_force_told", events.iter().filter(|l| matches!(l.1, LogEvent::InForce(_))).count());
    context.put("untrue_states", premature.count());

    let samples = || load_results.iter().flat_map(|p| &p.samples);
    let count = |got: AccessResult| samples().filter(|s| s.result == got).count();
    context.put("accesses", samples().count());
    context.put("lost", count(AccessResult::Lost));
    context.put("answered_twice", load_results.iter().map(|p| p.answered_twice).sum::<usize>());
    context.put("rule_breaks", count(AccessResult::WrongBody));
    context.put_rounded("front_control_core_share", result.front_core_share);
    let (rest, max) = byte_rates(bytes, result.changes_from);
    context.put_rounded("front_control_bytes_per_s", rest);
    context.put_rounded("front_control_bytes_per_s_worst", max);
    context.put_rounded("service_core_share", result.service_core_share);
    context.put_rounded("service_mb", result.service_mb);
    let grown_mb = memory_mb(std::process::id()).unwrap_or(mb_before) - mb_before;
    context.put_rounded("lab_mb_grown", grown_mb);
    print_removals(plan, published, events);
}

/// Bytes per second of a connection: the mean before the first change, and the highest of any connection over any window.
fn byte_rates(bytes: &[Vec<u64>], changes_from: usize) -> (f64, f64) {
    let connections = bytes.first().map_or(0, Vec::len);
    let total = |second: usize, front: usize| bytes[second].get(front).copied().unwrap_or(0);
    let last = changes_from.min(bytes.len()).saturating_sub(1);
    let rest = (0..connections).map(|f| (total(last, f) - total(0, f)) as f64).sum::<f64>();
    let windows = (0..bytes.len().saturating_sub(WINDOW_S)).flat_map(|from| {
        (0..connections).map(move |f| (total(from + WINDOW_S, f) - total(from, f)) as f64 / WINDOW_S as f64)
    });
    (rest / (connections * last).max(1) as f64, windows.fold(0.0, f64::max))
}

/// Prints each change that was removed, with its harm, if it has any, and the reason.
fn print_removals(plan: &Plan, published: &[Published], events: &[(Ticks, LogEvent)]) {
    for (at, event) in events {
        if let LogEvent::ChangeRemoved { change, reason } = event {
            let publication = published.iter().find(|p| p.number == *change);
            let after = publication.map_or(0.0, |p| at.saturating_sub(p.at) as f64 / 1e4);
            let harm = publication
                .and_then(|p| plan.changes.iter().find(|c| c.change == p.change))
                .and_then(|c| c.harm);
            eprintln!("removed after {after:.1} s, {harm:?}: change {change}: {reason}");
        }
    }
}

/// Baseline: the time that a rollout in waves takes to bring a change of one line to all fronts.
fn waves(context: &mut Context, program: &Path, control_only: usize) -> Result<(), ScaleError> {
    // By default each wave is watched for 30 s.
    let soak = if context.options.quick { 3_000 } else { 30_000 };
    let publication = format!("  soak_ms = {soak}");
    let mut rig = Rig::start("waves", program, &publication, context.options.seed)
        .map_err(|e| context.part_error(e))?;
    rig.start_control_only(control_only).map_err(|e| context.part_error(e))?;
    let mut client = rig.client().map_err(|e| context.part_error(e))?;
    let all = control_only as u64;
    rig.wait_until(&mut client, "all fronts to connect", Duration::from_secs(90), |t| t.connected == all)
        .map_err(|e| context.part_error(e))?;
    let (at, text) = (now(), content::changed(&content::initial(), 1, None));
    let response = rig.publish(&mut client, &text, 0).map_err(|e| context.part_error(e))?;
    let Response::Published(id) = response else { return Err(context.part_error(format!("{response:?}"))) };
    rig.wait_until(&mut client, "the change to be in force", Duration::from_secs(240), |t| {
        t.base == Some(id)
    })
    .map_err(|e| context.part_error(e))?;
    let published = Published { change: 1, number: id.number, at };
    let time_to_all = Records(rig.records()).time_to_all(&published);
    context.put_rounded("waves_change_everywhere_s", time_to_all.unwrap_or(f64::NAN));
    context.put("waves_soak_ms", soak);
    rig.stop();
    Ok(())
}

/// Baseline: a harmful change that is published to all fronts at once and not watched.
fn all_at_once(context: &mut Context, program: &Path, control_only: usize) -> Result<(), ScaleError> {
    let publication = "  canaries = 1\n  shares = [1.0]\n  soak_ms = 0";
    let mut rig = Rig::start("at-once", program, publication, context.options.seed)
        .map_err(|e| context.part_error(e))?;
    rig.start_control_only(control_only).map_err(|e| context.part_error(e))?;
    let mut client = rig.client().map_err(|e| context.part_error(e))?;
    let all = control_only as u64;
    rig.wait_until(&mut client, "all fronts to connect", Duration::from_secs(90), |t| t.connected == all)
        .map_err(|e| context.part_error(e))?;
    let text = content::changed(&content::initial(), 1, Some(Harm::Drop(0.5)));
    let response = rig.publish(&mut client, &text, 0).map_err(|e| context.part_error(e))?;
    let Response::Published(_) = response else { return Err(context.part_error(format!("{response:?}"))) };
    std::thread::sleep(Duration::from_secs(10));
    context.put_rounded("all_at_once_harmful_reach", Records(rig.records()).reach(&[1]));
    rig.stop();
    Ok(())
}
