//! Measures how the service and the load on the archive recover after a mass restart of fronts. Many real fronts on loopback
//! share one set of caches, behind which are three trunk caches and an archive of limited capacity. Messages between fronts
//! pass links with some milliseconds of latency and some loss. Faults, each under load:
//!
//! 1. 70% of the fronts are killed at once and start again a second later.
//! 2. All fronts are killed at once and start again a second later.
//! 3. Not with `--quick`: 70% are killed at once, and again half a second after they are back, while the load is 2.5 times
//!    as high.
//! 4. Not with `--quick`: all fronts and all caches are killed; the caches come back cold and empty under other addresses.
//!
//! The variants, whose names are the prefixes of the figures:
//!
//! - `untold_`, the first baseline: caches don't send `Made-At`, so a front only knows of the fills that it observed itself.
//! - `alone_`, the second baseline: fronts estimate the age of copies from `Made-At`, and remember nothing over a restart.
//! - `snapshot_`, `neighbours_`, `memory_`: fronts recall fills from their own snapshot, from their neighbours, or from both.
//!
//! Refreshes, waits for fills and the archive's load are counted at the stand-ins.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::RwLock;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use doorgrade_hierarchy::homes::{Home, home_of};
use doorgrade_standins::feed::member_record;
use doorgrade_standins::links::{ANY, LinkConditions, Links};
use doorgrade_standins::member::{Cold, Lookup};
use doorgrade_standins::ports::free_address;
use doorgrade_standins::{Directory, Feed, Member, MemberConfig, Role, unix_ms};
use fastrand::Rng;
use serde_json::json;

use crate::rig::{self, AccessResult, Class, Folder, Front, PlannedAccess, Sample};
use crate::{Figures, RunArgs};

const CLASSES: [Class; 2] = [
    Class { name: "font-css", timeout_ms: 1_500, soft_limit_ms: 400.0, benefit: 1.0, write: false },
    Class { name: "site-license", timeout_ms: 1_500, soft_limit_ms: 500.0, benefit: 5.0, write: true },
];
const FRESH_MS: u64 = 4_000;
const OBJECTS: usize = 400;
/// Accesses per second of all fronts together.
const RATE: f64 = 800.0;
const CACHES: usize = 8;
const TRUNKS: [&str; 3] = ["s-000000a1", "s-000000a2", "s-000000a3"];
const ARCHIVE: &str = "s-000000ff";
/// With a latency of 25 ms these are 480 requests per second, about eight times the load without faults.
const ARCHIVE_MAX_IN_FLIGHT: usize = 12;
/// The links between fronts.
const LINK: LinkConditions = LinkConditions { delay_ms: 5, jitter_ms: 10, loss: 0.02, ..PERFECT_LINK };
const PERFECT_LINK: LinkConditions = LinkConditions {
    cut: false,
    delay_ms: 0,
    jitter_ms: 0,
    bytes_per_s: 0,
    reset_after_bytes: None,
    loss: 0.0,
    duplication: 0.0,
};

/// The sources from which fronts know the age of copies in a run.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Variant {
    name: &'static str,
    /// Whether caches send `Made-At`.
    sends_made_at: bool,
    /// Whether fronts keep their snapshots over a restart.
    snapshot: bool,
    /// Whether fronts recall from their neighbours.
    neighbours: bool,
}

const fn variant(name: &'static str, sends_made_at: bool, snapshot: bool, neighbours: bool) -> Variant {
    Variant { name, sends_made_at, snapshot, neighbours }
}

const VARIANTS: [Variant; 5] = [
    variant("untold", false, false, false),
    variant("alone", true, false, false),
    variant("snapshot", true, true, false),
    variant("neighbours", true, false, true),
    variant("memory", true, true, true),
];
/// The factor of the load during a surge, and how long the surge lasts.
const SURGE_FACTOR: f64 = 2.5;
const SURGE_MS: f64 = 4_000.0;
/// Requests per second that a restarted cache can handle once it is warm: 1.5 times its load without faults.
const WARM_PER_S: f64 = 1.5 * RATE / CACHES as f64;
/// The name of the front's thread that keeps its memory and exchanges messages with neighbours.
const NEIGHBOURS_THREAD: &str = "neighbours";
/// Killed fronts start again after this time.
const DOWN_MS: f64 = 1_000.0;
/// Service counts as full once it has been as before the faults for this long.
const FULL_SERVICE_WINDOW_MS: f64 = 5_000.0;

/// Durations in seconds.
#[derive(Clone, Copy)]
struct Times {
    /// Until the load is steady; not measured.
    warm: f64,
    /// Measured without faults.
    calm: f64,
    /// From a fault to the next one, or to the end.
    recovery: f64,
}

/// Objects follow Zipf's law with exponent 1; each 100th access is a write. `surge_ms`: from when until when the load is
/// `SURGE_FACTOR` times as high.
fn plan(seed: u64, end_ms: f64, surge_ms: Option<(f64, f64)>) -> Vec<PlannedAccess> {
    let mut rng = Rng::with_seed(seed ^ 0x5e7);
    let mut sum = 0.0;
    let table: Vec<f64> = (1..=OBJECTS)
        .map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        })
        .collect();
    let mean_interval_ms = 1e3 / RATE;
    let (mut accesses, mut slot_ms, mut n) = (Vec::new(), 0.0, 0u64);
    while slot_ms < end_ms {
        let (class, key) = match n % 100 {
            99 => (1, rng.u64(..)),
            _ => (0, table.partition_point(|&s| s < rng.f64() * sum) as u64 + 1),
        };
        let interval_ms = if surge_ms.is_some_and(|s| (s.0..s.1).contains(&slot_ms)) {
            mean_interval_ms / SURGE_FACTOR
        } else {
            mean_interval_ms
        };
        accesses.push(PlannedAccess { at_ms: slot_ms + 0.8 * interval_ms * rng.f64(), class, key });
        (slot_ms, n) = (slot_ms + interval_ms, n + 1);
    }
    accesses
}

struct Outcome {
    samples: Vec<Sample>,
    answered_twice: usize,
    /// When the archive got each of its requests, in milliseconds since the start of the load.
    archive_requests_ms: Vec<f64>,
    /// Lookups in the caches, with milliseconds since the start of the load.
    lookups: Vec<(f64, Lookup)>,
    /// Responses with copies older than requested.
    too_old: usize,
    /// Crashes of cold caches by overload.
    overload_crashes: usize,
    /// Writes that the archive executed twice.
    writes_run_twice: usize,
    /// Fronts that ended by themselves.
    crashed_fronts: usize,
    /// Parts that fronts recalled at their starts.
    recalled_parts: u64,
    /// CPU time of all fronts before the faults, in milliseconds per second.
    cpu_ms_per_s: f64,
    /// The part of it that the threads named `NEIGHBOURS_THREAD` used.
    neighbours_cpu_ms_per_s: f64,
    /// Memory of all fronts before the faults.
    memory_mb: f64,
    /// Pages that fronts got from their neighbours.
    pages_received: usize,
    /// Datagrams that fronts sent each other.
    datagrams: usize,
}

fn config(site: &Site, fronts: usize, front: usize, seed: u64) -> String {
    let Site { caches, trunks, archive, feed, .. } = site;
    let mut members: Vec<_> = caches.iter().map(|m| rig::member_json(m, "one", "cache")).collect();
    members.extend(trunks.iter().map(|m| rig::member_json(m, "hub", "trunk")));
    members.push(rig::member_json(archive, "hub", "archive"));
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
    let member_list = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": format!("n{front}"), "listen": "127.0.0.1:0", "seed": format!("{:x}", seed + front as u64),
        "feed": feed.address.to_string(), "known": {"n": 1, "events": [{"n": 1, "members": member_list}]},
        "settings": settings})
    .to_string()
}

/// The stand-ins of a run.
struct Site {
    directory: Directory,
    /// The configuration of all caches.
    cache_config: MemberConfig,
    caches: Vec<Member>,
    /// Those that were killed, kept for their counts.
    killed_caches: Vec<Member>,
    trunks: Vec<Member>,
    archive: Member,
    feed: Feed,
}

impl Site {
    fn new(seed: u64, sends_made_at: bool) -> Result<Site, String> {
        let directory = Directory::default();
        let config = |id: &str, role, latency_ms, max_in_flight| {
            let max_age_ms = HashMap::from([(CLASSES[0].name.to_owned(), FRESH_MS)]);
            let latency = Duration::from_millis(latency_ms);
            MemberConfig {
                latency,
                max_age_ms,
                max_in_flight,
                sends_made_at,
                ..MemberConfig::new(id, "127.0.0.1:0", role)
            }
        };
        let start = |id: &str, role, latency_ms, max_in_flight| {
            Member::start(config(id, role, latency_ms, max_in_flight), &directory).map_err(|e| e.to_string())
        };
        let archive = start(ARCHIVE, Role::Archive, 25, ARCHIVE_MAX_IN_FLIGHT)?;
        let trunks = TRUNKS.iter().map(|id| start(id, Role::Parent, 4, usize::MAX));
        let trunks = trunks.collect::<Result<Vec<_>, _>>()?;
        trunks.iter().for_each(|t| t.set_fill_sources(&[ARCHIVE]));
        let caches = (1..=CACHES).map(|n| start(&format!("s-{n:08x}"), Role::Cache, 2, usize::MAX));
        let caches = caches.collect::<Result<Vec<_>, _>>()?;
        // Caches start with the content that they would have after some hours: each object at its home, with a random age.
        let mut ages = Rng::with_seed(seed ^ 0xa9e5);
        let homes: Vec<Home> = caches.iter().map(|c| Home::named(&c.id, 1.0)).collect();
        for key in 1..=OBJECTS as u64 {
            let home = home_of(&homes, key).map(|h| h.key);
            let home = caches.iter().find(|c| Some(doorgrade::hash::text(&c.id)) == home);
            let path = format!("/data/{}/{key:016x}/0", CLASSES[0].name);
            home.into_iter().for_each(|h| h.preload(&path, ages.u64(0..FRESH_MS)));
        }
        let feed = Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?;
        let cache_config = config("", Role::Cache, 2, usize::MAX);
        Ok(Site { directory, cache_config, caches, killed_caches: Vec::new(), trunks, archive, feed })
    }
}

/// The links between fronts.
struct FrontLinks {
    links: Links,
    /// Where each front listens.
    listen: Vec<std::net::SocketAddr>,
    /// Where others reach it, over its link.
    addresses: Vec<std::net::SocketAddr>,
}

impl FrontLinks {
    fn new(seed: u64, fronts: usize) -> std::io::Result<FrontLinks> {
        let links = Links::new(seed);
        links.set(ANY, ANY, LINK);
        let listen: Vec<_> = (0..fronts).map(|_| free_address()).collect();
        let addresses = listen.iter().enumerate().map(|(n, &own)| links.udp_proxy(&format!("n{n}"), own));
        Ok(FrontLinks { addresses: addresses.collect::<Result<Vec<_>, _>>()?, links, listen })
    }

    fn settings(&self, variant: Variant, front: usize) -> String {
        let mut text = String::new();
        if variant.neighbours {
            let (listen, address, count) = (self.listen[front], self.addresses[front], self.listen.len());
            // Three seeds, as an operator would configure. The last front is only killed together with all others, so that one
            // seed is running after the other kills.
            let seeds = [self.addresses[0], self.addresses[count / 2], self.addresses[count - 1]];
            text += &format!(
                "neighbours {{\n  enabled = true\n  listen = \"{listen}\"\n  address = \"{address}\"\n  \
                 seeds = [\"{}\", \"{}\", \"{}\"]\n  station = \"one\"\n  seal_keys = \"seal-keys.hcl\"\n  \
                 about = {count}\n}}\n",
                seeds[0], seeds[1], seeds[2]
            );
        }
        if variant.snapshot || variant.neighbours {
            // Also without snapshots: the store is then deleted before each start.
            text +=
                &format!("recall {{\n  enabled = true\n  store = \"n{front}.redb\"\n  write_ms = 2000\n}}\n");
        }
        text
    }
}

/// One run of a variant.
fn measure(
    seed: u64,
    times: Times,
    script: &[Fault],
    program: &Path,
    fronts: usize,
    variant: Variant,
) -> Result<Outcome, String> {
    let folder = Folder::new(&format!("return-{seed}-{fronts}-{}", variant.name))?;
    let mut site = Site::new(seed, variant.sends_made_at)?;
    let front_links = FrontLinks::new(seed, fronts).map_err(|e| e.to_string())?;
    let seal_keys = format!("key \"1\" {{ secret = \"{}\" }}\n", "5e".repeat(32));
    folder.put("seal-keys.hcl", &seal_keys)?;
    for front in 0..fronts {
        folder.put(&format!("n{front}.json"), &config(&site, fronts, front, seed))?;
        folder.put(&format!("n{front}.hcl"), &front_links.settings(variant, front))?;
    }
    let start = |front: usize| {
        if !variant.snapshot {
            let _ = std::fs::remove_file(folder.path(&format!("n{front}.redb")));
        }
        let (config, settings) =
            (folder.path(&format!("n{front}.json")), folder.path(&format!("n{front}.hcl")));
        Front::start(program, &config, Some(&settings))
    };
    let mut running: Vec<Option<Front>> = Vec::new();
    for front in 0..fronts {
        running.push(Some(start(front)?));
    }
    // Clients only use running fronts. They learn of a kill at once, so that its effect on clients doesn't hide the recovery.
    let running_addresses: RwLock<Vec<Option<std::net::SocketAddr>>> =
        RwLock::new(running.iter().map(|f| f.as_ref().map(|f| f.address)).collect());
    let set_address =
        |front: usize, address| running_addresses.write().unwrap_or_else(|e| e.into_inner())[front] = address;
    let choose_front = |access: usize| {
        let addresses = running_addresses.read().unwrap_or_else(|e| e.into_inner());
        let available: Vec<_> =
            addresses.iter().enumerate().filter_map(|(n, address)| Some((n, (*address)?))).collect();
        // Pseudo-random, and the same in each variant.
        let drawn = doorgrade::hash::unit(access as u64, seed);
        available.get((drawn * available.len() as f64) as usize).copied()
    };
    let end_ms = script.iter().map(|f| f.at_ms).fold(0.0, f64::max) + times.recovery * 1e3;
    let surge_ms = script.iter().find(|f| f.surge).map(|f| (f.at_ms + DOWN_MS, f.over_ms));
    let plan = plan(seed, end_ms, surge_ms);
    let start_time = Instant::now() + Duration::from_millis(100);
    let start_unix_ms = unix_ms() as f64 + 100.0;
    let wait_until = |ms: f64| {
        let deadline = start_time + Duration::from_secs_f64(ms / 1e3);
        std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
    };
    let (mut crashed_fronts, mut recalled_parts, mut pages_received) = (0, 0, 0);
    let (mut cpu_ms_per_s, mut neighbours_cpu_ms_per_s, mut memory_mb) = (0.0, 0.0, 0.0);
    let mut read_log = |front: &Front| {
        for line in front.log_lines().iter().filter(|l| l.contains("recall: from ")) {
            let parts =
                line.split(": ").find_map(|p| p.split_once(" parts and ")).and_then(|p| p.0.parse().ok());
            recalled_parts += parts.unwrap_or(0u64);
            let pages =
                line.split_once("from neighbours, ").and_then(|l| l.1.split(' ').next()?.parse().ok());
            pages_received += pages.unwrap_or(0usize);
        }
    };
    let load_result = std::thread::scope(|scope| -> Result<rig::LoadResult, String> {
        let load = scope.spawn(|| rig::run_load_with(&choose_front, &plan, &CLASSES, start_time, 96));
        let processes: Vec<u32> = running.iter().flatten().map(Front::process_id).collect();
        let cpu_ms = || processes.iter().map(|&p| rig::cpu_ms(p)).sum::<f64>();
        let neighbours_cpu_ms =
            || processes.iter().map(|&p| rig::thread_cpu_ms(p, NEIGHBOURS_THREAD)).sum::<f64>();
        wait_until(times.warm * 1e3);
        let before = (cpu_ms(), neighbours_cpu_ms());
        wait_until((times.warm + times.calm) * 1e3);
        (cpu_ms_per_s, neighbours_cpu_ms_per_s) =
            ((cpu_ms() - before.0) / times.calm, (neighbours_cpu_ms() - before.1) / times.calm);
        memory_mb = processes.iter().filter_map(|&p| rig::memory_mb(p).ok()).sum();
        for fault in script {
            let kills =
                std::iter::once(fault.at_ms).chain(fault.again_after_ms.map(|after| fault.at_ms + after));
            for (kill_ms, kills_left) in kills.clone().zip((1..=kills.count()).rev()) {
                wait_until(kill_ms);
                crashed_fronts +=
                    running.iter_mut().flatten().filter_map(|f| (!f.is_running()).then_some(())).count();
                (0..fault.killed).for_each(|front| set_address(front, None));
                for front in running.iter_mut().take(fault.killed) {
                    front.iter().for_each(&mut read_log);
                    *front = None;
                }
                if fault.caches {
                    site.restart_caches(2)?;
                }
                // After the second of two kills they start again after half the time.
                wait_until(
                    kill_ms
                        + if kills_left > 1 || fault.again_after_ms.is_none() {
                            DOWN_MS
                        } else {
                            DOWN_MS / 2.0
                        },
                );
                for (front, process) in running.iter_mut().enumerate().take(fault.killed) {
                    let started = start(front)?;
                    set_address(front, Some(started.address));
                    *process = Some(started);
                }
            }
        }
        load.join().map_err(|_| "the load generator panicked".to_owned())
    })?;
    crashed_fronts += running.iter_mut().flatten().filter_map(|f| (!f.is_running()).then_some(())).count();
    running.iter().flatten().for_each(read_log);
    let since_start = |ms: u64| ms as f64 - start_unix_ms;
    let mut lookups: Vec<_> =
        site.all_caches().flat_map(|c| c.lookups()).map(|l| (since_start(l.at_ms), l)).collect();
    lookups.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(Outcome {
        samples: load_result.samples,
        answered_twice: load_result.answered_twice,
        archive_requests_ms: site.archive.request_log().iter().map(|(ms, _)| since_start(*ms)).collect(),
        lookups,
        too_old: site.all_caches().map(|m| m.counts().too_old.load(SeqCst)).sum(),
        overload_crashes: site.all_caches().map(|m| m.counts().crashes.load(SeqCst)).sum(),
        writes_run_twice: site.archive.accesses_run_twice(CLASSES[1].name),
        crashed_fronts,
        recalled_parts,
        cpu_ms_per_s,
        neighbours_cpu_ms_per_s,
        memory_mb,
        pages_received,
        datagrams: (0..fronts).map(|n| front_links.links.sent_by(&format!("n{n}")).datagrams).sum(),
    })
}

/// A fault of the script. Times are milliseconds since the start of the load.
#[derive(Clone, Copy)]
struct Fault {
    /// Suffix of the names of its figures.
    name: &'static str,
    at_ms: f64,
    /// How many fronts are killed; they are the first ones.
    killed: usize,
    /// How long after the first kill they are killed once more.
    again_after_ms: Option<f64>,
    /// Whether there is a surge of the load from the restart to `over_ms`.
    surge: bool,
    /// Whether all caches are killed too, and come back cold.
    caches: bool,
    /// From when on service may be full again.
    over_ms: f64,
}

/// The faults of a run. A single front is not killed.
fn script(times: Times, fronts: usize, quick: bool) -> Vec<Fault> {
    let first_ms = (times.warm + times.calm) * 1e3;
    let seven_tenths = fronts * 7 / 10;
    let fault = |name, n: u32, killed| {
        let at_ms = first_ms + f64::from(n) * times.recovery * 1e3;
        Fault { name, at_ms, killed, again_after_ms: None, surge: false, caches: false, over_ms: at_ms }
    };
    match fronts {
        1 => vec![fault("", 0, 0)],
        _ if quick => vec![fault("", 0, seven_tenths), fault("_all", 1, fronts)],
        _ => {
            let third = fault("_again", 2, seven_tenths);
            // During the surge the load differs from that before the faults, so the recovery time counts from its end.
            let over_ms = third.at_ms + DOWN_MS + SURGE_MS;
            let third = Fault { again_after_ms: Some(DOWN_MS + 500.0), surge: true, over_ms, ..third };
            let last = Fault { caches: true, ..fault("_cold", 3, fronts) };
            vec![fault("", 0, seven_tenths), fault("_all", 1, fronts), third, last]
        }
    }
}

impl Site {
    /// Kills all caches and starts them again at once, empty and cold, under other addresses that the feed publishes.
    fn restart_caches(&mut self, event: u64) -> Result<(), String> {
        self.caches.iter().for_each(Member::kill);
        let (duration, window) = (Duration::from_secs(8), Duration::from_millis(1_500));
        let cold = Cold { warm_per_s: WARM_PER_S, initial_share: 0.2, duration, crash_factor: 3.0, window };
        let mut records = Vec::new();
        for old in std::mem::take(&mut self.caches) {
            let config = MemberConfig { cold: Some(cold), ..self.cache_config.clone() };
            let new = Member::start(MemberConfig { id: old.id.clone(), ..config }, &self.directory)
                .map_err(|e| e.to_string())?;
            records.push(member_record(&new.id, new.address, 0, 0, 0, unix_ms()));
            self.caches.push(new);
            self.killed_caches.push(old);
        }
        self.feed.publish_members(event, &records);
        Ok(())
    }

    fn all_caches(&self) -> impl Iterator<Item = &Member> {
        self.caches.iter().chain(&self.killed_caches)
    }
}

/// The load and the service between two times.
struct Load {
    /// Requests to the archive per second.
    archive_per_s: f64,
    /// Share of the caches' lookups that requested a refresh.
    refreshes_requested: f64,
    /// Share of the caches' lookups that started a refresh.
    refreshes_started: f64,
    /// Share of the caches' lookups that had to wait for a fill.
    waits: f64,
    /// See `rig::service`.
    service: f64,
    /// Share of the accesses.
    declined: f64,
}

impl Outcome {
    fn load(&self, from: f64, to: f64) -> Load {
        let between = |at: f64| (from..to).contains(&at);
        let seconds = (to - from) / 1e3;
        let lookups = || self.lookups.iter().filter(|l| between(l.0));
        let count = lookups().count().max(1) as f64;
        let accesses = self.samples.iter().filter(|s| between(s.planned.at_ms));
        Load {
            archive_per_s: self.archive_requests_ms.iter().filter(|&&at| between(at)).count() as f64
                / seconds,
            refreshes_requested: lookups().filter(|l| l.1.refresh_requested).count() as f64 / count,
            refreshes_started: lookups().filter(|l| l.1.refresh_started).count() as f64 / count,
            waits: lookups().filter(|l| !l.1.hit).count() as f64 / count,
            service: rig::service(&self.samples, &CLASSES, from, to),
            declined: accesses.clone().filter(|s| s.result == AccessResult::Declined).count() as f64
                / accesses.count().max(1) as f64,
        }
    }

    /// Milliseconds from a time to the first window of `FULL_SERVICE_WINDOW_MS` in which service and declines are as before
    /// the faults, and refreshes, waits and the archive's load within 10%.
    fn full_service_ms(&self, calm: &Load, from: f64, end: f64) -> Option<f64> {
        let is_close =
            |now: f64, before: f64, tolerance: f64| (now - before).abs() <= 0.1 * before + tolerance;
        let mut at = from;
        while at + FULL_SERVICE_WINDOW_MS <= end {
            let load = self.load(at, at + FULL_SERVICE_WINDOW_MS);
            let is_full = load.service >= 0.98 * calm.service
                && is_close(load.archive_per_s, calm.archive_per_s, 0.0)
                // In five seconds, chance alone changes these shares by up to 0.01.
                && is_close(load.waits, calm.waits, 0.005)
                && is_close(load.refreshes_started, calm.refreshes_started, 0.005)
                && load.declined <= calm.declined + 0.005;
            if is_full {
                return Some(at - from);
            }
            at += 100.0;
        }
        None
    }
}

/// The highest number of requests in any second between two times, relative to a mean.
fn peak_ratio(requests_ms: &[f64], from: f64, to: f64, mean: f64) -> f64 {
    let count = |at: f64| requests_ms.iter().filter(|&&a| (at..at + 1e3).contains(&a)).count() as f64;
    let steps = ((to - from - 1e3) / 100.0).max(0.0) as usize;
    (0..=steps).map(|n| count(from + 100.0 * n as f64)).fold(0.0, f64::max) / f64::max(mean, 1e-9)
}

fn put_figures(
    outcome: &Outcome,
    name: &str,
    times: Times,
    script: &[Fault],
    fronts: usize,
    figures: &mut Figures,
) {
    let name = |figure: &str| format!("{name}_{figure}_{fronts}");
    let (calm_start, calm_end) = (times.warm * 1e3, (times.warm + times.calm) * 1e3);
    let calm = outcome.load(calm_start, calm_end);
    figures.put_rounded(&name("renewal_share"), calm.refreshes_requested);
    figures.put_rounded(&name("wait_share"), calm.waits);
    figures.put_rounded(&name("archive_per_s"), calm.archive_per_s);
    figures.put_rounded(
        &name("archive_peak_ratio_calm"),
        peak_ratio(&outcome.archive_requests_ms, calm_start, calm_end, calm.archive_per_s),
    );
    figures.put_rounded(&name("cpu_ms_per_s"), outcome.cpu_ms_per_s);
    figures.put_rounded(
        &name("side_cpu_share"),
        outcome.neighbours_cpu_ms_per_s
            / f64::max(outcome.cpu_ms_per_s - outcome.neighbours_cpu_ms_per_s, 1e-9),
    );
    figures.put_rounded(&name("memory_mb_each"), outcome.memory_mb / fronts as f64);
    for fault in script.iter().filter(|f| f.killed > 0) {
        let (restart_ms, end_ms) =
            (fault.at_ms + fault.again_after_ms.unwrap_or(0.0) + DOWN_MS, fault.at_ms + times.recovery * 1e3);
        let first = outcome.load(restart_ms, restart_ms + 2e3);
        figures.put_rounded(&name(&format!("wait_share_on_return{}", fault.name)), first.waits);
        figures
            .put_rounded(&name(&format!("renewal_share_on_return{}", fault.name)), first.refreshes_requested);
        let full = name(&format!("full_service{}_s", fault.name));
        match outcome.full_service_ms(&calm, fault.over_ms, end_ms) {
            Some(ms) => figures.put_rounded(&full, ms / 1e3),
            None => figures.put(&full, "not reached"),
        }
        figures.put_rounded(
            &name(&format!("archive_peak_ratio{}", fault.name)),
            peak_ratio(&outcome.archive_requests_ms, fault.at_ms, end_ms, calm.archive_per_s),
        );
        let service_share = rig::service(&outcome.samples, &CLASSES, fault.at_ms + DOWN_MS, end_ms);
        figures.put_rounded(&name(&format!("service{}", fault.name)), service_share);
        if fault.killed < fronts {
            // The fronts that kept running, which the restarted ones recall from.
            let survivors: Vec<Sample> =
                outcome.samples.iter().filter(|s| s.front >= fault.killed).copied().collect();
            let service = |from, to| rig::service(&survivors, &CLASSES, from, to);
            let ratio =
                service(fault.at_ms, fault.at_ms + 5e3) / f64::max(service(calm_start, calm_end), 1e-9);
            figures.put_rounded(&name(&format!("giver_service_ratio{}", fault.name)), ratio);
        }
    }
    let count = |result| outcome.samples.iter().filter(|s| s.result == result).count();
    // Accesses that were in flight at a front when it was killed.
    let is_broken_off = |s: &&Sample| {
        let kills = script.iter().flat_map(|f| {
            let again = f.again_after_ms.map(|after| (f.at_ms + after, f.killed));
            std::iter::once((f.at_ms, f.killed)).chain(again)
        });
        let mut kills = kills.filter(|&(_, killed)| s.front < killed);
        s.result == AccessResult::Lost
            && kills.any(|(at, _)| s.planned.at_ms < at && s.planned.at_ms + 2e3 > at)
    };
    let broken_off = outcome.samples.iter().filter(is_broken_off).count();
    figures.put(&name("accesses"), outcome.samples.len());
    figures.put(&name("declined"), count(AccessResult::Declined));
    figures.put(&name("broken_off"), broken_off);
    figures.put(&name("lost"), count(AccessResult::Lost) - broken_off + outcome.crashed_fronts);
    figures.put(&name("answered_twice"), outcome.answered_twice);
    figures.put(
        &name("rule_breaks"),
        outcome.too_old
            + outcome.writes_run_twice
            + outcome.overload_crashes
            + count(AccessResult::WrongBody),
    );
    figures.put(&name("cold_fallen"), outcome.overload_crashes);
    figures.put(&name("parts_recalled"), outcome.recalled_parts);
    figures.put(&name("pages_came"), outcome.pages_received);
    let front_seconds = (times.warm + times.calm + times.recovery * script.len() as f64) * fronts as f64;
    figures.put_rounded(&name("words_per_front_s"), outcome.datagrams as f64 / front_seconds);
}

fn print_timeline(outcome: &Outcome, name: &str, end_ms: f64) {
    for second in 0..(end_ms / 1e3) as u64 {
        let load = outcome.load(second as f64 * 1e3, (second + 1) as f64 * 1e3);
        eprintln!(
            "{name} second {second}: archive {:.0}, refreshes requested {:.3}, started {:.3}, waits {:.3}, service {:.3}",
            load.archive_per_s, load.refreshes_requested, load.refreshes_started, load.waits, load.service
        );
    }
}

pub fn run(
    run_args: &RunArgs,
    front: Option<PathBuf>,
    sizes: &[usize],
    timeline: bool,
) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let times = match run_args.quick {
        true => Times { warm: 5.0, calm: 6.0, recovery: 8.0 },
        false => Times { warm: 8.0, calm: 12.0, recovery: 12.0 },
    };
    let variants: &[Variant] =
        if run_args.quick { &[VARIANTS[0], VARIANTS[1], VARIANTS[4]] } else { &VARIANTS };
    let default_sizes: &[usize] = if run_args.quick { &[10] } else { &[20] };
    let sizes = if sizes.is_empty() { default_sizes } else { sizes };
    let mut figures = Figures::default();
    for &fronts in sizes {
        let script = script(times, fronts, run_args.quick);
        let end_ms = script.iter().map(|f| f.at_ms).fold(0.0, f64::max) + times.recovery * 1e3;
        // Six cores can run three variants at the same time without delaying the load.
        for batch in variants.chunks(3) {
            let outcomes = std::thread::scope(|scope| {
                let (program, script) = (&program, script.as_slice());
                let run = |&v: &Variant| {
                    scope.spawn(move || measure(run_args.seed, times, script, program, fronts, v))
                };
                let running: Vec<_> = batch.iter().map(run).collect();
                running.into_iter().map(|r| r.join()).collect::<Vec<_>>()
            });
            for (variant, outcome) in batch.iter().zip(outcomes) {
                let outcome = outcome.map_err(|_| "a run panicked")??;
                if timeline {
                    print_timeline(&outcome, &format!("{}_{fronts}", variant.name), end_ms);
                }
                put_figures(&outcome, variant.name, times, &script, fronts, &mut figures);
            }
        }
    }
    Ok(figures)
}
