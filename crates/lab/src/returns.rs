//! Fronts that come back: many real fronts on loopback before one set of caches, seven in ten killed at once under
//! load and started again a second later.
//!
//! What is told apart in one run: caches that say how old their copies are (`Made-At`), as the protocol's page has
//! it, and the same program before caches that don't say, where it knows what it knew before: the fills that each
//! front saw itself. Renewals, waits and the archive's load are counted at the stand-ins.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::RwLock;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use doorgrade_hierarchy::homes::{Home, first};
use doorgrade_standins::member::Answered;
use doorgrade_standins::{Directory, Feed, Member, Role, Spec, unix_ms};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, Class, Folder, Front, Got, Planned, Sample};
use crate::{Figures, How};

const CLASSES: [Class; 2] = [
    Class { name: "font-css", wait_ms: 1_500, soft_ms: 400.0, benefit: 1.0, write: false },
    Class { name: "site-license", wait_ms: 1_500, soft_ms: 500.0, benefit: 5.0, write: true },
];
const FRESH_MS: u64 = 4_000;
const OBJECTS: usize = 400;
/// Accesses a second, over all fronts.
const RATE: f64 = 800.0;
const CACHES: usize = 4;
const ARCHIVE: &str = "s-000000ff";
/// Dead ones start again after so long.
const DOWN_MS: f64 = 1_000.0;
/// Service is full when so long a time has gone by as it did on calm days.
const FULL_OVER_MS: f64 = 5_000.0;

/// Seconds: until all is steady, the calm that is measured, and from the kill to the end.
#[derive(Clone, Copy)]
struct Times {
    warm: f64,
    calm: f64,
    back: f64,
}

/// Popular objects are asked for as 1 over rank; each hundredth access is a write.
fn plan(seed: u64, until_ms: f64) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed ^ 0x5e7);
    let mut sum = 0.0;
    let table: Vec<f64> = (1..=OBJECTS)
        .map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        })
        .collect();
    let each = 1e3 / RATE;
    let access = |n: u64| {
        let at_ms = (n as f64 + 0.8 * rng.f64()) * each;
        let (class, key) = match n % 100 {
            99 => (1, rng.u64(..)),
            _ => (0, table.partition_point(|&s| s < rng.f64() * sum) as u64 + 1),
        };
        Planned { at_ms, class, key }
    };
    (0..(until_ms / each) as u64).map(access).collect()
}

struct Outcome {
    samples: Vec<Sample>,
    twice: usize,
    /// Milliseconds from the start.
    archive: Vec<f64>,
    answered: Vec<(f64, Answered)>,
    too_old: usize,
    run_twice: usize,
    crashed: usize,
}

fn config(
    caches: &[Member],
    archive: &Member,
    feed: &Feed,
    fronts: usize,
    front: usize,
    seed: u64,
) -> String {
    let mut members: Vec<_> = caches.iter().map(|m| rig::listed(m, "one", "cache")).collect();
    members.push(rig::listed(archive, "hub", "archive"));
    let settings = json!({
        "zone": 0, "fleetSize": fronts, "quantum": 2.0, "localities": ["one", "hub"],
        "machineTypes": ["cache", "trunk", "archive"], "registryMode": "automatic", "weightKind": "nominal",
        "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6,
            "secondCopies": true, "retryAfter": true, "maxRetryAfter": 1000.0},
        "profiles": CLASSES.iter().map(Class::profile).collect::<Vec<_>>(),
        "rules": {"cold": 8000.0, "fall": 1500.0, "fallMultiple": 3.0, "startCapacity": 0.2},
        "specifics": {"crewByZone": [fronts, 1], "maxAge": [FRESH_MS, 0.0], "notesGiven": "all",
            "passOn": [false, true], "purgeDone": 6000.0, "upperKind": 1, "rootKind": 2, "parentCold": 8000.0,
            "parentColdFrom": 0.1, "parentLimitFactor": 2.0, "sharesFills": true, "straight": true}
    });
    let census = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": format!("n{front}"), "listen": "127.0.0.1:0", "seed": format!("{:x}", seed + front as u64),
        "feed": feed.at.to_string(), "known": {"n": 1, "events": [{"n": 1, "members": census}]},
        "settings": settings})
    .to_string()
}

fn one(seed: u64, times: Times, program: &Path, fronts: usize, told: bool) -> Result<Outcome, String> {
    let folder = Folder::new(&format!("return-{seed}-{fronts}-{told}"))?;
    let directory = Directory::default();
    let start = |id: &str, role, lag_ms| {
        let fresh_ms = HashMap::from([(CLASSES[0].name.to_owned(), FRESH_MS)]);
        let lag = Duration::from_millis(lag_ms);
        let spec = Spec { lag, fresh_ms, tells_made: told, ..Spec::new(id, "127.0.0.1:0", role) };
        Member::start(spec, &directory).map_err(|e| e.to_string())
    };
    let archive = start(ARCHIVE, Role::Archive, 25)?;
    let caches = (0..CACHES).map(|n| start(&format!("s-{n:08x}"), Role::Cache, 2));
    let caches = caches.collect::<Result<Vec<_>, _>>()?;
    // Caches hold, at the start, what they would after some hours: each object at its home, at any age.
    let mut ages = Rng::with_seed(seed ^ 0xa9e5);
    let homes: Vec<Home> = caches.iter().map(|c| Home::named(&c.id, 1.0)).collect();
    for key in 1..=OBJECTS as u64 {
        let home = first(&homes, key).map(|h| h.key);
        let home = caches.iter().find(|c| Some(doorgrade::hash::text(&c.id)) == home);
        let path = format!("/data/{}/{key:016x}/0", CLASSES[0].name);
        home.into_iter().for_each(|h| h.preload(&path, ages.u64(0..FRESH_MS)));
    }
    let feed = Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?;
    let mut configs = Vec::new();
    for front in 0..fronts {
        let text = config(&caches, &archive, &feed, fronts, front, seed);
        configs.push(folder.put(&format!("n{front}.json"), &text)?);
    }
    let mut running = Vec::new();
    for config in &configs {
        running.push(Front::start(program, config, None)?);
    }
    // Where clients go: to fronts that live. They learn of a death at once, so that what is measured is the return.
    let living: RwLock<Vec<Option<std::net::SocketAddr>>> =
        RwLock::new(running.iter().map(|f| Some(f.at)).collect());
    let set = |front: usize, at| living.write().unwrap_or_else(|e| e.into_inner())[front] = at;
    let choose = |access: usize| {
        let living = living.read().unwrap_or_else(|e| e.into_inner());
        let up: Vec<_> = living.iter().enumerate().filter_map(|(n, at)| Some((n, (*at)?))).collect();
        // As good as by chance, and the same in each variant.
        let drawn = doorgrade::hash::unit(access as u64, seed);
        up.get((drawn * up.len() as f64) as usize).copied()
    };
    let kill_ms = (times.warm + times.calm) * 1e3;
    let plan = plan(seed, kill_ms + times.back * 1e3);
    let begun = Instant::now() + Duration::from_millis(100);
    let begun_ms = unix_ms() as f64 + 100.0;
    let at = |ms: f64| {
        let due = begun + Duration::from_secs_f64(ms / 1e3);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let mut crashed = 0;
    let played = std::thread::scope(|scope| -> Result<rig::Played, String> {
        let player = scope.spawn(|| rig::play_at(&choose, &plan, &CLASSES, begun, 96));
        at(kill_ms);
        let dead = fronts * 7 / 10;
        crashed += running.iter_mut().filter_map(|f| (!f.alive()).then_some(())).count();
        (0..dead).for_each(|front| set(front, None));
        running.drain(..dead).for_each(drop);
        at(kill_ms + DOWN_MS);
        for (front, config) in configs.iter().enumerate().take(dead) {
            running.push(Front::start(program, config, None)?);
            set(front, running.last().map(|f| f.at));
        }
        player.join().map_err(|_| "the player failed".to_owned())
    })?;
    crashed += running.iter_mut().filter_map(|f| (!f.alive()).then_some(())).count();
    let since = |ms: u64| ms as f64 - begun_ms;
    let mut answered: Vec<_> =
        caches.iter().flat_map(|c| c.answered()).map(|a| (since(a.at_ms), a)).collect();
    answered.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(Outcome {
        samples: played.samples,
        twice: played.answered_twice,
        archive: archive.asked_at().iter().map(|(ms, _)| since(*ms)).collect(),
        answered,
        too_old: caches.iter().map(|m| m.counts().too_old.load(SeqCst)).sum(),
        run_twice: archive.run_twice(CLASSES[1].name),
        crashed,
    })
}

/// What was asked of archive and caches between two times.
struct Load {
    archive: f64,
    renewals_asked: f64,
    renewals: f64,
    waits: f64,
    service: f64,
    declined: f64,
}

impl Outcome {
    fn load(&self, from: f64, to: f64) -> Load {
        let between = |at: f64| (from..to).contains(&at);
        let seconds = (to - from) / 1e3;
        let answered = || self.answered.iter().filter(|a| between(a.0));
        let count = answered().count().max(1) as f64;
        let offered = self.samples.iter().filter(|s| between(s.planned.at_ms));
        Load {
            archive: self.archive.iter().filter(|&&at| between(at)).count() as f64 / seconds,
            renewals_asked: answered().filter(|a| a.1.renewal_asked).count() as f64 / count,
            renewals: answered().filter(|a| a.1.renewed).count() as f64 / count,
            waits: answered().filter(|a| !a.1.hit).count() as f64 / count,
            service: rig::service(&self.samples, &CLASSES, from, to),
            declined: offered.clone().filter(|s| s.got == Got::Declined).count() as f64
                / offered.count().max(1) as f64,
        }
    }

    /// Milliseconds from a time to the first five seconds that are as it was in calm: service, declines, and renewals,
    /// waits and the load on the archive within a tenth.
    fn full_service_ms(&self, calm: &Load, from: f64, end: f64) -> Option<f64> {
        let like = |is: f64, was: f64, room: f64| (is - was).abs() <= 0.1 * was + room;
        let mut at = from;
        while at + FULL_OVER_MS <= end {
            let now = self.load(at, at + FULL_OVER_MS);
            let fine = now.service >= 0.98 * calm.service
                && like(now.archive, calm.archive, 0.0)
                // A hundredth of the accesses is what chance alone makes of either in five seconds.
                && like(now.waits, calm.waits, 0.005)
                && like(now.renewals, calm.renewals, 0.005)
                && now.declined <= calm.declined + 0.005;
            if fine {
                return Some(at - from);
            }
            at += 100.0;
        }
        None
    }
}

pub fn run(how: &How, front: Option<PathBuf>, timeline: bool) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let times = match how.quick {
        true => Times { warm: 5.0, calm: 6.0, back: 12.0 },
        false => Times { warm: 8.0, calm: 15.0, back: 20.0 },
    };
    let sizes: &[usize] = if how.quick { &[10] } else { &[1, 10, 40] };
    let mut figures = Figures::default();
    let (calm_from, kill) = (times.warm * 1e3, (times.warm + times.calm) * 1e3);
    let end = kill + times.back * 1e3;
    for &fronts in sizes {
        let both = std::thread::scope(|scope| {
            let program = &program;
            let run = |told| scope.spawn(move || one(how.seed, times, program, fronts, told));
            [run(true), run(false)].map(|run| run.join())
        });
        for (name, o) in ["", "baseline_"].into_iter().zip(both) {
            let o = o.map_err(|_| "a run failed")??;
            let calm = o.load(calm_from, kill);
            let name = |figure: &str| format!("{name}{figure}_{fronts}");
            if timeline {
                for second in 0..(end / 1e3) as u64 {
                    let l = o.load(second as f64 * 1e3, (second + 1) as f64 * 1e3);
                    eprintln!(
                        "{} second {second}: archive {:.0}, renewals asked {:.3}, made {:.3}, waits {:.3}, service {:.3}",
                        name("fronts"),
                        l.archive,
                        l.renewals_asked,
                        l.renewals,
                        l.waits,
                        l.service
                    );
                }
            }
            figures.ratio(&name("renewal_share"), calm.renewals_asked);
            figures.ratio(&name("wait_share"), calm.waits);
            figures.ratio(&name("archive_per_s"), calm.archive);
            if fronts > 1 {
                let back = kill + DOWN_MS;
                let first = o.load(back, back + 2_000.0);
                figures.ratio(&name("wait_share_on_return"), first.waits);
                figures.ratio(&name("renewal_share_on_return"), first.renewals_asked);
                match o.full_service_ms(&calm, kill, end) {
                    Some(ms) => figures.ratio(&name("full_service_s"), ms / 1e3),
                    None => figures.put(&name("full_service_s"), "not reached"),
                }
            }
            let got = |got| o.samples.iter().filter(|s| s.got == got).count();
            let broken = |s: &&Sample| {
                s.got == Got::Lost
                    && s.front < fronts * 7 / 10
                    && s.planned.at_ms < kill
                    && s.planned.at_ms + 2e3 > kill
            };
            let broken = o.samples.iter().filter(broken).count();
            figures.put(&name("accesses"), o.samples.len());
            figures.put(&name("declined"), got(Got::Declined));
            figures.put(&name("broken_off"), broken);
            figures.put(&name("lost"), got(Got::Lost) - broken + o.crashed);
            figures.put(&name("answered_twice"), o.twice);
            figures.put(&name("rule_breaks"), o.too_old + o.run_twice + got(Got::Wrong));
        }
    }
    Ok(figures)
}
