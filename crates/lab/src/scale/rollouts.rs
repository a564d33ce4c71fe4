//! Overlapping rollouts in force everywhere within 5 s: changes as a Poisson stream on the whole content, harmful ones
//! among them, over a thousand followers and twenty real fronts; beside it, in the same run, the two baselines.
//!
//! All that is said of fronts is from their own records: hollow fronts', and the logs of real ones.

mod content;
mod hollow;
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

const REAL: usize = 20;
/// Accesses a second at each real front: as many as this machine plays beside a thousand followers. The hollow ones say
/// that they have the target's 930.
const REAL_RATE: f64 = 40.0;
/// Clients of a real front.
const CLIENTS: usize = 6;
/// The thread of a front that follows the service.
const THREAD: &str = "versions";
const WINDOW_S: usize = 30;

pub(super) const PART: Part = Part {
    name: "rollouts",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 300],
    // Twenty fronts of some 30 MB, the service, and half a megabyte a follower.
    needs: |hollow, _| Needs { processes: REAL + 1, resident_bytes: 1_000_000_000 + hollow as u64 * 500_000 },
    run,
};

/// What a run of changes gave.
struct Outcome {
    published: Vec<Published>,
    refused: usize,
    lines: Vec<(Ticks, LogEvent)>,
    /// Bytes of each connection, second by second, and from which of them on changes were published.
    bytes: Vec<Vec<u64>>,
    changes_from: usize,
    played: Vec<LoadResult>,
    /// Processor time of a real front's thread, and of the service, over the wall's.
    front_share: f64,
    service_share: f64,
    service_mb: f64,
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let program: PathBuf =
        crate::rig::program(context.options.front.clone()).map_err(|e| context.fault(e))?;
    let hollow = context.sizes().into_iter().max().unwrap_or(0);
    let plan = Plan::new(context.options.seed, context.options.quick, context.options.change_each_s);
    context.budget.check_start("rollouts", Needs { processes: REAL + 1, resident_bytes: 1_000_000_000 })?;
    let rig = start(context, "evidence", &program, "  rollout = \"evidence\"", hollow)?;
    let mb_before = memory_mb(std::process::id()).map_err(|e| context.fault(e))?;
    let outcome = play_changes(context, &rig, &plan).map_err(|e| context.fault(e))?;
    tell(context, &rig, &plan, &outcome, mb_before);
    rig.end();
    context.check()?;
    waves(context, &program, hollow)?;
    all_at_once(context, &program, hollow)
}

/// All fronts connected to a service with these rules.
fn start(
    context: &mut Context,
    name: &str,
    program: &Path,
    publication: &str,
    hollow: usize,
) -> Result<Rig, ScaleError> {
    let mut rig =
        Rig::start(name, program, publication, context.options.seed).map_err(|e| context.fault(e))?;
    for _ in 0..REAL {
        context.check()?;
        rig.start_real(program, REAL).map_err(|e| context.fault(e))?;
    }
    let empty_mb = memory_mb(std::process::id()).map_err(|e| context.fault(e))?;
    rig.start_hollow(hollow).map_err(|e| context.fault(e))?;
    let mut asker = rig.asker().map_err(|e| context.fault(e))?;
    let all = (REAL + hollow) as u64;
    rig.until(&mut asker, "each front", Duration::from_secs(90), |t| t.connected == all)
        .map_err(|e| context.fault(e))?;
    // The first content, without any change.
    let first = rig.publish(&mut asker, &content::first(), 0).map_err(|e| context.fault(e))?;
    let Response::Published(first) = first else { return Err(context.fault(format!("{first:?}"))) };
    rig.until(&mut asker, "the first content", Duration::from_secs(180), |t| {
        t.current == all && t.base.is_some_and(|base| base.hash == first.hash)
    })
    .map_err(|e| context.fault(e))?;
    let mb = memory_mb(std::process::id()).map_err(|e| context.fault(e))? - empty_mb;
    if name == "evidence" {
        context.put("real_fronts", REAL);
        context.put("hollow_fronts", hollow);
        context.ratio("front_control_mb", mb / hollow.max(1) as f64);
    }
    Ok(rig)
}

fn play_changes(context: &Context, rig: &Rig, plan: &Plan) -> Result<Outcome, String> {
    let mut asker = rig.asker()?;
    let lines = Arc::new(Mutex::new(Vec::new()));
    let mut watcher = rig.asker()?;
    match rig.runtime.block_on(watcher.ask(&Request::Watch))? {
        Response::Watching => {}
        other => return Err(format!("{other:?}")),
    }
    let told = lines.clone();
    let watching = rig.runtime.spawn(async move {
        while let Ok(line) = watcher.line().await {
            told.lock().unwrap_or_else(PoisonError::into_inner).push((now(), line));
        }
    });
    let loads = load(rig, plan);
    let (mut published, mut refused, mut bytes) = (Vec::new(), 0, Vec::new());
    let begun = Instant::now();
    let cpu = |rig: &Rig| {
        let fronts: f64 = rig.fronts.iter().map(|f| thread_cpu_ms(f.process_id(), THREAD)).sum();
        (fronts / REAL as f64, cpu_ms(rig.service_id()), Instant::now())
    };
    let (mut before, mut changes_from, mut next) = (cpu(rig), 0, 0);
    while begun.elapsed().as_secs_f64() < plan.lasts_s {
        context.check().map_err(|e| e.to_string())?;
        let at_s = begun.elapsed().as_secs_f64();
        if bytes.len() as f64 <= at_s {
            bytes.push(rig.metered());
        }
        rig.shared.storm.store(plan.storm(at_s), Ordering::Relaxed);
        let Some(due) = plan.changes.get(next).filter(|due| due.at_s <= at_s) else {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        if next == 0 {
            (before, changes_from) = (cpu(rig), bytes.len());
        }
        next += 1;
        let (number, head) = rig.head(&mut asker)?;
        let (at, text) = (now(), content::changed(&head, due.change, due.harm));
        match rig.publish(&mut asker, &text, number)? {
            Response::Published(id) => {
                published.push(Published { change: due.change, number: id.number, at })
            }
            _ => refused += 1,
        }
    }
    let after = cpu(rig);
    let wall = after.2.duration_since(before.2).as_secs_f64() * 1e3;
    let (front_share, service_share) = ((after.0 - before.0) / wall, (after.1 - before.1) / wall);
    let service_mb = memory_mb(rig.service_id())?;
    watching.abort();
    let played = loads.into_iter().filter_map(|l| l.join().ok()).collect();
    let lines = std::mem::take(&mut *lines.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(Outcome {
        published,
        refused,
        lines,
        bytes,
        changes_from,
        played,
        front_share,
        service_share,
        service_mb,
    })
}

/// Clients of each real front for the whole of the plan.
fn load(rig: &Rig, plan: &Plan) -> Vec<std::thread::JoinHandle<LoadResult>> {
    let start = Instant::now();
    let each = rig.fronts.iter().enumerate().map(|(n, front)| {
        let (at, count) = (front.address, (plan.lasts_s * REAL_RATE) as usize);
        let mut rng = fastrand::Rng::with_seed(plan.seed ^ n as u64);
        let planned = move |k: usize| PlannedAccess {
            at_ms: (k as f64 + rng.f64()) * 1e3 / REAL_RATE,
            class: 0,
            key: rng.u64(1..200),
        };
        let accesses: Vec<PlannedAccess> = (0..count).map(planned).collect();
        std::thread::spawn(move || run_load(at, &accesses, &CLASSES, start, CLIENTS))
    });
    each.collect()
}

fn tell(context: &mut Context, rig: &Rig, plan: &Plan, outcome: &Outcome, mb_before: f64) {
    let records = Records(rig.records());
    let Outcome { published, lines, bytes, played, .. } = outcome;
    let taken_out = |number: u64| {
        lines.iter().find_map(|(at, line)| match line {
            LogEvent::ChangeRemoved { change, .. } if *change == number => Some(*at),
            _ => None,
        })
    };
    let harm = |change: usize| plan.changes.iter().find(|c| c.change == change).and_then(|c| c.harm);
    let (bad, good): (Vec<_>, Vec<_>) = published.iter().partition(|p| harm(p.change).is_some());
    let everywhere: Vec<f64> = good.iter().filter_map(|p| records.everywhere(p)).collect();
    context.ratio("change_everywhere_p50_s", quantile(&everywhere, 0.5));
    context.ratio("change_everywhere_p99_s", quantile(&everywhere, 0.99));
    context.ratio("change_everywhere_max_s", quantile(&everywhere, 1.0));
    context.put("changes_never_everywhere", good.len() - everywhere.len());
    context.put("changes_published", published.len());
    context.put("changes_refused", outcome.refused);

    let found: Vec<_> = bad.iter().filter_map(|p| Some((p, taken_out(p.number)?))).collect();
    context.put("harmful_published", bad.len());
    context.put("harmful_stopped", found.len());
    let reach = |late: bool| {
        let of = bad.iter().filter_map(|p| match harm(p.change)? {
            Harm::Late { .. } => late.then(|| records.reach(&[p.change])),
            Harm::Together { with, .. } => (!late).then(|| records.reach(&[p.change, with])),
            _ => (!late).then(|| records.reach(&[p.change])),
        });
        of.fold(0.0, f64::max)
    };
    context.ratio("harmful_reach", reach(false));
    // It harms nobody until it is everyone's: no trial can keep it from them.
    context.ratio("harmful_late_reach", reach(true));
    let undone: Vec<Option<f64>> = found.iter().map(|(p, at)| records.undone(p.change, *at)).collect();
    context.put("harmful_still_somewhere", undone.iter().filter(|u| u.is_none()).count());
    context.ratio("harmful_undone_max_s", undone.into_iter().flatten().fold(0.0, f64::max));
    let stops = good.iter().filter(|p| taken_out(p.number).is_some()).count();
    context.put("false_stops", stops);
    let untrue = lines.iter().filter(|(at, line)| match line {
        LogEvent::InForce(id) => published
            .iter()
            .find(|p| p.number == id.number)
            .is_some_and(|p| records.lacking(p.change, *at) > 0),
        _ => false,
    });
    context.put("in_force_told", lines.iter().filter(|l| matches!(l.1, LogEvent::InForce(_))).count());
    context.put("untrue_states", untrue.count());

    let samples = || played.iter().flat_map(|p| &p.samples);
    let count = |got: AccessResult| samples().filter(|s| s.result == got).count();
    context.put("accesses", samples().count());
    context.put("lost", count(AccessResult::Lost));
    context.put("answered_twice", played.iter().map(|p| p.answered_twice).sum::<usize>());
    context.put("rule_breaks", count(AccessResult::WrongBody));
    context.ratio("front_control_core_share", outcome.front_share);
    let (rest, worst) = rates(bytes, outcome.changes_from);
    context.ratio("front_control_bytes_per_s", rest);
    context.ratio("front_control_bytes_per_s_worst", worst);
    context.ratio("service_core_share", outcome.service_share);
    context.ratio("service_mb", outcome.service_mb);
    let grown = memory_mb(std::process::id()).unwrap_or(mb_before) - mb_before;
    context.ratio("lab_mb_grown", grown);
    describe(plan, published, lines);
}

/// Bytes a second of a connection: the mean at rest, and the most of any one over any window.
fn rates(bytes: &[Vec<u64>], changes_from: usize) -> (f64, f64) {
    let all = bytes.first().map_or(0, Vec::len);
    let of = |second: usize, front: usize| bytes[second].get(front).copied().unwrap_or(0);
    let last = changes_from.min(bytes.len()).saturating_sub(1);
    let rest = (0..all).map(|f| (of(last, f) - of(0, f)) as f64).sum::<f64>();
    let windows = (0..bytes.len().saturating_sub(WINDOW_S)).flat_map(|from| {
        (0..all).map(move |f| (of(from + WINDOW_S, f) - of(from, f)) as f64 / WINDOW_S as f64)
    });
    (rest / (all * last).max(1) as f64, windows.fold(0.0, f64::max))
}

/// What became of each harmful change, and of what was stopped without being one, for whoever reads along.
fn describe(plan: &Plan, published: &[Published], lines: &[(Ticks, LogEvent)]) {
    for (at, line) in lines {
        if let LogEvent::ChangeRemoved { change, reason: why } = line {
            let own = published.iter().find(|p| p.number == *change);
            let after = own.map_or(0.0, |p| at.saturating_sub(p.at) as f64 / 1e4);
            let harm =
                own.and_then(|p| plan.changes.iter().find(|c| c.change == p.change)).and_then(|c| c.harm);
            eprintln!("taken out after {after:.1} s, {harm:?}: change {change}: {why}");
        }
    }
}

/// A single change of one line as rollouts in waves bring it to everyone.
fn waves(context: &mut Context, program: &Path, hollow: usize) -> Result<(), ScaleError> {
    // The defaults watch each wave for 30 s; the first content is brought by a service that does not wait.
    let soak = if context.options.quick { 3_000 } else { 30_000 };
    let publication = format!("  soak_ms = {soak}");
    let mut rig =
        Rig::start("waves", program, &publication, context.options.seed).map_err(|e| context.fault(e))?;
    rig.start_hollow(hollow).map_err(|e| context.fault(e))?;
    let mut asker = rig.asker().map_err(|e| context.fault(e))?;
    let all = hollow as u64;
    rig.until(&mut asker, "each front", Duration::from_secs(90), |t| t.connected == all)
        .map_err(|e| context.fault(e))?;
    let (at, text) = (now(), content::changed(&content::first(), 1, None));
    let answer = rig.publish(&mut asker, &text, 0).map_err(|e| context.fault(e))?;
    let Response::Published(id) = answer else { return Err(context.fault(format!("{answer:?}"))) };
    rig.until(&mut asker, "a change in waves", Duration::from_secs(240), |t| t.base == Some(id))
        .map_err(|e| context.fault(e))?;
    let published = Published { change: 1, number: id.number, at };
    let took = Records(rig.records()).everywhere(&published);
    context.ratio("waves_change_everywhere_s", took.unwrap_or(f64::NAN));
    context.put("waves_soak_ms", soak);
    rig.end();
    Ok(())
}

/// A harmful change that is offered to all at once, and nothing watched.
fn all_at_once(context: &mut Context, program: &Path, hollow: usize) -> Result<(), ScaleError> {
    let publication = "  canaries = 1\n  shares = [1.0]\n  soak_ms = 0";
    let mut rig =
        Rig::start("at-once", program, publication, context.options.seed).map_err(|e| context.fault(e))?;
    rig.start_hollow(hollow).map_err(|e| context.fault(e))?;
    let mut asker = rig.asker().map_err(|e| context.fault(e))?;
    let all = hollow as u64;
    rig.until(&mut asker, "each front", Duration::from_secs(90), |t| t.connected == all)
        .map_err(|e| context.fault(e))?;
    let text = content::changed(&content::first(), 1, Some(Harm::Drop(0.5)));
    let answer = rig.publish(&mut asker, &text, 0).map_err(|e| context.fault(e))?;
    let Response::Published(_) = answer else { return Err(context.fault(format!("{answer:?}"))) };
    std::thread::sleep(Duration::from_secs(10));
    context.ratio("all_at_once_harmful_reach", Records(rig.records()).reach(&[1]));
    rig.end();
    Ok(())
}
