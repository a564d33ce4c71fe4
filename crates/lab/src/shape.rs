//! Measures the load on the archive and the service of clients while the cache hierarchy changes its shape under load.
//! Three stations have a real front and two font caches each, behind them are two tiers of trunk caches and an archive, all
//! on loopback. The changes and faults, in this order:
//!
//! 1. Two cold trunk caches join the four of tier 1, so that a third of the objects gets a new home.
//! 2. The two trunk caches of tier 2 are made to fill from each other. One front gets both changes and each of the others
//!    only one of them, so that no front's view contains the loop. It exists among the stand-ins until it is repaired.
//! 3. One of the new trunk caches crashes halfway and comes back cold.
//!
//! The baseline is the same front without the `hierarchy` settings: it rehashes at once and doesn't limit the archive's
//! load.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use doorgrade_hierarchy::homes::{Home, home_of, min_moved_share, moved_share};
use doorgrade_hierarchy::{Change, ChangeKind, Standing};
use doorgrade_operator::shape::write;
use doorgrade_standins::feed::member_record;
use doorgrade_standins::member::Cold;
use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role, unix_ms};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, AccessResult, Class, Folder, Front, PlannedAccess, Sample};
use crate::{Figures, RunArgs};

const CLASSES: [Class; 3] = [
    Class { name: "font-css", timeout_ms: 1_500, soft_limit_ms: 400.0, benefit: 1.0, write: false },
    Class { name: "font-files", timeout_ms: 1_500, soft_limit_ms: 400.0, benefit: 2.0, write: false },
    Class { name: "site-license", timeout_ms: 1_500, soft_limit_ms: 500.0, benefit: 5.0, write: true },
];
/// Copies of stylesheets are fresh for this long.
const FRESH_MS: u64 = 20_000;
const STATIONS: usize = 3;
/// Accesses per second at each station.
const RATE: f64 = 200.0;
const ARCHIVE: &str = "s-000000ff";
/// The trunk caches of tier 2.
const UPPER_TRUNKS: [&str; 2] = ["s-000000e1", "s-000000e2"];
/// The trunk caches of tier 1: four from the start, two that join.
const TRUNKS: [&str; 6] =
    ["s-000000a1", "s-000000a2", "s-000000a3", "s-000000a4", "s-000000a5", "s-000000a6"];
/// How long fronts may still use a member that the feed has reported gone, including the delay of the sockets.
const DRAIN_GRACE_MS: u64 = 2_050;
/// The share of its capacity that a trunk cache has when it starts cold.
const TRUNK_INITIAL_SHARE: f64 = 0.1;

/// Durations in seconds.
struct Times {
    /// Until the load is steady; not measured.
    warm: f64,
    /// Measured before the changes.
    before: f64,
    /// Measured during the changes.
    change: f64,
    /// Slow start of a trunk cache.
    cold: f64,
}

/// All stand-ins of a run.
struct Site {
    directory: Directory,
    archive: Member,
    upper_trunks: Vec<Member>,
    trunks: Vec<Member>,
    /// Trunk caches that crashed, kept for their counts.
    crashed_trunks: Vec<Member>,
    /// By station.
    caches: Vec<Vec<Member>>,
    /// By station.
    feeds: Vec<Feed>,
    last_event: u64,
    times: Times,
}

fn member_config(
    id: &str,
    role: Role,
    max_copies: usize,
    latency_ms: u64,
    cold: Option<Cold>,
) -> MemberConfig {
    let max_age_ms = HashMap::from([("font-css".to_owned(), FRESH_MS)]);
    let latency = Duration::from_millis(latency_ms);
    MemberConfig { max_copies, latency, max_age_ms, cold, ..MemberConfig::new(id, "127.0.0.1:0", role) }
}

impl Site {
    fn new(times: Times) -> Result<Site, String> {
        let directory = Directory::default();
        let start = |config| Member::start(config, &directory).map_err(|e| e.to_string());
        let archive = start(member_config(ARCHIVE, Role::Archive, 0, 25, None))?;
        // Tier 2 keeps few copies, so most of its requests go on to the archive.
        let upper_trunks = UPPER_TRUNKS.map(|id| start(member_config(id, Role::Parent, 50, 4, None)));
        let upper_trunks = upper_trunks.into_iter().collect::<Result<Vec<_>, _>>()?;
        upper_trunks.iter().for_each(|u| u.set_fill_sources(&[ARCHIVE]));
        let trunks = TRUNKS[..4].iter().map(|id| start(member_config(id, Role::Parent, 20_000, 4, None)));
        let trunks = trunks.collect::<Result<Vec<_>, _>>()?;
        trunks.iter().for_each(|t| t.set_fill_sources(&UPPER_TRUNKS));
        let mut caches = Vec::new();
        for station in 0..STATIONS {
            let station_caches = (0..2).map(|n| {
                start(member_config(&format!("s-0000{station:02x}0{n}"), Role::Cache, 150, 2, None))
            });
            caches.push(station_caches.collect::<Result<Vec<_>, _>>()?);
        }
        let feeds = (0..STATIONS).map(|_| Feed::start("127.0.0.1:0").map_err(|e| e.to_string()));
        let feeds = feeds.collect::<Result<Vec<_>, _>>()?;
        let crashed_trunks = Vec::new();
        Ok(Site {
            directory,
            archive,
            upper_trunks,
            trunks,
            crashed_trunks,
            caches,
            feeds,
            last_event: 1,
            times,
        })
    }

    fn config(&self, station: usize, seed: u64) -> String {
        let locality = ["one", "two", "three"][station];
        let mut members: Vec<_> =
            self.caches[station].iter().map(|m| rig::member_json(m, locality, "cache")).collect();
        members.extend(self.trunks.iter().map(|m| rig::member_json(m, "hub", "trunk")));
        members.push(rig::member_json(&self.archive, "hub", "archive"));
        let settings = json!({
            "zone": station, "fleetSize": 1, "quantum": 2.0, "localities": ["one", "two", "three", "hub"],
            "machineTypes": ["cache", "trunk", "archive"], "registryMode": "automatic", "weightKind": "nominal",
            "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6,
                "secondCopies": true, "retryAfter": true, "maxRetryAfter": 1000.0},
            "profiles": CLASSES.iter().map(Class::profile).collect::<Vec<_>>(),
            "rules": {"cold": 8000.0, "fall": 1500.0, "fallMultiple": 3.0, "startCapacity": 0.2},
            "specifics": {"crewByZone": [1, 1, 1, 1], "maxAge": [FRESH_MS, 0.0, 0.0], "notesGiven": "all",
                "passOn": [false, false, true], "purgeDone": 6000.0, "upperKind": 1, "rootKind": 2,
                "parentCold": self.times.cold * 1e3, "parentColdFrom": TRUNK_INITIAL_SHARE, "parentLimitFactor": 2.0,
                "sharesFills": true, "straight": true}
        });
        let member_list = json!({"revision": 1, "complete": true, "members": members});
        json!({"name": format!("n{station}"), "listen": "127.0.0.1:0", "seed": format!("{:x}", seed + station as u64),
            "feed": self.feeds[station].address.to_string(), "known": {"n": 1, "events": [{"n": 1, "members": member_list}]},
            "settings": settings})
        .to_string()
    }

    fn publish_members(&mut self, records: &[Vec<u8>]) {
        self.last_event += 1;
        self.feeds.iter().for_each(|f| f.publish_members(self.last_event, records));
    }

    /// Starts or restarts a cold trunk cache.
    fn start_trunk(&mut self, id: &str) -> Result<(), String> {
        // `RATE` is somewhat more than the load of a warm trunk cache here.
        let (duration, window) = (Duration::from_secs_f64(self.times.cold), Duration::from_millis(1_500));
        let cold = Cold {
            warm_per_s: RATE,
            initial_share: TRUNK_INITIAL_SHARE,
            duration,
            crash_factor: 2.0,
            window,
        };
        let config = member_config(id, Role::Parent, 20_000, 4, Some(cold));
        let member = Member::start(config, &self.directory).map_err(|e| e.to_string())?;
        member.set_fill_sources(&UPPER_TRUNKS);
        let record = member_record(id, member.address, 0, 3, 1, unix_ms());
        self.trunks.push(member);
        self.publish_members(&[record]);
        Ok(())
    }

    fn crash_trunk(&mut self, id: &str) {
        if let Some(index) = self.trunks.iter().position(|t| t.id == id) {
            let trunk = self.trunks.remove(index);
            trunk.kill();
            trunk.set_draining(DRAIN_GRACE_MS);
            self.publish_members(&[member_record(id, trunk.address, 2, 3, 1, 0)]);
            self.crashed_trunks.push(trunk);
        }
    }

    fn all_members(&self) -> impl Iterator<Item = &Member> {
        let caches = self.caches.iter().flatten();
        std::iter::once(&self.archive)
            .chain(&self.upper_trunks)
            .chain(&self.trunks)
            .chain(&self.crashed_trunks)
            .chain(caches)
    }
}

/// The change that reports a member as in service with these sources.
fn in_service(member: &str, number: u64, tier: u8, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let kind = ChangeKind::Present { tier, standing: Standing::InService, fills_from };
    Change { member: member.into(), incarnation: 1, number, kind }
}

/// The shape at the start.
fn initial_shape() -> Vec<Change> {
    let mut all = vec![in_service(ARCHIVE, 1, 3, &[])];
    all.extend(UPPER_TRUNKS.map(|u| in_service(u, 1, 2, &[ARCHIVE])));
    all.extend(TRUNKS[..4].iter().map(|t| in_service(t, 1, 1, &UPPER_TRUNKS)));
    all
}

/// The accesses at a station. Objects follow Zipf's law with exponent 0.9; each 17th access is to an object that is never
/// requested again, and each 100th is a write. The times are evenly spaced with some jitter, so that the archive's busiest
/// second depends on the changes of the shape and not on random peaks of the load.
fn plan(station: usize, seed: u64, end_ms: f64) -> Vec<PlannedAccess> {
    let mut rng = Rng::with_seed(seed ^ (0x0bad_5eed + station as u64));
    let cumulative_weights = |count: usize| -> Vec<f64> {
        let mut sum = 0.0;
        (1..=count)
            .map(|rank| {
                sum += (rank as f64).powf(-0.9);
                sum
            })
            .collect()
    };
    let tables = [cumulative_weights(100), cumulative_weights(1_500)];
    let mut accesses = Vec::new();
    let interval_ms = 1e3 / RATE;
    for n in 0..(end_ms / interval_ms) as u64 {
        let at_ms = (n as f64 + 0.8 * rng.f64()) * interval_ms;
        let (class, key) = match n {
            n if n % 100 == 99 => (2, rng.u64(..)),
            n if n % 17 == 16 => (1, rng.u64(..) | 1 << 63),
            _ => {
                let class = usize::from(rng.u8(0..5) > 0);
                let table = &tables[class];
                let drawn = rng.f64() * table[table.len() - 1];
                (class, table.partition_point(|&sum| sum < drawn) as u64 + 1)
            }
        };
        accesses.push(PlannedAccess { at_ms, class, key });
    }
    accesses
}

struct Outcome {
    samples: Vec<Sample>,
    answered_twice: usize,
    /// When the archive got each of its requests, in milliseconds since the start of the load.
    archive_requests_ms: Vec<f64>,
    /// Fills that a member rejected since they came back to it in a loop.
    loops_rejected: usize,
    /// Loops of fills that fronts logged.
    loops_reported: usize,
    /// Fills that passed a member twice.
    loops_missed: usize,
    /// Crashes of cold members by overload.
    overload_crashes: usize,
    /// Responses with copies older than requested.
    too_old: usize,
    requests_after_drain: usize,
    /// Writes that the archive executed twice.
    writes_run_twice: usize,
    /// Fronts that ended before the end of the run.
    crashed_fronts: usize,
    /// Changes of the shape that fronts did not apply, since they would have closed a loop.
    changes_held_back: usize,
}

/// One run; `with_hierarchy` is false for the baseline.
fn measure(
    seed: u64,
    times: Times,
    program: &Path,
    with_hierarchy: bool,
    logs: Option<&Path>,
) -> Result<Outcome, String> {
    let folder = Folder::new(&format!("{seed}-{with_hierarchy}"))?;
    let change_start = times.warm + times.before;
    let end = change_start + times.change;
    let at_share = |share: f64| change_start + share * times.change;
    let (loop_at, repair_at, crash_at) = (at_share(0.25), at_share(0.4), at_share(0.5));
    let mut site = Site::new(times)?;
    // Trunk caches start with the content that they would have after some hours: each object at its home, with a random
    // age.
    let mut ages = Rng::with_seed(seed ^ 0xa9e5);
    let homes: Vec<Home> = TRUNKS[..4].iter().map(|t| Home::named(t, 1.0)).collect();
    for (class, count) in [(0, 100u64), (1, 1_500)] {
        for key in 1..=count {
            let path = format!("/data/{}/{key:016x}/0", CLASSES[class].name);
            let home = home_of(&homes, key).map(|h| h.key);
            let home = site.trunks.iter().find(|t| Some(doorgrade::hash::text(&t.id)) == home);
            home.into_iter().for_each(|h| h.preload(&path, ages.u64(0..FRESH_MS)));
        }
    }
    let mut fronts = Vec::new();
    for station in 0..STATIONS {
        let config = folder.put(&format!("config-{station}.json"), &site.config(station, seed))?;
        let settings = match with_hierarchy {
            false => None,
            true => {
                folder.put(&format!("shape-{station}.hcl"), &write(&initial_shape()))?;
                let text = format!(
                    "hierarchy {{\n  enabled = true\n  shape = \"shape-{station}.hcl\"\n  hand_over_ms = 4000\n}}\n"
                );
                Some(folder.put(&format!("doorgrade-{station}.hcl"), &text)?)
            }
        };
        fronts.push(Front::start(program, &config, settings.as_deref())?);
    }
    let send_shape = |fronts: &[Front], station: usize, changes: &[Change]| -> Result<(), String> {
        if with_hierarchy {
            folder.put(&format!("shape-{station}.hcl"), &write(changes))?;
            fronts[station].reload();
        }
        Ok(())
    };
    let start = Instant::now() + Duration::from_millis(100);
    let start_ms = unix_ms() as f64 + 100.0;
    let wait_until = |seconds: f64| {
        let deadline = start + Duration::from_secs_f64(seconds);
        std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
    };
    let addresses: Vec<_> = fronts.iter().map(|f| f.address).collect();
    let (mut samples, mut answered_twice) = (Vec::new(), 0);
    std::thread::scope(|scope| -> Result<(), String> {
        let loads: Vec<_> = addresses
            .iter()
            .enumerate()
            .map(|(station, &front)| {
                let plan = plan(station, seed, end * 1e3);
                scope.spawn(move || rig::run_load(front, &plan, &CLASSES, start, 48))
            })
            .collect();
        wait_until(change_start);
        let new_trunks: Vec<Change> =
            TRUNKS[4..].iter().map(|t| in_service(t, 1, 1, &UPPER_TRUNKS)).collect();
        let grown_shape = [initial_shape(), new_trunks].concat();
        // The shape first and then the member list: either order is allowed.
        (0..STATIONS).try_for_each(|s| send_shape(&fronts, s, &grown_shape))?;
        TRUNKS[4..].iter().try_for_each(|id| site.start_trunk(id))?;
        wait_until(loop_at);
        // Two steps of a reordering of tier 2 that arrive in the wrong order: together they make its caches fill from each
        // other. The first front gets both, and each of the others only one.
        let (first_change, second_change) = (
            in_service(UPPER_TRUNKS[0], 2, 2, &[UPPER_TRUNKS[1]]),
            in_service(UPPER_TRUNKS[1], 3, 2, &[UPPER_TRUNKS[0]]),
        );
        site.upper_trunks[0].set_fill_sources(&[UPPER_TRUNKS[1]]);
        site.upper_trunks[1].set_fill_sources(&[UPPER_TRUNKS[0]]);
        send_shape(
            &fronts,
            0,
            &[grown_shape.clone(), vec![first_change.clone(), second_change.clone()]].concat(),
        )?;
        send_shape(&fronts, 1, &[grown_shape.clone(), vec![second_change.clone()]].concat())?;
        send_shape(&fronts, 2, &[grown_shape.clone(), vec![first_change.clone()]].concat())?;
        wait_until(repair_at);
        site.upper_trunks[1].set_fill_sources(&[ARCHIVE]);
        site.upper_trunks[0].set_fill_sources(&[ARCHIVE]);
        let repaired = UPPER_TRUNKS.map(|u| in_service(u, 4, 2, &[ARCHIVE]));
        (0..STATIONS)
            .try_for_each(|s| send_shape(&fronts, s, &[grown_shape.clone(), repaired.to_vec()].concat()))?;
        wait_until(crash_at);
        site.crash_trunk(TRUNKS[4]);
        wait_until(crash_at + 0.05 * (end - change_start));
        site.start_trunk(TRUNKS[4])?;
        for load in loads {
            let mut load_result = load.join().map_err(|_| "a load generator panicked")?;
            samples.append(&mut load_result.samples);
            answered_twice += load_result.answered_twice;
        }
        Ok(())
    })?;
    let mut outcome = Outcome {
        samples,
        answered_twice,
        archive_requests_ms: site.archive.request_log().iter().map(|(ms, _)| *ms as f64 - start_ms).collect(),
        loops_rejected: site.all_members().map(|m| m.counts().loops_rejected.load(SeqCst)).sum(),
        loops_reported: fronts.iter().map(|f| f.count_log_lines("a fill came round in a ring")).sum(),
        loops_missed: site.all_members().map(|m| m.counts().loops_missed.load(SeqCst)).sum(),
        overload_crashes: site.all_members().map(|m| m.counts().crashes.load(SeqCst)).sum(),
        too_old: site.all_members().map(|m| m.counts().too_old.load(SeqCst)).sum(),
        requests_after_drain: site.all_members().map(|m| m.requests_after_drain()).sum(),
        writes_run_twice: site.archive.accesses_run_twice("site-license"),
        crashed_fronts: 0,
        changes_held_back: fronts
            .iter()
            .map(|f| f.count_log_lines("is not in force: it would close a ring"))
            .sum(),
    };
    for (station, front) in fronts.iter_mut().enumerate() {
        outcome.crashed_fronts += usize::from(!front.is_running());
        if let Some(logs) = logs {
            let name = format!("{}-n{station}.log", if with_hierarchy { "tiers" } else { "baseline" });
            front.save_log(logs, &name).map_err(|e| e.to_string())?;
        }
    }
    Ok(outcome)
}

/// The highest number of requests in any second between two times, in steps of 100 ms.
fn max_per_second(requests_ms: &[f64], from: f64, to: f64) -> f64 {
    let mut sorted: Vec<f64> = requests_ms.iter().copied().filter(|a| (from..to).contains(a)).collect();
    sorted.sort_by(f64::total_cmp);
    let mut max = 0;
    let mut at = from;
    while at + 1_000.0 <= to {
        let count = sorted.partition_point(|&a| a < at + 1_000.0) - sorted.partition_point(|&a| a < at);
        max = max.max(count);
        at += 100.0;
    }
    max as f64
}

pub fn run(
    run_args: &RunArgs,
    front: Option<PathBuf>,
    logs: Option<PathBuf>,
    timeline: bool,
) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let times = || match run_args.quick {
        true => Times { warm: 4.0, before: 6.0, change: 14.0, cold: 5.0 },
        false => Times { warm: 10.0, before: 20.0, change: 40.0, cold: 12.0 },
    };
    let Times { warm, before, change, .. } = times();
    let (from, change_start, end) = (warm * 1e3, (warm + before) * 1e3, (warm + before + change) * 1e3);
    let seconds = (warm + before + change) as u64;
    let bar = indicatif::ProgressBar::new(seconds);
    bar.set_style(indicatif::ProgressStyle::default_bar());
    bar.set_message("both variants");
    let (program, logs) = (&program, logs.as_deref());
    let (hierarchy, baseline) = std::thread::scope(|scope| {
        let run = |with_hierarchy: bool| measure(run_args.seed, times(), program, with_hierarchy, logs);
        let hierarchy = scope.spawn(move || run(true));
        let baseline = scope.spawn(move || run(false));
        for _ in 0..seconds {
            std::thread::sleep(Duration::from_secs(1));
            bar.inc(1);
        }
        (hierarchy.join(), baseline.join())
    });
    bar.finish_and_clear();
    let (hierarchy, baseline) =
        (hierarchy.map_err(|_| "a run panicked")??, baseline.map_err(|_| "a run panicked")??);
    let mut figures = Figures::default();
    for (name, outcome) in [("", &hierarchy), ("baseline_", &baseline)] {
        if timeline {
            let second = |at: f64| (at / 1e3) as i64;
            let requests = |n: i64| outcome.archive_requests_ms.iter().filter(|&&a| second(a) == n).count();
            let is_declined = |s: &&Sample| s.result == AccessResult::Declined;
            let declined = |n: i64| {
                outcome.samples.iter().filter(is_declined).filter(|s| second(s.planned.at_ms) == n).count()
            };
            for n in 0..seconds as i64 {
                eprintln!("{name}second {n}: archive {}, declined {}", requests(n), declined(n));
            }
        }
        let mean = outcome.archive_requests_ms.iter().filter(|a| (from..change_start).contains(*a)).count()
            as f64
            / before;
        figures.put_rounded(&format!("{name}archive_mean_before"), mean);
        figures.put_rounded(
            &format!("{name}archive_peak_ratio_before"),
            max_per_second(&outcome.archive_requests_ms, from, change_start) / mean,
        );
        figures.put_rounded(
            &format!("{name}archive_peak_ratio"),
            max_per_second(&outcome.archive_requests_ms, change_start, end) / mean,
        );
        let service = |from, to| rig::service(&outcome.samples, &CLASSES, from, to);
        figures.put_rounded(&format!("{name}service_before"), service(from, change_start));
        figures.put_rounded(
            &format!("{name}service_ratio"),
            service(change_start, end) / service(from, change_start),
        );
        figures.put_rounded(
            &format!("{name}p99_ms_in_change"),
            rig::latency_quantile_ms(&outcome.samples, change_start, end, 0.99),
        );
        let count = |result| outcome.samples.iter().filter(|s| s.result == result).count();
        figures.put(&format!("{name}accesses"), outcome.samples.len());
        figures.put(&format!("{name}declined"), count(AccessResult::Declined));
        figures.put(&format!("{name}given_up"), count(AccessResult::Failed));
        figures.put(&format!("{name}lost"), count(AccessResult::Lost) + outcome.crashed_fronts);
        figures.put(&format!("{name}answered_twice"), outcome.answered_twice);
        let wrong_bodies = count(AccessResult::WrongBody);
        let rule_breaks = outcome.overload_crashes
            + outcome.too_old
            + outcome.requests_after_drain
            + outcome.writes_run_twice
            + wrong_bodies;
        figures.put(&format!("{name}rule_breaks"), rule_breaks);
        figures.put(&format!("{name}cold_fallen"), outcome.overload_crashes);
        figures.put(&format!("{name}loops_offered"), outcome.loops_rejected + outcome.changes_held_back);
        figures.put(&format!("{name}loops_turned_twice"), outcome.loops_missed);
        figures.put(&format!("{name}loops_set_aside"), outcome.changes_held_back);
        figures.put(&format!("{name}rings_cut"), outcome.loops_rejected);
        figures.put(&format!("{name}rings_reported"), outcome.loops_reported);
    }
    let homes = |count: usize| -> Vec<Home> { TRUNKS[..count].iter().map(|t| Home::named(t, 1.0)).collect() };
    figures.put_rounded("moved_share", moved_share(&homes(4), &homes(6)));
    figures.put_rounded("moved_share_least", min_moved_share(&homes(4), &homes(6)));
    Ok(figures)
}
