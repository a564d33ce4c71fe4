//! Fronts that come back: many real fronts on loopback before one set of caches. Seven in ten are killed at once under
//! load and start again a second later; then all are. In the whole run, seven in ten are killed again, and once more
//! half a second after they are back, while two and a half times as much is asked for; and at last all are together with
//! all caches, which come back cold and empty under other addresses. The archive has a stated capacity, three trunk
//! caches stand before it, and words between fronts go over links that take some milliseconds and lose some.
//!
//! What is told apart in one run:
//!
//! - `untold_`: caches that don't say how old their copies are, so that a front knows what it knew before: the fills
//!   that it saw itself. The first baseline.
//! - `alone_`: the estimate from `Made-At`; the program without memory.
//! - `snapshot_`, `neighbours_`, `memory_`: with each source of memory, and with both.
//!
//! Renewals, waits and the archive's load are counted at the stand-ins.

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

use crate::rig::{self, Class, Folder, Front, Got, Planned, Sample};
use crate::{Figures, RunArgs};

const CLASSES: [Class; 2] = [
    Class { name: "font-css", wait_ms: 1_500, soft_ms: 400.0, benefit: 1.0, write: false },
    Class { name: "site-license", wait_ms: 1_500, soft_ms: 500.0, benefit: 5.0, write: true },
];
const FRESH_MS: u64 = 4_000;
const OBJECTS: usize = 400;
/// Accesses a second, over all fronts.
const RATE: f64 = 800.0;
const CACHES: usize = 8;
const TRUNKS: [&str; 3] = ["s-000000a1", "s-000000a2", "s-000000a3"];
const ARCHIVE: &str = "s-000000ff";
/// What the archive works on at once, 25 ms each: 480 requests a second, some eight times the calm.
const ARCHIVE_AT_ONCE: usize = 12;
/// Words between fronts.
const LINK: LinkConditions = LinkConditions { delay_ms: 5, jitter_ms: 10, loss: 0.02, ..WHOLE };
const WHOLE: LinkConditions = LinkConditions {
    cut: false,
    delay_ms: 0,
    jitter_ms: 0,
    bytes_per_s: 0,
    reset_after_bytes: None,
    loss: 0.0,
    duplication: 0.0,
};

/// What is told apart.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Variant {
    name: &'static str,
    /// Caches say how old their copies are.
    told: bool,
    snapshot: bool,
    neighbours: bool,
}

const fn variant(name: &'static str, told: bool, snapshot: bool, neighbours: bool) -> Variant {
    Variant { name, told, snapshot, neighbours }
}

const VARIANTS: [Variant; 5] = [
    variant("untold", false, false, false),
    variant("alone", true, false, false),
    variant("snapshot", true, true, false),
    variant("neighbours", true, false, true),
    variant("memory", true, true, true),
];
/// What a traffic jump multiplies, and how long it lasts.
const JUMP: f64 = 2.5;
const JUMP_MS: f64 = 4_000.0;
/// A cache that comes back: what a warm one does in a second, half as much again as it is asked for in calm.
const WARM: f64 = 1.5 * RATE / CACHES as f64;
/// The thread that remembers and speaks with neighbours.
const SIDE: &str = "neighbours";
/// Dead ones start again after so long.
const DOWN_MS: f64 = 1_000.0;
/// Service is full when so long a time has gone by as it did on calm days.
const FULL_OVER_MS: f64 = 5_000.0;

/// Seconds: until all is steady, the calm that is measured, and from a kill to the next or to the end.
#[derive(Clone, Copy)]
struct Times {
    warm: f64,
    calm: f64,
    back: f64,
}

/// Popular objects are asked for as 1 over rank; each hundredth access is a write.
fn plan(seed: u64, until_ms: f64, jump: Option<(f64, f64)>) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed ^ 0x5e7);
    let mut sum = 0.0;
    let table: Vec<f64> = (1..=OBJECTS)
        .map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        })
        .collect();
    let each = 1e3 / RATE;
    let (mut all, mut at, mut n) = (Vec::new(), 0.0, 0u64);
    while at < until_ms {
        let (class, key) = match n % 100 {
            99 => (1, rng.u64(..)),
            _ => (0, table.partition_point(|&s| s < rng.f64() * sum) as u64 + 1),
        };
        let each = if jump.is_some_and(|j| (j.0..j.1).contains(&at)) { each / JUMP } else { each };
        all.push(Planned { at_ms: at + 0.8 * each * rng.f64(), class, key });
        (at, n) = (at + each, n + 1);
    }
    all
}

struct Outcome {
    samples: Vec<Sample>,
    twice: usize,
    /// Milliseconds from the start.
    archive: Vec<f64>,
    answered: Vec<(f64, Lookup)>,
    too_old: usize,
    fell: usize,
    run_twice: usize,
    crashed: usize,
    /// Parts taken over from memory at starts, and pages given.
    recalled: u64,
    /// Processor time of all fronts in the calm, in thousandths of a core, and their memory in MB at its end.
    cpu: f64,
    /// Of it, that of the threads which remember and speak with neighbours.
    side: f64,
    memory_mb: f64,
    pages: usize,
    words: usize,
}

fn config(site: &Site, fronts: usize, front: usize, seed: u64) -> String {
    let Site { caches, trunks, archive, feed, .. } = site;
    let mut members: Vec<_> = caches.iter().map(|m| rig::listed(m, "one", "cache")).collect();
    members.extend(trunks.iter().map(|m| rig::listed(m, "hub", "trunk")));
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
        "feed": feed.address.to_string(), "known": {"n": 1, "events": [{"n": 1, "members": census}]},
        "settings": settings})
    .to_string()
}

struct Site {
    directory: Directory,
    /// What each cache is like.
    cache: MemberConfig,
    caches: Vec<Member>,
    /// Those that died.
    gone: Vec<Member>,
    trunks: Vec<Member>,
    archive: Member,
    feed: Feed,
}

impl Site {
    fn new(seed: u64, told: bool) -> Result<Site, String> {
        let directory = Directory::default();
        let spec = |id: &str, role, lag_ms, at_once| {
            let fresh_ms = HashMap::from([(CLASSES[0].name.to_owned(), FRESH_MS)]);
            let lag = Duration::from_millis(lag_ms);
            MemberConfig {
                latency: lag,
                max_age_ms: fresh_ms,
                max_in_flight: at_once,
                sends_made_at: told,
                ..MemberConfig::new(id, "127.0.0.1:0", role)
            }
        };
        let start = |id: &str, role, lag_ms, at_once| {
            Member::start(spec(id, role, lag_ms, at_once), &directory).map_err(|e| e.to_string())
        };
        let archive = start(ARCHIVE, Role::Archive, 25, ARCHIVE_AT_ONCE)?;
        let trunks = TRUNKS.iter().map(|id| start(id, Role::Parent, 4, usize::MAX));
        let trunks = trunks.collect::<Result<Vec<_>, _>>()?;
        trunks.iter().for_each(|t| t.set_fill_sources(&[ARCHIVE]));
        let caches = (1..=CACHES).map(|n| start(&format!("s-{n:08x}"), Role::Cache, 2, usize::MAX));
        let caches = caches.collect::<Result<Vec<_>, _>>()?;
        // Caches hold, at the start, what they would after some hours: each object at its home, at any age.
        let mut ages = Rng::with_seed(seed ^ 0xa9e5);
        let homes: Vec<Home> = caches.iter().map(|c| Home::named(&c.id, 1.0)).collect();
        for key in 1..=OBJECTS as u64 {
            let home = home_of(&homes, key).map(|h| h.key);
            let home = caches.iter().find(|c| Some(doorgrade::hash::text(&c.id)) == home);
            let path = format!("/data/{}/{key:016x}/0", CLASSES[0].name);
            home.into_iter().for_each(|h| h.preload(&path, ages.u64(0..FRESH_MS)));
        }
        let feed = Feed::start("127.0.0.1:0").map_err(|e| e.to_string())?;
        let cache = spec("", Role::Cache, 2, usize::MAX);
        Ok(Site { directory, cache, caches, gone: Vec::new(), trunks, archive, feed })
    }
}

/// Where fronts listen for each other, and where the links have them.
struct Posts {
    links: Links,
    own: Vec<std::net::SocketAddr>,
    at: Vec<std::net::SocketAddr>,
}

impl Posts {
    fn new(seed: u64, fronts: usize) -> std::io::Result<Posts> {
        let links = Links::new(seed);
        links.set(ANY, ANY, LINK);
        let own: Vec<_> = (0..fronts).map(|_| free_address()).collect();
        let at = own.iter().enumerate().map(|(n, &own)| links.udp_proxy(&format!("n{n}"), own));
        Ok(Posts { at: at.collect::<Result<Vec<_>, _>>()?, links, own })
    }

    fn settings(&self, variant: Variant, front: usize) -> String {
        let mut text = String::new();
        if variant.neighbours {
            let (listen, address, count) = (self.own[front], self.at[front], self.own.len());
            // The last ones live: as many seeds as would be named.
            let seeds = [self.at[0], self.at[count / 2], self.at[count - 1]];
            text += &format!(
                "neighbours {{\n  enabled = true\n  listen = \"{listen}\"\n  address = \"{address}\"\n  \
                 seeds = [\"{}\", \"{}\", \"{}\"]\n  station = \"one\"\n  seal_keys = \"seal-keys.hcl\"\n  \
                 about = {count}\n}}\n",
                seeds[0], seeds[1], seeds[2]
            );
        }
        if variant.snapshot || variant.neighbours {
            // Without snapshots of its own: each start finds another store, empty.
            text +=
                &format!("recall {{\n  enabled = true\n  store = \"n{front}.redb\"\n  write_ms = 2000\n}}\n");
        }
        text
    }
}

fn one(
    seed: u64,
    times: Times,
    script: &[Trouble],
    program: &Path,
    fronts: usize,
    variant: Variant,
) -> Result<Outcome, String> {
    let folder = Folder::new(&format!("return-{seed}-{fronts}-{}", variant.name))?;
    let mut site = Site::new(seed, variant.told)?;
    let posts = Posts::new(seed, fronts).map_err(|e| e.to_string())?;
    let secret = format!("key \"1\" {{ secret = \"{}\" }}\n", "5e".repeat(32));
    folder.put("seal-keys.hcl", &secret)?;
    for front in 0..fronts {
        folder.put(&format!("n{front}.json"), &config(&site, fronts, front, seed))?;
        folder.put(&format!("n{front}.hcl"), &posts.settings(variant, front))?;
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
    // Where clients go: to fronts that live. They learn of a death at once, so that what is measured is the return.
    let living: RwLock<Vec<Option<std::net::SocketAddr>>> =
        RwLock::new(running.iter().map(|f| f.as_ref().map(|f| f.at)).collect());
    let set = |front: usize, at| living.write().unwrap_or_else(|e| e.into_inner())[front] = at;
    let choose = |access: usize| {
        let living = living.read().unwrap_or_else(|e| e.into_inner());
        let up: Vec<_> = living.iter().enumerate().filter_map(|(n, at)| Some((n, (*at)?))).collect();
        // As good as by chance, and the same in each variant.
        let drawn = doorgrade::hash::unit(access as u64, seed);
        up.get((drawn * up.len() as f64) as usize).copied()
    };
    let end = script.iter().map(|t| t.at).fold(0.0, f64::max) + times.back * 1e3;
    let jump = script.iter().find(|t| t.jump).map(|t| (t.at + DOWN_MS, t.over));
    let plan = plan(seed, end, jump);
    let begun = Instant::now() + Duration::from_millis(100);
    let begun_ms = unix_ms() as f64 + 100.0;
    let at = |ms: f64| {
        let due = begun + Duration::from_secs_f64(ms / 1e3);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let (mut crashed, mut recalled, mut pages) = (0, 0, 0);
    let (mut cpu, mut side, mut memory_mb) = (0.0, 0.0, 0.0);
    let mut look = |front: &Front| {
        for line in front.lines().iter().filter(|l| l.contains("recall: from ")) {
            let parts =
                line.split(": ").find_map(|p| p.split_once(" parts and ")).and_then(|p| p.0.parse().ok());
            recalled += parts.unwrap_or(0u64);
            let came = line.split_once("from neighbours, ").and_then(|l| l.1.split(' ').next()?.parse().ok());
            pages += came.unwrap_or(0usize);
        }
    };
    let played = std::thread::scope(|scope| -> Result<rig::Played, String> {
        let player = scope.spawn(|| rig::play_at(&choose, &plan, &CLASSES, begun, 96));
        let processes: Vec<u32> = running.iter().flatten().map(Front::process).collect();
        let spent = || processes.iter().map(|&p| rig::cpu_ms(p)).sum::<f64>();
        let beside = || processes.iter().map(|&p| rig::thread_cpu_ms(p, SIDE)).sum::<f64>();
        at(times.warm * 1e3);
        let before = (spent(), beside());
        at((times.warm + times.calm) * 1e3);
        (cpu, side) = ((spent() - before.0) / times.calm, (beside() - before.1) / times.calm);
        memory_mb = processes.iter().filter_map(|&p| rig::memory_mb(p).ok()).sum();
        for trouble in script {
            let deaths = std::iter::once(trouble.at).chain(trouble.again.map(|after| trouble.at + after));
            for (kill, last) in deaths.clone().zip((1..=deaths.count()).rev()) {
                at(kill);
                crashed += running.iter_mut().flatten().filter_map(|f| (!f.alive()).then_some(())).count();
                (0..trouble.dead).for_each(|front| set(front, None));
                for front in running.iter_mut().take(trouble.dead) {
                    front.iter().for_each(&mut look);
                    *front = None;
                }
                if trouble.caches {
                    site.restart_caches(2)?;
                }
                // Killed again so soon, they start again as soon.
                at(kill + if last > 1 || trouble.again.is_none() { DOWN_MS } else { DOWN_MS / 2.0 });
                for (front, runs) in running.iter_mut().enumerate().take(trouble.dead) {
                    let started = start(front)?;
                    set(front, Some(started.at));
                    *runs = Some(started);
                }
            }
        }
        player.join().map_err(|_| "the player failed".to_owned())
    })?;
    crashed += running.iter_mut().flatten().filter_map(|f| (!f.alive()).then_some(())).count();
    running.iter().flatten().for_each(look);
    let since = |ms: u64| ms as f64 - begun_ms;
    let mut answered: Vec<_> =
        site.all_caches().flat_map(|c| c.lookups()).map(|a| (since(a.at_ms), a)).collect();
    answered.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(Outcome {
        samples: played.samples,
        twice: played.answered_twice,
        archive: site.archive.request_log().iter().map(|(ms, _)| since(*ms)).collect(),
        answered,
        too_old: site.all_caches().map(|m| m.counts().too_old.load(SeqCst)).sum(),
        fell: site.all_caches().map(|m| m.counts().crashes.load(SeqCst)).sum(),
        run_twice: site.archive.accesses_run_twice(CLASSES[1].name),
        crashed,
        recalled,
        cpu,
        side,
        memory_mb,
        pages,
        words: (0..fronts).map(|n| posts.links.sent_by(&format!("n{n}")).datagrams).sum(),
    })
}

/// One trouble of the script.
#[derive(Clone, Copy)]
struct Trouble {
    name: &'static str,
    at: f64,
    /// So many of the fronts are killed: the first ones, so that the last live.
    dead: usize,
    /// Killed once more, so long after the first time.
    again: Option<f64>,
    jump: bool,
    /// All caches die, too, and come back cold.
    caches: bool,
    /// From when on service may be full again.
    over: f64,
}

/// Alone, a front is not killed.
fn script(times: Times, fronts: usize, quick: bool) -> Vec<Trouble> {
    let first = (times.warm + times.calm) * 1e3;
    let most = fronts * 7 / 10;
    let trouble = |name, n: u32, dead| {
        let at = first + f64::from(n) * times.back * 1e3;
        Trouble { name, at, dead, again: None, jump: false, caches: false, over: at }
    };
    match fronts {
        1 => vec![trouble("", 0, 0)],
        _ if quick => vec![trouble("", 0, most), trouble("_all", 1, fronts)],
        _ => {
            let third = trouble("_again", 2, most);
            // What is asked for is not as in calm before the jump is over; the time is counted from there.
            let over = third.at + DOWN_MS + JUMP_MS;
            let third = Trouble { again: Some(DOWN_MS + 500.0), jump: true, over, ..third };
            let last = Trouble { caches: true, ..trouble("_cold", 3, fronts) };
            vec![trouble("", 0, most), trouble("_all", 1, fronts), third, last]
        }
    }
}

impl Site {
    /// All caches die and come back at once, empty and cold, under other addresses; the feed tells.
    fn restart_caches(&mut self, number: u64) -> Result<(), String> {
        self.caches.iter().for_each(Member::kill);
        let (lasts, window) = (Duration::from_secs(8), Duration::from_millis(1_500));
        let cold = Cold { warm_per_s: WARM, initial_share: 0.2, duration: lasts, crash_factor: 3.0, window };
        let mut records = Vec::new();
        for old in std::mem::take(&mut self.caches) {
            let spec = MemberConfig { cold: Some(cold), ..self.cache.clone() };
            let new = Member::start(MemberConfig { id: old.id.clone(), ..spec }, &self.directory)
                .map_err(|e| e.to_string())?;
            records.push(member_record(&new.id, new.address, 0, 0, 0, unix_ms()));
            self.caches.push(new);
            self.gone.push(old);
        }
        self.feed.publish_members(number, &records);
        Ok(())
    }

    fn all_caches(&self) -> impl Iterator<Item = &Member> {
        self.caches.iter().chain(&self.gone)
    }
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
            renewals_asked: answered().filter(|a| a.1.refresh_requested).count() as f64 / count,
            renewals: answered().filter(|a| a.1.refresh_started).count() as f64 / count,
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

/// The archive's busiest second after a time, over a mean.
fn peak(asked: &[f64], from: f64, to: f64, mean: f64) -> f64 {
    let count = |at: f64| asked.iter().filter(|&&a| (at..at + 1e3).contains(&a)).count() as f64;
    let steps = ((to - from - 1e3) / 100.0).max(0.0) as usize;
    (0..=steps).map(|n| count(from + 100.0 * n as f64)).fold(0.0, f64::max) / f64::max(mean, 1e-9)
}

fn figures(o: &Outcome, name: &str, times: Times, script: &[Trouble], fronts: usize, figures: &mut Figures) {
    let name = |figure: &str| format!("{name}_{figure}_{fronts}");
    let (calm_from, kill) = (times.warm * 1e3, (times.warm + times.calm) * 1e3);
    let calm = o.load(calm_from, kill);
    figures.put_rounded(&name("renewal_share"), calm.renewals_asked);
    figures.put_rounded(&name("wait_share"), calm.waits);
    figures.put_rounded(&name("archive_per_s"), calm.archive);
    figures.put_rounded(&name("archive_peak_ratio_calm"), peak(&o.archive, calm_from, kill, calm.archive));
    figures.put_rounded(&name("cpu_ms_per_s"), o.cpu);
    figures.put_rounded(&name("side_cpu_share"), o.side / f64::max(o.cpu - o.side, 1e-9));
    figures.put_rounded(&name("memory_mb_each"), o.memory_mb / fronts as f64);
    for t in script.iter().filter(|t| t.dead > 0) {
        let (back, end) = (t.at + t.again.unwrap_or(0.0) + DOWN_MS, t.at + times.back * 1e3);
        let first = o.load(back, back + 2e3);
        figures.put_rounded(&name(&format!("wait_share_on_return{}", t.name)), first.waits);
        figures.put_rounded(&name(&format!("renewal_share_on_return{}", t.name)), first.renewals_asked);
        let full = name(&format!("full_service{}_s", t.name));
        match o.full_service_ms(&calm, t.over, end) {
            Some(ms) => figures.put_rounded(&full, ms / 1e3),
            None => figures.put(&full, "not reached"),
        }
        figures.put_rounded(
            &name(&format!("archive_peak_ratio{}", t.name)),
            peak(&o.archive, t.at, end, calm.archive),
        );
        let served = rig::service(&o.samples, &CLASSES, t.at + DOWN_MS, end);
        figures.put_rounded(&name(&format!("service{}", t.name)), served);
        if t.dead < fronts {
            let lived: Vec<Sample> = o.samples.iter().filter(|s| s.front >= t.dead).copied().collect();
            let service = |from, to| rig::service(&lived, &CLASSES, from, to);
            let ratio = service(t.at, t.at + 5e3) / f64::max(service(calm_from, kill), 1e-9);
            figures.put_rounded(&name(&format!("giver_service_ratio{}", t.name)), ratio);
        }
    }
    let got = |got| o.samples.iter().filter(|s| s.got == got).count();
    let broken = |s: &&Sample| {
        let deaths = script.iter().flat_map(|t| {
            let again = t.again.map(|after| (t.at + after, t.dead));
            std::iter::once((t.at, t.dead)).chain(again)
        });
        let mut deaths = deaths.filter(|&(_, dead)| s.front < dead);
        s.got == Got::Lost && deaths.any(|(at, _)| s.planned.at_ms < at && s.planned.at_ms + 2e3 > at)
    };
    let broken = o.samples.iter().filter(broken).count();
    figures.put(&name("accesses"), o.samples.len());
    figures.put(&name("declined"), got(Got::Declined));
    figures.put(&name("broken_off"), broken);
    figures.put(&name("lost"), got(Got::Lost) - broken + o.crashed);
    figures.put(&name("answered_twice"), o.twice);
    figures.put(&name("rule_breaks"), o.too_old + o.run_twice + o.fell + got(Got::Wrong));
    figures.put(&name("cold_fallen"), o.fell);
    figures.put(&name("parts_recalled"), o.recalled);
    figures.put(&name("pages_came"), o.pages);
    let seconds = (times.warm + times.calm + times.back * script.len() as f64) * fronts as f64;
    figures.put_rounded(&name("words_per_front_s"), o.words as f64 / seconds);
}

fn told(o: &Outcome, name: &str, end: f64) {
    for second in 0..(end / 1e3) as u64 {
        let l = o.load(second as f64 * 1e3, (second + 1) as f64 * 1e3);
        eprintln!(
            "{name} second {second}: archive {:.0}, renewals asked {:.3}, made {:.3}, waits {:.3}, service {:.3}",
            l.archive, l.renewals_asked, l.renewals, l.waits, l.service
        );
    }
}

pub fn run(
    how: &RunArgs,
    front: Option<PathBuf>,
    sizes: &[usize],
    timeline: bool,
) -> Result<Figures, String> {
    let program = rig::program(front)?;
    let times = match how.quick {
        true => Times { warm: 5.0, calm: 6.0, back: 8.0 },
        false => Times { warm: 8.0, calm: 12.0, back: 12.0 },
    };
    let variants: &[Variant] = if how.quick { &[VARIANTS[0], VARIANTS[1], VARIANTS[4]] } else { &VARIANTS };
    let usual: &[usize] = if how.quick { &[10] } else { &[20] };
    let sizes = if sizes.is_empty() { usual } else { sizes };
    let mut all = Figures::default();
    for &fronts in sizes {
        let script = script(times, fronts, how.quick);
        let end = script.iter().map(|t| t.at).fold(0.0, f64::max) + times.back * 1e3;
        // Three at once is what six cores play without being late.
        for some in variants.chunks(3) {
            let played = std::thread::scope(|scope| {
                let (program, script) = (&program, script.as_slice());
                let run =
                    |&v: &Variant| scope.spawn(move || one(how.seed, times, script, program, fronts, v));
                let running: Vec<_> = some.iter().map(run).collect();
                running.into_iter().map(|r| r.join()).collect::<Vec<_>>()
            });
            for (variant, o) in some.iter().zip(played) {
                let o = o.map_err(|_| "a run failed")??;
                if timeline {
                    told(&o, &format!("{}_{fronts}", variant.name), end);
                }
                figures(&o, variant.name, times, &script, fronts, &mut all);
            }
        }
    }
    Ok(all)
}
