//! A hierarchy that changes shape under load: three stations with a front and two font caches each, two tiers of
//! trunk caches, an archive; real fronts on loopback. The script, in parts of the time measured:
//!
//! 1. Two cold trunk caches join the four of tier 1: a third of the objects gets a new home.
//! 2. The two of tier 2 are hung under each other, each front hearing of it in its own order, one only half: a
//!    loop that no single view shows, really there among the stand-ins until it is mended.
//! 3. One of the newcomers dies in the middle and comes back cold.
//!
//! The baseline is the same front without the settings: it rehashes at once and has no account of the archive.

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

use crate::rig::{self, Class, Folder, Front, Got, Planned, Sample};
use crate::{Figures, RunArgs};

const CLASSES: [Class; 3] = [
    Class { name: "font-css", wait_ms: 1_500, soft_ms: 400.0, benefit: 1.0, write: false },
    Class { name: "font-files", wait_ms: 1_500, soft_ms: 400.0, benefit: 2.0, write: false },
    Class { name: "site-license", wait_ms: 1_500, soft_ms: 500.0, benefit: 5.0, write: true },
];
/// Stylesheets change: a copy is fresh for so long.
const FRESH_MS: u64 = 20_000;
const STATIONS: usize = 3;
/// Accesses a second at each station.
const RATE: f64 = 200.0;
const ARCHIVE: &str = "s-000000ff";
const UPPER: [&str; 2] = ["s-000000e1", "s-000000e2"];
const TRUNKS: [&str; 6] =
    ["s-000000a1", "s-000000a2", "s-000000a3", "s-000000a4", "s-000000a5", "s-000000a6"];
/// After word that a member is gone, and what the sockets may add.
const DRAIN_GRACE_MS: u64 = 2_050;
const TRUNK_COLD: f64 = 0.1;

/// Seconds: until all is steady, the time that counts as before, and that of the change.
struct Times {
    warm: f64,
    before: f64,
    change: f64,
    cold: f64,
}

struct Site {
    directory: Directory,
    archive: Member,
    uppers: Vec<Member>,
    trunks: Vec<Member>,
    /// Those that died, for what they counted.
    fallen: Vec<Member>,
    caches: Vec<Vec<Member>>,
    feeds: Vec<Feed>,
    number: u64,
    times: Times,
}

fn spec(id: &str, role: Role, keeps: usize, lag_ms: u64, cold: Option<Cold>) -> MemberConfig {
    let fresh_ms = HashMap::from([("font-css".to_owned(), FRESH_MS)]);
    let lag = Duration::from_millis(lag_ms);
    MemberConfig {
        max_copies: keeps,
        latency: lag,
        max_age_ms: fresh_ms,
        cold,
        ..MemberConfig::new(id, "127.0.0.1:0", role)
    }
}

impl Site {
    fn new(times: Times) -> Result<Site, String> {
        let directory = Directory::default();
        let start = |spec| Member::start(spec, &directory).map_err(|e| e.to_string());
        let archive = start(spec(ARCHIVE, Role::Archive, 0, 25, None))?;
        // The upper tier is narrow: it passes most of what it is asked on.
        let uppers = UPPER.map(|id| start(spec(id, Role::Parent, 50, 4, None)));
        let uppers = uppers.into_iter().collect::<Result<Vec<_>, _>>()?;
        uppers.iter().for_each(|u| u.set_fill_sources(&[ARCHIVE]));
        let trunks = TRUNKS[..4].iter().map(|id| start(spec(id, Role::Parent, 20_000, 4, None)));
        let trunks = trunks.collect::<Result<Vec<_>, _>>()?;
        trunks.iter().for_each(|t| t.set_fill_sources(&UPPER));
        let mut caches = Vec::new();
        for station in 0..STATIONS {
            let two =
                (0..2).map(|n| start(spec(&format!("s-0000{station:02x}0{n}"), Role::Cache, 150, 2, None)));
            caches.push(two.collect::<Result<Vec<_>, _>>()?);
        }
        let feeds = (0..STATIONS).map(|_| Feed::start("127.0.0.1:0").map_err(|e| e.to_string()));
        let feeds = feeds.collect::<Result<Vec<_>, _>>()?;
        let fallen = Vec::new();
        Ok(Site { directory, archive, uppers, trunks, fallen, caches, feeds, number: 1, times })
    }

    fn config(&self, station: usize, seed: u64) -> String {
        let place = ["one", "two", "three"][station];
        let mut members: Vec<_> =
            self.caches[station].iter().map(|m| rig::listed(m, place, "cache")).collect();
        members.extend(self.trunks.iter().map(|m| rig::listed(m, "hub", "trunk")));
        members.push(rig::listed(&self.archive, "hub", "archive"));
        let settings = json!({
            "zone": station, "fleetSize": 1, "quantum": 2.0, "localities": ["one", "two", "three", "hub"],
            "machineTypes": ["cache", "trunk", "archive"], "registryMode": "automatic", "weightKind": "nominal",
            "limits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 400.0, "maxAttempts": 6,
                "secondCopies": true, "retryAfter": true, "maxRetryAfter": 1000.0},
            "profiles": CLASSES.iter().map(Class::profile).collect::<Vec<_>>(),
            "rules": {"cold": 8000.0, "fall": 1500.0, "fallMultiple": 3.0, "startCapacity": 0.2},
            "specifics": {"crewByZone": [1, 1, 1, 1], "maxAge": [FRESH_MS, 0.0, 0.0], "notesGiven": "all",
                "passOn": [false, false, true], "purgeDone": 6000.0, "upperKind": 1, "rootKind": 2,
                "parentCold": self.times.cold * 1e3, "parentColdFrom": TRUNK_COLD, "parentLimitFactor": 2.0,
                "sharesFills": true, "straight": true}
        });
        let census = json!({"revision": 1, "complete": true, "members": members});
        json!({"name": format!("n{station}"), "listen": "127.0.0.1:0", "seed": format!("{:x}", seed + station as u64),
            "feed": self.feeds[station].address.to_string(), "known": {"n": 1, "events": [{"n": 1, "members": census}]},
            "settings": settings})
        .to_string()
    }

    fn list(&mut self, records: &[Vec<u8>]) {
        self.number += 1;
        self.feeds.iter().for_each(|f| f.publish_members(self.number, records));
    }

    /// A cold trunk cache starts, or starts again.
    fn join(&mut self, id: &str) -> Result<(), String> {
        // What a warm one carries here, with some room.
        let (lasts, window) = (Duration::from_secs_f64(self.times.cold), Duration::from_millis(1_500));
        let cold =
            Cold { warm_per_s: RATE, initial_share: TRUNK_COLD, duration: lasts, crash_factor: 2.0, window };
        let member = spec(id, Role::Parent, 20_000, 4, Some(cold));
        let member = Member::start(member, &self.directory).map_err(|e| e.to_string())?;
        member.set_fill_sources(&UPPER);
        let listed = member_record(id, member.address, 0, 3, 1, unix_ms());
        self.trunks.push(member);
        self.list(&[listed]);
        Ok(())
    }

    fn lose(&mut self, id: &str) {
        if let Some(at) = self.trunks.iter().position(|t| t.id == id) {
            let lost = self.trunks.remove(at);
            lost.kill();
            lost.set_draining(DRAIN_GRACE_MS);
            self.list(&[member_record(id, lost.address, 2, 3, 1, 0)]);
            self.fallen.push(lost);
        }
    }

    fn all(&self) -> impl Iterator<Item = &Member> {
        let caches = self.caches.iter().flatten();
        std::iter::once(&self.archive)
            .chain(&self.uppers)
            .chain(&self.trunks)
            .chain(&self.fallen)
            .chain(caches)
    }
}

fn stands(member: &str, number: u64, tier: u8, sources: &[&str]) -> Change {
    let fills_from = sources.iter().map(|&s| s.into()).collect();
    let kind = ChangeKind::Present { tier, standing: Standing::InService, fills_from };
    Change { member: member.into(), incarnation: 1, number, kind }
}

fn first_shape() -> Vec<Change> {
    let mut all = vec![stands(ARCHIVE, 1, 3, &[])];
    all.extend(UPPER.map(|u| stands(u, 1, 2, &[ARCHIVE])));
    all.extend(TRUNKS[..4].iter().map(|t| stands(t, 1, 1, &UPPER)));
    all
}

/// Popular objects are asked for again and again, as 1 over rank to the power 0.9; each seventeenth access is for
/// an object that nobody asks for twice, each hundredth a write. The times are even but for a jitter, so that the
/// archive's busiest second tells of the change and not of chance.
fn plan(station: usize, seed: u64, until_ms: f64) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed ^ (0x0bad_5eed + station as u64));
    let weights = |count: usize| -> Vec<f64> {
        let mut sum = 0.0;
        (1..=count)
            .map(|rank| {
                sum += (rank as f64).powf(-0.9);
                sum
            })
            .collect()
    };
    let tables = [weights(100), weights(1_500)];
    let mut all = Vec::new();
    let each = 1e3 / RATE;
    for n in 0..(until_ms / each) as u64 {
        let at_ms = (n as f64 + 0.8 * rng.f64()) * each;
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
        all.push(Planned { at_ms, class, key });
    }
    all
}

struct Outcome {
    samples: Vec<Sample>,
    twice: usize,
    archive: Vec<f64>,
    rings: usize,
    rings_reported: usize,
    turned_twice: usize,
    fell: usize,
    too_old: usize,
    after_drain: usize,
    run_twice: usize,
    crashed: usize,
    set_aside: usize,
}

fn one(
    seed: u64,
    times: Times,
    program: &Path,
    tiered: bool,
    logs: Option<&Path>,
) -> Result<Outcome, String> {
    let folder = Folder::new(&format!("{seed}-{tiered}"))?;
    let begins = times.warm + times.before;
    let ends = begins + times.change;
    let part = |share: f64| begins + share * times.change;
    let (ring_at, mended_at, lost_at) = (part(0.25), part(0.4), part(0.5));
    let mut site = Site::new(times)?;
    // Trunk caches hold, at the start, what they would after some hours: each object at its home, at any age.
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
        let settings = match tiered {
            false => None,
            true => {
                folder.put(&format!("shape-{station}.hcl"), &write(&first_shape()))?;
                let text = format!(
                    "hierarchy {{\n  enabled = true\n  shape = \"shape-{station}.hcl\"\n  hand_over_ms = 4000\n}}\n"
                );
                Some(folder.put(&format!("doorgrade-{station}.hcl"), &text)?)
            }
        };
        fronts.push(Front::start(program, &config, settings.as_deref())?);
    }
    let tell = |fronts: &[Front], station: usize, changes: &[Change]| -> Result<(), String> {
        if tiered {
            folder.put(&format!("shape-{station}.hcl"), &write(changes))?;
            fronts[station].reload();
        }
        Ok(())
    };
    let start = Instant::now() + Duration::from_millis(100);
    let start_ms = unix_ms() as f64 + 100.0;
    let at = |seconds: f64| {
        let due = start + Duration::from_secs_f64(seconds);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let addresses: Vec<_> = fronts.iter().map(|f| f.at).collect();
    let (mut samples, mut twice) = (Vec::new(), 0);
    std::thread::scope(|scope| -> Result<(), String> {
        let players: Vec<_> = addresses
            .iter()
            .enumerate()
            .map(|(station, &front)| {
                let plan = plan(station, seed, ends * 1e3);
                scope.spawn(move || rig::play(front, &plan, &CLASSES, start, 48))
            })
            .collect();
        at(begins);
        let newcomers: Vec<Change> = TRUNKS[4..].iter().map(|t| stands(t, 1, 1, &UPPER)).collect();
        let grown = [first_shape(), newcomers].concat();
        // The list first, or the shape: no order is promised.
        (0..STATIONS).try_for_each(|s| tell(&fronts, s, &grown))?;
        TRUNKS[4..].iter().try_for_each(|id| site.join(id))?;
        at(ring_at);
        // Meant: one of the upper tier goes under the other, for good; then the other under the archive again.
        // Told the wrong way round, and to the second front only half, so each has its own picture.
        let (down, up) = (stands(UPPER[0], 2, 2, &[UPPER[1]]), stands(UPPER[1], 3, 2, &[UPPER[0]]));
        site.uppers[0].set_fill_sources(&[UPPER[1]]);
        site.uppers[1].set_fill_sources(&[UPPER[0]]);
        tell(&fronts, 0, &[grown.clone(), vec![down.clone(), up.clone()]].concat())?;
        tell(&fronts, 1, &[grown.clone(), vec![up.clone()]].concat())?;
        tell(&fronts, 2, &[grown.clone(), vec![down.clone()]].concat())?;
        at(mended_at);
        site.uppers[1].set_fill_sources(&[ARCHIVE]);
        site.uppers[0].set_fill_sources(&[ARCHIVE]);
        let mended = UPPER.map(|u| stands(u, 4, 2, &[ARCHIVE]));
        (0..STATIONS).try_for_each(|s| tell(&fronts, s, &[grown.clone(), mended.to_vec()].concat()))?;
        at(lost_at);
        site.lose(TRUNKS[4]);
        at(lost_at + 0.05 * (ends - begins));
        site.join(TRUNKS[4])?;
        for player in players {
            let mut played = player.join().map_err(|_| "a player failed")?;
            samples.append(&mut played.samples);
            twice += played.answered_twice;
        }
        Ok(())
    })?;
    let mut outcome = Outcome {
        samples,
        twice,
        archive: site.archive.request_log().iter().map(|(ms, _)| *ms as f64 - start_ms).collect(),
        rings: site.all().map(|m| m.counts().loops_rejected.load(SeqCst)).sum(),
        rings_reported: fronts.iter().map(|f| f.count("a fill came round in a ring")).sum(),
        turned_twice: site.all().map(|m| m.counts().loops_missed.load(SeqCst)).sum(),
        fell: site.all().map(|m| m.counts().crashes.load(SeqCst)).sum(),
        too_old: site.all().map(|m| m.counts().too_old.load(SeqCst)).sum(),
        after_drain: site.all().map(|m| m.requests_after_drain()).sum(),
        run_twice: site.archive.accesses_run_twice("site-license"),
        crashed: 0,
        set_aside: fronts.iter().map(|f| f.count("is not in force: it would close a ring")).sum(),
    };
    for (station, front) in fronts.iter_mut().enumerate() {
        outcome.crashed += usize::from(!front.alive());
        if let Some(logs) = logs {
            let name = format!("{}-n{station}.log", if tiered { "tiers" } else { "baseline" });
            front.keep_log(logs, &name).map_err(|e| e.to_string())?;
        }
    }
    Ok(outcome)
}

/// The archive's busiest second in a time, moved in steps of a tenth.
fn busiest(asked: &[f64], from: f64, to: f64) -> f64 {
    let mut sorted: Vec<f64> = asked.iter().copied().filter(|a| (from..to).contains(a)).collect();
    sorted.sort_by(f64::total_cmp);
    let mut most = 0;
    let mut at = from;
    while at + 1_000.0 <= to {
        let count = sorted.partition_point(|&a| a < at + 1_000.0) - sorted.partition_point(|&a| a < at);
        most = most.max(count);
        at += 100.0;
    }
    most as f64
}

pub fn run(
    how: &RunArgs,
    front: Option<PathBuf>,
    logs: Option<PathBuf>,
    timeline: bool,
) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let times = || match how.quick {
        true => Times { warm: 4.0, before: 6.0, change: 14.0, cold: 5.0 },
        false => Times { warm: 10.0, before: 20.0, change: 40.0, cold: 12.0 },
    };
    let Times { warm, before, change, .. } = times();
    let (from, begins, ends) = (warm * 1e3, (warm + before) * 1e3, (warm + before + change) * 1e3);
    let seconds = (warm + before + change) as u64;
    let bar = indicatif::ProgressBar::new(seconds);
    bar.set_style(indicatif::ProgressStyle::default_bar());
    bar.set_message("both variants");
    let (program, logs) = (&program, logs.as_deref());
    let (tiers, baseline) = std::thread::scope(|scope| {
        let run = |tiered: bool| one(how.seed, times(), program, tiered, logs);
        let tiers = scope.spawn(move || run(true));
        let baseline = scope.spawn(move || run(false));
        for _ in 0..seconds {
            std::thread::sleep(Duration::from_secs(1));
            bar.inc(1);
        }
        (tiers.join(), baseline.join())
    });
    bar.finish_and_clear();
    let (tiers, baseline) = (tiers.map_err(|_| "a run failed")??, baseline.map_err(|_| "a run failed")??);
    let mut figures = Figures::default();
    for (name, o) in [("", &tiers), ("baseline_", &baseline)] {
        if timeline {
            let second = |at: f64| (at / 1e3) as i64;
            let asked = |n: i64| o.archive.iter().filter(|&&a| second(a) == n).count();
            let declined = |s: &&Sample| s.got == Got::Declined;
            let declines =
                |n: i64| o.samples.iter().filter(declined).filter(|s| second(s.planned.at_ms) == n).count();
            for n in 0..seconds as i64 {
                eprintln!("{name}second {n}: archive {}, declined {}", asked(n), declines(n));
            }
        }
        let mean = o.archive.iter().filter(|a| (from..begins).contains(*a)).count() as f64 / before;
        figures.put_rounded(&format!("{name}archive_mean_before"), mean);
        figures.put_rounded(
            &format!("{name}archive_peak_ratio_before"),
            busiest(&o.archive, from, begins) / mean,
        );
        figures.put_rounded(&format!("{name}archive_peak_ratio"), busiest(&o.archive, begins, ends) / mean);
        let service = |from, to| rig::service(&o.samples, &CLASSES, from, to);
        figures.put_rounded(&format!("{name}service_before"), service(from, begins));
        figures.put_rounded(&format!("{name}service_ratio"), service(begins, ends) / service(from, begins));
        figures.put_rounded(&format!("{name}p99_ms_in_change"), rig::took(&o.samples, begins, ends, 0.99));
        let count = |got| o.samples.iter().filter(|s| s.got == got).count();
        figures.put(&format!("{name}accesses"), o.samples.len());
        figures.put(&format!("{name}declined"), count(Got::Declined));
        figures.put(&format!("{name}given_up"), count(Got::GivenUp));
        figures.put(&format!("{name}lost"), count(Got::Lost) + o.crashed);
        figures.put(&format!("{name}answered_twice"), o.twice);
        let wrong = count(Got::Wrong);
        let breaks = o.fell + o.too_old + o.after_drain + o.run_twice + wrong;
        figures.put(&format!("{name}rule_breaks"), breaks);
        figures.put(&format!("{name}cold_fallen"), o.fell);
        figures.put(&format!("{name}loops_offered"), o.rings + o.set_aside);
        figures.put(&format!("{name}loops_turned_twice"), o.turned_twice);
        figures.put(&format!("{name}loops_set_aside"), o.set_aside);
        figures.put(&format!("{name}rings_cut"), o.rings);
        figures.put(&format!("{name}rings_reported"), o.rings_reported);
    }
    let homes = |count: usize| -> Vec<Home> { TRUNKS[..count].iter().map(|t| Home::named(t, 1.0)).collect() };
    figures.put_rounded("moved_share", moved_share(&homes(4), &homes(6)));
    figures.put_rounded("moved_share_least", min_moved_share(&homes(4), &homes(6)));
    Ok(figures)
}
